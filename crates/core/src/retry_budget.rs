//! Limits retries to a share of recent requests, so that they cannot amplify an overload.
//!
//! The budget is a token bucket: each first attempt deposits a part of a token, and each retry
//! withdraws a whole one.

/// Default of [`BudgetLimits::idle_tokens`].
const IDLE_TOKENS: f64 = 3.0;
/// Default of [`BudgetLimits::tokens_max`].
const TOKENS_MAX: f64 = 50.0;
/// Default of [`BudgetLimits::idle_tokens_per_s`].
const IDLE_TOKENS_PER_S: f64 = 1.0;

/// The part of the platform's slack for retries that the daemons may use without traffic.
const SLACK_SHARE: f64 = 0.3;
/// The highest rank of requests that may spend the whole budget. While a service refuses much, the
/// budget does not suffice for all requests that were refused.
const URGENT_RANK_MAX: u8 = 1;
/// The share of the budget that is kept for these requests.
const RESERVED_TOKENS_SHARE: f64 = 0.5;

/// How many tokens a budget may hold, and how fast it refills without traffic.
#[derive(Clone, Copy, Debug)]
pub struct BudgetLimits {
    /// The level to which the budget refills with time, so that a pool with little traffic can
    /// retry too.
    pub idle_tokens: f64,
    /// Tokens added per second while the budget is below `idle_tokens`.
    pub idle_tokens_per_s: f64,
    /// The most tokens that the budget can hold.
    pub tokens_max: f64,
}

impl BudgetLimits {
    /// The limits of one of `daemons` daemons that share the platform's slack for retries within a
    /// window.
    pub fn shared(slack: f64, window_ms: u64, daemons: usize) -> Self {
        let local_slack = slack * SLACK_SHARE / daemons.max(1) as f64;
        Self {
            idle_tokens: local_slack.max(1.0),
            idle_tokens_per_s: local_slack / (window_ms as f64 / 1_000.0),
            tokens_max: local_slack.max(1.0) * 2.0,
        }
    }

    /// The tokens that a request of this rank must leave for more urgent ones.
    fn reserved_tokens(&self, rank: u8) -> f64 {
        if rank <= URGENT_RANK_MAX { 0.0 } else { self.tokens_max * RESERVED_TOKENS_SHARE }
    }
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

/// The retry budget of one pool or service at one daemon.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: BudgetLimits,
    tokens: f64,
    last_refill_ms: u64,
}

impl RetryBudget {
    /// A budget with default limits that starts with `idle_tokens`.
    pub fn new(now_ms: u64) -> Self {
        let limits = BudgetLimits::default();
        Self { limits, tokens: limits.idle_tokens, last_refill_ms: now_ms }
    }

    /// A budget that starts empty, so that many daemons restarted together cannot retry at once.
    pub fn with_limits(limits: BudgetLimits, now_ms: u64) -> Self {
        Self { limits, tokens: 0.0, last_refill_ms: now_ms }
    }

    /// Replaces the limits, which depend on the number of daemons that share the budget.
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Adds `retry_budget_percent` of a token for the first attempt of a request.
    pub fn deposit(&mut self, retry_budget_percent: u8) {
        let share = f64::from(retry_budget_percent) / 100.0;
        self.tokens = (self.tokens + share).min(self.limits.tokens_max);
    }

    /// Removes the token of one retry of a request of this rank, unless those that would remain are
    /// kept for more urgent requests. Returns whether a token was removed.
    pub fn try_withdraw(&mut self, now_ms: u64, rank: u8) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.last_refill_ms);
        self.last_refill_ms = now_ms;
        if self.tokens < self.limits.idle_tokens {
            let refill = elapsed_ms as f64 / 1_000.0 * self.limits.idle_tokens_per_s;
            self.tokens = (self.tokens + refill).min(self.limits.idle_tokens);
        }
        if self.tokens < 1.0 + self.limits.reserved_tokens(rank) {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
