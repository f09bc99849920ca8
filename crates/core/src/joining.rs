//! Chooses the parent of this daemon in the distribution tree and connects to it. Leaves join
//! relays, relays join the leader of their region, and leaders connect to each other as peers.
//!
//! A relay that finds no leader joins a relay with a smaller instance name, or acts as the leader
//! of its region itself, so that a region keeps working without a leader while the store is
//! unavailable. Such joins only go to smaller names, and a leader has no parent, so the tree has no
//! cycles.
//!
//! A daemon that wants a parent and has none is called an orphan; a leader is not one.

use crate::event::Event;
use crate::link::{Link, LinkId, LinkKind, LinkState};
use crate::message::{DaemonInfo, Hello, Message, Purpose, Welcome};
use crate::node::Node;
use crate::roles::Role;
use rand_core::RngCore;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Size of the random part of the pause after the first join attempt, in milliseconds; it doubles
/// with each further attempt up to `RETRY_MS_MAX`. Half of this value is added to every pause. It
/// also bounds the pause after a parent is lost.
const RETRY_FIRST_MS: u64 = 100;
/// Upper limit of the random part of the pause after join attempts and of the pause after a
/// redirect, in milliseconds.
const RETRY_MS_MAX: u64 = 8_000;
/// How long an address is not tried again after its link was lost, in milliseconds.
const AVOID_MS: u64 = 5_000;
/// How long a daemon is an orphan before it reads the log from the store, in milliseconds.
const ORPHAN_READ_AFTER_MS: u64 = 3_000;
/// Interval at which a leaf with a parent in another zone looks for a closer relay, in
/// milliseconds. Up to the same time again is added at random.
const PARENT_REVIEW_MS: u64 = 10_000;
/// Interval at which a relay checks for vacant relay leases and nominates leaves for them, in
/// milliseconds.
const NOMINATE_MS: u64 = 3_000;
/// Joins that a relay accepts per interval. This spreads the load when many daemons join at once.
const JOINS_PER_INTERVAL: u32 = 25;
/// Length of the interval for `JOINS_PER_INTERVAL`, in milliseconds.
const JOIN_INTERVAL_MS: u64 = 100;
/// A redirected daemon waits for a random time below this before it tries another parent, in
/// milliseconds.
pub(crate) const REDIRECT_PAUSE_MS: u32 = 300;

/// The link to the parent, when to retry joining, and the rate limit for joining children.
#[derive(Debug)]
pub(crate) struct JoinState {
    /// Link to the parent, joined or still opening.
    parent: Option<LinkId>,
    /// Whether the parent has accepted this daemon.
    parent_joined: bool,
    /// Since when this daemon has been an orphan. It can also be set on a leader, which does not
    /// use it.
    orphaned_since_ms: Option<u64>,
    /// Join attempts since the last success, for the backoff.
    attempts: u32,
    retry_due_ms: u64,
    parent_review_due_ms: u64,
    nominate_due_ms: u64,
    /// For each avoided address, the time from which it may be tried again.
    avoid_until_ms: BTreeMap<SocketAddr, u64>,
    joins_interval_start_ms: u64,
    joins_in_interval: u32,
    /// False while this daemon holds the leader role.
    wants_parent: bool,
}

