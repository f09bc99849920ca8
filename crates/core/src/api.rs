//! What operators and targets say to a daemon over its operator port, see `docs/API.md`.

use crate::code::ResultCode;
use crate::config::Refusal;
use crate::endpoint::TargetState;
use crate::status::StatusRow;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The answer to an edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditAnswer {
    pub code: ResultCode,
    pub number: u16,
    /// The version of the edit if it was accepted, otherwise the version it was checked against.
    pub version: u64,
    pub reason: String,
}

impl EditAnswer {
    pub fn new(code: ResultCode, version: u64, reason: String) -> Self {
        Self { code, number: code.number(), version, reason }
    }
}

/// An error of the operator port.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorAnswer {
    pub code: ResultCode,
    pub number: u16,
    pub reason: String,
}

/// Which versions are in force where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The newest version that the asked daemon has heard of.
    pub newest_version: u64,
    /// Whether every daemon that was asked has answered.
    pub complete: bool,
    pub rows: Vec<StatusRow>,
    /// Refused versions with their reasons.
    pub refusals: BTreeMap<u64, Refusal>,
}

/// What a target says of itself, again before its lease ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    pub service: Arc<str>,
    /// The port on the loopback address where the target takes requests.
    pub port: u16,
    /// How many requests the target runs at once.
    pub slots: u16,
    pub state: TargetState,
    /// How long this announcement holds, in milliseconds.
    pub lease_ms: u64,
}

/// The answer to an announcement, from which a draining target learns when it may stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementAnswer {
    /// Requests that are at the target or on their way to it.
    pub in_flight: u32,
    /// Whether the target may stop without cutting off a request.
    pub may_stop: bool,
}
