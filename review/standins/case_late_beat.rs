//! An instance leaves, all daemons are killed, and a heartbeat from before arrives late.

use crate::daemon::NRPW;
use crate::instance::{Answer, Behaviour};
use crate::site::{self, Route, Site};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// `drain_s` of the site.
const DRAIN_S: f64 = 2.5;
/// `stable_window_s` of the site.
const STABLE_WINDOW_S: f64 = 4.0;
/// How much later than its sending the heartbeat arrives.
const BEAT_DELAY: Duration = Duration::from_millis(2_500);

/// The clients of each machine.
const CLIENTS: usize = 3;

fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

pub fn run(folder: &Path, has_trouble: bool) -> ! {
    let places = [
        ("kigali", "kigali-a", "order-desk"),
        ("kigali", "kigali-b", "order-desk"),
        ("huye", "huye-a", "order-desk"),
    ];
    let route = |name, kind, timeout_s, priority| Route {
        name,
        service: "order-desk",
        kind,
        timeout_s,
        target_latency_s: 0.4,
        priority,
    };
    let routes = [route("cut-list", "safe", 1.2, 2), route("saw-order", "unsafe", 0.8, 1)];
    let behaviour: Behaviour =
        Arc::new(|_, _| Answer::Run { work: Duration::from_millis(60), body_bytes: 400 });
    let config = site::config(7, &routes, 1_048_576);
    let mut site = Site::start(folder, &NRPW, &places, &config, |_| behaviour.clone());
    let record = site.record.clone();
    let leaving = site.instances[0].clone();

    // The heartbeat is on its way when the instance leaves.
    leaving.stop_beats();
    let late_beat = leaving.beat_body("ready");
    record.line("instance i-0 sends a heartbeat, which will arrive 2.5 s late");
    let late = (leaving.clone(), record.clone());
    let delivery = thread::spawn(move || {
        thread::sleep(BEAT_DELAY);
        let is_acknowledged = late.0.beat(&late_beat);
        late.1.line(format!("the late heartbeat of i-0 arrives; acknowledged: {is_acknowledged}"));
    });
    sleep(0.05);
    if !leaving.leave() {
        eprintln!("the daemon did not acknowledge the leave");
        crate::daemon::exit(2);
    }
    let acknowledged_s = record.now_s();
    sleep(0.2);
    if has_trouble {
        site.daemons.iter_mut().for_each(|daemon| daemon.kill());
        sleep(1.0);
        site.daemons.iter_mut().for_each(|daemon| daemon.start());
    }
    let started_s = record.now_s();
    delivery.join().ok();

    // Clients at each machine, until the instance has served for ten seconds after its leave.
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = site
        .daemons
        .iter()
        .flat_map(|daemon| [daemon; CLIENTS])
        .enumerate()
        .map(|(index, daemon)| {
            let (addr, record, is_over) = (daemon.outbound, record.clone(), is_over.clone());
            thread::spawn(move || {
                let mut sent = Vec::new();
                // The clients don't send at the same moments.
                thread::sleep(Duration::from_millis(35 * index as u64));
                while !is_over.load(Ordering::Relaxed) {
                    for request in [("GET", "/cut-list/2f"), ("POST", "/saw-order/2f")] {
                        let id = site::new_id();
                        let at_s = record.now_s();
                        let outcome = site::send(&record, addr, request, &id, 1_200, b"");
                        sent.push((id, at_s, request.0, outcome.status()));
                        thread::sleep(Duration::from_millis(100));
                    }
                }
                sent
            })
        })
        .collect();
    sleep(acknowledged_s + 10.0 - record.now_s());
    // It ends as soon as it has an unsafe request to lose.
    let end_s = record.now_s() + 1.0;
    while record.now_s() < end_s
        && !leaving.runs().last().is_some_and(|run| {
            run.method == "POST" && record.now_s() < run.at_s + 0.03
        })
    {
        thread::sleep(Duration::from_millis(2));
    }
    leaving.end();
    sleep(0.3);
    is_over.store(true, Ordering::Relaxed);
    let sent: Vec<(String, f64, &str, u16)> =
        clients.into_iter().flat_map(|client| client.join().unwrap()).collect();

    // Judged are requests that were sent when all machines had been in touch again.
    let in_touch_s = started_s + STABLE_WINDOW_S + 0.5;
    let is_judged = |id: &str| sent.iter().any(|(sent_id, at_s, ..)| sent_id == id && *at_s > in_touch_s);
    let arrivals = leaving.arrivals();
    let late_count = arrivals
        .iter()
        .filter(|arrival| arrival.at_s > acknowledged_s + DRAIN_S && is_judged(&arrival.id))
        .count();
    let last_s = arrivals.last().map_or(0.0, |arrival| arrival.at_s - acknowledged_s);
    let judged = sent.iter().filter(|(_, at_s, ..)| *at_s > in_touch_s).count();
    let runs = leaving.runs();
    let lost = sent
        .iter()
        .filter(|(id, _, method, status)| {
            *method == "POST" && *status != 200 && runs.iter().any(|run| run.id == *id)
        })
        .count();
    let summary = format!(
        "{late_count} of {judged} judged requests reached i-0 later than {DRAIN_S} s after its leave \
         was acknowledged, the last {last_s:.1} s after it; {lost} unsafe requests that it ran when \
         it ended got no answer of it"
    );
    site.finish(late_count > 0, &summary)
}