impl JoinState {
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            parent: None,
            parent_joined: false,
            orphaned_since_ms: Some(now_ms),
            attempts: 0,
            retry_due_ms: now_ms,
            parent_review_due_ms: now_ms + PARENT_REVIEW_MS,
            nominate_due_ms: now_ms + NOMINATE_MS,
            avoid_until_ms: BTreeMap::new(),
            joins_interval_start_ms: 0,
            joins_in_interval: 0,
            wants_parent: true,
        }
    }

    /// The link to the parent, if the parent has accepted this daemon.
    pub(crate) fn joined_parent(&self) -> Option<LinkId> {
        self.parent.filter(|_| self.parent_joined)
    }

    /// Whether this daemon wants a parent and has not joined one.
    pub(crate) fn lacks_parent(&self) -> bool {
        self.wants_parent && !self.parent_joined
    }

    /// Whether this daemon has been an orphan for `ORPHAN_READ_AFTER_MS`.
    pub(crate) fn is_long_orphaned(&self, now_ms: u64) -> bool {
        self.orphaned_since_ms.is_some_and(|since_ms| now_ms >= since_ms + ORPHAN_READ_AFTER_MS)
    }

    fn avoids(&self, addr: SocketAddr, now_ms: u64) -> bool {
        self.avoid_until_ms.get(&addr).is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// Counts a join by a child and returns whether the rate limit allows it.
    pub(crate) fn allow_join(&mut self, now_ms: u64) -> bool {
        if now_ms >= self.joins_interval_start_ms + JOIN_INTERVAL_MS {
            self.joins_interval_start_ms = now_ms;
            self.joins_in_interval = 0;
        }
        self.joins_in_interval += 1;
        self.joins_in_interval <= JOINS_PER_INTERVAL
    }
}

impl Node {
    /// Connects to a parent or to peers, nominates leaves and sends changed relay lists, as due.
    pub(crate) fn run_joining(&mut self) {
        if self.draining {
            return;
        }
        self.joining.avoid_until_ms.retain(|_, until_ms| *until_ms > self.now_ms);
        if self.roles.holds(Role::Leader) {
            self.joining.wants_parent = false;
        } else {
            self.joining.wants_parent = true;
            self.leave_worse_parent();
            self.connect_parent();
        }
        if self.acts_as_leader() {
            self.connect_peers();
        }
        self.nominate_leaves();
        self.send_relay_list();
    }

    /// Whether the parent is a relay of another region, which is only a temporary parent.
    pub(crate) fn is_parent_in_other_region(&self) -> bool {
        let parent = self.joining.joined_parent().and_then(|parent| self.links.get(&parent));
        let remote = parent.and_then(|link| link.remote.as_ref());
        remote.is_some_and(|remote| remote.region != self.local().region)
    }

    /// Closes the link to the parent if a better one is known: the region's leader for a relay, a
    /// closer relay for a leaf. A leaf with a parent in its region checks this only at intervals,
    /// see [`PARENT_REVIEW_MS`].
    fn leave_worse_parent(&mut self) {
        let Some(parent) = self.joining.joined_parent() else { return };
        let is_urgent = self.is_relay() || self.is_parent_in_other_region();
        if self.now_ms < self.joining.parent_review_due_ms && !is_urgent {
            return;
        }
        let jitter_ms = self.rng.next_u64() % PARENT_REVIEW_MS;
        self.joining.parent_review_due_ms = self.now_ms + PARENT_REVIEW_MS + jitter_ms;
        let remote = self.links.get(&parent).and_then(|link| link.remote.clone());
        if remote.is_some_and(|remote| self.has_better_parent(&remote)) {
            self.close_link(parent);
            self.joining.retry_due_ms = self.now_ms;
        }
    }

    /// Whether a better parent is known and may be tried now.
    fn has_better_parent(&self, parent: &DaemonInfo) -> bool {
        let may_try = |relay: &DaemonInfo| !self.joining.avoids(relay.addr, self.now_ms);
        if self.is_relay() {
            let leader = self.roles.region_leader().filter(may_try);
            return leader.is_some_and(|leader| leader.instance != parent.instance);
        }
        let relays = self.roles.live_relays();
        let mut relays = relays.iter().chain(&self.known_relays);
        relays.any(|relay| may_try(relay) && self.parent_rank(relay) < self.parent_rank(parent))
    }

