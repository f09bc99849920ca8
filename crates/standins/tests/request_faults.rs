//! Requests under faults with real processes: the responses that callers receive, and how often
//! targets ran the requests. Orders are POST requests, which are not idempotent; lookups are GET
//! requests.

use http_types::Method;
use pomeloreach_standins::fleet::{DaemonIdentity, Fleet, wait_for};
use pomeloreach_standins::target::Behaviour;
use pomeloreach_wire::http::FullResponse;
use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The time after the signal to stop until a target or daemon receives no new requests, in
/// milliseconds.
const DRAIN_MS: u64 = 3_000;
/// A service time that leaves a test enough time to act while the request runs, in milliseconds.
const LONG_SERVICE_MS: u64 = 1_500;

/// Starts a daemon without a target, which receives the requests, and two with one target each, all
/// in different zones.
fn start_fleet() -> Fleet {
    let mut fleet = Fleet::start();
    fleet.add_daemon(DaemonIdentity::new("front-1", "kigali", "kigali-a"));
    fleet.add_daemon(DaemonIdentity::new("yard-1", "kigali", "kigali-b"));
    fleet.add_daemon(DaemonIdentity::new("yard-2", "huye", "huye-a"));
    fleet.add_target(1, "yard", 4);
    fleet.add_target(2, "yard", 4);
    fleet.wait_ready(15_000);
    let changes = serde_json::from_value(serde_json::json!([
        {"action": "set-pool", "name": "yard", "expected_in": 0,
         "pool": {"service": "yard", "slow_start_ms": 0}},
        {"action": "set-route", "name": "yard", "expected_in": 0,
         "route": {"host": "yard", "pool": "yard", "deadline_ms": 3000}},
    ]));
    let answer = fleet.edit(0, "tables", changes.unwrap()).unwrap();
    assert_eq!(answer.number, 1001, "{answer:?}");
    fleet.wait_version(1, 5_000);
    wait_for("both targets are known", 15_000, || {
        let status = fleet.status(0);
        let complete = status.is_some_and(|status| status.complete && status.rows.len() == 3);
        complete && fleet.request(0, Method::Get, "yard", "/", "warm", "").is_ok()
    });
    fleet
}

/// Sends an order.
fn post(fleet: &Fleet, id: &str) -> FullResponse {
    fleet.request(0, Method::Post, "yard", "/saw", id, "brass").unwrap()
}

/// Sends a lookup.
fn get(fleet: &Fleet, id: &str) -> FullResponse {
    fleet.request(0, Method::Get, "yard", "/offcuts", id, "").unwrap()
}

/// The result code of a response.
fn code(response: &FullResponse) -> &str {
    response.header("x-pomeloreach-code").unwrap_or("none")
}

/// Whether the request ran, as stated in a response.
fn outcome(response: &FullResponse) -> &str {
    response.header("x-pomeloreach-outcome").unwrap_or("none")
}

fn with_service_ms(service_ms: u64) -> Behaviour {
    Behaviour { service_ms, ..Behaviour::default() }
}

/// The target in the region of the daemon that receives the requests. It is preferred, so faults
/// are injected there.
const NEAR: usize = 0;
/// The target in the other region.
const FAR: usize = 1;

#[test]
fn response_truncated() {
    let fleet = start_fleet();
    fleet.set_behaviour(NEAR, &Behaviour { cut_answers: true, ..Behaviour::default() });
    let response = post(&fleet, "cut-1");
    assert_eq!((code(&response), outcome(&response)), ("2103", "unknown"), "{response:?}");
    assert_eq!(fleet.run_count("cut-1"), 1, "the order did not run exactly once");
    let response = get(&fleet, "cut-2");
    assert_eq!((code(&response), response.status), ("2000", 200), "the lookup was not retried");
    assert_eq!(response.body, b"cut-2 yard 0");
}

#[test]
fn response_lost() {
    let fleet = start_fleet();
    fleet.set_behaviour(NEAR, &Behaviour { drop_answers: true, ..Behaviour::default() });
    let response = post(&fleet, "drop-1");
    assert_eq!((code(&response), outcome(&response)), ("2101", "unknown"), "{response:?}");
    assert_eq!(fleet.run_count("drop-1"), 1);
}

#[test]
fn request_truncated() {
    let fleet = start_fleet();
    let mut caller = TcpStream::connect(fleet.daemons[0].caller_addr).unwrap();
    caller
        .write_all(
            b"POST /saw HTTP/1.1\r\nhost: yard\r\nx-request-id: half\r\ncontent-length: 100\r\n\r\nhalf",
        )
        .unwrap();
    caller.shutdown(Shutdown::Write).unwrap();
    caller.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let mut response = String::new();
    caller.read_to_string(&mut response).ok();
    assert!(!response.starts_with("HTTP/1.1 200"), "{response}");
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(fleet.run_count("half"), 0, "a truncated order ran");
}

