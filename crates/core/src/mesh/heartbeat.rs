//! What the target beside this daemon says of itself, in the order in which it said it.
//!
//! Heartbeats can arrive late and from an earlier start of a target at the same address. They are
//! ordered by the start's time, then by their sequence.

use crate::endpoint::TargetState;
use std::sync::Arc;

/// Heartbeats missed in a row after which a target that shows no other sign of life has lapsed.
const LAPSED_AFTER_BEATS: u64 = 4;

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
    heartbeat_ms: u64,
}

#[derive(Clone, Debug)]
struct Known {
    last: Heartbeat,
    heard_ms: u64,
    /// Set when the target refused a connection; the next heartbeat clears it.
    unreachable: bool,
    left: bool,
}

impl TargetTable {
    /// A table for targets that send a heartbeat each `heartbeat_ms`.
    pub fn new(heartbeat_ms: u64) -> Self {
        Self { current: None, heartbeat_ms }
    }

    pub fn hear(&mut self, heartbeat: Heartbeat, now_ms: u64) -> Heard {
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
        let known = Known { last: heartbeat, heard_ms: now_ms, unreachable: false, left: false };
        self.current = Some(known);
    }

    /// The target says that it is gone. Says whether that was news.
    pub fn leave(&mut self, id: &str, born_unix_ms: Option<u64>) -> bool {
        let Some(known) = &mut self.current else { return false };
        let is_current = &*known.last.id == id
            && born_unix_ms.is_none_or(|born| born >= known.last.born_unix_ms);
        if !is_current || known.left {
            return false;
        }
        known.left = true;
        true
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
        if known.left {
            return TargetState::Draining;
        }
        if known.unreachable || silent_ms > LAPSED_AFTER_BEATS * self.heartbeat_ms {
            return TargetState::Lapsed;
        }
        known.last.state
    }
}
