//! The command line of `pomeloreachd`: its subcommands.

mod check;
mod run;

use crate::error::DaemonError;
use argh::FromArgs;

/// The pomeloreach daemon: a proxy for callers, the inbound proxy of its local target, and a member
/// of the tree that distributes the operators' tables. See docs/OPERATING.md.
#[derive(FromArgs)]
pub struct Cli {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(run::Run),
    Check(check::Check),
}

impl Cli {
    pub fn run(self) -> Result<(), DaemonError> {
        match self.command {
            Command::Run(command) => command.run(),
            Command::Check(command) => command.run(),
        }
    }
}
