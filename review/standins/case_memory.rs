//! Clients keep their connections after long requests, and the platform ends each daemon that
//! exceeds its memory.

use crate::daemon::NRPW;
use crate::http::Connection;
use crate::instance::{Answer, Behaviour};
use crate::site::{self, Route, Site};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// `memory_mb` of the site's machines.
const MEMORY_MB: u64 = 260;
/// `max_body_bytes` of the example of the operator's configuration.
const BODY_BYTES_MAX: u64 = 67_108_864;
/// What the clients send: a quarter of the limit, less the head's share.
const LONG_BODY_BYTES: usize = 15_000_000;
/// The largest body of the site's sheet.
const SHORT_BODY_BYTES: usize = 1_800;
/// The clients at each machine; the sheet has 48 to 62 in a zone, which is two machines.
const CLIENTS: usize = 24;
/// How often a process must end by itself, and at how many machines, for the rule.
const ENDS: usize = 3;
const MACHINES: usize = 2;
const ROUNDS: usize = 4;

pub fn run(folder: &Path, has_trouble: bool) -> ! {
    let places = [("kigali", "kigali-a", "order-desk"), ("huye", "huye-a", "order-desk")];
    let routes = [Route {
        name: "saw-order",
        service: "order-desk",
        kind: "unsafe",
        timeout_s: 0.8,
        target_latency_s: 0.4,
        priority: 1,
    }];
    let behaviour: Behaviour =
        Arc::new(|_, _| Answer::Run { work: Duration::from_millis(78), body_bytes: 5_000 });
    let config = site::config(7, &routes, BODY_BYTES_MAX);
    let mut site = Site::start(folder, &NRPW, &places, &config, |_| behaviour.clone());
    let body = Arc::new(vec![b'p'; if has_trouble { LONG_BODY_BYTES } else { SHORT_BODY_BYTES }]);
    let mut ends = [0; MACHINES];
    let cut = Arc::new(AtomicUsize::new(0));
    for round in 1..=ROUNDS {
        let is_over = Arc::new(AtomicBool::new(false));
        let clients: Vec<_> = site
            .daemons
            .iter()
            .map(|daemon| {
                let (addr, record) = (daemon.outbound, site.record.clone());
                let (body, is_over, cut) = (body.clone(), is_over.clone(), cut.clone());
                thread::spawn(move || {
                    // One request at a time. Every connection is kept.
                    let mut kept = Vec::new();
                    for _ in 0..CLIENTS {
                        if is_over.load(Ordering::Relaxed) {
                            return;
                        }
                        let Ok(mut connection) = Connection::open(addr, Duration::from_secs(1))
                        else {
                            continue;
                        };
                        let id = site::new_id();
                        record.line(format!("client sends {id} with {} bytes to {addr}", body.len()));
                        let request = ("POST", "/saw-order/2f");
                        let outcome = site::send_on(&mut connection, request, &id, 1_500, &body);
                        record.line(format!("client gets {outcome} for {id}"));
                        cut.fetch_add(usize::from(outcome.status() == 0), Ordering::Relaxed);
                        kept.push(connection);
                    }
                    // The sites' clients reuse connections that were idle for up to 12 s.
                    while !is_over.load(Ordering::Relaxed) {
                        thread::sleep(Duration::from_millis(20));
                    }
                })
            })
            .collect();
        for _ in 0..400 {
            thread::sleep(Duration::from_millis(10));
            for (index, daemon) in site.daemons.iter_mut().enumerate() {
                let memory_mb = daemon.memory_kb() / 1_024;
                if memory_mb > MEMORY_MB {
                    site.record.line(format!(
                        "round {round}: daemon {} holds {memory_mb} MB of {MEMORY_MB}",
                        daemon.name
                    ));
                    ends[index] += 1;
                    daemon.kill();
                    thread::sleep(Duration::from_millis(200));
                    daemon.start();
                }
            }
            if ends.iter().all(|count| *count >= round) || clients.iter().all(|c| c.is_finished()) {
                break;
            }
        }
        for daemon in &site.daemons {
            site.record.line(format!("{} holds {} kB", daemon.name, daemon.memory_kb()));
        }
        is_over.store(true, Ordering::Relaxed);
        clients.into_iter().for_each(|client| client.join().unwrap());
        // Until the machines are in touch again.
        thread::sleep(Duration::from_millis(5_000));
        site.wait_ready();
    }
    let is_broken = ends.iter().filter(|count| **count >= ENDS).count() >= MACHINES;
    let summary = format!(
        "the daemons exceeded {MEMORY_MB} MB {} and {} times; {} requests were left without an answer",
        ends[0],
        ends[1],
        cut.load(Ordering::Relaxed)
    );
    site.finish(is_broken, &summary)
}
