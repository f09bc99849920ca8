//! The configuration in force, and how it is updated from the store or from a peer.

use super::{Mesh, quota, report};
use crate::logging::log_event;
use bytes::Bytes;
use event_listener::Event as Notify;
use pomeloreach_core::account::QuotaLimit;
use pomeloreach_core::account_index::AccountIndex;
use pomeloreach_core::event::Event;
use pomeloreach_core::matching::RouteTable;
use pomeloreach_core::mesh::delta::Delta;
use pomeloreach_core::mesh::dissemination::{ConfigSource, Distance};
use pomeloreach_core::mesh::history::RowHistory;
use pomeloreach_core::mesh::published::{CallerLimits, PublishedConfig};
use pomeloreach_core::mesh::readers::{self, Confirmation};
use pomeloreach_core::mesh::state::ConfigState;
use pomeloreach_platform::store::{
    ConfigUpdate, StoreClient, StoreError, StorePosition, StoredConfig,
};
use pomeloreach_wire::clock::sleep_ms;
use pomeloreach_wire::compress;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;

/// How long the store holds a watch open, in milliseconds. Each response confirms the version, so
/// this bounds the age of the last confirmation.
const WATCH_MS: u64 = 800;
/// The same for the first watch of a daemon that has just become a reader: it only checks for a
/// newer version.
const FIRST_WATCH_MS: u64 = 1;
/// How long the store may send nothing during a call, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 700;
/// How often a daemon that does not watch the store checks whether it should, in milliseconds.
const READER_POLL_MS: u64 = 100;
/// The shortest and the longest pause after a failed read, in milliseconds, including jitter.
const RETRY_PAUSE_MS: u64 = 150;
const RETRY_PAUSE_MS_MAX: u64 = 1_000;
/// How long a starting daemon waits for the configuration of a peer before it reads a store that is
/// not near, in milliseconds: without any link, and with a link to a peer that has none either.
const FIRST_READ_DELAY_MS: u64 = 1_500;
const LINKED_FIRST_READ_DELAY_MS: u64 = 3_000;
/// A store with a shorter round-trip time than this is near, in milliseconds.
const NEAR_STORE_RTT_MS: u32 = 30;

/// How much later than the last one a confirmation must be to be reported to peers, in
/// milliseconds: half of [`WATCH_MS`], after which each of the two readers confirms the version
/// again.
const CONFIRMED_STEP_MS: i64 = 400;

/// The largest decompressed delta, in bytes: a complete configuration of the largest size that the
/// store accepts, with room for another encoding.
const DELTA_BYTES_MAX: usize = 4 * 1024 * 1024;

/// The version in force, with what is derived from it.
struct ConfigInForce {
    published: PublishedConfig,
    routes: Rc<RouteTable>,
    accounts: Rc<AccountIndex>,
    digest: String,
    /// The last encoded delta, with the version that it applies to.
    cached_delta: RefCell<Option<(u64, Bytes)>>,
}

/// The result of applying a delta from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeltaOutcome {
    /// No further request is needed: the version is in force, was replaced by a newer one, or can
    /// never be applied.
    Handled,
    /// The delta applies to a version that was replaced after the delta was requested.
    BaseOutdated,
    /// The delta does not lead to the version that it names; all rows are needed.
    Incomplete,
}

/// The configuration in force, and when it was last confirmed.
#[derive(Default)]
pub struct LocalConfig {
    /// `None` until the first version arrives.
    in_force: RefCell<Option<ConfigInForce>>,
    history: RefCell<RowHistory>,
    /// The last version that failed a check; it is not checked again.
    refused_version: Cell<u64>,
    /// When the store was last known to hold no newer version, by the daemon's clock. Negative if a
    /// peer confirmed the version before this daemon started.
    confirmed_ms: Cell<Option<i64>>,
    /// The revision of the store at that time, in `store_era`.
    confirmed_revision: Cell<Option<u64>>,
    /// When the store last had no configuration, while this daemon has none either.
    missing_ms: Cell<Option<u64>>,
    /// The shortest round-trip time to the store since the last failed read.
    store_rtt_ms: Cell<Option<u32>>,
    /// The newest known era of the store; absent if the store reports none.
    store_era: Cell<Option<u64>>,
    /// Notified when `store_era` rises.
    pub store_era_risen: Notify,
}

