//! The project's daemon as a process of its own, with settings like those of the template.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// The ports to choose from. They are below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u32> = 12_000..32_000;
static PORTS_TRIED: AtomicU32 = AtomicU32::new(0);

/// A loopback address with a free port. Each call continues at the next port.
pub fn free_addr() -> SocketAddr {
    let first = std::process::id().wrapping_mul(977);
    loop {
        let offset = first.wrapping_add(PORTS_TRIED.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + offset % (PORTS.end - PORTS.start);
        let addr = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

#[derive(Clone, Debug)]
pub struct Spec {
    pub name: String,
    pub zone: String,
    pub region: String,
    pub service: String,
    pub link_addr: SocketAddr,
    pub caller_addr: SocketAddr,
    pub operator_addr: SocketAddr,
    pub ready_addr: SocketAddr,
    pub metrics_addr: SocketAddr,
    pub app_addr: SocketAddr,
    pub store_addr: SocketAddr,
    /// Where peers connect, if not at `link_addr`.
    pub advertised_addr: Option<SocketAddr>,
    pub memory_mb: u64,
    pub link_mbps: f64,
    pub first_start: bool,
}

impl Spec {
    pub fn new(name: &str, zone: &str, region: &str, service: &str, store_addr: SocketAddr) -> Self {
        Self {
            name: name.into(),
            zone: zone.into(),
            region: region.into(),
            service: service.into(),
            link_addr: free_addr(),
            caller_addr: free_addr(),
            operator_addr: free_addr(),
            ready_addr: free_addr(),
            metrics_addr: free_addr(),
            app_addr: free_addr(),
            store_addr,
            advertised_addr: None,
            memory_mb: 160,
            link_mbps: 200.0,
            first_start: true,
        }
    }

    /// The template of the deploy file, filled in. The ports differ, since all daemons have one address.
    fn settings(&self) -> String {
        let advertised = match self.advertised_addr {
            Some(addr) => format!("advertised_addr: \"{addr}\"\n"),
            None => String::new(),
        };
        format!(
            "name: {}\nregion: {}\nzone: {}\ncontrol_addr: \"{}\"\n{advertised}caller_addr: \"{}\"\n\
             operator_addr: \"{}\"\nplatform_addr: \"{}\"\nlog_level: info\nmesh:\n  ready_addr: \"{}\"\n  \
             metrics_listen_addr: \"{}\"\n  service: {}\n  target_addr: \"{}\"\n  heartbeat_s: 1.5\n  \
             grace_s: 6\n  retry_window_s: 10\n  retry_slack: 56\n  link_mbps: {}\n  memory_mb: {}\n  \
             descriptors_max: 4100\n  is_first_start: {}\n",
            self.name,
            self.region,
            self.zone,
            self.link_addr,
            self.caller_addr,
            self.operator_addr,
            self.store_addr,
            self.ready_addr,
            self.metrics_addr,
            self.service,
            self.app_addr,
            self.link_mbps,
            self.memory_mb,
            self.first_start,
        )
    }
}

/// A running daemon. Dropping it kills the process.
pub struct Daemon {
    pub spec: Spec,
    child: Child,
    dir: PathBuf,
}

impl Daemon {
    pub fn start(spec: Spec, dir: &Path) -> Self {
        let path = dir.join(format!("{}.yaml", spec.name));
        fs::write(&path, spec.settings()).expect("the settings can be written");
        let log = fs::File::options()
            .append(true)
            .create(true)
            .open(dir.join(format!("{}.log", spec.name)))
            .expect("the log can be opened");
        let child = Command::new("target/release/pomeloreachd")
            .args(["run", "--settings"])
            .arg(&path)
            .stdout(Stdio::from(log.try_clone().expect("the log can be shared")))
            .stderr(Stdio::from(log))
            .spawn()
            .unwrap_or_else(|error| {
                println!("the daemon does not start: {error}");
                std::process::exit(2);
            });
        Self { spec, child, dir: dir.to_path_buf() }
    }

    pub fn signal(&self, signal: i32) {
        // Safety: the id is that of a child that was not waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Starts the daemon again after its end, not for the first time.
    pub fn restart(&mut self) {
        let spec = Spec { first_start: false, ..self.spec.clone() };
        let dir = self.dir.clone();
        *self = Self::start(spec, &dir);
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_none())
    }

    /// The most memory that the process has used so far, in MB.
    pub fn peak_mb(&self) -> f64 {
        self.status_mb("VmHWM:")
    }

    /// The memory that the process uses, in MB.
    pub fn used_mb(&self) -> f64 {
        self.status_mb("VmRSS:")
    }

    fn status_mb(&self, field: &str) -> f64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix(field));
        let kilobytes: f64 =
            line.and_then(|line| line.trim().strip_suffix(" kB")?.parse().ok()).unwrap_or(0.0);
        kilobytes / 1_024.0
    }

    pub fn log(&self) -> String {
        let path = self.dir.join(format!("{}.log", self.spec.name));
        fs::read_to_string(path).unwrap_or_default()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.signal(SIGCONT);
        self.kill();
    }
}

/// Waits until `done` returns true. Returns false if it does not in time.
pub fn wait_for(limit_s: f64, mut done: impl FnMut() -> bool) -> bool {
    let started = std::time::Instant::now();
    while !done() {
        if started.elapsed().as_secs_f64() > limit_s {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    true
}
