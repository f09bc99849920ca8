//! What this daemon tells its peers of itself, and how often.

use super::Mesh;
use super::config::ConfigSource;
use super::links::{Distance, IncomingLink, encode};
use futures_lite::future::or;
use pomeloreach_core::mesh::message::LinkMessage;
use pomeloreach_core::mesh::state::TargetLoad;
use pomeloreach_wire::clock::sleep_ms;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// How often a changed load is told to peers of the same zone, in milliseconds. A door refuses what
/// was placed by a load that is no longer true, and each answer tells the load too.
const SAME_ZONE_LOAD_MS: u64 = 500;
/// The same for peers of other zones, whose bytes are paid for.
const SAME_REGION_LOAD_MS: u64 = 1_000;
/// How often peers of the same region hear something in any case, in milliseconds.
const SAME_REGION_REPORT_MS: u64 = 1_000;
/// How often peers of other regions hear something, in milliseconds.
const OTHER_REGION_REPORT_MS: u64 = 2_000;
/// How often peers hear the whole state, in milliseconds. Changes of it are told at once, so that
/// this only bounds how long a peer can be wrong.
const STATE_MS: u64 = 4_000;

/// Tells peers how this daemon is: at once when its target changes, otherwise as often as the way
/// to them allows.
pub async fn run(mesh: Rc<Mesh>) {
    let mut is_requested = false;
    let mut last_load: Option<TargetLoad> = None;
    loop {
        let report_requested = mesh.links.report_requested.listen();
        let load = mesh.target_summary().map(|target| target.load);
        send_reports(&mesh, load, last_load != load, is_requested);
        last_load = load;
        let wait_for_tick = async {
            sleep_ms(SAME_ZONE_LOAD_MS).await;
            false
        };
        let wait_for_request = async {
            report_requested.await;
            true
        };
        is_requested = or(wait_for_request, wait_for_tick).await;
    }
}

fn send_reports(
    mesh: &Rc<Mesh>,
    load: Option<TargetLoad>,
    is_load_changed: bool,
    is_requested: bool,
) {
    let now_ms = mesh.now_ms();
    let state = encode(&LinkMessage::State(mesh.state()));
    let load = load.map(|load| encode(&LinkMessage::Load(load)));
    for link in mesh.links.incoming.borrow().values() {
        if !is_requested
            && !is_due(link.reported_ms.get(), report_interval_ms(link, is_load_changed), now_ms)
        {
            continue;
        }
        link.reported_ms.set(now_ms);
        let is_state_due = is_requested || is_due(link.state_reported_ms.get(), STATE_MS, now_ms);
        let message = match &load {
            Some(load) if !is_state_due => load.clone(),
            _ => {
                link.state_reported_ms.set(now_ms);
                state.clone()
            }
        };
        // A full or closed queue ends the link elsewhere.
        link.frames.send(message);
    }
}

fn report_interval_ms(link: &IncomingLink, is_load_changed: bool) -> u64 {
    match link.distance {
        Distance::SameZone if is_load_changed => SAME_ZONE_LOAD_MS,
        Distance::SameRegion if is_load_changed => SAME_REGION_LOAD_MS,
        Distance::SameZone | Distance::SameRegion => SAME_REGION_REPORT_MS,
        Distance::OtherRegion => OTHER_REGION_REPORT_MS,
    }
}

/// Whether a pause is over. The margin lets a report go out with the tick that is nearest to it.
fn is_due(reported_ms: u64, interval_ms: u64, now_ms: u64) -> bool {
    now_ms + SAME_ZONE_LOAD_MS / 2 >= reported_ms + interval_ms
}

/// Tells which version is in force and how fresh that is, to those who would otherwise hear it late:
/// peers of this region from the daemon that brought it there, and one peer of each other region.
/// Whoever misses it hears it with the next state.
pub fn report_config(mesh: &Rc<Mesh>, source: ConfigSource) {
    let message = encode(&LinkMessage::Config(mesh.config_state()));
    let links = mesh.links.incoming.borrow();
    let mut first_by_region: BTreeMap<Arc<str>, &IncomingLink> = BTreeMap::new();
    for link in links.values() {
        match link.distance {
            Distance::OtherRegion => {
                let first = first_by_region.entry(link.region.clone()).or_insert(link);
                if link.peer < first.peer {
                    *first = link;
                }
            }
            _ if source == ConfigSource::SameRegionPeer => {}
            _ => {
                link.frames.send(message.clone());
            }
        }
    }
    if source != ConfigSource::OtherRegionPeer {
        for link in first_by_region.values() {
            link.frames.send(message.clone());
        }
    }
}
