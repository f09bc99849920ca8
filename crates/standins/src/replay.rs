//! Replays load patterns against the decisions that place, queue and refuse requests.
//!
//! No sockets and no wall clock: a fleet of [`Admission`] doors and [`Peers`] tables is driven by
//! events in virtual time, so that a pattern of thirty seconds takes a fraction of one and the same
//! seed gives the same figures. Baselines run on the same arrivals and work times.

use pomeloreach_core::admission::{Admission, Arrival, Decision};
use pomeloreach_core::code::ResultCode;
use pomeloreach_core::endpoint::TargetState;
use pomeloreach_core::mesh::attempts::{AttemptResult, Attempts, NextAction, RetryPolicy};
use pomeloreach_core::mesh::peers::Peers;
use pomeloreach_core::mesh::placer::{self, Placement, PlacementQuery};
use pomeloreach_core::mesh::retry_after::{self, RefusedRequest};
use pomeloreach_core::mesh::state::{
    ConfigState, DaemonRecord, DaemonState, TargetLoad, TargetSummary,
};
use pomeloreach_core::mesh::typical_times::TypicalTimes;
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;
use std::sync::Arc;
use strum::{Display, EnumIter, EnumString};

/// How often daemons report their load, in milliseconds, as the daemon does between zones of a region.
const REPORT_MS: u64 = 1000;
/// The way between two zones of a region and between two regions, in milliseconds.
const ZONE_WAY_MS: u64 = 2;
const REGION_WAY_MS: u64 = 31;
/// Zones in each region.
const ZONES: usize = 2;
/// The time before and after a pattern that is not counted, in milliseconds.
const WARM_UP_MS: u64 = 3_000;

/// How a target is chosen.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// What the daemon does.
    Placer,
    /// The same, but a request stays at the door that it was sent to.
    PlacerWithoutBounce,
    /// Any target, with the doors of the daemon.
    Random,
    /// One target after the other, with the doors of the daemon.
    RoundRobin,
    /// The target with the fewest requests by the last report, with the doors of the daemon.
    LeastLoaded,
    /// Any target, and doors that queue whatever comes.
    NoGuard,
}

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub share: f64,
    pub work_ms: f64,
    pub goal_ms: u64,
    pub deadline_ms: u64,
    pub rank: u8,
    pub is_idempotent: bool,
}

/// What is unusual for a while.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Trouble {
    None,
    /// All requests come so many times as often.
    Burst(f64),
    /// One zone gets so many times its share, the others less.
    ZoneBurst(f64),
    /// A third of the targets takes so many times as long.
    Slow(f64),
    /// A third of the targets fails this share of its requests, quickly.
    Failing(f64),
    /// This share of the targets is gone, and known to be.
    Lost(f64),
    /// Refused callers come back at once, so many times.
    Impatient(u32),
}

/// A load that is replayed.
#[derive(Clone, Debug)]
pub struct Pattern {
    pub name: &'static str,
    pub regions: usize,
    pub targets: usize,
    pub slots: u16,
    /// The load as a share of what all targets can do.
    pub load: f64,
    pub kinds: Vec<Kind>,
    pub trouble: Trouble,
    /// When the trouble begins and ends, and when the pattern ends, in milliseconds.
    pub from_ms: u64,
    pub until_ms: u64,
    pub end_ms: u64,
}

/// What came of a pattern.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    pub requests: u64,
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
    /// Refused after more than an eighth of the goal had passed.
    pub refused_late: u64,
    pub failed: u64,
    pub arrivals: u64,
    pub far: u64,
    /// Answers in time by rank, and requests.
    pub ranks: BTreeMap<u8, (u64, u64)>,
    /// What the answers were worth, and what they could have been: an order counts twice, a late
    /// answer three tenths.
    pub earned: f64,
    pub owed: f64,
    times_ms: Vec<u64>,
}

impl Figures {
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }

    pub fn worth(&self) -> f64 {
        self.earned / self.owed.max(1.0)
    }

    pub fn rank_share(&self, rank: u8) -> f64 {
        let (in_time, requests) = self.ranks.get(&rank).copied().unwrap_or_default();
        in_time as f64 / requests.max(1) as f64
    }

    /// The time within which this share of the answers came, in milliseconds.
    pub fn quantile_ms(&self, share: f64) -> u64 {
        let last = self.times_ms.len().saturating_sub(1);
        self.times_ms.get((last as f64 * share) as usize).copied().unwrap_or_default()
    }
}

