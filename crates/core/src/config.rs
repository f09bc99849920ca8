//! The configuration at one version: both tables, recent edits and refused versions.

use crate::check::check_tables;
use crate::code::ResultCode;
use crate::digest::digest_hex;
use crate::row::{Pool, Route, TableName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// Maximum number of recent edits that a configuration lists, so that a repeated edit is detected
/// by its id.
pub const RECENT_EDITS_MAX: usize = 1_024;

/// Maximum number of refused versions that a configuration lists, for the `status` command.
pub const RECENT_REFUSALS_MAX: usize = 32;

/// Maximum length of a refusal's reason, in characters.
const REASON_CHARS_MAX: usize = 300;

/// A table row with the version that last changed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row<T> {
    pub changed_in: u64,
    pub value: T,
}

/// The two tables. Routes refer to pools by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tables {
    pub routes: BTreeMap<Arc<str>, Arc<Row<Route>>>,
    pub pools: BTreeMap<Arc<str>, Arc<Row<Pool>>>,
}

impl Tables {
    pub fn digest(&self) -> String {
        digest_hex(self)
    }

    /// The size of the tables as encoded in a snapshot, in bytes.
    pub fn encoded_bytes(&self) -> usize {
        let mut counter = ByteCounter::default();
        serde_json::to_writer(&mut counter, self).expect("counting cannot fail");
        counter.bytes
    }

    /// The version that last changed a row, or 0 when there is no such row.
    pub fn row_version(&self, table: TableName, name: &str) -> u64 {
        match table {
            TableName::Routes => self.routes.get(name).map_or(0, |row| row.changed_in),
            TableName::Pools => self.pools.get(name).map_or(0, |row| row.changed_in),
        }
    }
}

/// Counts the bytes written to it, without storing them.
#[derive(Default)]
struct ByteCounter {
    bytes: usize,
}

impl std::io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.bytes += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The id and the author of an accepted edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditMeta {
    pub edit_id: Arc<str>,
    pub author: Arc<str>,
}

/// Why a version or an edit is refused. Every daemon gives the same reason for the same input.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{reason} ({} {code})", code.number())]
pub struct Refusal {
    pub code: ResultCode,
    pub reason: String,
}

impl Refusal {
    /// Refusals are stored and sent to other daemons, so the reason is truncated to
    /// `REASON_CHARS_MAX`.
    pub fn new(code: ResultCode, reason: impl Into<String>) -> Self {
        let reason: String = reason.into();
        Self { code, reason: reason.chars().take(REASON_CHARS_MAX).collect() }
    }
}

/// The whole state of the configuration at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    pub version: u64,
    pub tables: Tables,
    /// Recent accepted edits by version, at most [`RECENT_EDITS_MAX`].
    pub edits: BTreeMap<u64, EditMeta>,
    /// Recent refused versions, at most [`RECENT_REFUSALS_MAX`].
    pub refusals: BTreeMap<u64, Refusal>,
}

impl Config {
    /// The version that an edit became, if it is among the recent ones.
    pub fn version_of_edit(&self, edit_id: &str) -> Option<u64> {
        self.edits.iter().rev().find(|(_, meta)| &*meta.edit_id == edit_id).map(|(v, _)| *v)
    }

    /// Panics if the tables are not valid. A daemon must never apply such a configuration.
    pub fn assert_valid(&self) {
        let checked = check_tables(&self.tables);
        assert!(
            checked.is_ok(),
            "version {} was applied but is not valid: {checked:?}",
            self.version
        );
    }
}

/// A configuration as it is stored in the platform's store, and sent to daemons that are too far
/// behind to receive single edits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    pub digest: String,
    pub config: Config,
}
