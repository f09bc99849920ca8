//! The links that this daemon opened. They carry its calls, and the states of peers.

use super::config::{self, DeltaOutcome};
use super::links::{
    FrameSender, LinkError, LinkReader, OPEN_TIMEOUT_MS, OutgoingLink, add_known_daemons, encode,
    write_frames,
};
use super::outbound_bodies::RequestedPart;
use super::peer_calls::{self, PendingCalls};
use super::{Mesh, discovery, quota, report};
use crate::logging::log_event;
use async_net::TcpStream;
use futures_lite::future::or;
use pomeloreach_core::event::Event;
use pomeloreach_core::mesh::dissemination::Distance;
use pomeloreach_core::mesh::heartbeat::DepartedTarget;
use pomeloreach_core::mesh::message::LinkMessage;
use pomeloreach_core::mesh::peers::RecordSource;
use pomeloreach_core::mesh::quota::LoanMessage;
use pomeloreach_core::mesh::state::{ConfigState, DaemonRecord};
use pomeloreach_wire::clock::{boot_ms, sleep_ms, within_ms};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::Shutdown;
use std::rc::Rc;
use std::sync::Arc;

/// How often the peers that need a link are dialled, in milliseconds.
const DIAL_POLL_MS: u64 = 100;
/// How long a peer of the same region may send nothing before its link is closed, in milliseconds:
/// two report intervals and the longest delay of a retransmission.
const SAME_REGION_SILENCE_MS_MAX: u64 = 2_600;
/// The same for peers of other regions, which send reports less often (`OTHER_REGION_REPORT_MS`).
const OTHER_REGION_SILENCE_MS_MAX: u64 = 4_600;
/// How often a ping is sent on a link, in milliseconds. The peer closes a link on which it receives
/// nothing for `INCOMING_SILENCE_MS_MAX`.
const PING_INTERVAL_MS: u64 = 2_500;
/// How long a daemon waits for a newer version from a nearer peer before it requests it from another
/// zone or region, in milliseconds.
const NEARER_PEER_WAIT_MS: u64 = 450;
/// How long a peer may take to send requested rows before another peer is asked, in milliseconds.
const ROWS_TIMEOUT_MS: u64 = 400;

/// Opens links to peers that should have one, and closes surplus links. Forgets removed peers.
pub async fn dial(mesh: Rc<Mesh>) {
    loop {
        let wanted = mesh.peers.borrow().wanted_links(mesh.now_ms());
        let surplus = mesh.peers.borrow().surplus_links(&wanted, mesh.now_ms());
        for name in surplus {
            if let Some(link) = mesh.links.outgoing.borrow().get(&name) {
                log_event(Event::PeerLost, &format!("peer={name} reason=no longer needed"));
                link.frames.close();
            }
        }
        mesh.peers.borrow_mut().forget_removed(&wanted, mesh.now_ms());
        let due = mesh.peers.borrow_mut().take_due_dials(&wanted, mesh.now_ms());
        for record in due {
            if !mesh.links.outgoing.borrow().contains_key(&record.name) {
                mesh.spawn(open_link(mesh.clone(), record));
            }
        }
        sleep_ms(DIAL_POLL_MS).await;
    }
}

/// Opens a link to a peer and serves it until it ends.
async fn open_link(mesh: Rc<Mesh>, record: DaemonRecord) {
    let connected = within_ms(OPEN_TIMEOUT_MS, TcpStream::connect(record.link_addr)).await;
    let Some(Ok(stream)) = connected else { return };
    let mut opened_link = None;
    let result = run_outgoing(&mesh, &record.name, stream, &mut opened_link).await;
    let Some((name, start_id)) = opened_link else { return };
    let removed = {
        let mut outgoing = mesh.links.outgoing.borrow_mut();
        let is_same = outgoing.get(&name).is_some_and(|link| link.start_id == start_id);
        if is_same { outgoing.remove(&name) } else { None }
    };
    if let Some(link) = removed {
        link.pending.borrow_mut().clear();
        mesh.peers.borrow_mut().link_closed(&name, mesh.now_ms());
        if let Err(error) = result {
            log_event(Event::PeerLost, &format!("peer={name} reason={error}"));
        }
    }
}

