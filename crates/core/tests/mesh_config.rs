//! How a published configuration is checked, sent as a delta and read from the store.

use pomeloreach_core::code::ResultCode;
use pomeloreach_core::endpoint::TargetState;
use pomeloreach_core::mesh::delta::Delta;
use pomeloreach_core::mesh::peers::{Peers, RecordSource};
use pomeloreach_core::mesh::published::{PublishedConfig, missing_route_code};
use pomeloreach_core::mesh::readers::{
    Confirmation, confirmed_revision, reported_confirmation, should_read,
};
use pomeloreach_core::mesh::round_robin::WeightedRoundRobin;
use pomeloreach_core::mesh::state::{
    ConfigState, DaemonRecord, DaemonState, TargetLoad, TargetSummary,
};
use pomeloreach_core::row::{Pool, Route};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

fn route(path_prefix: &str, pools: &[(&str, u32)]) -> Route {
    let weights: BTreeMap<Arc<str>, u32> =
        pools.iter().map(|(pool, weight)| ((*pool).into(), *weight)).collect();
    Route {
        host: "shop.example".into(),
        path_prefix: path_prefix.into(),
        methods: Default::default(),
        pool: pools[0].0.into(),
        idempotent: true,
        deadline_ms: 1_000,
        weights: if pools.len() > 1 { weights } else { BTreeMap::new() },
        target_latency_ms: Some(300),
        priority: 1,
        attempts_max: Some(2),
        is_public: false,
    }
}

fn published(version: u64, routes: &[(&str, Route)], pools: &[&str]) -> PublishedConfig {
    PublishedConfig {
        version,
        routes: routes.iter().map(|(name, route)| ((*name).into(), route.clone())).collect(),
        pools: pools
            .iter()
            .map(|name| ((*name).into(), Pool::with_defaults((*name).into())))
            .collect(),
        ..PublishedConfig::default()
    }
}

#[test]
fn delta_reproduces_version() {
    let base = published(3, &[("a", route("/a/", &[("x", 1)]))], &["x", "y"]);
    let next = published(
        7,
        &[("a", route("/a/", &[("y", 1)])), ("b", route("/b/", &[("x", 9), ("y", 1)]))],
        &["x", "y"],
    );
    let delta = Delta::between(&base, &next);
    assert_eq!(delta.routes.len(), 2);
    assert!(delta.pools.is_empty());
    assert_eq!(delta.apply(&base), Some(next.clone()));
    let json = serde_json::to_vec(&delta).unwrap();
    let decoded: Delta = serde_json::from_slice(&json).unwrap();
    assert_eq!(decoded, delta);
    let all = Delta::between(&PublishedConfig::default(), &next);
    assert_eq!(all.apply(&PublishedConfig::default()), Some(next));
}

#[test]
fn delta_requires_base() {
    let base = published(3, &[("a", route("/a/", &[("x", 1)]))], &["x"]);
    let other = published(3, &[("c", route("/c/", &[("x", 1)]))], &["x"]);
    let next = published(4, &[("b", route("/b/", &[("x", 1)]))], &["x"]);
    let delta = Delta::between(&base, &next);
    assert_eq!(delta.apply(&next), None, "base with another version");
    assert_eq!(delta.apply(&other), None, "base with the same version but other rows");
}

#[yare::parameterized(
    pool_missing = { &[("x", 1), ("gone", 1)], ResultCode::VersionPoolMissing },
    no_weight = { &[("x", 0), ("y", 0)], ResultCode::VersionRowOutOfBounds },
)]
fn invalid_version_is_refused(pools: &[(&str, u32)], code: ResultCode) {
    let invalid = published(1, &[("a", route("/a/", pools))], &["x", "y"]);
    assert_eq!(invalid.route_table().unwrap_err().code, code);
}

#[yare::parameterized(
    newest_in_force = { 7, 7, ResultCode::NoRoute },
    peers_behind = { 7, 3, ResultCode::NoRoute },
    newer_version_known = { 7, 9, ResultCode::ConfigOutdated },
)]
fn route_may_be_in_newer_version(version_in_force: u64, newest_known: u64, code: ResultCode) {
    assert_eq!(missing_route_code(version_in_force, newest_known), code);
}

