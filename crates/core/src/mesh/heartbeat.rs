//! What the target beside this daemon says of itself, in the order in which it said it.
//!
//! Heartbeats can arrive late and from an earlier start of a target at the same address. They are
//! ordered by the start's time, then by their sequence.

use crate::endpoint::TargetState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Heartbeats missed in a row after which a target that shows no other sign of life has lapsed.
const MISSED_HEARTBEATS_MAX: u64 = 4;

/// How long a target that left is remembered, in milliseconds: longer than a heartbeat can be late.
pub const DEPARTED_KEPT_MS: u64 = 60_000;

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
pub struct DepartedTargets {
    expires_ms: BTreeMap<TargetStart, u64>,
}

impl DepartedTargets {
    /// Remembers that a start of a target, and every earlier one, has left.
    pub fn insert(&mut self, start: TargetStart, now_ms: u64) {
        self.expires_ms.retain(|_, expires_ms| now_ms < *expires_ms);
        self.expires_ms.insert(start, now_ms + DEPARTED_KEPT_MS);
    }

    pub fn has_departed(&self, start: &TargetStart, now_ms: u64) -> bool {
        let later =
            self.expires_ms.range(start..).take_while(|(departed, _)| departed.id == start.id);
        later.into_iter().any(|(_, expires_ms)| now_ms < *expires_ms)
    }

    pub fn starts(&self) -> impl Iterator<Item = &TargetStart> {
        self.expires_ms.keys()
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
pub enum HeartbeatEffect {
    /// Another target, or another state of the same one.
    Changed,
    Unchanged,
    /// It is older than what is known, and says nothing new.
    Stale,
}

/// The target beside this daemon.
#[derive(Clone, Debug, Default)]
pub struct LocalTarget {
    current: Option<CurrentTarget>,
    departed: DepartedTargets,
    heartbeat_ms: u64,
}

#[derive(Clone, Debug)]
struct CurrentTarget {
    last_heartbeat: Heartbeat,
    last_received_ms: u64,
    /// Set when the target refused a connection; the next heartbeat clears it.
    is_unreachable: bool,
}

impl LocalTarget {
    /// A table for targets that send a heartbeat each `heartbeat_ms`.
    pub fn new(heartbeat_ms: u64) -> Self {
        Self { heartbeat_ms, ..Self::default() }
    }

    pub fn apply(&mut self, heartbeat: Heartbeat, now_ms: u64) -> HeartbeatEffect {
        if self.departed.has_departed(&heartbeat.start(), now_ms) {
            return HeartbeatEffect::Stale;
        }
        let Some(current) = &mut self.current else {
            self.replace(heartbeat, now_ms);
            return HeartbeatEffect::Changed;
        };
        let last = &current.last_heartbeat;
        let is_same_start = last.id == heartbeat.id && last.born_unix_ms == heartbeat.born_unix_ms;
        if !is_same_start {
            if heartbeat.born_unix_ms < last.born_unix_ms {
                return HeartbeatEffect::Stale;
            }
            self.replace(heartbeat, now_ms);
            return HeartbeatEffect::Changed;
        }
        if heartbeat.sequence <= last.sequence {
            return HeartbeatEffect::Stale;
        }
        let changed = current.is_unreachable
            || last.state != heartbeat.state
            || last.slots != heartbeat.slots;
        current.is_unreachable = false;
        current.last_received_ms = now_ms;
        // A target that is leaving does not come back under the same start.
        let state = if last.state == TargetState::Draining { last.state } else { heartbeat.state };
        current.last_heartbeat = Heartbeat { state, ..heartbeat };
        if changed { HeartbeatEffect::Changed } else { HeartbeatEffect::Unchanged }
    }

    fn replace(&mut self, heartbeat: Heartbeat, now_ms: u64) {
        let current = CurrentTarget {
            last_heartbeat: heartbeat,
            last_received_ms: now_ms,
            is_unreachable: false,
        };
        self.current = Some(current);
    }

    /// A start of a target says that it is gone, also one that was never heard of here. Says
    /// whether the current target left with this.
    pub fn apply_leave(&mut self, start: TargetStart, now_ms: u64) -> bool {
        let was_departed = self.has_departed(now_ms);
        self.departed.insert(start, now_ms);
        !was_departed && self.has_departed(now_ms)
    }

    fn has_departed(&self, now_ms: u64) -> bool {
        self.last_heartbeat().is_some_and(|last| self.departed.has_departed(&last.start(), now_ms))
    }

    /// The target took no connection, or another one answered at its address.
    pub fn mark_unreachable(&mut self) {
        if let Some(current) = &mut self.current {
            current.is_unreachable = true;
        }
    }

    /// The target answered a request, which counts like a heartbeat.
    pub fn note_response(&mut self, now_ms: u64) {
        if let Some(current) = &mut self.current {
            current.last_received_ms = now_ms;
        }
    }

    pub fn last_heartbeat(&self) -> Option<&Heartbeat> {
        self.current.as_ref().map(|current| &current.last_heartbeat)
    }

    /// What the target is taken for now.
    pub fn state(&self, now_ms: u64) -> TargetState {
        let Some(current) = &self.current else { return TargetState::Starting };
        let silent_ms = now_ms.saturating_sub(current.last_received_ms);
        if self.departed.has_departed(&current.last_heartbeat.start(), now_ms) {
            return TargetState::Draining;
        }
        if current.is_unreachable || silent_ms > MISSED_HEARTBEATS_MAX * self.heartbeat_ms {
            return TargetState::Lapsed;
        }
        current.last_heartbeat.state
    }
}
