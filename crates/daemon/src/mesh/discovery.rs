//! How daemons discover each other: each writes its record to the store and lists the others.
//!
//! When the whole fleet starts, each daemon writes before it lists, so that of two daemons at least
//! one finds the other. Later a daemon lists first: after a restart its record is there already.
//! Links then exchange the known daemons, so that the store may be unavailable. When the store has
//! come back from an earlier copy, each daemon checks its own record.

use super::{Mesh, config, links};
use crate::logging::log_event;
use futures_lite::future::or;
use pomeloreach_core::event::Event;
use pomeloreach_core::mesh::dissemination::{ConfigSource, Distance};
use pomeloreach_core::mesh::own_record::{OwnRecord, RecordAction};
use pomeloreach_core::mesh::peers::RecordSource;
use pomeloreach_core::mesh::state::DaemonRecord;
use pomeloreach_platform::store::{
    DaemonChanges, DaemonList, StoreClient, StoreError, UndecodableRecord,
};
use pomeloreach_wire::clock::sleep_ms;
use std::rc::Rc;

/// How long the store may send nothing during a call, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 1_500;
/// The first pause after a failed call, in milliseconds, without jitter.
const RETRY_PAUSE_MS: u64 = 250;
/// The longest pause after a failed call, in milliseconds, without jitter, which at most doubles it:
/// records must be back two seconds after the store has recovered.
const RETRY_PAUSE_MS_MAX: u64 = 1_000;
/// How often the store is polled for daemons that the links did not report, in milliseconds. Links
/// report new daemons much sooner. With jitter the interval stays below the store's history of
/// twenty seconds.
const CHANGES_POLL_MS: u64 = 8_000;
/// The checks of all daemons are spread over this time after they know that the store came back from
/// a copy, in milliseconds.
const CHECK_SPREAD_MS: f64 = 1_000.0;
/// The shortest time between two requests for the daemons that peers know, in milliseconds. Each
/// response is as long as the fleet is large.
const DAEMONS_REQUEST_MS_MIN: u64 = 500;

/// Announces this daemon in the store, then lists the other daemons and polls for changes.
pub async fn run(mesh: Rc<Mesh>) {
    let store = StoreClient::new(mesh.settings.platform_addr);
    let mut own_record = OwnRecord::default();
    if mesh.mesh_settings.borrow().is_first_start {
        announce(&mesh, &store, &mut own_record).await;
    }
    // The era of the last list that was not stale; `None` if a list must not be stale.
    let mut listed_era = None;
    loop {
        // Only the first list of an era must include every record that was announced before.
        let allow_stale = listed_era == Some(store.newest_era());
        let list =
            retry_until_ok(&mesh, &store, || store.list_daemons(allow_stale, STORE_TIMEOUT_MS))
                .await;
        let mut position = list.position;
        let is_listed = list.records.iter().any(|record| is_own_record(&mesh, record));
        if !allow_stale {
            listed_era = Some(position.era);
            if is_listed {
                own_record.record_checked(position.era);
            }
        }
        if !is_listed {
            own_record.record_changed();
        }
        add_listed_daemons(&mesh, list);
        mesh.has_listed_daemons.set(true);
        if !own_record.is_announced() {
            // Lists once more, for daemons that were announced meanwhile.
            announce(&mesh, &store, &mut own_record).await;
            listed_era = None;
            continue;
        }
        loop {
            let poll_ms = mesh.now_ms() + mesh.with_jitter(CHANGES_POLL_MS);
            while mesh.now_ms() < poll_ms {
                let store_era_risen = mesh.config.store_era_risen.listen();
                if own_record.must_check(mesh.config.store_era()) {
                    sleep_ms((CHECK_SPREAD_MS * mesh.random()) as u64).await;
                    check_own_record(&mesh, &store, &mut own_record).await;
                } else {
                    or(sleep_ms(poll_ms.saturating_sub(mesh.now_ms())), store_era_risen).await;
                }
            }
            let changes = store.daemon_changes(position, STORE_TIMEOUT_MS).await;
            config::record_store_era(&mesh, store.newest_era(), ConfigSource::Store);
            match changes {
                Ok(changes) => {
                    position = changes.list.position;
                    if changes_own_record(&mesh, &changes) {
                        own_record.record_changed();
                    }
                    add_listed_daemons(&mesh, changes.list);
                    for name in changes.removed {
                        mesh.peers.borrow_mut().record_removed(&name, mesh.now_ms());
                    }
                }
                // The store no longer has the changes since that position: lists all daemons again.
                Err(StoreError::HistoryGone) => break,
                Err(error) => record_store_failure(&mesh, &error),
            }
        }
    }
}