/// Each of these rows exceeds a bound of the tables that operators edit with our commands.
#[yare::parameterized(
    path_prefix = { "a", |route: &mut Route| route.path_prefix = "/a".repeat(200).into() },
    name = { "Route_A.with-a-long-name/of-more-than-63-characters/and-a-slash-in-it", |_| () },
    host = { "a", |route: &mut Route| route.host = "under_score.example".into() },
    deadline = { "a", |route: &mut Route| route.deadline_ms = 3_600_000 },
    attempts = { "a", |route: &mut Route| route.attempts_max = Some(200) },
    weight = { "a", |route: &mut Route| route.weights = [("x".into(), 5_000_000)].into() },
)]
fn row_beyond_own_bounds_is_accepted(name: &str, change: fn(&mut Route)) {
    let mut large = route("/a/", &[("x", 1)]);
    change(&mut large);
    let table = published(1, &[(name, large)], &["x"]).route_table();
    assert!(table.is_ok(), "{:?}", table.unwrap_err());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// In any sequence of requests the number for each pool is within two of its share.
    #[test]
    fn pools_get_weighted_shares(weights in prop::collection::vec(1_u32..100, 2..5), from in 0_usize..50, span in 1_usize..200) {
        let names = ["p0", "p1", "p2", "p3"];
        let parts: Vec<(&str, u32)> =
            names.iter().zip(&weights).map(|(name, weight)| (*name, *weight)).collect();
        let table = published(1, &[("a", route("/a/", &parts))], &names).route_table().unwrap();
        let matched = table.find("shop.example", "/a/1", "GET").unwrap();
        let mut round_robin = WeightedRoundRobin::default();
        let chosen: Vec<Arc<str>> =
            (0..from + span).map(|_| round_robin.next(matched).pool.service.clone()).collect();
        let total: u32 = weights.iter().sum();
        for (name, weight) in &parts {
            let actual =
                chosen[from..].iter().filter(|service| &***service == *name).count() as f64;
            let expected = span as f64 * f64::from(*weight) / f64::from(total);
            prop_assert!((actual - expected).abs() <= 2.0, "{name}: {actual}, not {expected}");
        }
    }
}

/// Few requests at each of many daemons: the fleet as a whole keeps the weights.
#[test]
fn fleet_keeps_weights() {
    let table = published(1, &[("a", route("/a/", &[("x", 90), ("y", 10)]))], &["x", "y"])
        .route_table()
        .unwrap();
    let matched = table.find("shop.example", "/a/1", "GET").unwrap();
    let mut of_y = 0;
    for seed in 0..100 {
        let mut round_robin = WeightedRoundRobin::with_seed(seed);
        let chosen = (0..2).map(|_| round_robin.next(matched).pool.service.clone());
        of_y += chosen.filter(|service| &**service == "y").count();
    }
    assert!((10..=30).contains(&of_y), "{of_y} of 200 requests, not 20");
}

/// The peers and configuration state of daemon `local` of five. The first three are near the store.
fn fleet(local: usize, ages_ms: [Option<u32>; 5]) -> (Peers, ConfigState) {
    let rtt = |index: usize| Some(if index < 3 { 8 } else { 70 });
    let config = |index: usize| ConfigState {
        version: 5,
        confirmed_age_ms: ages_ms[index],
        store_rtt_ms: rtt(index),
        store_era: Some(1),
        confirmed_revision: Some(index as u64),
    };
    let record = |index: usize| DaemonRecord {
        name: format!("d{index}").into(),
        start_id: 1,
        region: "a".into(),
        zone: "a1".into(),
        service: "s".into(),
        link_addr: "127.0.0.1:1".parse().unwrap(),
    };
    let mut peers = Peers::new(record(local));
    for index in (0..5).filter(|index| *index != local) {
        let name = format!("d{index}");
        peers.update_record(record(index), RecordSource::Owner, 0);
        let target = TargetSummary {
            id: "t".into(),
            born_unix_ms: 100,
            service: "s".into(),
            state: TargetState::Ready,
            load: TargetLoad::default(),
        };
        let state = DaemonState { leaving: false, target: Some(target), config: config(index) };
        peers.link_opened(&name, state, 0);
    }
    (peers, config(local))
}

