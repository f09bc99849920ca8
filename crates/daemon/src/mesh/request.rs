//! The handling of one request of a caller: its route, its attempts and its response.

use super::Mesh;
use super::accounts::{account_of, rank};
use super::attempt;
use super::forward::end_to_end_headers;
use super::quota::{self, QuotaPermit};
use super::refusals::{NO_TARGET_RETRY_AFTER_MS, refuse, refuse_key, refuse_without_memory};
use super::response::{TargetResponse, refusal_response, target_response};
use crate::logging::log_with;
use async_channel::Sender;
use async_executor::Task;
use bytes::Bytes;
use futures_lite::future::or;
use http::header::HOST;
use http::request::Parts;
use http::{HeaderMap, Response, Uri};
use pomeloreach_core::account_index::{AccountIndex, MatchedAccount};
use pomeloreach_core::call::CallRequest;
use pomeloreach_core::code::ResultCode;
use pomeloreach_core::event::Event;
use pomeloreach_core::matching::MatchedRoute;
use pomeloreach_core::mesh::attempts::{self, AttemptResult, Attempts, NextAction, RetryPolicy};
use pomeloreach_core::mesh::message::{AdmissionTerms, InboundRequest, InboundResponse};
use pomeloreach_core::mesh::placer::{self, Placement, PlacementQuery};
use pomeloreach_core::mesh::published::missing_route_code;
use pomeloreach_core::mesh::retry_after::{self, RefusedRequest};
use pomeloreach_core::mesh::state::TargetLoad;
use pomeloreach_core::mesh::typical_times::TypicalTimes;
use pomeloreach_platform::headers;
use pomeloreach_wire::clock::within_ms;
use pomeloreach_wire::memory::Room;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;

/// A request waits for one part of this many of its time until there is room for its response: the
/// target needs the rest.
const ROOM_WAIT_DIVISOR: u64 = 2;

/// A request in progress, and the state that its attempts share.
struct ActiveRequest<'a> {
    mesh: &'a Rc<Mesh>,
    route: &'a MatchedRoute,
    service: Arc<str>,
    /// The client account of the caller; absent if it sent no known key.
    account: Option<Arc<MatchedAccount>>,
    /// The rank of the request where requests queue, by the priorities of its account and route.
    rank: u8,
    attempts: Attempts,
    request_id: Arc<str>,
    request: CallRequest,
    body: Bytes,
    arrived_ms: u64,
    /// The time by which a response meets the latency goal of the route, by the daemon's clock; not
    /// after the deadline.
    goal_ms: u64,
    /// An error response of a target, sent if no later attempt succeeds.
    held_response: Option<TargetResponse>,
    /// The longest retry delay that any attempt or any choice of a target has returned, in
    /// milliseconds.
    retry_after_ms: u64,
    /// The target of the last attempt.
    last_target: Option<ChosenTarget>,
    /// The credit of the request; absent if it belongs to no account.
    permit: Option<QuotaPermit>,
    /// The expected size of the response's body.
    expected_bytes: usize,
    /// The memory for the response of the first attempt, until that starts.
    room: Option<Room>,
}

/// A chosen target, with the load that the choice was based on.
struct ChosenTarget {
    daemon: Arc<str>,
    target_id: Arc<str>,
    load: TargetLoad,
    /// The age of the load report, in milliseconds.
    load_age_ms: u64,
}

impl fmt::Display for ChosenTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { daemon, target_id, load, load_age_ms } = self;
        write!(
            f,
            "daemon={daemon} target={target_id} load_age_ms={load_age_ms} running={} waiting={} \
             slots={} service_ms={:.0} failed_permille={}",
            load.running, load.waiting, load.slots, load.service_ms, load.failed_permille
        )
    }
}

