//! The records of targets that have left: when they are written, read and removed.

use pomeloreach_core::mesh::departures::{
    DepartureCall, DepartureLog, DepartureRecord, DepartureSweep,
};
use pomeloreach_core::mesh::heartbeat::{DEPARTED_KEPT_MS, DepartedTargets, TargetStart};
use std::collections::BTreeSet;
use std::sync::Arc;

const ERA: Option<u64> = Some(1);

fn start(id: &str, born_unix_ms: u64) -> TargetStart {
    TargetStart { id: id.into(), born_unix_ms }
}

fn starts<const N: usize>(starts: [(&str, u64); N]) -> BTreeSet<TargetStart> {
    starts.into_iter().map(|(id, born_unix_ms)| start(id, born_unix_ms)).collect()
}

/// The log of a daemon that has started again and found no record.
fn log_without_record() -> DepartureLog {
    let mut log = DepartureLog::default();
    assert_eq!(log.next_call(None, 0), Some(DepartureCall::Read));
    log.record_read(None, ERA, 5);
    assert_eq!(log.next_call(ERA, 5), None);
    log
}

/// A leave counts as stored only after the store has confirmed it, with one call.
#[test]
fn leave_is_written_once() {
    for mut log in [log_without_record(), DepartureLog::of_first_start()] {
        log.add(start("i-1", 100), 10);
        assert!(!log.is_stored(&start("i-1", 100)));
        let written = starts([("i-1", 100)]);
        assert_eq!(log.next_call(ERA, 10), Some(DepartureCall::Create(written.clone())));
        log.record_written(written, ERA);
        assert!(log.is_stored(&start("i-1", 100)));
        log.add(start("i-1", 100), 2_000);
        assert_eq!(log.next_call(ERA, 2_000), None, "the target repeats its leave");
    }
}

/// A daemon that has started again knows the targets that left before.
#[test]
fn restart_reads_record() {
    let mut log = DepartureLog::default();
    let record = DepartureRecord { starts: starts([("i-1", 100)]), revision: 7 };
    log.record_read(Some(record), ERA, 5);
    assert!(log.is_stored(&start("i-1", 100)) && log.is_stored(&start("i-1", 50)));
    assert!(!log.is_stored(&start("i-1", 200)), "a later start under the same id has not left");
    assert_eq!(log.next_call(ERA, 5), None);
}

/// The record of an earlier target is replaced by one with both, unless it has changed meanwhile.
#[test]
fn second_leave_keeps_first() {
    let mut log = log_without_record();
    log.add(start("i-1", 100), 10);
    log.record_written(starts([("i-1", 100)]), ERA);
    log.add(start("i-2", 200), 20);
    assert_eq!(log.next_call(ERA, 20), Some(DepartureCall::Read));
    let record = DepartureRecord { starts: starts([("i-0", 50), ("i-1", 100)]), revision: 7 };
    log.record_read(Some(record), ERA, 30);
    let replaced =
        DepartureRecord { starts: starts([("i-0", 50), ("i-1", 100), ("i-2", 200)]), revision: 7 };
    assert_eq!(log.next_call(ERA, 30), Some(DepartureCall::Replace(replaced)));
    log.record_failed_write();
    assert_eq!(log.next_call(ERA, 40), Some(DepartureCall::Read));
}

/// A write without a response may have taken effect, which the next read shows.
#[test]
fn lost_response_is_read_again() {
    let mut log = log_without_record();
    log.add(start("i-1", 100), 10);
    log.record_failed_write();
    assert!(!log.is_stored(&start("i-1", 100)));
    assert_eq!(log.next_call(ERA, 1_600), Some(DepartureCall::Read));
    let record = DepartureRecord { starts: starts([("i-1", 100)]), revision: 9 };
    log.record_read(Some(record), ERA, 1_610);
    assert!(log.is_stored(&start("i-1", 100)));
    assert_eq!(log.next_call(ERA, 1_610), None);
}

/// A store that comes back from an earlier copy may have lost an acknowledged leave.
#[test]
fn lost_record_is_written_again() {
    let mut log = DepartureLog::default();
    let record = DepartureRecord { starts: starts([("i-1", 100)]), revision: 7 };
    log.record_read(Some(record), ERA, 0);
    assert_eq!(log.next_call(Some(2), 10), Some(DepartureCall::Read));
    log.record_read(None, Some(2), 20);
    assert_eq!(log.next_call(Some(2), 20), Some(DepartureCall::Create(starts([("i-1", 100)]))));
}

/// Targets that no late heartbeat can bring back are left out of the record.
#[test]
fn old_leaves_are_left_out() {
    let mut log = log_without_record();
    log.add(start("i-1", 100), 0);
    log.record_written(starts([("i-1", 100)]), ERA);
    log.add(start("i-2", 200), DEPARTED_KEPT_MS);
    log.record_read(None, ERA, DEPARTED_KEPT_MS);
    let created = Some(DepartureCall::Create(starts([("i-2", 200)])));
    assert_eq!(log.next_call(ERA, DEPARTED_KEPT_MS), created);
    assert_eq!(log.next_call(ERA, 3 * DEPARTED_KEPT_MS), None);
}

/// The record of a VM that is gone for good is removed, and one that was written again is kept.
#[test]
fn unchanged_records_are_removed() {
    let records = |revision| vec![(Arc::from("vm-1"), 7), (Arc::from("vm-2"), revision)];
    let mut sweep = DepartureSweep::default();
    assert!(sweep.observe(ERA, records(8), 0).is_empty());
    assert!(sweep.observe(ERA, records(8), DEPARTED_KEPT_MS - 1).is_empty());
    assert_eq!(sweep.observe(ERA, records(9), DEPARTED_KEPT_MS), [(Arc::from("vm-1"), 7)]);
    assert!(sweep.observe(ERA, vec![], DEPARTED_KEPT_MS + 1).is_empty());
    assert!(sweep.observe(ERA, records(9), 3 * DEPARTED_KEPT_MS).is_empty(), "it was gone between");
    assert!(sweep.observe(Some(2), records(9), 4 * DEPARTED_KEPT_MS).is_empty(), "a new era");
    assert_eq!(sweep.observe(Some(2), records(9), 5 * DEPARTED_KEPT_MS).len(), 2);
}

/// Two daemons that reported a departed target to each other within each minute never forgot it.
#[test]
fn reports_do_not_renew() {
    let mut daemons = [DepartedTargets::default(), DepartedTargets::default()];
    daemons[0].insert(start("i-1", 100), 0);
    for now_ms in (0..=DEPARTED_KEPT_MS).step_by(10_000) {
        let reporter = (now_ms / 10_000 % 2) as usize;
        let reported: Vec<_> = daemons[reporter].current(now_ms).collect();
        for departed in reported {
            daemons[1 - reporter].insert_reported(departed, now_ms);
        }
        let is_kept = now_ms < DEPARTED_KEPT_MS;
        for daemon in &daemons {
            assert_eq!(daemon.has_departed(&start("i-1", 100), now_ms), is_kept, "{now_ms} ms");
        }
    }
    assert_eq!(daemons[0].current(DEPARTED_KEPT_MS).count(), 0, "expired ones are not reported");
}
