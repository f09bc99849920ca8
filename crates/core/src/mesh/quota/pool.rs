//! The buckets of a daemon: those of its own base share, and of the shares that others delegate to
//! it as the keeper of their zone.

use super::loans::Loans;
use super::smoothed::SmoothedRate;
use super::{CREDIT_LIFE_MS, FEWER_DAEMONS_MS, FleetLimit, LOAN_MS};
use std::collections::BTreeMap;
use std::sync::Arc;

/// How much more than the present demand of an account a keeper wants or keeps, so that random
/// fluctuation is not refused.
const DEMAND_MARGIN: f64 = 1.25;
/// With less credit than this a bucket counts as low, however small it is.
const LOW_TOKENS: f64 = 2.0;
/// The time for which refused requests are assumed to come back before a new one.
const REFUSED_MS: f64 = 400.0;
/// The longest time that is reported as the wait for credit.
const WAIT_MS_MAX: f64 = 10_000.0;

/// The bucket of one account.
#[derive(Clone, Debug)]
struct Bucket {
    limit: FleetLimit,
    tokens: f64,
    updated_ms: u64,
    demand: SmoothedRate,
    loans: Loans,
}

/// The shares that refill the buckets of a daemon.
#[derive(Clone, Debug, Default)]
struct Shares {
    /// The number of daemons among which each limit is divided.
    daemons: u32,
    /// A lower number of daemons, and since when it is the number.
    fewer: Option<(u32, u64)>,
    /// The time from which this daemon uses its own share.
    own_from_ms: u64,
    /// The daemons that delegate their shares, and until when.
    delegated: BTreeMap<Arc<str>, u64>,
}

impl Shares {
    /// The number of shares at `now_ms`.
    fn count(&self, now_ms: u64) -> f64 {
        let own = usize::from(self.own_from_ms <= now_ms);
        (own + self.delegated.values().filter(|until_ms| **until_ms > now_ms).count()) as f64
    }

    /// The number of shares at `now_ms` that stay here until a loan of that time has ended.
    fn lasting_count(&self, now_ms: u64) -> f64 {
        let own = usize::from(self.own_from_ms <= now_ms);
        let lasting = self.delegated.values().filter(|until_ms| **until_ms > now_ms + LOAN_MS);
        (own + lasting.count()) as f64
    }

    /// The sum over the shares of the time from `from_ms` to `now_ms` for which they are here.
    fn share_ms(&self, from_ms: u64, now_ms: u64) -> f64 {
        let own_ms = now_ms.saturating_sub(from_ms.max(self.own_from_ms));
        let delegated_ms = |until_ms: &u64| (*until_ms).min(now_ms).saturating_sub(from_ms);
        (own_ms + self.delegated.values().map(delegated_ms).sum::<u64>()) as f64
    }
}

/// All buckets of a daemon.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    shares: Shares,
    buckets: BTreeMap<Arc<str>, Bucket>,
    /// The end of the last loan to another keeper.
    lent_until_ms: u64,
}

impl Bucket {
    /// Adds the refill since the last update, and cuts the bucket to its capacity.
    fn update(&mut self, shares: &Shares, now_ms: u64) {
        let (from_ms, now_ms) = (self.updated_ms, now_ms.max(self.updated_ms));
        let per_share = self.limit.rate_per_ms / f64::from(shares.daemons.max(1));
        let own = per_share * shares.share_ms(from_ms, now_ms);
        let kept = (own - self.loans.lent_amount(from_ms, now_ms)).max(0.0);
        let refill = kept + self.loans.borrowed_amount(from_ms, now_ms);
        self.tokens = (self.tokens + refill).min(self.capacity(shares, now_ms));
        self.updated_ms = now_ms;
        self.loans.remove_ended(now_ms);
    }

    fn capacity(&self, shares: &Shares, now_ms: u64) -> f64 {
        self.limit.capacity * shares.count(now_ms) / f64::from(shares.daemons.max(1))
    }

    /// The refill at present.
    fn per_ms(&self, shares: &Shares, now_ms: u64) -> f64 {
        let own = self.limit.rate_per_ms * shares.count(now_ms) / f64::from(shares.daemons.max(1));
        (own - self.loans.lent_per_ms()).max(0.0) + self.loans.borrowed_per_ms(now_ms)
    }

