//! Measures requests under load and faults, at given shares of the targets' capacity.

use argh::FromArgs;
use async_executor::Executor;
use pomeloreach_standins::daemon_usage::process_usage;
use pomeloreach_standins::fleet::{DaemonIdentity, Fleet, wait_for};
use pomeloreach_standins::load::{LoadResult, LoadSettings, run_load};
use pomeloreach_standins::serve_http::run_on_threads;
use pomeloreach_standins::target::{Behaviour, Runs};
use rustix::process::Signal;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long a request runs at a target, in milliseconds.
const SERVICE_MS: u64 = 40;
/// The pause between experiments, so that none is affected by the one before it, in milliseconds.
const PAUSE_MS: u64 = 3_000;

/// Measure requests under load and faults with real processes on this machine.
#[derive(FromArgs)]
struct Args {
    /// how long each experiment lasts, in seconds
    #[argh(option, default = "6")]
    seconds: u64,
    /// which firm's number of instances and slots to use: nyabugogo or rails
    #[argh(option, default = "String::from(\"nyabugogo\")")]
    firm: String,
    /// threads of each daemon
    #[argh(option, default = "2")]
    threads: u16,
    /// measure only what two daemons add to a request
    #[argh(switch)]
    overhead_only: bool,
}

/// Returns the number of instances and of slots per instance of the firm's service under load.
fn instances_and_slots(firm: &str) -> (usize, u16) {
    match firm {
        "rails" => (7, 6),
        _ => (6, 12),
    }
}

/// A fleet with one daemon per zone that receives the load, and one daemon for each target.
struct LoadBench {
    fleet: Fleet,
    executor: Arc<Executor<'static>>,
    /// The number of daemons that receive the load; they come first in the fleet.
    entry_daemons: usize,
    capacity_per_s: f64,
    duration_ms: u64,
    seed: u64,
}

