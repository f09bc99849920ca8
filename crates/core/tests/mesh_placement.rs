//! Where requests go when load is at its worst.

use pomeloreach_core::endpoint::TargetState;
use pomeloreach_core::mesh::peers::Peers;
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

/// A daemon in zone a1 of region a with peers in its zone, its region and another region.
fn fleet(loads: [TargetLoad; 3]) -> Peers {
    let mut peers = Peers::new(record("own", "a", "a1"));
    let places = [("zone", "a", "a1"), ("region", "a", "a2"), ("far", "b", "b1")];
    for ((name, region, zone), load) in places.into_iter().zip(loads) {
        peers.update_record(record(name, region, zone), true, 0);
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
        goal_ms: 400,
        left_ms: 1_500,
        service_ms: Some(60.0),
        random: 0.0,
    }
}

fn chosen(peers: &Peers, local: Option<TargetLoad>, query: &PlacementQuery) -> String {
    let local = local.map(|load| target("own", load));
    match choose(peers, local.as_ref(), query, 0) {
        Placement::Local { .. } => "own".to_string(),
        Placement::Peer { name, .. } => name.to_string(),
        Placement::Full { .. } => "full".to_string(),
        Placement::NoTarget => "none".to_string(),
    }
}

const IDLE: u16 = 2;
/// A target whose queue is so long that a request would wait for 240 ms.
fn crowded() -> TargetLoad {
    TargetLoad { running: SLOTS, waiting: 39, ahead: [39; 4], ..load(SLOTS, 60.0) }
}

/// A target that cannot answer before the deadline.
fn hopeless() -> TargetLoad {
    TargetLoad { waiting: 250, ahead: [250; 4], ..crowded() }
}

#[yare::parameterized(
    at_home = { Some(load(IDLE, 60.0)), [load(IDLE, 60.0); 3], "own" },
    same_zone = { None, [load(IDLE, 60.0); 3], "zone" },
    burst_at_home = { Some(crowded()), [load(IDLE, 60.0); 3], "zone" },
    burst_in_zone = { Some(crowded()), [crowded(), load(IDLE, 60.0), load(IDLE, 60.0)], "region" },
    burst_in_region = { Some(crowded()), [crowded(), crowded(), load(IDLE, 60.0)], "far" },
    slow_target = { None, [load(IDLE, 400.0), load(IDLE, 60.0), load(IDLE, 60.0)], "region" },
    overload = { Some(hopeless()), [hopeless(), hopeless(), hopeless()], "full" },
)]
fn by_expected_time(local: Option<TargetLoad>, loads: [TargetLoad; 3], expected: &str) {
    let tried_daemons = BTreeSet::new();
    assert_eq!(chosen(&fleet(loads), local, &query(&tried_daemons)), expected);
}

/// A third of the targets fail part of their requests while they look idle.
#[test]
fn failing_target_is_avoided() {
    let failing = TargetLoad { failed_permille: 450, ..load(IDLE, 60.0) };
    let peers = fleet([failing, load(IDLE, 60.0), load(IDLE, 60.0)]);
    let tried_daemons = BTreeSet::new();
    assert_eq!(chosen(&peers, None, &query(&tried_daemons)), "region");
    let unsafe_query = PlacementQuery { is_idempotent: false, ..query(&tried_daemons) };
    assert_eq!(chosen(&peers, None, &unsafe_query), "region");
}

#[test]
fn tried_and_leaving_are_left_out() {
    let mut peers = fleet([load(IDLE, 60.0); 3]);
    let tried_daemons = BTreeSet::from([Arc::from("zone")]);
    assert_eq!(chosen(&peers, None, &query(&tried_daemons)), "region");
    let leaving = DaemonState { leaving: true, ..state("region", load(IDLE, 60.0)) };
    peers.apply_state("region", leaving, 0);
    assert_eq!(chosen(&peers, None, &query(&tried_daemons)), "far");
    peers.link_closed("far", 0);
    assert_eq!(chosen(&peers, None, &query(&tried_daemons)), "none");
}

/// A daemon that starts again has forgotten that its target left; its peers have not.
#[test]
fn left_stays_left() {
    let mut peers = fleet([load(IDLE, 60.0); 3]);
    let tried_daemons = BTreeSet::new();
    let mut draining = state("zone", load(IDLE, 60.0));
    draining.target.as_mut().unwrap().state = TargetState::Draining;
    peers.apply_state("zone", draining, 0);
    peers.link_closed("zone", 0);
    peers.link_opened("zone", state("zone", load(IDLE, 60.0)), 0);
    assert_eq!(chosen(&peers, None, &query(&tried_daemons)), "region");
    let mut successor = state("zone", load(IDLE, 60.0));
    successor.target.as_mut().unwrap().born_unix_ms = 200;
    peers.apply_state("zone", successor, 0);
    assert_eq!(chosen(&peers, None, &query(&tried_daemons)), "zone");
}

/// Without a fresh report a daemon counts what it has sent itself.
#[test]
fn own_calls_count() {
    let mut peers = fleet([load(0, 60.0), load(0, 60.0), load(IDLE, 60.0)]);
    let tried_daemons = BTreeSet::new();
    for _ in 0..30 {
        peers.call_started("zone");
    }
    assert_eq!(chosen(&peers, None, &query(&tried_daemons)), "region");
}

/// An inner call passes the reports that wait, so that their queue is none of its concern.
#[test]
fn rank_passes_the_queue() {
    let reports =
        TargetLoad { running: SLOTS, waiting: 12, ahead: [0, 0, 12, 12], ..load(SLOTS, 300.0) };
    let peers = fleet([reports; 3]);
    let tried_daemons = BTreeSet::new();
    let call = PlacementQuery {
        goal_ms: 150,
        left_ms: 450,
        service_ms: Some(40.0),
        rank: 1,
        ..query(&tried_daemons)
    };
    assert_eq!(chosen(&peers, None, &call), "zone");
    let last = PlacementQuery { rank: 2, ..call };
    assert_eq!(chosen(&peers, None, &last), "full");
}

/// A herd of daemons with the same reports does not choose the same target.
#[test]
fn near_ties_are_spread() {
    let mut peers = Peers::new(record("own", "a", "a1"));
    for index in 0..8 {
        let name = format!("d{index}");
        peers.update_record(record(&name, "a", "a1"), true, 0);
        peers.link_opened(&name, state(&name, load(IDLE, 60.0)), 0);
    }
    let tried_daemons = BTreeSet::new();
    let choices: BTreeSet<String> = (0..100)
        .map(|turn| {
            chosen(
                &peers,
                None,
                &PlacementQuery { random: f64::from(turn) / 100.0, ..query(&tried_daemons) },
            )
        })
        .collect();
    assert_eq!(choices.len(), 8, "{choices:?}");
}
