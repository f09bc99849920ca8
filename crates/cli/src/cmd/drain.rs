//! `pomeloreach drain`.

use crate::client::Client;
use crate::error::CliError;
use crate::print;
use argh::FromArgs;
use std::time::{Duration, Instant};

/// The time between two drain requests, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;

/// Drain the local target of the given daemon, and wait until the target may stop.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// how long to wait, in seconds (default: 30)
    #[argh(option, default = "30")]
    wait_s: u64,
}

impl Drain {
    pub fn run(self, client: Client, as_json: bool) -> Result<(), CliError> {
        let deadline = Instant::now() + Duration::from_secs(self.wait_s);
        loop {
            let response = client.drain()?;
            if response.may_stop && as_json {
                return print::json(&response);
            }
            if response.may_stop {
                return print::text("The target may stop: it has no requests in flight.\n");
            }
            if Instant::now() >= deadline {
                let reason = format!("{} requests are still in flight.", response.in_flight);
                return Err(CliError::WaitTimedOut(reason));
            }
            std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
        }
    }
}
