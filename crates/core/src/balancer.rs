//! Chooses the target of each attempt from the endpoint records of a service and from statistics
//! of earlier attempts.
//!
//! The results of this daemon's attempts take precedence over the reports of failure detectors; see
//! `docs/REQUESTS.md` for the alternatives that were considered.

use crate::code::ResultCode;
use crate::endpoint::{Endpoint, TargetState};
use crate::membership::Entry;
use crate::row::Pool;
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Consecutive failed attempts after which a target is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection of a target, in milliseconds; it doubles with each further one.
const EJECT_MS: u64 = 5_000;
/// Longest ejection, in milliseconds.
const EJECT_MS_MAX: u64 = 60_000;
/// How long an unavailable target is ejected, in milliseconds.
const UNAVAILABLE_EJECT_MS: u64 = 2_000;
/// How long a load report is used, in milliseconds.
const LOAD_REPORT_TTL_MS: u64 = 500;
/// The share of traffic that a target gets at the beginning of its slow start.
const SLOW_START_MIN: f64 = 0.1;
/// How long a target may still be tried after it was marked as gone, in milliseconds. This applies
/// only if more targets of its pool were marked that recently than are left.
const RECENTLY_GONE_MS: u64 = 60_000;
/// Weight of a new sample in the moving average of latencies.
const LATENCY_WEIGHT: f64 = 0.2;
/// How long the statistics of an unused target are kept, in milliseconds.
const IDLE_STATS_TTL_MS: u64 = 300_000;

/// Statistics of this daemon's attempts at one target.
#[derive(Clone, Debug, Default)]
struct TargetStats {
    in_flight: u32,
    /// Requests in flight from all daemons, as last reported by the target's daemon.
    reported_in_flight: u32,
    last_report_ms: u64,
    latency_ms: f64,
    /// Consecutive failed attempts.
    failures: u32,
    /// Ejections since the last [`Observation::Alive`].
    ejections: u32,
    ejected_until_ms: u64,
    last_used_ms: u64,
}

/// What the result of an attempt shows about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The target answered or was full, so it is alive.
    Alive,
    /// The target is draining, or another instance has its address.
    Unavailable,
    /// The target was not reached, or its response was lost.
    Failed,
}

impl Observation {
    /// What the result code of an attempt shows about the target.
    pub fn of(code: ResultCode) -> Self {
        match code {
            ResultCode::TargetDraining | ResultCode::WrongInstance => Self::Unavailable,
            ResultCode::TargetUnreachable
            | ResultCode::AnswerLost
            | ResultCode::AnswerCut
            | ResultCode::DeadlineAfterRun => Self::Failed,
            _ => Self::Alive,
        }
    }
}

/// Chooses targets for the requests of one daemon.
#[derive(Debug)]
pub struct Balancer {
    region: Arc<str>,
    zone: Arc<str>,
    rng: ChaCha8Rng,
    stats: BTreeMap<Arc<str>, TargetStats>,
    last_sweep_ms: u64,
}

impl Balancer {
    pub fn new(region: Arc<str>, zone: Arc<str>, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { region, zone, rng, stats: BTreeMap::new(), last_sweep_ms: 0 }
    }

    /// Chooses a target from the nearest locality tier with a free slot: the one with the lower
    /// score of two random targets. If every target is full, the choice is made among those of the
    /// local region, or else among those of the other regions.
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

