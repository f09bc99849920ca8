//! The part of one daemon in the quotas of all.

use super::drawer::{Credit, Drawer};
use super::pool::Pool;
use super::{
    AccountRate, CreditGrant, CreditRequest, DELEGATION_MS, FleetLimit, GrantedCredit,
    LOAN_INTERVAL_MS, LoanGrant, LoanRequest, QuotaTerms, RENEWAL_MS, START_MS,
};
use crate::account::QuotaLimit;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The shortest time between two requests to the keeper: what is wanted meanwhile shares one
/// message.
const REQUEST_INTERVAL_MS: u64 = 25;
/// Rates are sent in thousandths of a request per second.
const MILLI_PER_S_IN_PER_MS: f64 = 1e6;

/// The keeper of a daemon's zone.
#[derive(Clone, Debug)]
struct Keeper {
    name: Arc<str>,
    /// The start of the keeper's process; its clock may be another after a restart.
    start_id: u64,
    /// The time of the keeper's clock in its last grant, and when the grant arrived here.
    last_heard: Option<(u64, u64)>,
    requested_ms: Option<u64>,
    /// Whether this daemon's share was delegated to the keeper.
    has_share: bool,
}

/// The result of [`QuotaNode::try_take`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Take {
    /// The account has no limit.
    Unlimited,
    Taken(Credit),
    /// There is no credit here. If `wait_ms` is known, there may be some after that time.
    Empty {
        wait_ms: Option<u64>,
    },
}

/// The quotas of one daemon.
#[derive(Clone, Debug)]
pub struct QuotaNode {
    terms: QuotaTerms,
    limits: BTreeMap<Arc<str>, QuotaLimit>,
    pool: Pool,
    drawer: Drawer,
    keeper: Option<Keeper>,
    loans_requested_ms: u64,
    /// The number of daemons that this daemon knows.
    daemons: u32,
}

impl QuotaNode {
    pub fn new(terms: QuotaTerms, started_ms: u64) -> Self {
        Self {
            terms,
            limits: BTreeMap::new(),
            pool: Pool::new(started_ms + START_MS),
            drawer: Drawer::default(),
            keeper: None,
            loans_requested_ms: 0,
            daemons: 1,
        }
    }

    /// Whether no account has a limit, so that nothing has to be done.
    pub fn is_idle(&self) -> bool {
        self.limits.is_empty()
    }

    /// The limit of an account.
    pub fn limit(&self, account: &str) -> Option<QuotaLimit> {
        self.limits.get(account).copied()
    }

    /// Applies the limits of the version in force, and the terms of the settings.
    pub fn set_limits(
        &mut self,
        limits: BTreeMap<Arc<str>, QuotaLimit>,
        terms: QuotaTerms,
        now_ms: u64,
    ) {
        if limits == self.limits && terms == self.terms {
            return;
        }
        (self.limits, self.terms) = (limits, terms);
        let shared = |limit: &QuotaLimit| FleetLimit::new(*limit, terms);
        let limits = self.limits.iter().map(|(name, limit)| (name.clone(), shared(limit)));
        self.pool.set_limits(&limits.collect(), now_ms);
        self.drawer.keep_only(|account| self.limits.contains_key(account));
    }

    /// Sets the number of daemons that this daemon knows, reachable or not.
    pub fn set_daemons(&mut self, daemons: u32, now_ms: u64) {
        self.daemons = daemons;
        self.pool.set_daemons(daemons, now_ms);
    }

    /// Postpones the use of the own share until this daemon knows the others.
    pub fn postpone_own_share(&mut self, now_ms: u64) {
        self.pool.suspend_own_share(now_ms + START_MS, now_ms);
    }

    /// Sets the keeper of the zone; `None` if this daemon is the keeper or has no link to it.
    pub fn set_keeper(&mut self, keeper: Option<(&Arc<str>, u64)>) {
        let present = self.keeper.as_ref().map(|keeper| (&keeper.name, keeper.start_id));
        if present == keeper {
            return;
        }
        self.keeper = keeper.map(|(name, start_id)| Keeper {
            name: name.clone(),
            start_id,
            last_heard: None,
            requested_ms: None,
            has_share: false,
        });
        self.drawer.keeper_changed();
    }