    /// The refill that is wanted from other keepers, in total.
    fn wanted_per_ms(&self, shares: &Shares, now_ms: u64) -> f64 {
        let own = self.limit.rate_per_ms * shares.count(now_ms) / f64::from(shares.daemons.max(1));
        let kept = (own - self.loans.lent_per_ms()).max(0.0);
        // A bucket that is half full covers random fluctuation.
        let is_low = self.tokens < (self.capacity(shares, now_ms) / 2.0).max(LOW_TOKENS);
        let is_borrowing = self.loans.borrowed_per_ms(now_ms) > 0.0;
        if !is_low && !is_borrowing {
            return 0.0;
        }
        let wanted = self.demand.per_ms(now_ms) * DEMAND_MARGIN - kept;
        wanted.clamp(0.0, self.limit.rate_per_ms)
    }
}

impl Pool {
    pub fn new(start_ms: u64) -> Self {
        let shares = Shares { daemons: 1, own_from_ms: start_ms, ..Shares::default() };
        Self { shares, ..Self::default() }
    }

    fn update_all(&mut self, now_ms: u64) {
        for bucket in self.buckets.values_mut() {
            bucket.update(&self.shares, now_ms);
        }
        self.shares.delegated.retain(|_, until_ms| *until_ms > now_ms);
    }

    /// Applies new limits. Buckets of new accounts start empty; those of lowered limits are cut.
    pub fn set_limits(&mut self, limits: &BTreeMap<Arc<str>, FleetLimit>, now_ms: u64) {
        self.update_all(now_ms);
        self.buckets.retain(|account, _| limits.contains_key(account));
        for (account, limit) in limits {
            let bucket = self.buckets.entry(account.clone()).or_insert_with(|| Bucket {
                limit: *limit,
                tokens: 0.0,
                updated_ms: now_ms,
                demand: SmoothedRate::default(),
                loans: Loans::default(),
            });
            if limit.rate_per_ms < bucket.limit.rate_per_ms {
                bucket.loans.drop_borrowed();
            }
            bucket.limit = *limit;
            bucket.update(&self.shares, now_ms);
        }
    }

    /// Divides the limits by a number of daemons that this daemon or another one knows. A lower number
    /// is used once no higher one was known for [`FEWER_DAEMONS_MS`].
    pub fn set_daemons(&mut self, daemons: u32, now_ms: u64) {
        let shares = &mut self.shares;
        if daemons >= shares.daemons {
            shares.fewer = None;
            if daemons > shares.daemons {
                self.update_all(now_ms);
                self.shares.daemons = daemons;
            }
            return;
        }
        let (most, since_ms) = shares.fewer.unwrap_or((daemons, now_ms));
        // The highest number of the time counts.
        let most = most.max(daemons);
        shares.fewer = Some((most, since_ms));
        if now_ms >= since_ms + FEWER_DAEMONS_MS {
            shares.fewer = None;
            self.update_all(now_ms);
            self.shares.daemons = most;
        }
    }

    /// Whether this daemon lends to another one, so that a part of its own share may be lent.
    pub fn is_lending(&self, now_ms: u64) -> bool {
        now_ms < self.lent_until_ms
    }

    /// Whether the own share is used here.
    pub fn uses_own_share(&self, now_ms: u64) -> bool {
        self.shares.own_from_ms <= now_ms
    }

    /// Stops using the own share until a time.
    pub fn suspend_own_share(&mut self, until_ms: u64, now_ms: u64) {
        if self.shares.own_from_ms <= now_ms {
            self.update_all(now_ms);
        }
        self.shares.own_from_ms = self.shares.own_from_ms.max(until_ms);
    }

    /// Uses the share of another daemon until a time.
    pub fn add_delegation(&mut self, owner: &Arc<str>, until_ms: u64, now_ms: u64) {
        let last_until_ms = self.shares.delegated.get(owner).copied().unwrap_or_default();
        if last_until_ms <= now_ms {
            self.update_all(now_ms);
        }
        if until_ms > now_ms {
            self.shares.delegated.insert(owner.clone(), until_ms.max(last_until_ms));
        }
    }

    pub fn is_limited(&self, account: &str) -> bool {
        self.buckets.contains_key(account)
    }

