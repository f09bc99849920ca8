//! How targets are chosen: by the code of the daemon, or by a baseline.

use super::Simulation;
use pomeloreach_core::mesh::placer::{self, Placement, PlacementQuery};
use pomeloreach_core::mesh::state::TargetLoad;
use std::sync::Arc;
use strum::{Display, EnumIter, EnumString};

/// How targets are chosen and how their daemons queue requests.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// The daemon's policy: the placer chooses a target, and the target's daemon may refuse a request
    /// so that it is tried elsewhere.
    Placer,
    /// The placer, but the target's daemon doesn't refuse a request because another target has become
    /// the better choice.
    PlacerWithoutBounce,
    /// The placer, but the target's daemon queues requests in the order of their arrival instead of the
    /// fair order between accounts.
    ArrivalOrder,
    /// A random target, with the daemon's admission queue.
    Random,
    /// Targets in turn, with the daemon's admission queue.
    RoundRobin,
    /// The target with the fewest requests in its last load report, with the daemon's admission queue.
    LeastLoaded,
    /// A random target, with a queue of 1000 requests per slot that ignores goals and ranks.
    NoGuard,
}

impl Policy {
    fn uses_placer(self) -> bool {
        matches!(self, Self::Placer | Self::PlacerWithoutBounce | Self::ArrivalOrder)
    }
}

impl Simulation<'_> {
    /// Chooses a target by the policy.
    pub(super) fn choose_target(&mut self, request: usize) -> Placement {
        let random = self.random();
        let (origin, kind) = (self.requests[request].origin, self.requests[request].kind);
        let tried = self.requests[request].attempts.tried_daemons().clone();
        let left_ms = self.requests[request].attempts.left_ms(self.now_ms);
        let origin_state = self.daemon_state(origin);
        let origin_target = origin_state.target.as_ref();
        if self.policy.uses_placer() {
            let query = PlacementQuery {
                service: "s",
                tried_daemons: &tried,
                is_idempotent: kind.is_idempotent,
                rank: kind.rank,
                goal_left_ms: (self.requests[request].first_sent_ms + kind.goal_ms)
                    .saturating_sub(self.now_ms),
                left_ms,
                service_ms: self.typical_times[self.requests[request].kind_index].service_ms,
                body_bytes: 0,
                random,
            };
            return placer::choose(&self.daemons[origin].peers, origin_target, &query, self.now_ms);
        }
        let candidates: Vec<(Arc<str>, TargetLoad)> = self.daemons[origin]
            .peers
            .linked()
            .filter(|peer| !tried.contains(&peer.record.name))
            .filter_map(|peer| Some((peer.record.name.clone(), peer.ready_target()?.load)))
            .collect();
        let chosen = match self.policy {
            Policy::RoundRobin => {
                self.round_robin_index += 1;
                candidates.get(self.round_robin_index % candidates.len().max(1))
            }
            Policy::LeastLoaded => {
                candidates.iter().min_by_key(|(_, load)| load.running + load.waiting)
            }
            _ => candidates.get((random * candidates.len() as f64) as usize),
        };
        chosen.map_or(Placement::NoTarget, |(name, _)| Placement::Peer {
            name: name.clone(),
            target_id: "t".into(),
            wait_max_ms: None,
        })
    }
}
