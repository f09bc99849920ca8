//! Randomised runs over membership: targets announce states while faults occur, and all daemons
//! must route by the same endpoint records in the end.

mod support;

use pomeloreach_core::endpoint::TargetState;
use proptest::prelude::*;
use proptest::test_runner::TestError;
use support::faults::{Fault, fault, runner};
use support::{LOCATIONS, SimulatedFleet};

/// Generated cases; `POMELORUNS` multiplies them.
const CASES: u32 = 300;
/// The longest time from the recovery until all daemons have the same records, in milliseconds.
const AGREE_WITHIN_MS: u64 = 30_000;

/// A step of a case; after each, 50 ms pass.
#[derive(Clone, Debug)]
enum Step {
    Announce { vm: usize, state: TargetState },
    Subscribe { vm: usize },
    Fault(Fault),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let vm = 0..LOCATIONS.len();
    let state = prop_oneof![
        Just(TargetState::Starting),
        Just(TargetState::Ready),
        Just(TargetState::Ready),
        Just(TargetState::Draining),
        Just(TargetState::Lapsed),
    ];
    let step = prop_oneof![
        8 => (vm.clone(), state).prop_map(|(vm, state)| Step::Announce { vm, state }),
        2 => vm.prop_map(|vm| Step::Subscribe { vm }),
        20 => fault().prop_map(Step::Fault),
    ];
    prop::collection::vec(step, 5..50)
}

/// Starts a fleet with a ready target on each VM, runs the steps, and checks the records.
fn run_steps(fleet: &mut SimulatedFleet, steps: &[Step]) {
    fleet.start_all();
    for vm in 0..LOCATIONS.len() {
        fleet.announce(vm, TargetState::Ready);
        fleet.subscribe(vm);
    }
    fleet.run(3_000);
    for step in steps {
        match step {
            Step::Announce { vm, state } => fleet.announce(*vm, *state),
            Step::Subscribe { vm } => fleet.subscribe(*vm),
            Step::Fault(fault) => fleet.inject(fault),
        }
        fleet.run(50);
    }
    fleet.recover();
    for vm in 0..LOCATIONS.len() {
        fleet.subscribe(vm);
    }
    let agree = fleet.run_until(AGREE_WITHIN_MS, |fleet| {
        let expected_endpoints = fleet.expected_endpoints();
        (0..LOCATIONS.len()).all(|vm| fleet.live_endpoints(vm) == expected_endpoints)
    });
    if !agree {
        for vm in 0..LOCATIONS.len() {
            println!("d{vm} routes by {:?}", fleet.live_endpoints(vm));
        }
        panic!("the daemons should route by {:?}", fleet.expected_endpoints());
    }
}

#[test]
fn records_agree_after_faults() {
    let strategy = (any::<u64>(), steps());
    let result = runner(11, CASES).run(&strategy, |(seed, steps)| {
        run_steps(&mut SimulatedFleet::new(&LOCATIONS, seed), &steps);
        Ok(())
    });
    if let Err(TestError::Fail(reason, (seed, steps))) = &result {
        let mut fleet = SimulatedFleet::new(&LOCATIONS, *seed);
        let running = std::panic::AssertUnwindSafe(|| run_steps(&mut fleet, steps));
        std::panic::catch_unwind(running).ok();
        println!("{}{}", fleet.event_log(), fleet.summary());
        panic!("{reason} with seed {seed} and {steps:#?}");
    }
    result.unwrap();
}