    /// Counts requests of callers, which decide what is borrowed and lent.
    pub fn record_demand(&mut self, account: &str, arrived: u32, now_ms: u64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.demand.record(arrived, now_ms);
        }
    }

    /// Takes up to `wanted` credits. Returns how many, and the expected time until there is one more.
    pub fn take(&mut self, account: &str, wanted: u32, now_ms: u64) -> (u32, u32) {
        let Some(bucket) = self.buckets.get_mut(account) else { return (0, 0) };
        bucket.update(&self.shares, now_ms);
        // Tokens are never negative, so that the conversion only cuts the fraction off.
        let count = (bucket.tokens as u32).min(wanted);
        bucket.tokens -= f64::from(count);
        let per_ms = bucket.per_ms(&self.shares, now_ms).max(1e-9);
        // The callers that were refused a short time ago come back first.
        let refused_per_ms = (bucket.demand.per_ms(now_ms) - per_ms).max(0.0);
        let missing = (1.0 - bucket.tokens).max(0.0) + refused_per_ms * REFUSED_MS;
        (count, (missing / per_ms).min(WAIT_MS_MAX).ceil() as u32)
    }

    /// Takes credit back that was granted at `granted_ms` and not used. Later than
    /// [`CREDIT_LIFE_MS`] after that it is lost: it would add to the use of another window.
    pub fn give_back(&mut self, account: &str, count: u32, granted_ms: u64, now_ms: u64) {
        if now_ms > granted_ms + CREDIT_LIFE_MS || granted_ms > now_ms {
            return;
        }
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.tokens += f64::from(count);
            bucket.update(&self.shares, now_ms);
        }
    }

    /// The rate to request from each of `lenders`, by account.
    pub fn wanted_loans(
        &mut self,
        lenders: &[Arc<str>],
        now_ms: u64,
    ) -> BTreeMap<Arc<str>, Vec<(Arc<str>, f64)>> {
        let mut wanted: BTreeMap<Arc<str>, Vec<(Arc<str>, f64)>> = BTreeMap::new();
        for (account, bucket) in &mut self.buckets {
            if bucket.loans.is_empty() && bucket.demand.per_ms(now_ms) < 1e-6 {
                continue;
            }
            bucket.update(&self.shares, now_ms);
            let total = bucket.wanted_per_ms(&self.shares, now_ms);
            if total <= 0.0 {
                continue;
            }
            let borrowed = bucket.loans.borrowed_per_ms(now_ms);
            for lender in lenders {
                let present = bucket.loans.borrowed_from_per_ms(lender, now_ms);
                // Less from each if there is too much. Otherwise what is missing is requested twice
                // over, because some lenders have nothing to spare.
                let per_ms = if borrowed > total {
                    present * total / borrowed
                } else {
                    present + (total - borrowed) * (2.0 / lenders.len() as f64).min(1.0)
                };
                if per_ms > 0.0 {
                    wanted.entry(lender.clone()).or_default().push((account.clone(), per_ms));
                }
            }
        }
        wanted
    }

    /// Lends up to a rate of what is not needed here, from now on. Returns the rate.
    pub fn lend(
        &mut self,
        borrower: &Arc<str>,
        account: &str,
        wanted_per_ms: f64,
        now_ms: u64,
    ) -> f64 {
        let Some(bucket) = self.buckets.get_mut(account) else { return 0.0 };
        bucket.update(&self.shares, now_ms);
        let lasting = self.shares.lasting_count(now_ms) / f64::from(self.shares.daemons.max(1));
        let spare = bucket.limit.rate_per_ms * lasting
            - bucket.loans.lent_to_others_per_ms(borrower)
            - bucket.demand.per_ms(now_ms) * DEMAND_MARGIN;
        let per_ms = wanted_per_ms.min(spare);
        if !per_ms.is_finite() || per_ms <= 0.0 {
            return 0.0;
        }
        bucket.loans.lend(borrower, per_ms, now_ms);
        self.lent_until_ms = now_ms + LOAN_MS;
        per_ms
    }

    /// Uses a loan of another keeper, which was requested at `sent_ms`.
    pub fn borrow(
        &mut self,
        lender: &Arc<str>,
        account: &str,
        per_ms: f64,
        sent_ms: u64,
        now_ms: u64,
    ) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.update(&self.shares, now_ms);
            bucket.loans.borrow(lender, per_ms, sent_ms);
        }
    }
}
