//! Tracks the state of the local target from its heartbeats.
//!
//! Heartbeats can arrive late, from an earlier start of a target at the same address, and from another
//! writer. They are ordered by the time of the start, then by their sequence number. That order is not
//! certain: clocks are set back, and another writer states any time. So it only holds while the current
//! start is heard from, and while the responses at its address do not contradict it; see `docs/MESH.md`,
//! "The local target".

use crate::endpoint::TargetState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A target lapses after this many heartbeat intervals without a heartbeat or a response.
const MISSED_HEARTBEATS_MAX: u64 = 4;

/// The current start gives way to any other that sends a heartbeat after this many intervals without
/// one of its own. A single heartbeat may just be late.
const SILENT_AFTER_HEARTBEATS: u64 = 2;

/// How long a departed target is remembered, in milliseconds: longer than a heartbeat can be
/// delayed.
pub const DEPARTED_KEPT_MS: u64 = 60_000;

/// How late a heartbeat of a target on the same VM arrives at the most, in milliseconds. One that
/// arrives later than this after the start of the daemon was sent after that start, so that the target
/// had not left before.
const HEARTBEAT_DELAY_MS_MAX: u64 = 10_000;

/// Identifies one start of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetStart {
    pub id: Arc<str>,
    /// When the target started, in milliseconds since the Unix epoch. A target that restarts with
    /// the same id has a later time, unless its clock was set back in between.
    pub born_unix_ms: u64,
}

/// Targets that have left or are draining. A target does not become ready again without a new
/// start, so a message that still reports a departed target as ready is outdated and is ignored.
#[derive(Clone, Debug, Default)]
pub struct DepartedTargets {
    /// When each entry may be forgotten.
    expires_ms: BTreeMap<TargetStart, u64>,
}

/// A target that has left, as a daemon reports it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedTarget {
    pub start: TargetStart,
    /// How much longer it is remembered, in milliseconds. Daemons report what others have reported to
    /// them, so that with a new time for each report it would never be forgotten.
    pub left_ms: u64,
}

impl DepartedTargets {
    /// Records that this start of a target has left, and thereby every earlier one.
    pub fn insert(&mut self, start: TargetStart, now_ms: u64) {
        self.insert_reported(DepartedTarget { start, left_ms: DEPARTED_KEPT_MS }, now_ms);
    }

    /// Records a target that has left according to another daemon.
    pub fn insert_reported(&mut self, departed: DepartedTarget, now_ms: u64) {
        self.expires_ms.retain(|_, expires_ms| now_ms < *expires_ms);
        let reported_ms = now_ms + departed.left_ms.min(DEPARTED_KEPT_MS);
        let expires_ms = self.expires_ms.entry(departed.start).or_default();
        *expires_ms = reported_ms.max(*expires_ms);
    }

    /// Whether this start of a target, or a later one with the same id, has left.
    pub fn has_departed(&self, start: &TargetStart, now_ms: u64) -> bool {
        let later =
            self.expires_ms.range(start..).take_while(|(departed, _)| departed.id == start.id);
        later.into_iter().any(|(_, expires_ms)| now_ms < *expires_ms)
    }

    /// The targets that may not be forgotten yet.
    pub fn current(&self, now_ms: u64) -> impl Iterator<Item = DepartedTarget> {
        let left = move |expires_ms: u64| expires_ms.saturating_sub(now_ms);
        self.expires_ms
            .iter()
            .map(move |(start, expires_ms)| (start, left(*expires_ms)))
            .filter(|(_, left_ms)| *left_ms > 0)
            .map(|(start, left_ms)| DepartedTarget { start: start.clone(), left_ms })
    }
}

/// A heartbeat of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    pub id: Arc<str>,
    pub service: Arc<str>,
    pub slots: u16,
    pub state: TargetState,
    pub sequence: u64,
    /// When this start of the target began, in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
    /// How much longer the target will be slow because it has just started, in milliseconds.
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
    /// It came from another [`TargetStart`], changed the state or slots of the current one, or
    /// arrived while the current one was marked as unreachable.
    Changed,
    Unchanged,
    /// It is older than the last heartbeat, or from a target that has left, and was ignored.
    Stale,
}

