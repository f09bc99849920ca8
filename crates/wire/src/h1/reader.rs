//! Reads complete HTTP/1.1 messages from a connection.

use super::body::{BodyBuffer, BodyOwner};
use crate::clock::{Clock, within_ms};
use crate::memory::Memory;
use async_net::TcpStream;
use bytes::{Buf, Bytes, BytesMut};
use futures_lite::AsyncReadExt;
use futures_lite::future::yield_now;
use http::header::{CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, Version};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use thiserror::Error;

/// The largest number of headers in a response, and in a request that is parsed without allocating.
const HEADERS_MAX: usize = 128;
/// The size of one read from the connection.
const READ_BYTES: usize = 4 * 1024;
/// After this many reads in a row, other tasks run: a client that sends without end would otherwise
/// occupy the thread for as long as bytes are available.
const READS_PER_TURN: u32 = 16;
/// The largest size line of a chunk, and the largest trailer section.
const CHUNK_LINE_BYTES_MAX: usize = 4 * 1024;

/// Why no complete message could be read.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The other side closed the connection or was idle for too long before the first byte of a
    /// message.
    #[error("the connection was closed")]
    Closed,
    #[error("the connection was closed before the end of the message")]
    Truncated,
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    #[error("invalid HTTP/1.1 message: {0}")]
    Malformed(String),
    #[error("the message head exceeds {0} bytes")]
    HeadTooLarge(usize),
    #[error("the body exceeds {0} bytes")]
    BodyTooLarge(usize),
    #[error("the memory budget has no room for the message")]
    NoMemory,
    #[error("the message head was not complete in time")]
    TimedOut,
    #[error("nothing was received for {0} ms")]
    Silent(u64),
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(usize),
    Chunked,
    /// The body ends when the other side closes the connection.
    UntilClose,
}

/// A connection with a buffer of bytes that were read from it and not parsed yet.
#[derive(Debug)]
pub struct Reader {
    stream: TcpStream,
    buffer: BytesMut,
    /// Receives the bytes of one read, which are then appended to `buffer`.
    scratch: Box<[u8]>,
    /// How long one read may wait for bytes, in milliseconds.
    silence_max_ms: Option<u64>,
    reads: u32,
    received: ReceivedTime,
}

/// When a connection last received bytes.
#[derive(Clone, Debug, Default)]
pub struct ReceivedTime {
    clock: Clock,
    received_ms: Arc<AtomicU64>,
}

impl ReceivedTime {
    pub fn new(clock: Clock) -> Self {
        Self { clock, received_ms: Arc::new(AtomicU64::new(clock.now_ms())) }
    }

    pub fn received_ms(&self) -> u64 {
        self.received_ms.load(Ordering::Relaxed)
    }

