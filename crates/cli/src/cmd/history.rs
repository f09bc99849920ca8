//! `pomeloreach history`.

use crate::client::Client;
use crate::error::CliError;
use crate::print;
use argh::FromArgs;

/// Show recent versions: accepted edits with their authors, and refused versions with the reasons.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub struct History {}

impl History {
    pub fn run(self, client: Client, as_json: bool) -> Result<(), CliError> {
        let config = client.config()?;
        if as_json {
            return print::json(&(&config.edits, &config.refusals));
        }
        print::text(&print::format_history(&config))
    }
}
