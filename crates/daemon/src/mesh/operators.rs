//! The operator port: heartbeats of the local target, readiness, metrics and the dump.

use super::Mesh;
use super::in_flight::InFlightGuard;
use super::metrics::GaugeValues;
use crate::logging::log_event;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use pomeloreach_core::endpoint::TargetState;
use pomeloreach_core::event::Event;
use pomeloreach_core::mesh::heartbeat::{HeartbeatEffect, TargetStart};
use pomeloreach_core::mesh::peers::Peer;
use pomeloreach_core::mesh::state::{DaemonRecord, DaemonState};
use pomeloreach_platform::control::{
    ControlCall, TargetCallError, decode_heartbeat, decode_leave, parse_control_call,
};
use pomeloreach_wire::clock::unix_ms;
use pomeloreach_wire::h1::server::{ServerLimits, Service};
use serde::Serialize;
use std::future::{Future, Ready, ready};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;

const METRICS_PATH: &str = "/metrics";
const OPENMETRICS_CONTENT_TYPE: HeaderValue =
    HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");

/// The reason to refuse a leave that is in force but not in the store: it would not outlive the daemons.
const NOT_STORED: &str = "not in the store";
/// The reason to refuse a leave of a start that seems to be earlier than the one in use.
const LATER_START: &str = "a later start may be in use";
/// The limits of requests to the operator port; a heartbeat has some hundred bytes.
const LIMITS: ServerLimits = ServerLimits {
    header_bytes_max: 16 * 1024,
    body_bytes_max: 64 * 1024,
    header_timeout_ms: 5_000,
    // Longer than the interval between heartbeats.
    idle_timeout_ms: 30_000,
};

/// Serves the target, the platform and operators until the daemon exits.
#[derive(Clone)]
pub struct OperatorService(pub Rc<Mesh>);

impl Service for OperatorService {
    type ResponseFuture = Pin<Box<dyn Future<Output = Response<Bytes>>>>;

    fn respond(&self, request: Request<Bytes>) -> Self::ResponseFuture {
        let in_flight = InFlightGuard::new(&self.0, |mesh| &mesh.operators_in_flight);
        Box::pin(async move { handle(&in_flight.mesh, &request).await })
    }

    fn limits(&self) -> ServerLimits {
        LIMITS
    }
}

/// Serves only the metrics.
#[derive(Clone)]
pub struct MetricsService(pub Rc<Mesh>);

impl Service for MetricsService {
    type ResponseFuture = Ready<Response<Bytes>>;

    fn respond(&self, request: Request<Bytes>) -> Self::ResponseFuture {
        let is_metrics_request =
            *request.method() == Method::GET && request.uri().path() == METRICS_PATH;
        ready(if is_metrics_request {
            metrics_response(&self.0)
        } else {
            empty_response(StatusCode::NOT_FOUND)
        })
    }

    fn limits(&self) -> ServerLimits {
        LIMITS
    }
}

async fn handle(mesh: &Rc<Mesh>, request: &Request<Bytes>) -> Response<Bytes> {
    let (method, path) = (request.method(), request.uri().path());
    match parse_control_call(method, path) {
        Some(ControlCall::Heartbeat { id }) => handle_heartbeat(mesh, id, request.body()).await,
        Some(ControlCall::Leave { id }) => handle_leave(mesh, &id, request.body()).await,
        Some(ControlCall::Readiness) if mesh.is_ready() => empty_response(StatusCode::OK),
        Some(ControlCall::Readiness) => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        None if *method == Method::GET && path == "/dump" => json_response(&dump(mesh)),
        None if *method == Method::GET && path == METRICS_PATH => metrics_response(mesh),
        None => empty_response(StatusCode::NOT_FOUND),
    }
}

async fn handle_heartbeat(mesh: &Rc<Mesh>, id: Arc<str>, body: &[u8]) -> Response<Bytes> {
    let settings = mesh.mesh_settings.borrow().clone();
    let decoded = decode_heartbeat(id.clone(), body, settings.target_addr, &settings.service);
    let heartbeat = match decoded {
        Ok(heartbeat) => heartbeat,
        Err(error) => return refuse_target_call(&id, &error),
    };
    let detail = format!(
        "target={id} state={} sequence={} born_unix_ms={} slots={} cold_left_ms={}",
        heartbeat.state,
        heartbeat.sequence,
        heartbeat.born_unix_ms,
        heartbeat.slots,
        heartbeat.cold_left_ms
    );
    let now_ms = mesh.now_ms();
    // A draining target counts as departed, as after a leave.
    let departed = (heartbeat.state == TargetState::Draining).then(|| heartbeat.start());
    if let Some(start) = &departed {
        mesh.peers.borrow_mut().add_departed(start.clone(), now_ms);
    }
    let effect = mesh.local_target.borrow_mut().apply(heartbeat, now_ms);
    if effect == HeartbeatEffect::Changed {
        log_event(Event::TargetAnnounced, &detail);
        mesh.publish_target_change();
    }
    if let Some(start) = departed {
        if mesh.local_target.borrow().is_leave_uncertain(&start, now_ms) {
            return refuse_leave(&id, LATER_START);
        }
        let is_recorded = mesh.departures.record(start, now_ms).await;
        if !is_recorded {
            return refuse_leave(&id, NOT_STORED);
        }
    }
    json_response(&serde_json::Map::new())
}

