//! What this daemon tells its peers of itself, and how often.

use super::Mesh;
use super::links::encode;
use futures_lite::future::or;
use pomeloreach_core::mesh::message::LinkMessage;
use pomeloreach_core::mesh::state::DaemonState;
use pomeloreach_wire::clock::sleep_ms;
use std::rc::Rc;

/// How often a changed load is told to peers of the same region, in milliseconds.
const REPORT_MS: u64 = 250;
/// How often peers of the same region hear something in any case, in milliseconds.
const HEARTBEAT_MS: u64 = 1_000;
/// How often peers of other regions hear something, in milliseconds; bytes between regions are
/// dear.
const FAR_HEARTBEAT_MS: u64 = 2_000;
/// How often a daemon that reads the store tells all peers so, in milliseconds: often enough that
/// none of them takes its knowledge for stale.
const READER_HEARTBEAT_MS: u64 = 600;
/// A daemon whose knowledge from the store is younger than this counts as a reader, in
/// milliseconds.
const READER_AGE_MS: u64 = 1_500;

/// Tells peers how this daemon is: at once when something important changes, otherwise as often as
/// the way to them allows.
pub async fn report(mesh: Rc<Mesh>) {
    let mut last: Option<DaemonState> = None;
    let mut is_urgent = false;
    loop {
        let changed = mesh.links.changed.listen();
        let now_ms = mesh.now_ms();
        let state = mesh.state();
        let is_changed = last.as_ref().is_none_or(|last| last.target != state.target);
        let age_ms = state.config.confirmed_age_ms;
        let is_reader = age_ms.is_some_and(|age_ms| u64::from(age_ms) < READER_AGE_MS);
        let message = encode(&LinkMessage::State(state.clone()));
        for link in mesh.links.accepted.borrow().values() {
            let is_near = link.region == mesh.own.region;
            let pause_ms = match is_near {
                _ if is_urgent => 0,
                true if is_changed => REPORT_MS,
                _ if is_reader => READER_HEARTBEAT_MS,
                true => HEARTBEAT_MS,
                false => FAR_HEARTBEAT_MS,
            };
            // The margin lets a report go out with the tick that is nearest to its time.
            if now_ms + REPORT_MS / 2 >= link.reported_ms.get() + pause_ms {
                link.reported_ms.set(now_ms);
                // A full or closed queue ends the link elsewhere.
                link.frames.try_send(message.clone()).ok();
            }
        }
        last = Some(state);
        let waited = async {
            sleep_ms(REPORT_MS).await;
            false
        };
        is_urgent = or(
            async {
                changed.await;
                true
            },
            waited,
        )
        .await;
    }
}
