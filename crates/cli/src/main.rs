//! `pomeloreach`, the command-line tool for operators.

mod client;
mod cmd;
mod error;
mod log_line;
mod print;
mod rows;
mod table_files;

use std::process::ExitCode;

fn main() -> ExitCode {
    let command: cmd::Cli = argh::from_env();
    match command.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pomeloreach: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
