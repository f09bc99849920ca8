//! Serves a client's connection, including pipelined requests.

use super::reader::{Framing, MessageError, Reader, declared_framing};
use super::{connection_lists, encode_headers};
use crate::clock::{Clock, within_ms};
use crate::close::{close_after_last_message, discard_until_closed};
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

/// The capacity of a connection's response queue, which bounds its pipelined requests.
const PIPELINED_MAX: usize = 32;
/// How often a request that waits for earlier responses checks whether they are sent, in
/// milliseconds.
const RESPONSES_POLL_MS: u64 = 5;
/// Limits on the size and duration of what a client sends.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    pub header_bytes_max: usize,
    pub body_bytes_max: usize,
    /// The longest time from the first byte of a message head to its last one, in milliseconds.
    pub header_timeout_ms: u64,
    /// The longest wait for a request's first byte, and for its body, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Handles the requests of a connection.
pub trait Service {
    type ResponseFuture: Future<Output = Response<Bytes>> + 'static;

    /// Starts to handle a request. The future is dropped if the client closes the connection.
    fn respond(&self, request: Request<Bytes>) -> Self::ResponseFuture;

    fn limits(&self) -> ServerLimits;

    /// The response to any request while the service can handle none. It is sent before the body is
    /// read, in place of a refusal of the request itself, and closes the connection. The head is
    /// absent if it could not be read.
    fn unavailable(&self, _head: Option<&Request<()>>) -> Option<Response<Bytes>> {
        None
    }

    /// Whether connections are closed after their next response.
    fn is_draining(&self) -> bool {
        false
    }

    /// Completes when no further requests may be read.
    fn stopped(&self) -> impl Future<Output = ()> {
        pending()
    }
}

/// The response to a request that was read, in the queue of responses to send.
struct QueuedResponse {
    task: Task<Response<Bytes>>,
    /// The request has the method HEAD, so the response has no body.
    is_head_request: bool,
    /// The connection is closed after this response.
    is_last: bool,
}

/// Why no more requests are read from a connection.
enum Stop {
    /// The client closed the connection, or it failed.
    Disconnected,
    /// The connection was idle for too long.
    Idle,
    /// The service accepts no more requests.
    ServiceStopped,
    /// The client sent a request that is refused with this status.
    Refused(StatusCode),
    /// The service can handle no request now, and responds with this.
    Unavailable(Response<Bytes>),
}

/// The requests in progress on a connection, and since when there are none.
#[derive(Default)]
struct Activity {
    clock: Clock,
    /// The number of requests that were read and whose responses are not sent yet.
    in_flight: Cell<usize>,
    /// When the last response was sent.
    last_sent_ms: Cell<u64>,
}

impl Activity {
    fn is_idle(&self) -> bool {
        self.in_flight.get() == 0
    }

    fn request_read(&self) {
        self.in_flight.set(self.in_flight.get() + 1);
    }

    fn response_sent(&self) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
        self.last_sent_ms.set(self.clock.now_ms());
    }

    /// How long no request has been in progress.
    fn idle_ms(&self) -> u64 {
        if self.is_idle() { self.clock.now_ms() - self.last_sent_ms.get() } else { 0 }
    }
}

/// Serves a connection until it closes. Pipelined GET and HEAD requests are handled concurrently; a
/// request with another method starts after all earlier responses are sent. Responses are sent in
/// the order of the requests. Requests in progress are cancelled when the client closes the
/// connection. A connection that this side ends stays open for reading until the client has closed it.
pub async fn serve(executor: &LocalExecutor<'static>, stream: TcpStream, service: &impl Service) {
    // The result does not matter: without the option small responses are only delayed.
    stream.set_nodelay(true).ok();
    let (sender, receiver) = async_channel::bounded(PIPELINED_MAX);
    let activity = Activity::default();
    let writer = stream.clone();
    let reading = async {
        let mut request_reader = RequestReader {
            reader: Reader::new(stream.clone()),
            executor,
            service,
            sender,
            activity: &activity,
        };
        let refusal = match request_reader.run().await {
            Stop::Disconnected => return true,
            Stop::Idle | Stop::ServiceStopped => None,
            Stop::Refused(status) => {
                Some(service.unavailable(None).unwrap_or_else(|| empty_response(status)))
            }
            Stop::Unavailable(response) => Some(response),
        };
        if let Some(response) = refusal {
            request_reader.refuse(response).await;
        }
        // `write_responses` ends after the responses that are queued.
        request_reader.sender.close();
        drop(request_reader);
        discard_until_closed(stream.clone()).await;
        true
    };
    let writing = async {
        write_responses(writer, &receiver, &activity, service).await;
        false
    };
    if or(reading, writing).await {
        return;
    }
    close_after_last_message(stream).await;
}

/// Reads the requests of a connection and starts to handle them.
struct RequestReader<'a, S> {
    reader: Reader,
    executor: &'a LocalExecutor<'static>,
    service: &'a S,
    sender: Sender<QueuedResponse>,
    activity: &'a Activity,
}

