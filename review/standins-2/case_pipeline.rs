//! Clients that pipeline, on a planned stop or in a burst: is a request cut off that the daemon has
//! passed on?

use crate::daemon::{SIGTERM, Spec};
use crate::http::{Reader, set_window};
use crate::record::Record;
use crate::site::{Route, Site};
use crate::store::Store;
use std::collections::{BTreeSet, VecDeque};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// `timeout_s` of the route and deadline of the requests.
const DEADLINE_S: f64 = 4.0;
/// `grace_s` of the sheet.
const GRACE_S: f64 = 6.0;
const WORK_MS: usize = 100;
/// The receive buffer of a client's connection, in bytes, which the system doubles: windows are small.
const WINDOW_BYTES: i32 = 64 * 1024;
/// How long clients send requests.
const TRAFFIC_S: f64 = 6.0;

/// How clients use their connections.
#[derive(Clone, Copy)]
pub struct Clients {
    connections: usize,
    /// The sheet's downloads have 90,000 bytes in the mean and 540,000 at most.
    answer_bytes: usize,
    /// How fast a client takes its answers.
    bytes_per_s: f64,
    /// How many requests a client sends at first, and how many it lets wait for their answers.
    outstanding_max: usize,
    /// The pause between two further requests of a client.
    interval_ms: u64,
    /// When the machine is stopped, in seconds after the first client.
    sigterm_s: f64,
    /// How many further clients come at once instead, and for how long they send.
    burst: usize,
    burst_s: f64,
    memory_mb: u64,
    link_mbps: f64,
}

/// Clients behind paths of 10 Mbit/s.
pub const NARROW: Clients = Clients {
    connections: 12,
    answer_bytes: 540_000,
    bytes_per_s: 1.25e6,
    outstanding_max: 8,
    interval_ms: 100,
    sigterm_s: 2.0,
    burst: 0,
    burst_s: 0.0,
    memory_mb: 512,
    link_mbps: 200.0,
};

/// Clients behind paths of 20 Mbit/s with more requests at a time.
pub const WIDE: Clients = Clients {
    connections: 8,
    answer_bytes: 240_000,
    bytes_per_s: 2.5e6,
    outstanding_max: 28,
    interval_ms: 60,
    sigterm_s: 1.5,
    burst: 0,
    burst_s: 0.0,
    memory_mb: 512,
    link_mbps: 200.0,
};

/// Clients behind paths of 24 Mbit/s, and 1.7 times as many for 3 s.
pub const BURST: Clients = Clients {
    connections: 10,
    answer_bytes: 540_000,
    bytes_per_s: 3e6,
    outstanding_max: 18,
    interval_ms: 60,
    sigterm_s: 3.0,
    burst: 7,
    burst_s: 3.0,
    memory_mb: 110,
    link_mbps: 1_000.0,
};

/// A request that has no complete answer yet.
struct Waiting {
    id: String,
    sent_s: f64,
}

/// A request that was not answered when its connection ended.
struct Unanswered {
    id: String,
    sent_s: f64,
    ended_s: f64,
}

#[derive(Default)]
struct Outcome {
    answered: usize,
    refused: usize,
    unanswered: Vec<Unanswered>,
}

pub fn run(record: &Record, trouble: bool, clients: Clients) -> i32 {
    let store = Store::start();
    let spec = |name: &str| Spec {
        memory_mb: clients.memory_mb,
        link_mbps: clients.link_mbps,
        ..Spec::new(name, "amman-a", "amman", "calibstore", store.addr)
    };
    let specs = (1..=4).map(|number| spec(&format!("sidecar-amman-a-{number}"))).collect();
    let routes = [Route {
        prefix: "/archive/",
        kind: "download",
        service: "calibstore",
        timeout_s: DEADLINE_S,
        aim_s: 1.2,
    }];
    let Some(site) = Site::start(store.clone(), specs, &routes, record) else { return 2 };
    let caller_addr = site.daemons[0].spec.caller_addr;
    let end_s = record.now_s() + TRAFFIC_S;
    let talking: Vec<_> = (0..clients.connections)
        .map(|client| {
            let record = record.clone();
            std::thread::spawn(move || keep_talking(&record, clients, client, caller_addr, end_s))
        })
        .collect();
    std::thread::sleep(Duration::from_secs_f64(clients.sigterm_s));
    let stopped_s = record.now_s();
    let mut talking = talking;
    if trouble && clients.burst > 0 {
        record.say(format!("{} more clients come", clients.burst));
        let burst_end_s = record.now_s() + clients.burst_s;
        for client in clients.connections..clients.connections + clients.burst {
            let record = record.clone();
            talking.push(std::thread::spawn(move || {
                keep_talking(&record, clients, client, caller_addr, burst_end_s)
            }));
        }
    } else if trouble {
        record.say("SIGTERM to sidecar-amman-a-1");
        site.daemons[0].signal(SIGTERM);
    }
    let mut total = Outcome::default();
    for client in talking {
        let Ok(outcome) = client.join() else { return 2 };
        total.answered += outcome.answered;
        total.refused += outcome.refused;
        total.unanswered.extend(outcome.unanswered);
    }
    let mut lost = 0;
    let mut connections = BTreeSet::new();
    for Unanswered { id, sent_s, ended_s } in &total.unanswered {
        let runs: u32 = site.instances.iter().map(|instance| instance.runs(id)).sum();
        let in_grace = clients.burst > 0 || *ended_s < stopped_s + GRACE_S;
        let in_time = ended_s - sent_s < DEADLINE_S && in_grace;
        record.add(format!(
            "{id}: sent at {sent_s:.3}, connection ended at {ended_s:.3} without its answer, runs {runs}"
        ));
        if runs > 0 && in_time {
            lost += 1;
            connections.insert(id.split('-').next().unwrap_or_default());
            record.say(format!("LOST {id}: it ran, and its connection ended without an answer"));
        }
    }
    record.say(format!(
        "answered {}, refused {}, connection ended before the answer {}, of these passed on to an \
         instance and within their deadline: {lost}, on {} connections; memory at its peak {:.0} MB",
        total.answered,
        total.refused,
        total.unanswered.len(),
        connections.len(),
        site.daemons[0].peak_mb()
    ));
    if total.answered == 0 {
        return 2;
    }
    // A planned stop may cut off none. At other times the rule allows three.
    let allowed = if clients.burst > 0 { 3 } else { 0 };
    i32::from(lost > allowed && connections.len() > allowed)
}