/// Handles one request of a caller.
pub async fn serve(mesh: &Rc<Mesh>, head: Parts, body: Bytes, arrived_ms: u64) -> Response<Bytes> {
    let caller = headers::caller_headers(&head.headers);
    let Some(routes) = mesh.config.routes() else {
        return refuse(mesh, &caller.request_id, ResultCode::DaemonNotReady);
    };
    let path = head.uri.path();
    let Some(route) = routes.find(&host(&head.headers, &head.uri), path, head.method.as_str())
    else {
        let code = missing_route_code(mesh.config.version(), mesh.newest_known_version());
        return refuse(mesh, &caller.request_id, code);
    };
    let accounts = mesh.config.accounts();
    let account = match account_of(mesh, &accounts, route, &head.headers) {
        Ok(account) => account,
        Err(problem) => return refuse_key(mesh, &caller.request_id, route, problem),
    };
    let route_timeout_ms = u64::from(route.route.deadline_ms);
    let deadline_ms =
        arrived_ms + caller.timeout_ms.unwrap_or(route_timeout_ms).min(route_timeout_ms);
    let expected_bytes = expected_response_bytes(mesh, route);
    let room_wait_ms = deadline_ms.saturating_sub(mesh.now_ms()) / ROOM_WAIT_DIVISOR;
    let exiting = async {
        mesh.last_responses_due().await;
        None
    };
    let reserving = Room::reserve(&mesh.memory, expected_bytes, room_wait_ms);
    let Some(room) = or(reserving, exiting).await else {
        return refuse_without_memory(mesh, Some(&head.headers));
    };
    let permit = match &account {
        None => None,
        Some(account) => {
            let left_ms = deadline_ms.saturating_sub(mesh.now_ms());
            match quota::acquire(mesh, &account.name, left_ms).await {
                Ok(permit) => Some(permit),
                Err(refusal) => {
                    let now_ms = mesh.now_ms();
                    let times = (now_ms - arrived_ms, deadline_ms.saturating_sub(now_ms));
                    return quota::refuse(mesh, &caller.request_id, &route.name, &refusal, times);
                }
            }
        }
    };
    let weighted = mesh.round_robin.borrow_mut().next(route).clone();
    let goal_left_ms = route.route.target_latency_ms.map_or(route_timeout_ms, u64::from);
    let attempts_max = route.route.attempts_max.unwrap_or(weighted.pool.attempts_max).into();
    let is_idempotent = route.route.idempotent;
    let mut active = ActiveRequest {
        mesh,
        route,
        service: weighted.pool.service,
        rank: rank(account.as_deref(), route),
        attempts: Attempts::new(RetryPolicy { is_idempotent, attempts_max, deadline_ms }),
        request: call_request(mesh, &accounts, &head, &body, account.as_deref()),
        account,
        request_id: caller.request_id,
        body,
        arrived_ms,
        goal_ms: (arrived_ms + goal_left_ms).min(deadline_ms),
        held_response: None,
        retry_after_ms: 0,
        last_target: None,
        permit,
        expected_bytes,
        room: Some(room),
    };
    mesh.deposit_retry(&active.service);
    let result = active.run().await;
    active.respond(result)
}

/// The host that a request names, in lower case and without the port.
pub fn host(headers: &HeaderMap, uri: &Uri) -> String {
    let header = headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = header.or_else(|| uri.host()).unwrap_or_default();
    host.split(':').next().unwrap_or_default().to_ascii_lowercase()
}

/// How many bytes the body of the response to a request of this route is expected to have.
pub fn expected_response_bytes(mesh: &Mesh, route: &MatchedRoute) -> usize {
    mesh.response_sizes.borrow().get(&route.name).copied().unwrap_or_default().bytes()
}

/// The parts of a request that are the same for each attempt.
fn call_request(
    mesh: &Mesh,
    accounts: &AccountIndex,
    head: &Parts,
    body: &Bytes,
    account: Option<&MatchedAccount>,
) -> CallRequest {
    let mut of_caller = head.headers.clone();
    headers::remove_daemon_headers(&mut of_caller);
    if accounts.is_empty() {
        headers::remove_possible_key(&mut of_caller);
    } else {
        headers::remove_credentials(&mut of_caller);
    }
    let mut forwarded = end_to_end_headers(&of_caller);
    let service = &mesh.mesh_settings.borrow().service;
    forwarded.push(headers::caller_service_header(service));
    forwarded.extend(account.map(|account| headers::account_header(&account.name)));
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    CallRequest {
        instance: "".into(),
        left_ms: 0,
        method: head.method.as_str().into(),
        path: path.into(),
        headers: forwarded,
        body_bytes: body.len() as u64,
    }
}

