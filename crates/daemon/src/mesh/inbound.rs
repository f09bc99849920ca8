//! The inbound proxy: admits requests to the local target and records their results.

use super::Mesh;
use super::forward::{ForwardResult, end_to_end_headers, forward, request_id};
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
use pomeloreach_wire::memory::Room;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The largest number of queued requests per slot. The limit on the waiting time is normally
/// tighter; this one applies while no service time is known.
const QUEUED_PER_SLOT: usize = 4;
/// How long a forwarded request runs on after its caller has cancelled it, in milliseconds. A
/// response within this time saves the connection, which would otherwise have to be closed to stop
/// the target.
const CANCEL_DELAY_MS: u64 = 300;
/// The weight of a new result in the smoothed share of failures.
const FAILURE_WEIGHT: f64 = 0.08;
/// The time in which the share of failures halves without results, in milliseconds, so that a
/// target that failed is tried again.
const FAILURE_HALF_LIFE_MS: f64 = 3_000.0;
/// The time in which the excess of the recent service time over the typical one halves while no
/// service time is measured, in milliseconds.
const SERVICE_EXCESS_HALF_LIFE_MS: f64 = 3_000.0;
/// How often deadlines, idle connections and the target's state are checked, in milliseconds.
const MONITOR_INTERVAL_MS: u64 = 25;

/// A pooled connection to the target.
pub struct IdleConnection {
    pub connection: Connection,
    /// When the connection was last used.
    pub used_ms: u64,
    /// How long after its last use the connection may be used again.
    pub ttl_ms: u64,
}

/// The state of the inbound proxy: its queue, its connections and its statistics.
struct ProxyState {
    admission: Admission,
    /// The queued requests by ticket, each with the channel that grants it a slot or refuses it.
    queued: BTreeMap<u64, Sender<Result<(), ResultCode>>>,
    last_ticket: u64,
    idle: Vec<IdleConnection>,
    /// The smoothed share of failed requests at `last_result_ms`.
    failed_share: f64,
    last_result_ms: u64,
    /// When `typical_service_ms` was last updated.
    last_measured_ms: u64,
    /// The service time, smoothed over many requests; 0 until one was measured.
    typical_service_ms: f64,
}

/// Admits requests to the local target, and pools connections to it.
pub struct InboundProxy {
    state: RefCell<ProxyState>,
}

impl Default for InboundProxy {
    fn default() -> Self {
        let state = ProxyState {
            admission: Admission::with_queued_per_slot(QUEUED_PER_SLOT),
            queued: BTreeMap::new(),
            last_ticket: 0,
            idle: Vec::new(),
            failed_share: 0.0,
            last_result_ms: 0,
            last_measured_ms: 0,
            typical_service_ms: 0.0,
        };
        Self { state: RefCell::new(state) }
    }
}

impl InboundProxy {
    pub fn in_flight(&self) -> u16 {
        self.state.borrow().admission.in_flight()
    }

    pub fn put_idle(&self, idle: IdleConnection) {
        self.state.borrow_mut().idle.push(idle);
    }

    /// Takes the connection that was used last, so that the others can expire.
    pub fn take_idle(&self) -> Option<IdleConnection> {
        self.state.borrow_mut().idle.pop()
    }

    /// The load of the target, without that of the VM's link. While no service time is measured, a
    /// reported service time above the typical one decays to it.
    pub fn load(&self, now_ms: u64) -> TargetLoad {
        let state = self.state.borrow();
        let admission = &state.admission;
        let excess_ms = (admission.service_ms() - state.typical_service_ms).max(0.0);
        let unmeasured_ms = now_ms.saturating_sub(state.last_measured_ms) as f64;
        let service_ms = state.typical_service_ms.min(admission.service_ms())
            + excess_ms * 0.5_f64.powf(unmeasured_ms / SERVICE_EXCESS_HALF_LIFE_MS);
        TargetLoad {
            running: admission.running(),
            waiting: admission.waiting(),
            ahead: admission.ahead(),
            ahead_by_account: admission.ahead_by_account(),
            slots: admission.slots(),
            service_ms: service_ms as f32,
            failed_permille: (state.failed_share_at(now_ms) * 1_000.0) as u16,
            ..TargetLoad::default()
        }
    }

    /// The average service time of the target, in milliseconds; 0 if none is known.
    fn service_ms(&self) -> f64 {
        self.state.borrow().admission.service_ms()
    }

    /// Brings the deadlines of queued requests forward to `until_ms` where they are later.
    pub fn limit_deadlines(&self, until_ms: u64) {
        self.state.borrow_mut().admission.limit_deadlines(until_ms);
    }

