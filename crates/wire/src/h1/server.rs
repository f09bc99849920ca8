//! Serves a client's connection, including pipelined requests.

use super::activity::ConnectionActivity;
use super::body::BodyOwner;
use super::connection_lists;
use super::ending::ConnectionEnding;
use super::reader::{Framing, MessageError, Reader, declared_framing};
use super::responses::{QueuedResponse, SendingEnd, UnsentResponses, write_responses};
use super::service::empty_response;
pub use super::service::{Bound, SOCKET_BUFFER_BYTES, ServerLimits, Service};
use crate::clock::{sleep_ms, within_ms};
use crate::close::{CLOSE_TIMEOUT_MS, close_after_last_message, discard_until_closed};
use crate::memory::budget::{HolderKind, Purpose, SMALL_BYTES_MAX};
use crate::memory::{Charge, Hold, Memory};
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_net::TcpStream;
use bytes::Bytes;
use futures_lite::AsyncWriteExt;
use futures_lite::future::{or, pending};
use http::header::EXPECT;
use http::{Method, Request, Response, StatusCode, Version};
use std::rc::Rc;
use std::sync::Arc;

/// The capacity of a connection's response queue, which bounds its pipelined requests.
const PIPELINED_MAX: usize = 32;
/// How often a request that waits for earlier responses checks whether they are sent, in
/// milliseconds.
const RESPONSES_POLL_MS: u64 = 5;
/// No further request is read from a connection while so many bytes of complete responses wait to be
/// sent on it.
const UNREAD_BYTES_MAX: usize = 256 * 1024;
/// While other requests of a connection are in progress, no further one starts on it whose response would
/// raise the bytes that are expected or wait to be sent above this, or above one part of
/// `RESPONSES_DIVISOR` of the budget: so that the first requests on a connection do not all ask for
/// large responses before the first one is complete.
const RESPONSES_BYTES_MAX: usize = 2 * 1024 * 1024;
const RESPONSES_DIVISOR: usize = 16;
/// How many bytes are read behind a request that waits for earlier responses. Reading notices a
/// disconnect.
const READ_AHEAD_BYTES_MAX: usize = 64 * 1024;
/// The memory of a request apart from its head and body: its state and its tasks.
const REQUEST_BYTES: usize = 4 * 1024;
/// An incomplete head is charged beyond this size: every connection may hold as much.
const UNCHARGED_HEAD_BYTES: usize = 4 * 1024;
/// How often the head of a request is in memory: as parsed, as sent to the target and in a queue.
const HEAD_COPIES: usize = 3;
/// Why no more requests are read from a connection.
enum Stop {
    /// The client closed the connection, or it failed.
    Disconnected,
    /// The connection was idle for too long.
    Idle,
    /// The service accepts no more requests.
    ServiceStopped,
    /// The connection is ending: the client has asked for it, or the last response was chosen.
    Ending,
    /// The client sent a request that is refused with this status.
    Refused(StatusCode),
    /// The service can handle no request now, and responds with this.
    Unavailable(Response<Bytes>),
    /// The budget has no room for the head of a request.
    Overloaded,
}

/// Serves a connection until it closes. Pipelined GET and HEAD requests are handled concurrently; a
/// request with another method starts after all earlier responses are sent. Responses are sent in
/// the order of the requests. Requests in progress are cancelled when the client closes the
/// connection. A connection that this side ends stays open for reading until the client has closed it.
pub async fn serve(executor: &LocalExecutor<'static>, stream: TcpStream, service: &impl Service) {
    serve_observed(executor, stream, service, Rc::default()).await;
}

