//! Links between daemons over TCP: their tables, their frames, and the calls on them.
//!
//! Each daemon opens one link, for its own calls, to each peer that
//! [`pomeloreach_core::mesh::topology`] chooses. `docs/MESH.md` has the measurements behind the
//! choice of TCP over QUIC.

use super::Mesh;
use super::peer_calls::PendingCalls;
use async_channel::{Receiver, Sender};
use async_net::TcpStream;
use bytes::Bytes;
use event_listener::Event as Notify;
use futures_lite::AsyncWriteExt;
use futures_lite::io::BufReader;
use pomeloreach_core::mesh::dissemination::{Distance, Subscriber};
use pomeloreach_core::mesh::message::LinkMessage;
use pomeloreach_core::mesh::peers::RecordSource;
use pomeloreach_core::mesh::state::DaemonRecord;
use pomeloreach_wire::clock::sleep_ms;
use pomeloreach_wire::frame::{self, FrameError};
use pomeloreach_wire::memory::{Charge, Memory};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::Shutdown;
use std::rc::Rc;
use std::sync::Arc;

/// The largest message, in bytes: a body with its headers.
const MESSAGE_BYTES_MAX: usize = 20 * 1024 * 1024;
/// The largest number of frames that are queued on a link; further ones are refused.
const QUEUED_FRAMES_MAX: usize = 512;
/// Queued frames are joined into one write up to this size, in bytes; larger ones are not copied.
const JOINED_BYTES_MAX: usize = 64 * 1024;
/// Bodies up to this size are copied behind their message, in bytes.
const COPIED_BODY_BYTES_MAX: usize = 16 * 1024;
/// The size of a link's read buffer, in bytes. Larger reads bypass it.
const READ_BUFFER_BYTES: usize = 2 * 1024;
/// How long connecting, and then waiting for the first message of the peer, may each take, in
/// milliseconds.
pub const OPEN_TIMEOUT_MS: u64 = 1_000;
/// How often a stopping daemon checks whether its links are closed, in milliseconds.
const CLOSE_POLL_MS: u64 = 10;

/// A message that is ready to be sent.
pub struct Frame {
    /// The encoded message, with a small body behind it.
    bytes: Bytes,
    /// A large body that follows the message.
    body: Bytes,
}

impl Frame {
    pub fn len(&self) -> usize {
        self.bytes.len() + self.body.len()
    }
}

impl From<Bytes> for Frame {
    fn from(bytes: Bytes) -> Self {
        Self { bytes, body: Bytes::new() }
    }
}

/// The sending half of a link's queue of frames. The queue allocates memory only as it grows.
#[derive(Clone)]
pub struct FrameSender {
    frames: Sender<Frame>,
    /// The budget that queued frames are charged to.
    memory: Arc<Memory>,
    unwritten_count: Rc<Cell<usize>>,
}

/// The receiving half of a link's queue of frames.
pub struct QueuedFrames {
    frames: Receiver<Frame>,
    /// The number of frames that are queued or being written.
    unwritten_count: Rc<Cell<usize>>,
}

impl FrameSender {
    pub fn new(memory: Arc<Memory>) -> (Self, QueuedFrames) {
        let (sender, receiver) = async_channel::unbounded();
        let unwritten_count = Rc::new(Cell::new(0));
        let queued = QueuedFrames { frames: receiver, unwritten_count: unwritten_count.clone() };
        (Self { frames: sender, memory, unwritten_count }, queued)
    }

    /// Queues a frame. Returns false if the queue is closed or full. The body of a frame is charged
    /// already.
    pub fn send(&self, frame: impl Into<Frame>) -> bool {
        let Frame { bytes, body } = frame.into();
        let frame = Frame { bytes: self.memory.charged(bytes), body };
        let is_queued =
            self.frames.len() < QUEUED_FRAMES_MAX && self.frames.try_send(frame).is_ok();
        self.unwritten_count.set(self.unwritten_count.get() + usize::from(is_queued));
        is_queued
    }

    /// Refuses further frames. Those that are queued are still written.
    pub fn close(&self) {
        self.frames.close();
    }

    pub fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }

    /// Whether every frame was written, or the link is broken.
    fn is_written(&self) -> bool {
        self.unwritten_count.get() == 0
    }
}

