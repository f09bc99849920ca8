//! Keeps the log short: the lead writes snapshots and collects the edits behind the second-last.

use crate::event::Event;
use crate::log::ConfigLog;
use crate::store::{
    COMPACTED_KEY, EDITS_PREFIX, SNAPSHOTS_PREFIX, StoreFailure, StoreOp, StoreReply, edit_key,
    snapshot_key, version_of_key,
};
use std::collections::VecDeque;
use std::sync::Arc;

/// Versions between snapshots.
const SNAPSHOT_EVERY: u64 = 64;
/// Snapshots that stay.
const SNAPSHOTS_KEPT: usize = 2;
/// How often the lead looks whether there is something to do, in milliseconds.
const LOOK_MS: u64 = 5_000;
/// Objects in one list.
const LIST_LIMIT: u32 = 64;

/// What a call to the store by this system was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompactionCall {
    ListSnapshots,
    WriteSnapshot { version: u64 },
    ReadCollected,
    WriteCollected,
    ListEdits,
    Delete,
}

/// What to do next.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Step {
    #[default]
    Look,
    WriteSnapshot,
    ReadCollected,
    WriteCollected {
        expected_version: u64,
    },
    ListEdits,
    Delete,
}

/// The keeper's table.
#[derive(Debug, Default)]
pub(crate) struct LogCompactor {
    step: Step,
    in_flight: bool,
    look_due_ms: u64,
    newest_snapshot: u64,
    collect_to: u64,
    to_delete: VecDeque<Arc<str>>,
    old_snapshots: Vec<Arc<str>>,
}

impl LogCompactor {
    pub(crate) fn tick(
        &mut self,
        now_ms: u64,
        log: &mut ConfigLog,
    ) -> Option<(CompactionCall, StoreOp)> {
        if self.in_flight || (self.step == Step::Look && now_ms < self.look_due_ms) {
            return None;
        }
        let call = self.next_call(now_ms, log)?;
        self.in_flight = true;
        Some(call)
    }

    fn next_call(&mut self, now_ms: u64, log: &mut ConfigLog) -> Option<(CompactionCall, StoreOp)> {
        match self.step {
            Step::Look => {
                self.look_due_ms = now_ms + LOOK_MS;
                if log.version() < self.newest_snapshot + SNAPSHOT_EVERY {
                    return None;
                }
                Some((CompactionCall::ListSnapshots, list(SNAPSHOTS_PREFIX, None)))
            }
            Step::WriteSnapshot => {
                let version = log.version();
                if version < self.newest_snapshot + SNAPSHOT_EVERY {
                    self.step = Step::ReadCollected;
                    return self.next_call(now_ms, log);
                }
                let value = String::from_utf8(log.snapshot().to_vec()).ok()?.into();
                let key = snapshot_key(version);
                let op = StoreOp::Put { key, value, expected_version: 0 };
                Some((CompactionCall::WriteSnapshot { version }, op))
            }
            Step::ReadCollected => {
                Some((CompactionCall::ReadCollected, StoreOp::Get { key: COMPACTED_KEY.into() }))
            }
            Step::WriteCollected { expected_version } => {
                let value = self.collect_to.to_string().into();
                let op = StoreOp::Put { key: COMPACTED_KEY.into(), value, expected_version };
                Some((CompactionCall::WriteCollected, op))
            }
            Step::ListEdits => Some((CompactionCall::ListEdits, list(EDITS_PREFIX, None))),
            Step::Delete => {
                let Some(key) = self.to_delete.pop_front() else {
                    self.step = Step::Look;
                    return None;
                };
                Some((CompactionCall::Delete, StoreOp::Delete { key }))
            }
        }
    }

    /// Takes in the store's answer. Any answer that does not fit starts over at the next look.
    pub(crate) fn handle_reply(
        &mut self,
        call: CompactionCall,
        result: Result<StoreReply, StoreFailure>,
    ) -> Vec<(Event, String)> {
        self.in_flight = false;
        let mut events = Vec::new();
        self.step = match (call, result) {
            (CompactionCall::ListSnapshots, Ok(StoreReply::Listed { objects, .. })) => {
                let versions: Vec<u64> = objects
                    .iter()
                    .filter_map(|object| version_of_key(SNAPSHOTS_PREFIX, &object.key))
                    .collect();
                self.note_snapshots(&versions);
                Step::WriteSnapshot
            }
            (CompactionCall::WriteSnapshot { version }, Ok(StoreReply::Written { .. })) => {
                events.push((Event::SnapshotWritten, format!("version={version}")));
                self.collect_to = self.newest_snapshot;
                self.newest_snapshot = version;
                Step::ReadCollected
            }
            (CompactionCall::ReadCollected, Ok(StoreReply::Absent)) if self.collect_to > 0 => {
                Step::WriteCollected { expected_version: 0 }
            }
            (CompactionCall::ReadCollected, Ok(StoreReply::Object(object))) => {
                let collected: u64 = object.value.parse().unwrap_or(0);
                if collected >= self.collect_to {
                    Step::Look
                } else {
                    Step::WriteCollected { expected_version: object.object_version }
                }
            }
            (CompactionCall::WriteCollected, Ok(StoreReply::Written { .. })) => {
                events.push((Event::LogCollected, format!("to_version={}", self.collect_to)));
                Step::ListEdits
            }
            (CompactionCall::ListEdits, Ok(StoreReply::Listed { objects, .. })) => {
                let last = edit_key(self.collect_to);
                let behind = objects.iter().map(|object| object.key.clone());
                self.to_delete.extend(behind.filter(|key| *key <= last));
                if self.to_delete.is_empty() {
                    self.to_delete.extend(self.old_snapshots.drain(..));
                }
                if self.to_delete.is_empty() { Step::Look } else { Step::Delete }
            }
            (CompactionCall::Delete, Ok(_)) if !self.to_delete.is_empty() => Step::Delete,
            (CompactionCall::Delete, Ok(_)) => Step::ListEdits,
            _ => {
                self.to_delete.clear();
                Step::Look
            }
        };
        events
    }

    /// Of the snapshots that exist, only the newest stays beside the one to be written.
    fn note_snapshots(&mut self, versions: &[u64]) {
        self.newest_snapshot = versions.last().copied().unwrap_or(0);
        let older = (versions.len() + 1).saturating_sub(SNAPSHOTS_KEPT);
        self.old_snapshots = versions.iter().take(older).map(|v| snapshot_key(*v)).collect();
    }
}

fn list(prefix: &str, start_after: Option<Arc<str>>) -> StoreOp {
    StoreOp::List { prefix: prefix.into(), start_after, limit: LIST_LIMIT }
}
