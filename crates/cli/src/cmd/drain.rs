//! `pomeloreach drain`.

use crate::client::Client;
use crate::error::CliError;
use crate::print;
use argh::FromArgs;
use std::time::{Duration, Instant};

/// The pause between questions, in milliseconds.
const PAUSE_MS: u64 = 100;

/// Drain the target beside the daemon that is asked, and wait until it may stop.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// how long to wait, in seconds (default: 30)
    #[argh(option, default = "30")]
    wait_s: u64,
}

impl Drain {
    pub fn run(self, client: Client, as_json: bool) -> Result<(), CliError> {
        let until = Instant::now() + Duration::from_secs(self.wait_s);
        loop {
            let answer = client.drain()?;
            if answer.may_stop && as_json {
                return print::json(&answer);
            }
            if answer.may_stop {
                return print::text("The target may stop; no request is at it.\n");
            }
            if Instant::now() >= until {
                let reason = format!("{} requests are still in flight.", answer.in_flight);
                return Err(CliError::NotYet(reason));
            }
            std::thread::sleep(Duration::from_millis(PAUSE_MS));
        }
    }
}
