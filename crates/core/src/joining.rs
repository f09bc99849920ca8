//! Finding a place in the tree: leaves join relays, relays join the leader, leaders join each other.
//!
//! A relay that no leader feeds joins a relay with a smaller instance name, or speaks for its region
//! itself, so that a region goes on when its leader is gone and the store is away. Since such joins
//! go only to smaller names, and a leader has no parent, there are no circles.

use crate::event::Event;
use crate::link::{Link, LinkId, LinkKind, LinkState};
use crate::message::{DaemonInfo, Hello, Message, Purpose, Welcome};
use crate::node::Node;
use crate::roles::Role;
use rand_core::RngCore;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// The first pause after a failed join is at most this long, in milliseconds.
const RETRY_FIRST_MS: u64 = 100;
/// The longest pause after failed joins, in milliseconds.
const RETRY_MAX_MS: u64 = 8_000;
/// How long an address that failed is passed over, in milliseconds.
const AVOID_MS: u64 = 5_000;
/// How long a daemon is without a parent before it reads the log itself, in milliseconds.
const ORPHAN_READ_AFTER_MS: u64 = 3_000;
/// How often a leaf that is fed from another zone looks for a relay of its own, in milliseconds.
const PARENT_REVIEW_MS: u64 = 10_000;
/// How often a relay looks whether to nominate a leaf for a vacant lease, in milliseconds.
const NOMINATE_MS: u64 = 3_000;
/// Joins that a relay takes in each interval, so that a herd is spread.
const JOINS_PER_INTERVAL: u32 = 25;
/// The interval that joins are counted in, in milliseconds.
const JOIN_INTERVAL_MS: u64 = 100;
/// The pause asked of a daemon that a relay has no room for, in milliseconds.
pub(crate) const REDIRECT_PAUSE_MS: u32 = 300;

/// Where this daemon stands in the tree.
#[derive(Debug)]
pub(crate) struct JoinState {
    parent: Option<LinkId>,
    parent_joined: bool,
    orphaned_since_ms: Option<u64>,
    attempts: u32,
    retry_due_ms: u64,
    parent_review_due_ms: u64,
    nominate_due_ms: u64,
    avoid_until_ms: BTreeMap<SocketAddr, u64>,
    joins_interval_start_ms: u64,
    joins_in_interval: u32,
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

    pub(crate) fn joined_parent(&self) -> Option<LinkId> {
        self.parent.filter(|_| self.parent_joined)
    }

    pub(crate) fn lacks_parent(&self) -> bool {
        self.wants_parent && !self.parent_joined
    }

    pub(crate) fn is_long_orphaned(&self, now_ms: u64) -> bool {
        self.orphaned_since_ms.is_some_and(|since_ms| now_ms >= since_ms + ORPHAN_READ_AFTER_MS)
    }

    fn avoids(&self, addr: SocketAddr, now_ms: u64) -> bool {
        self.avoid_until_ms.get(&addr).is_some_and(|until_ms| now_ms < *until_ms)
    }

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

    /// Whether this daemon is fed by a relay of another region, which it should leave soon.
    pub(crate) fn is_parent_in_other_region(&self) -> bool {
        let parent = self.joining.joined_parent().and_then(|parent| self.links.get(&parent));
        let remote = parent.and_then(|link| link.remote.as_ref());
        remote.is_some_and(|remote| remote.region != self.local().region)
    }

    /// A relay moves to the leader of its region, a leaf to a relay of its zone.
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

    fn has_better_parent(&self, parent: &DaemonInfo) -> bool {
        let may_try = |relay: &DaemonInfo| !self.joining.avoids(relay.addr, self.now_ms);
        if self.is_relay() {
            let leader = self.roles.region_leader().filter(may_try);
            return leader.is_some_and(|leader| leader.instance != parent.instance);
        }
        let relays = self.roles.live_relays();
        let mut relays = relays.iter().chain(&self.known_relays);
        relays.any(|relay| may_try(relay) && self.rank(relay) < self.rank(parent))
    }

