//! An instance sends its rejection of one request a second time, while it runs the next one.

use crate::daemon::NRPW;
use crate::instance::{Answer, Behaviour};
use crate::site::{self, Route, Site};
use std::cell::RefCell;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// A rejection as the platform's examples have it.
const REJECTION: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nPomeloreach-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
/// How many times the instance rejects a request and later repeats the rejection.
const ROUNDS: usize = 6;
/// The requests before each round, so that the additional answers are less than 3 in 100.
const SOUND_REQUESTS: usize = 60;

pub fn run(folder: &Path, has_trouble: bool) -> ! {
    let places =
        [("kigali", "kigali-a", "order-desk"), ("huye", "huye-a", "order-desk")];
    let routes = [Route {
        name: "saw-order",
        service: "order-desk",
        kind: "unsafe",
        timeout_s: 0.8,
        target_latency_s: 0.4,
        priority: 1,
    }];
    let work = Duration::from_millis(78);
    // Set while the first instance rejects the next request.
    let rejects = Arc::new(AtomicBool::new(false));
    // Set while the first instance repeats its last rejection.
    let repeats = Arc::new(AtomicBool::new(false));
    let first: Behaviour = {
        let (rejects, repeats) = (rejects.clone(), repeats.clone());
        Arc::new(move |_, arrival| {
            if rejects.swap(false, Ordering::SeqCst) {
                return Answer::Bytes { wait: Duration::ZERO, bytes: REJECTION.to_vec() };
            }
            // Only a connection that carried the rejection can carry its copy.
            if arrival.place > 0 && repeats.swap(false, Ordering::SeqCst) {
                let (early, bytes) = (Duration::from_millis(20), REJECTION.to_vec());
                return Answer::RunAfterBytes { early, bytes, work, body_bytes: 5_000 };
            }
            Answer::Run { work, body_bytes: 5_000 }
        })
    };
    let other: Behaviour = Arc::new(move |_, _| Answer::Run { work, body_bytes: 5_000 });
    let config = site::config(7, &routes, 1_048_576);
    let behaviour = |index| if index == 0 { first.clone() } else { other.clone() };
    let site = Site::start(folder, &NRPW, &places, &config, behaviour);
    let outbound = site.daemons[0].outbound;
    let answers: RefCell<Vec<(String, u16)>> = RefCell::default();
    let order = |id: &str| {
        let request = ("POST", "/saw-order/2f");
        let outcome =
            site::send(&site.record, outbound, request, id, 1_500, b"two poles, brass caps");
        answers.borrow_mut().push((id.to_string(), outcome.status()));
    };
    for _ in 0..ROUNDS {
        for _ in 0..SOUND_REQUESTS {
            order(&site::new_id());
            thread::sleep(Duration::from_millis(20));
        }
        rejects.store(true, Ordering::SeqCst);
        order(&site::new_id());
        repeats.store(has_trouble, Ordering::SeqCst);
        order(&site::new_id());
        repeats.store(false, Ordering::SeqCst);
    }
    thread::sleep(Duration::from_millis(500));
    let runs: Vec<String> =
        site.instances.iter().flat_map(|i| i.runs()).map(|run| run.id).collect();
    let answers = answers.into_inner();
    let run_count = |id: &str| runs.iter().filter(|run| *run == id).count();
    let twice = answers.iter().filter(|(id, _)| run_count(id) > 1).count();
    let refused = answers.iter().filter(|(id, status)| *status == 503 && run_count(id) > 0).count();
    let summary = format!(
        "of {} unsafe requests, {twice} ran more than once, and {refused} were answered 503 and ran",
        answers.len()
    );
    site.finish(twice + refused > 0, &summary)
}
