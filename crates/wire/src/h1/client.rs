//! A persistent connection to a server, which carries one request at a time.

use super::body::BodyOwner;
use super::reader::{Framing, MessageError, Reader, declared_framing, malformed};
use super::{EncodedMessage, connection_lists, encode_headers};
use crate::clock::{Clock, within_ms};
use crate::memory::{Memory, Room};
use async_net::TcpStream;
use bytes::Bytes;
use futures_lite::AsyncWriteExt;
use futures_lite::future::{or, pending, poll_once};
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Method, Request, Response, StatusCode, Version};
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;

/// The largest head of a response.
const HEAD_BYTES_MAX: usize = 64 * 1024;

/// The largest number of informational responses, and of responses to other requests, before the
/// one to a request. A server that sends them without end would otherwise keep the process busy.
const SKIPPED_MAX: usize = 16;

/// Why an exchange got no complete response.
#[derive(Debug, Error)]
pub enum ExchangeError {
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    #[error("cannot connect within {0} ms")]
    ConnectTimedOut(u64),
    /// The server may have received the request.
    #[error("no complete response: {0}")]
    NoResponse(#[from] MessageError),
    #[error("no response within {0} ms")]
    TimedOut(u64),
}

/// How long a response may take whose size is not known in advance: a limit on its whole duration
/// would fail a large one on a slow link, however often it is requested.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTimeouts {
    /// The time until the head is complete, in milliseconds.
    pub head_ms: u64,
    /// The time for which the server may send nothing after that, in milliseconds.
    pub silence_ms: u64,
}

impl ResponseTimeouts {
    /// The same time for the head and for each silence after it.
    pub fn same(timeout_ms: u64) -> Self {
        Self { head_ms: timeout_ms, silence_ms: timeout_ms }
    }
}

/// One connection to a server.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    reader: Reader,
    must_close: bool,
    /// How long the body of the last response took to arrive after its head, in milliseconds.
    body_ms: u64,
    /// The budget that the bodies of responses are charged to.
    memory: Arc<Memory>,
    /// The memory that is reserved for the next response.
    room: Room,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the server does not accept the connection within `timeout_ms`.
    pub async fn open(addr: SocketAddr, timeout_ms: u64) -> Result<Self, ExchangeError> {
        let result = within_ms(timeout_ms, TcpStream::connect(addr)).await;
        let stream = result
            .ok_or(ExchangeError::ConnectTimedOut(timeout_ms))?
            .map_err(ExchangeError::Connect)?;
        stream.set_nodelay(true).map_err(ExchangeError::Connect)?;
        Ok(Self::new(stream))
    }

    /// Uses a connection that is open already.
    pub fn new(stream: TcpStream) -> Self {
        let reader = Reader::new(stream.clone());
        let memory = Memory::unlimited();
        let room = Room::empty(&memory);
        Self { stream, reader, must_close: false, body_ms: 0, memory, room }
    }

    /// Charges the body of the next response to `memory`, of which `room` is reserved for it. What it
    /// needs beyond that stays unread until there is room.
    pub fn set_room(&mut self, memory: Arc<Memory>, room: Room) {
        self.memory = memory;
        self.room = room;
    }

    /// Whether another request can be sent: the server has neither closed the connection nor sent
    /// bytes that belong to no request.
    pub async fn is_usable(&self) -> bool {
        let mut byte = [0];
        !self.must_close && poll_once(self.stream.peek(&mut byte)).await.is_none()
    }

    /// How long the body of the last response took to arrive after its head, in milliseconds. What
    /// the response says was true at that time before its end.
    pub fn body_ms(&self) -> u64 {
        self.body_ms
    }

    /// Whether the connection must not carry another request.
    pub fn must_close(&self) -> bool {
        self.must_close
    }

    /// Sends a request and reads the complete response. Responses for which `is_mismatched` returns
    /// true belong to earlier requests and are skipped. Dropping the future leaves the connection
    /// unusable.
    ///
    /// # Errors
    ///
    /// After any error it is unknown whether the server received the request.
    pub async fn exchange(
        &mut self,
        request: &Request<Bytes>,
        body_bytes_max: usize,
        is_mismatched: impl Fn(&HeaderMap) -> bool,
    ) -> Result<Response<Bytes>, ExchangeError> {
        self.exchange_within(None, request, body_bytes_max, is_mismatched).await
    }

    /// Like [`Self::exchange`], with timeouts that do not depend on the size of the response.
    ///
    /// # Errors
    ///
    /// After any error it is unknown whether the server received the request.
    pub async fn exchange_within(
        &mut self,
        timeouts: Option<ResponseTimeouts>,
        request: &Request<Bytes>,
        body_bytes_max: usize,
        is_mismatched: impl Fn(&HeaderMap) -> bool,
    ) -> Result<Response<Bytes>, ExchangeError> {
        self.must_close = true;
        let message = encode(request);
        // `None` until the request was written or writing it has failed.
        let mut is_written = None;
        let mut writer = self.stream.clone();
        let writing = async {
            // The server may have sent a response even if writing fails.
            let [head, body] = message.parts();
            let has_written =
                writer.write_all(head).await.is_ok() && writer.write_all(body).await.is_ok();
            is_written = Some(has_written);
            pending().await
        };
        let reader = &mut self.reader;
        // The connection may stay open after the response, and must not keep its room.
        let memory = &self.memory;
        let room = std::mem::replace(&mut self.room, Room::empty(memory));
        let limits = ResponseLimits { timeouts, body_bytes_max, memory, room: &room };
        let reading = read_response(reader, limits, request.method(), is_mismatched);
        let ReadResponse { response, framing, is_keep_alive, body_ms } =
            or(reading, writing).await?;
        // The system reports a reset once: if writing has received it, the connection looks as if
        // the server had ended it.
        if framing == Framing::UntilClose && is_written == Some(false) {
            return Err(MessageError::Truncated.into());
        }
        self.body_ms = body_ms;
        // A server that responded before the request was written completely would read the next
        // request as the rest of this one.
        self.must_close =
            !is_keep_alive || is_written != Some(true) || self.reader.has_buffered_bytes();
        Ok(response)
    }
}

