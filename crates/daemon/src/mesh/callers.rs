//! The HTTP port where callers and the local target send their requests.

use super::caller_connections::{Admission, CallerConnections};
use super::in_flight::InFlightGuard;
use super::{Mesh, listener, refusals, request};
use crate::logging::log_with;
use async_net::{TcpListener, TcpStream};
use bytes::Bytes;
use futures_lite::AsyncWriteExt;
use futures_lite::future::{or, poll_once};
use http::{Request, Response};
use pomeloreach_core::event::Event;
use pomeloreach_wire::h1::server::{self, Bound, SOCKET_BUFFER_BYTES, ServerLimits, Service};
use pomeloreach_wire::memory::Memory;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;

/// The memory that a daemon needs apart from buffers, in MiB: some 15 when it is idle, and its tables.
const PROCESS_MB: u64 = 24;
/// The share of the rest that the budget has. The other part is for what cannot be charged: unread bytes
/// that the system holds, and the copies and gaps that an allocation leaves when it grows. In floods of
/// clients the process grew by up to 1.4 times the budget.
const BUDGET_SHARE: (u64, u64) = (2, 3);
/// The largest body is smaller than the largest request by one part of this many, which is left for
/// heads and other requests.
const BODY_MARGIN_DIVISOR: usize = 8;
/// What a connection gets that is not served.
const FULL_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
                               content-length: 0\r\nconnection: close\r\n\r\n";

/// The memory budget of a daemon on a VM with so much memory.
pub fn memory_budget(memory_mb: u64) -> Arc<Memory> {
    let free_bytes = memory_mb.saturating_sub(PROCESS_MB) * 1024 * 1024;
    let budget_bytes = free_bytes * BUDGET_SHARE.0 / BUDGET_SHARE.1;
    Memory::new(usize::try_from(budget_bytes).unwrap_or(usize::MAX))
}

/// Serves HTTP connections with a service until the service stops.
pub async fn serve_http<S: Service + Clone + 'static>(
    mesh: Rc<Mesh>,
    listener: TcpListener,
    service: S,
) {
    let executor = mesh.executor.clone();
    let serve = |stream| {
        let (executor, service) = (executor.clone(), service.clone());
        async move { server::serve(&executor, stream, &service).await }
    };
    listener::serve_each(&mesh, listener, service.stopped(), serve).await;
}

/// Serves callers until the daemon reads no further requests.
pub async fn serve_callers(mesh: Rc<Mesh>, listener: TcpListener) {
    // Connections inherit it. A failure leaves the system's own size.
    set_socket_recv_buffer_size(&listener, SOCKET_BUFFER_BYTES).ok();
    let serve = |stream| serve_caller(mesh.clone(), stream);
    listener::serve_each(&mesh, listener, mesh.stopped(), serve).await;
}

/// Serves a connection, unless there are too many: the descriptors are needed for the rest.
fn serve_caller(mesh: Rc<Mesh>, stream: TcpStream) -> impl Future<Output = ()> + 'static {
    let admission = CallerConnections::add(&mesh);
    async move {
        let service = CallerService(mesh.clone());
        match admission {
            Admission::Full => {
                service.bound_reached(Bound::Connections);
                // The client may have closed the connection; nothing waits for it to read this.
                poll_once(stream.clone().write_all(FULL_RESPONSE)).await;
            }
            Admission::Served { connection, has_closed } => {
                if has_closed {
                    service.bound_reached(Bound::Descriptors);
                }
                let activity = connection.activity.clone();
                let serving = server::serve_observed(&mesh.executor, stream, &service, activity);
                or(serving, connection.closed()).await;
            }
        }
    }
}

/// Routes the requests of callers to targets.
#[derive(Clone)]
pub struct CallerService(pub Rc<Mesh>);

impl Service for CallerService {
    type ResponseFuture = Pin<Box<dyn Future<Output = Response<Bytes>>>>;

    fn respond(&self, request: Request<Bytes>) -> Self::ResponseFuture {
        let in_flight = InFlightGuard::new(&self.0, |mesh| &mesh.in_flight);
        let arrived_ms = self.0.now_ms();
        Box::pin(async move {
            let (head, body) = request.into_parts();
            in_flight.mesh.bodies.record_received(body.len() as u64);
            let response = request::serve(&in_flight.mesh, head, body, arrived_ms).await;
            in_flight.mesh.outbound_bodies.record_sent(response.body().len() as u64);
            response
        })
    }

    fn limits(&self) -> ServerLimits {
        let limits = self.0.config.limits();
        let request_bytes_max = self.0.memory.request_bytes_max();
        let budget_max = request_bytes_max - request_bytes_max / BODY_MARGIN_DIVISOR;
        ServerLimits {
            header_bytes_max: limits.header_bytes_max as usize,
            body_bytes_max: (limits.body_bytes_max as usize).min(budget_max),
            header_timeout_ms: limits.header_timeout_ms.into(),
            idle_timeout_ms: limits.idle_timeout_ms.into(),
        }
    }

    fn expected_response_bytes(&self, head: &Request<()>) -> usize {
        let Some(routes) = self.0.config.routes() else { return 0 };
        let host = request::host(head.headers(), head.uri());
        let route = routes.find(&host, head.uri().path(), head.method().as_str());
        route.map_or(0, |route| request::expected_response_bytes(&self.0, route))
    }

    fn unavailable(&self, head: Option<&Request<()>>) -> Option<Response<Bytes>> {
        refusals::refuse_without_config(&self.0, head.map(Request::headers))
    }

    fn memory(&self) -> Arc<Memory> {
        self.0.memory.clone()
    }

    fn overloaded(&self, head: Option<&Request<()>>) -> Response<Bytes> {
        refusals::refuse_without_memory(&self.0, head.map(Request::headers))
    }

    fn bound_reached(&self, bound: Bound) {
        self.0.metrics.bound_reached(bound);
        log_with(Event::ClientBounded, || {
            let (memory, connections) = (&self.0.memory, self.0.caller_connections.count());
            let (used, total) = (memory.used_bytes(), memory.total_bytes());
            format!(
                "bound={bound} memory_used_bytes={used} memory_budget_bytes={total} \
                 connections={connections}"
            )
        });
    }

    fn is_draining(&self) -> bool {
        self.0.is_stopping()
    }

    fn stopped(&self) -> impl Future<Output = ()> {
        self.0.stopped()
    }
}