    pub fn keeper(&self) -> Option<&Arc<str>> {
        self.keeper.as_ref().map(|keeper| &keeper.name)
    }

    /// Counts a request of a caller.
    pub fn record_arrival(&mut self, account: &Arc<str>, now_ms: u64) {
        if !self.pool.is_limited(account) {
            return;
        }
        if self.keeper.is_some() {
            self.drawer.record_arrival(account, now_ms);
        } else {
            self.pool.record_demand(account, 1, now_ms);
        }
    }

    /// Takes credit for one request, if there is any here.
    pub fn try_take(&mut self, account: &str, now_ms: u64) -> Take {
        if !self.pool.is_limited(account) {
            return Take::Unlimited;
        }
        if let Some(credit) = self.drawer.take(account, now_ms) {
            return Take::Taken(credit);
        }
        let (count, wait_ms) = self.pool.take(account, 1, now_ms);
        if count > 0 {
            return Take::Taken(Credit::Own { taken_ms: now_ms });
        }
        let wait_ms = match self.keeper {
            Some(_) => self.drawer.refused_wait_ms(account, now_ms),
            None => Some(wait_ms.into()),
        };
        Take::Empty { wait_ms }
    }

    /// Returns the credit of a request that did not run.
    pub fn give_back(&mut self, account: &Arc<str>, credit: Credit, now_ms: u64) {
        match credit {
            Credit::Own { taken_ms } => self.pool.give_back(account, 1, taken_ms, now_ms),
            Credit::Drawn { keeper_start_id, granted_ms, lapses_ms } => {
                if self.keeper.as_ref().is_some_and(|keeper| keeper.start_id == keeper_start_id) {
                    self.drawer.give_back(account, granted_ms, lapses_ms, now_ms);
                }
            }
        }
    }

    /// Counts a request as waiting, so that credit for it is requested.
    pub fn add_waiting(&mut self, account: &Arc<str>) {
        self.drawer.add_waiting(account);
    }

    pub fn remove_waiting(&mut self, account: &str) {
        self.drawer.remove_waiting(account);
    }

    /// The request to send to the keeper now, if there is one to send.
    pub fn credit_request(&mut self, now_ms: u64) -> Option<(Arc<str>, CreditRequest)> {
        let keeper = self.keeper.as_mut()?;
        let pause_ms = keeper.requested_ms.map(|ms| now_ms.saturating_sub(ms));
        if pause_ms.is_some_and(|ms| ms < REQUEST_INTERVAL_MS) {
            return None;
        }
        let is_due = pause_ms.is_none_or(|ms| ms >= RENEWAL_MS);
        if !is_due && !self.drawer.is_wanting(now_ms) && !self.drawer.has_returned() {
            return None;
        }
        if is_due {
            self.drawer.remove_idle(now_ms);
        }
        keeper.requested_ms = Some(now_ms);
        // While the share is delegated to another keeper, or lent, it cannot be given to this one.
        let may_delegate = match self.pool.uses_own_share(now_ms) {
            true => !self.pool.is_lending(now_ms),
            false => keeper.has_share,
        };
        let heard = keeper.last_heard.filter(|_| may_delegate);
        let delegated_ms = heard.map(|(keeper_ms, heard_ms)| {
            keeper.has_share = true;
            self.pool.suspend_own_share(heard_ms + DELEGATION_MS, now_ms);
            keeper_ms
        });
        let wanted = self.drawer.take_wanted(now_ms);
        let returned = self.drawer.take_returned();
        let request = CreditRequest {
            sent_ms: now_ms,
            delegated_ms,
            daemons: self.daemons,
            wanted,
            returned,
        };
        Some((keeper.name.clone(), request))
    }

