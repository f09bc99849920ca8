//! Decides, after each attempt of a request, whether another may follow and what to answer.

use crate::code::{Outcome, ResultCode};
use crate::retry_budget::RetryBudget;
use std::collections::BTreeSet;
use std::sync::Arc;

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    Retry,
    Answer(ResultCode),
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    is_idempotent: bool,
    attempts_max: u8,
    deadline_ms: u64,
    started: u8,
    tried: BTreeSet<Arc<str>>,
    /// The code of an earlier attempt that may have run.
    may_have_run: Option<ResultCode>,
    handed_over: u8,
}

impl Attempts {
    pub fn new(is_idempotent: bool, attempts_max: u8, deadline_ms: u64) -> Self {
        Self {
            is_idempotent,
            attempts_max,
            deadline_ms,
            started: 0,
            tried: BTreeSet::new(),
            may_have_run: None,
            handed_over: 0,
        }
    }

    /// Attempts begun so far.
    pub fn started(&self) -> u8 {
        self.started
    }

    /// The instances that need not be tried again while there are others.
    pub fn tried(&self) -> &BTreeSet<Arc<str>> {
        &self.tried
    }

    /// Begins an attempt and returns how long it may take, in milliseconds. An idempotent request
    /// keeps time for another target; any other has nothing to gain from giving up early.
    pub fn start(&mut self, instance: Arc<str>, now_ms: u64) -> u64 {
        assert!(self.is_idempotent || self.handed_over == 0, "a request may run only once");
        let left_ms = self.deadline_ms.saturating_sub(now_ms);
        let attempts_left = u64::from(self.attempts_max.saturating_sub(self.started).max(1));
        self.started += 1;
        self.tried.insert(instance);
        if self.is_idempotent { (left_ms / attempts_left).max(1) } else { left_ms }
    }

    /// Takes in the end of an attempt.
    pub fn finish(&mut self, code: ResultCode, now_ms: u64, budget: &mut RetryBudget) -> Next {
        match code.outcome() {
            Outcome::Answered => return Next::Answer(code),
            Outcome::Unknown => {
                self.handed_over += 1;
                self.may_have_run = Some(code);
                if !self.is_idempotent {
                    return Next::Answer(code);
                }
            }
            Outcome::NotRun => {}
        }
        if now_ms >= self.deadline_ms {
            return Next::Answer(self.final_code(ResultCode::DeadlineBeforeRun));
        }
        if self.started >= self.attempts_max {
            return Next::Answer(self.final_code(code));
        }
        if !budget.try_withdraw(now_ms) {
            return Next::Answer(self.final_code(ResultCode::RetryBudgetSpent));
        }
        Next::Retry
    }

    /// The answer when no target is left, or a refusal ends the request. A refusal that says "not
    /// run" would be untrue once any attempt may have run.
    pub fn final_code(&self, code: ResultCode) -> ResultCode {
        match (self.may_have_run, code.outcome()) {
            (Some(earlier), Outcome::NotRun) => earlier,
            _ => code,
        }
    }
}
