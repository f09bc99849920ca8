//! `pomeloreachd`, the daemon that runs next to each target.

mod calls;
mod cmd;
mod control;
mod directory;
mod door;
mod error;
mod links;
mod logging;
mod mesh;
mod metrics;
mod operators;
mod peers;
mod proxy;
mod quic;
mod settings;
mod shared;
mod targets;

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
