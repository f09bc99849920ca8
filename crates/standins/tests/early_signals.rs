//! Signals that arrive while a daemon without the section `mesh` starts.

use pomeloreach_standins::fleet::{DaemonIdentity, Fleet, wait_for};
use rustix::fs::{CWD, FileType, Mode, OFlags, mknodat};
use rustix::process::Signal;
use std::cell::RefCell;
use std::fs::File;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;

/// How long a daemon may take to reach a state on a busy machine, in milliseconds.
const STATE_MS_MAX: u64 = 10_000;

/// Starts a daemon with settings from a pipe, and returns the pipe once the daemon reads from it,
/// with the settings.
fn start_with_pipe() -> (Fleet, File, String) {
    let mut fleet = Fleet::start();
    fleet.add_daemon(DaemonIdentity::new("d1", "kigali", "kigali-a"));
    fleet.daemons[0].process.kill();
    let path = fleet.folder.join("d1.yaml");
    let settings = std::fs::read_to_string(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    mknodat(CWD, &path, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0).unwrap();
    let mut daemon = fleet.daemons.remove(0);
    fleet.respawn(&mut daemon.process);
    fleet.daemons.push(daemon);
    // Opening fails until the daemon has opened the other end.
    let flags = OFlags::NONBLOCK.bits().cast_signed();
    let pipe = RefCell::new(None);
    wait_for("the daemon reads its settings", STATE_MS_MAX, || {
        *pipe.borrow_mut() = File::options().write(true).custom_flags(flags).open(&path).ok();
        pipe.borrow().is_some()
    });
    (fleet, pipe.into_inner().unwrap(), settings)
}

/// A SIGHUP ended the daemon at any time, which does not read its settings again.
#[test]
fn hangup_while_settings_are_read() {
    let (mut fleet, mut pipe, settings) = start_with_pipe();
    fleet.daemons[0].process.signal(Signal::HUP);
    pipe.write_all(settings.as_bytes()).unwrap();
    drop(pipe);
    fleet.wait_ready(STATE_MS_MAX);
    assert!(fleet.daemons[0].process.is_running(), "the signal ended the daemon");
    fleet.daemons[0].process.signal(Signal::HUP);
    std::thread::sleep(std::time::Duration::from_millis(200));
    assert!(fleet.daemons[0].process.is_running(), "the second signal ended the daemon");
}

/// A SIGTERM before the daemon had read its settings killed it.
#[test]
fn terminate_while_settings_are_read() {
    let (mut fleet, mut pipe, settings) = start_with_pipe();
    fleet.daemons[0].process.signal(Signal::TERM);
    pipe.write_all(settings.as_bytes()).unwrap();
    drop(pipe);
    let process = &mut fleet.daemons[0].process;
    assert!(process.wait(), "no orderly exit: {}", process.log());
    assert!(!process.log().contains("daemon-started"), "the daemon served before it stopped");
}
