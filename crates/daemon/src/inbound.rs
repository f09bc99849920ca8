//! The inbound proxy: admits requests to the local target, forwards them, and reports the result.

use crate::calls::FullCallResponse;
use crate::runtime::{Shared, lock};
use async_channel::Sender;
use http_types::{Body, Method, Request};
use pomeloreach_core::admission::{Admission, Arrival, Decision};
use pomeloreach_core::call::{BODY_BYTES_MAX, CallRequest, CallResponse, Header};
use pomeloreach_core::check::DEADLINE_MS_MAX;
use pomeloreach_core::code::ResultCode;
use pomeloreach_core::endpoint::TargetState;
use pomeloreach_wire::clock::within_ms;
use pomeloreach_wire::http::{self, BodyError, FullResponse, HttpError};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::sync::Mutex;

/// Headers that are not forwarded, because they concern one connection only or because this daemon
/// writes them itself.
const UNFORWARDED_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "date",
    "expect",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
/// The header with the time left until the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-pomeloreach-deadline-ms";

/// The admission state, the port of the local target, and a channel for each queued request by
/// which it is granted a slot.
#[derive(Default)]
struct InboundState {
    admission: Admission,
    port: u16,
    last_ticket: u64,
    queued: BTreeMap<u64, Sender<bool>>,
}

/// The inbound proxy of the local target, with its running and queued requests.
#[derive(Default)]
pub struct InboundProxy {
    state: Mutex<InboundState>,
}

impl InboundProxy {
    /// Applies the state, the slots and the port that the local target announced.
    pub fn set_target(&self, target_state: TargetState, slots: u16, port: u16) {
        let mut state = lock(&self.state);
        state.admission.set_target(target_state, slots);
        state.port = port;
    }

    pub fn in_flight(&self) -> u16 {
        lock(&self.state).admission.in_flight()
    }

    pub fn may_stop(&self) -> bool {
        lock(&self.state).admission.may_stop()
    }

    /// Refuses the queued requests that cannot end before their deadlines.
    pub fn expire(&self, now_ms: u64) {
        let mut state = lock(&self.state);
        let expired = state.admission.expire(now_ms);
        state.remove_queued(&expired);
    }
}

impl InboundState {
    /// Drops the channels of queued requests, which refuses them.
    fn remove_queued(&mut self, expired: &[u64]) {
        for ticket in expired {
            self.queued.remove(ticket);
        }
    }
}

/// A slot of the local target. Dropping it, however the request ended, grants the slot to the next
/// queued request or frees it.
struct SlotGuard<'a> {
    shared: &'a Shared,
    started_ms: u64,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        let now_ms = self.shared.clock.now_ms();
        let mut state = lock(&self.shared.inbound.state);
        let (next, expired) = state.admission.finish(now_ms, now_ms - self.started_ms);
        state.remove_queued(&expired);
        let mut next = next;
        while let Some(ticket) = next {
            let is_granted =
                state.queued.remove(&ticket).is_some_and(|grant| grant.try_send(true).is_ok());
            if is_granted {
                return;
            }
            (next, _) = state.admission.finish(now_ms, 0);
        }
    }
}

/// A request in the queue. Dropping it before the wait has ended removes the request.
struct QueueGuard<'a> {
    shared: &'a Shared,
    ticket: u64,
    has_ended: bool,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        let mut state = lock(&self.shared.inbound.state);
        state.admission.cancel(self.ticket);
        state.queued.remove(&self.ticket);
    }
}

/// Admits a call, forwards it to the local target and returns the response. A refusal has the code
/// that tells whether the request was run.
pub async fn handle_call(
    shared: &Shared,
    request: &CallRequest,
    body: Vec<u8>,
) -> FullCallResponse {
    if request.instance != shared.local.instance {
        return refusal(shared, ResultCode::WrongInstance);
    }
    let deadline_ms = shared.clock.now_ms() + request.left_ms.min(DEADLINE_MS_MAX.into());
    let slot_guard = match acquire_slot(shared, deadline_ms).await {
        Ok(slot_guard) => slot_guard,
        Err(code) => return refusal(shared, code),
    };
    let port = lock(&shared.inbound.state).port;
    let result = forward(shared, request, body, port, deadline_ms).await;
    drop(slot_guard);
    let in_flight = shared.inbound.in_flight();
    match result {
        Ok(response) => call_response(response, in_flight),
        Err(code) => FullCallResponse::refusal(code, in_flight),
    }
}

