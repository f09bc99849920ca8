//! What the memory budget grants, and which connections it closes, without sockets.

use pomeloreach_wire::memory::budget::{
    Budget, CONNECTION_BYTES, Decision, HolderKind, Purpose, SMALL_BYTES_MAX, STALL_MS,
};

const KIB: usize = 1024;
const TOTAL: usize = 8 * 1024 * KIB;
/// The largest request: an eighth is reserved.
const LARGE: usize = 7 * 1024 * KIB;
const SMALL: Purpose = Purpose::Request { bytes: SMALL_BYTES_MAX };

fn large(bytes: usize) -> Purpose {
    Purpose::Request { bytes }
}

/// Adds a holder with memory that is granted.
fn holder(budget: &mut Budget, kind: HolderKind, bytes: usize, now_ms: u64) -> u64 {
    let id = budget.add_holder(kind, now_ms);
    let granted = budget.request(Some(id), bytes, large(bytes), now_ms);
    assert_eq!(granted, Decision { is_granted: true, closed: vec![] });
    budget.set_holder_bytes(id, bytes);
    id
}

fn closed(ids: &[u64]) -> Decision {
    Decision { is_granted: true, closed: ids.to_vec() }
}

/// A body as large as the documented limit is granted when nothing else is in memory.
#[test]
fn largest_request_fits_alone() {
    let mut budget = Budget::new(TOTAL);
    assert_eq!(budget.request_bytes_max(), LARGE);
    assert!(budget.request(None, LARGE, large(LARGE), 0).is_granted);
    assert!(!budget.request(None, LARGE, large(LARGE), 0).is_granted);
    budget.release(LARGE);
    assert!(budget.request(None, LARGE, large(LARGE), 0).is_granted);
}

/// Large bodies that were received completely cannot take the memory of small requests.
#[test]
fn reserve_is_for_small_requests() {
    let mut budget = Budget::new(TOTAL);
    assert!(budget.request(None, LARGE, large(LARGE), 0).is_granted);
    assert!(!budget.request(None, 100 * KIB, large(100 * KIB), 0).is_granted);
    let small_count = (TOTAL - LARGE) / SMALL_BYTES_MAX;
    for _ in 0..small_count {
        assert!(budget.request(None, SMALL_BYTES_MAX, SMALL, 0).is_granted);
    }
    assert!(!budget.request(None, 1, SMALL, 0).is_granted);
}

/// A large request closes the incomplete ones that have stalled for longest, and no others.
#[test]
fn stalled_requests_are_closed_first() {
    let mut budget = Budget::new(TOTAL);
    let third = LARGE / 3;
    let oldest = holder(&mut budget, HolderKind::Request, third, 0);
    let older = holder(&mut budget, HolderKind::Request, third, 10);
    let active = holder(&mut budget, HolderKind::Request, third, 20);
    let now_ms = STALL_MS + 10;
    assert!(!budget.request(None, third, large(third), STALL_MS - 1).is_granted);
    budget.record_progress(active, now_ms);
    assert_eq!(budget.request(None, third, large(third), now_ms), closed(&[oldest]));
    // Their memory counts as released at once, so that nobody is closed twice for it.
    assert_eq!(budget.request(None, third, large(third), now_ms), closed(&[older]));
    assert!(!budget.request(None, third, large(third), now_ms).is_granted);
    budget.remove_holder(oldest);
    budget.release(third);
    assert!(!budget.request(None, third, large(third), now_ms).is_granted);
}

/// Nobody is closed if that does not make enough room.
#[test]
fn refusal_closes_nobody() {
    let mut budget = Budget::new(TOTAL);
    assert!(budget.request(None, LARGE / 2, large(LARGE / 2), 0).is_granted);
    let stalled = holder(&mut budget, HolderKind::Request, LARGE / 4, 0);
    let refused = budget.request(None, LARGE, large(LARGE), STALL_MS);
    assert_eq!(refused, Decision::default());
    assert_eq!(budget.request(None, LARGE / 2, large(LARGE / 2), STALL_MS), closed(&[stalled]));
}

