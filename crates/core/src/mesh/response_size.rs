//! The size that is expected of the responses of a route. Memory for it is reserved before a request is
//! passed on, at the origin and at the daemon of the target; see `docs/MESH.md`, "Bounds".

use crate::call::BODY_BYTES_MAX;

/// What is expected of a route without a response so far, in bytes.
const FIRST_BYTES: usize = 16 * 1024;
/// The least that is expected, in bytes: as much as a request takes itself.
const BYTES_MIN: usize = 4 * 1024;
/// A smaller response than expected lowers the expectation by one part of this many of the difference.
const DECAY_DIVISOR: usize = 16;

/// The expected size of one route's responses: that of the largest one lately. A larger response than
/// expected costs a round trip and a wait for memory, so that the expectation rises at once and falls
/// slowly.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExpectedSize {
    /// Absent until the first response.
    largest_bytes: Option<usize>,
}

impl ExpectedSize {
    /// Records the body of a response.
    pub fn record(&mut self, bytes: usize) {
        let largest_bytes = self.largest_bytes.unwrap_or(bytes);
        let decayed_bytes =
            largest_bytes - largest_bytes.saturating_sub(bytes).div_ceil(DECAY_DIVISOR);
        self.largest_bytes = Some(decayed_bytes.max(bytes));
    }

    pub fn bytes(&self) -> usize {
        self.largest_bytes.unwrap_or(FIRST_BYTES).clamp(BYTES_MIN, BODY_BYTES_MAX)
    }
}
