//! Decides what a daemon writes to the store about the targets of its VM that have left, and when
//! such records are removed.
//!
//! A leave binds all daemons once it is acknowledged, and a heartbeat that was sent before can arrive
//! after every daemon has restarted. No VM has a disk, so a leave is in the store before it is
//! acknowledged; see `docs/MESH.md`, "Departed targets". Each VM has one record with all its targets
//! that left recently. It is written only under the condition that it has not changed, since a call
//! without a response may take effect later.

use crate::mesh::heartbeat::{DEPARTED_KEPT_MS, DepartedTargets, TargetStart};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The record of a VM as it was read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DepartureRecord {
    pub starts: BTreeSet<TargetStart>,
    /// The revision of the record's last change, by which the store tells whether it has changed.
    pub revision: u64,
}

/// What is known of the VM's record in the store.
#[derive(Clone, Debug, Default)]
enum Stored {
    /// It was not read yet, or a write had no response.
    #[default]
    Unknown,
    Absent,
    Read(DepartureRecord),
    /// It was written and not read since, so that its revision is not known.
    Written(BTreeSet<TargetStart>),
}

/// A call to the store that a daemon makes next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DepartureCall {
    Read,
    /// Creates the record, unless there is one.
    Create(BTreeSet<TargetStart>),
    /// Replaces the record, unless it has changed.
    Replace(DepartureRecord),
}

/// The targets of this daemon's VM that have left recently, and what the store holds of them.
#[derive(Clone, Debug, Default)]
pub struct DepartureLog {
    departed: DepartedTargets,
    stored: Stored,
    /// The era of the store when the record was last read or written.
    era: Option<u64>,
    has_read: bool,
}

impl DepartureLog {
    /// The log of a daemon of a fleet that starts for the first time, so that there is no record yet.
    pub fn of_first_start() -> Self {
        Self { stored: Stored::Absent, has_read: true, ..Self::default() }
    }

    /// Records that a target of this VM has left.
    pub fn add(&mut self, start: TargetStart, now_ms: u64) {
        self.departed.insert(start, now_ms);
    }

    /// Whether the store holds the leave of this start of a target, or of a later one with its id.
    pub fn is_stored(&self, start: &TargetStart) -> bool {
        let starts = match &self.stored {
            Stored::Unknown | Stored::Absent => return false,
            Stored::Read(record) => &record.starts,
            Stored::Written(starts) => starts,
        };
        starts.range(start..).next().is_some_and(|stored| stored.id == start.id)
    }

    /// The next call to the store, if one is necessary. `newest_era` is the newest known era of the
    /// store: in a new one it may have lost the record.
    pub fn next_call(&mut self, newest_era: Option<u64>, now_ms: u64) -> Option<DepartureCall> {
        let starts: BTreeSet<_> =
            self.departed.current(now_ms).map(|departed| departed.start).collect();
        // Creating an absent record does no harm if there is one.
        if self.era < newest_era && !matches!(self.stored, Stored::Absent) {
            self.stored = Stored::Unknown;
        }
        if self.has_read && starts.iter().all(|start| self.is_stored(start)) {
            return None;
        }
        Some(match &self.stored {
            Stored::Unknown | Stored::Written(_) => DepartureCall::Read,
            Stored::Absent => DepartureCall::Create(starts),
            Stored::Read(record) => {
                DepartureCall::Replace(DepartureRecord { starts, revision: record.revision })
            }
        })
    }

    /// Stores what a read returned in an era of the store. The targets in it have left.
    pub fn record_read(&mut self, read: Option<DepartureRecord>, era: Option<u64>, now_ms: u64) {
        self.has_read = true;
        self.era = era;
        let Some(record) = read else {
            self.stored = Stored::Absent;
            return;
        };
        for start in &record.starts {
            if !self.departed.has_departed(start, now_ms) {
                self.departed.insert(start.clone(), now_ms);
            }
        }
        self.stored = Stored::Read(record);
    }

    /// Stores that the record was created or replaced in an era of the store.
    pub fn record_written(&mut self, starts: BTreeSet<TargetStart>, era: Option<u64>) {
        self.era = era;
        self.stored = Stored::Written(starts);
    }

    /// Stores that a write failed: the record had changed, or there was no response.
    pub fn record_failed_write(&mut self) {
        self.stored = Stored::Unknown;
    }
}

/// Finds the records that have not changed for [`DEPARTED_KEPT_MS`], after which no heartbeat from
/// before the leave can arrive. Their own daemons may be gone for good, so another one removes them.
/// The times are those at which this daemon saw the records: clocks of VMs differ.
#[derive(Clone, Debug, Default)]
pub struct DepartureSweep {
    era: Option<u64>,
    seen: BTreeMap<Arc<str>, SeenRecord>,
}

#[derive(Clone, Copy, Debug)]
struct SeenRecord {
    revision: u64,
    first_seen_ms: u64,
}

impl DepartureSweep {
    /// Takes all records with their revisions in an era of the store. Returns those to remove.
    pub fn observe(
        &mut self,
        era: Option<u64>,
        records: Vec<(Arc<str>, u64)>,
        now_ms: u64,
    ) -> Vec<(Arc<str>, u64)> {
        // Revisions are given out again in a new era.
        let earlier =
            if self.era == era { std::mem::take(&mut self.seen) } else { BTreeMap::new() };
        self.era = era;
        let mut expired = Vec::new();
        for (name, revision) in records {
            let same = earlier.get(&name).filter(|seen| seen.revision == revision);
            let first_seen_ms = same.map_or(now_ms, |seen| seen.first_seen_ms);
            self.seen.insert(name.clone(), SeenRecord { revision, first_seen_ms });
            if now_ms >= first_seen_ms + DEPARTED_KEPT_MS {
                expired.push((name, revision));
            }
        }
        expired
    }
}
