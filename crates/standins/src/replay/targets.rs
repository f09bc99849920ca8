//! The daemons with their targets: admission, runs and load reports.

use super::callers::Request;
use super::pattern::Disturbance;
use super::policy::Policy;
use super::{Event, Simulation, WARM_UP_MS};
use pomeloreach_core::admission::{Admission, Arrival, Decision};
use pomeloreach_core::code::ResultCode;
use pomeloreach_core::endpoint::TargetState;
use pomeloreach_core::mesh::attempts::AttemptResult;
use pomeloreach_core::mesh::peers::Peers;
use pomeloreach_core::mesh::state::{ConfigState, DaemonState, TargetLoad, TargetSummary};

/// A simulated daemon with its target.
pub(super) struct Daemon {
    pub(super) peers: Peers,
    /// The admission queue of the inbound proxy.
    pub(super) inbound: Admission,
    pub(super) zone: usize,
    pub(super) region: usize,
    /// How fast the target works; 1 is the mean.
    pub(super) speed: f64,
    /// Whether the target has lapsed.
    pub(super) has_lapsed: bool,
    /// The moving average of the share of failed requests.
    pub(super) failed_share: f64,
}

impl Simulation<'_> {
    /// Returns the state that a daemon reports to others.
    pub(super) fn daemon_state(&self, daemon: usize) -> DaemonState {
        let state = &self.daemons[daemon];
        let target = TargetSummary {
            id: format!("t{daemon}").into(),
            born_unix_ms: 1,
            service: "s".into(),
            state: if state.has_lapsed { TargetState::Lapsed } else { TargetState::Ready },
            load: self.target_load(daemon),
        };
        DaemonState { leaving: false, target: Some(target), config: ConfigState::default() }
    }

    /// Returns the load of a daemon's target.
    pub(super) fn target_load(&self, daemon: usize) -> TargetLoad {
        let Daemon { inbound, failed_share, .. } = &self.daemons[daemon];
        TargetLoad {
            running: inbound.running(),
            waiting: inbound.waiting(),
            ahead: inbound.ahead(),
            ahead_by_account: inbound.ahead_by_account(),
            slots: inbound.slots(),
            service_ms: inbound.service_ms() as f32,
            failed_permille: (failed_share * 1_000.0) as u16,
            ..TargetLoad::default()
        }
    }

    /// Lets a share of the targets lapse, or makes them ready again, and reports this at once.
    pub(super) fn set_targets_lapsed(&mut self, share: f64, has_lapsed: bool) {
        let lapsed_count = (self.daemons.len() as f64 * share) as usize;
        for daemon in 0..lapsed_count {
            self.daemons[daemon].has_lapsed = has_lapsed;
            let state = if has_lapsed { TargetState::Lapsed } else { TargetState::Ready };
            self.daemons[daemon].inbound.set_target(state, self.pattern.slots);
            self.report_state(daemon);
        }
    }

    /// Reports a daemon's state to all others.
    pub(super) fn report_state(&mut self, from: usize) {
        let (state, now_ms) = (self.daemon_state(from), self.now_ms);
        let name = self.daemons[from].peers.local().name.clone();
        for to in (0..self.daemons.len()).filter(|to| *to != from) {
            self.daemons[to].peers.apply_state(&name, state.clone(), now_ms);
        }
    }

    /// Lets the inbound proxy of the target's daemon run, queue or refuse an attempt.
    pub(super) fn admit_attempt(
        &mut self,
        request: usize,
        daemon: usize,
        wait_max_ms: Option<u32>,
    ) {
        if self.now_ms >= WARM_UP_MS {
            self.results.inbound_arrivals += 1;
        }
        let kind_index = self.requests[request].kind_index;
        let Request { kind, first_sent_ms, .. } = &self.requests[request];
        let uses_goals_and_ranks = self.policy != Policy::NoGuard;
        let deadline_ms = first_sent_ms + kind.deadline_ms;
        let arrival = Arrival {
            ticket: request as u64,
            deadline_ms,
            goal_ms: if uses_goals_and_ranks { first_sent_ms + kind.goal_ms } else { deadline_ms },
            rank: if uses_goals_and_ranks { kind.rank } else { 0 },
            service_ms: if uses_goals_and_ranks {
                self.typical_times[kind_index].service_ms
            } else {
                Some(0.0)
            },
            wait_max_ms: wait_max_ms.map(f64::from),
        };
        let is_fair = matches!(self.policy, Policy::Placer | Policy::PlacerWithoutBounce);
        let account = self.requests[request].account.filter(|_| is_fair);
        let account = account.map(|account| format!("a{account}").into());
        match self.daemons[daemon].inbound.admit_from(self.now_ms, arrival, account) {
            Decision::Run => self.forward(request, daemon),
            Decision::Queue => {}
            Decision::Displace { ticket } => {
                self.respond(ticket as usize, daemon, ResultCode::TargetFull, false);
            }
            Decision::Refuse(code) => self.respond(request, daemon, code, false),
        }
        self.refuse_expired(daemon);
    }

    /// Refuses the queued requests that would miss their deadlines.
    pub(super) fn refuse_expired(&mut self, daemon: usize) {
        for ticket in self.daemons[daemon].inbound.expire(self.now_ms) {
            self.respond(ticket as usize, daemon, ResultCode::DeadlineBeforeRun, false);
        }
    }

    /// Forwards an admitted request to the target and schedules the end of its run.
    pub(super) fn forward(&mut self, request: usize, daemon: usize) {
        let is_in_third = daemon.is_multiple_of(3);
        let is_disturbed = self.is_disturbed(self.now_ms);
        let mut service_ms = self.requests[request].work_ms / self.daemons[daemon].speed;
        let mut has_failed = false;
        match self.pattern.disturbance {
            Disturbance::Slow(factor) if is_disturbed && is_in_third => service_ms *= factor,
            Disturbance::Failing(share) if is_disturbed && is_in_third => {
                has_failed = self.random() < share;
            }
            _ => {}
        }
        if has_failed {
            service_ms *= 0.2;
        }
        let service_ms = service_ms.max(1.0) as u64;
        let finished = Event::RunFinished { request, daemon, service_ms, has_failed };
        self.schedule(self.now_ms + service_ms, finished);
    }

    /// Ends a run: updates the averages, forwards the next queued request and responds.
    pub(super) fn finish_run(
        &mut self,
        request: usize,
        daemon: usize,
        service_ms: u64,
        has_failed: bool,
    ) {
        let kind_index = self.requests[request].kind_index;
        let state = &mut self.daemons[daemon];
        // 0.08 is the weight of one request in the moving average, as in the daemon's inbound proxy.
        state.failed_share += (f64::from(u8::from(has_failed)) - state.failed_share) * 0.08;
        if !has_failed {
            self.typical_times[kind_index].record_service(service_ms as f64);
        }
        let (next, expired) = state.inbound.finish(self.now_ms, service_ms);
        for ticket in expired {
            self.respond(ticket as usize, daemon, ResultCode::DeadlineBeforeRun, false);
        }
        if let Some(ticket) = next {
            self.forward(ticket as usize, daemon);
        }
        self.respond(request, daemon, ResultCode::Answered, has_failed);
    }

    /// Sends the result of an attempt to the origin, with the current load of the target.
    pub(super) fn respond(
        &mut self,
        request: usize,
        daemon: usize,
        code: ResultCode,
        has_failed: bool,
    ) {
        let reached_target = code == ResultCode::Answered;
        let http_status = if has_failed { 500 } else { code.http_status() };
        let result = AttemptResult { code, http_status, reached_target };
        let (load, backlog_ms) =
            (self.target_load(daemon), self.daemons[daemon].inbound.backlog_ms() as u64);
        let at_ms = self.now_ms + self.one_way_ms(daemon, self.requests[request].origin);
        self.schedule(at_ms, Event::AttemptEnded { request, daemon, result, backlog_ms, load });
    }
}