    /// Applies the target's last heartbeat and its current state.
    pub fn update_target(&self, mesh: &Mesh) {
        let target = mesh.local_target.borrow();
        let Some(last) = target.last_heartbeat() else { return };
        let target_state = target.state(mesh.now_ms());
        let mut state = self.state.borrow_mut();
        state.admission.set_target(target_state, last.slots);
        if target_state == TargetState::Draining {
            // Refuses queued requests at once, while there is time to try another target.
            let tickets: Vec<u64> = state.queued.keys().copied().collect();
            state.refuse_queued(&tickets, ResultCode::TargetDraining);
        }
        if target_state != TargetState::Ready {
            state.idle.clear();
        }
    }
}

impl ProxyState {
    /// The smoothed share of failed requests, decayed since the last result.
    fn failed_share_at(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.last_result_ms) as f64;
        self.failed_share * 0.5_f64.powf(elapsed_ms / FAILURE_HALF_LIFE_MS)
    }

    fn record_result(&mut self, has_failed: bool, now_ms: u64) {
        let share = self.failed_share_at(now_ms);
        let result = if has_failed { 1.0 } else { 0.0 };
        self.failed_share = share + (result - share) * FAILURE_WEIGHT;
        self.last_result_ms = now_ms;
    }

    /// Ends a running request and gives its slot to the next queued one.
    fn finish(&mut self, now_ms: u64, service_ms: Option<u64>) {
        let service_ms = match service_ms {
            Some(service_ms) => {
                self.last_measured_ms = now_ms;
                // The first measurement has the full weight. Later ones have a low weight, so that the
                // typical time changes much more slowly than the average of the admission.
                let weight = if self.typical_service_ms == 0.0 { 1.0 } else { 0.01 };
                self.typical_service_ms += (service_ms as f64 - self.typical_service_ms) * weight;
                service_ms
            }
            // The current average: a request without a measurement hardly changes it.
            None => self.admission.service_ms() as u64,
        };
        loop {
            let (next, expired) = self.admission.finish(now_ms, service_ms);
            self.refuse_queued(&expired, ResultCode::DeadlineBeforeRun);
            let Some(ticket) = next else { return };
            // The caller may have cancelled the request; the slot then goes to the next one.
            let grant = self.queued.remove(&ticket);
            if grant.is_some_and(|grant| grant.try_send(Ok(())).is_ok()) {
                return;
            }
        }
    }

    /// Refuses queued requests.
    fn refuse_queued(&mut self, tickets: &[u64], code: ResultCode) {
        for ticket in tickets {
            if let Some(grant) = self.queued.remove(ticket) {
                // The caller may have cancelled the request.
                grant.try_send(Err(code)).ok();
            }
        }
    }
}

/// Cancels a request when it is dropped.
pub struct CancelOnDrop {
    _guard: Sender<()>,
}

/// Starts handling a request. `room` is for its response; without one, memory is reserved before the
/// request is forwarded. Returns the receiver of its response and a guard that cancels it.
pub fn submit(
    mesh: &Rc<Mesh>,
    inbound: InboundRequest,
    room: Option<Room>,
) -> (Receiver<InboundResponse>, CancelOnDrop) {
    let (guard, cancelled) = async_channel::bounded::<()>(1);
    let (response_sender, response) = async_channel::bounded(1);
    let task_mesh = mesh.clone();
    mesh.spawn(async move {
        let forwarded = Cell::new(false);
        let is_idempotent = inbound.terms.is_idempotent;
        let request_id = request_id(&inbound.request);
        let handling =
            async { Some(admit_and_forward(&task_mesh, inbound, room, &forwarded).await) };
        let cancelling = async {
            cancelled.recv().await.ok();
            if forwarded.get() {
                if !is_idempotent {
                    // A request that is not idempotent runs to its end once it was forwarded,
                    // because it might stop halfway and must not be repeated.
                    pending::<()>().await;
                }
                sleep_ms(CANCEL_DELAY_MS).await;
            }
            record_cancelled(&task_mesh, &request_id, forwarded.get());
            None
        };
        if let Some(response) = or(handling, cancelling).await {
            // The caller may have cancelled the request.
            response_sender.try_send(response).ok();
        }
    });
    (response, CancelOnDrop { _guard: guard })
}

