//! `pomeloreach status`.

use crate::client::Client;
use crate::error::CliError;
use crate::print;
use argh::FromArgs;
use std::time::{Duration, Instant};

/// The time between two status requests, in milliseconds.
const POLL_INTERVAL_MS: u64 = 200;

/// Show the version that each daemon holds, how far it is behind, and the refused versions.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// wait until every daemon that responds holds this version or a later one
    #[argh(option)]
    wait: Option<u64>,
    /// how long to wait, in seconds (default: 10)
    #[argh(option, default = "10")]
    wait_s: u64,
}

impl Status {
    pub fn run(self, client: Client, as_json: bool) -> Result<(), CliError> {
        let deadline = Instant::now() + Duration::from_secs(self.wait_s);
        loop {
            let status = client.status()?;
            let wanted_version = self.wait.unwrap_or(0);
            let behind = status.rows.iter().filter(|row| row.version < wanted_version).count();
            if behind > 0 && Instant::now() < deadline {
                std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
                continue;
            }
            if as_json {
                print::json(&status)?;
            } else {
                print::text(&print::format_status(&status))?;
            }
            if behind > 0 {
                let reason = format!("{behind} daemons do not hold version {wanted_version} yet.");
                return Err(CliError::WaitTimedOut(reason));
            }
            return Ok(());
        }
    }
}
