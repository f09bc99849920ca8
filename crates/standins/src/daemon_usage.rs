//! Resource usage of daemon processes: processor time and memory from `/proc`, traffic from `/dump`.

use crate::fleet::Fleet;
use serde_json::Value;
use std::time::Instant;

/// Clock ticks per second in `/proc/<pid>/stat`; Linux fixes them at 100 for user space.
const TICKS_PER_S: f64 = 100.0;

/// Usage of one daemon since it started; memory is the current resident size, in MiB.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub cpu_s: f64,
    pub memory_mib: f64,
    /// Bytes sent and received on all control links.
    pub control_bytes: u64,
    /// The part of the control bytes on links to peers.
    pub peer_bytes: u64,
}

/// The role of a daemon in the distribution tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    Leaf,
    Relay,
    Leader,
}

/// Usage of the daemons and of the store at one moment.
pub struct UsageSample {
    pub taken_at: Instant,
    pub usage: Vec<(Role, Usage)>,
    pub store_calls: u64,
    pub store_bytes: u64,
}

impl UsageSample {
    /// Samples all daemons, except the one at index `skipped`, which may be unable to respond.
    pub fn take_except(fleet: &Fleet, skipped: Option<usize>) -> Self {
        let counters = fleet.counters().unwrap_or_default();
        let daemons = (0..fleet.daemons.len()).filter(|daemon| Some(*daemon) != skipped);
        let usage = daemons.map(|daemon| daemon_usage(fleet, daemon)).collect();
        Self {
            taken_at: Instant::now(),
            usage,
            store_calls: counters.calls,
            store_bytes: counters.answer_bytes,
        }
    }
}

/// Reads the role and the usage of one daemon.
fn daemon_usage(fleet: &Fleet, daemon: usize) -> (Role, Usage) {
    let dump = fleet.dump(daemon).unwrap_or(Value::Null);
    let node = &dump["node"];
    let role = match (node["lead"] == true, node["relay"] == true) {
        (true, _) => Role::Leader,
        (false, true) => Role::Relay,
        _ => Role::Leaf,
    };
    let control = &dump["control"];
    let bytes = |name: &str| control[name].as_u64().unwrap_or(0);
    let peer_links = node["links"].as_array().into_iter().flatten();
    let peer_bytes = peer_links
        .filter(|link| link["kind"] == "Peer")
        .filter_map(|link| control["by_link"][link["link"].as_u64()?.to_string()].as_u64())
        .sum();
    let (cpu_s, memory_mib) = process_usage(fleet.daemons[daemon].process.pid());
    let control_bytes = bytes("sent_bytes") + bytes("received_bytes");
    (role, Usage { cpu_s, memory_mib, control_bytes, peer_bytes })
}

/// Returns a process's processor time in seconds and its resident memory in MiB.
pub fn process_usage(pid: u32) -> (f64, f64) {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or("");
    let fields: Vec<f64> =
        after_name.split_whitespace().map(|field| field.parse().unwrap_or(0.0)).collect();
    // The times in user and in kernel mode: the fields 14 and 15 of the line, as counted in proc(5).
    let cpu_s = (fields.get(11).unwrap_or(&0.0) + fields.get(12).unwrap_or(&0.0)) / TICKS_PER_S;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let memory_kb = resident.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
    (cpu_s, memory_kb.unwrap_or(0.0) / 1024.0)
}

/// Count, mean and maximum of some values, such as one figure of all daemons of a role.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    pub count: usize,
    pub mean: f64,
    pub max: f64,
}

/// Summarizes values; all figures are zero when there are none.
pub fn summarize(values: impl Iterator<Item = f64>) -> Summary {
    let values: Vec<f64> = values.collect();
    let count = values.len();
    let mean = values.iter().sum::<f64>() / count.max(1) as f64;
    Summary { count, mean, max: values.into_iter().fold(0.0, f64::max) }
}
