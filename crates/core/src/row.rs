//! The rows of the two tables that operators edit, see `docs/SETTINGS.md` for every field.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use strum::{Display, EnumString};

/// Which table a row belongs to.
#[derive(
    Clone, Copy, Debug, Display, EnumString, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum TableName {
    Routes,
    Pools,
}

/// Which requests go to which pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The value of the request's `Host` header, without a port.
    pub host: Arc<str>,
    /// The route matches paths that equal this prefix or continue it after a slash.
    #[serde(default = "default_path_prefix")]
    pub path_prefix: Arc<str>,
    /// The methods that the route matches; empty means every method.
    #[serde(default)]
    pub methods: BTreeSet<Arc<str>>,
    /// The row of the pools table that serves the route.
    pub pool: Arc<str>,
    /// Whether requests may run more than once. GET and HEAD always may.
    #[serde(default)]
    pub idempotent: bool,
    /// The time a request has from its arrival, in milliseconds, unless the caller gives less.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u32,
    /// Pools that share the route's requests by weight; empty means that `pool` takes all of them.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub weights: BTreeMap<Arc<str>, u32>,
    /// The time within which an answer is worth most to the caller, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_latency_ms: Option<u32>,
    /// The rank of the route's requests where they compete; 0 goes first.
    #[serde(default, skip_serializing_if = "is_default")]
    pub priority: u8,
    /// How many targets one request may reach; absent means what the pool says.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempts_max: Option<u8>,
}

/// Which targets serve a named destination.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The service that targets announce.
    pub service: Arc<str>,
    /// The regions whose targets may serve the pool; empty means every region.
    #[serde(default)]
    pub regions: BTreeSet<Arc<str>>,
    /// How many attempts one request may take, the first included.
    #[serde(default = "default_attempts_max")]
    pub attempts_max: u8,
    /// The share of recent requests that may be retried, in percent.
    #[serde(default = "default_retry_budget_percent")]
    pub retry_budget_percent: u8,
    /// The largest share of the pool that may be ejected on evidence, in percent.
    #[serde(default = "default_ejected_max_percent")]
    pub ejected_max_percent: u8,
    /// How long a target that became ready takes to reach its full share, in milliseconds.
    #[serde(default = "default_slow_start_ms")]
    pub slow_start_ms: u32,
    /// Connections that one target accepts from all callers; absent means no bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connections_max: Option<u32>,
}

impl Pool {
    /// A pool of one service with every other field at its default.
    pub fn with_defaults(service: Arc<str>) -> Self {
        Self {
            service,
            regions: BTreeSet::new(),
            attempts_max: default_attempts_max(),
            retry_budget_percent: default_retry_budget_percent(),
            ejected_max_percent: default_ejected_max_percent(),
            slow_start_ms: default_slow_start_ms(),
            connections_max: None,
        }
    }
}

fn is_default(value: &u8) -> bool {
    *value == 0
}

fn default_path_prefix() -> Arc<str> {
    "/".into()
}

fn default_deadline_ms() -> u32 {
    5_000
}

fn default_attempts_max() -> u8 {
    3
}

fn default_retry_budget_percent() -> u8 {
    20
}

fn default_ejected_max_percent() -> u8 {
    50
}

fn default_slow_start_ms() -> u32 {
    3_000
}
