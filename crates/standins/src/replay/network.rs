//! The network between the daemons.

use super::Simulation;

/// The one-way latency between two zones of a region and between two regions, in milliseconds.
const ZONE_ONE_WAY_MS: u64 = 2;
const REGION_ONE_WAY_MS: u64 = 31;

impl Simulation<'_> {
    /// Returns the one-way latency between two daemons, in milliseconds: 1 within a zone, and 0 from a
    /// daemon to itself.
    pub(super) fn one_way_ms(&self, from: usize, to: usize) -> u64 {
        let (from_daemon, to_daemon) = (&self.daemons[from], &self.daemons[to]);
        if from == to {
            0
        } else if from_daemon.region != to_daemon.region {
            REGION_ONE_WAY_MS
        } else if from_daemon.zone != to_daemon.zone {
            ZONE_ONE_WAY_MS
        } else {
            1
        }
    }
}
