//! The daemons whose records were removed from the store.

use std::collections::BTreeMap;
use std::sync::Arc;

/// How long a removed daemon is remembered, in milliseconds. Until all peers have learned of the removal
/// from the store, which may be unavailable to them meanwhile, they list the daemon as known.
const REMOVED_KEPT_MS: u64 = 300_000;

/// The daemons whose records were removed from the store a short time ago, and not written again.
#[derive(Clone, Debug, Default)]
pub struct RemovedDaemons {
    /// When each name may be forgotten.
    expires_ms: BTreeMap<Arc<str>, u64>,
}

impl RemovedDaemons {
    pub fn insert(&mut self, name: &str, now_ms: u64) {
        self.expires_ms.insert(name.into(), now_ms + REMOVED_KEPT_MS);
    }

    /// Forgets the daemons that were removed long ago.
    pub fn forget_expired(&mut self, now_ms: u64) {
        self.expires_ms.retain(|_, expires_ms| now_ms < *expires_ms);
    }

    /// Records that the store has a record of the daemon.
    pub fn remove(&mut self, name: &str) {
        self.expires_ms.remove(name);
    }

    pub fn contains(&self, name: &str, now_ms: u64) -> bool {
        self.expires_ms.get(name).is_some_and(|expires_ms| now_ms < *expires_ms)
    }
}
