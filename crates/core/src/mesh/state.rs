//! What a daemon reports to its peers about itself and its target.

use crate::admission::{RANKS, rank_class};
use crate::endpoint::TargetState;
use crate::mesh::heartbeat::TargetStart;
use crate::mesh::link_pacer::part_bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The identity and address of a daemon. Does not change until the daemon restarts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonRecord {
    /// The name of the daemon's VM, which stays the same after a restart.
    pub name: Arc<str>,
    /// Differs for each start of the daemon.
    pub start_id: u64,
    pub region: Arc<str>,
    pub zone: Arc<str>,
    /// The service of the daemon's target.
    pub service: Arc<str>,
    /// The address for links of peers.
    pub link_addr: SocketAddr,
}

/// The load of a target, as counted by the target's daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Requests that occupy a slot.
    pub running: u16,
    /// Requests in the queue.
    pub waiting: u16,
    /// For each priority of routes: the number of queued requests that would run before a new
    /// request of account priority 0, see [`crate::admission::Admission::ahead`].
    pub ahead: [u8; RANKS],
    /// The same for the account priorities 1, 2, and 3 or higher. Absent while only requests of
    /// account priority 0 are queued: all of them run before a request of a higher one.
    pub ahead_by_account: Option<[[u8; RANKS]; RANKS - 1]>,
    /// The number of requests that the target runs at the same time.
    pub slots: u16,
    /// The smoothed service time of requests, in milliseconds.
    pub service_ms: f32,
    /// The smoothed share of requests that failed at the target, in thousandths.
    pub failed_permille: u16,
    /// The time until another large body could begin to cross the link of the target's VM, in
    /// milliseconds.
    pub body_wait_ms: u32,
    /// The rate at which bodies cross that link, in bytes per millisecond; 0 if unknown.
    pub body_bytes_per_ms: u32,
}

impl TargetLoad {
    /// The number of requests that occupy slots, plus those that would run before a new one of this
    /// rank.
    pub fn ahead_of(&self, rank: u8) -> u16 {
        let (account_class, route_class) = rank_class(rank);
        let waiting = match (account_class, &self.ahead_by_account) {
            (0, _) => self.ahead[route_class].into(),
            (_, Some(ahead)) => ahead[account_class - 1][route_class].into(),
            (_, None) => self.waiting,
        };
        self.running.saturating_add(waiting)
    }

    /// Whether a body of this size must be offered before it is sent, because it would occupy the
    /// link of the target's VM for longer than other messages may wait.
    pub fn must_offer(&self, body_bytes: u64) -> bool {
        self.body_bytes_per_ms > 0 && body_bytes > part_bytes(self.body_bytes_per_ms.into())
    }

    /// How long a body of this size takes to arrive from another VM, in milliseconds.
    pub fn body_ms(&self, body_bytes: u64) -> f64 {
        if !self.must_offer(body_bytes) {
            return 0.0;
        }
        f64::from(self.body_wait_ms) + body_bytes as f64 / f64::from(self.body_bytes_per_ms)
    }
}

/// The state of a daemon's target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetSummary {
    /// The id that the target gives itself. Requests carry it, so that no other target runs them.
    pub id: Arc<str>,
    /// When this start of the target began, in milliseconds since the Unix epoch.
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

/// Which configuration a daemon holds, and what it knows of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    /// The version in force; 0 if there is none yet.
    pub version: u64,
    /// The age of the last confirmation that the store held no newer version, in milliseconds. A
    /// confirmation is a read by this daemon, or a report of a peer with the same version. Absent
    /// if there was none.
    pub confirmed_age_ms: Option<u32>,
    /// The shortest duration of a call to the store since the last failed one, in milliseconds.
    /// Absent if no call has succeeded since then.
    pub store_rtt_ms: Option<u32>,
    /// The newest known era of the store; absent if the store reports none.
    pub store_era: Option<u64>,
    /// A revision of the store in that era at which the version in force was the newest. Absent if
    /// none is known.
    pub confirmed_revision: Option<u64>,
}

/// The age of the last confirmation up to which a version counts as current, in milliseconds. Two
/// daemons confirm it every 800 ms, and a daemon without a confirmation for 1,500 ms reads the store
/// itself, see [`crate::mesh::readers`].
const CURRENT_AGE_MS_MAX: u32 = 2_000;

impl ConfigState {
    /// Whether the version in force was confirmed a short time ago, and no newer one is known.
    pub fn is_current(&self, newest_known_version: u64) -> bool {
        newest_known_version <= self.version
            && self.confirmed_age_ms.is_some_and(|age_ms| age_ms <= CURRENT_AGE_MS_MAX)
    }

    /// The time of the last confirmation that the store held no newer version, on the clock that
    /// reads `now_ms`. Negative if that was before the clock started.
    pub fn confirmed_ms(&self, now_ms: u64) -> Option<i64> {
        Some(now_ms.cast_signed() - i64::from(self.confirmed_age_ms?))
    }
}

/// The part of a daemon's report that changes while it runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaemonState {
    /// Whether the daemon is about to stop and accepts no new requests.
    pub leaving: bool,
    pub target: Option<TargetSummary>,
    pub config: ConfigState,
}
