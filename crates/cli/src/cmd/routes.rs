//! `pomeloreach routes`.

use super::row::RowCommand;
use crate::client::Client;
use crate::error::CliError;
use argh::FromArgs;
use pomeloreach_core::row::TableName;

/// Read and change single rows of the routes table.
#[derive(FromArgs)]
#[argh(subcommand, name = "routes")]
pub struct Routes {
    #[argh(subcommand)]
    command: RowCommand,
}

impl Routes {
    pub fn run(self, client: Client, as_json: bool) -> Result<(), CliError> {
        self.command.run(client, TableName::Routes, as_json)
    }
}
