//! An instance that starts again under its id after the clock of its machine was set back: does it get
//! requests after its leave was acknowledged?

use crate::daemon::Spec;
use crate::http::Reader;
use crate::record::Record;
use crate::site::{Route, STABLE_WINDOW_S, Site};
use crate::store::Store;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// One machine of ten: the clocks of 0.28 of them may jump, and 0.1 of the instances go down and up.
const MACHINES: usize = 10;
/// `drain_s` of the sheet.
const DRAIN_S: f64 = 3.0;
/// How far the clock is ahead, in milliseconds: the x of `clock_step` in the site file.
const STEP_MS: i64 = 2_400;
/// How long the instance runs before it goes down again: the gap_s of `srv_flap`.
const RUN_S: f64 = 1.4;
/// How long the instance is down.
const DOWN_MS: u64 = 60;
const REQUEST_INTERVAL_MS: u64 = 50;
/// How long the instance serves after its leave was acknowledged: `drain_s` and some seconds.
const SERVES_S: f64 = 9.0;

pub fn run(record: &Record, trouble: bool) -> i32 {
    let store = Store::start();
    let spec = |name: &str| Spec::new(name, "kigali-a", "kigali", "order-desk", store.addr);
    let specs = (1..=MACHINES).map(|number| spec(&format!("sidecar-kigali-a-{number}"))).collect();
    let route = |prefix, kind| Route { prefix, kind, service: "order-desk", timeout_s: 2.0, aim_s: 0.5 };
    let routes = [route("/cut-list/", "safe"), route("/saw-order/", "unsafe")];
    let Some(site) = Site::start(store.clone(), specs, &routes, record) else { return 2 };
    let instance = &site.instances[0];
    let step_ms = if trouble { STEP_MS } else { 0 };
    record.say(format!("{} starts, the clock of its machine is {step_ms} ms ahead", instance.id));
    instance.restart(DOWN_MS, step_ms);
    thread::sleep(Duration::from_secs_f64(RUN_S));
    record.say(format!("the clock is right; {} crashes and starts again under its id", instance.id));
    instance.restart(DOWN_MS, 0);
    // From here on no clock is wrong and nothing else is disturbed.
    let addrs: Vec<SocketAddr> = site.daemons.iter().map(|daemon| daemon.spec.caller_addr).collect();
    let mut number = 0;
    let mut send_until = |until_s: f64| {
        while record.now_s() < until_s {
            number += 1;
            send(record, addrs[number % addrs.len()], number);
            thread::sleep(Duration::from_millis(REQUEST_INTERVAL_MS));
        }
    };
    send_until(record.now_s() + STABLE_WINDOW_S + 2.0);
    let before = instance.arrivals().len();
    let Some(200) = instance.leave() else {
        record.say("the leave was not acknowledged");
        return 2;
    };
    let acknowledged_s = record.now_s();
    record.say(format!("{} says draining, and the daemon acknowledges it", instance.id));
    send_until(acknowledged_s + SERVES_S);
    let arrivals = instance.arrivals();
    let late = arrivals.iter().filter(|at_s| **at_s > acknowledged_s + DRAIN_S).count();
    let last_s = arrivals.last().map_or(0.0, |at_s| at_s - acknowledged_s);
    record.say(format!(
        "requests {number}, at the instance before it said draining {before}, later than {DRAIN_S} s \
         after the acknowledgement {late}, the last {last_s:.1} s after it"
    ));
    i32::from(late > 0)
}

fn send(record: &Record, addr: SocketAddr, number: usize) {
    let id = format!("r{number}");
    let (method, path) = match number % 3 {
        0 => ("POST", "/saw-order/20/400"),
        _ => ("GET", "/cut-list/20/400"),
    };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nPomeloreach-Request-Id: {id}\r\n\
         Pomeloreach-Request-Deadline: 1500\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    let answer = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok().and_then(|mut stream| {
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        stream.write_all(request.as_bytes()).ok()?;
        Reader::new(stream).head().ok()?
    });
    record.add(format!("{id} {path}: {}", answer.map_or(0, |head| head.status())));
}
