//! Log compaction: a leader writes snapshots to the store and deletes the edits that are not newer
//! than the second-newest snapshot.
//!
//! Before it deletes any edits, the leader records up to which version under [`COMPACTED_KEY`], so
//! that a daemon that writes an edit can tell that its version is compacted.

use crate::event::Event;
use crate::log::ConfigLog;
use crate::store::{
    COMPACTED_KEY, EDITS_PREFIX, SNAPSHOTS_PREFIX, StoreFailure, StoreOp, StoreReply, edit_key,
    snapshot_key, version_of_key,
};
use std::collections::VecDeque;
use std::sync::Arc;

/// A snapshot is written when the newest one is at least this many versions old.
const SNAPSHOT_INTERVAL_VERSIONS: u64 = 64;
/// Snapshots that are kept in the store.
const SNAPSHOTS_KEPT: usize = 2;
/// How often the leader checks whether a snapshot is due, in milliseconds.
const COMPACTION_INTERVAL_MS: u64 = 5_000;
/// Most objects that one list call returns.
const LIST_LIMIT: u32 = 64;

/// The purpose of a store call made by the compactor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompactionCall {
    ListSnapshots,
    WriteSnapshot { version: u64 },
    ReadCompacted,
    WriteCompacted,
    ListEdits,
    Delete,
}

/// The next step of a compaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Step {
    /// Wait until a snapshot is due, then list those in the store.
    #[default]
    ListSnapshots,
    WriteSnapshot,
    ReadCompacted,
    /// Record `compact_to` if [`COMPACTED_KEY`] still has this object version.
    WriteCompacted {
        expected_version: u64,
    },
    /// List the oldest edits, to delete those up to `compact_to`.
    ListEdits,
    /// Delete the next of `keys_to_delete`.
    Delete,
}

/// The state of log compaction.
#[derive(Debug, Default)]
pub(crate) struct LogCompactor {
    step: Step,
    call_in_flight: bool,
    check_due_ms: u64,
    /// The version of the newest snapshot in the store.
    newest_snapshot_version: u64,
    /// Edits up to this version are to be deleted.
    compact_to: u64,
    keys_to_delete: VecDeque<Arc<str>>,
    /// The keys of snapshots that are deleted after the edits.
    old_snapshot_keys: Vec<Arc<str>>,
}

impl LogCompactor {
    /// Returns the next store call, unless one is in flight or nothing is due.
    pub(crate) fn tick(
        &mut self,
        now_ms: u64,
        log: &mut ConfigLog,
    ) -> Option<(CompactionCall, StoreOp)> {
        if self.call_in_flight || (self.step == Step::ListSnapshots && now_ms < self.check_due_ms) {
            return None;
        }
        let call = self.next_call(now_ms, log)?;
        self.call_in_flight = true;
        Some(call)
    }

    fn next_call(&mut self, now_ms: u64, log: &mut ConfigLog) -> Option<(CompactionCall, StoreOp)> {
        match self.step {
            Step::ListSnapshots => {
                self.check_due_ms = now_ms + COMPACTION_INTERVAL_MS;
                if log.version() < self.newest_snapshot_version + SNAPSHOT_INTERVAL_VERSIONS {
                    return None;
                }
                Some((CompactionCall::ListSnapshots, list(SNAPSHOTS_PREFIX, None)))
            }
            Step::WriteSnapshot => {
                let version = log.version();
                if version < self.newest_snapshot_version + SNAPSHOT_INTERVAL_VERSIONS {
                    self.step = Step::ReadCompacted;
                    return self.next_call(now_ms, log);
                }
                let value = String::from_utf8(log.snapshot().to_vec()).ok()?.into();
                let key = snapshot_key(version);
                let op = StoreOp::Put { key, value, expected_version: 0 };
                Some((CompactionCall::WriteSnapshot { version }, op))
            }
            Step::ReadCompacted => {
                Some((CompactionCall::ReadCompacted, StoreOp::Get { key: COMPACTED_KEY.into() }))
            }
            Step::WriteCompacted { expected_version } => {
                let value = self.compact_to.to_string().into();
                let op = StoreOp::Put { key: COMPACTED_KEY.into(), value, expected_version };
                Some((CompactionCall::WriteCompacted, op))
            }
            Step::ListEdits => Some((CompactionCall::ListEdits, list(EDITS_PREFIX, None))),
            Step::Delete => {
                let Some(key) = self.keys_to_delete.pop_front() else {
                    self.step = Step::ListSnapshots;
                    return None;
                };
                Some((CompactionCall::Delete, StoreOp::Delete { key }))
            }
        }
    }

