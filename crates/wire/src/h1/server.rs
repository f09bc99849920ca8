//! Serves one connection of a client, which may send requests ahead.

use super::reader::{Framing, MessageError, Reader, declared_framing};
use super::{connection_lists, encode_headers};
use crate::clock::within_ms;
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_net::TcpStream;
use bytes::Bytes;
use futures_lite::AsyncWriteExt;
use futures_lite::future::{or, pending};
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT};
use http::{Method, Request, Response, StatusCode, Version};
use std::cell::Cell;
use std::future::Future;

/// Requests of one connection that are worked on or wait to be answered at once.
const AHEAD_MAX: usize = 32;
/// How often a request that waits for earlier answers looks for them, in milliseconds.
const ANSWERS_LOOK_MS: u64 = 5;

/// What a client may send, and how long it may take.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    pub header_bytes_max: usize,
    pub body_bytes_max: usize,
    /// The time for a head from its first byte, in milliseconds.
    pub header_timeout_ms: u64,
    /// The time without any request, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// What answers a connection's requests.
pub trait Service {
    type ResponseFuture: Future<Output = Response<Bytes>> + 'static;

    /// Begins to answer a request. The future is dropped when the client has left.
    fn respond(&self, request: Request<Bytes>) -> Self::ResponseFuture;

    fn limits(&self) -> ServerLimits;

    /// Whether connections are to be closed with their next answer.
    fn is_draining(&self) -> bool {
        false
    }

    /// Ends when no further requests are to be read.
    fn stopped(&self) -> impl Future<Output = ()> {
        pending()
    }
}

/// A request that was read, in the order of the answers.
struct Slot {
    answering: Task<Response<Bytes>>,
    is_head: bool,
    is_last: bool,
}

/// Why no more requests are read.
enum End {
    /// The client closed the connection or broke the protocol's flow.
    Gone,
    /// The service takes no more requests.
    Stopped,
    /// What it sent can only be refused.
    Refused(StatusCode),
}

/// Serves a connection until it ends. Safe requests that were sent ahead are answered at the same
/// time, and their answers are sent in order. Whatever is being answered is cancelled when the
/// client closes the connection.
pub async fn serve(executor: &LocalExecutor<'static>, stream: TcpStream, service: &impl Service) {
    // Without this option small answers would only be later.
    stream.set_nodelay(true).ok();
    let (slots, queued) = async_channel::bounded(AHEAD_MAX);
    let open = Cell::new(0);
    let writer = stream.clone();
    let reading = async {
        let mut reading =
            Reading { reader: Reader::new(stream.clone()), executor, service, slots, open: &open };
        match reading.run().await {
            End::Gone => {}
            // The writing half ends the connection with the last answer.
            End::Stopped if open.get() > 0 => pending().await,
            End::Stopped => {}
            End::Refused(status) => reading.refuse(status).await,
        }
    };
    or(reading, write(writer, &queued, &open, service)).await;
    stream.shutdown(std::net::Shutdown::Both).ok();
}

struct Reading<'a, S> {
    reader: Reader,
    executor: &'a LocalExecutor<'static>,
    service: &'a S,
    slots: Sender<Slot>,
    /// Requests that were read and are not answered yet.
    open: &'a Cell<usize>,
}

