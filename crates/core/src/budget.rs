//! Limits retries to a share of recent requests, so that they cannot feed an overload.

/// Tokens that a pool with little traffic has for retries.
const IDLE_TOKENS: f64 = 3.0;
/// The most tokens that can be saved up.
const TOKENS_MAX: f64 = 50.0;
/// Tokens that come back each second up to [`IDLE_TOKENS`].
const IDLE_TOKENS_PER_S: f64 = 1.0;

/// The retry budget of one pool at one proxy.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    refilled_ms: u64,
}

impl RetryBudget {
    pub fn new(now_ms: u64) -> Self {
        Self { tokens: IDLE_TOKENS, refilled_ms: now_ms }
    }

    /// Counts a first attempt, which earns its share of a retry.
    pub fn earn(&mut self, retry_budget_percent: u8) {
        let share = f64::from(retry_budget_percent) / 100.0;
        self.tokens = (self.tokens + share).min(TOKENS_MAX);
    }

    /// Takes the price of one retry, if it is there.
    pub fn spend(&mut self, now_ms: u64) -> bool {
        let idle_ms = now_ms.saturating_sub(self.refilled_ms);
        self.refilled_ms = now_ms;
        if self.tokens < IDLE_TOKENS {
            let refill = idle_ms as f64 / 1_000.0 * IDLE_TOKENS_PER_S;
            self.tokens = (self.tokens + refill).min(IDLE_TOKENS);
        }
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
