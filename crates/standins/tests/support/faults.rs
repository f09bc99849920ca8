//! Faults of every kind, generated for randomised runs.

use super::{LOCATIONS, MessageFaults, SimulatedFleet};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// A step of a randomised run: a fault, the end of one, or time that passes.
#[derive(Clone, Debug)]
pub enum Fault {
    Kill {
        vm: usize,
    },
    KillZone {
        vm: usize,
    },
    KillAll,
    Start {
        vm: usize,
    },
    StartAll,
    /// Suspends a daemon.
    Freeze {
        vm: usize,
        for_ms: u64,
    },
    /// Isolates a VM from all others and from the store.
    Isolate {
        vm: usize,
        for_ms: u64,
    },
    StoreOutage {
        for_ms: u64,
    },
    SlowStore {
        for_ms: u64,
    },
    /// The next writes to the store take effect, but their replies are lost.
    LoseReplies {
        count: u32,
    },
    /// Messages are lost, delayed and duplicated with these probabilities, in percent.
    MessageFaults {
        lost: u64,
        delayed: u64,
        duplicated: u64,
    },
    EndMessageFaults,
    Wait {
        for_ms: u64,
    },
}

/// Generates one step; the number before each arm is its weight.
pub fn fault() -> impl Strategy<Value = Fault> {
    let vm = 0..LOCATIONS.len();
    prop_oneof![
        2 => vm.clone().prop_map(|vm| Fault::Kill { vm }),
        1 => vm.clone().prop_map(|vm| Fault::KillZone { vm }),
        1 => Just(Fault::KillAll),
        3 => vm.clone().prop_map(|vm| Fault::Start { vm }),
        2 => Just(Fault::StartAll),
        2 => (vm.clone(), 500..12_000u64)
            .prop_map(|(vm, for_ms)| Fault::Freeze { vm, for_ms }),
        2 => (vm, 500..12_000u64).prop_map(|(vm, for_ms)| Fault::Isolate { vm, for_ms }),
        2 => (500..20_000u64).prop_map(|for_ms| Fault::StoreOutage { for_ms }),
        1 => (500..10_000u64).prop_map(|for_ms| Fault::SlowStore { for_ms }),
        2 => (1..4u32).prop_map(|count| Fault::LoseReplies { count }),
        1 => (0..20u64, 0..30u64, 0..20u64)
            .prop_map(
                |(lost, delayed, duplicated)| Fault::MessageFaults { lost, delayed, duplicated }
            ),
        1 => Just(Fault::EndMessageFaults),
        8 => (0..4_000u64).prop_map(|for_ms| Fault::Wait { for_ms }),
    ]
}

/// Creates a runner with a fixed seed. `POMELORUNS` multiplies the number of cases.
pub fn runner(seed: u8, cases: u32) -> TestRunner {
    let factor =
        std::env::var("POMELORUNS").ok().and_then(|factor| factor.parse().ok()).unwrap_or(1);
    let config = Config { cases: cases * factor, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]))
}

impl SimulatedFleet {
    /// Applies a step; of all steps only `Wait` advances the time.
    pub fn inject(&mut self, fault: &Fault) {
        match *fault {
            Fault::Kill { vm } => self.kill(vm),
            Fault::KillZone { vm } => {
                let zone = self.vms[vm].info.zone.clone();
                for index in 0..self.vms.len() {
                    if self.vms[index].info.zone == zone {
                        self.kill(index);
                    }
                }
            }
            Fault::KillAll => (0..self.vms.len()).for_each(|index| self.kill(index)),
            Fault::Start { vm } => self.start(vm),
            Fault::StartAll => self.start_all(),
            Fault::Freeze { vm, for_ms } => self.freeze(vm, for_ms),
            Fault::Isolate { vm, for_ms } => self.isolate(vm, for_ms),
            Fault::StoreOutage { for_ms } => {
                self.store_faults.outage_until_ms = self.now_ms + for_ms;
            }
            Fault::SlowStore { for_ms } => {
                self.store_faults.slow_until_ms = self.now_ms + for_ms;
            }
            Fault::LoseReplies { count } => self.store_faults.lose_replies = count,
            Fault::MessageFaults { lost, delayed, duplicated } => {
                self.message_faults = MessageFaults {
                    lost_percent: lost,
                    delayed_percent: delayed,
                    duplicated_percent: duplicated,
                };
            }
            Fault::EndMessageFaults => self.message_faults = MessageFaults::default(),
            Fault::Wait { for_ms } => self.run(for_ms),
        }
    }
}
