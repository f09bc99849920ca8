//! How daemons find each other: each writes its record to the store, and lists the others.
//!
//! Writing before listing makes sure that of two daemons that start together, one finds the other.
//! From then on links carry what is known, so that the store may be away.

use super::{Mesh, links};
use crate::logging::log_event;
use pomeloreach_core::event::Event;
use pomeloreach_platform::store::{DaemonList, StoreClient, StoreError};
use pomeloreach_wire::clock::sleep_ms;
use std::rc::Rc;

/// How long the store may take for an answer, in milliseconds.
const ANSWER_MS: u64 = 1_500;
/// The first pause after a failed call, in milliseconds.
const RETRY_MS: u64 = 250;
/// The longest pause, in milliseconds: entries must be back two seconds after the store is.
const RETRY_MS_MAX: u64 = 1_000;
/// How often changes are asked for, in milliseconds, for a daemon that was missed. Links tell of new
/// daemons much sooner. With its spread this stays below the store's history of twenty seconds.
const REFRESH_MS: u64 = 8_000;

/// Announces this daemon, and learns of the others.
pub async fn keep(mesh: Rc<Mesh>) {
    let store = StoreClient::new(mesh.settings.platform_addr);
    until_done(&mesh, || store.announce(&mesh.own, ANSWER_MS)).await;
    let mut is_first = true;
    loop {
        // Only the first list must have whatever was announced before.
        let may_be_old = !std::mem::take(&mut is_first);
        let list = until_done(&mesh, || store.list_daemons(may_be_old, ANSWER_MS)).await;
        let mut revision = list.revision;
        learn(&mesh, list);
        loop {
            sleep_ms(mesh.jittered(REFRESH_MS)).await;
            match store.daemon_changes(revision, ANSWER_MS).await {
                Ok(changes) => {
                    revision = changes.list.revision;
                    learn(&mesh, changes.list);
                    for name in changes.removed {
                        mesh.peers.borrow_mut().remove_unlinked(&name);
                    }
                }
                Err(StoreError::HistoryGone) => break,
                Err(error) => note_failure(&mesh, &error),
            }
        }
    }
}

fn learn(mesh: &Rc<Mesh>, list: DaemonList) {
    for reason in list.undecodable {
        log_event(Event::InputRefused, &format!("call=directory reason={reason}"));
    }
    links::learn(mesh, list.records);
}

fn note_failure(mesh: &Rc<Mesh>, error: &StoreError) {
    mesh.metrics.store_failed();
    log_event(Event::StoreFailing, &format!("call=directory reason={error}"));
}

/// Repeats a call until the store confirms it.
async fn until_done<T, F, Fut>(mesh: &Rc<Mesh>, call: F) -> T
where
    F: Fn() -> Fut,
    Fut: Future<Output = Result<T, StoreError>>,
{
    let mut pause_ms = RETRY_MS;
    loop {
        let began_ms = mesh.now_ms();
        match call().await {
            Ok(done) => {
                mesh.config.note_rtt(mesh.now_ms() - began_ms);
                return done;
            }
            Err(error) => note_failure(mesh, &error),
        }
        sleep_ms(mesh.jittered(pause_ms)).await;
        pause_ms = (pause_ms * 2).min(RETRY_MS_MAX);
    }
}

/// Removes the record of a daemon whose VM is being removed.
pub async fn withdraw(mesh: &Rc<Mesh>) {
    let store = StoreClient::new(mesh.settings.platform_addr);
    if let Err(error) = store.withdraw(&mesh.own.name, ANSWER_MS).await {
        log_event(Event::StoreFailing, &format!("call=withdraw reason={error}"));
    }
}
