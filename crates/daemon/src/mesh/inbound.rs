//! The door of the target beside this daemon: admission, and what became of each request.

use super::Mesh;
use super::forward::{HandedOver, hand_over, passed_headers, request_id};
use crate::logging::{log_event, log_with};
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures_lite::future::{or, pending};
use pomeloreach_core::admission::{Admission, Arrival, Decision};
use pomeloreach_core::call::CallResponse;
use pomeloreach_core::code::ResultCode;
use pomeloreach_core::endpoint::TargetState;
use pomeloreach_core::event::Event;
use pomeloreach_core::mesh::message::{InboundRequest, InboundResponse};
use pomeloreach_core::mesh::state::TargetLoad;
use pomeloreach_wire::clock::sleep_ms;
use pomeloreach_wire::h1::client::Connection;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Requests that wait for each slot at the most. The time that they would wait is the tighter
/// bound; this one holds while no service time is known.
const QUEUED_PER_SLOT: usize = 4;
/// How long work for a caller that has left may go on, in milliseconds: an answer within this time
/// saves the connection, which would otherwise have to be closed to stop the target.
const CANCEL_MS: u64 = 300;
/// The weight of a new result in the smoothed share of failures.
const FAILED_SHARE: f64 = 0.08;
/// The time in which the share of failures halves without results, in milliseconds, so that a
/// target that failed is tried again.
const FAILED_HALF_LIFE_MS: f64 = 3_000.0;
/// The time in which a service time falls halfway to the usual one without results, in
/// milliseconds.
const SLOW_HALF_LIFE_MS: f64 = 3_000.0;
/// How often waits are looked at for passed deadlines, in milliseconds.
const LOOK_MS: u64 = 25;

/// A connection to the target that waits for its next request.
pub struct Kept {
    pub connection: Connection,
    pub used_ms: u64,
    pub idle_ms: u64,
}

struct State {
    admission: Admission,
    /// Where each waiting request hears that its turn has come, or why it will not.
    waiting: BTreeMap<u64, Sender<Result<(), ResultCode>>>,
    next_ticket: u64,
    kept: Vec<Kept>,
    failed: f64,
    failed_ms: u64,
    served_ms: u64,
    usual_ms: f64,
}

/// The requests at the target beside this daemon.
pub struct Door {
    state: RefCell<State>,
}

impl Default for Door {
    fn default() -> Self {
        let state = State {
            admission: Admission::with_queued_per_slot(QUEUED_PER_SLOT),
            waiting: BTreeMap::new(),
            next_ticket: 0,
            kept: Vec::new(),
            failed: 0.0,
            failed_ms: 0,
            served_ms: 0,
            usual_ms: 0.0,
        };
        Self { state: RefCell::new(state) }
    }
}

impl Door {
    pub fn in_flight(&self) -> u16 {
        self.state.borrow().admission.in_flight()
    }

    pub fn keep(&self, kept: Kept) {
        self.state.borrow_mut().kept.push(kept);
    }

    /// The connection that was used last, so that the others may grow old.
    pub fn take_kept(&self) -> Option<Kept> {
        self.state.borrow_mut().kept.pop()
    }

    /// How busy the target is, and how it has been doing.
    pub fn load(&self, now_ms: u64) -> TargetLoad {
        let state = self.state.borrow();
        let admission = &state.admission;
        let slow_ms = (admission.service_ms() - state.usual_ms).max(0.0);
        let idle_ms = now_ms.saturating_sub(state.served_ms) as f64;
        let service_ms = state.usual_ms.min(admission.service_ms())
            + slow_ms * 0.5_f64.powf(idle_ms / SLOW_HALF_LIFE_MS);
        TargetLoad {
            running: admission.running(),
            waiting: admission.waiting(),
            ahead: admission.ahead(),
            slots: admission.slots(),
            service_ms: service_ms as f32,
            failed_permille: (state.failed_share(now_ms) * 1_000.0) as u16,
        }
    }

    /// Takes over what the target says of itself.
    pub fn refresh(&self, mesh: &Mesh) {
        let target = mesh.target.borrow();
        let Some(last) = target.last_heartbeat() else { return };
        let target_state = target.state(mesh.now_ms());
        let mut state = self.state.borrow_mut();
        state.admission.set_target(target_state, last.slots);
        if target_state == TargetState::Draining {
            // Whoever waits is told at once, while there is time to go elsewhere.
            let waiting: Vec<u64> = state.waiting.keys().copied().collect();
            state.end_waits(&waiting, ResultCode::TargetDraining);
        }
        if target_state != TargetState::Ready {
            state.kept.clear();
        }
    }
}

