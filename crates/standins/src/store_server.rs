//! HTTP server of the stand-in for the platform's object store, with faults that tests can inject.

use crate::serve_http::{REQUEST_BODY_BYTES_MAX, json_body, query_param, query_param_u64, serve};
use crate::store_objects::StoreObjects;
use async_executor::Executor;
use async_net::TcpStream;
use event_listener::Event;
use http_types::{Method, Request, Response, StatusCode};
use pomeloreach_core::code::ResultCode;
use pomeloreach_core::store::{StoreOp, StoreReply};
use pomeloreach_wire::clock::{sleep_ms, within_ms};
use pomeloreach_wire::http::{self, error_response, json_response};
use pomeloreach_wire::object_store::{OBJECT_VERSION_HEADER, ObjectList, WriteResponse};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// The longest time a watch request is held open, in milliseconds.
const WATCH_WAIT_MS_MAX: u64 = 30_000;
/// The largest object value, in bytes.
const VALUE_BYTES_MAX: usize = 1024 * 1024;

/// Faults to inject, as set with `POST /faults`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Calls fail with status 503 and have no effect; watches already open continue.
    pub outage: bool,
    /// How long every call is delayed, in milliseconds.
    pub delay_ms: u64,
    /// The responses of this many of the next puts and deletions are lost (status 504); a write that
    /// succeeded stays in effect.
    pub lose_answers: u32,
    /// Watches return no changes.
    pub stale_watches: bool,
    /// Watches return changes in reverse order.
    pub reorder_watches: bool,
}

/// Counters of the store, as returned by `GET /counters`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counters {
    pub calls: u64,
    /// Calls by operation: get, put, delete, list and watch.
    pub calls_by_kind: BTreeMap<String, u64>,
    /// Bytes of response bodies.
    pub answer_bytes: u64,
    /// When each key was last put, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: BTreeMap<String, u64>,
}

#[derive(Default)]
struct State {
    table: StoreObjects,
    faults: Faults,
    counters: Counters,
}

/// The store's objects, faults and counters, shared by all connections.
#[derive(Default)]
pub struct StoreServer {
    state: Mutex<State>,
    /// Notified after each put, to wake waiting watches.
    changed: Event,
}

impl StoreServer {
    /// Serves the store on `addr` until an error occurs.
    pub async fn run(
        self: Arc<Self>,
        executor: Arc<Executor<'static>>,
        addr: SocketAddr,
    ) -> std::io::Result<()> {
        serve(executor, addr, move |request, _: TcpStream| {
            let server = self.clone();
            async move { server.handle(request).await }
        })
        .await
    }

    async fn handle(&self, mut request: Request) -> Response {
        let path = request.url().path().to_string();
        match (request.method(), path.as_str()) {
            (Method::Post, "/faults") => match json_body::<Faults>(&mut request).await {
                Ok(faults) => {
                    self.state.lock().unwrap().faults = faults;
                    Response::new(StatusCode::Ok)
                }
                Err(response) => response,
            },
            (Method::Get, "/counters") => {
                let state = self.state.lock().unwrap();
                json_response(200, &state.counters)
            }
            _ => match parse_operation(&mut request, &path).await {
                Some(op) => self.call(op).await,
                None => error_response(
                    ResultCode::Malformed,
                    "unknown path, or an invalid parameter, header or body",
                ),
            },
        }
    }

    /// Runs a store operation with the injected faults, and counts it.
    async fn call(&self, op: StoreOp) -> Response {
        let delay_ms = {
            let mut state = self.state.lock().unwrap();
            state.counters.calls += 1;
            *state.counters.calls_by_kind.entry(operation_kind(&op).to_string()).or_default() += 1;
            state.faults.delay_ms
        };
        if delay_ms > 0 {
            sleep_ms(delay_ms).await;
        }
        if self.state.lock().unwrap().faults.outage {
            return Response::new(StatusCode::ServiceUnavailable);
        }
        let reply = match &op {
            StoreOp::Watch { wait_ms, .. } => self.watch(&op, u64::from(*wait_ms)).await,
            _ => self.apply(&op),
        };
        let response = reply_response(reply);
        let bytes = response.len().unwrap_or(0) as u64;
        let mut state = self.state.lock().unwrap();
        state.counters.answer_bytes += bytes;
        let is_write = matches!(op, StoreOp::Put { .. } | StoreOp::Delete { .. });
        if is_write && state.faults.lose_answers > 0 {
            state.faults.lose_answers -= 1;
            return Response::new(StatusCode::GatewayTimeout);
        }
        response
    }

