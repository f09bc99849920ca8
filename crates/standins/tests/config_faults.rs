//! One fault at a time against configuration, with the bound that users were promised.

mod support;

use pomeloreach_core::code::ResultCode;
use pomeloreach_core::config::Config;
use pomeloreach_core::edit::{Change, EditRequest};
use pomeloreach_core::publisher::{PublishCall, Publisher};
use pomeloreach_core::store::{COMPACTED_KEY, StoreOp, StoreReply, StoredObject};
use support::{Exchange, PLACES, set_pool, set_route};
use yare::parameterized;

/// An accepted edit is in force everywhere within this time, in milliseconds.
const IN_FORCE_MS: u64 = 5_000;

fn settled(seed: u64) -> Exchange {
    let mut exchange = Exchange::new(&PLACES, seed);
    exchange.start_all();
    exchange.run(10_000);
    exchange.publish(0, "first", vec![set_pool("p", "s", 0), set_route("r", "p", 0)], false);
    assert!(exchange.run_until(IN_FORCE_MS, |e| e.all_hold(1)), "{}", exchange.picture());
    exchange.run(2_000);
    exchange
}

fn seat_of(exchange: &Exchange, role: &str) -> usize {
    let found = exchange.nodes().find(|(_, node)| match role {
        "lead" => node.acts_as_leader() && node.local().region.as_ref() == "kigali",
        "relay" => node.is_relay() && !node.acts_as_leader(),
        _ => !node.is_relay(),
    });
    found.map(|(seat, _)| seat).unwrap_or_else(|| panic!("no {role}: {}", exchange.story()))
}

fn others_hold(exchange: &Exchange, out: usize, version: u64) -> bool {
    exchange
        .nodes()
        .filter(|(seat, _)| *seat != out)
        .all(|(_, node)| node.is_ready() && node.config().version == version)
}

#[parameterized(
    relay_killed = { "relay", false },
    relay_frozen = { "relay", true },
    lead_killed = { "lead", false },
    lead_frozen = { "lead", true },
    leaf_killed = { "leaf", false },
    leaf_frozen = { "leaf", true },
)]
fn edit_during_loss(role: &str, freezes: bool) {
    for seed in 0..20 {
        let mut exchange = settled(seed);
        let lost = seat_of(&exchange, role);
        if freezes {
            exchange.freeze(lost, 12_000);
        } else {
            exchange.kill(lost);
        }
        let publisher = (lost + 1) % PLACES.len();
        exchange.publish(publisher, "second", vec![set_pool("q", "s", 0)], false);
        exchange.run_until(IN_FORCE_MS, |e| e.answers.contains_key("second"));
        assert_eq!(exchange.answers["second"].code, ResultCode::EditAccepted);
        let since_ms = exchange.now_ms - exchange.accepted_ms[&2];
        let left_ms = IN_FORCE_MS - since_ms;
        let in_force = exchange.run_until(left_ms, |e| others_hold(e, lost, 2));
        assert!(in_force, "seed {seed}, {role} {lost} lost: {}", exchange.picture());
        exchange.heal();
        exchange.check_log();
    }
}

#[parameterized(
    undecodable = { "not an edit", ResultCode::VersionUndecodable },
    wrong_digest = { r#"{"version":2,"edit_id":"x","author":"x","digest":"0","changes":[]}"#,
        ResultCode::VersionDigestMismatch },
    wrong_number = { r#"{"version":9,"edit_id":"x","author":"x","digest":"0","changes":[]}"#,
        ResultCode::VersionUndecodable },
    dangling_route = { r#"{"version":2,"edit_id":"x","author":"x","digest":"0","changes":[
        {"action":"set-route","name":"z","expected_in":0,"route":{"host":"z","pool":"none"}}]}"#,
        ResultCode::VersionPoolMissing },
    dangling_delete = { r#"{"version":2,"edit_id":"x","author":"x","digest":"0","changes":[
        {"action":"delete-pool","name":"p","expected_in":1}]}"#, ResultCode::VersionPoolMissing },
    repeated_row = { r#"{"version":2,"edit_id":"x","author":"x","digest":"0","changes":[
        {"action":"set-pool","name":"z","expected_in":0,"pool":{"service":"s"}},
        {"action":"set-pool","name":"z","expected_in":0,"pool":{"service":"t"}}]}"#,
        ResultCode::VersionRowRepeated },
    out_of_bounds = { r#"{"version":2,"edit_id":"x","author":"x","digest":"0","changes":[
        {"action":"set-pool","name":"z","expected_in":0,"pool":{"service":"s","attempts_max":0}}]}"#,
        ResultCode::VersionRowOutOfBounds },
    unknown_field = { r#"{"version":2,"edit_id":"x","author":"x","digest":"0","changes":[
        {"action":"set-pool","name":"z","expected_in":0,"pool":{"service":"s","weight":1}}]}"#,
        ResultCode::VersionUndecodable },
    stale_row = { r#"{"version":2,"edit_id":"x","author":"x","digest":"0","changes":[
        {"action":"set-pool","name":"p","expected_in":0,"pool":{"service":"t"}}]}"#,
        ResultCode::VersionRowChanged },
    repeated_edit = { r#"{"version":2,"edit_id":"first","author":"x","digest":"0","changes":[]}"#,
        ResultCode::VersionEditRepeated },
)]
fn bad_version(raw: &str, code: ResultCode) {
    let mut exchange = settled(1);
    let before = exchange.seats[0].node.as_ref().unwrap().config().tables.clone();
    exchange.write_raw(raw);
    assert!(exchange.run_until(IN_FORCE_MS, |e| e.all_hold(2)), "{}", exchange.picture());
    for (_, node) in exchange.nodes() {
        assert_eq!(node.config().tables, before, "the tables stay as they were");
        assert_eq!(node.config().refusals[&2].code, code);
    }
    exchange.publish(3, "good", vec![set_pool("q", "s", 0)], false);
    assert!(exchange.run_until(IN_FORCE_MS, |e| e.all_hold(3)), "{}", exchange.picture());
    exchange.check_log();
}

