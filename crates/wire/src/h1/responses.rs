//! The responses on a client's connection: they are queued in the order of the requests and sent.

use super::activity::ConnectionActivity;
use super::ending::ConnectionEnding;
use super::service::Service;
use super::{EncodedMessage, connection_lists, encode_headers};
use crate::clock::within_ms;
use crate::memory::Hold;
use async_channel::Receiver;
use async_executor::Task;
use async_net::TcpStream;
use bytes::Bytes;
use futures_lite::AsyncWriteExt;
use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{Response, StatusCode};
use std::rc::Rc;

/// The response to a request that was read, in the queue of responses to send.
pub struct QueuedResponse {
    pub task: Task<Response<Bytes>>,
    /// The request has the method HEAD, so the response has no body.
    pub is_head_request: bool,
}

/// The responses of a connection that are complete, and the holder of their memory.
pub struct UnsentResponses {
    pub activity: Rc<ConnectionActivity>,
    pub hold: Hold,
}

impl UnsentResponses {
    /// Records that a response is complete of which `expected_bytes` were expected.
    pub fn add(&self, expected_bytes: usize, bytes: usize) {
        self.activity.response_complete(expected_bytes, bytes);
        self.hold.set_bytes(self.activity.queued_bytes());
    }

    fn remove(&self, bytes: usize) {
        self.activity.response_sent(bytes);
        self.hold.set_bytes(self.activity.queued_bytes());
    }
}

/// Why no more responses are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendingEnd {
    /// The last response was handed over to the system, which may send it for as long as the client
    /// takes.
    LastResponse,
    /// There are no more responses, or the connection failed.
    Finished,
    /// The client has read nothing for the idle time.
    Unread,
}

/// Sends the queued responses in order, up to the last one of the connection.
pub async fn write_responses(
    mut stream: TcpStream,
    receiver: &Receiver<QueuedResponse>,
    unsent: &UnsentResponses,
    ending: &ConnectionEnding,
    service: &impl Service,
) -> SendingEnd {
    while let Ok(queued) = receiver.recv().await {
        let response = queued.task.await;
        let body_bytes = response.body().len();
        if connection_lists(response.headers(), "close") {
            ending.close();
        }
        let is_last = ending.choose_last(service.is_draining());
        let message = encode(response, queued.is_head_request, is_last);
        let idle_timeout_ms = service.limits().idle_timeout_ms;
        unsent.hold.set_sending(true);
        for part in message.parts() {
            match write_part(&mut stream, part, unsent, idle_timeout_ms).await {
                None => return SendingEnd::Unread,
                Some(false) => return SendingEnd::Finished,
                Some(true) => {}
            }
        }
        if is_last {
            return SendingEnd::LastResponse;
        }
        drop(message);
        unsent.hold.set_sending(false);
        unsent.remove(body_bytes);
    }
    SendingEnd::Finished
}

/// Sends bytes. Returns whether they were sent, or `None` if the client reads none for too long.
async fn write_part(
    stream: &mut TcpStream,
    mut left: &[u8],
    unsent: &UnsentResponses,
    idle_timeout_ms: u64,
) -> Option<bool> {
    while !left.is_empty() {
        unsent.activity.sending();
        match within_ms(idle_timeout_ms, stream.write(left)).await? {
            Ok(bytes) if bytes > 0 => left = &left[bytes..],
            _ => return Some(false),
        }
        unsent.hold.record_progress();
    }
    Some(true)
}

fn encode(mut response: Response<Bytes>, is_head_request: bool, is_last: bool) -> EncodedMessage {
    let status = response.status();
    let body = std::mem::take(response.body_mut());
    let headers = response.headers_mut();
    headers.remove(CONNECTION);
    let has_length = status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED;
    if has_length && !is_head_request {
        headers.insert(CONTENT_LENGTH, body.len().into());
    }
    let mut bytes = Vec::with_capacity(1_024);
    let reason = status.canonical_reason().unwrap_or("Unknown");
    bytes.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", status.as_u16()).as_bytes());
    encode_headers(headers, &mut bytes);
    if is_last {
        bytes.extend_from_slice(b"connection: close\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    let has_body = has_length && !is_head_request;
    EncodedMessage::new(bytes, if has_body { body } else { Bytes::new() })
}
