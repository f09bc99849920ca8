//! Long randomised runs over membership: targets come, go, drain, freeze, and come back.

mod support;

use pomeloreach_core::endpoint::TargetState;
use proptest::prelude::*;
use proptest::test_runner::TestError;
use support::faults::{Trouble, runner, trouble};
use support::{Exchange, PLACES};

/// Runs of this test in CI.
const RUNS: u32 = 300;
/// How long records may take to agree after all trouble, in milliseconds.
const AGREED_MS: u64 = 30_000;

#[derive(Clone, Debug)]
enum Step {
    Announce { seat: usize, state: TargetState },
    Subscribe { seat: usize },
    Trouble(Trouble),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let seat = 0..PLACES.len();
    let state = prop_oneof![
        Just(TargetState::Starting),
        Just(TargetState::Ready),
        Just(TargetState::Ready),
        Just(TargetState::Draining),
        Just(TargetState::Lapsed),
    ];
    let step = prop_oneof![
        8 => (seat.clone(), state).prop_map(|(seat, state)| Step::Announce { seat, state }),
        2 => seat.prop_map(|seat| Step::Subscribe { seat }),
        20 => trouble().prop_map(Step::Trouble),
    ];
    prop::collection::vec(step, 5..50)
}

fn run_steps(exchange: &mut Exchange, steps: &[Step]) {
    exchange.start_all();
    for seat in 0..PLACES.len() {
        exchange.announce(seat, TargetState::Ready);
        exchange.subscribe(seat);
    }
    exchange.run(3_000);
    for step in steps {
        match step {
            Step::Announce { seat, state } => exchange.announce(*seat, *state),
            Step::Subscribe { seat } => exchange.subscribe(*seat),
            Step::Trouble(trouble) => exchange.make_trouble(trouble),
        }
        exchange.run(50);
    }
    exchange.heal();
    for seat in 0..PLACES.len() {
        exchange.subscribe(seat);
    }
    let agreed = exchange.run_until(AGREED_MS, |exchange| {
        let truth = exchange.truth();
        (0..PLACES.len()).all(|seat| exchange.seen_by(seat) == truth)
    });
    if !agreed {
        for seat in 0..PLACES.len() {
            println!("d{seat} routes by {:?}", exchange.seen_by(seat));
        }
        panic!("the records do not agree with {:?}", exchange.truth());
    }
}

#[test]
fn agrees_after_trouble() {
    let strategy = (any::<u64>(), steps());
    let result = runner(11, RUNS).run(&strategy, |(seed, steps)| {
        run_steps(&mut Exchange::new(&PLACES, seed), &steps);
        Ok(())
    });
    if let Err(TestError::Fail(reason, (seed, steps))) = &result {
        let mut exchange = Exchange::new(&PLACES, *seed);
        let running = std::panic::AssertUnwindSafe(|| run_steps(&mut exchange, steps));
        std::panic::catch_unwind(running).ok();
        println!("{}{}", exchange.story(), exchange.picture());
        panic!("{reason} with seed {seed} and {steps:#?}");
    }
    result.unwrap();
}