#[test]
fn lookup_at_stalled_target() {
    let fleet = start_fleet();
    fleet.set_behaviour(NEAR, &Behaviour { stall: true, ..Behaviour::default() });
    let started = Instant::now();
    let response = get(&fleet, "stall");
    assert_eq!(code(&response), "2000", "{response:?}");
    assert!(started.elapsed() < Duration::from_millis(2_500), "{:?}", started.elapsed());
}

#[test]
fn target_killed() {
    let mut fleet = start_fleet();
    fleet.set_behaviour(NEAR, &with_service_ms(LONG_SERVICE_MS));
    let response = std::thread::scope(|scope| {
        let caller = scope.spawn(|| post(&fleet, "kill-1"));
        wait_for("the order runs", 5_000, || fleet.runs(NEAR).running == 1);
        fleet.targets[NEAR].process.signal(Signal::KILL);
        caller.join().unwrap()
    });
    assert_eq!((code(&response), outcome(&response)), ("2101", "unknown"), "{response:?}");
    assert_eq!(fleet.runs(FAR).by_id.get("kill-1"), None, "the order was sent again");
    for number in 0..20 {
        let response = post(&fleet, &format!("after-{number}"));
        assert_eq!(code(&response), "2000", "an order failed: {response:?}");
    }
    fleet.targets[NEAR].process.kill();
}

#[test]
fn daemon_killed() {
    let fleet = start_fleet();
    fleet.set_behaviour(NEAR, &with_service_ms(LONG_SERVICE_MS));
    let response = std::thread::scope(|scope| {
        let caller = scope.spawn(|| post(&fleet, "kill-2"));
        wait_for("the order runs", 5_000, || fleet.runs(NEAR).running == 1);
        fleet.daemons[1].process.signal(Signal::KILL);
        caller.join().unwrap()
    });
    assert_eq!(outcome(&response), "unknown", "{response:?}");
    assert_eq!(fleet.run_count("kill-2"), 1, "the order did not run exactly once");
    wait_for("orders reach the other target", 6_000, || {
        let response = post(&fleet, "kill-3");
        outcome(&response) == "answered"
    });
}

/// What the response states about an order must be true although the daemon of the target was
/// suspended and can still run the order when it resumes.
#[test]
fn daemon_frozen() {
    let fleet = start_fleet();
    fleet.daemons[1].process.signal(Signal::STOP);
    let response = post(&fleet, "freeze-1");
    let order_outcome = outcome(&response).to_string();
    let lookup = get(&fleet, "freeze-2");
    assert_eq!(code(&lookup), "2000", "no other target answered the lookup: {lookup:?}");
    fleet.daemons[1].process.signal(Signal::CONT);
    std::thread::sleep(Duration::from_millis(500));
    let runs = fleet.run_count("freeze-1");
    assert!(runs <= 1, "{runs} runs");
    if order_outcome == "not-run" {
        assert_eq!(runs, 0, "an order ran despite a refusal");
    }
    if order_outcome == "answered" {
        assert_eq!(runs, 1);
    }
}

#[test]
fn caller_disconnects() {
    let fleet = start_fleet();
    fleet.set_behaviour(NEAR, &with_service_ms(10_000));
    let mut caller = TcpStream::connect(fleet.daemons[0].caller_addr).unwrap();
    caller
        .write_all(
            b"POST /saw HTTP/1.1\r\nhost: yard\r\nx-request-id: gone\r\ncontent-length: 0\r\n\r\n",
        )
        .unwrap();
    wait_for("the order runs", 5_000, || fleet.runs(NEAR).running == 1);
    drop(caller);
    wait_for("the target stops running the order", 2_000, || {
        let runs = fleet.runs(NEAR);
        runs.running == 0 && runs.cancelled == 1
    });
    assert_eq!(fleet.run_count("gone"), 1);
}