/// Talks on one connection. If there is no planned stop, whose machine gets no new work after a while,
/// goes on with a new one when it ends.
fn keep_talking(
    record: &Record,
    clients: Clients,
    client: usize,
    addr: SocketAddr,
    end_s: f64,
) -> Outcome {
    // Clients do not all start in the same moment.
    std::thread::sleep(Duration::from_millis(40 * (client % clients.connections) as u64));
    let mut total = Outcome::default();
    for connection in 0.. {
        let name = format!("c{client}.{connection}");
        let outcome = talk(record, clients, &name, addr, end_s);
        total.answered += outcome.answered;
        total.refused += outcome.refused;
        total.unanswered.extend(outcome.unanswered);
        if clients.burst == 0 || record.now_s() >= end_s {
            break;
        }
    }
    total
}

/// One kept connection on which requests are sent before earlier ones are answered, until an answer
/// says that it closes.
fn talk(record: &Record, clients: Clients, name: &str, addr: SocketAddr, end_s: f64) -> Outcome {
    let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
        record.say(format!("{name} cannot connect"));
        std::thread::sleep(Duration::from_millis(100));
        return Outcome::default();
    };
    stream.set_nodelay(true).ok();
    set_window(&stream, WINDOW_BYTES);
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok();
    let waiting: Arc<Mutex<VecDeque<Waiting>>> = Arc::default();
    let closes = Arc::new(AtomicBool::new(false));
    let sender = {
        let (record, waiting, closes) = (record.clone(), waiting.clone(), closes.clone());
        let name = name.to_string();
        let mut stream = stream.try_clone().expect("the stream can be shared");
        std::thread::spawn(move || {
            let mut number = 0;
            while record.now_s() < end_s && !closes.load(Ordering::SeqCst) {
                if waiting.lock().unwrap().len() < clients.outstanding_max {
                    number += 1;
                    let id = format!("{name}-{number}");
                    let request = format!(
                        "GET /archive/{WORK_MS}/{} HTTP/1.1\r\nHost: desk.example\r\n\
                         Pomeloreach-Request-Id: {id}\r\nPomeloreach-Request-Deadline: {}\r\n\r\n",
                        clients.answer_bytes,
                        (DEADLINE_S * 1_000.0) as u64
                    );
                    let sent_s = record.now_s();
                    waiting.lock().unwrap().push_back(Waiting { id: id.clone(), sent_s });
                    record.add(format!("client sends {id}"));
                    if stream.write_all(request.as_bytes()).is_err() {
                        return;
                    }
                }
                if number >= clients.outstanding_max {
                    std::thread::sleep(Duration::from_millis(clients.interval_ms));
                }
            }
        })
    };
    let mut outcome = Outcome::default();
    let mut reader = Reader::new(stream);
    let idle_from = Instant::now();
    loop {
        let Ok(Some(head)) = reader.head() else { break };
        if head.closes() {
            closes.store(true, Ordering::SeqCst);
        }
        let front = waiting.lock().unwrap().front().map(|waiting| waiting.id.clone());
        let id = front.unwrap_or_default();
        record.add(format!("client sees the head of {id}: {} closes={}", head.status(), head.closes()));
        let mut got = 0;
        if reader.slow_body(head.length(), clients.bytes_per_s, &mut got).is_err() {
            record.add(format!("answer of {id} ends after {got} of {} bytes", head.length()));
            break;
        }
        if head.get("pomeloreach-request-id") != Some(&id) {
            record.say(format!("answer of another request in place of {id}"));
        }
        waiting.lock().unwrap().pop_front();
        record.add(format!("client has the whole answer of {id}"));
        if head.status() == 200 {
            outcome.answered += 1;
        } else {
            outcome.refused += 1;
        }
        let done = record.now_s() >= end_s && waiting.lock().unwrap().is_empty();
        if done || idle_from.elapsed().as_secs() > 30 {
            return outcome;
        }
    }
    closes.store(true, Ordering::SeqCst);
    sender.join().ok();
    let ended_s = record.now_s();
    let left = std::mem::take(&mut *waiting.lock().unwrap());
    outcome.unanswered =
        left.into_iter().map(|Waiting { id, sent_s }| Unanswered { id, sent_s, ended_s }).collect();
    outcome
}
