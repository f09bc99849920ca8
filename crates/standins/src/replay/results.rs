//! The results of a replay.

use super::pattern::RequestKind;
use std::collections::BTreeMap;
use std::iter::Sum;

/// The results of a replay. The counts are of requests, except `refused_late` (refusals) and
/// `inbound_arrivals` and `cross_region` (attempts).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Results {
    pub requests: u64,
    /// Successful responses within the latency goal.
    pub in_time: u64,
    /// Successful responses after the goal but before the deadline.
    pub late: u64,
    /// Requests that were refused and that the caller doesn't retry any more.
    pub refused: u64,
    /// Refusals more than an eighth of the latency goal after the caller's last send. Refusals after
    /// which the caller retries are counted too.
    pub refused_late: u64,
    /// Responses that report a failure or come after the deadline.
    pub failed: u64,
    /// Attempts that arrived at a target's daemon.
    pub inbound_arrivals: u64,
    /// Attempts sent to another region.
    pub cross_region: u64,
    /// For each rank, the responses in time and all requests.
    pub by_rank: BTreeMap<u8, (u64, u64)>,
    /// For each account, the largest first: the requests first sent during the disturbance.
    pub by_account: Vec<AccountResults>,
    /// The value of the responses, and the value if all had been in time: an order counts twice as much
    /// as a lookup, a late response three tenths.
    pub value_earned: f64,
    pub value_max: f64,
    /// From first send to response, for the requests in time or late; sorted when the replay ends.
    pub(super) latencies_ms: Vec<u64>,
}

/// The requests of one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccountResults {
    pub requests: u64,
    /// Successful responses before the deadline.
    pub served: u64,
    /// Successful responses within the latency goal.
    pub in_time: u64,
}

impl AccountResults {
    /// Returns the share of the requests that were served.
    pub fn served_share(&self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }

    /// Returns the share of the requests that were in time.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }
}

impl Sum for AccountResults {
    fn sum<I: Iterator<Item = Self>>(results: I) -> Self {
        results.fold(Self::default(), |sum, result| Self {
            requests: sum.requests + result.requests,
            served: sum.served + result.served,
            in_time: sum.in_time + result.in_time,
        })
    }
}

impl Results {
    /// Returns the share of the requests that were in time.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }

    /// Returns the earned part of the highest possible value.
    pub fn value_share(&self) -> f64 {
        self.value_earned / self.value_max.max(1.0)
    }

    /// Returns the share of the requests of a rank that were in time.
    pub fn rank_in_time_share(&self, rank: u8) -> f64 {
        let (in_time, requests) = self.by_rank.get(&rank).copied().unwrap_or_default();
        in_time as f64 / requests.max(1) as f64
    }

    /// Returns the latency within which this share of the responses came, in milliseconds.
    pub fn quantile_ms(&self, share: f64) -> u64 {
        let last = self.latencies_ms.len().saturating_sub(1);
        self.latencies_ms.get((last as f64 * share) as usize).copied().unwrap_or_default()
    }
}

/// The share of its value that a late response keeps, as the users weigh it.
pub(super) const LATE_VALUE_SHARE: f64 = 0.3;

/// Returns the value of a response in time. An order, which is not idempotent, is worth two lookups,
/// as the users weigh them.
pub(super) fn value_of(kind: RequestKind) -> f64 {
    if kind.is_idempotent { 1.0 } else { 2.0 }
}
