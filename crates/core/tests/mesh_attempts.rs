//! When another attempt starts and which result the caller receives, under various faults of
//! targets.

use pomeloreach_core::code::ResultCode;
use pomeloreach_core::mesh::attempts::{AttemptResult, Attempts, NextAction, RetryPolicy};

const DEADLINE_MS: u64 = 2_000;
/// The typical response time of the route.
const TYPICAL_MS: f64 = 60.0;

fn attempts(is_idempotent: bool) -> Attempts {
    Attempts::new(RetryPolicy { is_idempotent, attempts_max: 3, deadline_ms: DEADLINE_MS })
}

fn response(http_status: u16) -> AttemptResult {
    AttemptResult { code: ResultCode::Answered, http_status, reached_target: true }
}

/// The result of an attempt without a response. It reached the target if the request may have run,
/// which codes above 2100 mean.
fn no_response(code: ResultCode) -> AttemptResult {
    let reached_target = code.number() > 2_100;
    AttemptResult { code, http_status: code.http_status(), reached_target }
}

/// When targets stall, an idempotent request starts another attempt while time is left, and a
/// non-idempotent one waits.
#[yare::parameterized(
    idempotent = { true, 0, Some(TYPICAL_MS), 600 },
    typical_time_unknown = { true, 0, None, 1_000 },
    long_typical_time = { true, 0, Some(300.0), 1_200 },
    no_time_for_another = { true, 1_850, Some(TYPICAL_MS), 150 },
    not_idempotent = { false, 0, Some(TYPICAL_MS), 2_000 },
)]
fn stall_timeout(is_idempotent: bool, now_ms: u64, typical_ms: Option<f64>, stall_timeout_ms: u64) {
    let mut attempts = attempts(is_idempotent);
    attempts.start("a".into());
    assert_eq!(attempts.stall_timeout_ms(now_ms, typical_ms), stall_timeout_ms);
    assert_eq!(attempts.may_start(), is_idempotent);
}

#[test]
fn attempts_max_is_kept() {
    let mut attempts = attempts(true);
    for daemon in ["a", "b", "c"] {
        assert!(attempts.may_start(), "before {daemon}");
        attempts.start(daemon.into());
    }
    assert!(!attempts.may_start());
    assert_eq!(
        attempts.stall_timeout_ms(500, Some(TYPICAL_MS)),
        1_500,
        "no further attempt may start"
    );
}

/// The retry budget counts each arrival at a target after the first, also while another attempt is
/// in flight.
#[test]
fn retry_budget_counts_arrivals() {
    let mut attempts = attempts(true);
    assert!(!attempts.is_retry());
    attempts.start("a".into());
    assert!(attempts.is_retry(), "the first attempt may have reached its target");
    assert_eq!(attempts.finish(no_response(ResultCode::TargetFull)), NextAction::Continue);
    assert!(!attempts.is_retry(), "the inbound proxy refused it");
}

/// Targets answer part of the requests with an error although their load looks normal.
#[test]
fn error_response_is_held() {
    let mut idempotent = attempts(true);
    idempotent.start("a".into());
    assert_eq!(idempotent.finish(response(500)), NextAction::HoldResponse);
    idempotent.start("b".into());
    assert_eq!(idempotent.finish(response(200)), NextAction::Respond);
    let mut non_idempotent = attempts(false);
    non_idempotent.start("a".into());
    assert_eq!(
        non_idempotent.finish(response(500)),
        NextAction::Respond,
        "a non-idempotent request is forwarded once"
    );
}

/// Targets run requests and lose the responses.
#[test]
fn lost_response_may_have_run() {
    let mut non_idempotent = attempts(false);
    non_idempotent.start("a".into());
    assert_eq!(
        non_idempotent.finish(no_response(ResultCode::AnswerLost)),
        NextAction::Fail(ResultCode::AnswerLost)
    );
    let mut idempotent = attempts(true);
    idempotent.start("a".into());
    assert_eq!(idempotent.finish(no_response(ResultCode::AnswerLost)), NextAction::Continue);
    let final_code = idempotent.final_code(ResultCode::TargetFull, 100);
    assert_eq!(final_code, ResultCode::AnswerLost, "the first attempt may have run");
    assert_eq!(
        idempotent.final_code(ResultCode::TargetFull, DEADLINE_MS),
        ResultCode::DeadlineAfterRun
    );
}

/// Under overload every daemon refuses. The request fails at once, and is reported as not run.
#[test]
fn all_daemons_refuse() {
    let mut non_idempotent = attempts(false);
    for daemon in ["a", "b", "c"] {
        non_idempotent.start(daemon.into());
        assert_eq!(
            non_idempotent.finish(no_response(ResultCode::TargetFull)),
            NextAction::Continue
        );
    }
    non_idempotent.start("d".into());
    assert_eq!(
        non_idempotent.finish(no_response(ResultCode::TargetFull)),
        NextAction::Fail(ResultCode::TargetFull)
    );
    assert_eq!(non_idempotent.final_code(ResultCode::TargetFull, 100), ResultCode::TargetFull);
}

/// An attempt that is still in flight when no other can start may have run.
#[test]
fn in_flight_may_have_run() {
    let mut idempotent = attempts(true);
    idempotent.start("a".into());
    assert_eq!(idempotent.final_code(ResultCode::NoTarget, 100), ResultCode::DeadlineAfterRun);
}
