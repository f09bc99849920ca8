//! Which links a fleet keeps as it grows, and after losses.

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

fn daemon(own: usize, daemons: usize) -> Peers {
    let mut peers = Peers::new(record(own));
    for index in (0..daemons).filter(|index| *index != own) {
        peers.update_record(record(index), false, 0);
    }
    peers
}

/// Peers of other regions that a daemon dials.
fn far_dials(peers: &mut Peers, now_ms: u64) -> Vec<DaemonRecord> {
    let own_region = peers.local().region.clone();
    peers.take_due_dials(now_ms).into_iter().filter(|record| record.region != own_region).collect()
}

#[yare::parameterized(
    today = { 12 },
    grown = { 71 },
    sweep = { 300 },
    sweep_most = { 1_000 },
)]
fn far_links_stay_few(daemons: usize) {
    let mut into: BTreeMap<_, usize> = BTreeMap::new();
    for own in 0..daemons {
        let mut peers = daemon(own, daemons);
        let far = far_dials(&mut peers, 0);
        assert!(far.len() <= 8, "two of each service in each other region: {}", far.len());
        for record in far {
            *into.entry(record.name).or_default() += 1;
        }
    }
    let most = into.values().max().copied().unwrap_or_default();
    assert!(most <= 40, "links spread over peers, and one has {most}");
}

#[test]
fn own_region_is_whole() {
    let mut peers = daemon(0, 71);
    let near = peers.take_due_dials(0).into_iter().filter(|record| &*record.region == "a").count();
    assert_eq!(near, 71_usize.div_ceil(3) - 1);
}

/// A peer that cannot be reached, or whose target is of no use, is replaced by the next one.
#[test]
fn lost_peers_are_replaced() {
    let mut peers = daemon(0, 71);
    let first = far_dials(&mut peers, 0);
    let (dead, drained) = (first[0].name.clone(), first[1].name.clone());
    for record in first.iter().filter(|record| record.name != dead) {
        peers.link_opened(&record.name, state(TargetState::Ready), 0);
    }
    assert!(far_dials(&mut peers, 1_000).iter().all(|record| record.name == dead), "only again");
    peers.apply_state(&drained, state(TargetState::Draining), 1_000);
    let replacements: Vec<_> =
        (2..20).flat_map(|second| far_dials(&mut peers, second * 1_000)).collect();
    let others = |record: &&DaemonRecord| first.iter().all(|known| known.name != record.name);
    assert!(replacements.iter().filter(others).count() >= 2, "one for each");
}

/// Links that were opened for a while are closed when they are no longer needed.
#[test]
fn surplus_is_closed() {
    let mut peers = daemon(0, 71);
    let wanted = far_dials(&mut peers, 0);
    let extra = (0..71).map(record).find(|other| {
        other.region != peers.local().region && wanted.iter().all(|known| known.name != other.name)
    });
    let extra = extra.unwrap().name;
    for record in &wanted {
        peers.link_opened(&record.name, state(TargetState::Ready), 0);
    }
    peers.link_opened(&extra, state(TargetState::Ready), 0);
    assert!(peers.surplus_links(1_000).is_empty(), "not at once");
    assert_eq!(peers.surplus_links(30_000), std::slice::from_ref(&extra));
    peers.call_started(&extra);
    assert!(peers.surplus_links(30_000).is_empty(), "a call is on it");
}
