//! Decides to which peers a daemon keeps links.
//!
//! A full mesh grows with the square of the fleet, and most of it would cross regions where bytes
//! are dear. A daemon keeps links to all peers of its own region, and to a few of each service in
//! every other region. Which ones follows from a hash of both names (rendezvous hashing), so that
//! links spread evenly over the peers and only those of a lost peer move.

use crate::mesh::peers::Peer;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Links to usable peers of one service in each other region. Two bear the loss of one; what is to
/// be sent far is what the own region has no room for, which is little.
const CROSS_REGION_LINKS: usize = 2;
/// Peers of a group that are tried at the most while others are of no use.
const CROSS_REGION_CANDIDATES_MAX: usize = 8;
/// Dials without success after which another peer is tried as well.
const FAILED_DIALS_MAX: u32 = 2;

/// The names of the peers to which a daemon of `region` should have links.
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

/// Whether nothing speaks against sending requests to the target beside a peer.
fn may_be_usable(peer: &Peer) -> bool {
    if peer.is_linked {
        peer.ready_target().is_some()
    } else {
        peer.dial_attempts() <= FAILED_DIALS_MAX
    }
}