/// Refuses queued requests that cannot end before their deadlines, closes expired connections, and
/// publishes changes of the target's state.
pub async fn monitor(mesh: Rc<Mesh>) {
    let mut reported_state = TargetState::Starting;
    loop {
        sleep_ms(MONITOR_INTERVAL_MS).await;
        let now_ms = mesh.now_ms();
        let mut state = mesh.inbound.state.borrow_mut();
        let expired = state.admission.expire(now_ms);
        state.refuse_queued(&expired, ResultCode::DeadlineBeforeRun);
        state
            .idle
            .retain(|idle| !idle.connection.must_close() && now_ms < idle.used_ms + idle.ttl_ms);
        drop(state);
        let target_state = mesh.target_state();
        if target_state != reported_state {
            if target_state == TargetState::Lapsed {
                log_event(Event::TargetLapsed, "");
            }
            reported_state = target_state;
            mesh.publish_target_change();
        }
    }
}

/// A slot at the target, released when it is dropped.
struct SlotGuard<'a> {
    mesh: &'a Mesh,
    started_ms: u64,
    /// Whether the duration of the request counts as a service time of the target: after a response
    /// without a server error, and after a request that ran until its deadline.
    is_measured: bool,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        let now_ms = self.mesh.now_ms();
        let service_ms = self.is_measured.then_some(now_ms - self.started_ms);
        self.mesh.inbound.state.borrow_mut().finish(now_ms, service_ms);
    }
}

/// A request in the queue, removed from it if it is dropped before it gets a slot.
struct QueueGuard<'a> {
    mesh: &'a Mesh,
    ticket: u64,
    slot_granted: Receiver<Result<(), ResultCode>>,
    is_admitted: bool,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if self.is_admitted {
            return;
        }
        let mut state = self.mesh.inbound.state.borrow_mut();
        state.admission.cancel(self.ticket);
        state.queued.remove(&self.ticket);
        if let Ok(Ok(())) = self.slot_granted.try_recv() {
            state.finish(self.mesh.now_ms(), None);
        }
    }
}

/// Waits for a slot, forwards the request and records its result. Sets `forwarded` when the request
/// has a slot.
async fn admit_and_forward(
    mesh: &Rc<Mesh>,
    inbound: InboundRequest,
    room: Option<Room>,
    forwarded: &Cell<bool>,
) -> InboundResponse {
    let now_ms = mesh.now_ms();
    let deadline_ms = now_ms + inbound.request.left_ms;
    let is_current_target = mesh
        .local_target
        .borrow()
        .last_heartbeat()
        .is_some_and(|last| last.id == inbound.request.instance);
    if !is_current_target {
        return refuse(mesh, &inbound, ResultCode::WrongInstance);
    }
    let typical_ms = inbound.terms.service_ms.map_or_else(|| mesh.inbound.service_ms(), f64::from);
    if !mesh.may_pass_on(typical_ms) {
        return refuse(mesh, &inbound, ResultCode::TargetDraining);
    }
    let target_deadline_ms = mesh.target_deadline_ms(deadline_ms);
    let mut slot = match acquire_slot(mesh, &inbound, now_ms, target_deadline_ms).await {
        Ok(slot) => slot,
        Err(code) => return refuse(mesh, &inbound, code),
    };
    let response_bytes = inbound.terms.response_bytes as usize;
    let Some(room) = room.or_else(|| Room::try_reserve(&mesh.memory, response_bytes)) else {
        return refuse(mesh, &inbound, ResultCode::MemoryFull);
    };
    forwarded.set(true);
    mesh.metrics.observe_slot_wait(mesh.now_ms() - now_ms);
    let result = forward(mesh, &inbound, room, deadline_ms).await;
    let now_ms = mesh.now_ms();
    // A request that cannot be forwarded, such as one with an invalid header, is no failure of the
    // target.
    let has_failed = match &result {
        Ok(response) => response.status().is_server_error(),
        Err((code, reached_target)) => *reached_target || *code == ResultCode::TargetUnreachable,
    };
    slot.is_measured = matches!(&result, Ok(response) if !response.status().is_server_error())
        || matches!(&result, Err((ResultCode::DeadlineAfterRun, _)));
    let service_ms = slot.is_measured.then(|| (now_ms - slot.started_ms) as u32);
    let took_ms = now_ms - slot.started_ms;
    drop(slot);
    record_run(mesh, &inbound, &result, took_ms);
    mesh.inbound.state.borrow_mut().record_result(has_failed, now_ms);
    match result {
        Ok(http_response) => {
            let target_id = &inbound.request.instance;
            mesh.local_target.borrow_mut().note_response(target_id, now_ms);
            let response = CallResponse {
                code: ResultCode::Answered,
                http_status: http_response.status().as_u16(),
                headers: end_to_end_headers(http_response.headers()),
                body_bytes: http_response.body().len() as u64,
                in_flight: mesh.inbound.in_flight(),
            };
            let body = http_response.into_body();
            InboundResponse { response, reached_target: true, retry_after_ms: 0, service_ms, body }
        }
        Err((code, reached_target)) => failed_response(mesh, code, reached_target),
    }
}

