//! Configuration and admission under faults with real processes.

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

/// An accepted edit is in force everywhere within this time, in milliseconds.
const IN_FORCE_MS: u64 = 5_000;

fn fleet() -> Fleet {
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
    wait_for("the daemons have found each other", 20_000, || {
        let status = fleet.status(0);
        status.is_some_and(|status| status.complete && status.rows.len() == 6)
    });
    assert_eq!(edit(&fleet, 0, "first").number, 1001);
    fleet.wait_version(1, IN_FORCE_MS);
    fleet
}

/// Sets the pool `p`, whatever it is now.
fn edit(fleet: &Fleet, daemon: usize, edit_id: &str) -> pomeloreach_core::api::EditAnswer {
    let tables = fleet.config(daemon).unwrap().tables;
    let expected_in = tables.row_version(TableName::Pools, "p");
    let pool = serde_json::from_value(serde_json::json!({"service": edit_id})).unwrap();
    let change = Change::SetPool { name: "p".into(), expected_in, pool };
    fleet.edit(daemon, edit_id, vec![change]).unwrap()
}

fn role_holder(fleet: &Fleet, role: &str) -> usize {
    wait_for(&format!("there is a {role}"), 15_000, || find_role(fleet, role).is_some());
    find_role(fleet, role).unwrap()
}

fn find_role(fleet: &Fleet, role: &str) -> Option<usize> {
    (0..fleet.daemons.len()).find(|daemon| {
        let node = &fleet.dump(*daemon).unwrap()["node"];
        let (lead, relay) = (node["lead"] == true, node["relay"] == true);
        node["region"] == "wal" && if role == "lead" { lead } else { relay && !lead }
    })
}

#[parameterized(
    lead_killed = { "lead", Signal::KILL },
    lead_frozen = { "lead", Signal::STOP },
    relay_killed = { "relay", Signal::KILL },
    relay_frozen = { "relay", Signal::STOP },
)]
fn edit_during_loss(role: &str, signal: Signal) {
    let fleet = fleet();
    let lost = role_holder(&fleet, role);
    fleet.daemons[lost].process.signal(signal);
    let others: Vec<usize> = (0..6).filter(|daemon| *daemon != lost).collect();
    assert_eq!(edit(&fleet, others[0], "second").number, 1001);
    let accepted = Instant::now();
    wait_for("the edit is in force on all others", IN_FORCE_MS, || {
        others.iter().all(|daemon| fleet.version(*daemon) == Some(2))
    });
    println!("{role} lost by {signal:?}: in force after {:?}", accepted.elapsed());
    if signal == Signal::STOP {
        fleet.daemons[lost].process.signal(Signal::CONT);
        fleet.wait_version(2, IN_FORCE_MS);
        assert_eq!(edit(&fleet, others[1], "third").number, 1001);
        fleet.wait_version(3, IN_FORCE_MS);
    }
}

#[test]
fn store_outage() {
    let mut fleet = fleet();
    fleet.set_faults(&Faults { outage: true, ..Faults::default() });
    let answer = edit(&fleet, 2, "away");
    assert_eq!(answer.number, 1005, "{answer:?}");
    let newcomer = fleet.add_daemon(DaemonIdentity::new("a4", "wal", "wal-a"));
    wait_for("a new daemon boots from relays", 12_000, || fleet.version(newcomer) == Some(1));
    fleet.set_faults(&Faults::default());
    wait_for("edits are taken again", 5_000, || edit(&fleet, 2, "back").number == 1001);
    fleet.wait_version(2, IN_FORCE_MS);
}

#[test]
fn answer_lost() {
    let fleet = fleet();
    fleet.set_faults(&Faults { lose_answers: 3, ..Faults::default() });
    let answer = edit(&fleet, 4, "second");
    assert_eq!((answer.number, answer.version), (1001, 2), "{answer:?}");
    fleet.set_faults(&Faults::default());
    fleet.wait_version(2, IN_FORCE_MS);
    assert_eq!(fleet.config(0).unwrap().edits.len(), 2, "the edit was made once");
}

