//! Links between daemons over TCP: calls, answers, states and row changes in frames.
//!
//! Each daemon opens one link to each peer for its own calls. `docs/MESH.md` has the measurements
//! that chose TCP over QUIC here.

use super::door::{self, Cancel, DoorCall};
use super::{Mesh, config};
use crate::logging::log_event;
use async_channel::{Receiver, Sender};
use async_net::{TcpListener, TcpStream};
use bytes::Bytes;
use event_listener::Event as Notify;
use futures_lite::future::or;
use futures_lite::io::BufReader;
use futures_lite::{AsyncWriteExt, StreamExt};
use pomeloreach_core::event::Event;
use pomeloreach_core::mesh::heartbeat::TargetStart;
use pomeloreach_core::mesh::message::{Answer, Call, LinkMessage};
use pomeloreach_core::mesh::state::{DaemonRecord, DaemonState};
use pomeloreach_platform::headers;
use pomeloreach_wire::clock::{sleep_ms, within_ms};
use pomeloreach_wire::frame::{self, FrameError};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// The largest message, in bytes: a body with its head.
const MESSAGE_BYTES_MAX: usize = 20 * 1024 * 1024;
/// Messages that may wait on a link; calls beyond are refused. The queue's memory is taken when the
/// link opens.
const WAITING_MAX: usize = 512;
/// How long opening a link may take, in milliseconds.
const OPEN_MS: u64 = 1_000;
/// How often due peers are dialled, in milliseconds.
const DIAL_LOOK_MS: u64 = 100;
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
/// After this long without a message the other daemon is taken for silent, in milliseconds: two
/// heartbeats and the longest delay of a retransmission.
const SILENT_MS: u64 = 2_600;
const FAR_SILENT_MS: u64 = 4_600;
/// How often the daemon that opened a link shows that it lives, in milliseconds.
const PING_MS: u64 = 2_500;
/// A daemon whose knowledge from the store is younger than this counts as a reader, in
/// milliseconds.
const READER_AGE_MS: u64 = 1_500;
/// After this long without a message an accepted link is closed, in milliseconds.
const ACCEPTED_SILENT_MS: u64 = 8_000;

/// A link that this daemon opened.
struct OutLink {
    frames: Sender<Bytes>,
    pending: Rc<RefCell<BTreeMap<u64, Sender<Answer>>>>,
    start_id: u64,
}

/// A link that a peer opened.
struct InLink {
    frames: Sender<Bytes>,
    region: Arc<str>,
    reported_ms: Cell<u64>,
}

/// All links of a daemon.
#[derive(Default)]
pub struct Links {
    out: RefCell<BTreeMap<Arc<str>, OutLink>>,
    accepted: RefCell<BTreeMap<u64, InLink>>,
    next_accepted: Cell<u64>,
    next_call: Cell<u64>,
    asked_config_ms: Cell<Option<u64>>,
    /// Since when a peer has been known to hold a newer version.
    behind_since_ms: Cell<Option<u64>>,
    changed: Notify,
}

impl Links {
    /// Tells all peers of a change at once.
    pub fn report_now(&self) {
        self.changed.notify(usize::MAX);
    }

    fn send(&self, peer: &str, message: &LinkMessage) -> bool {
        let out = self.out.borrow();
        out.get(peer).is_some_and(|link| link.frames.try_send(encode(message)).is_ok())
    }
}

fn encode(message: &LinkMessage) -> Bytes {
    Bytes::from(frame::encode(message))
}

/// A call that was sent. Dropping it cancels the call.
pub struct Sent {
    mesh: Rc<Mesh>,
    peer: Arc<str>,
    call: u64,
    pending: Rc<RefCell<BTreeMap<u64, Sender<Answer>>>>,
    answer: Receiver<Answer>,
}

impl Sent {
    /// Waits for the answer. Nothing comes if the link breaks.
    pub async fn answer(&self) -> Option<Answer> {
        self.answer.recv().await.ok()
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        if self.pending.borrow_mut().remove(&self.call).is_some() {
            // A link that is gone has cancelled the call already.
            self.mesh.links.send(&self.peer, &LinkMessage::Cancel { call: self.call });
        }
    }
}

/// Sends a call to a peer. Without a link nothing was sent.
pub fn call(mesh: &Rc<Mesh>, peer: &Arc<str>, mut call: Call) -> Option<Sent> {
    let links = &mesh.links;
    links.next_call.set(links.next_call.get() + 1);
    call.call = links.next_call.get();
    let (reply, answer) = async_channel::bounded(1);
    let number = call.call;
    let pending = {
        let out = links.out.borrow();
        let link = out.get(peer)?;
        link.pending.borrow_mut().insert(number, reply);
        if link.frames.try_send(encode(&LinkMessage::Call(call))).is_err() {
            link.pending.borrow_mut().remove(&number);
            return None;
        }
        link.pending.clone()
    };
    Some(Sent { mesh: mesh.clone(), peer: peer.clone(), call: number, pending, answer })
}

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

type Reader = BufReader<TcpStream>;

