//! Memory that is reserved for a response before its request is passed on.

use super::budget::Purpose;
use super::{Charge, Memory};
use crate::clock::{sleep_ms, within_ms};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How often something that waits for memory asks again, in milliseconds.
const POLL_MS: u64 = 5;

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
        let reserving = async {
            loop {
                if let Some(room) = Self::try_reserve(memory, bytes) {
                    return room;
                }
                sleep_ms(POLL_MS).await;
            }
        };
        within_ms(wait_ms, reserving).await
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
        while !self.try_extend(bytes) {
            sleep_ms(POLL_MS).await;
        }
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
