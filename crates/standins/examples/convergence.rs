//! Measures how soon edits are in force on all daemons, and what this costs in traffic, processor
//! time, memory and store calls.

use argh::FromArgs;
use async_executor::Executor;
use pomeloreach_core::edit::Change;
use pomeloreach_core::row::TableName;
use pomeloreach_core::store::{EDITS_PREFIX, StoreOp, version_of_key};
use pomeloreach_standins::baseline_watchers::{ReceivedTimes, start_watchers};
use pomeloreach_standins::daemon_usage::{Role, Usage, UsageSample, summarize};
use pomeloreach_standins::fleet::{self, Fleet, wait_for};
use pomeloreach_standins::serve_http::run_on_threads;
use pomeloreach_standins::store_server::Faults;
use pomeloreach_wire::clock::sleep_ms;
use pomeloreach_wire::object_store::call_store;
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The duration of the experiment without edits, in seconds.
const IDLE_DURATION_S: u64 = 10;
/// The pause between edits of a burst, in milliseconds.
const BURST_PAUSE_MS: u64 = 50;

/// Measure convergence time and control bytes with real processes on this machine.
#[derive(FromArgs)]
struct Args {
    /// numbers of daemons, separated by commas
    #[argh(option, default = "String::from(\"12,48,120\")")]
    daemons: String,
    /// numbers of rows in each table, separated by commas
    #[argh(option, default = "String::from(\"10,470\")")]
    rows: String,
    /// edits in each experiment
    #[argh(option, default = "20")]
    edits: u64,
    /// relays in each zone
    #[argh(option, default = "2")]
    relays: u16,
}

fn main() {
    let args: Args = argh::from_env();
    println!(
        "| daemons | rows | experiment | lag p50 ms | p99 ms | max ms | control B/s leaf mean/max | relay max | lead max | peer link B/s | CPU % leaf mean | relay max | lead max | MB leaf max | relay max | lead max | store calls/s | store B/s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for daemons in numbers(&args.daemons) {
        for rows in numbers(&args.rows) {
            measure(&args, daemons, rows);
        }
    }
}

fn numbers(list: &str) -> Vec<usize> {
    list.split(',').map(|number| number.trim().parse().expect("a number")).collect()
}

/// Runs all experiments on one fleet.
fn measure(args: &Args, daemons: usize, rows: usize) {
    let fleet = start(args, daemons, rows);
    let experiment = Experiment { daemons, rows, edits: args.edits };
    experiment.run(&fleet, "idle", || std::thread::sleep(Duration::from_secs(IDLE_DURATION_S)));
    experiment.run(&fleet, "edits every 500 ms", || {
        experiment.edit(&fleet, 0..daemons, 500);
    });
    experiment.run(&fleet, "burst", || experiment.edit(&fleet, 0..daemons, BURST_PAUSE_MS));
    experiment.run(&fleet, "store 300 ms late", || {
        fleet.set_faults(&Faults { delay_ms: 300, ..Faults::default() });
        experiment.edit(&fleet, 0..daemons, 500);
        fleet.set_faults(&Faults::default());
    });
    experiment.run(&fleet, "outage of 8 s, then edits", || {
        fleet.set_faults(&Faults { outage: true, ..Faults::default() });
        std::thread::sleep(Duration::from_secs(8));
        fleet.set_faults(&Faults::default());
        std::thread::sleep(Duration::from_millis(500));
        experiment.edit(&fleet, 0..daemons, 500);
    });
    let frozen = daemons - 1;
    fleet.daemons[frozen].process.signal(Signal::STOP);
    let title = "one daemon frozen";
    experiment.run_except(&fleet, title, Some(frozen), || {
        experiment.edit(&fleet, 0..frozen, 500);
    });
    fleet.daemons[frozen].process.signal(Signal::CONT);
    experiment.baselines(&fleet);
}

/// Starts the daemons and publishes the tables, one pool and one route per row.
fn start(args: &Args, daemons: usize, rows: usize) -> Fleet {
    let zones = [
        ("kigali", "kigali-a"),
        ("huye", "huye-a"),
        ("musanze", "musanze-a"),
        ("kigali", "kigali-b"),
        ("huye", "huye-b"),
        ("musanze", "musanze-b"),
    ];
    let mut fleet = Fleet::start();
    fleet.relays_per_zone = args.relays;
    fleet.worker_threads = 1;
    for number in 0..daemons {
        let (region, zone) = zones[number % zones.len()];
        fleet.add_daemon(fleet::DaemonIdentity::new(&format!("d{number}"), region, zone));
    }
    fleet.wait_ready(60_000);
    let changes = (0..rows).flat_map(|row| [set_pool(row, 0, 0), set_route(row)]).collect();
    let answer = fleet.edit(0, "tables", changes).expect("the daemon responds to the edit");
    assert_eq!(answer.number, 1001, "{answer:?}");
    fleet.wait_version(1, 20_000);
    wait_for("the status covers every daemon", 60_000, || {
        let status = fleet.status(0);
        status.is_some_and(|status| status.complete && status.rows.len() == daemons)
    });
    std::thread::sleep(Duration::from_secs(12));
    fleet
}

