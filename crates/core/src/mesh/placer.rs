//! Chooses the target of an attempt by its expected response time and the cost of the network path.
//!
//! The request goes to the target with the lowest score among those that are expected to meet the
//! latency goal. A burst in one availability zone, slow or failing targets, and targets that have
//! just started all raise the scores of the targets concerned. Crossing a zone or region has an
//! additional cost, so requests stay local while the local target is nearly as good.

use crate::endpoint::TargetState;
use crate::mesh::peers::{Peer, Peers};
use crate::mesh::state::{TargetLoad, TargetSummary};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The cost of sending a request to another VM of the same zone, in milliseconds.
const SAME_ZONE_COST_MS: f64 = 4.0;
/// The cost of a round trip to another zone of the region including the price of the traffic, in
/// milliseconds.
const SAME_REGION_COST_MS: f64 = 45.0;
/// The cost of a round trip to another region including the price of the traffic, in milliseconds.
const OTHER_REGION_COST_MS: f64 = 200.0;
/// The part of [`SAME_REGION_COST_MS`] that is round-trip time, in milliseconds.
const SAME_REGION_RTT_MS: f64 = 4.0;
/// The part of [`OTHER_REGION_COST_MS`] that is round-trip time, in milliseconds.
const OTHER_REGION_RTT_MS: f64 = 65.0;
/// The cost of a request at a target that fails all requests, in milliseconds: the caller's wait
/// for a second attempt. It is multiplied by the share of requests that fail.
const FAILURE_COST_MS: f64 = 900.0;
/// The factor by which a failure costs more for a request that cannot be retried.
const NON_IDEMPOTENT_FACTOR: f64 = 2.0;
/// The additional cost of sending a request to a peer to which a call was recently lost, in
/// milliseconds.
const LOST_CALL_COST_MS: f64 = 400.0;
/// How much slower a target is when all its slots are in use, as a share of the service time. Most
/// of the slowdown comes while the last slots fill: it grows with the fourth power of utilization.
const FULL_SLOWDOWN_SHARE: f64 = 0.5;
/// The random variation of scores, as a share, so that daemons with the same load reports do not
/// all choose the same target.
const SCORE_JITTER: f64 = 0.1;
/// The share of a target's slots that other daemons are assumed to have occupied per second since
/// its last report.
const LOAD_DRIFT_PER_S: f64 = 0.1;
/// The limits of the ratio between a target's mean service time and that of its service.
const SLOWNESS_MIN: f64 = 0.4;
const SLOWNESS_MAX: f64 = 8.0;
/// A request that will miss its latency goal must be expected to end within this share of its
/// remaining time.
const LATE_TIME_LEFT_SHARE: f64 = 0.6;
/// The time that it costs to try another target, in milliseconds: a round trip within a region and
/// the work of three daemons. A wait shorter than this does not justify another target.
const WAIT_SLACK_MS: f64 = 10.0;
/// The fractional part of the golden ratio. The fractional parts of its multiples are spread most
/// evenly between 0 and 1.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_75;
/// The assumed service time while no target of the service has reported one, in milliseconds.
const DEFAULT_SERVICE_MS: f64 = 20.0;

/// The properties of a request that decide its placement.
#[derive(Clone, Debug)]
pub struct PlacementQuery<'a> {
    pub service: &'a str,
    /// The daemons that the request was already sent to.
    pub tried_daemons: &'a BTreeSet<Arc<str>>,
    pub is_idempotent: bool,
    /// The priority rank of the request; a lower one goes first.
    pub rank: u8,
    /// The time left until the caller's latency goal, in milliseconds.
    pub goal_left_ms: u64,
    /// The time left until the deadline, in milliseconds.
    pub left_ms: u64,
    /// The typical service time of the route at a target, in milliseconds; absent if unknown.
    pub service_ms: Option<f64>,
    /// The size of the request's body.
    pub body_bytes: u64,
    /// A random number from 0 to 1, so that daemons with the same load reports choose differently.
    pub random: f64,
}

