//! The buffer of a body that is being read.

use super::reader::MessageError;
use crate::memory::budget::Purpose;
use crate::memory::{Charge, Hold, Memory};
use bytes::Bytes;
use std::sync::Arc;

/// The first allocation of a body whose length is not known, in bytes.
const FIRST_BYTES: usize = 4 * 1024;
/// Up to this capacity, an allocation grows to twice its size, and beyond it by a half: less of a large
/// one is left unused then.
const DOUBLED_BYTES_MAX: usize = 1024 * 1024;
/// The number of bytes that count as progress of a body: one that arrives in single bytes stalls.
const PROGRESS_BYTES: usize = 16 * 1024;

/// A body that is being read. Its allocation is charged before it is made.
pub struct BodyBuffer<'a> {
    bytes: Vec<u8>,
    charge: Charge,
    /// The holder of a request's memory; `None` for a response.
    hold: Option<&'a Hold>,
    bytes_max: usize,
    /// Bytes that arrived since progress was last recorded.
    new_bytes: usize,
}

impl<'a> BodyBuffer<'a> {
    pub fn new(memory: &Arc<Memory>, hold: Option<&'a Hold>, bytes_max: usize) -> Self {
        Self { bytes: Vec::new(), charge: memory.empty_charge(), hold, bytes_max, new_bytes: 0 }
    }

    /// Fails if so many further bytes would exceed the limit.
    pub fn check_room(&self, bytes: usize) -> Result<(), MessageError> {
        if bytes > self.bytes_max - self.bytes.len() {
            return Err(MessageError::BodyTooLarge(self.bytes_max));
        }
        Ok(())
    }

    /// Charges and allocates the capacity for a body of a known length. Of a response, whose sender
    /// may announce any length, no more than a first part is allocated before it arrives.
    pub fn reserve_length(&mut self, length: usize) -> Result<(), MessageError> {
        self.reserve(if self.hold.is_some() { length } else { length.min(DOUBLED_BYTES_MAX) })
    }

    /// Charges and allocates an exact capacity.
    fn reserve(&mut self, capacity: usize) -> Result<(), MessageError> {
        let missing = capacity.saturating_sub(self.charge.bytes());
        let purpose = match self.hold {
            Some(_) => Purpose::Request { bytes: capacity },
            None => Purpose::Result,
        };
        if !self.charge.try_grow(self.hold, missing, purpose) {
            return Err(MessageError::NoMemory);
        }
        if let Some(hold) = self.hold {
            hold.add_bytes(missing);
        }
        let additional = capacity.saturating_sub(self.bytes.len());
        self.bytes.try_reserve_exact(additional).map_err(|_| MessageError::NoMemory)
    }

    /// Appends bytes.
    pub fn extend(&mut self, bytes: &[u8]) -> Result<(), MessageError> {
        self.check_room(bytes.len())?;
        let needed = self.bytes.len() + bytes.len();
        let capacity = self.bytes.capacity();
        if needed > capacity {
            let grown = if capacity <= DOUBLED_BYTES_MAX { capacity * 2 } else { capacity / 2 * 3 };
            self.reserve(grown.max(FIRST_BYTES).min(self.bytes_max).max(needed))?;
        }
        self.bytes.extend_from_slice(bytes);
        self.new_bytes += bytes.len();
        if let Some(hold) = self.hold
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
