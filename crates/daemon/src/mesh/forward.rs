//! Forwards requests to the local target on pooled connections and checks the responses.

use super::Mesh;
use super::inbound::IdleConnection;
use crate::logging::log_event;
use bytes::Bytes;
use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use pomeloreach_core::call::{BODY_BYTES_MAX, CallRequest, Header};
use pomeloreach_core::code::ResultCode;
use pomeloreach_core::event::Event;
use pomeloreach_core::mesh::message::InboundRequest;
use pomeloreach_platform::headers;
use pomeloreach_wire::clock::within_ms;
use pomeloreach_wire::h1::client::{Connection, ExchangeError};
use pomeloreach_wire::h1::{self, MessageError};
use pomeloreach_wire::memory::Room;
use std::rc::Rc;
use std::sync::Arc;

/// How long opening a connection to a target on the same VM may take, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// How long a connection may stay idle if the target sends no `keep-alive` limit, in milliseconds.
const IDLE_TTL_MS: u64 = 4_000;
/// How much earlier than the target's limit an idle connection is closed, in milliseconds, so that a
/// request is not sent on a connection that the target is about to close.
const IDLE_TTL_MARGIN_MS: u64 = 1_000;

/// The longest `keep-alive` limit of a target that is used, in seconds.
const KEEP_ALIVE_S_MAX: u64 = 3_600;

/// The target's response, or a result code and whether the request reached the target.
pub type ForwardResult = Result<Response<Bytes>, (ResultCode, bool)>;

/// Forwards a request to the local target. `room` is for the response. The result code of an error tells
/// whether the request may have run.
pub async fn forward(
    mesh: &Rc<Mesh>,
    inbound: &InboundRequest,
    room: Room,
    deadline_ms: u64,
) -> ForwardResult {
    let target_id = &inbound.request.instance;
    let mut connection = connect(mesh, target_id).await?;
    connection.set_room(mesh.memory.clone(), room);
    let now_ms = mesh.now_ms();
    let left_ms = deadline_ms.saturating_sub(now_ms);
    let target_left_ms = mesh.target_deadline_ms(deadline_ms).saturating_sub(now_ms);
    if target_left_ms == 0 {
        return Err((ResultCode::DeadlineBeforeRun, false));
    }
    let request = target_request(inbound, target_left_ms).ok_or((ResultCode::RequestCut, false))?;
    let request_id = request_id(&inbound.request);
    let is_mismatched =
        |headers: &HeaderMap| headers::target_headers(headers, &request_id).is_mismatched;
    let exchange = connection.exchange(&request, BODY_BYTES_MAX, is_mismatched);
    match within_ms(left_ms, exchange).await {
        None => Err((ResultCode::DeadlineAfterRun, true)),
        Some(Ok(response)) => accept_response(mesh, inbound, connection, response),
        Some(Err(ExchangeError::NoResponse(MessageError::Closed | MessageError::Io(_)))) => {
            Err((ResultCode::AnswerLost, true))
        }
        Some(Err(_)) => Err((ResultCode::AnswerCut, true)),
    }
}

/// Checks a response, and pools the connection if it can carry another request.
fn accept_response(
    mesh: &Rc<Mesh>,
    inbound: &InboundRequest,
    connection: Connection,
    response: Response<Bytes>,
) -> ForwardResult {
    let request_id = request_id(&inbound.request);
    let target_headers = headers::target_headers(response.headers(), &request_id);
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        // Another target answered at the address.
        mesh.local_target.borrow_mut().mark_unreachable(&inbound.request.instance);
        return Err((ResultCode::WrongInstance, true));
    }
    // Any other response without the target's signature says nothing about the request, whatever its
    // status. It may be followed by further bytes that belong to no request.
    if !target_headers.not_executed && !target_headers.is_signed {
        return Err((ResultCode::AnswerCut, true));
    }
    // A second copy of a response without an id could not be told from the response to the next
    // request on the connection.
    if !connection.must_close() && target_headers.has_request_id {
        let ttl_ms = idle_ttl_ms(response.headers());
        let idle = IdleConnection { connection, used_ms: mesh.now_ms(), ttl_ms };
        mesh.inbound.put_idle(idle);
    }
    if target_headers.not_executed {
        // The target reports that it did not run the request. The code says so too; that the request
        // reached the target counts as a failure of the target.
        return Err((ResultCode::TargetFull, true));
    }
    // The body of a successful response must not have been encoded on the way.
    if response.status().is_success() && target_headers.is_encoded {
        return Err((ResultCode::AnswerCut, true));
    }
    Ok(response)
}

/// Returns a pooled connection that is still usable, or opens a new one.
async fn connect(mesh: &Rc<Mesh>, target_id: &str) -> Result<Connection, (ResultCode, bool)> {
    let now_ms = mesh.now_ms();
    loop {
        let Some(idle) = mesh.inbound.take_idle() else { break };
        if now_ms < idle.used_ms + idle.ttl_ms && idle.connection.is_usable().await {
            return Ok(idle.connection);
        }
    }
    let addr = mesh.mesh_settings.borrow().target_addr;
    let connected = Connection::open(addr, CONNECT_TIMEOUT_MS).await;
    connected.map_err(|error| {
        log_event(Event::TargetUnreachable, &format!("reason={error}"));
        mesh.local_target.borrow_mut().mark_unreachable(target_id);
        mesh.publish_target_change();
        (ResultCode::TargetUnreachable, false)
    })
}

/// How long a connection may stay idle, from the target's `keep-alive` header with a margin.
fn idle_ttl_ms(headers: &HeaderMap) -> u64 {
    let header = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = header.and_then(|value| {
        value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    seconds.map_or(IDLE_TTL_MS, |seconds| {
        (seconds.min(KEEP_ALIVE_S_MAX) * 1_000).saturating_sub(IDLE_TTL_MARGIN_MS)
    })
}

/// The HTTP request that is sent to the target. `None` if a part of it is not valid HTTP.
fn target_request(inbound: &InboundRequest, left_ms: u64) -> Option<Request<Bytes>> {
    let mut request = Request::new(inbound.body.clone());
    *request.method_mut() = inbound.request.method.parse::<Method>().ok()?;
    *request.uri_mut() = inbound.request.path.parse::<Uri>().ok()?;
    for Header { name, value } in &inbound.request.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        request.headers_mut().append(name, HeaderValue::from_str(value).ok()?);
    }
    // The origin may run an earlier build.
    headers::remove_possible_key(request.headers_mut());
    headers::set_forward_headers(request.headers_mut(), left_ms, &inbound.request.instance);
    Some(request)
}

/// The headers that are forwarded, in either direction: all but the hop-by-hop ones.
pub fn end_to_end_headers(headers: &HeaderMap) -> Vec<Header> {
    let mut selected = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        if h1::is_hop_by_hop(name.as_str(), headers) {
            continue;
        }
        match value.to_str() {
            Ok(value) => selected.push(Header { name: name.as_str().into(), value: value.into() }),
            Err(_) => log_event(Event::HeaderDropped, &format!("header={name} reason=not text")),
        }
    }
    selected
}

/// The request id that the caller set; empty if it set none.
pub fn request_id(request: &CallRequest) -> Arc<str> {
    let id = request.headers.iter().find(|header| headers::is_request_id(&header.name));
    id.map(|header| header.value.clone()).unwrap_or_default()
}
