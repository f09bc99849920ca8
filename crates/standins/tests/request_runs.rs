//! Randomised runs over the handling of requests: attempts, retry budget, choice of targets and
//! admission. Lookups are idempotent requests, orders are not.

mod support;

use pomeloreach_core::admission::{Admission, Arrival, Decision};
use pomeloreach_core::attempt::{Attempts, NextStep};
use pomeloreach_core::balancer::{Balancer, Observation};
use pomeloreach_core::code::{Outcome, ResultCode};
use pomeloreach_core::endpoint::{Endpoint, TargetState};
use pomeloreach_core::membership::Entry;
use pomeloreach_core::membership::Origin;
use pomeloreach_core::retry_budget::RetryBudget;
use pomeloreach_core::row::Pool;
use proptest::prelude::*;
use std::collections::BTreeMap;
use support::faults::runner;

/// Generated cases; `POMELORUNS` multiplies them.
const CASES: u32 = 500;
/// The number of targets in the pool.
const TARGETS: usize = 5;
/// The deadline of each request, counted from its start, in milliseconds.
const DEADLINE_MS: u64 = 1_000;

/// How a target and its daemon handle requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Healthy,
    /// Its daemon accepts no connections.
    Unreachable,
    /// It runs requests, but the responses are lost.
    LosesResponses,
    /// It runs requests and never responds.
    Stalls,
    /// It has announced that it drains.
    Draining,
}

/// A step of a case.
#[derive(Clone, Debug)]
enum Step {
    Request {
        is_idempotent: bool,
    },
    SetHealth {
        target: usize,
        health: Health,
    },
    /// The balancer's record of a target is marked as gone or as live, whether or not that is true:
    /// records can arrive late.
    SetGone {
        target: usize,
        gone: bool,
    },
    Wait {
        for_ms: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let health = prop_oneof![
        4 => Just(Health::Healthy),
        1 => Just(Health::Unreachable),
        1 => Just(Health::LosesResponses),
        1 => Just(Health::Stalls),
        1 => Just(Health::Draining),
    ];
    let step = prop_oneof![
        12 => any::<bool>().prop_map(|is_idempotent| Step::Request { is_idempotent }),
        3 => (0..TARGETS, health).prop_map(|(target, health)| Step::SetHealth { target, health }),
        1 => (0..TARGETS, any::<bool>()).prop_map(|(target, gone)| Step::SetGone { target, gone }),
        3 => (0..3_000u64).prop_map(|for_ms| Step::Wait { for_ms }),
    ];
    prop::collection::vec(step, 10..150)
}

/// One generated case: a balancer and the targets of its pool.
struct Case {
    now_ms: u64,
    pool: Pool,
    balancer: Balancer,
    budget: RetryBudget,
    entries: Vec<Entry>,
    /// The admission queue of each target's daemon.
    inbound: Vec<Admission>,
    health: Vec<Health>,
    /// How often each request ran, by its number.
    runs: BTreeMap<u64, u32>,
    requests: u64,
    retries: u64,
}

impl Case {
    fn new(seed: u64) -> Self {
        let pool = serde_json::from_value(serde_json::json!({"service": "s"})).unwrap();
        let entries = (0..TARGETS).map(|target| Entry {
            record: Endpoint {
                instance: format!("t{target}").into(),
                sequence: 1,
                service: "s".into(),
                state: TargetState::Ready,
                region: if target < 3 { "here".into() } else { "there".into() },
                zone: format!("z{target}").into(),
                addr: ([10, 0, 0, target as u8], 1).into(),
                slots: 2,
                gone: false,
            },
            origin: Origin::Local,
            expires_ms: None,
            gone_since_ms: None,
            state_since_ms: 0,
        });
        let mut inbound: Vec<Admission> = (0..TARGETS).map(|_| Admission::default()).collect();
        inbound.iter_mut().for_each(|admission| admission.set_target(TargetState::Ready, 2));
        Self {
            now_ms: 10_000,
            pool,
            balancer: Balancer::new("here".into(), "z0".into(), seed),
            budget: RetryBudget::new(0),
            entries: entries.collect(),
            inbound,
            health: vec![Health::Healthy; TARGETS],
            runs: BTreeMap::new(),
            requests: 0,
            retries: 0,
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Request { is_idempotent } => self.request(is_idempotent),
            Step::SetHealth { target, health } => {
                self.health[target] = health;
                let state = if health == Health::Draining {
                    TargetState::Draining
                } else {
                    TargetState::Ready
                };
                self.inbound[target].set_target(state, 2);
            }
            Step::SetGone { target, gone } => {
                self.entries[target].record.gone = gone;
                self.entries[target].gone_since_ms = gone.then_some(self.now_ms);
            }
            Step::Wait { for_ms } => self.now_ms += for_ms,
        }
    }

