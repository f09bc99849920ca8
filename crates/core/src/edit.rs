//! Edits: sets of row changes, in one or both tables, that are applied atomically.

use crate::check::{NAME_CHARS_MAX, check_tables};
use crate::code::ResultCode;
use crate::config::{
    Config, EditMeta, RECENT_EDITS_MAX, RECENT_REFUSALS_MAX, Refusal, Row, Tables,
};
use crate::row::{Pool, Route, TableName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The largest value of an object in the store, in bytes. It limits edits and snapshots.
pub const VALUE_BYTES_MAX: usize = 900_000;

/// The largest encoding of both tables, in bytes. A snapshot also holds the recent edits and
/// refusals, and must not exceed [`VALUE_BYTES_MAX`].
pub const TABLES_BYTES_MAX: usize = 650_000;

/// A change of one row, identified by its table and name.
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

    /// The version that last changed the row when the editor read it, 0 if it did not exist. The
    /// edit is refused if the row has changed since.
    pub fn expected_in(&self) -> u64 {
        match self {
            Self::SetRoute { expected_in, .. }
            | Self::DeleteRoute { expected_in, .. }
            | Self::SetPool { expected_in, .. }
            | Self::DeletePool { expected_in, .. } => *expected_in,
        }
    }
}

/// An edit as an operator submits it, before it has a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditRequest {
    /// Chosen by the operator's command; the same id is never applied twice.
    pub edit_id: Arc<str>,
    pub author: Arc<str>,
    pub changes: Vec<Change>,
    /// Whether this edit was submitted before and its outcome is unknown.
    #[serde(default)]
    pub asked_before: bool,
}

/// One version of the log, as it is kept in the store under the key of its version.
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
    /// Builds the edit that follows a configuration, and its encoding.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request is not valid for that configuration.
    pub fn build(base: &Config, request: &EditRequest) -> Result<(Self, Vec<u8>), Refusal> {
        let version = base.version + 1;
        let id_and_author = [&request.edit_id, &request.author];
        let tables = apply_changes(base, version, id_and_author, &request.changes)?;
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

    /// Decodes the edit of a version, checks it against the configuration before it, and returns it
    /// with the tables after it.
    fn decode(base: &Config, version: u64, raw: &[u8]) -> Result<(Self, Tables), Refusal> {
        check_size(raw.len())?;
        let edit: Self = serde_json::from_slice(raw).map_err(|error| {
            Refusal::new(ResultCode::VersionUndecodable, format!("not an edit: {error}"))
        })?;
        if edit.version != version {
            let reason = format!("the edit says version {}, its key {version}", edit.version);
            return Err(Refusal::new(ResultCode::VersionUndecodable, reason));
        }
        let id_and_author = [&edit.edit_id, &edit.author];
        let tables = apply_changes(base, version, id_and_author, &edit.changes)?;
        let digest = tables.digest();
        if digest != edit.digest {
            let reason = format!("the tables' digest is {digest}, the edit says {}", edit.digest);
            return Err(Refusal::new(ResultCode::VersionDigestMismatch, reason));
        }
        Ok((edit, tables))
    }
}

/// The configuration after the next version of the log. If its edit is not valid, the refusal is
/// recorded and no row changes.
pub fn next_config(base: &Config, version: u64, raw: &[u8]) -> Config {
    assert_eq!(version, base.version + 1, "versions must be applied in order, without a gap");
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

fn check_size(encoded_bytes: usize) -> Result<(), Refusal> {
    if encoded_bytes <= VALUE_BYTES_MAX {
        return Ok(());
    }
    let reason = format!("{encoded_bytes} bytes are more than {VALUE_BYTES_MAX}");
    Err(Refusal::new(ResultCode::VersionTooLarge, reason))
}

/// Checks an edit and returns the tables after its changes.
fn apply_changes(
    base: &Config,
    version: u64,
    [edit_id, author]: [&Arc<str>; 2],
    changes: &[Change],
) -> Result<Tables, Refusal> {
    if edit_id.is_empty() || edit_id.len() > NAME_CHARS_MAX || author.len() > NAME_CHARS_MAX {
        let reason = "an edit id has 1 to 63 characters, an author at most 63".to_string();
        return Err(Refusal::new(ResultCode::VersionRowOutOfBounds, reason));
    }
    if let Some(accepted_version) = base.version_of_edit(edit_id) {
        let reason = format!("edit '{edit_id}' is in force already as version {accepted_version}");
        return Err(Refusal::new(ResultCode::VersionEditRepeated, reason));
    }
    let mut tables = base.tables.clone();
    let mut changed_rows = BTreeSet::new();
    for change in changes {
        if !changed_rows.insert((change.table(), change.name().clone())) {
            let reason = format!("{} '{}' is changed twice", change.table(), change.name());
            return Err(Refusal::new(ResultCode::VersionRowRepeated, reason));
        }
        check_expected_version(base, change)?;
        apply_change(&mut tables, version, change);
    }
    check_tables(&tables)?;
    let encoded_bytes = tables.encoded_bytes();
    if encoded_bytes > TABLES_BYTES_MAX {
        let reason =
            format!("the tables would have {encoded_bytes} bytes, more than {TABLES_BYTES_MAX}");
        return Err(Refusal::new(ResultCode::VersionTooLarge, reason));
    }
    Ok(tables)
}

/// Checks that a row has not changed since the editor read it.
fn check_expected_version(base: &Config, change: &Change) -> Result<(), Refusal> {
    let changed_in = base.tables.row_version(change.table(), change.name());
    if changed_in == change.expected_in() {
        return Ok(());
    }
    let changed_by = match base.edits.get(&changed_in) {
        Some(meta) => format!("by edit '{}' of {}", meta.edit_id, meta.author),
        None if changed_in == 0 => "by an edit that removed it".to_string(),
        None => "by an older edit".to_string(),
    };
    let reason = format!(
        "{} '{}' was changed in version {changed_in} {changed_by}, the edit expects version {}",
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
