//! What a daemon tells its peers of itself and of the target beside it.

use crate::admission::RANKS;
use crate::endpoint::TargetState;
use crate::mesh::heartbeat::TargetStart;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Where a daemon stands and can be reached. It stays the same for one start of the daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonRecord {
    /// The VM's name; a daemon that starts again keeps it.
    pub name: Arc<str>,
    /// Tells the starts of a daemon apart.
    pub start_id: u64,
    pub region: Arc<str>,
    pub zone: Arc<str>,
    /// The service of the target beside it.
    pub service: Arc<str>,
    pub link_addr: SocketAddr,
}

/// How busy a target is, as the daemon beside it counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    pub running: u16,
    pub waiting: u16,
    /// Waiting requests that would run before one of each rank that can be in time.
    pub ahead: [u8; RANKS],
    pub slots: u16,
    /// The smoothed time of a request at the target, in milliseconds.
    pub service_ms: f32,
    /// The smoothed share of requests that failed at the target, in thousandths.
    pub failed_permille: u16,
}

impl TargetLoad {
    /// Requests that hold slots or would run before one of this rank.
    pub fn ahead_of(&self, rank: u8) -> u16 {
        let waiting = self.ahead[usize::from(rank).min(RANKS - 1)];
        self.running.saturating_add(waiting.into())
    }
}

/// The target beside a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetSummary {
    /// The name that the target gives itself; requests name it, so that no other one runs them.
    pub id: Arc<str>,
    /// When this start of it began, in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
    pub service: Arc<str>,
    pub state: TargetState,
    pub load: TargetLoad,
}

impl TargetSummary {
    pub fn start(&self) -> TargetStart {
        TargetStart { id: self.id.clone(), born_unix_ms: self.born_unix_ms }
    }
}

/// What a daemon knows of the configuration in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    /// The version in force; 0 before the first one.
    pub version: u64,
    /// How long ago the store showed, to this daemon or to one that told it, that no newer version
    /// exists, in milliseconds. Absent if this daemon does not know.
    pub confirmed_age_ms: Option<u32>,
    /// The shortest time of a call to the store, in milliseconds. Absent while its calls fail.
    pub store_rtt_ms: Option<u32>,
}

impl ConfigState {
    /// When the store was known to hold no newer version, by the clock that reads `now_ms`. That may
    /// have been before the clock of this daemon began.
    pub fn confirmed_ms(&self, now_ms: u64) -> Option<i64> {
        Some(now_ms.cast_signed() - i64::from(self.confirmed_age_ms?))
    }
}

/// The changing part of what a daemon tells its peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaemonState {
    /// Whether the daemon is about to stop and takes no new requests.
    pub leaving: bool,
    pub target: Option<TargetSummary>,
    pub config: ConfigState,
}
