//! Decides when a daemon checks its own record in the store, and what it does then.
//!
//! A store that comes back from an earlier copy has lost the records that were written since then,
//! and has records that were withdrawn. It is then in another era. Another writer can replace or remove
//! the record at any time.

use strum::Display;

/// What a daemon knows of its own record in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnRecord {
    /// The era in which the record was last known to be as it should; `None` before that.
    checked_era: Option<Option<u64>>,
    /// Whether a change that this daemon did not make was seen since then.
    is_changed: bool,
}

/// What a daemon does with its own record.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum RecordAction {
    Keep,
    Announce,
    Withdraw,
}

impl OwnRecord {
    pub fn is_announced(&self) -> bool {
        self.checked_era.is_some()
    }

    /// Records that the record is as it should, according to a response from this era that was not
    /// stale.
    pub fn record_checked(&mut self, era: Option<u64>) {
        self.checked_era = Some(era);
        self.is_changed = false;
    }

    /// Records that the record was removed, or is not as it should.
    pub fn record_changed(&mut self) {
        self.is_changed = true;
    }

    /// Whether the record must be checked, because it was changed or the store is in a newer era than
    /// at the last check.
    pub fn must_check(&self, newest_era: Option<u64>) -> bool {
        self.checked_era.is_some_and(|checked_era| self.is_changed || checked_era < newest_era)
    }
}

impl RecordAction {
    /// The action after a check. The record of a daemon whose VM is being removed is not wanted.
    pub fn after_check(is_found: bool, is_wanted: bool) -> Self {
        match (is_found, is_wanted) {
            (false, true) => Self::Announce,
            (true, false) => Self::Withdraw,
            (true, true) | (false, false) => Self::Keep,
        }
    }
}
