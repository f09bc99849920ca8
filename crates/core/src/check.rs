//! Validation of the configuration tables. All daemons of a deployment run the same checks on the
//! same input, so that they all accept or refuse a version alike.
//!
//! Bounds on sizes apply to tables that operators edit with our commands, and publishers check them
//! too. They do not apply to a version that the platform's store has already accepted: daemons that
//! refuse it would stay with the version before it for as long as the store holds larger ones.

use crate::code::ResultCode;
use crate::config::{Refusal, Tables};
use crate::row::{Pool, Route};
use std::collections::BTreeMap;

/// Maximum number of rows in one table.
pub const ROWS_MAX: usize = 4_096;
/// Maximum length of a name, in characters.
pub const NAME_CHARS_MAX: usize = 63;
/// Maximum length of a path prefix, in characters.
pub const PATH_PREFIX_CHARS_MAX: usize = 256;
/// Maximum number of names in one set or map of a row.
pub const SET_NAMES_MAX: usize = 16;
/// Longest deadline of a route, in milliseconds.
pub const DEADLINE_MS_MAX: u32 = 600_000;
/// Largest weight of a pool in a route.
pub const WEIGHT_MAX: u32 = 1_000_000;
/// Maximum number of attempts of one request.
pub const ATTEMPTS_MAX: u8 = 10;
/// Longest slow start of a target, in milliseconds.
pub const SLOW_START_MS_MAX: u32 = 600_000;

/// Why a route with `public: true` is refused in the tables of our own deployment.
pub const PUBLIC_ROUTE_REASON: &str =
    "public must not be true, because these tables have no client accounts";

/// Checks that every row is within bounds, and that the tables are consistent.
pub fn check_tables(tables: &Tables) -> Result<(), Refusal> {
    check_row_count("routes", tables.routes.len())?;
    check_row_count("pools", tables.pools.len())?;
    for (name, row) in &tables.pools {
        check_pool(name, &row.value)?;
    }
    for (name, row) in &tables.routes {
        check_route(name, &row.value)?;
    }
    check_consistency(tables)
}

/// Checks what requests rely on, whatever the sizes: each route has a host, its pools exist, one of
/// them has a weight, and no two routes match the same requests.
pub fn check_consistency(tables: &Tables) -> Result<(), Refusal> {
    for (name, row) in &tables.routes {
        let weights = &row.value.weights;
        if row.value.host.is_empty() {
            return Err(out_of_bounds(format!("route '{name}' has no host")));
        }
        if !weights.is_empty() && weights.values().all(|weight| *weight == 0) {
            return Err(out_of_bounds(format!("route '{name}': every weight is 0")));
        }
        let pool_names = std::iter::once(&row.value.pool).chain(row.value.weights.keys());
        for pool in pool_names {
            if !tables.pools.contains_key(pool) {
                let reason = format!("route '{name}' names pool '{pool}', which does not exist");
                return Err(Refusal::new(ResultCode::VersionPoolMissing, reason));
            }
        }
    }
    check_ambiguous_routes(tables)
}

fn check_row_count(table: &str, rows: usize) -> Result<(), Refusal> {
    if rows <= ROWS_MAX {
        return Ok(());
    }
    Err(out_of_bounds(format!("table '{table}' has {rows} rows, more than {ROWS_MAX}")))
}