impl State {
    fn failed_share(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.failed_ms) as f64;
        self.failed * 0.5_f64.powf(passed_ms / FAILED_HALF_LIFE_MS)
    }

    fn note_result(&mut self, has_failed: bool, now_ms: u64) {
        let share = self.failed_share(now_ms);
        let result = if has_failed { 1.0 } else { 0.0 };
        self.failed = share + (result - share) * FAILED_SHARE;
        self.failed_ms = now_ms;
    }

    fn finish(&mut self, now_ms: u64, service_ms: Option<u64>) {
        let service_ms = match service_ms {
            Some(service_ms) => {
                self.served_ms = now_ms;
                let share = if self.usual_ms == 0.0 { 1.0 } else { 0.01 };
                self.usual_ms += (service_ms as f64 - self.usual_ms) * share;
                service_ms
            }
            None => self.admission.service_ms() as u64,
        };
        let (mut next, expired) = self.admission.finish(now_ms, service_ms);
        self.end_waits(&expired, ResultCode::DeadlineBeforeRun);
        while let Some(ticket) = next {
            let taken =
                self.waiting.remove(&ticket).is_some_and(|wait| wait.try_send(Ok(())).is_ok());
            if taken {
                return;
            }
            (next, _) = self.admission.finish(now_ms, service_ms);
        }
    }

    fn end_waits(&mut self, tickets: &[u64], code: ResultCode) {
        for ticket in tickets {
            if let Some(wait) = self.waiting.remove(ticket) {
                // The caller may have left meanwhile.
                wait.try_send(Err(code)).ok();
            }
        }
    }
}

/// Cancels a request when it is dropped.
pub struct Cancel {
    _open: Sender<()>,
}

/// Hands a request to the door, and returns where its answer will come.
pub fn submit(mesh: &Rc<Mesh>, call: InboundRequest) -> (Receiver<InboundResponse>, Cancel) {
    let (open, cancelled) = async_channel::bounded::<()>(1);
    let (reply, answer) = async_channel::bounded(1);
    let task_mesh = mesh.clone();
    mesh.spawn(async move {
        let has_begun = Cell::new(false);
        let is_idempotent = call.terms.is_idempotent;
        let request_id = request_id(&call.request);
        let running = async { Some(run(&task_mesh, call, &has_begun).await) };
        let cancelling = async {
            cancelled.recv().await.ok();
            if has_begun.get() {
                if !is_idempotent {
                    // What cannot be repeated is not stopped halfway.
                    pending::<()>().await;
                }
                sleep_ms(CANCEL_MS).await;
            }
            note_cancelled(&task_mesh, &request_id, has_begun.get());
            None
        };
        if let Some(answered) = or(running, cancelling).await {
            // The caller may have left meanwhile.
            reply.try_send(answered).ok();
        }
    });
    (answer, Cancel { _open: open })
}

/// Ends waits whose time is over, and tells peers when the target has gone silent.
pub async fn watch(mesh: Rc<Mesh>) {
    let mut reported = TargetState::Starting;
    loop {
        sleep_ms(LOOK_MS).await;
        let now_ms = mesh.now_ms();
        let mut state = mesh.door.state.borrow_mut();
        let expired = state.admission.expire(now_ms);
        state.end_waits(&expired, ResultCode::DeadlineBeforeRun);
        state
            .kept
            .retain(|kept| !kept.connection.must_close() && now_ms < kept.used_ms + kept.idle_ms);
        drop(state);
        let target_state = mesh.target_state();
        if target_state != reported {
            if target_state == TargetState::Lapsed {
                log_event(Event::TargetLapsed, "");
            }
            reported = target_state;
            mesh.target_changed();
        }
    }
}

/// A place at the target, given back when it is dropped, however the request ends.
struct Place<'a> {
    mesh: &'a Mesh,
    since_ms: u64,
    /// Whether the time that the request took says something of the target.
    is_measured: bool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let now_ms = self.mesh.now_ms();
        let service_ms = self.is_measured.then_some(now_ms - self.since_ms);
        self.mesh.door.state.borrow_mut().finish(now_ms, service_ms);
    }
}

/// A wait in the queue, taken out when it is dropped before its turn.
struct Wait<'a> {
    mesh: &'a Mesh,
    ticket: u64,
    is_over: bool,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            let mut state = self.mesh.door.state.borrow_mut();
            state.admission.cancel(self.ticket);
            state.waiting.remove(&self.ticket);
        }
    }
}

