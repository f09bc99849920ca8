//! The one validation that publishers and every daemon run, with the same result everywhere.

use crate::code::ResultCode;
use crate::config::{Refusal, Tables};
use crate::row::{Pool, Route};
use std::collections::BTreeMap;

/// Rows in one table.
pub const ROWS_MAX: usize = 4_096;
/// Characters in a name.
pub const NAME_CHARS_MAX: usize = 63;
/// Characters in a path prefix.
pub const PATH_PREFIX_CHARS_MAX: usize = 256;
/// Names in one set of a row.
pub const SET_NAMES_MAX: usize = 16;
/// The longest deadline of a route, in milliseconds.
pub const DEADLINE_MS_MAX: u32 = 600_000;
/// The largest weight of a pool in a route.
pub const WEIGHT_MAX: u32 = 1_000_000;
/// The most attempts of one request.
pub const ATTEMPTS_MAX: u8 = 10;
/// The longest slow start of a target, in milliseconds.
pub const SLOW_START_MS_MAX: u32 = 600_000;

/// Checks every row, and that each route's pool exists and no two routes match the same requests.
pub fn check_tables(tables: &Tables) -> Result<(), Refusal> {
    check_count("routes", tables.routes.len())?;
    check_count("pools", tables.pools.len())?;
    for (name, row) in &tables.pools {
        check_pool(name, &row.value)?;
    }
    for (name, row) in &tables.routes {
        check_route(name, &row.value)?;
        let named = std::iter::once(&row.value.pool).chain(row.value.weights.keys());
        for pool in named {
            if !tables.pools.contains_key(pool) {
                let reason = format!("route '{name}' names pool '{pool}', which does not exist");
                return Err(Refusal::new(ResultCode::VersionPoolMissing, reason));
            }
        }
    }
    check_ambiguity(tables)
}

fn check_count(table: &str, rows: usize) -> Result<(), Refusal> {
    if rows <= ROWS_MAX {
        return Ok(());
    }
    Err(out_of_bounds(format!("table '{table}' has {rows} rows, more than {ROWS_MAX}")))
}

fn check_route(name: &str, route: &Route) -> Result<(), Refusal> {
    let place = format!("route '{name}'");
    check_name(&place, "its name", name)?;
    check_name(&place, "host", &route.host)?;
    check_name(&place, "pool", &route.pool)?;
    check_set(&place, "methods", route.methods.len())?;
    for method in &route.methods {
        if method.is_empty() || method.len() > 16 || !method.bytes().all(|b| b.is_ascii_uppercase())
        {
            return Err(out_of_bounds(format!("{place}: method '{method}' is not an HTTP method")));
        }
    }
    let path = &route.path_prefix;
    if !path.starts_with('/') || path.len() > PATH_PREFIX_CHARS_MAX || !path.is_ascii() {
        return Err(out_of_bounds(format!(
            "{place}: path_prefix must start with '/' and have at most {PATH_PREFIX_CHARS_MAX} \
             ASCII characters"
        )));
    }
    check_set(&place, "weights", route.weights.len())?;
    for (pool, weight) in &route.weights {
        check_name(&place, "pool", pool)?;
        check_range(&place, "weight", *weight, 0, WEIGHT_MAX)?;
    }
    if !route.weights.is_empty() && route.weights.values().all(|weight| *weight == 0) {
        return Err(out_of_bounds(format!("{place}: every weight is 0")));
    }
    if let Some(attempts_max) = route.attempts_max {
        check_range(&place, "attempts_max", attempts_max.into(), 1, ATTEMPTS_MAX.into())?;
    }
    if let Some(target_latency_ms) = route.target_latency_ms {
        check_range(&place, "target_latency_ms", target_latency_ms, 1, DEADLINE_MS_MAX)?;
    }
    check_range(&place, "deadline_ms", route.deadline_ms, 1, DEADLINE_MS_MAX)
}

fn check_pool(name: &str, pool: &Pool) -> Result<(), Refusal> {
    let place = format!("pool '{name}'");
    check_name(&place, "its name", name)?;
    check_name(&place, "service", &pool.service)?;
    check_set(&place, "regions", pool.regions.len())?;
    for region in &pool.regions {
        check_name(&place, "region", region)?;
    }
    check_range(&place, "attempts_max", pool.attempts_max.into(), 1, ATTEMPTS_MAX.into())?;
    check_range(&place, "retry_budget_percent", pool.retry_budget_percent.into(), 0, 100)?;
    check_range(&place, "ejected_max_percent", pool.ejected_max_percent.into(), 0, 100)?;
    check_range(&place, "slow_start_ms", pool.slow_start_ms, 0, SLOW_START_MS_MAX)
}

/// Whether a name can stand in a table, a setting or an announcement.
pub fn is_valid_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= NAME_CHARS_MAX
        && name.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-.".contains(&b))
}

fn check_name(place: &str, field: &str, name: &str) -> Result<(), Refusal> {
    if is_valid_name(name) {
        return Ok(());
    }
    Err(out_of_bounds(format!(
        "{place}: {field} must have 1 to {NAME_CHARS_MAX} characters of a-z, 0-9, '-' and '.'"
    )))
}

fn check_set(place: &str, field: &str, names: usize) -> Result<(), Refusal> {
    if names <= SET_NAMES_MAX {
        return Ok(());
    }
    Err(out_of_bounds(format!("{place}: {field} has {names} names, more than {SET_NAMES_MAX}")))
}

fn check_range(place: &str, field: &str, value: u32, min: u32, max: u32) -> Result<(), Refusal> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(out_of_bounds(format!("{place}: {field} is {value}, outside {min} to {max}")))
}

fn check_ambiguity(tables: &Tables) -> Result<(), Refusal> {
    let mut same_match: BTreeMap<(&str, &str), Vec<&str>> = BTreeMap::new();
    for (name, row) in &tables.routes {
        let route = &row.value;
        let same = same_match.entry((&route.host, &route.path_prefix)).or_default();
        let collides = |other: &&&str| methods_collide(&tables.routes[**other].value, route);
        if let Some(other) = same.iter().find(collides) {
            let reason = format!("routes '{other}' and '{name}' match the same requests");
            return Err(Refusal::new(ResultCode::VersionRouteAmbiguous, reason));
        }
        same.push(name);
    }
    Ok(())
}

/// A route with methods is more specific than one for every method, so these two never collide.
fn methods_collide(left: &Route, right: &Route) -> bool {
    if left.methods.is_empty() || right.methods.is_empty() {
        return left.methods.is_empty() && right.methods.is_empty();
    }
    left.methods.intersection(&right.methods).next().is_some()
}

fn out_of_bounds(reason: String) -> Refusal {
    Refusal::new(ResultCode::VersionRowOutOfBounds, reason)
}
