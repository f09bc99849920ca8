//! `pomeloreach dump`.

use crate::client::Client;
use crate::error::CliError;
use crate::print;
use argh::FromArgs;

/// Print the state of the given daemon as JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "dump")]
pub struct Dump {}

impl Dump {
    pub fn run(self, client: Client) -> Result<(), CliError> {
        print::json(&client.dump()?)
    }
}
