//! Reads and changes single rows of either table.

use crate::client::Client;
use crate::error::CliError;
use crate::print;
use crate::table_files::read_yaml;
use pomeloreach_core::edit::Change;
use pomeloreach_core::row::TableName;
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;

/// Prints one row, or the complete table if `name` is `None`.
pub fn get(
    client: Client,
    table: TableName,
    name: Option<&str>,
    as_json: bool,
) -> Result<(), CliError> {
    let tables = client.config()?.tables;
    match table {
        TableName::Routes => {
            let rows = tables.routes.iter().map(|(name, row)| (name.clone(), row.value.clone()));
            print_rows(table, rows.collect(), name, as_json)
        }
        TableName::Pools => {
            let rows = tables.pools.iter().map(|(name, row)| (name.clone(), row.value.clone()));
            print_rows(table, rows.collect(), name, as_json)
        }
    }
}

fn print_rows<T: Serialize>(
    table: TableName,
    mut rows: BTreeMap<Arc<str>, T>,
    name: Option<&str>,
    as_json: bool,
) -> Result<(), CliError> {
    if let Some(name) = name {
        if !rows.contains_key(name) {
            return Err(CliError::RowNotFound(name.to_string()));
        }
        rows.retain(|row_name, _| &**row_name == name);
    }
    if as_json {
        return print::json(&rows);
    }
    let file = BTreeMap::from([(table.to_string(), rows)]);
    let yaml = serde_saphyr::to_string(&file).expect("rows can always be encoded as YAML");
    print::text(&yaml)
}

/// Sets one row from a YAML file that holds its fields.
pub fn set(
    client: Client,
    table: TableName,
    name: &str,
    path: &Path,
    edit_id: Option<String>,
    as_json: bool,
) -> Result<(), CliError> {
    let expected_in = client.config()?.tables.row_version(table, name);
    let name: Arc<str> = name.into();
    let change = match table {
        TableName::Routes => Change::SetRoute { name, expected_in, route: read_yaml(path)? },
        TableName::Pools => Change::SetPool { name, expected_in, pool: read_yaml(path)? },
    };
    print::edit_response(&client.edit(vec![change], edit_id)?, as_json)
}

/// Deletes one row.
pub fn delete(
    client: Client,
    table: TableName,
    name: &str,
    edit_id: Option<String>,
    as_json: bool,
) -> Result<(), CliError> {
    let expected_in = client.config()?.tables.row_version(table, name);
    // With an edit id, an earlier run may have deleted the row; the daemon recognises the id.
    if expected_in == 0 && edit_id.is_none() {
        return Err(CliError::RowNotFound(name.to_string()));
    }
    let name: Arc<str> = name.into();
    let change = match table {
        TableName::Routes => Change::DeleteRoute { name, expected_in },
        TableName::Pools => Change::DeletePool { name, expected_in },
    };
    print::edit_response(&client.edit(vec![change], edit_id)?, as_json)
}
