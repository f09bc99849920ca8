//! Runs the stand-in for the platform's object store as a process.

use argh::FromArgs;
use async_executor::Executor;
use pomeloreach_standins::serve_http::run_on_threads;
use pomeloreach_standins::store_server::StoreServer;
use std::net::SocketAddr;
use std::sync::Arc;

/// Serve the stand-in for the platform's object store.
#[derive(FromArgs)]
struct Store {
    /// the address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

fn main() -> std::io::Result<()> {
    let store: Store = argh::from_env();
    let executor = Arc::new(Executor::new());
    let server = Arc::new(StoreServer::default());
    run_on_threads(2, &executor, server.run(executor.clone(), store.listen))
}