    fn record(&self) {
        self.received_ms.store(self.clock.now_ms(), Ordering::Relaxed);
    }
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self::recording(stream, ReceivedTime::default())
    }

    /// A reader that records in `received` when it receives bytes.
    pub fn recording(stream: TcpStream, received: ReceivedTime) -> Self {
        let scratch = vec![0; READ_BYTES].into();
        let buffer = BytesMut::new();
        Self { stream, buffer, scratch, silence_max_ms: None, reads: 0, received }
    }

    /// Limits how long each later read may wait for bytes.
    pub fn set_silence_max_ms(&mut self, silence_max_ms: Option<u64>) {
        self.silence_max_ms = silence_max_ms;
    }

    /// A handle of the connection, for writing.
    pub fn stream(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Whether the buffer holds bytes that were not parsed yet.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The number of bytes that were not parsed yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Reads more bytes into the buffer. Returns false at the end of the stream. Dropping the
    /// future loses no bytes.
    pub async fn fill(&mut self) -> Result<bool, MessageError> {
        self.reads = self.reads.wrapping_add(1);
        if self.reads.is_multiple_of(READS_PER_TURN) {
            yield_now().await;
        }
        let reading = self.stream.read(&mut self.scratch);
        let bytes = match self.silence_max_ms {
            Some(ms) => within_ms(ms, reading).await.ok_or(MessageError::Silent(ms))??,
            None => reading.await?,
        };
        self.buffer.extend_from_slice(&self.scratch[..bytes]);
        self.received.record();
        Ok(bytes > 0)
    }

    /// Parses the head of a request. Returns `None` if the buffer does not hold all of it.
    pub fn parse_request_head(
        &mut self,
        bytes_max: usize,
    ) -> Result<Option<Request<()>>, MessageError> {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut parsed = httparse::Request::new(&mut headers);
        let mut status = parsed.parse(&self.buffer);
        let mut more_headers = Vec::new();
        if status == Err(httparse::Error::TooManyHeaders) {
            // Only the size of the head is limited, which bounds the number of its lines.
            let lines = self.buffer.iter().take(bytes_max).filter(|byte| **byte == b'\n').count();
            more_headers.resize(lines, httparse::EMPTY_HEADER);
            parsed = httparse::Request::new(&mut more_headers);
            status = parsed.parse(&self.buffer);
        }
        let status = match status {
            Err(httparse::Error::TooManyHeaders) => {
                return Err(MessageError::HeadTooLarge(bytes_max));
            }
            status => status.map_err(malformed)?,
        };
        let httparse::Status::Complete(length) = status else {
            return if self.buffer.len() > bytes_max {
                Err(MessageError::HeadTooLarge(bytes_max))
            } else {
                Ok(None)
            };
        };
        if length > bytes_max {
            return Err(MessageError::HeadTooLarge(bytes_max));
        }
        let mut request = Request::new(());
        *request.method_mut() =
            parsed.method.unwrap_or_default().parse::<Method>().map_err(malformed)?;
        *request.uri_mut() = parsed.path.unwrap_or_default().parse::<Uri>().map_err(malformed)?;
        *request.version_mut() = http_version(parsed.version);
        *request.headers_mut() = header_map(parsed.headers)?;
        self.buffer.advance(length);
        Ok(Some(request))
    }

    /// Reads the head of a response.
    pub async fn read_response_head(
        &mut self,
        bytes_max: usize,
    ) -> Result<Response<()>, MessageError> {
        loop {
            if let Some(response) = self.parse_response_head()? {
                return Ok(response);
            }
            if self.buffer.len() > bytes_max {
                return Err(MessageError::HeadTooLarge(bytes_max));
            }
            if !self.fill().await? {
                let is_truncated = self.has_buffered_bytes();
                return Err(if is_truncated {
                    MessageError::Truncated
                } else {
                    MessageError::Closed
                });
            }
        }
    }

    /// Parses the head of a response. Returns `None` if the buffer does not hold all of it. This is no
    /// part of [`Self::read_response_head`], whose future would contain the array of headers.
    fn parse_response_head(&mut self) -> Result<Option<Response<()>>, MessageError> {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut parsed = httparse::Response::new(&mut headers);
        let httparse::Status::Complete(length) = parsed.parse(&self.buffer).map_err(malformed)?
        else {
            return Ok(None);
        };
        let mut response = Response::new(());
        *response.status_mut() = http_status(parsed.code)?;
        *response.version_mut() = http_version(parsed.version);
        *response.headers_mut() = header_map(parsed.headers)?;
        self.buffer.advance(length);
        Ok(Some(response))
    }

    /// Reads a complete body, and charges it to `memory`. The reader keeps no memory of it. The body of
    /// a response stays with the system until there is room for it.
    pub async fn read_body(
        &mut self,
        framing: Framing,
        bytes_max: usize,
        memory: &Arc<Memory>,
        owner: BodyOwner<'_>,
    ) -> Result<Bytes, MessageError> {
        let mut body = BodyBuffer::new(memory, owner, bytes_max);
        match framing {
            Framing::Length(0) => return Ok(Bytes::new()),
            Framing::Length(length) if length > bytes_max => {
                return Err(MessageError::BodyTooLarge(bytes_max));
            }
            Framing::Length(length) => {
                body.reserve(length).await?;
                self.read_into(&mut body, length).await?;
            }
            Framing::UntilClose => loop {
                self.move_into(&mut body, usize::MAX).await?;
                if !self.fill().await? {
                    break;
                }
            },
            Framing::Chunked => self.read_chunks(&mut body).await?,
        }
        self.release_buffer();
        Ok(body.into_bytes())
    }

    /// Moves up to `bytes_max` bytes that were not parsed yet to a body. Returns their number.
    async fn move_into(
        &mut self,
        body: &mut BodyBuffer<'_>,
        bytes_max: usize,
    ) -> Result<usize, MessageError> {
        let bytes = self.buffer.len().min(bytes_max);
        body.extend(&self.buffer[..bytes]).await?;
        self.buffer.advance(bytes);
        Ok(bytes)
    }

    /// Reads exactly `bytes` bytes into a body.
    async fn read_into(
        &mut self,
        body: &mut BodyBuffer<'_>,
        bytes: usize,
    ) -> Result<(), MessageError> {
        let mut left = bytes - self.move_into(body, bytes).await?;
        while left > 0 {
            self.fill_or_truncated().await?;
            left -= self.move_into(body, left).await?;
        }
        Ok(())
    }

    /// Discards the bytes that were not parsed yet.
    pub fn discard_buffer(&mut self) {
        self.buffer = BytesMut::new();
    }

    /// Moves the bytes that were not parsed yet to an allocation of their own, so that a connection
    /// keeps no larger one than it needs.
    pub fn release_buffer(&mut self) {
        self.buffer = BytesMut::from(&self.buffer[..]);
    }

    async fn read_chunks(&mut self, body: &mut BodyBuffer<'_>) -> Result<(), MessageError> {
        loop {
            let size = self.read_chunk_size().await?;
            if size == 0 {
                return self.skip_trailers().await;
            }
            body.check_room(size)?;
            self.read_into(body, size).await?;
            while self.buffer.len() < 2 {
                self.fill_or_truncated().await?;
            }
            if !self.buffer.starts_with(b"\r\n") {
                return Err(malformed("a chunk is longer than its declared size"));
            }
            self.buffer.advance(2);
        }
    }

    async fn read_chunk_size(&mut self) -> Result<usize, MessageError> {
        loop {
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete((length, size))) => {
                    self.buffer.advance(length);
                    return usize::try_from(size).map_err(malformed);
                }
                Ok(httparse::Status::Partial) if self.buffer.len() <= CHUNK_LINE_BYTES_MAX => {
                    self.fill_or_truncated().await?;
                }
                _ => return Err(malformed("a chunk's size line is not valid or too long")),
            }
        }
    }

    /// Reads and discards the trailers: they apply to this connection only and are not forwarded.
    async fn skip_trailers(&mut self) -> Result<(), MessageError> {
        let mut read_bytes = 0;
        loop {
            let end = self.buffer.iter().position(|byte| *byte == b'\n');
            if read_bytes + end.unwrap_or(self.buffer.len()) > CHUNK_LINE_BYTES_MAX {
                return Err(malformed("the trailers are too long"));
            }
            let Some(end) = end else {
                self.fill_or_truncated().await?;
                continue;
            };
            // Another recipient could take a bare line feed for the end of a line, or not, and would
            // then find the next request elsewhere.
            if end == 0 || self.buffer[end - 1] != b'\r' {
                return Err(malformed("a line of the trailers does not end with CR LF"));
            }
            self.buffer.advance(end + 1);
            read_bytes += end + 1;
            if end == 1 {
                return Ok(());
            }
        }
    }

    /// Reads more bytes in the middle of a message, where the end of the stream is an error.
    async fn fill_or_truncated(&mut self) -> Result<(), MessageError> {
        if self.fill().await? { Ok(()) } else { Err(MessageError::Truncated) }
    }
}

