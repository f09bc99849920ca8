//! The loans of one account between keepers of different zones.

use super::LOAN_MS;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A part of the refill that is lent or borrowed until a time.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Loan {
    per_ms: f64,
    until_ms: u64,
}

/// The loans of one account.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Loans {
    /// The loans to each borrower that have not ended. The borrower uses one of them: the last that
    /// has reached it. The refill is therefore reduced by the largest.
    lent: BTreeMap<Arc<str>, Vec<Loan>>,
    /// The last loan of each lender, with the time of the request for it.
    borrowed: BTreeMap<Arc<str>, (u64, Loan)>,
}

impl Loans {
    pub fn is_empty(&self) -> bool {
        self.lent.is_empty() && self.borrowed.is_empty()
    }

    /// Forgets what has ended. Must not be called before the refill up to `now_ms` was computed.
    pub fn remove_ended(&mut self, now_ms: u64) {
        self.lent.retain(|_, loans| {
            loans.retain(|loan| loan.until_ms > now_ms);
            !loans.is_empty()
        });
        self.borrowed.retain(|_, (_, loan)| loan.until_ms > now_ms);
    }

    /// The rate that is lent and has not ended.
    pub fn lent_per_ms(&self) -> f64 {
        self.lent.values().map(|loans| largest(loans)).sum()
    }

    /// The rate that is lent to others than `borrower`.
    pub fn lent_to_others_per_ms(&self, borrower: &str) -> f64 {
        let others = self.lent.iter().filter(|(name, _)| &***name != borrower);
        others.map(|(_, loans)| largest(loans)).sum()
    }

    /// The refill that was lent from `from_ms` to `now_ms`; rather too much than too little.
    pub fn lent_amount(&self, from_ms: u64, now_ms: u64) -> f64 {
        let amount = |loans: &Vec<Loan>| {
            let until_ms = loans.iter().map(|loan| loan.until_ms).max().unwrap_or_default();
            largest(loans) * until_ms.min(now_ms).saturating_sub(from_ms) as f64
        };
        self.lent.values().map(amount).sum()
    }

    /// Lends to a borrower from now on. An earlier loan to the same borrower stays until its end,
    /// because this one may not reach it.
    pub fn lend(&mut self, borrower: &Arc<str>, per_ms: f64, now_ms: u64) {
        let loans = self.lent.entry(borrower.clone()).or_default();
        let loan = Loan { per_ms, until_ms: now_ms + LOAN_MS };
        loans.retain(|earlier| earlier.per_ms > per_ms);
        loans.push(loan);
    }

    /// Uses a loan that was requested at `sent_ms` by this daemon's clock, unless a later one of the
    /// same lender is known.
    pub fn borrow(&mut self, lender: &Arc<str>, per_ms: f64, sent_ms: u64) {
        let loan = Loan { per_ms, until_ms: sent_ms + LOAN_MS };
        match self.borrowed.get(lender) {
            Some((last_sent_ms, _)) if *last_sent_ms >= sent_ms => {}
            _ => {
                self.borrowed.insert(lender.clone(), (sent_ms, loan));
            }
        }
    }

    /// Drops what is borrowed, after the limit was lowered.
    pub fn drop_borrowed(&mut self) {
        self.borrowed.clear();
    }

    /// The refill that was borrowed from `from_ms` to `now_ms`.
    pub fn borrowed_amount(&self, from_ms: u64, now_ms: u64) -> f64 {
        let amount = |(_, loan): &(u64, Loan)| {
            loan.per_ms * loan.until_ms.min(now_ms).saturating_sub(from_ms) as f64
        };
        self.borrowed.values().map(amount).sum()
    }

    /// The rate that is borrowed at present.
    pub fn borrowed_per_ms(&self, now_ms: u64) -> f64 {
        let active = self.borrowed.values().filter(|(_, loan)| loan.until_ms > now_ms);
        active.map(|(_, loan)| loan.per_ms).sum()
    }

    /// The rate that is borrowed from one lender at present.
    pub fn borrowed_from_per_ms(&self, lender: &str, now_ms: u64) -> f64 {
        let loan = self.borrowed.get(lender).filter(|(_, loan)| loan.until_ms > now_ms);
        loan.map_or(0.0, |(_, loan)| loan.per_ms)
    }
}

fn largest(loans: &[Loan]) -> f64 {
    loans.iter().map(|loan| loan.per_ms).fold(0.0, f64::max)
}
