//! Distribution of endpoint records through the tree: up from each daemon to its parent, across
//! between leaders, and down to the daemons that route to a service.
//!
//! The subtree of a daemon is the daemon itself and everything below its children.

use crate::endpoint::{Endpoint, TargetState};
use crate::event::Event;
use crate::link::{LinkId, LinkKind};
use crate::membership::{Entry, LEAF_GRACE_MS, Origin, RELAY_GRACE_MS, scope_contains};
use crate::message::{Message, Scope};
use crate::node::{Node, Output, TargetReport};
use crate::roles::Role;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum number of services that one leaf may subscribe to.
const LEAF_SERVICES_MAX: usize = 256;

impl Node {
    /// Announces a new state of the local target in this daemon's record.
    pub(crate) fn handle_target_report(&mut self, report: TargetReport) {
        let sequence =
            self.local_record.as_ref().map_or(1, |record| record.sequence.saturating_add(1));
        let local = self.local();
        let record = Endpoint {
            instance: local.instance.clone(),
            sequence,
            service: report.service,
            state: report.state,
            region: local.region.clone(),
            zone: local.zone.clone(),
            addr: local.addr,
            slots: report.slots,
            gone: false,
        };
        let event = match report.state {
            TargetState::Lapsed => Event::TargetLapsed,
            _ => Event::TargetAnnounced,
        };
        self.event(event, format!("service={} state={}", record.service, record.state));
        self.set_local_record(record);
        self.run_records();
    }

    /// Stores the record of this daemon.
    fn set_local_record(&mut self, record: Endpoint) {
        self.membership.merge(record.clone(), Origin::Local, self.now_ms);
        self.local_record = Some(record);
    }

    /// Raises the sequence of this daemon's record, so that it supersedes any copy marked as gone.
    pub(crate) fn renew_local_record(&mut self) {
        let Some(mut record) = self.local_record.clone() else { return };
        record.sequence = record.sequence.saturating_add(1);
        self.set_local_record(record);
    }

    /// The records of this daemon's subtree, which it reports to its parent.
    pub(crate) fn subtree_records(&self) -> Vec<Endpoint> {
        let origins: BTreeSet<Origin> = self.subtree_origins().collect();
        self.membership
            .entries()
            .filter(|entry| origins.contains(&entry.origin) && !entry.record.gone)
            .map(|entry| entry.record.clone())
            .collect()
    }

    /// The origins of the records of this daemon's subtree.
    fn subtree_origins(&self) -> impl Iterator<Item = Origin> {
        let children = self.joined_links(LinkKind::is_child).into_iter().map(Origin::Link);
        std::iter::once(Origin::Local).chain(children)
    }

    /// The scope of this daemon's region.
    fn local_region_scope(&self) -> Scope {
        Scope::Region(self.local().region.clone())
    }

    /// The records that this daemon reports to other leaders: those of its region, and those of
    /// daemons from other regions in its subtree.
    fn records_for_peer(&self) -> Vec<Endpoint> {
        let mut records = self.membership.in_scope(&self.local_region_scope());
        let region = &self.local().region;
        let subtree_records = self.subtree_records();
        records.extend(subtree_records.into_iter().filter(|record| record.region != *region));
        records
    }

    /// The scope of the records that are sent to a child.
    fn scope_for(&self, id: LinkId) -> Option<Scope> {
        let link = self.links.get(&id)?;
        match link.kind {
            LinkKind::LeafChild => Some(Scope::Services(link.services.clone())),
            LinkKind::RelayChild => Some(Scope::All),
            _ => None,
        }
    }

    /// The digest of the records that the other side should have from this daemon. Between peers it
    /// covers only the records of the sender's region.
    pub(crate) fn sent_records_digest(&self, id: LinkId) -> u64 {
        match self.links.get(&id).map(|link| link.kind) {
            Some(LinkKind::Parent) => self.membership.digest_by_origin(self.subtree_origins()),
            Some(LinkKind::Peer) => self.membership.digest_of(&self.local_region_scope()),
            Some(_) => self.scope_for(id).map_or(0, |scope| self.membership.digest_of(&scope)),
            None => 0,
        }
    }