/// Like [`serve`], and records what happens on the connection in `activity`.
pub async fn serve_observed(
    executor: &LocalExecutor<'static>,
    stream: TcpStream,
    service: &impl Service,
    activity: Rc<ConnectionActivity>,
) {
    // The result does not matter: without the option small responses are only delayed.
    stream.set_nodelay(true).ok();
    let (sender, receiver) = async_channel::bounded(PIPELINED_MAX);
    let memory = service.memory();
    let hold = memory.hold(HolderKind::Responses);
    let ending = ConnectionEnding::new(activity.clone());
    let unsent = Rc::new(UnsentResponses { activity, hold });
    let writer = stream.clone();
    let reading = async {
        let mut request_reader = RequestReader {
            reader: Reader::recording(stream.clone(), unsent.activity.received()),
            executor,
            service,
            sender,
            memory,
            unsent: &unsent,
            ending: &ending,
        };
        let last_chosen = async {
            ending.last_chosen().await;
            Stop::Ending
        };
        let refusal = match or(last_chosen, request_reader.run()).await {
            Stop::Disconnected => return ConnectionEnd::Closed,
            Stop::Idle | Stop::ServiceStopped | Stop::Ending => None,
            Stop::Refused(status) => {
                if status == StatusCode::PAYLOAD_TOO_LARGE {
                    service.bound_reached(Bound::BodySize);
                }
                Some(service.unavailable(None).unwrap_or_else(|| empty_response(status)))
            }
            Stop::Unavailable(response) => Some(response),
            Stop::Overloaded => {
                service.bound_reached(Bound::Memory);
                Some(service.overloaded(None))
            }
        };
        if let Some(response) = refusal {
            request_reader.refuse(response).await;
        }
        ending.close();
        // `write_responses` ends after the responses that are queued.
        request_reader.sender.close();
        drop(request_reader);
        discard_until_closed(stream.clone()).await;
        ConnectionEnd::Closed
    };
    let writing = async {
        match write_responses(writer, &receiver, &unsent, &ending, service).await {
            // The time in which a client must show a sign of life also holds for its last response.
            SendingEnd::LastResponse => {
                let timeout_ms = service.limits().idle_timeout_ms.max(CLOSE_TIMEOUT_MS);
                ConnectionEnd::Ended { timeout_ms }
            }
            SendingEnd::Finished => ConnectionEnd::Ended { timeout_ms: CLOSE_TIMEOUT_MS },
            SendingEnd::Unread => ConnectionEnd::Unread(Bound::UnreadTime),
        }
    };
    let closing = async {
        unsent.hold.closed().await;
        ConnectionEnd::Unread(Bound::UnreadMemory)
    };
    match or(or(reading, writing), closing).await {
        ConnectionEnd::Closed => {}
        ConnectionEnd::Ended { timeout_ms } => {
            // What waits to be sent is not needed while the client closes the connection.
            drop(receiver);
            unsent.hold.set_bytes(0);
            close_after_last_message(stream, timeout_ms).await;
        }
        ConnectionEnd::Unread(bound) => service.bound_reached(bound),
    }
}

/// How a connection ends.
enum ConnectionEnd {
    /// The client closed it, or it failed.
    Closed,
    /// This side ends it, and waits for the client to close it for `timeout_ms` at most.
    Ended { timeout_ms: u64 },
    /// The client reads no responses.
    Unread(Bound),
}

/// Reads the requests of a connection and starts to handle them.
struct RequestReader<'a, S> {
    reader: Reader,
    executor: &'a LocalExecutor<'static>,
    service: &'a S,
    sender: Sender<QueuedResponse>,
    memory: Arc<Memory>,
    unsent: &'a Rc<UnsentResponses>,
    ending: &'a ConnectionEnding,
}

