//! The daemons of a simulated fleet, and what happens to them.

use pomeloreach_core::mesh::quota::{
    CreditGrant, CreditRequest, LoanGrant, LoanRequest, QuotaNode,
};
use std::collections::BTreeMap;
use std::sync::Arc;

#[derive(Clone)]
pub enum Message {
    CreditRequest(CreditRequest),
    CreditGrant(CreditGrant),
    LoanRequest(LoanRequest),
    LoanGrant(LoanGrant),
}

#[derive(Clone)]
pub enum Happening {
    Message { from: usize, to: usize, starts: (u64, u64), message: Message },
    Arrival { node: usize, account: usize, generation: u64 },
    Tick { node: usize },
    Views,
}

/// One daemon. Its name, zone and clock stay the same after a restart.
pub struct Daemon {
    pub name: Arc<str>,
    pub zone: usize,
    pub region: usize,
    /// What is added to the simulated time for this daemon's clock.
    pub clock_offset_ms: u64,
    pub node: Option<QuotaNode>,
    pub start_id: u64,
    pub paused_until_ms: u64,
    /// Daemons in different groups cannot reach each other.
    pub group: usize,
    /// When each other daemon was last reachable, with its start.
    pub seen: BTreeMap<usize, (u64, u64)>,
    pub waiting: Vec<(usize, u64)>,
    /// Requests for each account, by second, and a number that changes with the rates.
    pub rates: Vec<f64>,
    pub generation: u64,
}

/// Faults of the links.
#[derive(Clone, Copy, Default)]
pub struct LinkFaults {
    /// The share of messages that are lost.
    pub lost: f64,
    /// The share of messages that are late, by up to `late_ms`.
    pub late: f64,
    pub late_ms: u64,
    /// The share of views in which a daemon takes a random peer for its keeper.
    pub wrong_keeper: f64,
}
