//! The configuration in force, and how it comes here: from the store, or from a peer.

use super::Mesh;
use crate::logging::log_event;
use pomeloreach_core::event::Event;
use pomeloreach_core::matching::RouteTable;
use pomeloreach_core::mesh::delta::Delta;
use pomeloreach_core::mesh::published::{CallerLimits, Published};
use pomeloreach_core::mesh::readers;
use pomeloreach_core::mesh::state::ConfigState;
use pomeloreach_platform::store::{ConfigRead, StoreClient, StoreError};
use pomeloreach_wire::clock::sleep_ms;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Versions that are kept, so that peers get the rows that changed since theirs.
const VERSIONS_KEPT: usize = 4;
/// How long the store holds a watch open, in milliseconds. Its answer confirms the version, so that
/// this bounds the age of what a daemon knows.
const WATCH_MS: u64 = 800;
/// How long the store may take for an answer, in milliseconds.
const ANSWER_MS: u64 = 700;
/// How often a daemon that does not read looks whether it should, in milliseconds.
const LOOK_MS: u64 = 100;
/// The first and the longest pause after a failed read, in milliseconds.
const RETRY_MS: u64 = 150;
const RETRY_MS_MAX: u64 = 1_000;
/// How long a daemon that starts waits for a peer's configuration before it asks a store that
/// stands far away, in milliseconds.
const FIRST_READ_MS: u64 = 1_500;
/// A store that answers within this time is near, in milliseconds.
const NEAR_MS: u32 = 30;

struct InForce {
    published: Rc<Published>,
    routes: Rc<RouteTable>,
}

/// The configuration that this daemon holds.
#[derive(Default)]
pub struct Holder {
    in_force: RefCell<Option<InForce>>,
    kept: RefCell<BTreeMap<u64, Rc<Published>>>,
    refused_version: Cell<u64>,
    confirmed_ms: Cell<Option<u64>>,
    rtt_ms: Cell<Option<u32>>,
}

impl Holder {
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.in_force.borrow().as_ref().map(|held| held.routes.clone())
    }

    pub fn limits(&self) -> CallerLimits {
        let held = self.in_force.borrow();
        held.as_ref().map(|held| held.published.limits).unwrap_or_default()
    }

    pub fn version(&self) -> u64 {
        self.in_force.borrow().as_ref().map_or(0, |held| held.published.version)
    }

    pub fn state(&self, now_ms: u64) -> ConfigState {
        let age_ms = self.confirmed_ms.get().map(|confirmed_ms| now_ms - confirmed_ms);
        ConfigState {
            version: self.version(),
            confirmed_age_ms: age_ms.and_then(|age_ms| u32::try_from(age_ms).ok()),
            store_rtt_ms: self.rtt_ms.get(),
        }
    }

    /// Notes how long a call to the store took.
    pub fn note_rtt(&self, rtt_ms: u64) {
        let rtt_ms = u32::try_from(rtt_ms).unwrap_or(u32::MAX);
        self.rtt_ms.set(Some(self.rtt_ms.get().map_or(rtt_ms, |least| least.min(rtt_ms))));
    }

    /// The rows that a peer with some version needs, as JSON.
    pub fn delta_since(&self, held_version: u64) -> Option<Vec<u8>> {
        let held = self.in_force.borrow();
        let newest = &held.as_ref()?.published;
        if newest.version <= held_version {
            return None;
        }
        let kept = self.kept.borrow();
        let delta = match kept.get(&held_version) {
            Some(base) => Delta::between(base, newest),
            None => Delta::between(&Published::default(), newest),
        };
        match serde_json::to_vec(&delta) {
            Ok(json) => Some(json),
            Err(error) => {
                log_event(Event::VersionRefused, &format!("reason=cannot be encoded: {error}"));
                None
            }
        }
    }
}

