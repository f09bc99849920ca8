//! Long randomised runs over configuration: edits, races, bad versions, and trouble of every kind.

mod support;

use pomeloreach_core::edit::Change;
use pomeloreach_core::row::TableName;
use proptest::prelude::*;
use proptest::test_runner::TestError;
use support::faults::{Trouble, runner, trouble};
use support::{Exchange, PLACES, set_pool, set_route};

/// Runs of this test in CI.
const RUNS: u32 = 300;

#[derive(Clone, Debug)]
enum Step {
    Publish { seat: usize, row: u8, action: u8, stale: bool },
    Race { first: usize, second: usize, row: u8, same_row: bool },
    AskAgain { seat: usize },
    BadVersion { kind: u8 },
    Trouble(Trouble),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let seat = 0..PLACES.len();
    let step = prop_oneof![
        6 => (seat.clone(), 0..6u8, 0..4u8, any::<bool>())
            .prop_map(|(seat, row, action, stale)| Step::Publish { seat, row, action, stale }),
        3 => (seat.clone(), seat.clone(), 0..6u8, any::<bool>()).prop_map(
            |(first, second, row, same_row)| Step::Race { first, second, row, same_row }
        ),
        2 => seat.prop_map(|seat| Step::AskAgain { seat }),
        1 => (0..4u8).prop_map(|kind| Step::BadVersion { kind }),
        26 => trouble().prop_map(Step::Trouble),
    ];
    prop::collection::vec(step, 5..50)
}

struct Run {
    exchange: Exchange,
    edits: u32,
    asked: Vec<(String, Vec<Change>)>,
}

impl Run {
    fn new(seed: u64) -> Self {
        let mut exchange = Exchange::new(&PLACES, seed);
        exchange.start_all();
        exchange.run(3_000);
        Self { exchange, edits: 0, asked: Vec::new() }
    }

    fn publish(&mut self, seat: usize, changes: Vec<Change>) {
        self.edits += 1;
        let edit_id = format!("edit-{}", self.edits);
        self.asked.push((edit_id.clone(), changes.clone()));
        self.exchange.publish(seat, &edit_id, changes, true);
    }

    /// A change as an operator would make it who read the tables from a daemon.
    fn change(&self, seat: usize, row: u8, action: u8, stale: bool) -> Vec<Change> {
        let Some(node) = self.exchange.seats[seat].node.as_ref() else { return Vec::new() };
        let tables = &node.config().tables;
        let (route, pool) = (format!("route-{row}"), format!("pool-{row}"));
        let seen = |table, name: &str| {
            let version = tables.row_version(table, name);
            if stale { version.saturating_sub(1) } else { version }
        };
        let route_in = seen(TableName::Routes, &route);
        let pool_in = seen(TableName::Pools, &pool);
        match action {
            0 => vec![set_pool(&pool, "service", pool_in), set_route(&route, &pool, route_in)],
            1 => vec![set_route(&route, "pool-0", route_in)],
            2 => vec![Change::DeletePool { name: pool.as_str().into(), expected_in: pool_in }],
            _ => vec![Change::DeleteRoute { name: route.as_str().into(), expected_in: route_in }],
        }
    }

    fn take(&mut self, step: &Step) {
        let exchange = &mut self.exchange;
        match *step {
            Step::Publish { seat, row, action, stale } => {
                let changes = self.change(seat, row, action, stale);
                self.publish(seat, changes);
            }
            Step::Race { first, second, row, same_row } => {
                let other = if same_row { row } else { (row + 1) % 6 };
                let changes =
                    [self.change(first, row, 0, false), self.change(second, other, 0, false)];
                let [one, two] = changes;
                self.publish(first, one);
                self.publish(second, two);
            }
            Step::AskAgain { seat } => {
                if let Some((edit_id, changes)) = self.asked.last().cloned() {
                    exchange.publish(seat, &edit_id, changes, true);
                }
            }
            Step::BadVersion { kind } => {
                let version = exchange.log_end() + 1;
                let bad = [
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
                exchange.write_raw(&bad[usize::from(kind)]);
            }
            Step::Trouble(ref trouble) => exchange.make_trouble(trouble),
        }
    }
}

fn run_steps(run: &mut Run, steps: &[Step]) {
    for step in steps {
        run.take(step);
        run.exchange.run(50);
    }
    run.exchange.heal();
    run.exchange.check_log();
}

/// Runs a failing case once more and prints what every daemon logged.
fn explain(seed: u64, steps: &[Step]) {
    let mut run = Run::new(seed);
    let running = std::panic::AssertUnwindSafe(|| run_steps(&mut run, steps));
    std::panic::catch_unwind(running).ok();
    println!("{}", run.exchange.story());
}

#[test]
fn survives_all_trouble() {
    let strategy = (any::<u64>(), steps());
    let result = runner(7, RUNS).run(&strategy, |(seed, steps)| {
        run_steps(&mut Run::new(seed), &steps);
        Ok(())
    });
    if let Err(TestError::Fail(reason, (seed, steps))) = &result {
        explain(*seed, steps);
        panic!("{reason} with seed {seed} and {steps:#?}");
    }
    result.unwrap();
}
