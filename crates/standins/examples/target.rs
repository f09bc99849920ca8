//! Runs the stand-in for a target as a process.

use argh::FromArgs;
use async_executor::Executor;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use pomeloreach_standins::serve_http::run_on_threads;
use pomeloreach_standins::target::{Behaviour, Target, TargetSettings};
use std::net::SocketAddr;
use std::sync::Arc;

/// Serve requests as a target, then drain and stop on SIGTERM.
#[derive(FromArgs)]
struct Args {
    /// the service to announce
    #[argh(option)]
    service: String,
    /// the port on the loopback address
    #[argh(option)]
    port: u16,
    /// requests that run at once
    #[argh(option, default = "12")]
    slots: u16,
    /// how long the target announces itself as starting, in milliseconds
    #[argh(option, default = "0")]
    cold_start_ms: u64,
    /// how long a request runs, in milliseconds
    #[argh(option, default = "1")]
    service_ms: u64,
    /// the operator address of the target's daemon
    #[argh(option)]
    daemon: SocketAddr,
}

fn main() -> std::io::Result<()> {
    let args: Args = argh::from_env();
    let settings = TargetSettings {
        service: args.service.into(),
        port: args.port,
        slots: args.slots,
        cold_start_ms: args.cold_start_ms,
        daemon_addr: args.daemon,
    };
    let behaviour = Behaviour { service_ms: args.service_ms, ..Behaviour::default() };
    let target = Target::new(settings, behaviour);
    let executor = Arc::new(Executor::new());
    let mut signals = Signals::new([Signal::Term])?;
    let stop = async move {
        signals.next().await;
    };
    run_on_threads(2, &executor, target.run(executor.clone(), stop))
}