/// The state of this daemon's local target, by its heartbeats, leave calls and responses.
#[derive(Clone, Debug, Default)]
pub struct LocalTarget {
    current: Option<CurrentTarget>,
    departed: DepartedTargets,
    /// Whether `departed` has the targets that left before this process started.
    knows_departed: bool,
    /// The target that an earlier process of this daemon had in use shortly before it ended.
    recent: Option<TargetStart>,
    /// The interval at which the target sends heartbeats.
    heartbeat_ms: u64,
}

/// The target that sent the latest accepted heartbeat.
#[derive(Clone, Debug)]
struct CurrentTarget {
    last_heartbeat: Heartbeat,
    /// When the last heartbeat was received.
    last_heartbeat_ms: u64,
    /// When the last heartbeat of the target, or its last response to a request, was received.
    last_received_ms: u64,
    /// Set when the target refused a connection or another target answered; the next heartbeat
    /// clears it.
    is_unreachable: bool,
}

impl CurrentTarget {
    /// Whether a heartbeat replaces the last one: it is a later one by the order of starts and sequence
    /// numbers, or that order no longer holds.
    fn gives_way_to(&self, heartbeat: &Heartbeat, heartbeat_ms: u64, now_ms: u64) -> bool {
        let last = &self.last_heartbeat;
        let is_later = if last.start() == heartbeat.start() {
            heartbeat.sequence > last.sequence
        } else {
            heartbeat.born_unix_ms > last.born_unix_ms
        };
        // A response has the id of the target, which can be that of either start.
        let heard_ms =
            if last.id == heartbeat.id { self.last_heartbeat_ms } else { self.last_received_ms };
        let is_silent = now_ms >= heard_ms + SILENT_AFTER_HEARTBEATS * heartbeat_ms;
        is_later || is_silent || self.is_unreachable
    }
}

impl LocalTarget {
    /// Expects a heartbeat from the target every `heartbeat_ms`.
    pub fn new(heartbeat_ms: u64) -> Self {
        Self { heartbeat_ms, ..Self::default() }
    }

    /// Applies a heartbeat unless it is stale.
    pub fn apply(&mut self, heartbeat: Heartbeat, now_ms: u64) -> HeartbeatEffect {
        if heartbeat.state == TargetState::Draining {
            // It does not become ready again, as after a leave, whatever replaces it.
            self.departed.insert(heartbeat.start(), now_ms);
        } else if self.departed.has_departed(&heartbeat.start(), now_ms) {
            return HeartbeatEffect::Stale;
        }
        let Some(current) = &mut self.current else {
            self.replace(heartbeat, now_ms);
            return HeartbeatEffect::Changed;
        };
        if !current.gives_way_to(&heartbeat, self.heartbeat_ms, now_ms) {
            return HeartbeatEffect::Stale;
        }
        let last = &current.last_heartbeat;
        if last.start() != heartbeat.start() {
            self.replace(heartbeat, now_ms);
            return HeartbeatEffect::Changed;
        }
        let changed = current.is_unreachable
            || last.state != heartbeat.state
            || last.slots != heartbeat.slots;
        current.is_unreachable = false;
        current.last_heartbeat_ms = now_ms;
        current.last_received_ms = now_ms;
        // A draining target cannot become ready again without a new start.
        let state = if last.state == TargetState::Draining { last.state } else { heartbeat.state };
        current.last_heartbeat = Heartbeat { state, ..heartbeat };
        if changed { HeartbeatEffect::Changed } else { HeartbeatEffect::Unchanged }
    }

    fn replace(&mut self, heartbeat: Heartbeat, now_ms: u64) {
        let current = CurrentTarget {
            last_heartbeat: heartbeat,
            last_heartbeat_ms: now_ms,
            last_received_ms: now_ms,
            is_unreachable: false,
        };
        self.current = Some(current);
    }

