//! Bounds how many log lines of each event are written, so that an overload cannot drown the reasons
//! for it, nor the daemon in writing them.
//!
//! Failures and changes of what a daemon believes have a large budget, what merely went well a small
//! one. What is left out is counted, and the counts are logged.

use crate::event::Event;
use std::collections::BTreeMap;

/// Lines of one event in a second that come from single requests that went well: enough for a
/// sample at any load.
const SAMPLED_PER_S: f64 = 5.0;
/// Lines of one event in a second that come from single requests that did not go well. A daemon that
/// serves 50 requests a second can fail all of them and still log each one.
const FAILED_PER_S: f64 = 50.0;
/// Lines of any other event in a second.
const OTHER_PER_S: f64 = 100.0;
/// The seconds of budget that can be saved up for a sudden burst.
const SAVED_S: f64 = 4.0;
/// How often left out lines are reported, in milliseconds.
const REPORT_MS: u64 = 5_000;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    lines: f64,
    filled_ms: u64,
    left_out: u64,
}

/// The budgets of all events.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    buckets: BTreeMap<Event, Bucket>,
    reported_ms: u64,
}

/// Lines in a second that an event may have.
fn lines_per_s(event: Event) -> f64 {
    match event {
        Event::RequestAnswered | Event::RequestRun => SAMPLED_PER_S,
        Event::RequestFailed
        | Event::AttemptRepeated
        | Event::DoorRefused
        | Event::HandOverFailed
        | Event::RequestCancelled
        | Event::HeaderDropped => FAILED_PER_S,
        _ => OTHER_PER_S,
    }
}

impl LogRateLimiter {
    /// Whether a line may be written now. A line that may not is counted.
    pub fn allows(&mut self, event: Event, now_ms: u64) -> bool {
        let per_s = lines_per_s(event);
        let full = Bucket { lines: per_s * SAVED_S, filled_ms: now_ms, left_out: 0 };
        let bucket = self.buckets.entry(event).or_insert(full);
        let passed_s = now_ms.saturating_sub(bucket.filled_ms) as f64 / 1_000.0;
        bucket.lines = (bucket.lines + passed_s * per_s).min(per_s * SAVED_S);
        bucket.filled_ms = now_ms;
        if bucket.lines < 1.0 {
            bucket.left_out += 1;
            return false;
        }
        bucket.lines -= 1.0;
        true
    }

    /// The events of which lines were left out since the last call, with how many, when it is time
    /// to report them.
    pub fn take_due_report(&mut self, now_ms: u64) -> Vec<(Event, u64)> {
        if now_ms < self.reported_ms + REPORT_MS {
            return Vec::new();
        }
        self.reported_ms = now_ms;
        self.take_left_out()
    }

    /// The same without regard to time, for a daemon that ends.
    pub fn take_left_out(&mut self) -> Vec<(Event, u64)> {
        let counted = self.buckets.iter_mut().filter(|(_, bucket)| bucket.left_out > 0);
        counted.map(|(event, bucket)| (*event, std::mem::take(&mut bucket.left_out))).collect()
    }
}
