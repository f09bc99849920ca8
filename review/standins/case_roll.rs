//! Daemons are stopped and started in turn, while clients send safe requests behind unsafe ones.

use crate::daemon::{NRPW, SIGTERM};
use crate::instance::{Answer, Behaviour};
use crate::path::{ROUND_TRIP, WINDOW_BYTES, try_connect};
use crate::record::Record;
use crate::site::{self, Route, Site};
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The sheet's `saw-order`: its mean work and its largest answer.
const ORDER_WORK: Duration = Duration::from_millis(78);
const ORDER_BODY_BYTES: usize = 30_000;
/// The sheet's `cut-list`: its mean work and its largest answer.
const LIST_WORK: Duration = Duration::from_millis(60);
const LIST_BODY_BYTES: usize = 2_400;
const CLIENTS_PER_MACHINE: usize = 6;
/// How many daemons are stopped, one after the other, and the pause after each start.
const STOPS: usize = 3;
const PAUSE: Duration = Duration::from_millis(5_000);
/// The longest time between the requests on a connection, in milliseconds.
const GAP_MS_MAX: u64 = 120;

/// An unsafe request, and whether its answer arrived whole.
struct Order {
    id: String,
    sent_s: f64,
    is_whole: bool,
}

pub fn run(folder: &Path, has_trouble: bool) -> ! {
    let places = [
        ("kigali", "kigali-a", "order-desk"),
        ("kigali", "kigali-b", "order-desk"),
        ("huye", "huye-a", "order-desk"),
    ];
    let route = |name, kind, timeout_s, target_latency_s, priority| Route {
        name,
        service: "order-desk",
        kind,
        timeout_s,
        target_latency_s,
        priority,
    };
    let routes =
        [route("saw-order", "unsafe", 0.8, 0.4, 1), route("cut-list", "safe", 1.2, 0.3, 2)];
    let behaviour: Behaviour = Arc::new(|request, _| {
        if request.path().starts_with("/saw-order/") {
            Answer::Run { work: ORDER_WORK, body_bytes: ORDER_BODY_BYTES }
        } else {
            Answer::Run { work: LIST_WORK, body_bytes: LIST_BODY_BYTES }
        }
    });
    let config = site::config(7, &routes, 1_048_576);
    let mut site = Site::start(folder, &NRPW, &places, &config, |_| behaviour.clone());
    let is_over = Arc::new(AtomicBool::new(false));
    let orders: Arc<Mutex<Vec<Order>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS_PER_MACHINE * places.len())
        .map(|index| {
            let addr = site.daemons[index % places.len()].outbound;
            let (record, is_over, orders) = (site.record.clone(), is_over.clone(), orders.clone());
            thread::spawn(move || {
                let mut random = index as u64 + 1;
                while !is_over.load(Ordering::Relaxed) {
                    serve_connection(addr, &record, &mut random, &is_over, &orders);
                }
            })
        })
        .collect();
    thread::sleep(PAUSE);
    let mut stopped_s = Vec::new();
    for index in 0..STOPS {
        let daemon = &mut site.daemons[index % places.len()];
        if has_trouble {
            stopped_s.push(site.record.now_s());
            daemon.signal("SIGTERM", SIGTERM);
        }
        let end_s = site.record.now_s() + NRPW.grace_s;
        while has_trouble && !daemon.has_ended() && site.record.now_s() < end_s {
            thread::sleep(Duration::from_millis(10));
        }
        if has_trouble {
            site.record.line(format!("daemon {} has ended", daemon.name));
            daemon.kill();
            daemon.start();
        }
        thread::sleep(PAUSE);
    }
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());

    // Judged are orders that were sent in the two seconds after a SIGTERM, before the platform has
    // taken the machine out. With TROUBLE=0 all are.
    let orders = orders.lock().unwrap();
    let is_judged = |order: &Order| {
        !has_trouble || stopped_s.iter().any(|at_s| (*at_s..at_s + 2.0).contains(&order.sent_s))
    };
    let runs: BTreeSet<String> =
        site.instances.iter().flat_map(|instance| instance.runs()).map(|run| run.id).collect();
    let judged = orders.iter().filter(|order| is_judged(order)).count();
    let cut: Vec<&Order> = orders
        .iter()
        .filter(|order| is_judged(order) && !order.is_whole && runs.contains(&order.id))
        .collect();
    for order in &cut {
        site.record.line(format!("{} ran, and its answer was cut off", order.id));
    }
    let summary = format!(
        "{} of {judged} unsafe requests that were sent in the {STOPS} stops ran and got no whole answer",
        cut.len()
    );
    site.finish(!cut.is_empty(), &summary)
}

