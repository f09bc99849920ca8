//! Heartbeats that arrive late, come from earlier starts, or stop.

use pomeloreach_core::endpoint::TargetState;
use pomeloreach_core::mesh::heartbeat::{Heartbeat, HeartbeatEffect, LocalTarget, TargetStart};

const HEARTBEAT_MS: u64 = 1_500;

fn heartbeat(id: &str, born_unix_ms: u64, sequence: u64, state: TargetState) -> Heartbeat {
    Heartbeat {
        id: id.into(),
        service: "desk".into(),
        slots: 12,
        state,
        sequence,
        born_unix_ms,
        cold_left_ms: 0,
    }
}

fn target() -> LocalTarget {
    let mut target = LocalTarget::new(HEARTBEAT_MS);
    target.set_knows_departed();
    let first = heartbeat("i-1", 100, 5, TargetState::Ready);
    assert_eq!(target.apply(first, 0), HeartbeatEffect::Changed);
    target
}

#[yare::parameterized(
    next = { "i-1", 100, 6, HeartbeatEffect::Unchanged, "i-1" },
    repeated = { "i-1", 100, 5, HeartbeatEffect::Stale, "i-1" },
    out_of_order = { "i-1", 100, 4, HeartbeatEffect::Stale, "i-1" },
    successor = { "i-2", 200, 1, HeartbeatEffect::Changed, "i-2" },
    restart_with_same_id = { "i-1", 200, 1, HeartbeatEffect::Changed, "i-1" },
    predecessor = { "i-0", 50, 900, HeartbeatEffect::Stale, "i-1" },
    earlier_start = { "i-1", 50, 900, HeartbeatEffect::Stale, "i-1" },
)]
fn heartbeat_order(
    id: &str,
    born_unix_ms: u64,
    sequence: u64,
    effect: HeartbeatEffect,
    current: &str,
) {
    let mut target = target();
    let received = heartbeat(id, born_unix_ms, sequence, TargetState::Ready);
    assert_eq!(target.apply(received, 10), effect);
    assert_eq!(&*target.last_heartbeat().unwrap().id, current);
}

/// A target whose clock was set back before it restarted was ignored, and used on after its leave was
/// acknowledged.
#[test]
fn restart_with_lower_born() {
    let mut target = target();
    let restarted = |sequence, state| heartbeat("i-1", 50, sequence, state);
    let start = restarted(1, TargetState::Ready).start();
    assert_eq!(target.apply(restarted(1, TargetState::Ready), 100), HeartbeatEffect::Stale);
    assert!(target.is_leave_uncertain(&start, 100), "a leave must not be acknowledged yet");
    let later_ms = 2 * HEARTBEAT_MS;
    let ready = restarted(3, TargetState::Ready);
    assert_eq!(target.apply(ready, later_ms), HeartbeatEffect::Changed);
    assert_eq!(target.state(later_ms), TargetState::Ready);
    target.apply(restarted(4, TargetState::Draining), later_ms + 10);
    assert_eq!(target.state(later_ms + 10), TargetState::Draining);
    assert!(!target.is_leave_uncertain(&start, later_ms + 10));
}

/// A leave is not acknowledged before a heartbeat has shown that the target has restarted.
#[test]
fn leave_with_lower_born() {
    let mut target = target();
    let start = TargetStart { id: "i-1".into(), born_unix_ms: 50 };
    assert!(!target.apply_leave(start.clone(), 2 * HEARTBEAT_MS));
    assert!(target.is_leave_uncertain(&start, 2 * HEARTBEAT_MS));
    let leaving = heartbeat("i-1", 50, 3, TargetState::Ready);
    assert_eq!(target.apply(leaving, 2 * HEARTBEAT_MS), HeartbeatEffect::Stale);
}

/// A late heartbeat of an earlier start must not keep the present one out of use.
#[test]
fn present_start_returns() {
    let mut target = target();
    let late_ms = 2 * HEARTBEAT_MS;
    target.apply(heartbeat("i-1", 50, 900, TargetState::Draining), late_ms);
    assert_eq!(target.state(late_ms), TargetState::Draining);
    target.apply(heartbeat("i-1", 100, 6, TargetState::Ready), late_ms + 10);
    assert_eq!(target.state(late_ms + 10), TargetState::Ready);
}

