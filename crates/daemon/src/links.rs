//! Control links: one QUIC stream each, with a task that reads it and one that writes it.

use crate::runtime::{Shared, lock};
use async_channel::{Receiver, Sender};
use pomeloreach_core::link::LinkId;
use pomeloreach_core::message::Message;
use pomeloreach_core::node::Input;
use pomeloreach_wire::frame::{self, CONTROL_FRAME_BYTES_MAX};
use quinn::{Connection, RecvStream, SendStream};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// Messages that may wait on a link; a link that is slower is closed.
const WAITING_MAX: usize = 1_024;

/// The first byte of a stream says what the stream is for.
pub const STREAM_CONTROL: u8 = 1;
pub const STREAM_CALL: u8 = 2;

struct OpenLink {
    outgoing: Sender<Vec<u8>>,
    connection: Option<Connection>,
}

/// Bytes of control traffic since the daemon started, as UDP carries them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ControlBytes {
    pub sent_bytes: u64,
    pub received_bytes: u64,
    /// Both directions of each open link.
    pub by_link: BTreeMap<u64, u64>,
}

/// All links of a daemon.
#[derive(Default)]
pub struct Links {
    open: Mutex<BTreeMap<LinkId, OpenLink>>,
    closed_bytes: Mutex<ControlBytes>,
    next_accepted: AtomicU64,
}

impl Links {
    /// Encodes a message and queues it.
    pub fn send(&self, link: LinkId, message: &Message) {
        let open = lock(&self.open);
        let Some(entry) = open.get(&link) else { return };
        if entry.outgoing.try_send(frame::encode(message)).is_err() {
            entry.outgoing.close();
        }
    }

    /// Lets what is queued leave, then closes.
    pub fn close(&self, link: LinkId) {
        if let Some(entry) = lock(&self.open).get(&link) {
            entry.outgoing.close();
        }
    }

    pub fn control_bytes(&self) -> ControlBytes {
        let mut sum = lock(&self.closed_bytes).clone();
        for (link, entry) in lock(&self.open).iter() {
            if let Some(connection) = &entry.connection {
                let bytes = add_bytes(&mut sum, connection);
                sum.by_link.insert(link.0, bytes);
            }
        }
        sum
    }

    fn register(&self, link: LinkId) -> Receiver<Vec<u8>> {
        let (outgoing, queued) = async_channel::bounded(WAITING_MAX);
        lock(&self.open).insert(link, OpenLink { outgoing, connection: None });
        queued
    }

    fn attach(&self, link: LinkId, connection: &Connection) {
        if let Some(entry) = lock(&self.open).get_mut(&link) {
            entry.connection = Some(connection.clone());
        }
    }

    fn forget(&self, link: LinkId) {
        let removed = lock(&self.open).remove(&link);
        if let Some(connection) = removed.and_then(|entry| entry.connection) {
            add_bytes(&mut lock(&self.closed_bytes), &connection);
            connection.close(0u32.into(), b"link closed");
        }
    }
}

/// Adds the bytes of a connection and returns how many it has carried.
fn add_bytes(sum: &mut ControlBytes, connection: &Connection) -> u64 {
    let stats = connection.stats();
    sum.sent_bytes += stats.udp_tx.bytes;
    sum.received_bytes += stats.udp_rx.bytes;
    stats.udp_tx.bytes + stats.udp_rx.bytes
}

/// Opens a link on a connection of its own.
pub fn open(shared: &Arc<Shared>, link: LinkId, addr: SocketAddr) {
    let queued = shared.links.register(link);
    let task_shared = shared.clone();
    shared.spawn(async move {
        if let Some((connection, send, receive)) = dial(&task_shared, addr).await {
            task_shared.links.attach(link, &connection);
            task_shared.send_input(Input::LinkOpened { link }).await;
            run(&task_shared, link, send, receive, queued).await;
        }
        task_shared.links.forget(link);
        task_shared.send_input(Input::LinkDown { link }).await;
    });
}

async fn dial(shared: &Shared, addr: SocketAddr) -> Option<(Connection, SendStream, RecvStream)> {
    let connection = shared.peer_connections.dial(addr).await?;
    let (mut send, receive) = connection.open_bi().await.ok()?;
    send.write_all(&[STREAM_CONTROL]).await.ok()?;
    Some((connection, send, receive))
}

/// Serves a control stream that another daemon opened.
pub async fn serve(
    shared: Arc<Shared>,
    connection: Connection,
    send: SendStream,
    receive: RecvStream,
) {
    let link = LinkId(shared.links.next_accepted.fetch_add(1, Ordering::Relaxed));
    let queued = shared.links.register(link);
    shared.links.attach(link, &connection);
    let addr = connection.remote_address();
    shared.send_input(Input::LinkAccepted { link, addr }).await;
    run(&shared, link, send, receive, queued).await;
    shared.links.forget(link);
    shared.send_input(Input::LinkDown { link }).await;
}

async fn run(
    shared: &Arc<Shared>,
    link: LinkId,
    mut send: SendStream,
    mut receive: RecvStream,
    queued: Receiver<Vec<u8>>,
) {
    let writing = async {
        while let Ok(bytes) = queued.recv().await {
            if send.write_all(&bytes).await.is_err() {
                return;
            }
        }
        send.finish().ok();
        send.stopped().await.ok();
    };
    let reading = async {
        while let Ok(message) = frame::read(&mut receive, CONTROL_FRAME_BYTES_MAX).await {
            shared.send_input(Input::Received { link, message }).await;
        }
    };
    futures_lite::future::or(writing, reading).await;
}
