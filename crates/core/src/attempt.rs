//! Decides after each attempt of a request whether to retry it, and with which code to respond, for
//! a daemon without a mesh; see [`crate::mesh::attempts`] for one with it.

use crate::code::{Outcome, ResultCode};
use crate::retry_budget::RetryBudget;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The rank of all requests here: in our own deployment, ranks do not decide about retries.
const URGENT_RANK: u8 = 0;

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    Retry,
    Respond(ResultCode),
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    is_idempotent: bool,
    attempts_max: u8,
    /// When the request expires, by the daemon's clock in milliseconds.
    deadline_ms: u64,
    started: u8,
    tried: BTreeSet<Arc<str>>,
    /// The code of the last attempt that ended with [`Outcome::Unknown`].
    unknown_code: Option<ResultCode>,
    /// Number of attempts that ended with [`Outcome::Unknown`].
    unknown_count: u8,
}

impl Attempts {
    pub fn new(is_idempotent: bool, attempts_max: u8, deadline_ms: u64) -> Self {
        Self {
            is_idempotent,
            attempts_max,
            deadline_ms,
            started: 0,
            tried: BTreeSet::new(),
            unknown_code: None,
            unknown_count: 0,
        }
    }

    /// Number of attempts started so far.
    pub fn started(&self) -> u8 {
        self.started
    }

    /// The instances tried so far, which are avoided while there are others.
    pub fn tried(&self) -> &BTreeSet<Arc<str>> {
        &self.tried
    }

    /// Starts an attempt and returns its timeout, in milliseconds. An idempotent request keeps a
    /// share of its time for each remaining attempt. Any other request gets all the time left,
    /// because it cannot be retried after a timeout.
    pub fn start(&mut self, instance: Arc<str>, now_ms: u64) -> u64 {
        assert!(
            self.is_idempotent || self.unknown_count == 0,
            "a request that is not idempotent must not be retried after it may have run"
        );
        let left_ms = self.deadline_ms.saturating_sub(now_ms);
        let attempts_left = u64::from(self.attempts_max.saturating_sub(self.started).max(1));
        self.started += 1;
        self.tried.insert(instance);
        if self.is_idempotent { (left_ms / attempts_left).max(1) } else { left_ms }
    }

    /// Records the end of an attempt and decides what follows. A retry takes a token from `budget`.
    pub fn finish(&mut self, code: ResultCode, now_ms: u64, budget: &mut RetryBudget) -> NextStep {
        match code.outcome() {
            Outcome::Answered => return NextStep::Respond(code),
            Outcome::Unknown => {
                self.unknown_count += 1;
                self.unknown_code = Some(code);
                if !self.is_idempotent {
                    return NextStep::Respond(code);
                }
            }
            Outcome::NotRun => {}
        }
        if now_ms >= self.deadline_ms {
            return NextStep::Respond(self.final_code(ResultCode::DeadlineBeforeRun));
        }
        if self.started >= self.attempts_max {
            return NextStep::Respond(self.final_code(code));
        }
        if !budget.try_withdraw(now_ms, URGENT_RANK) {
            return NextStep::Respond(self.final_code(ResultCode::RetryBudgetSpent));
        }
        NextStep::Retry
    }

    /// The code of the response if the request ends with `code`. If its outcome is
    /// [`Outcome::NotRun`], the code of an earlier attempt that may have run replaces it.
    pub fn final_code(&self, code: ResultCode) -> ResultCode {
        match (self.unknown_code, code.outcome()) {
            (Some(earlier), Outcome::NotRun) => earlier,
            _ => code,
        }
    }
}
