//! Reads table files, which hold rows of one or both tables as YAML, and compares them with the
//! tables in force.

use crate::error::CliError;
use pomeloreach_core::check::{PUBLIC_ROUTE_REASON, check_tables};
use pomeloreach_core::config::{Config, Row, Tables};
use pomeloreach_core::edit::Change;
use pomeloreach_core::row::{Pool, Route};
use serde::de::{DeserializeOwned, IgnoredAny};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The rows of one or several table files. A table that no file names is `None` and stays as it is.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TableFile {
    #[serde(default)]
    pub routes: Option<BTreeMap<Arc<str>, Route>>,
    #[serde(default)]
    pub pools: Option<BTreeMap<Arc<str>, Pool>>,
    /// Only read to refuse files with client accounts for the right reason.
    #[serde(default, skip_serializing)]
    accounts: Option<IgnoredAny>,
}

/// Reads a YAML file as a value of type `T`.
pub fn read_yaml<T: DeserializeOwned>(path: &Path) -> Result<T, CliError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| CliError::ReadFile { path: path.to_path_buf(), source })?;
    serde_saphyr::from_str(&text)
        .map_err(|error| CliError::BadFile { path: path.to_path_buf(), reason: error.to_string() })
}

/// Reads files and merges their rows. Each row may be in one file only.
pub fn read_table_files(paths: &[PathBuf]) -> Result<TableFile, CliError> {
    let mut merged = TableFile::default();
    for path in paths {
        let file: TableFile = read_yaml(path)?;
        refuse_accounts(&file, path)?;
        merge(&mut merged.routes, file.routes, path)?;
        merge(&mut merged.pools, file.pools, path)?;
    }
    Ok(merged)
}

/// Refuses what depends on client accounts, which only a platform that keeps the configuration has.
fn refuse_accounts(file: &TableFile, path: &Path) -> Result<(), CliError> {
    let bad_file = |reason| Err(CliError::BadFile { path: path.to_path_buf(), reason });
    if file.accounts.is_some() {
        return bad_file("these tables have no client accounts".to_string());
    }
    let public_route = file.routes.iter().flatten().find(|(_, route)| route.is_public);
    match public_route {
        Some((name, _)) => bad_file(format!("route '{name}': {PUBLIC_ROUTE_REASON}")),
        None => Ok(()),
    }
}

/// Adds the rows of one file to the rows of the files before it.
fn merge<T>(
    merged: &mut Option<BTreeMap<Arc<str>, T>>,
    rows: Option<BTreeMap<Arc<str>, T>>,
    path: &Path,
) -> Result<(), CliError> {
    let Some(rows) = rows else { return Ok(()) };
    let merged = merged.get_or_insert_default();
    for (name, row) in rows {
        if merged.insert(name.clone(), row).is_some() {
            let reason = format!("row '{name}' is also in another file");
            return Err(CliError::BadFile { path: path.to_path_buf(), reason });
        }
    }
    Ok(())
}

/// Checks the rows as if no other rows existed.
pub fn check_table_file(file: &TableFile) -> Result<(), CliError> {
    let routes = file.routes.iter().flatten();
    let pools = file.pools.iter().flatten();
    let tables = Tables {
        routes: routes.map(|(name, row)| (name.clone(), unversioned_row(row))).collect(),
        pools: pools.map(|(name, row)| (name.clone(), unversioned_row(row))).collect(),
    };
    check_tables(&tables).map_err(CliError::BadTables)
}

/// A row that is in no published version yet.
fn unversioned_row<T: Clone>(value: &T) -> Arc<Row<T>> {
    Arc::new(Row { changed_in: 0, value: value.clone() })
}

/// The changes that make the tables in force equal to the files. Rows that are missing from the
/// files are deleted only if `prune` is set.
pub fn diff_tables(config: &Config, file: &TableFile, prune: bool) -> Vec<Change> {
    let tables = &config.tables;
    let mut changes = Vec::new();
    for (name, pool) in file.pools.iter().flatten() {
        let current = tables.pools.get(name);
        if current.is_none_or(|row| row.value != *pool) {
            let expected_in = current.map_or(0, |row| row.changed_in);
            changes.push(Change::SetPool { name: name.clone(), expected_in, pool: pool.clone() });
        }
    }
    for (name, route) in file.routes.iter().flatten() {
        let current = tables.routes.get(name);
        if current.is_none_or(|row| row.value != *route) {
            let expected_in = current.map_or(0, |row| row.changed_in);
            let route = route.clone();
            changes.push(Change::SetRoute { name: name.clone(), expected_in, route });
        }
    }
    if prune {
        changes.extend(deletions(config, file));
    }
    changes
}

/// The changes that delete the rows missing from the files, in each table that the files name.
fn deletions(config: &Config, file: &TableFile) -> Vec<Change> {
    let tables = &config.tables;
    let mut changes = Vec::new();
    if let Some(wanted) = &file.routes {
        let obsolete = tables.routes.iter().filter(|(name, _)| !wanted.contains_key(*name));
        changes.extend(obsolete.map(|(name, row)| Change::DeleteRoute {
            name: name.clone(),
            expected_in: row.changed_in,
        }));
    }
    if let Some(wanted) = &file.pools {
        let obsolete = tables.pools.iter().filter(|(name, _)| !wanted.contains_key(*name));
        changes.extend(obsolete.map(|(name, row)| Change::DeletePool {
            name: name.clone(),
            expected_in: row.changed_in,
        }));
    }
    changes
}