    /// The targets that may be tried. Targets that this request has tried are left out if there are
    /// others, and so are ejected targets. If more targets were recently marked as gone than are
    /// left, the failure detector is more likely to be wrong than right, so the marked ones are
    /// included.
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
        let recently_gone: Vec<&Entry> = gone
            .into_iter()
            .filter(|e| e.gone_since_ms.is_some_and(|ms| now_ms < ms + RECENTLY_GONE_MS))
            .collect();
        let mut candidates = alive;
        if recently_gone.len() > candidates.len() {
            candidates.extend(recently_gone);
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

    /// Removes ejected targets, or none if more than `ejected_max_percent` of the candidates are
    /// ejected.
    fn without_ejected<'a>(
        &self,
        pool: &Pool,
        candidates: Vec<&'a Entry>,
        now_ms: u64,
    ) -> Vec<&'a Entry> {
        let is_ejected = |entry: &Entry| {
            let stats = self.stats.get(&entry.record.instance);
            stats.is_some_and(|stats| now_ms < stats.ejected_until_ms)
        };
        let ejected = candidates.iter().filter(|entry| is_ejected(entry)).count();
        if ejected * 100 > candidates.len() * usize::from(pool.ejected_max_percent) {
            return candidates;
        }
        candidates.into_iter().filter(|entry| !is_ejected(entry)).collect()
    }

    /// The locality tier: 0 is the local zone, 1 the local region, 2 every other region.
    fn tier(&self, record: &Endpoint) -> u8 {
        match (record.region == self.region, record.zone == self.zone) {
            (true, true) => 0,
            (true, false) => 1,
            (false, _) => 2,
        }
    }

    /// Requests in flight at a target, as far as this daemon knows.
    fn load(&self, instance: &str, now_ms: u64) -> u32 {
        let Some(stats) = self.stats.get(instance) else { return 0 };
        if now_ms < stats.last_report_ms + LOAD_REPORT_TTL_MS {
            return stats.in_flight.max(stats.reported_in_flight);
        }
        stats.in_flight
    }

    /// Whether a target has a free slot, as far as this daemon knows.
    fn has_room(&self, entry: &Entry, now_ms: u64) -> bool {
        self.load(&entry.record.instance, now_ms) < u32::from(entry.record.slots)
    }

    /// Picks the one with the lower score of two random entries.
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

    /// Load divided by capacity, times the average latency; lower is better. During the slow start
    /// only a part of the capacity counts.
    fn score(&self, entry: &Entry, pool: &Pool, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(entry.state_since_ms) as f64;
        let slow_start_share = match pool.slow_start_ms {
            0 => 1.0,
            slow_start_ms => (age_ms / f64::from(slow_start_ms)).clamp(SLOW_START_MIN, 1.0),
        };
        let capacity = f64::from(entry.record.slots.max(1)) * slow_start_share;
        let load = f64::from(self.load(&entry.record.instance, now_ms) + 1);
        let latency_ms = self.stats.get(&entry.record.instance).map_or(0.0, |s| s.latency_ms);
        load / capacity * (latency_ms + 1.0)
    }

    /// Records the start of an attempt.
    pub fn record_start(&mut self, instance: &Arc<str>, now_ms: u64) {
        let stats = self.stats.entry(instance.clone()).or_default();
        stats.in_flight += 1;
        stats.last_used_ms = now_ms;
        self.sweep(now_ms);
    }

    /// Records the end of an attempt, with the load that the target's daemon reported, if any.
    /// Without a report there was no response, so the latency is not counted.
    pub fn record_end(
        &mut self,
        instance: &Arc<str>,
        observation: Observation,
        latency_ms: u64,
        reported_in_flight: Option<u16>,
        now_ms: u64,
    ) {
        let Some(stats) = self.stats.get_mut(instance) else { return };
        stats.in_flight = stats.in_flight.saturating_sub(1);
        if let Some(reported) = reported_in_flight {
            stats.reported_in_flight = reported.into();
            stats.last_report_ms = now_ms;
            stats.latency_ms += (latency_ms as f64 - stats.latency_ms) * LATENCY_WEIGHT;
        }
        match observation {
            Observation::Alive => {
                stats.failures = 0;
                stats.ejections = 0;
            }
            Observation::Unavailable => {
                stats.ejected_until_ms = stats.ejected_until_ms.max(now_ms + UNAVAILABLE_EJECT_MS);
            }
            Observation::Failed => {
                stats.failures += 1;
                if stats.failures >= FAILURES_TO_EJECT && now_ms >= stats.ejected_until_ms {
                    let eject_ms = (EJECT_MS << stats.ejections.min(4)).min(EJECT_MS_MAX);
                    stats.ejected_until_ms = now_ms + eject_ms;
                    stats.ejections += 1;
                }
            }
        }
    }

    /// Drops the statistics of targets that have not been used for [`IDLE_STATS_TTL_MS`].
    fn sweep(&mut self, now_ms: u64) {
        if now_ms < self.last_sweep_ms + IDLE_STATS_TTL_MS {
            return;
        }
        self.last_sweep_ms = now_ms;
        self.stats.retain(|_, stats| {
            stats.in_flight > 0 || now_ms < stats.last_used_ms + IDLE_STATS_TTL_MS
        });
    }
}