    /// The digest of the records that this daemon has from the other side.
    pub(crate) fn received_records_digest(&self, id: LinkId) -> u64 {
        let Some(link) = self.links.get(&id) else { return 0 };
        match link.kind {
            LinkKind::LeafChild | LinkKind::RelayChild => {
                self.membership.digest_by_origin(std::iter::once(Origin::Link(id)))
            }
            LinkKind::Peer => link.remote.as_ref().map_or(0, |remote| {
                self.membership.digest_of(&Scope::Region(remote.region.clone()))
            }),
            LinkKind::Parent if self.is_relay() => self.membership.digest_of(&Scope::All),
            LinkKind::Parent => self.membership.digest_of(&Scope::Services(self.services.clone())),
            _ => 0,
        }
    }

    /// Sends all records that the other side should have from this daemon.
    pub(crate) fn send_all_records(&mut self, id: LinkId) {
        let Some(link) = self.links.get(&id) else { return };
        // To a peer, only the holder of the leader lease sends a full batch: a relay that acts as
        // leader without it might not know all records of its region.
        let full = link.kind != LinkKind::Peer || self.roles.holds(Role::Leader);
        let (scope, records) = match link.kind {
            LinkKind::Parent => (Scope::All, self.subtree_records()),
            LinkKind::Peer => (self.local_region_scope(), self.records_for_peer()),
            _ => {
                let Some(scope) = self.scope_for(id) else { return };
                let records = self.membership.in_scope(&scope);
                (scope, records)
            }
        };
        self.send(id, Message::Records { scope, full, records });
    }

    /// Adds services to the subscription of a leaf and sends their records. A subscription that
    /// would exceed `LEAF_SERVICES_MAX` is ignored.
    pub(crate) fn receive_subscribe(&mut self, id: LinkId, services: BTreeSet<Arc<str>>) {
        let Some(link) = self.links.get_mut(&id) else { return };
        if link.kind != LinkKind::LeafChild
            || link.services.len() + services.len() > LEAF_SERVICES_MAX
        {
            return;
        }
        link.services.extend(services.iter().cloned());
        let scope = Scope::Services(services);
        let records = self.membership.in_scope(&scope);
        self.send(id, Message::Records { scope, full: true, records });
    }

    /// Subscribes to the records of a service for the data plane of this daemon.
    pub(crate) fn subscribe(&mut self, service: Arc<str>) {
        if !self.services.insert(service.clone()) {
            return self.output_endpoints(&service);
        }
        if let Some(parent) = self.joining.joined_parent()
            && !self.is_relay()
        {
            let services = [service.clone()].into_iter().collect();
            self.send(parent, Message::Subscribe { services });
        }
        self.output_endpoints(&service);
    }

    /// Subscribes to the services that were added after the hello to a new parent was sent.
    pub(crate) fn subscribe_missing(&mut self, parent: LinkId) {
        let Some(link) = self.links.get(&parent) else { return };
        let services: BTreeSet<Arc<str>> =
            self.services.difference(&link.services).cloned().collect();
        if !services.is_empty() && !self.is_relay() {
            self.send(parent, Message::Subscribe { services });
        }
    }

    /// Outputs the records of a service for the data plane, once all of them are known.
    pub(crate) fn output_endpoints(&mut self, service: &Arc<str>) {
        if !self.services.contains(service) || !self.has_complete_service(service) {
            return;
        }
        let entries = self.membership.of_service(service).cloned().collect();
        self.output(Output::Endpoints { service: service.clone(), entries });
    }

    /// Handles the records in the hello of a child.
    pub(crate) fn receive_child_records(&mut self, id: LinkId, records: Vec<Endpoint>) {
        self.receive_records(id, &Scope::All, true, records);
    }

    /// Handles a batch of records. If it is full, records that it lacks are marked as gone or set
    /// to expire, see [`Self::retire_unreported`].
    pub(crate) fn receive_records(
        &mut self,
        id: LinkId,
        scope: &Scope,
        full: bool,
        records: Vec<Endpoint>,
    ) {
        let Some(link) = self.links.get(&id) else { return };
        let kind = link.kind;
        let reported: BTreeSet<Arc<str>> =
            records.iter().map(|record| record.instance.clone()).collect();
        for record in records {
            self.merge_record(id, kind, record);
        }
        if full {
            self.retire_unreported(id, kind, scope, &reported);
        }
        if kind == LinkKind::Parent && full {
            self.mark_services_complete(scope);
        }
        self.run_records();
    }

