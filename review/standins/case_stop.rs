//! A daemon gets SIGTERM, and ends while it writes an answer to a client on a slow path.

use crate::daemon::{NRPW, SIGTERM};
use crate::instance::{Answer, Behaviour};
use crate::path::{ROUND_TRIP, WINDOW_BYTES, connect};
use crate::site::{self, Route, Site};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The size of an answer.
const BODY_BYTES: usize = 300_000;
/// When the requests are sent, after the SIGTERM.
const SENT_AFTER: Duration = Duration::from_millis(2_000);
const WORK: Duration = Duration::from_millis(600);
/// How many clients there are, each with a connection that it keeps.
const CLIENTS: usize = 4;

pub fn run(folder: &Path, has_trouble: bool) -> ! {
    let places = [("kigali", "kigali-a", "order-desk")];
    let routes = [Route {
        name: "saw-order",
        service: "order-desk",
        kind: "unsafe",
        timeout_s: 3.0,
        target_latency_s: 1.2,
        priority: 1,
    }];
    let behaviour: Behaviour = Arc::new(|request, _| {
        let is_large = request.path().ends_with("/large");
        let (work, body_bytes) = if is_large { (WORK, BODY_BYTES) } else { (WORK / 10, 400) };
        Answer::Run { work, body_bytes }
    });
    let config = site::config(7, &routes, 1_048_576);
    let mut site = Site::start(folder, &NRPW, &places, &config, |_| behaviour.clone());
    let mut clients: Vec<TcpStream> =
        (0..CLIENTS).map(|_| connect(site.daemons[0].outbound)).collect();
    // Each connection carries a request before the stop.
    for client in &mut clients {
        let id = site::new_id();
        let (status, _) = exchange(client, "/saw-order/small", &id);
        site.record.line(format!("a kept connection carried {id}: {status}"));
    }
    let stopped_s = site.record.now_s();
    if has_trouble {
        site.daemons[0].signal("SIGTERM", SIGTERM);
    }
    thread::sleep(SENT_AFTER);
    let sending: Vec<_> = clients
        .into_iter()
        .map(|mut client| {
            let record = site.record.clone();
            thread::spawn(move || {
                let id = site::new_id();
                record.line(format!("client sends {id} POST /saw-order/large"));
                let (status, body_bytes) = exchange(&mut client, "/saw-order/large", &id);
                record.line(format!(
                    "client gets {status} with {body_bytes} of {BODY_BYTES} bytes for {id}"
                ));
                (id, body_bytes)
            })
        })
        .collect();
    let answers: Vec<(String, usize)> =
        sending.into_iter().map(|client| client.join().unwrap()).collect();
    if has_trouble {
        while !site.daemons[0].has_ended() && site.record.now_s() < stopped_s + NRPW.grace_s {
            thread::sleep(Duration::from_millis(10));
        }
        let took_s = site.record.now_s() - stopped_s;
        site.record.line(format!("the daemon has ended, within {took_s:.2} s of SIGTERM"));
    }
    let runs = site.instances[0].runs();
    let cut = answers
        .iter()
        .filter(|(id, bytes)| *bytes < BODY_BYTES && runs.iter().any(|run| run.id == *id))
        .count();
    let summary = format!(
        "{cut} of {CLIENTS} answers to unsafe requests that had run were cut off by the stop"
    );
    site.finish(cut > 0, &summary)
}

/// Sends a request and reads the answer at the rate of the path. Returns its status, or 0 if there
/// is none, and how much of the body arrived.
fn exchange(client: &mut TcpStream, path: &str, id: &str) -> (u16, usize) {
    client.set_read_timeout(Some(Duration::from_millis(3_000))).ok();
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: floor.example\r\nPomeloreach-Request-Id: {id}\r\n\
         Pomeloreach-Request-Deadline: 3000\r\nContent-Length: 0\r\n\r\n"
    );
    if client.write_all(request.as_bytes()).is_err() {
        return (0, 0);
    }
    let mut bytes = Vec::new();
    let mut part = vec![0; WINDOW_BYTES];
    loop {
        let head_end = bytes.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
        if let Some(head_end) = head_end {
            let head = String::from_utf8_lossy(&bytes[..head_end]).to_ascii_lowercase();
            let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
            let length = head.split("content-length: ").nth(1).and_then(|rest| {
                rest.split('\r').next().and_then(|text| text.parse::<usize>().ok())
            });
            // Only the rest of the body is of interest from here on.
            let mut body_bytes = bytes.len() - head_end;
            while body_bytes < length.unwrap_or(0) {
                let started = Instant::now();
                match client.read(&mut part) {
                    Ok(0) => break,
                    Ok(read) => body_bytes += read,
                    Err(error) if error.kind() == ErrorKind::Interrupted => {}
                    Err(_) => break,
                }
                thread::sleep(ROUND_TRIP.saturating_sub(started.elapsed()));
            }
            // Bytes of a second answer are not counted.
            return (status, body_bytes.min(length.unwrap_or(0)));
        }
        match client.read(&mut part) {
            Ok(read) if read > 0 => bytes.extend_from_slice(&part[..read]),
            _ => return (0, 0),
        }
    }
}
