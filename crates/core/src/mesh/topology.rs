//! Decides to which peers a daemon keeps links.
//!
//! The number of links in a full mesh grows with the square of the number of daemons, and most of
//! them would cross regions, where traffic is expensive. A daemon keeps links to all peers of its
//! region, and to a few for each service in every other region. The few are chosen by a hash of
//! both daemons' names (rendezvous hashing), so that links are spread evenly over the peers and the
//! loss of a peer moves only its links.

use crate::mesh::peers::Peer;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The number of links to usable peers of one service in each other region. Two links tolerate the
/// loss of one. They suffice because only the few requests that exceed the capacity of the local
/// region are sent across regions.
const CROSS_REGION_LINKS: usize = 2;
/// The largest number of peers of one service and region that get a link while others are unusable.
const CROSS_REGION_CANDIDATES_MAX: usize = 8;
/// A peer counts as unusable after more dials than this without a link, so that a link to another
/// peer is opened as well.
const FAILED_DIALS_MAX: u32 = 2;

/// The names of the peers to which a daemon in `region` should have links.
pub fn wanted_links<'a>(region: &str, peers: impl Iterator<Item = &'a Peer>) -> BTreeSet<Arc<str>> {
    let mut wanted = BTreeSet::new();
    let mut remote_groups: BTreeMap<(&str, &str), Vec<&Peer>> = BTreeMap::new();
    for peer in peers {
        let record = &peer.record;
        if &*record.region == region {
            wanted.insert(record.name.clone());
        } else {
            remote_groups.entry((&record.region, &record.service)).or_default().push(peer);
        }
    }
    for mut group in remote_groups.into_values() {
        group.sort_by_key(|peer| peer.rendezvous_hash);
        let mut usable = 0;
        for peer in group.into_iter().take(CROSS_REGION_CANDIDATES_MAX) {
            wanted.insert(peer.record.name.clone());
            usable += usize::from(may_be_usable(peer));
            if usable == CROSS_REGION_LINKS {
                break;
            }
        }
    }
    wanted
}

/// Whether requests can be sent to the peer's target, or might be once a link to it is open.
fn may_be_usable(peer: &Peer) -> bool {
    if peer.is_linked {
        peer.ready_target().is_some()
    } else {
        peer.dial_attempts() <= FAILED_DIALS_MAX
    }
}