/// Where a request is sent. `wait_max_ms` is the queueing time beyond which the next best target
/// would have been better; absent if no other target meets the latency goal.
#[derive(Clone, Debug, PartialEq)]
pub enum Placement {
    /// The local target.
    Local { wait_max_ms: Option<u32> },
    /// The target of a peer.
    Peer { name: Arc<str>, target_id: Arc<str>, wait_max_ms: Option<u32> },
    /// Every target would respond too late.
    Full { retry_after_ms: u64 },
    /// No target of the service is ready that was not tried yet.
    NoTarget,
}

/// Where a candidate's target runs.
#[derive(Clone, Debug)]
enum Location {
    Local,
    Peer { name: Arc<str>, target_id: Arc<str> },
}

/// A target with its expected response time and score.
#[derive(Clone, Debug)]
struct Candidate {
    location: Location,
    /// The expected response time from now, in milliseconds.
    expected_ms: f64,
    /// The expected response time if all queued requests run first, in milliseconds.
    expected_last_ms: f64,
    /// The expected time until the request has its slot: that of its body on the link, and that in
    /// the queue, in milliseconds.
    wait_ms: f64,
    is_same_region: bool,
    /// Whether no request occupies the target or waits for it.
    is_idle: bool,
    /// Whether the request's body would wait for other bodies on the link of the target's VM.
    waits_for_body: bool,
    /// The expected response time plus the costs of the path and of possible failures, in
    /// milliseconds; the lowest score is chosen.
    score: f64,
}

/// A ready target that the request can be sent to, before its response time is estimated.
struct ReachableTarget {
    location: Location,
    load: TargetLoad,
    /// Requests that the load report does not include yet: those of this daemon, and an estimate
    /// for the other daemons.
    unreported_requests: f64,
    /// Whether no request occupies the target or waits for it, as far as this daemon knows.
    is_idle: bool,
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
            is_idle: is_idle(&target.load),
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
            is_idle: local_unreported == 0 && is_idle(&target.load),
            path_cost: path_cost(peers, peer),
            call_lost_recently: peer.call_lost_recently(now_ms),
        });
    }
    let service_mean_ms =
        mean(reachable.iter().map(|reachable| f64::from(reachable.load.service_ms)));
    select(
        reachable
            .into_iter()
            .map(|reachable| evaluate(reachable, service_mean_ms, query))
            .collect(),
        query,
    )
}

/// The mean of the positive values, or [`DEFAULT_SERVICE_MS`] if there are none.
fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (mut sum, mut count) = (0.0, 0.0);
    for value in values.filter(|value| *value > 0.0) {
        sum += value;
        count += 1.0;
    }
    if count > 0.0 { sum / count } else { DEFAULT_SERVICE_MS }
}

