//! The port for callers: finds the route of each request, sends it to targets in one or more
//! attempts, and reports in the response whether it was run.

use crate::calls;
use crate::directory::{entries_for, wait_for_new_entries};
use crate::inbound::{self, DEADLINE_HEADER, is_forwarded};
use crate::runtime::{ProgressGuard, Shared, lock};
use async_net::{TcpListener, TcpStream};
use http_types::{Body, Request, Response, StatusCode};
use pomeloreach_core::attempt::{Attempts, NextStep};
use pomeloreach_core::balancer::Observation;
use pomeloreach_core::call::{BODY_BYTES_MAX, CallRequest, Header};
use pomeloreach_core::code::{Outcome, ResultCode};
use pomeloreach_core::endpoint::Endpoint;
use pomeloreach_core::matching::{MatchedRoute, is_method_idempotent};
use pomeloreach_core::retry_budget::RetryBudget;
use pomeloreach_wire::clock::{sleep_ms, within_ms};
use pomeloreach_wire::http::{self, BodyError};
use std::sync::Arc;

/// Longest time to receive a request body, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 30_000;
/// Longest time that a request waits while no target of its pool can be chosen, in milliseconds.
const NO_TARGET_WAIT_MS: u64 = 3_000;
/// Interval at which a connection is checked for a disconnect of the caller while the caller has
/// already sent more data, and pause after a failed accept, in milliseconds.
const DISCONNECT_POLL_MS: u64 = 50;
/// The header with the number of the result code.
const CODE_HEADER: &str = "x-pomeloreach-code";
/// The header with `answered`, `not-run` or `unknown`.
const OUTCOME_HEADER: &str = "x-pomeloreach-outcome";
/// The header with the version of the configuration by which the request was routed.
const VERSION_HEADER: &str = "x-pomeloreach-version";
/// The header with the number of attempts.
const ATTEMPTS_HEADER: &str = "x-pomeloreach-attempts";

/// Accepts connections of callers.
pub async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => shared.spawn(serve(shared.clone(), stream)),
            Err(_) => sleep_ms(DISCONNECT_POLL_MS).await,
        }
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    let caller = stream.clone();
    http::serve(stream, |request| {
        let (shared, caller) = (shared.clone(), caller.clone());
        async move {
            let request_guard = ProgressGuard::new(shared.clone(), Shared::caller_requests);
            let handling = handle(&shared, request);
            let mut response = futures_lite::future::or(handling, disconnected(&caller)).await;
            if shared.is_stopping() {
                response.insert_header("connection", "close");
            }
            (response, request_guard)
        }
    })
    .await;
}

/// Waits until the caller has closed its connection; its request is then cancelled. Returns a
/// placeholder response that no caller is expected to receive.
async fn disconnected(caller: &TcpStream) -> Response {
    let mut byte = [0];
    while !matches!(caller.peek(&mut byte).await, Ok(0) | Err(_)) {
        sleep_ms(DISCONNECT_POLL_MS).await;
    }
    Response::new(StatusCode::BadRequest)
}

/// The result of one request.
struct RequestResult {
    code: ResultCode,
    response: Option<calls::FullCallResponse>,
    attempts: u8,
    version: u64,
}

impl RequestResult {
    fn refusal(code: ResultCode, version: u64) -> Self {
        Self { code, response: None, attempts: 0, version }
    }
}

/// Reads the body of a request, routes the request and records its metrics.
async fn handle(shared: &Arc<Shared>, mut request: Request) -> Response {
    let started_ms = shared.clock.now_ms();
    let reading = http::read_request_body(&mut request, BODY_BYTES_MAX);
    let result = match within_ms(BODY_TIMEOUT_MS, reading).await {
        None | Some(Err(BodyError::Truncated)) => RequestResult::refusal(ResultCode::RequestCut, 0),
        Some(Err(BodyError::TooLarge)) => RequestResult::refusal(ResultCode::RequestTooLarge, 0),
        Some(Ok(body)) => route_request(shared, &request, body, started_ms).await,
    };
    shared.metrics.count(&format!("requests.{}", result.code), 1);
    shared.metrics.time_ms("requests.time", shared.clock.now_ms() - started_ms);
    http_response(result)
}

