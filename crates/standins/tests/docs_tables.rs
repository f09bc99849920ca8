//! Checks that the tables in docs/ list exactly the result codes and events of the source.

use pomeloreach_core::code::ResultCode;
use pomeloreach_core::event::Event;
use std::collections::BTreeSet;
use std::path::PathBuf;
use strum::IntoEnumIterator;

/// The first two cells of the table rows of a page that begin with a number of at least 100.
fn table_rows(page: &str) -> BTreeSet<(u16, String)> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(page);
    let text = std::fs::read_to_string(path).unwrap();
    let cells = text.lines().filter_map(|line| {
        let mut cells = line.strip_prefix("| ")?.split(" | ");
        Some((cells.next()?.parse().ok()?, cells.next()?.to_string()))
    });
    cells.filter(|(number, _)| *number >= 100).collect()
}

#[test]
fn result_codes_documented() {
    let codes = ResultCode::iter().map(|code| (code.number(), code.to_string())).collect();
    assert_eq!(table_rows("ERRORS.md"), codes);
}

#[test]
fn events_documented() {
    let events = Event::iter().map(|event| (event.number(), event.to_string())).collect();
    assert_eq!(table_rows("EVENTS.md"), events);
}
