//! `pomeloreach diff`.

use crate::client::Client;
use crate::error::CliError;
use crate::print;
use crate::tables::{diff_tables, read_table_files};
use argh::FromArgs;
use std::path::PathBuf;

/// Show what `apply` would change.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// YAML files with rows of one or both tables
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// count the rows that a named table has and the files do not
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
