//! Planned stops of daemons of our own deployment while large responses are sent.

use http_types::Method;
use pomeloreach_standins::fleet::Fleet;
use pomeloreach_standins::target::Behaviour;
use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// More than the system takes over from the daemon at once.
const FILL_BYTES: usize = 4_000_000;

/// Starts a daemon for callers and one with a target whose responses are large.
fn start_fleet(service_ms: u64) -> Fleet {
    let fleet = Fleet::start_with_yard(8);
    fleet.set_behaviour(
        0,
        &Behaviour { service_ms, fill_bytes: FILL_BYTES, ..Behaviour::default() },
    );
    fleet
}

/// The daemon exited while it wrote a large response, since it only waited until it was computed.
#[test]
fn slow_caller_gets_whole_response() {
    let mut fleet = start_fleet(200);
    let mut caller = TcpStream::connect(fleet.daemons[0].caller_addr).unwrap();
    caller.write_all(b"POST /saw HTTP/1.1\r\nhost: yard\r\ncontent-length: 0\r\n\r\n").unwrap();
    std::thread::sleep(Duration::from_millis(100));
    fleet.daemons[0].process.signal(Signal::TERM);
    std::thread::sleep(Duration::from_millis(800));
    let (mut received, mut part) = (0, vec![0; 64 * 1024]);
    while let Ok(bytes) = caller.read(&mut part)
        && bytes > 0
    {
        received += bytes;
    }
    assert!(received > FILL_BYTES, "{received}");
    assert!(fleet.daemons[0].process.wait(), "the daemon did not exit with code 0");
}

/// The daemon of a target exited while it sent the result of a call to another daemon.
#[test]
fn other_daemon_gets_whole_result() {
    let mut fleet = start_fleet(200);
    let responses: Vec<_> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..4)
            .map(|caller| {
                let fleet = &fleet;
                let id = format!("order-{caller}");
                scope.spawn(move || fleet.request(0, Method::Post, "yard", "/saw", &id, "brass"))
            })
            .collect();
        std::thread::sleep(Duration::from_millis(100));
        fleet.daemons[1].process.signal(Signal::TERM);
        callers.into_iter().map(|caller| caller.join().unwrap().unwrap()).collect()
    });
    for response in &responses {
        let code = response.header("x-pomeloreach-code");
        assert_eq!((response.status, code), (200, Some("2000")), "{} bytes", response.body.len());
    }
    assert!(fleet.daemons[1].process.wait(), "the daemon did not exit with code 0");
}
