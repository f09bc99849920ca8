//! The rows that lately changed, so that a daemon gets what it lacks and no more.
//!
//! Only the names of changed rows are kept. Their values are those of the newest version, which is
//! what a receiver needs, whatever changed in between.

use crate::mesh::delta::Delta;
use crate::mesh::published::PublishedConfig;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Steps that are kept: a minute of changes a second, or ten seconds of the quickest succession
/// that was seen. A daemon that is further behind gets all rows.
const STEPS_MAX: usize = 64;

/// What one step from a held version to the next one changed.
#[derive(Clone, Debug)]
struct VersionStep {
    base_version: u64,
    version: u64,
    routes: BTreeSet<Arc<str>>,
    pools: BTreeSet<Arc<str>>,
}

/// The last steps of one daemon.
#[derive(Clone, Debug, Default)]
pub struct RowHistory {
    steps: VecDeque<VersionStep>,
}

impl RowHistory {
    /// Notes that one version replaces another.
    pub fn record(&mut self, base: &PublishedConfig, next: &PublishedConfig) {
        let step = VersionStep {
            base_version: base.version,
            version: next.version,
            routes: changed_names(&base.routes, &next.routes),
            pools: changed_names(&base.pools, &next.pools),
        };
        self.steps.push_back(step);
        while self.steps.len() > STEPS_MAX {
            self.steps.pop_front();
        }
    }

    /// What turns a held version into the newest one. The held version may be one that this daemon
    /// never had; the digest in the result tells the receiver whether all it needs was there.
    pub fn delta_since(&self, held_version: u64, newest: &PublishedConfig, digest: &str) -> Delta {
        let covers_held = self.steps.front().is_some_and(|step| step.base_version <= held_version);
        if held_version == 0 || !covers_held {
            return Delta::between(&PublishedConfig::default(), newest);
        }
        let later_steps = || self.steps.iter().filter(|step| step.version > held_version);
        let routes: BTreeSet<_> = later_steps().flat_map(|step| &step.routes).collect();
        let pools: BTreeSet<_> = later_steps().flat_map(|step| &step.pools).collect();
        let route_of = |name: &Arc<str>| (name.clone(), newest.routes.get(name).cloned());
        let pool_of = |name: &Arc<str>| (name.clone(), newest.pools.get(name).cloned());
        Delta {
            base_version: held_version,
            version: newest.version,
            routes: routes.into_iter().map(route_of).collect(),
            pools: pools.into_iter().map(pool_of).collect(),
            limits: newest.limits,
            digest: digest.to_string(),
        }
    }
}

fn changed_names<T: PartialEq>(
    base: &BTreeMap<Arc<str>, T>,
    next: &BTreeMap<Arc<str>, T>,
) -> BTreeSet<Arc<str>> {
    let set = next.iter().filter(|(name, value)| base.get(*name) != Some(*value));
    let deleted = base.keys().filter(|name| !next.contains_key(*name));
    set.map(|(name, _)| name.clone()).chain(deleted.cloned()).collect()
}
