//! Randomised runs over configuration: edits, concurrent edits, repeated requests, invalid versions
//! and faults of every kind.

mod support;

use pomeloreach_core::edit::Change;
use pomeloreach_core::row::TableName;
use proptest::prelude::*;
use proptest::test_runner::TestError;
use support::faults::{Fault, fault, runner};
use support::{LOCATIONS, SimulatedFleet, set_pool, set_route};

/// Generated cases; `POMELORUNS` multiplies them.
const CASES: u32 = 300;

/// A step of a case.
#[derive(Clone, Debug)]
enum Step {
    /// A daemon receives an edit made from its tables. A stale edit expects row versions that are
    /// one too low.
    Publish {
        vm: usize,
        row: u8,
        action: u8,
        stale: bool,
    },
    /// Two daemons receive edits of the same row or of neighbouring rows at the same time.
    ConcurrentEdits {
        first: usize,
        second: usize,
        row: u8,
        same_row: bool,
    },
    /// The last edit is requested again, perhaps from another daemon.
    RepeatRequest {
        vm: usize,
    },
    /// An invalid value is written as the next version of the log.
    InvalidVersion {
        kind: u8,
    },
    Fault(Fault),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let vm = 0..LOCATIONS.len();
    let step = prop_oneof![
        6 => (vm.clone(), 0..6u8, 0..4u8, any::<bool>())
            .prop_map(|(vm, row, action, stale)| Step::Publish { vm, row, action, stale }),
        3 => (vm.clone(), vm.clone(), 0..6u8, any::<bool>()).prop_map(
            |(first, second, row, same_row)| Step::ConcurrentEdits { first, second, row, same_row }
        ),
        2 => vm.prop_map(|vm| Step::RepeatRequest { vm }),
        1 => (0..4u8).prop_map(|kind| Step::InvalidVersion { kind }),
        26 => fault().prop_map(Step::Fault),
    ];
    prop::collection::vec(step, 5..50)
}

/// One generated case.
struct Case {
    fleet: SimulatedFleet,
    edit_count: u32,
    /// The id and the changes of each edit requested so far.
    requested: Vec<(String, Vec<Change>)>,
}

impl Case {
    fn new(seed: u64) -> Self {
        let mut fleet = SimulatedFleet::new(&LOCATIONS, seed);
        fleet.start_all();
        fleet.run(3_000);
        Self { fleet, edit_count: 0, requested: Vec::new() }
    }

    /// Requests a new edit.
    fn publish(&mut self, vm: usize, changes: Vec<Change>) {
        self.edit_count += 1;
        let edit_id = format!("edit-{}", self.edit_count);
        self.requested.push((edit_id.clone(), changes.clone()));
        self.fleet.publish(vm, &edit_id, changes, true);
    }

    /// The changes of an operator who has read the tables from a daemon; none if it is not running.
    /// Action 0 sets a pool and its route, 1 sets the route to `pool-0`, 2 deletes the pool, and
    /// any other deletes the route.
    fn changes(&self, vm: usize, row: u8, action: u8, stale: bool) -> Vec<Change> {
        let Some(node) = self.fleet.vms[vm].node.as_ref() else { return Vec::new() };
        let tables = &node.config().tables;
        let (route, pool) = (format!("route-{row}"), format!("pool-{row}"));
        let expected_in = |table, name: &str| {
            let version = tables.row_version(table, name);
            if stale { version.saturating_sub(1) } else { version }
        };
        let route_in = expected_in(TableName::Routes, &route);
        let pool_in = expected_in(TableName::Pools, &pool);
        match action {
            0 => vec![set_pool(&pool, "service", pool_in), set_route(&route, &pool, route_in)],
            1 => vec![set_route(&route, "pool-0", route_in)],
            2 => vec![Change::DeletePool { name: pool.as_str().into(), expected_in: pool_in }],
            _ => vec![Change::DeleteRoute { name: route.as_str().into(), expected_in: route_in }],
        }
    }

    fn apply(&mut self, step: &Step) {
        let fleet = &mut self.fleet;
        match *step {
            Step::Publish { vm, row, action, stale } => {
                let changes = self.changes(vm, row, action, stale);
                self.publish(vm, changes);
            }
            Step::ConcurrentEdits { first, second, row, same_row } => {
                let other = if same_row { row } else { (row + 1) % 6 };
                let changes =
                    [self.changes(first, row, 0, false), self.changes(second, other, 0, false)];
                let [one, two] = changes;
                self.publish(first, one);
                self.publish(second, two);
            }
            Step::RepeatRequest { vm } => {
                if let Some((edit_id, changes)) = self.requested.last().cloned() {
                    fleet.publish(vm, &edit_id, changes, true);
                }
            }
            Step::InvalidVersion { kind } => {
                let version = fleet.log_end() + 1;
                let values = [
                    "not an edit".to_string(),
                    format!(
                        "{{\"version\":{version},\"edit_id\":\"x{version}\",\"author\":\"x\",\"digest\":\"0\",\"changes\":[]}}"
                    ),
                    format!(
                        "{{\"version\":{},\"edit_id\":\"y\",\"author\":\"x\",\"digest\":\"0\",\"changes\":[]}}",
                        version + 1
                    ),
                    "x".repeat(1_000_000),
                ];
                fleet.write_raw(&values[usize::from(kind)]);
            }
            Step::Fault(ref fault) => fleet.inject(fault),
        }
    }
}

/// Runs the steps, with 50 ms after each, and checks the edits after the recovery.
fn run_steps(case: &mut Case, steps: &[Step]) {
    for step in steps {
        case.apply(step);
        case.fleet.run(50);
    }
    case.fleet.recover();
    case.fleet.check_edits();
}

/// Runs a failing case again and prints the log lines of all daemons.
fn print_events(seed: u64, steps: &[Step]) {
    let mut case = Case::new(seed);
    let running = std::panic::AssertUnwindSafe(|| run_steps(&mut case, steps));
    std::panic::catch_unwind(running).ok();
    println!("{}", case.fleet.event_log());
}

#[test]
fn edits_under_random_faults() {
    let strategy = (any::<u64>(), steps());
    let result = runner(7, CASES).run(&strategy, |(seed, steps)| {
        run_steps(&mut Case::new(seed), &steps);
        Ok(())
    });
    if let Err(TestError::Fail(reason, (seed, steps))) = &result {
        print_events(*seed, steps);
        panic!("{reason} with seed {seed} and {steps:#?}");
    }
    result.unwrap();
}
