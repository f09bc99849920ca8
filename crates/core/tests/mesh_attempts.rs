//! When another attempt begins, and what a caller is told, under each load that asks for it.

use pomeloreach_core::code::ResultCode;
use pomeloreach_core::mesh::attempts::{AttemptResult, Attempts, NextAction, RetryPolicy};

const DEADLINE_MS: u64 = 2_000;
/// The usual time of an answer on the route.
const TYPICAL_MS: f64 = 60.0;

fn attempts(is_idempotent: bool) -> Attempts {
    Attempts::new(RetryPolicy { is_idempotent, attempts_max: 3, deadline_ms: DEADLINE_MS })
}

fn answered(http_status: u16) -> AttemptResult {
    AttemptResult { code: ResultCode::Answered, http_status, reached_target: true }
}

/// The end of an attempt without an answer; it reached the target if it may have run.
fn ended(code: ResultCode) -> AttemptResult {
    let reached_target = code.number() > 2_100;
    AttemptResult { code, http_status: code.http_status(), reached_target }
}

/// A third of the targets stall: a read moves on while there is time, an order waits.
#[yare::parameterized(
    read_moves_on = { true, 0, Some(TYPICAL_MS), 600 },
    read_of_unknown_time = { true, 0, None, 1_000 },
    four_usual_times = { true, 0, Some(300.0), 1_200 },
    no_time_for_another = { true, 1_850, Some(TYPICAL_MS), 150 },
    order_waits = { false, 0, Some(TYPICAL_MS), 2_000 },
)]
fn stalled(is_idempotent: bool, now_ms: u64, typical_ms: Option<f64>, stall_timeout_ms: u64) {
    let mut attempts = attempts(is_idempotent);
    attempts.start("a".into());
    assert_eq!(attempts.stall_timeout_ms(now_ms, typical_ms), stall_timeout_ms);
    assert_eq!(attempts.may_start(), is_idempotent);
}

#[test]
fn attempts_are_bounded() {
    let mut attempts = attempts(true);
    for daemon in ["a", "b", "c"] {
        assert!(attempts.may_start(), "before {daemon}");
        attempts.start(daemon.into());
    }
    assert!(!attempts.may_start());
    assert_eq!(attempts.stall_timeout_ms(500, Some(TYPICAL_MS)), 1_500, "nothing follows");
}

/// The budget pays for each arrival at a target after the first, also beside a running attempt.
#[test]
fn budget_pays_arrivals() {
    let mut attempts = attempts(true);
    assert!(!attempts.is_retry());
    attempts.start("a".into());
    assert!(attempts.is_retry(), "it may be at its target now");
    assert_eq!(attempts.finish(ended(ResultCode::TargetFull)), NextAction::Continue);
    assert!(!attempts.is_retry(), "the door refused it");
}

/// Targets fail part of their requests while they look healthy.
#[test]
fn failure_is_passed_on_last() {
    let mut read = attempts(true);
    read.start("a".into());
    assert_eq!(read.finish(answered(500)), NextAction::HoldResponse);
    read.start("b".into());
    assert_eq!(read.finish(answered(200)), NextAction::Respond);
    let mut order = attempts(false);
    order.start("a".into());
    assert_eq!(order.finish(answered(500)), NextAction::Respond, "an order is handed over once");
}

/// Targets run requests and lose the answers.
#[test]
fn lost_answer_is_no_refusal() {
    let mut order = attempts(false);
    order.start("a".into());
    assert_eq!(
        order.finish(ended(ResultCode::AnswerLost)),
        NextAction::Fail(ResultCode::AnswerLost)
    );
    let mut read = attempts(true);
    read.start("a".into());
    assert_eq!(read.finish(ended(ResultCode::AnswerLost)), NextAction::Continue);
    let final_code = read.final_code(ResultCode::TargetFull, 100);
    assert_eq!(final_code, ResultCode::AnswerLost, "the first attempt may have run");
    assert_eq!(read.final_code(ResultCode::TargetFull, DEADLINE_MS), ResultCode::DeadlineAfterRun);
}

/// Under overload every door refuses: that is told at once, and truly.
#[test]
fn refusal_everywhere() {
    let mut order = attempts(false);
    for daemon in ["a", "b", "c"] {
        order.start(daemon.into());
        assert_eq!(order.finish(ended(ResultCode::TargetFull)), NextAction::Continue);
    }
    order.start("d".into());
    assert_eq!(
        order.finish(ended(ResultCode::TargetFull)),
        NextAction::Fail(ResultCode::TargetFull)
    );
    assert_eq!(order.final_code(ResultCode::TargetFull, 100), ResultCode::TargetFull);
}

/// An attempt that still runs when nothing else can begin may have run.
#[test]
fn running_is_no_refusal() {
    let mut read = attempts(true);
    read.start("a".into());
    assert_eq!(read.final_code(ResultCode::NoTarget, 100), ResultCode::DeadlineAfterRun);
}
