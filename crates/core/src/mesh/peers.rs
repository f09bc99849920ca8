//! The table of the other daemons.

use crate::digest::record_hash;
use crate::endpoint::TargetState;
use crate::mesh::heartbeat::{LeftTargets, TargetStart};
use crate::mesh::state::{ConfigState, DaemonRecord, DaemonState, TargetLoad, TargetSummary};
use crate::mesh::topology;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The first pause before a peer is dialled again, in milliseconds.
const REDIAL_MS: u64 = 250;
/// The longest pause, in milliseconds. A VM that comes back dials by itself, so that this only
/// bounds how long two daemons can miss each other.
const REDIAL_MS_MAX: u64 = 4_000;
/// How long a link stays open at least, in milliseconds, so that a peer whose target comes and goes
/// does not make links open and close with it.
const SURPLUS_MS: u64 = 20_000;
/// How long a failed call counts against the way to a peer, in milliseconds.
const FAILED_CALL_MS: u64 = 2_000;

/// One other daemon.
#[derive(Clone, Debug)]
pub struct Peer {
    pub record: DaemonRecord,
    /// What it said last; absent until it answered on a link.
    pub state: Option<DaemonState>,
    /// When it said that.
    pub heard_ms: u64,
    /// Whether calls can be sent to it now.
    pub is_linked: bool,
    /// Calls of this daemon that it has not answered.
    pub outstanding: u16,
    /// Those among them that its last report cannot know of yet.
    pub unreported: u16,
    /// Orders peers for links between regions, see [`crate::mesh::topology`].
    pub affinity: u64,
    linked_ms: u64,
    /// When the store is known to have held no newer configuration than this peer does.
    confirmed_ms: Option<i64>,
    /// When a call to it was last lost.
    failed_ms: Option<u64>,
    redial_at_ms: u64,
    redials: u32,
}

impl Peer {
    fn new(own: &DaemonRecord, record: DaemonRecord, now_ms: u64) -> Self {
        Self {
            affinity: record_hash(&[own.name.as_bytes(), record.name.as_bytes()]),
            linked_ms: 0,
            confirmed_ms: None,
            record,
            state: None,
            heard_ms: now_ms,
            is_linked: false,
            outstanding: 0,
            unreported: 0,
            failed_ms: None,
            redial_at_ms: now_ms,
            redials: 0,
        }
    }

    /// Dials since it was last linked.
    pub fn redials(&self) -> u32 {
        self.redials
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
    pub fn failed_lately(&self, now_ms: u64) -> bool {
        self.failed_ms.is_some_and(|failed_ms| now_ms < failed_ms + FAILED_CALL_MS)
    }
}

/// All other daemons that this one has heard of.
#[derive(Clone, Debug)]
pub struct Peers {
    own: DaemonRecord,
    peers: BTreeMap<Arc<str>, Peer>,
    /// Targets that left, also beside daemons that have started again since and forgot it.
    left: LeftTargets,
}

impl Peers {
    pub fn new(own: DaemonRecord) -> Self {
        Self { own, peers: BTreeMap::new(), left: LeftTargets::default() }
    }

    /// Remembers that a target has left.
    pub fn note_left(&mut self, start: TargetStart, now_ms: u64) {
        self.left.note(start, now_ms);
    }

    /// Targets that left lately.
    pub fn left(&self) -> Vec<TargetStart> {
        self.left.all().cloned().collect()
    }

    pub fn own(&self) -> &DaemonRecord {
        &self.own
    }

    pub fn get(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// How many daemons there are, this one included.
    pub fn daemons(&self) -> usize {
        self.peers.len() + 1
    }

    pub fn linked(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| peer.is_linked)
    }

    /// Whether a peer stands in this daemon's region.
    pub fn is_near(&self, name: &str) -> bool {
        self.peers.get(name).is_some_and(|peer| peer.record.region == self.own.region)
    }

    /// Whether no linked daemon of this region has a smaller name.
    pub fn is_first_of_region(&self) -> bool {
        !self
            .linked()
            .any(|peer| peer.record.region == self.own.region && peer.record.name < self.own.name)
    }

    /// Every record, also this daemon's own.
    pub fn records(&self) -> Vec<DaemonRecord> {
        let others = self.peers.values().map(|peer| peer.record.clone());
        others.chain(std::iter::once(self.own.clone())).collect()
    }

    /// Takes in a record that was heard of. A daemon itself speaks for its own record; what others
    /// say of it only introduces it, since they may know an earlier start.
    pub fn learn(&mut self, record: DaemonRecord, from_itself: bool, now_ms: u64) {
        if record.name == self.own.name {
            return;
        }
        match self.peers.get_mut(&record.name) {
            None => {
                self.peers.insert(record.name.clone(), Peer::new(&self.own, record, now_ms));
            }
            Some(peer) if from_itself && peer.record != record => {
                peer.record = record;
                peer.redial_at_ms = now_ms;
                peer.redials = 0;
            }
            Some(peer) if !peer.is_linked && peer.record.link_addr != record.link_addr => {
                peer.record = record;
            }
            Some(_) => {}
        }
    }

