//! The whole path with real processes: tables, daemons in two regions, targets, requests.

use http_types::Method;
use pomeloreach_standins::fleet::{DaemonIdentity, Fleet, binary_path, wait_for};
use std::path::PathBuf;
use std::process::{Command, Output};

fn sample(path: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    root.join(path).display().to_string()
}

fn operator(fleet: &Fleet, daemon: usize, args: &[&str]) -> Output {
    let addr = fleet.daemons[daemon].operator_addr.to_string();
    let command = Command::new(binary_path("pomeloreach")).args(["-d", &addr]).args(args).output();
    command.expect("the operators' command starts")
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

fn two_regions() -> Fleet {
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
fn serves_across_regions() {
    let fleet = two_regions();
    let (routes, pools) = (sample("nyabugogo/routes.yaml"), sample("nyabugogo/pools.yaml"));
    let applied = operator(&fleet, 0, &["apply", &routes, &pools]);
    assert!(applied.status.success(), "{}", text(&applied));
    fleet.wait_version(1, 5_000);

    wait_for("status shows all four daemons", 10_000, || {
        let status = operator(&fleet, 3, &["status"]);
        text(&status).contains("4 of 4 daemons hold version 1.")
    });

    wait_for("a request crosses the regions", 5_000, || {
        let answer = fleet.request(0, Method::Get, "timber-yard", "/offcuts", "warm", "");
        answer.is_ok_and(|answer| answer.status == 200)
    });
    let answer = fleet.request(0, Method::Post, "timber-yard", "/saw", "order-1", "brass").unwrap();
    assert_eq!(answer.header("x-pomeloreach-code"), Some("2000"));
    assert_eq!(answer.header("x-pomeloreach-version"), Some("1"));
    assert_eq!(answer.body, b"order-1 timber-yard 5");
    assert_eq!(fleet.run_count("order-1"), 1);
}

#[test]
fn edit_moves_traffic() {
    let fleet = two_regions();
    let (routes, pools) = (sample("nyabugogo/routes.yaml"), sample("nyabugogo/pools.yaml"));
    assert!(operator(&fleet, 0, &["apply", &routes, &pools]).status.success());
    fleet.wait_version(1, 5_000);
    let row = fleet.folder.join("row.yaml");
    std::fs::write(&row, "host: timber-yard\npool: order-desk\n").unwrap();
    let row = row.display().to_string();
    let set = operator(&fleet, 1, &["routes", "set", "offcuts", "-f", &row]);
    assert!(set.status.success(), "{}", text(&set));
    fleet.wait_version(2, 5_000);
    let answer = fleet.request(2, Method::Get, "timber-yard", "/offcuts", "moved", "").unwrap();
    assert_eq!(answer.body, b"moved order-desk 0", "{answer:?}");
}
