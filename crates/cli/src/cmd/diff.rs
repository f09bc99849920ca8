//! `pomeloreach diff`.

use crate::client::Client;
use crate::error::CliError;
use crate::print;
use crate::table_files::{diff_tables, read_table_files};
use argh::FromArgs;
use std::path::PathBuf;

/// Show the changes that `apply` would publish.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// YAML files with rows of one or both tables
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// show rows that are missing from the files as deleted, in each table that the files name
    #[argh(switch)]
    prune: bool,
}

impl Diff {
    pub fn run(self, client: Client, as_json: bool) -> Result<(), CliError> {
        let file = read_table_files(&self.files)?;
        let changes = diff_tables(&client.config()?, &file, self.prune);
        if as_json {
            return print::json(&changes);
        }
        print::text(&changes.iter().map(print::format_change).collect::<String>())
    }
}
