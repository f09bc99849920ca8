//! Frames from another daemon: what is not a message is refused, and nothing panics.

mod support;

use pomeloreach_core::log::{ConfigLog, EditOutcome};
use pomeloreach_core::message::Message;
use pomeloreach_wire::frame::{self, FrameError};
use proptest::prelude::*;
use support::faults::runner;

/// Runs of each test in CI.
const RUNS: u32 = 5_000;

fn read(bytes: &[u8]) -> Result<Message, FrameError> {
    futures_lite::future::block_on(frame::read(&mut &*bytes, 4_096))
}

#[test]
fn random_bytes() {
    let strategy = prop::collection::vec(any::<u8>(), 0..300);
    runner(1, RUNS)
        .run(&strategy, |payload| {
            let mut framed = (payload.len() as u32).to_le_bytes().to_vec();
            framed.extend(&payload);
            read(&framed).ok();
            read(&payload).ok();
            Ok(())
        })
        .unwrap();
}

#[test]
fn changed_bytes() {
    let message = Message::Redirect { relays: Vec::new(), retry_after_ms: 300 };
    let whole = frame::encode(&message);
    assert_eq!(read(&whole).unwrap(), message);
    let strategy = (0..whole.len(), any::<u8>(), 0..=whole.len());
    runner(2, RUNS)
        .run(&strategy, |(at, byte, length)| {
            let mut changed = whole.clone();
            changed[at] = byte;
            read(&changed[..length]).ok();
            Ok(())
        })
        .unwrap();
}

#[test]
fn long_frame() {
    let frame = u32::MAX.to_le_bytes();
    assert!(matches!(read(&frame), Err(FrameError::TooLong { .. })));
}

#[test]
fn boundless_snapshot() {
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
