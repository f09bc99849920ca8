//! Start-time fair queueing between accounts (Goyal, Vin and Cheng, 1996), for each rank of a
//! queue.
//!
//! Each request gets a start tag: the virtual time, or the end of the account's previous request if
//! that is later. Requests run in the order of their start tags, so that the accounts with queued
//! requests take turns by the expected service time, each with the same weight. An account cannot
//! save up service: after a time without requests it starts at the virtual time.
//!
//! A request without an account gets the virtual time and delays no later request. In effect it is
//! an account of its own, so that such requests keep the order of their arrival.

use std::collections::BTreeMap;
use std::sync::Arc;

/// The lowest cost of a request, in microseconds, so that an account whose requests are expected to
/// take no time is ordered too.
const COST_MIN_US: u64 = 1_000;
/// How many accounts without queued requests are remembered for a rank. The first to be forgotten
/// are those that the virtual time reaches first, since they gain least by it.
const IDLE_ACCOUNTS_MAX: usize = 64;

/// The cost of a request with this expected service time, in microseconds of virtual time.
pub fn cost_us(service_ms: f64) -> u64 {
    ((service_ms * 1_000.0) as u64).max(COST_MIN_US)
}

/// The accounts and requests of one rank that take turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Flows {
    /// The number of accounts with queued requests.
    pub accounts: usize,
    /// The number of queued requests without an account.
    pub without_account: usize,
}

/// The virtual time of one rank, and the accounts that are ahead of it.
#[derive(Debug, Default)]
struct RankOrder {
    virtual_us: u64,
    /// How much the request that ran last advances the virtual time when the next one runs.
    advance_us: u64,
    /// The end of the last request of each account, if it is after the virtual time.
    ends_us: BTreeMap<Arc<str>, u64>,
}

impl RankOrder {
    /// Forgets the accounts that the virtual time has reached: a new request of theirs starts at the
    /// virtual time in any case. Bounds the number of the others.
    fn forget_idle(&mut self, flows: Flows) {
        let virtual_us = self.virtual_us;
        self.ends_us.retain(|_, end_us| *end_us > virtual_us);
        while self.ends_us.len() > flows.accounts + IDLE_ACCOUNTS_MAX {
            let first = self.ends_us.iter().min_by_key(|(_, end_us)| **end_us);
            let Some(account) = first.map(|(account, _)| account.clone()) else { return };
            self.ends_us.remove(&account);
        }
    }
}

/// The start tags of queued requests.
#[derive(Debug, Default)]
pub struct FairOrder {
    /// Only ranks that have queued requests.
    ranks: BTreeMap<u8, RankOrder>,
}

impl FairOrder {
    /// The start tag of a new request, in microseconds of virtual time.
    pub fn start_us(&self, rank: u8, account: Option<&str>) -> u64 {
        let Some(order) = self.ranks.get(&rank) else { return 0 };
        let end_us = account.and_then(|account| order.ends_us.get(account)).copied();
        order.virtual_us.max(end_us.unwrap_or(0))
    }

    /// Records that a request was queued at its start tag.
    pub fn queue(&mut self, rank: u8, account: Option<&Arc<str>>, start_us: u64, cost_us: u64) {
        let order = self.ranks.entry(rank).or_default();
        if let Some(account) = account {
            order.ends_us.insert(account.clone(), start_us + cost_us);
        }
    }

    /// Records that a queued request runs. `flows` includes this request.
    pub fn run(&mut self, rank: u8, start_us: u64, cost_us: u64, flows: Flows) {
        let Some(order) = self.ranks.get_mut(&rank) else { return };
        order.virtual_us = (order.virtual_us + order.advance_us).max(start_us);
        // Without accounts the virtual time stands still, and requests keep their order. With
        // accounts it must advance with each request, because a steady flow of requests that start
        // at the virtual time would otherwise hold back all others.
        order.advance_us = match flows.accounts {
            0 => 0,
            accounts => cost_us / (accounts + flows.without_account) as u64,
        };
        order.forget_idle(flows);
    }

    /// Records that a queued request of an account was removed without having run. The account's
    /// later requests start earlier by its cost.
    pub fn remove(&mut self, rank: u8, account: &str, cost_us: u64) {
        let Some(order) = self.ranks.get_mut(&rank) else { return };
        let Some(end_us) = order.ends_us.get_mut(account) else { return };
        *end_us = end_us.saturating_sub(cost_us);
        if *end_us <= order.virtual_us {
            order.ends_us.remove(account);
        }
    }

    /// Forgets a rank without queued requests: none of its accounts waits for the others.
    pub fn clear(&mut self, rank: u8) {
        self.ranks.remove(&rank);
    }

    /// The number of accounts that are remembered, over all ranks.
    pub fn remembered_accounts(&self) -> usize {
        self.ranks.values().map(|order| order.ends_us.len()).sum()
    }
}
