//! How requests wait at a target's door under overload.

use pomeloreach_core::admission::{Admission, Arrival, Decision};
use pomeloreach_core::code::ResultCode;
use pomeloreach_core::endpoint::TargetState;

const SLOTS: u16 = 2;

fn arrival(ticket: u64, rank: u8, goal_ms: u64, deadline_ms: u64, service_ms: f64) -> Arrival {
    Arrival { ticket, deadline_ms, goal_ms, rank, service_ms: Some(service_ms), wait_max_ms: None }
}

/// A door whose slots are taken by requests that take 100 ms each.
fn full_door() -> Admission {
    let mut door = Admission::with_queued_per_slot(4);
    door.set_target(TargetState::Ready, SLOTS);
    for round in 0..100 {
        let admitted = door.admit(round, arrival(round, 0, round + 500, round + 1_000, 100.0));
        assert_eq!(admitted, Decision::Run);
        door.finish(round, 100);
    }
    for ticket in 1_000..1_000 + u64::from(SLOTS) {
        assert_eq!(door.admit(0, arrival(ticket, 0, 500, 1_000, 100.0)), Decision::Run);
    }
    door
}

/// The tickets in the order in which they run.
fn order(mut door: Admission) -> Vec<u64> {
    let mut tickets = Vec::new();
    while let (Some(ticket), _) = door.finish(1, 100) {
        tickets.push(ticket);
    }
    tickets
}

#[test]
fn urgent_first() {
    let mut door = full_door();
    assert_eq!(door.admit(0, arrival(1, 2, 500, 1_000, 50.0)), Decision::Queue);
    assert_eq!(door.admit(0, arrival(2, 1, 500, 1_000, 50.0)), Decision::Queue);
    assert_eq!(door.admit(0, arrival(3, 2, 500, 1_000, 50.0)), Decision::Queue);
    assert_eq!(door.ahead(), [0, 1, 3, 3]);
    assert_eq!(order(door), [2, 1, 3]);
}

#[test]
fn late_lets_pass() {
    let mut door = full_door();
    assert_eq!(door.admit(0, arrival(1, 1, 60, 1_000, 50.0)), Decision::Queue, "late, but in time");
    assert_eq!(door.admit(0, arrival(2, 1, 500, 1_000, 50.0)), Decision::Queue);
    assert_eq!(door.ahead(), [0, 1, 2, 2]);
    assert_eq!(order(door), [2, 1]);
}

#[test]
fn hopeless_is_refused() {
    let mut door = full_door();
    let hopeless = arrival(1, 1, 60, 120, 100.0);
    assert_eq!(door.admit(0, hopeless), Decision::Refuse(ResultCode::TargetFull));
}

#[test]
fn late_have_a_share() {
    let mut door = full_door();
    let admitted = (0..8)
        .filter(|ticket| door.admit(0, arrival(*ticket, 1, 10, 10_000, 50.0)) == Decision::Queue)
        .count();
    assert_eq!(admitted, 2, "a quarter of eight places");
    assert_eq!(door.admit(0, arrival(9, 1, 5_000, 10_000, 50.0)), Decision::Queue);
}

/// At a target whose requests are long on average, a short one is judged by its own time.
#[test]
fn short_beside_long() {
    let mut door = Admission::with_queued_per_slot(4);
    door.set_target(TargetState::Ready, SLOTS);
    for round in 0..100 {
        door.admit(round, arrival(round, 0, round + 5_000, round + 5_000, 400.0));
        door.finish(round, 400);
    }
    for ticket in 1_000..1_000 + u64::from(SLOTS) {
        door.admit(0, arrival(ticket, 0, 5_000, 5_000, 400.0));
    }
    assert_eq!(door.admit(0, arrival(1, 1, 300, 450, 40.0)), Decision::Queue);
    let long = Arrival { service_ms: None, ..arrival(2, 1, 300, 450, 0.0) };
    assert_eq!(door.admit(0, long), Decision::Refuse(ResultCode::TargetFull));
}

#[test]
fn expires_before_its_turn() {
    let mut door = full_door();
    assert_eq!(door.admit(0, arrival(1, 1, 400, 450, 100.0)), Decision::Queue);
    assert!(door.expire(300).is_empty());
    assert_eq!(door.expire(385), [1], "70 ms are not left");
    assert_eq!(order(door), [] as [u64; 0]);
}

/// A request that has become late while it waited lets those pass that can still be in time.
#[test]
fn overtaken_when_late() {
    let mut door = full_door();
    assert_eq!(door.admit(0, arrival(1, 1, 300, 2_000, 100.0)), Decision::Queue);
    assert_eq!(door.admit(0, arrival(2, 1, 900, 2_000, 100.0)), Decision::Queue);
    let (next, expired) = door.finish(250, 100);
    assert_eq!((next, expired), (Some(2), vec![]), "100 ms no longer fit before 300 ms");
    assert_eq!(door.finish(260, 100).0, Some(1), "late, and still of use");
}

