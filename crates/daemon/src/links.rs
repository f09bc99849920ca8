//! Control links between daemons. Each link is one QUIC stream, which is read and written at the
//! same time.

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

/// Messages that may be queued on a link; a link whose queue is full is closed.
const QUEUED_MESSAGES_MAX: usize = 1_024;

/// First byte of a stream that carries a control link.
pub const STREAM_CONTROL: u8 = 1;
/// First byte of a stream that carries a call.
pub const STREAM_CALL: u8 = 2;

/// A link with the queue of the encoded messages to send. The connection is absent until it is set
/// up.
struct OpenLink {
    message_queue: Sender<Vec<u8>>,
    connection: Option<Connection>,
}

/// Bytes of control traffic since the daemon started, as counted in UDP datagrams.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ControlBytes {
    pub sent_bytes: u64,
    pub received_bytes: u64,
    /// Bytes in both directions, by id of the open link.
    pub by_link: BTreeMap<u64, u64>,
}

/// The open control links of this daemon.
#[derive(Default)]
pub struct Links {
    open_links: Mutex<BTreeMap<LinkId, OpenLink>>,
    closed_bytes: Mutex<ControlBytes>,
    next_accepted_id: AtomicU64,
}

impl Links {
    /// Encodes a message and queues it. Closes the link if its queue is full.
    pub fn send(&self, link: LinkId, message: &Message) {
        let open_links = lock(&self.open_links);
        let Some(entry) = open_links.get(&link) else { return };
        if entry.message_queue.try_send(frame::encode(message)).is_err() {
            entry.message_queue.close();
        }
    }

    /// Closes a link after its queued messages were sent.
    pub fn close(&self, link: LinkId) {
        if let Some(entry) = lock(&self.open_links).get(&link) {
            entry.message_queue.close();
        }
    }

    pub fn control_bytes(&self) -> ControlBytes {
        let mut total = lock(&self.closed_bytes).clone();
        for (link, entry) in lock(&self.open_links).iter() {
            if let Some(connection) = &entry.connection {
                let bytes = add_bytes(&mut total, connection);
                total.by_link.insert(link.0, bytes);
            }
        }
        total
    }

    fn register(&self, link: LinkId) -> Receiver<Vec<u8>> {
        let (message_queue, messages) = async_channel::bounded(QUEUED_MESSAGES_MAX);
        lock(&self.open_links).insert(link, OpenLink { message_queue, connection: None });
        messages
    }

    fn set_connection(&self, link: LinkId, connection: &Connection) {
        if let Some(entry) = lock(&self.open_links).get_mut(&link) {
            entry.connection = Some(connection.clone());
        }
    }

    fn remove(&self, link: LinkId) {
        let removed = lock(&self.open_links).remove(&link);
        if let Some(connection) = removed.and_then(|entry| entry.connection) {
            add_bytes(&mut lock(&self.closed_bytes), &connection);
            connection.close(0u32.into(), b"link closed");
        }
    }
}

/// Adds the bytes of a connection to the total and returns the sum of both directions.
fn add_bytes(total: &mut ControlBytes, connection: &Connection) -> u64 {
    let stats = connection.stats();
    total.sent_bytes += stats.udp_tx.bytes;
    total.received_bytes += stats.udp_rx.bytes;
    stats.udp_tx.bytes + stats.udp_rx.bytes
}

/// Opens a link to another daemon on a separate connection.
pub fn open(shared: &Arc<Shared>, link: LinkId, addr: SocketAddr) {
    let messages = shared.links.register(link);
    let task_shared = shared.clone();
    shared.spawn(async move {
        if let Some((connection, send, receive)) = open_stream(&task_shared, addr).await {
            task_shared.links.set_connection(link, &connection);
            task_shared.send_input(Input::LinkOpened { link }).await;
            run_link(&task_shared, link, send, receive, messages).await;
        }
        task_shared.links.remove(link);
        task_shared.send_input(Input::LinkDown { link }).await;
    });
}

/// Connects to another daemon and opens a control stream.
async fn open_stream(
    shared: &Shared,
    addr: SocketAddr,
) -> Option<(Connection, SendStream, RecvStream)> {
    let connection = shared.daemon_connections.connect(addr).await?;
    let (mut send, receive) = connection.open_bi().await.ok()?;
    send.write_all(&[STREAM_CONTROL]).await.ok()?;
    Some((connection, send, receive))
}

/// Runs a link whose control stream another daemon opened.
pub async fn serve(
    shared: Arc<Shared>,
    connection: Connection,
    send: SendStream,
    receive: RecvStream,
) {
    let link = LinkId(shared.links.next_accepted_id.fetch_add(1, Ordering::Relaxed));
    let messages = shared.links.register(link);
    shared.links.set_connection(link, &connection);
    let addr = connection.remote_address();
    shared.send_input(Input::LinkAccepted { link, addr }).await;
    run_link(&shared, link, send, receive, messages).await;
    shared.links.remove(link);
    shared.send_input(Input::LinkDown { link }).await;
}

/// Sends the queued messages and receives those of the other daemon, until either side ends.
async fn run_link(
    shared: &Arc<Shared>,
    link: LinkId,
    mut send: SendStream,
    mut receive: RecvStream,
    messages: Receiver<Vec<u8>>,
) {
    let writing = async {
        while let Ok(bytes) = messages.recv().await {
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
