//! Chooses the target of an attempt by when it would answer and what the way there costs.
//!
//! Answers the load patterns of a burst in one availability zone, of targets that are slow or fail,
//! and of targets that have just started: each changes the expected time of an answer, and the
//! request goes where that is shortest. Distance has a price of its own, so that requests stay at
//! home while home is nearly as good.

use crate::endpoint::TargetState;
use crate::mesh::peers::{Peer, Peers};
use crate::mesh::state::{TargetLoad, TargetSummary};
use std::collections::BTreeSet;
use std::sync::Arc;

/// What sending a request to another VM of the same zone counts as, in milliseconds.
const SAME_ZONE_COST_MS: f64 = 4.0;
/// The round trip to another zone of the region with the price of its bytes, in milliseconds.
const SAME_REGION_COST_MS: f64 = 45.0;
/// The round trip to another region with the price of its bytes, in milliseconds.
const OTHER_REGION_COST_MS: f64 = 200.0;
/// The part of [`SAME_REGION_COST_MS`] and [`OTHER_REGION_COST_MS`] that is time, in milliseconds.
const SAME_REGION_RTT_MS: f64 = 4.0;
const OTHER_REGION_RTT_MS: f64 = 65.0;
/// What a certain failure counts as, in milliseconds: a caller's wait for a second attempt.
const FAILURE_COST_MS: f64 = 900.0;
/// How much more a failure weighs for a request that cannot be repeated.
const NON_IDEMPOTENT_FACTOR: f64 = 2.0;
/// What a call that was lost on the way lately counts as, in milliseconds.
const LOST_CALL_COST_MS: f64 = 400.0;
/// The share of the service time that a target loses while its last slots fill up.
const FULL_SLOWDOWN_SHARE: f64 = 0.5;
/// Scores differ at random by this share, so that daemons with the same reports do not all choose
/// the same target.
const SCORE_JITTER: f64 = 0.1;
/// The share of its slots that others may have taken at a target for each second since it last
/// reported.
const LOAD_DRIFT_PER_S: f64 = 0.1;
/// The bounds of how much slower than the mean of its service a target is taken to be.
const SLOWNESS_MIN: f64 = 0.4;
const SLOWNESS_MAX: f64 = 8.0;
/// The share of the time left within which a late request must be expected to end.
const LATE_TIME_SHARE: f64 = 0.6;
/// What asking another target costs in time, so that a wait shorter than this is no reason to, in
/// milliseconds: a round trip within a region and the work of three daemons.
const WAIT_SLACK_MS: f64 = 10.0;
/// The fractional part of the golden ratio; its multiples spread most evenly between 0 and 1.
const GOLDEN_RATIO: f64 = 0.618_033_988_75;
/// The service time of a target that nothing is known of, in milliseconds.
const DEFAULT_SERVICE_MS: f64 = 20.0;

/// What is asked of the placer.
#[derive(Clone, Debug)]
pub struct PlacementQuery<'a> {
    pub service: &'a str,
    /// Daemons whose targets were tried already.
    pub tried_daemons: &'a BTreeSet<Arc<str>>,
    pub is_idempotent: bool,
    /// The rank of the request; a lower one goes first.
    pub rank: u8,
    /// The time left until the caller's latency goal, in milliseconds.
    pub goal_ms: u64,
    /// The time left in all, in milliseconds.
    pub left_ms: u64,
    /// How long such a request usually takes at a target, in milliseconds; absent if unknown.
    pub service_ms: Option<f64>,
    /// A number from 0 to 1 for each daemon's own spread of choices.
    pub random: f64,
}

/// Where a request goes. `wait_max_ms` is the wait beyond which the next best target would have
/// been better; absent if there is none.
#[derive(Clone, Debug, PartialEq)]
pub enum Placement {
    /// To the target beside this daemon.
    Local { wait_max_ms: Option<u32> },
    /// To the target beside a peer.
    Peer { name: Arc<str>, target_id: Arc<str>, wait_max_ms: Option<u32> },
    /// Every target would answer too late.
    Full { retry_after_ms: u64 },
    /// No target of the service is known that could be tried.
    NoTarget,
}

