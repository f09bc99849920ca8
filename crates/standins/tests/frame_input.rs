//! Invalid input from another daemon is refused and causes no panic.

mod support;

use pomeloreach_core::log::{ConfigLog, EditOutcome};
use pomeloreach_core::message::Message;
use pomeloreach_wire::frame::{self, FrameError};
use proptest::prelude::*;
use support::faults::runner;

/// Generated cases of each test; `POMELORUNS` multiplies them.
const CASES: u32 = 5_000;

/// Reads one message of at most 4096 bytes.
fn read(bytes: &[u8]) -> Result<Message, FrameError> {
    futures_lite::future::block_on(frame::read(&mut &*bytes, 4_096))
}

/// Random bytes, with and without the length of a frame in front.
#[test]
fn random_bytes() {
    let strategy = prop::collection::vec(any::<u8>(), 0..300);
    runner(1, CASES)
        .run(&strategy, |payload| {
            let mut framed = (payload.len() as u32).to_le_bytes().to_vec();
            framed.extend(&payload);
            read(&framed).ok();
            read(&payload).ok();
            Ok(())
        })
        .unwrap();
}

/// A valid frame with one byte changed and its end cut off.
#[test]
fn changed_bytes() {
    let message = Message::Redirect { relays: Vec::new(), retry_after_ms: 300 };
    let valid = frame::encode(&message);
    assert_eq!(read(&valid).unwrap(), message);
    let strategy = (0..valid.len(), any::<u8>(), 0..=valid.len());
    runner(2, CASES)
        .run(&strategy, |(position, byte, length)| {
            let mut changed = valid.clone();
            changed[position] = byte;
            read(&changed[..length]).ok();
            Ok(())
        })
        .unwrap();
}

#[test]
fn frame_too_long() {
    let frame = u32::MAX.to_le_bytes();
    assert!(matches!(read(&frame), Err(FrameError::TooLong { .. })));
}

/// A snapshot with the highest number as its version is refused, since no version could follow it.
#[test]
fn snapshot_version_too_high() {
    let mut log = ConfigLog::default();
    let empty = ConfigLog::default().config().tables.digest();
    let raw = format!(
        r#"{{"digest":"{empty}","config":{{"version":{},"tables":{{"routes":{{}},"pools":{{}}}},
        "edits":{{}},"refusals":{{}}}}}}"#,
        u64::MAX
    );
    assert!(log.apply_snapshot(raw.as_bytes(), None).is_err());
    assert_eq!(log.version(), 0);
    assert_eq!(log.apply_edit(u64::MAX, &b"{}"[..].into()), EditOutcome::Gap);
}
