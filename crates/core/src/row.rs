//! The rows of the two tables that operators edit, see `docs/SETTINGS.md` for every field.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
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
