//! What the target beside this daemon says of itself, in the order in which it said it.
//!
//! Heartbeats can arrive late and from an earlier start of a target at the same address. They are
//! ordered by the start's time, then by their sequence.

use crate::endpoint::TargetState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Heartbeats missed in a row after which a target that shows no other sign of life has lapsed.
const LAPSED_AFTER_BEATS: u64 = 4;

/// How long a target that left is remembered, in milliseconds: longer than a heartbeat can be late.
pub const LEFT_KEPT_MS: u64 = 60_000;

/// One start of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetStart {
    pub id: Arc<str>,
    /// When it began, in milliseconds since the Unix epoch. A target that starts again under the
    /// same id has a later one.
    pub born_unix_ms: u64,
}

/// Targets that have said that they leave. What says otherwise later was sent earlier.
#[derive(Clone, Debug, Default)]
pub struct LeftTargets {
    until_ms: BTreeMap<TargetStart, u64>,
}

impl LeftTargets {
    /// Remembers that a start of a target, and every earlier one, has left.
    pub fn note(&mut self, start: TargetStart, now_ms: u64) {
        self.until_ms.retain(|_, until_ms| now_ms < *until_ms);
        self.until_ms.insert(start, now_ms + LEFT_KEPT_MS);
    }

    pub fn has_left(&self, start: &TargetStart, now_ms: u64) -> bool {
        let later = self.until_ms.range(start..).take_while(|(left, _)| left.id == start.id);
        later.into_iter().any(|(_, until_ms)| now_ms < *until_ms)
    }

    pub fn all(&self) -> impl Iterator<Item = &TargetStart> {
        self.until_ms.keys()
    }
}

/// One heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    pub id: Arc<str>,
    pub service: Arc<str>,
    pub slots: u16,
    pub state: TargetState,
    pub sequence: u64,
    /// When this start of the target began, in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
    /// How much longer the target is slow after its start, in milliseconds.
    pub cold_left_ms: u64,
}

impl Heartbeat {
    pub fn start(&self) -> TargetStart {
        TargetStart { id: self.id.clone(), born_unix_ms: self.born_unix_ms }
    }
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Another target, or another state of the same one.
    Changed,
    Unchanged,
    /// It is older than what is known, and says nothing new.
    Stale,
}

/// The target beside this daemon.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    current: Option<Known>,
    left: LeftTargets,
    heartbeat_ms: u64,
}

#[derive(Clone, Debug)]
struct Known {
    last: Heartbeat,
    heard_ms: u64,
    /// Set when the target refused a connection; the next heartbeat clears it.
    unreachable: bool,
}

impl TargetTable {
    /// A table for targets that send a heartbeat each `heartbeat_ms`.
    pub fn new(heartbeat_ms: u64) -> Self {
        Self { heartbeat_ms, ..Self::default() }
    }

    pub fn hear(&mut self, heartbeat: Heartbeat, now_ms: u64) -> Heard {
        if self.left.has_left(&heartbeat.start(), now_ms) {
            return Heard::Stale;
        }
        let Some(known) = &mut self.current else {
            self.replace(heartbeat, now_ms);
            return Heard::Changed;
        };
        let last = &known.last;
        let is_same_start = last.id == heartbeat.id && last.born_unix_ms == heartbeat.born_unix_ms;
        if !is_same_start {
            if heartbeat.born_unix_ms < last.born_unix_ms {
                return Heard::Stale;
            }
            self.replace(heartbeat, now_ms);
            return Heard::Changed;
        }
        if heartbeat.sequence <= last.sequence {
            return Heard::Stale;
        }
        let changed =
            known.unreachable || last.state != heartbeat.state || last.slots != heartbeat.slots;
        known.unreachable = false;
        known.heard_ms = now_ms;
        // A target that is leaving does not come back under the same start.
        let state = if last.state == TargetState::Draining { last.state } else { heartbeat.state };
        known.last = Heartbeat { state, ..heartbeat };
        if changed { Heard::Changed } else { Heard::Unchanged }
    }

    fn replace(&mut self, heartbeat: Heartbeat, now_ms: u64) {
        let known = Known { last: heartbeat, heard_ms: now_ms, unreachable: false };
        self.current = Some(known);
    }

    /// A start of a target says that it is gone, also one that was never heard of here. Says
    /// whether the current target left with this.
    pub fn leave(&mut self, start: TargetStart, now_ms: u64) -> bool {
        let was_left = self.has_left(now_ms);
        self.left.note(start, now_ms);
        !was_left && self.has_left(now_ms)
    }

    fn has_left(&self, now_ms: u64) -> bool {
        self.last().is_some_and(|last| self.left.has_left(&last.start(), now_ms))
    }

    /// The target took no connection, or another one answered at its address.
    pub fn unreachable(&mut self) {
        if let Some(known) = &mut self.current {
            known.unreachable = true;
        }
    }

    /// The target answered a request, which counts like a heartbeat.
    pub fn answered(&mut self, now_ms: u64) {
        if let Some(known) = &mut self.current {
            known.heard_ms = now_ms;
        }
    }

    pub fn last(&self) -> Option<&Heartbeat> {
        self.current.as_ref().map(|known| &known.last)
    }

    /// What the target is taken for now.
    pub fn state(&self, now_ms: u64) -> TargetState {
        let Some(known) = &self.current else { return TargetState::Starting };
        let silent_ms = now_ms.saturating_sub(known.heard_ms);
        if self.left.has_left(&known.last.start(), now_ms) {
            return TargetState::Draining;
        }
        if known.unreachable || silent_ms > LAPSED_AFTER_BEATS * self.heartbeat_ms {
            return TargetState::Lapsed;
        }
        known.last.state
    }
}
