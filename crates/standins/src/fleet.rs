//! Test harness that runs a store, daemons and targets as processes on the loopback address. The
//! demo, tests and measurements use it.

use crate::key_files;
use crate::store_server::{Counters, Faults};
use crate::target::{Behaviour, Runs};
use async_io::block_on;
use http_types::Method;
use pomeloreach_core::api::{EditResponse, StatusResponse};
use pomeloreach_core::config::Config;
use pomeloreach_core::edit::{Change, EditRequest};
use pomeloreach_wire::http::{self, FullResponse, HttpError};
use rustix::process::{Pid, Signal, kill_process};
use serde::Serialize;
use serde_json::Value;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The timeout of HTTP calls by the harness, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 20_000;
/// The largest response, in bytes.
const RESPONSE_BYTES_MAX: usize = 64 * 1024 * 1024;
/// The pause between polls of a condition, in milliseconds.
const POLL_MS: u64 = 20;
/// The first port that the harness assigns, and the number of ports in its range.
const FIRST_PORT: u16 = 10_000;
const PORT_COUNT: u32 = 20_000;
/// How long the harness waits for a process to exit, in milliseconds.
const STOP_TIMEOUT_MS: u64 = 10_000;

/// The name, region and zone in a daemon's settings.
#[derive(Clone, Debug)]
pub struct DaemonIdentity {
    pub name: String,
    pub region: String,
    pub zone: String,
}

impl DaemonIdentity {
    pub fn new(name: &str, region: &str, zone: &str) -> Self {
        Self { name: name.into(), region: region.into(), zone: zone.into() }
    }
}

/// A child process, killed when it is dropped.
pub struct Process {
    pub name: String,
    child: Child,
    /// The program and its arguments, to start the process again.
    command: Vec<String>,
    log_path: PathBuf,
}

impl Process {
    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).ok();
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// The most memory that the process has used so far, in kilobytes.
    pub fn memory_peak_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()))
            .expect("the process's status can be read");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
        kilobytes.and_then(|text| text.parse().ok()).expect("the status has the peak")
    }

    /// Waits up to `STOP_TIMEOUT_MS` for the process to exit, and returns whether it exited with status
    /// 0.
    pub fn wait(&mut self) -> bool {
        let deadline = Instant::now() + Duration::from_millis(STOP_TIMEOUT_MS);
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(POLL_MS));
        }
        false
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process and waits until it is gone.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Returns what the process has written to stdout and stderr.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A daemon process and the addresses it listens on.
pub struct Daemon {
    pub identity: DaemonIdentity,
    pub process: Process,
    pub control_addr: SocketAddr,
    pub caller_addr: SocketAddr,
    pub operator_addr: SocketAddr,
}

/// A target process and the address it listens on.
pub struct TargetProcess {
    pub process: Process,
    pub addr: SocketAddr,
}

/// The store, daemons and targets of one test or measurement. Daemons and targets are addressed by
/// their index.
pub struct Fleet {
    /// Holds keys, settings and logs; removed with the fleet, unless the thread panics.
    pub folder: PathBuf,
    pub store_addr: SocketAddr,
    pub store: Option<Process>,
    pub daemons: Vec<Daemon>,
    pub targets: Vec<TargetProcess>,
    /// A setting of daemons added from now on.
    pub relays_per_zone: u16,
    /// A setting of daemons added from now on.
    pub worker_threads: u16,
    /// Control addresses of the first three daemons; a daemon's settings list those known when it is
    /// added, its own included.
    seed_addrs: Vec<SocketAddr>,
}

/// Numbers the fleets of this process, for the names of their folders.
static NEXT_FLEET: AtomicU32 = AtomicU32::new(0);
/// Counts the ports tried so far, so that no two addresses of this process share a port.
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);
/// Held while a process is spawned and while a port is tested. A child that is being spawned briefly
/// inherits every socket open in this process, which would keep a port under test occupied.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

