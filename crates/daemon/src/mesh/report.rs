//! What this daemon tells its peers of itself, and how often.

use super::Mesh;
use super::config::Source;
use super::links::{Distance, InLink, encode};
use futures_lite::future::or;
use pomeloreach_core::mesh::message::LinkMessage;
use pomeloreach_core::mesh::state::TargetLoad;
use pomeloreach_wire::clock::sleep_ms;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// How often a changed load is told to peers of the same zone, in milliseconds. A door refuses what
/// was placed by a load that is no longer true, and each answer tells the load too.
const ZONE_LOAD_MS: u64 = 500;
/// The same for peers of other zones, whose bytes are paid for.
const REGION_LOAD_MS: u64 = 1_000;
/// How often peers of the same region hear something in any case, in milliseconds.
const HEARTBEAT_MS: u64 = 1_000;
/// How often peers of other regions hear something, in milliseconds.
const FAR_HEARTBEAT_MS: u64 = 2_000;
/// How often peers hear the whole state, in milliseconds. Changes of it are told at once, so that
/// this only bounds how long a peer can be wrong.
const STATE_MS: u64 = 4_000;

/// Tells peers how this daemon is: at once when its target changes, otherwise as often as the way
/// to them allows.
pub async fn report(mesh: Rc<Mesh>) {
    let mut is_urgent = false;
    let mut told: Option<TargetLoad> = None;
    loop {
        let changed = mesh.links.changed.listen();
        let load = mesh.target_summary().map(|target| target.load);
        tell_all(&mesh, load, told != load, is_urgent);
        told = load;
        let waiting = async {
            sleep_ms(ZONE_LOAD_MS).await;
            false
        };
        let changing = async {
            changed.await;
            true
        };
        is_urgent = or(changing, waiting).await;
    }
}

fn tell_all(mesh: &Rc<Mesh>, load: Option<TargetLoad>, is_changed: bool, is_urgent: bool) {
    let now_ms = mesh.now_ms();
    let state = encode(&LinkMessage::State(mesh.state()));
    let load = load.map(|load| encode(&LinkMessage::Load(load)));
    for link in mesh.links.accepted.borrow().values() {
        if !is_urgent && !is_due(link.told_ms.get(), load_pause_ms(link, is_changed), now_ms) {
            continue;
        }
        link.told_ms.set(now_ms);
        let is_state_due = is_urgent || is_due(link.told_state_ms.get(), STATE_MS, now_ms);
        let message = match &load {
            Some(load) if !is_state_due => load.clone(),
            _ => {
                link.told_state_ms.set(now_ms);
                state.clone()
            }
        };
        // A full or closed queue ends the link elsewhere.
        link.frames.send(message);
    }
}

fn load_pause_ms(link: &InLink, is_changed: bool) -> u64 {
    match link.distance {
        Distance::SameZone if is_changed => ZONE_LOAD_MS,
        Distance::SameRegion if is_changed => REGION_LOAD_MS,
        Distance::SameZone | Distance::SameRegion => HEARTBEAT_MS,
        Distance::OtherRegion => FAR_HEARTBEAT_MS,
    }
}

/// Whether a pause is over. The margin lets a report go out with the tick that is nearest to it.
fn is_due(told_ms: u64, pause_ms: u64, now_ms: u64) -> bool {
    now_ms + ZONE_LOAD_MS / 2 >= told_ms + pause_ms
}

/// Tells which version is in force and how fresh that is, to those who would otherwise hear it late:
/// peers of this region from the daemon that brought it there, and one peer of each other region.
/// Whoever misses it hears it with the next state.
pub fn tell_config(mesh: &Rc<Mesh>, source: Source) {
    let message = encode(&LinkMessage::Config(mesh.config_state()));
    let links = mesh.links.accepted.borrow();
    let mut first_far: BTreeMap<Arc<str>, &InLink> = BTreeMap::new();
    for link in links.values() {
        match link.distance {
            Distance::OtherRegion => {
                let first = first_far.entry(link.region.clone()).or_insert(link);
                if link.peer < first.peer {
                    *first = link;
                }
            }
            _ if source == Source::NearPeer => {}
            _ => {
                link.frames.send(message.clone());
            }
        }
    }
    if source != Source::FarPeer {
        for link in first_far.values() {
            link.frames.send(message.clone());
        }
    }
}
