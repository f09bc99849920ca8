//! `pomeloreachd`, the daemon that runs next to each target.

mod calls;
mod cmd;
mod control;
mod directory;
mod error;
mod inbound;
mod links;
mod local_target;
mod logging;
mod mesh;
mod metrics;
mod operators;
mod proxy;
mod quic;
mod quic_connections;
mod runtime;
mod settings;
mod signals;

use std::process::ExitCode;

fn main() -> ExitCode {
    let command: cmd::Cli = argh::from_env();
    match command.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pomeloreachd: {error}");
            ExitCode::FAILURE
        }
    }
}