#[test]
fn too_large_version() {
    let mut exchange = settled(1);
    exchange.write_raw(&"x".repeat(1_000_000));
    assert!(exchange.run_until(IN_FORCE_MS, |e| e.all_hold(2)));
    for (_, node) in exchange.nodes() {
        assert_eq!(node.config().refusals[&2].code, ResultCode::VersionTooLarge);
    }
}

#[test]
fn too_large_tables() {
    let mut exchange = settled(1);
    for part in 0..5 {
        let rows = (0..700).flat_map(|row| {
            let name = format!("service-{part}-{row}");
            [set_pool(&name, &name, 0), set_route(&name, &name, 0)]
        });
        exchange.publish(1, &format!("part-{part}"), rows.collect(), false);
        exchange.run(3_000);
    }
    let codes: Vec<ResultCode> =
        (0..5).map(|part| exchange.answers[&*format!("part-{part}")].code).collect();
    assert_eq!(codes[0], ResultCode::EditAccepted);
    assert_eq!(codes[4], ResultCode::VersionTooLarge, "{codes:?}");
    let snapshot = exchange.seats[0].node.as_ref().unwrap().snapshot_bytes();
    assert!(snapshot < 1_000_000, "a snapshot of {snapshot} bytes fits a value of the store");
    exchange.check_log();
}

#[test]
fn races_same_row() {
    let mut exchange = settled(2);
    exchange.publish(1, "one", vec![set_pool("p", "t", 1)], false);
    exchange.publish(5, "two", vec![set_pool("p", "u", 1)], false);
    exchange.run(3_000);
    let codes = ["one", "two"].map(|id| exchange.answers[id].code);
    assert!(codes.contains(&ResultCode::EditAccepted), "{codes:?}");
    assert!(codes.contains(&ResultCode::EditConflict), "{codes:?}");
    let (winner, loser) =
        if codes[0] == ResultCode::EditAccepted { ("one", "two") } else { ("two", "one") };
    let reason = &exchange.answers[loser].reason;
    assert!(reason.contains(&format!("edit '{winner}' of tester")), "{reason}");
    exchange.check_log();
}

#[test]
fn races_other_rows() {
    let mut exchange = settled(3);
    for seat in 0..PLACES.len() {
        let pool = format!("pool-{seat}");
        exchange.publish(seat, &format!("edit-{seat}"), vec![set_pool(&pool, "s", 0)], false);
    }
    let end = 1 + PLACES.len() as u64;
    assert!(exchange.run_until(IN_FORCE_MS, |e| e.all_hold(end)), "{}", exchange.picture());
    let accepted = exchange.answers.values().all(|a| a.code == ResultCode::EditAccepted);
    assert!(accepted, "{:?}", exchange.answers);
}

#[test]
fn races_broken_join() {
    let mut exchange = settled(4);
    exchange.publish(1, "uses", vec![set_pool("q", "s", 0)], false);
    exchange.run(1_000);
    exchange.publish(1, "route", vec![set_route("z", "q", 0)], false);
    let delete = Change::DeletePool { name: "q".into(), expected_in: 2 };
    exchange.publish(5, "delete", vec![delete], false);
    exchange.run(3_000);
    let accepted = ["route", "delete"]
        .iter()
        .filter(|id| exchange.answers[**id].code == ResultCode::EditAccepted)
        .count();
    assert_eq!(accepted, 1, "{:?}", exchange.answers);
    exchange.check_log();
}

