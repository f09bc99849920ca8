//! One whole configuration: both tables as they are after some version.

use crate::check::check_tables;
use crate::code::ResultCode;
use crate::digest::digest_hex;
use crate::row::{Pool, Route, TableName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// Edits that a configuration remembers by id, so that a repeated one is recognised.
pub const RECENT_EDITS_MAX: usize = 1_024;

/// Refused versions that a configuration remembers for `status`.
pub const RECENT_REFUSALS_MAX: usize = 32;

/// Characters of a refusal's reason.
const REASON_CHARS_MAX: usize = 300;

/// A row with the version that last changed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row<T> {
    pub changed_in: u64,
    pub value: T,
}

/// The two tables, joined by the names of pools.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tables {
    pub routes: BTreeMap<Arc<str>, Arc<Row<Route>>>,
    pub pools: BTreeMap<Arc<str>, Arc<Row<Pool>>>,
}

impl Tables {
    pub fn digest(&self) -> String {
        digest_hex(self)
    }

    /// The length of the tables as they stand in a snapshot, in bytes.
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

/// Who made an edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditMeta {
    pub edit_id: Arc<str>,
    pub author: Arc<str>,
}

/// Why a version or an edit is refused. The same input is refused for the same reason everywhere.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{reason} ({} {code})", code.number())]
pub struct Refusal {
    pub code: ResultCode,
    pub reason: String,
}

impl Refusal {
    /// A refusal is kept and passed on, so that its reason is cut to a bounded length.
    pub fn new(code: ResultCode, reason: impl Into<String>) -> Self {
        let reason: String = reason.into();
        Self { code, reason: reason.chars().take(REASON_CHARS_MAX).collect() }
    }
}

/// Everything that is in force at one version.
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
    pub fn version_of_edit(&self, edit_id: &str) -> Option<u64> {
        self.edits.iter().rev().find(|(_, mark)| &*mark.edit_id == edit_id).map(|(v, _)| *v)
    }

    /// Asserts what every configuration that a proxy holds must satisfy.
    pub fn assert_valid(&self) {
        let checked = check_tables(&self.tables);
        assert!(checked.is_ok(), "version {} is held but not valid: {checked:?}", self.version);
    }
}

/// A configuration as it is kept in the platform's store and sent to daemons that are far behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    pub digest: String,
    pub config: Config,
}
