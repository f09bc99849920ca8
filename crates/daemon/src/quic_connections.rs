//! QUIC connections to and from other daemons: one for each control link, and a pool of connections
//! for calls.

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

/// Number of pooled connections for calls; the least recently used one is removed for a new one.
const POOLED_CONNECTIONS_MAX: usize = 128;

/// The pooled connection to one address, absent until it is established.
#[derive(Default)]
struct PoolEntry {
    connection: AsyncMutex<Option<Connection>>,
    last_used_ms: Mutex<u64>,
}

/// Opens the connections of this daemon to others and pools those for calls, by address.
pub struct DaemonConnections {
    endpoint: Endpoint,
    pool: Mutex<BTreeMap<SocketAddr, Arc<PoolEntry>>>,
}

impl DaemonConnections {
    pub fn new(endpoint: Endpoint) -> Self {
        Self { endpoint, pool: Mutex::new(BTreeMap::new()) }
    }

    /// Opens a connection that is not pooled.
    pub async fn connect(&self, addr: SocketAddr) -> Option<Connection> {
        self.endpoint.connect(addr, CERTIFICATE_NAME).ok()?.await.ok()
    }

    /// Returns the pooled connection for calls to an address; connects if there is none or it was
    /// closed.
    pub async fn pooled(&self, addr: SocketAddr, now_ms: u64) -> Option<Connection> {
        let entry = self.entry(addr, now_ms);
        let mut pooled_connection = entry.connection.lock().await;
        if let Some(connection) = pooled_connection.as_ref()
            && connection.close_reason().is_none()
        {
            return Some(connection.clone());
        }
        *pooled_connection = None;
        let connection = self.connect(addr).await?;
        *pooled_connection = Some(connection.clone());
        Some(connection)
    }

    /// Returns the pool entry of an address and marks it as used now.
    fn entry(&self, addr: SocketAddr, now_ms: u64) -> Arc<PoolEntry> {
        let mut pool = lock(&self.pool);
        if !pool.contains_key(&addr) && pool.len() >= POOLED_CONNECTIONS_MAX {
            let oldest = pool.iter().min_by_key(|(_, entry)| *lock(&entry.last_used_ms));
            if let Some(oldest) = oldest.map(|(addr, _)| *addr) {
                pool.remove(&oldest);
            }
        }
        let entry = pool.entry(addr).or_default().clone();
        *lock(&entry.last_used_ms) = now_ms;
        entry
    }

    /// Removes a connection from the pool after a call on it failed. Other calls on it continue.
    pub fn remove(&self, addr: SocketAddr) {
        lock(&self.pool).remove(&addr);
    }

    /// Number of pooled connections.
    pub fn count(&self) -> usize {
        lock(&self.pool).len()
    }
}

/// Accepts connections of daemons with a certificate that the fleet's CA signed.
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

/// Runs a control link or handles a call, according to the first byte of the stream.
async fn serve_stream(
    shared: Arc<Shared>,
    connection: Connection,
    send: SendStream,
    mut receive: RecvStream,
) {
    let mut stream_kind = [0];
    if receive.read_exact(&mut stream_kind).await.is_err() {
        return;
    }
    match stream_kind[0] {
        STREAM_CONTROL => links::serve(shared, connection, send, receive).await,
        STREAM_CALL => crate::calls::serve_call(shared, send, receive).await,
        other => {
            let addr = connection.remote_address();
            log_event(Event::InputRefused, &format!("addr={addr} stream_kind={other}"));
        }
    }
}
