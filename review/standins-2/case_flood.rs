//! Clients that send many requests ahead on a few connections and read no answers: does a daemon stay
//! within the memory of its machine?

use crate::daemon::Spec;
use crate::http::{Reader, set_window};
use crate::record::Record;
use crate::site::{Route, Site};
use crate::store::Store;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// `memory_mb` of the sheet.
const MEMORY_MB: u64 = 110;
/// Less than the largest answer that the daemon passes on (4 MiB).
const ANSWER_BYTES: usize = 4_000_000;
const WORK_MS: usize = 20;
const MACHINES: usize = 6;
/// The machines whose clients send ahead.
const FLOODED: usize = 2;
/// Clients at each of these machines, and the requests that each sends ahead.
const CONNECTIONS: usize = 12;
const AHEAD: usize = 32;
/// How long a client stays without reading before it leaves.
const STAY_MS: u64 = 1_000;
/// How often processes must end on a machine, and on how many machines: a tenth, but two at least.
const ENDS: usize = 3;
const MACHINES_MIN: usize = 2;
const LIMIT_S: f64 = 80.0;
/// The pause between the end of a process and its next start.
const RESTART_MS: u64 = 500;
const WINDOW_BYTES: i32 = 64 * 1024;

pub fn run(record: &Record, trouble: bool) -> i32 {
    let store = Store::start();
    let spec = |name: &str| Spec {
        memory_mb: MEMORY_MB,
        link_mbps: 1_000.0,
        ..Spec::new(name, "wal-a", "wal", "fleet", store.addr)
    };
    let specs = (1..=MACHINES).map(|number| spec(&format!("sidecar-wal-a-{number}"))).collect();
    let route = |prefix, kind| Route { prefix, kind, service: "fleet", timeout_s: 5.0, aim_s: 1.2 };
    let routes = [route("/report/", "safe"), route("/reserve/", "unsafe")];
    let Some(mut site) = Site::start(store.clone(), specs, &routes, record) else { return 2 };
    let stop = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicUsize::new(0));
    let mut threads = Vec::new();
    for (machine, daemon) in site.daemons.iter().take(FLOODED).enumerate() {
        let addr = daemon.spec.caller_addr;
        for client in 0..CONNECTIONS {
            let (stop, answered) = (stop.clone(), answered.clone());
            threads.push(thread::spawn(move || {
                for visit in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        break;
                    }
                    let name = format!("m{machine}c{client}v{visit}");
                    let seen = if trouble { send_ahead(addr, &name) } else { read_answers(addr, &name) };
                    answered.fetch_add(seen, Ordering::SeqCst);
                }
            }));
        }
    }
    // The platform: it kills a process that exceeds the memory of its machine, and starts it again.
    let mut ends = vec![0; site.daemons.len()];
    let mut peaks_mb = vec![0.0_f64; site.daemons.len()];
    let started_s = record.now_s();
    let limit_s = if trouble { LIMIT_S } else { 20.0 };
    while record.now_s() < started_s + limit_s && !is_fault(&ends) {
        for (index, daemon) in site.daemons.iter_mut().enumerate() {
            let used_mb = daemon.used_mb();
            peaks_mb[index] = peaks_mb[index].max(used_mb);
            if used_mb > MEMORY_MB as f64 {
                ends[index] += 1;
                record.say(format!(
                    "{} uses {used_mb:.0} MB of {MEMORY_MB}: killed, {} times",
                    daemon.spec.name, ends[index]
                ));
                daemon.kill();
                thread::sleep(Duration::from_millis(RESTART_MS));
                daemon.restart();
            } else if !daemon.is_running() {
                ends[index] += 1;
                record.say(format!("{} ended by itself, {} times", daemon.spec.name, ends[index]));
                daemon.restart();
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().ok();
    }
    let runs: usize = site.instances.iter().map(|instance| instance.total_runs()).sum();
    record.say(format!(
        "ends by machine: {ends:?}, most used {:.0} MB of {MEMORY_MB}; requests that ran {runs}, whole \
         answers read {}",
        peaks_mb.iter().fold(0.0_f64, |most, peak_mb| most.max(*peak_mb)),
        answered.load(Ordering::SeqCst)
    ));
    if runs == 0 {
        return 2;
    }
    i32::from(is_fault(&ends))
}

fn is_fault(ends: &[usize]) -> bool {
    ends.iter().filter(|count| **count >= ENDS).count() >= MACHINES_MIN
}

fn request(id: &str) -> String {
    format!(
        "GET /report/{WORK_MS}/{ANSWER_BYTES} HTTP/1.1\r\nHost: desk.example\r\n\
         Pomeloreach-Request-Id: {id}\r\nPomeloreach-Request-Deadline: 5000\r\n\r\n"
    )
}

fn connect(addr: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok();
    if stream.is_none() {
        thread::sleep(Duration::from_millis(200));
    }
    let stream = stream?;
    stream.set_read_timeout(Some(Duration::from_secs(6))).ok();
    Some(stream)
}

/// Sends requests ahead and reads nothing.
fn send_ahead(addr: SocketAddr, name: &str) -> usize {
    let Some(mut stream) = connect(addr) else { return 0 };
    set_window(&stream, WINDOW_BYTES);
    let requests: String = (0..AHEAD).map(|number| request(&format!("{name}-{number}"))).collect();
    if stream.write_all(requests.as_bytes()).is_ok() {
        thread::sleep(Duration::from_millis(STAY_MS));
    }
    0
}

/// Sends the same requests on one connection, each after the answer to the one before.
fn read_answers(addr: SocketAddr, name: &str) -> usize {
    let Some(stream) = connect(addr) else { return 0 };
    let mut reader = Reader::new(stream);
    for number in 0..AHEAD {
        if reader.stream.write_all(request(&format!("{name}-{number}")).as_bytes()).is_err() {
            return number;
        }
        let Ok(Some(head)) = reader.head() else { return number };
        let mut got = 0;
        if reader.slow_body(head.length(), 1e9, &mut got).is_err() {
            return number;
        }
    }
    AHEAD
}
