//! In-memory objects of the stand-in for the platform's object store.

use pomeloreach_core::store::{StoreOp, StoreReply, StoredObject};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// How many of the latest writes a watch can return.
const HISTORY_MAX: usize = 4_096;

/// Objects with their versions, and a history of writes for watches.
#[derive(Clone, Debug, Default)]
pub struct StoreObjects {
    revision: u64,
    objects: BTreeMap<Arc<str>, StoredObject>,
    history: VecDeque<(u64, StoredObject)>,
    calls: u64,
}

impl StoreObjects {
    /// Returns the number of writes and deletions so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns how often `count_call` was called; a watch counts as one call, however long it waits.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    pub fn count_call(&mut self) {
        self.calls += 1;
    }

    pub fn objects(&self) -> impl Iterator<Item = &StoredObject> {
        self.objects.values()
    }

    /// Applies one operation without waiting. A watch returns the writes since its revision, which
    /// may be none.
    pub fn apply(&mut self, op: &StoreOp) -> StoreReply {
        match op {
            StoreOp::Get { key } => match self.objects.get(key) {
                Some(object) => StoreReply::Object(object.clone()),
                None => StoreReply::Absent,
            },
            StoreOp::Put { key, value, expected_version } => {
                self.put(key, value, *expected_version)
            }
            StoreOp::Delete { key } => self.delete(key),
            StoreOp::List { prefix, start_after, limit } => {
                let objects = self.list(prefix, start_after.as_deref(), *limit as usize);
                StoreReply::Listed { objects, revision: self.revision }
            }
            StoreOp::Watch { prefix, after_revision, .. } => {
                let objects = self.changes_after(prefix, *after_revision);
                StoreReply::Changed { objects, revision: self.revision }
            }
        }
    }

    /// Writes an object if its version is `expected_version`; version 0 means that it must not exist.
    fn put(&mut self, key: &Arc<str>, value: &Arc<str>, expected_version: u64) -> StoreReply {
        let current_version = self.objects.get(key).map_or(0, |object| object.object_version);
        if current_version != expected_version {
            return StoreReply::Conflict;
        }
        self.revision += 1;
        let object =
            StoredObject { key: key.clone(), object_version: self.revision, value: value.clone() };
        self.objects.insert(key.clone(), object.clone());
        self.history.push_back((self.revision, object));
        if self.history.len() > HISTORY_MAX {
            self.history.pop_front();
        }
        StoreReply::Written { object_version: self.revision }
    }

    /// Deletes an object. Watches don't report deletions.
    fn delete(&mut self, key: &Arc<str>) -> StoreReply {
        if self.objects.remove(key).is_none() {
            return StoreReply::Absent;
        }
        self.revision += 1;
        StoreReply::Written { object_version: self.revision }
    }

    /// Returns up to `limit` objects with a prefix, in key order, after the key `start_after`.
    fn list(&self, prefix: &str, start_after: Option<&str>, limit: usize) -> Vec<StoredObject> {
        self.objects
            .range(Arc::from(prefix)..)
            .map(|(_, object)| object)
            .take_while(|object| object.key.starts_with(prefix))
            .filter(|object| start_after.is_none_or(|after| *object.key > *after))
            .take(limit)
            .cloned()
            .collect()
    }

    /// Returns the writes under a prefix after a revision, oldest first.
    fn changes_after(&self, prefix: &str, after_revision: u64) -> Vec<StoredObject> {
        self.history
            .iter()
            .filter(|(revision, object)| {
                *revision > after_revision && object.key.starts_with(prefix)
            })
            .map(|(_, object)| object.clone())
            .collect()
    }
}
