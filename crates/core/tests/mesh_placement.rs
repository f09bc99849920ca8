//! Which target the placer chooses under high load, failures and departures.

use pomeloreach_core::account::combined_rank;
use pomeloreach_core::endpoint::TargetState;
use pomeloreach_core::mesh::peers::{Peers, RecordSource};
use pomeloreach_core::mesh::placer::{Placement, PlacementQuery, choose};
use pomeloreach_core::mesh::state::{
    ConfigState, DaemonRecord, DaemonState, TargetLoad, TargetSummary,
};
use std::collections::BTreeSet;
use std::sync::Arc;

const SLOTS: u16 = 10;

fn record(name: &str, region: &str, zone: &str) -> DaemonRecord {
    DaemonRecord {
        name: name.into(),
        start_id: 1,
        region: region.into(),
        zone: zone.into(),
        service: "desk".into(),
        link_addr: "127.0.0.1:1".parse().unwrap(),
    }
}

fn target(name: &str, load: TargetLoad) -> TargetSummary {
    let (id, service) = (format!("t-{name}").into(), "desk".into());
    TargetSummary { id, born_unix_ms: 100, service, state: TargetState::Ready, load }
}

fn load(running: u16, service_ms: f32) -> TargetLoad {
    TargetLoad { running, slots: SLOTS, service_ms, ..TargetLoad::default() }
}

fn state(name: &str, load: TargetLoad) -> DaemonState {
    DaemonState { leaving: false, target: Some(target(name, load)), config: ConfigState::default() }
}

/// A daemon in zone a1 of region a with one peer each in its zone, its region and another region.
fn fleet(loads: [TargetLoad; 3]) -> Peers {
    let mut peers = Peers::new(record("local", "a", "a1"));
    let locations = [("zone", "a", "a1"), ("region", "a", "a2"), ("remote", "b", "b1")];
    for ((name, region, zone), load) in locations.into_iter().zip(loads) {
        peers.update_record(record(name, region, zone), RecordSource::Owner, 0);
        peers.link_opened(name, state(name, load), 0);
    }
    peers
}

fn query(tried_daemons: &BTreeSet<Arc<str>>) -> PlacementQuery<'_> {
    PlacementQuery {
        service: "desk",
        tried_daemons,
        is_idempotent: true,
        rank: 1,
        goal_left_ms: 400,
        left_ms: 1_500,
        service_ms: Some(60.0),
        body_bytes: 0,
        random: 0.0,
    }
}

fn chosen(peers: &Peers, local: Option<TargetLoad>, query: &PlacementQuery) -> String {
    let local = local.map(|load| target("local", load));
    match choose(peers, local.as_ref(), query, 0) {
        Placement::Local { .. } => "local".to_string(),
        Placement::Peer { name, .. } => name.to_string(),
        Placement::Full { .. } => "full".to_string(),
        Placement::NoTarget => "none".to_string(),
    }
}

/// The running requests of a target with a low load.
const LOW_LOAD: u16 = 2;
/// The load of a target with a queue in which a request would wait for 240 ms.
fn long_queue() -> TargetLoad {
    TargetLoad { running: SLOTS, waiting: 39, ahead: [39; 4], ..load(SLOTS, 60.0) }
}

/// The load of a target that cannot respond before the deadline.
fn overloaded() -> TargetLoad {
    TargetLoad { waiting: 250, ahead: [250; 4], ..long_queue() }
}