    /// Grants credit to another daemon, as the keeper of its zone.
    pub fn handle_credit_request(
        &mut self,
        sender: &Arc<str>,
        request: &CreditRequest,
        now_ms: u64,
    ) -> CreditGrant {
        self.pool.set_daemons(request.daemons, now_ms);
        if let Some(delegated_ms) = request.delegated_ms.filter(|ms| *ms <= now_ms) {
            self.pool.add_delegation(sender, delegated_ms + DELEGATION_MS, now_ms);
        }
        for returned in &request.returned {
            self.pool.give_back(&returned.account, returned.count, returned.granted_ms, now_ms);
        }
        let mut granted = Vec::new();
        for wanted in &request.wanted {
            self.pool.record_demand(&wanted.account, wanted.arrived, now_ms);
            if wanted.count > 0 {
                let (count, wait_ms) = self.pool.take(&wanted.account, wanted.count, now_ms);
                let wait_ms = if count < wanted.count { wait_ms } else { 0 };
                granted.push(GrantedCredit { account: wanted.account.clone(), count, wait_ms });
            }
        }
        CreditGrant {
            request_sent_ms: request.sent_ms,
            keeper_ms: now_ms,
            daemons: self.daemons,
            granted,
        }
    }

    /// Uses the credit that a keeper granted.
    pub fn handle_credit_grant(&mut self, sender: &str, grant: &CreditGrant, now_ms: u64) {
        self.pool.set_daemons(grant.daemons, now_ms);
        let keeper = self.keeper.as_mut().filter(|keeper| &*keeper.name == sender);
        let Some(keeper) = keeper else { return };
        let last_ms = keeper.last_heard.map(|(keeper_ms, _)| keeper_ms);
        if last_ms.is_none_or(|last_ms| last_ms < grant.keeper_ms) {
            keeper.last_heard = Some((grant.keeper_ms, now_ms));
        }
        let times = (grant.keeper_ms, grant.request_sent_ms);
        let limits = &self.limits;
        for granted in grant.granted.iter().filter(|granted| limits.contains_key(&granted.account))
        {
            self.drawer.add_granted(granted, keeper.start_id, times, now_ms);
        }
    }

    /// The requests for loans to send to the keepers of other zones now.
    pub fn loan_requests(
        &mut self,
        lenders: &[Arc<str>],
        now_ms: u64,
    ) -> Vec<(Arc<str>, LoanRequest)> {
        let is_due = now_ms >= self.loans_requested_ms + LOAN_INTERVAL_MS;
        if self.keeper.is_some() || lenders.is_empty() || !is_due {
            return Vec::new();
        }
        self.loans_requested_ms = now_ms;
        let wanted = self.pool.wanted_loans(lenders, now_ms);
        let daemons = self.daemons;
        let request = |(lender, rates): (Arc<str>, Vec<(Arc<str>, f64)>)| {
            let rates = rates.into_iter().map(|(account, per_ms)| account_rate(account, per_ms));
            (lender, LoanRequest { sent_ms: now_ms, daemons, rates: rates.collect() })
        };
        wanted.into_iter().map(request).collect()
    }

    /// Lends what is not needed here.
    pub fn handle_loan_request(
        &mut self,
        borrower: &Arc<str>,
        request: &LoanRequest,
        now_ms: u64,
    ) -> LoanGrant {
        self.pool.set_daemons(request.daemons, now_ms);
        let mut rates = Vec::new();
        for wanted in &request.rates {
            let wanted_per_ms = wanted.milli_per_s as f64 / MILLI_PER_S_IN_PER_MS;
            let per_ms = self.pool.lend(borrower, &wanted.account, wanted_per_ms, now_ms);
            if per_ms > 0.0 {
                rates.push(account_rate(wanted.account.clone(), per_ms));
            }
        }
        LoanGrant { request_sent_ms: request.sent_ms, daemons: self.daemons, rates }
    }

    /// Uses the loans of another keeper.
    pub fn handle_loan_grant(&mut self, lender: &Arc<str>, grant: &LoanGrant, now_ms: u64) {
        self.pool.set_daemons(grant.daemons, now_ms);
        for rate in &grant.rates {
            let per_ms = rate.milli_per_s as f64 / MILLI_PER_S_IN_PER_MS;
            self.pool.borrow(lender, &rate.account, per_ms, grant.request_sent_ms, now_ms);
        }
    }
}

/// Rounds a rate down, so that no more is used than is lent.
fn account_rate(account: Arc<str>, per_ms: f64) -> AccountRate {
    AccountRate { account, milli_per_s: (per_ms * MILLI_PER_S_IN_PER_MS) as u64 }
}
