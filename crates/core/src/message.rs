//! The messages between daemons on a control link, see `docs/DISTRIBUTION.md`.

use crate::endpoint::Endpoint;
use crate::status::StatusRow;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// A daemon that hands out configuration and endpoint records to others.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DaemonInfo {
    pub instance: Arc<str>,
    pub region: Arc<str>,
    pub zone: Arc<str>,
    pub addr: SocketAddr,
}

/// Why a daemon opens a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// An ordinary daemon wants configuration and records.
    JoinAsLeaf,
    /// A relay wants to be fed by the leader of its region.
    JoinAsRelay,
    /// A leader exchanges records with the leader of another region.
    Peer,
    /// A daemon that starts without the store asks for the newest version.
    Probe,
}

/// The first message on a link, from the side that opened it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    pub purpose: Purpose,
    pub sender: DaemonInfo,
    pub version: u64,
    /// The services whose records a leaf needs.
    pub services: BTreeSet<Arc<str>>,
    /// Every record that the sender answers for.
    pub records: Vec<Endpoint>,
}

/// The answer to a [`Hello`] that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    pub sender: DaemonInfo,
    pub version: u64,
    pub relays: Vec<DaemonInfo>,
}

/// Sent by both sides of a link at a steady pace, so that anything lost is noticed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub version: u64,
    /// The newest version the sender has heard of.
    pub newest_version: u64,
    /// The digest of the records that the receiver should hold from the sender.
    pub records_digest: u64,
    pub ready: bool,
    pub refused_versions: u16,
}

/// Which records a batch is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    All,
    Region(Arc<str>),
    Services(BTreeSet<Arc<str>>),
}

/// One version of the log as it stands in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditBytes {
    pub version: u64,
    pub raw: Arc<[u8]>,
}

/// A message on a control link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    Hello(Box<Hello>),
    Welcome(Welcome),
    /// The receiver should try one of these instead, after a pause.
    Redirect {
        relays: Vec<DaemonInfo>,
        retry_after_ms: u32,
    },
    Relays(Vec<DaemonInfo>),
    Heartbeat(Heartbeat),
    Edits(Vec<EditBytes>),
    Snapshot(Arc<[u8]>),
    /// With `full`, records of the scope that are not in the batch no longer exist.
    Records {
        scope: Scope,
        full: bool,
        records: Vec<Endpoint>,
    },
    /// The sender's records do not match the receiver's digest; it wants all of them.
    ResyncRequest,
    Subscribe {
        services: BTreeSet<Arc<str>>,
    },
    /// The receiver should claim a vacant lease of a relay.
    Nominate,
    GetStatus {
        id: u64,
    },
    StatusReply {
        id: u64,
        rows: Vec<StatusRow>,
        complete: bool,
    },
    /// The sender stops; its records are gone at once.
    Stopping,
}
