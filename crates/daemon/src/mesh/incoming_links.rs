//! The links that peers opened: their calls for the target beside this daemon come in on them.

use super::inbound::{self, Cancel};
use super::links::{
    self, Distance, Frames, InLink, LinkEnd, OPEN_MS, encode, known_count, learn, read, write,
};
use super::{Mesh, listener};
use crate::logging::log_event;
use async_net::{TcpListener, TcpStream};
use futures_lite::future::pending;
use pomeloreach_core::event::Event;
use pomeloreach_core::mesh::message::{Call, CallResult, LinkMessage};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// After this long without a message an accepted link is closed, in milliseconds.
const ACCEPTED_SILENT_MS: u64 = 8_000;

/// Accepts links of peers.
pub async fn accept(mesh: Rc<Mesh>, listener: TcpListener) {
    let serve = |stream| serve(mesh.clone(), stream);
    listener::serve_each(&mesh, listener, pending(), serve).await;
}

async fn serve(mesh: Rc<Mesh>, stream: TcpStream) {
    let mut link = None;
    let end = run_accepted(&mesh, stream, &mut link).await;
    if let Some(link) = link {
        mesh.links.accepted.borrow_mut().remove(&link);
    }
    if let Err(LinkEnd::OutOfOrder) = end {
        log_event(Event::InputRefused, "reason=a link sent a message out of order");
    }
}

async fn run_accepted(
    mesh: &Rc<Mesh>,
    stream: TcpStream,
    accepted: &mut Option<u64>,
) -> Result<(), LinkEnd> {
    // Without this option answers would only be later.
    stream.set_nodelay(true).ok();
    let mut reader = links::reader(stream.clone());
    let LinkMessage::Hello { sender, known_count: peer_count } = read(&mut reader, OPEN_MS).await?
    else {
        return Err(LinkEnd::OutOfOrder);
    };
    let (name, region) = (sender.name.clone(), sender.region.clone());
    let (frames, queued) = Frames::new();
    let known_count = known_count(mesh);
    let is_behind = peer_count < known_count;
    let known_daemons = if is_behind { mesh.peers.borrow().records() } else { Vec::new() };
    let departed = mesh.peers.borrow().departed();
    let (own_record, state) = (mesh.own.clone(), mesh.state());
    let welcome =
        LinkMessage::Welcome { sender: own_record, known_count, known_daemons, state, departed };
    frames.send(encode(&welcome));
    let distance = Distance::between(&mesh.own, &sender);
    mesh.peers.borrow_mut().update_record(sender, true, mesh.now_ms());
    mesh.peers.borrow_mut().reset_redial(&name, mesh.now_ms());
    mesh.spawn(write(stream, queued));
    let link = mesh.links.next_accepted.get() + 1;
    mesh.links.next_accepted.set(link);
    let in_link = InLink {
        frames: frames.clone(),
        peer: name,
        region,
        distance,
        told_ms: Cell::new(mesh.now_ms()),
        told_state_ms: Cell::new(mesh.now_ms()),
    };
    mesh.links.accepted.borrow_mut().insert(link, in_link);
    *accepted = Some(link);
    // Dropping the table cancels the calls of a peer that is gone.
    let running = Rc::new(RefCell::new(BTreeMap::new()));
    let result = async {
        loop {
            match read(&mut reader, ACCEPTED_SILENT_MS).await? {
                LinkMessage::Ping => {}
                LinkMessage::KnownDaemons(known) => learn(mesh, known),
                LinkMessage::Call(call) => serve_call(mesh, call, &running, &frames),
                LinkMessage::Cancel { call_id } => {
                    running.borrow_mut().remove(&call_id);
                }
                LinkMessage::ConfigRequest { held_version } => {
                    if let Some(delta) = mesh.config.delta_since(held_version) {
                        frames.send(encode(&LinkMessage::ConfigDelta { delta }));
                    }
                }
                _ => return Err(LinkEnd::OutOfOrder),
            }
        }
    }
    .await;
    running.borrow_mut().clear();
    frames.close();
    result
}

fn serve_call(
    mesh: &Rc<Mesh>,
    call: Call,
    running: &Rc<RefCell<BTreeMap<u64, Cancel>>>,
    frames: &Frames,
) {
    let Call { call_id, request } = call;
    let (answered, cancel) = inbound::submit(mesh, request);
    running.borrow_mut().insert(call_id, cancel);
    let (mesh, running, frames) = (mesh.clone(), running.clone(), frames.clone());
    mesh.clone().spawn(async move {
        let answered = answered.recv().await;
        running.borrow_mut().remove(&call_id);
        let Ok(response) = answered else { return };
        let load = mesh.door.load(mesh.now_ms());
        let message = LinkMessage::CallResult(CallResult { call_id, response, load });
        if !frames.send(encode(&message)) {
            // The peer learns from the end of the link that it need not wait.
            frames.close();
        }
    });
}
