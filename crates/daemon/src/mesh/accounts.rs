//! The client account of a request, and what depends on it at the origin.

use super::Mesh;
use http::HeaderMap;
use pomeloreach_core::account::combined_rank;
use pomeloreach_core::account_index::{AccountIndex, KeyProblem, MatchedAccount};
use pomeloreach_core::matching::MatchedRoute;
use pomeloreach_platform::headers;
use std::sync::Arc;

/// Determines the client account of a request, and counts the request for it. `accounts` must be those
/// of the version in force.
///
/// # Errors
///
/// Returns what is wrong with the key if the request must be refused.
pub fn account_of(
    mesh: &Mesh,
    accounts: &AccountIndex,
    route: &MatchedRoute,
    request_headers: &HeaderMap,
) -> Result<Option<Arc<MatchedAccount>>, KeyProblem> {
    let key = headers::caller_key(request_headers);
    if accounts.is_empty() && key.is_none() {
        return Ok(None);
    }
    let is_current = mesh.config_state().is_current(mesh.newest_known_version());
    let found = accounts.account_for(route.route.is_public, key, is_current);
    match &found {
        Ok(Some(account)) => mesh.metrics.account_request_started(&account.name),
        Ok(None) => {}
        Err(problem) => mesh.metrics.key_refused(*problem),
    }
    found
}

/// The rank of a request in the queues of targets. A request without an account has the highest
/// account priority: it can be a call that a target sends for a request that it runs, which must not
/// queue behind requests such as that one.
pub fn rank(account: Option<&MatchedAccount>, route: &MatchedRoute) -> u8 {
    combined_rank(account.map_or(0, |account| account.priority), route.route.priority)
}