impl<S: Service> RequestReader<'_, S> {
    /// Reads requests until there is a reason to stop.
    async fn run(&mut self) -> Stop {
        loop {
            let stopped = async {
                self.service.stopped().await;
                Err(Stop::ServiceStopped)
            };
            let reading = async {
                let head = read_head(&mut self.reader, self.service, self.activity).await;
                head.map_err(|error| stop_reason(&error))
            };
            let (head, limits) = match or(reading, stopped).await {
                Ok(head) => head,
                Err(stop) => return stop,
            };
            if let Some(response) = self.service.unavailable(Some(&head)) {
                return Stop::Unavailable(response);
            }
            let framing = match declared_framing(head.headers()) {
                Ok(framing) => framing.unwrap_or(Framing::Length(0)),
                Err(error) => return stop_reason(&error),
            };
            // `100 Continue` is sent only if no earlier response is outstanding: the client would
            // take it for the start of one.
            if head.headers().contains_key(EXPECT) && self.activity.is_idle() {
                let mut stream = self.reader.stream();
                if stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
                    return Stop::Disconnected;
                }
            }
            let reading = self.reader.read_body(framing, limits.body_bytes_max);
            let body = match within_ms(limits.idle_timeout_ms, reading).await {
                None => return Stop::Refused(StatusCode::REQUEST_TIMEOUT),
                Some(Err(error)) => return stop_reason(&error),
                Some(Ok(body)) => body,
            };
            let is_last = !is_keep_alive(&head);
            let is_head_request = head.method() == Method::HEAD;
            if !matches!(*head.method(), Method::GET | Method::HEAD) {
                // A request that may not be repeated starts only after all earlier responses are
                // sent: one of them could close the connection.
                if let Some(stop) = self.wait_for_responses().await {
                    return stop;
                }
            }
            let task = self.executor.spawn(self.service.respond(head.map(|()| body)));
            self.activity.request_read();
            if self.sender.send(QueuedResponse { task, is_head_request, is_last }).await.is_err() {
                return Stop::Disconnected;
            }
        }
    }

    /// Waits until all earlier responses are sent. Returns early with the reason if the client
    /// disconnects meanwhile.
    async fn wait_for_responses(&mut self) -> Option<Stop> {
        while !self.activity.is_idle() {
            match within_ms(RESPONSES_POLL_MS, self.reader.fill()).await {
                Some(Ok(true)) | None => {}
                Some(_) => return Some(Stop::Disconnected),
            }
        }
        None
    }

    /// Queues an error response. It is sent after all earlier responses and closes the connection.
    async fn refuse(&mut self, response: Response<Bytes>) {
        let task = self.executor.spawn(async move { response });
        let queued = QueuedResponse { task, is_head_request: false, is_last: true };
        // The queue is closed if an earlier response closes the connection.
        self.sender.send(queued).await.ok();
    }
}

/// Reads the head of the next request. Returns it with the limits that apply to the request: those
/// in force when its first bytes were read, since they can change while the connection is idle. An
/// idle connection stays open while requests are in flight, and for the whole idle time after that.
async fn read_head<S: Service>(
    reader: &mut Reader,
    service: &S,
    activity: &Activity,
) -> Result<(Request<()>, ServerLimits), MessageError> {
    while !reader.has_buffered_bytes() {
        let idle_timeout_ms = service.limits().idle_timeout_ms;
        let left_ms = idle_timeout_ms.saturating_sub(activity.idle_ms());
        if left_ms == 0 {
            return Err(MessageError::Silent(idle_timeout_ms));
        }
        match within_ms(left_ms, reader.fill()).await {
            Some(Ok(true)) | None => {}
            Some(Ok(false)) => return Err(MessageError::Closed),
            Some(Err(error)) => return Err(error),
        }
    }
    let limits = service.limits();
    let reading = async {
        loop {
            if let Some(head) = reader.parse_request_head(limits.header_bytes_max)? {
                return Ok((head, limits));
            }
            if !reader.fill().await? {
                return Err(MessageError::Closed);
            }
        }
    };
    within_ms(limits.header_timeout_ms, reading).await.unwrap_or(Err(MessageError::TimedOut))
}

fn empty_response(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}

/// The reason to stop after a request could not be read.
fn stop_reason(error: &MessageError) -> Stop {
    match error {
        MessageError::Closed | MessageError::Truncated | MessageError::Io(_) => Stop::Disconnected,
        MessageError::Silent(_) => Stop::Idle,
        MessageError::Malformed(_) => Stop::Refused(StatusCode::BAD_REQUEST),
        MessageError::HeadTooLarge(_) => Stop::Refused(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
        MessageError::BodyTooLarge(_) => Stop::Refused(StatusCode::PAYLOAD_TOO_LARGE),
        MessageError::TimedOut => Stop::Refused(StatusCode::REQUEST_TIMEOUT),
    }
}

/// Whether the client keeps the connection open after this request.
fn is_keep_alive(head: &Request<()>) -> bool {
    match head.version() {
        Version::HTTP_10 => connection_lists(head.headers(), "keep-alive"),
        _ => !connection_lists(head.headers(), "close"),
    }
}

/// Sends the queued responses in order, until one of them closes the connection.
async fn write_responses(
    mut stream: TcpStream,
    receiver: &Receiver<QueuedResponse>,
    activity: &Activity,
    service: &impl Service,
) {
    while let Ok(queued) = receiver.recv().await {
        let response = queued.task.await;
        // Requests queued after this one have already started. Their responses are sent before the
        // connection closes.
        let is_draining = service.is_draining() && receiver.is_empty();
        let is_last =
            queued.is_last || is_draining || connection_lists(response.headers(), "close");
        let bytes = encode(response, queued.is_head_request, is_last);
        if stream.write_all(&bytes).await.is_err() || is_last {
            return;
        }
        activity.response_sent();
    }
}

fn encode(mut response: Response<Bytes>, is_head_request: bool, is_last: bool) -> Vec<u8> {
    let status = response.status();
    let body = std::mem::take(response.body_mut());
    let headers = response.headers_mut();
    headers.remove(CONNECTION);
    let has_length = status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED;
    if has_length && !is_head_request {
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
    if has_length && !is_head_request {
        bytes.extend_from_slice(&body);
    }
    bytes
}
