//! Keeps the targets of this VM that have left in the store, so that the acknowledgement of a leave
//! outlives all daemons. The decisions are made in [`pomeloreach_core::mesh::departures`].

use super::{Mesh, config};
use crate::logging::log_event;
use event_listener::Event as Notify;
use futures_lite::future::or;
use http::StatusCode;
use pomeloreach_core::event::Event;
use pomeloreach_core::mesh::departures::{DepartureCall, DepartureLog, DepartureSweep};
use pomeloreach_core::mesh::dissemination::ConfigSource;
use pomeloreach_core::mesh::heartbeat::TargetStart;
use pomeloreach_core::mesh::readers;
use pomeloreach_platform::store::{StoreClient, StoreError};
use pomeloreach_wire::clock::{sleep_ms, within_ms};
use std::cell::RefCell;
use std::rc::Rc;

/// How long the store may send nothing during a call, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 1_500;
/// The first pause after a failed call, in milliseconds, without jitter.
const RETRY_PAUSE_MS: u64 = 100;
/// The longest pause after a failed call, in milliseconds, without jitter.
const RETRY_PAUSE_MS_MAX: u64 = 1_000;
/// How long a leave waits until it is in the store, in milliseconds. An acknowledgement counts only if
/// it arrives within a second.
const ACKNOWLEDGE_MS_MAX: u64 = 800;
/// How often the records of all VMs are checked, in milliseconds, without jitter.
const SWEEP_INTERVAL_MS: u64 = 60_000;

/// The targets of this VM that have left, and the tasks that wait for changes of what is known of them.
pub struct Departures {
    log: RefCell<DepartureLog>,
    /// Notified when a target leaves.
    added: Notify,
    /// Notified after each call to the store.
    call_ended: Notify,
}

impl Departures {
    pub fn new(is_first_start: bool) -> Self {
        let log =
            if is_first_start { DepartureLog::of_first_start() } else { DepartureLog::default() };
        Self { log: RefCell::new(log), added: Notify::new(), call_ended: Notify::new() }
    }

    /// Records that a target has left. Returns whether the store holds that, for which it waits for
    /// `ACKNOWLEDGE_MS_MAX`.
    pub async fn record(&self, start: TargetStart, now_ms: u64) -> bool {
        self.log.borrow_mut().add(start.clone(), now_ms);
        self.added.notify(usize::MAX);
        let storing = async {
            loop {
                let call_ended = self.call_ended.listen();
                if self.log.borrow().is_stored(&start) {
                    return;
                }
                call_ended.await;
            }
        };
        within_ms(ACKNOWLEDGE_MS_MAX, storing).await.is_some()
    }
}

/// Reads the targets that left before this process started, then writes each further one.
pub async fn run(mesh: Rc<Mesh>) {
    let store = StoreClient::new(mesh.settings.platform_addr);
    let mut pause_ms = RETRY_PAUSE_MS;
    loop {
        let added = mesh.departures.added.listen();
        let store_era_risen = mesh.config.store_era_risen.listen();
        let newest_era = mesh.config.store_era();
        let next_call = mesh.departures.log.borrow_mut().next_call(newest_era, mesh.now_ms());
        let Some(call) = next_call else {
            or(added, store_era_risen).await;
            continue;
        };
        let result = make_call(&mesh, &store, call).await;
        // The next call may be much later, when the connection may have gone silent. A leave cannot wait
        // until that is noticed.
        store.close_idle();
        config::record_store_era(&mesh, store.newest_era(), ConfigSource::Store);
        mesh.departures.call_ended.notify(usize::MAX);
        match result {
            Ok(()) => pause_ms = RETRY_PAUSE_MS,
            Err(error) => {
                mesh.metrics.store_call_failed();
                log_event(Event::StoreFailing, &format!("call=departures reason={error}"));
                sleep_ms(mesh.with_jitter(pause_ms)).await;
                pause_ms = (pause_ms * 2).min(RETRY_PAUSE_MS_MAX);
            }
        }
    }
}

async fn make_call(
    mesh: &Rc<Mesh>,
    store: &StoreClient,
    call: DepartureCall,
) -> Result<(), StoreError> {
    let vm = &mesh.local.name;
    let log = &mesh.departures.log;
    let (written, starts) = match call {
        DepartureCall::Read => {
            let read = store.find_departures(vm, STORE_TIMEOUT_MS).await?;
            let is_complete = read.undecodable.is_none();
            if let Some(reason) = read.undecodable {
                log_event(Event::InputRefused, &format!("call=departures reason={reason}"));
            }
            let starts = read.record.iter().flat_map(|record| record.starts.clone()).collect();
            log.borrow_mut().record_read(read.record, store.newest_era(), mesh.now_ms());
            apply_earlier_departures(mesh, starts, is_complete);
            return Ok(());
        }
        DepartureCall::Create(starts) => {
            (store.create_departures(vm, &starts, STORE_TIMEOUT_MS).await, starts)
        }
        DepartureCall::Replace(record) => {
            (store.replace_departures(vm, &record, STORE_TIMEOUT_MS).await, record.starts)
        }
    };
    match written {
        Ok(()) => log.borrow_mut().record_written(starts, store.newest_era()),
        Err(error) => {
            log.borrow_mut().record_failed_write();
            let has_changed =
                matches!(error, StoreError::Refused(StatusCode::CONFLICT | StatusCode::NOT_FOUND));
            // A record that has changed is read at once.
            return if has_changed { Ok(()) } else { Err(error) };
        }
    }
    Ok(())
}

/// Applies the targets that left before this process started, after which the local target can be
/// used. If another writer has damaged the record, it can lack some: the local target is then used as if
/// the store were unavailable.
fn apply_earlier_departures(mesh: &Rc<Mesh>, starts: Vec<TargetStart>, is_complete: bool) {
    let now_ms = mesh.now_ms();
    for start in starts {
        if mesh.local_target.borrow_mut().apply_leave(start.clone(), now_ms) {
            log_event(Event::TargetLeft, &format!("target={} source=store", start.id));
        }
        mesh.peers.borrow_mut().add_departed(start, now_ms);
    }
    if is_complete {
        mesh.local_target.borrow_mut().set_knows_departed();
    }
    mesh.publish_target_change();
}

/// Removes old records of all VMs while this daemon is the first of those that read the store.
pub async fn sweep(mesh: Rc<Mesh>) {
    let store = StoreClient::new(mesh.settings.platform_addr);
    let mut sweep = DepartureSweep::default();
    loop {
        sleep_ms(mesh.with_jitter(SWEEP_INTERVAL_MS)).await;
        if !readers::is_first_reader(&mesh.peers.borrow(), mesh.config_state()) {
            continue;
        }
        if let Err(error) = remove_old_records(&mesh, &store, &mut sweep).await {
            mesh.metrics.store_call_failed();
            log_event(Event::StoreFailing, &format!("call=departures reason={error}"));
        }
    }
}

async fn remove_old_records(
    mesh: &Rc<Mesh>,
    store: &StoreClient,
    sweep: &mut DepartureSweep,
) -> Result<(), StoreError> {
    let list = store.list_departures(STORE_TIMEOUT_MS).await?;
    for (vm, revision) in sweep.observe(list.position.era, list.records, mesh.now_ms()) {
        match store.remove_departures(&vm, revision, STORE_TIMEOUT_MS).await {
            // Another daemon removed it, or its VM has written it again.
            Ok(()) | Err(StoreError::Refused(StatusCode::CONFLICT | StatusCode::NOT_FOUND)) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
