//! The platform around the daemons: machines with free loopback ports, settings as the template of
//! the repository gives them, processes, instances and the record of what happened.

use crate::http::{self, Message};
use crate::json::{self, Json};
use crate::store::Store;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The figures of a small deployment (rpa-mesh).
pub const BEAT_MS: u64 = 1_500;
pub const DRAIN_MS: u64 = 2_500;
pub const MEMORY_MB: u64 = 110;
/// How long a call of an instance to its daemon may take to count.
const BEAT_TIMEOUT_MS: u64 = 1_000;

/// Why a case could not run.
#[derive(Debug)]
pub struct CannotRun(pub String);

pub type Outcome = Result<bool, CannotRun>;

/// Writes to `record.txt`, each line with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<std::fs::File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = std::fs::File::create(path).expect("the record can be written");
        Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn at_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let at = self.at_ms() as f64 / 1_000.0;
        writeln!(self.file.lock().unwrap(), "{at:8.3} s  {text}").ok();
    }

    /// A line that is also shown.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Sleeps until so many milliseconds after the start of the record.
pub fn sleep_until(record: &Record, at_ms: u64) {
    std::thread::sleep(Duration::from_millis(at_ms.saturating_sub(record.at_ms())));
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// A loopback address whose port is free, below the ports of outgoing connections.
pub fn free_addr() -> SocketAddr {
    static TESTED: AtomicU32 = AtomicU32::new(0);
    loop {
        let step = std::process::id()
            .wrapping_mul(977)
            .wrapping_add(TESTED.fetch_add(1, Ordering::Relaxed));
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 12_000 + (step % 20_000) as u16));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// A machine with one daemon and one instance.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub region: String,
    pub zone: String,
    pub service: String,
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    pub inner: SocketAddr,
    pub metrics: SocketAddr,
    pub app: SocketAddr,
    /// Where the daemon reaches its instance, if that is not `app` but a proxy before it.
    pub app_seen: SocketAddr,
    /// Where other daemons reach this one, and where it reaches the store, if there are proxies before
    /// them.
    pub inner_seen: Option<SocketAddr>,
    pub store_seen: Option<SocketAddr>,
}

impl Machine {
    pub fn new(zone: &str, number: usize, service: &str) -> Self {
        let app = free_addr();
        Self {
            name: format!("sidecar-{zone}-{number}"),
            region: zone.split('-').next().unwrap_or(zone).to_string(),
            zone: zone.to_string(),
            service: service.to_string(),
            outbound: free_addr(),
            control: free_addr(),
            ready: free_addr(),
            inner: free_addr(),
            metrics: free_addr(),
            app,
            app_seen: app,
            inner_seen: None,
            store_seen: None,
        }
    }
}

/// The store, and daemons as processes. Dropping it ends all of them.
pub struct Platform {
    pub store: Store,
    pub record: Record,
    dir: PathBuf,
    program: PathBuf,
    daemons: BTreeMap<String, Child>,
}