async fn handle_leave(mesh: &Rc<Mesh>, id: &str, body: &[u8]) -> Response<Bytes> {
    let last_born_unix_ms = mesh
        .local_target
        .borrow()
        .last_heartbeat()
        .filter(|last| &*last.id == id)
        .map(|last| last.born_unix_ms);
    // A target that is not known and does not report its start time started before now.
    let born_unix_ms = match decode_leave(body) {
        Ok(born_unix_ms) => born_unix_ms.or(last_born_unix_ms).unwrap_or_else(unix_ms),
        Err(error) => return refuse_target_call(id, &error),
    };
    let start = TargetStart { id: id.into(), born_unix_ms };
    let now_ms = mesh.now_ms();
    mesh.peers.borrow_mut().add_departed(start.clone(), now_ms);
    log_event(Event::TargetLeft, &format!("target={id} born_unix_ms={born_unix_ms}"));
    if mesh.local_target.borrow_mut().apply_leave(start.clone(), now_ms) {
        mesh.publish_target_change();
    }
    if mesh.local_target.borrow().is_leave_uncertain(&start, now_ms) {
        return refuse_leave(id, LATER_START);
    }
    let is_recorded = mesh.departures.record(start, now_ms).await;
    if is_recorded { empty_response(StatusCode::OK) } else { refuse_leave(id, NOT_STORED) }
}

/// Responds to a call that names no target, and changes nothing.
fn refuse_target_call(id: &str, error: &TargetCallError) -> Response<Bytes> {
    log_event(Event::HeartbeatRefused, &format!("target={id} reason={error}"));
    empty_response(StatusCode::BAD_REQUEST)
}

/// Responds to a leave that must be sent again.
fn refuse_leave(id: &str, reason: &str) -> Response<Bytes> {
    log_event(Event::LeaveNotStored, &format!("target={id} reason={reason}"));
    empty_response(StatusCode::SERVICE_UNAVAILABLE)
}

/// The state of the daemon, for operators.
#[derive(Serialize)]
struct Dump {
    uptime_ms: u64,
    own: DaemonRecord,
    state: DaemonState,
    in_flight: u32,
    peers: Vec<PeerDump>,
}

#[derive(Serialize)]
struct PeerDump {
    record: DaemonRecord,
    state: Option<DaemonState>,
    is_linked: bool,
    heard_ms_ago: u64,
    outstanding: u16,
}

fn dump(mesh: &Rc<Mesh>) -> Dump {
    let now_ms = mesh.now_ms();
    let peers = mesh.peers.borrow();
    let peer_dump = |peer: &Peer| PeerDump {
        record: peer.record.clone(),
        state: peer.state.clone(),
        is_linked: peer.is_linked,
        heard_ms_ago: now_ms.saturating_sub(peer.last_received_ms),
        outstanding: peer.outstanding_calls,
    };
    Dump {
        uptime_ms: now_ms,
        own: mesh.local.clone(),
        state: mesh.state(),
        in_flight: mesh.in_flight.get(),
        peers: peers.all().map(peer_dump).collect(),
    }
}

fn metrics_response(mesh: &Rc<Mesh>) -> Response<Bytes> {
    let gauges = GaugeValues {
        version: mesh.config.version(),
        newest_known_version: mesh.newest_known_version(),
        store_era: mesh.config.store_era(),
        links: mesh.links.outgoing.borrow().len(),
        in_flight: mesh.in_flight.get(),
        memory_used_bytes: mesh.memory.used_bytes(),
        memory_budget_bytes: mesh.memory.total_bytes(),
        caller_connections: mesh.caller_connections.count(),
    };
    match mesh.metrics.text(&gauges) {
        Ok(text) => {
            let mut response = Response::new(Bytes::from(text));
            response.headers_mut().insert(CONTENT_TYPE, OPENMETRICS_CONTENT_TYPE);
            response
        }
        Err(error) => {
            log_event(Event::InputRefused, &format!("call=metrics reason={error}"));
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty_response(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}

fn json_response<T: Serialize>(value: &T) -> Response<Bytes> {
    let Ok(body) = serde_json::to_vec(value) else {
        return empty_response(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut response = Response::new(Bytes::from(body));
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