impl Fleet {
    /// Creates the folder with its keys, and starts the store.
    pub fn start() -> Self {
        let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let name = format!("pomeloreach-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("the temporary folder can be created");
        key_files::write(&folder).expect("the key files can be written");
        let store_addr = free_addr();
        let mut fleet = Self {
            folder,
            store_addr,
            store: None,
            daemons: Vec::new(),
            targets: Vec::new(),
            relays_per_zone: 2,
            worker_threads: 2,
            seed_addrs: Vec::new(),
        };
        let command = vec![example_path("store"), "--listen".into(), store_addr.to_string()];
        fleet.store = Some(fleet.spawn("store", command));
        wait_for("the store listens", 10_000, || fleet.counters().is_some());
        fleet
    }

    /// Starts a process whose output is appended to `<name>.log` in the folder.
    fn spawn(&self, name: &str, command: Vec<String>) -> Process {
        let log_path = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(&log_path);
        let log = log.expect("the log file can be opened");
        let _lock = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let child = Command::new(&command[0])
            .args(&command[1..])
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be shared"))
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|error| panic!("{command:?} cannot start: {error}"));
        Process { name: name.into(), child, command, log_path }
    }

    /// Starts a daemon for callers and one with a target of the service `yard`, and waits until callers
    /// of both reach it. A route to it has the host `yard`.
    pub fn start_with_yard(slots: u16) -> Self {
        let mut fleet = Self::start();
        fleet.add_daemon(DaemonIdentity::new("front-1", "kigali", "kigali-a"));
        fleet.add_daemon(DaemonIdentity::new("yard-1", "kigali", "kigali-b"));
        fleet.add_target(1, "yard", slots);
        fleet.wait_ready(15_000);
        let changes = serde_json::from_value(serde_json::json!([
            {"action": "set-pool", "name": "yard", "expected_in": 0,
             "pool": {"service": "yard", "slow_start_ms": 0}},
            {"action": "set-route", "name": "yard", "expected_in": 0,
             "route": {"host": "yard", "pool": "yard", "deadline_ms": 3000}},
        ]));
        let answer = fleet.edit(0, "tables", changes.expect("the changes are valid"));
        let answer = answer.expect("the edit gets a response");
        assert_eq!(answer.number, 1001, "{answer:?}");
        fleet.wait_version(1, 5_000);
        wait_for("the target is known", 15_000, || {
            (0..2).all(|daemon| {
                let response = fleet.request(daemon, Method::Get, "yard", "/", "warm", "");
                response.is_ok_and(|response| response.status == 200)
            })
        });
        fleet
    }

    /// Replaces a process by a new one with the same command and log file.
    pub fn respawn(&self, process: &mut Process) {
        *process = self.spawn(&process.name.clone(), process.command.clone());
    }

    /// Writes the settings of a daemon, starts it and returns its index.
    pub fn add_daemon(&mut self, identity: DaemonIdentity) -> usize {
        let control_addr = free_addr();
        let caller_addr = free_addr();
        let operator_addr = free_addr();
        if self.seed_addrs.len() < 3 {
            self.seed_addrs.push(control_addr);
        }
        let settings_path = self.folder.join(format!("{}.yaml", identity.name));
        let addrs = [control_addr, caller_addr, operator_addr];
        std::fs::write(&settings_path, self.settings_yaml(&identity, addrs))
            .expect("settings are written");
        let settings_path = settings_path.display().to_string();
        let command = vec![binary_path("pomeloreachd"), "run".into(), "-s".into(), settings_path];
        let process = self.spawn(&identity.name, command);
        self.daemons.push(Daemon { identity, process, control_addr, caller_addr, operator_addr });
        self.daemons.len() - 1
    }