    fn connect_parent(&mut self) {
        if self.joining.parent.is_some() || self.now_ms < self.joining.retry_due_ms {
            return;
        }
        // Only attempts make the pauses grow, since looking for an address costs others nothing.
        let Some(addr) = self.choose_parent() else { return };
        let ceiling_ms = (RETRY_FIRST_MS << self.joining.attempts.min(7)).min(RETRY_MAX_MS);
        self.joining.attempts += 1;
        let pause_ms = RETRY_FIRST_MS / 2 + self.rng.next_u64() % ceiling_ms;
        self.joining.retry_due_ms = self.now_ms + pause_ms;
        self.joining.parent = Some(self.open_link(LinkKind::Parent, addr));
        self.joining.parent_joined = false;
    }

    fn choose_parent(&mut self) -> Option<SocketAddr> {
        let candidates = self.parent_candidates();
        let best = candidates.iter().map(|(rank, _)| *rank).min()?;
        let of_best: Vec<SocketAddr> =
            candidates.into_iter().filter(|(rank, _)| *rank == best).map(|(_, a)| a).collect();
        let pick = self.rng.next_u64() as usize % of_best.len();
        Some(of_best[pick])
    }

    /// Addresses to join with a rank, the lowest first.
    fn parent_candidates(&self) -> Vec<(u8, SocketAddr)> {
        let local = self.local();
        let mut candidates = Vec::new();
        if self.is_relay() {
            let leader = self.roles.region_leader();
            candidates.extend(leader.map(|leader| (0, leader.addr)));
            let smaller = self.roles.live_relays();
            let smaller = smaller.into_iter().filter(|relay| relay.instance < local.instance);
            candidates.extend(smaller.map(|relay| (1, relay.addr)));
        } else {
            for relay in self.roles.live_relays().iter().chain(&self.known_relays) {
                candidates.push((self.rank(relay), relay.addr));
            }
            candidates.extend(self.settings.seeds.iter().map(|seed| (3, *seed)));
        }
        candidates
            .retain(|(_, addr)| *addr != local.addr && !self.joining.avoids(*addr, self.now_ms));
        candidates
    }

    fn rank(&self, relay: &DaemonInfo) -> u8 {
        match (relay.region == self.local().region, relay.zone == self.local().zone) {
            (true, true) => 0,
            (true, false) => 1,
            (false, _) => 2,
        }
    }

    /// Of two leaders, the one with the smaller region name opens the link.
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

    /// Asks one leaf of each zone that lacks a relay to become one.
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
            if self.roles.has_vacant_slot(&zone) {
                let pick = self.rng.next_u64() as usize % leaves.len();
                self.send(leaves[pick], Message::Nominate);
            }
        }
    }

    /// Tells leaves of the region's relays when these change.
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

    pub(crate) fn relay_list(&self) -> Vec<DaemonInfo> {
        if !self.is_relay() {
            return self.known_relays.iter().cloned().collect();
        }
        let mut relays = self.roles.live_relays();
        relays.push(self.local().clone());
        relays
    }

    /// Says hello on a link that this daemon opened.
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
        self.floor.hear(&welcome.sender.instance, welcome.version, now_ms);
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
            self.release_children();
        }
    }

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
        let pause_ms = u64::from(retry_after_ms).clamp(1, RETRY_MAX_MS);
        let jitter_ms = self.rng.next_u64() % pause_ms;
        // It may become a relay soon, so it is passed over for less long than one that failed.
        self.joining.avoid_until_ms.insert(addr, self.now_ms + 2 * pause_ms);
        let due_ms = self.now_ms + jitter_ms;
        self.joining.retry_due_ms = self.joining.retry_due_ms.max(due_ms);
    }

    /// Notes that a link is gone, whoever gave it up.
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
                self.expire_returning_records(id);
            }
            _ => {}
        }
    }

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

    pub(crate) fn become_leader(&mut self) {
        if let Some(parent) = self.joining.parent {
            self.close_link(parent);
        }
        self.joining.wants_parent = false;
        self.expire_unconfirmed_records();
    }

    pub(crate) fn stop_relaying(&mut self) {
        self.release_children();
        self.stop_leading();
        self.known_relays = self.roles.live_relays().into_iter().collect();
    }

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
