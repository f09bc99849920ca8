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
    /// `lead`, `relay` or `leaf`.
    pub role: Arc<str>,
    pub version: u64,
    pub ready: bool,
    pub refused_versions: u16,
    /// Since when its relay last heard of it, in milliseconds.
    pub heard_ms_ago: u64,
}

/// Who wants the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asker {
    Operator { ticket: u64 },
    Link { link: LinkId, ask: u64 },
}

/// A question under way.
#[derive(Clone, Debug)]
pub struct StatusAsk {
    pub asker: Asker,
    pub deadline_ms: u64,
    pub waiting_for: BTreeSet<LinkId>,
    pub rows: Vec<StatusRow>,
    pub complete: bool,
}

/// All questions under way, by the number this daemon gave them.
#[derive(Clone, Debug, Default)]
pub struct StatusAsks {
    next_ask: u64,
    asks: BTreeMap<u64, StatusAsk>,
}

impl StatusAsks {
    pub fn insert(&mut self, ask: StatusAsk) -> u64 {
        self.next_ask += 1;
        self.asks.insert(self.next_ask, ask);
        self.next_ask
    }

    pub fn reply(&mut self, link: LinkId, ask: u64, rows: Vec<StatusRow>, complete: bool) {
        let Some(waiting) = self.asks.get_mut(&ask) else { return };
        if !waiting.waiting_for.remove(&link) {
            return;
        }
        waiting.rows.extend(rows);
        waiting.complete &= complete;
    }

    /// Notes that a link which was asked will not answer.
    pub fn forget_link(&mut self, link: LinkId) {
        for ask in self.asks.values_mut() {
            if ask.waiting_for.remove(&link) {
                ask.complete = false;
            }
        }
    }

    /// The questions that are answered, or whose time is over.
    pub fn take_finished(&mut self, now_ms: u64) -> Vec<StatusAsk> {
        let finished: Vec<u64> = self
            .asks
            .iter()
            .filter(|(_, ask)| ask.waiting_for.is_empty() || now_ms >= ask.deadline_ms)
            .map(|(number, _)| *number)
            .collect();
        finished
            .into_iter()
            .filter_map(|number| self.asks.remove(&number))
            .map(|mut ask| {
                ask.complete &= ask.waiting_for.is_empty();
                ask.rows.sort();
                ask.rows.dedup_by(|a, b| a.instance == b.instance);
                ask
            })
            .collect()
    }
}
