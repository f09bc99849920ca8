//! The order and the limits of the admission queue of an overloaded target.

use pomeloreach_core::admission::{Admission, Arrival, Decision};
use pomeloreach_core::code::ResultCode;
use pomeloreach_core::endpoint::TargetState;

const SLOTS: u16 = 2;

fn arrival(ticket: u64, rank: u8, goal_ms: u64, deadline_ms: u64, service_ms: f64) -> Arrival {
    Arrival { ticket, deadline_ms, goal_ms, rank, service_ms: Some(service_ms), wait_max_ms: None }
}

/// An admission queue whose slots are all taken, with an average service time of 100 ms.
fn busy_admission() -> Admission {
    let mut admission = Admission::with_queued_per_slot(4);
    admission.set_target(TargetState::Ready, SLOTS);
    for round in 0..100 {
        let admitted = admission.admit(round, arrival(round, 0, round + 500, round + 1_000, 100.0));
        assert_eq!(admitted, Decision::Run);
        admission.finish(round, 100);
    }
    for ticket in 1_000..1_000 + u64::from(SLOTS) {
        assert_eq!(admission.admit(0, arrival(ticket, 0, 500, 1_000, 100.0)), Decision::Run);
    }
    admission
}

/// The tickets of the queued requests, in the order in which they run.
fn run_order(mut admission: Admission) -> Vec<u64> {
    let mut tickets = Vec::new();
    while let (Some(ticket), _) = admission.finish(1, 100) {
        tickets.push(ticket);
    }
    tickets
}

#[test]
fn lower_rank_runs_first() {
    let mut admission = busy_admission();
    assert_eq!(admission.admit(0, arrival(1, 2, 500, 1_000, 50.0)), Decision::Queue);
    assert_eq!(admission.admit(0, arrival(2, 1, 500, 1_000, 50.0)), Decision::Queue);
    assert_eq!(admission.admit(0, arrival(3, 2, 500, 1_000, 50.0)), Decision::Queue);
    assert_eq!(admission.ahead(), [0, 1, 3, 3]);
    assert_eq!(run_order(admission), [2, 1, 3]);
}

#[test]
fn late_request_runs_after_others() {
    let mut admission = busy_admission();
    assert_eq!(
        admission.admit(0, arrival(1, 1, 60, 1_000, 50.0)),
        Decision::Queue,
        "misses the goal, but not the deadline"
    );
    assert_eq!(admission.admit(0, arrival(2, 1, 500, 1_000, 50.0)), Decision::Queue);
    assert_eq!(admission.ahead(), [0, 1, 2, 2]);
    assert_eq!(run_order(admission), [2, 1]);
}

#[test]
fn expected_deadline_miss_refused() {
    let mut admission = busy_admission();
    let request = arrival(1, 1, 60, 120, 100.0);
    assert_eq!(admission.admit(0, request), Decision::Refuse(ResultCode::TargetFull));
}

#[test]
fn late_share_is_limited() {
    let mut admission = busy_admission();
    let admitted = (0..8)
        .filter(|id| admission.admit(0, arrival(*id, 1, 10, 10_000, 50.0)) == Decision::Queue)
        .count();
    assert_eq!(admitted, 2, "late requests may fill a quarter of the queue of eight");
    assert_eq!(admission.admit(0, arrival(9, 1, 5_000, 10_000, 50.0)), Decision::Queue);
}

/// Where a request has its own expected service time, it is used instead of the target's average.
#[test]
fn short_request_at_slow_target() {
    let mut admission = Admission::with_queued_per_slot(4);
    admission.set_target(TargetState::Ready, SLOTS);
    for round in 0..100 {
        admission.admit(round, arrival(round, 0, round + 5_000, round + 5_000, 400.0));
        admission.finish(round, 400);
    }
    for ticket in 1_000..1_000 + u64::from(SLOTS) {
        admission.admit(0, arrival(ticket, 0, 5_000, 5_000, 400.0));
    }
    assert_eq!(admission.admit(0, arrival(1, 1, 300, 450, 40.0)), Decision::Queue);
    let long = Arrival { service_ms: None, ..arrival(2, 1, 300, 450, 0.0) };
    assert_eq!(admission.admit(0, long), Decision::Refuse(ResultCode::TargetFull));
}

#[test]
fn expires_in_queue() {
    let mut admission = busy_admission();
    assert_eq!(admission.admit(0, arrival(1, 1, 400, 450, 100.0)), Decision::Queue);
    assert!(admission.expire(300).is_empty());
    assert_eq!(admission.expire(385), [1], "less than 70 ms are left");
    assert_eq!(run_order(admission), [] as [u64; 0]);
}

/// A request that becomes late in the queue runs after those that can still meet their goal.
#[test]
fn becomes_late_in_queue() {
    let mut admission = busy_admission();
    assert_eq!(admission.admit(0, arrival(1, 1, 300, 2_000, 100.0)), Decision::Queue);
    assert_eq!(admission.admit(0, arrival(2, 1, 900, 2_000, 100.0)), Decision::Queue);
    let (next, expired) = admission.finish(250, 100);
    assert_eq!(
        (next, expired),
        (Some(2), vec![]),
        "at 250 ms, 100 ms more would miss the goal of 300 ms"
    );
    assert_eq!(admission.finish(260, 100).0, Some(1), "late, but before its deadline");
}

