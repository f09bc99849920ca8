//! The version that a daemon must hold before it serves.
//!
//! A VM has no disk, so a daemon that starts again does not know what it held. It asks the store
//! for the end of the log; when the store is away, it asks relays and takes the newest version
//! that any of them holds. See `docs/CONFIGURATION.md` for what remains open without a store.

use crate::link::LinkKind;
use crate::node::{CallOwner, Node};
use crate::store::{EDITS_PREFIX, StoreFailure, StoreOp, StoreReply, edit_key, version_of_key};
use rand_core::RngCore;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use strum::Display;

/// Edits in the list that shows the end of the log.
const LIST_LIMIT: u32 = 64;
/// The pause between questions to the store, in milliseconds.
const ASK_PAUSE_MS: u64 = 500;
/// Daemons whose versions count as the newest when the store is away.
const WITNESSES_MIN: usize = 2;
/// How long a daemon waits for the store before it relies on witnesses, in milliseconds.
const STORE_WAIT_MS: u64 = 3_000;
/// How long a daemon waits for a second witness when it knows only one, in milliseconds.
const LONE_WITNESS_MS: u64 = 6_000;

/// Who named the version to start from.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[strum(serialize_all = "lowercase")]
pub enum FloorSource {
    Store,
    Witnesses,
}

/// What is known of the version to start from.
#[derive(Debug)]
pub(crate) struct Floor {
    started_ms: u64,
    version: Option<u64>,
    source: Option<FloorSource>,
    reached: bool,
    asking: bool,
    ask_due_ms: u64,
    /// When the store last failed to answer, if it has not answered since.
    failed_ms: Option<u64>,
    heard_ms: u64,
    witnesses: BTreeSet<Arc<str>>,
    probed: BTreeSet<SocketAddr>,
}

impl Floor {
    pub(crate) fn new(now_ms: u64, first_ask_ms: u64) -> Self {
        Self {
            started_ms: now_ms,
            version: None,
            source: None,
            reached: false,
            asking: false,
            ask_due_ms: first_ask_ms,
            failed_ms: None,
            heard_ms: now_ms,
            witnesses: BTreeSet::new(),
            probed: BTreeSet::new(),
        }
    }

    pub(crate) fn is_known(&self) -> bool {
        self.version.is_some()
    }

    pub(crate) fn is_reached(&self) -> bool {
        self.reached
    }

    pub(crate) fn source(&self) -> Option<FloorSource> {
        self.source
    }

    pub(crate) fn learn(&mut self, version: u64, source: FloorSource) {
        self.version = Some(version);
        self.source = Some(source);
    }

    pub(crate) fn reach(&mut self, held_version: u64) {
        self.reached |= self.version.is_some_and(|version| held_version >= version);
    }

    /// Another daemon says which version it holds.
    pub(crate) fn hear(&mut self, instance: &Arc<str>, version: u64, now_ms: u64) {
        self.heard_ms = now_ms;
        if version > 0 {
            self.witnesses.insert(instance.clone());
        }
    }
}

impl Node {
    pub(crate) fn run_floor(&mut self) {
        if self.floor.is_known() {
            return;
        }
        if !self.floor.asking && self.now_ms >= self.floor.ask_due_ms {
            self.floor.asking = true;
            let jitter_ms = self.rng.next_u64() % ASK_PAUSE_MS;
            self.floor.ask_due_ms = self.now_ms + ASK_PAUSE_MS + jitter_ms;
            let start_after = Some(edit_key(self.log.version()));
            let op = StoreOp::List { prefix: EDITS_PREFIX.into(), start_after, limit: LIST_LIMIT };
            self.call_store(CallOwner::Floor, op);
        }
        if self.floor.failed_ms.is_some() {
            self.ask_witnesses();
        }
    }

    pub(crate) fn floor_answered(&mut self, result: Result<StoreReply, StoreFailure>) {
        self.floor.asking = false;
        let Ok(StoreReply::Listed { objects, .. }) = result else {
            self.floor.failed_ms = Some(self.now_ms);
            return;
        };
        self.floor.failed_ms = None;
        if objects.len() >= LIST_LIMIT as usize {
            return;
        }
        let last = objects.last().and_then(|object| version_of_key(EDITS_PREFIX, &object.key));
        let version = last.unwrap_or(0).max(self.newest_version);
        self.floor.learn(version, FloorSource::Store);
    }

    fn ask_witnesses(&mut self) {
        let waited_ms = self.now_ms - self.floor.started_ms;
        let witnesses = self.floor.witnesses.len();
        let enough = witnesses >= WITNESSES_MIN && waited_ms >= STORE_WAIT_MS;
        let lone = witnesses == 1 && waited_ms >= LONE_WITNESS_MS;
        let failed_since = self.floor.failed_ms >= Some(self.floor.heard_ms);
        if (enough || lone) && failed_since {
            self.floor.learn(self.newest_version, FloorSource::Witnesses);
            return;
        }
        let relays = self.known_relays.iter().map(|relay| relay.addr);
        let next = relays
            .chain(self.settings.seeds.iter().copied())
            .find(|addr| *addr != self.local().addr && !self.floor.probed.contains(addr));
        if let Some(addr) = next {
            self.floor.probed.insert(addr);
            self.open_link(LinkKind::Probe, addr);
        }
    }
}
