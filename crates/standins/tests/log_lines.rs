//! How soon a daemon's log lines are written.

use pomeloreach_standins::fleet::{DaemonIdentity, Fleet, wait_for};

/// How soon a line must be written, in milliseconds: five times the pause between writes.
const WRITTEN_MS: u64 = 1_000;

/// A single line is written although it does not fill the buffer.
#[test]
fn single_line_written() {
    let mut fleet = Fleet::start();
    let daemon = fleet.add_daemon(DaemonIdentity::new("a1", "wal", "wal-a"));
    wait_for("the first line is written", WRITTEN_MS, || {
        fleet.daemons[daemon].process.log().contains("daemon-started")
    });
}