/// A link that this daemon opened.
pub struct OutgoingLink {
    pub frames: FrameSender,
    /// The calls that wait for their results, by call id.
    pub pending: PendingCalls,
    /// The start id of the peer.
    pub start_id: u64,
}

/// A link that a peer opened.
pub struct IncomingLink {
    pub frames: FrameSender,
    pub peer: Arc<str>,
    pub region: Arc<str>,
    pub zone: Arc<str>,
    pub distance: Distance,
    /// When the load or the state was last sent to the peer.
    pub reported_ms: Cell<u64>,
    /// When the complete state was last sent to the peer.
    pub state_reported_ms: Cell<u64>,
}

impl IncomingLink {
    pub fn subscriber(&self) -> Subscriber<'_> {
        let Self { peer, region, zone, distance, .. } = self;
        Subscriber { name: peer, region, zone, distance: *distance }
    }
}

/// All links of a daemon.
#[derive(Default)]
pub struct Links {
    /// The links that this daemon opened, by the name of the peer.
    pub outgoing: RefCell<BTreeMap<Arc<str>, OutgoingLink>>,
    /// The links that peers opened, by link id.
    pub incoming: RefCell<BTreeMap<u64, IncomingLink>>,
    pub last_incoming_id: Cell<u64>,
    pub last_call_id: Cell<u64>,
    /// When rows were last requested from a peer; `None` after they have arrived.
    pub rows_requested_ms: Cell<Option<u64>>,
    /// When the known daemons were last requested from a peer.
    pub daemons_requested_ms: Cell<Option<u64>>,
    /// When a peer first reported a newer version; `None` after a report of a version that is not
    /// newer.
    pub behind_since_ms: Cell<Option<u64>>,
    /// The results that were announced to peers, and are held until they request them.
    pub offered_results: Cell<u32>,
    /// Wakes [`super::report::run`] to send a report at once.
    pub report_requested: Notify,
}

impl Links {
    /// Requests an immediate report to all peers.
    pub fn report_now(&self) {
        self.report_requested.notify(usize::MAX);
    }

    /// Whether all results of peers' calls were written.
    pub fn are_results_written(&self) -> bool {
        self.offered_results.get() == 0
            && self.incoming.borrow().values().all(|link| link.frames.is_written())
    }

    /// Closes the links that peers have opened so far, and waits until the peers have closed them too:
    /// the system would discard results that a peer has not received yet if the process exited before.
    pub async fn close_incoming(&self) {
        let closed: Vec<u64> = self.incoming.borrow().keys().copied().collect();
        self.incoming.borrow().values().for_each(|link| link.frames.close());
        while closed.iter().any(|id| self.incoming.borrow().contains_key(id)) {
            sleep_ms(CLOSE_POLL_MS).await;
        }
    }

    /// Sends a message that may be lost: a cancellation, which is not needed without a link, or a
    /// request for rows, which is repeated.
    pub fn send(&self, peer: &str, message: &LinkMessage) {
        if let Some(link) = self.outgoing.borrow().get(peer) {
            link.frames.send(encode(message));
        }
    }
}

/// Encodes a message without a body, or with one that it contains.
pub fn encode(message: &LinkMessage) -> Bytes {
    let body_bytes = match message {
        LinkMessage::BodyPart { bytes, .. } | LinkMessage::ConfigDelta { delta: bytes } => {
            bytes.len()
        }
        _ => 0,
    };
    Bytes::from(frame::encode_with(message, body_bytes))
}

/// Encodes a call or a result. Its body follows the message, and is copied only if it is small, so that
/// both are sent in one write.
pub fn encode_with_body(mut message: LinkMessage) -> Frame {
    let body = message.body_mut().map(std::mem::take).unwrap_or_default();
    if body.len() > COPIED_BODY_BYTES_MAX {
        return Frame { bytes: encode(&message), body };
    }
    let mut bytes = frame::encode_with(&message, body.len());
    bytes.extend_from_slice(&body);
    Frame::from(Bytes::from(bytes))
}

/// The receiving half of a link.
pub struct LinkReader {
    stream: BufReader<TcpStream>,
    /// The location of the peer, which is known after its first message.
    pub distance: Distance,
}

impl LinkReader {
    pub fn new(stream: TcpStream) -> Self {
        let stream = BufReader::with_capacity(READ_BUFFER_BYTES, stream);
        Self { stream, distance: Distance::OtherRegion }
    }

