//! `pomeloreach apply`.

use crate::client::Client;
use crate::error::CliError;
use crate::print;
use crate::tables::{diff_tables, read_table_files};
use argh::FromArgs;
use std::path::PathBuf;

/// Bring the tables to what files say, as one edit that takes effect whole or not at all.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// YAML files with rows of one or both tables
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// delete the rows that a named table has and the files do not
    #[argh(switch)]
    prune: bool,
    /// the id of an edit whose outcome is unknown, to ask for it again
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
