//! The table of endpoint records, merged from announcements alone.
//!
//! Each record has one writer, the daemon it describes. A relay adds only the mark `gone` when a
//! daemon falls silent, and the daemon overrules that with a higher sequence, as in SWIM (Das,
//! Gupta, Motivala, 2002). See `docs/MEMBERSHIP.md`.

use crate::endpoint::Endpoint;
use crate::link::LinkId;
use crate::message::Scope;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How long a daemon whose link broke may take to appear at another relay, in milliseconds.
pub const LEAF_GRACE_MS: u64 = 4_000;
/// How long the daemons behind a relay whose link broke may take, in milliseconds.
pub const RELAY_GRACE_MS: u64 = 8_000;
/// How long records that are gone are remembered, in milliseconds.
pub const TOMBSTONE_KEPT_MS: u64 = 600_000;

/// Where a record was learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Origin {
    Local,
    Link(LinkId),
}

/// A record with what this daemon knows about it.
#[derive(Clone, Debug)]
pub struct Entry {
    pub record: Endpoint,
    pub origin: Origin,
    /// When the record is to be taken as gone, unless it is reported again before.
    pub expires_ms: Option<u64>,
    pub gone_since_ms: Option<u64>,
    /// When this daemon first saw the record in its present state.
    pub state_since_ms: u64,
}

/// Sums of record hashes, kept up to date with each change.
#[derive(Clone, Debug, Default)]
struct Digests {
    all: u64,
    by_service: BTreeMap<Arc<str>, u64>,
    by_region: BTreeMap<Arc<str>, u64>,
    by_origin: BTreeMap<Origin, u64>,
}

impl Digests {
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

const PLUS: u64 = 1;
const MINUS: u64 = u64::MAX;

/// All records that a daemon knows.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    entries: BTreeMap<Arc<str>, Entry>,
    by_service: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
    /// Entries that may expire, so that a tick need not look at all.
    expiring: BTreeSet<Arc<str>>,
    gone: BTreeSet<Arc<str>>,
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

    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Entry> {
        let instances = self.by_service.get(service).into_iter().flatten();
        instances.filter_map(|instance| self.entries.get(instance))
    }

    /// Takes in a record, if it is newer than the one held. Tells whether it was.
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

    /// Notes that a child answers for a record that is held already.
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

    fn put(&mut self, entry: Entry) {
        self.changed.insert(entry.record.instance.clone());
        self.replace(entry);
    }

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

    fn mark_gone(&mut self, instance: &str, now_ms: u64) {
        let Some(held) = self.entries.get(instance) else { return };
        let mut entry = held.clone();
        entry.record.gone = true;
        entry.expires_ms = None;
        entry.gone_since_ms = Some(now_ms);
        self.put(entry);
    }

    /// Marks gone whatever matches, and returns the instances.
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

    /// Gives whatever matches until a time to be reported again.
    pub fn expire_where(&mut self, expires_ms: u64, matches: impl Fn(&Entry) -> bool) {
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

    /// Marks what has expired and forgets what has long been gone. Returns the newly gone.
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
        let forgotten: Vec<_> = self
            .gone
            .iter()
            .filter(|instance| {
                let gone_since_ms = self.entries[*instance].gone_since_ms;
                gone_since_ms.is_some_and(|since_ms| now_ms >= since_ms + TOMBSTONE_KEPT_MS)
            })
            .cloned()
            .collect();
        for instance in forgotten {
            self.remove(&instance);
        }
        expired
    }

    /// The records that changed since the last call.
    pub fn take_changed(&mut self) -> Vec<Entry> {
        let changed = std::mem::take(&mut self.changed);
        changed.iter().filter_map(|instance| self.entries.get(instance)).cloned().collect()
    }

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

    /// The digest of the records that were learned in some ways.
    pub fn digest_by_origin(&self, origins: impl Iterator<Item = Origin>) -> u64 {
        origins
            .map(|origin| self.digests.by_origin.get(&origin).copied().unwrap_or(0))
            .fold(0, u64::wrapping_add)
    }
}

/// Whether a record falls into a scope.
pub fn scope_contains(scope: &Scope, record: &Endpoint) -> bool {
    match scope {
        Scope::All => true,
        Scope::Region(region) => record.region == *region,
        Scope::Services(services) => services.contains(&record.service),
    }
}
