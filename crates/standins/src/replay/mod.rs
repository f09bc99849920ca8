//! Replays load patterns in a discrete-event simulation of the request path.
//!
//! There are no sockets and no wall clock: daemons with [`Admission`] queues and [`Peers`] tables are
//! driven by events in virtual time, so that a pattern of thirty seconds is replayed in a fraction of a
//! second and the same seed gives the same results. With the same seed, every policy runs on the same
//! arrivals. Service times are drawn during the replay, so those of two policies differ.

mod callers;
mod network;
mod pattern;
mod policy;
mod results;
mod targets;

pub use pattern::{Disturbance, Pattern, RequestKind, patterns};
pub use policy::Policy;
pub use results::{AccountResults, Results};

use callers::Request;
use pomeloreach_core::admission::Admission;
use pomeloreach_core::endpoint::TargetState;
use pomeloreach_core::mesh::attempts::AttemptResult;
use pomeloreach_core::mesh::peers::{Peers, RecordSource};
use pomeloreach_core::mesh::state::{DaemonRecord, TargetLoad};
use pomeloreach_core::mesh::typical_times::TypicalTimes;
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;
use targets::Daemon;

/// How often daemons report their load, in milliseconds; the real daemon uses this interval between
/// zones of a region.
const REPORT_INTERVAL_MS: u64 = 1000;
/// The number of zones in each region.
const ZONES_PER_REGION: usize = 2;
/// Requests first sent and attempts that arrive before this time, in milliseconds, are not counted in
/// the results.
const WARM_UP_MS: u64 = 3_000;

/// What happens next in virtual time. Daemons, requests and kinds are given by index; `daemon` is the
/// one whose target the attempt goes to.
enum Event {
    /// A caller sends a request to its origin.
    RequestSent(SentRequest),
    /// An attempt arrives at the inbound proxy of the target's daemon.
    AttemptArrived { request: usize, daemon: usize, wait_max_ms: Option<u32> },
    /// A target finishes a request.
    RunFinished { request: usize, daemon: usize, service_ms: u64, has_failed: bool },
    /// The origin receives the result of an attempt, with the load of the target and the expected wait
    /// at the end of its queue, both from when the result was sent.
    AttemptEnded {
        request: usize,
        daemon: usize,
        result: AttemptResult,
        backlog_ms: u64,
        load: TargetLoad,
    },
    /// A daemon reports its state to all others.
    LoadReport { from: usize },
}

/// A send of a request by its caller.
#[derive(Clone, Copy)]
struct SentRequest {
    origin: usize,
    kind: usize,
    /// The account of the caller by its place by size, from 0.
    account: Option<usize>,
    first_sent_ms: u64,
    retries_left: u32,
}

/// The state of a replay.
struct Simulation<'a> {
    pattern: &'a Pattern,
    policy: Policy,
    daemons: Vec<Daemon>,
    requests: Vec<Request>,
    /// Service times by kind of request.
    typical_times: Vec<TypicalTimes>,
    /// Scheduled events by time, then in the order in which they were scheduled.
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    round_robin_index: usize,
    rng: ChaCha8Rng,
    results: Results,
    now_ms: u64,
}

/// Replays a pattern with a policy. The same seed gives every policy the same arrivals.
pub fn replay(pattern: &Pattern, policy: Policy, seed: u64) -> Results {
    let mut simulation = Simulation::new(pattern, policy, seed);
    simulation.run();
    let mut results = simulation.results;
    results.latencies_ms.sort_unstable();
    results
}

