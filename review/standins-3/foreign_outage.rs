//! All processes are killed and start again. Then a heartbeat of another writer, in which fields are
//! missing, reaches each daemon once.

use crate::foreign_drain::send_foreign;
use crate::platform::{
    CannotRun, Instance, InstanceServer, Machine, Outcome, Platform, Record, beat_until, client,
    config, is_ready, sleep_ms, sleep_until,
};
use std::sync::{Arc, Mutex};

const WORK_MS: u64 = 100;
/// How long all processes are down, as in the site's closing faults.
const DOWN_MS: u64 = 900;
/// How long after the machines are back the heartbeats of the other writer arrive.
const FOREIGN_MS: u64 = 3_000;
const RECOVERY_MS: u64 = 15_000;
/// For how long requests are judged after that.
const JUDGED_MS: u64 = 10_000;

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let mut platform = Platform::start(record)?;
    let machines = [Machine::new("wal-a", 1, "booking"), Machine::new("vla-a", 1, "booking")];
    platform.store.put("config", "main", config(7, "booking"));
    for machine in &machines {
        platform.start_daemon(machine, true)?;
    }
    let stop_all = Arc::new(Mutex::new(false));
    let mut beats = Vec::new();
    for (machine, id) in machines.iter().zip(["i-7f3a91c2", "i-50c2d1aa"]) {
        let server = InstanceServer::start(machine, record, WORK_MS);
        beats.push(beat_until(Instance::start(id, machine, &server, record), stop_all.clone()));
    }
    for machine in &machines {
        platform.wait_ready(machine, 8_000)?;
    }
    sleep_ms(3_000);
    let stop_clients = Arc::new(Mutex::new(false));
    let kinds: &[(&str, &str)] = &[("GET", "/read/1"), ("POST", "/order/1")];
    let clients: Vec<_> = (0..4)
        .map(|index| {
            let machine = &machines[index % 2];
            client(&format!("c{index}"), machine, record, stop_clients.clone(), 60, kinds)
        })
        .collect();
    sleep_ms(4_000);

    let fault_ms = record.at_ms();
    for machine in &machines {
        platform.kill(machine);
    }
    sleep_ms(DOWN_MS);
    for machine in &machines {
        platform.start_daemon(machine, false)?;
    }
    let back_ms = record.at_ms();
    record.say(&format!("all machines are back at {back_ms} ms"));
    sleep_until(record, back_ms + FOREIGN_MS);
    if has_trouble {
        for machine in &machines {
            send_foreign(machine, "i-0e4b77d9", record);
        }
    }
    sleep_until(record, back_ms + RECOVERY_MS + JUDGED_MS);
    let ready = machines.iter().filter(|machine| is_ready(machine)).count();
    *stop_clients.lock().unwrap() = true;
    let answers: Vec<_> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    *stop_all.lock().unwrap() = true;
    beats.into_iter().for_each(|beats| drop(beats.join()));

    let share = |from_ms: u64, to_ms: u64| {
        let sent = answers.iter().filter(|answer| (from_ms..to_ms).contains(&answer.sent_ms));
        let sent: Vec<_> = sent.collect();
        (sent.iter().filter(|answer| answer.status == 200).count(), sent.len())
    };
    let (before, before_all) = share(0, fault_ms.saturating_sub(1_000));
    let (between, between_all) = share(back_ms + 1_500, back_ms + FOREIGN_MS);
    let (after, after_all) = share(back_ms + RECOVERY_MS, back_ms + RECOVERY_MS + JUDGED_MS);
    record.say(&format!(
        "served: {before} of {before_all} before the fault, {between} of {between_all} after the \
         restart, {after} of {after_all} later than recovery_s after it; {ready} of {} daemons say \
         that they are ready at the end",
        machines.len()
    ));
    if before * 4 < before_all || before_all == 0 || after_all == 0 {
        return Err(CannotRun("less than a quarter was served before the fault".into()));
    }
    Ok(after * 4 >= after_all)
}
