//! Finding a place in the tree: leaves join relays, relays join the lead, leads join each other.
//!
//! A relay that no lead feeds joins a relay with a smaller instance name, or speaks for its region
//! itself, so that a region goes on when its lead is gone and the store is away. Since such joins
//! go only to smaller names, and a lead has no parent, there are no circles.

use crate::event::Event;
use crate::link::{Link, LinkId, LinkKind, LinkState};
use crate::message::{Hello, Message, Purpose, RelayInfo, Welcome};
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
const LONG_ORPHANED_MS: u64 = 3_000;
/// How often a leaf that is fed from another zone looks for a relay of its own, in milliseconds.
const REHOME_MS: u64 = 10_000;
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
pub(crate) struct Joining {
    parent: Option<LinkId>,
    joined: bool,
    orphan_since_ms: Option<u64>,
    attempts: u32,
    retry_due_ms: u64,
    rehome_due_ms: u64,
    nominate_due_ms: u64,
    avoid_until_ms: BTreeMap<SocketAddr, u64>,
    joins_interval_ms: u64,
    joins_taken: u32,
    wants_parent: bool,
}

impl Joining {
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            parent: None,
            joined: false,
            orphan_since_ms: Some(now_ms),
            attempts: 0,
            retry_due_ms: now_ms,
            rehome_due_ms: now_ms + REHOME_MS,
            nominate_due_ms: now_ms + NOMINATE_MS,
            avoid_until_ms: BTreeMap::new(),
            joins_interval_ms: 0,
            joins_taken: 0,
            wants_parent: true,
        }
    }

    pub(crate) fn joined_parent(&self) -> Option<LinkId> {
        self.parent.filter(|_| self.joined)
    }

    pub(crate) fn looks_for_relays(&self) -> bool {
        self.wants_parent && !self.joined
    }

    pub(crate) fn is_long_orphaned(&self, now_ms: u64) -> bool {
        self.orphan_since_ms.is_some_and(|since_ms| now_ms >= since_ms + LONG_ORPHANED_MS)
    }

    fn is_avoided(&self, addr: SocketAddr, now_ms: u64) -> bool {
        self.avoid_until_ms.get(&addr).is_some_and(|until_ms| now_ms < *until_ms)
    }

    pub(crate) fn take_join(&mut self, now_ms: u64) -> bool {
        if now_ms >= self.joins_interval_ms + JOIN_INTERVAL_MS {
            self.joins_interval_ms = now_ms;
            self.joins_taken = 0;
        }
        self.joins_taken += 1;
        self.joins_taken <= JOINS_PER_INTERVAL
    }
}

impl Node {
    pub(crate) fn run_joining(&mut self) {
        if self.leaving {
            return;
        }
        self.joining.avoid_until_ms.retain(|_, until_ms| *until_ms > self.now_ms);
        if self.roles.holds(Role::Lead) {
            self.joining.wants_parent = false;
        } else {
            self.joining.wants_parent = true;
            self.leave_wrong_parent();
            self.seek_parent();
        }
        if self.is_lead() {
            self.seek_peers();
        }
        self.nominate_leaves();
        self.share_relays();
    }

    /// Whether this daemon is fed by a relay of another region, which it should leave soon.
    pub(crate) fn is_abroad(&self) -> bool {
        let parent = self.joining.joined_parent().and_then(|parent| self.links.get(&parent));
        let remote = parent.and_then(|link| link.remote.as_ref());
        remote.is_some_and(|remote| remote.region != self.own().region)
    }

    /// A relay moves to the lead of its region, a leaf to a relay of its zone.
    fn leave_wrong_parent(&mut self) {
        let Some(parent) = self.joining.joined_parent() else { return };
        let is_urgent = self.is_relay() || self.is_abroad();
        if self.now_ms < self.joining.rehome_due_ms && !is_urgent {
            return;
        }
        let jitter_ms = self.rng.next_u64() % REHOME_MS;
        self.joining.rehome_due_ms = self.now_ms + REHOME_MS + jitter_ms;
        let remote = self.links.get(&parent).and_then(|link| link.remote.clone());
        if remote.is_some_and(|remote| self.knows_better_parent(&remote)) {
            self.close_link(parent);
            self.joining.retry_due_ms = self.now_ms;
        }
    }

    fn knows_better_parent(&self, parent: &RelayInfo) -> bool {
        let may_try = |relay: &RelayInfo| !self.joining.is_avoided(relay.addr, self.now_ms);
        if self.is_relay() {
            let lead = self.roles.live_lead().filter(may_try);
            return lead.is_some_and(|lead| lead.instance != parent.instance);
        }
        let relays = self.roles.live_relays();
        let mut relays = relays.iter().chain(&self.known_relays);
        relays.any(|relay| may_try(relay) && self.rank(relay) < self.rank(parent))
    }

    fn seek_parent(&mut self) {
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
        self.joining.joined = false;
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
        let own = self.own();
        let mut candidates = Vec::new();
        if self.is_relay() {
            let lead = self.roles.live_lead();
            candidates.extend(lead.map(|lead| (0, lead.addr)));
            let smaller = self.roles.live_relays();
            let smaller = smaller.into_iter().filter(|relay| relay.instance < own.instance);
            candidates.extend(smaller.map(|relay| (1, relay.addr)));
        } else {
            for relay in self.roles.live_relays().iter().chain(&self.known_relays) {
                candidates.push((self.rank(relay), relay.addr));
            }
            candidates.extend(self.settings.seeds.iter().map(|seed| (3, *seed)));
        }
        candidates
            .retain(|(_, addr)| *addr != own.addr && !self.joining.is_avoided(*addr, self.now_ms));
        candidates
    }

