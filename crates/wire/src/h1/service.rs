//! What handles the requests of clients' connections, and what bounds them.

use crate::memory::Memory;
use bytes::Bytes;
use futures_lite::future::pending;
use http::header::{HeaderValue, RETRY_AFTER};
use http::{Request, Response, StatusCode};
use std::future::Future;
use std::sync::Arc;
use strum::{Display, IntoStaticStr};

/// The receive buffer of a client's connection. Bytes that wait in it count as memory of the VM, and
/// the system would give a connection megabytes. It is enough for 100 MB a second within a zone.
pub const SOCKET_BUFFER_BYTES: usize = 128 * 1024;

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

/// A bound for which a request was refused or a connection closed.
#[derive(Clone, Copy, Debug, Display, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum Bound {
    /// The body is larger than the configuration allows.
    BodySize,
    /// The memory budget has no room for the request.
    Memory,
    /// The request was incomplete, and its memory was needed.
    StalledRequest,
    /// The client did not read responses, and their memory was needed.
    UnreadMemory,
    /// The client did not read responses for the idle time.
    UnreadTime,
    /// The connection was idle or stalled, and its descriptor or its memory was needed.
    Descriptors,
    /// A new connection was closed, because requests run on all others or take all memory.
    Connections,
}

/// Handles the requests of a connection.
pub trait Service {
    type ResponseFuture: Future<Output = Response<Bytes>> + 'static;

    /// Starts to handle a request. The future is dropped if the client closes the connection.
    fn respond(&self, request: Request<Bytes>) -> Self::ResponseFuture;

    fn limits(&self) -> ServerLimits;

    /// How many bytes the body of the response to a request is expected to have. Bounds the pipelined
    /// requests of a connection that are in progress at the same time.
    fn expected_response_bytes(&self, _head: &Request<()>) -> usize {
        0
    }

    /// The response to any request while the service can handle none. It is sent before the body is
    /// read, in place of a refusal of the request itself, and closes the connection. The head is
    /// absent if it could not be read.
    fn unavailable(&self, _head: Option<&Request<()>>) -> Option<Response<Bytes>> {
        None
    }

    /// The budget that the buffers of the connection are charged to.
    fn memory(&self) -> Arc<Memory> {
        Memory::unlimited()
    }

    /// The response to a request for which the budget has no room. The request has not run, and the
    /// connection is closed.
    fn overloaded(&self, _head: Option<&Request<()>>) -> Response<Bytes> {
        let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
        response
    }

    /// Records that a request is refused or a connection closed because of a bound.
    fn bound_reached(&self, _bound: Bound) {}

    /// Whether connections are closed after their next response.
    fn is_draining(&self) -> bool {
        false
    }

    /// Completes when no further requests may be read.
    fn stopped(&self) -> impl Future<Output = ()> {
        pending()
    }
}

pub(super) fn empty_response(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}
