//! Distributes a route's requests over its pools by weight (smooth weighted round robin).
//!
//! Random choice deviates from the weights over short sequences. This interleaves the pools evenly,
//! so that each gets its share in any sequence of requests. Each daemon starts at another place of
//! the sequence: otherwise the first requests of all daemons would go to the pool with the highest
//! weight, and a pool of a low weight would get less than its share of the fleet's requests.

use crate::digest::record_hash;
use crate::matching::{MatchedRoute, WeightedPool};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The credit of each pool, by route and by the pool's service. A pool's credit grows by its weight
/// with each request and shrinks by the total weight when the pool is chosen.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credits: BTreeMap<Arc<str>, BTreeMap<Arc<str>, i64>>,
    /// Differs for each daemon.
    seed: u64,
}

/// The number of places at which a daemon may start in the sequence of a route.
const PHASES: u64 = 100;

impl WeightedRoundRobin {
    /// A distribution that starts at a place of its own for each seed.
    pub fn with_seed(seed: u64) -> Self {
        Self { credits: BTreeMap::new(), seed }
    }

    /// Chooses the pool of the next request: the one with the highest credit.
    pub fn next<'a>(&mut self, route: &'a MatchedRoute) -> &'a WeightedPool {
        let [first, rest @ ..] = route.pools.as_slice() else {
            unreachable!("a matched route has at least one pool");
        };
        if rest.is_empty() {
            return first;
        }
        if !self.credits.contains_key(&route.name) {
            let seed = self.seed.to_le_bytes();
            for _ in 0..record_hash(&[&seed, route.name.as_bytes()]) % PHASES {
                self.advance(route, first);
            }
        }
        self.advance(route, first)
    }

    /// Chooses the next pool in the sequence of a route.
    fn advance<'a>(
        &mut self,
        route: &'a MatchedRoute,
        first: &'a WeightedPool,
    ) -> &'a WeightedPool {
        let credits = self.credits.entry(route.name.clone()).or_default();
        credits.retain(|service, _| {
            route.pools.iter().any(|candidate| candidate.pool.service == *service)
        });
        let total: i64 = route.pools.iter().map(|candidate| i64::from(candidate.weight)).sum();
        let mut chosen = first;
        let mut highest = i64::MIN;
        for candidate in &route.pools {
            let credit = credits.entry(candidate.pool.service.clone()).or_insert(0);
            *credit += i64::from(candidate.weight);
            if *credit > highest && candidate.weight > 0 {
                highest = *credit;
                chosen = candidate;
            }
        }
        if let Some(credit) = credits.get_mut(&chosen.pool.service) {
            *credit -= total;
        }
        chosen
    }

    /// Removes the credits of routes that are no longer in force.
    pub fn retain(&mut self, is_in_force: impl Fn(&str) -> bool) {
        self.credits.retain(|name, _| is_in_force(name));
    }
}
