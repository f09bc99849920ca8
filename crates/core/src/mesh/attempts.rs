//! Decides when another attempt of a request starts and which result the caller receives.
//!
//! Covers targets that stall, fail or lose responses, and callers that retry immediately. An
//! idempotent request is sent to another target while its caller still waits. A non-idempotent
//! request is forwarded to a target once. Neither exceeds its route's number of attempts or the
//! retry budget.

use crate::code::{Outcome, ResultCode};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The largest number of daemons that one request is sent to, including those whose target it never
/// reached. After the fourth refusal in a row the cause is more likely load on the whole service
/// than a single target.
pub const DAEMONS_TRIED_MAX: usize = 4;
/// An attempt counts as stalled after this multiple of its route's typical response time. An
/// exponentially distributed time exceeds it for 1.8 requests in 100.
const STALL_FACTOR: f64 = 4.0;
/// An attempt does not count as stalled before this share of the remaining time has passed, so that
/// three attempts fit.
const STALL_SHARE_MIN: f64 = 0.3;
/// While the typical time is unknown, an attempt counts as stalled after this share of the
/// remaining time, so that two attempts fit.
const STALL_SHARE_DEFAULT: f64 = 0.5;
/// The remaining time that a further attempt needs, as a multiple of the typical response time.
const RETRY_FACTOR: f64 = 1.5;

/// What limits the attempts of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    pub is_idempotent: bool,
    /// The largest number of targets that the request may reach.
    pub attempts_max: usize,
    /// When the request expires, by the daemon's clock in milliseconds.
    pub deadline_ms: u64,
}

/// The result of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptResult {
    pub code: ResultCode,
    /// The HTTP status of the target's response, if there is one.
    pub http_status: u16,
    /// Whether the request reached the target. The target may still have refused it.
    pub reached_target: bool,
}

/// What to do after an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Send the response to the caller.
    Respond,
    /// Keep the target's error response and send it only if no later attempt succeeds.
    HoldResponse,
    /// Start another attempt, or wait for one that is in flight.
    Continue,
    /// End the request with this code.
    Fail(ResultCode),
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    policy: RetryPolicy,
    /// The daemons that an attempt was sent to.
    tried_daemons: BTreeSet<Arc<str>>,
    /// The number of attempts that have not ended.
    in_flight: usize,
    /// The number of ended attempts that reached a target.
    targets_reached: usize,
    /// The code of the last attempt that failed although the target may have run the request. A
    /// held error response counts as [`ResultCode::AnswerLost`].
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

    /// The time until the deadline, in milliseconds.
    pub fn left_ms(&self, now_ms: u64) -> u64 {
        self.policy.deadline_ms.saturating_sub(now_ms)
    }

    /// Whether an attempt may start: always if none is in flight, otherwise only if the request may
    /// be retried.
    pub fn may_start(&self) -> bool {
        self.in_flight == 0 || self.may_retry()
    }

    /// Whether the next attempt may be a further arrival at a target, which is charged to the retry
    /// budget.
    pub fn is_retry(&self) -> bool {
        self.targets_reached + self.in_flight > 0
    }

    /// Records that an attempt was sent to a daemon.
    pub fn start(&mut self, daemon: Arc<str>) {
        self.tried_daemons.insert(daemon);
        self.in_flight += 1;
    }

    /// Whether the request has been sent to as many daemons as it may be.
    pub fn daemons_exhausted(&self) -> bool {
        self.tried_daemons.len() >= DAEMONS_TRIED_MAX
    }

    /// Whether the request may be sent to one more target although an earlier one may have run it.
    fn may_retry(&self) -> bool {
        self.policy.is_idempotent
            && self.targets_reached + self.in_flight < self.policy.attempts_max
    }

    /// How long to wait for the latest attempt before another one starts in parallel, in
    /// milliseconds. `typical_ms` is the typical response time of the route.
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

    /// Records the result of an attempt and returns what to do next.
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

    /// The code for the caller when the request ends without a response for the reason `code`. It
    /// only reports that the request was not run if that is certain for every attempt. While an
    /// attempt is in flight, the code is [`ResultCode::DeadlineAfterRun`], whatever `code` is.
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