impl<'a> Simulation<'a> {
    fn new(pattern: &'a Pattern, policy: Policy, seed: u64) -> Self {
        let record = |index: usize| {
            let region = index % pattern.regions;
            let zone = index / pattern.regions % ZONES_PER_REGION;
            DaemonRecord {
                name: format!("d{index}").into(),
                start_id: 1,
                region: format!("r{region}").into(),
                zone: format!("r{region}z{zone}").into(),
                service: "s".into(),
                link_addr: ([127, 0, 0, 1], 1).into(),
            }
        };
        let daemon = |index: usize| {
            let mut inbound = match policy {
                Policy::NoGuard => Admission::with_queued_per_slot(1_000),
                // As in the daemon's inbound proxy.
                _ => Admission::with_queued_per_slot(4),
            };
            inbound.set_target(TargetState::Ready, pattern.slots);
            Daemon {
                peers: Peers::new(record(index)),
                inbound,
                zone: index / pattern.regions % ZONES_PER_REGION,
                region: index % pattern.regions,
                speed: [0.6, 1.0, 1.4][index / pattern.regions % 3],
                has_lapsed: false,
                failed_share: 0.0,
            }
        };
        let daemons: Vec<Daemon> = (0..pattern.targets).map(daemon).collect();
        let mut simulation = Self {
            pattern,
            policy,
            daemons,
            requests: Vec::new(),
            typical_times: vec![TypicalTimes::default(); pattern.kinds.len()],
            events: BTreeMap::new(),
            next_event: 0,
            round_robin_index: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            results: Results {
                by_account: vec![AccountResults::default(); pattern.accounts],
                ..Results::default()
            },
            now_ms: 0,
        };
        for from in 0..pattern.targets {
            for to in (0..pattern.targets).filter(|to| *to != from) {
                let state = simulation.daemon_state(from);
                let name = simulation.daemons[from].peers.local().name.clone();
                let peer_record = simulation.daemons[from].peers.local().clone();
                simulation.daemons[to].peers.update_record(peer_record, RecordSource::Owner, 0);
                simulation.daemons[to].peers.link_opened(&name, state, 0);
            }
            let first_report_ms = simulation.random_below(REPORT_INTERVAL_MS);
            simulation.schedule(first_report_ms, Event::LoadReport { from });
        }
        simulation.schedule_arrivals();
        simulation
    }

    /// Draws a number from 0 to 1.
    fn random(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    /// Draws a whole number below `bound`.
    fn random_below(&mut self, bound: u64) -> u64 {
        (self.random() * bound as f64) as u64
    }

    /// Adds an event after those already scheduled for the same time.
    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at_ms, self.next_event), event);
    }

    /// Returns whether the disturbance is active at a time.
    fn is_disturbed(&self, at_ms: u64) -> bool {
        (self.pattern.disturbed_from_ms..self.pattern.disturbed_until_ms).contains(&at_ms)
    }

    /// Handles events in order until none is left.
    fn run(&mut self) {
        let mut has_lapsed = false;
        while let Some(((at_ms, _), event)) = self.events.pop_first() {
            self.now_ms = at_ms;
            if let Disturbance::Lost(share) = self.pattern.disturbance
                && has_lapsed != self.is_disturbed(at_ms)
            {
                has_lapsed = !has_lapsed;
                self.set_targets_lapsed(share, has_lapsed);
            }
            match event {
                Event::RequestSent(sent) => self.start_request(sent),
                Event::AttemptArrived { request, daemon, wait_max_ms } => {
                    self.admit_attempt(request, daemon, wait_max_ms);
                }
                Event::RunFinished { request, daemon, service_ms, has_failed } => {
                    self.finish_run(request, daemon, service_ms, has_failed);
                }
                Event::AttemptEnded { request, daemon, result, backlog_ms, load } => {
                    self.finish_attempt(request, daemon, result, backlog_ms, load);
                }
                // Reports go on until the last requests have ended, but not without end: the replay
                // runs while events are scheduled.
                Event::LoadReport { from } if at_ms < self.pattern.end_ms + 10_000 => {
                    self.report_state(from);
                    self.schedule(at_ms + REPORT_INTERVAL_MS, Event::LoadReport { from });
                }
                Event::LoadReport { .. } => {}
            }
        }
    }
}
