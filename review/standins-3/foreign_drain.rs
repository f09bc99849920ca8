//! An instance drains. Then a heartbeat of another writer, in which fields are missing, bears its id.

use crate::json::{self, Json};
use crate::platform::{
    Arrival, BEAT_MS, CannotRun, DRAIN_MS, Instance, InstanceServer, Machine, Outcome, Platform,
    Record, beat_until, client, config, control_call, sleep_ms, sleep_until,
};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

const WORK_MS: u64 = 200;
/// How long after the acknowledgement the heartbeat of the other writer arrives.
const FOREIGN_MS: u64 = 2_700;
/// How long after the acknowledgement the instance ends: `drain_s` and a little longer.
const EXIT_MS: u64 = 4_200;

/// A heartbeat of another writer: `version` and `zone` are missing.
pub fn foreign_beat(machine: &Machine) -> Json {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    json::object(vec![
        ("address", json::text(&machine.app_seen.to_string())),
        ("born", json::number(born)),
        (
            "info",
            json::object(vec![
                ("service", json::text(&machine.service)),
                ("slots", json::number(6)),
            ]),
        ),
        (
            "status",
            json::object(vec![
                ("state", json::text("ready")),
                ("sequence", json::number(1)),
                ("cold_left_s", json::number(0)),
            ]),
        ),
    ])
}

/// Sends a heartbeat of another writer under an id.
pub fn send_foreign(machine: &Machine, id: &str, record: &Record) {
    let beat = foreign_beat(machine).to_string();
    let status = control_call(machine, "PUT", id, &beat);
    record.say(&format!(
        "a heartbeat of another writer under {id} at {}: {beat} -> {status}",
        machine.name
    ));
}

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
    let stop_ready = Arc::new(Mutex::new(false));
    let leaving = Instance::start("i-7f3a91c2", &machines[0], &servers[0], record);
    let leaving = beat_until(leaving, stop_ready.clone());
    for machine in &machines {
        platform.wait_ready(machine, 8_000)?;
    }
    sleep_ms(4_000);
    let stop_clients = Arc::new(Mutex::new(false));
    let kinds: &[(&str, &str)] = &[("GET", "/read/1"), ("POST", "/order/1")];
    let clients: Vec<_> = (0..6)
        .map(|index| {
            let machine = &machines[index % 2];
            client(
                &format!("c{index}"),
                machine,
                record,
                stop_clients.clone(),
                40 + 15 * index as u64,
                kinds,
            )
        })
        .collect();
    sleep_ms(2_000);

    *stop_ready.lock().unwrap() = true;
    let mut leaving = leaving.join().expect("the heartbeats end");
    let beat = leaving.next_beat("draining");
    if !leaving.send_beat(&beat) {
        return Err(CannotRun("the drain got no acknowledgement".into()));
    }
    let acked_ms = record.at_ms();
    record.say(&format!("the drain is acknowledged at {acked_ms} ms"));
    sleep_until(record, acked_ms + BEAT_MS);
    let beat = leaving.next_beat("draining");
    leaving.send_beat(&beat);
    sleep_until(record, acked_ms + FOREIGN_MS);
    if has_trouble {
        send_foreign(&machines[0], "i-7f3a91c2", record);
    }
    sleep_until(record, acked_ms + 2 * BEAT_MS);
    let beat = leaving.next_beat("draining");
    leaving.send_beat(&beat);
    sleep_until(record, acked_ms + EXIT_MS);
    leaving.send_leave();
    leaving.end("ends after its drain");
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
