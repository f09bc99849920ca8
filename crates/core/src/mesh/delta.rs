//! Row changes between two published versions, so that the size of an update depends on what
//! changed.

use crate::account::Account;
use crate::mesh::published::{CallerLimits, PublishedConfig};
use crate::row::{Pool, Route};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The changes that turn one version into another. A row without a value is deleted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The version that the changes apply to; 0 is the empty configuration.
    pub base_version: u64,
    pub version: u64,
    pub routes: BTreeMap<Arc<str>, Option<Route>>,
    pub pools: BTreeMap<Arc<str>, Option<Pool>>,
    #[serde(default)]
    pub accounts: BTreeMap<Arc<str>, Option<Account>>,
    pub limits: CallerLimits,
    /// The digest of the configuration after the changes.
    pub digest: String,
}

impl Delta {
    /// The changes from `base` to `next`.
    pub fn between(base: &PublishedConfig, next: &PublishedConfig) -> Self {
        Self {
            base_version: base.version,
            version: next.version,
            routes: row_changes(&base.routes, &next.routes),
            pools: row_changes(&base.pools, &next.pools),
            accounts: row_changes(&base.accounts, &next.accounts),
            limits: next.limits,
            digest: next.digest(),
        }
    }

    /// Applies the changes. Returns `None` if `base` has another version or the result has another
    /// digest.
    pub fn apply(&self, base: &PublishedConfig) -> Option<PublishedConfig> {
        if base.version != self.base_version {
            return None;
        }
        let next = PublishedConfig {
            version: self.version,
            routes: apply_changes(&base.routes, &self.routes),
            pools: apply_changes(&base.pools, &self.pools),
            accounts: apply_changes(&base.accounts, &self.accounts),
            limits: self.limits,
        };
        (next.digest() == self.digest).then_some(next)
    }
}

/// The rows that were set or deleted.
fn row_changes<T: Clone + PartialEq>(
    base: &BTreeMap<Arc<str>, T>,
    next: &BTreeMap<Arc<str>, T>,
) -> BTreeMap<Arc<str>, Option<T>> {
    let set = next.iter().filter(|(name, value)| base.get(*name) != Some(*value));
    let deleted = base.keys().filter(|name| !next.contains_key(*name));
    set.map(|(name, value)| (name.clone(), Some(value.clone())))
        .chain(deleted.map(|name| (name.clone(), None)))
        .collect()
}

/// A copy of `base` with the changes applied.
fn apply_changes<T: Clone>(
    base: &BTreeMap<Arc<str>, T>,
    changes: &BTreeMap<Arc<str>, Option<T>>,
) -> BTreeMap<Arc<str>, T> {
    let mut next = base.clone();
    for (name, value) in changes {
        match value {
            Some(value) => next.insert(name.clone(), value.clone()),
            None => next.remove(name),
        };
    }
    next
}
