//! Finds the route of a request in one version of the configuration.

use crate::config::Config;
use crate::row::{Pool, Route};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A route and its pools, in the version that a request uses until it ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MatchedRoute {
    pub name: Arc<str>,
    pub route: Route,
    /// The pool that the route names in its `pool` field.
    pub pool: Pool,
    /// The pools that share the route's requests, with their weights. Never empty.
    pub pools: Vec<WeightedPool>,
}

/// One pool of a route and its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedPool {
    pub pool: Pool,
    pub weight: u32,
}

/// The routes of one version by host, the most specific first.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: u64,
    by_host: BTreeMap<Arc<str>, Vec<Arc<MatchedRoute>>>,
}

impl RouteTable {
    pub fn new(config: &Config) -> Self {
        let mut by_host: BTreeMap<Arc<str>, Vec<Arc<MatchedRoute>>> = BTreeMap::new();
        for (name, row) in &config.tables.routes {
            let route = row.value.clone();
            let pool_of = |name: &Arc<str>| {
                let pool = config.tables.pools.get(name);
                pool.expect("every pool of a route in a valid configuration exists").value.clone()
            };
            let pool = pool_of(&route.pool);
            let mut pools: Vec<WeightedPool> = route
                .weights
                .iter()
                .map(|(name, weight)| WeightedPool { pool: pool_of(name), weight: *weight })
                .collect();
            if pools.is_empty() {
                pools.push(WeightedPool { pool: pool.clone(), weight: 1 });
            }
            let matched = MatchedRoute { name: name.clone(), route, pool, pools };
            by_host.entry(matched.route.host.clone()).or_default().push(Arc::new(matched));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|matched| {
                let route = &matched.route;
                (std::cmp::Reverse(route.path_prefix.len()), route.methods.is_empty())
            });
        }
        Self { version: config.version, by_host }
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    /// Finds the most specific route: the one with the longest path prefix, and among those one
    /// that names the method before one for every method.
    pub fn find(&self, host: &str, path: &str, method: &str) -> Option<&Arc<MatchedRoute>> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|matched| {
            let route = &matched.route;
            path_matches(path, &route.path_prefix)
                && (route.methods.is_empty() || route.methods.contains(method))
        })
    }
}

/// Whether the path equals the prefix or continues it at a slash.
fn path_matches(path: &str, prefix: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/'),
        None => false,
    }
}

/// Whether a request with this method may run more than once, whatever its route says.
pub fn is_method_idempotent(method: &str) -> bool {
    matches!(method, "GET" | "HEAD")
}
