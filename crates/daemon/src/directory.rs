//! The endpoint records of the services that the callers of this daemon use.

use crate::runtime::{Shared, lock};
use event_listener::Event;
use pomeloreach_core::membership::Entry;
use pomeloreach_core::node::Input;
use pomeloreach_wire::clock::within_ms;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// Longest time that the first request for a service waits for its records, in milliseconds.
const SUBSCRIBE_TIMEOUT_MS: u64 = 2_000;

/// Endpoint records by service, as last reported by the control plane.
#[derive(Default)]
pub struct ServiceDirectory {
    services: Mutex<BTreeMap<Arc<str>, Arc<Vec<Entry>>>>,
    changed: Event,
}

impl ServiceDirectory {
    /// Replaces the records of a service and wakes the requests that wait for a change.
    pub fn set(&self, service: Arc<str>, entries: Vec<Entry>) {
        lock(&self.services).insert(service, Arc::new(entries));
        self.changed.notify(usize::MAX);
    }

    fn get(&self, service: &str) -> Option<Arc<Vec<Entry>>> {
        lock(&self.services).get(service).cloned()
    }
}

/// Returns the records of a service. The first request for a service subscribes to it and waits for
/// its records.
pub async fn entries_for(
    shared: &Shared,
    service: &Arc<str>,
    left_ms: u64,
) -> Option<Arc<Vec<Entry>>> {
    if let Some(entries) = shared.directory.get(service) {
        return Some(entries);
    }
    shared.send_input(Input::Subscribe { service: service.clone() }).await;
    wait_for_new_entries(shared, service, None, left_ms.min(SUBSCRIBE_TIMEOUT_MS)).await
}

/// Waits until the records of a service differ from the known ones, and returns them.
pub async fn wait_for_new_entries(
    shared: &Shared,
    service: &Arc<str>,
    known: Option<&Arc<Vec<Entry>>>,
    wait_ms: u64,
) -> Option<Arc<Vec<Entry>>> {
    let waiting = async {
        loop {
            let changed = shared.directory.changed.listen();
            if let Some(entries) = shared.directory.get(service)
                && known.is_none_or(|known| !Arc::ptr_eq(known, &entries))
            {
                return entries;
            }
            changed.await;
        }
    };
    within_ms(wait_ms, waiting).await
}
