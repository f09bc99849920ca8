//! When a daemon's log lines can be read.

use pomeloreach_standins::fleet::{DaemonIdentity, Fleet, wait_for};

/// How soon a line must be there, in milliseconds: the pause between writes, five times over.
const WRITTEN_MS: u64 = 1_000;

/// A line does not wait for others that would fill the buffer.
#[test]
fn lone_line_is_written() {
    let mut fleet = Fleet::start();
    let daemon = fleet.add_daemon(DaemonIdentity::new("a1", "wal", "wal-a"));
    wait_for("the first line is written", WRITTEN_MS, || {
        fleet.daemons[daemon].process.log().contains("daemon-started")
    });
}