/// The share of its worth that a late answer keeps, as the users count it.
const LATE_WORTH: f64 = 0.3;

/// Orders are worth twice a lookup, as the users count them.
fn worth_of(kind: Kind) -> f64 {
    if kind.is_idempotent { 1.0 } else { 2.0 }
}

struct Daemon {
    peers: Peers,
    door: Admission,
    zone: usize,
    region: usize,
    speed: f64,
    is_lost: bool,
    failed: f64,
}

struct Request {
    kind: Kind,
    /// The place of the kind in the pattern.
    kind_index: usize,
    origin: usize,
    arrived_ms: u64,
    first_ms: u64,
    attempts: Attempts,
    tries_left: u32,
    retry_after_ms: u64,
    work: f64,
    is_done: bool,
}

enum Event {
    Arrival { origin: usize, kind: usize, first_ms: u64, tries_left: u32 },
    AtDoor { request: usize, door: usize, wait_max_ms: Option<u32> },
    Finished { request: usize, door: usize, service_ms: u64, has_failed: bool },
    Ended { request: usize, door: usize, end: AttemptResult, backlog_ms: u64, load: TargetLoad },
    Report { from: usize },
}

struct Fleet<'a> {
    pattern: &'a Pattern,
    policy: Policy,
    daemons: Vec<Daemon>,
    requests: Vec<Request>,
    usual: Vec<TypicalTimes>,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    turn: usize,
    rng: ChaCha8Rng,
    figures: Figures,
    now_ms: u64,
}

/// Replays a pattern. The same seed gives every policy the same arrivals.
pub fn replay(pattern: &Pattern, policy: Policy, seed: u64) -> Figures {
    let mut fleet = Fleet::new(pattern, policy, seed);
    fleet.run();
    let mut figures = fleet.figures;
    figures.times_ms.sort_unstable();
    figures
}

impl<'a> Fleet<'a> {
    fn new(pattern: &'a Pattern, policy: Policy, seed: u64) -> Self {
        let record = |index: usize| {
            let region = index % pattern.regions;
            let zone = index / pattern.regions % ZONES;
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
            let mut door = match policy {
                Policy::NoGuard => Admission::with_queued_per_slot(1_000),
                _ => Admission::with_queued_per_slot(4),
            };
            door.set_target(TargetState::Ready, pattern.slots);
            Daemon {
                peers: Peers::new(record(index)),
                door,
                zone: index / pattern.regions % ZONES,
                region: index % pattern.regions,
                speed: [0.6, 1.0, 1.4][index / pattern.regions % 3],
                is_lost: false,
                failed: 0.0,
            }
        };
        let daemons: Vec<Daemon> = (0..pattern.targets).map(daemon).collect();
        let mut fleet = Self {
            pattern,
            policy,
            daemons,
            requests: Vec::new(),
            usual: vec![TypicalTimes::default(); pattern.kinds.len()],
            events: BTreeMap::new(),
            next_event: 0,
            turn: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            figures: Figures::default(),
            now_ms: 0,
        };
        for from in 0..pattern.targets {
            for to in (0..pattern.targets).filter(|to| *to != from) {
                let state = fleet.state(from);
                let name = fleet.daemons[from].peers.local().name.clone();
                let own = fleet.daemons[from].peers.local().clone();
                fleet.daemons[to].peers.update_record(own, true, 0);
                fleet.daemons[to].peers.link_opened(&name, state, 0);
            }
            let first_ms = fleet.random_below(REPORT_MS);
            fleet.schedule(first_ms, Event::Report { from });
        }
        fleet.schedule_arrivals();
        fleet
    }

