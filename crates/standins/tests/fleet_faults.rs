//! Configuration, mutual authentication and input checks under faults with real processes.

use http_types::Method;
use pomeloreach_core::edit::Change;
use pomeloreach_core::row::TableName;
use pomeloreach_standins::fleet::{DaemonIdentity, Fleet, get, wait_for};
use pomeloreach_standins::key_files;
use pomeloreach_standins::store_server::Faults;
use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use yare::parameterized;

/// The time within which an accepted edit is in force on all daemons, in milliseconds.
const IN_FORCE_MS: u64 = 5_000;

/// Starts six daemons in three regions, in which version 1 is in force.
fn start_fleet() -> Fleet {
    let mut fleet = Fleet::start();
    for (name, region, zone) in [
        ("a1", "wal", "wal-a"),
        ("a2", "wal", "wal-a"),
        ("a3", "wal", "wal-a"),
        ("b1", "wal", "wal-b"),
        ("c1", "vla", "vla-a"),
        ("d1", "bxl", "bxl-a"),
    ] {
        fleet.add_daemon(DaemonIdentity::new(name, region, zone));
    }
    fleet.wait_ready(15_000);
    wait_for("the status of daemon 0 lists all six daemons", 20_000, || {
        let status = fleet.status(0);
        status.is_some_and(|status| status.complete && status.rows.len() == 6)
    });
    assert_eq!(publish(&fleet, 0, "first").number, 1001);
    fleet.wait_version(1, IN_FORCE_MS);
    fleet
}

/// Publishes an edit of the pool `p`, expecting the version that the daemon holds.
fn publish(fleet: &Fleet, daemon: usize, edit_id: &str) -> pomeloreach_core::api::EditResponse {
    let tables = fleet.config(daemon).unwrap().tables;
    let expected_in = tables.row_version(TableName::Pools, "p");
    let pool = serde_json::from_value(serde_json::json!({"service": edit_id})).unwrap();
    let change = Change::SetPool { name: "p".into(), expected_in, pool };
    fleet.edit(daemon, edit_id, vec![change]).unwrap()
}

/// Waits until a daemon of the region wal has a role, and returns its index.
fn wait_for_role(fleet: &Fleet, role: &str) -> usize {
    wait_for(&format!("there is a {role}"), 15_000, || daemon_with_role(fleet, role).is_some());
    daemon_with_role(fleet, role).unwrap()
}

/// The first daemon of the region wal that is its leader, or a relay that is no leader.
fn daemon_with_role(fleet: &Fleet, role: &str) -> Option<usize> {
    (0..fleet.daemons.len()).find(|daemon| {
        let node = &fleet.dump(*daemon).unwrap()["node"];
        let (leader, relay) = (node["lead"] == true, node["relay"] == true);
        node["region"] == "wal" && if role == "leader" { leader } else { relay && !leader }
    })
}

#[parameterized(
    leader_killed = { "leader", Signal::KILL },
    leader_frozen = { "leader", Signal::STOP },
    relay_killed = { "relay", Signal::KILL },
    relay_frozen = { "relay", Signal::STOP },
)]
fn edit_while_daemon_lost(role: &str, signal: Signal) {
    let fleet = start_fleet();
    let lost = wait_for_role(&fleet, role);
    fleet.daemons[lost].process.signal(signal);
    let others: Vec<usize> = (0..6).filter(|daemon| *daemon != lost).collect();
    assert_eq!(publish(&fleet, others[0], "second").number, 1001);
    let accepted = Instant::now();
    wait_for("the edit is in force on all others", IN_FORCE_MS, || {
        others.iter().all(|daemon| fleet.version(*daemon) == Some(2))
    });
    println!("{role} lost by {signal:?}: in force after {:?}", accepted.elapsed());
    if signal == Signal::STOP {
        fleet.daemons[lost].process.signal(Signal::CONT);
        fleet.wait_version(2, IN_FORCE_MS);
        assert_eq!(publish(&fleet, others[1], "third").number, 1001);
        fleet.wait_version(3, IN_FORCE_MS);
    }
}

#[test]
fn store_outage() {
    let mut fleet = start_fleet();
    fleet.set_faults(&Faults { outage: true, ..Faults::default() });
    let answer = publish(&fleet, 2, "in-outage");
    assert_eq!(answer.number, 1005, "{answer:?}");
    let added = fleet.add_daemon(DaemonIdentity::new("a4", "wal", "wal-a"));
    wait_for("a new daemon starts from relays", 12_000, || fleet.version(added) == Some(1));
    fleet.set_faults(&Faults::default());
    wait_for("edits are accepted", 5_000, || publish(&fleet, 2, "in-recovery").number == 1001);
    fleet.wait_version(2, IN_FORCE_MS);
}

#[test]
fn store_response_lost() {
    let fleet = start_fleet();
    fleet.set_faults(&Faults { lose_answers: 3, ..Faults::default() });
    let answer = publish(&fleet, 4, "second");
    assert_eq!((answer.number, answer.version), (1001, 2), "{answer:?}");
    fleet.set_faults(&Faults::default());
    fleet.wait_version(2, IN_FORCE_MS);
    assert_eq!(fleet.config(0).unwrap().edits.len(), 2, "the edit was written more than once");
}

