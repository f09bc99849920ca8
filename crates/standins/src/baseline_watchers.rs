//! The baseline for convergence measurements: each of many clients watches the store directly.

use async_executor::Executor;
use pomeloreach_core::store::{StoreOp, StoreReply};
use pomeloreach_wire::object_store::call_store;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// How long the store may hold a watch request open, in milliseconds.
const WATCH_WAIT_MS: u32 = 10_000;

/// The key of each object that a watcher received, with the wall clock in milliseconds at that time.
pub type ReceivedTimes = Arc<Mutex<Vec<(Arc<str>, u64)>>>;

/// Starts `count` watchers of a key prefix; dropping the tasks stops them.
pub fn start_watchers(
    executor: &Arc<Executor<'static>>,
    store: SocketAddr,
    prefix: &str,
    count: usize,
    received: &ReceivedTimes,
) -> Vec<async_executor::Task<()>> {
    let prefix: Arc<str> = prefix.into();
    (0..count)
        .map(|_| executor.spawn(watch_prefix(store, prefix.clone(), received.clone())))
        .collect()
}

/// Watches a prefix without end, starting at the store's current revision.
async fn watch_prefix(store: SocketAddr, prefix: Arc<str>, received: ReceivedTimes) {
    let list = StoreOp::List { prefix: prefix.clone(), start_after: None, limit: 1 };
    let mut after_revision = match call_store(store, &list).await {
        Ok(StoreReply::Listed { revision, .. }) => revision,
        _ => 0,
    };
    loop {
        let op = StoreOp::Watch { prefix: prefix.clone(), after_revision, wait_ms: WATCH_WAIT_MS };
        if let Ok(StoreReply::Changed { objects, revision }) = call_store(store, &op).await {
            after_revision = revision;
            let now_ms = unix_ms();
            let mut received = received.lock().unwrap();
            received.extend(objects.into_iter().map(|object| (object.key, now_ms)));
        }
    }
}

/// Returns the wall clock in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
