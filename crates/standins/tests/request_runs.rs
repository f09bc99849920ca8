//! Long randomised runs over the decisions of requests: attempts, budget, choice and the door.

mod support;

use pomeloreach_core::admission::{Admission, Arrival, Decision};
use pomeloreach_core::attempt::{Attempts, Next};
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

/// Runs of this test in CI.
const RUNS: u32 = 500;
/// Targets in the pool.
const TARGETS: usize = 5;
/// How long each request has, in milliseconds.
const DEADLINE_MS: u64 = 1_000;

/// How a target treats what reaches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Good,
    /// Its daemon takes no connection.
    Dead,
    /// It runs requests and its answers are lost.
    LosesAnswers,
    /// It runs requests and never answers.
    Stalls,
    Drains,
}

#[derive(Clone, Debug)]
enum Step {
    Request {
        is_idempotent: bool,
    },
    Become {
        target: usize,
        health: Health,
    },
    /// The records lag behind: the proxy is told that the target is gone, or that it is back.
    Told {
        target: usize,
        gone: bool,
    },
    Wait {
        for_ms: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let health = prop_oneof![
        4 => Just(Health::Good),
        1 => Just(Health::Dead),
        1 => Just(Health::LosesAnswers),
        1 => Just(Health::Stalls),
        1 => Just(Health::Drains),
    ];
    let step = prop_oneof![
        12 => any::<bool>().prop_map(|is_idempotent| Step::Request { is_idempotent }),
        3 => (0..TARGETS, health).prop_map(|(target, health)| Step::Become { target, health }),
        1 => (0..TARGETS, any::<bool>()).prop_map(|(target, gone)| Step::Told { target, gone }),
        3 => (0..3_000u64).prop_map(|for_ms| Step::Wait { for_ms }),
    ];
    prop::collection::vec(step, 10..150)
}

struct Run {
    now_ms: u64,
    pool: Pool,
    balancer: Balancer,
    budget: RetryBudget,
    entries: Vec<Entry>,
    doors: Vec<Admission>,
    health: Vec<Health>,
    runs: BTreeMap<u64, u32>,
    requests: u64,
    retries: u64,
}

impl Run {
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
        let mut doors: Vec<Admission> = (0..TARGETS).map(|_| Admission::default()).collect();
        doors.iter_mut().for_each(|door| door.set_target(TargetState::Ready, 2));
        Self {
            now_ms: 10_000,
            pool,
            balancer: Balancer::new("here".into(), "z0".into(), seed),
            budget: RetryBudget::new(0),
            entries: entries.collect(),
            doors,
            health: vec![Health::Good; TARGETS],
            runs: BTreeMap::new(),
            requests: 0,
            retries: 0,
        }
    }

    fn take(&mut self, step: &Step) {
        match *step {
            Step::Request { is_idempotent } => self.request(is_idempotent),
            Step::Become { target, health } => {
                self.health[target] = health;
                let state = if health == Health::Drains {
                    TargetState::Draining
                } else {
                    TargetState::Ready
                };
                self.doors[target].set_target(state, 2);
            }
            Step::Told { target, gone } => {
                self.entries[target].record.gone = gone;
                self.entries[target].gone_since_ms = gone.then_some(self.now_ms);
            }
            Step::Wait { for_ms } => self.now_ms += for_ms,
        }
    }

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
                Next::Answer(code) => break code,
                Next::Retry => self.retries += 1,
            }
        };
        self.judge(id, is_idempotent, code, attempts.started());
    }

    fn attempt(&mut self, id: u64, target: &Endpoint, timeout_ms: u64) -> ResultCode {
        let index: usize = target.instance[1..].parse().unwrap();
        let began_ms = self.now_ms;
        self.balancer.record_start(&target.instance, began_ms);
        self.now_ms += 2;
        let code = self.at_target(id, index, timeout_ms);
        let observation = Observation::of(code);
        let latency_ms = self.now_ms - began_ms;
        self.balancer.record_end(&target.instance, observation, latency_ms, Some(0), self.now_ms);
        code
    }

    fn at_target(&mut self, id: u64, index: usize, timeout_ms: u64) -> ResultCode {
        if self.health[index] == Health::Dead {
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
        let arrived = self.doors[index].admit(self.now_ms, arrival);
        match arrived {
            Decision::Run => {}
            Decision::Refuse(code) => return code,
            Decision::Queue | Decision::Displace { .. } => {
                unreachable!("requests come one after the other")
            }
        }
        *self.runs.entry(id).or_default() += 1;
        let (code, took_ms) = match self.health[index] {
            Health::LosesAnswers => (ResultCode::AnswerLost, 5),
            Health::Stalls => (ResultCode::DeadlineAfterRun, timeout_ms),
            _ => (ResultCode::Answered, 5),
        };
        self.now_ms += took_ms;
        self.doors[index].finish(self.now_ms, took_ms);
        code
    }

    fn judge(&self, id: u64, is_idempotent: bool, code: ResultCode, made: u8) {
        let runs = self.runs.get(&id).copied().unwrap_or(0);
        match code.outcome() {
            Outcome::NotRun => assert_eq!(runs, 0, "request {id} said {code} and ran"),
            Outcome::Answered => assert!(runs >= 1, "request {id} was answered without a run"),
            Outcome::Unknown => {}
        }
        assert!(is_idempotent || runs <= 1, "order {id} ran {runs} times");
        assert!(made <= self.pool.attempts_max, "request {id} took {made} attempts");
        let all_good = self.health.iter().all(|health| *health == Health::Good);
        if all_good {
            assert_eq!(code, ResultCode::Answered, "every target is good");
        }
        let allowed = 4.0 + self.requests as f64 * 0.2 + self.now_ms as f64 / 1_000.0;
        assert!(self.retries as f64 <= allowed, "{} retries", self.retries);
    }
}

#[test]
fn true_answers() {
    let strategy = (any::<u64>(), steps());
    runner(5, RUNS)
        .run(&strategy, |(seed, steps)| {
            let mut run = Run::new(seed);
            steps.iter().for_each(|step| run.take(step));
            Ok(())
        })
        .unwrap();
}

/// With one bad target of five, no lookup is lost and no order is refused.
#[test]
fn one_bad_target() {
    for health in [Health::Dead, Health::Drains, Health::LosesAnswers, Health::Stalls] {
        let mut run = Run::new(3);
        run.health[0] = health;
        let state =
            if health == Health::Drains { TargetState::Draining } else { TargetState::Ready };
        run.doors[0].set_target(state, 2);
        for _ in 0..200 {
            let before = run.requests;
            run.request(true);
            assert!(run.runs.contains_key(&(before + 1)), "{health:?}");
            run.now_ms += 50;
        }
    }
}
