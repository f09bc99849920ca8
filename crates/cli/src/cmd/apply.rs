//! `pomeloreach apply`.

use crate::client::Client;
use crate::error::CliError;
use crate::print;
use crate::table_files::{diff_tables, read_table_files};
use argh::FromArgs;
use std::path::PathBuf;

/// Publish the rows of table files as one atomic edit.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// YAML files with rows of one or both tables
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// delete rows that are missing from the files, in each table that the files name
    #[argh(switch)]
    prune: bool,
    /// the id of an earlier edit whose outcome is unknown; repeats the edit without applying it
    /// twice
    #[argh(option)]
    edit_id: Option<String>,
}

impl Apply {
    pub fn run(self, client: Client, as_json: bool) -> Result<(), CliError> {
        let file = read_table_files(&self.files)?;
        let changes = diff_tables(&client.config()?, &file, self.prune);
        if !as_json {
            print::text(&changes.iter().map(print::format_change).collect::<String>())?;
        }
        print::edit_response(&client.edit(changes, self.edit_id)?, as_json)
    }
}
