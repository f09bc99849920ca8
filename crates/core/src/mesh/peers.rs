//! The table of the other daemons.

use crate::digest::record_hash;
use crate::endpoint::TargetState;
use crate::mesh::heartbeat::{DepartedTargets, TargetStart};
use crate::mesh::state::{ConfigState, DaemonRecord, DaemonState, TargetLoad, TargetSummary};
use crate::mesh::topology;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The first pause before a peer is dialled again, in milliseconds.
const REDIAL_PAUSE_MS: u64 = 250;
/// The longest pause, in milliseconds. A VM that comes back dials by itself, so that this only
/// bounds how long two daemons can miss each other.
const REDIAL_PAUSE_MS_MAX: u64 = 4_000;
/// How long a link stays open at least, in milliseconds, so that a peer whose target comes and goes
/// does not make links open and close with it.
const LINK_OPEN_MS_MIN: u64 = 20_000;
/// How long a failed call counts against the way to a peer, in milliseconds.
const LOST_CALL_KEPT_MS: u64 = 2_000;

/// One other daemon.
#[derive(Clone, Debug)]
pub struct Peer {
    pub record: DaemonRecord,
    /// What it said last; absent until it answered on a link.
    pub state: Option<DaemonState>,
    /// When it said that.
    pub last_received_ms: u64,
    /// Whether calls can be sent to it now.
    pub is_linked: bool,
    /// Calls of this daemon that it has not answered.
    pub outstanding_calls: u16,
    /// Those among them that its last report cannot know of yet.
    pub unreported_calls: u16,
    /// Orders peers for links between regions, see [`crate::mesh::topology`].
    pub rendezvous_hash: u64,
    linked_ms: u64,
    /// When the store is known to have held no newer configuration than this peer does.
    confirmed_ms: Option<i64>,
    /// When a call to it was last lost.
    call_lost_ms: Option<u64>,
    next_dial_ms: u64,
    dial_attempts: u32,
}

impl Peer {
    fn new(local: &DaemonRecord, record: DaemonRecord, now_ms: u64) -> Self {
        Self {
            rendezvous_hash: record_hash(&[local.name.as_bytes(), record.name.as_bytes()]),
            linked_ms: 0,
            confirmed_ms: None,
            record,
            state: None,
            last_received_ms: now_ms,
            is_linked: false,
            outstanding_calls: 0,
            unreported_calls: 0,
            call_lost_ms: None,
            next_dial_ms: now_ms,
            dial_attempts: 0,
        }
    }

    /// Dials since it was last linked.
    pub fn dial_attempts(&self) -> u32 {
        self.dial_attempts
    }

    /// The target beside it, if that takes requests.
    pub fn ready_target(&self) -> Option<&TargetSummary> {
        let state = self.state.as_ref()?;
        let target = state.target.as_ref()?;
        let is_ready = self.is_linked && !state.leaving && target.state == TargetState::Ready;
        is_ready.then_some(target)
    }

    /// How long ago the peer knew that the store held no newer configuration than its own, in
    /// milliseconds.
    pub fn confirmed_age_ms(&self, now_ms: u64) -> Option<u64> {
        u64::try_from(now_ms.cast_signed() - self.confirmed_ms?).ok()
    }

    pub fn version(&self) -> u64 {
        self.state.as_ref().map_or(0, |state| state.config.version)
    }

    /// Whether a call to it was lost lately.
    pub fn call_lost_recently(&self, now_ms: u64) -> bool {
        self.call_lost_ms.is_some_and(|call_lost_ms| now_ms < call_lost_ms + LOST_CALL_KEPT_MS)
    }
}

/// All other daemons that this one has heard of.
#[derive(Clone, Debug)]
pub struct Peers {
    local: DaemonRecord,
    peers: BTreeMap<Arc<str>, Peer>,
    /// Targets that left, also beside daemons that have started again since and forgot it.
    departed: DepartedTargets,
}

impl Peers {
    pub fn new(local: DaemonRecord) -> Self {
        Self { local, peers: BTreeMap::new(), departed: DepartedTargets::default() }
    }

    /// Remembers that a target has left.
    pub fn add_departed(&mut self, start: TargetStart, now_ms: u64) {
        self.departed.insert(start, now_ms);
    }

    /// Targets that left lately.
    pub fn departed(&self) -> Vec<TargetStart> {
        self.departed.starts().cloned().collect()
    }

    pub fn local(&self) -> &DaemonRecord {
        &self.local
    }

    pub fn get(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// How many daemons there are, this one included.
    pub fn daemon_count(&self) -> usize {
        self.peers.len() + 1
    }

    pub fn linked(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| peer.is_linked)
    }

    /// Whether a peer stands in this daemon's region.
    pub fn is_same_region(&self, name: &str) -> bool {
        self.peers.get(name).is_some_and(|peer| peer.record.region == self.local.region)
    }

    /// Whether no linked daemon of this region has a smaller name.
    pub fn has_lowest_name_in_region(&self) -> bool {
        !self.linked().any(|peer| {
            peer.record.region == self.local.region && peer.record.name < self.local.name
        })
    }

    /// Every record, also this daemon's own.
    pub fn records(&self) -> Vec<DaemonRecord> {
        let others = self.peers.values().map(|peer| peer.record.clone());
        others.chain(std::iter::once(self.local.clone())).collect()
    }