#[test]
fn answer_lost() {
    let mut exchange = settled(5);
    exchange.store_trouble.lose_answers = 2;
    exchange.publish(1, "second", vec![set_pool("q", "s", 0)], false);
    exchange.run(5_000);
    assert_eq!(exchange.answers["second"].code, ResultCode::EditAccepted);
    assert_eq!(exchange.log_end(), 2, "the edit was made once");
    exchange.check_log();
}

#[test]
fn outage_refuses_truly() {
    let mut exchange = settled(6);
    exchange.store_trouble.outage_until_ms = exchange.now_ms + 60_000;
    exchange.run(1_000);
    exchange.publish(1, "second", vec![set_pool("q", "s", 0)], false);
    exchange.run(12_000);
    assert_eq!(exchange.answers["second"].code, ResultCode::StoreAway);
    exchange.publish(1, "first", vec![set_pool("p", "s", 0)], true);
    assert_eq!(exchange.answers["first"].code, ResultCode::EditAccepted, "the log answers");
    exchange.publish(1, "third", vec![set_pool("q", "s", 0)], true);
    exchange.run(12_000);
    assert_eq!(exchange.answers["third"].code, ResultCode::EditUnknown);
    exchange.kill(3);
    exchange.start(3);
    assert!(exchange.run_until(8_000, |e| e.all_hold(1)), "boots: {}", exchange.picture());
    exchange.heal();
    exchange.check_log();
}

#[test]
fn cut_during_outage() {
    for seed in 0..20 {
        let mut exchange = settled(seed);
        let relay = seat_of(&exchange, "relay");
        exchange.cut(relay, 4_000);
        exchange.publish((relay + 1) % 7, "second", vec![set_pool("q", "s", 0)], false);
        exchange.run(1_000);
        exchange.store_trouble.outage_until_ms = exchange.now_ms + 60_000;
        exchange.run(3_000);
        let caught_up = exchange.run_until(10_000, |e| e.all_hold(e.log_end()));
        assert!(caught_up, "seed {seed}: {}", exchange.picture());
    }
}

/// The leaves of a lost relay find another zone's, so that none of them is an orphan.
#[test]
fn zone_regains_relay() {
    for seed in 0..20 {
        let mut exchange = settled(seed);
        let lost = seat_of(&exchange, "relay");
        let zone = exchange.seats[lost].info.zone.clone();
        exchange.kill(lost);
        let regained = exchange.run_until(30_000, |e| {
            e.nodes().any(|(_, node)| node.is_relay() && node.local().zone == zone)
        });
        assert!(regained, "seed {seed}: {}", exchange.story());
    }
}

#[test]
fn herd_returns() {
    let mut exchange = settled(7);
    for seat in 0..PLACES.len() {
        exchange.kill(seat);
    }
    exchange.run(1_000);
    let calls_before = exchange.store.calls();
    exchange.start_all();
    assert!(exchange.run_until(30_000, |e| e.all_hold(1)), "{}", exchange.picture());
    let calls = exchange.store.calls() - calls_before;
    assert!(calls < 40 * PLACES.len() as u64, "{calls} calls to the store");
    exchange.check_log();
}

/// A publisher that was paused between its look and its write, until its position was collected.
#[test]
fn collected_position() {
    let held = Config { version: 5, ..Config::default() };
    let request = EditRequest {
        edit_id: "late".into(),
        author: "tester".into(),
        changes: vec![set_pool("p", "s", 0)],
        asked_before: false,
    };
    let mut publisher = Publisher::default();
    assert!(publisher.submit(1, request, &held, 0).is_none());
    let empty = || Ok(StoreReply::Listed { objects: Vec::new(), revision: 1 });
    assert_eq!(publisher.tick(0, &held).0[0].0, PublishCall::ReadLog);
    publisher.handle_reply(1, PublishCall::ReadLog, empty(), &held, 0);
    assert_eq!(publisher.tick(0, &held).0[0].0, PublishCall::Create);
    let newer = Config { version: 300, ..Config::default() };
    let written = Ok(StoreReply::Written { object_version: 9 });
    publisher.handle_reply(1, PublishCall::Create, written, &newer, 9_000);
    let (calls, _) = publisher.tick(9_000, &newer);
    assert_eq!(calls[0].1, StoreOp::Get { key: COMPACTED_KEY.into() });
    let collected =
        StoredObject { key: COMPACTED_KEY.into(), object_version: 1, value: "256".into() };
    let collected = Ok(StoreReply::Object(collected));
    publisher.handle_reply(1, PublishCall::CheckCompacted, collected, &newer, 9_000);
    let (calls, finished) = publisher.tick(9_000, &newer);
    assert!(finished.is_empty(), "nobody reads the position, so the edit is not accepted");
    assert_eq!(calls[0].0, PublishCall::ReadLog, "the edit is written again");
}
