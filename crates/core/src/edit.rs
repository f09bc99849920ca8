//! Edits: row changes of either or both tables that take effect together or not at all.

use crate::check::{NAME_CHARS_MAX, check_tables};
use crate::code::ResultCode;
use crate::config::{
    Config, EditMeta, RECENT_EDITS_MAX, RECENT_REFUSALS_MAX, Refusal, Row, Tables,
};
use crate::row::{Pool, Route, TableName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The largest edit or snapshot that is kept in the store, in bytes.
pub const VALUE_BYTES_MAX: usize = 900_000;

/// The largest tables, as they stand in a snapshot, in bytes. A snapshot also holds the recent edits
/// and refusals, and must fit a value of the store.
pub const TABLES_BYTES_MAX: usize = 650_000;

/// What becomes of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Change {
    SetRoute { name: Arc<str>, expected_in: u64, route: Route },
    DeleteRoute { name: Arc<str>, expected_in: u64 },
    SetPool { name: Arc<str>, expected_in: u64, pool: Pool },
    DeletePool { name: Arc<str>, expected_in: u64 },
}

impl Change {
    pub fn table(&self) -> TableName {
        match self {
            Self::SetRoute { .. } | Self::DeleteRoute { .. } => TableName::Routes,
            Self::SetPool { .. } | Self::DeletePool { .. } => TableName::Pools,
        }
    }

    pub fn name(&self) -> &Arc<str> {
        match self {
            Self::SetRoute { name, .. }
            | Self::DeleteRoute { name, .. }
            | Self::SetPool { name, .. }
            | Self::DeletePool { name, .. } => name,
        }
    }

    /// The version in which the editor saw the row change last, 0 for a row that did not exist.
    pub fn expected_in(&self) -> u64 {
        match self {
            Self::SetRoute { expected_in, .. }
            | Self::DeleteRoute { expected_in, .. }
            | Self::SetPool { expected_in, .. }
            | Self::DeletePool { expected_in, .. } => *expected_in,
        }
    }
}

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditRequest {
    /// Chosen by the operator's command; the same id is never applied twice.
    pub edit_id: Arc<str>,
    pub author: Arc<str>,
    pub changes: Vec<Change>,
    /// Whether the edit was asked for before, with an unknown outcome.
    #[serde(default)]
    pub asked_before: bool,
}

/// One version of the log, as it is kept in the store under its number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    pub version: u64,
    pub edit_id: Arc<str>,
    pub author: Arc<str>,
    /// The digest of both tables after this edit.
    pub digest: String,
    pub changes: Vec<Change>,
}

impl Edit {
    /// Builds the edit that follows a configuration, or says why there can be none.
    pub fn build(base: &Config, request: &EditRequest) -> Result<(Self, Vec<u8>), Refusal> {
        let version = base.version + 1;
        let marks = [&request.edit_id, &request.author];
        let tables = changed_tables(base, version, marks, &request.changes)?;
        let edit = Self {
            version,
            edit_id: request.edit_id.clone(),
            author: request.author.clone(),
            digest: tables.digest(),
            changes: request.changes.clone(),
        };
        let raw = serde_json::to_vec(&edit).expect("an edit is always encodable");
        check_size(raw.len())?;
        Ok((edit, raw))
    }

    /// Decodes and checks what the store holds under a version, against the one before it.
    fn decode(base: &Config, version: u64, raw: &[u8]) -> Result<(Self, Tables), Refusal> {
        check_size(raw.len())?;
        let edit: Self = serde_json::from_slice(raw).map_err(|error| {
            Refusal::new(ResultCode::VersionUndecodable, format!("not an edit: {error}"))
        })?;
        if edit.version != version {
            let reason = format!("the edit says version {}, its key {version}", edit.version);
            return Err(Refusal::new(ResultCode::VersionUndecodable, reason));
        }
        let marks = [&edit.edit_id, &edit.author];
        let tables = changed_tables(base, version, marks, &edit.changes)?;
        let digest = tables.digest();
        if digest != edit.digest {
            let reason = format!("the tables' digest is {digest}, the edit says {}", edit.digest);
            return Err(Refusal::new(ResultCode::VersionDigestMismatch, reason));
        }
        Ok((edit, tables))
    }
}

