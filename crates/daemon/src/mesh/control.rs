//! Heartbeats of the target beside this daemon, readiness, and the operators' dump.

use super::serve::{self, Answered, NoAnswer};
use super::{Mesh, sleep_ms};
use crate::logging::log_event;
use async_net::TcpListener;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use pomeloreach_core::event::Event;
use pomeloreach_core::mesh::heartbeat::Heard;
use pomeloreach_platform::control::{ControlCall, control_call, decode_heartbeat, decode_leave};
use serde::Serialize;
use std::rc::Rc;
use std::sync::Arc;

/// The largest heartbeat, in bytes.
const BODY_BYTES_MAX: usize = 64 * 1024;
/// How long a connection may stay idle, in milliseconds; longer than the pause between heartbeats.
const IDLE_MS: u64 = 30_000;
/// The pause after a failed accept, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 50;

/// Accepts the target, the platform and operators.
pub async fn accept(mesh: Rc<Mesh>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep_ms(ACCEPT_PAUSE_MS).await;
            continue;
        };
        let task_mesh = mesh.clone();
        mesh.spawn(async move {
            let handler_mesh = task_mesh.clone();
            let handle = move |request| handle(handler_mesh.clone(), request);
            serve::connection(task_mesh, stream, IDLE_MS, handle).await;
        });
    }
}

async fn handle(mesh: Rc<Mesh>, request: Request<Incoming>) -> Answered {
    let (head, body) = request.into_parts();
    let collected = Limited::new(body, BODY_BYTES_MAX).collect().await;
    let body = collected.map_err(|_| NoAnswer::RequestCut)?.to_bytes();
    Ok(match control_call(&head.method, head.uri.path()) {
        Some(ControlCall::Heartbeat { id }) => heartbeat(&mesh, id, &body),
        Some(ControlCall::Leave { id }) => leave(&mesh, &id, &body),
        Some(ControlCall::Readiness) if mesh.is_ready() => empty(StatusCode::OK),
        Some(ControlCall::Readiness) => empty(StatusCode::SERVICE_UNAVAILABLE),
        None if head.method == Method::GET && head.uri.path() == "/dump" => json(&dump(&mesh)),
        None => empty(StatusCode::NOT_FOUND),
    })
}

fn heartbeat(mesh: &Rc<Mesh>, id: Arc<str>, body: &[u8]) -> Response<Full<Bytes>> {
    let settings = mesh.mesh_settings.borrow().clone();
    let decoded = decode_heartbeat(id.clone(), body, settings.target_addr, &settings.service);
    let heartbeat = match decoded {
        Ok(heartbeat) => heartbeat,
        Err(error) => {
            log_event(Event::HeartbeatRefused, &format!("target={id} reason={error}"));
            return empty(StatusCode::BAD_REQUEST);
        }
    };
    let detail = format!(
        "target={id} state={} sequence={} born_unix_ms={} slots={} cold_left_ms={}",
        heartbeat.state,
        heartbeat.sequence,
        heartbeat.born_unix_ms,
        heartbeat.slots,
        heartbeat.cold_left_ms
    );
    let heard = mesh.target.borrow_mut().hear(heartbeat, mesh.now_ms());
    if heard == Heard::Changed {
        log_event(Event::TargetAnnounced, &detail);
        mesh.door.refresh(mesh);
        mesh.links.report_now();
    }
    json(&serde_json::Map::new())
}

fn leave(mesh: &Rc<Mesh>, id: &str, body: &[u8]) -> Response<Full<Bytes>> {
    if mesh.target.borrow_mut().leave(id, decode_leave(body)) {
        log_event(Event::TargetLeft, &format!("target={id}"));
        mesh.door.refresh(mesh);
        mesh.links.report_now();
    }
    empty(StatusCode::OK)
}

/// The state of the daemon, for people.
#[derive(Serialize)]
struct Dump {
    uptime_ms: u64,
    own: pomeloreach_core::mesh::state::DaemonRecord,
    state: pomeloreach_core::mesh::state::DaemonState,
    in_flight: u32,
    peers: Vec<PeerDump>,
}

#[derive(Serialize)]
struct PeerDump {
    record: pomeloreach_core::mesh::state::DaemonRecord,
    state: Option<pomeloreach_core::mesh::state::DaemonState>,
    is_linked: bool,
    heard_ms_ago: u64,
    outstanding: u16,
}

fn dump(mesh: &Rc<Mesh>) -> Dump {
    let now_ms = mesh.now_ms();
    let peers = mesh.peers.borrow();
    let peer_dump = |peer: &pomeloreach_core::mesh::peers::Peer| PeerDump {
        record: peer.record.clone(),
        state: peer.state.clone(),
        is_linked: peer.is_linked,
        heard_ms_ago: now_ms.saturating_sub(peer.heard_ms),
        outstanding: peer.outstanding,
    };
    Dump {
        uptime_ms: now_ms,
        own: mesh.own.clone(),
        state: mesh.state(),
        in_flight: mesh.in_flight.get(),
        peers: peers.all().map(peer_dump).collect(),
    }
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn json<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    let Ok(body) = serde_json::to_vec(value) else {
        return empty(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    response.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}
