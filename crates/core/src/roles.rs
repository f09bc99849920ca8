//! Claims, renews and observes the leases of the relay and leader roles.
//!
//! Each role has objects in the store, one per lease, that the holder rewrites to renew. Every
//! daemon determines expiry by its local clock: a lease has expired if a list of the store returns
//! its object unchanged for at least the time to live. While the store is unavailable no lease
//! expires, since no holder could renew. Correctness does not depend on roles: versions are ordered
//! and checked, and each endpoint record has one writer, so two leaders at once only cause extra
//! traffic. See `docs/DISTRIBUTION.md`.

use crate::message::DaemonInfo;
use crate::store::{
    LEADERS_PREFIX, RELAYS_PREFIX, StoreFailure, StoreOp, StoreReply, StoredObject,
};
use rand_chacha::ChaCha8Rng;
use rand_core::RngCore;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use strum::Display;

/// Time after which a lease that was not renewed expires, in milliseconds of the observer's clock.
pub const LEASE_TTL_MS: u64 = 6_000;
/// Interval at which a holder renews its lease, in milliseconds.
pub const LEASE_RENEW_MS: u64 = 2_000;
/// Interval at which a relay lists the leader leases, in milliseconds.
const LEADERS_POLL_MS: u64 = 2_000;
/// Interval at which a relay lists the relay leases of its region, in milliseconds.
const RELAYS_POLL_MS: u64 = 6_000;
/// Upper limit of the backoff between lists of the relay leases by a daemon that is not a relay, in
/// milliseconds. With jitter, a pause is at most one and a half times as long.
const NON_RELAY_POLL_MS_MAX: u64 = 4_000;
/// Claims are delayed at random by up to this time, in milliseconds, so that few daemons compete
/// for one lease.
const CLAIM_SPREAD_MS: u64 = 600;
/// How long a nomination by a relay is valid, in milliseconds.
const NOMINATION_MS: u64 = 12_000;
/// Maximum number of objects in one list of leases.
const LIST_LIMIT: u32 = 1_000;

/// A role that a daemon holds by a lease.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[strum(serialize_all = "lowercase")]
pub enum Role {
    /// Distributes configuration and endpoint records to the daemons that join it.
    Relay,
    /// The relay that reads the log for its region and exchanges endpoint records with the leaders
    /// of the other regions.
    #[strum(serialize = "lead")]
    Leader,
}

/// The value of a lease object in the store, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    pub holder: DaemonInfo,
    /// Incremented by each renewal, so that the object changes.
    pub renewal: u64,
}

/// A lease as last read from the store.
#[derive(Clone, Debug)]
struct ObservedLease {
    object_version: u64,
    lease: Lease,
    /// When `object_version` was first seen.
    first_seen_ms: u64,
    /// When the object was last returned by the store.
    seen_ms: u64,
}

/// A lease that this daemon holds.
#[derive(Clone, Debug)]
struct HeldLease {
    key: Arc<str>,
    object_version: u64,
    renewal: u64,
    renew_due_ms: u64,
}

/// The purpose of a store call, kept to handle its reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleCall {
    ListRelays,
    ListLeaders,
    Write { role: Role, key: Arc<str>, renewal: u64 },
}

/// A change of the roles that this daemon holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleChange {
    Claimed { role: Role, key: Arc<str> },
    Lost { role: Role, key: Arc<str> },
}

/// State of the rest of the daemon that [`Roles::tick`] depends on.
#[derive(Clone, Copy, Debug)]
pub struct RoleContext {
    /// The daemon has no parent, or only one in another region, and looks for relays.
    pub needs_relay: bool,
    /// The daemon is about to stop and must not claim or renew a lease.
    pub draining: bool,
}

/// The leases that this daemon observes and holds, and when to list, claim and renew them.
#[derive(Debug)]
pub struct Roles {
    local: DaemonInfo,
    relays_per_zone: u16,
    observed: BTreeMap<Arc<str>, ObservedLease>,
    held: BTreeMap<Role, HeldLease>,
    /// Names of the store calls that have no reply yet. There is at most one call of each name.
    in_flight: BTreeSet<&'static str>,
    /// When to list the relay leases next.
    poll_due_ms: u64,
    /// When to list the leader leases next.
    leaders_poll_due_ms: u64,
    /// Lists made in a row while a relay is needed, for the backoff.
    polls_without_relay: u32,
    /// When to claim a vacant lease, per role.
    claim_due_ms: BTreeMap<Role, u64>,
    /// When the last nomination by a relay ends.
    nominated_until_ms: u64,
    /// Whether the relay leases were listed at least once. Nothing is claimed before.
    relays_listed: bool,
    changes: Vec<RoleChange>,
}