async fn read(reader: &mut Reader, silent_ms: u64) -> Result<LinkMessage, LinkEnd> {
    let reading = frame::read(reader, MESSAGE_BYTES_MAX);
    within_ms(silent_ms, reading).await.ok_or(LinkEnd::Silent)?.map_err(LinkEnd::Broken)
}

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
enum LinkEnd {
    #[error("no message came in time")]
    Silent,
    #[error("{0}")]
    Broken(FrameError),
    #[error("a message came out of order")]
    OutOfOrder,
    #[error("there is a link already")]
    Twice,
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

fn learn(mesh: &Rc<Mesh>, own: DaemonRecord, known: Vec<DaemonRecord>) {
    let now_ms = mesh.now_ms();
    let mut peers = mesh.peers.borrow_mut();
    peers.learn(own, true, now_ms);
    for record in known {
        peers.learn(record, false, now_ms);
    }
}

/// A daemon that starts again learns from its peers which targets have left, also its own.
fn learn_left(mesh: &Rc<Mesh>, left: Vec<TargetStart>) {
    let now_ms = mesh.now_ms();
    for start in left {
        if mesh.target.borrow_mut().leave(start.clone(), now_ms) {
            log_event(Event::TargetLeft, &format!("target={} source=peer", start.id));
            mesh.door.refresh(mesh);
            mesh.links.report_now();
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

/// How long a daemon waits for a peer of its own region to have a newer version, in milliseconds.
const NEAR_FIRST_MS: u64 = 450;
/// How long an answer with rows may take before another peer is asked, in milliseconds.
const ASK_MS: u64 = 400;

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

/// Writes what is queued, as much as there is at once.
async fn write(mut stream: TcpStream, queued: Receiver<Bytes>) {
    let mut queued = std::pin::pin!(queued);
    while let Some(first) = queued.next().await {
        let mut bytes = first;
        if let Ok(second) = queued.try_recv() {
            let mut joined = bytes.to_vec();
            joined.extend_from_slice(&second);
            while let Ok(more) = queued.try_recv() {
                joined.extend_from_slice(&more);
            }
            bytes = joined.into();
        }
        if stream.write_all(&bytes).await.is_err() {
            break;
        }
    }
    queued.close();
    // Ends the reading half too; a stream that is broken already has ended it.
    stream.shutdown(std::net::Shutdown::Both).ok();
}

/// Accepts links of peers.
pub async fn accept(mesh: Rc<Mesh>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep_ms(DIAL_LOOK_MS).await;
            continue;
        };
        let task_mesh = mesh.clone();
        mesh.spawn(async move {
            let mut link = None;
            let end = run_accepted(&task_mesh, stream, &mut link).await;
            if let Some(link) = link {
                task_mesh.links.accepted.borrow_mut().remove(&link);
            }
            if let Err(LinkEnd::OutOfOrder) = end {
                log_event(Event::InputRefused, "reason=a link sent a message out of order");
            }
        });
    }
}

async fn run_accepted(
    mesh: &Rc<Mesh>,
    stream: TcpStream,
    accepted: &mut Option<u64>,
) -> Result<(), LinkEnd> {
    // Without this option answers would only be later.
    stream.set_nodelay(true).ok();
    let mut reader = BufReader::new(stream.clone());
    let LinkMessage::Hello { own, known } = read(&mut reader, OPEN_MS).await? else {
        return Err(LinkEnd::OutOfOrder);
    };
    let (name, region) = (own.name.clone(), own.region.clone());
    let (frames, queued) = async_channel::bounded(WAITING_MAX);
    let records = mesh.peers.borrow().records();
    let left = mesh.peers.borrow().left();
    let (own_record, state) = (mesh.own.clone(), mesh.state());
    let welcome = LinkMessage::Welcome { own: own_record, known: records, state, left };
    frames.try_send(encode(&welcome)).ok();
    learn(mesh, own, known);
    mesh.peers.borrow_mut().came_back(&name, mesh.now_ms());
    mesh.spawn(write(stream, queued));
    let link = mesh.links.next_accepted.get() + 1;
    mesh.links.next_accepted.set(link);
    let in_link = InLink { frames: frames.clone(), region, reported_ms: Cell::new(mesh.now_ms()) };
    mesh.links.accepted.borrow_mut().insert(link, in_link);
    *accepted = Some(link);
    // Dropping the table cancels the calls of a peer that is gone.
    let running = Rc::new(RefCell::new(BTreeMap::new()));
    let result = async {
        loop {
            match read(&mut reader, ACCEPTED_SILENT_MS).await? {
                LinkMessage::Ping => {}
                LinkMessage::Call(call) => serve_call(mesh, call, &running, &frames),
                LinkMessage::Cancel { call } => {
                    running.borrow_mut().remove(&call);
                }
                LinkMessage::AskConfig { held_version } => {
                    if let Some(delta) = mesh.config.delta_since(held_version) {
                        let message = LinkMessage::Config { delta: delta.into() };
                        frames.try_send(encode(&message)).ok();
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
    frames: &Sender<Bytes>,
) {
    let Call { call: number, request, terms, body } = call;
    let request_id = request_id(&request);
    let (answer, cancel) = door::submit(mesh, DoorCall { request, terms, body, request_id });
    running.borrow_mut().insert(number, cancel);
    let (mesh, running, frames) = (mesh.clone(), running.clone(), frames.clone());
    mesh.clone().spawn(async move {
        let answered = answer.recv().await;
        running.borrow_mut().remove(&number);
        let Ok(answered) = answered else { return };
        let message = LinkMessage::Answer(Answer {
            call: number,
            response: answered.response,
            reached_target: answered.reached_target,
            retry_after_ms: answered.retry_after_ms,
            service_ms: answered.service_ms,
            load: mesh.door.load(mesh.now_ms()),
            body: answered.body,
        });
        if frames.try_send(encode(&message)).is_err() {
            // The peer learns from the end of the link that it need not wait.
            frames.close();
        }
    });
}

/// The id that the caller gave its request.
pub fn request_id(request: &pomeloreach_core::call::CallRequest) -> Arc<str> {
    let id = request.headers.iter().find(|header| headers::is_request_id(&header.name));
    id.map(|header| header.value.clone()).unwrap_or_default()
}

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