/// Serves a link to the daemon `dialled` until it ends. Sets `opened_link` once the link is in the
/// table.
async fn run_outgoing(
    mesh: &Rc<Mesh>,
    dialled: &str,
    stream: TcpStream,
    opened_link: &mut Option<(Arc<str>, u64)>,
) -> Result<(), LinkError> {
    // A failure is ignored: without this option, calls only take longer.
    stream.set_nodelay(true).ok();
    let (frames, queued) = FrameSender::new(mesh.memory.clone());
    let recent_target = mesh.peers.borrow().recent_target(dialled, mesh.now_ms());
    let (sender, sent_ms) = (mesh.local.clone(), boot_ms());
    frames.send(encode(&LinkMessage::Hello { sender, sent_ms, recent_target }));
    // Closing the queue also ends the reading half: only links without calls are closed.
    mesh.spawn(write_frames(stream.clone(), queued, Shutdown::Both));
    let mut reader = LinkReader::new(stream);
    let welcome = reader.read(mesh, OPEN_TIMEOUT_MS, |_, _| None).await?;
    let LinkMessage::Welcome { sender, known_count, state, departed } = welcome else {
        return Err(LinkError::UnexpectedMessage);
    };
    let name = sender.name.clone();
    if mesh.links.outgoing.borrow().contains_key(&name) || name == mesh.local.name {
        return Err(LinkError::Duplicate);
    }
    let pending = Rc::new(RefCell::new(BTreeMap::new()));
    let start_id = sender.start_id;
    reader.distance = Distance::between(&mesh.local, &sender);
    let link = OutgoingLink { frames: frames.clone(), pending: pending.clone(), start_id };
    mesh.links.outgoing.borrow_mut().insert(name.clone(), link);
    *opened_link = Some((name.clone(), start_id));
    mesh.peers.borrow_mut().update_record(sender, RecordSource::Owner, mesh.now_ms());
    if discovery::should_request_daemons(mesh, known_count, reader.distance) {
        frames.send(encode(&LinkMessage::DaemonsRequest));
    }
    add_departed_targets(mesh, departed);
    mesh.peers.borrow_mut().link_opened(&name, state.clone(), mesh.now_ms());
    log_event(Event::PeerJoined, &format!("peer={name}"));
    handle_config_state(mesh, &name, reader.distance, state.config);
    let silence_max_ms = match reader.distance {
        Distance::SameZone | Distance::SameRegion => SAME_REGION_SILENCE_MS_MAX,
        Distance::OtherRegion => OTHER_REGION_SILENCE_MS_MAX,
    };
    let peer = OutgoingPeer { name: &name, distance: reader.distance, pending: &pending };
    let receiving = async {
        loop {
            let charge = |message: &LinkMessage, bytes| match message {
                LinkMessage::CallResult(result) => {
                    peer_calls::result_charge(&pending, result.call_id, bytes)
                }
                _ => None,
            };
            let message = reader.read(mesh, silence_max_ms, charge).await?;
            handle_message(mesh, &peer, &frames, message)?;
        }
    };
    let pinging = async {
        loop {
            sleep_ms(PING_INTERVAL_MS).await;
            // A failure to queue a ping is ignored: if the link is broken, `receiving` ends it.
            frames.send(encode(&LinkMessage::Ping));
        }
    };
    let result = or(receiving, pinging).await;
    frames.close();
    result
}

/// Adds the targets that have left according to a peer. After a restart of this daemon, they can
/// include the local target.
fn add_departed_targets(mesh: &Rc<Mesh>, reported: Vec<DepartedTarget>) {
    let now_ms = mesh.now_ms();
    for departed in reported {
        if mesh.local_target.borrow_mut().apply_reported_leave(departed.clone(), now_ms) {
            log_event(Event::TargetLeft, &format!("target={} source=peer", departed.start.id));
            mesh.publish_target_change();
        }
        mesh.peers.borrow_mut().add_reported_departed(departed, now_ms);
    }
}

/// The peer of an outgoing link, with the calls on the link.
struct OutgoingPeer<'a> {
    name: &'a Arc<str>,
    distance: Distance,
    pending: &'a PendingCalls,
}