/// The configuration after one more version of the log. A bad version changes no row.
pub fn next_config(base: &Config, version: u64, raw: &[u8]) -> Config {
    assert_eq!(version, base.version + 1, "versions apply one after the other");
    let mut next = base.clone();
    next.version = version;
    match Edit::decode(base, version, raw) {
        Ok((edit, tables)) => {
            next.tables = tables;
            next.edits.insert(version, EditMeta { edit_id: edit.edit_id, author: edit.author });
            while next.edits.len() > RECENT_EDITS_MAX {
                next.edits.pop_first();
            }
        }
        Err(refusal) => {
            next.refusals.insert(version, refusal);
            while next.refusals.len() > RECENT_REFUSALS_MAX {
                next.refusals.pop_first();
            }
        }
    }
    next
}

fn check_size(bytes: usize) -> Result<(), Refusal> {
    if bytes <= VALUE_BYTES_MAX {
        return Ok(());
    }
    let reason = format!("{bytes} bytes are more than {VALUE_BYTES_MAX}");
    Err(Refusal::new(ResultCode::VersionTooLarge, reason))
}

fn changed_tables(
    base: &Config,
    version: u64,
    [edit_id, author]: [&Arc<str>; 2],
    changes: &[Change],
) -> Result<Tables, Refusal> {
    if edit_id.is_empty() || edit_id.len() > NAME_CHARS_MAX || author.len() > NAME_CHARS_MAX {
        let reason = "an edit id has 1 to 63 characters, an author at most 63".to_string();
        return Err(Refusal::new(ResultCode::VersionRowOutOfBounds, reason));
    }
    if let Some(earlier) = base.version_of_edit(edit_id) {
        let reason = format!("edit '{edit_id}' is in force already as version {earlier}");
        return Err(Refusal::new(ResultCode::VersionEditRepeated, reason));
    }
    let mut tables = base.tables.clone();
    let mut seen = BTreeSet::new();
    for change in changes {
        if !seen.insert((change.table(), change.name().clone())) {
            let reason = format!("{} '{}' is changed twice", change.table(), change.name());
            return Err(Refusal::new(ResultCode::VersionRowRepeated, reason));
        }
        check_expected(base, change)?;
        apply_change(&mut tables, version, change);
    }
    check_tables(&tables)?;
    let bytes = tables.encoded_bytes();
    if bytes > TABLES_BYTES_MAX {
        let reason = format!("the tables would have {bytes} bytes, more than {TABLES_BYTES_MAX}");
        return Err(Refusal::new(ResultCode::VersionTooLarge, reason));
    }
    Ok(tables)
}

fn check_expected(base: &Config, change: &Change) -> Result<(), Refusal> {
    let current_in = base.tables.row_version(change.table(), change.name());
    if current_in == change.expected_in() {
        return Ok(());
    }
    let by = match base.edits.get(&current_in) {
        Some(mark) => format!("by edit '{}' of {}", mark.edit_id, mark.author),
        None if current_in == 0 => "by an edit that removed it".to_string(),
        None => "by an older edit".to_string(),
    };
    let reason = format!(
        "{} '{}' was changed in version {current_in} {by}, the edit expects version {}",
        change.table(),
        change.name(),
        change.expected_in()
    );
    Err(Refusal::new(ResultCode::VersionRowChanged, reason))
}

fn apply_change(tables: &mut Tables, version: u64, change: &Change) {
    match change {
        Change::SetRoute { name, route, .. } => {
            let row = Row { changed_in: version, value: route.clone() };
            tables.routes.insert(name.clone(), Arc::new(row));
        }
        Change::DeleteRoute { name, .. } => {
            tables.routes.remove(name);
        }
        Change::SetPool { name, pool, .. } => {
            let row = Row { changed_in: version, value: pool.clone() };
            tables.pools.insert(name.clone(), Arc::new(row));
        }
        Change::DeletePool { name, .. } => {
            tables.pools.remove(name);
        }
    }
}