impl Platform {
    pub fn start(record: &Record) -> Result<Self, CannotRun> {
        let program = PathBuf::from("target/release/pomeloreachd");
        if !program.exists() {
            return Err(CannotRun("target/release/pomeloreachd is not built".into()));
        }
        let dir = std::env::temp_dir().join(format!("pomeloreach-review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(|error| CannotRun(error.to_string()))?;
        let store = Store::start(free_addr());
        Ok(Self { store, record: record.clone(), dir, program, daemons: BTreeMap::new() })
    }

    /// Starts the daemon of a machine, as the deploy file does, with the settings that its template
    /// gives for a small deployment.
    pub fn start_daemon(&mut self, machine: &Machine, is_bootstrap: bool) -> Result<(), CannotRun> {
        let Machine { name, region, zone, service, .. } = machine;
        let settings = format!(
            "name: \"{name}\"\nregion: \"{region}\"\nzone: \"{zone}\"\ncontrol_addr: \"{}\"\n\
             caller_addr: \"{}\"\noperator_addr: \"{}\"\nplatform_addr: \"{}\"\nlog_level: info\n\
             mesh:\n  ready_addr: \"{}\"\n  metrics_listen_addr: \"{}\"\n  service: \"{service}\"\n  \
             target_addr: \"{}\"\n  heartbeat_s: 1.5\n  grace_s: 6\n  retry_window_s: 10\n  \
             retry_slack: 64\n  link_mbps: 1000.0\n  memory_mb: {MEMORY_MB}\n  \
             descriptors_max: 4100\n  quota_window_s: \n  quota_overshoot: \n  quota_slack: \n  \
             is_first_start: {is_bootstrap}\n",
            machine.inner,
            machine.outbound,
            machine.control,
            machine.store_seen.unwrap_or(self.store.addr),
            machine.ready,
            machine.metrics,
            machine.app_seen,
        );
        let advertised = machine.inner_seen.map(|addr| format!("advertised_addr: \"{addr}\"\n"));
        let settings = advertised.unwrap_or_default() + &settings;
        let path = self.dir.join(format!("{name}.conf"));
        std::fs::write(&path, settings).map_err(|error| CannotRun(error.to_string()))?;
        let log = std::fs::File::options()
            .append(true)
            .create(true)
            .open(self.dir.join(format!("{name}.log")))
            .map_err(|error| CannotRun(error.to_string()))?;
        let child = Command::new(&self.program)
            .args(["run", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::inherit())
            .spawn()
            .map_err(|error| CannotRun(error.to_string()))?;
        self.record.line(&format!("daemon of {name} starts, process {}", child.id()));
        self.daemons.insert(name.clone(), child);
        Ok(())
    }

    pub fn process_id(&self, machine: &Machine) -> u32 {
        self.daemons[&machine.name].id()
    }

    /// Sends a signal by name to the daemon of a machine.
    pub fn signal(&self, machine: &Machine, signal: &str) {
        let id = self.process_id(machine).to_string();
        self.record.line(&format!("{signal} to the daemon of {}", machine.name));
        Command::new("kill").args([&format!("-{signal}"), &id]).status().ok();
    }

    /// Kills the daemon of a machine and waits for its end.
    pub fn kill(&mut self, machine: &Machine) {
        self.record.line(&format!("SIGKILL to the daemon of {}", machine.name));
        if let Some(mut child) = self.daemons.remove(&machine.name) {
            child.kill().ok();
            child.wait().ok();
        }
    }

    /// The exit status of a daemon that has ended by itself; `None` while it runs.
    pub fn exit(&mut self, machine: &Machine) -> Option<std::process::ExitStatus> {
        self.daemons.get_mut(&machine.name)?.try_wait().ok()?
    }

    /// Waits until a daemon answers its readiness check with 200.
    pub fn wait_ready(&self, machine: &Machine, wait_ms: u64) -> Result<(), CannotRun> {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        while Instant::now() < end {
            if is_ready(machine) {
                return Ok(());
            }
            sleep_ms(50);
        }
        Err(CannotRun(format!("the daemon of {} is not ready", machine.name)))
    }

    /// The log of the daemon of a machine.
    pub fn log(&self, machine: &Machine) -> String {
        std::fs::read_to_string(self.dir.join(format!("{}.log", machine.name))).unwrap_or_default()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        for child in self.daemons.values_mut() {
            // A stopped process must go on to end.
            Command::new("kill")
                .args(["-CONT", &child.id().to_string()])
                .stderr(Stdio::null())
                .status()
                .ok();
            child.kill().ok();
            child.wait().ok();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            std::fs::remove_dir_all(&self.dir).ok();
        } else {
            println!("logs: {}", self.dir.display());
        }
    }
}

pub fn is_ready(machine: &Machine) -> bool {
    let request = http::request("GET", "/-/readiness", &[("Host", "daemon")], "");
    let connection = http::Connection::connect(machine.ready, 500);
    let response = connection.and_then(|mut connection| connection.exchange(&request, 500));
    response.is_ok_and(|response| response.status() == 200)
}

/// A request that reached an instance.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub id: String,
    pub method: String,
    pub path: String,
    pub body_bytes: usize,
    pub caller_service: String,
    pub deadline_ms: String,
    pub tenant: String,
    /// The client's key, if it was passed on.
    pub authorization: String,
    /// The instance rejected it with 421 or as not executed.
    pub is_rejected: bool,
    /// The instance ended while it worked on it.
    pub is_cut: bool,
}

/// One start of an instance. The server at the address outlives it: it closes what arrives while no
/// start is in use.
pub struct Instance {
    pub id: String,
    pub born: u64,
    pub machine: Machine,
    pub record: Record,
    pub sequence: u64,
    server: InstanceServer,
}

/// The server at the address of a machine's instance.
#[derive(Clone)]
pub struct InstanceServer {
    shared: Arc<Mutex<Served>>,
}

#[derive(Default)]
struct Served {
    /// The id of the instance that runs, and the number of its start; none while there is none.
    running: Option<(String, u64)>,
    starts: u64,
    arrivals: Vec<Arrival>,
}

impl InstanceServer {
    /// Serves at the address of a machine's instance. Work takes `work_ms`.
    pub fn start(machine: &Machine, record: &Record, work_ms: u64) -> Self {
        let server = Self { shared: Arc::default() };
        let (served, record, name) = (server.clone(), record.clone(), machine.name.clone());
        http::serve(machine.app, move |request| served.handle(request, &record, &name, work_ms));
        server
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.lock().unwrap().arrivals.clone()
    }

    fn handle(
        &self,
        request: &Message,
        record: &Record,
        name: &str,
        work_ms: u64,
    ) -> Option<Vec<u8>> {
        let text = |header: &str| request.header(header).unwrap_or_default().to_string();
        let (id, start, index) = {
            let mut served = self.shared.lock().unwrap();
            // Nothing runs at the address: the connection is closed.
            let (running, start) = served.running.clone()?;
            if request.path() == "/health" {
                return Some(http::response(200, &[("Pomeloreach-Instance-Id", &running)], ""));
            }
            let expected = text("pomeloreach-expected-instance");
            let is_rejected = !expected.is_empty() && expected != running;
            let arrival = Arrival {
                at_ms: record.at_ms(),
                id: text("pomeloreach-request-id"),
                method: request.method().to_string(),
                path: request.path().to_string(),
                body_bytes: request.body.len(),
                caller_service: text("pomeloreach-caller-service"),
                deadline_ms: text("pomeloreach-request-deadline"),
                tenant: text("pomeloreach-tenant-id"),
                authorization: text("authorization"),
                is_rejected,
                is_cut: false,
            };
            record.line(&format!(
                "instance {running} on {name}: {} {} id={} tenant={:?} authorization={:?} rejected={is_rejected}",
                arrival.method, arrival.path, arrival.id, arrival.tenant, arrival.authorization
            ));
            served.arrivals.push(arrival);
            if is_rejected {
                return Some(http::response(421, &[("Pomeloreach-Instance-Id", &running)], ""));
            }
            (running, start, served.arrivals.len() - 1)
        };
        sleep_ms(work_ms);
        let mut served = self.shared.lock().unwrap();
        if served.running != Some((id.clone(), start)) {
            served.arrivals[index].is_cut = true;
            record.line(&format!(
                "instance {id} on {name} ended while it worked on {}",
                text("pomeloreach-request-id")
            ));
            return None;
        }
        let signature = format!("sig-{id}-{index}");
        let headers = [
            ("Pomeloreach-Request-Id", text("pomeloreach-request-id")),
            ("Pomeloreach-Response-Signature", signature),
            ("Keep-Alive", "timeout=10".to_string()),
        ];
        let headers: Vec<(&str, &str)> =
            headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
        Some(http::response(
            200,
            &headers,
            &format!("from {id} to {}", text("pomeloreach-request-id")),
        ))
    }
}

impl Instance {
    /// Starts an instance at the address of a machine.
    pub fn start(id: &str, machine: &Machine, server: &InstanceServer, record: &Record) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let mut served = server.shared.lock().unwrap();
        served.starts += 1;
        served.running = Some((id.to_string(), served.starts));
        record.line(&format!("instance {id} starts on {}, born {born}", machine.name));
        drop(served);
        Self {
            id: id.to_string(),
            born,
            machine: machine.clone(),
            record: record.clone(),
            sequence: 0,
            server: server.clone(),
        }
    }

    /// Ends without a word, as in a crash: what runs is cut off.
    pub fn end(&self, why: &str) {
        self.record.line(&format!("instance {} on {} {why}", self.id, self.machine.name));
        self.server.shared.lock().unwrap().running = None;
    }

    /// The body of the next heartbeat.
    pub fn next_beat(&mut self, state: &str) -> Json {
        self.sequence += 1;
        json::object(vec![
            ("address", json::text(&self.machine.app_seen.to_string())),
            ("born", json::number(self.born)),
            (
                "info",
                json::object(vec![
                    ("service", json::text(&self.machine.service)),
                    ("version", json::text("v1")),
                    ("zone", json::text(&self.machine.zone)),
                    ("slots", json::number(6)),
                ]),
            ),
            (
                "status",
                json::object(vec![
                    ("state", json::text(state)),
                    ("sequence", json::number(self.sequence)),
                    ("cold_left_s", json::number(0)),
                ]),
            ),
        ])
    }

    /// Sends a heartbeat. Returns whether it was acknowledged.
    pub fn send_beat(&self, beat: &Json) -> bool {
        let status = control_call(&self.machine, "PUT", &self.id, &beat.to_string());
        self.record.line(&format!("heartbeat of {}: {beat} -> {status}", self.id));
        (200..300).contains(&status)
    }

    /// Reports that the instance leaves. Returns whether that was acknowledged.
    pub fn send_leave(&self) -> bool {
        let body = json::object(vec![("born", json::number(self.born))]).to_string();
        let status = control_call(&self.machine, "DELETE", &self.id, &body);
        self.record.line(&format!("leave of {} born {}: -> {status}", self.id, self.born));
        (200..300).contains(&status)
    }
}

/// A call of an instance to the daemon of its machine; 0 if no answer arrives in time.
pub fn control_call(machine: &Machine, method: &str, id: &str, body: &str) -> u16 {
    let headers = [("Host", "daemon"), ("Content-Type", "application/json")];
    let request = http::request(method, &format!("/-/instances/{id}"), &headers, body);
    let connection = http::Connection::connect(machine.control, BEAT_TIMEOUT_MS);
    let response =
        connection.and_then(|mut connection| connection.exchange(&request, BEAT_TIMEOUT_MS));
    response.map_or(0, |response| response.status())
}

/// Sends heartbeats of an instance with the state `ready` at the platform's interval until `stop` is
/// set.
pub fn beat_until(
    mut instance: Instance,
    stop: Arc<Mutex<bool>>,
) -> std::thread::JoinHandle<Instance> {
    std::thread::spawn(move || {
        while !*stop.lock().unwrap() {
            let beat = instance.next_beat("ready");
            instance.send_beat(&beat);
            let next = Instant::now() + Duration::from_millis(BEAT_MS);
            while Instant::now() < next && !*stop.lock().unwrap() {
                sleep_ms(10);
            }
        }
        instance
    })
}

/// What a client got for one request.
#[derive(Clone, Debug)]
pub struct Answer {
    pub id: String,
    pub sent_ms: u64,
    pub got_ms: u64,
    /// 0 if the connection ended or the time passed.
    pub status: u16,
    pub signature: String,
    pub body: String,
}

/// Sends one request after the other on a kept connection until `stop` is set.
pub fn client(
    name: &str,
    machine: &Machine,
    record: &Record,
    stop: Arc<Mutex<bool>>,
    pause_ms: u64,
    kinds: &'static [(&'static str, &'static str)],
) -> std::thread::JoinHandle<Vec<Answer>> {
    client_with_key(name, machine, record, stop, pause_ms, kinds, None)
}

/// Like [`client`], with an API key.
pub fn client_with_key(
    name: &str,
    machine: &Machine,
    record: &Record,
    stop: Arc<Mutex<bool>>,
    pause_ms: u64,
    kinds: &'static [(&'static str, &'static str)],
    key: Option<&'static str>,
) -> std::thread::JoinHandle<Vec<Answer>> {
    let (name, addr, record) = (name.to_string(), machine.outbound, record.clone());
    std::thread::spawn(move || {
        let mut answers = Vec::new();
        let mut kept = None;
        for number in 0.. {
            if *stop.lock().unwrap() {
                return answers;
            }
            let id = format!("{name}-{number}");
            let (method, path) = kinds[number % kinds.len()];
            let mut headers = vec![
                ("Host", "shop.example"),
                ("Pomeloreach-Request-Id", id.as_str()),
                ("Pomeloreach-Request-Deadline", "2500"),
            ];
            let authorization = key.map(|key| format!("Token {key}"));
            headers.extend(authorization.as_deref().map(|value| ("Authorization", value)));
            let body = if method == "POST" { "an order" } else { "" };
            let request = http::request(method, path, &headers, body);
            let sent_ms = record.at_ms();
            let connection = match kept.take() {
                Some(connection) => Ok(connection),
                None => http::Connection::connect(addr, 1_000),
            };
            let result = connection.and_then(|mut connection| {
                let response = connection.exchange(&request, 2_500)?;
                if response.header("connection") != Some("close") {
                    kept = Some(connection);
                }
                Ok(response)
            });
            let got_ms = record.at_ms();
            let (status, signature, body) = match &result {
                Ok(response) => (
                    response.status(),
                    response.header("pomeloreach-response-signature").unwrap_or("-").to_string(),
                    response.body_text(),
                ),
                Err(error) => (0, "-".to_string(), error.to_string()),
            };
            record.line(&format!(
                "client {name}: {method} {path} id={id} sent at {sent_ms} ms -> {status} signature={signature} {body}"
            ));
            answers.push(Answer { id, sent_ms, got_ms, status, signature, body });
            sleep_ms(pause_ms);
        }
        answers
    })
}

/// A configuration with a route `/read/` of kind `safe` and a route `/order/` of kind `unsafe` for
/// one service.
pub fn config(version: u64, service: &str) -> Json {
    let mut resources = Vec::new();
    for (name, prefix, kind) in [("r-read", "/read/", "safe"), ("r-order", "/order/", "unsafe")] {
        resources.push(resource(
            "routes",
            name,
            vec![
                ("host", json::text("shop.example")),
                ("path_prefix", json::text(prefix)),
                ("kind", json::text(kind)),
                ("timeout_s", Json::Number(1.5)),
                ("target_latency_s", Json::Number(0.8)),
                ("priority", json::number(1)),
                ("service", json::text(service)),
                ("max_attempts", json::number(2)),
            ],
        ));
    }
    resources.push(resource(
        "services",
        service,
        vec![
            ("health_path", json::text("/health")),
            ("max_connections", json::number(130)),
            ("protocol", json::text("h1")),
            ("tls", Json::Bool(false)),
        ],
    ));
    resources.push(resource(
        "limits",
        "",
        vec![
            ("max_header_bytes", json::number(16_384)),
            ("max_body_bytes", json::number(67_108_864)),
            ("header_timeout_s", json::number(3)),
            ("idle_timeout_s", json::number(15)),
        ],
    ));
    json::object(vec![("version", json::number(version)), ("resources", Json::List(resources))])
}

/// The same with one tenant.
pub fn config_with_tenant(version: u64, service: &str, tenant: &str, key: &str) -> Json {
    let Json::Object(mut fields) = config(version, service) else { unreachable!() };
    if let Json::List(resources) = &mut fields[1].1 {
        let keys = Json::List(vec![json::text(key)]);
        let spec =
            vec![("name", json::text(tenant)), ("api_keys", keys), ("priority", json::number(1))];
        resources.push(resource("tenants", tenant, spec));
    }
    Json::Object(fields)
}

fn resource(kind: &str, name: &str, spec: Vec<(&str, Json)>) -> Json {
    let metadata = if name.is_empty() { Vec::new() } else { vec![("name", json::text(name))] };
    json::object(vec![
        ("type_url", json::text(kind)),
        ("metadata", json::object(metadata)),
        ("spec", json::object(spec)),
    ])
}