/// The second of four orders on one connection exceeds the deadline. Its response must not be
/// read as that of a later order.
#[test]
fn connection_reused_after_timeout() {
    let fleet = start_fleet();
    let mut caller = TcpStream::connect(fleet.daemons[0].caller_addr).unwrap();
    caller.set_read_timeout(Some(Duration::from_secs(8))).unwrap();
    for (number, service_ms) in [(0, 1), (1, 4_000), (2, 1), (3, 1)] {
        fleet.set_behaviour(NEAR, &with_service_ms(service_ms));
        fleet.set_behaviour(FAR, &with_service_ms(service_ms));
        let head = format!(
            "POST /saw HTTP/1.1\r\nhost: yard\r\nx-request-id: reuse-{number}\r\n\
             content-length: 0\r\n\r\n"
        );
        caller.write_all(head.as_bytes()).unwrap();
        let response = read_response(&mut caller);
        if service_ms == 1 {
            assert!(response.ends_with(&format!("reuse-{number} yard 0")), "{response}");
        } else {
            assert!(response.contains("x-pomeloreach-outcome: unknown"), "{response}");
        }
    }
}

/// Reads exactly one response.
fn read_response(caller: &mut TcpStream) -> String {
    let mut response = String::new();
    let mut byte = [0];
    while !response.ends_with("\r\n\r\n") {
        caller.read_exact(&mut byte).unwrap();
        response.push(byte[0].into());
    }
    let length = response.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.unwrap().parse().unwrap()];
    caller.read_exact(&mut body).unwrap();
    response + &String::from_utf8(body).unwrap()
}

/// Sends orders from four callers while `action` runs, and returns those that failed.
fn orders_during(fleet: &Fleet, action: impl FnOnce()) -> Vec<String> {
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..4)
            .map(|caller| {
                let stop = &stop;
                scope.spawn(move || {
                    let mut failed = Vec::new();
                    let mut number = 0;
                    while !stop.load(Ordering::Relaxed) {
                        let id = format!("order-{caller}-{number}");
                        let response = post(fleet, &id);
                        if code(&response) != "2000" || response.status != 200 {
                            failed.push(format!("{id} {response:?}"));
                        }
                        number += 1;
                    }
                    failed
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(300));
        action();
        std::thread::sleep(Duration::from_millis(300));
        stop.store(true, Ordering::Relaxed);
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    })
}

#[test]
fn target_drains() {
    let fleet = start_fleet();
    fleet.set_behaviour(NEAR, &with_service_ms(100));
    let failed = orders_during(&fleet, || {
        fleet.targets[NEAR].process.signal(Signal::TERM);
        std::thread::sleep(Duration::from_millis(DRAIN_MS));
    });
    assert!(failed.is_empty(), "orders failed during a planned stop: {failed:?}");
    let mut fleet = fleet;
    assert!(fleet.targets[NEAR].process.wait(), "the target did not exit with code 0");
}

#[test]
fn daemon_drains() {
    let mut fleet = start_fleet();
    fleet.set_behaviour(NEAR, &with_service_ms(100));
    let failed = orders_during(&fleet, || {
        fleet.daemons[1].process.signal(Signal::TERM);
        std::thread::sleep(Duration::from_millis(DRAIN_MS));
    });
    assert!(failed.is_empty(), "orders failed during a planned stop: {failed:?}");
    assert!(fleet.daemons[1].process.wait(), "the daemon did not exit with code 0");
}

/// The drain of a target must not depend on the store.
#[test]
fn target_drains_during_outage() {
    let fleet = start_fleet();
    fleet.set_faults(&pomeloreach_standins::store_server::Faults {
        outage: true,
        ..Default::default()
    });
    let failed = orders_during(&fleet, || {
        fleet.targets[NEAR].process.signal(Signal::TERM);
        std::thread::sleep(Duration::from_millis(DRAIN_MS));
    });
    assert!(failed.is_empty(), "{failed:?}");
    let response = fleet.request(1, Method::Get, "yard", "/", "left", "").unwrap();
    assert_eq!(response.header("x-ran-at"), Some(&*fleet.targets[FAR].addr.port().to_string()));
}

/// A suspended target cannot announce anything. Lookups are answered by the other target at once,
/// and orders are sent there after the announcement has lapsed.
#[test]
fn target_frozen() {
    let fleet = start_fleet();
    fleet.targets[NEAR].process.signal(Signal::STOP);
    for number in 0..5 {
        let response = get(&fleet, &format!("lie-{number}"));
        assert_eq!(code(&response), "2000", "{response:?}");
    }
    wait_for("the frozen target lapses and receives no orders", 6_000, || {
        let started = Instant::now();
        let response = post(&fleet, "past");
        outcome(&response) == "answered" && started.elapsed() < Duration::from_millis(500)
    });
    fleet.targets[NEAR].process.signal(Signal::CONT);
    wait_for("orders reach the resumed target", 5_000, || {
        post(&fleet, "back").header("x-ran-at")
            == Some(&*fleet.targets[NEAR].addr.port().to_string())
    });
}
