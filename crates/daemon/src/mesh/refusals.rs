//! The refusals of requests of callers for which no target is chosen.

use super::Mesh;
use super::response::refusal_response;
use crate::logging::log_with;
use bytes::Bytes;
use http::{HeaderMap, Response};
use pomeloreach_core::account_index::KeyProblem;
use pomeloreach_core::code::ResultCode;
use pomeloreach_core::event::Event;
use pomeloreach_core::matching::MatchedRoute;
use pomeloreach_platform::headers;
use std::rc::Rc;

/// The time after which a caller may retry if no target is known, in milliseconds.
pub const NO_TARGET_RETRY_AFTER_MS: u64 = 300;

/// Refuses any request while this daemon has no configuration, even one beyond the default limits:
/// only a configuration can decide that a request is too large.
pub fn refuse_without_config(
    mesh: &Rc<Mesh>,
    request_headers: Option<&HeaderMap>,
) -> Option<Response<Bytes>> {
    if mesh.config.version() > 0 {
        return None;
    }
    let request_id = request_headers.map(|headers| headers::caller_headers(headers).request_id);
    Some(refuse(mesh, &request_id.unwrap_or_default(), ResultCode::DaemonNotReady))
}

/// Refuses a request whose route needs a key, because its key is missing or unknown.
pub fn refuse_key(
    mesh: &Rc<Mesh>,
    request_id: &str,
    route: &MatchedRoute,
    problem: KeyProblem,
) -> Response<Bytes> {
    let code = problem.code(mesh.config.version(), mesh.newest_known_version());
    let detail = format!(" reason={problem} route={}", route.name);
    refuse_with(mesh, request_id, code, NO_TARGET_RETRY_AFTER_MS, &detail)
}

/// Refuses a request for which the memory budget has no room. The times after which callers may retry
/// differ, so that they do not come together again.
pub fn refuse_without_memory(
    mesh: &Rc<Mesh>,
    request_headers: Option<&HeaderMap>,
) -> Response<Bytes> {
    let request_id = request_headers.map(|headers| headers::caller_headers(headers).request_id);
    let retry_after_ms = mesh.with_jitter(NO_TARGET_RETRY_AFTER_MS);
    let request_id = request_id.unwrap_or_default();
    refuse_with(mesh, &request_id, ResultCode::MemoryFull, retry_after_ms, "")
}

/// Refuses a request that cannot be routed.
pub fn refuse(mesh: &Rc<Mesh>, request_id: &str, code: ResultCode) -> Response<Bytes> {
    refuse_with(mesh, request_id, code, NO_TARGET_RETRY_AFTER_MS, "")
}

/// Refuses a request before a target is chosen. `detail` is added to the log line.
fn refuse_with(
    mesh: &Rc<Mesh>,
    request_id: &str,
    code: ResultCode,
    retry_after_ms: u64,
    detail: &str,
) -> Response<Bytes> {
    mesh.metrics.request_ended(code, 0);
    log_with(Event::RequestFailed, || {
        let config = mesh.config_state();
        format!(
            "request={request_id} code={code}{detail} version={} newest_known_version={} \
             confirmed_age_ms={:?}",
            config.version,
            mesh.newest_known_version(),
            config.confirmed_age_ms
        )
    });
    refusal_response(request_id, code, retry_after_ms)
}