/// The target of a candidate.
#[derive(Clone, Debug)]
enum Location {
    Local,
    Peer { name: Arc<str>, target_id: Arc<str> },
}

#[derive(Clone, Debug)]
struct Candidate {
    location: Location,
    /// When the answer is expected, in milliseconds from now.
    expected_ms: f64,
    /// The same if all that wait go first.
    expected_last_ms: f64,
    wait_ms: f64,
    is_same_region: bool,
    /// The expected time with prices and risks.
    score: f64,
}

/// A target that may be chosen, before its expected time is worked out.
struct ReachableTarget {
    location: Location,
    load: TargetLoad,
    /// Requests that the load report cannot know of yet, this daemon's own and those that others
    /// are likely to have sent.
    unreported_requests: f64,
    path_cost: PathCost,
    call_lost_recently: bool,
}

/// Chooses among the targets of a service.
pub fn choose(
    peers: &Peers,
    local: Option<&TargetSummary>,
    query: &PlacementQuery,
    now_ms: u64,
) -> Placement {
    let mut reachable: Vec<ReachableTarget> = Vec::new();
    if let Some(target) = local
        && is_usable(target, &peers.local().name, query)
    {
        let path_cost = PathCost { rtt_ms: 0.0, cost_ms: 0.0 };
        let (location, load) = (Location::Local, target.load);
        reachable.push(ReachableTarget {
            location,
            load,
            unreported_requests: 0.0,
            path_cost,
            call_lost_recently: false,
        });
    }
    for peer in peers.linked() {
        let Some(target) = peer.ready_target() else { continue };
        if !is_usable(target, &peer.record.name, query) {
            continue;
        }
        let location =
            Location::Peer { name: peer.record.name.clone(), target_id: target.id.clone() };
        let local_unreported =
            peer.unreported_calls.max(peer.outstanding_calls.saturating_sub(target.load.running));
        let age_s = now_ms.saturating_sub(peer.last_received_ms) as f64 / 1_000.0;
        let others_unreported = age_s * LOAD_DRIFT_PER_S * f64::from(target.load.slots);
        reachable.push(ReachableTarget {
            location,
            load: target.load,
            unreported_requests: f64::from(local_unreported) + others_unreported,
            path_cost: path_cost(peers, peer),
            call_lost_recently: peer.call_lost_recently(now_ms),
        });
    }
    let fleet_mean_ms =
        mean(reachable.iter().map(|reachable| f64::from(reachable.load.service_ms)));
    select(
        reachable.into_iter().map(|reachable| evaluate(reachable, fleet_mean_ms, query)).collect(),
        query,
    )
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (mut sum, mut count) = (0.0, 0.0);
    for value in values.filter(|value| *value > 0.0) {
        sum += value;
        count += 1.0;
    }
    if count > 0.0 { sum / count } else { DEFAULT_SERVICE_MS }
}

fn select(mut candidates: Vec<Candidate>, query: &PlacementQuery) -> Placement {
    // Spreads the scores by a sequence that differs from candidate to candidate.
    for (index, candidate) in candidates.iter_mut().enumerate() {
        let offset = (query.random + index as f64 * GOLDEN_RATIO).fract();
        candidate.score *= 1.0 + SCORE_JITTER * offset;
    }
    candidates.sort_by(|a, b| a.score.total_cmp(&b.score));
    let Some(best) = candidates.first() else { return Placement::NoTarget };
    let goal_ms = query.goal_ms as f64;
    // What will be late in any case is only tried nearby; far targets have callers of their own.
    let late_limit_ms = query.left_ms as f64 * LATE_TIME_SHARE;
    let chosen = candidates
        .iter()
        .find(|candidate| candidate.expected_ms <= goal_ms)
        .or_else(|| {
            candidates.iter().find(|c| c.is_same_region && c.expected_last_ms <= late_limit_ms)
        })
        .or_else(|| {
            candidates.iter().find(|c| c.wait_ms <= 0.0 && c.expected_last_ms <= late_limit_ms)
        });
    if let Some(chosen) = chosen {
        let others = candidates.iter().filter(|other| !std::ptr::eq(*other, chosen));
        let next_scores =
            others.filter(|other| other.expected_ms <= goal_ms).map(|other| other.score);
        // How much later the chosen target may be before the next best one is no worse.
        let margin_ms =
            next_scores.min_by(f64::total_cmp).map(|score| (score - chosen.score).max(0.0));
        let wait_max_ms =
            margin_ms.map(|margin_ms| (chosen.wait_ms + margin_ms + WAIT_SLACK_MS) as u32);
        return match chosen.location.clone() {
            Location::Local => Placement::Local { wait_max_ms },
            Location::Peer { name, target_id } => Placement::Peer { name, target_id, wait_max_ms },
        };
    }
    let soonest_ms = candidates.iter().map(|c| c.wait_ms).fold(best.wait_ms, f64::min);
    Placement::Full { retry_after_ms: soonest_ms as u64 }
}