// Names of store calls in `in_flight`.
const IN_FLIGHT_RELAYS: &str = "relays";
const IN_FLIGHT_LEADERS: &str = "leaders";
const IN_FLIGHT_RELAY_WRITE: &str = "relay write";
const IN_FLIGHT_LEADER_WRITE: &str = "leader write";

impl Roles {
    pub fn new(local: DaemonInfo, relays_per_zone: u16, first_poll_ms: u64) -> Self {
        Self {
            local,
            relays_per_zone,
            observed: BTreeMap::new(),
            held: BTreeMap::new(),
            in_flight: BTreeSet::new(),
            poll_due_ms: first_poll_ms,
            leaders_poll_due_ms: 0,
            polls_without_relay: 0,
            claim_due_ms: BTreeMap::new(),
            nominated_until_ms: 0,
            relays_listed: false,
            changes: Vec::new(),
        }
    }

    /// Whether this daemon holds the lease of a role.
    pub fn holds(&self, role: Role) -> bool {
        self.held.contains_key(&role)
    }

    /// Holders of the relay leases in this region that have not expired, except this daemon.
    pub fn live_relays(&self) -> Vec<DaemonInfo> {
        let prefix = format!("{RELAYS_PREFIX}{}/", self.local.region);
        self.live(&prefix)
    }

    /// Leaders of the other regions whose leases have not expired.
    pub fn peer_leaders(&self) -> Vec<DaemonInfo> {
        let mut leaders = self.live(LEADERS_PREFIX);
        leaders.retain(|leader| leader.region != self.local.region);
        leaders
    }

    /// The leader of this region, if it is another daemon.
    pub fn region_leader(&self) -> Option<DaemonInfo> {
        let leaders = self.live(LEADERS_PREFIX);
        leaders.into_iter().find(|leader| leader.region == self.local.region)
    }

