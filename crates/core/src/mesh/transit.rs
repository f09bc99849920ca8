//! Measures how long messages were on their way, so that a daemon that was paused, or whose link was
//! congested, does not act on a request whose time has run out meanwhile.
//!
//! A call states how much time was left when it was sent. The clocks of two daemons differ by an
//! unknown offset, but the offset does not change while a link is open. The message with the lowest
//! difference between its times of arrival and sending was on its way for the shortest time; every
//! other one took longer by the difference to it.

/// Measures the messages of one link.
#[derive(Clone, Copy, Debug, Default)]
pub struct TransitClock {
    /// The lowest difference between the time of arrival and that of sending, in milliseconds.
    lowest_offset_ms: Option<i64>,
}

impl TransitClock {
    /// Returns how much longer than the fastest message so far a message was on its way, in
    /// milliseconds. `sent_ms` is by the sender's clock, `received_ms` by that of the receiver. Both
    /// must count the time for which a VM was suspended.
    pub fn transit_ms(&mut self, sent_ms: u64, received_ms: u64) -> u64 {
        let offset_ms = received_ms.cast_signed().wrapping_sub(sent_ms.cast_signed());
        let lowest_ms = self.lowest_offset_ms.map_or(offset_ms, |lowest| lowest.min(offset_ms));
        self.lowest_offset_ms = Some(lowest_ms);
        offset_ms.saturating_sub(lowest_ms).unsigned_abs()
    }
}
