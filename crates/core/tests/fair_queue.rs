//! The order of the admission queue between client accounts.

use pomeloreach_core::account::combined_rank;
use pomeloreach_core::admission::{Admission, Arrival, Decision};
use pomeloreach_core::code::ResultCode;
use pomeloreach_core::endpoint::TargetState;
use pomeloreach_core::mesh::state::TargetLoad;
use std::collections::BTreeMap;
use std::sync::Arc;

const SLOTS: u16 = 2;
const QUEUED_PER_SLOT: usize = 4;
/// The places of the queue.
const PLACES: u64 = 8;
const RANK: u8 = 1;
const SERVICE_MS: u64 = 100;

fn arrival(ticket: u64, rank: u8, service_ms: u64) -> Arrival {
    Arrival {
        ticket,
        deadline_ms: 100_000,
        goal_ms: 50_000,
        rank,
        service_ms: Some(service_ms as f64),
        wait_max_ms: None,
    }
}

/// An admission queue whose slots are all taken, with an average service time of 100 ms.
fn busy_admission() -> Admission {
    let mut admission = Admission::with_queued_per_slot(QUEUED_PER_SLOT);
    admission.set_target(TargetState::Ready, SLOTS);
    assert_eq!(admission.admit(0, arrival(1_000, RANK, SERVICE_MS)), Decision::Run);
    admission.finish(0, SERVICE_MS);
    for ticket in 1_000..1_000 + u64::from(SLOTS) {
        assert_eq!(admission.admit(0, arrival(ticket, RANK, SERVICE_MS)), Decision::Run);
    }
    admission
}

fn admit(admission: &mut Admission, ticket: u64, account: &str) -> Decision {
    admission.admit_from(0, arrival(ticket, RANK, SERVICE_MS), Some(account.into()))
}

/// Queues requests of an account with consecutive tickets.
fn queue(admission: &mut Admission, first: u64, count: u64, account: &str) {
    for ticket in first..first + count {
        assert_eq!(admit(admission, ticket, account), Decision::Queue);
    }
}

/// The tickets of the queued requests, in the order in which they run.
fn run_order(mut admission: Admission) -> Vec<u64> {
    let mut tickets = Vec::new();
    while let (Some(ticket), _) = admission.finish(1, SERVICE_MS) {
        tickets.push(ticket);
    }
    tickets
}

/// Guards against one account's backlog running before the first request of another.
#[test]
fn accounts_take_turns() {
    let mut admission = busy_admission();
    queue(&mut admission, 1, 4, "heavy");
    queue(&mut admission, 11, 2, "light");
    queue(&mut admission, 21, 2, "other");
    assert_eq!(run_order(admission), [1, 11, 21, 2, 12, 22, 3, 4]);
}

/// Guards against turns that are counted in requests: an account with long requests would get more
/// of the slots than one with short requests.
#[test]
fn cost_is_service_time() {
    let mut admission = busy_admission();
    for ticket in 1..=2 {
        let long = arrival(ticket, RANK, 300);
        assert_eq!(admission.admit_from(0, long, Some("long".into())), Decision::Queue);
    }
    queue(&mut admission, 11, 4, "short");
    assert_eq!(run_order(admission), [1, 11, 12, 13, 2, 14]);
}

/// Guards against fair turns across ranks and lateness: both come first.
#[test]
fn rank_and_lateness_precede_turns() {
    let mut admission = busy_admission();
    queue(&mut admission, 1, 3, "heavy");
    let less_urgent = arrival(11, RANK + 1, SERVICE_MS);
    assert_eq!(admission.admit_from(0, less_urgent, Some("light".into())), Decision::Queue);
    let late = Arrival { goal_ms: 60, ..arrival(12, RANK, SERVICE_MS) };
    assert_eq!(admission.admit_from(0, late, Some("light".into())), Decision::Queue);
    assert_eq!(run_order(admission), [1, 2, 3, 12, 11]);
}

/// Guards against requests without an account, such as calls, waiting for the backlog of accounts,
/// and against a change of the order among them.
#[test]
fn requests_without_account_keep_order() {
    let mut admission = busy_admission();
    queue(&mut admission, 1, 3, "heavy");
    for ticket in 11..=13 {
        assert_eq!(admission.admit(0, arrival(ticket, RANK, SERVICE_MS)), Decision::Queue);
    }
    assert_eq!(run_order(admission), [1, 11, 12, 13, 2, 3]);
}

