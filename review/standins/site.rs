//! A small deployment: a store, machines with a daemon and an instance each, and clients.

use crate::daemon::{self, Bounds, Daemon, free_addr};
use crate::http::{Connection, Message};
use crate::instance::{Behaviour, Instance};
use crate::record::Record;
use crate::store::Store;
use std::fmt;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

pub struct Site {
    pub record: Record,
    pub store: Store,
    pub daemons: Vec<Daemon>,
    pub instances: Vec<Instance>,
    pub dir: PathBuf,
}

/// The region, zone and service of a machine.
pub type Place = (&'static str, &'static str, &'static str);

impl Site {
    /// Starts a store that holds `config`, and for each place a daemon and an instance. Waits until
    /// every daemon has been ready for a stable window.
    pub fn start(
        case_dir: &Path,
        bounds: &Bounds,
        places: &[Place],
        config: &str,
        behaviour: impl Fn(usize) -> Behaviour,
    ) -> Self {
        let record = Record::create(&case_dir.join("record.txt")).expect("the record can be written");
        let dir = std::env::temp_dir().join(format!("pomeloreach-review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("the directory can be created");
        let store = Store::start(TcpListener::bind(free_addr()).expect("the port is free"));
        store.publish(config);
        let mut site = Self { record, store, daemons: Vec::new(), instances: Vec::new(), dir };
        for (index, (region, zone, service)) in places.iter().enumerate() {
            let name = format!("sidecar-{zone}-{}", index + 1);
            let mut daemon = Daemon::new(
                &name,
                (region, zone),
                service,
                site.store.addr,
                bounds,
                &site.dir,
                &site.record,
            );
            daemon.start();
            let id = format!("i-{index}");
            let instance = Instance::start(&id, &daemon, &site.record, behaviour(index));
            site.instances.push(instance);
            site.daemons.push(daemon);
        }
        site.wait_ready();
        // The stable window of the sites is 4 s.
        thread::sleep(Duration::from_millis(5_000));
        site
    }

    pub fn wait_ready(&self) {
        let deadline = Instant::now() + Duration::from_secs(20);
        while !self.daemons.iter().all(Daemon::is_ready) {
            if Instant::now() > deadline {
                eprintln!("the daemons are not ready within 20 s");
                daemon::exit(2);
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.line("all daemons are ready");
    }

    /// Ends the processes, and this one with the result of the case.
    pub fn finish(mut self, is_broken: bool, summary: &str) -> ! {
        self.record.line(format!("{}: {summary}", if is_broken { "BROKEN" } else { "HELD" }));
        println!("{}: {summary}", if is_broken { "BROKEN" } else { "HELD" });
        self.daemons.iter_mut().for_each(Daemon::kill);
        std::fs::remove_dir_all(&self.dir).ok();
        daemon::exit(i32::from(is_broken))
    }
}

/// A route of the configuration.
pub struct Route {
    pub name: &'static str,
    pub service: &'static str,
    pub kind: &'static str,
    pub timeout_s: f64,
    pub target_latency_s: f64,
    pub priority: u8,
}

/// The configuration with these routes, in the form of the operator's page.
pub fn config(version: u64, routes: &[Route], max_body_bytes: u64) -> String {
    let mut entries = Vec::new();
    let mut services: Vec<&str> = Vec::new();
    for route in routes {
        let Route { name, service, kind, timeout_s, target_latency_s, priority } = route;
        entries.push(format!(
            "{{\"type_url\":\"routes\",\"metadata\":{{\"name\":\"r-{name}\"}},\"spec\":{{\
             \"host\":\"floor.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_s\":{timeout_s},\"target_latency_s\":{target_latency_s},\
             \"priority\":{priority},\"service\":\"{service}\",\"max_attempts\":2}}}}"
        ));
        if !services.contains(service) {
            services.push(service);
        }
    }
    for service in services {
        entries.push(format!(
            "{{\"type_url\":\"services\",\"metadata\":{{\"name\":\"{service}\"}},\"spec\":{{\
             \"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\
             \"tls\":false}}}}"
        ));
    }
    entries.push(format!(
        "{{\"type_url\":\"limits\",\"metadata\":{{}},\"spec\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":{max_body_bytes},\"header_timeout_s\":3,\"idle_timeout_s\":15}}}}"
    ));
    format!("{{\"version\":{version},\"resources\":[{}]}}", entries.join(","))
}

/// How a client's attempt ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    Answered(Message),
    /// The connection ended before the answer was complete.
    Cut,
    /// No complete answer came until the deadline.
    Late,
    /// No connection was made.
    NoConnection,
}

impl Outcome {
    pub fn status(&self) -> u16 {
        if let Self::Answered(answer) = self { answer.status() } else { 0 }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered(answer) => {
                write!(f, "{} with {} bytes", answer.status(), answer.body.len())
            }
            Self::Cut => write!(f, "a closed connection"),
            Self::Late => write!(f, "nothing until its deadline"),
            Self::NoConnection => write!(f, "no connection"),
        }
    }
}

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// A new request id.
pub fn new_id() -> String {
    format!("{:016x}", 0x9c41_0000_0000_0000 + LAST_ID.fetch_add(1, Ordering::Relaxed))
}

/// Sends one attempt on a connection.
pub fn send_on(
    connection: &mut Connection,
    (method, path): (&str, &str),
    id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> Outcome {
    let deadline_text = deadline_ms.to_string();
    let headers = [
        ("Host", "floor.example"),
        ("Pomeloreach-Request-Id", id),
        ("Pomeloreach-Request-Deadline", &deadline_text),
    ];
    let timeout = Duration::from_millis(deadline_ms);
    match connection.exchange(&format!("{method} {path}"), &headers, body, timeout) {
        Ok(answer) => Outcome::Answered(answer),
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            Outcome::Late
        }
        Err(_) => Outcome::Cut,
    }
}

/// Sends one attempt on a new connection, and records it.
pub fn send(
    record: &Record,
    addr: SocketAddr,
    request: (&str, &str),
    id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> Outcome {
    record.line(format!("client sends {id} {} {} to {addr}", request.0, request.1));
    let outcome = match Connection::open(addr, Duration::from_secs(1)) {
        Ok(mut connection) => send_on(&mut connection, request, id, deadline_ms, body),
        Err(_) => Outcome::NoConnection,
    };
    record.line(format!("client gets {outcome} for {id}"));
    outcome
}
