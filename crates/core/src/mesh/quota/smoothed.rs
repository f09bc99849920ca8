//! A rate of events that adapts within a second.

/// The time constant of the average. Demand that moved to another zone must be seen there, and be
/// gone here, well within the two seconds in which loans have to follow.
const TIME_CONSTANT_MS: f64 = 400.0;

/// The exponentially weighted rate of events.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SmoothedRate {
    per_ms: f64,
    updated_ms: u64,
}

impl SmoothedRate {
    pub fn record(&mut self, count: u32, now_ms: u64) {
        self.per_ms = self.per_ms(now_ms) + f64::from(count) / TIME_CONSTANT_MS;
        self.updated_ms = now_ms;
    }

    pub fn per_ms(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.per_ms * (-elapsed_ms / TIME_CONSTANT_MS).exp()
    }
}