#[yare::parameterized(
    first_reader = { 0, [Some(10), Some(10), None, None, None], 0, true },
    second_reader = { 1, [Some(10), Some(10), None, None, None], 0, true },
    third_by_position = { 2, [Some(10), Some(10), None, None, None], 0, false },
    far_from_store = { 4, [Some(10), Some(10), None, None, None], 0, false },
    confirmation_still_fresh = { 4, [Some(10), Some(10), None, None, None], 900, false },
    readers_silent = { 4, [Some(10), Some(10), None, None, None], 1_500, true },
    readers_lost_store = { 2, [Some(1_300), Some(1_400), None, None, None], 0, true },
    one_reader_left = { 3, [Some(9_000), Some(10), None, None, None], 0, false },
)]
fn reader_selection(local: usize, ages_ms: [Option<u32>; 5], now_ms: u64, expected: bool) {
    let (peers, config) = fleet(local, ages_ms);
    assert_eq!(should_read(&peers, config, None, now_ms), expected);
}

/// In a fleet that starts before the operator has written a configuration, only the readers look for
/// it again and again.
#[test]
fn missing_config_is_left_to_readers() {
    let without_config = |local| {
        (fleet(local, [None; 5]).0, ConfigState { version: 0, ..fleet(local, [None; 5]).1 })
    };
    for (local, missing_ms, expected) in
        [(0, Some(900), true), (2, Some(900), false), (2, None, true), (4, Some(900), false)]
    {
        let (peers, config) = without_config(local);
        assert_eq!(should_read(&peers, config, missing_ms, 1_000), expected, "daemon {local}");
    }
    let (peers, config) = without_config(4);
    assert!(should_read(&peers, config, Some(900), 5_000), "the readers may be gone");
}

/// Daemons that lose their readers do not all read at the same time, but all early enough for a
/// version to be in force within 2,500 ms.
#[test]
fn readers_are_staggered() {
    let starts: Vec<u64> = (2..5)
        .map(|local| {
            let (peers, config) = fleet(local, [Some(0), Some(0), None, None, None]);
            (0..5_000).find(|now_ms| should_read(&peers, config, None, *now_ms)).unwrap()
        })
        .collect();
    assert!(starts.windows(2).all(|pair| pair[0] < pair[1]), "{starts:?}");
    assert!(starts.iter().all(|start| *start < 1_600), "too late to be in force: {starts:?}");
}

/// The revision of a peer counts only if the peer holds the same version in the same era.
#[yare::parameterized(
    newest_of_peers = { ConfigState::default(), Some(4) },
    other_version = { ConfigState { version: 6, ..ConfigState::default() }, None },
    own_revision = { ConfigState { version: 6, confirmed_revision: Some(9), ..ConfigState::default() }, Some(9) },
    other_era = { ConfigState { store_era: Some(2), ..ConfigState::default() }, None },
)]
fn revision_to_watch_from(changed: ConfigState, revision: Option<u64>) {
    let (peers, state) = fleet(0, [None; 5]);
    let local = ConfigState {
        version: changed.version.max(state.version),
        store_era: changed.store_era.max(state.store_era),
        confirmed_revision: changed.confirmed_revision,
        ..state
    };
    assert_eq!(confirmed_revision(&peers, local), revision);
    assert_eq!(confirmed_revision(&peers, ConfigState::default()), None, "no version in force");
}

/// A daemon that received the rows of a version after peers had confirmed it did not know of that
/// confirmation, and read the version from the store again.
#[yare::parameterized(
    newest_of_peers = { [None, Some(300), Some(200), None, None], 0, Some(-200) },
    by_own_clock = { [None, Some(300), Some(200), None, None], 1_000, Some(-200) },
    not_of_peers = { [Some(10), None, None, None, None], 0, None },
)]
fn confirmation_of_peers(ages_ms: [Option<u32>; 5], now_ms: u64, confirmed_ms: Option<i64>) {
    let (peers, state) = fleet(0, ages_ms);
    let local = ConfigState { confirmed_revision: None, ..state };
    let revision = Some(4);
    let expected = confirmed_ms.map(|confirmed_ms| Confirmation { confirmed_ms, revision });
    assert_eq!(reported_confirmation(&peers, local, now_ms), expected);
    let other_version = ConfigState { version: 6, ..local };
    assert_eq!(reported_confirmation(&peers, other_version, now_ms), None);
    let other_era = ConfigState { store_era: Some(2), ..local };
    let without_revision = confirmed_ms.map(|ms| Confirmation { confirmed_ms: ms, revision: None });
    assert_eq!(reported_confirmation(&peers, other_era, now_ms), without_revision);
}