impl<S: Service> Reading<'_, S> {
    async fn run(&mut self) -> End {
        loop {
            let limits = self.service.limits();
            let stopped = async {
                self.service.stopped().await;
                Err(End::Stopped)
            };
            let reading = async {
                let read = read_head(&mut self.reader, &limits, self.open).await;
                read.map_err(|error| end_of(&error))
            };
            let head = match or(reading, stopped).await {
                Ok(head) => head,
                Err(end) => return end,
            };
            let framing = match declared_framing(head.headers()) {
                Ok(framing) => framing.unwrap_or(Framing::Length(0)),
                Err(error) => return end_of(&error),
            };
            if head.headers().contains_key(EXPECT) && self.open.get() == 0 {
                let mut stream = self.reader.stream();
                if stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
                    return End::Gone;
                }
            }
            let reading = self.reader.body(framing, limits.body_bytes_max);
            let body = match within_ms(limits.idle_timeout_ms, reading).await {
                None => return End::Gone,
                Some(Err(error)) => return end_of(&error),
                Some(Ok(body)) => body,
            };
            let is_last = !is_kept(&head);
            let is_head = head.method() == Method::HEAD;
            if !matches!(*head.method(), Method::GET | Method::HEAD) {
                // A request that may not be repeated begins only when nothing before it can end
                // the connection.
                if let Some(end) = self.wait_for_answers().await {
                    return end;
                }
            }
            let answering = self.executor.spawn(self.service.respond(head.map(|()| body)));
            self.open.set(self.open.get() + 1);
            if self.slots.send(Slot { answering, is_head, is_last }).await.is_err() {
                return End::Gone;
            }
        }
    }

    /// Waits until all earlier answers are sent, and notices if the client leaves meanwhile.
    async fn wait_for_answers(&mut self) -> Option<End> {
        while self.open.get() > 0 {
            match within_ms(ANSWERS_LOOK_MS, self.reader.fill()).await {
                Some(Ok(true)) | None => {}
                Some(_) => return Some(End::Gone),
            }
        }
        None
    }

    /// Answers what cannot be served, after all answers before it.
    async fn refuse(&mut self, status: StatusCode) {
        let mut response = Response::new(Bytes::new());
        *response.status_mut() = status;
        let answering = self.executor.spawn(async move { response });
        let slot = Slot { answering, is_head: false, is_last: true };
        if self.slots.send(slot).await.is_ok() {
            // The writing half ends the connection.
            std::future::pending::<()>().await;
        }
    }
}

/// Reads the next head. While answers are being made, an idle connection stays open.
async fn read_head(
    reader: &mut Reader,
    limits: &ServerLimits,
    open: &Cell<usize>,
) -> Result<Request<()>, MessageError> {
    loop {
        if let Some(head) = reader.request_head(limits.header_bytes_max)? {
            return Ok(head);
        }
        let is_begun = reader.has_bytes();
        let wait_ms = if is_begun { limits.header_timeout_ms } else { limits.idle_timeout_ms };
        match within_ms(wait_ms, reader.fill()).await {
            Some(Ok(true)) => {}
            Some(Ok(false)) => return Err(MessageError::Closed),
            Some(Err(error)) => return Err(error),
            None if is_begun => return Err(MessageError::TimedOut),
            None if open.get() > 0 => {}
            None => return Err(MessageError::Closed),
        }
    }
}

fn end_of(error: &MessageError) -> End {
    match error {
        MessageError::Closed | MessageError::Truncated | MessageError::Io(_) => End::Gone,
        MessageError::Malformed(_) => End::Refused(StatusCode::BAD_REQUEST),
        MessageError::HeadTooLarge(_) => End::Refused(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
        MessageError::BodyTooLarge(_) => End::Refused(StatusCode::PAYLOAD_TOO_LARGE),
        MessageError::TimedOut => End::Refused(StatusCode::REQUEST_TIMEOUT),
    }
}

fn is_kept(head: &Request<()>) -> bool {
    match head.version() {
        Version::HTTP_10 => connection_lists(head.headers(), "keep-alive"),
        _ => !connection_lists(head.headers(), "close"),
    }
}

async fn write(
    mut stream: TcpStream,
    queued: &Receiver<Slot>,
    open: &Cell<usize>,
    service: &impl Service,
) {
    while let Ok(slot) = queued.recv().await {
        let response = slot.answering.await;
        // Requests behind this one were begun already, and are answered before the end.
        let is_leaving = service.is_draining() && queued.is_empty();
        let is_last = slot.is_last || is_leaving || connection_lists(response.headers(), "close");
        let bytes = encode(response, slot.is_head, is_last);
        if stream.write_all(&bytes).await.is_err() || is_last {
            return;
        }
        open.set(open.get().saturating_sub(1));
    }
}

fn encode(mut response: Response<Bytes>, is_head: bool, is_last: bool) -> Vec<u8> {
    let status = response.status();
    let body = std::mem::take(response.body_mut());
    let headers = response.headers_mut();
    headers.remove(CONNECTION);
    let has_length = status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED;
    if has_length && !is_head {
        headers.insert(CONTENT_LENGTH, body.len().into());
    }
    let mut bytes = Vec::with_capacity(512 + body.len());
    let reason = status.canonical_reason().unwrap_or("Unknown");
    bytes.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", status.as_u16()).as_bytes());
    encode_headers(headers, &mut bytes);
    if is_last {
        bytes.extend_from_slice(b"connection: close\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    if has_length && !is_head {
        bytes.extend_from_slice(&body);
    }
    bytes
}