/// Finds the route of a request and its deadline, and runs the attempts.
async fn route_request(
    shared: &Arc<Shared>,
    request: &Request,
    body: Vec<u8>,
    started_ms: u64,
) -> RequestResult {
    let routes = match shared.routes() {
        Some(routes) if !shared.is_stopping() => routes,
        _ => return RequestResult::refusal(ResultCode::DaemonNotReady, 0),
    };
    let version = routes.version();
    let method = request.method().to_string();
    let url = request.url();
    let host = url.host_str().unwrap_or("");
    let Some(matched) = routes.find(host, url.path(), &method) else {
        return RequestResult::refusal(ResultCode::NoRoute, version);
    };
    let route_timeout_ms = u64::from(matched.route.deadline_ms);
    let requested_ms = request.header(DEADLINE_HEADER).and_then(|v| v.last().as_str().parse().ok());
    let deadline_ms = started_ms + requested_ms.unwrap_or(route_timeout_ms).min(route_timeout_ms);
    let head = CallRequest {
        instance: "".into(),
        left_ms: 0,
        method: method.into(),
        path: path_and_query(request).into(),
        headers: forwarded_headers(request),
        body_bytes: body.len() as u64,
    };
    run_attempts(shared, matched, version, head, Arc::new(body), deadline_ms).await
}

fn path_and_query(request: &Request) -> String {
    let url = request.url();
    match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_string(),
    }
}

fn forwarded_headers(request: &Request) -> Vec<Header> {
    let all = request.iter().flat_map(|(name, values)| {
        values
            .iter()
            .map(|value| Header { name: name.as_str().into(), value: value.as_str().into() })
    });
    all.filter(|header| is_forwarded(&header.name) && &*header.name != DEADLINE_HEADER).collect()
}

/// Runs attempts until a target responds or no further attempt is allowed.
async fn run_attempts(
    shared: &Arc<Shared>,
    matched: &MatchedRoute,
    version: u64,
    mut head: CallRequest,
    body: Arc<Vec<u8>>,
    deadline_ms: u64,
) -> RequestResult {
    let pool = &matched.pool;
    let is_idempotent = matched.route.idempotent || is_method_idempotent(&head.method);
    let mut attempts = Attempts::new(is_idempotent, pool.attempts_max, deadline_ms);
    with_budget(shared, matched, |budget, _| budget.deposit(pool.retry_budget_percent));
    loop {
        let now_ms = shared.clock.now_ms();
        let left_ms = deadline_ms.saturating_sub(now_ms);
        let Some(target) = choose_target(shared, matched, &attempts, left_ms).await else {
            let code = attempts.final_code(ResultCode::NoTarget);
            return RequestResult { code, response: None, attempts: attempts.started(), version };
        };
        let timeout_ms = attempts.start(target.instance.clone(), shared.clock.now_ms());
        head.instance = target.instance.clone();
        head.left_ms = timeout_ms;
        let response = run_attempt(shared, &target, &head, &body, timeout_ms).await;
        let code = response.as_ref().map_or_else(|code| *code, |response| response.head.code);
        let next =
            with_budget(shared, matched, |budget, now_ms| attempts.finish(code, now_ms, budget));
        match next {
            NextStep::Retry => shared.metrics.count("requests.retries", 1),
            NextStep::Respond(code) => {
                let response = response.ok().filter(|_| code == ResultCode::Answered);
                return RequestResult { code, response, attempts: attempts.started(), version };
            }
        }
    }
}

/// Chooses a target. If there is none, waits a short time for one to appear.
async fn choose_target(
    shared: &Shared,
    matched: &MatchedRoute,
    attempts: &Attempts,
    left_ms: u64,
) -> Option<Endpoint> {
    let (pool, service) = (&matched.pool, &matched.pool.service);
    let wait_until_ms = shared.clock.now_ms() + (left_ms / 2).min(NO_TARGET_WAIT_MS);
    let mut entries = entries_for(shared, service, left_ms).await?;
    loop {
        let now_ms = shared.clock.now_ms();
        let chosen = lock(&shared.balancer).choose(pool, &entries, attempts.tried(), now_ms);
        if chosen.is_some() {
            return chosen;
        }
        let wait_ms = wait_until_ms.checked_sub(now_ms)?;
        entries = wait_for_new_entries(shared, service, Some(&entries), wait_ms).await?;
    }
}

