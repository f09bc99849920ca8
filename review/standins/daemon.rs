//! Starts daemons as separate processes, each with settings like the platform's.

use crate::http::Connection;
use crate::record::Record;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::Mutex;
use std::time::Duration;

const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
/// The processes that were started and have not been awaited.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all daemons and this process.
pub fn exit(code: i32) -> ! {
    for pid in RUNNING.lock().unwrap().iter() {
        // SAFETY: `kill` has no requirements on memory.
        unsafe { kill(*pid as i32, SIGKILL) };
    }
    std::process::exit(code)
}

/// A loopback address with a free port below those of outgoing connections.
pub fn free_addr() -> SocketAddr {
    let first = 12_000 + (std::process::id() % 15_000) as u16;
    loop {
        let offset = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, first + offset % 5_000));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// The bounds of the site that the settings name.
#[derive(Clone, Debug)]
pub struct Bounds {
    pub heartbeat_s: f64,
    pub grace_s: f64,
    pub retry_window_s: f64,
    pub retry_slack: f64,
}

/// `nrpw-mesh`.
pub const NRPW: Bounds =
    Bounds { heartbeat_s: 1.5, grace_s: 6.0, retry_window_s: 10.0, retry_slack: 56.0 };

/// One machine: a daemon, and the addresses that its settings name.
pub struct Daemon {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    pub app_addr: SocketAddr,
    ready: SocketAddr,
    dir: PathBuf,
    record: Record,
    process: Option<Child>,
}

impl Daemon {
    /// Writes the settings of a machine. `start` starts its daemon.
    pub fn new(
        name: &str,
        (region, zone): (&str, &str),
        service: &str,
        store: SocketAddr,
        bounds: &Bounds,
        dir: &std::path::Path,
        record: &Record,
    ) -> Self {
        let daemon = Self {
            name: name.to_string(),
            service: service.to_string(),
            zone: zone.to_string(),
            outbound: free_addr(),
            control: free_addr(),
            app_addr: free_addr(),
            ready: free_addr(),
            dir: dir.to_path_buf(),
            record: record.clone(),
            process: None,
        };
        let (link, metrics) = (free_addr(), free_addr());
        let Bounds { heartbeat_s, grace_s, retry_window_s, retry_slack } = bounds;
        let settings = format!(
            "name: \"{name}\"\nregion: \"{region}\"\nzone: \"{zone}\"\ncontrol_addr: \"{link}\"\n\
             caller_addr: \"{}\"\noperator_addr: \"{}\"\nplatform_addr: \"{store}\"\n\
             log_level: info\nmesh:\n  ready_addr: \"{}\"\n  metrics_listen_addr: \"{metrics}\"\n  \
             service: \"{service}\"\n  target_addr: \"{}\"\n  heartbeat_s: {heartbeat_s}\n  \
             grace_s: {grace_s}\n  retry_window_s: {retry_window_s}\n  \
             retry_slack: {retry_slack}\n  link_mbps: 1000.0\n  is_first_start: false\n",
            daemon.outbound, daemon.control, daemon.ready, daemon.app_addr
        );
        fs::write(daemon.settings_path(), settings).expect("the settings can be written");
        daemon
    }

    fn settings_path(&self) -> PathBuf {
        self.dir.join(format!("{}.yaml", self.name))
    }

    /// Starts the daemon with the command of the deploy file.
    pub fn start(&mut self) {
        let log_path = self.dir.join(format!("{}.log", self.name));
        let log = fs::File::options().create(true).append(true).open(log_path).expect("a log");
        let child = Command::new("target/release/pomeloreachd")
            .args(["run", "--settings"])
            .arg(self.settings_path())
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log"))
            .stdout(log)
            .spawn();
        self.process = Some(child.unwrap_or_else(|error| {
            eprintln!("target/release/pomeloreachd cannot be started: {error}");
            exit(2)
        }));
        RUNNING.lock().unwrap().push(self.pid());
        self.record.line(format!("daemon {} started", self.name));
    }

    pub fn pid(&self) -> u32 {
        self.process.as_ref().map_or(0, Child::id)
    }

    /// The memory that the daemon's process holds, in kilobytes.
    pub fn memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
    }

    /// Sends a signal to the daemon.
    pub fn signal(&self, name: &str, number: i32) {
        self.record.line(format!("daemon {} gets {name}", self.name));
        // SAFETY: `kill` has no requirements on memory.
        unsafe { kill(self.pid() as i32, number) };
    }

    /// Kills the daemon and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            self.record.line(format!("daemon {} is killed", self.name));
            process.kill().ok();
            process.wait().ok();
            RUNNING.lock().unwrap().retain(|pid| *pid != process.id());
        }
    }

    /// Whether the daemon has ended by itself or after a signal.
    pub fn has_ended(&mut self) -> bool {
        match self.process.as_mut() {
            Some(process) => matches!(process.try_wait(), Ok(Some(_))),
            None => true,
        }
    }

    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_secs(1);
        let answer = Connection::open(self.ready, timeout).and_then(|mut connection| {
            connection.exchange("GET /-/readiness", &[("Host", "platform")], b"", timeout)
        });
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