/// Guards against starvation: neither a steady flow of requests of new accounts nor one without
/// accounts holds back the queued requests of an account for ever.
#[yare::parameterized(
    new_accounts = { true },
    without_account = { false },
)]
fn backlog_is_not_starved(have_accounts: bool) {
    let mut admission = busy_admission();
    queue(&mut admission, 1, 3, "steady");
    let mut next = 100;
    let mut admit_next = |admission: &mut Admission| {
        next += 1;
        let account = have_accounts.then(|| format!("new{next}").into());
        admission.admit_from(0, arrival(next, RANK, SERVICE_MS), account)
    };
    for _ in 0..4 {
        assert_eq!(admit_next(&mut admission), Decision::Queue);
    }
    let mut ran = Vec::new();
    for _ in 0..40 {
        assert_eq!(admit_next(&mut admission), Decision::Queue);
        ran.extend(admission.finish(0, SERVICE_MS).0.filter(|ticket| *ticket < 100));
    }
    assert_eq!(ran, [1, 2, 3], "the queue has 8 places, so each turn takes 8 runs at most");
}

/// Guards against an account that fills the queue and so keeps others out.
#[test]
fn busiest_account_is_displaced() {
    let mut admission = busy_admission();
    queue(&mut admission, 1, 5, "heavy");
    queue(&mut admission, 11, 3, "medium");
    assert_eq!(admit(&mut admission, 21, "light"), Decision::Displace { ticket: 5 });
    assert_eq!(admit(&mut admission, 22, "light"), Decision::Displace { ticket: 4 });
    assert_eq!(
        admit(&mut admission, 23, "light"),
        Decision::Refuse(ResultCode::TargetFull),
        "its work would equal that of the busiest account"
    );
    assert_eq!(admit(&mut admission, 6, "heavy"), Decision::Refuse(ResultCode::TargetFull));
    assert_eq!(run_order(admission), [1, 11, 21, 2, 12, 22, 3, 13]);
}

/// Guards against displacing the last request of a less urgent rank, whoever sent it.
#[test]
fn urgent_request_displaces_busiest() {
    let mut admission = busy_admission();
    queue(&mut admission, 1, 5, "heavy");
    queue(&mut admission, 11, 2, "light");
    let mut late = Arrival { goal_ms: 60, ..arrival(12, RANK, SERVICE_MS) };
    assert_eq!(admission.admit_from(0, late, Some("light".into())), Decision::Queue);
    let urgent = arrival(21, 0, SERVICE_MS);
    assert_eq!(
        admission.admit_from(0, urgent, Some("heavy".into())),
        Decision::Displace { ticket: 5 }
    );
    late.ticket = 13;
    assert_eq!(
        admission.admit_from(0, late, Some("light".into())),
        Decision::Refuse(ResultCode::TargetFull),
        "a late request displaces none that can be in time"
    );
}

/// Guards against an account that fills the share of late requests, or that displaces the late
/// requests of others although it has the most queued work.
#[test]
fn late_share_is_fair() {
    let mut admission = busy_admission();
    let late = |ticket| Arrival { goal_ms: 60, ..arrival(ticket, RANK, SERVICE_MS) };
    let admit_late = |admission: &mut Admission, ticket, account: &str| {
        admission.admit_from(0, late(ticket), Some(account.into()))
    };
    assert_eq!(admit_late(&mut admission, 1, "heavy"), Decision::Queue);
    assert_eq!(admit_late(&mut admission, 2, "heavy"), Decision::Queue);
    assert_eq!(
        admit_late(&mut admission, 3, "heavy"),
        Decision::Refuse(ResultCode::TargetFull),
        "late requests may fill a quarter of the queue of eight"
    );
    assert_eq!(admit_late(&mut admission, 11, "light"), Decision::Displace { ticket: 2 });
    queue(&mut admission, 4, 6, "heavy");
    assert_eq!(admit(&mut admission, 10, "heavy"), Decision::Displace { ticket: 1 });
    assert_eq!(admit(&mut admission, 31, "heavy"), Decision::Refuse(ResultCode::TargetFull));
    assert_eq!(run_order(admission), [4, 5, 6, 7, 8, 9, 10, 11]);
}

/// Guards against a refusal of a light account's request because of the wait at the end of the
/// queue, where it would not be.
#[test]
fn wait_of_light_account_is_its_own() {
    let mut admission = busy_admission();
    queue(&mut admission, 1, 7, "heavy");
    let bounded = |ticket| Arrival {
        wait_max_ms: Some(110.0),
        goal_ms: 220,
        ..arrival(ticket, RANK, SERVICE_MS)
    };
    assert_eq!(
        admission.admit_from(0, bounded(8), Some("heavy".into())),
        Decision::Refuse(ResultCode::TargetFull),
        "seven requests before it take 350 ms"
    );
    assert_eq!(admission.admit_from(0, bounded(11), Some("light".into())), Decision::Queue);
    assert_eq!(run_order(admission), [1, 11, 2, 3, 4, 5, 6, 7]);
}

