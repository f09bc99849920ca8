//! The links that this daemon opened: its calls go out on them, and peers' states come back.

use super::config::{self, Applied, Source};
use super::links::{
    self, Frames, LinkEnd, OPEN_MS, OutLink, encode, known_count, learn, read, write,
};
use super::{Mesh, report};
use crate::logging::log_event;
use async_channel::Sender;
use async_net::TcpStream;
use futures_lite::future::or;
use pomeloreach_core::event::Event;
use pomeloreach_core::mesh::heartbeat::TargetStart;
use pomeloreach_core::mesh::message::{CallResult, LinkMessage};
use pomeloreach_core::mesh::state::{ConfigState, DaemonRecord};
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

/// Opens links to peers that should have one, and closes those that are of no more use.
pub async fn dial(mesh: Rc<Mesh>) {
    loop {
        let surplus = mesh.peers.borrow().surplus_links(mesh.now_ms());
        for name in surplus {
            if let Some(link) = mesh.links.out.borrow().get(&name) {
                log_event(Event::PeerLost, &format!("peer={name} reason=no longer needed"));
                link.frames.close();
            }
        }
        let due = mesh.peers.borrow_mut().take_due_dials(mesh.now_ms());
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
        mesh.peers.borrow_mut().link_closed(&name, mesh.now_ms());
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
    let (frames, queued) = Frames::new();
    let known_count = known_count(mesh);
    frames.send(encode(&LinkMessage::Hello { sender: mesh.own.clone(), known_count }));
    mesh.spawn(write(stream.clone(), queued));
    let mut reader = links::reader(stream);
    let welcome = read(&mut reader, OPEN_MS).await?;
    let LinkMessage::Welcome { sender, known_count: peer_count, known_daemons, state, departed } =
        welcome
    else {
        return Err(LinkEnd::OutOfOrder);
    };
    let name = sender.name.clone();
    if mesh.links.out.borrow().contains_key(&name) || name == mesh.own.name {
        return Err(LinkEnd::Twice);
    }
    let pending = Rc::new(RefCell::new(BTreeMap::new()));
    let start_id = sender.start_id;
    let is_near = sender.region == mesh.own.region;
    let link = OutLink { frames: frames.clone(), pending: pending.clone(), start_id };
    mesh.links.out.borrow_mut().insert(name.clone(), link);
    *opened = Some((name.clone(), start_id));
    mesh.peers.borrow_mut().update_record(sender, true, mesh.now_ms());
    learn(mesh, known_daemons);
    if peer_count < known_count {
        frames.send(encode(&LinkMessage::KnownDaemons(mesh.peers.borrow().records())));
    }
    learn_left(mesh, departed);
    mesh.peers.borrow_mut().link_opened(&name, state.clone(), mesh.now_ms());
    log_event(Event::PeerJoined, &format!("peer={name}"));
    hear_config(mesh, &name, state.config);
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
            frames.send(encode(&LinkMessage::Ping));
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
        if mesh.target.borrow_mut().apply_leave(start.clone(), now_ms) {
            log_event(Event::TargetLeft, &format!("target={} source=peer", start.id));
            mesh.target_changed();
        }
        mesh.peers.borrow_mut().add_departed(start, now_ms);
    }
}

fn receive_opened(
    mesh: &Rc<Mesh>,
    peer: &Arc<str>,
    pending: &RefCell<BTreeMap<u64, Sender<CallResult>>>,
    message: LinkMessage,
) -> Result<(), LinkEnd> {
    match message {
        LinkMessage::State(state) => {
            let config = state.config;
            mesh.peers.borrow_mut().apply_state(peer, state, mesh.now_ms());
            hear_config(mesh, peer, config);
        }
        LinkMessage::Load(load) => mesh.peers.borrow_mut().apply_load(peer, load, mesh.now_ms()),
        LinkMessage::Config(config) => {
            mesh.peers.borrow_mut().apply_config(peer, config, mesh.now_ms());
            hear_config(mesh, peer, config);
        }
        LinkMessage::CallResult(answer) => {
            mesh.peers.borrow_mut().apply_load(peer, answer.load, mesh.now_ms());
            let waiting = pending.borrow_mut().remove(&answer.call_id);
            if let Some(reply) = waiting {
                // The caller may have left meanwhile.
                reply.try_send(answer).ok();
            }
        }
        LinkMessage::ConfigDelta { delta } => {
            mesh.links.asked_config_ms.set(None);
            match config::apply_delta(mesh, &delta, peer) {
                Applied::Done => {}
                Applied::Superseded => ask_rows(mesh, peer, mesh.config.version()),
                Applied::RowsMissing => ask_rows(mesh, peer, 0),
            }
        }
        _ => return Err(LinkEnd::OutOfOrder),
    }
    Ok(())
}

/// Takes in which version a peer holds and how fresh its knowledge is. One daemon of each region
/// asks far peers for a newer version at once, and the others get it from that one, so that it
/// crosses each link between regions about once.
fn hear_config(mesh: &Rc<Mesh>, peer: &str, config: ConfigState) {
    let links = &mesh.links;
    let held_version = mesh.config.version();
    let now_ms = mesh.now_ms();
    let is_near = mesh.peers.borrow().is_same_region(peer);
    if config.version <= held_version {
        links.behind_since_ms.set(None);
        if config.version == held_version && mesh.config.confirm(config.confirmed_ms(now_ms)) {
            report::tell_config(mesh, Source::of_peer(is_near));
        }
        return;
    }
    let behind_since_ms = links.behind_since_ms.get().unwrap_or(now_ms);
    links.behind_since_ms.set(Some(behind_since_ms));
    let is_asking = links.asked_config_ms.get().is_some_and(|ms| now_ms < ms + ASK_MS);
    let may_ask = is_near
        || mesh.peers.borrow().has_lowest_name_in_region()
        || now_ms >= behind_since_ms + NEAR_FIRST_MS;
    if !is_asking && may_ask {
        ask_rows(mesh, peer, held_version);
    }
}

fn ask_rows(mesh: &Rc<Mesh>, peer: &str, held_version: u64) {
    mesh.links.asked_config_ms.set(Some(mesh.now_ms()));
    mesh.links.send(peer, &LinkMessage::ConfigRequest { held_version });
}
