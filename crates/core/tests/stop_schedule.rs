//! What a stopping daemon still does at which time of its grace period.

use pomeloreach_core::admission::{Admission, Arrival, Decision};
use pomeloreach_core::endpoint::TargetState;
use pomeloreach_core::mesh::stop_schedule::StopSchedule;

const STARTED_MS: u64 = 10_000;

/// Callers go on sending: a request that was read before the end of serving and takes as long as it
/// may ends before the last responses are decided, and these before the exit and the kill.
#[yare::parameterized(
    short = { 6_000 },
    long = { 10_000 },
)]
fn times_are_in_order(grace_ms: u64) {
    let schedule = StopSchedule::new(STARTED_MS, grace_ms);
    let last_response_ms =
        (STARTED_MS..).find(|now_ms| schedule.is_last_response_due(*now_ms)).unwrap();
    let serving_until_ms = (STARTED_MS..).find(|now_ms| !schedule.is_serving(*now_ms)).unwrap();
    let may_exit_ms = (STARTED_MS..).find(|now_ms| schedule.may_exit(*now_ms)).unwrap();
    // Two readiness checks fail before callers go elsewhere.
    assert!(serving_until_ms > STARTED_MS + 2_000);
    assert!(serving_until_ms < may_exit_ms && may_exit_ms < schedule.run_until_ms());
    assert!(schedule.run_until_ms() < last_response_ms && last_response_ms < schedule.exit_ms());
    assert!(schedule.exit_ms() < STARTED_MS + grace_ms);
}

/// A daemon that nobody uses yet waited for callers and peers that could not come.
#[test]
fn unused_daemon_exits_at_once() {
    let schedule = StopSchedule::of_unused(STARTED_MS, 6_000);
    assert!(!schedule.is_serving(STARTED_MS) && schedule.may_exit(STARTED_MS));
    assert!(!schedule.is_last_response_due(STARTED_MS), "a control call in progress is answered");
    assert_eq!(schedule.exit_ms(), StopSchedule::new(STARTED_MS, 6_000).exit_ms());
}

/// A body that ends late: its request is passed on only if it can end in time.
#[test]
fn late_body_is_passed_on_in_time() {
    let schedule = StopSchedule::new(STARTED_MS, 6_000);
    assert!(schedule.may_pass_on(STARTED_MS + 3_000, 1_000.0));
    assert!(!schedule.may_pass_on(STARTED_MS + 4_500, 1_000.0));
    assert!(schedule.may_pass_on(STARTED_MS + 4_500, 100.0));
    assert!(schedule.may_pass_on(STARTED_MS + 4_500, 0.0));
    assert!(!schedule.may_pass_on(schedule.run_until_ms(), 0.0));
}

/// Requests that wait in the queue when the stop begins are refused as not run before the exit.
#[test]
fn queued_requests_expire() {
    let mut admission = Admission::with_queued_per_slot(4);
    admission.set_target(TargetState::Ready, 1);
    let arrival = |ticket| Arrival {
        ticket,
        deadline_ms: STARTED_MS + 20_000,
        goal_ms: STARTED_MS + 20_000,
        rank: 0,
        service_ms: None,
        wait_max_ms: None,
    };
    assert_eq!(admission.admit(STARTED_MS, arrival(1)), Decision::Run);
    assert_eq!(admission.admit(STARTED_MS, arrival(2)), Decision::Queue);
    let schedule = StopSchedule::new(STARTED_MS, 6_000);
    admission.limit_deadlines(schedule.run_until_ms());
    assert!(admission.expire(schedule.run_until_ms() - 1).is_empty());
    assert_eq!(admission.expire(schedule.run_until_ms()), [2]);
}