    /// Makes the attempts of one request and checks its final code.
    fn request(&mut self, is_idempotent: bool) {
        self.requests += 1;
        let id = self.requests;
        let deadline_ms = self.now_ms + DEADLINE_MS;
        let mut attempts = Attempts::new(is_idempotent, self.pool.attempts_max, deadline_ms);
        self.budget.deposit(self.pool.retry_budget_percent);
        let code = loop {
            let chosen =
                self.balancer.choose(&self.pool, &self.entries, attempts.tried(), self.now_ms);
            let Some(target) = chosen else { break attempts.final_code(ResultCode::NoTarget) };
            let timeout_ms = attempts.start(target.instance.clone(), self.now_ms);
            let code = self.attempt(id, &target, timeout_ms);
            match attempts.finish(code, self.now_ms, &mut self.budget) {
                NextStep::Respond(code) => break code,
                NextStep::Retry => self.retries += 1,
            }
        };
        self.check_response(id, is_idempotent, code, attempts.started());
    }

    /// Makes one attempt and records it in the balancer.
    fn attempt(&mut self, id: u64, target: &Endpoint, timeout_ms: u64) -> ResultCode {
        let index: usize = target.instance[1..].parse().unwrap();
        let began_ms = self.now_ms;
        self.balancer.record_start(&target.instance, began_ms);
        self.now_ms += 2;
        let code = self.run_at_target(id, index, timeout_ms);
        let observation = Observation::of(code);
        let latency_ms = self.now_ms - began_ms;
        self.balancer.record_end(&target.instance, observation, latency_ms, Some(0), self.now_ms);
        code
    }

    /// Runs a request at a target if it is admitted, and returns the code of the attempt.
    fn run_at_target(&mut self, id: u64, index: usize, timeout_ms: u64) -> ResultCode {
        if self.health[index] == Health::Unreachable {
            return ResultCode::TargetUnreachable;
        }
        let deadline_ms = self.now_ms + timeout_ms;
        let arrival = Arrival {
            ticket: id,
            deadline_ms,
            goal_ms: deadline_ms,
            rank: 0,
            service_ms: None,
            wait_max_ms: None,
        };
        let decision = self.inbound[index].admit(self.now_ms, arrival);
        match decision {
            Decision::Run => {}
            Decision::Refuse(code) => return code,
            Decision::Queue | Decision::Displace { .. } => {
                unreachable!("requests run one after the other")
            }
        }
        *self.runs.entry(id).or_default() += 1;
        let (code, took_ms) = match self.health[index] {
            Health::LosesResponses => (ResultCode::AnswerLost, 5),
            Health::Stalls => (ResultCode::DeadlineAfterRun, timeout_ms),
            _ => (ResultCode::Answered, 5),
        };
        self.now_ms += took_ms;
        self.inbound[index].finish(self.now_ms, took_ms);
        code
    }

    /// Checks that the code agrees with how often the request ran, that an order ran at most once,
    /// and that attempts and retries stay within their limits.
    fn check_response(&self, id: u64, is_idempotent: bool, code: ResultCode, attempts: u8) {
        let runs = self.runs.get(&id).copied().unwrap_or(0);
        match code.outcome() {
            Outcome::NotRun => assert_eq!(runs, 0, "request {id} ran despite {code}"),
            Outcome::Answered => assert!(runs >= 1, "request {id} was answered without a run"),
            Outcome::Unknown => {}
        }
        assert!(is_idempotent || runs <= 1, "order {id} ran {runs} times");
        assert!(attempts <= self.pool.attempts_max, "request {id} took {attempts} attempts");
        let all_healthy = self.health.iter().all(|health| *health == Health::Healthy);
        if all_healthy {
            assert_eq!(code, ResultCode::Answered, "request {id}, with all targets healthy");
        }
        // The retry budget starts with 3 tokens and gains at most one a second and a fifth of one for
        // each request. The bound allows one retry more.
        let retries_max = 4.0 + self.requests as f64 * 0.2 + self.now_ms as f64 / 1_000.0;
        assert!(self.retries as f64 <= retries_max, "{} retries", self.retries);
    }
}

#[test]
fn codes_match_runs() {
    let strategy = (any::<u64>(), steps());
    runner(5, CASES)
        .run(&strategy, |(seed, steps)| {
            let mut case = Case::new(seed);
            steps.iter().for_each(|step| case.apply(step));
            Ok(())
        })
        .unwrap();
}

/// With one unhealthy target of five, every lookup runs at some target.
#[test]
fn one_unhealthy_target() {
    for health in [Health::Unreachable, Health::Draining, Health::LosesResponses, Health::Stalls] {
        let mut case = Case::new(3);
        case.health[0] = health;
        let state =
            if health == Health::Draining { TargetState::Draining } else { TargetState::Ready };
        case.inbound[0].set_target(state, 2);
        for _ in 0..200 {
            let before = case.requests;
            case.request(true);
            assert!(case.runs.contains_key(&(before + 1)), "{health:?}");
            case.now_ms += 50;
        }
    }
}
