//! The links that this daemon opened: its calls go out on them, and peers' states come back.

use super::links::{LinkEnd, OPEN_MS, OutLink, WAITING_MAX, encode, learn, read, write};
use super::{Mesh, config};
use crate::logging::log_event;
use async_channel::Sender;
use async_net::TcpStream;
use futures_lite::future::or;
use futures_lite::io::BufReader;
use pomeloreach_core::event::Event;
use pomeloreach_core::mesh::heartbeat::TargetStart;
use pomeloreach_core::mesh::message::{Answer, LinkMessage};
use pomeloreach_core::mesh::state::{DaemonRecord, DaemonState};
use pomeloreach_wire::clock::{sleep_ms, within_ms};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// How often due peers are dialled, in milliseconds.
const DIAL_LOOK_MS: u64 = 100;
/// After this long without a message the other daemon is taken for silent, in milliseconds: two
/// heartbeats and the longest delay of a retransmission.
const SILENT_MS: u64 = 2_600;
/// The same for daemons of other regions.
const FAR_SILENT_MS: u64 = 4_600;
/// How often the daemon that opened a link shows that it lives, in milliseconds.
const PING_MS: u64 = 2_500;
/// How long a daemon waits for a peer of its own region to have a newer version, in milliseconds.
const NEAR_FIRST_MS: u64 = 450;
/// How long an answer with rows may take before another peer is asked, in milliseconds.
const ASK_MS: u64 = 400;

/// Opens links to peers that have none.
pub async fn dial(mesh: Rc<Mesh>) {
    loop {
        let due = mesh.peers.borrow_mut().due(mesh.now_ms());
        for record in due {
            if !mesh.links.out.borrow().contains_key(&record.name) {
                mesh.spawn(open(mesh.clone(), record));
            }
        }
        sleep_ms(DIAL_LOOK_MS).await;
    }
}

async fn open(mesh: Rc<Mesh>, record: DaemonRecord) {
    let connected = within_ms(OPEN_MS, TcpStream::connect(record.link_addr)).await;
    let Some(Ok(stream)) = connected else { return };
    let mut name = None;
    let end = run_opened(&mesh, stream, &mut name).await;
    let Some((name, start_id)) = name else { return };
    let removed = {
        let mut out = mesh.links.out.borrow_mut();
        let is_same = out.get(&name).is_some_and(|link| link.start_id == start_id);
        if is_same { out.remove(&name) } else { None }
    };
    if let Some(link) = removed {
        link.pending.borrow_mut().clear();
        mesh.peers.borrow_mut().link_down(&name, mesh.now_ms());
        if let Err(error) = end {
            log_event(Event::PeerLost, &format!("peer={name} reason={error}"));
        }
    }
}

async fn run_opened(
    mesh: &Rc<Mesh>,
    stream: TcpStream,
    opened: &mut Option<(Arc<str>, u64)>,
) -> Result<(), LinkEnd> {
    // Without this option calls would only be later.
    stream.set_nodelay(true).ok();
    let (frames, queued) = async_channel::bounded(WAITING_MAX);
    let known = mesh.peers.borrow().records();
    frames.try_send(encode(&LinkMessage::Hello { own: mesh.own.clone(), known })).ok();
    mesh.spawn(write(stream.clone(), queued));
    let mut reader = BufReader::new(stream);
    let LinkMessage::Welcome { own, known, state, left } = read(&mut reader, OPEN_MS).await? else {
        return Err(LinkEnd::OutOfOrder);
    };
    let name = own.name.clone();
    if mesh.links.out.borrow().contains_key(&name) || name == mesh.own.name {
        return Err(LinkEnd::Twice);
    }
    let pending = Rc::new(RefCell::new(BTreeMap::new()));
    let start_id = own.start_id;
    let is_near = own.region == mesh.own.region;
    let link = OutLink { frames: frames.clone(), pending: pending.clone(), start_id };
    mesh.links.out.borrow_mut().insert(name.clone(), link);
    *opened = Some((name.clone(), start_id));
    learn(mesh, own, known);
    learn_left(mesh, left);
    mesh.peers.borrow_mut().linked_up(&name, state.clone(), mesh.now_ms());
    log_event(Event::PeerJoined, &format!("peer={name}"));
    ask_config(mesh, &name, &state);
    let silent_ms = if is_near { SILENT_MS } else { FAR_SILENT_MS };
    let receiving = async {
        loop {
            let message = read(&mut reader, silent_ms).await?;
            receive_opened(mesh, &name, &pending, message)?;
        }
    };
    let pinging = async {
        loop {
            sleep_ms(PING_MS).await;
            // A full or closed queue shows in the other half of the link.
            frames.try_send(encode(&LinkMessage::Ping)).ok();
        }
    };
    let result = or(receiving, pinging).await;
    frames.close();
    result
}

/// A daemon that starts again learns from its peers which targets have left, also its own.
fn learn_left(mesh: &Rc<Mesh>, left: Vec<TargetStart>) {
    let now_ms = mesh.now_ms();
    for start in left {
        if mesh.target.borrow_mut().leave(start.clone(), now_ms) {
            log_event(Event::TargetLeft, &format!("target={} source=peer", start.id));
            mesh.target_changed();
        }
        mesh.peers.borrow_mut().note_left(start, now_ms);
    }
}

fn receive_opened(
    mesh: &Rc<Mesh>,
    peer: &Arc<str>,
    pending: &RefCell<BTreeMap<u64, Sender<Answer>>>,
    message: LinkMessage,
) -> Result<(), LinkEnd> {
    match message {
        LinkMessage::State(state) => {
            ask_config(mesh, peer, &state);
            mesh.peers.borrow_mut().report(peer, state, mesh.now_ms());
        }
        LinkMessage::Answer(answer) => {
            mesh.peers.borrow_mut().report_load(peer, answer.load, mesh.now_ms());
            let waiting = pending.borrow_mut().remove(&answer.call);
            if let Some(reply) = waiting {
                // The caller may have left meanwhile.
                reply.try_send(answer).ok();
            }
        }
        LinkMessage::Config { delta } => {
            mesh.links.asked_config_ms.set(None);
            if config::apply_delta(mesh, &delta, peer) {
                mesh.links.send(peer, &LinkMessage::AskConfig { held_version: 0 });
            }
        }
        _ => return Err(LinkEnd::OutOfOrder),
    }
    Ok(())
}

/// Asks a peer for a newer version. One daemon of each region asks far peers at once, and the
/// others get the version from it, so that it crosses each link between regions about once.
fn ask_config(mesh: &Rc<Mesh>, peer: &str, state: &DaemonState) {
    let links = &mesh.links;
    let held_version = mesh.config.version();
    let now_ms = mesh.now_ms();
    if state.config.version <= held_version {
        return links.behind_since_ms.set(None);
    }
    let behind_since_ms = links.behind_since_ms.get().unwrap_or(now_ms);
    links.behind_since_ms.set(Some(behind_since_ms));
    let is_asking = links.asked_config_ms.get().is_some_and(|ms| now_ms < ms + ASK_MS);
    let may_ask = mesh.peers.borrow().is_near(peer)
        || mesh.peers.borrow().is_first_of_region()
        || now_ms >= behind_since_ms + NEAR_FIRST_MS;
    if is_asking || !may_ask {
        return;
    }
    links.asked_config_ms.set(Some(now_ms));
    links.send(peer, &LinkMessage::AskConfig { held_version });
}
