//! Memory that is reserved for a response before its request is passed on.

use super::budget::Purpose;
use super::{Charge, Memory};
use crate::clock::{sleep_ms, within_ms};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// After how long something that waits for memory asks again at first, in milliseconds. The pause doubles
/// up to `POLL_MS_MAX`: while memory is short many wait, and each question looks at all connections.
const POLL_MS: u64 = 5;
const POLL_MS_MAX: u64 = 40;

/// Memory that is reserved for one response, shared by all that take part in receiving it. What is not
/// taken is returned when the last of them drops it.
#[derive(Clone, Debug)]
pub struct Room {
    reserved: Arc<Mutex<Charge>>,
}

impl Room {
    /// A room in which nothing is reserved.
    pub fn empty(memory: &Arc<Memory>) -> Self {
        Self { reserved: Arc::new(Mutex::new(memory.empty_charge())) }
    }

    /// Reserves memory for a response of so many bytes to a request that has not run. `None` if the
    /// budget has no room for it.
    pub fn try_reserve(memory: &Arc<Memory>, bytes: usize) -> Option<Self> {
        Some(Self { reserved: Arc::new(Mutex::new(memory.try_charge(bytes)?)) })
    }

    /// Like [`Self::try_reserve`], and waits for room for `wait_ms` at most.
    pub async fn reserve(memory: &Arc<Memory>, bytes: usize, wait_ms: u64) -> Option<Self> {
        within_ms(wait_ms, retry_until_some(|| Self::try_reserve(memory, bytes))).await
    }

    /// The number of bytes that are reserved and not taken.
    pub fn bytes(&self) -> usize {
        self.reserved().bytes()
    }

    /// Reserves what is missing for a response of so many bytes. Returns whether there is room for it.
    pub fn try_extend(&self, bytes: usize) -> bool {
        let mut reserved = self.reserved();
        let missing = bytes.saturating_sub(reserved.bytes());
        missing == 0 || reserved.try_grow(None, missing, Purpose::Response)
    }

    /// Takes the memory for a part of the response, and waits until there is room for it.
    pub async fn take(&self, bytes: usize) -> Charge {
        retry_until_some(|| self.try_extend(bytes).then_some(())).await;
        self.reserved().split(bytes)
    }

    /// Takes the memory for bytes that are about to be received in any case.
    pub fn take_now(&self, bytes: usize) -> Charge {
        let mut reserved = self.reserved();
        let missing = bytes.saturating_sub(reserved.bytes());
        reserved.try_grow(None, missing, Purpose::Present);
        reserved.split(bytes)
    }

    fn reserved(&self) -> MutexGuard<'_, Charge> {
        self.reserved.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Repeats a request for memory until it is granted, or ends for another reason.
pub async fn retry_until_some<T>(request: impl Fn() -> Option<T>) -> T {
    let mut pause_ms = POLL_MS;
    loop {
        if let Some(result) = request() {
            return result;
        }
        sleep_ms(pause_ms).await;
        pause_ms = (pause_ms * 2).min(POLL_MS_MAX);
    }
}
