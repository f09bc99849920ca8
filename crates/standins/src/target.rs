//! Stand-in for a target: an HTTP server with a limited number of slots that announces itself to its
//! daemon, drains, and honours deadlines and cancellation. Tests can inject faults.

use crate::serve_http::{json_body, serve};
use async_executor::Executor;
use async_lock::Semaphore;
use async_net::TcpStream;
use futures_lite::AsyncWriteExt;
use http_types::{Method, Request, Response, StatusCode};
use pomeloreach_core::api::{Announcement, AnnouncementResponse};
use pomeloreach_core::endpoint::TargetState;
use pomeloreach_wire::clock::{Clock, sleep_ms, within_ms};
use pomeloreach_wire::http::{self, HttpError, error_response, json_response};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// How long an announcement is valid, in milliseconds.
const LEASE_MS: u64 = 2_000;
/// The pause between two announcements, in milliseconds.
const ANNOUNCE_INTERVAL_MS: u64 = 500;
/// The pause between the announcements of a draining target, which ask whether it may stop, in
/// milliseconds.
const DRAIN_POLL_MS: u64 = 50;
/// The pause between checks whether the caller has disconnected, in milliseconds.
const DISCONNECT_POLL_MS: u64 = 20;
/// The largest body of a request, or of the daemon's response to an announcement, in bytes.
const BODY_BYTES_MAX: usize = 4 * 1024 * 1024;

/// How often the text of `repeated_answer` is in one write.
const REPEATED_AT_ONCE: usize = 1_024;

/// How the target handles requests; `POST /behaviour` replaces it while the target runs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// How long the target works on a request, in milliseconds.
    pub service_ms: u64,
    /// Requests run and never get a response.
    pub stall: bool,
    /// Responses end before their declared length.
    pub cut_answers: bool,
    /// Connections close without a response after the request has run.
    pub drop_answers: bool,
    /// Every request fails with status 500, while the target announces itself as ready.
    pub lie_ready: bool,
    /// Sent instead of each response, after which the connection is closed.
    pub raw_answer: Option<String>,
    /// Sent behind `raw_answer` again and again until the caller closes the connection.
    pub repeated_answer: Option<String>,
    /// How much longer the bodies of responses are, in bytes.
    pub fill_bytes: usize,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            service_ms: 1,
            stall: false,
            cut_answers: false,
            drop_answers: false,
            lie_ready: false,
            raw_answer: None,
            repeated_answer: None,
            fill_bytes: 0,
        }
    }
}

/// What the target announces, and where it listens.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    pub service: Arc<str>,
    pub port: u16,
    /// How many requests run at once.
    pub slots: u16,
    /// How long after its start the target announces itself as starting, in milliseconds.
    pub cold_start_ms: u64,
    /// The operator address of the target's daemon.
    pub daemon_addr: SocketAddr,
}

/// Counters of the requests that ran, as returned by `GET /runs`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Runs {
    /// How often each request id ran.
    pub by_id: BTreeMap<String, u32>,
    /// Requests abandoned because the caller disconnected or the deadline passed.
    pub cancelled: u32,
    /// The most requests that ran at once.
    pub running_max: u32,
    pub running: u32,
}

/// The state of a target, shared by its connections.
pub struct Target {
    settings: TargetSettings,
    behaviour: Mutex<Behaviour>,
    runs: Mutex<Runs>,
    slots: Semaphore,
    draining: AtomicBool,
    clock: Clock,
}

impl Target {
    pub fn new(settings: TargetSettings, behaviour: Behaviour) -> Arc<Self> {
        let slots = Semaphore::new(settings.slots.into());
        Arc::new(Self {
            settings,
            behaviour: Mutex::new(behaviour),
            runs: Mutex::new(Runs::default()),
            slots,
            draining: AtomicBool::new(false),
            clock: Clock::default(),
        })
    }

