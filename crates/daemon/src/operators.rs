//! The HTTP port for operators and for the local target; see `docs/API.md`.

use crate::control::ControlInput;
use crate::links::ControlBytes;
use crate::local_target;
use crate::runtime::{AppliedVersion, Shared};
use async_channel::Sender;
use async_net::{TcpListener, TcpStream};
use http_types::{Method, Request, Response};
use pomeloreach_core::api::Announcement;
use pomeloreach_core::code::ResultCode;
use pomeloreach_core::dump::NodeDump;
use pomeloreach_core::edit::{EditRequest, VALUE_BYTES_MAX};
use pomeloreach_wire::clock::{sleep_ms, within_ms};
use pomeloreach_wire::http::{self, error_response, json_response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// Largest request body on this port, in bytes.
const BODY_BYTES_MAX: usize = VALUE_BYTES_MAX;
/// Longest time to receive a request body, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 10_000;
/// Longest time to respond to a request, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 15_000;
/// Number of simultaneous connections; further ones are closed.
const CONNECTIONS_MAX: u32 = 256;
/// Pause after a failed accept, in milliseconds, so that a persistent error does not cause a busy
/// loop.
const ACCEPT_PAUSE_MS: u64 = 50;

/// The state of the daemon, as shown to operators by `GET /dump`.
#[derive(Serialize)]
struct Dump {
    node: NodeDump,
    control: ControlBytes,
    call_connections: usize,
    door_in_flight: u16,
    caller_requests: u32,
    uptime_ms: u64,
    in_force: Vec<AppliedVersion>,
}

/// Accepts connections of operators and of the local target.
pub async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    let connections = Arc::new(AtomicU32::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep_ms(ACCEPT_PAUSE_MS).await;
            continue;
        };
        if connections.load(Ordering::Relaxed) >= CONNECTIONS_MAX {
            continue;
        }
        connections.fetch_add(1, Ordering::Relaxed);
        let connections = connections.clone();
        let task_shared = shared.clone();
        shared.spawn(async move {
            serve(task_shared, stream).await;
            connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    http::serve(stream, |request| {
        let shared = shared.clone();
        async move {
            let response = within_ms(RESPONSE_TIMEOUT_MS, handle(&shared, request)).await;
            let response = response.unwrap_or_else(|| {
                error_response(ResultCode::TimedOut, "the daemon took too long")
            });
            (response, ())
        }
    })
    .await;
}

/// Dispatches a request by its method and path.
async fn handle(shared: &Arc<Shared>, mut request: Request) -> Response {
    let path = request.url().path().to_string();
    match (request.method(), path.as_str()) {
        (Method::Get, "/config") => query(shared, |reply| ControlInput::Config { reply }).await,
        (Method::Get, "/status") => query(shared, |reply| ControlInput::Status { reply }).await,
        (Method::Get, "/dump") => dump_response(shared).await,
        (Method::Get, "/ready") => ready_response(shared),
        (Method::Post, "/edits") => match read_body::<EditRequest>(&mut request).await {
            Ok(edit) => publish(shared, edit).await,
            Err(response) => response,
        },
        (Method::Post, "/announce") => match read_body::<Announcement>(&mut request).await {
            Ok(announcement) => announce(shared, announcement).await,
            Err(response) => response,
        },
        (Method::Post, "/drain") => json_response(200, &local_target::drain(shared).await),
        (Method::Get, "/drain") => json_response(200, &local_target::announcement_response(shared)),
        (method, path) => {
            error_response(ResultCode::NotFound, format!("there is no {method} {path}"))
        }
    }
}

/// Reads a JSON body, or returns the error response.
async fn read_body<T: DeserializeOwned>(request: &mut Request) -> Result<T, Response> {
    let reading = http::read_request_body(request, BODY_BYTES_MAX);
    let bytes = match within_ms(BODY_TIMEOUT_MS, reading).await {
        None => return Err(error_response(ResultCode::TimedOut, "the body took too long")),
        Some(Err(error)) => return Err(http::body_error_response(error)),
        Some(Ok(bytes)) => bytes,
    };
    serde_json::from_slice(&bytes)
        .map_err(|error| error_response(ResultCode::Malformed, error.to_string()))
}

/// Requests a reply from the control loop and returns it as JSON.
async fn query<T: Serialize>(
    shared: &Shared,
    input: impl FnOnce(Sender<T>) -> ControlInput,
) -> Response {
    match request_control(shared, input).await {
        Some(response) => json_response(200, &response),
        None => stopping_response(),
    }
}

/// Sends an input to the control loop and waits for the reply; none if the loop has ended.
async fn request_control<T>(
    shared: &Shared,
    input: impl FnOnce(Sender<T>) -> ControlInput,
) -> Option<T> {
    let (reply, responses) = async_channel::bounded(1);
    shared.control_inputs.send(input(reply)).await.ok()?;
    responses.recv().await.ok()
}

fn stopping_response() -> Response {
    error_response(ResultCode::DaemonNotReady, "the daemon is stopping")
}

async fn publish(shared: &Shared, request: EditRequest) -> Response {
    let response = request_control(shared, |reply| ControlInput::Publish { request, reply }).await;
    match response {
        Some(response) => json_response(response.code.http_status(), &response),
        None => stopping_response(),
    }
}

async fn announce(shared: &Shared, announcement: Announcement) -> Response {
    if let Err(reason) = local_target::validate(&announcement) {
        return error_response(ResultCode::Malformed, reason);
    }
    json_response(200, &local_target::announce(shared, announcement).await)
}

/// Reports the applied version while the daemon accepts requests of callers.
fn ready_response(shared: &Shared) -> Response {
    match shared.routes() {
        Some(routes) if !shared.is_stopping() => json_response(200, &routes.version()),
        _ => error_response(ResultCode::DaemonNotReady, "no configuration is in force yet"),
    }
}

async fn dump_response(shared: &Shared) -> Response {
    let Some(node) = request_control(shared, |reply| ControlInput::Dump { reply }).await else {
        return stopping_response();
    };
    let dump = Dump {
        node,
        control: shared.links.control_bytes(),
        call_connections: shared.daemon_connections.count(),
        door_in_flight: shared.inbound.in_flight(),
        caller_requests: shared.caller_requests().load(Ordering::Relaxed),
        uptime_ms: shared.clock.now_ms(),
        in_force: shared.applied_versions(),
    };
    json_response(200, &dump)
}
