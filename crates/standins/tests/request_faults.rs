//! Requests under faults with real processes: what callers are told, and how often targets ran.

use http_types::Method;
use pomeloreach_standins::fleet::{DaemonIdentity, Fleet, wait_for};
use pomeloreach_standins::target::Behaviour;
use pomeloreach_wire::http::FullResponse;
use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// A target that leaves gets no new work after this time, in milliseconds.
const LEFT_MS: u64 = 3_000;
/// Longer than any test needs a request to run, in milliseconds.
const LONG_MS: u64 = 1_500;

/// A proxy without a target and two daemons with one each, all in different zones.
fn fleet() -> Fleet {
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

fn post(fleet: &Fleet, id: &str) -> FullResponse {
    fleet.request(0, Method::Post, "yard", "/saw", id, "brass").unwrap()
}

fn get(fleet: &Fleet, id: &str) -> FullResponse {
    fleet.request(0, Method::Get, "yard", "/offcuts", id, "").unwrap()
}

fn code(answer: &FullResponse) -> &str {
    answer.header("x-pomeloreach-code").unwrap_or("none")
}

fn outcome(answer: &FullResponse) -> &str {
    answer.header("x-pomeloreach-outcome").unwrap_or("none")
}

fn slow(service_ms: u64) -> Behaviour {
    Behaviour { service_ms, ..Behaviour::default() }
}

/// The near target is preferred, so that faults are set there.
const NEAR: usize = 0;
const FAR: usize = 1;

#[test]
fn answer_cut_short() {
    let fleet = fleet();
    fleet.set_behaviour(NEAR, &Behaviour { cut_answers: true, ..Behaviour::default() });
    let answer = post(&fleet, "cut-1");
    assert_eq!((code(&answer), outcome(&answer)), ("2103", "unknown"), "{answer:?}");
    assert_eq!(fleet.run_count("cut-1"), 1, "an order is not sent again");
    let answer = get(&fleet, "cut-2");
    assert_eq!((code(&answer), answer.status), ("2000", 200), "a lookup is tried elsewhere");
    assert_eq!(answer.body, b"cut-2 yard 0");
}

#[test]
fn answer_dropped() {
    let fleet = fleet();
    fleet.set_behaviour(NEAR, &Behaviour { drop_answers: true, ..Behaviour::default() });
    let answer = post(&fleet, "drop-1");
    assert_eq!((code(&answer), outcome(&answer)), ("2101", "unknown"), "{answer:?}");
    assert_eq!(fleet.run_count("drop-1"), 1);
}

#[test]
fn request_cut_short() {
    let fleet = fleet();
    let mut caller = TcpStream::connect(fleet.daemons[0].caller_addr).unwrap();
    caller
        .write_all(
            b"POST /saw HTTP/1.1\r\nhost: yard\r\nx-request-id: half\r\ncontent-length: 100\r\n\r\nhalf",
        )
        .unwrap();
    caller.shutdown(Shutdown::Write).unwrap();
    caller.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).ok();
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(fleet.run_count("half"), 0, "half an order never runs");
}

#[test]
fn stalled_lookup() {
    let fleet = fleet();
    fleet.set_behaviour(NEAR, &Behaviour { stall: true, ..Behaviour::default() });
    let started = Instant::now();
    let answer = get(&fleet, "stall");
    assert_eq!(code(&answer), "2000", "{answer:?}");
    assert!(started.elapsed() < Duration::from_millis(2_500), "{:?}", started.elapsed());
}

#[test]
fn target_killed() {
    let mut fleet = fleet();
    fleet.set_behaviour(NEAR, &slow(LONG_MS));
    let answer = std::thread::scope(|scope| {
        let asking = scope.spawn(|| post(&fleet, "kill-1"));
        wait_for("the order runs", 5_000, || fleet.runs(NEAR).running == 1);
        fleet.targets[NEAR].process.signal(Signal::KILL);
        asking.join().unwrap()
    });
    assert_eq!((code(&answer), outcome(&answer)), ("2101", "unknown"), "{answer:?}");
    assert_eq!(fleet.runs(FAR).by_id.get("kill-1"), None, "it is not sent again");
    for number in 0..20 {
        let answer = post(&fleet, &format!("after-{number}"));
        assert_eq!(code(&answer), "2000", "a live target is found: {answer:?}");
    }
    fleet.targets[NEAR].process.kill();
}

#[test]
fn daemon_killed() {
    let fleet = fleet();
    fleet.set_behaviour(NEAR, &slow(LONG_MS));
    let answer = std::thread::scope(|scope| {
        let asking = scope.spawn(|| post(&fleet, "kill-2"));
        wait_for("the order runs", 5_000, || fleet.runs(NEAR).running == 1);
        fleet.daemons[1].process.signal(Signal::KILL);
        asking.join().unwrap()
    });
    assert_eq!(outcome(&answer), "unknown", "{answer:?}");
    assert_eq!(fleet.run_count("kill-2"), 1, "the order ran once");
    wait_for("orders reach the other target", 6_000, || {
        let answer = post(&fleet, "kill-3");
        outcome(&answer) == "answered"
    });
}

#[test]
fn daemon_frozen() {
    let fleet = fleet();
    fleet.daemons[1].process.signal(Signal::STOP);
    let answer = post(&fleet, "freeze-1");
    let told = outcome(&answer).to_string();
    let lookup = get(&fleet, "freeze-2");
    assert_eq!(code(&lookup), "2000", "a lookup is answered elsewhere: {lookup:?}");
    fleet.daemons[1].process.signal(Signal::CONT);
    std::thread::sleep(Duration::from_millis(500));
    let runs = fleet.run_count("freeze-1");
    assert!(runs <= 1, "{runs} runs");
    if told == "not-run" {
        assert_eq!(runs, 0, "a refusal is true");
    }
    if told == "answered" {
        assert_eq!(runs, 1);
    }
}

