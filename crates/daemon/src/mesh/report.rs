//! The reports of this daemon's state to its peers, and their intervals.

use super::Mesh;
use super::links::{IncomingLink, encode};
use futures_lite::future::or;
use pomeloreach_core::mesh::dissemination::{self, ConfigSource, Distance, Subscriber};
use pomeloreach_core::mesh::message::LinkMessage;
use pomeloreach_core::mesh::state::TargetLoad;
use pomeloreach_wire::clock::sleep_ms;
use std::rc::Rc;

/// How often a changed load is sent to peers of the same zone, in milliseconds. Also the interval
/// between the ticks at which all reports are sent. An outdated load does little harm: the inbound
/// proxy refuses a request that it cannot run in time, and each response carries the current load.
const SAME_ZONE_LOAD_MS: u64 = 500;
/// The same for peers of other zones of the region, whose traffic is billed.
const SAME_REGION_LOAD_MS: u64 = 1_000;
/// The longest time between reports to peers of the same region, in milliseconds.
const SAME_REGION_REPORT_MS: u64 = 1_000;
/// The time between reports to peers of other regions, in milliseconds.
const OTHER_REGION_REPORT_MS: u64 = 2_000;
/// How often the complete state is sent, in milliseconds. Its changes are sent at once, so this
/// only bounds how long a peer can hold an outdated state.
const STATE_INTERVAL_MS: u64 = 4_000;

/// Reports the load and the state to peers: at once on request, otherwise at the interval of each
/// link.
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

/// Sends the load or the complete state on each link that is due.
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
        let is_state_due =
            is_requested || is_due(link.state_reported_ms.get(), STATE_INTERVAL_MS, now_ms);
        let message = match &load {
            Some(load) if !is_state_due => load.clone(),
            _ => {
                link.state_reported_ms.set(now_ms);
                state.clone()
            }
        };
        // If the queue is closed, the link is ending. If it is full, a later report replaces this.
        link.frames.send(message);
    }
}

/// The time between two reports on a link.
fn report_interval_ms(link: &IncomingLink, is_load_changed: bool) -> u64 {
    match link.distance {
        Distance::SameZone if is_load_changed => SAME_ZONE_LOAD_MS,
        Distance::SameRegion if is_load_changed => SAME_REGION_LOAD_MS,
        Distance::SameZone | Distance::SameRegion => SAME_REGION_REPORT_MS,
        Distance::OtherRegion => OTHER_REGION_REPORT_MS,
    }
}

/// Whether a report is due. Reports are only sent at ticks, so a report is due up to half a tick
/// early, which sends it at the nearest tick.
fn is_due(reported_ms: u64, interval_ms: u64, now_ms: u64) -> bool {
    now_ms + SAME_ZONE_LOAD_MS / 2 >= reported_ms + interval_ms
}

/// Reports the version in force and its last confirmation to the peers that would otherwise learn of
/// it late. A peer that misses the message gets the version with the next state.
pub fn report_config(mesh: &Rc<Mesh>, source: ConfigSource) {
    let message = encode(&LinkMessage::Config(mesh.config_state()));
    let position = mesh.peers.borrow().position();
    let incoming = mesh.links.incoming.borrow();
    let links: Vec<&IncomingLink> = incoming.values().collect();
    let subscribers: Vec<Subscriber> = links.iter().map(|link| link.subscriber()).collect();
    for index in dissemination::recipients(&subscribers, source, position) {
        links[index].frames.send(message.clone());
    }
}
