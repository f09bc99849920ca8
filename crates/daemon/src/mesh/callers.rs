//! The HTTP port where callers and the local target send their requests.

use super::{Mesh, listener, request};
use async_net::TcpListener;
use bytes::Bytes;
use http::{Request, Response};
use pomeloreach_wire::h1::server::{self, ServerLimits, Service};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// The largest request body that is accepted, whatever the configuration allows, in bytes: a VM may
/// have no more than 100 MB of memory.
const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;

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

/// Serves callers until the daemon reads no further requests. Counts their open connections.
pub async fn serve_callers(mesh: Rc<Mesh>, listener: TcpListener) {
    let serve = |stream| {
        let connection = ConnectionGuard::new(&mesh);
        let mesh = mesh.clone();
        async move {
            server::serve(&mesh.executor, stream, &CallerService(mesh.clone())).await;
            drop(connection);
        }
    };
    listener::serve_each(&mesh, listener, mesh.stopped(), serve).await;
}

/// Counts a connection of a caller as open until it is dropped.
struct ConnectionGuard(Rc<Mesh>);

impl ConnectionGuard {
    fn new(mesh: &Rc<Mesh>) -> Self {
        mesh.caller_connections.set(mesh.caller_connections.get() + 1);
        Self(mesh.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.caller_connections.set(self.0.caller_connections.get() - 1);
    }
}

/// Routes the requests of callers to targets.
#[derive(Clone)]
pub struct CallerService(pub Rc<Mesh>);

impl Service for CallerService {
    type ResponseFuture = Pin<Box<dyn Future<Output = Response<Bytes>>>>;

    fn respond(&self, request: Request<Bytes>) -> Self::ResponseFuture {
        let in_flight = InFlightGuard::new(&self.0);
        let arrived_ms = self.0.now_ms();
        Box::pin(async move {
            let (head, body) = request.into_parts();
            in_flight.0.bodies.record_received(body.len() as u64);
            let response = request::serve(&in_flight.0, head, body, arrived_ms).await;
            in_flight.0.outbound_bodies.record_sent(response.body().len() as u64);
            response
        })
    }

    fn limits(&self) -> ServerLimits {
        let limits = self.0.config.limits();
        ServerLimits {
            header_bytes_max: limits.header_bytes_max as usize,
            body_bytes_max: (limits.body_bytes_max as usize).min(BODY_BYTES_MAX),
            header_timeout_ms: limits.header_timeout_ms.into(),
            idle_timeout_ms: limits.idle_timeout_ms.into(),
        }
    }

    fn unavailable(&self, head: Option<&Request<()>>) -> Option<Response<Bytes>> {
        request::refuse_without_config(&self.0, head.map(Request::headers))
    }

    fn is_draining(&self) -> bool {
        self.0.is_stopping.get()
    }

    fn stopped(&self) -> impl Future<Output = ()> {
        self.0.stopped()
    }
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard(Rc<Mesh>);

impl InFlightGuard {
    fn new(mesh: &Rc<Mesh>) -> Self {
        mesh.in_flight.set(mesh.in_flight.get() + 1);
        Self(mesh.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