/// After a restart the first answers already tell how long a queue takes.
#[test]
fn first_time_counts_whole() {
    let mut door = Admission::with_queued_per_slot(4);
    door.set_target(TargetState::Ready, SLOTS);
    let unknown = |ticket| Arrival { service_ms: None, ..arrival(ticket, 1, 400, 600, 0.0) };
    assert_eq!(door.admit(0, unknown(1)), Decision::Run);
    door.finish(200, 200);
    assert!((door.service_ms() - 200.0).abs() < 1.0, "{}", door.service_ms());
    for ticket in 2..4 {
        assert_eq!(door.admit(200, unknown(ticket)), Decision::Run);
    }
    assert_eq!(
        door.admit(200, unknown(4)),
        Decision::Refuse(ResultCode::TargetFull),
        "100 + 200 ms"
    );
}

/// A queue full of lookups does not keep an order out.
#[test]
fn urgent_displaces() {
    let mut door = full_door();
    for ticket in 1..=8 {
        assert_eq!(door.admit(0, arrival(ticket, 2, 5_000, 10_000, 50.0)), Decision::Queue);
    }
    let more = arrival(9, 2, 5_000, 10_000, 50.0);
    assert_eq!(door.admit(0, more), Decision::Refuse(ResultCode::TargetFull));
    let order = arrival(10, 1, 5_000, 10_000, 50.0);
    assert_eq!(door.admit(0, order), Decision::Displace { ticket: 8 });
    assert_eq!(door.finish(1, 100).0, Some(10));
}

/// What will not end before its deadline is refused while there is time to go elsewhere.
#[test]
fn hopeless_wait_ends() {
    let mut door = full_door();
    for ticket in 1..=4 {
        assert_eq!(door.admit(0, arrival(ticket, 1, 2_000, 3_000, 400.0)), Decision::Queue);
    }
    assert_eq!(door.admit(0, arrival(5, 2, 1_400, 2_500, 400.0)), Decision::Queue);
    for ticket in 6..=8 {
        assert_eq!(door.admit(0, arrival(ticket, 1, 3_000, 3_000, 400.0)), Decision::Queue);
    }
    let (_, expired) = door.finish(1_100, 100);
    assert_eq!(expired, [] as [u64; 0], "it is not known to be late yet");
    let (_, expired) = door.finish(1_101, 100);
    assert_eq!(expired, [5], "two more before it, and 1,400 ms left");
}

/// The door refuses what the origin can place better.
#[test]
fn better_elsewhere() {
    let mut door = full_door();
    let bounded = |ticket, wait_max_ms| Arrival {
        wait_max_ms: Some(wait_max_ms),
        ..arrival(ticket, 1, 800, 2_000, 100.0)
    };
    assert_eq!(door.admit(0, bounded(1, 20.0)), Decision::Refuse(ResultCode::TargetFull));
    assert_eq!(door.admit(0, bounded(2, 60.0)), Decision::Queue);
    assert_eq!(door.admit(0, bounded(3, 60.0)), Decision::Refuse(ResultCode::TargetFull));
}

/// At twice the capacity nearly all answers are in time, since what cannot be is refused.
#[test]
fn overload_stays_in_time() {
    let mut door = Admission::with_queued_per_slot(4);
    door.set_target(TargetState::Ready, 10);
    // Each request takes 100 ms, so that 100 a second fit; 200 a second arrive for 20 s.
    let mut ends: Vec<(u64, u64)> = Vec::new();
    let mut arrived_ms = std::collections::BTreeMap::new();
    let (mut in_time, mut late, mut refused) = (0, 0, 0);
    for now_ms in 0..20_000 {
        let over: Vec<(u64, u64)> =
            ends.iter().filter(|(end, _)| *end <= now_ms).copied().collect();
        ends.retain(|(end, _)| *end > now_ms);
        for (_, ticket) in over {
            if now_ms - arrived_ms[&ticket] <= 300 {
                in_time += 1
            } else {
                late += 1
            }
            if let (Some(next), _) = door.finish(now_ms, 100) {
                ends.push((now_ms + 100, next));
            }
        }
        if now_ms % 5 == 0 {
            arrived_ms.insert(now_ms, now_ms);
            let arrival = arrival(now_ms, 1, now_ms + 300, now_ms + 1_200, 100.0);
            match door.admit(now_ms, arrival) {
                Decision::Run => ends.push((now_ms + 100, now_ms)),
                Decision::Queue | Decision::Displace { .. } => {}
                Decision::Refuse(_) => refused += 1,
            }
        }
    }
    assert!(in_time + late >= 1_900, "the slots stay busy: {in_time} + {late}");
    assert!(in_time >= 1_800, "{in_time} in time, {late} late, {refused} refused");
}
