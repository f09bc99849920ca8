//! A configuration brings the first tenant while one machine is cut off. Its clients send their key.

use crate::platform::{
    Arrival, CannotRun, Instance, InstanceServer, Machine, Outcome, Platform, Record, beat_until,
    client, client_with_key, config, config_with_tenant, free_addr, sleep_ms, sleep_until,
};
use crate::proxy::Proxy;
use std::sync::{Arc, Mutex};

const WORK_MS: u64 = 50;
const KEY: &str = "k-5f0c81d2a7";
/// `config_apply_s`.
const APPLY_MS: u64 = 2_500;
/// How long the machine is cut off.
const CUT_MS: u64 = 5_500;

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let mut platform = Platform::start(record)?;
    let mut machines = [Machine::new("wal-a", 1, "booking"), Machine::new("vla-a", 1, "booking")];
    // All that passes between the second machine and the store or the first machine.
    let mut proxies = Vec::new();
    for machine in &mut machines {
        let proxy = Proxy::start(free_addr(), machine.inner);
        machine.inner_seen = Some(proxy.addr);
        proxies.push(proxy);
    }
    let store_proxy = Proxy::start(free_addr(), platform.store.addr);
    machines[1].store_seen = Some(store_proxy.addr);
    proxies.push(store_proxy);
    platform.store.put("config", "main", config(7, "booking"));
    for machine in &machines {
        platform.start_daemon(machine, true)?;
    }
    let stop_all = Arc::new(Mutex::new(false));
    let (mut beats, mut servers) = (Vec::new(), Vec::new());
    for (machine, id) in machines.iter().zip(["i-7f3a91c2", "i-50c2d1aa"]) {
        let server = InstanceServer::start(machine, record, WORK_MS);
        beats.push(beat_until(Instance::start(id, machine, &server, record), stop_all.clone()));
        servers.push(server);
    }
    for machine in &machines {
        platform.wait_ready(machine, 8_000)?;
    }
    sleep_ms(3_000);
    let kinds: &[(&str, &str)] = &[("GET", "/read/1"), ("POST", "/order/1")];
    let stop_early = Arc::new(Mutex::new(false));
    let early = client("early", &machines[1], record, stop_early.clone(), 50, kinds);
    sleep_ms(1_000);
    *stop_early.lock().unwrap() = true;
    let early = early.join().unwrap();
    if early.iter().any(|answer| answer.status != 200) {
        return Err(CannotRun("not all was served before".into()));
    }

    let cut_ms = record.at_ms();
    if has_trouble {
        record.say(&format!("the second machine is cut off at {cut_ms} ms"));
        proxies.iter().for_each(|proxy| proxy.cut(true));
    }
    sleep_ms(300);
    platform.store.put("config", "main", config_with_tenant(12, "booking", "tenant-9", KEY));
    let acked_ms = record.at_ms();
    record.say(&format!(
        "version 12, which brings the first tenant, is acknowledged at {acked_ms} ms"
    ));
    sleep_until(record, acked_ms + APPLY_MS);
    let stop_clients = Arc::new(Mutex::new(false));
    let clients: Vec<_> = machines
        .iter()
        .enumerate()
        .map(|(index, machine)| {
            let name = format!("c{index}");
            client_with_key(&name, machine, record, stop_clients.clone(), 50, kinds, Some(KEY))
        })
        .collect();
    sleep_until(record, cut_ms + CUT_MS);
    proxies.iter().for_each(|proxy| proxy.cut(false));
    sleep_ms(2_000);
    *stop_clients.lock().unwrap() = true;
    let answers: Vec<_> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    *stop_all.lock().unwrap() = true;
    beats.into_iter().for_each(|beats| drop(beats.join()));

    let arrivals: Vec<Arrival> = servers.iter().flat_map(InstanceServer::arrivals).collect();
    let keyed =
        arrivals.iter().filter(|arrival| arrival.id.starts_with('c') && !arrival.is_rejected);
    let wrong: Vec<_> = keyed
        .filter(|arrival| !arrival.authorization.is_empty() || arrival.tenant != "tenant-9")
        .collect();
    for arrival in wrong.iter().take(3) {
        record.say(&format!(
            "{} {} id={} ran with authorization {:?} and tenant {:?}, {} ms after the acknowledgement",
            arrival.method, arrival.path, arrival.id, arrival.authorization, arrival.tenant,
            arrival.at_ms - acked_ms
        ));
    }
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    record.say(&format!(
        "{} requests with the key, {served} served; {} ran with the key passed on or without the tenant",
        answers.len(),
        wrong.len()
    ));
    Ok(wrong.is_empty())
}
