//! What a daemon draws from the keeper of its zone.

use super::smoothed::SmoothedRate;
use super::{CREDIT_LIFE_MS, GrantedCredit, ReturnedCredit, WantedCredit};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The time for whose expected requests credit is drawn in advance: less than its life, so that
/// little of it lapses.
const PREFETCH_MS: f64 = 120.0;
/// An account with fewer requests than this in `PREFETCH_MS` draws only for requests that wait.
const PREFETCH_MIN: f64 = 0.5;
/// How long an unanswered request for credit counts as on its way.
const ANSWER_MS: u64 = 50;
/// The longest time for which requests of an account are refused without asking the keeper again,
/// after it had no credit.
const REFUSED_MS_MAX: u64 = 50;

/// Where a credit came from, so that it can be returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credit {
    /// From the daemon's own bucket at this time.
    Own { taken_ms: u64 },
    /// From the keeper, at this time of its clock; it lapses at `lapses_ms`.
    Drawn { keeper_start_id: u64, granted_ms: u64, lapses_ms: u64 },
}

/// Credit that was granted together.
#[derive(Clone, Copy, Debug)]
struct HeldCredit {
    count: u32,
    keeper_start_id: u64,
    granted_ms: u64,
    lapses_ms: u64,
}

/// What a daemon holds and expects for one account.
#[derive(Clone, Debug, Default)]
struct AccountDraw {
    held: Vec<HeldCredit>,
    /// Requests that wait for credit.
    waiting: u32,
    /// Requests that were not reported to the keeper yet.
    arrived: u32,
    demand: SmoothedRate,
    /// When credit was last requested, until the answer arrives.
    requested_ms: Option<u64>,
    /// Until when the keeper is expected to have no credit, and when it may have some.
    refused: Option<(u64, u64)>,
}

impl AccountDraw {
    fn remove_lapsed(&mut self, now_ms: u64) {
        self.held.retain(|credit| credit.count > 0 && credit.lapses_ms > now_ms);
    }

    fn held_count(&self) -> u32 {
        self.held.iter().map(|credit| credit.count).sum()
    }

    /// How much credit to request now.
    fn wanted(&self, now_ms: u64) -> u32 {
        let is_requested = self.requested_ms.is_some_and(|ms| now_ms < ms + ANSWER_MS);
        let is_refused = self.refused.is_some_and(|(until_ms, _)| now_ms < until_ms);
        if is_requested || is_refused {
            return 0;
        }
        let expected = self.demand.per_ms(now_ms) * PREFETCH_MS;
        let held = self.held_count();
        let needs_more = self.waiting > 0 || (expected >= 1.0 && held == 0);
        if !needs_more {
            return 0;
        }
        let ahead = if expected >= PREFETCH_MIN { expected.ceil() as u32 } else { 0 };
        (self.waiting + ahead).saturating_sub(held)
    }
}

/// The accounts for which a daemon has had requests.
#[derive(Clone, Debug, Default)]
pub struct Drawer {
    accounts: BTreeMap<Arc<str>, AccountDraw>,
    returned: Vec<ReturnedCredit>,
}

impl Drawer {
    fn account(&mut self, account: &Arc<str>) -> &mut AccountDraw {
        self.accounts.entry(account.clone()).or_default()
    }

    /// Forgets the accounts that have no limit any more. Requests that wait stay counted.
    pub fn keep_only(&mut self, is_limited: impl Fn(&str) -> bool) {
        self.accounts.retain(|account, draw| draw.waiting > 0 || is_limited(account));
    }

    /// Expects no answer of the last keeper any more. Its credit can be used until it lapses.
    pub fn keeper_changed(&mut self) {
        self.returned.clear();
        for draw in self.accounts.values_mut() {
            draw.requested_ms = None;
            draw.refused = None;
        }
    }

    pub fn record_arrival(&mut self, account: &Arc<str>, now_ms: u64) {
        let draw = self.account(account);
        draw.arrived = draw.arrived.saturating_add(1);
        draw.demand.record(1, now_ms);
    }

