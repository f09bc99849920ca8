//! HTTP for the ports that are served through `async-h1`, with a check of body lengths that the
//! library lacks: it delivers a truncated body as if it were complete. This module therefore reads
//! every body to its end and compares its size with the declared length.

use crate::clock::within_ms;
use crate::close::{CLOSE_TIMEOUT_MS, close_after_last_message};
use crate::h1::MessageError;
use crate::h1::client::{Connection, ExchangeError};
use async_net::TcpStream;
use bytes::Bytes;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use http::{HeaderName, HeaderValue};
use http_types::headers::{CONTENT_LENGTH, HOST};
use http_types::url::Position;
use http_types::{Body, Method, Request, Response, StatusCode, Url};
use pomeloreach_core::api::ErrorResponse;
use pomeloreach_core::code::ResultCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use thiserror::Error;

/// The timeout for opening a connection on the local network, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Why a body cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    #[error("the body ends before its declared length")]
    Truncated,
    #[error("the body is larger than allowed")]
    TooLarge,
}

/// Why a call got no complete response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// No part of the request was sent.
    #[error("cannot connect: {0}")]
    Connect(String),
    /// The connection failed after it was opened: the server may have received the request.
    #[error("no response: {0}")]
    NoResponse(String),
    #[error("bad response: {0}")]
    Body(#[from] BodyError),
    #[error("no response within {0} ms")]
    TimedOut(u64),
}

/// A response whose body was read to its end.
#[derive(Clone, Debug)]
pub struct FullResponse {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl FullResponse {
    /// The first value of a header; names are compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Decodes the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }
}

/// Reads the complete body of a request.
pub async fn read_request_body(
    request: &mut Request,
    bytes_max: usize,
) -> Result<Vec<u8>, BodyError> {
    let declared = declared_length(request.header(CONTENT_LENGTH).map(|v| v.last().as_str()));
    read_body(request.take_body(), declared, bytes_max).await
}

/// Parses the value of a `Content-Length` header.
fn declared_length(header: Option<&str>) -> Option<usize> {
    header.and_then(|value| value.trim().parse().ok())
}

async fn read_body(
    body: Body,
    declared: Option<usize>,
    bytes_max: usize,
) -> Result<Vec<u8>, BodyError> {
    if declared.is_some_and(|bytes| bytes > bytes_max) {
        return Err(BodyError::TooLarge);
    }
    let mut bytes = Vec::with_capacity(declared.unwrap_or(0));
    let limit = bytes_max as u64 + 1;
    body.take(limit).read_to_end(&mut bytes).await.map_err(|_| BodyError::Truncated)?;
    if bytes.len() > bytes_max {
        return Err(BodyError::TooLarge);
    }
    if declared.is_some_and(|declared| declared != bytes.len()) {
        return Err(BodyError::Truncated);
    }
    Ok(bytes)
}

/// Opens a connection, within `CONNECT_TIMEOUT_MS`.
pub async fn connect(addr: SocketAddr) -> Result<TcpStream, HttpError> {
    let result = within_ms(CONNECT_TIMEOUT_MS, TcpStream::connect(addr)).await;
    let stream = match result {
        None => return Err(HttpError::Connect(format!("{addr}: timed out"))),
        Some(connected) => connected.map_err(|e| HttpError::Connect(format!("{addr}: {e}")))?,
    };
    stream.set_nodelay(true).ok();
    Ok(stream)
}

/// Sends a request and reads the complete response. The connection is used for this request only.
/// This goes through [`crate::h1`]: `async-h1` keeps a line of a response's head in memory however long
/// it is.
pub async fn exchange(
    stream: TcpStream,
    request: Request,
    bytes_max: usize,
) -> Result<FullResponse, HttpError> {
    let request = h1_request(request).await?;
    let exchanged = Connection::new(stream).exchange(&request, bytes_max, |_| false).await;
    let response = exchanged.map_err(|error| match error {
        ExchangeError::NoResponse(MessageError::Truncated) => BodyError::Truncated.into(),
        ExchangeError::NoResponse(MessageError::BodyTooLarge(_)) => BodyError::TooLarge.into(),
        error => HttpError::NoResponse(error.to_string()),
    })?;
    let (head, body) = response.into_parts();
    let header = |(name, value): (&HeaderName, &HeaderValue)| {
        let value = std::str::from_utf8(value.as_bytes());
        let value = value.map_err(|error| HttpError::NoResponse(format!("{name}: {error}")))?;
        Ok((name.as_str().to_string(), value.to_string()))
    };
    let headers = head.headers.iter().map(header).collect::<Result<_, HttpError>>()?;
    Ok(FullResponse { status: head.status.as_u16(), headers, body: body.into() })
}

/// Converts a request. Without a host it gets that of its URL.
async fn h1_request(mut request: Request) -> Result<http::Request<Bytes>, HttpError> {
    let invalid = |error: &dyn std::fmt::Display| HttpError::Connect(error.to_string());
    let url = request.url();
    let mut builder = http::Request::builder()
        .method(request.method().as_ref())
        .uri(&url[Position::BeforePath..Position::AfterQuery]);
    if request.header(HOST).is_none() {
        builder = builder.header("host", &url[Position::BeforeHost..Position::AfterPort]);
    }
    for (name, values) in request.iter() {
        for value in values {
            builder = builder.header(name.as_str(), value.as_str());
        }
    }
    let body = request.take_body().into_bytes().await.map_err(|error| invalid(&error))?;
    builder.body(Bytes::from(body)).map_err(|error| invalid(&error))
}

/// Builds a request for a path at an address. It asks the server to close the connection.
pub fn new_request(method: Method, addr: SocketAddr, path: &str) -> Result<Request, HttpError> {
    let url = Url::parse(&format!("http://{addr}{path}"));
    let url = url.map_err(|error| HttpError::Connect(format!("{path}: {error}")))?;
    let mut request = Request::new(method, url);
    request.insert_header("connection", "close");
    Ok(request)
}

/// Connects, sends a request with a body and reads the complete response, all within `timeout_ms`.
pub async fn call(
    addr: SocketAddr,
    mut request: Request,
    body: Vec<u8>,
    bytes_max: usize,
    timeout_ms: u64,
) -> Result<FullResponse, HttpError> {
    if !body.is_empty() {
        request.set_body(Body::from_bytes(body));
    }
    let exchange = async {
        let stream = connect(addr).await?;
        exchange(stream, request, bytes_max).await
    };
    within_ms(timeout_ms, exchange).await.unwrap_or(Err(HttpError::TimedOut(timeout_ms)))
}

/// A response with a JSON body.
pub fn json_response<T: Serialize>(status: u16, value: &T) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    let body = serde_json::to_vec(value).expect("responses are always encodable");
    response.set_body(Body::from_bytes(body));
    response.insert_header("content-type", "application/json");
    response
}