    /// Opens a link to a parent if this daemon has none and the backoff is over.
    fn connect_parent(&mut self) {
        if self.joining.parent.is_some() || self.now_ms < self.joining.retry_due_ms {
            return;
        }
        // The backoff only grows with attempts that open a link. Without a candidate, no other
        // daemon is contacted, so the next tick may look again.
        let Some(addr) = self.choose_parent() else { return };
        let ceiling_ms = (RETRY_FIRST_MS << self.joining.attempts.min(7)).min(RETRY_MS_MAX);
        self.joining.attempts += 1;
        let pause_ms = RETRY_FIRST_MS / 2 + self.rng.next_u64() % ceiling_ms;
        self.joining.retry_due_ms = self.now_ms + pause_ms;
        self.joining.parent = Some(self.open_link(LinkKind::Parent, addr));
        self.joining.parent_joined = false;
    }

    /// Picks at random one of the candidates with the lowest rank.
    fn choose_parent(&mut self) -> Option<SocketAddr> {
        let candidates = self.parent_candidates();
        let best = candidates.iter().map(|(rank, _)| *rank).min()?;
        let best_candidates: Vec<SocketAddr> =
            candidates.into_iter().filter(|(rank, _)| *rank == best).map(|(_, a)| a).collect();
        let pick = self.rng.next_u64() as usize % best_candidates.len();
        Some(best_candidates[pick])
    }

    /// Addresses of possible parents with their rank. The lowest rank is preferred. For a relay,
    /// its leader has rank 0 and relays with smaller instance names have rank 1; for a leaf, see
    /// [`Self::parent_rank`].
    fn parent_candidates(&self) -> Vec<(u8, SocketAddr)> {
        let local = self.local();
        let mut candidates = Vec::new();
        if self.is_relay() {
            let leader = self.roles.region_leader();
            candidates.extend(leader.map(|leader| (0, leader.addr)));
            let smaller_named = self.roles.live_relays();
            let smaller_named =
                smaller_named.into_iter().filter(|relay| relay.instance < local.instance);
            candidates.extend(smaller_named.map(|relay| (1, relay.addr)));
        } else {
            for relay in self.roles.live_relays().iter().chain(&self.known_relays) {
                candidates.push((self.parent_rank(relay), relay.addr));
            }
            candidates.extend(self.settings.seeds.iter().map(|seed| (3, *seed)));
        }
        candidates
            .retain(|(_, addr)| *addr != local.addr && !self.joining.avoids(*addr, self.now_ms));
        candidates
    }

    /// Rank of a relay as the parent of a leaf: 0 in the same zone, 1 in the same region, 2 in
    /// another region. Seed addresses have rank 3.
    fn parent_rank(&self, relay: &DaemonInfo) -> u8 {
        match (relay.region == self.local().region, relay.zone == self.local().zone) {
            (true, true) => 0,
            (true, false) => 1,
            (false, _) => 2,
        }
    }

    /// Opens links to the leaders of other regions. Of two leaders, the one whose region name is
    /// smaller opens the link.
    fn connect_peers(&mut self) {
        for leader in self.roles.peer_leaders() {
            let is_linked = self.links.values().any(|link| {
                link.kind == LinkKind::Peer
                    && (link.addr == leader.addr || link.remote.as_ref() == Some(&leader))
            });
            if leader.region < self.local().region
                || is_linked
                || self.joining.avoids(leader.addr, self.now_ms)
            {
                continue;
            }
            self.open_link(LinkKind::Peer, leader.addr);
        }
    }

    /// Asks one leaf child in each zone with a vacant relay lease to claim that lease.
    fn nominate_leaves(&mut self) {
        if !self.is_relay() || self.now_ms < self.joining.nominate_due_ms {
            return;
        }
        self.joining.nominate_due_ms = self.now_ms + NOMINATE_MS;
        let mut leaves: BTreeMap<Arc<str>, Vec<LinkId>> = BTreeMap::new();
        for (id, link) in &self.links {
            let Some(remote) = link.remote.as_ref().filter(|_| link.is_joined(LinkKind::LeafChild))
            else {
                continue;
            };
            if remote.region == self.local().region {
                leaves.entry(remote.zone.clone()).or_default().push(*id);
            }
        }
        for (zone, leaves) in leaves {
            if self.roles.has_vacant_relay_lease(&zone) {
                let pick = self.rng.next_u64() as usize % leaves.len();
                self.send(leaves[pick], Message::Nominate);
            }
        }
    }