fn set_pool(row: usize, number: u64, expected_in: u64) -> Change {
    let service = format!("service-{row}");
    let value = serde_json::json!({"service": service, "slow_start_ms": number % 10_000});
    let pool = serde_json::from_value(value).expect("the row is valid");
    Change::SetPool { name: format!("pool-{row}").into(), expected_in, pool }
}

fn set_route(row: usize) -> Change {
    let value =
        serde_json::json!({"host": format!("service-{row}"), "pool": format!("pool-{row}")});
    let route = serde_json::from_value(value).expect("the row is valid");
    Change::SetRoute { name: format!("route-{row}").into(), expected_in: 0, route }
}

/// What all experiments on a fleet share: its number of daemons and of rows in each table, and the
/// number of edits of an experiment.
struct Experiment {
    daemons: usize,
    rows: usize,
    edits: u64,
}

impl Experiment {
    /// Publishes edits of one row each through different daemons in turn, with a pause between them.
    fn edit(&self, fleet: &Fleet, through: std::ops::Range<usize>, pause_ms: u64) {
        for number in 0..self.edits {
            let daemon = through.start + number as usize % through.len();
            let row = number as usize % self.rows;
            let tables = fleet.config(daemon).expect("the daemon returns its configuration").tables;
            let version = tables.row_version(TableName::Pools, &format!("pool-{row}"));
            let id =
                format!("edit-{}-{number}", pomeloreach_standins::baseline_watchers::unix_ms());
            fleet.edit(daemon, &id, vec![set_pool(row, number + version, version)]).ok();
            std::thread::sleep(Duration::from_millis(pause_ms));
        }
        std::thread::sleep(Duration::from_secs(2));
    }

    /// Runs an experiment and prints its line of the table: how soon the edits that `action` publishes
    /// are in force on all daemons, and what the daemons use meanwhile.
    fn run(&self, fleet: &Fleet, title: &str, action: impl FnOnce()) {
        self.run_except(fleet, title, None, action);
    }

    /// Like `run`, but leaves out the daemon at index `skipped`.
    fn run_except(
        &self,
        fleet: &Fleet,
        title: &str,
        skipped: Option<usize>,
        action: impl FnOnce(),
    ) {
        let accepted_before = accepted_times(fleet);
        let before = UsageSample::take_except(fleet, skipped);
        action();
        let after = UsageSample::take_except(fleet, skipped);
        let mut accepted_during = accepted_times(fleet);
        accepted_during.retain(|version, _| !accepted_before.contains_key(version));
        let lags = lags(fleet, &accepted_during, skipped);
        self.print(title, &lags, &before, &after);
    }

    fn print(&self, title: &str, lags: &[u64], before: &UsageSample, after: &UsageSample) {
        let seconds = after.taken_at.duration_since(before.taken_at).as_secs_f64();
        let per_s = |role: Role, value: fn(&Usage) -> f64| {
            let pairs = before.usage.iter().zip(&after.usage);
            let of_role = pairs.filter(move |(_, (other, _))| *other == role);
            summarize(of_role.map(|((_, old), (_, new))| (value(new) - value(old)) / seconds))
        };
        let memory = |role: Role| {
            let of_role = after.usage.iter().filter(move |(other, _)| *other == role);
            summarize(of_role.map(|(_, usage)| usage.memory_mib))
        };
        let bytes = |role| per_s(role, |usage| usage.control_bytes as f64);
        let cpu = |role| per_s(role, |usage| usage.cpu_s * 100.0);
        let peers = per_s(Role::Leader, |usage| usage.peer_bytes as f64);
        // Each leader has a link to the leader of every other region.
        let links = (peers.count.saturating_sub(1)).max(1) as f64;
        println!(
            "| {} | {} | {title} | {} | {} | {} | {:.0}/{:.0} | {:.0} | {:.0} | {:.0} | {:.2} | {:.2} | {:.2} | {:.1} | {:.1} | {:.1} | {:.1} | {:.0} |",
            self.daemons,
            self.rows,
            quantile(lags, 0.5),
            quantile(lags, 0.99),
            quantile(lags, 1.0),
            bytes(Role::Leaf).mean,
            bytes(Role::Leaf).max,
            bytes(Role::Relay).max,
            bytes(Role::Leader).max,
            peers.max / links,
            cpu(Role::Leaf).mean,
            cpu(Role::Relay).max,
            cpu(Role::Leader).max,
            memory(Role::Leaf).max,
            memory(Role::Relay).max,
            memory(Role::Leader).max,
            (after.store_calls - before.store_calls) as f64 / seconds,
            (after.store_bytes - before.store_bytes) as f64 / seconds,
        );
    }

