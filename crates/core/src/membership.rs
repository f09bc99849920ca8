//! The table of endpoint records, built only from the records that daemons announce.
//!
//! Each record has one writer, the daemon that it describes. Other daemons only set the mark `gone`
//! when a daemon stops responding; it refutes the mark by announcing a higher sequence, as in SWIM
//! (Das, Gupta, Motivala, 2002). See `docs/MEMBERSHIP.md`.

use crate::endpoint::Endpoint;
use crate::link::LinkId;
use crate::message::Scope;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Time that a leaf has to join another relay after its link is lost, in milliseconds. Then its
/// record is marked as gone. Also the time until a record that a child no longer reports is marked
/// as gone.
pub const LEAF_GRACE_MS: u64 = 4_000;
/// Time that the daemons below a relay have to be reported elsewhere after the relay's link is
/// lost, in milliseconds.
pub const RELAY_GRACE_MS: u64 = 8_000;
/// How long records marked as gone (tombstones) are kept, in milliseconds.
pub const TOMBSTONE_KEPT_MS: u64 = 600_000;

/// Where a record was received from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Origin {
    /// The record of this daemon.
    Local,
    /// Received on a link, which is not necessarily a link to the daemon that it describes.
    Link(LinkId),
}

/// A record with its local metadata.
#[derive(Clone, Debug)]
pub struct Entry {
    pub record: Endpoint,
    pub origin: Origin,
    /// When the record is marked as gone unless it is reported again.
    pub expires_ms: Option<u64>,
    /// When this daemon first saw the record marked as gone.
    pub gone_since_ms: Option<u64>,
    /// When this daemon first saw the record in its current state.
    pub state_since_ms: u64,
}

/// Digests of sets of records: sums of record hashes, updated with each change. Records marked as
/// gone do not count.
#[derive(Clone, Debug, Default)]
struct Digests {
    all: u64,
    by_service: BTreeMap<Arc<str>, u64>,
    by_region: BTreeMap<Arc<str>, u64>,
    by_origin: BTreeMap<Origin, u64>,
}

impl Digests {
    /// Adds the hash of a record (`PLUS`) or subtracts it (`MINUS`).
    fn add(&mut self, entry: &Entry, sign: u64) {
        if entry.record.gone {
            return;
        }
        let change = entry.record.hash().wrapping_mul(sign);
        self.all = self.all.wrapping_add(change);
        let record = &entry.record;
        for sum in [
            self.by_service.entry(record.service.clone()).or_default(),
            self.by_region.entry(record.region.clone()).or_default(),
            self.by_origin.entry(entry.origin).or_default(),
        ] {
            *sum = sum.wrapping_add(change);
        }
    }
}

/// Factor that adds a hash.
const PLUS: u64 = 1;
/// Factor that subtracts a hash: -1 modulo 2^64.
const MINUS: u64 = u64::MAX;

/// All endpoint records known to a daemon, by instance.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    entries: BTreeMap<Arc<str>, Entry>,
    by_service: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
    /// Instances whose entries have `expires_ms`, so that a tick only visits those.
    expiring: BTreeSet<Arc<str>>,
    /// Instances marked as gone.
    gone: BTreeSet<Arc<str>>,
    /// Instances whose records changed since [`Membership::take_changed`].
    changed: BTreeSet<Arc<str>>,
    digests: Digests,
}

impl Membership {
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    pub fn get(&self, instance: &str) -> Option<&Entry> {
        self.entries.get(instance)
    }

