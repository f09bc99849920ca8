//! Accepts TCP connections.

use super::Mesh;
use crate::logging::log_event;
use async_net::{TcpListener, TcpStream};
use futures_lite::future::{or, yield_now};
use pomeloreach_core::event::Event;
use pomeloreach_wire::clock::sleep_ms;
use std::future::Future;

/// The pause after a failed accept, in milliseconds, so that a persistent error does not cause a
/// busy loop.
const ACCEPT_PAUSE_MS: u64 = 50;

/// Serves each connection in its own task, until `stopped` completes.
pub async fn serve_each<F: Future<Output = ()> + 'static>(
    mesh: &Mesh,
    listener: TcpListener,
    stopped: impl Future<Output = ()>,
    serve: impl Fn(TcpStream) -> F,
) {
    let accepting = async {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    mesh.spawn(serve(stream));
                    // Connections that are closed in favour of this one end before the next accept.
                    yield_now().await;
                }
                Err(error) => {
                    log_event(Event::AcceptFailed, &format!("reason={error}"));
                    sleep_ms(ACCEPT_PAUSE_MS).await;
                }
            }
        }
    };
    or(accepting, stopped).await;
}
