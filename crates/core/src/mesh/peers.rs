//! The table of peers: the other daemons of the mesh.

use crate::digest::record_hash;
use crate::endpoint::TargetState;
use crate::mesh::dissemination::{Distance, Position};
use crate::mesh::heartbeat::{DepartedTarget, DepartedTargets, TargetStart};
use crate::mesh::removed_daemons::RemovedDaemons;
use crate::mesh::state::{ConfigState, DaemonRecord, DaemonState, TargetLoad, TargetSummary};
use crate::mesh::topology;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The first pause before a peer is dialled again, in milliseconds.
const REDIAL_PAUSE_MS: u64 = 250;
/// The longest pause before a peer is dialled again, in milliseconds. A VM that restarts dials its
/// peers itself, so this only bounds how long two daemons can stay without a link.
const REDIAL_PAUSE_MS_MAX: u64 = 4_000;
/// The minimum time that a link stays open, in milliseconds, so that links are not opened and
/// closed each time that the target of a peer becomes ready or not ready.
const LINK_OPEN_MS_MIN: u64 = 20_000;
/// The age of a peer's last report up to which its target still counts as used, in milliseconds. A
/// peer reports a leave at once, and otherwise every two seconds.
const RECENT_TARGET_MS_MAX: u64 = 5_000;
/// How long a lost call counts against a peer, in milliseconds.
const LOST_CALL_KEPT_MS: u64 = 2_000;

/// Where the record of a peer comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordSource {
    /// The peer itself.
    Owner,
    /// The store.
    Store,
    /// Another peer, which listed the daemons that it knows.
    Peer,
}

/// What this daemon knows of one peer.
#[derive(Clone, Debug)]
pub struct Peer {
    pub record: DaemonRecord,
    /// The state that the peer last sent; absent until a link to it was opened.
    pub state: Option<DaemonState>,
    /// When the peer last reported its state or load.
    pub last_received_ms: u64,
    /// Whether a link to the peer is open, so that calls can be sent.
    pub is_linked: bool,
    /// Whether the record of the peer was removed from the store, because its VM is being removed. The
    /// peer is used while it can be reached.
    is_removed: bool,
    /// Calls of this daemon that the peer has not answered.
    pub outstanding_calls: u16,
    /// Calls that were sent since the peer's last report, which therefore does not include them.
    pub unreported_calls: u16,
    /// Orders the peers of another region when links are chosen, see [`crate::mesh::topology`].
    pub rendezvous_hash: u64,
    /// When the link was opened.
    linked_ms: u64,
    /// The time of the last confirmation that the store held no newer configuration than the peer.
    confirmed_ms: Option<i64>,
    /// When a call to the peer was last lost.
    call_lost_ms: Option<u64>,
    /// The earliest time to dial the peer again.
    next_dial_ms: u64,
    /// Dials since a link was last open.
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
            is_removed: false,
            outstanding_calls: 0,
            unreported_calls: 0,
            call_lost_ms: None,
            next_dial_ms: now_ms,
            dial_attempts: 0,
        }
    }

    /// The number of times that the peer was dialled since a link was last open.
    pub fn dial_attempts(&self) -> u32 {
        self.dial_attempts
    }

    /// When the last link to the peer was opened.
    pub fn linked_ms(&self) -> u64 {
        self.linked_ms
    }

    /// The peer's target, if it accepts requests.
    pub fn ready_target(&self) -> Option<&TargetSummary> {
        let state = self.state.as_ref()?;
        let target = state.target.as_ref()?;
        let is_ready = self.is_linked && !state.leaving && target.state == TargetState::Ready;
        is_ready.then_some(target)
    }

    /// The age of the last confirmation that the store held no newer configuration than the peer,
    /// in milliseconds. Absent if there was none.
    pub fn confirmed_age_ms(&self, now_ms: u64) -> Option<u64> {
        u64::try_from(now_ms.cast_signed() - self.confirmed_ms?).ok()
    }

    /// The configuration version that the peer holds; 0 if it has none.
    pub fn version(&self) -> u64 {
        self.state.as_ref().map_or(0, |state| state.config.version)
    }

    /// Whether a call to the peer was lost in the last `LOST_CALL_KEPT_MS`.
    pub fn call_lost_recently(&self, now_ms: u64) -> bool {
        self.call_lost_ms.is_some_and(|call_lost_ms| now_ms < call_lost_ms + LOST_CALL_KEPT_MS)
    }
}

/// All peers that this daemon knows.
#[derive(Clone, Debug)]
pub struct Peers {
    local: DaemonRecord,
    peers: BTreeMap<Arc<str>, Peer>,
    /// Targets that have left, including those whose daemon has restarted since and does not know
    /// that they left.
    departed: DepartedTargets,
    /// Daemons whose records were removed, which lists of other peers do not bring back.
    removed: RemovedDaemons,
    /// Whether an account has a quota, for which links to the first daemons of the zone are needed.
    has_quotas: bool,
}

