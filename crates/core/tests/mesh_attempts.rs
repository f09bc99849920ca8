//! When another attempt begins, and what a caller is told, under each load that asks for it.

use pomeloreach_core::code::ResultCode;
use pomeloreach_core::mesh::attempts::{AttemptEnd, Attempts, Next, Terms};

const DEADLINE_MS: u64 = 2_000;
/// The usual time of an answer on the route.
const USUAL_MS: f64 = 60.0;

fn attempts(is_idempotent: bool) -> Attempts {
    Attempts::new(Terms { is_idempotent, attempts_max: 3, deadline_ms: DEADLINE_MS })
}

fn answered(http_status: u16) -> AttemptEnd {
    AttemptEnd { code: ResultCode::Answered, http_status, reached_target: true }
}

/// The end of an attempt without an answer; it reached the target if it may have run.
fn ended(code: ResultCode) -> AttemptEnd {
    let reached_target = code.number() > 2_100;
    AttemptEnd { code, http_status: code.http_status(), reached_target }
}

/// A third of the targets stall: a read moves on while there is time, an order waits.
#[yare::parameterized(
    read_moves_on = { true, 0, Some(USUAL_MS), 600 },
    read_of_unknown_time = { true, 0, None, 1_000 },
    four_usual_times = { true, 0, Some(300.0), 1_200 },
    no_time_for_another = { true, 1_850, Some(USUAL_MS), 150 },
    order_waits = { false, 0, Some(USUAL_MS), 2_000 },
)]
fn stalled(is_idempotent: bool, now_ms: u64, usual_ms: Option<f64>, patience_ms: u64) {
    let mut attempts = attempts(is_idempotent);
    attempts.began("a".into());
    assert_eq!(attempts.patience_ms(now_ms, usual_ms), patience_ms);
    assert_eq!(attempts.may_begin(), is_idempotent);
}

#[test]
fn attempts_are_bounded() {
    let mut attempts = attempts(true);
    for daemon in ["a", "b", "c"] {
        assert!(attempts.may_begin(), "before {daemon}");
        attempts.began(daemon.into());
    }
    assert!(!attempts.may_begin());
    assert_eq!(attempts.patience_ms(500, Some(USUAL_MS)), 1_500, "nothing follows");
}

/// The budget pays for each arrival at a target after the first, also beside a running attempt.
#[test]
fn budget_pays_arrivals() {
    let mut attempts = attempts(true);
    assert!(!attempts.is_retry());
    attempts.began("a".into());
    assert!(attempts.is_retry(), "it may be at its target now");
    assert_eq!(attempts.ended(ended(ResultCode::TargetFull)), Next::GoOn);
    assert!(!attempts.is_retry(), "the door refused it");
}

/// Targets fail part of their requests while they look healthy.
#[test]
fn failure_is_passed_on_last() {
    let mut read = attempts(true);
    read.began("a".into());
    assert_eq!(read.ended(answered(500)), Next::PassOnLater);
    read.began("b".into());
    assert_eq!(read.ended(answered(200)), Next::PassOn);
    let mut order = attempts(false);
    order.began("a".into());
    assert_eq!(order.ended(answered(500)), Next::PassOn, "an order is handed over once");
}

/// Targets run requests and lose the answers.
#[test]
fn lost_answer_is_no_refusal() {
    let mut order = attempts(false);
    order.began("a".into());
    assert_eq!(order.ended(ended(ResultCode::AnswerLost)), Next::End(ResultCode::AnswerLost));
    let mut read = attempts(true);
    read.began("a".into());
    assert_eq!(read.ended(ended(ResultCode::AnswerLost)), Next::GoOn);
    let verdict = read.verdict(ResultCode::TargetFull, 100);
    assert_eq!(verdict, ResultCode::AnswerLost, "the first attempt may have run");
    assert_eq!(read.verdict(ResultCode::TargetFull, DEADLINE_MS), ResultCode::DeadlineAfterRun);
}

/// Under overload every door refuses: that is told at once, and truly.
#[test]
fn refusal_everywhere() {
    let mut order = attempts(false);
    for daemon in ["a", "b", "c"] {
        order.began(daemon.into());
        assert_eq!(order.ended(ended(ResultCode::TargetFull)), Next::GoOn);
    }
    order.began("d".into());
    assert_eq!(order.ended(ended(ResultCode::TargetFull)), Next::End(ResultCode::TargetFull));
    assert_eq!(order.verdict(ResultCode::TargetFull, 100), ResultCode::TargetFull);
}

/// An attempt that still runs when nothing else can begin may have run.
#[test]
fn running_is_no_refusal() {
    let mut read = attempts(true);
    read.began("a".into());
    assert_eq!(read.verdict(ResultCode::NoTarget, 100), ResultCode::DeadlineAfterRun);
}
