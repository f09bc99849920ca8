//! The door of the target beside this daemon: admission, hand-over, and what became of it.

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

/// Headers that belong to one connection, or that this daemon writes itself.
const OWN_HEADERS: [&str; 9] = [
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
/// The header that carries the time left, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-pomeloreach-deadline-ms";

#[derive(Default)]
struct InboundState {
    admission: Admission,
    port: u16,
    next_ticket: u64,
    waiting: BTreeMap<u64, Sender<bool>>,
}

/// The requests at the target beside this daemon.
#[derive(Default)]
pub struct InboundProxy {
    state: Mutex<InboundState>,
}

impl InboundProxy {
    pub fn announce(&self, target_state: TargetState, slots: u16, port: u16) {
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

    /// Ends the waits whose deadlines are over.
    pub fn expire(&self, now_ms: u64) {
        let mut state = lock(&self.state);
        let expired = state.admission.expire(now_ms);
        state.end_waits(&expired);
    }
}

impl InboundState {
    fn end_waits(&mut self, expired: &[u64]) {
        for ticket in expired {
            self.waiting.remove(ticket);
        }
    }
}

/// A place at the target, given back when it is dropped, however the request ends.
struct Place<'a> {
    shared: &'a Shared,
    since_ms: u64,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let now_ms = self.shared.clock.now_ms();
        let mut state = lock(&self.shared.inbound.state);
        let (next, expired) = state.admission.finish(now_ms, now_ms - self.since_ms);
        state.end_waits(&expired);
        let mut next = next;
        while let Some(ticket) = next {
            let taken = state.waiting.remove(&ticket).is_some_and(|w| w.try_send(true).is_ok());
            if taken {
                return;
            }
            (next, _) = state.admission.finish(now_ms, 0);
        }
    }
}

/// A wait in the queue, taken out when it is dropped before its turn.
struct Wait<'a> {
    shared: &'a Shared,
    ticket: u64,
    over: bool,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        if self.over {
            return;
        }
        let mut state = lock(&self.shared.inbound.state);
        state.admission.cancel(self.ticket);
        state.waiting.remove(&self.ticket);
    }
}

/// Runs a request at the target if there is a place for it, and says truly what became of it.
pub async fn handle_call(
    shared: &Shared,
    request: &CallRequest,
    body: Vec<u8>,
) -> FullCallResponse {
    if request.instance != shared.local_info.instance {
        return refusal(shared, ResultCode::WrongInstance);
    }
    let deadline_ms = shared.clock.now_ms() + request.deadline_ms.min(DEADLINE_MS_MAX.into());
    let place = match enter(shared, deadline_ms).await {
        Ok(place) => place,
        Err(code) => return refusal(shared, code),
    };
    let port = lock(&shared.inbound.state).port;
    let result = hand_over(shared, request, body, port, deadline_ms).await;
    drop(place);
    let in_flight = shared.inbound.in_flight();
    match result {
        Ok(response) => answer(response, in_flight),
        Err(code) => FullCallResponse::refusal(code, in_flight),
    }
}

fn refusal(shared: &Shared, code: ResultCode) -> FullCallResponse {
    shared.metrics.count("door.refused", 1);
    FullCallResponse::refusal(code, shared.inbound.in_flight())
}

async fn enter(shared: &Shared, deadline_ms: u64) -> Result<Place<'_>, ResultCode> {
    let now_ms = shared.clock.now_ms();
    let (ticket, turn) = {
        let mut state = lock(&shared.inbound.state);
        state.next_ticket += 1;
        let ticket = state.next_ticket;
        let arrival = Arrival {
            ticket,
            deadline_ms,
            goal_ms: deadline_ms,
            rank: 0,
            service_ms: None,
            wait_max_ms: None,
        };
        match state.admission.admit(now_ms, arrival) {
            Decision::Run => return Ok(Place { shared, since_ms: now_ms }),
            Decision::Refuse(code) => return Err(code),
            Decision::Queue => {}
            // Whoever waits at the other end takes this for a refusal.
            Decision::Displace { ticket: displaced } => drop(state.waiting.remove(&displaced)),
        }
        let (sender, turn) = async_channel::bounded(1);
        state.waiting.insert(ticket, sender);
        (ticket, turn)
    };
    let mut wait = Wait { shared, ticket, over: false };
    let came = turn.recv().await.is_ok();
    wait.over = true;
    if came {
        return Ok(Place { shared, since_ms: shared.clock.now_ms() });
    }
    Err(ResultCode::DeadlineBeforeRun)
}

async fn hand_over(
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
    // From here on the target may run the request.
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

/// The request as the target gets it. What cannot be built was not run.
fn target_request(
    request: &CallRequest,
    addr: SocketAddr,
    body: Vec<u8>,
    left_ms: u64,
) -> Result<Request, ResultCode> {
    let method = Method::from_str(&request.method).map_err(|_| ResultCode::RequestCut)?;
    let mut built =
        http::new_request(method, addr, &request.path).map_err(|_| ResultCode::RequestCut)?;
    for Header { name, value } in &request.headers {
        if is_forwarded(name) && name.as_ref() != "host" {
            built.append_header(name.as_ref(), value.as_ref());
        }
    }
    built.insert_header(DEADLINE_HEADER, left_ms.to_string());
    if !body.is_empty() || !matches!(method, Method::Get | Method::Head) {
        built.set_body(Body::from_bytes(body));
    }
    Ok(built)
}

/// Whether a header is passed on as it is.
pub fn is_forwarded(name: &str) -> bool {
    !OWN_HEADERS.contains(&name)
}

fn answer(response: FullResponse, in_flight: u16) -> FullCallResponse {
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