    /// Stores a received record if it supersedes the stored one. If the stored record is marked as
    /// gone and the received one is not, the sender is sent the mark, so that a wrong mark reaches
    /// the daemon concerned, which can refute it.
    fn merge_record(&mut self, id: LinkId, kind: LinkKind, record: Endpoint) {
        if record.instance == self.local().instance {
            return self.reassert_local_record(&record);
        }
        let held = self.membership.get(&record.instance).cloned();
        if let Some(held) = held
            && !record.supersedes(&held.record)
        {
            if held.record.gone && !record.gone {
                let records = vec![held.record];
                self.send(id, Message::Records { scope: Scope::All, full: false, records });
            } else if held.record == record && (kind.is_child() || !self.in_subtree(&held)) {
                self.membership.confirm(&record, Origin::Link(id));
            }
            return;
        }
        let origin = self.origin_after_merge(id, kind, &record);
        self.membership.merge(record, origin, self.now_ms);
    }

    /// Whether a record is of this daemon or was received from a child.
    fn in_subtree(&self, entry: &Entry) -> bool {
        match entry.origin {
            Origin::Local => true,
            Origin::Link(link) => self.links.get(&link).is_some_and(|link| link.kind.is_child()),
        }
    }

    /// The origin of a received record. If a parent or peer marks a daemon of this subtree as gone,
    /// the origin stays, so that the daemon can refute the mark.
    fn origin_after_merge(&self, id: LinkId, kind: LinkKind, record: &Endpoint) -> Origin {
        match self.membership.get(&record.instance) {
            Some(held) if record.gone && !kind.is_child() && self.in_subtree(held) => held.origin,
            _ => Origin::Link(id),
        }
    }

    /// Handles a copy of this daemon's record that another daemon sent. If the copy is not older
    /// and marked as gone, or has a higher sequence than this daemon has used, this daemon
    /// publishes its record again with a still higher sequence.
    fn reassert_local_record(&mut self, record: &Endpoint) {
        let Some(mut local) = self.local_record.clone() else { return };
        if (record.gone && record.sequence >= local.sequence) || record.sequence > local.sequence {
            local.sequence = record.sequence.saturating_add(1);
            self.set_local_record(local);
        }
    }

    /// Handles the records that a full batch should have contained but did not. If the batch is
    /// from a child, the records received from that child expire after a grace period. If it is
    /// from a parent or peer, the records in its scope are marked as gone at once, unless they
    /// belong to this daemon's subtree.
    fn retire_unreported(
        &mut self,
        id: LinkId,
        kind: LinkKind,
        scope: &Scope,
        reported: &BTreeSet<Arc<str>>,
    ) {
        let children: BTreeSet<Origin> =
            self.joined_links(LinkKind::is_child).into_iter().map(Origin::Link).collect();
        let now_ms = self.now_ms;
        match kind {
            LinkKind::LeafChild | LinkKind::RelayChild => {
                let expires_ms = now_ms + LEAF_GRACE_MS;
                self.membership.set_expiry_where(expires_ms, |entry| {
                    entry.origin == Origin::Link(id) && !reported.contains(&entry.record.instance)
                });
            }
            LinkKind::Parent | LinkKind::Peer => {
                let gone = self.membership.mark_gone_where(now_ms, |entry| {
                    entry.origin != Origin::Local
                        && !children.contains(&entry.origin)
                        && scope_contains(scope, &entry.record)
                        && !reported.contains(&entry.record.instance)
                });
                self.log_gone(&gone);
            }
            _ => {}
        }
    }

    /// Marks the services covered by a full batch of the parent as complete, and outputs their
    /// endpoints.
    fn mark_services_complete(&mut self, scope: &Scope) {
        let covered: Vec<Arc<str>> = match scope {
            Scope::Services(services) => services.iter().cloned().collect(),
            Scope::All => self.services.iter().cloned().collect(),
            Scope::Region(_) => Vec::new(),
        };
        for service in covered {
            if self.services.contains(&service) {
                self.complete_services.insert(service.clone());
                self.output_endpoints(&service);
            }
        }
    }