/// An error response for operators and targets.
pub fn error_response(code: ResultCode, reason: impl Into<String>) -> Response {
    let error = ErrorResponse { code, number: code.number(), reason: reason.into() };
    json_response(code.http_status(), &error)
}

/// The error response to a request whose body cannot be used.
pub fn body_error_response(error: BodyError) -> Response {
    let code = match error {
        BodyError::Truncated => ResultCode::Malformed,
        BodyError::TooLarge => ResultCode::BodyTooLarge,
    };
    error_response(code, error.to_string())
}

/// Serves one connection until it closes. A request that cannot be parsed gets an error response
/// with a result code. What the handler returns beside a response is kept until the response is
/// written, and if the connection ends after it, until the client has closed the connection.
pub async fn serve<F, Fut, G>(stream: TcpStream, handler: F)
where
    F: Fn(Request) -> Fut,
    Fut: Future<Output = (Response, G)>,
    G: Send + 'static,
{
    stream.set_nodelay(true).ok();
    let connection = ServedConnection { stream, guard: Arc::new(Mutex::new(None)) };
    let endpoint = |request| {
        let response = handler(request);
        let guard_slot = connection.guard.clone();
        async move {
            let (response, guard) = response.await;
            *guard_slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(guard);
            Ok(response)
        }
    };
    if let Err(error) = async_h1::accept(connection.clone(), endpoint).await {
        send_malformed_error(&mut connection.stream.clone(), &error.to_string()).await;
    }
    close_after_last_message(connection.stream.clone(), CLOSE_TIMEOUT_MS).await;
}

/// The connection of a client, with what is kept until the last response is written.
struct ServedConnection<G> {
    stream: TcpStream,
    guard: Arc<Mutex<Option<G>>>,
}

impl<G> Clone for ServedConnection<G> {
    fn clone(&self) -> Self {
        Self { stream: self.stream.clone(), guard: self.guard.clone() }
    }
}

impl<G> AsyncRead for ServedConnection<G> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        // The next request is read after the response was written.
        self.guard.lock().unwrap_or_else(PoisonError::into_inner).take();
        Pin::new(&mut self.stream).poll_read(context, bytes)
    }
}

impl<G> AsyncWrite for ServedConnection<G> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

/// Sends the error response to a request that cannot be parsed.
async fn send_malformed_error(stream: &mut TcpStream, reason: &str) {
    let code = ResultCode::Malformed;
    let error = ErrorResponse { code, number: code.number(), reason: reason.to_string() };
    let body = serde_json::to_string(&error).unwrap_or_default();
    let head = format!(
        "HTTP/1.1 400 Bad Request\r\ncontent-type: application/json\r\nx-pomeloreach-code: {}\r\n\
         x-pomeloreach-outcome: not-run\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        code.number(),
        body.len()
    );
    stream.write_all(head.as_bytes()).await.ok();
    stream.write_all(body.as_bytes()).await.ok();
}
