//! Formats and prints the output of the commands: text for people, JSON for programs.

use crate::error::CliError;
use pomeloreach_core::api::{EditResponse, StatusResponse};
use pomeloreach_core::config::Config;
use pomeloreach_core::edit::Change;
use serde::Serialize;
use std::fmt::Write as _;
use std::io::{ErrorKind, Write};

/// Writes text to standard output. A closed pipe is not an error: the reader, such as `head`, needs
/// no more.
pub fn text(text: &str) -> Result<(), CliError> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(CliError::WriteOutput(error)),
        _ => Ok(()),
    }
}

/// Writes a value to standard output as indented JSON.
pub fn json<T: Serialize>(value: &T) -> Result<(), CliError> {
    let mut encoded =
        serde_json::to_string_pretty(value).expect("the output can always be encoded as JSON");
    encoded.push('\n');
    text(&encoded)
}

/// Formats a table whose columns are as wide as their widest cell.
pub fn format_table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = head.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let head: Vec<String> = head.iter().map(ToString::to_string).collect();
    let mut out = String::new();
    for row in std::iter::once(&head).chain(rows) {
        let mut line = String::new();
        for (width, cell) in widths.iter().zip(row) {
            write!(line, "{cell:width$}  ").expect("writing to a string cannot fail");
        }
        out.push_str(line.trim_end());
        out.push('\n');
    }
    out
}

/// Formats a change as one line, such as `add routes saw`.
pub fn format_change(change: &Change) -> String {
    let verb = match change {
        Change::SetRoute { expected_in: 0, .. } | Change::SetPool { expected_in: 0, .. } => "add",
        Change::SetRoute { .. } | Change::SetPool { .. } => "change",
        Change::DeleteRoute { .. } | Change::DeletePool { .. } => "delete",
    };
    format!("{verb} {} {}\n", change.table(), change.name())
}

/// Prints the daemon's response to an edit that is in force.
pub fn edit_response(response: &EditResponse, as_json: bool) -> Result<(), CliError> {
    if as_json {
        return json(response);
    }
    text(&format!("{} ({} {}).\n", response.reason, response.number, response.code))
}

/// Formats the version that each daemon holds, followed by a summary and the refused versions.
pub fn format_status(status: &StatusResponse) -> String {
    let rows: Vec<Vec<String>> = status
        .rows
        .iter()
        .map(|row| {
            let lag = status.newest_version.saturating_sub(row.version);
            vec![
                row.region.to_string(),
                row.zone.to_string(),
                row.instance.to_string(),
                row.role.to_string(),
                row.version.to_string(),
                lag.to_string(),
                if row.ready { "yes" } else { "no" }.to_string(),
            ]
        })
        .collect();
    let mut out =
        format_table(&["REGION", "ZONE", "INSTANCE", "ROLE", "VERSION", "BEHIND", "READY"], &rows);
    let current = status.rows.iter().filter(|row| row.version == status.newest_version).count();
    writeln!(
        out,
        "{current} of {} daemons hold version {}{}.",
        status.rows.len(),
        status.newest_version,
        if status.complete { "" } else { "; some daemons could not be asked" }
    )
    .expect("writing to a string cannot fail");
    for (version, refusal) in &status.refusals {
        writeln!(out, "Version {version} was refused: {refusal}.")
            .expect("writing to a string cannot fail");
    }
    out
}

/// Formats the accepted and refused versions that a configuration still lists, oldest first.
pub fn format_history(config: &Config) -> String {
    let mut rows: Vec<(u64, Vec<String>)> = Vec::new();
    for (version, mark) in &config.edits {
        let cells = ["accepted", &mark.edit_id, &mark.author].map(str::to_string).to_vec();
        rows.push((*version, cells));
    }
    for (version, refusal) in &config.refusals {
        let cells = vec!["refused".to_string(), String::new(), refusal.to_string()];
        rows.push((*version, cells));
    }
    rows.sort();
    let lines: Vec<Vec<String>> = rows
        .into_iter()
        .map(|(version, cells)| std::iter::once(version.to_string()).chain(cells).collect())
        .collect();
    format_table(&["VERSION", "OUTCOME", "EDIT", "AUTHOR OR REASON"], &lines)
}
