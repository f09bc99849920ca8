//! Which links daemons keep as the mesh grows and after losses.

use pomeloreach_core::endpoint::TargetState;
use pomeloreach_core::mesh::peers::Peers;
use pomeloreach_core::mesh::state::{
    ConfigState, DaemonRecord, DaemonState, TargetLoad, TargetSummary,
};
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
        peers.update_record(record(index), false, 0);
    }
    peers
}

/// The peers of other regions that a daemon dials.
fn cross_region_dials(peers: &mut Peers, now_ms: u64) -> Vec<DaemonRecord> {
    let local_region = peers.local().region.clone();
    peers
        .take_due_dials(now_ms)
        .into_iter()
        .filter(|record| record.region != local_region)
        .collect()
}

#[yare::parameterized(
    daemons_12 = { 12 },
    daemons_71 = { 71 },
    daemons_300 = { 300 },
    daemons_1000 = { 1_000 },
)]
fn cross_region_links_are_bounded(daemons: usize) {
    let mut links_to: BTreeMap<_, usize> = BTreeMap::new();
    for local in 0..daemons {
        let mut peers = peers_of(local, daemons);
        let remote = cross_region_dials(&mut peers, 0);
        assert!(remote.len() <= 8, "more than two per service and other region: {}", remote.len());
        for record in remote {
            *links_to.entry(record.name).or_default() += 1;
        }
    }
    let highest = links_to.values().max().copied().unwrap_or_default();
    assert!(highest <= 40, "links are not spread over peers: one has {highest}");
}

#[test]
fn local_region_is_fully_linked() {
    let mut peers = peers_of(0, 71);
    let same_region =
        peers.take_due_dials(0).into_iter().filter(|record| &*record.region == "a").count();
    assert_eq!(same_region, 71_usize.div_ceil(3) - 1);
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
    assert!(peers.surplus_links(1_000).is_empty(), "the link must stay open for a minimum time");
    assert_eq!(peers.surplus_links(30_000), std::slice::from_ref(&surplus));
    peers.call_started(&surplus);
    assert!(peers.surplus_links(30_000).is_empty(), "a link that carries a call must stay open");
}