/// Sends requests on one connection until it is closed: an unsafe one and up to three safe ones
/// behind it, again and again.
fn serve_connection(
    addr: SocketAddr,
    record: &Record,
    random: &mut u64,
    is_over: &AtomicBool,
    orders: &Mutex<Vec<Order>>,
) {
    let Some(stream) = try_connect(addr) else {
        thread::sleep(Duration::from_millis(50));
        return;
    };
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(Duration::from_millis(1_500))).ok();
    let mut reader = PathReader { stream, buffer: Vec::new() };
    while !is_over.load(Ordering::Relaxed) {
        *random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let (list_count, gap_ms) = (1 + (*random >> 40) % 3, (*random >> 50) % GAP_MS_MAX);
        let order = site::new_id();
        let sent_s = record.now_s();
        record.line(format!("client sends {order} POST /saw-order/2f"));
        if write_request(&reader.stream, "POST", "/saw-order/2f", &order).is_err() {
            return;
        }
        // When the client knows, in milliseconds, that the connection will be closed.
        let closes_ms = AtomicU64::new(u64::MAX);
        let is_open = thread::scope(|scope| {
            let stream = reader.stream.try_clone().expect("the descriptor can be shared");
            let sending = scope.spawn(|| send_lists(stream, record, list_count, gap_ms, &closes_ms));
            let answer = reader.read(record, &closes_ms);
            let status = answer.map_or(0, |(status, _)| status);
            record.line(format!("client gets {status} for {order}"));
            let is_whole = answer.is_some();
            orders.lock().unwrap().push(Order { id: order, sent_s, is_whole });
            let sent_count = sending.join().unwrap();
            let mut is_open = answer.is_some_and(|(_, closes)| !closes);
            for _ in 0..sent_count {
                is_open = is_open && reader.read(record, &closes_ms).is_some_and(|(_, closes)| !closes);
            }
            is_open
        });
        if !is_open {
            return;
        }
    }
}

/// Sends safe requests behind the first, unless the client knows that the connection will be closed:
/// what it writes reaches the daemon half a round trip after it has decided, and what the daemon
/// writes reaches it half a round trip later. Returns how many were sent.
fn send_lists(
    stream: TcpStream,
    record: &Record,
    count: u64,
    gap_ms: u64,
    closes_ms: &AtomicU64,
) -> usize {
    let mut sent_count = 0;
    for _ in 0..count {
        thread::sleep(Duration::from_millis(gap_ms));
        if now_ms(record) >= closes_ms.load(Ordering::SeqCst) {
            break;
        }
        let id = site::new_id();
        record.line(format!("client sends {id} GET /cut-list/2f behind it"));
        if write_request(&stream, "GET", "/cut-list/2f", &id).is_err() {
            break;
        }
        sent_count += 1;
    }
    sent_count
}

fn now_ms(record: &Record) -> u64 {
    (record.now_s() * 1_000.0) as u64
}

fn write_request(mut stream: &TcpStream, method: &str, path: &str, id: &str) -> std::io::Result<()> {
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: floor.example\r\nPomeloreach-Request-Id: {id}\r\n\
         Pomeloreach-Request-Deadline: 1500\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes())
}

/// Reads answers at the rate of the path: one window in a round trip.
struct PathReader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl PathReader {
    /// Reads a whole answer. Returns its status and whether the connection is closed after it.
    /// Sets `closes_ms` when the client learns of that from the head.
    fn read(&mut self, record: &Record, closes_ms: &AtomicU64) -> Option<(u16, bool)> {
        let head_end = loop {
            let end = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
            if let Some(end) = end {
                break end + 4;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).to_ascii_lowercase();
        let closes = head.contains("connection: close");
        if closes {
            closes_ms.store(now_ms(record) + ROUND_TRIP.as_millis() as u64, Ordering::SeqCst);
        }
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let length: usize =
            head.split("content-length: ").nth(1)?.split('\r').next()?.parse().ok()?;
        while self.buffer.len() < head_end + length {
            thread::sleep(ROUND_TRIP);
            self.fill()?;
        }
        self.buffer.drain(..head_end + length);
        Some((status, closes))
    }

    fn fill(&mut self) -> Option<()> {
        let mut part = [0; 2 * WINDOW_BYTES];
        let bytes = self.stream.read(&mut part).ok().filter(|bytes| *bytes > 0)?;
        self.buffer.extend_from_slice(&part[..bytes]);
        Some(())
    }
}
