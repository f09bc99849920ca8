//! The subcommands that `pomeloreach routes` and `pomeloreach pools` have in common.

use crate::client::Client;
use crate::error::CliError;
use crate::rows;
use argh::FromArgs;
use pomeloreach_core::row::TableName;
use std::path::PathBuf;

/// What is done to a row.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum RowCommand {
    Get(Get),
    Set(Set),
    Delete(Delete),
}

/// Print one row, or the whole table.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub struct Get {
    /// the row's name
    #[argh(positional)]
    name: Option<String>,
}

/// Set one row.
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
pub struct Set {
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
pub struct Delete {
    /// the row's name
    #[argh(positional)]
    name: String,
    /// the id of an edit whose outcome is unknown, to ask for it again
    #[argh(option)]
    edit_id: Option<String>,
}

impl RowCommand {
    pub fn run(self, client: Client, table: TableName, as_json: bool) -> Result<(), CliError> {
        match self {
            Self::Get(get) => rows::get(client, table, get.name.as_deref(), as_json),
            Self::Set(set) => rows::set(client, table, &set.name, &set.file, set.edit_id, as_json),
            Self::Delete(delete) => {
                rows::delete(client, table, &delete.name, delete.edit_id, as_json)
            }
        }
    }
}