    /// Handles the message of a daemon that stops. The record of a leaf is marked as gone at once.
    /// The records received from a relay child expire after the grace period of a lost link,
    /// because its children can join another relay.
    pub(crate) fn receive_stopping(&mut self, id: LinkId) {
        let is_leaf = self.links.get(&id).is_some_and(|link| link.kind == LinkKind::LeafChild);
        if is_leaf {
            let now_ms = self.now_ms;
            let gone = self.membership.mark_gone_where(now_ms, |e| e.origin == Origin::Link(id));
            self.log_gone(&gone);
        }
        self.close_link(id);
    }

    /// After the link to a child is lost, lets the records received from it expire unless they are
    /// reported again.
    pub(crate) fn expire_child_records(&mut self, id: LinkId, kind: LinkKind) {
        let grace_ms = match kind {
            LinkKind::RelayChild => RELAY_GRACE_MS,
            _ => LEAF_GRACE_MS,
        };
        let expires_ms = self.now_ms + grace_ms;
        self.membership.set_expiry_where(expires_ms, |entry| entry.origin == Origin::Link(id));
    }

    /// After the link to a peer is lost, lets the records of this region that were received from it
    /// expire unless they are reported again. They belong to daemons that had joined a relay of the
    /// peer's region.
    pub(crate) fn expire_local_region_records(&mut self, id: LinkId) {
        let expires_ms = self.now_ms + RELAY_GRACE_MS;
        let region = self.local().region.clone();
        self.membership.set_expiry_where(expires_ms, |entry| {
            entry.origin == Origin::Link(id) && entry.record.region == region
        });
    }

    /// On a new leader, lets the records of its region from outside its subtree expire unless
    /// relays report them in time.
    pub(crate) fn expire_unconfirmed_records(&mut self) {
        let below: BTreeSet<Origin> = self.subtree_origins().collect();
        let region = self.local().region.clone();
        let expires_ms = self.now_ms + RELAY_GRACE_MS;
        self.membership.set_expiry_where(expires_ms, |entry| {
            entry.record.region == region && !below.contains(&entry.origin)
        });
    }

    /// Logs an event for each record newly marked as gone.
    fn log_gone(&mut self, instances: &[Arc<str>]) {
        for instance in instances {
            self.event(Event::EndpointGone, format!("instance={instance}"));
        }
    }

    /// Expires records, and sends the changed ones on the links that need them.
    pub(crate) fn run_records(&mut self) {
        let expired = self.membership.tick(self.now_ms);
        self.log_gone(&expired);
        let changed = self.membership.take_changed();
        if changed.is_empty() {
            return;
        }
        let below: BTreeSet<Origin> = self.subtree_origins().collect();
        let mut batches: BTreeMap<LinkId, Vec<Endpoint>> = BTreeMap::new();
        for (id, link) in &self.links {
            if link.state != crate::link::LinkState::Joined {
                continue;
            }
            let batch: Vec<Endpoint> = changed
                .iter()
                .filter(|entry| self.is_for_link(*id, link.kind, entry, &below))
                .map(|entry| entry.record.clone())
                .collect();
            if !batch.is_empty() {
                batches.insert(*id, batch);
            }
        }
        for (id, records) in batches {
            let scope = Scope::All;
            self.send(id, Message::Records { scope, full: false, records });
        }
        let services: BTreeSet<Arc<str>> =
            changed.iter().map(|entry| entry.record.service.clone()).collect();
        for service in services {
            self.output_endpoints(&service);
        }
    }

    /// Whether a changed record is sent on a link. A daemon is always sent its record if that is
    /// marked as gone, so that it can refute the mark. Otherwise a record is not sent back on the
    /// link from which it was received, except to a child if it is marked as gone. `below` are the
    /// origins of the records of this daemon's subtree.
    fn is_for_link(
        &self,
        id: LinkId,
        kind: LinkKind,
        entry: &Entry,
        below: &BTreeSet<Origin>,
    ) -> bool {
        let link = &self.links[&id];
        let describes_remote =
            link.remote.as_ref().is_some_and(|remote| remote.instance == entry.record.instance);
        if describes_remote && entry.record.gone {
            return true;
        }
        if entry.origin == Origin::Link(id) && !(kind.is_child() && entry.record.gone) {
            return false;
        }
        match kind {
            LinkKind::Parent | LinkKind::Peer => entry.record.gone || below.contains(&entry.origin),
            LinkKind::LeafChild => link.services.contains(&entry.record.service),
            LinkKind::RelayChild => true,
            _ => false,
        }
    }
}
