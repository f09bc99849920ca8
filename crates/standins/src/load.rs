//! Open-loop load generator: requests are sent at their scheduled times, whether or not earlier ones
//! have finished.

use async_executor::Executor;
use hdrhistogram::Histogram;
use http_types::Method;
use pomeloreach_wire::http::{self, HttpError};
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The timeout of a request that is sent only once, in milliseconds.
const TIMEOUT_MS: u64 = 20_000;
/// The timeout of each attempt of a baseline that retries, in milliseconds.
const ATTEMPT_TIMEOUT_MS: u64 = 250;
/// The most attempts that a baseline makes for one request.
const ATTEMPTS_MAX: u64 = 20;
/// The highest latency that counts as goodput, in microseconds: a later response is of no use to its
/// caller.
const GOODPUT_LATENCY_MAX_US: u64 = 1_000_000;
/// The largest response, in bytes.
const RESPONSE_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Which requests to send, where and how fast.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Daemons or targets; requests go to them in round-robin order.
    pub addrs: Vec<SocketAddr>,
    pub host: String,
    pub path: String,
    pub is_idempotent: bool,
    /// The mean rate; intervals between requests are exponentially distributed.
    pub requests_per_s: f64,
    pub duration_ms: u64,
    /// For baselines: a request that fails, or gets no complete response within
    /// `ATTEMPT_TIMEOUT_MS`, is sent to the next address, with at most `ATTEMPTS_MAX` attempts in
    /// all. A response with an error status is not retried.
    pub retries_until_response: bool,
    pub seed: u64,
}

/// Counts, attempts and latencies of a load.
#[derive(Clone, Debug)]
pub struct LoadResult {
    pub sent: u64,
    /// Responses with status 200 that came within `GOODPUT_LATENCY_MAX_US`.
    pub succeeded: u64,
    /// Requests by result code. "direct" is a response without a code, straight from a target;
    /// "target 500" and "no answer" stand for a failed target and a failed or timed-out call.
    pub by_code: BTreeMap<String, u64>,
    /// Attempts of all requests, as reported in responses, or as sent where none is reported.
    pub attempts: u64,
    /// Latency of the requests that succeeded, from the scheduled time to the end of the response, in
    /// microseconds.
    pub latency_us: Histogram<u64>,
    /// Ids of the requests sent, to look up how often each of them ran.
    pub ids: Vec<String>,
}

impl LoadResult {
    fn new() -> Self {
        let latency_us = Histogram::new(3).expect("three digits are valid");
        Self {
            sent: 0,
            succeeded: 0,
            by_code: BTreeMap::new(),
            attempts: 0,
            latency_us,
            ids: Vec::new(),
        }
    }
}

/// Sends the load and waits until every request has ended.
pub async fn run_load(executor: &Arc<Executor<'static>>, settings: LoadSettings) -> LoadResult {
    let result = Arc::new(Mutex::new(LoadResult::new()));
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
    let started = Instant::now();
    let mut due = Duration::ZERO;
    let mut number = 0u64;
    let mut tasks = Vec::new();
    while due < Duration::from_millis(settings.duration_ms) {
        let wait = due.saturating_sub(started.elapsed());
        if !wait.is_zero() {
            async_io::Timer::after(wait).await;
        }
        let due_at = started + due;
        tasks.push(executor.spawn(send_request(settings.clone(), number, due_at, result.clone())));
        number += 1;
        due += exponential_interval(&mut rng, settings.requests_per_s);
    }
    for task in tasks {
        task.await;
    }
    Arc::into_inner(result)
        .and_then(|result| result.into_inner().ok())
        .unwrap_or_else(LoadResult::new)
}

/// Draws the time to the next request.
fn exponential_interval(rng: &mut ChaCha8Rng, per_s: f64) -> Duration {
    let uniform = (rng.next_u32() as f64 + 1.0) / (f64::from(u32::MAX) + 1.0);
    Duration::from_secs_f64(-uniform.ln() / per_s)
}

/// Sends request `number` and adds its outcome to `result`.
async fn send_request(
    settings: LoadSettings,
    number: u64,
    due_at: Instant,
    result: Arc<Mutex<LoadResult>>,
) {
    let id = format!("load-{}-{number}", settings.seed);
    let (response, attempt_count) = send_and_retry(&settings, number, &id).await;
    let latency_us = due_at.elapsed().as_micros() as u64;
    let mut result = result.lock().unwrap();
    result.sent += 1;
    result.ids.push(id);
    let code = match &response {
        Ok(response) => {
            let attempts = response.header("x-pomeloreach-attempts");
            result.attempts +=
                attempts.and_then(|value| value.parse().ok()).unwrap_or(attempt_count);
            let code = response.header("x-pomeloreach-code").unwrap_or("direct");
            let in_time = latency_us <= GOODPUT_LATENCY_MAX_US;
            let counts_as_goodput =
                matches!(code, "2000" | "direct") && response.status == 200 && in_time;
            if counts_as_goodput {
                result.succeeded += 1;
                result.latency_us.record(latency_us).ok();
            }
            if response.status == 500 { "target 500".to_string() } else { code.to_string() }
        }
        Err(_) => {
            result.attempts += attempt_count;
            "no answer".to_string()
        }
    };
    *result.by_code.entry(code).or_default() += 1;
}

/// Sends a request once, or for baselines that retry until it gets a response or has used up its
/// attempts. Returns the number of attempts too.
async fn send_and_retry(
    settings: &LoadSettings,
    number: u64,
    id: &str,
) -> (Result<http::FullResponse, HttpError>, u64) {
    let addr = |index: u64| settings.addrs[(number + index) as usize % settings.addrs.len()];
    if !settings.retries_until_response {
        return (send_attempt(settings, addr(0), id, TIMEOUT_MS).await, 1);
    }
    for attempt_count in 1..=ATTEMPTS_MAX {
        let response =
            send_attempt(settings, addr(attempt_count - 1), id, ATTEMPT_TIMEOUT_MS).await;
        if response.is_ok() {
            return (response, attempt_count);
        }
    }
    (Err(HttpError::TimedOut(ATTEMPTS_MAX * ATTEMPT_TIMEOUT_MS)), ATTEMPTS_MAX)
}

/// Makes one attempt.
async fn send_attempt(
    settings: &LoadSettings,
    addr: SocketAddr,
    id: &str,
    timeout_ms: u64,
) -> Result<http::FullResponse, HttpError> {
    let method = if settings.is_idempotent { Method::Get } else { Method::Post };
    let mut request = http::new_request(method, addr, &settings.path)?;
    request.insert_header("host", &settings.host);
    request.insert_header("x-request-id", id);
    let body = if settings.is_idempotent { Vec::new() } else { b"cut".to_vec() };
    http::call(addr, request, body, RESPONSE_BYTES_MAX, timeout_ms).await
}
