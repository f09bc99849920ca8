//! How a new version travels through a fleet: whom it reaches, and how often it crosses zones and
//! regions, also when daemons on the way are lost.

use pomeloreach_core::mesh::dissemination::{ConfigSource, Distance, Subscriber, recipients};
use pomeloreach_core::mesh::peers::{Peers, RecordSource};
use pomeloreach_core::mesh::state::{ConfigState, DaemonRecord, DaemonState};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::sync::Arc;

const REGIONS: usize = 3;
const ZONES_PER_REGION: usize = 3;
const ZONES: usize = REGIONS * ZONES_PER_REGION;
/// The state of a daemon without a target.
const STATE: DaemonState = DaemonState {
    leaving: false,
    target: None,
    config: ConfigState {
        version: 0,
        confirmed_age_ms: None,
        store_rtt_ms: None,
        store_era: None,
        confirmed_revision: None,
    },
};

fn record(index: usize) -> DaemonRecord {
    let region = format!("r{}", index % REGIONS);
    DaemonRecord {
        name: format!("d{index:04}").into(),
        start_id: 1,
        zone: format!("{region}z{}", index / REGIONS % ZONES_PER_REGION).into(),
        region: region.into(),
        service: if index / ZONES % 3 == 2 { "yard" } else { "desk" }.into(),
        link_addr: "127.0.0.1:1".parse().unwrap(),
    }
}

/// The messages about one version.
#[derive(Default)]
struct Spread {
    reached: BTreeSet<Arc<str>>,
    across_zones: usize,
    across_regions: usize,
    hops: usize,
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { reached, across_zones, across_regions, hops } = self;
        let reached = reached.len();
        write!(f, "{reached} reached, {across_zones}, {across_regions} far, {hops} hops")
    }
}

/// Spreads a version that the first daemon alive reads in the store. Lost daemons are known, but
/// accept no links.
fn spread(daemons: usize, is_lost: impl Fn(usize) -> bool) -> Spread {
    let mut fleet: BTreeMap<Arc<str>, Peers> = BTreeMap::new();
    let mut subscribers: BTreeMap<Arc<str>, Vec<DaemonRecord>> = BTreeMap::new();
    for local in (0..daemons).filter(|index| !is_lost(*index)) {
        let mut peers = Peers::new(record(local));
        for index in (0..daemons).filter(|index| *index != local) {
            peers.update_record(record(index), RecordSource::Store, 0);
        }
        for round in 0..10_u64 {
            let (wanted, now_ms) = (peers.wanted_links(round * 10_000), round * 10_000);
            for dialled in peers.take_due_dials(&wanted, now_ms) {
                if !is_lost(dialled.name[1..].parse().unwrap()) {
                    peers.link_opened(&dialled.name, STATE, now_ms);
                }
            }
        }
        for peer in peers.linked() {
            subscribers.entry(peer.record.name.clone()).or_default().push(record(local));
        }
        fleet.insert(record(local).name, peers);
    }
    let reader = fleet.keys().next().unwrap().clone();
    let mut spread = Spread { reached: BTreeSet::from([reader.clone()]), ..Spread::default() };
    let mut queue = VecDeque::from([(reader, ConfigSource::Store, 0)]);
    while let Some((name, source, hops)) = queue.pop_front() {
        spread.hops = spread.hops.max(hops);
        let peers = &fleet[&name];
        let links = subscribers.get(&name).map(Vec::as_slice).unwrap_or_default();
        let listed: Vec<Subscriber> = links
            .iter()
            .map(|other| Subscriber {
                name: &other.name,
                region: &other.region,
                zone: &other.zone,
                distance: Distance::between(peers.local(), other),
            })
            .collect();
        for index in recipients(&listed, source, peers.position()) {
            let distance = listed[index].distance;
            spread.across_zones += usize::from(distance == Distance::SameRegion);
            spread.across_regions += usize::from(distance == Distance::OtherRegion);
            if spread.reached.insert(links[index].name.clone()) {
                queue.push_back((links[index].name.clone(), distance.into(), hops + 1));
            }
        }
    }
    spread
}

/// A version reaches every daemon in few hops. How often it crosses zones and regions depends on
/// their number, not on that of daemons.
#[yare::parameterized(
    daemons_30 = { 30 },
    daemons_195 = { 195 },
    daemons_600 = { 600 },
)]
fn version_reaches_all(daemons: usize) {
    let spread = spread(daemons, |_| false);
    assert_eq!(spread.reached.len(), daemons);
    assert!(spread.across_zones <= 4 * ZONES, "{spread}");
    assert!(spread.across_regions <= 4 * ZONES, "{spread}");
    assert!(spread.hops <= 5, "{spread}");
}

/// The first daemon of each zone is lost, or the first two: the next ones take their place.
#[yare::parameterized(
    first = { ZONES },
    first_two = { 2 * ZONES },
)]
fn lost_gateways_are_replaced(lost: usize) {
    let spread = spread(195, |index| index < lost);
    assert_eq!(spread.reached.len(), 195 - lost);
}