impl LocalConfig {
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.in_force.borrow().as_ref().map(|in_force| in_force.routes.clone())
    }

    /// The client accounts; none without a configuration.
    pub fn accounts(&self) -> Rc<AccountIndex> {
        let in_force = self.in_force.borrow();
        in_force.as_ref().map(|in_force| in_force.accounts.clone()).unwrap_or_default()
    }

    pub fn limits(&self) -> CallerLimits {
        let in_force = self.in_force.borrow();
        in_force.as_ref().map(|in_force| in_force.published.limits).unwrap_or_default()
    }

    /// The limits of the accounts that have a quota.
    pub fn quota_limits(&self) -> BTreeMap<Arc<str>, QuotaLimit> {
        let in_force = self.in_force.borrow();
        let accounts = in_force.iter().flat_map(|in_force| &in_force.published.accounts);
        accounts.filter_map(|(name, account)| Some((name.clone(), account.quota?))).collect()
    }

    pub fn version(&self) -> u64 {
        self.in_force.borrow().as_ref().map_or(0, |in_force| in_force.published.version)
    }

    /// The last version that failed a check; 0 if a newer one is in force.
    pub fn refused_version(&self) -> u64 {
        let refused_version = self.refused_version.get();
        if refused_version > self.version() { refused_version } else { 0 }
    }

    pub fn state(&self, now_ms: u64) -> ConfigState {
        let age_ms =
            self.confirmed_ms.get().map(|confirmed_ms| now_ms.cast_signed() - confirmed_ms);
        ConfigState {
            version: self.version(),
            confirmed_age_ms: age_ms.and_then(|age_ms| u32::try_from(age_ms).ok()),
            store_rtt_ms: self.store_rtt_ms.get(),
            store_era: self.store_era.get(),
            confirmed_revision: self.confirmed_revision.get(),
        }
    }

    pub fn store_era(&self) -> Option<u64> {
        self.store_era.get()
    }

    /// Records the duration of a call to the store. The shortest one counts as the round-trip time.
    pub fn record_store_rtt(&self, rtt_ms: u64) {
        let rtt_ms = u32::try_from(rtt_ms).unwrap_or(u32::MAX);
        self.store_rtt_ms
            .set(Some(self.store_rtt_ms.get().map_or(rtt_ms, |lowest| lowest.min(rtt_ms))));
    }

    /// Records when the store was known to hold no newer version, and at which revision of the era
    /// that this daemon knows. A time less than
    /// [`CONFIRMED_STEP_MS`] after the recorded one is ignored. Returns whether the time was
    /// recorded and should be reported to peers.
    pub fn record_confirmation(&self, confirmed_ms: Option<i64>, revision: Option<u64>) -> bool {
        let Some(confirmed_ms) = confirmed_ms else { return false };
        let previous_ms = self.confirmed_ms.get();
        if previous_ms.is_none_or(|previous_ms| previous_ms + CONFIRMED_STEP_MS <= confirmed_ms) {
            self.confirmed_ms.set(Some(confirmed_ms));
            // An earlier revision of the same version stays usable.
            self.confirmed_revision.set(self.confirmed_revision.get().max(revision));
            return true;
        }
        false
    }

    /// The delta from the version that a peer holds to the one in force, as compressed JSON. `None`
    /// if the peer's version is not older.
    pub fn delta_since(&self, held_version: u64) -> Option<Bytes> {
        let in_force = self.in_force.borrow();
        let in_force = in_force.as_ref()?;
        if in_force.published.version <= held_version {
            return None;
        }
        let mut cached_delta = in_force.cached_delta.borrow_mut();
        if let Some((base_version, bytes)) = &*cached_delta
            && *base_version == held_version
        {
            return Some(bytes.clone());
        }
        let history = self.history.borrow();
        let delta = history.delta_since(held_version, &in_force.published, &in_force.digest);
        match serde_json::to_vec(&delta) {
            Ok(json) => {
                let bytes = Bytes::from(compress::compress(&json));
                *cached_delta = Some((held_version, bytes.clone()));
                Some(bytes)
            }
            Err(error) => {
                log_event(Event::VersionRefused, &format!("reason=cannot be encoded: {error}"));
                None
            }
        }
    }
}

