//! The configuration as it is published in the store.

use crate::account::Account;
use crate::account_index::AccountIndex;
use crate::check::check_consistency;
use crate::code::ResultCode;
use crate::config::{Config, Refusal, Row, Tables};
use crate::digest::digest_hex;
use crate::matching::RouteTable;
use crate::row::{Pool, Route};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The limits for requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    pub header_bytes_max: u32,
    pub body_bytes_max: u32,
    pub header_timeout_ms: u32,
    pub idle_timeout_ms: u32,
}

impl Default for CallerLimits {
    /// The limits until a configuration sets others: the same as on the caller port of a daemon
    /// without a mesh.
    fn default() -> Self {
        Self {
            header_bytes_max: 64 * 1024,
            body_bytes_max: 4 * 1024 * 1024,
            header_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
        }
    }
}

/// The result of a request for which the version in force has no route. Callers do not repeat a
/// request that has no route, so this must not be the result while a newer version may have one.
pub fn missing_route_code(version_in_force: u64, newest_known_version: u64) -> ResultCode {
    if newest_known_version > version_in_force {
        ResultCode::ConfigOutdated
    } else {
        ResultCode::NoRoute
    }
}

/// The rows of one published version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedConfig {
    pub version: u64,
    pub routes: BTreeMap<Arc<str>, Route>,
    pub pools: BTreeMap<Arc<str>, Pool>,
    /// The client accounts; without any, callers need no key.
    #[serde(default)]
    pub accounts: BTreeMap<Arc<str>, Account>,
    pub limits: CallerLimits,
}

impl PublishedConfig {
    /// A digest of the version, so that a daemon that applied row changes can check that it holds
    /// the same rows as the sender.
    pub fn digest(&self) -> String {
        digest_hex(self)
    }

    /// Checks that the configuration is consistent, and builds the route table for requests. Sizes
    /// are not checked: the store that published the version bounds them.
    ///
    /// # Errors
    ///
    /// Returns the first violation; the whole version is then refused.
    pub fn route_table(&self) -> Result<RouteTable, Refusal> {
        let tables = Tables {
            routes: versioned_rows(&self.routes, self.version),
            pools: versioned_rows(&self.pools, self.version),
        };
        check_consistency(&tables)?;
        let (edits, refusals) = (BTreeMap::new(), BTreeMap::new());
        Ok(RouteTable::new(&Config { version: self.version, tables, edits, refusals }))
    }

    /// Builds the index of the accounts by the digests of their keys.
    ///
    /// # Errors
    ///
    /// Returns a refusal of the whole version if two accounts have the same key.
    pub fn account_index(&self) -> Result<AccountIndex, Refusal> {
        AccountIndex::new(&self.accounts)
    }

    /// The services of all pools that a route refers to.
    pub fn routed_services(&self) -> BTreeSet<Arc<str>> {
        let pools = self
            .routes
            .values()
            .flat_map(|route| std::iter::once(&route.pool).chain(route.weights.keys()));
        pools.filter_map(|pool| self.pools.get(pool)).map(|pool| pool.service.clone()).collect()
    }
}

/// Converts rows to those of [`Tables`], with `version` as the version of their last change.
fn versioned_rows<T: Clone>(
    table: &BTreeMap<Arc<str>, T>,
    version: u64,
) -> BTreeMap<Arc<str>, Arc<Row<T>>> {
    let row = |value: &T| Arc::new(Row { changed_in: version, value: value.clone() });
    table.iter().map(|(name, value)| (name.clone(), row(value))).collect()
}