    /// Formats a daemon's settings file.
    fn settings_yaml(
        &self,
        identity: &DaemonIdentity,
        [control, caller, operator]: [SocketAddr; 3],
    ) -> String {
        let folder = self.folder.display();
        let seed_addrs: Vec<String> =
            self.seed_addrs.iter().map(|addr| format!("\"{addr}\"")).collect();
        format!(
            "name: {}\nregion: {}\nzone: {}\ncontrol_addr: \"{control}\"\n\
             caller_addr: \"{caller}\"\noperator_addr: \"{operator}\"\n\
             platform_addr: \"{}\"\nseed_addrs: [{}]\nrelays_per_zone: {}\nworker_threads: {}\n\
             tls:\n  ca_path: {folder}/ca.pem\n  cert_path: {folder}/cert.pem\n  \
             key_path: {folder}/key.pem\n",
            identity.name,
            identity.region,
            identity.zone,
            self.store_addr,
            seed_addrs.join(", "),
            self.relays_per_zone,
            self.worker_threads,
        )
    }

    /// Starts a target that announces itself to the given daemon, and returns its index.
    pub fn add_target(&mut self, daemon: usize, service: &str, slots: u16) -> usize {
        let addr = free_addr();
        let daemon = &self.daemons[daemon];
        let name = format!("target-{}", daemon.identity.name);
        let command = vec![
            example_path("target"),
            "--service".into(),
            service.into(),
            "--port".into(),
            addr.port().to_string(),
            "--slots".into(),
            slots.to_string(),
            "--daemon".into(),
            daemon.operator_addr.to_string(),
        ];
        let process = self.spawn(&name, command);
        self.targets.push(TargetProcess { process, addr });
        self.targets.len() - 1
    }

    /// Injects faults into the store.
    pub fn set_faults(&self, faults: &Faults) {
        post(self.store_addr, "/faults", faults).expect("the store accepts the faults");
    }

    /// Returns the store's counters, if it responds.
    pub fn counters(&self) -> Option<Counters> {
        get(self.store_addr, "/counters").ok()?.json().ok()
    }

    pub fn set_behaviour(&self, target: usize, behaviour: &Behaviour) {
        post(self.targets[target].addr, "/behaviour", behaviour)
            .expect("the target accepts the behaviour");
    }

    /// Returns a target's counters of the requests that ran.
    pub fn runs(&self, target: usize) -> Runs {
        let response = get(self.targets[target].addr, "/runs").expect("the target responds");
        response.json().expect("runs are readable")
    }

    /// Returns how often the request `id` ran, summed over all targets that respond.
    pub fn run_count(&self, id: &str) -> u32 {
        let runs = self.targets.iter().filter_map(|target| get(target.addr, "/runs").ok());
        let runs = runs.filter_map(|response| response.json::<Runs>().ok());
        runs.map(|runs| runs.by_id.get(id).copied().unwrap_or(0)).sum()
    }

    /// Returns the configuration in force on a daemon, if it responds.
    pub fn config(&self, daemon: usize) -> Option<Config> {
        get(self.daemons[daemon].operator_addr, "/config").ok()?.json().ok()
    }

    pub fn status(&self, daemon: usize) -> Option<StatusResponse> {
        get(self.daemons[daemon].operator_addr, "/status").ok()?.json().ok()
    }

    pub fn dump(&self, daemon: usize) -> Option<Value> {
        get(self.daemons[daemon].operator_addr, "/dump").ok()?.json().ok()
    }

    /// Returns the version in force on a daemon, if the daemon is ready.
    pub fn version(&self, daemon: usize) -> Option<u64> {
        let response = get(self.daemons[daemon].operator_addr, "/ready").ok()?;
        if response.status == 200 { response.json().ok() } else { None }
    }

    /// Publishes an edit through a daemon.
    pub fn edit(
        &self,
        daemon: usize,
        edit_id: &str,
        changes: Vec<Change>,
    ) -> Result<EditResponse, HttpError> {
        let request = EditRequest {
            edit_id: edit_id.into(),
            author: "tester".into(),
            changes,
            asked_before: false,
        };
        let response = post(self.daemons[daemon].operator_addr, "/edits", &request)?;
        response.json().map_err(|error| HttpError::NoResponse(error.to_string()))
    }

