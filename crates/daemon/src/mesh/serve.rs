//! Serves HTTP/1.1 connections through `hyper`.

use super::Mesh;
use async_net::TcpStream;
use futures_lite::future::or;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response};
use pomeloreach_wire::clock::sleep_ms;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// How often a connection with unread bytes is looked at for an end, in milliseconds.
const HANG_UP_LOOK_MS: u64 = 100;

/// The value by which an answer ends its connection.
pub const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// Why a request gets no answer. Its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NoAnswer {
    #[error("the caller closed the connection")]
    HungUp,
    #[error("the request was cut short")]
    RequestCut,
}

pub type Answered = Result<Response<Full<Bytes>>, NoAnswer>;

/// Serves one connection until it ends. Once the daemon is leaving, each answer closes its
/// connection.
pub async fn connection<F, Fut>(mesh: Rc<Mesh>, stream: TcpStream, idle_ms: u64, handle: F)
where
    F: Fn(Request<Incoming>) -> Fut,
    Fut: Future<Output = Answered>,
{
    // Without this option small answers would only be later.
    stream.set_nodelay(true).ok();
    let watched = stream.clone();
    let (watched, leaving) = (&watched, &mesh.leaving);
    let service = service_fn(|request| {
        let handled = handle(request);
        let answered = async move {
            let mut response = handled.await?;
            if leaving.get() {
                response.headers_mut().insert(CONNECTION, CLOSE);
            }
            Ok(response)
        };
        or(answered, async move { Err(hung_up(watched).await) })
    });
    let mut builder = Builder::new();
    builder
        .timer(SmolTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .auto_date_header(false);
    // How a connection ends is the caller's choice; requests report their own ends.
    builder.serve_connection(FuturesIo::new(stream), service).await.ok();
}

/// Ends when the caller has closed its connection. The library notices this only while it has read
/// nothing of a further request.
async fn hung_up(stream: &TcpStream) -> NoAnswer {
    let mut byte = [0];
    while !matches!(stream.peek(&mut byte).await, Ok(0) | Err(_)) {
        sleep_ms(HANG_UP_LOOK_MS).await;
    }
    NoAnswer::HungUp
}