fn check_route(name: &str, route: &Route) -> Result<(), Refusal> {
    let label = format!("route '{name}'");
    check_name(&label, "its name", name)?;
    if route.is_public {
        return Err(out_of_bounds(format!("{label}: {PUBLIC_ROUTE_REASON}")));
    }
    check_name(&label, "host", &route.host)?;
    check_name(&label, "pool", &route.pool)?;
    check_set_size(&label, "methods", route.methods.len())?;
    for method in &route.methods {
        if method.is_empty() || method.len() > 16 || !method.bytes().all(|b| b.is_ascii_uppercase())
        {
            return Err(out_of_bounds(format!("{label}: method '{method}' is not an HTTP method")));
        }
    }
    let path = &route.path_prefix;
    if !path.starts_with('/') || path.len() > PATH_PREFIX_CHARS_MAX || !path.is_ascii() {
        return Err(out_of_bounds(format!(
            "{label}: path_prefix must start with '/' and have at most {PATH_PREFIX_CHARS_MAX} \
             ASCII characters"
        )));
    }
    check_set_size(&label, "weights", route.weights.len())?;
    for (pool, weight) in &route.weights {
        check_name(&label, "pool", pool)?;
        check_range(&label, "weight", *weight, 0, WEIGHT_MAX)?;
    }
    if let Some(attempts_max) = route.attempts_max {
        check_range(&label, "attempts_max", attempts_max.into(), 1, ATTEMPTS_MAX.into())?;
    }
    if let Some(target_latency_ms) = route.target_latency_ms {
        check_range(&label, "target_latency_ms", target_latency_ms, 1, DEADLINE_MS_MAX)?;
    }
    check_range(&label, "deadline_ms", route.deadline_ms, 1, DEADLINE_MS_MAX)
}

fn check_pool(name: &str, pool: &Pool) -> Result<(), Refusal> {
    let label = format!("pool '{name}'");
    check_name(&label, "its name", name)?;
    check_name(&label, "service", &pool.service)?;
    check_set_size(&label, "regions", pool.regions.len())?;
    for region in &pool.regions {
        check_name(&label, "region", region)?;
    }
    check_range(&label, "attempts_max", pool.attempts_max.into(), 1, ATTEMPTS_MAX.into())?;
    check_range(&label, "retry_budget_percent", pool.retry_budget_percent.into(), 0, 100)?;
    check_range(&label, "ejected_max_percent", pool.ejected_max_percent.into(), 0, 100)?;
    check_range(&label, "slow_start_ms", pool.slow_start_ms, 0, SLOW_START_MS_MAX)
}

/// Whether a name is valid in a table, a setting or an announcement.
pub fn is_valid_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= NAME_CHARS_MAX
        && name.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-.".contains(&b))
}

fn check_name(label: &str, field: &str, name: &str) -> Result<(), Refusal> {
    if is_valid_name(name) {
        return Ok(());
    }
    Err(out_of_bounds(format!(
        "{label}: {field} must have 1 to {NAME_CHARS_MAX} characters of a-z, 0-9, '-' and '.'"
    )))
}

fn check_set_size(label: &str, field: &str, names: usize) -> Result<(), Refusal> {
    if names <= SET_NAMES_MAX {
        return Ok(());
    }
    Err(out_of_bounds(format!("{label}: {field} has {names} names, more than {SET_NAMES_MAX}")))
}

fn check_range(label: &str, field: &str, value: u32, min: u32, max: u32) -> Result<(), Refusal> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(out_of_bounds(format!("{label}: {field} is {value}, outside {min} to {max}")))
}

fn check_ambiguous_routes(tables: &Tables) -> Result<(), Refusal> {
    let mut by_host_and_prefix: BTreeMap<(&str, &str), Vec<&str>> = BTreeMap::new();
    for (name, row) in &tables.routes {
        let route = &row.value;
        let others = by_host_and_prefix.entry((&route.host, &route.path_prefix)).or_default();
        let overlaps = |other: &&&str| methods_overlap(&tables.routes[**other].value, route);
        if let Some(other) = others.iter().find(overlaps) {
            let reason = format!("routes '{other}' and '{name}' match the same requests");
            return Err(Refusal::new(ResultCode::VersionRouteAmbiguous, reason));
        }
        others.push(name);
    }
    Ok(())
}

/// Whether two routes match a common method equally well. A route that names methods is more
/// specific than one for every method, so such a pair is not ambiguous.
fn methods_overlap(left: &Route, right: &Route) -> bool {
    if left.methods.is_empty() || right.methods.is_empty() {
        return left.methods.is_empty() && right.methods.is_empty();
    }
    left.methods.intersection(&right.methods).next().is_some()
}

fn out_of_bounds(reason: String) -> Refusal {
    Refusal::new(ResultCode::VersionRowOutOfBounds, reason)
}
