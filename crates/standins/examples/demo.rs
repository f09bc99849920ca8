//! Demonstrates edits and requests with real processes on this machine, and fails if a step doesn't
//! have the expected result.

use http_types::Method;
use pomeloreach_standins::fleet::{DaemonIdentity, Fleet, binary_path, wait_for};
use std::process::Command;

/// How long an edit may take to be in force on all daemons, in milliseconds.
const IN_FORCE_MS: u64 = 5_000;

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| "examples/nyabugogo".to_string());
    let fleet = start();
    step("An operator applies both tables as one edit");
    run_accepted(
        &fleet,
        0,
        &["apply", &format!("{folder}/routes.yaml"), &format!("{folder}/pools.yaml")],
    );
    fleet.wait_version(1, IN_FORCE_MS);
    run_accepted(&fleet, 3, &["status", "--wait", "1"]);

    step("A cut order goes from kigali to the timber yard in huye and runs once");
    wait_for("the timber yard can be reached", IN_FORCE_MS, || {
        let response = fleet.request(0, Method::Get, "timber-yard", "/offcuts", "lookup", "");
        response.is_ok_and(|response| response.status == 200)
    });
    let response = fleet.request(0, Method::Post, "timber-yard", "/saw", "order-1", "mahogany");
    let response = response.expect("the order gets a response");
    println!("{} {}", response.status, String::from_utf8_lossy(&response.body));
    for name in ["code", "outcome", "version", "attempts"] {
        let name = format!("x-pomeloreach-{name}");
        println!("{name}: {}", response.header(&name).unwrap_or("-"));
    }
    assert_eq!(response.header("x-pomeloreach-outcome"), Some("answered"));
    assert_eq!(fleet.run_count("order-1"), 1, "the order did not run exactly once");

    step("A route to a pool that does not exist is refused, and nothing changes");
    let row = fleet.folder.join("dangling.yaml");
    std::fs::write(&row, "host: timber-yard\npool: sawmill\n").expect("the row is written");
    run_refused(&fleet, 1, &["routes", "set", "offcuts", "-f", &row.display().to_string()]);

    step("An edit of one row moves the traffic to another pool");
    let row = fleet.folder.join("moved.yaml");
    std::fs::write(&row, "host: timber-yard\npool: order-desk\n").expect("the row is written");
    run_accepted(&fleet, 1, &["routes", "set", "offcuts", "-f", &row.display().to_string()]);
    fleet.wait_version(2, IN_FORCE_MS);
    let response = fleet.request(2, Method::Get, "timber-yard", "/offcuts", "lookup-2", "");
    let response = response.expect("the lookup gets a response");
    println!("{} {}", response.status, String::from_utf8_lossy(&response.body));
    assert_eq!(response.body, b"lookup-2 order-desk 0");

    step("The history of edits, as every daemon returns it");
    run_accepted(&fleet, 2, &["history"]);
    println!("\nEvery step above had the expected result.");
}

fn start() -> Fleet {
    step("A store, four daemons in two regions and four targets start as processes");
    let mut fleet = Fleet::start();
    let daemons = [
        ("order-desk-1", "kigali", "kigali-a", "order-desk"),
        ("order-desk-2", "kigali", "kigali-b", "order-desk"),
        ("timber-yard-1", "huye", "huye-a", "timber-yard"),
        ("timber-yard-2", "huye", "huye-b", "timber-yard"),
    ];
    for (name, region, zone, service) in daemons {
        let daemon = fleet.add_daemon(DaemonIdentity::new(name, region, zone));
        fleet.add_target(daemon, service, 12);
        println!("{name} in {zone} accepts requests on {}", fleet.daemons[daemon].caller_addr);
    }
    fleet.wait_ready(15_000);
    wait_for("the status covers every daemon", 15_000, || {
        let status = fleet.status(0);
        status.is_some_and(|status| status.complete && status.rows.len() == 4)
    });
    fleet
}

fn step(title: &str) {
    println!("\n== {title}.");
}

/// Runs the operators' command against a daemon, and returns whether it succeeded.
fn run(fleet: &Fleet, daemon: usize, args: &[&str]) -> bool {
    println!("$ pomeloreach {}", args.join(" "));
    let addr = fleet.daemons[daemon].operator_addr.to_string();
    let status = Command::new(binary_path("pomeloreach")).args(["-d", &addr]).args(args).status();
    status.expect("the operators' command starts").success()
}

/// Runs a command that must succeed.
fn run_accepted(fleet: &Fleet, daemon: usize, args: &[&str]) {
    assert!(run(fleet, daemon, args), "the command failed");
}

/// Runs a command that must be refused.
fn run_refused(fleet: &Fleet, daemon: usize, args: &[&str]) {
    assert!(!run(fleet, daemon, args), "the command was not refused");
}
