//! Which links daemons keep as the mesh grows and after losses.

use pomeloreach_core::endpoint::TargetState;
use pomeloreach_core::mesh::peers::{Peer, Peers, RecordSource};
use pomeloreach_core::mesh::state::{
    ConfigState, DaemonRecord, DaemonState, TargetLoad, TargetSummary,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const REGIONS: [&str; 3] = ["a", "b", "c"];

fn record(index: usize) -> DaemonRecord {
    let region = REGIONS[index % REGIONS.len()];
    DaemonRecord {
        name: format!("d{index:04}").into(),
        start_id: 1,
        region: region.into(),
        zone: format!("{region}{}", index / 3 % 2).into(),
        service: if (index / 3).is_multiple_of(3) { "yard" } else { "desk" }.into(),
        link_addr: "127.0.0.1:1".parse().unwrap(),
    }
}

fn state(target_state: TargetState) -> DaemonState {
    let target = TargetSummary {
        id: "t".into(),
        born_unix_ms: 1,
        service: "desk".into(),
        state: target_state,
        load: TargetLoad::default(),
    };
    DaemonState { leaving: false, target: Some(target), config: ConfigState::default() }
}

/// The peers of daemon `local` in a mesh of `daemons`.
fn peers_of(local: usize, daemons: usize) -> Peers {
    let mut peers = Peers::new(record(local));
    for index in (0..daemons).filter(|index| *index != local) {
        peers.update_record(record(index), RecordSource::Store, 0);
    }
    peers
}

/// The peers that a daemon dials.
fn dials(peers: &mut Peers, now_ms: u64) -> Vec<DaemonRecord> {
    let wanted = peers.wanted_links(now_ms);
    peers.take_due_dials(&wanted, now_ms)
}

/// The peers of other regions that a daemon dials.
fn cross_region_dials(peers: &mut Peers, now_ms: u64) -> Vec<DaemonRecord> {
    let local_region = peers.local().region.clone();
    dials(peers, now_ms).into_iter().filter(|record| record.region != local_region).collect()
}

/// The links that a daemon of a fleet with this many services, regions and zones in each region
/// should have at most, whatever the number of daemons: 16 to the targets of each service in its
/// zone, 3 in each other zone and 2 in each other region; and for the first daemons of a zone two to
/// each other zone.
fn links_max(services: usize, regions: usize, zones: usize) -> usize {
    services * (16 + 3 * (zones - 1) + 2 * (regions - 1)) + 2 * (regions * zones - 1)
}

#[yare::parameterized(
    daemons_30 = { 30 },
    daemons_195 = { 195 },
    daemons_1000 = { 1_000 },
)]
fn links_are_bounded_and_spread(daemons: usize) {
    let mut links_to: BTreeMap<_, usize> = BTreeMap::new();
    let mut links = 0;
    for local in 0..daemons {
        let dialled = dials(&mut peers_of(local, daemons), 0);
        assert!(dialled.len() <= links_max(2, 3, 2), "{}", dialled.len());
        links += dialled.len();
        for record in dialled {
            *links_to.entry(record.name).or_default() += 1;
        }
    }
    let highest = links_to.values().max().copied().unwrap_or_default();
    let mean = links / daemons;
    assert!(
        highest <= 3 * mean + 10,
        "links are not spread: one has {highest}, the mean is {mean}"
    );
    assert!(links_to.len() == daemons, "a target has no link of any other daemon");
}

