//! Faults of every kind, generated for randomised runs.

use super::{Exchange, Noise, PLACES};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Something that goes wrong, or time in which it may take effect.
#[derive(Clone, Debug)]
pub enum Trouble {
    Kill { seat: usize },
    KillZone { seat: usize },
    KillAll,
    Start { seat: usize },
    StartAll,
    Freeze { seat: usize, for_ms: u64 },
    Cut { seat: usize, for_ms: u64 },
    StoreAway { for_ms: u64 },
    StoreSlow { for_ms: u64 },
    LoseAnswers { count: u32 },
    Noise { lost: u64, late: u64, repeated: u64 },
    Calm,
    Wait { for_ms: u64 },
}

pub fn trouble() -> impl Strategy<Value = Trouble> {
    let seat = 0..PLACES.len();
    prop_oneof![
        2 => seat.clone().prop_map(|seat| Trouble::Kill { seat }),
        1 => seat.clone().prop_map(|seat| Trouble::KillZone { seat }),
        1 => Just(Trouble::KillAll),
        3 => seat.clone().prop_map(|seat| Trouble::Start { seat }),
        2 => Just(Trouble::StartAll),
        2 => (seat.clone(), 500..12_000u64)
            .prop_map(|(seat, for_ms)| Trouble::Freeze { seat, for_ms }),
        2 => (seat, 500..12_000u64).prop_map(|(seat, for_ms)| Trouble::Cut { seat, for_ms }),
        2 => (500..20_000u64).prop_map(|for_ms| Trouble::StoreAway { for_ms }),
        1 => (500..10_000u64).prop_map(|for_ms| Trouble::StoreSlow { for_ms }),
        2 => (1..4u32).prop_map(|count| Trouble::LoseAnswers { count }),
        1 => (0..20u64, 0..30u64, 0..20u64)
            .prop_map(|(lost, late, repeated)| Trouble::Noise { lost, late, repeated }),
        1 => Just(Trouble::Calm),
        8 => (0..4_000u64).prop_map(|for_ms| Trouble::Wait { for_ms }),
    ]
}

/// A runner with a fixed seed; `POMELORUNS` multiplies its cases.
pub fn runner(seed: u8, cases: u32) -> TestRunner {
    let factor = std::env::var("POMELORUNS").ok().and_then(|runs| runs.parse().ok()).unwrap_or(1);
    let config = Config { cases: cases * factor, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]))
}

impl Exchange {
    pub fn make_trouble(&mut self, trouble: &Trouble) {
        match *trouble {
            Trouble::Kill { seat } => self.kill(seat),
            Trouble::KillZone { seat } => {
                let zone = self.seats[seat].info.zone.clone();
                for index in 0..self.seats.len() {
                    if self.seats[index].info.zone == zone {
                        self.kill(index);
                    }
                }
            }
            Trouble::KillAll => (0..self.seats.len()).for_each(|index| self.kill(index)),
            Trouble::Start { seat } => self.start(seat),
            Trouble::StartAll => self.start_all(),
            Trouble::Freeze { seat, for_ms } => self.freeze(seat, for_ms),
            Trouble::Cut { seat, for_ms } => self.cut(seat, for_ms),
            Trouble::StoreAway { for_ms } => {
                self.store_trouble.outage_until_ms = self.now_ms + for_ms;
            }
            Trouble::StoreSlow { for_ms } => {
                self.store_trouble.slow_until_ms = self.now_ms + for_ms;
            }
            Trouble::LoseAnswers { count } => self.store_trouble.lose_answers = count,
            Trouble::Noise { lost, late, repeated } => {
                self.noise =
                    Noise { lost_percent: lost, late_percent: late, repeated_percent: repeated };
            }
            Trouble::Calm => self.noise = Noise::default(),
            Trouble::Wait { for_ms } => self.run(for_ms),
        }
    }
}