/// After a restart, the first sample sets the average service time, so that the expected waits are
/// right from then on.
#[test]
fn first_sample_has_full_weight() {
    let mut admission = Admission::with_queued_per_slot(4);
    admission.set_target(TargetState::Ready, SLOTS);
    let unknown = |ticket| Arrival { service_ms: None, ..arrival(ticket, 1, 400, 600, 0.0) };
    assert_eq!(admission.admit(0, unknown(1)), Decision::Run);
    admission.finish(200, 200);
    assert!((admission.service_ms() - 200.0).abs() < 1.0, "{}", admission.service_ms());
    for ticket in 2..4 {
        assert_eq!(admission.admit(200, unknown(ticket)), Decision::Run);
    }
    assert_eq!(
        admission.admit(200, unknown(4)),
        Decision::Refuse(ResultCode::TargetFull),
        "a wait of 100 ms and a run of 200 ms"
    );
}

/// A request displaces one of a higher rank from a full queue.
#[test]
fn lower_rank_displaces() {
    let mut admission = busy_admission();
    for ticket in 1..=8 {
        assert_eq!(admission.admit(0, arrival(ticket, 2, 5_000, 10_000, 50.0)), Decision::Queue);
    }
    let same_rank = arrival(9, 2, 5_000, 10_000, 50.0);
    assert_eq!(admission.admit(0, same_rank), Decision::Refuse(ResultCode::TargetFull));
    let lower_rank = arrival(10, 1, 5_000, 10_000, 50.0);
    assert_eq!(admission.admit(0, lower_rank), Decision::Displace { ticket: 8 });
    assert_eq!(admission.finish(1, 100).0, Some(10));
}

/// A late request that is not expected to end before its deadline expires early, while there is
/// time left to try another target.
#[test]
fn late_request_expires_early() {
    let mut admission = busy_admission();
    for ticket in 1..=4 {
        assert_eq!(admission.admit(0, arrival(ticket, 1, 2_000, 3_000, 400.0)), Decision::Queue);
    }
    assert_eq!(admission.admit(0, arrival(5, 2, 1_400, 2_500, 400.0)), Decision::Queue);
    for ticket in 6..=8 {
        assert_eq!(admission.admit(0, arrival(ticket, 1, 3_000, 3_000, 400.0)), Decision::Queue);
    }
    let (_, expired) = admission.finish(1_100, 100);
    assert_eq!(expired, [] as [u64; 0], "request 5 is marked as late only after this check");
    let (_, expired) = admission.finish(1_101, 100);
    assert_eq!(
        expired,
        [5],
        "request 5 would end after 1,650 ms, but 60 % of the 1,399 ms left are 839 ms"
    );
}

/// A request is refused if it would wait longer than `wait_max_ms`, since the daemon that sent it
/// has a better target then.
#[test]
fn wait_max_is_enforced() {
    let mut admission = busy_admission();
    let bounded = |ticket, wait_max_ms| Arrival {
        wait_max_ms: Some(wait_max_ms),
        ..arrival(ticket, 1, 800, 2_000, 100.0)
    };
    assert_eq!(admission.admit(0, bounded(1, 20.0)), Decision::Refuse(ResultCode::TargetFull));
    assert_eq!(admission.admit(0, bounded(2, 60.0)), Decision::Queue);
    assert_eq!(admission.admit(0, bounded(3, 60.0)), Decision::Refuse(ResultCode::TargetFull));
}

/// At twice the capacity, requests that cannot be in time are refused, so that nearly all answers
/// are in time.
#[test]
fn answers_in_time_under_overload() {
    let mut admission = Admission::with_queued_per_slot(4);
    admission.set_target(TargetState::Ready, 10);
    // Each request takes 100 ms, so 10 slots serve 100 per second. 200 per second arrive for 20 s.
    let mut ends: Vec<(u64, u64)> = Vec::new();
    let mut arrived_ms = std::collections::BTreeMap::new();
    let (mut in_time, mut late, mut refused) = (0, 0, 0);
    for now_ms in 0..20_000 {
        let ended: Vec<(u64, u64)> =
            ends.iter().filter(|(end, _)| *end <= now_ms).copied().collect();
        ends.retain(|(end, _)| *end > now_ms);
        for (_, ticket) in ended {
            if now_ms - arrived_ms[&ticket] <= 300 {
                in_time += 1
            } else {
                late += 1
            }
            if let (Some(next), _) = admission.finish(now_ms, 100) {
                ends.push((now_ms + 100, next));
            }
        }
        if now_ms % 5 == 0 {
            arrived_ms.insert(now_ms, now_ms);
            let arrival = arrival(now_ms, 1, now_ms + 300, now_ms + 1_200, 100.0);
            match admission.admit(now_ms, arrival) {
                Decision::Run => ends.push((now_ms + 100, now_ms)),
                Decision::Queue | Decision::Displace { .. } => {}
                Decision::Refuse(_) => refused += 1,
            }
        }
    }
    assert!(
        in_time + late >= 1_900,
        "the slots must stay busy: {in_time} answers in time + {late} late"
    );
    assert!(in_time >= 1_800, "{in_time} in time, {late} late, {refused} refused");
}
