//! The callers and the daemons at their side: requests, attempts and retries.

use super::pattern::{Disturbance, RequestKind};
use super::policy::Policy;
use super::results::{AccountResults, LATE_VALUE_SHARE, value_of};
use super::{Event, SentRequest, Simulation, WARM_UP_MS, ZONES_PER_REGION};
use pomeloreach_core::mesh::attempts::{AttemptResult, Attempts, NextAction, RetryPolicy};
use pomeloreach_core::mesh::placer::Placement;
use pomeloreach_core::mesh::retry_after::{self, RefusedRequest};
use pomeloreach_core::mesh::state::TargetLoad;

/// A request as sent once by its caller; a caller's retry is a new one.
pub(super) struct Request {
    pub(super) kind: RequestKind,
    /// The index of the kind in the pattern.
    pub(super) kind_index: usize,
    /// The account of the caller by its place by size, from 0.
    pub(super) account: Option<usize>,
    /// The daemon that the caller sends the request to.
    pub(super) origin: usize,
    pub(super) sent_ms: u64,
    /// When the caller sent the first of its tries.
    pub(super) first_sent_ms: u64,
    pub(super) attempts: Attempts,
    pub(super) retries_left: u32,
    /// The longest wait that the placer or a target's daemon expected, from which a refusal derives the
    /// caller's pause.
    pub(super) longest_wait_ms: u64,
    /// The service time at a target of speed 1.
    pub(super) work_ms: f64,
    /// Whether the caller has a response or a refusal.
    pub(super) is_done: bool,
}

