//! What is asked of the platform's object store, and its keys.
//!
//! The requests are the platform's own: versions, conditional writes, lists and watches. How they
//! travel is the process's business, see `docs/PLATFORM.md`.

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use thiserror::Error;

/// The prefix of all edits; a key ends in the version, padded so that keys sort by version.
pub const EDITS_PREFIX: &str = "config/edits/";
/// The prefix of all snapshots.
pub const SNAPSHOTS_PREFIX: &str = "config/snapshots/";
/// The object that says up to which version edits have been collected.
pub const COLLECTED_KEY: &str = "config/collected";
/// The prefix of the leases of relays, by region and zone.
pub const RELAYS_PREFIX: &str = "roles/relays/";
/// The prefix of the leases of region leads.
pub const LEADERS_PREFIX: &str = "roles/leads/";

/// One object with the version that the store gave it.
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
    /// Writes if the object's version is `expected_version`, 0 for an object that is absent.
    Put {
        key: Arc<str>,
        value: Arc<str>,
        expected_version: u64,
    },
    Delete {
        key: Arc<str>,
    },
    /// Objects under a prefix in key order, after a key, up to a limit.
    List {
        prefix: Arc<str>,
        start_after: Option<Arc<str>>,
        limit: u32,
    },
    /// Waits for a change under a prefix after a revision of the store.
    Watch {
        prefix: Arc<str>,
        after_revision: u64,
        wait_ms: u32,
    },
}

/// What the store says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    Object(StoredObject),
    Absent,
    Written {
        object_version: u64,
    },
    /// The condition did not hold; nothing was written.
    Conflict,
    Listed {
        objects: Vec<StoredObject>,
        revision: u64,
    },
    Changed {
        objects: Vec<StoredObject>,
        revision: u64,
    },
}

/// The store gave no answer that can be used; a write may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("the platform's store gave no answer: {reason}")]
pub struct StoreFailure {
    pub reason: String,
}

pub fn edit_key(version: u64) -> Arc<str> {
    format!("{EDITS_PREFIX}{version:020}").into()
}

pub fn snapshot_key(version: u64) -> Arc<str> {
    format!("{SNAPSHOTS_PREFIX}{version:020}").into()
}

/// The version in a key under a prefix, or nothing for a key that is not ours.
pub fn version_of_key(prefix: &str, key: &str) -> Option<u64> {
    let digits = key.strip_prefix(prefix)?;
    if digits.len() != 20 {
        return None;
    }
    digits.parse().ok()
}
