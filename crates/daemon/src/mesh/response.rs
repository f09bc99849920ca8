//! The responses that callers receive.

use bytes::Bytes;
use http::header::{HeaderName, HeaderValue};
use http::{Response, StatusCode};
use pomeloreach_core::call::CallResponse;
use pomeloreach_core::code::ResultCode;
use pomeloreach_platform::headers;

/// The response of a target.
pub struct TargetResponse {
    pub head: CallResponse,
    pub body: Bytes,
}

/// Converts the response of a target to HTTP.
pub fn target_response(target: TargetResponse) -> Response<Bytes> {
    let Ok(status) = StatusCode::from_u16(target.head.http_status) else {
        return bad_gateway();
    };
    let mut response = Response::new(target.body);
    *response.status_mut() = status;
    for header in &target.head.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_str(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

/// The response in place of one that HTTP does not have, without the target's headers.
fn bad_gateway() -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    response
}

/// The response of the daemon to a request that got no response from a target.
pub fn refusal_response(
    request_id: &str,
    code: ResultCode,
    retry_after_ms: u64,
) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    let status = match code {
        // The deadline passed before the request was forwarded, so it did not run and may be
        // retried.
        ResultCode::DeadlineBeforeRun => 503,
        other => other.http_status(),
    };
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    headers::set_request_id(response.headers_mut(), request_id);
    match response.status() {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            headers::set_retry_after(response.headers_mut(), retry_after_ms);
        }
        StatusCode::UNAUTHORIZED => headers::set_key_challenge(response.headers_mut()),
        _ => {}
    }
    response
}
