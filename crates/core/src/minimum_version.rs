//! The version that a daemon must hold before it serves.
//!
//! A VM has no disk, so a daemon that restarts does not know which version it held before. The end
//! of the log in the store sets the minimum version. While the store is unavailable, the daemon
//! probes relays and seeds, and the newest version reported to it becomes the minimum. See
//! `docs/CONFIGURATION.md` for the cases that this cannot cover without a store.

use crate::link::LinkKind;
use crate::node::{CallOwner, Node};
use crate::store::{EDITS_PREFIX, StoreFailure, StoreOp, StoreReply, edit_key, version_of_key};
use rand_core::RngCore;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use strum::Display;

/// Most edits that one list call returns.
const LIST_LIMIT: u32 = 64;
/// The interval between list calls, in milliseconds; up to the same time is added at random.
const LIST_INTERVAL_MS: u64 = 500;
/// Number of other daemons that must have reported a version above 0 before the newest known
/// version is used without the store.
const CONFIRMING_DAEMONS_MIN: usize = 2;
/// How long a daemon waits for the store before it relies on confirming daemons, in milliseconds.
const STORE_WAIT_MS: u64 = 3_000;
/// How long a daemon that has only one confirming daemon waits for a second, in milliseconds.
const SINGLE_DAEMON_WAIT_MS: u64 = 6_000;

/// Where the minimum version comes from.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[strum(serialize_all = "lowercase")]
pub enum MinimumVersionSource {
    /// The end of the log in the store.
    Store,
    /// The newest version known when enough other daemons had reported theirs.
    #[strum(serialize = "witnesses")]
    ConfirmingDaemons,
}

/// The minimum version and the progress of finding it.
#[derive(Debug)]
pub(crate) struct MinimumVersion {
    started_ms: u64,
    version: Option<u64>,
    source: Option<MinimumVersionSource>,
    /// Whether the version held has been at least the minimum version once.
    reached: bool,
    list_in_flight: bool,
    list_due_ms: u64,
    /// When the last list call failed, or nothing if it succeeded.
    list_failed_ms: Option<u64>,
    /// When a daemon last reported its version; the start time before any did.
    last_received_ms: u64,
    /// The daemons that reported a version above 0, on a link of any kind.
    confirming_daemons: BTreeSet<Arc<str>>,
    /// The addresses to which a probe link was opened.
    probed: BTreeSet<SocketAddr>,
}

impl MinimumVersion {
    pub(crate) fn new(now_ms: u64, first_list_ms: u64) -> Self {
        Self {
            started_ms: now_ms,
            version: None,
            source: None,
            reached: false,
            list_in_flight: false,
            list_due_ms: first_list_ms,
            list_failed_ms: None,
            last_received_ms: now_ms,
            confirming_daemons: BTreeSet::new(),
            probed: BTreeSet::new(),
        }
    }

    pub(crate) fn is_known(&self) -> bool {
        self.version.is_some()
    }

    pub(crate) fn is_reached(&self) -> bool {
        self.reached
    }

    pub(crate) fn source(&self) -> Option<MinimumVersionSource> {
        self.source
    }

    /// Sets the minimum version and its source.
    pub(crate) fn set(&mut self, version: u64, source: MinimumVersionSource) {
        self.version = Some(version);
        self.source = Some(source);
    }

    /// Marks the minimum version as reached if the version held is not older. It stays reached.
    pub(crate) fn update_reached(&mut self, held_version: u64) {
        self.reached |= self.version.is_some_and(|version| held_version >= version);
    }

    /// Records that another daemon reported the version that it holds.
    pub(crate) fn add_reported_version(&mut self, instance: &Arc<str>, version: u64, now_ms: u64) {
        self.last_received_ms = now_ms;
        if version > 0 {
            self.confirming_daemons.insert(instance.clone());
        }
    }
}

impl Node {
    /// Lists the log at intervals until the minimum version is known, and asks other daemons while
    /// these lists fail.
    pub(crate) fn run_minimum_version(&mut self) {
        if self.minimum_version.is_known() {
            return;
        }
        if !self.minimum_version.list_in_flight && self.now_ms >= self.minimum_version.list_due_ms {
            self.minimum_version.list_in_flight = true;
            let jitter_ms = self.rng.next_u64() % LIST_INTERVAL_MS;
            self.minimum_version.list_due_ms = self.now_ms + LIST_INTERVAL_MS + jitter_ms;
            let start_after = Some(edit_key(self.log.version()));
            let op = StoreOp::List { prefix: EDITS_PREFIX.into(), start_after, limit: LIST_LIMIT };
            self.call_store(CallOwner::MinimumVersion, op);
        }
        if self.minimum_version.list_failed_ms.is_some() {
            self.confirm_with_daemons();
        }
    }

    /// Handles the reply to a list call. A list shorter than its limit shows the end of the log. A
    /// full list does not, so the next call lists the edits after the version held by then.
    pub(crate) fn handle_minimum_version_reply(
        &mut self,
        result: Result<StoreReply, StoreFailure>,
    ) {
        self.minimum_version.list_in_flight = false;
        let Ok(StoreReply::Listed { objects, .. }) = result else {
            self.minimum_version.list_failed_ms = Some(self.now_ms);
            return;
        };
        self.minimum_version.list_failed_ms = None;
        if objects.len() >= LIST_LIMIT as usize {
            return;
        }
        let last_version =
            objects.last().and_then(|object| version_of_key(EDITS_PREFIX, &object.key));
        let version = last_version.unwrap_or(0).max(self.newest_version);
        self.minimum_version.set(version, MinimumVersionSource::Store);
    }

    /// Uses the newest version known if enough daemons reported theirs and the store failed after
    /// the last report; otherwise probes the next relay or seed.
    fn confirm_with_daemons(&mut self) {
        let waited_ms = self.now_ms - self.minimum_version.started_ms;
        let daemon_count = self.minimum_version.confirming_daemons.len();
        let has_enough = daemon_count >= CONFIRMING_DAEMONS_MIN && waited_ms >= STORE_WAIT_MS;
        let has_single = daemon_count == 1 && waited_ms >= SINGLE_DAEMON_WAIT_MS;
        let failed_since_report =
            self.minimum_version.list_failed_ms >= Some(self.minimum_version.last_received_ms);
        if (has_enough || has_single) && failed_since_report {
            self.minimum_version.set(self.newest_version, MinimumVersionSource::ConfirmingDaemons);
            return;
        }
        let relays = self.known_relays.iter().map(|relay| relay.addr);
        let next_addr = relays
            .chain(self.settings.seeds.iter().copied())
            .find(|addr| *addr != self.local().addr && !self.minimum_version.probed.contains(addr));
        if let Some(addr) = next_addr {
            self.minimum_version.probed.insert(addr);
            self.open_link(LinkKind::Probe, addr);
        }
    }
}