    fn rank(&self, relay: &RelayInfo) -> u8 {
        match (relay.region == self.own().region, relay.zone == self.own().zone) {
            (true, true) => 0,
            (true, false) => 1,
            (false, _) => 2,
        }
    }

    /// Of two leads, the one with the smaller region name opens the link.
    fn seek_peers(&mut self) {
        for lead in self.roles.live_peers() {
            let is_linked = self.links.values().any(|link| {
                link.kind == LinkKind::Peer
                    && (link.addr == lead.addr || link.remote.as_ref() == Some(&lead))
            });
            if lead.region < self.own().region
                || is_linked
                || self.joining.is_avoided(lead.addr, self.now_ms)
            {
                continue;
            }
            self.open_link(LinkKind::Peer, lead.addr);
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
            if remote.region == self.own().region {
                leaves.entry(remote.zone.clone()).or_default().push(*id);
            }
        }
        for (zone, leaves) in leaves {
            if self.roles.has_vacancy(&zone) {
                let pick = self.rng.next_u64() as usize % leaves.len();
                self.send(leaves[pick], Message::Nominate);
            }
        }
    }

    /// Tells leaves of the region's relays when these change.
    fn share_relays(&mut self) {
        if !self.is_relay() {
            return;
        }
        let relays = self.relay_list().into_iter().collect();
        if self.known_relays == relays {
            return;
        }
        self.known_relays = relays;
        let list: Vec<RelayInfo> = self.known_relays.iter().cloned().collect();
        for link in self.joined_links(|kind| kind == LinkKind::LeafChild) {
            self.send(link, Message::Relays(list.clone()));
        }
    }

    pub(crate) fn relay_list(&self) -> Vec<RelayInfo> {
        if !self.is_relay() {
            return self.known_relays.iter().cloned().collect();
        }
        let mut relays = self.roles.live_relays();
        relays.push(self.own().clone());
        relays
    }

    /// Says hello on a link that this daemon opened.
    pub(crate) fn greet(&mut self, id: LinkId) {
        let is_relay = self.is_relay();
        let Some(link) = self.links.get_mut(&id) else { return };
        link.state = LinkState::Greeting;
        link.heard_ms = self.now_ms;
        let purpose = link.purpose(is_relay);
        if matches!(purpose, Purpose::JoinAsLeaf | Purpose::JoinAsRelay) {
            self.renew_own_record();
        }
        let records = match purpose {
            Purpose::JoinAsLeaf | Purpose::JoinAsRelay => self.records_answered_for(),
            Purpose::Peer | Purpose::Probe => Vec::new(),
        };
        if let Some(link) = self.links.get_mut(&id) {
            link.services = self.services.clone();
        }
        let hello = Hello {
            purpose,
            sender: self.own().clone(),
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
        self.minimum_version.receive_peer_version(
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
            _ => self.joined_parent(id, &welcome),
        }
    }

    fn joined_parent(&mut self, id: LinkId, welcome: &Welcome) {
        self.event(Event::ParentJoined, format!("instance={}", welcome.sender.instance));
        if !self.is_relay() {
            self.known_relays = welcome.relays.iter().cloned().collect();
        }
        self.joining.joined = true;
        self.joining.orphan_since_ms = None;
        self.joining.attempts = 0;
        self.subscribe_missed(id);
        for peer in self.joined_links(|kind| kind == LinkKind::Peer) {
            self.close_link(peer);
        }
        if !self.is_relay() {
            self.redirect_children();
        }
    }

    pub(crate) fn receive_redirect(
        &mut self,
        id: LinkId,
        relays: Vec<RelayInfo>,
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
    pub(crate) fn after_link_lost(&mut self, id: LinkId, link: &Link) {
        let instance = link.remote.as_ref().map_or("-", |remote| &remote.instance);
        let detail = format!("instance={instance}");
        self.joining.avoid_until_ms.insert(link.addr, self.now_ms + AVOID_MS);
        if self.joining.parent == Some(id) {
            self.joining.parent = None;
            if self.joining.joined {
                self.joining.joined = false;
                self.joining.orphan_since_ms = Some(self.now_ms);
                self.joining.retry_due_ms = self.now_ms + self.rng.next_u64() % RETRY_FIRST_MS;
                self.event(Event::ParentLost, detail);
                self.roles.look_now(self.now_ms);
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
                self.expire_guest_records(id);
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

    pub(crate) fn become_lead(&mut self) {
        if let Some(parent) = self.joining.parent {
            self.close_link(parent);
        }
        self.joining.wants_parent = false;
        self.expire_unreported_records();
    }

    pub(crate) fn stop_relaying(&mut self) {
        self.redirect_children();
        self.stop_leading();
        self.known_relays = self.roles.live_relays().into_iter().collect();
    }

    pub(crate) fn stop_leading(&mut self) {
        self.joining.wants_parent = true;
        self.joining.orphan_since_ms = Some(self.now_ms);
        self.joining.retry_due_ms = self.now_ms;
        let links = self.joined_links(|kind| matches!(kind, LinkKind::RelayChild | LinkKind::Peer));
        for link in links {
            self.close_link(link);
        }
    }
}