/// The body length that the headers declare, if any. Conflicting `Content-Length` headers, and
/// `Content-Length` together with `Transfer-Encoding`, are refused: they allow request smuggling.
pub fn declared_framing(headers: &HeaderMap) -> Result<Option<Framing>, MessageError> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let length = match lengths.next() {
        None => None,
        Some(first) => {
            if lengths.any(|other| other != first) {
                return Err(malformed("conflicting Content-Length headers"));
            }
            let digits = first.as_bytes();
            if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
                return Err(malformed("the Content-Length is not a number"));
            }
            let text = first.to_str().map_err(malformed)?;
            Some(text.parse::<usize>().map_err(malformed)?)
        }
    };
    let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
    match (encodings.next(), encodings.next(), length) {
        (None, _, length) => Ok(length.map(Framing::Length)),
        (Some(only), None, None) if only.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Framing::Chunked))
        }
        _ => Err(malformed("unsupported or ambiguous body length")),
    }
}

/// A [`MessageError::Malformed`] with the reason as text.
pub fn malformed(reason: impl ToString) -> MessageError {
    MessageError::Malformed(reason.to_string())
}

/// The status of a response. `StatusCode` allows 600 to 999 as well, which HTTP does not have.
fn http_status(code: Option<u16>) -> Result<StatusCode, MessageError> {
    let code = code.filter(|code| (100..=599).contains(code));
    let code = code.ok_or_else(|| malformed("the status is not from 100 to 599"))?;
    StatusCode::from_u16(code).map_err(malformed)
}

fn http_version(minor: Option<u8>) -> Version {
    if minor == Some(0) { Version::HTTP_10 } else { Version::HTTP_11 }
}

fn header_map(headers: &[httparse::Header]) -> Result<HeaderMap, MessageError> {
    let mut map = HeaderMap::try_with_capacity(headers.len()).map_err(malformed)?;
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(malformed)?;
        let value = HeaderValue::from_bytes(header.value).map_err(malformed)?;
        map.try_append(name, value).map_err(malformed)?;
    }
    Ok(map)
}