/// Puts a version in force if it is newer than the current one and passes every check.
pub fn apply(mesh: &Rc<Mesh>, published: PublishedConfig, source: ConfigSource) {
    let config = &mesh.config;
    let version = published.version;
    let version_in_force = config.version();
    if version <= version_in_force || version == config.refused_version.get() {
        return;
    }
    let checked =
        published.route_table().and_then(|routes| Ok((routes, published.account_index()?)));
    let (routes, accounts) = match checked {
        Ok(checked) => checked,
        Err(refusal) => {
            return refuse(mesh, version, source, &refusal);
        }
    };
    mesh.round_robin.borrow_mut().retain(|name| published.routes.contains_key(name));
    mesh.typical_times.borrow_mut().retain(|name, _| published.routes.contains_key(name));
    mesh.response_sizes.borrow_mut().retain(|name, _| published.routes.contains_key(name));
    let mut in_force = config.in_force.borrow_mut();
    let empty = PublishedConfig::default();
    let replaced = in_force.as_ref().map_or(&empty, |in_force| &in_force.published);
    config.history.borrow_mut().record(replaced, &published);
    let withdrawn = replaced.accounts.keys().filter(|name| !published.accounts.contains_key(*name));
    mesh.metrics.remove_accounts(withdrawn);
    let digest = published.digest();
    let cached_delta = RefCell::default();
    let (routes, accounts) = (Rc::new(routes), Rc::new(accounts));
    *in_force = Some(ConfigInForce { published, routes, accounts, digest, cached_delta });
    drop(in_force);
    quota::apply_limits(mesh);
    // A confirmation of the previous version does not apply to this one. Peers can have confirmed this
    // one while its rows were on their way; they do not repeat that before the next confirmation.
    config.confirmed_ms.set(None);
    config.confirmed_revision.set(None);
    let now_ms = mesh.now_ms();
    let reported =
        readers::reported_confirmation(&mesh.peers.borrow(), config.state(now_ms), now_ms);
    if let Some(Confirmation { confirmed_ms, revision }) = reported {
        config.record_confirmation(Some(confirmed_ms), revision);
    }
    let detail = format!("version={version} held={version_in_force} source={source}");
    log_event(Event::VersionApplied, &detail);
    report::report_config(mesh, source);
}

/// Records the era of the store. Logs a return from an earlier copy and reports it to peers.
pub fn record_store_era(mesh: &Rc<Mesh>, era: Option<u64>, source: ConfigSource) {
    let config = &mesh.config;
    let previous = config.store_era.get();
    if era <= previous {
        return;
    }
    config.store_era.set(era);
    // The store may have lost the refused version, or hold other rows under its number.
    config.refused_version.set(0);
    config.confirmed_revision.set(None);
    if let (Some(era), Some(previous)) = (era, previous) {
        let held = config.version();
        let detail = format!("era={era} previous={previous} source={source} held={held}");
        log_event(Event::StoreRestored, &detail);
        report::report_config(mesh, source);
    }
    config.store_era_risen.notify(usize::MAX);
}

/// Records that this daemon cannot apply a version. Its routes are unknown until a later version is
/// in force.
fn refuse(mesh: &Mesh, version: u64, source: ConfigSource, reason: &impl fmt::Display) {
    let config = &mesh.config;
    if version > config.version() && version != config.refused_version.replace(version) {
        let detail = format!("version={version} source={source} reason={reason}");
        log_event(Event::VersionRefused, &detail);
    }
}

/// Decodes a delta from a peer and applies it.
pub fn apply_delta(
    mesh: &Rc<Mesh>,
    compressed: &[u8],
    peer: &str,
    distance: Distance,
) -> DeltaOutcome {
    let json = match compress::decompress(compressed, DELTA_BYTES_MAX) {
        Ok(json) => json,
        Err(error) => {
            log_event(Event::InputRefused, &format!("peer={peer} reason={error}"));
            return DeltaOutcome::Handled;
        }
    };
    let delta: Delta = match serde_json::from_slice(&json) {
        Ok(delta) => delta,
        Err(error) => {
            log_event(Event::InputRefused, &format!("peer={peer} reason={error}"));
            return DeltaOutcome::Handled;
        }
    };
    let version_in_force = mesh.config.version();
    if delta.version <= version_in_force {
        return DeltaOutcome::Handled;
    }
    let updated = match delta.base_version {
        0 => delta.apply(&PublishedConfig::default()),
        version if version == version_in_force => {
            let in_force = mesh.config.in_force.borrow();
            in_force.as_ref().and_then(|in_force| delta.apply(&in_force.published))
        }
        _ => return DeltaOutcome::BaseOutdated,
    };
    match updated {
        Some(published) => {
            apply(mesh, published, distance.into());
            DeltaOutcome::Handled
        }
        None if delta.base_version == 0 => DeltaOutcome::Handled,
        None => DeltaOutcome::Incomplete,
    }
}

/// Up to where this daemon has read the configuration in the store.
#[derive(Clone, Copy)]
struct ReadConfig {
    position: StorePosition,
    /// The version in force then.
    version: u64,
}