/// Guards against load reports that count the backlog of one account as the wait of all others, or
/// that mix up the priorities of accounts and routes.
#[test]
fn load_report_tells_wait() {
    let mut admission = busy_admission();
    queue(&mut admission, 1, 4, "heavy");
    assert_eq!(admission.ahead(), [0, 1, 4, 4]);
    assert_eq!(admission.ahead_by_account(), None);
    let low_priority = arrival(11, combined_rank(1, 2), SERVICE_MS);
    assert_eq!(admission.admit_from(0, low_priority, Some("low".into())), Decision::Queue);
    assert_eq!(admission.ahead(), [0, 1, 4, 4], "runs after all of account priority 0");
    let by_account = [[4, 4, 5, 5], [5; 4], [5; 4]];
    assert_eq!(admission.ahead_by_account(), Some(by_account));
    let load = TargetLoad {
        waiting: 5,
        ahead: admission.ahead(),
        ahead_by_account: admission.ahead_by_account(),
        ..TargetLoad::default()
    };
    assert_eq!(load.ahead_of(combined_rank(0, 1)), 1);
    assert_eq!(load.ahead_of(combined_rank(0, 9)), 4);
    assert_eq!(load.ahead_of(combined_rank(1, 0)), 4);
    assert_eq!(load.ahead_of(combined_rank(1, 2)), 5);
    assert_eq!(load.ahead_of(combined_rank(9, 0)), 5);
    let compact = TargetLoad { ahead_by_account: None, waiting: 7, ..load };
    assert_eq!(compact.ahead_of(combined_rank(1, 0)), 7, "all are of account priority 0");
    let size = |load: TargetLoad| postcard::to_stdvec(&load).unwrap().len();
    assert_eq!((size(compact), size(load)), (15, 27), "bytes of the report without its frame");
}

/// Guards against a virtual time that is reset between the arrival of a request and its place in the
/// queue: the only other request of its rank is displaced by it.
#[test]
fn displacing_the_only_one_keeps_order() {
    let mut admission = busy_admission();
    queue(&mut admission, 1, 2, "account");
    let late = Arrival { goal_ms: 60, ..arrival(11, RANK, SERVICE_MS) };
    assert_eq!(admission.admit(0, late), Decision::Queue);
    for ticket in 1..=2 {
        assert_eq!(admission.finish(0, SERVICE_MS).0, Some(ticket));
    }
    for ticket in 21..21 + PLACES - 1 {
        assert_eq!(admission.admit(0, arrival(ticket, 0, SERVICE_MS)), Decision::Queue);
    }
    let first = arrival(12, RANK, SERVICE_MS);
    assert_eq!(admission.admit(0, first), Decision::Displace { ticket: 11 });
    admission.finish(0, SERVICE_MS);
    assert_eq!(admission.admit(0, arrival(13, RANK, SERVICE_MS)), Decision::Queue);
    assert_eq!(run_order(admission), [22, 23, 24, 25, 26, 27, 12, 13]);
}

/// Guards against a request that is removed without having run counting as service of its account.
#[test]
fn removed_request_costs_nothing() {
    let mut admission = busy_admission();
    queue(&mut admission, 1, 4, "leaving");
    queue(&mut admission, 11, 3, "staying");
    assert!(admission.cancel(1));
    assert!(admission.cancel(2));
    assert_eq!(admission.ahead(), [0, 2, 5, 5]);
    queue(&mut admission, 5, 1, "leaving");
    assert_eq!(run_order(admission), [11, 3, 12, 4, 13, 5]);
}

/// The results of a replay of accounts that share a target.
#[derive(Default)]
struct Replay {
    /// Requests of each account that came, and that ran.
    came: BTreeMap<Arc<str>, u64>,
    ran: BTreeMap<Arc<str>, u64>,
    /// The longest time from arrival to slot of each account, in milliseconds.
    longest_wait_ms: BTreeMap<Arc<str>, u64>,
    /// The most accounts that were remembered at any time.
    remembered_max: usize,
    /// The time that slots were free while requests were queued, in milliseconds.
    idle_ms: u64,
}