    fn random(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        (self.random() * bound as f64) as u64
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at_ms, self.next_event), event);
    }

    /// A lognormal factor with a mean of one; the sum of twelve uniform numbers is nearly normal.
    fn spread(&mut self) -> f64 {
        const SIGMA: f64 = 0.6;
        let normal = (0..12).map(|_| self.random()).sum::<f64>() - 6.0;
        (SIGMA * normal - SIGMA * SIGMA / 2.0).exp()
    }

    fn in_trouble(&self, at_ms: u64) -> bool {
        (self.pattern.from_ms..self.pattern.until_ms).contains(&at_ms)
    }

    fn schedule_arrivals(&mut self) {
        let pattern = self.pattern;
        let work_ms: f64 = pattern.kinds.iter().map(|kind| kind.share * kind.work_ms).sum();
        let speeds: f64 = self.daemons.iter().map(|daemon| daemon.speed).sum();
        let per_ms = pattern.load * speeds * f64::from(pattern.slots) / work_ms;
        let mut at_ms = 0.0;
        while at_ms < pattern.end_ms as f64 {
            let is_burst = self.in_trouble(at_ms as u64);
            let factor = match pattern.trouble {
                Trouble::Burst(factor) if is_burst => factor,
                _ => 1.0,
            };
            at_ms += -(1.0 - self.random() * 0.999_999).ln() / (per_ms * factor);
            let mut origin = self.random_below(pattern.targets as u64) as usize;
            if let Trouble::ZoneBurst(factor) = pattern.trouble
                && is_burst
                && self.random() < factor / (pattern.regions * ZONES) as f64
            {
                // The first daemon of each turn stands in the same zone.
                let turn = pattern.regions * ZONES;
                origin = origin / turn * turn;
            }
            let mut draw = self.random();
            let mut kind = 0;
            for (index, candidate) in pattern.kinds.iter().enumerate() {
                kind = index;
                draw -= candidate.share;
                if draw < 0.0 {
                    break;
                }
            }
            let tries_left = match pattern.trouble {
                Trouble::Impatient(tries) if is_burst => tries,
                _ => 1,
            };
            let first_ms = at_ms as u64;
            self.schedule(first_ms, Event::Arrival { origin, kind, first_ms, tries_left });
        }
    }

    fn state(&self, daemon: usize) -> DaemonState {
        let state = &self.daemons[daemon];
        let target = TargetSummary {
            id: format!("t{daemon}").into(),
            born_unix_ms: 1,
            service: "s".into(),
            state: if state.is_lost { TargetState::Lapsed } else { TargetState::Ready },
            load: self.load(daemon),
        };
        DaemonState { leaving: false, target: Some(target), config: ConfigState::default() }
    }

    fn load(&self, daemon: usize) -> TargetLoad {
        let Daemon { door, failed, .. } = &self.daemons[daemon];
        TargetLoad {
            running: door.running(),
            waiting: door.waiting(),
            ahead: door.ahead(),
            slots: door.slots(),
            service_ms: door.service_ms() as f32,
            failed_permille: (failed * 1_000.0) as u16,
        }
    }

    fn run(&mut self) {
        let mut is_lost = false;
        while let Some(((at_ms, _), event)) = self.events.pop_first() {
            self.now_ms = at_ms;
            if let Trouble::Lost(share) = self.pattern.trouble
                && is_lost != self.in_trouble(at_ms)
            {
                is_lost = !is_lost;
                self.lose(share, is_lost);
            }
            match event {
                Event::Arrival { origin, kind, first_ms, tries_left } => {
                    self.arrive(origin, kind, first_ms, tries_left);
                }
                Event::AtDoor { request, door, wait_max_ms } => {
                    self.at_door(request, door, wait_max_ms);
                }
                Event::Finished { request, door, service_ms, has_failed } => {
                    self.finish(request, door, service_ms, has_failed);
                }
                Event::Ended { request, door, end, backlog_ms, load } => {
                    self.attempt_ended(request, door, end, backlog_ms, load);
                }
                Event::Report { from } if at_ms < self.pattern.end_ms + 10_000 => {
                    self.report(from);
                    self.schedule(at_ms + REPORT_MS, Event::Report { from });
                }
                Event::Report { .. } => {}
            }
        }
    }

    fn lose(&mut self, share: f64, is_lost: bool) {
        let lost = (self.daemons.len() as f64 * share) as usize;
        for daemon in 0..lost {
            self.daemons[daemon].is_lost = is_lost;
            let state = if is_lost { TargetState::Lapsed } else { TargetState::Ready };
            self.daemons[daemon].door.set_target(state, self.pattern.slots);
            self.report(daemon);
        }
    }

    fn report(&mut self, from: usize) {
        let (state, now_ms) = (self.state(from), self.now_ms);
        let name = self.daemons[from].peers.local().name.clone();
        for to in (0..self.daemons.len()).filter(|to| *to != from) {
            self.daemons[to].peers.apply_state(&name, state.clone(), now_ms);
        }
    }

    fn arrive(&mut self, origin: usize, kind_index: usize, first_ms: u64, tries_left: u32) {
        let kind = self.pattern.kinds[kind_index];
        let deadline_ms = first_ms + kind.deadline_ms;
        if first_ms == self.now_ms && first_ms >= WARM_UP_MS {
            self.figures.requests += 1;
            self.figures.ranks.entry(kind.rank).or_default().1 += 1;
            self.figures.owed += worth_of(kind);
        }
        let terms = RetryPolicy { is_idempotent: kind.is_idempotent, attempts_max: 2, deadline_ms };
        let work = self.spread() * kind.work_ms;
        self.requests.push(Request {
            kind,
            kind_index,
            origin,
            arrived_ms: self.now_ms,
            first_ms,
            attempts: Attempts::new(terms),
            tries_left,
            retry_after_ms: 0,
            work,
            is_done: false,
        });
        self.begin(self.requests.len() - 1);
    }

    fn begin(&mut self, request: usize) {
        let choice = self.choose(request);
        let Request { origin, .. } = self.requests[request];
        let (door, wait_max_ms) = match choice {
            Placement::Local { wait_max_ms } => (origin, wait_max_ms),
            Placement::Peer { name, wait_max_ms, .. } => {
                let door = name[1..].parse().expect("names end with their number");
                self.daemons[origin].peers.call_started(&name);
                (door, wait_max_ms)
            }
            Placement::Full { retry_after_ms } => {
                let held_ms = &mut self.requests[request].retry_after_ms;
                *held_ms = (*held_ms).max(retry_after_ms);
                return self.refuse(request);
            }
            Placement::NoTarget => return self.refuse(request),
        };
        let name = self.daemons[door].peers.local().name.clone();
        let Request { attempts, .. } = &mut self.requests[request];
        attempts.start(name);
        let bounces = self.policy == Policy::Placer && !attempts.daemons_exhausted();
        let wait_max_ms = wait_max_ms.filter(|_| bounces);
        let at_ms = self.now_ms + self.way_ms(origin, door);
        if at_ms >= WARM_UP_MS && self.daemons[origin].region != self.daemons[door].region {
            self.figures.far += 1;
        }
        self.schedule(at_ms, Event::AtDoor { request, door, wait_max_ms });
    }

    fn way_ms(&self, from: usize, to: usize) -> u64 {
        let (from_daemon, to_daemon) = (&self.daemons[from], &self.daemons[to]);
        if from == to {
            0
        } else if from_daemon.region != to_daemon.region {
            REGION_WAY_MS
        } else if from_daemon.zone != to_daemon.zone {
            ZONE_WAY_MS
        } else {
            1
        }
    }

    fn choose(&mut self, request: usize) -> Placement {
        let random = self.random();
        let (origin, kind) = (self.requests[request].origin, self.requests[request].kind);
        let tried = self.requests[request].attempts.tried_daemons().clone();
        let left_ms = self.requests[request].attempts.left_ms(self.now_ms);
        let own_state = self.state(origin);
        let own = own_state.target.as_ref();
        if matches!(self.policy, Policy::Placer | Policy::PlacerWithoutBounce) {
            let ask = PlacementQuery {
                service: "s",
                tried_daemons: &tried,
                is_idempotent: kind.is_idempotent,
                rank: kind.rank,
                goal_ms: (self.requests[request].first_ms + kind.goal_ms)
                    .saturating_sub(self.now_ms),
                left_ms,
                service_ms: self.usual[self.requests[request].kind_index].service_ms,
                random,
            };
            return placer::choose(&self.daemons[origin].peers, own, &ask, self.now_ms);
        }
        let usable: Vec<(Arc<str>, TargetLoad)> = self.daemons[origin]
            .peers
            .linked()
            .filter(|peer| !tried.contains(&peer.record.name))
            .filter_map(|peer| Some((peer.record.name.clone(), peer.ready_target()?.load)))
            .collect();
        let chosen = match self.policy {
            Policy::RoundRobin => {
                self.turn += 1;
                usable.get(self.turn % usable.len().max(1))
            }
            Policy::LeastLoaded => {
                usable.iter().min_by_key(|(_, load)| load.running + load.waiting)
            }
            _ => usable.get((random * usable.len() as f64) as usize),
        };
        chosen.map_or(Placement::NoTarget, |(name, _)| Placement::Peer {
            name: name.clone(),
            target_id: "t".into(),
            wait_max_ms: None,
        })
    }

    fn at_door(&mut self, request: usize, door: usize, wait_max_ms: Option<u32>) {
        if self.now_ms >= WARM_UP_MS {
            self.figures.arrivals += 1;
        }
        let kind_index = self.requests[request].kind_index;
        let Request { kind, first_ms, .. } = &self.requests[request];
        let guarded = self.policy != Policy::NoGuard;
        let deadline_ms = first_ms + kind.deadline_ms;
        let arrival = Arrival {
            ticket: request as u64,
            deadline_ms,
            goal_ms: if guarded { first_ms + kind.goal_ms } else { deadline_ms },
            rank: if guarded { kind.rank } else { 0 },
            service_ms: if guarded { self.usual[kind_index].service_ms } else { Some(0.0) },
            wait_max_ms: wait_max_ms.map(f64::from),
        };
        match self.daemons[door].door.admit(self.now_ms, arrival) {
            Decision::Run => self.hand_over(request, door),
            Decision::Queue => {}
            Decision::Displace { ticket } => {
                self.answer(ticket as usize, door, ResultCode::TargetFull, false);
            }
            Decision::Refuse(code) => self.answer(request, door, code, false),
        }
        self.expire(door);
    }

    fn expire(&mut self, door: usize) {
        for ticket in self.daemons[door].door.expire(self.now_ms) {
            self.answer(ticket as usize, door, ResultCode::DeadlineBeforeRun, false);
        }
    }

    fn hand_over(&mut self, request: usize, door: usize) {
        let is_third = door.is_multiple_of(3);
        let in_trouble = self.in_trouble(self.now_ms);
        let mut service_ms = self.requests[request].work / self.daemons[door].speed;
        let mut has_failed = false;
        match self.pattern.trouble {
            Trouble::Slow(factor) if in_trouble && is_third => service_ms *= factor,
            Trouble::Failing(share) if in_trouble && is_third => {
                has_failed = self.random() < share;
            }
            _ => {}
        }
        if has_failed {
            service_ms *= 0.2;
        }
        let service_ms = service_ms.max(1.0) as u64;
        let finished = Event::Finished { request, door, service_ms, has_failed };
        self.schedule(self.now_ms + service_ms, finished);
    }

    fn finish(&mut self, request: usize, door: usize, service_ms: u64, has_failed: bool) {
        let kind_index = self.requests[request].kind_index;
        let state = &mut self.daemons[door];
        state.failed += (f64::from(u8::from(has_failed)) - state.failed) * 0.08;
        if !has_failed {
            self.usual[kind_index].record_service(service_ms as f64);
        }
        let (next, expired) = state.door.finish(self.now_ms, service_ms);
        for ticket in expired {
            self.answer(ticket as usize, door, ResultCode::DeadlineBeforeRun, false);
        }
        if let Some(ticket) = next {
            self.hand_over(ticket as usize, door);
        }
        self.answer(request, door, ResultCode::Answered, has_failed);
    }

    fn answer(&mut self, request: usize, door: usize, code: ResultCode, has_failed: bool) {
        let reached_target = code == ResultCode::Answered;
        let http_status = if has_failed { 500 } else { code.http_status() };
        let end = AttemptResult { code, http_status, reached_target };
        let (load, backlog_ms) = (self.load(door), self.daemons[door].door.backlog_ms() as u64);
        let at_ms = self.now_ms + self.way_ms(door, self.requests[request].origin);
        self.schedule(at_ms, Event::Ended { request, door, end, backlog_ms, load });
    }

    fn attempt_ended(
        &mut self,
        request: usize,
        door: usize,
        end: AttemptResult,
        backlog_ms: u64,
        load: TargetLoad,
    ) {
        let origin = self.requests[request].origin;
        if door != origin {
            let name = self.daemons[door].peers.local().name.clone();
            let peers = &mut self.daemons[origin].peers;
            peers.call_ended(&name, false, self.now_ms);
            peers.apply_load(&name, load, self.now_ms);
        }
        let state = &mut self.requests[request];
        state.retry_after_ms = state.retry_after_ms.max(backlog_ms);
        match state.attempts.finish(end) {
            NextAction::Respond => self.served(request, end.http_status < 500),
            NextAction::Fail(_) => self.refuse(request),
            NextAction::HoldResponse | NextAction::Continue => {
                if state.attempts.left_ms(self.now_ms) == 0 {
                    return self.refuse(request);
                }
                self.begin(request);
            }
        }
    }

    fn served(&mut self, request: usize, is_success: bool) {
        let now_ms = self.now_ms;
        let state = &mut self.requests[request];
        if std::mem::replace(&mut state.is_done, true) || state.first_ms < WARM_UP_MS {
            return;
        }
        let took_ms = now_ms - state.first_ms;
        if !is_success || took_ms > state.kind.deadline_ms {
            self.figures.failed += 1;
        } else if took_ms > state.kind.goal_ms {
            self.figures.late += 1;
            self.figures.earned += LATE_WORTH * worth_of(state.kind);
            self.figures.times_ms.push(took_ms);
        } else {
            self.figures.in_time += 1;
            self.figures.earned += worth_of(state.kind);
            self.figures.times_ms.push(took_ms);
            self.figures.ranks.entry(state.kind.rank).or_default().0 += 1;
        }
    }

    fn refuse(&mut self, request: usize) {
        let random = self.random();
        let kind_index = self.requests[request].kind_index;
        let now_ms = self.now_ms;
        let state = &mut self.requests[request];
        if std::mem::replace(&mut state.is_done, true) {
            return;
        }
        let refused = RefusedRequest {
            wait_ms: state.retry_after_ms,
            left_ms: state.attempts.left_ms(now_ms),
            rank: state.kind.rank,
            random,
        };
        let pause_ms = retry_after::hint_ms(refused);
        let (origin, first_ms, tries_left) = (state.origin, state.first_ms, state.tries_left);
        if first_ms >= WARM_UP_MS && now_ms > state.arrived_ms + state.kind.goal_ms / 8 {
            self.figures.refused_late += 1;
        }
        let is_patient = !matches!(self.pattern.trouble, Trouble::Impatient(_));
        let pause_ms = if is_patient { pause_ms } else { 5 };
        if tries_left > 0 && pause_ms < state.attempts.left_ms(now_ms) {
            let tries_left = tries_left - 1;
            let arrival = Event::Arrival { origin, kind: kind_index, first_ms, tries_left };
            // One millisecond tells a caller that comes back from one that is new.
            self.schedule(now_ms + pause_ms.max(1), arrival);
        } else if first_ms >= WARM_UP_MS {
            self.figures.refused += 1;
        }
    }
}

