//! The part of the configuration log that a daemon holds: the configuration at one version, which
//! is called the version held, and the recent edits up to it.
//!
//! The version only increases, by one with each edit or to that of a snapshot, see
//! `docs/CONFIGURATION.md`.

use crate::code::ResultCode;
use crate::config::{Config, Refusal, Snapshot};
use crate::edit::{VALUE_BYTES_MAX, next_config};
use std::collections::VecDeque;
use std::sync::Arc;

/// Most edits kept to send to daemons that lack only the last few.
const CATCH_UP_EDITS_MAX: usize = 256;

/// Most bytes of edits kept to send to daemons that lack only the last few.
const CATCH_UP_BYTES_MAX: usize = 2_000_000;

/// The highest version accepted in a snapshot, so that later versions cannot overflow.
const VERSION_MAX: u64 = 1 << 53;

/// The result of [`ConfigLog::apply_edit`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditOutcome {
    /// The version is not newer than the one held.
    Stale,
    /// Versions between the one held and this one are missing.
    Gap,
    /// The version is now held, with the changes of its edit.
    Applied,
    /// The version is now held, but its edit was not valid and changed no row.
    Refused(Refusal),
}

/// What to send to a daemon at an older version to bring it to the version held here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatchUp {
    /// The missing edits by version, each encoded as in the store.
    Edits(Vec<(u64, Arc<[u8]>)>),
    /// An encoded [`Snapshot`].
    Snapshot(Arc<[u8]>),
}

/// The configuration held, and what is needed to bring other daemons to its version.
#[derive(Clone, Debug, Default)]
pub struct ConfigLog {
    config: Arc<Config>,
    /// The last edits up to the version held, without a gap; empty right after a snapshot.
    recent_edits: VecDeque<(u64, Arc<[u8]>)>,
    recent_bytes: usize,
    /// The encoded snapshot of `config`, if it has been needed since `config` last changed.
    encoded_snapshot: Option<Arc<[u8]>>,
}

impl ConfigLog {
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    pub fn version(&self) -> u64 {
        self.config.version
    }

    /// Applies the edit of one version. If it is not valid, the version still increases, but no row
    /// changes.
    pub fn apply_edit(&mut self, version: u64, raw: &Arc<[u8]>) -> EditOutcome {
        if version <= self.version() {
            return EditOutcome::Stale;
        }
        if version != self.version() + 1 {
            return EditOutcome::Gap;
        }
        let next = next_config(&self.config, version, raw);
        let refusal = next.refusals.get(&version).cloned();
        self.set_config(next);
        self.keep_edit(version, raw.clone());
        refusal.map_or(EditOutcome::Applied, EditOutcome::Refused)
    }

    /// Replaces the configuration with that of a snapshot if it is newer and passes every check.
    /// Returns whether it did. `key_version` is the version in the key of a snapshot from the
    /// store, which must be that of the snapshot.
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
        if version > VERSION_MAX || key_version.is_some_and(|expected| expected != version) {
            let reason = format!("the snapshot says version {version}, its key {key_version:?}");
            return Err(Refusal::new(ResultCode::VersionUndecodable, reason));
        }
        let digest = snapshot.config.tables.digest();
        if digest != snapshot.digest {
            let reason = format!("the tables' digest is {digest}, it says {}", snapshot.digest);
            return Err(Refusal::new(ResultCode::VersionDigestMismatch, reason));
        }
        crate::check::check_tables(&snapshot.config.tables)?;
        self.set_config(snapshot.config);
        self.recent_edits.clear();
        self.recent_bytes = 0;
        Ok(true)
    }

    fn set_config(&mut self, next: Config) {
        assert!(next.version > self.version(), "the version held must increase");
        next.assert_valid();
        self.config = Arc::new(next);
        self.encoded_snapshot = None;
    }

    /// Keeps an edit for other daemons, and drops the oldest ones over the limits.
    fn keep_edit(&mut self, version: u64, raw: Arc<[u8]>) {
        self.recent_bytes += raw.len();
        self.recent_edits.push_back((version, raw));
        while self.recent_edits.len() > CATCH_UP_EDITS_MAX || self.recent_bytes > CATCH_UP_BYTES_MAX
        {
            let Some((_, dropped)) = self.recent_edits.pop_front() else { break };
            self.recent_bytes -= dropped.len();
        }
    }

    /// The encoded snapshot of the configuration held; it is encoded once for each version.
    pub fn snapshot(&mut self) -> Arc<[u8]> {
        if let Some(encoded) = &self.encoded_snapshot {
            return encoded.clone();
        }
        let snapshot =
            Snapshot { digest: self.config.tables.digest(), config: (*self.config).clone() };
        let raw = serde_json::to_vec(&snapshot).expect("a snapshot is always encodable");
        let encoded: Arc<[u8]> = raw.into();
        self.encoded_snapshot = Some(encoded.clone());
        encoded
    }

    /// What to send to a daemon at `from_version`, or nothing if it is up to date.
    ///
    /// A snapshot is sent if some of the missing edits are no longer kept, if more than one is
    /// missing and they exceed [`VALUE_BYTES_MAX`], or if more than 8 are missing and the snapshot
    /// is smaller.
    pub fn catch_up(&mut self, from_version: u64) -> Option<CatchUp> {
        if from_version >= self.version() {
            return None;
        }
        let first_kept_version = self.recent_edits.front().map(|(version, _)| *version);
        if first_kept_version.is_none_or(|first| first > from_version + 1) {
            return Some(CatchUp::Snapshot(self.snapshot()));
        }
        let missing: Vec<_> = self
            .recent_edits
            .iter()
            .filter(|(version, _)| *version > from_version)
            .cloned()
            .collect();
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
