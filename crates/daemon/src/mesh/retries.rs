//! The retry budgets of this daemon, one for each service that its callers send requests to.

use super::Mesh;
use pomeloreach_core::retry_budget::{BudgetLimits, RetryBudget};
use std::sync::Arc;

/// The deposit of a request into the retry budget, in percent of a retry. All daemons together must
/// stay below the platform's ratio of retries to requests, and a retry also repeats the calls that
/// the target makes for the request.
const RETRY_BUDGET_PERCENT: u8 = 12;

impl Mesh {
    /// Deposits into the retry budget of a service for a request.
    pub fn deposit_retry(&self, service: &Arc<str>) {
        let (limits, now_ms) = (self.budget_limits(), self.now_ms());
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::with_limits(limits, now_ms));
        budget.set_limits(limits);
        budget.deposit(RETRY_BUDGET_PERCENT);
    }

    /// Takes a retry from the budget of a service for a request of this rank. Returns whether there
    /// was one.
    pub fn withdraw_retry(&self, service: &str, rank: u8) -> bool {
        let mut budgets = self.retry_budgets.borrow_mut();
        budgets.get_mut(service).is_some_and(|budget| budget.try_withdraw(self.now_ms(), rank))
    }

    fn budget_limits(&self) -> BudgetLimits {
        let settings = self.mesh_settings.borrow();
        let daemons = self.peers.borrow().daemon_count();
        BudgetLimits::shared(settings.retry_slack, settings.retry_window_ms, daemons)
    }
}
