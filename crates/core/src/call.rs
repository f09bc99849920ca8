//! What one daemon asks of the daemon beside a target, and what that one answers.

use crate::code::ResultCode;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The largest body of a request or an answer, in bytes.
pub const BODY_BYTES_MAX: usize = 4 * 1024 * 1024;
/// The largest encoded head of a call, in bytes.
pub const HEAD_BYTES_MAX: usize = 64 * 1024;

/// One header line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    pub name: Arc<str>,
    pub value: Arc<str>,
}

/// The head of a call; the body follows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRequest {
    /// The instance that was chosen. Another that has its address now must refuse.
    pub instance: Arc<str>,
    /// The time left when the call was sent, in milliseconds.
    pub deadline_ms: u64,
    pub method: Arc<str>,
    /// Path and query.
    pub path: Arc<str>,
    pub headers: Vec<Header>,
    pub body_bytes: u64,
}

/// The head of the answer to a call; the body follows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallResponse {
    /// [`ResultCode::Answered`] with an HTTP answer, or what became of the call.
    pub code: ResultCode,
    pub http_status: u16,
    pub headers: Vec<Header>,
    pub body_bytes: u64,
    /// Requests at the target when the answer was sent.
    pub in_flight: u16,
}

impl CallResponse {
    /// An answer without an HTTP part.
    pub fn refusal(code: ResultCode, in_flight: u16) -> Self {
        Self { code, http_status: 0, headers: Vec::new(), body_bytes: 0, in_flight }
    }
}
