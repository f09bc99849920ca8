//! The buffer of a body that is being read.

use super::reader::MessageError;
use crate::memory::budget::Purpose;
use crate::memory::{Charge, Hold, Memory, Room};
use bytes::Bytes;
use std::sync::Arc;

/// The first allocation of a body whose length is not known, in bytes.
const FIRST_BYTES: usize = 4 * 1024;
/// Up to this capacity, an allocation grows to twice its size, and beyond it by a half: less of a large
/// one is left unused then.
const DOUBLED_BYTES_MAX: usize = 1024 * 1024;
/// The number of bytes that count as progress of a body: one that arrives in single bytes stalls.
const PROGRESS_BYTES: usize = 16 * 1024;

/// Whose memory a body takes.
#[derive(Clone, Copy)]
pub enum BodyOwner<'a> {
    /// A request, which is refused if the budget has no room for it.
    Request(&'a Hold),
    /// A response, which waits for what its room lacks.
    Response(&'a Room),
}

/// A body that is being read. Its allocation is charged before it is made.
pub struct BodyBuffer<'a> {
    bytes: Vec<u8>,
    charge: Charge,
    owner: BodyOwner<'a>,
    bytes_max: usize,
    /// Bytes that arrived since progress was last recorded.
    new_bytes: usize,
}

impl<'a> BodyBuffer<'a> {
    pub fn new(memory: &Arc<Memory>, owner: BodyOwner<'a>, bytes_max: usize) -> Self {
        Self { bytes: Vec::new(), charge: memory.empty_charge(), owner, bytes_max, new_bytes: 0 }
    }

    /// Fails if so many further bytes would exceed the limit.
    pub fn check_room(&self, bytes: usize) -> Result<(), MessageError> {
        if bytes > self.bytes_max - self.bytes.len() {
            return Err(MessageError::BodyTooLarge(self.bytes_max));
        }
        Ok(())
    }

    /// Charges and allocates an exact capacity.
    pub async fn reserve(&mut self, capacity: usize) -> Result<(), MessageError> {
        let missing = capacity.saturating_sub(self.charge.bytes());
        match self.owner {
            BodyOwner::Request(hold) => {
                let purpose = Purpose::Request { bytes: capacity };
                if !self.charge.try_grow(Some(hold), missing, purpose) {
                    return Err(MessageError::NoMemory);
                }
                hold.add_bytes(missing);
            }
            BodyOwner::Response(room) => self.charge.merge(room.take(missing).await),
        }
        let additional = capacity.saturating_sub(self.bytes.len());
        self.bytes.try_reserve_exact(additional).map_err(|_| MessageError::NoMemory)
    }

    /// Appends bytes.
    pub async fn extend(&mut self, bytes: &[u8]) -> Result<(), MessageError> {
        self.check_room(bytes.len())?;
        let needed = self.bytes.len() + bytes.len();
        let capacity = self.bytes.capacity();
        if needed > capacity {
            let grown = if capacity <= DOUBLED_BYTES_MAX { capacity * 2 } else { capacity / 2 * 3 };
            self.reserve(grown.max(FIRST_BYTES).min(self.bytes_max).max(needed)).await?;
        }
        self.bytes.extend_from_slice(bytes);
        self.new_bytes += bytes.len();
        if let BodyOwner::Request(hold) = self.owner
            && self.new_bytes >= PROGRESS_BYTES
        {
            hold.record_progress();
            self.new_bytes = 0;
        }
        Ok(())
    }

    /// The complete body, which is charged until it is dropped.
    pub fn into_bytes(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        self.charge.attach(self.bytes)
    }
}