/// In a zone with more daemons than each links to, some have no link to the daemon that keeps the
/// zone's quotas, and could draw no credit.
#[test]
fn every_daemon_links_to_the_quota_keeper() {
    let daemons = 1_000;
    let keeper = record(0);
    let in_zone = |index: &usize| record(*index).zone == keeper.zone;
    let mut linked_without_quotas = 0;
    for local in (1..daemons).filter(in_zone) {
        let mut peers = peers_of(local, daemons);
        linked_without_quotas += usize::from(peers.wanted_links(0).contains(&keeper.name));
        peers.set_has_quotas(true);
        assert!(peers.wanted_links(0).contains(&keeper.name), "{local} has no link to the keeper");
    }
    // Without quotas the links would only cost.
    assert!(linked_without_quotas < 60, "{linked_without_quotas} daemons link to the first one");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Fleets of any size and layout, in which a part of the peers cannot be reached: the number of
    /// links stays bounded, and a reachable target of each service of the region is linked if there
    /// is one.
    #[test]
    fn any_fleet_is_bounded_and_complete(
        daemons in 30_usize..20_000,
        regions in 1_usize..6,
        zones in 1_usize..4,
        services in 1_usize..6,
        lost_percent in 0_usize..60,
        local in 0_usize..30,
    ) {
        let record = |index: usize| {
            let region = index % regions;
            DaemonRecord {
                name: format!("d{index:05}").into(),
                region: format!("r{region}").into(),
                zone: format!("r{region}z{}", index / regions % zones).into(),
                service: format!("s{}", index / (regions * zones) % services).into(),
                ..record(index)
            }
        };
        let mut peers = Peers::new(record(local));
        for index in (0..daemons).filter(|index| *index != local) {
            peers.update_record(record(index), RecordSource::Store, 0);
        }
        let is_lost = |name: &str| name[1..].parse::<usize>().unwrap() * 37 % 100 < lost_percent;
        for round in 0..12_u64 {
            let now_ms = round * 5_000;
            for dialled in dials(&mut peers, now_ms) {
                if !is_lost(&dialled.name) {
                    peers.link_opened(&dialled.name, state(TargetState::Ready), now_ms);
                }
            }
            let wanted = peers.wanted_links(now_ms);
            // Lost peers are dialled again and again, and replaced by others meanwhile.
            prop_assert!(wanted.len() <= 4 * links_max(services, regions, zones));
        }
        let local = record(local);
        for service in 0..services {
            let service = format!("s{service}");
            let in_region = |peer: &DaemonRecord| {
                peer.region == local.region && *peer.service == service && peer.name != local.name
            };
            let is_reachable = |peer: &Peer| in_region(&peer.record) && !is_lost(&peer.record.name);
            let reachable = peers.all().filter(|peer| is_reachable(peer)).count();
            let linked = peers.linked().filter(|peer| in_region(&peer.record)).count();
            prop_assert!(linked > 0 || reachable == 0, "no target of {service} is linked");
        }
    }
}

#[test]
fn small_zone_is_fully_linked() {
    let same_zone = |record: &&DaemonRecord| &*record.zone == "a0";
    let dialled = dials(&mut peers_of(0, 71), 0);
    assert_eq!(dialled.iter().filter(same_zone).count(), 11);
}

/// A peer that is unreachable, or whose target is not ready, is replaced by the next one.
#[test]
fn lost_peers_are_replaced() {
    let mut peers = peers_of(0, 71);
    let first = cross_region_dials(&mut peers, 0);
    let (unreachable, draining) = (first[0].name.clone(), first[1].name.clone());
    for record in first.iter().filter(|record| record.name != unreachable) {
        peers.link_opened(&record.name, state(TargetState::Ready), 0);
    }
    assert!(
        cross_region_dials(&mut peers, 1_000).iter().all(|record| record.name == unreachable),
        "only the unreachable peer may be dialled again"
    );
    peers.apply_state(&draining, state(TargetState::Draining), 1_000);
    let replacements: Vec<_> =
        (2..20).flat_map(|second| cross_region_dials(&mut peers, second * 1_000)).collect();
    let is_new = |record: &&DaemonRecord| first.iter().all(|known| known.name != record.name);
    assert!(replacements.iter().filter(is_new).count() >= 2, "each must be replaced");
}

/// In a fleet that starts, links are open before targets are announced. No further links are opened
/// at once for that reason, but later if a peer gets no target.
#[test]
fn starting_targets_are_awaited() {
    let mut peers = peers_of(0, 195);
    let first = dials(&mut peers, 0);
    let starting = DaemonState { target: None, ..state(TargetState::Ready) };
    for record in &first {
        peers.link_opened(&record.name, starting.clone(), 0);
    }
    assert!(dials(&mut peers, 1_000).is_empty());
    assert!(!dials(&mut peers, 10_000).is_empty());
}

/// Links that are no longer wanted are closed after a minimum time.
#[test]
fn surplus_links_are_closed() {
    let mut peers = peers_of(0, 71);
    let wanted = cross_region_dials(&mut peers, 0);
    let surplus = (0..71).map(record).find(|other| {
        other.region != peers.local().region && wanted.iter().all(|known| known.name != other.name)
    });
    let surplus = surplus.unwrap().name;
    for record in &wanted {
        peers.link_opened(&record.name, state(TargetState::Ready), 0);
    }
    peers.link_opened(&surplus, state(TargetState::Ready), 0);
    let surplus_links =
        |peers: &Peers, now_ms| peers.surplus_links(&peers.wanted_links(now_ms), now_ms);
    assert!(surplus_links(&peers, 1_000).is_empty(), "the link must stay open for a minimum time");
    assert_eq!(surplus_links(&peers, 30_000), std::slice::from_ref(&surplus));
    peers.call_started(&surplus);
    assert!(surplus_links(&peers, 30_000).is_empty(), "a link that carries a call must stay open");
}
