//! Decides when another attempt of a request begins, and what its caller is told in the end.
//!
//! Answers the load patterns of targets that stall, fail or lose answers, and of callers that repeat
//! at once: a request that may be repeated moves on to another target before its caller gives up,
//! one that may not is handed over once, and neither spends more than its route and the retry
//! budget allow.

use crate::code::{Outcome, ResultCode};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Daemons that are asked for one request, also those whose target was never reached. The fourth
/// refusal in a row says more of the load than of the target.
pub const DAEMONS_TRIED_MAX: usize = 4;
/// An attempt that takes this many times the usual time of its route has stalled: an exponentially
/// distributed time is longer for 1.8 requests in 100.
const STALL_FACTOR: f64 = 4.0;
/// The share of the time left that an attempt has in any case, so that three fit.
const STALL_SHARE_MIN: f64 = 0.3;
/// The share of the time left that an attempt has while no usual time is known, so that two fit.
const STALL_SHARE_DEFAULT: f64 = 0.5;
/// The usual times that a further attempt must have left.
const RETRY_FACTOR: f64 = 1.5;

/// What a request brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    pub is_idempotent: bool,
    /// Targets that the request may reach.
    pub attempts_max: usize,
    pub deadline_ms: u64,
}

/// What an attempt came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptResult {
    pub code: ResultCode,
    /// The status of the target's answer, if there is one.
    pub http_status: u16,
    /// Whether the request reached the target, which may have refused it.
    pub reached_target: bool,
}

/// What follows from the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// The answer goes to the caller.
    Respond,
    /// The answer is a failure of the target's own. It goes to the caller if nothing better comes.
    HoldResponse,
    /// Another attempt begins, or a running one is waited for.
    Continue,
    /// The request ends without a further answer.
    Fail(ResultCode),
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    policy: RetryPolicy,
    /// Daemons whose targets were tried.
    tried_daemons: BTreeSet<Arc<str>>,
    in_flight: usize,
    /// Targets that the request reached.
    targets_reached: usize,
    /// How an attempt ended that may have run.
    may_have_run_code: Option<ResultCode>,
}

impl Attempts {
    pub fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            tried_daemons: BTreeSet::new(),
            in_flight: 0,
            targets_reached: 0,
            may_have_run_code: None,
        }
    }

    pub fn policy(&self) -> RetryPolicy {
        self.policy
    }

    pub fn tried_daemons(&self) -> &BTreeSet<Arc<str>> {
        &self.tried_daemons
    }

    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    pub fn targets_reached(&self) -> usize {
        self.targets_reached
    }

    /// The time left at some moment, in milliseconds.
    pub fn left_ms(&self, now_ms: u64) -> u64 {
        self.policy.deadline_ms.saturating_sub(now_ms)
    }

    /// Whether an attempt may begin: the first one always, another one beside it only if the request
    /// may run twice.
    pub fn may_start(&self) -> bool {
        self.in_flight == 0 || self.may_retry()
    }

    /// Whether the next attempt may be one more arrival at a target, which the retry budget pays.
    pub fn is_retry(&self) -> bool {
        self.targets_reached + self.in_flight > 0
    }

    pub fn start(&mut self, daemon: Arc<str>) {
        self.tried_daemons.insert(daemon);
        self.in_flight += 1;
    }

    /// Whether no other daemon will be asked.
    pub fn daemons_exhausted(&self) -> bool {
        self.tried_daemons.len() >= DAEMONS_TRIED_MAX
    }

    fn may_retry(&self) -> bool {
        self.policy.is_idempotent
            && self.targets_reached + self.in_flight < self.policy.attempts_max
    }

    /// How long to wait for an attempt that has just begun before another one begins beside it, in
    /// milliseconds. `typical_ms` is the usual time of an answer on this route.
    pub fn stall_timeout_ms(&self, now_ms: u64, typical_ms: Option<f64>) -> u64 {
        let left_ms = self.left_ms(now_ms);
        if !self.may_retry() {
            return left_ms;
        }
        let left = left_ms as f64;
        let stall_timeout_ms = match typical_ms {
            None => left * STALL_SHARE_DEFAULT,
            Some(typical_ms) => {
                let stalled_ms = (typical_ms * STALL_FACTOR).max(left * STALL_SHARE_MIN);
                if left - stalled_ms < typical_ms * RETRY_FACTOR { left } else { stalled_ms }
            }
        };
        (stall_timeout_ms as u64).min(left_ms)
    }

    /// Takes in what became of an attempt.
    pub fn finish(&mut self, result: AttemptResult) -> NextAction {
        self.in_flight -= 1;
        self.targets_reached += usize::from(result.reached_target);
        let continues = self.in_flight > 0 || self.may_retry();
        match result.code.outcome() {
            Outcome::Answered if result.http_status < 500 || !continues => NextAction::Respond,
            Outcome::Answered => {
                self.may_have_run_code = Some(ResultCode::AnswerLost);
                NextAction::HoldResponse
            }
            Outcome::Unknown => {
                self.may_have_run_code = Some(result.code);
                if continues { NextAction::Continue } else { NextAction::Fail(result.code) }
            }
            Outcome::NotRun => {
                let is_exhausted = self.tried_daemons.len() >= DAEMONS_TRIED_MAX
                    || self.targets_reached >= self.policy.attempts_max;
                if is_exhausted && self.in_flight == 0 {
                    NextAction::Fail(result.code)
                } else {
                    NextAction::Continue
                }
            }
        }
    }

    /// What the caller is told when no answer is left to wait for and `code` says why: that the
    /// request was not run only if that is certain of every attempt.
    pub fn final_code(&self, code: ResultCode, now_ms: u64) -> ResultCode {
        if self.in_flight > 0 {
            return ResultCode::DeadlineAfterRun;
        }
        match (self.may_have_run_code, code.outcome()) {
            (Some(_), _) if now_ms >= self.policy.deadline_ms => ResultCode::DeadlineAfterRun,
            (Some(earlier), Outcome::NotRun) => earlier,
            _ => code,
        }
    }
}
