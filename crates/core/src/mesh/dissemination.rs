//! Decides which peers are informed of a new configuration version, or of the confirmation that
//! there is none.
//!
//! If every daemon informed all its peers, a version would cross zones and regions many times. It
//! enters a region, and each zone, at the first daemons by name, and is passed on from there. A
//! step that is lost is repeated by the state that each peer reports every few seconds, and a daemon
//! that gets no confirmation reads the store itself; see [`crate::mesh::readers`].

use crate::mesh::state::DaemonRecord;
use crate::mesh::topology::ZONE_GATEWAYS;
use std::collections::BTreeMap;
use strum::{Display, IntoStaticStr};

/// The location of a peer relative to this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
}

impl Distance {
    pub fn between(local: &DaemonRecord, other: &DaemonRecord) -> Self {
        match (local.zone == other.zone, local.region == other.region) {
            (true, _) => Self::SameZone,
            (false, true) => Self::SameRegion,
            (false, false) => Self::OtherRegion,
        }
    }
}

/// Where a version or its confirmation came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ConfigSource {
    Store,
    /// A peer of the same zone.
    ZonePeer,
    /// A peer of another zone in the same region.
    RegionPeer,
    /// A peer of another region.
    OtherRegionPeer,
}

impl From<Distance> for ConfigSource {
    fn from(distance: Distance) -> Self {
        match distance {
            Distance::SameZone => Self::ZonePeer,
            Distance::SameRegion => Self::RegionPeer,
            Distance::OtherRegion => Self::OtherRegionPeer,
        }
    }
}

/// A peer with a link to this daemon, which can be informed on that link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Subscriber<'a> {
    pub name: &'a str,
    pub region: &'a str,
    pub zone: &'a str,
    pub distance: Distance,
}

/// What a daemon knows about its place in the mesh.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Whether this daemon is among the first of its zone by name.
    pub is_zone_gateway: bool,
    /// Whether all daemons of the zone have links to each other, so that what came from one of them
    /// has reached the others too.
    pub is_zone_fully_linked: bool,
}

/// The positions in `subscribers` of those to inform.
pub fn recipients(
    subscribers: &[Subscriber<'_>],
    source: ConfigSource,
    position: Position,
) -> Vec<usize> {
    let must_pass_on = source != ConfigSource::ZonePeer || !position.is_zone_fully_linked;
    let mut chosen = Vec::new();
    let mut first_by_zone: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    let mut first_by_region: BTreeMap<&str, usize> = BTreeMap::new();
    for (index, subscriber) in subscribers.iter().enumerate() {
        match subscriber.distance {
            Distance::SameZone if must_pass_on => chosen.push(index),
            Distance::SameZone => {}
            Distance::SameRegion => first_by_zone.entry(subscriber.zone).or_default().push(index),
            Distance::OtherRegion => {
                let first = first_by_region.entry(subscriber.region).or_insert(index);
                if subscriber.name < subscribers[*first].name {
                    *first = index;
                }
            }
        }
    }
    if matches!(source, ConfigSource::Store | ConfigSource::OtherRegionPeer) {
        for mut zone in first_by_zone.into_values() {
            zone.sort_by_key(|index| subscribers[*index].name);
            chosen.extend(zone.into_iter().take(ZONE_GATEWAYS));
        }
    }
    let leaves_region = match source {
        ConfigSource::Store => true,
        ConfigSource::ZonePeer | ConfigSource::RegionPeer => position.is_zone_gateway,
        ConfigSource::OtherRegionPeer => false,
    };
    if leaves_region {
        chosen.extend(first_by_region.into_values());
    }
    chosen
}
