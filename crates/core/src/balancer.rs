//! Chooses the target of each attempt from the records of a service and from evidence.
//!
//! Evidence from real attempts outweighs what detectors say; see `docs/REQUESTS.md` for the ways
//! that were weighed.

use crate::code::ResultCode;
use crate::endpoint::{Endpoint, TargetState};
use crate::membership::Entry;
use crate::row::Pool;
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Failed attempts in a row after which a target is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// The first ejection of a target lasts this long, in milliseconds; each further one longer.
const EJECT_MS: u64 = 5_000;
/// The longest ejection, in milliseconds.
const EJECT_MAX_MS: u64 = 60_000;
/// How long a target that takes no work is passed over, in milliseconds.
const REFUSED_MS: u64 = 2_000;
/// How long a load report counts, in milliseconds.
const REPORT_KEPT_MS: u64 = 500;
/// The share of traffic at the beginning of a slow start.
const SLOW_START_MIN: f64 = 0.1;
/// How long a gone record may still be tried when most of its pool looks gone, in milliseconds.
const RECENTLY_GONE_MS: u64 = 60_000;
/// The share that a new latency has in the smoothed one.
const LATENCY_SHARE: f64 = 0.2;
/// How long no evidence is kept for, in milliseconds.
const IDLE_KEPT_MS: u64 = 300_000;

/// What attempts have shown of one target.
#[derive(Clone, Debug, Default)]
struct Evidence {
    in_flight: u32,
    reported_in_flight: u32,
    reported_ms: u64,
    latency_ms: f64,
    failures: u32,
    ejections: u32,
    ejected_until_ms: u64,
    used_ms: u64,
}

/// How an attempt went, as far as the target is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// It answered, or was full. Both show that it lives.
    Alive,
    /// It takes no work now, whatever its record still says.
    Refused,
    /// It could not be reached, or its answer was lost.
    Failed,
}

impl Observation {
    /// What the result code of an attempt shows.
    pub fn of(code: ResultCode) -> Self {
        match code {
            ResultCode::TargetDraining | ResultCode::WrongInstance => Self::Refused,
            ResultCode::TargetUnreachable
            | ResultCode::AnswerLost
            | ResultCode::AnswerCut
            | ResultCode::DeadlineAfterRun => Self::Failed,
            _ => Self::Alive,
        }
    }
}

/// The evidence of one proxy.
#[derive(Debug)]
pub struct Balancer {
    region: Arc<str>,
    zone: Arc<str>,
    rng: ChaCha8Rng,
    evidence: BTreeMap<Arc<str>, Evidence>,
    swept_ms: u64,
}

impl Balancer {
    pub fn new(region: Arc<str>, zone: Arc<str>, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { region, zone, rng, evidence: BTreeMap::new(), swept_ms: 0 }
    }

    /// Chooses a target: the nearest tier that has room, and there the less loaded of two.
    pub fn choose(
        &mut self,
        pool: &Pool,
        entries: &[Entry],
        tried: &BTreeSet<Arc<str>>,
        now_ms: u64,
    ) -> Option<Endpoint> {
        let candidates = self.candidates(pool, entries, tried, now_ms);
        for tier in 0..=2 {
            let in_tier: Vec<&Entry> = candidates
                .iter()
                .filter(|entry| self.tier(&entry.record) <= tier && self.has_room(entry, now_ms))
                .copied()
                .collect();
            if !in_tier.is_empty() {
                return self.pick(&in_tier, pool, now_ms);
            }
        }
        let nearest = candidates.iter().map(|entry| self.tier(&entry.record)).min()?.max(1);
        let near: Vec<&Entry> = candidates
            .iter()
            .filter(|entry| self.tier(&entry.record) <= nearest)
            .copied()
            .collect();
        self.pick(&near, pool, now_ms)
    }