    /// Sends the list of the region's relays to the leaf children of this relay if the list has
    /// changed.
    fn send_relay_list(&mut self) {
        if !self.is_relay() {
            return;
        }
        let relays = self.relay_list().into_iter().collect();
        if self.known_relays == relays {
            return;
        }
        self.known_relays = relays;
        let list: Vec<DaemonInfo> = self.known_relays.iter().cloned().collect();
        for link in self.joined_links(|kind| kind == LinkKind::LeafChild) {
            self.send(link, Message::Relays(list.clone()));
        }
    }

    /// The relays known to this daemon, including itself if it is one.
    pub(crate) fn relay_list(&self) -> Vec<DaemonInfo> {
        if !self.is_relay() {
            return self.known_relays.iter().cloned().collect();
        }
        let mut relays = self.roles.live_relays();
        relays.push(self.local().clone());
        relays
    }

    /// Sends the hello on a link that this daemon opened.
    pub(crate) fn send_hello(&mut self, id: LinkId) {
        let is_relay = self.is_relay();
        let Some(link) = self.links.get_mut(&id) else { return };
        link.state = LinkState::Greeting;
        link.last_received_ms = self.now_ms;
        let purpose = link.purpose(is_relay);
        if matches!(purpose, Purpose::JoinAsLeaf | Purpose::JoinAsRelay) {
            self.renew_local_record();
        }
        let records = match purpose {
            Purpose::JoinAsLeaf | Purpose::JoinAsRelay => self.subtree_records(),
            Purpose::Peer | Purpose::Probe => Vec::new(),
        };
        if let Some(link) = self.links.get_mut(&id) {
            link.services = self.services.clone();
        }
        let hello = Hello {
            purpose,
            sender: self.local().clone(),
            version: self.log.version(),
            services: self.services.clone(),
            records,
        };
        self.send(id, Message::Hello(Box::new(hello)));
    }

    /// Handles the reply to a hello: the link is joined.
    pub(crate) fn receive_welcome(&mut self, id: LinkId, welcome: Welcome) {
        let now_ms = self.now_ms;
        let Some(link) = self.links.get_mut(&id) else { return };
        if link.state != LinkState::Greeting || link.kind == LinkKind::Unknown {
            return self.close_link(id);
        }
        let kind = link.kind;
        link.state = LinkState::Joined;
        link.remote = Some(welcome.sender.clone());
        link.remote_version = welcome.version;
        link.sent_version = welcome.version;
        link.heartbeat_due_ms = now_ms;
        self.newest_version = self.newest_version.max(welcome.version);
        self.minimum_version.add_reported_version(
            &welcome.sender.instance,
            welcome.version,
            now_ms,
        );
        match kind {
            LinkKind::Probe => {
                self.known_relays.extend(welcome.relays);
                self.close_link(id);
            }
            LinkKind::Peer => {
                self.event(Event::PeerJoined, format!("instance={}", welcome.sender.instance));
                self.send_all_records(id);
            }
            _ => self.after_parent_joined(id, &welcome),
        }
    }

    /// Updates the state after a parent has accepted this daemon. With a parent, a daemon has no
    /// links to peers, and a leaf has no children.
    fn after_parent_joined(&mut self, id: LinkId, welcome: &Welcome) {
        self.event(Event::ParentJoined, format!("instance={}", welcome.sender.instance));
        if !self.is_relay() {
            self.known_relays = welcome.relays.iter().cloned().collect();
        }
        self.joining.parent_joined = true;
        self.joining.orphaned_since_ms = None;
        self.joining.attempts = 0;
        self.subscribe_missing(id);
        for peer in self.joined_links(|kind| kind == LinkKind::Peer) {
            self.close_link(peer);
        }
        if !self.is_relay() {
            self.redirect_children();
        }
    }

