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
const SAME_ZONE_MS: f64 = 4.0;
/// The round trip to another zone of the region with the price of its bytes, in milliseconds.
const SAME_REGION_MS: f64 = 45.0;
/// The round trip to another region with the price of its bytes, in milliseconds.
const OTHER_REGION_MS: f64 = 200.0;
/// The part of [`SAME_REGION_MS`] and [`OTHER_REGION_MS`] that is time, in milliseconds.
const SAME_REGION_RTT_MS: f64 = 4.0;
const OTHER_REGION_RTT_MS: f64 = 65.0;
/// What a certain failure counts as, in milliseconds: a caller's wait for a second attempt.
const FAILURE_MS: f64 = 900.0;
/// How much more a failure weighs for a request that cannot be repeated.
const NOT_REPEATABLE: f64 = 2.0;
/// What a call that was lost on the way lately counts as, in milliseconds.
const LOST_CALL_MS: f64 = 400.0;
/// The share of the service time that a target loses while its last slots fill up.
const NEARLY_FULL: f64 = 0.5;
/// Scores differ at random by this share, so that daemons with the same reports do not all choose
/// the same target.
const SPREAD: f64 = 0.1;
/// The service time of a target that nothing is known of, in milliseconds.
const UNKNOWN_SERVICE_MS: f64 = 20.0;

/// What is asked of the placer.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    pub service: &'a str,
    /// Daemons whose targets were tried already.
    pub tried: &'a BTreeSet<Arc<str>>,
    pub is_idempotent: bool,
    /// The time left until the caller's latency goal, in milliseconds.
    pub goal_ms: u64,
    /// The time left in all, in milliseconds.
    pub left_ms: u64,
    /// A number from 0 to 1 for each daemon's own spread of choices.
    pub random: f64,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// To the target beside this daemon.
    Own,
    /// To the target beside a peer.
    Peer { name: Arc<str>, target_id: Arc<str> },
    /// Every target would answer too late.
    Full { retry_after_ms: u64 },
    /// No target of the service is known that could be tried.
    NoTarget,
}

#[derive(Clone, Debug)]
struct Candidate {
    choice: Choice,
    /// When the answer is expected, in milliseconds from now.
    expected_ms: f64,
    wait_ms: f64,
    service_ms: f64,
    /// The expected time with prices and risks.
    score: f64,
}

/// Chooses among the targets of a service.
pub fn choose(peers: &Peers, own: Option<&TargetSummary>, ask: &Ask, now_ms: u64) -> Choice {
    let mut candidates: Vec<Candidate> = Vec::new();
    if let Some(target) = own
        && is_usable(target, &peers.own().name, ask)
    {
        let distance = Distance { rtt_ms: 0.0, cost_ms: 0.0 };
        candidates.push(candidate(Choice::Own, &target.load, 0, distance, ask));
    }
    for peer in peers.linked() {
        let Some(target) = peer.ready_target() else { continue };
        if !is_usable(target, &peer.record.name, ask) {
            continue;
        }
        let name = peer.record.name.clone();
        let choice = Choice::Peer { name, target_id: target.id.clone() };
        let unreported = peer.unreported.max(peer.outstanding.saturating_sub(target.load.running));
        let mut found = candidate(choice, &target.load, unreported, distance(peers, peer), ask);
        if peer.failed_lately(now_ms) {
            found.score += LOST_CALL_MS;
        }
        candidates.push(found);
    }
    pick(candidates, ask)
}

fn pick(mut candidates: Vec<Candidate>, ask: &Ask) -> Choice {
    // Spreads the scores by a sequence that differs from candidate to candidate.
    for (index, candidate) in candidates.iter_mut().enumerate() {
        let turn = (ask.random + index as f64 * 0.618_033_988_75).fract();
        candidate.score *= 1.0 + SPREAD * turn;
    }
    candidates.sort_by(|a, b| a.score.total_cmp(&b.score));
    let Some(best) = candidates.first() else { return Choice::NoTarget };
    let in_time =
        candidates.iter().find(|candidate| candidate.expected_ms <= limit_ms(candidate, ask));
    if let Some(chosen) = in_time {
        return chosen.choice.clone();
    }
    let soonest_ms = candidates.iter().map(|c| c.wait_ms).fold(best.wait_ms, f64::min);
    Choice::Full { retry_after_ms: soonest_ms as u64 }
}

/// A request that can still meet its goal is not queued past it; any other has until its deadline.
fn limit_ms(candidate: &Candidate, ask: &Ask) -> f64 {
    let can_meet_goal = candidate.service_ms <= ask.goal_ms as f64;
    if can_meet_goal { ask.goal_ms as f64 } else { ask.left_ms as f64 }
}

fn is_usable(target: &TargetSummary, daemon: &Arc<str>, ask: &Ask) -> bool {
    &*target.service == ask.service
        && target.state == TargetState::Ready
        && !ask.tried.contains(daemon)
}

#[derive(Clone, Copy, Debug)]
struct Distance {
    rtt_ms: f64,
    cost_ms: f64,
}

fn distance(peers: &Peers, peer: &Peer) -> Distance {
    let (own, other) = (peers.own(), &peer.record);
    if own.zone == other.zone {
        Distance { rtt_ms: 1.0, cost_ms: SAME_ZONE_MS }
    } else if own.region == other.region {
        Distance { rtt_ms: SAME_REGION_RTT_MS, cost_ms: SAME_REGION_MS }
    } else {
        Distance { rtt_ms: OTHER_REGION_RTT_MS, cost_ms: OTHER_REGION_MS }
    }
}

fn candidate(
    choice: Choice,
    load: &TargetLoad,
    unreported: u16,
    distance: Distance,
    ask: &Ask,
) -> Candidate {
    let slots = f64::from(load.slots.max(1));
    let service_ms = f64::from(load.service_ms).max(UNKNOWN_SERVICE_MS);
    let at_target = f64::from(load.running) + f64::from(load.waiting) + f64::from(unreported);
    let wait_ms = (at_target + 1.0 - slots).max(0.0) * service_ms / slots;
    let busy = (at_target / slots).min(1.0);
    let expected_ms = distance.rtt_ms + wait_ms + service_ms;
    let weight = if ask.is_idempotent { 1.0 } else { NOT_REPEATABLE };
    let risk_ms = f64::from(load.failed_permille) / 1_000.0 * FAILURE_MS * weight;
    let crowding_ms = service_ms * NEARLY_FULL * busy.powi(4);
    let score = distance.cost_ms + wait_ms + service_ms + crowding_ms + risk_ms;
    Candidate { choice, expected_ms, wait_ms, service_ms, score }
}