/// Puts a version in force if it is newer than the one held and passes every check.
pub fn apply(mesh: &Rc<Mesh>, published: Published, source: &str) {
    let holder = &mesh.config;
    let version = published.version;
    let held_version = holder.version();
    if version <= held_version || version == holder.refused_version.get() {
        return;
    }
    let routes = match published.index() {
        Ok(routes) => routes,
        Err(refusal) => {
            holder.refused_version.set(version);
            let detail = format!("version={version} source={source} reason={refusal}");
            return log_event(Event::VersionRefused, &detail);
        }
    };
    let published = Rc::new(published);
    let mut kept = holder.kept.borrow_mut();
    kept.insert(version, published.clone());
    while kept.len() > VERSIONS_KEPT {
        kept.pop_first();
    }
    drop(kept);
    mesh.shares.borrow_mut().retain(|name| published.routes.contains_key(name));
    mesh.usual.borrow_mut().retain(|name, _| published.routes.contains_key(name));
    *holder.in_force.borrow_mut() = Some(InForce { published, routes: Rc::new(routes) });
    let detail = format!("version={version} held={held_version} source={source}");
    log_event(Event::VersionApplied, &detail);
    mesh.links.report_now();
}

/// Applies what a peer sent. Returns whether all rows must be asked for.
pub fn apply_delta(mesh: &Rc<Mesh>, json: &[u8], peer: &str) -> bool {
    let delta: Delta = match serde_json::from_slice(json) {
        Ok(delta) => delta,
        Err(error) => {
            log_event(Event::InputRefused, &format!("peer={peer} reason={error}"));
            return false;
        }
    };
    if delta.version <= mesh.config.version() {
        return false;
    }
    let base = match delta.base_version {
        0 => Some(Rc::new(Published::default())),
        version => mesh.config.kept.borrow().get(&version).cloned(),
    };
    let next = base.and_then(|base| delta.apply(&base));
    match next {
        Some(next) => {
            apply(mesh, next, peer);
            false
        }
        None => delta.base_version != 0,
    }
}

/// Reads the configuration from the store whenever it is this daemon's turn.
pub async fn read(mesh: Rc<Mesh>) {
    let store = StoreClient::new(mesh.settings.platform_addr);
    let mut revision: Option<u64> = None;
    let mut failures = 0;
    let mut failing: Option<String> = None;
    loop {
        if !is_my_turn(&mesh) {
            revision = None;
            sleep_ms(LOOK_MS).await;
            continue;
        }
        let read = match revision {
            Some(revision) => store.watch_config(revision, WATCH_MS, ANSWER_MS).await,
            None => store.read_config(ANSWER_MS).await,
        };
        match read {
            Ok(ConfigRead { published, revision: continue_at }) => {
                revision = Some(continue_at);
                failures = 0;
                if failing.take().is_some() {
                    log_event(Event::StoreRecovered, &format!("revision={continue_at}"));
                }
                if let Some(published) = published {
                    apply(&mesh, published, "store");
                }
                mesh.config.confirmed_ms.set(Some(mesh.now_ms()));
            }
            Err(StoreError::HistoryGone) => revision = None,
            Err(error) => {
                failures += 1;
                let reason = error.to_string();
                if failing.as_ref() != Some(&reason) {
                    log_event(Event::StoreFailing, &format!("call=config reason={reason}"));
                }
                failing = Some(reason);
                let pause_ms = (RETRY_MS << failures.min(4)).min(RETRY_MS_MAX);
                sleep_ms(mesh.jittered(pause_ms / 2)).await;
            }
        }
    }
}

fn is_my_turn(mesh: &Rc<Mesh>) -> bool {
    let now_ms = mesh.now_ms();
    let own = mesh.config_state();
    if own.version == 0 {
        let is_near = own.store_rtt_ms.is_some_and(|rtt_ms| rtt_ms < NEAR_MS);
        return is_near || now_ms >= FIRST_READ_MS;
    }
    readers::should_read(&mesh.peers.borrow(), own, now_ms)
}
