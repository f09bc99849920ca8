//! A rate of events that adapts within a second.

/// The time constant of the average. Demand that moved to another zone must be seen there, and be
/// gone here, well within the two seconds in which loans have to follow.
const TIME_CONSTANT_MS: f64 = 400.0;

/// The time constant for rare events, of which there is seldom one in `TIME_CONSTANT_MS`.
const RARE_TIME_CONSTANT_MS: f64 = 3_000.0;
/// Up to this rate events count as rare: two a second.
const RARE_PER_MS: f64 = 0.002;

/// The exponentially weighted rate of events. The slower average only counts up to the rate of rare
/// events, so that it does not hold the demand of large accounts at a zone that they have left.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SmoothedRate {
    per_ms: f64,
    slow_per_ms: f64,
    updated_ms: u64,
}

impl SmoothedRate {
    pub fn record(&mut self, count: u32, now_ms: u64) {
        let (fast, slow) = self.averages(now_ms);
        self.per_ms = fast + f64::from(count) / TIME_CONSTANT_MS;
        self.slow_per_ms = slow + f64::from(count) / RARE_TIME_CONSTANT_MS;
        self.updated_ms = now_ms;
    }

    pub fn per_ms(&self, now_ms: u64) -> f64 {
        let (fast, slow) = self.averages(now_ms);
        fast.max(slow.min(RARE_PER_MS))
    }

    fn averages(&self, now_ms: u64) -> (f64, f64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let fast = self.per_ms * (-elapsed_ms / TIME_CONSTANT_MS).exp();
        (fast, self.slow_per_ms * (-elapsed_ms / RARE_TIME_CONSTANT_MS).exp())
    }
}