    /// Handles a refused or ended join: stores the relay list from the message, and schedules the
    /// next join after a random pause.
    pub(crate) fn receive_redirect(
        &mut self,
        id: LinkId,
        relays: Vec<DaemonInfo>,
        retry_after_ms: u32,
    ) {
        let Some(link) = self.links.get(&id) else { return };
        let (addr, is_parent) = (link.addr, link.kind == LinkKind::Parent);
        if !self.is_relay() && !relays.is_empty() {
            self.known_relays = relays.into_iter().collect();
        }
        self.close_link(id);
        if !is_parent {
            return;
        }
        let pause_ms = u64::from(retry_after_ms).clamp(1, RETRY_MS_MAX);
        let jitter_ms = self.rng.next_u64() % pause_ms;
        // The daemon at this address may soon become a relay, so it is avoided for less time than
        // an address that failed.
        self.joining.avoid_until_ms.insert(addr, self.now_ms + 2 * pause_ms);
        let due_ms = self.now_ms + jitter_ms;
        self.joining.retry_due_ms = self.joining.retry_due_ms.max(due_ms);
    }

    /// Updates the state after a link was closed by either side.
    pub(crate) fn handle_lost_link(&mut self, id: LinkId, link: &Link) {
        let instance = link.remote.as_ref().map_or("-", |remote| &remote.instance);
        let detail = format!("instance={instance}");
        self.joining.avoid_until_ms.insert(link.addr, self.now_ms + AVOID_MS);
        if self.joining.parent == Some(id) {
            self.joining.parent = None;
            if self.joining.parent_joined {
                self.joining.parent_joined = false;
                self.joining.orphaned_since_ms = Some(self.now_ms);
                self.joining.retry_due_ms = self.now_ms + self.rng.next_u64() % RETRY_FIRST_MS;
                self.event(Event::ParentLost, detail);
                self.roles.poll_now(self.now_ms);
            }
            return;
        }
        match link.kind {
            LinkKind::LeafChild | LinkKind::RelayChild => {
                self.event(Event::ChildLost, detail);
                self.expire_child_records(id, link.kind);
            }
            LinkKind::Peer if link.state == LinkState::Joined => {
                self.event(Event::PeerLost, detail);
                self.expire_local_region_records(id);
            }
            _ => {}
        }
    }

    /// Called when the relay lease is claimed. Closes the link to the parent, because a relay joins
    /// the leader of its region and not the parent that it had as a leaf.
    pub(crate) fn become_relay(&mut self) {
        self.joining.attempts = 0;
        if let Some(parent) = self.joining.parent {
            self.close_link(parent);
        }
        self.joining.avoid_until_ms.clear();
        self.joining.retry_due_ms = self.now_ms;
        for service in self.services.clone() {
            self.output_endpoints(&service);
        }
    }

    /// Called when the leader lease is claimed. A leader has no parent.
    pub(crate) fn become_leader(&mut self) {
        if let Some(parent) = self.joining.parent {
            self.close_link(parent);
        }
        self.joining.wants_parent = false;
        self.expire_unconfirmed_records();
    }

    /// Called when the relay lease is lost.
    pub(crate) fn stop_relaying(&mut self) {
        self.redirect_children();
        self.stop_leading();
        self.known_relays = self.roles.live_relays().into_iter().collect();
    }

    /// Called when the leader lease or the relay lease is lost.
    pub(crate) fn stop_leading(&mut self) {
        self.joining.wants_parent = true;
        self.joining.orphaned_since_ms = Some(self.now_ms);
        self.joining.retry_due_ms = self.now_ms;
        let links = self.joined_links(|kind| matches!(kind, LinkKind::RelayChild | LinkKind::Peer));
        for link in links {
            self.close_link(link);
        }
    }
}