/// Calls a function with the retry budget of the route's pool and the current time.
fn with_budget<T>(
    shared: &Shared,
    matched: &MatchedRoute,
    use_budget: impl FnOnce(&mut RetryBudget, u64) -> T,
) -> T {
    let now_ms = shared.clock.now_ms();
    let mut budgets = lock(&shared.retry_budgets);
    let pool_name = matched.route.pool.clone();
    let budget = budgets.entry(pool_name).or_insert_with(|| RetryBudget::new(now_ms));
    use_budget(budget, now_ms)
}

/// Records the end of an attempt with the balancer, also when the caller disconnects during it.
struct AttemptGuard<'a> {
    shared: &'a Shared,
    target: &'a Endpoint,
    started_ms: u64,
    has_ended: bool,
}

impl AttemptGuard<'_> {
    fn end(&mut self, observation: Observation, reported_in_flight: Option<u16>) {
        self.has_ended = true;
        let now_ms = self.shared.clock.now_ms();
        let latency_ms = now_ms - self.started_ms;
        let instance = &self.target.instance;
        lock(&self.shared.balancer).record_end(
            instance,
            observation,
            latency_ms,
            reported_in_flight,
            now_ms,
        );
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.end(Observation::Alive, None);
        }
    }
}

/// Runs one attempt, at the local target directly or by a call to the target's daemon.
async fn run_attempt(
    shared: &Arc<Shared>,
    target: &Endpoint,
    head: &CallRequest,
    body: &Arc<Vec<u8>>,
    timeout_ms: u64,
) -> std::result::Result<calls::FullCallResponse, ResultCode> {
    let started_ms = shared.clock.now_ms();
    lock(&shared.balancer).record_start(&target.instance, started_ms);
    let mut guard = AttemptGuard { shared, target, started_ms, has_ended: false };
    let result = if target.instance == shared.local.instance {
        Ok(inbound::handle_call(shared, head, body.to_vec()).await)
    } else {
        calls::send_call(shared, target, head, body, timeout_ms).await
    };
    let result = result.and_then(checked);
    match &result {
        Ok(reply) => guard.end(Observation::of(reply.head.code), Some(reply.head.in_flight)),
        Err(code) => guard.end(Observation::of(*code), None),
    }
    result
}

/// Refuses a response that cannot be passed on to a caller. The request may have run.
fn checked(response: calls::FullCallResponse) -> Result<calls::FullCallResponse, ResultCode> {
    let head = &response.head;
    let is_sendable =
        head.code != ResultCode::Answered || StatusCode::try_from(head.http_status).is_ok();
    if head.is_valid() && is_sendable { Ok(response) } else { Err(ResultCode::AnswerCut) }
}

/// Builds the HTTP response to the caller.
fn http_response(result: RequestResult) -> Response {
    let outcome = result.code.outcome();
    let mut response = match result.response {
        Some(call_response) => {
            let status = StatusCode::try_from(call_response.head.http_status);
            let mut response = Response::new(status.unwrap_or(StatusCode::BadGateway));
            for Header { name, value } in &call_response.head.headers {
                response.append_header(name.as_ref(), value.as_ref());
            }
            response.set_body(Body::from_bytes(call_response.body));
            // `set_body` has added a content type that the target did not send; it is removed only
            // if the target sent no headers.
            if response.header("content-type").is_some() && call_response.head.headers.is_empty() {
                response.remove_header("content-type");
            }
            response
        }
        None => {
            let reason = match outcome {
                Outcome::NotRun => "the request was not run",
                _ => "the request may have run, its answer was lost",
            };
            http::error_response(result.code, reason)
        }
    };
    response.insert_header(CODE_HEADER, result.code.number().to_string());
    response.insert_header(OUTCOME_HEADER, outcome.to_string());
    response.insert_header(VERSION_HEADER, result.version.to_string());
    response.insert_header(ATTEMPTS_HEADER, result.attempts.to_string());
    response
}