/// Edits are in force in time even if watches return no changes, or return them in reverse order.
#[test]
fn stale_or_reordered_watches() {
    let fleet = start_fleet();
    fleet.set_faults(&Faults { stale_watches: true, ..Faults::default() });
    assert_eq!(publish(&fleet, 0, "second").number, 1001);
    fleet.wait_version(2, IN_FORCE_MS);
    fleet.set_faults(&Faults { reorder_watches: true, ..Faults::default() });
    for (version, daemon, id) in [(2, 1, "third"), (3, 4, "fourth"), (4, 5, "fifth")] {
        // An edit that expects the row of an earlier version is a conflict.
        wait_for(&format!("daemon {daemon} holds version {version}"), IN_FORCE_MS, || {
            fleet.version(daemon) == Some(version)
        });
        assert_eq!(publish(&fleet, daemon, id).number, 1001);
    }
    fleet.wait_version(5, IN_FORCE_MS);
}

/// Daemons that have all restarted at once must not overload the store: once they are ready, they make
/// only few calls. The calls during the start are not counted here.
#[test]
fn store_calls_after_restart() {
    let mut fleet = start_fleet();
    let daemons = std::mem::take(&mut fleet.daemons);
    fleet.daemons = daemons
        .into_iter()
        .map(|mut daemon| {
            daemon.process.kill();
            fleet.respawn(&mut daemon.process);
            daemon
        })
        .collect();
    fleet.wait_version(1, 20_000);
    let calls_before = fleet.counters().unwrap().calls;
    std::thread::sleep(Duration::from_secs(2));
    let calls = fleet.counters().unwrap().calls - calls_before;
    assert!(calls < 120, "{calls} calls to the store in 2 s after a restart");
}

/// A daemon whose certificate is from another authority joins no link, although it trusts the
/// authority of the fleet. The store is unavailable, so it could obtain the configuration only from
/// a link.
#[test]
fn untrusted_daemon_refused() {
    let mut fleet = start_fleet();
    let (ca, folder) = (fleet.folder.join("ca.pem"), fleet.folder.clone());
    let fleet_keys: Vec<Vec<u8>> = ["ca.pem", "cert.pem", "key.pem"]
        .iter()
        .map(|f| std::fs::read(folder.join(f)).unwrap())
        .collect();
    key_files::write(&folder).unwrap();
    std::fs::write(ca, &fleet_keys[0]).unwrap();
    fleet.set_faults(&Faults { outage: true, ..Faults::default() });
    let untrusted = fleet.add_daemon(DaemonIdentity::new("untrusted", "wal", "wal-a"));
    std::thread::sleep(Duration::from_secs(4));
    assert_eq!(fleet.version(untrusted), None, "an untrusted daemon holds a version");
    let dump = fleet.dump(untrusted).unwrap();
    assert_eq!(dump["node"]["version"], 0);
    assert!(dump["node"]["links"].as_array().unwrap().iter().all(|l| l["state"] != "Joined"));
    let refused = (0..6).any(|d| fleet.daemons[d].process.log().contains("peer-refused"));
    assert!(refused, "no daemon logged that it refused a peer");
}

/// Sends bytes, closes the sending side and returns what is received.
fn send_raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(3))).unwrap();
    stream.write_all(bytes).ok();
    stream.shutdown(std::net::Shutdown::Write).ok();
    let mut response = String::new();
    stream.read_to_string(&mut response).ok();
    response
}

#[test]
fn malformed_input() {
    let mut fleet = Fleet::start();
    fleet.add_daemon(DaemonIdentity::new("a1", "wal", "wal-a"));
    fleet.wait_ready(10_000);
    let (operator, caller) = (fleet.daemons[0].operator_addr, fleet.daemons[0].caller_addr);
    let long_head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(20_000));
    let too_long = b"POST /edits HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999999\r\n\r\n{}";
    let truncated = b"POST /edits HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{}";
    let not_json = b"POST /edits HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\n{x}";
    let two_lengths = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    for (input, expected) in [
        (&b"\x00\xff\x16\x03\r\n\r\n"[..], "3001"),
        (long_head.as_bytes(), "3001"),
        (too_long, "3002"),
        (truncated, "3001"),
        (not_json, "3001"),
        (two_lengths, "3001"),
        (b"GET /nothing HTTP/1.1\r\nhost: x\r\n\r\n", "3003"),
        (b"GET / HTTP/1.0\r\nhost: x\r\n\r\n", "3001"),
        (b"POST /announce HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\n{}", "3001"),
    ] {
        let response = send_raw(operator, input);
        let input_text = String::from_utf8_lossy(&input[..input.len().min(60)]).into_owned();
        assert!(response.contains(expected), "{input_text} got {response}");
        send_raw(caller, input);
    }
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    for length in 0..200 {
        let datagram: Vec<u8> = (0..length * 7).map(|at| (at * length + 0xc0) as u8).collect();
        socket.send_to(&datagram, fleet.daemons[0].control_addr).unwrap();
    }
    assert!(get(operator, "/ready").is_ok_and(|response| response.status == 200));
    let response = fleet.request(0, Method::Get, "nowhere", "/", "x", "").unwrap();
    assert_eq!(response.header("x-pomeloreach-code"), Some("2001"));
    assert!(fleet.daemons[0].process.is_running(), "the daemon has stopped");
    assert!(!fleet.daemons[0].process.log().contains("panicked"));
}