    /// Serves requests and announces the target until `stop` resolves, then drains and returns.
    pub async fn run(
        self: Arc<Self>,
        executor: Arc<Executor<'static>>,
        stop: impl Future<Output = ()>,
    ) -> std::io::Result<()> {
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, self.settings.port));
        let target = self.clone();
        let serving = serve(executor.clone(), addr, move |request, connection| {
            let target = target.clone();
            async move { target.handle(request, connection).await }
        });
        executor.spawn(self.clone().keep_announcing()).detach();
        let draining = async {
            stop.await;
            self.drain().await;
            Ok(())
        };
        futures_lite::future::or(serving, draining).await
    }

    async fn keep_announcing(self: Arc<Self>) {
        loop {
            self.announce().await.ok();
            sleep_ms(ANNOUNCE_INTERVAL_MS).await;
        }
    }

    fn state(&self) -> TargetState {
        if self.draining.load(Ordering::Relaxed) {
            return TargetState::Draining;
        }
        if self.clock.now_ms() < self.settings.cold_start_ms {
            return TargetState::Starting;
        }
        TargetState::Ready
    }

    /// Announces the target to its daemon, as of now.
    async fn announce(&self) -> Result<AnnouncementResponse, HttpError> {
        let announcement = Announcement {
            service: self.settings.service.clone(),
            port: self.settings.port,
            slots: self.settings.slots,
            state: self.state(),
            lease_ms: LEASE_MS,
        };
        let body = serde_json::to_vec(&announcement).expect("an announcement is encodable");
        let addr = self.settings.daemon_addr;
        let request = http::new_request(Method::Post, addr, "/announce")?;
        let response = http::call(addr, request, body, BODY_BYTES_MAX, LEASE_MS).await?;
        response.json().map_err(|error| HttpError::NoResponse(error.to_string()))
    }

    /// Announces the target as draining until the daemon replies that it may stop, so that no request
    /// is cut off.
    async fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        while !self.announce().await.is_ok_and(|answer| answer.may_stop) {
            sleep_ms(DRAIN_POLL_MS).await;
        }
    }

    /// Handles the control paths, and serves any other request.
    async fn handle(&self, mut request: Request, connection: TcpStream) -> Response {
        let path = request.url().path().to_string();
        match (request.method(), path.as_str()) {
            (Method::Post, "/behaviour") => match json_body::<Behaviour>(&mut request).await {
                Ok(behaviour) => {
                    *self.behaviour.lock().unwrap() = behaviour;
                    Response::new(StatusCode::Ok)
                }
                Err(response) => response,
            },
            (Method::Get, "/runs") => json_response(200, &*self.runs.lock().unwrap()),
            _ => self.serve_request(request, connection).await,
        }
    }

    /// Runs one request within its deadline and responds as the current behaviour says.
    async fn serve_request(&self, mut request: Request, mut connection: TcpStream) -> Response {
        let id = request.header("x-request-id").map_or("-", |v| v.last().as_str()).to_string();
        let deadline_ms = request
            .header("x-pomeloreach-deadline-ms")
            .and_then(|value| value.last().as_str().parse().ok())
            .unwrap_or(60_000);
        let body = match http::read_request_body(&mut request, BODY_BYTES_MAX).await {
            Ok(body) => body,
            Err(error) => return http::body_error_response(error),
        };
        let watched_connection = connection.clone();
        let running = within_ms(deadline_ms, self.run_request(&id));
        let cancelled = async {
            wait_for_disconnect(&watched_connection).await;
            None
        };
        let Some(behaviour) = futures_lite::future::or(running, cancelled).await else {
            self.runs.lock().unwrap().cancelled += 1;
            return error_response(
                pomeloreach_core::code::ResultCode::TimedOut,
                "the caller disconnected or the deadline passed",
            );
        };
        if behaviour.drop_answers {
            connection.close().await.ok();
        }
        if behaviour.cut_answers {
            connection.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf").await.ok();
            connection.close().await.ok();
        }
        if let Some(answer) = &behaviour.raw_answer {
            let mut sent = connection.write_all(answer.as_bytes()).await;
            if let Some(repeated) = &behaviour.repeated_answer {
                let repeated = repeated.repeat(REPEATED_AT_ONCE);
                while sent.is_ok() {
                    sent = connection.write_all(repeated.as_bytes()).await;
                }
            }
            connection.close().await.ok();
        }
        if behaviour.lie_ready {
            return Response::new(StatusCode::InternalServerError);
        }
        let mut response = Response::new(StatusCode::Ok);
        response.insert_header("x-ran-at", format!("{}", self.settings.port));
        let fill = " ".repeat(behaviour.fill_bytes);
        response.set_body(format!("{id} {}{fill} {}", self.settings.service, body.len()));
        response
    }

    /// Waits for a slot, then works for `service_ms`. Returns the behaviour at the start of the work.
    async fn run_request(&self, id: &str) -> Behaviour {
        let _slot = self.slots.acquire().await;
        let behaviour = self.behaviour.lock().unwrap().clone();
        let _run = RunGuard::new(self, id);
        sleep_ms(behaviour.service_ms).await;
        if behaviour.stall {
            futures_lite::future::pending::<()>().await;
        }
        behaviour
    }
}

/// Counts a run, and counts it as running until the guard is dropped.
struct RunGuard<'a>(&'a Target);

impl<'a> RunGuard<'a> {
    fn new(target: &'a Target, id: &str) -> Self {
        let mut runs = target.runs.lock().unwrap();
        *runs.by_id.entry(id.to_string()).or_default() += 1;
        runs.running += 1;
        runs.running_max = runs.running_max.max(runs.running);
        Self(target)
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.0.runs.lock().unwrap().running -= 1;
    }
}

/// Waits until the caller closes its connection.
async fn wait_for_disconnect(connection: &TcpStream) {
    let mut byte = [0];
    while !matches!(connection.peek(&mut byte).await, Ok(0) | Err(_)) {
        sleep_ms(DISCONNECT_POLL_MS).await;
    }
}
