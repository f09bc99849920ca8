//! Finds the route of a request in one version of the configuration.

use crate::config::Config;
use crate::row::{Pool, Route};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A route with its pool, as one request sees them from beginning to end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MatchedRoute {
    pub name: Arc<str>,
    pub route: Route,
    pub pool: Pool,
    /// The pools that share the route's requests, with their weights. Never empty.
    pub pools: Vec<WeightedPool>,
}

/// One pool of a route and the weight it has.
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
                pool.expect("a held route always has its pool").value.clone()
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

    /// The most specific route: the longest path prefix, then one that names the method.
    pub fn find(&self, host: &str, path: &str, method: &str) -> Option<&Arc<MatchedRoute>> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|matched| {
            let route = &matched.route;
            is_under(path, &route.path_prefix)
                && (route.methods.is_empty() || route.methods.contains(method))
        })
    }
}

fn is_under(path: &str, prefix: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/'),
        None => false,
    }
}

/// Whether the method alone says that a request may run more than once.
pub fn is_method_idempotent(method: &str) -> bool {
    matches!(method, "GET" | "HEAD")
}
