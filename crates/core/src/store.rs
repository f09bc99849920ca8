//! Requests to the platform's object store, its replies, and the keys of the objects in it.
//!
//! The store offers object versions, conditional writes, lists and watches. This crate only decides
//! which requests to make; the process sends them, see `docs/PLATFORM.md`.

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use thiserror::Error;

/// The prefix of the keys of edits. A key ends in the version, padded so that keys sort by version.
pub const EDITS_PREFIX: &str = "config/edits/";
/// The prefix of the keys of snapshots, which end in the version in the same way.
pub const SNAPSHOTS_PREFIX: &str = "config/snapshots/";
/// The key of the compacted version: edits up to this version are deleted or about to be.
pub const COMPACTED_KEY: &str = "config/collected";
/// The prefix of the keys of relay leases, which end in the region, the zone and the number of the
/// lease.
pub const RELAYS_PREFIX: &str = "roles/relays/";
/// The prefix of the keys of region leader leases, which name the region.
pub const LEADERS_PREFIX: &str = "roles/leads/";

/// An object with the version that the store gave it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    pub key: Arc<str>,
    pub object_version: u64,
    pub value: Arc<str>,
}

/// A request to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOp {
    Get {
        key: Arc<str>,
    },
    /// Writes only if the object's version is `expected_version`, 0 for an object that is absent.
    Put {
        key: Arc<str>,
        value: Arc<str>,
        expected_version: u64,
    },
    Delete {
        key: Arc<str>,
    },
    /// Lists at most `limit` objects under a prefix in key order, from the key after `start_after`.
    List {
        prefix: Arc<str>,
        start_after: Option<Arc<str>>,
        limit: u32,
    },
    /// Waits up to `wait_ms` for objects under a prefix to change after a revision of the store.
    Watch {
        prefix: Arc<str>,
        after_revision: u64,
        wait_ms: u32,
    },
}

/// A reply of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The object that was requested.
    Object(StoredObject),
    /// The object does not exist.
    Absent,
    Written {
        object_version: u64,
    },
    /// The condition did not hold; nothing was written.
    Conflict,
    /// The result of a list, with the store's revision at that time.
    Listed {
        objects: Vec<StoredObject>,
        revision: u64,
    },
    /// The objects that changed during a watch, and the revision to watch from next.
    Changed {
        objects: Vec<StoredObject>,
        revision: u64,
    },
}

/// The store gave no usable reply. If the request was a write, it may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("the platform's store gave no answer: {reason}")]
pub struct StoreFailure {
    pub reason: String,
}

/// The key of the edit of a version.
pub fn edit_key(version: u64) -> Arc<str> {
    format!("{EDITS_PREFIX}{version:020}").into()
}

/// The key of the snapshot at a version.
pub fn snapshot_key(version: u64) -> Arc<str> {
    format!("{SNAPSHOTS_PREFIX}{version:020}").into()
}

/// The version in a key of the form that [`edit_key`] and [`snapshot_key`] return, or nothing for
/// any other key.
pub fn version_of_key(prefix: &str, key: &str) -> Option<u64> {
    let digits = key.strip_prefix(prefix)?;
    if digits.len() != 20 {
        return None;
    }
    digits.parse().ok()
}
