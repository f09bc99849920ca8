//! `pomeloreach check`.

use crate::error::CliError;
use crate::print;
use crate::table_files::{check_table_file, read_table_files};
use argh::FromArgs;
use std::path::PathBuf;

/// Check table files without contacting a daemon.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// YAML files that together hold all rows of both tables
    #[argh(positional)]
    files: Vec<PathBuf>,
}

impl Check {
    pub fn run(self) -> Result<(), CliError> {
        let file = read_table_files(&self.files)?;
        check_table_file(&file)?;
        let routes = file.routes.map_or(0, |rows| rows.len());
        let pools = file.pools.map_or(0, |rows| rows.len());
        print::text(&format!("{routes} routes and {pools} pools are valid.\n"))
    }
}