impl<S: Service> RequestReader<'_, S> {
    /// Reads requests until there is a reason to stop.
    async fn run(&mut self) -> Stop {
        loop {
            self.wait_until_read().await;
            let stopped = async {
                self.service.stopped().await;
                Err(Stop::ServiceStopped)
            };
            let activity = &self.unsent.activity;
            let reading = async {
                let (reader, memory) = (&mut self.reader, &self.memory);
                let head = read_head(reader, self.service, activity, memory).await;
                head.map_err(|error| stop_reason(&error))
            };
            let (head, head_bytes, limits) = match or(reading, stopped).await {
                Ok(head) => head,
                Err(stop) => return stop,
            };
            match self.start_request(head, head_bytes, limits).await {
                Ok(queued) => {
                    // The queue is closed only after the connection has failed.
                    if self.sender.send(queued).await.is_err() {
                        return Stop::Disconnected;
                    }
                }
                Err(stop) => return stop,
            }
            if self.ending.is_closing() {
                return Stop::Ending;
            }
        }
    }

    /// Reads the rest of a request and starts to handle it.
    async fn start_request(
        &mut self,
        head: Request<()>,
        head_bytes: usize,
        limits: ServerLimits,
    ) -> Result<QueuedResponse, Stop> {
        if let Some(response) = self.service.unavailable(Some(&head)) {
            return Err(Stop::Unavailable(response));
        }
        let framing = match declared_framing(head.headers()) {
            Ok(framing) => framing.unwrap_or(Framing::Length(0)),
            Err(error) => return Err(stop_reason(&error)),
        };
        let expected_bytes = self.service.expected_response_bytes(&head);
        self.wait_for_responses_room(expected_bytes).await;
        let request_bytes = REQUEST_BYTES + HEAD_COPIES * head_bytes;
        let hold = self.memory.hold(HolderKind::Request);
        let Some(charge) = self.charge_request(&hold, request_bytes).await else {
            return Err(self.overloaded(&head, Bound::Memory));
        };
        // `100 Continue` is sent only if no earlier response is outstanding: the client would
        // take it for the start of one.
        if head.headers().contains_key(EXPECT) && self.unsent.activity.is_idle() {
            let mut stream = self.reader.stream();
            if stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
                return Err(Stop::Disconnected);
            }
        }
        let body = {
            let bytes_max = limits.body_bytes_max;
            let reading =
                self.reader.read_body(framing, bytes_max, &self.memory, BodyOwner::Request(&hold));
            let reading = async { Some(within_ms(limits.idle_timeout_ms, reading).await) };
            let closing = async {
                hold.closed().await;
                None
            };
            or(reading, closing).await
        };
        let body = match body {
            None => return Err(self.overloaded(&head, Bound::StalledRequest)),
            Some(None) => return Err(Stop::Refused(StatusCode::REQUEST_TIMEOUT)),
            Some(Some(Err(MessageError::NoMemory))) => {
                return Err(self.overloaded(&head, Bound::Memory));
            }
            Some(Some(Err(error))) => return Err(stop_reason(&error)),
            Some(Some(Ok(body))) => body,
        };
        let is_head_request = head.method() == Method::HEAD;
        if !matches!(*head.method(), Method::GET | Method::HEAD) {
            // A request that may not be repeated starts only after all earlier responses are
            // sent: one of them could close the connection.
            if let Some(stop) = self.wait_for_responses(&hold, body.len()).await {
                return Err(stop.unwrap_or_else(|| self.overloaded(&head, Bound::StalledRequest)));
            }
        }
        drop(hold);
        if !self.ending.start_request() {
            return Err(Stop::Ending);
        }
        if !is_keep_alive(&head) {
            self.ending.close();
        }
        let response = self.service.respond(head.map(|()| body));
        let unsent = self.unsent.clone();
        unsent.activity.response_expected(expected_bytes);
        let task = self.executor.spawn(async move {
            let response = response.await;
            unsent.add(expected_bytes, response.body().len());
            drop(charge);
            response
        });
        Ok(QueuedResponse { task, is_head_request })
    }

    /// Charges a request apart from its body. Waits for room while earlier requests of the connection
    /// are in progress, since their responses make some.
    async fn charge_request(&self, hold: &Hold, bytes: usize) -> Option<Charge> {
        let mut charge = self.memory.empty_charge();
        loop {
            if charge.try_grow(Some(hold), bytes, Purpose::Request { bytes }) {
                hold.add_bytes(bytes);
                return Some(charge);
            }
            if self.unsent.activity.is_idle() {
                return None;
            }
            sleep_ms(RESPONSES_POLL_MS).await;
        }
    }

    /// Waits while the client leaves too many bytes of responses unread, so that what it sends stays
    /// with the system. Charges what the system may hold.
    async fn wait_until_read(&self) {
        let activity = &self.unsent.activity;
        if activity.queued_bytes() <= UNREAD_BYTES_MAX {
            return;
        }
        let _charge = self.memory.charge(SOCKET_BUFFER_BYTES);
        while activity.queued_bytes() > UNREAD_BYTES_MAX {
            sleep_ms(RESPONSES_POLL_MS).await;
        }
    }

    /// Waits until the connection may have another response with so many bytes in progress.
    async fn wait_for_responses_room(&self, expected_bytes: usize) {
        let bytes_max = RESPONSES_BYTES_MAX.min(self.memory.total_bytes() / RESPONSES_DIVISOR);
        let activity = &self.unsent.activity;
        while !activity.is_idle() && activity.outstanding_bytes() + expected_bytes > bytes_max {
            sleep_ms(RESPONSES_POLL_MS).await;
        }
    }

    /// Waits until all earlier responses are sent. Returns early with the reason if the client
    /// disconnects meanwhile, or with no reason if the memory of the request is needed: that of a
    /// small request is kept. Reads no more than the start of the next request.
    async fn wait_for_responses(&mut self, hold: &Hold, body_bytes: usize) -> Option<Option<Stop>> {
        let closing = async {
            if body_bytes <= SMALL_BYTES_MAX {
                hold.set_bytes(0);
                pending::<()>().await;
            }
            hold.closed().await;
            Some(None)
        };
        let activity = &self.unsent.activity;
        let waiting = async {
            while !activity.is_idle() {
                if self.reader.buffered_bytes() >= READ_AHEAD_BYTES_MAX {
                    sleep_ms(RESPONSES_POLL_MS).await;
                    continue;
                }
                match within_ms(RESPONSES_POLL_MS, self.reader.fill()).await {
                    Some(Ok(true)) | None => {}
                    Some(_) => return Some(Some(Stop::Disconnected)),
                }
            }
            None
        };
        or(waiting, closing).await
    }

    /// The refusal of a request for which there is no memory.
    fn overloaded(&self, head: &Request<()>, bound: Bound) -> Stop {
        self.service.bound_reached(bound);
        Stop::Unavailable(self.service.overloaded(Some(head)))
    }

    /// Queues an error response, which is sent after all earlier responses. There is none if an
    /// earlier response is the last one of the connection.
    async fn refuse(&mut self, response: Response<Bytes>) {
        // What the client goes on to send is discarded.
        self.reader.discard_buffer();
        if !self.ending.start_request() {
            return;
        }
        self.ending.close();
        let task = self.executor.spawn(async move { response });
        let queued = QueuedResponse { task, is_head_request: false };
        // The queue is closed only after the connection has failed.
        self.sender.send(queued).await.ok();
    }
}