    /// Handles the reply to a store call. After a failure or an unexpected reply, compaction starts
    /// over at the next check.
    pub(crate) fn handle_reply(
        &mut self,
        call: CompactionCall,
        result: Result<StoreReply, StoreFailure>,
    ) -> Vec<(Event, String)> {
        self.call_in_flight = false;
        let mut events = Vec::new();
        self.step = match (call, result) {
            (CompactionCall::ListSnapshots, Ok(StoreReply::Listed { objects, .. })) => {
                let versions: Vec<u64> = objects
                    .iter()
                    .filter_map(|object| version_of_key(SNAPSHOTS_PREFIX, &object.key))
                    .collect();
                self.record_snapshots(&versions);
                Step::WriteSnapshot
            }
            (CompactionCall::WriteSnapshot { version }, Ok(StoreReply::Written { .. })) => {
                events.push((Event::SnapshotWritten, format!("version={version}")));
                self.compact_to = self.newest_snapshot_version;
                self.newest_snapshot_version = version;
                Step::ReadCompacted
            }
            (CompactionCall::ReadCompacted, Ok(StoreReply::Absent)) if self.compact_to > 0 => {
                Step::WriteCompacted { expected_version: 0 }
            }
            (CompactionCall::ReadCompacted, Ok(StoreReply::Object(object))) => {
                let compacted_version: u64 = object.value.parse().unwrap_or(0);
                if compacted_version >= self.compact_to {
                    Step::ListSnapshots
                } else {
                    Step::WriteCompacted { expected_version: object.object_version }
                }
            }
            (CompactionCall::WriteCompacted, Ok(StoreReply::Written { .. })) => {
                events.push((Event::LogCollected, format!("to_version={}", self.compact_to)));
                Step::ListEdits
            }
            (CompactionCall::ListEdits, Ok(StoreReply::Listed { objects, .. })) => {
                let last_key = edit_key(self.compact_to);
                let edit_keys = objects.iter().map(|object| object.key.clone());
                self.keys_to_delete.extend(edit_keys.filter(|key| *key <= last_key));
                if self.keys_to_delete.is_empty() {
                    self.keys_to_delete.extend(self.old_snapshot_keys.drain(..));
                }
                if self.keys_to_delete.is_empty() { Step::ListSnapshots } else { Step::Delete }
            }
            (CompactionCall::Delete, Ok(_)) if !self.keys_to_delete.is_empty() => Step::Delete,
            (CompactionCall::Delete, Ok(_)) => Step::ListEdits,
            _ => {
                self.keys_to_delete.clear();
                Step::ListSnapshots
            }
        };
        events
    }

    /// Records which snapshots to delete: all but the newest one, which is kept in addition to the
    /// one that is about to be written.
    fn record_snapshots(&mut self, versions: &[u64]) {
        self.newest_snapshot_version = versions.last().copied().unwrap_or(0);
        let old_count = (versions.len() + 1).saturating_sub(SNAPSHOTS_KEPT);
        self.old_snapshot_keys =
            versions.iter().take(old_count).map(|v| snapshot_key(*v)).collect();
    }
}

fn list(prefix: &str, start_after: Option<Arc<str>>) -> StoreOp {
    StoreOp::List { prefix: prefix.into(), start_after, limit: LIST_LIMIT }
}