/// Refuses a request that was not forwarded to the target.
pub fn refuse(mesh: &Mesh, inbound: &InboundRequest, code: ResultCode) -> InboundResponse {
    mesh.metrics.inbound_refused(code);
    log_with(Event::DoorRefused, || {
        let load = mesh.target_load();
        format!(
            "request={} target={} code={code} account={} rank={} running={} waiting={} slots={} \
             service_ms={:.0} usual_ms={:?} goal_ms={} left_ms={} wait_max_ms={:?}",
            request_id(&inbound.request),
            inbound.request.instance,
            inbound.terms.account.as_deref().unwrap_or("-"),
            inbound.terms.rank,
            load.running,
            load.waiting,
            load.slots,
            load.service_ms,
            inbound.terms.service_ms,
            inbound.terms.goal_left_ms,
            inbound.request.left_ms,
            inbound.terms.wait_max_ms
        )
    });
    failed_response(mesh, code, false)
}

/// Records a forwarded request in metrics and logs.
fn record_run(mesh: &Mesh, inbound: &InboundRequest, result: &ForwardResult, took_ms: u64) {
    mesh.metrics.observe_target_time(took_ms);
    let target = &inbound.request.instance;
    match result {
        Ok(response) => log_with(Event::RequestRun, || {
            let (id, status) = (request_id(&inbound.request), response.status().as_u16());
            format!("request={id} target={target} status={status} took_ms={took_ms}")
        }),
        Err((code, reached_target)) => log_with(Event::HandOverFailed, || {
            let id = request_id(&inbound.request);
            format!(
                "request={id} target={target} code={code} reached={reached_target} \
                 took_ms={took_ms}"
            )
        }),
    }
}

fn record_cancelled(mesh: &Mesh, request_id: &str, forwarded: bool) {
    mesh.metrics.request_cancelled();
    log_with(Event::RequestCancelled, || format!("request={request_id} handed_over={forwarded}"));
}

/// The response of the inbound proxy to a request that got no response from the target.
fn failed_response(mesh: &Mesh, code: ResultCode, reached_target: bool) -> InboundResponse {
    let state = mesh.inbound.state.borrow();
    InboundResponse {
        response: CallResponse::refusal(code, state.admission.in_flight()),
        reached_target,
        retry_after_ms: state.admission.backlog_ms() as u32,
        service_ms: None,
        body: Bytes::new(),
    }
}

/// Admits a request, or waits in the queue until it gets a slot or is refused.
async fn acquire_slot<'a>(
    mesh: &'a Rc<Mesh>,
    inbound: &InboundRequest,
    now_ms: u64,
    deadline_ms: u64,
) -> Result<SlotGuard<'a>, ResultCode> {
    let (ticket, slot_granted) = {
        let mut state = mesh.inbound.state.borrow_mut();
        state.last_ticket += 1;
        let ticket = state.last_ticket;
        let goal_ms = (now_ms + inbound.terms.goal_left_ms).min(deadline_ms);
        let service_ms = inbound.terms.service_ms.map(f64::from);
        let rank = inbound.terms.rank;
        let wait_max_ms = inbound.terms.wait_max_ms.map(f64::from);
        let arrival = Arrival { ticket, deadline_ms, goal_ms, rank, service_ms, wait_max_ms };
        let account = inbound.terms.account.clone();
        match state.admission.admit_from(now_ms, arrival, account) {
            Decision::Run => return Ok(SlotGuard { mesh, started_ms: now_ms, is_measured: false }),
            Decision::Refuse(code) => return Err(code),
            Decision::Queue => {}
            Decision::Displace { ticket: displaced } => {
                state.refuse_queued(&[displaced], ResultCode::TargetFull);
            }
        }
        let (grant, slot_granted) = async_channel::bounded(1);
        state.queued.insert(ticket, grant);
        (ticket, slot_granted)
    };
    let mut queue_guard = QueueGuard { mesh, ticket, slot_granted, is_admitted: false };
    // The sender is dropped without a message only when the daemon exits.
    let granted = queue_guard.slot_granted.recv().await;
    granted.unwrap_or(Err(ResultCode::TargetDraining))?;
    queue_guard.is_admitted = true;
    Ok(SlotGuard { mesh, started_ms: mesh.now_ms(), is_measured: false })
}