impl Simulation<'_> {
    /// Schedules the first send of every request, at exponentially distributed intervals.
    pub(super) fn schedule_arrivals(&mut self) {
        let pattern = self.pattern;
        let mean_work_ms: f64 =
            pattern.kinds.iter().map(|kind| kind.share * kind.mean_work_ms).sum();
        let speeds: f64 = self.daemons.iter().map(|daemon| daemon.speed).sum();
        let per_ms = pattern.load * speeds * f64::from(pattern.slots) / mean_work_ms;
        let account_shares = pattern.account_shares();
        let mut at_ms = 0.0;
        while at_ms < pattern.end_ms as f64 {
            let is_disturbed = self.is_disturbed(at_ms as u64);
            let surge = match pattern.disturbance {
                Disturbance::AccountSurge(factor) if is_disturbed => factor,
                _ => 1.0,
            };
            let factor = match pattern.disturbance {
                Disturbance::Burst(factor) if is_disturbed => factor,
                Disturbance::AccountSurge(_) => 1.0 + account_shares[0] * (surge - 1.0),
                _ => 1.0,
            };
            // The factor keeps the argument of `ln` above 0.
            at_ms += -(1.0 - self.random() * 0.999_999).ln() / (per_ms * factor);
            let mut origin = self.random_below(pattern.targets as u64) as usize;
            if let Disturbance::ZoneBurst(factor) = pattern.disturbance
                && is_disturbed
                && self.random() < factor / (pattern.regions * ZONES_PER_REGION) as f64
            {
                // Daemons whose index is a multiple of the zone count are all in the first zone.
                let zone_count = pattern.regions * ZONES_PER_REGION;
                origin = origin / zone_count * zone_count;
            }
            let mut draw = self.random();
            let mut kind = 0;
            for (index, candidate) in pattern.kinds.iter().enumerate() {
                kind = index;
                draw -= candidate.share;
                if draw < 0.0 {
                    break;
                }
            }
            let retries_left = match pattern.disturbance {
                Disturbance::Impatient(retries) if is_disturbed => retries,
                _ => 1,
            };
            let account = self.draw_account(&account_shares, surge);
            let first_sent_ms = at_ms as u64;
            let sent = SentRequest { origin, kind, account, first_sent_ms, retries_left };
            self.schedule(first_sent_ms, Event::RequestSent(sent));
        }
    }

    /// Draws an account by its share of the requests; that of the largest is multiplied by `surge`.
    /// Draws nothing if there are no accounts.
    fn draw_account(&mut self, shares: &[f64], surge: f64) -> Option<usize> {
        let (largest, last) = (*shares.first()?, shares.len() - 1);
        let mut draw = self.random() * (1.0 + largest * (surge - 1.0)) - largest * surge;
        if draw < 0.0 {
            return Some(0);
        }
        for (account, share) in shares.iter().enumerate().skip(1) {
            draw -= share;
            if draw < 0.0 {
                return Some(account);
            }
        }
        Some(last)
    }

    /// The results of the account of a request, if the request was first sent during the
    /// disturbance.
    fn account_results(
        &mut self,
        account: Option<usize>,
        first_sent_ms: u64,
    ) -> Option<&mut AccountResults> {
        let is_disturbed = self.is_disturbed(first_sent_ms);
        account.filter(|_| is_disturbed).map(|account| &mut self.results.by_account[account])
    }

    /// Draws a lognormal factor with a mean of one. The sum of twelve uniform numbers is nearly normal.
    pub(super) fn draw_work_factor(&mut self) -> f64 {
        const SIGMA: f64 = 0.6;
        let normal = (0..12).map(|_| self.random()).sum::<f64>() - 6.0;
        (SIGMA * normal - SIGMA * SIGMA / 2.0).exp()
    }

    /// Starts a request, or a caller's retry, at its origin. Only the first send counts as a request.
    pub(super) fn start_request(&mut self, sent: SentRequest) {
        let SentRequest { origin, kind: kind_index, account, first_sent_ms, retries_left } = sent;
        let kind = self.pattern.kinds[kind_index];
        let deadline_ms = first_sent_ms + kind.deadline_ms;
        if first_sent_ms == self.now_ms && first_sent_ms >= WARM_UP_MS {
            self.results.requests += 1;
            self.results.by_rank.entry(kind.rank).or_default().1 += 1;
            self.results.value_max += value_of(kind);
            if let Some(results) = self.account_results(account, first_sent_ms) {
                results.requests += 1;
            }
        }
        let retry_policy =
            RetryPolicy { is_idempotent: kind.is_idempotent, attempts_max: 2, deadline_ms };
        let work_ms = self.draw_work_factor() * kind.mean_work_ms;
        self.requests.push(Request {
            kind,
            kind_index,
            account,
            origin,
            sent_ms: self.now_ms,
            first_sent_ms,
            attempts: Attempts::new(retry_policy),
            retries_left,
            longest_wait_ms: 0,
            work_ms,
            is_done: false,
        });
        self.start_attempt(self.requests.len() - 1);
    }

    /// Chooses a target and sends the request to its daemon, or refuses the request.
    pub(super) fn start_attempt(&mut self, request: usize) {
        let placement = self.choose_target(request);
        let Request { origin, .. } = self.requests[request];
        let (daemon, wait_max_ms) = match placement {
            Placement::Local { wait_max_ms } => (origin, wait_max_ms),
            Placement::Peer { name, wait_max_ms, .. } => {
                let daemon = name[1..].parse().expect("names end with their number");
                self.daemons[origin].peers.call_started(&name);
                (daemon, wait_max_ms)
            }
            Placement::Full { retry_after_ms } => {
                let longest_ms = &mut self.requests[request].longest_wait_ms;
                *longest_ms = (*longest_ms).max(retry_after_ms);
                return self.refuse(request);
            }
            Placement::NoTarget => return self.refuse(request),
        };
        let name = self.daemons[daemon].peers.local().name.clone();
        let Request { attempts, .. } = &mut self.requests[request];
        attempts.start(name);
        let limits_wait = self.policy == Policy::Placer && !attempts.daemons_exhausted();
        let wait_max_ms = wait_max_ms.filter(|_| limits_wait);
        let at_ms = self.now_ms + self.one_way_ms(origin, daemon);
        if at_ms >= WARM_UP_MS && self.daemons[origin].region != self.daemons[daemon].region {
            self.results.cross_region += 1;
        }
        self.schedule(at_ms, Event::AttemptArrived { request, daemon, wait_max_ms });
    }

    /// Handles the result of an attempt at the origin: responds to the caller, refuses or tries again.
    pub(super) fn finish_attempt(
        &mut self,
        request: usize,
        daemon: usize,
        result: AttemptResult,
        backlog_ms: u64,
        load: TargetLoad,
    ) {
        let origin = self.requests[request].origin;
        if daemon != origin {
            let name = self.daemons[daemon].peers.local().name.clone();
            let peers = &mut self.daemons[origin].peers;
            peers.call_ended(&name, false, self.now_ms);
            peers.apply_load(&name, load, self.now_ms);
        }
        let state = &mut self.requests[request];
        state.longest_wait_ms = state.longest_wait_ms.max(backlog_ms);
        match state.attempts.finish(result) {
            NextAction::Respond => self.record_response(request, result.http_status < 500),
            NextAction::Fail(_) => self.refuse(request),
            NextAction::HoldResponse | NextAction::Continue => {
                if state.attempts.left_ms(self.now_ms) == 0 {
                    return self.refuse(request);
                }
                self.start_attempt(request);
            }
        }
    }

    /// Counts the response to a caller as in time, late or failed.
    pub(super) fn record_response(&mut self, request: usize, is_success: bool) {
        let now_ms = self.now_ms;
        let state = &mut self.requests[request];
        if std::mem::replace(&mut state.is_done, true) || state.first_sent_ms < WARM_UP_MS {
            return;
        }
        let (account, first_sent_ms) = (state.account, state.first_sent_ms);
        let took_ms = now_ms - first_sent_ms;
        let kind = state.kind;
        if !is_success || took_ms > kind.deadline_ms {
            self.results.failed += 1;
            return;
        }
        let is_in_time = took_ms <= kind.goal_ms;
        if is_in_time {
            self.results.in_time += 1;
            self.results.value_earned += value_of(kind);
            self.results.by_rank.entry(kind.rank).or_default().0 += 1;
        } else {
            self.results.late += 1;
            self.results.value_earned += LATE_VALUE_SHARE * value_of(kind);
        }
        self.results.latencies_ms.push(took_ms);
        if let Some(results) = self.account_results(account, first_sent_ms) {
            results.served += 1;
            results.in_time += u64::from(is_in_time);
        }
    }

    /// Refuses a request. Its caller retries after a pause while it has retries and time left.
    pub(super) fn refuse(&mut self, request: usize) {
        let random = self.random();
        let kind_index = self.requests[request].kind_index;
        let now_ms = self.now_ms;
        let state = &mut self.requests[request];
        if std::mem::replace(&mut state.is_done, true) {
            return;
        }
        let refused = RefusedRequest {
            wait_ms: state.longest_wait_ms,
            left_ms: state.attempts.left_ms(now_ms),
            rank: state.kind.rank,
            random,
        };
        let pause_ms = retry_after::retry_after_ms(refused);
        let (origin, account) = (state.origin, state.account);
        let (first_sent_ms, retries_left) = (state.first_sent_ms, state.retries_left);
        if first_sent_ms >= WARM_UP_MS && now_ms > state.sent_ms + state.kind.goal_ms / 8 {
            self.results.refused_late += 1;
        }
        let is_patient = !matches!(self.pattern.disturbance, Disturbance::Impatient(_));
        let pause_ms = if is_patient { pause_ms } else { 5 };
        if retries_left > 0 && pause_ms < state.attempts.left_ms(now_ms) {
            let retries_left = retries_left - 1;
            let resent =
                SentRequest { origin, kind: kind_index, account, first_sent_ms, retries_left };
            // At least 1 ms later: `start_request` counts a request as new if it is first sent at the
            // current time.
            self.schedule(now_ms + pause_ms.max(1), Event::RequestSent(resent));
        } else if first_sent_ms >= WARM_UP_MS {
            self.results.refused += 1;
        }
    }
}
