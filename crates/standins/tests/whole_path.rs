//! The complete request path with real processes: an operator publishes tables, and requests reach
//! targets through daemons in two regions.

use http_types::Method;
use pomeloreach_standins::fleet::{DaemonIdentity, Fleet, binary_path, wait_for};
use std::path::PathBuf;
use std::process::{Command, Output};

/// The path of a file in the repository's `examples` folder.
fn example_file(path: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    root.join(path).display().to_string()
}

/// Runs the operators' command line against a daemon.
fn run_command(fleet: &Fleet, daemon: usize, args: &[&str]) -> Output {
    let addr = fleet.daemons[daemon].operator_addr.to_string();
    let command = Command::new(binary_path("pomeloreach")).args(["-d", &addr]).args(args).output();
    command.expect("the operators' command line starts")
}

/// The standard output and the standard error of a command.
fn output_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// Starts two daemons in each of two regions, each with a target.
fn start_two_regions() -> Fleet {
    let mut fleet = Fleet::start();
    fleet.add_daemon(DaemonIdentity::new("order-desk-1", "kigali", "kigali-a"));
    fleet.add_daemon(DaemonIdentity::new("order-desk-2", "kigali", "kigali-b"));
    fleet.add_daemon(DaemonIdentity::new("timber-yard-1", "huye", "huye-a"));
    fleet.add_daemon(DaemonIdentity::new("timber-yard-2", "huye", "huye-b"));
    fleet.add_target(0, "order-desk", 12);
    fleet.add_target(1, "order-desk", 12);
    fleet.add_target(2, "timber-yard", 12);
    fleet.add_target(3, "timber-yard", 12);
    fleet.wait_ready(15_000);
    fleet
}

#[test]
fn request_across_regions() {
    let fleet = start_two_regions();
    let (routes, pools) =
        (example_file("nyabugogo/routes.yaml"), example_file("nyabugogo/pools.yaml"));
    let applied = run_command(&fleet, 0, &["apply", &routes, &pools]);
    assert!(applied.status.success(), "{}", output_text(&applied));
    fleet.wait_version(1, 5_000);

    wait_for("the status shows all four daemons", 10_000, || {
        let status = run_command(&fleet, 3, &["status"]);
        output_text(&status).contains("4 of 4 daemons hold version 1.")
    });

    wait_for("a request reaches a target in the other region", 5_000, || {
        let response = fleet.request(0, Method::Get, "timber-yard", "/offcuts", "warm", "");
        response.is_ok_and(|response| response.status == 200)
    });
    let response =
        fleet.request(0, Method::Post, "timber-yard", "/saw", "order-1", "brass").unwrap();
    assert_eq!(response.header("x-pomeloreach-code"), Some("2000"));
    assert_eq!(response.header("x-pomeloreach-version"), Some("1"));
    assert_eq!(response.body, b"order-1 timber-yard 5");
    assert_eq!(fleet.run_count("order-1"), 1);
}

#[test]
fn route_set_to_other_pool() {
    let fleet = start_two_regions();
    let (routes, pools) =
        (example_file("nyabugogo/routes.yaml"), example_file("nyabugogo/pools.yaml"));
    assert!(run_command(&fleet, 0, &["apply", &routes, &pools]).status.success());
    fleet.wait_version(1, 5_000);
    let row = fleet.folder.join("row.yaml");
    std::fs::write(&row, "host: timber-yard\npool: order-desk\n").unwrap();
    let row = row.display().to_string();
    let set = run_command(&fleet, 1, &["routes", "set", "offcuts", "-f", &row]);
    assert!(set.status.success(), "{}", output_text(&set));
    fleet.wait_version(2, 5_000);
    let response = fleet.request(2, Method::Get, "timber-yard", "/offcuts", "moved", "").unwrap();
    assert_eq!(response.body, b"moved order-desk 0", "{response:?}");
}