fn refusal(shared: &Shared, code: ResultCode) -> FullCallResponse {
    shared.metrics.count("door.refused", 1);
    FullCallResponse::refusal(code, shared.inbound.in_flight())
}

/// Returns a slot of the local target, or waits in the queue until one is granted or the request is
/// refused.
async fn acquire_slot(shared: &Shared, deadline_ms: u64) -> Result<SlotGuard<'_>, ResultCode> {
    let now_ms = shared.clock.now_ms();
    let (ticket, slot_granted) = {
        let mut state = lock(&shared.inbound.state);
        state.last_ticket += 1;
        let ticket = state.last_ticket;
        let arrival = Arrival {
            ticket,
            deadline_ms,
            goal_ms: deadline_ms,
            rank: 0,
            service_ms: None,
            wait_max_ms: None,
        };
        match state.admission.admit(now_ms, arrival) {
            Decision::Run => return Ok(SlotGuard { shared, started_ms: now_ms }),
            Decision::Refuse(code) => return Err(code),
            Decision::Queue => {}
            // Dropping the channel refuses the displaced request.
            Decision::Displace { ticket: displaced } => drop(state.queued.remove(&displaced)),
        }
        let (grant, slot_granted) = async_channel::bounded(1);
        state.queued.insert(ticket, grant);
        (ticket, slot_granted)
    };
    let mut queue_guard = QueueGuard { shared, ticket, has_ended: false };
    let has_slot = slot_granted.recv().await.is_ok();
    queue_guard.has_ended = true;
    if has_slot {
        return Ok(SlotGuard { shared, started_ms: shared.clock.now_ms() });
    }
    Err(ResultCode::DeadlineBeforeRun)
}

/// Forwards a request to the local target and returns its response.
async fn forward(
    shared: &Shared,
    request: &CallRequest,
    body: Vec<u8>,
    port: u16,
    deadline_ms: u64,
) -> Result<FullResponse, ResultCode> {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    let left_ms = deadline_ms.saturating_sub(shared.clock.now_ms());
    let http_request = target_request(request, addr, body, left_ms)?;
    let connecting = within_ms(left_ms, http::connect(addr)).await;
    let Some(Ok(stream)) = connecting else { return Err(ResultCode::TargetUnreachable) };
    // From here on the target may have run the request.
    let left_ms = deadline_ms.saturating_sub(shared.clock.now_ms());
    let exchange = http::exchange(stream, http_request, BODY_BYTES_MAX);
    match within_ms(left_ms, exchange).await {
        None => Err(ResultCode::DeadlineAfterRun),
        Some(Ok(response)) => Ok(response),
        Some(Err(HttpError::Body(BodyError::Truncated))) => Err(ResultCode::AnswerCut),
        Some(Err(HttpError::Body(BodyError::TooLarge))) => Err(ResultCode::AnswerTooLarge),
        Some(Err(_)) => Err(ResultCode::AnswerLost),
    }
}

/// Builds the request that is sent to the target. An error here means that the request was not run.
fn target_request(
    request: &CallRequest,
    addr: SocketAddr,
    body: Vec<u8>,
    left_ms: u64,
) -> Result<Request, ResultCode> {
    let method = Method::from_str(&request.method).map_err(|_| ResultCode::RequestCut)?;
    let mut http_request =
        http::new_request(method, addr, &request.path).map_err(|_| ResultCode::RequestCut)?;
    for Header { name, value } in &request.headers {
        if is_forwarded(name) && name.as_ref() != "host" {
            http_request.append_header(name.as_ref(), value.as_ref());
        }
    }
    http_request.insert_header(DEADLINE_HEADER, left_ms.to_string());
    if !body.is_empty() || !matches!(method, Method::Get | Method::Head) {
        http_request.set_body(Body::from_bytes(body));
    }
    Ok(http_request)
}

/// Whether a header is forwarded unchanged.
pub fn is_forwarded(name: &str) -> bool {
    !UNFORWARDED_HEADERS.contains(&name)
}

fn call_response(response: FullResponse, in_flight: u16) -> FullCallResponse {
    let headers = response
        .headers
        .iter()
        .filter(|(name, value)| is_forwarded(name) && !value.contains(['\r', '\n']))
        .map(|(name, value)| Header { name: name.as_str().into(), value: value.as_str().into() })
        .collect();
    let head = CallResponse {
        code: ResultCode::Answered,
        http_status: response.status,
        headers,
        body_bytes: response.body.len() as u64,
        in_flight,
    };
    FullCallResponse { head, body: response.body }
}