/// Sends requests of 100 ms to a target with two slots for 60 s: a request of an account at every
/// multiple of its interval.
fn replay(accounts: &dyn Fn(u64) -> Vec<Arc<str>>) -> Replay {
    let mut admission = Admission::with_queued_per_slot(QUEUED_PER_SLOT);
    admission.set_target(TargetState::Ready, SLOTS);
    let mut replay = Replay::default();
    let mut sent: BTreeMap<u64, (Arc<str>, u64)> = BTreeMap::new();
    let mut ends: Vec<u64> = Vec::new();
    let mut next_ticket = 0;
    for now_ms in 0..60_000 {
        let mut started = Vec::new();
        let ended = ends.iter().filter(|end_ms| **end_ms == now_ms).count();
        ends.retain(|end_ms| *end_ms > now_ms);
        for _ in 0..ended {
            started.extend(admission.finish(now_ms, SERVICE_MS).0);
        }
        for account in accounts(now_ms) {
            next_ticket += 1;
            *replay.came.entry(account.clone()).or_default() += 1;
            sent.insert(next_ticket, (account.clone(), now_ms));
            let request = Arrival {
                deadline_ms: now_ms + 5_000,
                goal_ms: now_ms + 2_000,
                ..arrival(next_ticket, RANK, SERVICE_MS)
            };
            if admission.admit_from(now_ms, request, Some(account)) == Decision::Run {
                started.push(next_ticket);
            }
        }
        for ticket in started {
            let (account, sent_ms) = &sent[&ticket];
            *replay.ran.entry(account.clone()).or_default() += 1;
            let longest_ms = replay.longest_wait_ms.entry(account.clone()).or_default();
            *longest_ms = (*longest_ms).max(now_ms - sent_ms);
            ends.push(now_ms + SERVICE_MS);
        }
        replay.remembered_max = replay.remembered_max.max(admission.remembered_accounts());
        if admission.waiting() > 0 && admission.running() < SLOTS {
            replay.idle_ms += 1;
        }
    }
    replay
}

/// Guards against a surge that raises the waits of other accounts. The surge alone is five times
/// the capacity of 20 requests a second.
#[test]
fn light_account_waits_little_in_surge() {
    let results = replay(&|now_ms| {
        let heavy = (now_ms % 10 == 0).then(|| "heavy".into());
        let light = (now_ms % 500 == 7).then(|| "light".into());
        heavy.into_iter().chain(light).collect()
    });
    assert_eq!(results.ran["light"], results.came["light"], "its share is far from used up");
    let wait_ms = results.longest_wait_ms["light"];
    assert!(wait_ms <= 2 * SERVICE_MS, "one request may be before it: {wait_ms} ms");
}

/// Guards against slots that stay free while requests wait for a turn that does not come, and
/// against an account that is held to its share while others use none.
#[test]
fn slots_stay_busy() {
    let results = replay(&|now_ms| (now_ms % 10 == 0).then(|| "only".into()).into_iter().collect());
    assert_eq!(results.idle_ms, 0);
    let capacity = 60_000 * u64::from(SLOTS) / SERVICE_MS;
    let ran = results.ran["only"];
    assert!(ran + u64::from(SLOTS) >= capacity, "{ran} of {capacity}");
}

/// Guards against a share that depends on how much an account asks for.
#[test]
fn shares_are_equal_under_overload() {
    let results = replay(&|now_ms| {
        let accounts = [("a", 20), ("b", 50), ("c", 70), ("d", 100)];
        let due = accounts.iter().filter(|(_, interval_ms)| now_ms % interval_ms == 0);
        due.map(|(account, _)| Arc::from(*account)).collect()
    });
    let share = 60_000 * u64::from(SLOTS) / SERVICE_MS / 4;
    for (account, ran) in &results.ran {
        assert!(ran.abs_diff(share) * 10 < share, "{account}: {ran}, a quarter is {share}");
    }
}

/// Guards against memory that grows with the number of accounts that ever came: a new account each
/// 20 ms, against a capacity of 20 requests a second, beside one that always has requests queued.
#[test]
fn state_does_not_grow() {
    let results = replay(&|now_ms| {
        let steady = (now_ms % 100 == 0).then(|| "steady".into());
        let new = (now_ms % 20 == 0).then(|| format!("new{now_ms}").into());
        steady.into_iter().chain(new).collect()
    });
    assert!(results.came.len() > 2_000);
    let bound = 3 * PLACES as usize;
    assert!(results.remembered_max <= bound, "{} remembered", results.remembered_max);
    let mut admission = busy_admission();
    queue(&mut admission, 1, 4, "heavy");
    for _ in 0..4 {
        admission.finish(0, SERVICE_MS);
    }
    assert_eq!(admission.remembered_accounts(), 0, "nothing is queued");
}
