//! The rows of the two tables that operators edit; see `docs/SETTINGS.md` for every field.

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

/// A row of the routes table: which requests go to which pool.
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
    /// Name of the row of the pools table that serves the route.
    pub pool: Arc<str>,
    /// Whether requests may run more than once. GET and HEAD always may.
    #[serde(default)]
    pub idempotent: bool,
    /// The time from the arrival of a request to its deadline, in milliseconds, unless the caller
    /// sets a shorter one.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u32,
    /// Pools that share the route's requests by weight; empty means that `pool` gets all of them.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub weights: BTreeMap<Arc<str>, u32>,
    /// The latency goal, in milliseconds: a response within this time is worth most to the caller.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_latency_ms: Option<u32>,
    /// The rank of the route's requests in a target's queue; 0 runs first.
    #[serde(default, skip_serializing_if = "is_default")]
    pub priority: u8,
    /// Maximum number of targets that one request may reach; absent means `attempts_max` of the
    /// pool.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempts_max: Option<u8>,
    /// Whether callers need no API key, although the configuration has client accounts.
    #[serde(default, rename = "public", skip_serializing_if = "std::ops::Not::not")]
    pub is_public: bool,
}

/// A row of the pools table: which targets serve the routes that name it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The service name that the pool's targets announce.
    pub service: Arc<str>,
    /// The regions whose targets may serve the pool; empty means every region.
    #[serde(default)]
    pub regions: BTreeSet<Arc<str>>,
    /// Maximum number of attempts of one request, including the first.
    #[serde(default = "default_attempts_max")]
    pub attempts_max: u8,
    /// The number of retries allowed, in percent of the recent requests.
    #[serde(default = "default_retry_budget_percent")]
    pub retry_budget_percent: u8,
    /// If more than this share of the candidate targets is ejected because attempts failed or the
    /// target was unavailable, in percent, the ejections are ignored.
    #[serde(default = "default_ejected_max_percent")]
    pub ejected_max_percent: u8,
    /// The time in which the traffic share of a target that became ready grows to the full share,
    /// in milliseconds.
    #[serde(default = "default_slow_start_ms")]
    pub slow_start_ms: u32,
    /// Maximum number of connections to one target from all callers; absent means no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connections_max: Option<u32>,
}

impl Pool {
    /// A pool of this service with the default of every other field.
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
