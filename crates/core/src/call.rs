//! The heads of the messages between two daemons when one forwards a request to the other's target.

use crate::code::ResultCode;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Largest body of a request or a response, in bytes.
pub const BODY_BYTES_MAX: usize = 4 * 1024 * 1024;
/// Largest encoded head of a call or its response, in bytes.
pub const HEAD_BYTES_MAX: usize = 64 * 1024;

/// One HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    pub name: Arc<str>,
    pub value: Arc<str>,
}

/// The head of a call; the body follows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRequest {
    /// The instance that was chosen: that of the target's daemon, or in a mesh the id that the
    /// target gives itself. Another instance that has its address by now must refuse the call.
    pub instance: Arc<str>,
    /// The time left until the deadline when the call was sent, in milliseconds.
    pub left_ms: u64,
    pub method: Arc<str>,
    /// Path and query.
    pub path: Arc<str>,
    pub headers: Vec<Header>,
    pub body_bytes: u64,
}

/// The head of the response to a call; the body follows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallResponse {
    /// [`ResultCode::Answered`] if the target's HTTP response follows, otherwise the reason why
    /// there is none.
    pub code: ResultCode,
    pub http_status: u16,
    pub headers: Vec<Header>,
    pub body_bytes: u64,
    /// Requests running or queued at the target when the response was sent.
    pub in_flight: u16,
}

impl CallResponse {
    /// Whether the response can be passed on. Other daemons may send anything: a target's response must
    /// have a status that a final HTTP response can have, and a refusal the code of a request.
    pub fn is_valid(&self) -> bool {
        match self.code {
            ResultCode::Answered => (200..=599).contains(&self.http_status),
            code => (2001..=2999).contains(&code.number()),
        }
    }

    /// A response without an HTTP response of the target.
    pub fn refusal(code: ResultCode, in_flight: u16) -> Self {
        Self { code, http_status: 0, headers: Vec::new(), body_bytes: 0, in_flight }
    }
}
