//! The command line of `pomeloreach`: its options and subcommands.

mod apply;
mod check;
mod diff;
mod drain;
mod dump;
mod explain;
mod history;
mod pools;
mod routes;
mod row;
mod status;
mod traffic;

use crate::client::Client;
use crate::error::CliError;
use argh::FromArgs;
use std::net::SocketAddr;

/// The operator port that is used without the option `--daemon`.
const DEFAULT_DAEMON: &str = "127.0.0.1:7402";

/// Edit the routes and pools tables of pomeloreach, and show which version is in force. Any daemon
/// serves edits and queries; dump, drain and traffic apply to the given daemon only. Exit codes: 0
/// success, 1 daemon or store unreachable, 2 invalid input, 3 refused, 4 conflict with another edit,
/// 5 outcome unknown, 6 condition not met in time.
#[derive(FromArgs)]
pub struct Cli {
    /// the address of a daemon's operator port (default: 127.0.0.1:7402)
    #[argh(option, short = 'd', default = "default_daemon()")]
    daemon: SocketAddr,
    /// print JSON instead of text
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Routes(routes::Routes),
    Pools(pools::Pools),
    Apply(apply::Apply),
    Diff(diff::Diff),
    Check(check::Check),
    Status(status::Status),
    History(history::History),
    Dump(dump::Dump),
    Drain(drain::Drain),
    Explain(explain::Explain),
    Traffic(traffic::Traffic),
}

impl Cli {
    pub fn run(self) -> Result<(), CliError> {
        let client = Client { addr: self.daemon };
        match self.command {
            Command::Routes(command) => command.run(client, self.json),
            Command::Pools(command) => command.run(client, self.json),
            Command::Apply(command) => command.run(client, self.json),
            Command::Diff(command) => command.run(client, self.json),
            Command::Check(command) => command.run(),
            Command::Status(command) => command.run(client, self.json),
            Command::History(command) => command.run(client, self.json),
            Command::Dump(command) => command.run(client),
            Command::Drain(command) => command.run(client, self.json),
            Command::Explain(command) => command.run(self.json),
            Command::Traffic(command) => command.run(client, self.json),
        }
    }
}

fn default_daemon() -> SocketAddr {
    DEFAULT_DAEMON.parse().expect("the default address can be parsed")
}