    /// Takes in a record that was heard of. A daemon itself speaks for its own record; what others
    /// say of it only introduces it, since they may know an earlier start.
    pub fn update_record(&mut self, record: DaemonRecord, from_owner: bool, now_ms: u64) {
        if record.name == self.local.name {
            return;
        }
        match self.peers.get_mut(&record.name) {
            None => {
                self.peers.insert(record.name.clone(), Peer::new(&self.local, record, now_ms));
            }
            Some(peer) if from_owner && peer.record != record => {
                peer.record = record;
                peer.next_dial_ms = now_ms;
                peer.dial_attempts = 0;
            }
            Some(peer) if !peer.is_linked && peer.record.link_addr != record.link_addr => {
                peer.record = record;
            }
            Some(_) => {}
        }
    }

    /// A VM was removed. A daemon that still answers is kept until its link ends.
    pub fn remove_unlinked(&mut self, name: &str) {
        if self.peers.get(name).is_some_and(|peer| !peer.is_linked) {
            self.peers.remove(name);
        }
    }

    /// Peers to dial now. Marks them as being dialled.
    pub fn take_due_dials(&mut self, now_ms: u64) -> Vec<DaemonRecord> {
        let mut due = Vec::new();
        let wanted = topology::wanted_links(&self.local.region, self.peers.values());
        for peer in self.peers.values_mut().filter(|peer| wanted.contains(&peer.record.name)) {
            if !peer.is_linked && now_ms >= peer.next_dial_ms {
                let pause_ms =
                    (REDIAL_PAUSE_MS << peer.dial_attempts.min(8)).min(REDIAL_PAUSE_MS_MAX);
                peer.dial_attempts += 1;
                peer.next_dial_ms = now_ms + pause_ms.max(REDIAL_PAUSE_MS);
                due.push(peer.record.clone());
            }
        }
        due
    }

    /// Peers whose links are no longer wanted and carry no calls.
    pub fn surplus_links(&self, now_ms: u64) -> Vec<Arc<str>> {
        let wanted = topology::wanted_links(&self.local.region, self.peers.values());
        let is_surplus = |peer: &&Peer| {
            !wanted.contains(&peer.record.name)
                && peer.outstanding_calls == 0
                && now_ms >= peer.linked_ms + LINK_OPEN_MS_MIN
        };
        self.linked().filter(is_surplus).map(|peer| peer.record.name.clone()).collect()
    }

    /// A link to the peer is open.
    pub fn link_opened(&mut self, name: &str, state: DaemonState, now_ms: u64) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.is_linked = true;
            peer.linked_ms = now_ms;
            peer.dial_attempts = 0;
            peer.outstanding_calls = 0;
            peer.call_lost_ms = None;
        }
        self.apply_state(name, state, now_ms);
    }

    /// The link to the peer is gone.
    pub fn link_closed(&mut self, name: &str, now_ms: u64) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.is_linked = false;
            peer.next_dial_ms = peer.next_dial_ms.min(now_ms + REDIAL_PAUSE_MS).max(now_ms);
        }
    }

    /// The peer dialled this daemon, so that it can be reached again.
    pub fn reset_redial(&mut self, name: &str, now_ms: u64) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.next_dial_ms = now_ms;
            peer.dial_attempts = 0;
        }
    }

    pub fn apply_state(&mut self, name: &str, mut state: DaemonState, now_ms: u64) {
        if let Some(target) = &mut state.target {
            if target.state == TargetState::Draining {
                self.departed.insert(target.start(), now_ms);
            } else if self.departed.has_departed(&target.start(), now_ms) {
                target.state = TargetState::Draining;
            }
        }
        if let Some(peer) = self.peers.get_mut(name) {
            peer.confirmed_ms = state.config.confirmed_ms(now_ms);
            peer.state = Some(state);
            peer.last_received_ms = now_ms;
            peer.unreported_calls = 0;
        }
    }

    pub fn apply_load(&mut self, name: &str, load: TargetLoad, now_ms: u64) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        let Some(state) = &mut peer.state else { return };
        if let Some(target) = &mut state.target {
            target.load = load;
        }
        peer.last_received_ms = now_ms;
        peer.unreported_calls = 0;
    }

    /// The peer says which version it holds. This tells nothing of its target.
    pub fn apply_config(&mut self, name: &str, config: ConfigState, now_ms: u64) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        let Some(state) = &mut peer.state else { return };
        state.config = config;
        peer.confirmed_ms = config.confirmed_ms(now_ms);
    }

    /// The target beside the peer takes no more requests, whatever its last report says.
    pub fn mark_target_lapsed(&mut self, name: &str) {
        let state = self.peers.get_mut(name).and_then(|peer| peer.state.as_mut());
        if let Some(target) = state.and_then(|state| state.target.as_mut()) {
            target.state = TargetState::Lapsed;
        }
    }

    /// Counts a stalled call as lost if the peer has said nothing since it began.
    pub fn note_stalled_call(&mut self, name: &str, started_ms: u64, now_ms: u64) {
        if let Some(peer) = self.peers.get_mut(name)
            && peer.last_received_ms < started_ms
        {
            peer.call_lost_ms = Some(now_ms);
        }
    }

    pub fn call_started(&mut self, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.outstanding_calls = peer.outstanding_calls.saturating_add(1);
            peer.unreported_calls = peer.unreported_calls.saturating_add(1);
        }
    }

    pub fn call_ended(&mut self, name: &str, was_lost: bool, now_ms: u64) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.outstanding_calls = peer.outstanding_calls.saturating_sub(1);
            if was_lost {
                peer.call_lost_ms = Some(now_ms);
            }
        }
    }
}