fn is_usable(target: &TargetSummary, daemon: &Arc<str>, query: &PlacementQuery) -> bool {
    &*target.service == query.service
        && target.state == TargetState::Ready
        && !query.tried_daemons.contains(daemon)
}

#[derive(Clone, Copy, Debug)]
struct PathCost {
    /// The time for the way there and back, in milliseconds.
    rtt_ms: f64,
    /// That time and the price of the bytes, in milliseconds.
    cost_ms: f64,
}

fn path_cost(peers: &Peers, peer: &Peer) -> PathCost {
    let (local, other) = (peers.local(), &peer.record);
    if local.zone == other.zone {
        PathCost { rtt_ms: 1.0, cost_ms: SAME_ZONE_COST_MS }
    } else if local.region == other.region {
        PathCost { rtt_ms: SAME_REGION_RTT_MS, cost_ms: SAME_REGION_COST_MS }
    } else {
        PathCost { rtt_ms: OTHER_REGION_RTT_MS, cost_ms: OTHER_REGION_COST_MS }
    }
}

/// Works out when a target would answer. Its mean over all kinds of requests tells how long others
/// hold its slots, and how fast it is beside the rest of its service.
fn evaluate(reachable: ReachableTarget, fleet_mean_ms: f64, query: &PlacementQuery) -> Candidate {
    let ReachableTarget { location, load, unreported_requests, path_cost, call_lost_recently } =
        reachable;
    let slots = f64::from(load.slots.max(1));
    let target_mean_ms =
        if load.service_ms > 0.0 { f64::from(load.service_ms) } else { fleet_mean_ms };
    let slowness = (target_mean_ms / fleet_mean_ms).clamp(SLOWNESS_MIN, SLOWNESS_MAX);
    let service_ms = query.service_ms.unwrap_or(fleet_mean_ms) * slowness;
    let requests_ahead = f64::from(load.ahead_of(query.rank)) + unreported_requests;
    let requests_total = f64::from(load.running) + f64::from(load.waiting) + unreported_requests;
    let wait_behind_ms = |ahead: f64| (ahead + 1.0 - slots).max(0.0) * target_mean_ms / slots;
    let wait_ms = wait_behind_ms(requests_ahead);
    let utilization = (requests_ahead / slots).min(1.0);
    let expected_ms = path_cost.rtt_ms + wait_ms + service_ms;
    let expected_last_ms = path_cost.rtt_ms + wait_behind_ms(requests_total) + service_ms;
    let risk_factor = if query.is_idempotent { 1.0 } else { NON_IDEMPOTENT_FACTOR };
    let risk_ms = f64::from(load.failed_permille) / 1_000.0 * FAILURE_COST_MS * risk_factor;
    let crowding_ms = service_ms * FULL_SLOWDOWN_SHARE * utilization.powi(4);
    let lost_ms = if call_lost_recently { LOST_CALL_COST_MS } else { 0.0 };
    let score = path_cost.cost_ms + wait_ms + service_ms + crowding_ms + risk_ms + lost_ms;
    let is_same_region = path_cost.cost_ms < OTHER_REGION_COST_MS;
    Candidate { location, expected_ms, expected_last_ms, wait_ms, is_same_region, score }
}
