//! The state of a control link to another daemon.

use crate::message::{DaemonInfo, Purpose};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// Interval at which both sides of a link send heartbeats, in milliseconds.
pub const HEARTBEAT_MS: u64 = 1_000;
/// Time without a message after which a link is closed, in milliseconds.
pub const IDLE_MS_MAX: u64 = 2_500;
/// Maximum time to open a link and complete the handshake, in milliseconds.
pub const OPEN_MS_MAX: u64 = 1_500;

/// Id of a link, unique within one daemon. Links that this daemon opened have `LOCALLY_OPENED_BIT`
/// set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// The highest bit of the id, set on links that this daemon opened.
pub const LOCALLY_OPENED_BIT: u64 = 1 << 63;

/// The relation to the daemon at the other end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkKind {
    /// Accepted, but no hello received yet.
    Unknown,
    /// The other daemon sends configuration and records to this one.
    Parent,
    /// A daemon without a role receives configuration and records from this one.
    LeafChild,
    /// A relay receives configuration and records from this daemon.
    RelayChild,
    /// Both daemons act as the leaders of different regions.
    Peer,
    /// Opened only to ask which version the other daemon holds and which relays it knows.
    Probe,
}

impl LinkKind {
    pub fn is_child(self) -> bool {
        matches!(self, Self::LeafChild | Self::RelayChild)
    }
}

/// The progress of opening a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    Opening,
    /// The transport is open, the handshake of hello and welcome is not complete.
    Greeting,
    /// The handshake is complete.
    Joined,
}

/// A control link and what is known of the daemon at its other end.
#[derive(Clone, Debug)]
pub struct Link {
    pub kind: LinkKind,
    pub state: LinkState,
    pub addr: SocketAddr,
    /// The daemon at the other end, once the handshake is complete.
    pub remote: Option<DaemonInfo>,
    pub opened_ms: u64,
    /// When the last message was received.
    pub last_received_ms: u64,
    pub heartbeat_due_ms: u64,
    /// The version held by the other daemon, from its last heartbeat or the handshake.
    pub remote_version: u64,
    /// Whether the other daemon has reached its minimum version.
    pub remote_ready: bool,
    /// Number of versions that the other daemon has refused.
    pub remote_refused_versions: u16,
    /// The version that the other daemon will hold once it has received what was sent to it.
    pub sent_version: u64,
    /// When versions were last sent.
    pub sent_ms: u64,
    /// Since when a parent or peer is known to hold an older version than this daemon.
    pub behind_since_ms: Option<u64>,
    /// Services that a leaf child is subscribed to, or that this daemon listed in its hello to a
    /// parent.
    pub services: BTreeSet<Arc<str>>,
    /// Consecutive heartbeats whose records digest did not match.
    pub digest_mismatches: u8,
}

impl Link {
    pub fn new(kind: LinkKind, state: LinkState, addr: SocketAddr, now_ms: u64) -> Self {
        Self {
            kind,
            state,
            addr,
            remote: None,
            opened_ms: now_ms,
            last_received_ms: now_ms,
            heartbeat_due_ms: now_ms,
            remote_version: 0,
            remote_ready: false,
            remote_refused_versions: 0,
            sent_version: 0,
            sent_ms: 0,
            behind_since_ms: None,
            services: BTreeSet::new(),
            digest_mismatches: 0,
        }
    }

    pub fn is_joined(&self, kind: LinkKind) -> bool {
        self.kind == kind && self.state == LinkState::Joined
    }

    /// Whether opening took too long, or no message was received for too long.
    pub fn is_timed_out(&self, now_ms: u64) -> bool {
        match self.state {
            LinkState::Opening | LinkState::Greeting => now_ms >= self.opened_ms + OPEN_MS_MAX,
            LinkState::Joined => now_ms >= self.last_received_ms + IDLE_MS_MAX,
        }
    }

    /// The purpose stated in the hello on a link that this daemon opened.
    pub fn purpose(&self, is_relay: bool) -> Purpose {
        match self.kind {
            LinkKind::Peer => Purpose::Peer,
            LinkKind::Probe => Purpose::Probe,
            _ if is_relay => Purpose::JoinAsRelay,
            _ => Purpose::JoinAsLeaf,
        }
    }
}
