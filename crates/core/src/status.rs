//! Status rows, and the status requests that wait for replies from other daemons.

use crate::link::LinkId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How long the daemon that an operator queries waits for replies, in milliseconds.
pub const STATUS_WAIT_MS: u64 = 1_500;

/// How much shorter each further daemon on the way waits, in milliseconds, so that its reply
/// arrives before the daemon in front stops waiting.
pub const STATUS_WAIT_STEP_MS: u64 = 300;

/// The status of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StatusRow {
    pub region: Arc<str>,
    pub zone: Arc<str>,
    pub instance: Arc<str>,
    /// `lead`, `relay` or `leaf`.
    pub role: Arc<str>,
    /// The version that the daemon holds.
    pub version: u64,
    pub ready: bool,
    /// Number of versions that the daemon has refused.
    pub refused_versions: u16,
    /// Time since its relay last received a message from it, in milliseconds.
    pub heard_ms_ago: u64,
}

/// Where the response to a status request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyTo {
    Operator { ticket: u64 },
    Link { link: LinkId, id: u64 },
}

/// A status request that waits for replies.
#[derive(Clone, Debug)]
pub struct PendingStatusRequest {
    pub reply_to: ReplyTo,
    /// When the request ends without the missing replies, by the daemon's clock in milliseconds.
    pub deadline_ms: u64,
    /// Links whose reply is missing.
    pub waiting_for: BTreeSet<LinkId>,
    pub rows: Vec<StatusRow>,
    /// Whether all daemons queried so far have answered.
    pub complete: bool,
}

/// All pending status requests, by an id that is unique within this daemon.
#[derive(Clone, Debug, Default)]
pub struct PendingStatusRequests {
    next_id: u64,
    requests: BTreeMap<u64, PendingStatusRequest>,
}

impl PendingStatusRequests {
    /// Adds a request and returns its id.
    pub fn insert(&mut self, request: PendingStatusRequest) -> u64 {
        self.next_id += 1;
        self.requests.insert(self.next_id, request);
        self.next_id
    }

    /// Adds the reply from a link to the pending request that it answers.
    pub fn add_reply(&mut self, link: LinkId, id: u64, rows: Vec<StatusRow>, complete: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !request.waiting_for.remove(&link) {
            return;
        }
        request.rows.extend(rows);
        request.complete &= complete;
    }

    /// Marks the requests that wait for a lost link as incomplete and stops waiting for it.
    pub fn mark_link_lost(&mut self, link: LinkId) {
        for request in self.requests.values_mut() {
            if request.waiting_for.remove(&link) {
                request.complete = false;
            }
        }
    }

    /// Removes and returns the requests that have all replies or are past their deadline.
    pub fn take_finished(&mut self, now_ms: u64) -> Vec<PendingStatusRequest> {
        let finished: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| request.waiting_for.is_empty() || now_ms >= request.deadline_ms)
            .map(|(id, _)| *id)
            .collect();
        finished
            .into_iter()
            .filter_map(|id| self.requests.remove(&id))
            .map(|mut request| {
                request.complete &= request.waiting_for.is_empty();
                request.rows.sort();
                request.rows.dedup_by(|a, b| a.instance == b.instance);
                request
            })
            .collect()
    }
}
