//! The names of recently changed rows, so that a peer receives only the rows that it lacks.
//!
//! Only names are kept. A delta carries the rows' values in the newest version, which are what the
//! receiver needs whatever changed in between.

use crate::mesh::delta::Delta;
use crate::mesh::published::PublishedConfig;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// The number of steps that are kept: one minute at one change per second, or ten seconds at the
/// highest observed rate of changes. A peer that is further behind receives all rows.
const STEPS_MAX: usize = 64;

/// The names of the rows that changed from one version that this daemon held to the next.
#[derive(Clone, Debug)]
struct VersionStep {
    base_version: u64,
    version: u64,
    routes: BTreeSet<Arc<str>>,
    pools: BTreeSet<Arc<str>>,
    accounts: BTreeSet<Arc<str>>,
}

/// The latest version steps of this daemon, the oldest first.
#[derive(Clone, Debug, Default)]
pub struct RowHistory {
    steps: VecDeque<VersionStep>,
}

impl RowHistory {
    /// Records that `next` replaces `base`.
    pub fn record(&mut self, base: &PublishedConfig, next: &PublishedConfig) {
        let step = VersionStep {
            base_version: base.version,
            version: next.version,
            routes: changed_names(&base.routes, &next.routes),
            pools: changed_names(&base.pools, &next.pools),
            accounts: changed_names(&base.accounts, &next.accounts),
        };
        self.steps.push_back(step);
        while self.steps.len() > STEPS_MAX {
            self.steps.pop_front();
        }
    }

    /// The changes from the version that the receiver holds to the newest one, or all rows if the
    /// history does not go back that far. If this daemon never held that version, changes can be
    /// missing; the receiver detects it by the digest.
    pub fn delta_since(&self, held_version: u64, newest: &PublishedConfig, digest: &str) -> Delta {
        let covers_held = self.steps.front().is_some_and(|step| step.base_version <= held_version);
        if held_version == 0 || !covers_held {
            return Delta::between(&PublishedConfig::default(), newest);
        }
        let later_steps = || self.steps.iter().filter(|step| step.version > held_version);
        let routes: BTreeSet<_> = later_steps().flat_map(|step| &step.routes).collect();
        let pools: BTreeSet<_> = later_steps().flat_map(|step| &step.pools).collect();
        let accounts: BTreeSet<_> = later_steps().flat_map(|step| &step.accounts).collect();
        let route_of = |name: &Arc<str>| (name.clone(), newest.routes.get(name).cloned());
        let pool_of = |name: &Arc<str>| (name.clone(), newest.pools.get(name).cloned());
        let account_of = |name: &Arc<str>| (name.clone(), newest.accounts.get(name).cloned());
        Delta {
            base_version: held_version,
            version: newest.version,
            routes: routes.into_iter().map(route_of).collect(),
            pools: pools.into_iter().map(pool_of).collect(),
            accounts: accounts.into_iter().map(account_of).collect(),
            limits: newest.limits,
            digest: digest.to_string(),
        }
    }
}

/// The names of the rows that were set or deleted.
fn changed_names<T: PartialEq>(
    base: &BTreeMap<Arc<str>, T>,
    next: &BTreeMap<Arc<str>, T>,
) -> BTreeSet<Arc<str>> {
    let set = next.iter().filter(|(name, value)| base.get(*name) != Some(*value));
    let deleted = base.keys().filter(|name| !next.contains_key(*name));
    set.map(|(name, _)| name.clone()).chain(deleted.cloned()).collect()
}