/// Many incomplete small requests cannot keep out a complete one, even if none has stalled yet.
#[test]
fn small_request_displaces_incomplete_one() {
    let mut budget = Budget::new(TOTAL);
    let first = holder(&mut budget, HolderKind::Request, LARGE, 0);
    for _ in 0..(TOTAL - LARGE) / SMALL_BYTES_MAX {
        holder(&mut budget, HolderKind::Request, SMALL_BYTES_MAX, 5);
    }
    assert_eq!(budget.request(None, SMALL_BYTES_MAX, SMALL, 6), closed(&[first]));
}

/// Responses that are not read are closed after requests that have not run, and never while their client
/// makes progress: connections were closed in the middle of a response that their client was reading.
#[test]
fn responses_displace_stalled_holders() {
    let mut budget = Budget::new(TOTAL);
    let own = holder(&mut budget, HolderKind::Responses, LARGE / 4, 0);
    let unread = holder(&mut budget, HolderKind::Responses, LARGE / 4, 1);
    let request = holder(&mut budget, HolderKind::Request, LARGE / 4, 2);
    let fill = TOTAL - LARGE / 4 * 3;
    assert!(budget.request(None, fill, Purpose::Present, 3).is_granted);
    budget.set_sending(own, true, 0);
    budget.set_sending(unread, true, 1);
    let mut next = |purpose, now_ms| budget.request(Some(own), LARGE / 4, purpose, now_ms);
    assert_eq!(next(Purpose::Response, 4), closed(&[request]));
    assert_eq!(next(Purpose::Response, STALL_MS), Decision::default(), "the client may be reading");
    assert_eq!(next(SMALL, STALL_MS), Decision::default());
    assert_eq!(next(Purpose::Response, STALL_MS + 1), closed(&[unread]));
    assert_eq!(next(Purpose::Response, 2 * STALL_MS), Decision::default(), "the own connection");
    // What is in memory in any case is granted even now.
    assert_eq!(next(Purpose::Present, 2 * STALL_MS), closed(&[]));
}

/// A connection whose first response was not complete yet was closed, although its client had read all
/// that it could.
#[test]
fn waiting_client_is_not_closed() {
    let mut budget = Budget::new(TOTAL);
    let waiting = holder(&mut budget, HolderKind::Responses, LARGE, 0);
    let mut next = |now_ms| budget.request(None, LARGE, large(LARGE), now_ms);
    assert_eq!(next(10 * STALL_MS), Decision::default());
    budget.set_sending(waiting, true, 10 * STALL_MS);
    let mut next = |now_ms| budget.request(None, LARGE, large(LARGE), now_ms);
    assert_eq!(next(11 * STALL_MS - 1), Decision::default());
    assert_eq!(next(11 * STALL_MS), closed(&[waiting]));
}

/// Connections that took all of the budget left no room for the requests on them.
#[test]
fn connections_leave_room_for_requests() {
    let mut budget = Budget::new(TOTAL);
    let connections = budget.connections_max();
    assert!(connections > 0);
    for _ in 0..connections {
        assert_eq!(budget.request(None, CONNECTION_BYTES, SMALL, 0), closed(&[]));
    }
    assert_eq!(budget.request(None, TOTAL / 2, SMALL, 0), closed(&[]));
}

/// The sum of what is granted and not being closed never exceeds the budget, whatever comes.
#[test]
fn requests_stay_within_budget() {
    let mut budget = Budget::new(TOTAL);
    let mut held = std::collections::BTreeMap::new();
    let mut random = 7_u64;
    for step in 0..20_000_u64 {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let bytes = (random >> 33) as usize % (512 * KIB) + 1;
        let id = budget.add_holder(HolderKind::Request, step);
        let decision = budget.request(Some(id), bytes, large(bytes), step);
        if decision.is_granted {
            budget.set_holder_bytes(id, bytes);
            held.insert(id, bytes);
        } else {
            budget.remove_holder(id);
        }
        for id in decision.closed {
            let bytes = held.remove(&id).expect("only a holder with memory is closed");
            budget.remove_holder(id);
            budget.release(bytes);
        }
        let sum: usize = held.values().sum();
        assert_eq!(budget.used_bytes(), sum);
        assert!(sum <= TOTAL);
    }
    assert!(held.len() > 8, "the budget is used");
}