    /// The entries of a service, including those marked as gone.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Entry> {
        let instances = self.by_service.get(service).into_iter().flatten();
        instances.filter_map(|instance| self.entries.get(instance))
    }

    /// Stores a record if it supersedes the stored one. Returns whether it did.
    pub fn merge(&mut self, record: Endpoint, origin: Origin, now_ms: u64) -> bool {
        let held = self.entries.get(&record.instance);
        if let Some(held) = held
            && !record.supersedes(&held.record)
        {
            return false;
        }
        let state_since_ms = match held {
            Some(held) if held.record.state == record.state && !record.gone => held.state_since_ms,
            _ => now_ms,
        };
        let gone_since_ms = record.gone.then_some(now_ms);
        self.put(Entry { record, origin, expires_ms: None, gone_since_ms, state_since_ms });
        true
    }

    /// Records that an identical record was reported again: it now belongs to this origin and no
    /// longer expires.
    pub fn confirm(&mut self, record: &Endpoint, origin: Origin) {
        let Some(held) = self.entries.get(&record.instance) else { return };
        if held.record != *record || (held.origin == origin && held.expires_ms.is_none()) {
            return;
        }
        let mut entry = held.clone();
        entry.origin = origin;
        entry.expires_ms = None;
        self.replace(entry);
    }

    /// Replaces an entry and lists its record as changed.
    fn put(&mut self, entry: Entry) {
        self.changed.insert(entry.record.instance.clone());
        self.replace(entry);
    }

    /// Replaces an entry and updates the indexes and digests.
    fn replace(&mut self, entry: Entry) {
        let instance = entry.record.instance.clone();
        self.remove(&instance);
        self.digests.add(&entry, PLUS);
        let service = entry.record.service.clone();
        self.by_service.entry(service).or_default().insert(instance.clone());
        if entry.expires_ms.is_some() {
            self.expiring.insert(instance.clone());
        }
        if entry.record.gone {
            self.gone.insert(instance.clone());
        }
        self.entries.insert(instance, entry);
    }

    /// Removes an entry from the table, the indexes and the digests.
    fn remove(&mut self, instance: &str) {
        let Some(entry) = self.entries.remove(instance) else { return };
        self.digests.add(&entry, MINUS);
        self.expiring.remove(instance);
        self.gone.remove(instance);
        if let Some(instances) = self.by_service.get_mut(&entry.record.service) {
            instances.remove(instance);
            if instances.is_empty() {
                self.by_service.remove(&entry.record.service);
            }
        }
    }

    /// Marks one record as gone.
    fn mark_gone(&mut self, instance: &str, now_ms: u64) {
        let Some(held) = self.entries.get(instance) else { return };
        let mut entry = held.clone();
        entry.record.gone = true;
        entry.expires_ms = None;
        entry.gone_since_ms = Some(now_ms);
        self.put(entry);
    }

    /// Marks all matching records as gone and returns their instances.
    pub fn mark_gone_where(
        &mut self,
        now_ms: u64,
        matches: impl Fn(&Entry) -> bool,
    ) -> Vec<Arc<str>> {
        let instances: Vec<_> = self
            .entries
            .values()
            .filter(|entry| !entry.record.gone && matches(entry))
            .map(|entry| entry.record.instance.clone())
            .collect();
        for instance in &instances {
            self.mark_gone(instance, now_ms);
        }
        instances
    }

    /// Sets an expiry time on all matching records that have none.
    pub fn set_expiry_where(&mut self, expires_ms: u64, matches: impl Fn(&Entry) -> bool) {
        let entries: Vec<Entry> = self
            .entries
            .values()
            .filter(|entry| !entry.record.gone && entry.expires_ms.is_none() && matches(entry))
            .cloned()
            .collect();
        for mut entry in entries {
            entry.expires_ms = Some(expires_ms);
            self.replace(entry);
        }
    }

    /// Marks expired records as gone and removes old tombstones. Returns the instances newly marked
    /// as gone.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Arc<str>> {
        let expired: Vec<_> = self
            .expiring
            .iter()
            .filter(|instance| {
                self.entries[*instance].expires_ms.is_some_and(|expires_ms| now_ms >= expires_ms)
            })
            .cloned()
            .collect();
        for instance in &expired {
            self.mark_gone(instance, now_ms);
        }
        let old_tombstones: Vec<_> = self
            .gone
            .iter()
            .filter(|instance| {
                let gone_since_ms = self.entries[*instance].gone_since_ms;
                gone_since_ms.is_some_and(|since_ms| now_ms >= since_ms + TOMBSTONE_KEPT_MS)
            })
            .cloned()
            .collect();
        for instance in old_tombstones {
            self.remove(&instance);
        }
        expired
    }

    /// Returns the entries that changed since the last call.
    pub fn take_changed(&mut self) -> Vec<Entry> {
        let changed = std::mem::take(&mut self.changed);
        changed.iter().filter_map(|instance| self.entries.get(instance)).cloned().collect()
    }

    /// The records in a scope that are not marked as gone.
    pub fn in_scope(&self, scope: &Scope) -> Vec<Endpoint> {
        let records = self.entries.values().map(|entry| &entry.record);
        match scope {
            Scope::All => records.filter(|record| !record.gone).cloned().collect(),
            Scope::Region(region) => {
                records.filter(|record| !record.gone && record.region == *region).cloned().collect()
            }
            Scope::Services(services) => services
                .iter()
                .flat_map(|service| self.of_service(service))
                .map(|entry| &entry.record)
                .filter(|record| !record.gone)
                .cloned()
                .collect(),
        }
    }

    /// The digest of the records in a scope.
    pub fn digest_of(&self, scope: &Scope) -> u64 {
        match scope {
            Scope::All => self.digests.all,
            Scope::Region(region) => self.digests.by_region.get(region).copied().unwrap_or(0),
            Scope::Services(services) => services
                .iter()
                .map(|service| self.digests.by_service.get(service).copied().unwrap_or(0))
                .fold(0, u64::wrapping_add),
        }
    }

    /// The digest of the records received from some origins.
    pub fn digest_by_origin(&self, origins: impl Iterator<Item = Origin>) -> u64 {
        origins
            .map(|origin| self.digests.by_origin.get(&origin).copied().unwrap_or(0))
            .fold(0, u64::wrapping_add)
    }
}

/// Whether a record is in a scope.
pub fn scope_contains(scope: &Scope, record: &Endpoint) -> bool {
    match scope {
        Scope::All => true,
        Scope::Region(region) => record.region == *region,
        Scope::Services(services) => services.contains(&record.service),
    }
}