/// A heartbeat of another writer with a later time kept the true target out of use for good.
#[yare::parameterized(
    answers_421 = { true, HEARTBEAT_MS },
    is_silent = { false, 3 * HEARTBEAT_MS },
)]
fn foreign_start_gives_way(is_unreachable: bool, returns_ms: u64) {
    let mut target = target();
    assert_eq!(
        target.apply(heartbeat("i-9", 900, 1, TargetState::Ready), 10),
        HeartbeatEffect::Changed
    );
    if is_unreachable {
        target.mark_unreachable("i-9");
    }
    for now_ms in (HEARTBEAT_MS..=returns_ms).step_by(HEARTBEAT_MS as usize) {
        let sequence = 5 + now_ms / HEARTBEAT_MS;
        let effect = target.apply(heartbeat("i-1", 100, sequence, TargetState::Ready), now_ms);
        let returns = now_ms == returns_ms;
        assert_eq!(effect == HeartbeatEffect::Changed, returns, "at {now_ms} ms");
    }
    assert_eq!(&*target.last_heartbeat().unwrap().id, "i-1");
    assert_eq!(target.state(returns_ms), TargetState::Ready);
}

/// A new target whose clock was set back was shut out by the one before it.
#[test]
fn successor_with_lower_born() {
    let mut target = target();
    let successor = |sequence| heartbeat("i-2", 50, sequence, TargetState::Ready);
    assert_eq!(target.apply(successor(1), 10), HeartbeatEffect::Stale);
    assert_eq!(target.apply(successor(3), 2 * HEARTBEAT_MS), HeartbeatEffect::Changed);
    assert_eq!(target.state(2 * HEARTBEAT_MS), TargetState::Ready);
}

/// A late heartbeat of another target must not replace one that answers requests under its id.
#[test]
fn responses_keep_current_target() {
    let mut target = target();
    target.note_response("i-1", 2 * HEARTBEAT_MS);
    let late = heartbeat("i-0", 50, 900, TargetState::Ready);
    assert_eq!(target.apply(late, 3 * HEARTBEAT_MS), HeartbeatEffect::Stale);
}

/// A heartbeat of another writer with a high sequence number hid all later ones of the target.
#[test]
fn foreign_sequence_gives_way() {
    let mut target = target();
    target.apply(heartbeat("i-1", 100, u64::MAX, TargetState::Ready), 10);
    let next = |sequence, state| heartbeat("i-1", 100, sequence, state);
    assert_eq!(target.apply(next(6, TargetState::Ready), 1_500), HeartbeatEffect::Stale);
    assert_eq!(target.apply(next(8, TargetState::Draining), 4_500), HeartbeatEffect::Changed);
    assert_eq!(target.state(4_500), TargetState::Draining);
}

/// A late heartbeat of an earlier start with the same id brought a drained target back that was silent
/// for two intervals.
#[test]
fn late_heartbeat_after_drain() {
    let mut target = target();
    target.apply(heartbeat("i-1", 100, 6, TargetState::Draining), 10);
    let late = heartbeat("i-1", 50, 900, TargetState::Ready);
    assert_eq!(target.apply(late, 3 * HEARTBEAT_MS), HeartbeatEffect::Stale);
    assert_eq!(target.state(3 * HEARTBEAT_MS), TargetState::Draining);
}

/// Guards against a start that reports `draining` while another is the current one, and is ready again
/// when that one has gone silent.
#[test]
fn drain_of_earlier_start() {
    let mut target = target();
    target.apply(heartbeat("i-1", 900, 1, TargetState::Ready), 10);
    target.apply(heartbeat("i-1", 100, 7, TargetState::Draining), 20);
    assert_eq!(target.state(20), TargetState::Ready, "the other start is the current one");
    let late = heartbeat("i-1", 100, 6, TargetState::Ready);
    assert_eq!(target.apply(late, 3 * HEARTBEAT_MS), HeartbeatEffect::Stale);
    target.apply(heartbeat("i-1", 100, 8, TargetState::Draining), 3 * HEARTBEAT_MS);
    assert_eq!(target.state(3 * HEARTBEAT_MS), TargetState::Draining);
}

#[test]
fn draining_is_final() {
    let mut target = target();
    assert_eq!(
        target.apply(heartbeat("i-1", 100, 6, TargetState::Draining), 0),
        HeartbeatEffect::Changed
    );
    target.apply(heartbeat("i-1", 100, 7, TargetState::Ready), 0);
    assert_eq!(target.state(0), TargetState::Draining);
    target.apply(heartbeat("i-2", 200, 1, TargetState::Ready), 0);
    assert_eq!(target.state(0), TargetState::Ready);
}

fn start(id: &str, born_unix_ms: u64) -> TargetStart {
    TargetStart { id: id.into(), born_unix_ms }
}

