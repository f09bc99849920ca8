//! The records of the services that this daemon's callers use.

use crate::runtime::{Shared, lock};
use event_listener::Event;
use pomeloreach_core::membership::Entry;
use pomeloreach_core::node::Input;
use pomeloreach_wire::clock::within_ms;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// How long a first request for a service waits for its records, in milliseconds.
const FIRST_WAIT_MS: u64 = 2_000;

/// Records by service, as the control plane hands them over.
#[derive(Default)]
pub struct ServiceDirectory {
    services: Mutex<BTreeMap<Arc<str>, Arc<Vec<Entry>>>>,
    changed: Event,
}

impl ServiceDirectory {
    pub fn set(&self, service: Arc<str>, entries: Vec<Entry>) {
        lock(&self.services).insert(service, Arc::new(entries));
        self.changed.notify(usize::MAX);
    }

    fn get(&self, service: &str) -> Option<Arc<Vec<Entry>>> {
        lock(&self.services).get(service).cloned()
    }
}

/// The records of a service, which are asked for when they are first needed.
pub async fn entries_for(
    shared: &Shared,
    service: &Arc<str>,
    left_ms: u64,
) -> Option<Arc<Vec<Entry>>> {
    if let Some(entries) = shared.directory.get(service) {
        return Some(entries);
    }
    shared.send_input(Input::Subscribe { service: service.clone() }).await;
    wait_for_new_entries(shared, service, None, left_ms.min(FIRST_WAIT_MS)).await
}

/// Waits until there are records of a service other than those seen.
pub async fn wait_for_new_entries(
    shared: &Shared,
    service: &Arc<str>,
    seen: Option<&Arc<Vec<Entry>>>,
    wait_ms: u64,
) -> Option<Arc<Vec<Entry>>> {
    let arrival = async {
        loop {
            let changed = shared.directory.changed.listen();
            if let Some(entries) = shared.directory.get(service)
                && seen.is_none_or(|seen| !Arc::ptr_eq(seen, &entries))
            {
                return entries;
            }
            changed.await;
        }
    };
    within_ms(wait_ms, arrival).await
}