impl Peers {
    pub fn new(local: DaemonRecord) -> Self {
        Self {
            local,
            peers: BTreeMap::new(),
            departed: DepartedTargets::default(),
            removed: RemovedDaemons::default(),
            has_quotas: false,
        }
    }

    /// Sets whether an account has a quota.
    pub fn set_has_quotas(&mut self, has_quotas: bool) {
        self.has_quotas = has_quotas;
    }

    /// The daemon that keeps the quotas of the zone: the first by name of the linked ones that do not
    /// stop, if it comes before this daemon.
    pub fn zone_keeper(&self) -> Option<&DaemonRecord> {
        let first = self.quota_candidates().find(|peer| peer.record.zone == self.local.zone)?;
        (first.record.name < self.local.name).then_some(&first.record)
    }

    /// The daemons to ask for loans of quotas: the first linked one of each other zone by name.
    pub fn quota_lenders(&self) -> Vec<Arc<str>> {
        let mut first: BTreeMap<&str, &Arc<str>> = BTreeMap::new();
        for peer in self.quota_candidates().filter(|peer| peer.record.zone != self.local.zone) {
            first.entry(&peer.record.zone).or_insert(&peer.record.name);
        }
        first.into_values().cloned().collect()
    }

    /// The linked peers that do not stop, in the order of their names.
    fn quota_candidates(&self) -> impl Iterator<Item = &Peer> {
        self.linked().filter(|peer| peer.state.as_ref().is_none_or(|state| !state.leaving))
    }

    /// Records that a target has left.
    pub fn add_departed(&mut self, start: TargetStart, now_ms: u64) {
        self.departed.insert(start, now_ms);
    }

    /// Records a target that has left according to a peer.
    pub fn add_reported_departed(&mut self, departed: DepartedTarget, now_ms: u64) {
        self.departed.insert_reported(departed, now_ms);
    }

    /// The targets that left recently.
    pub fn departed(&self, now_ms: u64) -> Vec<DepartedTarget> {
        self.departed.current(now_ms).collect()
    }

    /// The target of a peer, if the peer reported it as ready a short time ago. Tells the peer, if it has
    /// restarted, that its target had not left.
    pub fn recent_target(&self, name: &str, now_ms: u64) -> Option<TargetStart> {
        let peer = self.peers.get(name)?;
        let target = peer.state.as_ref()?.target.as_ref()?;
        let is_recent = now_ms <= peer.last_received_ms + RECENT_TARGET_MS_MAX;
        let is_ready = target.state == TargetState::Ready
            && !self.departed.has_departed(&target.start(), now_ms);
        (is_recent && is_ready).then(|| target.start())
    }

    /// The record of this daemon.
    pub fn local(&self) -> &DaemonRecord {
        &self.local
    }

    pub fn get(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// The peers whose records were not removed.
    fn present(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| !peer.is_removed)
    }

    /// The number of known daemons including this one, without removed ones.
    pub fn daemon_count(&self) -> usize {
        self.present().count() + 1
    }