    /// Holders of the leases under a key prefix that are not vacant, except this daemon.
    fn live(&self, prefix: &str) -> Vec<DaemonInfo> {
        self.observed
            .range(Arc::from(prefix)..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, observed)| !self.is_vacant(observed))
            .map(|(_, observed)| observed.lease.holder.clone())
            .filter(|holder| holder.instance != self.local.instance)
            .collect()
    }

    /// Whether a relay lease in a zone of this region is vacant.
    pub fn has_vacant_relay_lease(&self, zone: &str) -> bool {
        self.relays_listed && self.vacant_relay_lease(zone).is_some()
    }

    /// Handles a relay's request to claim a vacant relay lease in this zone.
    pub fn accept_nomination(&mut self, now_ms: u64) {
        self.nominated_until_ms = now_ms + NOMINATION_MS;
        self.poll_due_ms = now_ms;
    }

    /// Makes both lists of leases due at once; [`Self::tick`] makes those that this daemon needs.
    pub fn poll_now(&mut self, now_ms: u64) {
        self.poll_due_ms = self.poll_due_ms.min(now_ms);
        self.leaders_poll_due_ms = self.leaders_poll_due_ms.min(now_ms);
    }

    /// Returns the role changes since the last call.
    pub fn take_changes(&mut self) -> Vec<RoleChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the store calls that are due.
    pub fn tick(
        &mut self,
        now_ms: u64,
        context: RoleContext,
        rng: &mut ChaCha8Rng,
    ) -> Vec<(RoleCall, StoreOp)> {
        let mut calls = Vec::new();
        if context.draining {
            return calls;
        }
        let is_relay = self.holds(Role::Relay);
        let nominated = now_ms < self.nominated_until_ms;
        if !context.needs_relay {
            self.polls_without_relay = 0;
        }
        if (is_relay || nominated || context.needs_relay) && now_ms >= self.poll_due_ms {
            self.poll_due_ms = now_ms + self.poll_pause_ms(is_relay, rng);
            self.push_list(&mut calls, RoleCall::ListRelays);
        }
        if is_relay && now_ms >= self.leaders_poll_due_ms {
            self.leaders_poll_due_ms = now_ms + LEADERS_POLL_MS;
            self.push_list(&mut calls, RoleCall::ListLeaders);
        }
        if !is_relay && (context.needs_relay || nominated) {
            self.claim(&mut calls, Role::Relay, now_ms, rng);
        }
        if is_relay && !self.holds(Role::Leader) {
            self.claim(&mut calls, Role::Leader, now_ms, rng);
        }
        for role in [Role::Relay, Role::Leader] {
            self.renew(&mut calls, role, now_ms);
        }
        calls
    }

    /// The time until the next list of the relay leases. For a daemon that is not a relay, its mean
    /// starts at 500 ms and doubles with each list up to [`NON_RELAY_POLL_MS_MAX`]; the time is
    /// random from half to one and a half of the mean.
    fn poll_pause_ms(&mut self, is_relay: bool, rng: &mut ChaCha8Rng) -> u64 {
        if is_relay {
            return RELAYS_POLL_MS;
        }
        let ceiling_ms = (500 << self.polls_without_relay.min(4)).min(NON_RELAY_POLL_MS_MAX);
        self.polls_without_relay += 1;
        ceiling_ms / 2 + rng.next_u64() % ceiling_ms
    }

    /// Adds a list call unless one of the same kind is in flight.
    fn push_list(&mut self, calls: &mut Vec<(RoleCall, StoreOp)>, call: RoleCall) {
        let (call_name, prefix): (_, Arc<str>) = match call {
            RoleCall::ListLeaders => (IN_FLIGHT_LEADERS, LEADERS_PREFIX.into()),
            _ => (IN_FLIGHT_RELAYS, format!("{RELAYS_PREFIX}{}/", self.local.region).into()),
        };
        if self.in_flight.contains(call_name) {
            return;
        }
        self.in_flight.insert(call_name);
        calls.push((call, StoreOp::List { prefix, start_after: None, limit: LIST_LIMIT }));
    }

    /// Claims a vacant lease once its random delay is over.
    fn claim(
        &mut self,
        calls: &mut Vec<(RoleCall, StoreOp)>,
        role: Role,
        now_ms: u64,
        rng: &mut ChaCha8Rng,
    ) {
        let vacant = match role {
            Role::Relay => self.vacant_relay_lease(&self.local.zone),
            Role::Leader => self.vacant_leader_lease(),
        };
        let Some((key, expected_version)) = vacant.filter(|_| self.relays_listed) else {
            self.claim_due_ms.remove(&role);
            return;
        };
        let due_ms =
            *self.claim_due_ms.entry(role).or_insert(now_ms + rng.next_u64() % CLAIM_SPREAD_MS);
        if now_ms < due_ms || self.in_flight.contains(write_call_name(role)) {
            return;
        }
        self.claim_due_ms.remove(&role);
        self.push_write(calls, role, key, 0, expected_version);
    }

    /// Adds a conditional write of a lease object.
    fn push_write(
        &mut self,
        calls: &mut Vec<(RoleCall, StoreOp)>,
        role: Role,
        key: Arc<str>,
        renewal: u64,
        expected_version: u64,
    ) {
        self.in_flight.insert(write_call_name(role));
        let lease = Lease { holder: self.local.clone(), renewal };
        let value = serde_json::to_string(&lease).expect("a lease is always encodable").into();
        let op = StoreOp::Put { key: key.clone(), value, expected_version };
        calls.push((RoleCall::Write { role, key, renewal }, op));
    }

    /// Renews a held lease if it is due.
    fn renew(&mut self, calls: &mut Vec<(RoleCall, StoreOp)>, role: Role, now_ms: u64) {
        let Some(held) = self.held.get_mut(&role) else { return };
        if now_ms < held.renew_due_ms || self.in_flight.contains(write_call_name(role)) {
            return;
        }
        held.renew_due_ms = now_ms + LEASE_RENEW_MS;
        let (key, version, renewal) = (held.key.clone(), held.object_version, held.renewal + 1);
        self.push_write(calls, role, key, renewal, version);
    }

    /// Key and object version of the first vacant relay lease in a zone of this region.
    fn vacant_relay_lease(&self, zone: &str) -> Option<(Arc<str>, u64)> {
        (0..self.relays_per_zone).find_map(|index| {
            let key = format!("{RELAYS_PREFIX}{}/{zone}/{index}", self.local.region);
            self.vacancy(key.into())
        })
    }

    /// Key and object version of this region's leader lease, if it is vacant.
    fn vacant_leader_lease(&self) -> Option<(Arc<str>, u64)> {
        self.vacancy(format!("{LEADERS_PREFIX}{}", self.local.region).into())
    }

    /// The key with the object version that a claim must expect (0 for no object), if the lease is
    /// vacant.
    fn vacancy(&self, key: Arc<str>) -> Option<(Arc<str>, u64)> {
        match self.observed.get(&key) {
            None => Some((key, 0)),
            Some(observed) if self.is_vacant(observed) => Some((key, observed.object_version)),
            Some(_) => None,
        }
    }

    /// Whether a lease may be claimed: it has expired, or its holder is another instance at this
    /// daemon's address. That instance must have ended, since this one now has the address.
    fn is_vacant(&self, observed: &ObservedLease) -> bool {
        let holder = &observed.lease.holder;
        let is_predecessor =
            holder.addr == self.local.addr && holder.instance != self.local.instance;
        is_predecessor || is_expired(observed)
    }

    /// Handles the store's reply to a call from [`Roles::tick`].
    pub fn handle_reply(
        &mut self,
        call: RoleCall,
        result: Result<StoreReply, StoreFailure>,
        now_ms: u64,
    ) {
        match call {
            RoleCall::ListRelays => {
                self.in_flight.remove(IN_FLIGHT_RELAYS);
                self.observe(&format!("{RELAYS_PREFIX}{}/", self.local.region), result, now_ms);
            }
            RoleCall::ListLeaders => {
                self.in_flight.remove(IN_FLIGHT_LEADERS);
                self.observe(LEADERS_PREFIX, result, now_ms);
            }
            RoleCall::Write { role, key, renewal } => {
                self.in_flight.remove(write_call_name(role));
                self.handle_written(role, key, renewal, result, now_ms);
            }
        }
    }

    /// Updates the observed leases from a list reply. An error leaves them unchanged.
    fn observe(&mut self, prefix: &str, result: Result<StoreReply, StoreFailure>, now_ms: u64) {
        let Ok(StoreReply::Listed { objects, .. }) = result else { return };
        self.relays_listed |= prefix != LEADERS_PREFIX;
        for object in objects {
            self.observe_object(&object, now_ms);
        }
    }

    fn observe_object(&mut self, object: &StoredObject, now_ms: u64) {
        let Ok(lease) = serde_json::from_str::<Lease>(&object.value) else { return };
        if let Some(known) = self.observed.get_mut(&object.key)
            && known.object_version >= object.object_version
        {
            known.seen_ms = now_ms;
            return;
        }
        self.reconcile_held(object, &lease, now_ms);
        let observed = ObservedLease {
            object_version: object.object_version,
            lease,
            first_seen_ms: now_ms,
            seen_ms: now_ms,
        };
        self.observed.insert(object.key.clone(), observed);
    }

    /// Updates the held lease from an object in the store. A lease of this daemon whose write reply
    /// was lost is adopted; a lease that another daemon now holds is given up.
    fn reconcile_held(&mut self, object: &StoredObject, lease: &Lease, now_ms: u64) {
        let role = role_of_key(&object.key);
        let is_local = lease.holder.instance == self.local.instance;
        let is_held = self.held.get(&role).is_some_and(|held| held.key == object.key);
        // A leader must also be a relay. It must not adopt the leader lease without the relay
        // lease.
        let may_hold = role == Role::Relay || self.holds(Role::Relay);
        if is_local && may_hold && (is_held || !self.held.contains_key(&role)) {
            self.hold(role, object.key.clone(), object.object_version, lease.renewal, now_ms);
        } else if !is_local && is_held {
            self.lose(role);
        }
    }

    /// Drops a held lease. Losing the relay lease also loses the leader lease.
    fn lose(&mut self, role: Role) {
        if role == Role::Relay {
            self.lose(Role::Leader);
        }
        if let Some(held) = self.held.remove(&role) {
            self.changes.push(RoleChange::Lost { role, key: held.key });
        }
    }

    /// Records that this daemon holds a lease.
    fn hold(&mut self, role: Role, key: Arc<str>, version: u64, renewal: u64, now_ms: u64) {
        let held = HeldLease {
            key: key.clone(),
            object_version: version,
            renewal,
            renew_due_ms: now_ms + LEASE_RENEW_MS,
        };
        if self.held.insert(role, held).is_none() {
            self.changes.push(RoleChange::Claimed { role, key });
        }
    }

    /// Handles the reply to a write of a lease.
    fn handle_written(
        &mut self,
        role: Role,
        key: Arc<str>,
        renewal: u64,
        result: Result<StoreReply, StoreFailure>,
        now_ms: u64,
    ) {
        match result {
            // The relay lease was lost while the leader lease was written: do not hold it.
            Ok(StoreReply::Written { .. }) if role == Role::Leader && !self.holds(Role::Relay) => {}
            Ok(StoreReply::Written { object_version }) => {
                let lease = Lease { holder: self.local.clone(), renewal };
                let observed =
                    ObservedLease { object_version, lease, first_seen_ms: now_ms, seen_ms: now_ms };
                self.observed.insert(key.clone(), observed);
                self.hold(role, key, object_version, renewal, now_ms);
            }
            Ok(_) | Err(_) => self.poll_now(now_ms),
        }
    }
}

/// The name in `in_flight` of the write of a role's lease.
fn write_call_name(role: Role) -> &'static str {
    match role {
        Role::Relay => IN_FLIGHT_RELAY_WRITE,
        Role::Leader => IN_FLIGHT_LEADER_WRITE,
    }
}

fn role_of_key(key: &str) -> Role {
    if key.starts_with(LEADERS_PREFIX) { Role::Leader } else { Role::Relay }
}

/// Whether the last time the object was seen is at least the time to live after it last changed.
fn is_expired(observed: &ObservedLease) -> bool {
    observed.seen_ms >= observed.first_seen_ms + LEASE_TTL_MS
}
