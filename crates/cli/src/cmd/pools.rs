//! `pomeloreach pools`.

use super::row::RowCommand;
use crate::client::Client;
use crate::error::CliError;
use argh::FromArgs;
use pomeloreach_core::row::TableName;

/// Read and change single rows of the pools table.
#[derive(FromArgs)]
#[argh(subcommand, name = "pools")]
pub struct Pools {
    #[argh(subcommand)]
    command: RowCommand,
}

impl Pools {
    pub fn run(self, client: Client, as_json: bool) -> Result<(), CliError> {
        self.command.run(client, TableName::Pools, as_json)
    }
}
