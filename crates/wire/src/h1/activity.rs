//! What happens on a client's connection, as far as it decides when the connection may be closed.

use super::reader::ReceivedTime;
use crate::clock::Clock;
use crate::memory::budget::STALL_MS;
use std::cell::Cell;

/// The requests in progress on a connection, and when it last made progress.
#[derive(Debug)]
pub struct ConnectionActivity {
    clock: Clock,
    received: ReceivedTime,
    /// The number of requests that have started or were refused, and whose responses are not sent yet.
    in_flight: Cell<usize>,
    /// When the last response was sent.
    last_sent_ms: Cell<u64>,
    /// When the response that is being sent last made progress; `None` while none is being sent.
    sending_ms: Cell<Option<u64>>,
    /// The bytes of responses that are complete and not sent yet.
    queued_bytes: Cell<usize>,
    /// The bytes that are expected of responses that are not complete.
    expected_bytes: Cell<usize>,
}

impl Default for ConnectionActivity {
    fn default() -> Self {
        Self::new(Clock::default())
    }
}

impl ConnectionActivity {
    /// The activity of a connection that was accepted now. Connections are compared by the time of
    /// the same clock.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            received: ReceivedTime::new(clock),
            in_flight: Cell::new(0),
            last_sent_ms: Cell::new(clock.now_ms()),
            sending_ms: Cell::new(None),
            queued_bytes: Cell::new(0),
            expected_bytes: Cell::new(0),
        }
    }

    /// Since when the connection has made no progress, if it may be closed in favour of another one:
    /// no request runs, so that it is idle or its request is incomplete, or its client reads no
    /// responses.
    pub fn closable_since_ms(&self) -> Option<u64> {
        if self.is_idle() {
            return Some(self.received.received_ms().max(self.last_sent_ms.get()));
        }
        let is_stalled = |sending_ms: &u64| self.clock.now_ms() >= sending_ms + STALL_MS;
        self.sending_ms.get().filter(is_stalled)
    }

    pub(super) fn received(&self) -> ReceivedTime {
        self.received.clone()
    }

    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.get() == 0
    }

    pub(super) fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    pub(super) fn request_started(&self) {
        self.in_flight.set(self.in_flight.get() + 1);
    }

    pub(super) fn response_expected(&self, expected_bytes: usize) {
        self.expected_bytes.set(self.expected_bytes.get() + expected_bytes);
    }

    /// A response is complete of which `expected_bytes` were expected.
    pub(super) fn response_complete(&self, expected_bytes: usize, bytes: usize) {
        self.expected_bytes.set(self.expected_bytes.get().saturating_sub(expected_bytes));
        self.queued_bytes.set(self.queued_bytes.get() + bytes);
    }

    /// The bytes of all responses that are not sent yet, as far as they are known or expected.
    pub(super) fn outstanding_bytes(&self) -> usize {
        self.queued_bytes.get() + self.expected_bytes.get()
    }

    pub(super) fn sending(&self) {
        self.sending_ms.set(Some(self.clock.now_ms()));
    }

    pub(super) fn response_sent(&self, bytes: usize) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
        self.queued_bytes.set(self.queued_bytes.get().saturating_sub(bytes));
        self.last_sent_ms.set(self.clock.now_ms());
        self.sending_ms.set(None);
    }

    pub(super) fn queued_bytes(&self) -> usize {
        self.queued_bytes.get()
    }

    /// How long no request has been in progress.
    pub(super) fn idle_ms(&self) -> u64 {
        if self.is_idle() { self.clock.now_ms() - self.last_sent_ms.get() } else { 0 }
    }
}
