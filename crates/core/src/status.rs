//! Which version is in force on which daemon, gathered over the tree on request.

use crate::link::LinkId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How long a daemon waits for the daemons that it asked, in milliseconds, at the asking end.
pub const STATUS_WAIT_MS: u64 = 1_500;

/// How much less each further daemon waits, in milliseconds.
pub const STATUS_WAIT_STEP_MS: u64 = 300;

/// What one daemon holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StatusRow {
    pub region: Arc<str>,
    pub zone: Arc<str>,
    pub instance: Arc<str>,
    /// `leader`, `relay` or `leaf`.
    pub role: Arc<str>,
    pub version: u64,
    pub ready: bool,
    pub refused_versions: u16,
    /// Since when its relay last heard of it, in milliseconds.
    pub heard_ms_ago: u64,
}

/// Who wants the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyTo {
    Operator { ticket: u64 },
    Link { link: LinkId, id: u64 },
}

/// A question under way.
#[derive(Clone, Debug)]
pub struct PendingStatusRequest {
    pub reply_to: ReplyTo,
    pub deadline_ms: u64,
    pub waiting_for: BTreeSet<LinkId>,
    pub rows: Vec<StatusRow>,
    pub complete: bool,
}

/// All questions under way, by the id this daemon gave them.
#[derive(Clone, Debug, Default)]
pub struct PendingStatusRequests {
    next_id: u64,
    requests: BTreeMap<u64, PendingStatusRequest>,
}

impl PendingStatusRequests {
    pub fn insert(&mut self, request: PendingStatusRequest) -> u64 {
        self.next_id += 1;
        self.requests.insert(self.next_id, request);
        self.next_id
    }

    pub fn add_reply(&mut self, link: LinkId, id: u64, rows: Vec<StatusRow>, complete: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !request.waiting_for.remove(&link) {
            return;
        }
        request.rows.extend(rows);
        request.complete &= complete;
    }

    /// Notes that a link which was asked will not answer.
    pub fn mark_link_lost(&mut self, link: LinkId) {
        for request in self.requests.values_mut() {
            if request.waiting_for.remove(&link) {
                request.complete = false;
            }
        }
    }

    /// The questions that are answered, or whose time is over.
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