/// Watches the configuration in the store while this daemon is one of the readers.
pub async fn watch_store(mesh: Rc<Mesh>) {
    let store = StoreClient::new(mesh.settings.platform_addr);
    let mut last_read: Option<ReadConfig> = None;
    let mut is_reading = false;
    // Peers can know a position that the store no longer has either.
    let mut is_history_gone = false;
    let mut failures = 0;
    let mut last_failure: Option<String> = None;
    loop {
        if !should_read_store(&mesh) {
            is_reading = false;
            sleep_ms(READER_POLL_MS).await;
            continue;
        }
        // The first watch as a reader only checks for a newer version.
        let watch_ms = if is_reading { WATCH_MS } else { FIRST_WATCH_MS };
        let started_ms = mesh.now_ms();
        let watch_from = if is_history_gone { None } else { watch_position(&mesh, last_read) };
        let update = match watch_from {
            Some(from) => store.watch_config(from, watch_ms, STORE_TIMEOUT_MS).await,
            None => store.read_config(STORE_TIMEOUT_MS).await,
        };
        record_store_era(&mesh, store.newest_era(), ConfigSource::Store);
        match update {
            Ok(ConfigUpdate { stored, position, age_ms }) => {
                failures = 0;
                is_history_gone = false;
                if !is_reading {
                    // The store holds later watches open, so they do not show the round-trip time.
                    mesh.config.record_store_rtt(mesh.now_ms() - started_ms);
                    is_reading = true;
                }
                if last_failure.take().is_some() {
                    let detail = format!("revision={}", position.revision);
                    log_event(Event::StoreRecovered, &detail);
                }
                if let Some(stored) = stored {
                    let (version, held) = (stored.version(), mesh.config.version());
                    if version < held {
                        let detail =
                            format!("version={version} held={held} revision={}", position.revision);
                        log_event(Event::StoreBehind, &detail);
                    }
                    match stored {
                        StoredConfig::Published(published) => {
                            apply(&mesh, published, ConfigSource::Store);
                        }
                        StoredConfig::Undecodable { version, reason } => {
                            refuse(&mesh, version, ConfigSource::Store, &reason);
                        }
                    }
                }
                last_read = Some(ReadConfig { position, version: mesh.config.version() });
                // While the store holds a version that was refused, the one in force is not the newest.
                let is_newest = mesh.config.refused_version() == 0;
                let confirmed_ms = mesh.now_ms().cast_signed() - age_ms.cast_signed();
                // Peers may have reported a newer era while the call was in progress.
                let is_same_era = position.era == mesh.config.store_era();
                let revision = is_same_era.then_some(position.revision);
                if is_newest && mesh.config.record_confirmation(Some(confirmed_ms), revision) {
                    report::report_config(&mesh, ConfigSource::Store);
                }
            }
            Err(StoreError::HistoryGone) => is_history_gone = true,
            Err(StoreError::NoConfig) => {
                mesh.config.record_store_rtt(mesh.now_ms() - started_ms);
                mesh.config.missing_ms.set(Some(mesh.now_ms()));
                sleep_ms(mesh.with_jitter(RETRY_PAUSE_MS)).await;
            }
            Err(error) => {
                failures += 1;
                mesh.metrics.store_call_failed();
                is_reading = false;
                mesh.config.store_rtt_ms.set(None);
                let reason = error.to_string();
                if last_failure.as_ref() != Some(&reason) {
                    log_event(Event::StoreFailing, &format!("call=config reason={reason}"));
                }
                last_failure = Some(reason);
                let pause_ms = (RETRY_PAUSE_MS << failures.min(4)).min(RETRY_PAUSE_MS_MAX);
                sleep_ms(mesh.with_jitter(pause_ms / 2)).await;
            }
        }
    }
}

/// The position from which to watch the configuration; `None` if it must be read. A watch from before
/// the version in force would return that version once more, so that a position is only used if the
/// version in force was the newest there.
fn watch_position(mesh: &Mesh, last_read: Option<ReadConfig>) -> Option<StorePosition> {
    let local = mesh.config_state();
    let own = last_read.filter(|last| last.version == local.version).map(|last| last.position);
    let confirmed = readers::confirmed_revision(&mesh.peers.borrow(), local)
        .map(|revision| StorePosition { era: local.store_era, revision });
    own.into_iter().chain(confirmed).max_by_key(|position| (position.era, position.revision))
}

/// Whether this daemon should watch the store now.
fn should_read_store(mesh: &Rc<Mesh>) -> bool {
    let now_ms = mesh.now_ms();
    let local = mesh.config_state();
    if local.version == 0 {
        let is_store_near = local.store_rtt_ms.is_some_and(|rtt_ms| rtt_ms < NEAR_STORE_RTT_MS);
        let is_linked = mesh.peers.borrow().linked().next().is_some();
        let delay_ms = if is_linked { LINKED_FIRST_READ_DELAY_MS } else { FIRST_READ_DELAY_MS };
        if !is_store_near && now_ms < delay_ms {
            return false;
        }
    }
    readers::should_read(&mesh.peers.borrow(), local, mesh.config.missing_ms.get(), now_ms)
}