#[test]
fn leave_takes_effect_once() {
    let mut target = target();
    assert!(!target.apply_leave(start("i-0", 100), 0), "another target");
    assert!(!target.apply_leave(start("i-1", 50), 0), "an earlier start");
    assert_eq!(target.state(0), TargetState::Ready);
    assert!(target.apply_leave(start("i-1", 100), 0));
    assert!(!target.apply_leave(start("i-1", 100), 0));
    assert_eq!(target.state(0), TargetState::Draining);
    let late = heartbeat("i-1", 100, 9, TargetState::Ready);
    assert_eq!(
        target.apply(late, 0),
        HeartbeatEffect::Stale,
        "a heartbeat that arrives after the leave call"
    );
    assert_eq!(target.state(0), TargetState::Draining);
}

/// After a restart a daemon can receive a target's leave call before any of its heartbeats, and an
/// earlier heartbeat after that.
#[test]
fn leave_before_first_heartbeat() {
    let mut target = LocalTarget::new(HEARTBEAT_MS);
    target.set_knows_departed();
    target.apply_leave(start("i-1", 150), 0);
    let late = heartbeat("i-1", 100, 14, TargetState::Ready);
    assert_eq!(target.apply(late, 2_600), HeartbeatEffect::Stale);
    assert_eq!(target.state(2_600), TargetState::Starting);
    let restarted = heartbeat("i-1", 200, 1, TargetState::Ready);
    assert_eq!(
        target.apply(restarted, 3_000),
        HeartbeatEffect::Changed,
        "a later start under the same id"
    );
    assert_eq!(target.state(3_000), TargetState::Ready);
}

#[test]
fn silent_target_lapses() {
    let mut target = target();
    assert_eq!(target.state(4 * HEARTBEAT_MS), TargetState::Ready);
    assert_eq!(target.state(4 * HEARTBEAT_MS + 1), TargetState::Lapsed);
    target.note_response("i-0", 4 * HEARTBEAT_MS);
    assert_eq!(target.state(4 * HEARTBEAT_MS + 1), TargetState::Lapsed, "of an earlier target");
    target.note_response("i-1", 4 * HEARTBEAT_MS);
    assert_eq!(
        target.state(4 * HEARTBEAT_MS + 1),
        TargetState::Ready,
        "a response counts like a heartbeat"
    );
}

#[test]
fn unreachable_until_heartbeat() {
    let mut target = target();
    target.mark_unreachable("i-0");
    assert_eq!(target.state(0), TargetState::Ready, "a late request for an earlier target");
    target.mark_unreachable("i-1");
    assert_eq!(target.state(0), TargetState::Lapsed);
    assert_eq!(
        target.apply(heartbeat("i-1", 100, 6, TargetState::Ready), 10),
        HeartbeatEffect::Changed
    );
    assert_eq!(target.state(10), TargetState::Ready);
}

/// Until a daemon that has restarted knows which targets left before, a heartbeat can be from before a
/// leave.
#[test]
fn heartbeat_before_departures_are_known() {
    let mut target = LocalTarget::new(HEARTBEAT_MS);
    target.apply(heartbeat("i-1", 100, 5, TargetState::Ready), 200);
    assert_eq!(target.state(200), TargetState::Starting);
    let mut left = target.clone();
    left.apply_leave(start("i-1", 100), 300);
    left.set_knows_departed();
    assert_eq!(left.state(300), TargetState::Draining);
    target.set_knows_departed();
    assert_eq!(target.state(300), TargetState::Ready);
}

/// A target whose daemon restarts while the store is unavailable is used once its heartbeats must be
/// from after the restart.
#[test]
fn heartbeat_while_store_unavailable() {
    let mut target = LocalTarget::new(HEARTBEAT_MS);
    target.apply(heartbeat("i-1", 100, 5, TargetState::Ready), 9_900);
    target.note_response("i-1", 10_100);
    assert_eq!(target.state(10_100), TargetState::Starting);
    target.apply(heartbeat("i-1", 100, 6, TargetState::Ready), 11_400);
    assert_eq!(target.state(11_400), TargetState::Ready);
}

/// A daemon that restarts while the store is unavailable uses its target at once if a peer knows that it
/// was in use.
#[test]
fn heartbeat_of_recent_target() {
    let mut target = LocalTarget::new(HEARTBEAT_MS);
    target.set_recent(start("i-1", 100));
    target.apply(heartbeat("i-1", 100, 5, TargetState::Ready), 200);
    assert_eq!(target.state(200), TargetState::Ready);
    target.apply(heartbeat("i-2", 200, 1, TargetState::Ready), 300);
    assert_eq!(target.state(300), TargetState::Ready, "a later start");
    let mut other = LocalTarget::new(HEARTBEAT_MS);
    other.set_recent(start("i-1", 100));
    other.apply(heartbeat("i-0", 50, 5, TargetState::Ready), 200);
    assert_eq!(other.state(200), TargetState::Starting, "an earlier start");
}