#[test]
fn watches_mislead() {
    let fleet = fleet();
    fleet.set_faults(&Faults { stale_watches: true, ..Faults::default() });
    assert_eq!(edit(&fleet, 0, "second").number, 1001);
    fleet.wait_version(2, IN_FORCE_MS);
    fleet.set_faults(&Faults { reorder_watches: true, ..Faults::default() });
    for (daemon, id) in [(1, "third"), (4, "fourth"), (5, "fifth")] {
        assert_eq!(edit(&fleet, daemon, id).number, 1001);
    }
    fleet.wait_version(5, IN_FORCE_MS);
}

#[test]
fn whole_fleet_restarts() {
    let mut fleet = fleet();
    let fleet_daemons = std::mem::take(&mut fleet.daemons);
    fleet.daemons = fleet_daemons
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

#[test]
fn stranger_gets_nothing() {
    let mut fleet = fleet();
    let (ca, folder) = (fleet.folder.join("ca.pem"), fleet.folder.clone());
    let kept: Vec<Vec<u8>> = ["ca.pem", "cert.pem", "key.pem"]
        .iter()
        .map(|f| std::fs::read(folder.join(f)).unwrap())
        .collect();
    key_files::write(&folder).unwrap();
    std::fs::write(ca, &kept[0]).unwrap();
    fleet.set_faults(&Faults { outage: true, ..Faults::default() });
    let stranger = fleet.add_daemon(DaemonIdentity::new("stranger", "wal", "wal-a"));
    std::thread::sleep(Duration::from_secs(4));
    assert_eq!(fleet.version(stranger), None, "a stranger holds no configuration");
    let dump = fleet.dump(stranger).unwrap();
    assert_eq!(dump["node"]["version"], 0);
    assert!(dump["node"]["links"].as_array().unwrap().iter().all(|l| l["state"] != "Joined"));
    let refused = (0..6).any(|d| fleet.daemons[d].process.log().contains("peer-refused"));
    assert!(refused, "a daemon of the fleet tells that it refused a peer");
}

fn send_raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(3))).unwrap();
    stream.write_all(bytes).ok();
    stream.shutdown(std::net::Shutdown::Write).ok();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok();
    answer
}

#[test]
fn malformed_input() {
    let mut fleet = Fleet::start();
    fleet.add_daemon(DaemonIdentity::new("a1", "wal", "wal-a"));
    fleet.wait_ready(10_000);
    let (operator, caller) = (fleet.daemons[0].operator_addr, fleet.daemons[0].caller_addr);
    let long_head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(20_000));
    let huge = b"POST /edits HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999999\r\n\r\n{}";
    let cut = b"POST /edits HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{}";
    let not_json = b"POST /edits HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\n{x}";
    let both = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    for (input, expected) in [
        (&b"\x00\xff\x16\x03\r\n\r\n"[..], "3001"),
        (long_head.as_bytes(), "3001"),
        (huge, "3002"),
        (cut, "3001"),
        (not_json, "3001"),
        (both, "3001"),
        (b"GET /nothing HTTP/1.1\r\nhost: x\r\n\r\n", "3003"),
        (b"GET / HTTP/1.0\r\nhost: x\r\n\r\n", "3001"),
        (b"POST /announce HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\n{}", "3001"),
    ] {
        let answer = send_raw(operator, input);
        let shown = String::from_utf8_lossy(&input[..input.len().min(60)]).into_owned();
        assert!(answer.contains(expected), "{shown} got {answer}");
        send_raw(caller, input);
    }
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    for length in 0..200 {
        let garbage: Vec<u8> = (0..length * 7).map(|at| (at * length + 0xc0) as u8).collect();
        socket.send_to(&garbage, fleet.daemons[0].control_addr).unwrap();
    }
    assert!(get(operator, "/ready").is_ok_and(|answer| answer.status == 200));
    let answer = fleet.request(0, Method::Get, "nowhere", "/", "x", "").unwrap();
    assert_eq!(answer.header("x-pomeloreach-code"), Some("2001"));
    assert!(fleet.daemons[0].process.is_running(), "the daemon lives");
    assert!(!fleet.daemons[0].process.log().contains("panicked"));
}
