//! Decides to which peers a daemon keeps links, so that their number does not grow with the fleet.
//!
//! For each service a daemon links to a bounded number of targets: most in its own availability
//! zone, where requests go first, a few in each other zone of its region and in each other region,
//! for loss and overload. They are chosen by a hash of both daemons' names (rendezvous hashing), so
//! that links are spread evenly over the targets and the loss of a peer moves only its links.
//!
//! Where accounts have quotas, all daemons of a zone also link to its first ones by name, since the
//! first of them keeps the quotas of the zone; see [`crate::mesh::quota`].
//!
//! The first daemons of each zone, by name, also link to each other. New configuration versions
//! cross zones and regions on these links only; see [`crate::mesh::dissemination`].

use crate::mesh::peers::Peer;
use crate::mesh::state::DaemonRecord;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How many daemons of each zone link to those of all other zones. The second covers the loss of
/// the first.
pub const ZONE_GATEWAYS: usize = 2;
/// A peer counts as unusable after more dials than this without a link, so that a link to another
/// peer is opened as well.
const FAILED_DIALS_MAX: u32 = 2;
/// How long a linked peer without a target counts as usable, in milliseconds: in a fleet that starts,
/// links are open before the targets have sent their first heartbeats.
const FIRST_HEARTBEAT_MS: u64 = 5_000;
/// How many times as many peers as wanted get a link while some of them are unusable.
const CANDIDATES_FACTOR: usize = 4;

/// Where a peer is, relative to this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Location<'a> {
    SameZone,
    OtherZone(&'a str),
    OtherRegion(&'a str),
}

impl<'a> Location<'a> {
    fn of(local: &DaemonRecord, other: &'a DaemonRecord) -> Self {
        if other.region != local.region {
            Self::OtherRegion(&other.region)
        } else if other.zone != local.zone {
            Self::OtherZone(&other.zone)
        } else {
            Self::SameZone
        }
    }

    /// The number of links to usable peers of one service in this location.
    fn links_per_service(self) -> usize {
        match self {
            Self::SameZone => 16,
            // Two links tolerate the loss of one, and the third keeps a choice then.
            Self::OtherZone(_) => 3,
            // Only the few requests that exceed the capacity of the region leave it.
            Self::OtherRegion(_) => 2,
        }
    }
}

/// The names of the peers to which a daemon should have links.
pub fn wanted_links<'a>(
    local: &DaemonRecord,
    peers: impl Iterator<Item = &'a Peer> + Clone,
    has_quotas: bool,
    now_ms: u64,
) -> BTreeSet<Arc<str>> {
    let mut groups: BTreeMap<(Location, &str), Vec<&Peer>> = BTreeMap::new();
    for peer in peers.clone() {
        let location = Location::of(local, &peer.record);
        groups.entry((location, &peer.record.service)).or_default().push(peer);
    }
    let mut wanted = BTreeSet::new();
    for ((location, _), mut group) in groups {
        group.sort_by_key(|peer| peer.rendezvous_hash);
        add_usable(&mut wanted, &group, location.links_per_service(), |peer| {
            may_be_usable(peer, now_ms)
        });
    }
    if has_quotas {
        let in_zone = by_zone(peers.clone().filter(|peer| peer.record.zone == local.zone));
        for group in in_zone.into_values() {
            add_usable(&mut wanted, &group, ZONE_GATEWAYS, may_be_linked);
        }
    }
    if is_zone_gateway(local, peers.clone()) {
        for group in by_zone(peers.filter(|peer| peer.record.zone != local.zone)).into_values() {
            add_usable(&mut wanted, &group, ZONE_GATEWAYS, may_be_linked);
        }
    }
    wanted
}

/// Whether a daemon is among the first [`ZONE_GATEWAYS`] of its zone by name that can be reached.
pub fn is_zone_gateway<'a>(local: &DaemonRecord, peers: impl Iterator<Item = &'a Peer>) -> bool {
    let earlier = peers.filter(|peer| {
        let record = &peer.record;
        record.zone == local.zone && record.name < local.name && may_be_linked(peer)
    });
    earlier.count() < ZONE_GATEWAYS
}

/// Whether every daemon of the zone has links to all others there.
pub fn is_zone_fully_linked<'a>(
    local: &DaemonRecord,
    peers: impl Iterator<Item = &'a Peer>,
) -> bool {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::from([(&*local.service, 1)]);
    for peer in peers.filter(|peer| peer.record.zone == local.zone) {
        *counts.entry(&peer.record.service).or_default() += 1;
    }
    counts.values().all(|count| *count <= Location::SameZone.links_per_service())
}

/// The peers of each zone, in the order of their names.
fn by_zone<'a>(peers: impl Iterator<Item = &'a Peer>) -> BTreeMap<&'a str, Vec<&'a Peer>> {
    let mut groups: BTreeMap<&str, Vec<&Peer>> = BTreeMap::new();
    for peer in peers {
        groups.entry(&peer.record.zone).or_default().push(peer);
    }
    groups
}

/// Adds the first peers of a group until `usable_count` of them are usable.
fn add_usable(
    wanted: &mut BTreeSet<Arc<str>>,
    group: &[&Peer],
    usable_count: usize,
    is_usable: impl Fn(&Peer) -> bool,
) {
    let mut usable = 0;
    for peer in group.iter().take(usable_count * CANDIDATES_FACTOR) {
        wanted.insert(peer.record.name.clone());
        usable += usize::from(is_usable(peer));
        if usable == usable_count {
            break;
        }
    }
}

/// Whether requests can be sent to the peer's target, or probably soon.
fn may_be_usable(peer: &Peer, now_ms: u64) -> bool {
    if !peer.is_linked {
        return may_be_linked(peer);
    }
    let has_target = peer.state.as_ref().is_some_and(|state| state.target.is_some());
    let is_new = now_ms < peer.linked_ms() + FIRST_HEARTBEAT_MS;
    peer.ready_target().is_some() || (!has_target && is_new)
}

/// Whether a link to the peer is open, or can probably be opened.
pub fn may_be_linked(peer: &Peer) -> bool {
    peer.is_linked || peer.dial_attempts() <= FAILED_DIALS_MAX
}