/// The patterns that the placer, the doors and the refusals are made for.
pub fn patterns() -> Vec<Pattern> {
    let lookup = Kind {
        share: 0.72,
        work_ms: 160.0,
        goal_ms: 600,
        deadline_ms: 2_500,
        rank: 2,
        is_idempotent: true,
    };
    let order = Kind {
        share: 0.28,
        work_ms: 210.0,
        goal_ms: 800,
        deadline_ms: 3_000,
        rank: 1,
        is_idempotent: false,
    };
    let base = Pattern {
        name: "steady",
        regions: 3,
        targets: 24,
        slots: 6,
        load: 0.65,
        kinds: vec![lookup, order],
        trouble: Trouble::None,
        from_ms: 8_000,
        until_ms: 14_000,
        end_ms: 20_000,
    };
    let with = |name, load, trouble| Pattern { name, load, trouble, ..base.clone() };
    vec![
        base.clone(),
        with("burst", 0.65, Trouble::Burst(1.7)),
        with("zone-burst", 0.6, Trouble::ZoneBurst(3.0)),
        with("slow-third", 0.5, Trouble::Slow(5.0)),
        with("failing-third", 0.5, Trouble::Failing(0.5)),
        with("lost-third", 0.6, Trouble::Lost(0.34)),
        with("herd", 0.7, Trouble::Lost(0.55)),
        with("overload", 1.3, Trouble::None),
        with("impatient", 1.1, Trouble::Impatient(3)),
    ]
}