/// Writes the record of this daemon.
async fn announce(mesh: &Rc<Mesh>, store: &StoreClient, own_record: &mut OwnRecord) {
    retry_until_ok(mesh, store, || store.announce(&mesh.local, STORE_TIMEOUT_MS)).await;
    own_record.record_checked(store.newest_era());
}

/// Whether changes leave the record of this daemon other than it wrote it.
fn changes_own_record(mesh: &Mesh, changes: &DaemonChanges) -> bool {
    let name = &*mesh.local.name;
    let is_replaced = |record: &DaemonRecord| *record.name == *name && !is_own_record(mesh, record);
    changes.list.records.iter().any(is_replaced)
        || changes.list.undecodable.iter().any(|record| record.name == name)
        || changes.removed.contains(name)
}

/// Reads the record of this daemon after the store came back from a copy or another writer changed the
/// record, and writes or removes it if necessary.
async fn check_own_record(mesh: &Rc<Mesh>, store: &StoreClient, own_record: &mut OwnRecord) {
    let name = &mesh.local.name;
    let found = retry_until_ok(mesh, store, || store.find_daemon(name, STORE_TIMEOUT_MS)).await;
    let era = store.newest_era();
    let is_found = found.is_some_and(|record| is_own_record(mesh, &record));
    let action = RecordAction::after_check(is_found, !mesh.is_being_removed());
    if action != RecordAction::Keep {
        let era = era.unwrap_or_default();
        log_event(Event::RecordRestored, &format!("era={era} action={action}"));
    }
    match action {
        RecordAction::Keep => own_record.record_checked(era),
        RecordAction::Announce => announce(mesh, store, own_record).await,
        RecordAction::Withdraw => {
            withdraw(mesh).await;
            own_record.record_checked(era);
        }
    }
}

/// Whether a listed record is that of this daemon, from this or an earlier start. Peers learn the
/// start from the daemon itself.
fn is_own_record(mesh: &Mesh, record: &DaemonRecord) -> bool {
    DaemonRecord { start_id: mesh.local.start_id, ..record.clone() } == mesh.local
}

fn add_listed_daemons(mesh: &Rc<Mesh>, list: DaemonList) {
    for UndecodableRecord { name, reason } in list.undecodable {
        log_event(Event::InputRefused, &format!("call=directory reason={name}: {reason}"));
    }
    links::add_known_daemons(mesh, list.records, RecordSource::Store);
}

fn record_store_failure(mesh: &Rc<Mesh>, error: &StoreError) {
    mesh.metrics.store_call_failed();
    log_event(Event::StoreFailing, &format!("call=directory reason={error}"));
}

/// Repeats a call until it succeeds.
async fn retry_until_ok<T, F, Fut>(mesh: &Rc<Mesh>, store: &StoreClient, call: F) -> T
where
    F: Fn() -> Fut,
    Fut: Future<Output = Result<T, StoreError>>,
{
    let mut pause_ms = RETRY_PAUSE_MS;
    loop {
        let started_ms = mesh.now_ms();
        let result = call().await;
        config::record_store_era(mesh, store.newest_era(), ConfigSource::Store);
        match result {
            Ok(value) => {
                mesh.config.record_store_rtt(mesh.now_ms() - started_ms);
                return value;
            }
            Err(error) => record_store_failure(mesh, &error),
        }
        sleep_ms(mesh.with_jitter(pause_ms)).await;
        pause_ms = (pause_ms * 2).min(RETRY_PAUSE_MS_MAX);
    }
}

/// Whether to request the daemons that a peer knows, after it reported how many those are. A daemon
/// that could not list them in the store asks any peer; later only peers of its zone are asked,
/// where traffic is cheap and most new daemons matter.
pub fn should_request_daemons(mesh: &Mesh, known_count: u32, distance: Distance) -> bool {
    let now_ms = mesh.now_ms();
    let requested_ms = mesh.links.daemons_requested_ms.get();
    let is_due = requested_ms.is_none_or(|ms| now_ms >= ms + DAEMONS_REQUEST_MS_MIN);
    let may_request = !mesh.has_listed_daemons.get() || distance == Distance::SameZone;
    let should_request = is_due && may_request && known_count > links::daemon_count(mesh);
    if should_request {
        mesh.links.daemons_requested_ms.set(Some(now_ms));
    }
    should_request
}

/// Removes the record of this daemon, whose VM is being removed.
pub async fn withdraw(mesh: &Rc<Mesh>) {
    let store = StoreClient::new(mesh.settings.platform_addr);
    if let Err(error) = store.withdraw(&mesh.local.name, STORE_TIMEOUT_MS).await {
        log_event(Event::StoreFailing, &format!("call=withdraw reason={error}"));
    }
}
