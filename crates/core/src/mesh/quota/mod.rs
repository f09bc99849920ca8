//! Quotas of client accounts over all daemons, without sockets and clocks; see
//! `docs/design/accounts-and-limits.md`.
//!
//! Each daemon owns an equal base share of each limit, which refills a token bucket. A share is used
//! by one daemon at a time: its owner, or the keeper of the zone that the owner delegates it to.
//! Keepers lend each other a part of their refill. Delegations and loans end by the clock of the
//! daemon that uses them, counted from a time that was read before the owner gave the share away, so
//! that use ends before the owner resumes it, however late messages are.
//!
//! Times are in milliseconds of a clock of the daemon that counts the time for which its VM was
//! suspended. Times of different daemons are never compared.

mod drawer;
mod loans;
mod node;
mod pool;
mod smoothed;

use crate::account::QuotaLimit;
pub use drawer::Credit;
pub use node::{QuotaNode, Take};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// How long credit can be used after it was requested. The allowance of an account has to cover the
/// rate of this time, because requests of one window can use credit from just before it.
pub const CREDIT_LIFE_MS: u64 = 250;
/// How long a request waits for credit before it is refused.
pub const CREDIT_WAIT_MS: u64 = 150;
/// How long a delegation lasts. Not longer than `START_MS`, so that the delegation of a daemon that
/// restarts has ended when its new process uses the share.
pub const DELEGATION_MS: u64 = 1_000;
/// How often a daemon without demand renews its delegation. A renewal refers to the grant before it,
/// so that at least `LOAN_MS` of a delegation are left at each time, and its share can be lent.
pub const RENEWAL_MS: u64 = 250;
/// How long a loan lasts.
pub const LOAN_MS: u64 = 500;
/// The shortest time between two requests for loans.
pub const LOAN_INTERVAL_MS: u64 = 250;
/// How long after its start a daemon begins to use its base share: the others count it by then. A
/// whole fleet that restarts refuses all requests of accounts with a quota for this time.
pub const START_MS: u64 = 1_000;
/// How long a lower number of daemons must last before it raises the shares. The store can come back
/// from an earlier copy, whose list lacks daemons that run.
pub const FEWER_DAEMONS_MS: u64 = 10_000;
/// The part of the slack that is added to the capacity of the buckets, so that the bucket of a zone
/// holds whole requests for accounts with a small limit. The rest is left for requests that wait
/// between the check of the quota and their target.
const CAPACITY_SLACK_SHARE: f64 = 0.5;

/// The terms on which all limits are enforced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTerms {
    pub window_ms: u64,
    /// The permitted excess of a window, as a share of what the limit allows.
    pub overshoot: f64,
    /// The permitted excess of a window, in requests.
    pub slack: f64,
}

impl Default for QuotaTerms {
    fn default() -> Self {
        Self { window_ms: 5_000, overshoot: 0.1, slack: 20.0 }
    }
}

impl QuotaTerms {
    /// The largest number of requests of an account that may run in a window, over all daemons.
    pub fn allowance(&self, limit: QuotaLimit) -> f64 {
        let rate_per_ms = limit.rate_milli_per_s as f64 / 1e6;
        let burst = limit.burst_milli as f64 / 1e3;
        (rate_per_ms * self.window_ms as f64 + burst) * (1.0 + self.overshoot) + self.slack
    }
}

/// A limit as it is shared between the buckets of all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FleetLimit {
    pub rate_per_ms: f64,
    pub capacity: f64,
}

impl FleetLimit {
    /// The largest rate and capacity with which no window exceeds its allowance: a window can use the
    /// full buckets, its own refill, and the credit drawn in the `CREDIT_LIFE_MS` before it.
    pub fn new(limit: QuotaLimit, terms: QuotaTerms) -> Self {
        let window_ms = terms.window_ms as f64;
        let covered = window_ms * (1.0 + terms.overshoot) / (window_ms + CREDIT_LIFE_MS as f64);
        Self {
            rate_per_ms: limit.rate_milli_per_s as f64 / 1e6 * covered.min(1.0),
            capacity: limit.burst_milli as f64 / 1e3 + terms.slack * CAPACITY_SLACK_SHARE,
        }
    }
}

/// Requests credit from a keeper, and renews the delegation to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CreditRequest {
    /// When the request was sent, by the clock of the sender.
    pub sent_ms: u64,
    /// Delegates the sender's share for [`DELEGATION_MS`] from this time of the keeper's clock, which
    /// the keeper sent in a grant. Absent if the sender does not delegate.
    pub delegated_ms: Option<u64>,
    /// The number of daemons that the sender knows from the directory and the links. The receiver
    /// divides limits by the largest number that it knows of, since a new daemon is known to the
    /// daemons that it links to many seconds before the others poll the directory.
    pub daemons: u32,
    pub wanted: Vec<WantedCredit>,
    pub returned: Vec<ReturnedCredit>,
}

/// What a daemon wants for one account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WantedCredit {
    pub account: Arc<str>,
    pub count: u32,
    /// Requests of callers since the last report, with or without credit.
    pub arrived: u32,
}

/// Credit whose request was refused later for another reason.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReturnedCredit {
    pub account: Arc<str>,
    pub count: u32,
    /// The [`CreditGrant::keeper_ms`] of the grant.
    pub granted_ms: u64,
}

/// The keeper's response to a [`CreditRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CreditGrant {
    /// The time of the request by the clock of its sender.
    pub request_sent_ms: u64,
    /// The time by the clock of the keeper.
    pub keeper_ms: u64,
    /// As in [`CreditRequest::daemons`].
    pub daemons: u32,
    pub granted: Vec<GrantedCredit>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantedCredit {
    pub account: Arc<str>,
    pub count: u32,
    /// If less was granted than wanted: the expected time until there is more.
    pub wait_ms: u32,
}

/// What keepers of different zones send each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LoanMessage {
    Request(LoanRequest),
    Grant(LoanGrant),
}

/// Requests parts of the refill of another keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// When the request was sent, by the clock of the borrower.
    pub sent_ms: u64,
    /// As in [`CreditRequest::daemons`].
    pub daemons: u32,
    pub rates: Vec<AccountRate>,
}

/// The response to a [`LoanRequest`]. Replaces earlier loans of the lender for the same account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoanGrant {
    /// The loans end [`LOAN_MS`] after this time of the borrower's clock.
    pub request_sent_ms: u64,
    /// As in [`CreditRequest::daemons`].
    pub daemons: u32,
    pub rates: Vec<AccountRate>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountRate {
    pub account: Arc<str>,
    /// Thousandths of a request per second.
    pub milli_per_s: u64,
}
