//! Splits a route's requests over its pools by weight.
//!
//! Random choice strays from the weights over short spans; this interleaves the pools evenly, so
//! that each keeps its share over any span of requests.

use crate::matching::{MatchedRoute, WeightedPool};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What each pool of each route is still owed.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credits: BTreeMap<Arc<str>, BTreeMap<Arc<str>, i64>>,
}

impl WeightedRoundRobin {
    /// Chooses the pool of the next request: the one that is owed most.
    pub fn next<'a>(&mut self, route: &'a MatchedRoute) -> &'a WeightedPool {
        let [first, rest @ ..] = route.pools.as_slice() else {
            unreachable!("a matched route has at least one pool");
        };
        if rest.is_empty() {
            return first;
        }
        let credits = self.credits.entry(route.name.clone()).or_default();
        credits.retain(|service, _| route.pools.iter().any(|part| part.pool.service == *service));
        let total: i64 = route.pools.iter().map(|part| i64::from(part.weight)).sum();
        let mut chosen = first;
        let mut highest = i64::MIN;
        for part in &route.pools {
            let credit = credits.entry(part.pool.service.clone()).or_insert(0);
            *credit += i64::from(part.weight);
            if *credit > highest && part.weight > 0 {
                highest = *credit;
                chosen = part;
            }
        }
        if let Some(credit) = credits.get_mut(&chosen.pool.service) {
            *credit -= total;
        }
        chosen
    }

    /// Forgets routes that are no longer in force.
    pub fn retain(&mut self, is_in_force: impl Fn(&str) -> bool) {
        self.credits.retain(|name, _| is_in_force(name));
    }
}