/// Handles one message that a peer has sent on an outgoing link.
fn handle_message(
    mesh: &Rc<Mesh>,
    peer: &OutgoingPeer<'_>,
    frames: &FrameSender,
    message: LinkMessage,
) -> Result<(), LinkError> {
    let OutgoingPeer { name, distance, pending } = *peer;
    match message {
        LinkMessage::State(state) => {
            let config = state.config;
            mesh.peers.borrow_mut().apply_state(name, state, mesh.now_ms());
            handle_config_state(mesh, name, distance, config);
        }
        LinkMessage::Load(load) => mesh.peers.borrow_mut().apply_load(name, load, mesh.now_ms()),
        LinkMessage::Config(config) => {
            mesh.peers.borrow_mut().apply_config(name, config, mesh.now_ms());
            handle_config_state(mesh, name, distance, config);
        }
        LinkMessage::CallResult(result) => {
            mesh.peers.borrow_mut().apply_load(name, result.load, mesh.now_ms());
            peer_calls::handle_result(pending, result);
        }
        LinkMessage::ResultOffer { call_id, body_bytes } => {
            let (pending, frames) = (pending.clone(), frames.clone());
            mesh.spawn(peer_calls::request_result(pending, frames, call_id, body_bytes));
        }
        LinkMessage::BodyRequest { call_id, bytes } => {
            let (pending, frames) = (pending.clone(), frames.clone());
            mesh.outbound_bodies.queue(RequestedPart { pending, frames, call_id, bytes });
        }
        LinkMessage::ConfigDelta { delta } => {
            mesh.links.rows_requested_ms.set(None);
            match config::apply_delta(mesh, &delta, name, distance) {
                DeltaOutcome::Handled => {}
                DeltaOutcome::BaseOutdated => request_rows(mesh, name, mesh.config.version()),
                DeltaOutcome::Incomplete => request_rows(mesh, name, 0),
            }
        }
        LinkMessage::KnownDaemons(records) => {
            add_known_daemons(mesh, records, RecordSource::Peer);
        }
        LinkMessage::CreditGrant(grant) => quota::handle_credit_grant(mesh, name, &grant),
        LinkMessage::Loan(LoanMessage::Grant(grant)) => {
            quota::handle_loan_grant(mesh, name, &grant);
        }
        _ => return Err(LinkError::UnexpectedMessage),
    }
    Ok(())
}

/// Handles the version that a peer holds and the age of its confirmation. To transfer a newer
/// version to each zone and region about once, the daemon with the lowest name there requests it
/// from outside at once, and the rest wait to get it from that daemon.
fn handle_config_state(mesh: &Rc<Mesh>, peer: &str, distance: Distance, config: ConfigState) {
    config::record_store_era(mesh, config.store_era, distance.into());
    let links = &mesh.links;
    let version_in_force = mesh.config.version();
    let now_ms = mesh.now_ms();
    if config.version <= version_in_force {
        links.behind_since_ms.set(None);
        let is_same_era = config.store_era == mesh.config.store_era();
        let revision = config.confirmed_revision.filter(|_| is_same_era);
        if config.version == version_in_force
            && mesh.config.record_confirmation(config.confirmed_ms(now_ms), revision)
        {
            report::report_config(mesh, distance.into());
        }
        return;
    }
    let behind_since_ms = links.behind_since_ms.get().unwrap_or(now_ms);
    links.behind_since_ms.set(Some(behind_since_ms));
    let is_request_pending =
        links.rows_requested_ms.get().is_some_and(|ms| now_ms < ms + ROWS_TIMEOUT_MS);
    let may_request = mesh.peers.borrow().is_first_to_request(distance)
        || now_ms >= behind_since_ms + NEARER_PEER_WAIT_MS;
    if !is_request_pending && may_request {
        request_rows(mesh, peer, version_in_force);
    }
}

/// Requests the rows that changed after a held version; all rows for version 0.
fn request_rows(mesh: &Rc<Mesh>, peer: &str, held_version: u64) {
    mesh.links.rows_requested_ms.set(Some(mesh.now_ms()));
    mesh.links.send(peer, &LinkMessage::ConfigRequest { held_version });
}
