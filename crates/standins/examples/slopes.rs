//! Measures single operations at full size: the memory and time of membership records, the time of
//! edits, snapshots and route lookups, and the time to choose a target.
//!
//! Tables are measured at two sizes, to show how the cost grows: with one row per service, and with
//! four times as many.

use pomeloreach_core::balancer::Balancer;
use pomeloreach_core::config::Config;
use pomeloreach_core::edit::{Change, Edit, EditRequest, next_config};
use pomeloreach_core::endpoint::{Endpoint, TargetState};
use pomeloreach_core::log::ConfigLog;
use pomeloreach_core::matching::RouteTable;
use pomeloreach_core::membership::{Entry, Membership, Origin};
use pomeloreach_standins::daemon_usage::process_usage;
use std::collections::BTreeSet;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

/// The number of daemons at full size, each with one target.
const DAEMONS: usize = 18_000;
/// The number of services at full size; the daemons are spread evenly over them.
const SERVICES: usize = 470;
/// How often fast operations are repeated.
const REPEATS: u32 = 10_000;

fn main() {
    println!("| piece | figure |");
    println!("|---|---|");
    measure_records();
    measure_tables(SERVICES);
    measure_tables(4 * SERVICES);
    measure_choices();
}

/// Returns the membership record of a daemon's target.
fn record(number: usize) -> Endpoint {
    Endpoint {
        instance: format!("service-{}-{number}.0123abcd", number % SERVICES).into(),
        sequence: 3,
        service: format!("service-{}", number % SERVICES).into(),
        state: TargetState::Ready,
        region: format!("region-{}", number % 5).into(),
        zone: format!("zone-{}", number % 15).into(),
        addr: ([10, (number >> 16) as u8, (number >> 8) as u8, number as u8], 7400).into(),
        slots: 12,
        gone: false,
    }
}

/// Measures records: memory, merging, and marking a zone as gone.
fn measure_records() {
    let before_mb = process_usage(std::process::id()).1;
    let started = Instant::now();
    let mut membership = Membership::default();
    for number in 0..DAEMONS {
        membership.merge(record(number), Origin::Local, 0);
    }
    membership.take_changed();
    let us = started.elapsed().as_micros() as f64 / DAEMONS as f64;
    let mb = process_usage(std::process::id()).1 - before_mb;
    println!(
        "| memory of {DAEMONS} records | {mb:.1} MB, {:.0} bytes each |",
        mb * 1e6 / DAEMONS as f64
    );
    println!("| merging a record | {us:.1} us |");
    let started = Instant::now();
    let gone = membership.mark_gone_where(1, |entry| entry.record.zone.as_ref() == "zone-7");
    println!(
        "| marking a zone of {} gone | {:.1} ms |",
        gone.len(),
        started.elapsed().as_micros() as f64 / 1e3
    );
}

/// Returns the configuration after an edit.
fn apply_changes(config: &Config, changes: Vec<Change>) -> Config {
    let edit_id = format!("edit-{}", config.version).into();
    let request = EditRequest { edit_id, author: "slopes".into(), changes, asked_before: false };
    let (_, raw) = Edit::build(config, &request).expect("the edit is valid");
    next_config(config, config.version + 1, &raw)
}

/// Returns the changes that set the pool and the route of a service.
fn service_rows(row: usize) -> [Change; 2] {
    let name: Arc<str> = format!("service-{row}").into();
    let pool = serde_json::from_value(serde_json::json!({"service": name})).expect("valid");
    let route = serde_json::from_value(serde_json::json!({"host": name, "pool": name}));
    let route = route.expect("valid");
    [
        Change::SetPool { name: name.clone(), expected_in: 0, pool },
        Change::SetRoute { name, expected_in: 0, route },
    ]
}

/// Measures edits, snapshots and route lookups with `count` rows in each table.
fn measure_tables(count: usize) {
    let config = apply_changes(&Config::default(), (0..count).flat_map(service_rows).collect());
    let deletion = Change::DeleteRoute { name: "service-0".into(), expected_in: 1 };
    let edit_id = "one".into();
    let request = EditRequest {
        edit_id,
        author: "slopes".into(),
        changes: vec![deletion],
        asked_before: false,
    };
    let (_, raw) = Edit::build(&config, &request).expect("the edit is valid");
    let us = per_call_us(200, || {
        black_box(next_config(&config, 2, &raw));
    });
    println!("| taking in an edit with {count} rows a table | {us:.0} us, {} bytes |", raw.len());
    let mut log = ConfigLog::default();
    let all_rows = Edit::build(
        &Config::default(),
        &EditRequest {
            edit_id: "all".into(),
            author: "slopes".into(),
            changes: (0..count).flat_map(service_rows).collect(),
            asked_before: false,
        },
    );
    log.apply_edit(1, &all_rows.expect("the edit is valid").1.into());
    let started = Instant::now();
    let snapshot = log.snapshot();
    let us = started.elapsed().as_micros();
    println!("| snapshot of {count} rows a table | {} bytes, {us} us |", snapshot.len());
    let started = Instant::now();
    ConfigLog::default().apply_snapshot(&snapshot, None).expect("the snapshot is valid");
    println!("| taking in that snapshot | {} us |", started.elapsed().as_micros());
    let routes = RouteTable::new(&config);
    let us = per_call_us(REPEATS, || {
        black_box(routes.find("service-7", "/cut-lists", "GET"));
    });
    println!("| finding a route among {count} | {us:.2} us |");
}

/// Measures the choice among the targets of one service.
fn measure_choices() {
    let entries: Vec<Entry> = (0..DAEMONS / SERVICES)
        .map(|number| Entry {
            record: record(number * SERVICES),
            origin: Origin::Local,
            expires_ms: None,
            gone_since_ms: None,
            state_since_ms: 0,
        })
        .collect();
    let pool = serde_json::from_value(serde_json::json!({"service": "service-0"})).expect("valid");
    let mut balancer = Balancer::new("region-0".into(), "zone-0".into(), 1);
    let us = per_call_us(REPEATS, || {
        black_box(balancer.choose(&pool, &entries, &BTreeSet::new(), 60_000));
    });
    println!("| choosing one of {} targets | {us:.1} us |", entries.len());
}

/// Returns the mean time of a call, in microseconds.
fn per_call_us(repeats: u32, mut call: impl FnMut()) -> f64 {
    let started = Instant::now();
    for _ in 0..repeats {
        call();
    }
    started.elapsed().as_micros() as f64 / f64::from(repeats)
}