#[test]
fn caller_hangs_up() {
    let fleet = fleet();
    fleet.set_behaviour(NEAR, &slow(10_000));
    let mut caller = TcpStream::connect(fleet.daemons[0].caller_addr).unwrap();
    caller
        .write_all(
            b"POST /saw HTTP/1.1\r\nhost: yard\r\nx-request-id: gone\r\ncontent-length: 0\r\n\r\n",
        )
        .unwrap();
    wait_for("the order runs", 5_000, || fleet.runs(NEAR).running == 1);
    drop(caller);
    wait_for("the target is told", 2_000, || {
        let runs = fleet.runs(NEAR);
        runs.running == 0 && runs.cancelled == 1
    });
    assert_eq!(fleet.run_count("gone"), 1);
}

#[test]
fn reused_connection() {
    let fleet = fleet();
    let mut caller = TcpStream::connect(fleet.daemons[0].caller_addr).unwrap();
    caller.set_read_timeout(Some(Duration::from_secs(8))).unwrap();
    for (number, service_ms) in [(0, 1), (1, 4_000), (2, 1), (3, 1)] {
        fleet.set_behaviour(NEAR, &slow(service_ms));
        fleet.set_behaviour(FAR, &slow(service_ms));
        let head = format!(
            "POST /saw HTTP/1.1\r\nhost: yard\r\nx-request-id: reuse-{number}\r\n\
             content-length: 0\r\n\r\n"
        );
        caller.write_all(head.as_bytes()).unwrap();
        let answer = read_answer(&mut caller);
        if service_ms == 1 {
            assert!(answer.ends_with(&format!("reuse-{number} yard 0")), "{answer}");
        } else {
            assert!(answer.contains("x-pomeloreach-outcome: unknown"), "{answer}");
        }
    }
}

/// Reads one answer, no byte more.
fn read_answer(caller: &mut TcpStream) -> String {
    let mut answer = String::new();
    let mut byte = [0];
    while !answer.ends_with("\r\n\r\n") {
        caller.read_exact(&mut byte).unwrap();
        answer.push(byte[0].into());
    }
    let length = answer.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.unwrap().parse().unwrap()];
    caller.read_exact(&mut body).unwrap();
    answer + &String::from_utf8(body).unwrap()
}

/// Sends orders all the while, and returns the answers that were not `answered`.
fn orders_during(fleet: &Fleet, change: impl FnOnce()) -> Vec<String> {
    let over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..4)
            .map(|caller| {
                let over = &over;
                scope.spawn(move || {
                    let mut bad = Vec::new();
                    let mut number = 0;
                    while !over.load(Ordering::Relaxed) {
                        let id = format!("order-{caller}-{number}");
                        let answer = post(fleet, &id);
                        if code(&answer) != "2000" || answer.status != 200 {
                            bad.push(format!("{id} {answer:?}"));
                        }
                        number += 1;
                    }
                    bad
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(300));
        change();
        std::thread::sleep(Duration::from_millis(300));
        over.store(true, Ordering::Relaxed);
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    })
}

#[test]
fn target_drains() {
    let fleet = fleet();
    fleet.set_behaviour(NEAR, &slow(100));
    let bad = orders_during(&fleet, || {
        fleet.targets[NEAR].process.signal(Signal::TERM);
        std::thread::sleep(Duration::from_millis(LEFT_MS));
    });
    assert!(bad.is_empty(), "a planned stop cuts off nothing: {bad:?}");
    let mut fleet = fleet;
    assert!(fleet.targets[NEAR].process.wait(), "the target has stopped by itself");
}

#[test]
fn daemon_drains() {
    let mut fleet = fleet();
    fleet.set_behaviour(NEAR, &slow(100));
    let bad = orders_during(&fleet, || {
        fleet.daemons[1].process.signal(Signal::TERM);
        std::thread::sleep(Duration::from_millis(LEFT_MS));
    });
    assert!(bad.is_empty(), "a planned stop cuts off nothing: {bad:?}");
    assert!(fleet.daemons[1].process.wait(), "the daemon ended with exit code 0");
}

#[test]
fn drains_without_store() {
    let fleet = fleet();
    fleet.set_faults(&pomeloreach_standins::store_server::Faults {
        outage: true,
        ..Default::default()
    });
    let bad = orders_during(&fleet, || {
        fleet.targets[NEAR].process.signal(Signal::TERM);
        std::thread::sleep(Duration::from_millis(LEFT_MS));
    });
    assert!(bad.is_empty(), "{bad:?}");
    let before = fleet.request(1, Method::Get, "yard", "/", "left", "").unwrap();
    assert_eq!(before.header("x-ran-at"), Some(&*fleet.targets[FAR].addr.port().to_string()));
}

#[test]
fn lying_target() {
    let fleet = fleet();
    fleet.targets[NEAR].process.signal(Signal::STOP);
    for number in 0..5 {
        let answer = get(&fleet, &format!("lie-{number}"));
        assert_eq!(code(&answer), "2000", "{answer:?}");
    }
    wait_for("a silent target lapses and orders pass it by", 6_000, || {
        let started = Instant::now();
        let answer = post(&fleet, "past");
        outcome(&answer) == "answered" && started.elapsed() < Duration::from_millis(500)
    });
    fleet.targets[NEAR].process.signal(Signal::CONT);
    wait_for("it is back", 5_000, || {
        post(&fleet, "back").header("x-ran-at")
            == Some(&*fleet.targets[NEAR].addr.port().to_string())
    });
}
