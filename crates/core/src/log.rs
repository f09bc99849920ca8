//! The versions that a daemon holds: the configuration in force and the recent edits behind it.
//!
//! Versions only move up, one at a time or by a whole snapshot, see `docs/CONFIGURATION.md`.

use crate::code::ResultCode;
use crate::config::{Config, Refusal, Snapshot};
use crate::edit::{VALUE_BYTES_MAX, next_config};
use std::collections::VecDeque;
use std::sync::Arc;

/// Edits kept for daemons that are a little behind.
const TAIL_EDITS_MAX: usize = 256;

/// Bytes of edits kept for daemons that are a little behind.
const TAIL_BYTES_MAX: usize = 2_000_000;

/// The highest version that a snapshot may claim, so that versions can always be counted on.
const VERSION_MAX: u64 = 1 << 53;

/// What became of a version that was offered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditOutcome {
    /// The version is not newer than the one held.
    Stale,
    /// Versions between the one held and this one are missing.
    Gap,
    Applied,
    Refused(Refusal),
}

/// What brings a daemon from an older version to the one held here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatchUp {
    Edits(Vec<(u64, Arc<[u8]>)>),
    Snapshot(Arc<[u8]>),
}

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub struct ConfigLog {
    config: Arc<Config>,
    tail: VecDeque<(u64, Arc<[u8]>)>,
    tail_bytes: usize,
    snapshot: Option<Arc<[u8]>>,
}

impl ConfigLog {
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    pub fn version(&self) -> u64 {
        self.config.version
    }

    /// Takes in one version of the log. A bad one is passed over whole.
    pub fn apply_edit(&mut self, version: u64, raw: &Arc<[u8]>) -> EditOutcome {
        if version <= self.version() {
            return EditOutcome::Stale;
        }
        if version != self.version() + 1 {
            return EditOutcome::Gap;
        }
        let next = next_config(&self.config, version, raw);
        let refusal = next.refusals.get(&version).cloned();
        self.replace(next);
        self.remember(version, raw.clone());
        refusal.map_or(EditOutcome::Applied, EditOutcome::Refused)
    }

    /// Takes in a whole configuration if it is newer than the one held and passes every check. One
    /// from the store must be of the version that its key names.
    pub fn apply_snapshot(
        &mut self,
        raw: &[u8],
        key_version: Option<u64>,
    ) -> Result<bool, Refusal> {
        let snapshot: Snapshot = serde_json::from_slice(raw).map_err(|error| {
            Refusal::new(ResultCode::VersionUndecodable, format!("not a snapshot: {error}"))
        })?;
        if snapshot.config.version <= self.version() {
            return Ok(false);
        }
        let version = snapshot.config.version;
        if version > VERSION_MAX || key_version.is_some_and(|named| named != version) {
            let reason = format!("the snapshot says version {version}, its key {key_version:?}");
            return Err(Refusal::new(ResultCode::VersionUndecodable, reason));
        }
        let digest = snapshot.config.tables.digest();
        if digest != snapshot.digest {
            let reason = format!("the tables' digest is {digest}, it says {}", snapshot.digest);
            return Err(Refusal::new(ResultCode::VersionDigestMismatch, reason));
        }
        crate::check::check_tables(&snapshot.config.tables)?;
        self.replace(snapshot.config);
        self.tail.clear();
        self.tail_bytes = 0;
        Ok(true)
    }

    fn replace(&mut self, next: Config) {
        assert!(next.version > self.version(), "a version never moves back");
        next.assert_whole();
        self.config = Arc::new(next);
        self.snapshot = None;
    }

    fn remember(&mut self, version: u64, raw: Arc<[u8]>) {
        self.tail_bytes += raw.len();
        self.tail.push_back((version, raw));
        while self.tail.len() > TAIL_EDITS_MAX || self.tail_bytes > TAIL_BYTES_MAX {
            let Some((_, dropped)) = self.tail.pop_front() else { break };
            self.tail_bytes -= dropped.len();
        }
    }

    /// The whole configuration, encoded once for all who need it.
    pub fn snapshot(&mut self) -> Arc<[u8]> {
        if let Some(encoded) = &self.snapshot {
            return encoded.clone();
        }
        let snapshot =
            Snapshot { digest: self.config.tables.digest(), config: (*self.config).clone() };
        let raw = serde_json::to_vec(&snapshot).expect("a snapshot is always encodable");
        let encoded: Arc<[u8]> = raw.into();
        self.snapshot = Some(encoded.clone());
        encoded
    }

    /// The smaller of the missing edits and a snapshot, or nothing for one who is up to date.
    pub fn catch_up(&mut self, from_version: u64) -> Option<CatchUp> {
        if from_version >= self.version() {
            return None;
        }
        let first_kept = self.tail.front().map(|(version, _)| *version);
        if first_kept.is_none_or(|first| first > from_version + 1) {
            return Some(CatchUp::Snapshot(self.snapshot()));
        }
        let missing: Vec<_> =
            self.tail.iter().filter(|(version, _)| *version > from_version).cloned().collect();
        let missing_bytes: usize = missing.iter().map(|(_, raw)| raw.len()).sum();
        if missing.len() > 1 && missing_bytes > VALUE_BYTES_MAX {
            return Some(CatchUp::Snapshot(self.snapshot()));
        }
        if missing.len() > 8 && missing_bytes > self.snapshot().len() {
            return Some(CatchUp::Snapshot(self.snapshot()));
        }
        Some(CatchUp::Edits(missing))
    }
}
