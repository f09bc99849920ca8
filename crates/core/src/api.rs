//! Bodies of the requests and responses of the operator port, which operators and targets use; see
//! `docs/API.md`.

use crate::code::ResultCode;
use crate::config::Refusal;
use crate::endpoint::TargetState;
use crate::status::StatusRow;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The response to an edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditResponse {
    pub code: ResultCode,
    pub number: u16,
    /// The version of the edit if it was accepted, otherwise the version it was checked against.
    pub version: u64,
    pub reason: String,
}

impl EditResponse {
    pub fn new(code: ResultCode, version: u64, reason: String) -> Self {
        Self { code, number: code.number(), version, reason }
    }
}

/// The response to a request to the operator port that failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    pub code: ResultCode,
    pub number: u16,
    pub reason: String,
}

/// The response to a status request: which daemon runs which version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// The newest version known to the daemon that answers.
    pub newest_version: u64,
    /// Whether all daemons that were queried have answered.
    pub complete: bool,
    /// One row per daemon.
    pub rows: Vec<StatusRow>,
    /// Refused versions with their reasons.
    pub refusals: BTreeMap<u64, Refusal>,
}

/// The state that a target announces to its daemon. It renews the announcement before the lease
/// ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    pub service: Arc<str>,
    /// The port on the loopback address where the target accepts requests.
    pub port: u16,
    /// Maximum number of requests that the target runs at once.
    pub slots: u16,
    pub state: TargetState,
    /// How long this announcement is valid, in milliseconds.
    pub lease_ms: u64,
}

/// The response to an announcement. It lets a draining target know when it may stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementResponse {
    /// Number of requests that the target runs or that are queued for it.
    pub in_flight: u32,
    /// Whether the target may stop without aborting a request.
    pub may_stop: bool,
}