/// Reads the head of the next request. Returns it with its size and the limits that apply to the
/// request: those in force when its first bytes were read, since they can change while the connection
/// is idle. An idle connection stays open while requests are in flight, and for the whole idle time
/// after that.
async fn read_head<S: Service>(
    reader: &mut Reader,
    service: &S,
    activity: &ConnectionActivity,
    memory: &Arc<Memory>,
) -> Result<(Request<()>, usize, ServerLimits), MessageError> {
    if !reader.has_buffered_bytes() {
        reader.release_buffer();
    }
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
        let mut charged = None;
        loop {
            let buffered_bytes = reader.buffered_bytes();
            if let Some(head) = reader.parse_request_head(limits.header_bytes_max)? {
                return Ok((head, buffered_bytes - reader.buffered_bytes(), limits));
            }
            if buffered_bytes > UNCHARGED_HEAD_BYTES && charged.is_none() {
                charged = Some(charge_head(memory, limits.header_bytes_max)?);
            }
            let closing = async {
                match &charged {
                    Some((hold, _)) => hold.closed().await,
                    None => pending().await,
                }
                Err(MessageError::NoMemory)
            };
            if !or(reader.fill(), closing).await? {
                return Err(MessageError::Closed);
            }
        }
    };
    within_ms(limits.header_timeout_ms, reading).await.unwrap_or(Err(MessageError::TimedOut))
}

/// Charges an incomplete head with the largest size that it may have.
fn charge_head(memory: &Arc<Memory>, bytes: usize) -> Result<(Hold, Charge), MessageError> {
    let hold = memory.hold(HolderKind::Request);
    let mut charge = memory.empty_charge();
    if !charge.try_grow(Some(&hold), bytes, Purpose::Request { bytes }) {
        return Err(MessageError::NoMemory);
    }
    hold.set_bytes(bytes);
    Ok((hold, charge))
}

/// The reason to stop after a request could not be read.
fn stop_reason(error: &MessageError) -> Stop {
    match error {
        MessageError::Closed | MessageError::Truncated | MessageError::Io(_) => Stop::Disconnected,
        MessageError::Silent(_) => Stop::Idle,
        MessageError::Malformed(_) => Stop::Refused(StatusCode::BAD_REQUEST),
        MessageError::HeadTooLarge(_) => Stop::Refused(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
        MessageError::BodyTooLarge(_) => Stop::Refused(StatusCode::PAYLOAD_TOO_LARGE),
        MessageError::NoMemory => Stop::Overloaded,
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