    /// Measures the baselines, in which as many clients as there are daemons watch the store: once for
    /// changed rows, once for complete tables.
    fn baselines(&self, fleet: &Fleet) {
        let complete_tables =
            serde_json::to_string(&fleet.config(0)).expect("the tables are encodable");
        let row = "x".repeat(400);
        for (title, prefix, value) in [
            ("baseline: each watches the store for rows", "baseline/rows/", row),
            (
                "baseline: each watches the store for whole tables",
                "baseline/whole/",
                complete_tables,
            ),
        ] {
            let before = fleet.counters().unwrap_or_default();
            let started = std::time::Instant::now();
            let received = self.watch(fleet, prefix, &value);
            let after = fleet.counters().unwrap_or_default();
            let mut lags: Vec<u64> = received
                .iter()
                .filter_map(|(key, at_ms)| {
                    Some(at_ms.saturating_sub(*after.accepted_unix_ms.get(&**key)?))
                })
                .collect();
            lags.sort_unstable();
            let seconds = started.elapsed().as_secs_f64();
            println!(
                "| {} | {} | {title} ({} of {} seen) | {} | {} | {} | | | | | | | | | | | {:.1} | {:.0} |",
                self.daemons,
                self.rows,
                lags.len(),
                self.edits * self.daemons as u64,
                quantile(&lags, 0.5),
                quantile(&lags, 0.99),
                quantile(&lags, 1.0),
                (after.calls - before.calls) as f64 / seconds,
                (after.answer_bytes - before.answer_bytes) as f64 / seconds,
            );
        }
    }

    /// Runs one baseline and returns when each watcher received each object.
    fn watch(&self, fleet: &Fleet, prefix: &str, value: &str) -> Vec<(Arc<str>, u64)> {
        let executor = Arc::new(Executor::new());
        let received = ReceivedTimes::default();
        let store = fleet.store_addr;
        run_on_threads(2, &executor, async {
            let watchers = start_watchers(&executor, store, prefix, self.daemons, &received);
            sleep_ms(1_000).await;
            for number in 0..self.edits {
                let key = format!("{prefix}{number:020}").into();
                let op = StoreOp::Put { key, value: value.into(), expected_version: 0 };
                call_store(store, &op).await.ok();
                sleep_ms(500).await;
            }
            sleep_ms(1_000).await;
            drop(watchers);
        });
        let received = received.lock().unwrap();
        received.clone()
    }
}

/// Returns when the store accepted each version, in milliseconds since the Unix epoch.
fn accepted_times(fleet: &Fleet) -> BTreeMap<u64, u64> {
    let counters = fleet.counters().unwrap_or_default();
    let versions = counters.accepted_unix_ms.into_iter();
    versions.filter_map(|(key, ms)| Some((version_of_key(EDITS_PREFIX, &key)?, ms))).collect()
}

/// Returns the time from the store's acceptance of a version until it is in force on a daemon, for every
/// version and daemon, sorted, in milliseconds.
fn lags(fleet: &Fleet, accepted: &BTreeMap<u64, u64>, skipped: Option<usize>) -> Vec<u64> {
    let mut lags = Vec::new();
    for daemon in (0..fleet.daemons.len()).filter(|daemon| Some(*daemon) != skipped) {
        let dump = fleet.dump(daemon).expect("the daemon returns its dump");
        let in_force: Vec<(u64, u64)> = dump["in_force"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|entry| Some((entry["version"].as_u64()?, entry["unix_ms"].as_u64()?)))
            .collect();
        for (version, accepted_ms) in accepted {
            // A snapshot puts several versions in force at once, of which only the last is listed.
            let reached = in_force.iter().find(|(in_force, _)| in_force >= version);
            let (_, at_ms) = reached
                .unwrap_or_else(|| panic!("version {version} is not in force on daemon {daemon}"));
            lags.push(at_ms.saturating_sub(*accepted_ms));
        }
    }
    lags.sort_unstable();
    lags
}

/// Formats a quantile of sorted values; "-" if there are none.
fn quantile(sorted: &[u64], share: f64) -> String {
    if sorted.is_empty() {
        return "-".to_string();
    }
    let index = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len()) - 1;
    sorted[index].to_string()
}
