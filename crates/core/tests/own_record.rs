//! When a daemon checks its own record in the store, and what it does then.

use pomeloreach_core::mesh::own_record::{OwnRecord, RecordAction};

#[yare::parameterized(
    same_era = { Some(1), Some(1), false },
    newer_era = { Some(1), Some(2), true },
    not_yet_known = { Some(2), Some(1), false },
    store_without_eras = { None, None, false },
)]
fn record_is_checked_in_a_new_era(checked: Option<u64>, newest: Option<u64>, expected: bool) {
    let mut record = OwnRecord::default();
    record.record_checked(checked);
    assert_eq!(record.must_check(newest), expected);
}

/// A daemon that has not announced itself yet does so anyway.
#[test]
fn unannounced_record_is_not_checked() {
    let mut record = OwnRecord::default();
    assert!(!record.is_announced() && !record.must_check(Some(2)));
    record.record_checked(Some(2));
    assert!(record.is_announced() && !record.must_check(Some(2)) && record.must_check(Some(3)));
}

/// Another writer can replace the record in any era.
#[test]
fn changed_record_is_checked() {
    let mut record = OwnRecord::default();
    record.record_changed();
    assert!(!record.must_check(Some(2)), "it is not announced yet");
    record.record_checked(Some(2));
    assert!(!record.must_check(Some(2)));
    record.record_changed();
    assert!(record.must_check(Some(2)));
}

#[yare::parameterized(
    kept = { true, true, RecordAction::Keep },
    lost = { false, true, RecordAction::Announce },
    back_after_withdrawal = { true, false, RecordAction::Withdraw },
    withdrawn = { false, false, RecordAction::Keep },
)]
fn action_after_check(is_found: bool, is_wanted: bool, expected: RecordAction) {
    assert_eq!(RecordAction::after_check(is_found, is_wanted), expected);
}