/// Chooses a candidate by score: preferably one that meets the latency goal, otherwise one that can
/// at least end well before the deadline.
fn select(mut candidates: Vec<Candidate>, query: &PlacementQuery) -> Placement {
    // Varies the scores by a low-discrepancy sequence, so that each candidate gets another factor.
    for (index, candidate) in candidates.iter_mut().enumerate() {
        let offset = (query.random + index as f64 * GOLDEN_RATIO_FRACTION).fract();
        candidate.score *= 1.0 + SCORE_JITTER * offset;
    }
    candidates.sort_by(|a, b| a.score.total_cmp(&b.score));
    let Some(best) = candidates.first() else { return Placement::NoTarget };
    let goal_left_ms = query.goal_left_ms as f64;
    // A request that misses its goal on every target is sent to another region only if it would not
    // wait there, because targets there have callers of their own.
    let late_limit_ms = query.left_ms as f64 * LATE_TIME_LEFT_SHARE;
    let chosen = candidates
        .iter()
        .find(|candidate| candidate.expected_ms <= goal_left_ms)
        .or_else(|| {
            candidates.iter().find(|c| c.is_same_region && c.expected_last_ms <= late_limit_ms)
        })
        .or_else(|| {
            candidates.iter().find(|c| c.wait_ms <= 0.0 && c.expected_last_ms <= late_limit_ms)
        })
        // The service time of an idle target was measured under earlier load or during a failure.
        // Only another request can show that it has recovered.
        .or_else(|| candidates.iter().find(|c| c.is_same_region && c.is_idle && !c.waits_for_body));
    if let Some(chosen) = chosen {
        let others = candidates.iter().filter(|other| !std::ptr::eq(*other, chosen));
        let next_scores =
            others.filter(|other| other.expected_ms <= goal_left_ms).map(|other| other.score);
        // How much longer the request may take at the chosen target before the next best one is
        // better.
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

fn is_idle(load: &TargetLoad) -> bool {
    load.running == 0 && load.waiting == 0
}

/// Whether a target serves the service, is ready and was not tried yet.
fn is_usable(target: &TargetSummary, daemon: &Arc<str>, query: &PlacementQuery) -> bool {
    &*target.service == query.service
        && target.state == TargetState::Ready
        && !query.tried_daemons.contains(daemon)
}

/// The cost of the network path to a target.
#[derive(Clone, Copy, Debug)]
struct PathCost {
    /// The round-trip time, in milliseconds.
    rtt_ms: f64,
    /// The round-trip time and the price of the traffic, in milliseconds.
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

/// Estimates the response time and score of a target. Its mean service time over all kinds of
/// requests tells how long other requests occupy its slots. Divided by `service_mean_ms`, the
/// mean of all reachable targets of the service, it tells how slow the target is.
fn evaluate(reachable: ReachableTarget, service_mean_ms: f64, query: &PlacementQuery) -> Candidate {
    let ReachableTarget {
        location,
        load,
        unreported_requests,
        is_idle,
        path_cost,
        call_lost_recently,
    } = reachable;
    let slots = f64::from(load.slots.max(1));
    let target_mean_ms =
        if load.service_ms > 0.0 { f64::from(load.service_ms) } else { service_mean_ms };
    let slowness = (target_mean_ms / service_mean_ms).clamp(SLOWNESS_MIN, SLOWNESS_MAX);
    let service_ms = query.service_ms.unwrap_or(service_mean_ms) * slowness;
    let requests_ahead = f64::from(load.ahead_of(query.rank)) + unreported_requests;
    let requests_total = f64::from(load.running) + f64::from(load.waiting) + unreported_requests;
    let wait_behind_ms = |ahead: f64| (ahead + 1.0 - slots).max(0.0) * target_mean_ms / slots;
    let body_ms = match location {
        Location::Local => 0.0,
        Location::Peer { .. } => load.body_ms(query.body_bytes),
    };
    let wait_ms = wait_behind_ms(requests_ahead) + body_ms;
    let utilization = (requests_ahead / slots).min(1.0);
    let expected_ms = path_cost.rtt_ms + wait_ms + service_ms;
    let expected_last_ms = path_cost.rtt_ms + wait_behind_ms(requests_total) + body_ms + service_ms;
    let risk_factor = if query.is_idempotent { 1.0 } else { NON_IDEMPOTENT_FACTOR };
    let risk_ms = f64::from(load.failed_permille) / 1_000.0 * FAILURE_COST_MS * risk_factor;
    let slowdown_ms = service_ms * FULL_SLOWDOWN_SHARE * utilization.powi(4);
    let lost_call_ms = if call_lost_recently { LOST_CALL_COST_MS } else { 0.0 };
    let score = path_cost.cost_ms + wait_ms + service_ms + slowdown_ms + risk_ms + lost_call_ms;
    let is_same_region = path_cost.cost_ms < OTHER_REGION_COST_MS;
    let waits_for_body = body_ms > 0.0 && load.body_wait_ms > 0;
    Candidate {
        location,
        expected_ms,
        expected_last_ms,
        wait_ms,
        is_same_region,
        is_idle,
        waits_for_body,
        score,
    }
}