impl ActiveRequest<'_> {
    /// Makes attempts until one succeeds or no further one is possible. A stalled attempt continues
    /// beside the next one, so that its response can still be used.
    async fn run(&mut self) -> Result<TargetResponse, ResultCode> {
        let (result_sender, results) = async_channel::bounded(attempts::DAEMONS_TRIED_MAX);
        // Dropping a task cancels its attempt.
        let mut tasks: Vec<Task<()>> = Vec::new();
        loop {
            let now_ms = self.mesh.now_ms();
            if self.attempts.left_ms(now_ms) == 0 {
                return self.fail(ResultCode::DeadlineBeforeRun);
            }
            let wait_ms = match self.start_attempt(now_ms, &result_sender) {
                Ok(task) => {
                    tasks.push(task);
                    self.attempts.stall_timeout_ms(now_ms, self.typical_times().response_ms)
                }
                Err(code) if self.attempts.in_flight() == 0 => return self.fail(code),
                Err(_) => self.attempts.left_ms(now_ms),
            };
            let receiving = async { Some(within_ms(wait_ms, results.recv()).await) };
            let exiting = async {
                self.mesh.last_responses_due().await;
                None
            };
            let Some(received) = or(receiving, exiting).await else {
                return self.fail(ResultCode::TargetDraining);
            };
            let Some(Ok(response)) = received else {
                self.note_stalled_attempts(now_ms);
                continue;
            };
            if let Some(result) = self.handle_response(response) {
                return result;
            }
        }
    }

    /// Starts another attempt, or returns why none is possible.
    fn start_attempt(
        &mut self,
        now_ms: u64,
        result_sender: &Sender<InboundResponse>,
    ) -> Result<Task<()>, ResultCode> {
        if !self.attempts.may_start() {
            return Err(ResultCode::DeadlineAfterRun);
        }
        if !self.mesh.may_pass_on(self.typical_times().service_ms.unwrap_or(0.0)) {
            return Err(ResultCode::TargetDraining);
        }
        let (peer, target_id, wait_max_ms) = match self.choose_target(now_ms) {
            Placement::Local { wait_max_ms } => (None, self.local_target_id(), wait_max_ms),
            Placement::Peer { name, target_id, wait_max_ms } => {
                (Some(name), target_id, wait_max_ms)
            }
            Placement::Full { retry_after_ms } => {
                self.retry_after_ms = self.retry_after_ms.max(retry_after_ms);
                return Err(ResultCode::TargetFull);
            }
            Placement::NoTarget => {
                self.retry_after_ms = self.retry_after_ms.max(NO_TARGET_RETRY_AFTER_MS);
                return Err(ResultCode::NoTarget);
            }
        };
        let first_room = self.room.take();
        let room = first_room.or_else(|| Room::try_reserve(&self.mesh.memory, self.expected_bytes));
        let Some(room) = room else { return Err(ResultCode::MemoryFull) };
        let priority = self.route.route.priority;
        if self.attempts.is_retry() {
            // Each arrival at a target counts against the quota.
            let has_credit = self.permit.as_ref().is_none_or(|permit| permit.take_retry(self.mesh));
            if !has_credit || !self.mesh.withdraw_retry(&self.service, priority) {
                return Err(ResultCode::RetryBudgetSpent);
            }
        }
        self.mesh.metrics.attempt_started(self.attempts.is_retry());
        let daemon = peer.clone().unwrap_or_else(|| self.mesh.local.name.clone());
        self.last_target = self.chosen_target(daemon.clone(), target_id.clone(), now_ms);
        self.attempts.start(daemon);
        // If no other daemon can be tried after this one, the time in its queue is not limited:
        // waiting is better than failing.
        let wait_max_ms = wait_max_ms.filter(|_| !self.attempts.daemons_exhausted());
        let request = self.inbound_request(target_id, wait_max_ms, now_ms);
        let (mesh, result_sender) = (self.mesh.clone(), result_sender.clone());
        Ok(self.mesh.executor.spawn(async move {
            let response = attempt::run(mesh, peer, request, room).await;
            // The request may have ended.
            result_sender.try_send(response).ok();
        }))
    }

    /// The target of an attempt with its last known load. `None` if a peer has no ready target.
    fn chosen_target(
        &self,
        daemon: Arc<str>,
        target_id: Arc<str>,
        now_ms: u64,
    ) -> Option<ChosenTarget> {
        let peers = self.mesh.peers.borrow();
        let (load, load_age_ms) = match peers.get(&daemon) {
            Some(peer) => (peer.ready_target()?.load, now_ms.saturating_sub(peer.last_received_ms)),
            None => (self.mesh.target_load(), 0),
        };
        Some(ChosenTarget { daemon, target_id, load, load_age_ms })
    }

    /// The last chosen target as log fields.
    fn last_target(&self) -> &dyn fmt::Display {
        self.last_target.as_ref().map_or(&"daemon=none", |target| target)
    }

    /// Reports a stalled attempt to the peer table for all tried daemons. Only those that have sent
    /// nothing since the attempt started are affected.
    fn note_stalled_attempts(&self, started_ms: u64) {
        let now_ms = self.mesh.now_ms();
        let mut peers = self.mesh.peers.borrow_mut();
        for name in self.attempts.tried_daemons() {
            peers.note_stalled_call(name, started_ms, now_ms);
        }
    }

    /// The request as it is sent to the inbound proxy of a target.
    fn inbound_request(
        &self,
        target_id: Arc<str>,
        wait_max_ms: Option<u32>,
        now_ms: u64,
    ) -> InboundRequest {
        let mut request = self.request.clone();
        request.instance = target_id;
        request.left_ms = self.target_left_ms(now_ms);
        let terms = AdmissionTerms {
            goal_left_ms: self.goal_ms.saturating_sub(now_ms),
            rank: self.rank,
            is_idempotent: self.route.route.idempotent,
            service_ms: self.typical_times().service_ms.map(|ms| ms as u32),
            wait_max_ms,
            account: self.account_name().cloned(),
            response_bytes: u32::try_from(self.expected_bytes).unwrap_or(u32::MAX),
        };
        InboundRequest { request, terms, body: self.body.clone() }
    }

    /// The time that a target has for the request, in milliseconds.
    fn target_left_ms(&self, now_ms: u64) -> u64 {
        let deadline_ms = self.attempts.policy().deadline_ms;
        self.mesh.target_deadline_ms(deadline_ms).saturating_sub(now_ms)
    }

    fn local_target_id(&self) -> Arc<str> {
        let target = self.mesh.local_target.borrow();
        target.last_heartbeat().map(|last| last.id.clone()).unwrap_or_default()
    }

    fn choose_target(&self, now_ms: u64) -> Placement {
        let query = PlacementQuery {
            service: &self.service,
            tried_daemons: self.attempts.tried_daemons(),
            is_idempotent: self.route.route.idempotent,
            rank: self.rank,
            goal_left_ms: self.goal_ms.saturating_sub(now_ms),
            left_ms: self.target_left_ms(now_ms),
            service_ms: self.typical_times().service_ms,
            body_bytes: self.body.len() as u64,
            random: self.mesh.random(),
        };
        let local = self.mesh.target_summary();
        placer::choose(&self.mesh.peers.borrow(), local.as_ref(), &query, now_ms)
    }

    /// Handles the result of an attempt. Returns the result of the request if it ends.
    fn handle_response(
        &mut self,
        inbound: InboundResponse,
    ) -> Option<Result<TargetResponse, ResultCode>> {
        let code = inbound.response.code;
        if let Some(service_ms) = inbound.service_ms {
            self.update_typical_times(|times| times.record_service(service_ms.into()));
        }
        self.retry_after_ms = self.retry_after_ms.max(inbound.retry_after_ms.into());
        let http_status = inbound.response.http_status;
        let reached_target = inbound.reached_target;
        if code == ResultCode::Answered {
            let sizes = &mut *self.mesh.response_sizes.borrow_mut();
            sizes.entry(self.route.name.clone()).or_default().record(inbound.body.len());
        }
        let response = TargetResponse { head: inbound.response, body: inbound.body };
        match self.attempts.finish(AttemptResult { code, http_status, reached_target }) {
            NextAction::Respond => return Some(Ok(response)),
            NextAction::HoldResponse => self.held_response = Some(response),
            NextAction::Continue => {}
            NextAction::Fail(code) => return Some(self.fail(code)),
        }
        self.log_attempt(code);
        None
    }

    fn log_attempt(&self, code: ResultCode) {
        log_with(Event::AttemptRepeated, || {
            format!(
                "request={} route={} code={code} tried={} reached={} age_ms={} {}",
                self.request_id,
                self.route.name,
                self.attempts.tried_daemons().len(),
                self.attempts.targets_reached(),
                self.mesh.now_ms() - self.arrived_ms,
                self.last_target()
            )
        });
    }

    /// Ends the request with a held error response if there is one, otherwise with a result code.
    fn fail(&mut self, code: ResultCode) -> Result<TargetResponse, ResultCode> {
        let final_code = self.attempts.final_code(code, self.mesh.now_ms());
        self.held_response.take().ok_or(final_code)
    }

    /// Records the result of the request, and converts it to the response for the caller.
    fn respond(&mut self, result: Result<TargetResponse, ResultCode>) -> Response<Bytes> {
        let now_ms = self.mesh.now_ms();
        let took_ms = now_ms - self.arrived_ms;
        let code = result.as_ref().err().copied().unwrap_or(ResultCode::Answered);
        self.mesh.metrics.request_ended(code, took_ms);
        if let Some(permit) = self.permit.take() {
            let has_run = self.attempts.targets_reached() + self.attempts.in_flight() > 0;
            permit.finish(self.mesh, has_run);
        }
        let response = match result {
            Ok(response) => response,
            Err(code) => {
                let refused = RefusedRequest {
                    wait_ms: self.retry_after_ms,
                    left_ms: self.attempts.left_ms(now_ms),
                    rank: self.route.route.priority,
                    random: self.mesh.random(),
                };
                let retry_after_ms = retry_after::retry_after_ms(refused);
                self.log_result(Event::RequestFailed, code, took_ms, retry_after_ms);
                return refusal_response(&self.request_id, code, retry_after_ms);
            }
        };
        if response.head.http_status < 500 {
            self.update_typical_times(|times| times.record_response(took_ms as f64));
            self.log_result(Event::RequestAnswered, code, took_ms, 0);
        } else {
            self.log_result(Event::RequestFailed, code, took_ms, 0);
        }
        target_response(response)
    }

    fn log_result(&self, event: Event, code: ResultCode, took_ms: u64, retry_after_ms: u64) {
        log_with(event, || {
            format!(
                "request={} route={} version={} account={} rank={} service={} code={code} \
                 tried={} reached={} took_ms={took_ms} left_ms={} \
                 retry_after_ms={retry_after_ms} {}",
                self.request_id,
                self.route.name,
                self.mesh.config.version(),
                self.account_name().map_or("-", |name| name),
                self.rank,
                self.service,
                self.attempts.tried_daemons().len(),
                self.attempts.targets_reached(),
                self.attempts.left_ms(self.mesh.now_ms()),
                self.last_target()
            )
        });
    }

    fn account_name(&self) -> Option<&Arc<str>> {
        self.account.as_ref().map(|account| &account.name)
    }

    /// The typical times of the request's route.
    fn typical_times(&self) -> TypicalTimes {
        self.mesh.typical_times.borrow().get(&self.route.name).copied().unwrap_or_default()
    }

    fn update_typical_times(&self, update: impl FnOnce(&mut TypicalTimes)) {
        update(self.mesh.typical_times.borrow_mut().entry(self.route.name.clone()).or_default());
    }
}
