//! `pomeloreach pools`.

use crate::client::Client;
use crate::error::CliError;
use crate::rows;
use argh::FromArgs;
use pomeloreach_core::row::TableName;
use std::path::PathBuf;

/// Read and change single rows of the pools table.
#[derive(FromArgs)]
#[argh(subcommand, name = "pools")]
pub struct Pools {
    #[argh(subcommand)]
    command: PoolsCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum PoolsCommand {
    Get(Get),
    Set(Set),
    Delete(Delete),
}

/// Print one row, or the whole table.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
struct Get {
    /// the row's name
    #[argh(positional)]
    name: Option<String>,
}

/// Set one row.
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
struct Set {
    /// the row's name
    #[argh(positional)]
    name: String,
    /// a YAML file with the row's fields
    #[argh(option, short = 'f')]
    file: PathBuf,
    /// the id of an edit whose outcome is unknown, to ask for it again
    #[argh(option)]
    edit_id: Option<String>,
}

/// Delete one row.
#[derive(FromArgs)]
#[argh(subcommand, name = "delete")]
struct Delete {
    /// the row's name
    #[argh(positional)]
    name: String,
    /// the id of an edit whose outcome is unknown, to ask for it again
    #[argh(option)]
    edit_id: Option<String>,
}

impl Pools {
    pub fn run(self, client: Client, as_json: bool) -> Result<(), CliError> {
        let table = TableName::Pools;
        match self.command {
            PoolsCommand::Get(get) => rows::get(client, table, get.name.as_deref(), as_json),
            PoolsCommand::Set(set) => {
                rows::set(client, table, &set.name, &set.file, set.edit_id, as_json)
            }
            PoolsCommand::Delete(delete) => {
                rows::delete(client, table, &delete.name, delete.edit_id, as_json)
            }
        }
    }
}
