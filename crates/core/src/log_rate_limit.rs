//! Limits the rate of log lines per event, so that in an overload the lines that show its cause are
//! not lost among others, and the daemon does not spend its time on logging.
//!
//! Failures and changes of state have a high limit, successful requests a low one. Lines over the
//! limit are left out and counted, and the counts are logged.

use crate::event::Event;
use std::collections::BTreeMap;

/// Lines per second of each event that reports one successful request: enough for a sample at any
/// load.
const SUCCESS_PER_S: f64 = 5.0;
/// Lines per second of each event that reports one failed request. A daemon that serves 50 requests
/// per second can fail all of them and still log each one.
const FAILURE_PER_S: f64 = 50.0;
/// Lines per second of any other event.
const OTHER_PER_S: f64 = 100.0;
/// Size of the token bucket: a burst may have the lines of this many seconds.
const BURST_S: f64 = 4.0;
/// How often the number of left out lines is reported, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 5_000;

/// The token bucket of one event. Each line takes one token.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    last_refill_ms: u64,
    left_out: u64,
}

/// The token buckets of all events.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    buckets: BTreeMap<Event, Bucket>,
    last_report_ms: u64,
}

/// The limit of an event, in lines per second.
fn lines_per_s(event: Event) -> f64 {
    match event {
        Event::RequestAnswered | Event::RequestRun => SUCCESS_PER_S,
        Event::RequestFailed
        | Event::AttemptRepeated
        | Event::DoorRefused
        | Event::HandOverFailed
        | Event::RequestCancelled
        | Event::HeaderDropped
        | Event::ClientBounded => FAILURE_PER_S,
        _ => OTHER_PER_S,
    }
}

impl LogRateLimiter {
    /// Whether a line of this event may be written now. If not, it is counted as left out.
    pub fn allows(&mut self, event: Event, now_ms: u64) -> bool {
        let per_s = lines_per_s(event);
        let full = Bucket { tokens: per_s * BURST_S, last_refill_ms: now_ms, left_out: 0 };
        let bucket = self.buckets.entry(event).or_insert(full);
        let elapsed_s = now_ms.saturating_sub(bucket.last_refill_ms) as f64 / 1_000.0;
        bucket.tokens = (bucket.tokens + elapsed_s * per_s).min(per_s * BURST_S);
        bucket.last_refill_ms = now_ms;
        if bucket.tokens < 1.0 {
            bucket.left_out += 1;
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    /// Returns and resets the counts of suppressed lines, at most once per `REPORT_INTERVAL_MS`;
    /// empty if called earlier.
    pub fn take_due_report(&mut self, now_ms: u64) -> Vec<(Event, u64)> {
        if now_ms < self.last_report_ms + REPORT_INTERVAL_MS {
            return Vec::new();
        }
        self.last_report_ms = now_ms;
        self.take_suppressed()
    }

    /// Returns and resets the counts of suppressed lines at any time, for a daemon that shuts down.
    pub fn take_suppressed(&mut self) -> Vec<(Event, u64)> {
        let counted = self.buckets.iter_mut().filter(|(_, bucket)| bucket.left_out > 0);
        counted.map(|(event, bucket)| (*event, std::mem::take(&mut bucket.left_out))).collect()
    }
}
