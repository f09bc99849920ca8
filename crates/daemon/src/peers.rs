//! QUIC connections to and from other daemons.

use crate::links::{self, STREAM_CALL, STREAM_CONTROL};
use crate::logging::log_event;
use crate::quic::CERTIFICATE_NAME;
use crate::runtime::{Shared, lock};
use async_lock::Mutex as AsyncMutex;
use pomeloreach_core::event::Event;
use quinn::{Connection, Endpoint, Incoming, RecvStream, SendStream};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Connections for calls that are kept at the most; the least lately used goes first.
const CONNECTIONS_MAX: usize = 128;

#[derive(Default)]
struct Slot {
    connection: AsyncMutex<Option<Connection>>,
    used_ms: Mutex<u64>,
}

/// The connections of a daemon.
pub struct PeerConnections {
    endpoint: Endpoint,
    slots: Mutex<BTreeMap<SocketAddr, Arc<Slot>>>,
}

impl PeerConnections {
    pub fn new(endpoint: Endpoint) -> Self {
        Self { endpoint, slots: Mutex::new(BTreeMap::new()) }
    }

    /// Opens a connection that nobody else uses.
    pub async fn dial(&self, addr: SocketAddr) -> Option<Connection> {
        self.endpoint.connect(addr, CERTIFICATE_NAME).ok()?.await.ok()
    }

    /// The shared connection for calls to an address.
    pub async fn pooled(&self, addr: SocketAddr, now_ms: u64) -> Option<Connection> {
        let slot = self.slot(addr, now_ms);
        let mut held = slot.connection.lock().await;
        if let Some(connection) = held.as_ref()
            && connection.close_reason().is_none()
        {
            return Some(connection.clone());
        }
        *held = None;
        let connection = self.dial(addr).await?;
        *held = Some(connection.clone());
        Some(connection)
    }

    fn slot(&self, addr: SocketAddr, now_ms: u64) -> Arc<Slot> {
        let mut slots = lock(&self.slots);
        if !slots.contains_key(&addr) && slots.len() >= CONNECTIONS_MAX {
            let oldest = slots.iter().min_by_key(|(_, slot)| *lock(&slot.used_ms));
            if let Some(oldest) = oldest.map(|(addr, _)| *addr) {
                slots.remove(&oldest);
            }
        }
        let slot = slots.entry(addr).or_default().clone();
        *lock(&slot.used_ms) = now_ms;
        slot
    }

    /// Gives up a connection on which an answer was lost. Calls on it go on.
    pub fn remove(&self, addr: SocketAddr) {
        lock(&self.slots).remove(&addr);
    }

    pub fn count(&self) -> usize {
        lock(&self.slots).len()
    }
}

/// Accepts connections of daemons that have the fleet's certificate.
pub async fn accept(shared: Arc<Shared>, endpoint: Endpoint) {
    while let Some(incoming) = endpoint.accept().await {
        shared.spawn(serve_connection(shared.clone(), incoming));
    }
}

async fn serve_connection(shared: Arc<Shared>, incoming: Incoming) {
    let addr = incoming.remote_address();
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => {
            log_event(Event::PeerRefused, &format!("addr={addr} reason=\"{error}\""));
            return;
        }
    };
    while let Ok((send, receive)) = connection.accept_bi().await {
        shared.spawn(serve_stream(shared.clone(), connection.clone(), send, receive));
    }
}

async fn serve_stream(
    shared: Arc<Shared>,
    connection: Connection,
    send: SendStream,
    mut receive: RecvStream,
) {
    let mut kind = [0];
    if receive.read_exact(&mut kind).await.is_err() {
        return;
    }
    match kind[0] {
        STREAM_CONTROL => links::serve(shared, connection, send, receive).await,
        STREAM_CALL => crate::calls::serve_call(shared, send, receive).await,
        other => {
            let addr = connection.remote_address();
            log_event(Event::InputRefused, &format!("addr={addr} stream_kind={other}"));
        }
    }
}
