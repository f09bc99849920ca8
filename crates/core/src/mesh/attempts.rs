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
pub const DAEMONS_MAX: usize = 4;
/// An attempt that takes this many times the usual time of its route has stalled: an exponentially
/// distributed time is longer for 1.8 requests in 100.
const STALLED_TIMES: f64 = 4.0;
/// The share of the time left that an attempt has in any case, so that three fit.
const STALLED_SHARE_MIN: f64 = 0.3;
/// The share of the time left that an attempt has while no usual time is known, so that two fit.
const STALLED_SHARE_UNKNOWN: f64 = 0.5;
/// The usual times that a further attempt must have left.
const REPEAT_TIMES: f64 = 1.5;

/// What a request brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    pub is_idempotent: bool,
    /// Targets that the request may reach.
    pub attempts_max: usize,
    pub deadline_ms: u64,
}

/// What an attempt came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    pub code: ResultCode,
    /// The status of the target's answer, if there is one.
    pub http_status: u16,
    /// Whether the request reached the target, which may have refused it.
    pub reached_target: bool,
}

/// What follows from the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The answer goes to the caller.
    PassOn,
    /// The answer is a failure of the target's own. It goes to the caller if nothing better comes.
    PassOnLater,
    /// Another attempt begins, or a running one is waited for.
    GoOn,
    /// The request ends without a further answer.
    End(ResultCode),
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    terms: Terms,
    /// Daemons whose targets were tried.
    tried: BTreeSet<Arc<str>>,
    running: usize,
    /// Targets that the request reached.
    reached: usize,
    /// How an attempt ended that may have run.
    may_have_run: Option<ResultCode>,
}

impl Attempts {
    pub fn new(terms: Terms) -> Self {
        Self { terms, tried: BTreeSet::new(), running: 0, reached: 0, may_have_run: None }
    }

    pub fn terms(&self) -> Terms {
        self.terms
    }

    pub fn tried(&self) -> &BTreeSet<Arc<str>> {
        &self.tried
    }

    pub fn running(&self) -> usize {
        self.running
    }

    pub fn reached(&self) -> usize {
        self.reached
    }

    /// The time left at some moment, in milliseconds.
    pub fn left_ms(&self, now_ms: u64) -> u64 {
        self.terms.deadline_ms.saturating_sub(now_ms)
    }

    /// Whether an attempt may begin: the first one always, another one beside it only if the request
    /// may run twice.
    pub fn may_begin(&self) -> bool {
        self.running == 0 || self.may_repeat()
    }

    /// Whether the next attempt may be one more arrival at a target, which the retry budget pays.
    pub fn is_retry(&self) -> bool {
        self.reached + self.running > 0
    }

    pub fn began(&mut self, daemon: Arc<str>) {
        self.tried.insert(daemon);
        self.running += 1;
    }

    /// Whether no other daemon will be asked.
    pub fn is_last(&self) -> bool {
        self.tried.len() >= DAEMONS_MAX
    }

    fn may_repeat(&self) -> bool {
        self.terms.is_idempotent && self.reached + self.running < self.terms.attempts_max
    }

    /// How long to wait for an attempt that has just begun before another one begins beside it, in
    /// milliseconds. `usual_ms` is the usual time of an answer on this route.
    pub fn patience_ms(&self, now_ms: u64, usual_ms: Option<f64>) -> u64 {
        let left_ms = self.left_ms(now_ms);
        if !self.may_repeat() {
            return left_ms;
        }
        let left = left_ms as f64;
        let patience_ms = match usual_ms {
            None => left * STALLED_SHARE_UNKNOWN,
            Some(usual_ms) => {
                let stalled_ms = (usual_ms * STALLED_TIMES).max(left * STALLED_SHARE_MIN);
                if left - stalled_ms < usual_ms * REPEAT_TIMES { left } else { stalled_ms }
            }
        };
        (patience_ms as u64).min(left_ms)
    }

    /// Takes in what became of an attempt.
    pub fn ended(&mut self, end: AttemptEnd) -> Next {
        self.running -= 1;
        self.reached += usize::from(end.reached_target);
        let goes_on = self.running > 0 || self.may_repeat();
        match end.code.outcome() {
            Outcome::Answered if end.http_status < 500 || !goes_on => Next::PassOn,
            Outcome::Answered => {
                self.may_have_run = Some(ResultCode::AnswerLost);
                Next::PassOnLater
            }
            Outcome::Unknown => {
                self.may_have_run = Some(end.code);
                if goes_on { Next::GoOn } else { Next::End(end.code) }
            }
            Outcome::NotRun => {
                let is_over =
                    self.tried.len() >= DAEMONS_MAX || self.reached >= self.terms.attempts_max;
                if is_over && self.running == 0 { Next::End(end.code) } else { Next::GoOn }
            }
        }
    }

    /// What the caller is told when no answer is left to wait for and `code` says why: that the
    /// request was not run only if that is certain of every attempt.
    pub fn verdict(&self, code: ResultCode, now_ms: u64) -> ResultCode {
        if self.running > 0 {
            return ResultCode::DeadlineAfterRun;
        }
        match (self.may_have_run, code.outcome()) {
            (Some(_), _) if now_ms >= self.terms.deadline_ms => ResultCode::DeadlineAfterRun,
            (Some(earlier), Outcome::NotRun) => earlier,
            _ => code,
        }
    }
}
