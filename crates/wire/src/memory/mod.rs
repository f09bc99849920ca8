//! The memory budget of a process, and the buffers that are charged to it.

pub mod budget;
mod room;

pub use room::{Room, retry_until_some};

use crate::clock::Clock;
use async_channel::{Receiver, Sender};
use budget::{Budget, HolderKind, Purpose};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

/// Buffers below this size are not charged when they are wrapped: the charge would take a good part of
/// their size itself.
const CHARGED_BYTES_MIN: usize = 1_024;

/// A budget that all buffers of a process share.
#[derive(Debug)]
pub struct Memory {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    budget: Budget,
    /// Tells holders that their connections must be closed.
    closings: BTreeMap<u64, Sender<()>>,
}

impl Memory {
    pub fn new(total_bytes: usize) -> Arc<Self> {
        let state = State { budget: Budget::new(total_bytes), closings: BTreeMap::new() };
        Arc::new(Self { clock: Clock::default(), state: Mutex::new(state) })
    }

    /// A budget that is never used up, for processes without one.
    pub fn unlimited() -> Arc<Self> {
        static UNLIMITED: OnceLock<Arc<Memory>> = OnceLock::new();
        UNLIMITED.get_or_init(|| Self::new(usize::MAX)).clone()
    }

    /// The largest request that can be granted.
    pub fn request_bytes_max(&self) -> usize {
        self.state().budget.request_bytes_max()
    }

    /// The largest number of open connections.
    pub fn connections_max(&self) -> usize {
        self.state().budget.connections_max()
    }

    pub fn total_bytes(&self) -> usize {
        self.state().budget.total_bytes()
    }

    pub fn used_bytes(&self) -> usize {
        self.state().budget.used_bytes()
    }

    /// Adds a holder whose connection can be closed to reclaim its memory.
    pub fn hold(self: &Arc<Self>, kind: HolderKind) -> Hold {
        let (sender, closing) = async_channel::bounded(1);
        let mut state = self.state();
        let id = state.budget.add_holder(kind, self.clock.now_ms());
        state.closings.insert(id, sender);
        drop(state);
        Hold { memory: self.clone(), id, closing }
    }

    /// A charge of no bytes, which can grow.
    pub fn empty_charge(self: &Arc<Self>) -> Charge {
        Charge { memory: self.clone(), bytes: 0 }
    }

    /// Charges a request that cannot be closed. `None` if the budget has no room for it.
    pub fn try_charge(self: &Arc<Self>, bytes: usize) -> Option<Charge> {
        let mut charge = self.empty_charge();
        charge.try_grow(None, bytes, Purpose::Request { bytes }).then_some(charge)
    }

    /// Charges bytes that are in memory in any case.
    pub fn charge(self: &Arc<Self>, bytes: usize) -> Charge {
        let mut charge = self.empty_charge();
        charge.try_grow(None, bytes, Purpose::Present);
        charge
    }

    /// Charges bytes that are in memory in any case until they are dropped.
    pub fn charged(self: &Arc<Self>, bytes: Bytes) -> Bytes {
        if bytes.len() < CHARGED_BYTES_MIN {
            return bytes;
        }
        let charge = self.charge(bytes.len());
        charge.attach(bytes)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory that is charged until this is dropped.
#[derive(Debug)]
pub struct Charge {
    memory: Arc<Memory>,
    bytes: usize,
}

impl Charge {
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Charges more bytes, which belong to the holder `own` if there is one. Returns false, and
    /// charges nothing, if the budget has no room for them.
    pub fn try_grow(&mut self, own: Option<&Hold>, bytes: usize, purpose: Purpose) -> bool {
        let mut guard = self.memory.state();
        let state = &mut *guard;
        let now_ms = self.memory.clock.now_ms();
        let decision = state.budget.request(own.map(|hold| hold.id), bytes, purpose, now_ms);
        for id in decision.closed {
            if let Some(closing) = state.closings.remove(&id) {
                closing.close();
            }
        }
        if decision.is_granted {
            self.bytes += bytes;
        }
        decision.is_granted
    }

    /// Moves up to `bytes` of this charge to another one.
    fn split(&mut self, bytes: usize) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Self { memory: self.memory.clone(), bytes }
    }

    /// Adds another charge to this one.
    pub fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Makes the charge last as long as `bytes`, including their clones and slices.
    pub fn attach<T: AsRef<[u8]> + Send + 'static>(self, bytes: T) -> Bytes {
        Bytes::from_owner(Charged { bytes, _charge: self })
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.memory.state().budget.release(self.bytes);
    }
}

/// Bytes with their charge.
struct Charged<T> {
    bytes: T,
    _charge: Charge,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Charged<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// A holder of memory, which can be told to give it up. Dropping it removes the holder.
#[derive(Debug)]
pub struct Hold {
    memory: Arc<Memory>,
    id: u64,
    closing: Receiver<()>,
}

impl Hold {
    /// Adds charged bytes to those that this holder has.
    pub fn add_bytes(&self, bytes: usize) {
        self.memory.state().budget.add_holder_bytes(self.id, bytes);
    }

    /// Sets how many of the charged bytes this holder has.
    pub fn set_bytes(&self, bytes: usize) {
        self.memory.state().budget.set_holder_bytes(self.id, bytes);
    }

    /// Records that the connection received or sent bytes.
    pub fn record_progress(&self) {
        let now_ms = self.memory.clock.now_ms();
        self.memory.state().budget.record_progress(self.id, now_ms);
    }

    /// Records that a response begins or ends to be sent.
    pub fn set_sending(&self, is_sending: bool) {
        let now_ms = self.memory.clock.now_ms();
        self.memory.state().budget.set_sending(self.id, is_sending, now_ms);
    }

    /// Completes when the holder must give up its memory.
    pub async fn closed(&self) {
        // The sender is closed, never used.
        self.closing.recv().await.ok();
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut state = self.memory.state();
        state.budget.remove_holder(self.id);
        state.closings.remove(&self.id);
    }
}