    /// Targets that may be tried. When most of the pool looks gone, the detector is the more
    /// likely to be wrong, and those that went lately are tried too.
    fn candidates<'a>(
        &self,
        pool: &Pool,
        entries: &'a [Entry],
        tried: &BTreeSet<Arc<str>>,
        now_ms: u64,
    ) -> Vec<&'a Entry> {
        let in_pool = entries.iter().filter(|entry| {
            entry.record.state == TargetState::Ready
                && (pool.regions.is_empty() || pool.regions.contains(&entry.record.region))
        });
        let (gone, alive): (Vec<&Entry>, Vec<&Entry>) =
            in_pool.partition(|entry| entry.record.gone);
        let lately: Vec<&Entry> = gone
            .into_iter()
            .filter(|e| e.gone_since_ms.is_some_and(|ms| now_ms < ms + RECENTLY_GONE_MS))
            .collect();
        let mut candidates = alive;
        if lately.len() > candidates.len() {
            candidates.extend(lately);
        }
        let untried: Vec<&Entry> = candidates
            .iter()
            .filter(|entry| !tried.contains(&entry.record.instance))
            .copied()
            .collect();
        if !untried.is_empty() {
            candidates = untried;
        }
        self.without_ejected(pool, candidates, now_ms)
    }

    /// Leaves out ejected targets, but never more of them than the pool allows.
    fn without_ejected<'a>(
        &self,
        pool: &Pool,
        candidates: Vec<&'a Entry>,
        now_ms: u64,
    ) -> Vec<&'a Entry> {
        let is_ejected = |entry: &Entry| {
            let evidence = self.evidence.get(&entry.record.instance);
            evidence.is_some_and(|evidence| now_ms < evidence.ejected_until_ms)
        };
        let ejected = candidates.iter().filter(|entry| is_ejected(entry)).count();
        if ejected * 100 > candidates.len() * usize::from(pool.ejected_max_percent) {
            return candidates;
        }
        candidates.into_iter().filter(|entry| !is_ejected(entry)).collect()
    }

    fn tier(&self, record: &Endpoint) -> u8 {
        match (record.region == self.region, record.zone == self.zone) {
            (true, true) => 0,
            (true, false) => 1,
            (false, _) => 2,
        }
    }

    fn load(&self, instance: &str, now_ms: u64) -> u32 {
        let Some(evidence) = self.evidence.get(instance) else { return 0 };
        if now_ms < evidence.reported_ms + REPORT_KEPT_MS {
            return evidence.in_flight.max(evidence.reported_in_flight);
        }
        evidence.in_flight
    }

    fn has_room(&self, entry: &Entry, now_ms: u64) -> bool {
        self.load(&entry.record.instance, now_ms) < u32::from(entry.record.slots)
    }

    fn pick(&mut self, entries: &[&Entry], pool: &Pool, now_ms: u64) -> Option<Endpoint> {
        let first = entries.get(self.random_below(entries.len())?)?;
        let second = entries.get(self.random_below(entries.len())?)?;
        let better = if self.score(second, pool, now_ms) < self.score(first, pool, now_ms) {
            second
        } else {
            first
        };
        Some(better.record.clone())
    }

    fn random_below(&mut self, bound: usize) -> Option<usize> {
        (bound > 0).then(|| self.rng.next_u64() as usize % bound)
    }

    /// Load over capacity, times the latency that attempts have shown; lower is better.
    fn score(&self, entry: &Entry, pool: &Pool, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(entry.state_since_ms) as f64;
        let grown = match pool.slow_start_ms {
            0 => 1.0,
            slow_start_ms => (age_ms / f64::from(slow_start_ms)).clamp(SLOW_START_MIN, 1.0),
        };
        let capacity = f64::from(entry.record.slots.max(1)) * grown;
        let load = f64::from(self.load(&entry.record.instance, now_ms) + 1);
        let latency_ms = self.evidence.get(&entry.record.instance).map_or(0.0, |e| e.latency_ms);
        load / capacity * (latency_ms + 1.0)
    }

    /// Notes that an attempt begins.
    pub fn record_start(&mut self, instance: &Arc<str>, now_ms: u64) {
        let evidence = self.evidence.entry(instance.clone()).or_default();
        evidence.in_flight += 1;
        evidence.used_ms = now_ms;
        self.sweep(now_ms);
    }

    /// Notes the end of an attempt, with the load that the target's daemon reported, if any.
    pub fn record_end(
        &mut self,
        instance: &Arc<str>,
        observation: Observation,
        latency_ms: u64,
        reported_in_flight: Option<u16>,
        now_ms: u64,
    ) {
        let Some(evidence) = self.evidence.get_mut(instance) else { return };
        evidence.in_flight = evidence.in_flight.saturating_sub(1);
        if let Some(reported) = reported_in_flight {
            evidence.reported_in_flight = reported.into();
            evidence.reported_ms = now_ms;
            evidence.latency_ms += (latency_ms as f64 - evidence.latency_ms) * LATENCY_SHARE;
        }
        match observation {
            Observation::Alive => {
                evidence.failures = 0;
                evidence.ejections = 0;
            }
            Observation::Refused => {
                evidence.ejected_until_ms = evidence.ejected_until_ms.max(now_ms + REFUSED_MS);
            }
            Observation::Failed => {
                evidence.failures += 1;
                if evidence.failures >= FAILURES_TO_EJECT && now_ms >= evidence.ejected_until_ms {
                    let eject_ms = (EJECT_MS << evidence.ejections.min(4)).min(EJECT_MAX_MS);
                    evidence.ejected_until_ms = now_ms + eject_ms;
                    evidence.ejections += 1;
                }
            }
        }
    }

    fn sweep(&mut self, now_ms: u64) {
        if now_ms < self.swept_ms + IDLE_KEPT_MS {
            return;
        }
        self.swept_ms = now_ms;
        self.evidence.retain(|_, evidence| {
            evidence.in_flight > 0 || now_ms < evidence.used_ms + IDLE_KEPT_MS
        });
    }
}