    /// Reads the next message and counts it. The peer may be silent for `silence_max_ms` at most.
    /// `charge` returns the memory for so many bytes that follow a message. Without any they are
    /// discarded, and the message has no body.
    pub async fn read(
        &mut self,
        mesh: &Mesh,
        silence_max_ms: u64,
        charge: impl FnOnce(&LinkMessage, usize) -> Option<Charge>,
    ) -> Result<LinkMessage, LinkError> {
        let charge_message = |bytes| mesh.memory.charge(bytes);
        let stream = &mut self.stream;
        let (mut message, message_bytes): (LinkMessage, usize) =
            frame::read_charged(stream, MESSAGE_BYTES_MAX, silence_max_ms, charge_message).await?;
        let following = frame::check_following(message.following_bytes(), MESSAGE_BYTES_MAX)?;
        if following == 0 {
            if let Some(body) = message.body_mut() {
                *body = mesh.memory.charged(std::mem::take(body));
            }
        } else if let Some(charge) = charge(&message, following) {
            let received = frame::read_following(stream, following, silence_max_ms).await?;
            if let Some(body) = message.body_mut() {
                *body = charge.attach(received);
            }
        } else {
            frame::discard_following(stream, following, silence_max_ms).await?;
        }
        let bytes = (message_bytes + following) as u64;
        mesh.metrics.link_message_received((&message).into(), self.distance, bytes);
        if !matches!(message, LinkMessage::BodyPart { .. }) {
            mesh.bodies.record_received(bytes);
        }
        Ok(message)
    }
}

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    #[error("{0}")]
    Frame(#[from] FrameError),
    #[error("unexpected kind of message")]
    UnexpectedMessage,
    /// There is a link to the peer already, or the peer is this daemon itself.
    #[error("a link to the peer exists already, or the peer is this daemon itself")]
    Duplicate,
}

/// Writes queued frames, joining small ones that are available into one write. Then shuts the stream
/// down in the directions of `shutdown`.
pub async fn write_frames(mut stream: TcpStream, queued: QueuedFrames, shutdown: Shutdown) {
    let QueuedFrames { frames, unwritten_count } = queued;
    let mut shutdown = shutdown;
    // A frame that was too large to be joined to those before it.
    let mut next = None;
    loop {
        let first = match next.take() {
            Some(frame) => frame,
            None => match frames.recv().await {
                Ok(frame) => frame,
                Err(_) => break,
            },
        };
        let (Frame { bytes, body }, count) = join_frames(first, &frames, &mut next);
        let is_written =
            stream.write_all(&bytes).await.is_ok() && stream.write_all(&body).await.is_ok();
        if !is_written {
            shutdown = Shutdown::Both;
            break;
        }
        unwritten_count.set(unwritten_count.get() - count);
    }
    frames.close();
    unwritten_count.set(0);
    // Fails only on a stream that is already broken.
    stream.shutdown(shutdown).ok();
}

/// Joins a frame with the small ones behind it, unless a body follows it. Returns what to write and the
/// number of frames. Sets `next` to a frame that cannot be joined to those before it.
fn join_frames(first: Frame, frames: &Receiver<Frame>, next: &mut Option<Frame>) -> (Frame, usize) {
    if !first.body.is_empty() {
        return (first, 1);
    }
    let mut joined = Vec::new();
    let mut count = 1;
    while let Ok(frame) = frames.try_recv() {
        if joined.len().max(first.len()) + frame.len() > JOINED_BYTES_MAX {
            *next = Some(frame);
            break;
        }
        if joined.is_empty() {
            joined.extend_from_slice(&first.bytes);
        }
        joined.extend_from_slice(&frame.bytes);
        joined.extend_from_slice(&frame.body);
        count += 1;
    }
    (if joined.is_empty() { first } else { Bytes::from(joined).into() }, count)
}

/// Adds the daemons that a peer or the store has listed.
pub fn add_known_daemons(mesh: &Rc<Mesh>, records: Vec<DaemonRecord>, source: RecordSource) {
    let now_ms = mesh.now_ms();
    let mut peers = mesh.peers.borrow_mut();
    for record in records {
        peers.update_record(record, source, now_ms);
    }
}

/// The number of known daemons, as link messages report it.
pub fn daemon_count(mesh: &Mesh) -> u32 {
    u32::try_from(mesh.peers.borrow().daemon_count()).unwrap_or(u32::MAX)
}