    /// Records that a target has left, even if it never sent a heartbeat to this daemon. Returns
    /// whether this call made the current target departed.
    pub fn apply_leave(&mut self, start: TargetStart, now_ms: u64) -> bool {
        self.apply_reported_leave(DepartedTarget { start, left_ms: DEPARTED_KEPT_MS }, now_ms)
    }

    /// Like [`Self::apply_leave`], for a target that has left according to another daemon.
    pub fn apply_reported_leave(&mut self, departed: DepartedTarget, now_ms: u64) -> bool {
        let was_departed = self.has_departed(now_ms);
        self.departed.insert_reported(departed, now_ms);
        !was_departed && self.has_departed(now_ms)
    }

    /// Whether a leave of `start` may concern the target in use, which would be used on: they have the
    /// same id, and it is not known yet which of the two starts is the later one.
    pub fn is_leave_uncertain(&self, start: &TargetStart, now_ms: u64) -> bool {
        let Some(last) = self.last_heartbeat() else { return false };
        last.id == start.id && last.born_unix_ms > start.born_unix_ms && !self.has_departed(now_ms)
    }

    /// Records that every target is known that left before this process started. Until then a
    /// heartbeat can be from before a leave that an earlier process acknowledged.
    pub fn set_knows_departed(&mut self) {
        self.knows_departed = true;
    }

    /// Records that an earlier process of this daemon had reported a target as ready shortly before it
    /// ended, according to a peer. A leave of this target, or of one that started later, would have
    /// been reported to that peer too.
    pub fn set_recent(&mut self, start: TargetStart) {
        self.recent = Some(start);
    }

    /// Whether the current target has left.
    fn has_departed(&self, now_ms: u64) -> bool {
        self.last_heartbeat().is_some_and(|last| self.departed.has_departed(&last.start(), now_ms))
    }

    /// Marks the target with this id as unreachable after it refused a connection or another target
    /// answered at its address. Has no effect if it is not the current one: a request for an earlier one
    /// can wait in the queue while that is replaced.
    pub fn mark_unreachable(&mut self, id: &str) {
        if let Some(current) = self.current_with_id(id) {
            current.is_unreachable = true;
        }
    }

    /// Records a response of the target with this id. Like a heartbeat, it keeps the target from lapsing
    /// if it is the current one.
    pub fn note_response(&mut self, id: &str, now_ms: u64) {
        if let Some(current) = self.current_with_id(id) {
            current.last_received_ms = now_ms;
        }
    }

    fn current_with_id(&mut self, id: &str) -> Option<&mut CurrentTarget> {
        self.current.as_mut().filter(|current| &*current.last_heartbeat.id == id)
    }

    pub fn last_heartbeat(&self) -> Option<&Heartbeat> {
        self.current.as_ref().map(|current| &current.last_heartbeat)
    }

    /// The state of the target: `Starting` before the first heartbeat, and while the target may have
    /// left before this process started; `Draining` after it left; `Lapsed` while it is unreachable or
    /// silent; otherwise the state of its last heartbeat.
    pub fn state(&self, now_ms: u64) -> TargetState {
        let Some(current) = &self.current else { return TargetState::Starting };
        let silent_ms = now_ms.saturating_sub(current.last_received_ms);
        if self.departed.has_departed(&current.last_heartbeat.start(), now_ms) {
            return TargetState::Draining;
        }
        if current.is_unreachable || silent_ms > MISSED_HEARTBEATS_MAX * self.heartbeat_ms {
            return TargetState::Lapsed;
        }
        let may_have_left = !self.knows_departed
            && current.last_heartbeat_ms < HEARTBEAT_DELAY_MS_MAX
            && self
                .recent
                .as_ref()
                .is_none_or(|recent| current.last_heartbeat.born_unix_ms < recent.born_unix_ms);
        if may_have_left && current.last_heartbeat.state == TargetState::Ready {
            return TargetState::Starting;
        }
        current.last_heartbeat.state
    }
}
