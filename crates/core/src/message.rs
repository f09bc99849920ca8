//! The messages between daemons on a control link; see `docs/DISTRIBUTION.md`. Their binary
//! encoding contains no names, so the order of fields and variants is fixed.

use crate::endpoint::Endpoint;
use crate::status::StatusRow;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// Identity and address of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DaemonInfo {
    /// Unique for each start of a daemon.
    pub instance: Arc<str>,
    pub region: Arc<str>,
    pub zone: Arc<str>,
    pub addr: SocketAddr,
}

/// The purpose of a link, stated by the daemon that opens it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// A daemon without a role requests configuration and records.
    JoinAsLeaf,
    /// A relay requests configuration and records from the leader of its region or, if there is
    /// none, from a relay with a smaller instance name.
    JoinAsRelay,
    /// A leader exchanges records with the leader of another region.
    Peer,
    /// A daemon that starts while the store is unavailable asks which version the receiver holds
    /// and which relays it knows.
    Probe,
}

/// The first message on a link, sent by the daemon that opened it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    pub purpose: Purpose,
    pub sender: DaemonInfo,
    pub version: u64,
    /// The services that a leaf subscribes to.
    pub services: BTreeSet<Arc<str>>,
    /// The records of the sender's subtree: its record and those received from its children.
    pub records: Vec<Endpoint>,
}

/// The reply that accepts a [`Hello`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    pub sender: DaemonInfo,
    pub version: u64,
    pub relays: Vec<DaemonInfo>,
}

/// Sent by both sides of a link at a fixed interval. It lets the receiver detect lost versions and
/// records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub version: u64,
    /// The newest version known to the sender, whether or not it holds it.
    pub newest_version: u64,
    /// The digest of the records that the receiver should have from the sender.
    pub records_digest: u64,
    /// Whether the sender has reached its minimum version.
    pub ready: bool,
    /// Number of versions that the sender has refused.
    pub refused_versions: u16,
}

/// The set of records that a batch covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    All,
    Region(Arc<str>),
    Services(BTreeSet<Arc<str>>),
}

/// One version of the log, as the bytes stored in the store.
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
    /// Refuses or ends a join. The receiver should join one of these relays instead, after a random
    /// pause of less than `retry_after_ms`.
    Redirect {
        relays: Vec<DaemonInfo>,
        retry_after_ms: u32,
    },
    /// The relays of the sender's region, after a change.
    Relays(Vec<DaemonInfo>),
    Heartbeat(Heartbeat),
    /// Versions that the receiver lacks, in order.
    Edits(Vec<EditBytes>),
    /// A whole configuration, when edits would be larger or are no longer kept.
    Snapshot(Arc<[u8]>),
    /// A batch of records. If `full`, records of the scope that are not in the batch no longer
    /// exist.
    Records {
        scope: Scope,
        full: bool,
        records: Vec<Endpoint>,
    },
    /// Requests all records, after digests in heartbeats did not match.
    ResyncRequest,
    /// Subscribes a leaf to the records of more services.
    Subscribe {
        services: BTreeSet<Arc<str>>,
    },
    /// Asks the receiver to claim a vacant relay lease.
    Nominate,
    /// Requests the status rows of the receiver and of the daemons reached through it.
    GetStatus {
        id: u64,
    },
    /// The reply to `GetStatus`. It is complete if every queried daemon has answered.
    StatusReply {
        id: u64,
        rows: Vec<StatusRow>,
        complete: bool,
    },
    /// The sender stops. The receiver marks the record of a leaf as gone at once.
    Stopping,
}
