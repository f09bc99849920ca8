//! Kept HTTP/1.1 connections through `hyper`.
//!
//! `async-h1` passes a cut body on as whole, takes an answer without a length for an empty one and
//! cannot tell that a caller has hung up; see `docs/HTTP.md`. Every answer here is whole or an
//! error.

use crate::clock::within_ms;
use async_executor::LocalExecutor;
use async_net::TcpStream;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{HeaderMap, Request, StatusCode};
use smol_hyper::rt::FuturesIo;
use std::net::SocketAddr;
use std::rc::Rc;
use thiserror::Error;

/// A request with its whole body.
pub type WholeRequest = Request<Full<Bytes>>;

/// A whole answer.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Why there is no whole answer.
#[derive(Debug, Error)]
pub enum ExchangeError {
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    #[error("no connection within {0} ms")]
    ConnectTimeout(u64),
    /// The connection had ended before anything of the request was written.
    #[error("the connection had ended before the request was sent")]
    NotSent(Box<WholeRequest>),
    /// The request may have arrived.
    #[error("no answer: {0}")]
    Lost(hyper::Error),
    /// The answer ended before its end, or is longer than allowed.
    #[error("the answer is not whole: {0}")]
    Cut(String),
    #[error("no answer within {0} ms")]
    Timeout(u64),
}

/// One kept connection. It carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the other side takes no connection within `timeout_ms`.
    pub async fn open(
        executor: &Rc<LocalExecutor<'static>>,
        addr: SocketAddr,
        timeout_ms: u64,
    ) -> Result<Self, ExchangeError> {
        let connected = within_ms(timeout_ms, TcpStream::connect(addr)).await;
        let stream = connected
            .ok_or(ExchangeError::ConnectTimeout(timeout_ms))?
            .map_err(ExchangeError::Connect)?;
        stream.set_nodelay(true).map_err(ExchangeError::Connect)?;
        let handshake = Builder::new().handshake(FuturesIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(ExchangeError::Lost)?;
        // The exchange that the connection fails under reports the error.
        executor
            .spawn(async move {
                connection.await.ok();
            })
            .detach();
        Ok(Self { sender })
    }

    /// Whether another request can be sent.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and reads the whole answer. Dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// Says whether the request can have arrived.
    pub async fn exchange(
        &mut self,
        request: WholeRequest,
        body_bytes_max: usize,
    ) -> Result<WholeAnswer, ExchangeError> {
        if self.sender.ready().await.is_err() {
            return Err(ExchangeError::NotSent(Box::new(request)));
        }
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut error| match error.take_message() {
            Some(request) => ExchangeError::NotSent(Box::new(request)),
            None => ExchangeError::Lost(error.into_error()),
        })?;
        let (head, body) = response.into_parts();
        let collected = Limited::new(body, body_bytes_max).collect().await;
        let body = collected.map_err(|error| ExchangeError::Cut(error.to_string()))?.to_bytes();
        Ok(WholeAnswer { status: head.status, headers: head.headers, body })
    }
}

/// Whether a header concerns one connection only and is not passed on.
pub fn is_hop_by_hop(name: &str, headers: &HeaderMap) -> bool {
    const HOP_BY_HOP: [&str; 9] = [
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    if HOP_BY_HOP.contains(&name) {
        return true;
    }
    let named = headers.get_all(hyper::header::CONNECTION).iter();
    named
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.split(',').any(|listed| listed.trim().eq_ignore_ascii_case(name)))
}
