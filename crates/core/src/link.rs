//! Control links between daemons, as one side sees them.

use crate::message::{DaemonInfo, Purpose};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// How often both sides of a link say that they are there, in milliseconds.
pub const HEARTBEAT_MS: u64 = 1_000;
/// How long a link may be silent before it is given up, in milliseconds.
pub const IDLE_MAX_MS: u64 = 2_500;
/// How long opening a link may take, in milliseconds.
pub const OPEN_MAX_MS: u64 = 1_500;

/// Names a link within one daemon. Links that this daemon opened have the highest bit set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// The bit that marks a link which this daemon opened.
pub const LOCALLY_OPENED_BIT: u64 = 1 << 63;

/// What a link is for, as seen from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkKind {
    /// The other side has not yet said what it wants.
    Unknown,
    Parent,
    LeafChild,
    RelayChild,
    Peer,
    Probe,
}

impl LinkKind {
    pub fn is_child(self) -> bool {
        matches!(self, Self::LeafChild | Self::RelayChild)
    }
}

/// How far a link has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    Opening,
    /// Our hello is out.
    Greeting,
    Joined,
}

/// One link.
#[derive(Clone, Debug)]
pub struct Link {
    pub kind: LinkKind,
    pub state: LinkState,
    pub addr: SocketAddr,
    pub remote: Option<DaemonInfo>,
    pub opened_ms: u64,
    pub last_received_ms: u64,
    pub heartbeat_due_ms: u64,
    pub remote_version: u64,
    pub remote_ready: bool,
    pub remote_refused_versions: u16,
    /// The version that was sent last, and when.
    pub sent_version: u64,
    pub sent_ms: u64,
    /// Since when the other side has been known to be behind.
    pub behind_since_ms: Option<u64>,
    /// The services whose records a leaf child needs, or that were named in a hello to a parent.
    pub services: BTreeSet<Arc<str>>,
    /// Heartbeats in a row whose digest did not match.
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

    /// Whether the link has been opening or silent for too long.
    pub fn is_timed_out(&self, now_ms: u64) -> bool {
        match self.state {
            LinkState::Opening | LinkState::Greeting => now_ms >= self.opened_ms + OPEN_MAX_MS,
            LinkState::Joined => now_ms >= self.last_received_ms + IDLE_MAX_MS,
        }
    }

    /// The purpose to state in the hello of a link that this side opened.
    pub fn purpose(&self, is_relay: bool) -> Purpose {
        match self.kind {
            LinkKind::Peer => Purpose::Peer,
            LinkKind::Probe => Purpose::Probe,
            _ if is_relay => Purpose::JoinAsRelay,
            _ => Purpose::JoinAsLeaf,
        }
    }
}