#[yare::parameterized(
    local_target = { Some(load(LOW_LOAD, 60.0)), [load(LOW_LOAD, 60.0); 3], "local" },
    same_zone = { None, [load(LOW_LOAD, 60.0); 3], "zone" },
    local_burst = { Some(long_queue()), [load(LOW_LOAD, 60.0); 3], "zone" },
    zone_burst = {
        Some(long_queue()), [long_queue(), load(LOW_LOAD, 60.0), load(LOW_LOAD, 60.0)], "region"
    },
    region_burst = {
        Some(long_queue()), [long_queue(), long_queue(), load(LOW_LOAD, 60.0)], "remote"
    },
    slow_target = {
        None, [load(LOW_LOAD, 400.0), load(LOW_LOAD, 60.0), load(LOW_LOAD, 60.0)], "region"
    },
    overload = { Some(overloaded()), [overloaded(), overloaded(), overloaded()], "full" },
)]
fn target_by_load(local: Option<TargetLoad>, loads: [TargetLoad; 3], expected: &str) {
    let tried_daemons = BTreeSet::new();
    assert_eq!(chosen(&fleet(loads), local, &query(&tried_daemons)), expected);
}

/// A target fails part of its requests although its load is low.
#[test]
fn failing_target_is_avoided() {
    let failing = TargetLoad { failed_permille: 450, ..load(LOW_LOAD, 60.0) };
    let peers = fleet([failing, load(LOW_LOAD, 60.0), load(LOW_LOAD, 60.0)]);
    let tried_daemons = BTreeSet::new();
    assert_eq!(chosen(&peers, None, &query(&tried_daemons)), "region");
    let non_idempotent = PlacementQuery { is_idempotent: false, ..query(&tried_daemons) };
    assert_eq!(chosen(&peers, None, &non_idempotent), "region");
}

#[test]
fn tried_and_leaving_are_excluded() {
    let mut peers = fleet([load(LOW_LOAD, 60.0); 3]);
    let tried_daemons = BTreeSet::from([Arc::from("zone")]);
    assert_eq!(chosen(&peers, None, &query(&tried_daemons)), "region");
    let leaving = DaemonState { leaving: true, ..state("region", load(LOW_LOAD, 60.0)) };
    peers.apply_state("region", leaving, 0);
    assert_eq!(chosen(&peers, None, &query(&tried_daemons)), "remote");
    peers.link_closed("remote", 0);
    assert_eq!(chosen(&peers, None, &query(&tried_daemons)), "none");
}

/// A daemon that restarts does not know that its target has left, but its peers remember that.
#[test]
fn departed_target_stays_excluded() {
    let mut peers = fleet([load(LOW_LOAD, 60.0); 3]);
    let tried_daemons = BTreeSet::new();
    let mut draining = state("zone", load(LOW_LOAD, 60.0));
    draining.target.as_mut().unwrap().state = TargetState::Draining;
    peers.apply_state("zone", draining, 0);
    peers.link_closed("zone", 0);
    peers.link_opened("zone", state("zone", load(LOW_LOAD, 60.0)), 0);
    assert_eq!(chosen(&peers, None, &query(&tried_daemons)), "region");
    let mut successor = state("zone", load(LOW_LOAD, 60.0));
    successor.target.as_mut().unwrap().born_unix_ms = 200;
    peers.apply_state("zone", successor, 0);
    assert_eq!(chosen(&peers, None, &query(&tried_daemons)), "zone");
}

/// Until a peer's next load report a daemon adds the calls that it has sent itself.
#[test]
fn unreported_calls_are_counted() {
    let mut peers = fleet([load(0, 60.0), load(0, 60.0), load(LOW_LOAD, 60.0)]);
    let tried_daemons = BTreeSet::new();
    for _ in 0..30 {
        peers.call_started("zone");
    }
    assert_eq!(chosen(&peers, None, &query(&tried_daemons)), "region");
}

/// A request of rank 1 runs before queued ones of rank 2, so their queue does not delay it.
#[test]
fn lower_rank_skips_queue() {
    let rank_2_queue =
        TargetLoad { running: SLOTS, waiting: 12, ahead: [0, 0, 12, 12], ..load(SLOTS, 300.0) };
    let peers = fleet([rank_2_queue; 3]);
    let tried_daemons = BTreeSet::new();
    let urgent = PlacementQuery {
        goal_left_ms: 150,
        left_ms: 450,
        service_ms: Some(40.0),
        rank: 1,
        ..query(&tried_daemons)
    };
    assert_eq!(chosen(&peers, None, &urgent), "zone");
    let same_rank = PlacementQuery { rank: 2, ..urgent };
    assert_eq!(chosen(&peers, None, &same_rank), "full");
}

