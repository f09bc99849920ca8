//! One configuration as the operators published it.

use crate::check::check_tables;
use crate::config::{Config, Refusal, Row, Tables};
use crate::digest::digest_hex;
use crate::matching::RouteTable;
use crate::row::{Pool, Route};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What a caller may send, and how long it may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    pub header_bytes_max: u32,
    pub body_bytes_max: u32,
    pub header_timeout_ms: u32,
    pub idle_timeout_ms: u32,
}

impl Default for CallerLimits {
    /// The limits in force until a configuration names others: those of the product's own port.
    fn default() -> Self {
        Self {
            header_bytes_max: 64 * 1024,
            body_bytes_max: 4 * 1024 * 1024,
            header_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
        }
    }
}

/// The rows of one published version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedConfig {
    pub version: u64,
    pub routes: BTreeMap<Arc<str>, Route>,
    pub pools: BTreeMap<Arc<str>, Pool>,
    pub limits: CallerLimits,
}

impl PublishedConfig {
    /// Identifies the rows, so that a daemon that applied row changes can tell that it holds the
    /// same as the sender.
    pub fn digest(&self) -> String {
        digest_hex(self)
    }

    /// Checks the whole version, and indexes it for requests.
    ///
    /// # Errors
    ///
    /// Refuses the version whole for the first thing that is wrong with it.
    pub fn route_table(&self) -> Result<RouteTable, Refusal> {
        let tables = Tables {
            routes: versioned_rows(&self.routes, self.version),
            pools: versioned_rows(&self.pools, self.version),
        };
        check_tables(&tables)?;
        let (edits, refusals) = (BTreeMap::new(), BTreeMap::new());
        Ok(RouteTable::new(&Config { version: self.version, tables, edits, refusals }))
    }

    /// The services that some route leads to.
    pub fn routed_services(&self) -> BTreeSet<Arc<str>> {
        let pools = self
            .routes
            .values()
            .flat_map(|route| std::iter::once(&route.pool).chain(route.weights.keys()));
        pools.filter_map(|pool| self.pools.get(pool)).map(|pool| pool.service.clone()).collect()
    }
}

fn versioned_rows<T: Clone>(
    table: &BTreeMap<Arc<str>, T>,
    version: u64,
) -> BTreeMap<Arc<str>, Arc<Row<T>>> {
    let row = |value: &T| Arc::new(Row { changed_in: version, value: value.clone() });
    table.iter().map(|(name, value)| (name.clone(), row(value))).collect()
}