    /// The peers to which a link is open.
    pub fn linked(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| peer.is_linked)
    }

    /// The newest configuration version that a linked peer holds; 0 if none holds any.
    pub fn newest_version(&self) -> u64 {
        self.linked().map(Peer::version).max().unwrap_or_default()
    }

    /// Whether this daemon requests a version at once from a peer at this distance: always within
    /// its zone, otherwise if its name sorts before those of all linked peers that are nearer.
    pub fn is_first_to_request(&self, distance: Distance) -> bool {
        let is_nearer = |record: &DaemonRecord| match distance {
            Distance::SameZone => false,
            Distance::SameRegion => record.zone == self.local.zone,
            Distance::OtherRegion => record.region == self.local.region,
        };
        !self.linked().any(|peer| is_nearer(&peer.record) && peer.record.name < self.local.name)
    }

    /// The place of this daemon in the mesh, as it decides who is informed of versions.
    pub fn position(&self) -> Position {
        Position {
            is_zone_gateway: topology::is_zone_gateway(&self.local, self.peers.values()),
            is_zone_fully_linked: topology::is_zone_fully_linked(&self.local, self.peers.values()),
        }
    }

    /// The names of the peers to which this daemon should have links.
    pub fn wanted_links(&self, now_ms: u64) -> BTreeSet<Arc<str>> {
        topology::wanted_links(&self.local, self.peers.values(), self.has_quotas, now_ms)
    }

    /// The records of all known daemons including this one, without removed ones.
    pub fn records(&self) -> Vec<DaemonRecord> {
        let others = self.present().map(|peer| peer.record.clone());
        others.chain(std::iter::once(self.local.clone())).collect()
    }

    /// Adds or updates the record of a peer. A record that the peer sent itself replaces a known one.
    /// Another may be from an earlier start, so it only adds an unknown peer, or replaces that of a peer
    /// without a link whose address differs. A list of another peer does not add a removed one, and a
    /// removed one that opens a link stays marked until the store has a record of it again.
    pub fn update_record(&mut self, record: DaemonRecord, source: RecordSource, now_ms: u64) {
        if record.name == self.local.name {
            return;
        }
        if source == RecordSource::Store {
            self.removed.remove(&record.name);
        }
        let is_removed = self.removed.contains(&record.name, now_ms);
        if is_removed && source == RecordSource::Peer {
            return;
        }
        let Some(peer) = self.peers.get_mut(&record.name) else {
            let peer = Peer { is_removed, ..Peer::new(&self.local, record, now_ms) };
            self.peers.insert(peer.record.name.clone(), peer);
            return;
        };
        if source == RecordSource::Store {
            peer.is_removed = false;
        }
        if source == RecordSource::Owner && peer.record != record {
            peer.record = record;
            peer.next_dial_ms = now_ms;
            peer.dial_attempts = 0;
        } else if !peer.is_linked && peer.record.link_addr != record.link_addr {
            peer.record = record;
        }
    }

    /// Records that the record of a peer was removed from the store. A peer with an open link is kept
    /// until it cannot be reached any more; see [`Self::forget_removed`].
    pub fn record_removed(&mut self, name: &str, now_ms: u64) {
        self.removed.insert(name, now_ms);
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.is_removed = true;
        if !peer.is_linked {
            self.peers.remove(name);
        }
    }

    /// Forgets the removed peers that cannot be reached, or that need no link.
    pub fn forget_removed(&mut self, wanted: &BTreeSet<Arc<str>>, now_ms: u64) {
        self.removed.forget_expired(now_ms);
        self.peers.retain(|name, peer| {
            !peer.is_removed
                || peer.is_linked
                || (wanted.contains(name) && topology::may_be_linked(peer))
        });
    }

    /// The wanted peers to dial now. Counts a dial for each and sets the time of its next one.
    pub fn take_due_dials(
        &mut self,
        wanted: &BTreeSet<Arc<str>>,
        now_ms: u64,
    ) -> Vec<DaemonRecord> {
        let mut due = Vec::new();
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

    /// The peers whose links are no longer wanted and carry no calls.
    pub fn surplus_links(&self, wanted: &BTreeSet<Arc<str>>, now_ms: u64) -> Vec<Arc<str>> {
        let is_surplus = |peer: &&Peer| {
            !wanted.contains(&peer.record.name)
                && peer.outstanding_calls == 0
                && now_ms >= peer.linked_ms + LINK_OPEN_MS_MIN
        };
        self.linked().filter(is_surplus).map(|peer| peer.record.name.clone()).collect()
    }

    /// Records that a link to the peer was opened, with the state that it sent first.
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

    /// Records that the link to the peer was closed.
    pub fn link_closed(&mut self, name: &str, now_ms: u64) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.is_linked = false;
            peer.next_dial_ms = peer.next_dial_ms.min(now_ms + REDIAL_PAUSE_MS).max(now_ms);
        }
    }

    /// Allows an immediate dial, because the peer dialled this daemon and so is reachable again.
    pub fn reset_redial(&mut self, name: &str, now_ms: u64) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.next_dial_ms = now_ms;
            peer.dial_attempts = 0;
        }
    }

    /// Stores the state that the peer sent. A target that has left stays draining even if its
    /// daemon has restarted and reports it as ready.
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

    /// Stores the load that the peer reported for its target.
    pub fn apply_load(&mut self, name: &str, load: TargetLoad, now_ms: u64) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        let Some(state) = &mut peer.state else { return };
        if let Some(target) = &mut state.target {
            target.load = load;
        }
        peer.last_received_ms = now_ms;
        peer.unreported_calls = 0;
    }

    /// Stores which configuration version the peer holds. Does not count as a report on its target.
    pub fn apply_config(&mut self, name: &str, config: ConfigState, now_ms: u64) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        let Some(state) = &mut peer.state else { return };
        state.config = config;
        peer.confirmed_ms = config.confirmed_ms(now_ms);
    }

    /// Marks the peer's target as lapsed after it refused a request, whatever the last report says.
    pub fn mark_target_lapsed(&mut self, name: &str) {
        let state = self.peers.get_mut(name).and_then(|peer| peer.state.as_mut());
        if let Some(target) = state.and_then(|state| state.target.as_mut()) {
            target.state = TargetState::Lapsed;
        }
    }

    /// Counts a stalled call as lost if the peer has not reported since the call started.
    pub fn note_stalled_call(&mut self, name: &str, started_ms: u64, now_ms: u64) {
        if let Some(peer) = self.peers.get_mut(name)
            && peer.last_received_ms < started_ms
        {
            peer.call_lost_ms = Some(now_ms);
        }
    }

    /// Counts a call that was sent to the peer as outstanding and unreported.
    pub fn call_started(&mut self, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.outstanding_calls = peer.outstanding_calls.saturating_add(1);
            peer.unreported_calls = peer.unreported_calls.saturating_add(1);
        }
    }

    /// Removes a call from the count of outstanding calls. Records when it ended if it was lost.
    pub fn call_ended(&mut self, name: &str, was_lost: bool, now_ms: u64) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.outstanding_calls = peer.outstanding_calls.saturating_sub(1);
            if was_lost {
                peer.call_lost_ms = Some(now_ms);
            }
        }
    }
}