    /// Waits until every daemon has `version` or a later one in force.
    pub fn wait_version(&self, version: u64, within_ms: u64) {
        wait_for(&format!("version {version} is in force everywhere"), within_ms, || {
            (0..self.daemons.len()).all(|daemon| self.version(daemon) >= Some(version))
        });
    }

    /// Waits until every daemon is ready.
    pub fn wait_ready(&self, within_ms: u64) {
        wait_for("every daemon is ready", within_ms, || {
            (0..self.daemons.len()).all(|daemon| self.version(daemon).is_some())
        });
    }

    /// Sends a request to a daemon's caller address.
    pub fn request(
        &self,
        daemon: usize,
        method: Method,
        host: &str,
        path: &str,
        id: &str,
        body: &str,
    ) -> Result<FullResponse, HttpError> {
        let addr = self.daemons[daemon].caller_addr;
        let mut request = http::new_request(method, addr, path)?;
        request.insert_header("host", host);
        request.insert_header("x-request-id", id);
        let body = body.as_bytes().to_vec();
        block_on(http::call(addr, request, body, RESPONSE_BYTES_MAX, CALL_TIMEOUT_MS))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("the logs are in {}", self.folder.display());
            return;
        }
        self.targets.clear();
        self.daemons.clear();
        self.store = None;
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// Waits until `condition` is true; panics with its `description` after `within_ms`.
pub fn wait_for(description: &str, within_ms: u64, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_millis(within_ms);
    while !condition() {
        assert!(Instant::now() < deadline, "timed out after {within_ms} ms: {description}");
        std::thread::sleep(Duration::from_millis(POLL_MS));
    }
}

/// Sends a GET request and waits for the response.
pub fn get(addr: SocketAddr, path: &str) -> Result<FullResponse, HttpError> {
    let request = http::new_request(Method::Get, addr, path)?;
    block_on(http::call(addr, request, Vec::new(), RESPONSE_BYTES_MAX, CALL_TIMEOUT_MS))
}

/// Sends a value as JSON in a POST request and waits for the response.
pub fn post<T: Serialize>(
    addr: SocketAddr,
    path: &str,
    value: &T,
) -> Result<FullResponse, HttpError> {
    let request = http::new_request(Method::Post, addr, path)?;
    let body = serde_json::to_vec(value).expect("values are encodable");
    block_on(http::call(addr, request, body, RESPONSE_BYTES_MAX, CALL_TIMEOUT_MS))
}

/// Returns a loopback address whose TCP and UDP port is free. Ports are below the range that the
/// system uses for outgoing connections, which could otherwise occupy one before its process has
/// started.
fn free_addr() -> SocketAddr {
    let _lock = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    // Test processes that run at the same time start at different ports.
    let first_offset = std::process::id().wrapping_mul(97);
    loop {
        let offset = first_offset.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::Relaxed));
        let port = FIRST_PORT + (offset % PORT_COUNT) as u16;
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// Returns cargo's output folder of the current profile, derived from the path of the running
/// executable.
fn build_folder() -> PathBuf {
    let program = std::env::current_exe().expect("the executable has a path");
    let folder = program.parent().expect("the executable is in a folder");
    match folder.file_name().and_then(|name| name.to_str()) {
        Some("deps" | "examples") => folder.parent().map(Path::to_path_buf).expect("has a parent"),
        _ => folder.to_path_buf(),
    }
}

/// Returns the path of a program of the workspace.
pub fn binary_path(name: &str) -> String {
    build_folder().join(name).display().to_string()
}

/// Returns the path of an example program of this crate.
pub fn example_path(name: &str) -> String {
    build_folder().join("examples").join(name).display().to_string()
}
