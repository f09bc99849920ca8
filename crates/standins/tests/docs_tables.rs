//! Every code and event of the source has its row in docs/, and no row lacks its code.

use pomeloreach_core::code::ResultCode;
use pomeloreach_core::event::Event;
use std::collections::BTreeSet;
use std::path::PathBuf;
use strum::IntoEnumIterator;

/// The first cells of the rows of a page that begin with a number, with the second cells.
fn rows(page: &str) -> BTreeSet<(u16, String)> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(page);
    let text = std::fs::read_to_string(path).unwrap();
    let cells = text.lines().filter_map(|line| {
        let mut cells = line.strip_prefix("| ")?.split(" | ");
        Some((cells.next()?.parse().ok()?, cells.next()?.to_string()))
    });
    cells.filter(|(number, _)| *number >= 100).collect()
}

#[test]
fn error_rows() {
    let codes = ResultCode::iter().map(|code| (code.number(), code.to_string())).collect();
    assert_eq!(rows("ERRORS.md"), codes);
}

#[test]
fn event_rows() {
    let events = Event::iter().map(|event| (event.number(), event.to_string())).collect();
    assert_eq!(rows("EVENTS.md"), events);
}