fn main() {
    let args: Args = argh::from_env();
    let (instances, slots) = instances_and_slots(&args.firm);
    let mut bench = LoadBench::start(instances, slots, args.seconds * 1_000, args.threads);
    println!(
        "{} targets with {slots} slots, {SERVICE_MS} ms a request: {:.0} requests/s fill them.\n",
        instances, bench.capacity_per_s
    );
    println!(
        "| load | experiment | sent | goodput/s | p50 ms | p99 ms | p99.9 ms | not run % | unknown % | attempts per request | most runs of an order | codes |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    bench.measure_overhead();
    if args.overhead_only {
        return;
    }
    for load in [0.5, 0.9, 1.2, 2.0] {
        bench.send_orders(load, "orders");
        bench.send_lookups(load, "lookups");
    }
    bench.send_orders(0.5, "orders, after the load has gone");
    bench.measure_faults();
    for load in [0.9, 2.0] {
        bench.measure_baseline(load, "baseline: random target, no door, no retry", false);
        bench.measure_baseline(load, "baseline: round robin, no door, retries without limit", true);
    }
}

impl LoadBench {
    fn start(instances: usize, slots: u16, duration_ms: u64, threads: u16) -> Self {
        let zones = [("kigali", "kigali-a"), ("huye", "huye-a"), ("musanze", "musanze-a")];
        let mut fleet = Fleet::start();
        fleet.worker_threads = threads;
        for (region, zone) in zones {
            fleet.add_daemon(DaemonIdentity::new(&format!("front-{region}"), region, zone));
        }
        for number in 0..instances {
            let (region, zone) = zones[number % zones.len()];
            let daemon =
                fleet.add_daemon(DaemonIdentity::new(&format!("desk-{number}"), region, zone));
            fleet.add_target(daemon, "desk", slots);
        }
        fleet.wait_ready(30_000);
        let changes = serde_json::from_value(serde_json::json!([
            {"action": "set-pool", "name": "desk", "expected_in": 0, "pool": {"service": "desk"}},
            {"action": "set-route", "name": "desk", "expected_in": 0,
             "route": {"host": "desk", "pool": "desk", "deadline_ms": 1000}},
        ]));
        fleet.edit(0, "tables", changes.expect("the rows are valid")).expect("the daemon responds");
        fleet.wait_version(1, 10_000);
        wait_for("the status covers every daemon", 30_000, || {
            let status = fleet.status(0);
            status.is_some_and(|status| status.complete && status.rows.len() == instances + 3)
        });
        std::thread::sleep(Duration::from_secs(5));
        let capacity_per_s = (instances * usize::from(slots)) as f64 * 1_000.0 / SERVICE_MS as f64;
        let executor = Arc::new(Executor::new());
        let mut bench = Self {
            fleet,
            executor,
            entry_daemons: zones.len(),
            capacity_per_s,
            duration_ms,
            seed: 1,
        };
        bench.reset_targets(SERVICE_MS);
        bench.seed += 1;
        bench
    }

    /// Resets the behaviour of all targets, with this service time.
    fn reset_targets(&self, service_ms: u64) {
        for target in 0..self.fleet.targets.len() {
            let behaviour = Behaviour { service_ms, ..Behaviour::default() };
            self.fleet.set_behaviour(target, &behaviour);
        }
    }

    fn entry_addrs(&self) -> Vec<SocketAddr> {
        self.fleet.daemons[..self.entry_daemons].iter().map(|daemon| daemon.caller_addr).collect()
    }

    fn target_addrs(&self) -> Vec<SocketAddr> {
        self.fleet.targets.iter().map(|target| target.addr).collect()
    }

    fn send(&mut self, addrs: Vec<SocketAddr>, per_s: f64, is_idempotent: bool) -> LoadResult {
        self.send_during(addrs, per_s, is_idempotent, false, || {})
    }

    /// Sends a load and calls `action` after a third of its duration.
    fn send_during(
        &mut self,
        addrs: Vec<SocketAddr>,
        per_s: f64,
        is_idempotent: bool,
        retries: bool,
        action: impl FnOnce() + Send,
    ) -> LoadResult {
        self.seed += 1;
        let settings = LoadSettings {
            addrs,
            host: "desk".to_string(),
            path: "/cut-lists".to_string(),
            is_idempotent,
            requests_per_s: per_s,
            duration_ms: self.duration_ms,
            retries_until_response: retries,
            seed: self.seed,
        };
        let executor = self.executor.clone();
        let result = std::thread::scope(|scope| {
            scope.spawn(|| {
                std::thread::sleep(Duration::from_millis(self.duration_ms / 3));
                action();
            });
            run_on_threads(3, &executor, run_load(&executor, settings))
        });
        std::thread::sleep(Duration::from_millis(PAUSE_MS));
        result
    }

    /// Returns the highest number of runs of any request of a load.
    fn most_runs(&self, result: &LoadResult) -> u32 {
        let mut runs: std::collections::BTreeMap<String, u32> = std::collections::BTreeMap::new();
        for target in &self.fleet.targets {
            let response = pomeloreach_standins::fleet::get(target.addr, "/runs");
            let Some(counted) = response.ok().and_then(|response| response.json::<Runs>().ok())
            else {
                continue;
            };
            for (id, count) in counted.by_id {
                *runs.entry(id).or_default() += count;
            }
        }
        result.ids.iter().filter_map(|id| runs.get(id)).copied().max().unwrap_or(0)
    }

    /// Prints the line of an experiment.
    fn print(&self, load: f64, title: &str, result: &LoadResult) {
        let seconds = self.duration_ms as f64 / 1_000.0;
        let share = |codes: std::ops::RangeInclusive<u32>| {
            let counted = result
                .by_code
                .iter()
                .filter(|(code, _)| code.parse().is_ok_and(|code: u32| codes.contains(&code)));
            counted.map(|(_, count)| *count).sum::<u64>() as f64 * 100.0 / result.sent as f64
        };
        let ms = |quantile: f64| result.latency_us.value_at_quantile(quantile) as f64 / 1_000.0;
        println!(
            "| {load:.1} | {title} | {} | {:.0} | {:.1} | {:.1} | {:.1} | {:.2} | {:.2} | {:.3} | {} | {:?} |",
            result.sent,
            result.succeeded as f64 / seconds,
            ms(0.5),
            ms(0.99),
            ms(0.999),
            share(2001..=2100),
            share(2101..=2199),
            result.attempts as f64 / result.sent as f64,
            self.most_runs(result),
            result.by_code,
        );
    }

    fn send_orders(&mut self, load: f64, title: &str) {
        let result = self.send(self.entry_addrs(), load * self.capacity_per_s, false);
        self.print(load, title, &result);
    }

    fn send_lookups(&mut self, load: f64, title: &str) {
        let result = self.send(self.entry_addrs(), load * self.capacity_per_s, true);
        self.print(load, title, &result);
    }

    /// Measures what two daemons add to a request, at a load low enough that the machine doesn't distort
    /// it.
    fn measure_overhead(&mut self) {
        self.reset_targets(1);
        let per_s = 300.0;
        // The two are measured alternately, so that a change of the machine's speed affects both.
        for _ in 0..3 {
            let direct = self.send(self.target_addrs(), per_s, true);
            self.print(0.0, "300/s of 1 ms, targets called directly", &direct);
            let cpu_before = self.cpu_s();
            let through = self.send(self.entry_addrs(), per_s, true);
            let cpu_us = (self.cpu_s() - cpu_before) * 1e6 / through.sent as f64;
            let title = format!("300/s of 1 ms, through two daemons, {cpu_us:.0} us of processor");
            self.print(0.0, &title, &through);
        }
        self.reset_targets(SERVICE_MS);
    }

    /// Returns the processor time of all daemons, in seconds.
    fn cpu_s(&self) -> f64 {
        let daemons = self.fleet.daemons.iter();
        daemons.map(|daemon| process_usage(daemon.process.pid()).0).sum()
    }

    /// Measures orders while targets are slow, failing or killed.
    fn measure_faults(&mut self) {
        let load = 0.9;
        let per_s = load * self.capacity_per_s;
        let addrs = self.entry_addrs();
        let slow = Behaviour { service_ms: 10 * SERVICE_MS, ..Behaviour::default() };
        self.fleet.set_behaviour(0, &slow);
        let result = self.send(addrs.clone(), per_s, false);
        self.print(load, "orders, one target 10 times slower", &result);
        let failing = Behaviour { lie_ready: true, service_ms: SERVICE_MS, ..Behaviour::default() };
        self.fleet.set_behaviour(0, &failing);
        let result = self.send(addrs.clone(), per_s, false);
        self.print(load, "orders, one target fails and says ready", &result);
        self.reset_targets(SERVICE_MS);
        let pid = self.fleet.targets[1].process.pid();
        let kill = move || signal(pid, Signal::KILL);
        let result = self.send_during(addrs.clone(), per_s, false, false, kill);
        self.print(load, "orders, a target killed", &result);
        self.fleet.targets[1].process.kill();
        let mut target = self.fleet.targets.remove(1);
        self.fleet.respawn(&mut target.process);
        self.fleet.targets.insert(1, target);
        std::thread::sleep(Duration::from_secs(2));
        self.reset_targets(SERVICE_MS);
        // The targets in musanze and their daemons; the daemon there that receives the load keeps
        // running.
        let killed: Vec<u32> = (0..self.fleet.targets.len())
            .filter(|target| target % 3 == 2)
            .flat_map(|t| {
                let daemon = &self.fleet.daemons[self.entry_daemons + t];
                [self.fleet.targets[t].process.pid(), daemon.process.pid()]
            })
            .collect();
        let kill_zone = move || killed.iter().for_each(|pid| signal(*pid, Signal::KILL));
        let result = self.send_during(addrs, 0.5 * self.capacity_per_s, false, false, kill_zone);
        self.print(0.5, "orders, a zone's targets and daemons killed", &result);
        self.restart_zone();
    }

    /// Restarts the daemons and targets of the killed zone.
    fn restart_zone(&mut self) {
        for index in 0..self.fleet.targets.len() {
            if index % 3 != 2 {
                continue;
            }
            let mut daemon = self.fleet.daemons.remove(self.entry_daemons + index);
            daemon.process.kill();
            self.fleet.respawn(&mut daemon.process);
            self.fleet.daemons.insert(self.entry_daemons + index, daemon);
            let mut target = self.fleet.targets.remove(index);
            target.process.kill();
            self.fleet.respawn(&mut target.process);
            self.fleet.targets.insert(index, target);
        }
        std::thread::sleep(Duration::from_secs(5));
        self.reset_targets(SERVICE_MS);
    }

    /// Measures requests sent straight to the targets in round-robin order; with `retries`, up to
    /// `ATTEMPTS_MAX` attempts each.
    fn measure_baseline(&mut self, load: f64, title: &str, retries: bool) {
        let addrs = self.target_addrs();
        let per_s = load * self.capacity_per_s;
        let result = self.send_during(addrs, per_s, true, retries, || {});
        self.print(load, title, &result);
    }
}

fn signal(pid: u32, signal: Signal) {
    let pid = i32::try_from(pid).ok().and_then(rustix::process::Pid::from_raw);
    if let Some(pid) = pid {
        rustix::process::kill_process(pid, signal).ok();
    }
}
