//! The subcommands `get`, `set` and `delete` of `pomeloreach routes` and `pomeloreach pools`.

use crate::client::Client;
use crate::error::CliError;
use crate::rows;
use argh::FromArgs;
use pomeloreach_core::row::TableName;
use std::path::PathBuf;

/// A subcommand on the rows of one table.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum RowCommand {
    Get(Get),
    Set(Set),
    Delete(Delete),
}

/// Print one row, or all rows of the table.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub struct Get {
    /// the name of the row (default: all rows)
    #[argh(positional)]
    name: Option<String>,
}

/// Add one row, or replace it if it exists.
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
pub struct Set {
    /// the name of the row
    #[argh(positional)]
    name: String,
    /// a YAML file with the fields of the row
    #[argh(option, short = 'f')]
    file: PathBuf,
    /// the id of an earlier edit whose outcome is unknown; repeats the edit without applying it
    /// twice
    #[argh(option)]
    edit_id: Option<String>,
}

/// Delete one row.
#[derive(FromArgs)]
#[argh(subcommand, name = "delete")]
pub struct Delete {
    /// the name of the row
    #[argh(positional)]
    name: String,
    /// the id of an earlier edit whose outcome is unknown; repeats the edit without applying it
    /// twice
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
