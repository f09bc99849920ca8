//! Which queued request a new one displaces from a full queue.
//!
//! A request displaces one of a less urgent rank, and in its own rank one of an account with more
//! queued work, or one that is late if it is not late itself. An account whose queued work is the
//! most of its rank can only displace late requests of its own.

use crate::admission::QueuedRequest;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

type Queue = VecDeque<QueuedRequest>;

/// The index of the request that this one displaces. `None` if the new request must be refused.
pub(crate) fn displaced_by(queue: &Queue, request: &QueuedRequest) -> Option<usize> {
    let last = queue.back()?;
    let rank = request.arrival.rank;
    if last.arrival.rank > rank {
        return last_of_busiest(queue, last.arrival.rank);
    }
    if last.arrival.rank < rank {
        return None;
    }
    if let Some(index) = last_of_busier_account(queue, request) {
        return Some(index);
    }
    if last.class() <= request.class() {
        return None;
    }
    // The last request is late, and the new one is not.
    let work = QueuedWork::of(queue, rank);
    let is_busiest = request.account.is_some()
        && queue
            .iter()
            .filter(|other| other.arrival.rank == rank && other.account != request.account)
            .all(|other| work.of_flow(other) < work.with(request));
    if !is_busiest {
        return Some(queue.len() - 1);
    }
    let is_own = |other: &QueuedRequest| other.account == request.account;
    queue.iter().rposition(|other| other.class() > request.class() && is_own(other))
}

/// The last request of the account with the most queued work among those of the same rank that have
/// more of it than the new request's account would have. Requests that run before the new one
/// because they are not late are left out, and so are requests without an account.
pub(crate) fn last_of_busier_account(queue: &Queue, request: &QueuedRequest) -> Option<usize> {
    let work = QueuedWork::of(queue, request.arrival.rank);
    let own_us = work.with(request);
    let is_candidate = |other: &QueuedRequest| {
        other.arrival.rank == request.arrival.rank
            && other.class() >= request.class()
            && other.account.is_some()
            && other.account != request.account
    };
    let candidates = queue.iter().enumerate().filter(|(_, other)| is_candidate(other));
    let by_work = candidates.map(|(index, other)| (work.of_flow(other), index));
    by_work.filter(|(work_us, _)| *work_us > own_us).max().map(|(_, index)| index)
}

/// The last request of the account with the most queued work in this rank. Each request without an
/// account counts as an account of its own; if one of them has the most, the last of them is
/// displaced.
fn last_of_busiest(queue: &Queue, rank: u8) -> Option<usize> {
    let work = QueuedWork::of(queue, rank);
    let in_rank = || queue.iter().enumerate().filter(|(_, other)| other.arrival.rank == rank);
    let by_work = in_rank().map(|(index, other)| (work.of_flow(other), index));
    let (_, busiest) = by_work.max()?;
    let account = &queue[busiest].account;
    in_rank().rfind(|(_, other)| other.account == *account).map(|(index, _)| index)
}

/// The queued work of each account in a rank, in microseconds of expected service time.
struct QueuedWork(BTreeMap<Arc<str>, u64>);

impl QueuedWork {
    fn of(queue: &Queue, rank: u8) -> Self {
        let mut work_us = BTreeMap::new();
        for other in queue.iter().filter(|other| other.arrival.rank == rank) {
            if let Some(account) = &other.account {
                *work_us.entry(account.clone()).or_default() += other.cost_us();
            }
        }
        Self(work_us)
    }

    /// The work of the account of a queued request; that of the request alone if it has none.
    fn of_flow(&self, request: &QueuedRequest) -> u64 {
        self.of_account(request).unwrap_or_else(|| request.cost_us())
    }

    /// The work of the account of a new request, with this request.
    fn with(&self, request: &QueuedRequest) -> u64 {
        self.of_account(request).unwrap_or(0) + request.cost_us()
    }

    fn of_account(&self, request: &QueuedRequest) -> Option<u64> {
        self.0.get(request.account.as_ref()?).copied()
    }
}