    /// A VM was removed. A daemon that still answers is kept until its link ends.
    pub fn forget(&mut self, name: &str) {
        if self.peers.get(name).is_some_and(|peer| !peer.is_linked) {
            self.peers.remove(name);
        }
    }

    /// Peers to dial now. Marks them as being dialled.
    pub fn due(&mut self, now_ms: u64) -> Vec<DaemonRecord> {
        let mut due = Vec::new();
        let wanted = topology::wanted(&self.own.region, self.peers.values());
        for peer in self.peers.values_mut().filter(|peer| wanted.contains(&peer.record.name)) {
            if !peer.is_linked && now_ms >= peer.redial_at_ms {
                let pause_ms = (REDIAL_MS << peer.redials.min(8)).min(REDIAL_MS_MAX);
                peer.redials += 1;
                peer.redial_at_ms = now_ms + pause_ms.max(REDIAL_MS);
                due.push(peer.record.clone());
            }
        }
        due
    }

    /// Peers whose links are no longer wanted and carry no calls.
    pub fn surplus(&self, now_ms: u64) -> Vec<Arc<str>> {
        let wanted = topology::wanted(&self.own.region, self.peers.values());
        let is_surplus = |peer: &&Peer| {
            !wanted.contains(&peer.record.name)
                && peer.outstanding == 0
                && now_ms >= peer.linked_ms + SURPLUS_MS
        };
        self.linked().filter(is_surplus).map(|peer| peer.record.name.clone()).collect()
    }

    /// A link to the peer is open.
    pub fn linked_up(&mut self, name: &str, state: DaemonState, now_ms: u64) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.is_linked = true;
            peer.linked_ms = now_ms;
            peer.redials = 0;
            peer.outstanding = 0;
            peer.failed_ms = None;
        }
        self.report(name, state, now_ms);
    }

    /// The link to the peer is gone.
    pub fn link_down(&mut self, name: &str, now_ms: u64) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.is_linked = false;
            peer.redial_at_ms = peer.redial_at_ms.min(now_ms + REDIAL_MS).max(now_ms);
        }
    }

    /// The peer dialled this daemon, so that it can be reached again.
    pub fn came_back(&mut self, name: &str, now_ms: u64) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.redial_at_ms = now_ms;
            peer.redials = 0;
        }
    }

    pub fn report(&mut self, name: &str, mut state: DaemonState, now_ms: u64) {
        if let Some(target) = &mut state.target {
            if target.state == TargetState::Draining {
                self.left.note(target.start(), now_ms);
            } else if self.left.has_left(&target.start(), now_ms) {
                target.state = TargetState::Draining;
            }
        }
        if let Some(peer) = self.peers.get_mut(name) {
            peer.confirmed_ms = state.config.confirmed_ms(now_ms);
            peer.state = Some(state);
            peer.heard_ms = now_ms;
            peer.unreported = 0;
        }
    }

    pub fn report_load(&mut self, name: &str, load: TargetLoad, now_ms: u64) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        let Some(state) = &mut peer.state else { return };
        if let Some(target) = &mut state.target {
            target.load = load;
        }
        peer.heard_ms = now_ms;
        peer.unreported = 0;
    }

    /// The peer says which version it holds. This tells nothing of its target.
    pub fn report_config(&mut self, name: &str, config: ConfigState, now_ms: u64) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        let Some(state) = &mut peer.state else { return };
        state.config = config;
        peer.confirmed_ms = config.confirmed_ms(now_ms);
    }

    /// The target beside the peer takes no more requests, whatever its last report says.
    pub fn target_refused(&mut self, name: &str) {
        let state = self.peers.get_mut(name).and_then(|peer| peer.state.as_mut());
        if let Some(target) = state.and_then(|state| state.target.as_mut()) {
            target.state = TargetState::Lapsed;
        }
    }

    /// Counts a stalled call as lost if the peer has said nothing since it began.
    pub fn suspect(&mut self, name: &str, began_ms: u64, now_ms: u64) {
        if let Some(peer) = self.peers.get_mut(name)
            && peer.heard_ms < began_ms
        {
            peer.failed_ms = Some(now_ms);
        }
    }

    pub fn call_began(&mut self, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.outstanding = peer.outstanding.saturating_add(1);
            peer.unreported = peer.unreported.saturating_add(1);
        }
    }

    pub fn call_ended(&mut self, name: &str, was_lost: bool, now_ms: u64) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.outstanding = peer.outstanding.saturating_sub(1);
            if was_lost {
                peer.failed_ms = Some(now_ms);
            }
        }
    }
}