/// Guards against load reports that mix up the priorities of accounts and routes: a request of an
/// account of priority 0 is not delayed by the queue of priority 1, whatever its route's priority.
#[test]
fn account_priority_skips_queue() {
    let later_accounts = TargetLoad {
        running: SLOTS,
        waiting: 12,
        ahead: [0; 4],
        ahead_by_account: Some([[0, 0, 12, 12], [12; 4], [12; 4]]),
        ..load(SLOTS, 300.0)
    };
    let peers = fleet([later_accounts; 3]);
    let tried_daemons = BTreeSet::new();
    let query_of = |account_priority, route_priority| PlacementQuery {
        goal_left_ms: 150,
        left_ms: 450,
        service_ms: Some(40.0),
        rank: combined_rank(account_priority, route_priority),
        ..query(&tried_daemons)
    };
    assert_eq!(chosen(&peers, None, &query_of(0, 9)), "zone");
    assert_eq!(chosen(&peers, None, &query_of(1, 1)), "zone");
    assert_eq!(chosen(&peers, None, &query_of(1, 2)), "full");
    assert_eq!(chosen(&peers, None, &query_of(2, 0)), "full");
}

/// Daemons with the same load reports do not all choose the same target.
#[test]
fn equal_loads_are_spread() {
    let mut peers = Peers::new(record("local", "a", "a1"));
    for index in 0..8 {
        let name = format!("d{index}");
        peers.update_record(record(&name, "a", "a1"), RecordSource::Owner, 0);
        peers.link_opened(&name, state(&name, load(LOW_LOAD, 60.0)), 0);
    }
    let tried_daemons = BTreeSet::new();
    let choices: BTreeSet<String> = (0..100)
        .map(|step| {
            chosen(
                &peers,
                None,
                &PlacementQuery { random: f64::from(step) / 100.0, ..query(&tried_daemons) },
            )
        })
        .collect();
    assert_eq!(choices.len(), 8, "{choices:?}");
}

/// All requests of a target timed out, and it has recovered since: it must be tried again, although
/// its measured service time is longer than the time left. A target that is still busy is not.
#[test]
fn idle_target_is_tried_again() {
    let timed_out = |running| TargetLoad { running, ..load(0, 5_000.0) };
    let tried_daemons = BTreeSet::new();
    let query = PlacementQuery { service_ms: None, ..query(&tried_daemons) };
    let idle = fleet([timed_out(0), timed_out(1), timed_out(1)]);
    assert_eq!(chosen(&idle, None, &query), "zone");
    let busy = fleet([timed_out(1), timed_out(1), timed_out(1)]);
    assert_eq!(chosen(&busy, None, &query), "full");
}

/// The links of all targets are full of bodies: an upload is refused at its origin, also if a target
/// has nothing to do, and small requests are not affected.
#[test]
fn full_links_refuse_uploads() {
    let full_link = TargetLoad { body_wait_ms: 5_000, body_bytes_per_ms: 1_150, ..load(0, 60.0) };
    let peers = fleet([full_link; 3]);
    let tried_daemons = BTreeSet::new();
    let small = query(&tried_daemons);
    assert_eq!(chosen(&peers, None, &small), "zone");
    let upload = PlacementQuery { body_bytes: 60_000, ..small };
    assert_eq!(chosen(&peers, None, &upload), "full");
    let free_link = TargetLoad { body_wait_ms: 0, ..full_link };
    assert_eq!(chosen(&fleet([full_link, free_link, full_link]), None, &upload), "region");
}
