//! An instance starts again under its id and drains. Then a heartbeat of its earlier start arrives,
//! which was on its way since before the crash.

use crate::platform::{
    Arrival, BEAT_MS, CannotRun, DRAIN_MS, Instance, InstanceServer, Machine, Outcome, Platform,
    Record, beat_until, client, config, sleep_ms, sleep_until,
};
use std::sync::{Arc, Mutex};

const WORK_MS: u64 = 200;
/// How long after the acknowledgement the heartbeat of the earlier start arrives.
const OLD_BEAT_MS: u64 = 3_400;
/// How long after the acknowledgement the instance ends: `drain_s` and a little longer.
const EXIT_MS: u64 = 4_300;
/// How late the heartbeats of the draining start arrive.
const LATE_MS: u64 = 3_000;

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let mut platform = Platform::start(record)?;
    let machines = [Machine::new("wal-a", 1, "booking"), Machine::new("vla-a", 1, "booking")];
    platform.store.put("config", "main", config(7, "booking"));
    for machine in &machines {
        platform.start_daemon(machine, true)?;
    }
    let servers =
        machines.each_ref().map(|machine| InstanceServer::start(machine, record, WORK_MS));
    let stop_all = Arc::new(Mutex::new(false));
    let other = Instance::start("i-50c2d1aa", &machines[1], &servers[1], record);
    let other = beat_until(other, stop_all.clone());

    // The first start, which crashes.
    let stop_first = Arc::new(Mutex::new(false));
    let first = Instance::start("i-7f3a91c2", &machines[0], &servers[0], record);
    let first = beat_until(first, stop_first.clone());
    for machine in &machines {
        platform.wait_ready(machine, 8_000)?;
    }
    sleep_ms(4_000);
    let stop_clients = Arc::new(Mutex::new(false));
    let kinds: &[(&str, &str)] = &[("GET", "/read/1"), ("POST", "/order/1")];
    let clients: Vec<_> = (0..4)
        .map(|index| {
            let machine = &machines[index % 2];
            client(&format!("c{index}"), machine, record, stop_clients.clone(), 40, kinds)
        })
        .collect();
    sleep_ms(1_000);
    *stop_first.lock().unwrap() = true;
    let mut first = first.join().expect("the heartbeats end");
    let held_beat = first.next_beat("ready");
    record.line(&format!("the next heartbeat of the first start is on its way: {held_beat}"));
    first.end("crashes");

    // The second start under the same id, which drains.
    sleep_ms(500);
    let mut second = Instance::start("i-7f3a91c2", &machines[0], &servers[0], record);
    let beat = second.next_beat("ready");
    if !second.send_beat(&beat) {
        return Err(CannotRun("the second start got no acknowledgement".into()));
    }
    sleep_ms(BEAT_MS);
    let beat = second.next_beat("draining");
    if !second.send_beat(&beat) {
        return Err(CannotRun("the drain got no acknowledgement".into()));
    }
    let acked_ms = record.at_ms();
    record.say(&format!("the drain is acknowledged at {acked_ms} ms"));

    // The draining start goes on to send heartbeats, which arrive late with the disruption.
    let late_ms = if has_trouble { LATE_MS } else { 0 };
    let mut events: Vec<(u64, Option<String>)> = Vec::new();
    for number in 1..=3 {
        let beat = second.next_beat("draining").to_string();
        events.push((acked_ms + number * BEAT_MS + late_ms, Some(beat)));
    }
    if has_trouble {
        events.push((acked_ms + OLD_BEAT_MS, Some(held_beat.to_string())));
    }
    events.push((acked_ms + EXIT_MS, None));
    events.sort();
    for (at_ms, beat) in events {
        sleep_until(record, at_ms);
        match beat {
            Some(beat) => {
                let status =
                    crate::platform::control_call(&machines[0], "PUT", "i-7f3a91c2", &beat);
                record.line(&format!("heartbeat arrives: {beat} -> {status}"));
            }
            None => {
                second.send_leave();
                second.end("ends after its drain");
                break;
            }
        }
    }
    sleep_ms(1_500);
    *stop_clients.lock().unwrap() = true;
    let answers: Vec<_> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    *stop_all.lock().unwrap() = true;
    other.join().ok();

    let arrivals = servers[0].arrivals();
    let is_late = |arrival: &&Arrival| !arrival.is_rejected && arrival.at_ms > acked_ms + DRAIN_MS;
    let late: Vec<_> = arrivals.iter().filter(is_late).collect();
    let orders_cut =
        late.iter().filter(|arrival| arrival.is_cut && arrival.method == "POST").count();
    for arrival in late.iter().take(5) {
        record.say(&format!(
            "{} {} id={} reached the instance {} ms after its drain was acknowledged",
            arrival.method,
            arrival.path,
            arrival.id,
            arrival.at_ms - acked_ms
        ));
    }
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    record.say(&format!(
        "{} requests, {served} served; {} reached the instance later than drain_s after the \
         acknowledgement, of which {orders_cut} orders were cut off as it ended",
        answers.len(),
        late.len()
    ));
    if served * 2 < answers.len() {
        return Err(CannotRun("less than half of the requests were served".into()));
    }
    Ok(late.is_empty())
}