/// What bounds a response.
#[derive(Clone, Copy)]
struct ResponseLimits<'a> {
    timeouts: Option<ResponseTimeouts>,
    body_bytes_max: usize,
    memory: &'a Arc<Memory>,
    room: &'a Room,
}

/// A response that was read to its end.
struct ReadResponse {
    response: Response<Bytes>,
    framing: Framing,
    /// Whether the connection stays open after the response.
    is_keep_alive: bool,
    /// How long the body took to arrive, in milliseconds.
    body_ms: u64,
}

/// Reads the response to a request with `method`.
async fn read_response(
    reader: &mut Reader,
    limits: ResponseLimits<'_>,
    method: &Method,
    is_mismatched: impl Fn(&HeaderMap) -> bool,
) -> Result<ReadResponse, ExchangeError> {
    let ResponseLimits { timeouts, body_bytes_max, memory, room } = limits;
    for _ in 0..=SKIPPED_MAX {
        reader.set_silence_max_ms(None);
        let reading_head = reader.read_response_head(HEAD_BYTES_MAX);
        let head = match timeouts {
            Some(ResponseTimeouts { head_ms, .. }) => {
                within_ms(head_ms, reading_head).await.ok_or(ExchangeError::TimedOut(head_ms))??
            }
            None => reading_head.await?,
        };
        reader.set_silence_max_ms(timeouts.map(|timeouts| timeouts.silence_ms));
        if head.status() == StatusCode::SWITCHING_PROTOCOLS {
            // What follows is not HTTP/1.1, and no request asks for another protocol.
            return Err(malformed("the server switched to another protocol").into());
        }
        if head.status().is_informational() {
            continue;
        }
        let has_body = method != Method::HEAD
            && !matches!(head.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let framing = match declared_framing(head.headers())? {
            _ if !has_body => Framing::Length(0),
            Some(framing) => framing,
            None => Framing::UntilClose,
        };
        let body_clock = Clock::default();
        let body =
            reader.read_body(framing, body_bytes_max, memory, BodyOwner::Response(room)).await?;
        if is_mismatched(head.headers()) {
            continue;
        }
        let is_keep_alive = framing != Framing::UntilClose
            && head.version() == Version::HTTP_11
            && !connection_lists(head.headers(), "close");
        let (response, body_ms) = (head.map(|()| body), body_clock.now_ms());
        return Ok(ReadResponse { response, framing, is_keep_alive, body_ms });
    }
    Err(malformed("too many informational responses and responses to other requests").into())
}

fn encode(request: &Request<Bytes>) -> EncodedMessage {
    let body = request.body();
    let mut bytes = Vec::with_capacity(1_024);
    bytes.extend_from_slice(request.method().as_str().as_bytes());
    bytes.push(b' ');
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    bytes.extend_from_slice(path.as_bytes());
    bytes.extend_from_slice(b" HTTP/1.1\r\n");
    encode_headers(request.headers(), &mut bytes);
    let has_body = !body.is_empty() || !matches!(*request.method(), Method::GET | Method::HEAD);
    if has_body && !request.headers().contains_key(CONTENT_LENGTH) {
        bytes.extend_from_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    EncodedMessage::new(bytes, body.clone())
}