    pub fn take(&mut self, account: &str, now_ms: u64) -> Option<Credit> {
        let draw = self.accounts.get_mut(account)?;
        draw.remove_lapsed(now_ms);
        let oldest = draw.held.first_mut()?;
        oldest.count -= 1;
        let HeldCredit { keeper_start_id, granted_ms, lapses_ms, .. } = *oldest;
        Some(Credit::Drawn { keeper_start_id, granted_ms, lapses_ms })
    }

    /// The time until the keeper may have credit, if it had none a short time ago.
    pub fn refused_wait_ms(&self, account: &str, now_ms: u64) -> Option<u64> {
        let (until_ms, credit_ms) = self.accounts.get(account)?.refused?;
        (now_ms < until_ms).then(|| credit_ms.saturating_sub(now_ms))
    }

    pub fn add_waiting(&mut self, account: &Arc<str>) {
        self.account(account).waiting += 1;
    }

    pub fn remove_waiting(&mut self, account: &str) {
        if let Some(draw) = self.accounts.get_mut(account) {
            draw.waiting = draw.waiting.saturating_sub(1);
        }
    }

    /// Returns a credit to the keeper with the next request.
    pub fn give_back(&mut self, account: &Arc<str>, granted_ms: u64, lapses_ms: u64, now_ms: u64) {
        if lapses_ms > now_ms {
            let returned = ReturnedCredit { account: account.clone(), count: 1, granted_ms };
            self.returned.push(returned);
        }
    }

    pub fn has_returned(&self) -> bool {
        !self.returned.is_empty()
    }

    pub fn take_returned(&mut self) -> Vec<ReturnedCredit> {
        std::mem::take(&mut self.returned)
    }

    pub fn is_wanting(&self, now_ms: u64) -> bool {
        self.accounts.values().any(|draw| draw.wanted(now_ms) > 0)
    }

    /// What to request now, with the arrivals of all accounts that had any.
    pub fn take_wanted(&mut self, now_ms: u64) -> Vec<WantedCredit> {
        let mut wanted = Vec::new();
        for (account, draw) in &mut self.accounts {
            draw.remove_lapsed(now_ms);
            let count = draw.wanted(now_ms);
            if count == 0 && draw.arrived == 0 {
                continue;
            }
            if count > 0 {
                draw.requested_ms = Some(now_ms);
            }
            let arrived = std::mem::take(&mut draw.arrived);
            wanted.push(WantedCredit { account: account.clone(), count, arrived });
        }
        wanted
    }

    /// Adds granted credit. It lapses [`CREDIT_LIFE_MS`] after the request for it was sent.
    pub fn add_granted(
        &mut self,
        granted: &GrantedCredit,
        keeper_start_id: u64,
        (granted_ms, request_sent_ms): (u64, u64),
        now_ms: u64,
    ) {
        let draw = self.account(&granted.account);
        draw.requested_ms = None;
        draw.refused = None;
        let lapses_ms = request_sent_ms + CREDIT_LIFE_MS;
        if granted.count > 0 && lapses_ms > now_ms {
            let count = granted.count;
            draw.held.push(HeldCredit { count, keeper_start_id, granted_ms, lapses_ms });
        }
        let is_short = draw.held_count() < draw.waiting || granted.count == 0;
        if is_short && granted.wait_ms > 0 {
            let wait_ms = u64::from(granted.wait_ms);
            draw.refused = Some((now_ms + wait_ms.min(REFUSED_MS_MAX), now_ms + wait_ms));
        }
    }

    /// Forgets accounts that have been idle.
    pub fn remove_idle(&mut self, now_ms: u64) {
        self.accounts.retain(|_, draw| {
            draw.remove_lapsed(now_ms);
            let is_active = draw.waiting > 0 || draw.arrived > 0 || !draw.held.is_empty();
            is_active || draw.demand.per_ms(now_ms) > 1e-6
        });
    }
}
