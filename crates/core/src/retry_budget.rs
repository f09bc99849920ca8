//! Limits retries to a share of recent requests, so that they cannot feed an overload.

/// Tokens that a pool with little traffic has for retries.
const IDLE_TOKENS: f64 = 3.0;
/// The most tokens that can be saved up.
const TOKENS_MAX: f64 = 50.0;
/// Tokens that come back each second up to [`IDLE_TOKENS`].
const IDLE_TOKENS_PER_S: f64 = 1.0;

/// How many tokens a budget may hold, and how many come back without traffic.
#[derive(Clone, Copy, Debug)]
pub struct BudgetLimits {
    /// Tokens that a pool with little traffic has for retries.
    pub idle_tokens: f64,
    /// Tokens that come back each second up to `idle_tokens`.
    pub idle_tokens_per_s: f64,
    /// The most tokens that can be saved up.
    pub tokens_max: f64,
}

impl Default for BudgetLimits {
    fn default() -> Self {
        Self {
            idle_tokens: IDLE_TOKENS,
            idle_tokens_per_s: IDLE_TOKENS_PER_S,
            tokens_max: TOKENS_MAX,
        }
    }
}

/// The retry budget of one pool at one proxy.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: BudgetLimits,
    tokens: f64,
    refilled_ms: u64,
}

impl RetryBudget {
    pub fn new(now_ms: u64) -> Self {
        let limits = BudgetLimits::default();
        Self { limits, tokens: limits.idle_tokens, refilled_ms: now_ms }
    }

    /// A budget that starts without credit, so that a herd of restarted proxies has none to spend.
    pub fn with_limits(limits: BudgetLimits, now_ms: u64) -> Self {
        Self { limits, tokens: 0.0, refilled_ms: now_ms }
    }

    /// Takes over limits that depend on how many proxies share the budget.
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Counts a first attempt, which earns its share of a retry.
    pub fn deposit(&mut self, retry_budget_percent: u8) {
        let share = f64::from(retry_budget_percent) / 100.0;
        self.tokens = (self.tokens + share).min(self.limits.tokens_max);
    }

    /// Takes the price of one retry, if it is there.
    pub fn try_withdraw(&mut self, now_ms: u64) -> bool {
        let idle_ms = now_ms.saturating_sub(self.refilled_ms);
        self.refilled_ms = now_ms;
        if self.tokens < self.limits.idle_tokens {
            let refill = idle_ms as f64 / 1_000.0 * self.limits.idle_tokens_per_s;
            self.tokens = (self.tokens + refill).min(self.limits.idle_tokens);
        }
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