async fn run(mesh: &Rc<Mesh>, call: InboundRequest, has_begun: &Cell<bool>) -> InboundResponse {
    let now_ms = mesh.now_ms();
    let deadline_ms = now_ms + call.request.deadline_ms;
    let is_current =
        mesh.target.borrow().last_heartbeat().is_some_and(|last| last.id == call.request.instance);
    if !is_current {
        return refuse(mesh, &call, ResultCode::WrongInstance);
    }
    let mut place = match enter(mesh, &call, now_ms, deadline_ms).await {
        Ok(place) => place,
        Err(code) => return refuse(mesh, &call, code),
    };
    has_begun.set(true);
    mesh.metrics.door_waited(mesh.now_ms() - now_ms);
    let answered = hand_over(mesh, &call, deadline_ms).await;
    let now_ms = mesh.now_ms();
    let has_failed = match &answered {
        Ok(answer) => answer.status().is_server_error(),
        Err((code, reached_target)) => *reached_target || *code == ResultCode::TargetUnreachable,
    };
    place.is_measured = matches!(&answered, Ok(answer) if !answer.status().is_server_error())
        || matches!(&answered, Err((ResultCode::DeadlineAfterRun, _)));
    let service_ms = place.is_measured.then(|| (now_ms - place.since_ms) as u32);
    let took_ms = now_ms - place.since_ms;
    drop(place);
    note_run(mesh, &call, &answered, took_ms);
    mesh.door.state.borrow_mut().note_result(has_failed, now_ms);
    match answered {
        Ok(answer) => {
            mesh.target.borrow_mut().note_response(now_ms);
            let response = CallResponse {
                code: ResultCode::Answered,
                http_status: answer.status().as_u16(),
                headers: passed_headers(answer.headers()),
                body_bytes: answer.body().len() as u64,
                in_flight: mesh.door.in_flight(),
            };
            let body = answer.into_body();
            InboundResponse { response, reached_target: true, retry_after_ms: 0, service_ms, body }
        }
        Err((code, reached_target)) => refusal(mesh, code, reached_target),
    }
}

/// Refuses a request that was not handed to the target.
fn refuse(mesh: &Mesh, call: &InboundRequest, code: ResultCode) -> InboundResponse {
    mesh.metrics.door_refused(code);
    log_with(Event::DoorRefused, || {
        let load = mesh.door.load(mesh.now_ms());
        format!(
            "request={} target={} code={code} rank={} running={} waiting={} slots={} \
             service_ms={:.0} usual_ms={:?} goal_ms={} left_ms={} wait_max_ms={:?}",
            request_id(&call.request),
            call.request.instance,
            call.terms.rank,
            load.running,
            load.waiting,
            load.slots,
            load.service_ms,
            call.terms.service_ms,
            call.terms.goal_ms,
            call.request.deadline_ms,
            call.terms.wait_max_ms
        )
    });
    refusal(mesh, code, false)
}

fn note_run(mesh: &Mesh, call: &InboundRequest, run: &HandedOver, took_ms: u64) {
    mesh.metrics.target_took(took_ms);
    let target = &call.request.instance;
    match run {
        Ok(answer) => log_with(Event::RequestRun, || {
            let (id, status) = (request_id(&call.request), answer.status().as_u16());
            format!("request={id} target={target} status={status} took_ms={took_ms}")
        }),
        Err((code, reached_target)) => log_with(Event::HandOverFailed, || {
            let id = request_id(&call.request);
            format!(
                "request={id} target={target} code={code} reached={reached_target} \
                 took_ms={took_ms}"
            )
        }),
    }
}

fn note_cancelled(mesh: &Mesh, request_id: &str, has_begun: bool) {
    mesh.metrics.cancelled();
    log_with(Event::RequestCancelled, || format!("request={request_id} handed_over={has_begun}"));
}

fn refusal(mesh: &Mesh, code: ResultCode, reached_target: bool) -> InboundResponse {
    let state = mesh.door.state.borrow();
    InboundResponse {
        response: CallResponse::refusal(code, state.admission.in_flight()),
        reached_target,
        retry_after_ms: state.admission.backlog_ms() as u32,
        service_ms: None,
        body: Bytes::new(),
    }
}

async fn enter<'a>(
    mesh: &'a Rc<Mesh>,
    call: &InboundRequest,
    now_ms: u64,
    deadline_ms: u64,
) -> Result<Place<'a>, ResultCode> {
    let (ticket, turn) = {
        let mut state = mesh.door.state.borrow_mut();
        state.next_ticket += 1;
        let ticket = state.next_ticket;
        let goal_ms = (now_ms + call.terms.goal_ms).min(deadline_ms);
        let service_ms = call.terms.service_ms.map(f64::from);
        let rank = call.terms.rank;
        let wait_max_ms = call.terms.wait_max_ms.map(f64::from);
        let arrival = Arrival { ticket, deadline_ms, goal_ms, rank, service_ms, wait_max_ms };
        match state.admission.admit(now_ms, arrival) {
            Decision::Run => return Ok(Place { mesh, since_ms: now_ms, is_measured: false }),
            Decision::Refuse(code) => return Err(code),
            Decision::Queue => {}
            Decision::Displace { ticket: displaced } => {
                state.end_waits(&[displaced], ResultCode::TargetFull);
            }
        }
        let (sender, turn) = async_channel::bounded(1);
        state.waiting.insert(ticket, sender);
        (ticket, turn)
    };
    let mut wait = Wait { mesh, ticket, is_over: false };
    // The other end is only dropped with the daemon.
    turn.recv().await.unwrap_or(Err(ResultCode::TargetDraining))?;
    wait.is_over = true;
    Ok(Place { mesh, since_ms: mesh.now_ms(), is_measured: false })
}