    /// Applies an operation. The time of a put is recorded, and the put wakes waiting watches; a
    /// deletion does neither.
    fn apply(&self, op: &StoreOp) -> StoreReply {
        let mut state = self.state.lock().unwrap();
        let reply = state.table.apply(op);
        if let (StoreOp::Put { key, .. }, StoreReply::Written { .. }) = (op, &reply) {
            state.counters.accepted_unix_ms.insert(key.to_string(), unix_ms());
            self.changed.notify(usize::MAX);
        }
        reply
    }

    /// Waits until a watch has changes to return, or returns none after `wait_ms`.
    async fn watch(&self, op: &StoreOp, wait_ms: u64) -> StoreReply {
        let waiting = async {
            loop {
                let changed = self.changed.listen();
                if let Some(reply) = self.try_watch(op) {
                    return reply;
                }
                changed.await;
            }
        };
        match within_ms(wait_ms.min(WATCH_WAIT_MS_MAX), waiting).await {
            Some(reply) => reply,
            None => {
                let revision = self.state.lock().unwrap().table.revision();
                StoreReply::Changed { objects: Vec::new(), revision }
            }
        }
    }

    /// Returns the reply to a watch if there are changes.
    fn try_watch(&self, op: &StoreOp) -> Option<StoreReply> {
        let mut state = self.state.lock().unwrap();
        if state.faults.stale_watches {
            return None;
        }
        let is_reversed = state.faults.reorder_watches;
        match state.table.apply(op) {
            StoreReply::Changed { mut objects, revision } if !objects.is_empty() => {
                if is_reversed {
                    objects.reverse();
                }
                Some(StoreReply::Changed { objects, revision })
            }
            _ => None,
        }
    }
}

/// The name of an operation in `calls_by_kind`.
fn operation_kind(op: &StoreOp) -> &'static str {
    match op {
        StoreOp::Get { .. } => "get",
        StoreOp::Put { .. } => "put",
        StoreOp::Delete { .. } => "delete",
        StoreOp::List { .. } => "list",
        StoreOp::Watch { .. } => "watch",
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// Parses a request to the store's API; `None` if it is malformed or its path is unknown.
async fn parse_operation(request: &mut Request, path: &str) -> Option<StoreOp> {
    if path == "/watch" {
        return Some(StoreOp::Watch {
            prefix: query_param(request, "prefix")?.into(),
            after_revision: query_param_u64(request, "after_revision"),
            wait_ms: u32::try_from(query_param_u64(request, "wait_ms")).ok()?,
        });
    }
    if path == "/objects" {
        let start_after = query_param(request, "start_after").filter(|after| !after.is_empty());
        return Some(StoreOp::List {
            prefix: query_param(request, "prefix")?.into(),
            start_after: start_after.map(Into::into),
            limit: u32::try_from(query_param_u64(request, "limit")).ok()?,
        });
    }
    let key: Arc<str> = path.strip_prefix("/objects/")?.into();
    match request.method() {
        Method::Get => Some(StoreOp::Get { key }),
        Method::Delete => Some(StoreOp::Delete { key }),
        Method::Put => {
            let expected = request.header(OBJECT_VERSION_HEADER)?.last().as_str().parse().ok()?;
            let body = http::read_request_body(request, REQUEST_BODY_BYTES_MAX).await.ok()?;
            if body.len() > VALUE_BYTES_MAX {
                return None;
            }
            let value = String::from_utf8(body).ok()?.into();
            Some(StoreOp::Put { key, value, expected_version: expected })
        }
        _ => None,
    }
}

/// Encodes the reply to a store operation.
fn reply_response(reply: StoreReply) -> Response {
    match reply {
        StoreReply::Object(object) => {
            let mut response = Response::new(StatusCode::Ok);
            response.insert_header(OBJECT_VERSION_HEADER, object.object_version.to_string());
            response.set_body(object.value.as_bytes());
            response
        }
        StoreReply::Absent => Response::new(StatusCode::NotFound),
        StoreReply::Conflict => Response::new(StatusCode::Conflict),
        StoreReply::Written { object_version } => {
            json_response(200, &WriteResponse { object_version })
        }
        StoreReply::Listed { objects, revision } | StoreReply::Changed { objects, revision } => {
            json_response(200, &ObjectList { objects, revision })
        }
    }
}
