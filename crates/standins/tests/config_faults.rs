//! Configuration under one fault at a time in the simulated fleet. An accepted edit must be in
//! force within the time promised to users.

mod support;

use pomeloreach_core::code::ResultCode;
use pomeloreach_core::config::Config;
use pomeloreach_core::edit::{Change, EditRequest};
use pomeloreach_core::publisher::{PublishCall, Publisher};
use pomeloreach_core::store::{COMPACTED_KEY, StoreOp, StoreReply, StoredObject};
use support::{LOCATIONS, SimulatedFleet, set_pool, set_route};
use yare::parameterized;

/// The time within which an accepted edit is in force on all daemons, in milliseconds.
const IN_FORCE_MS: u64 = 5_000;

/// Starts a fleet in which version 1 is in force on all daemons.
fn start_fleet(seed: u64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(&LOCATIONS, seed);
    fleet.start_all();
    fleet.run(10_000);
    fleet.publish(0, "first", vec![set_pool("p", "s", 0), set_route("r", "p", 0)], false);
    assert!(fleet.run_until(IN_FORCE_MS, |f| f.all_hold(1)), "{}", fleet.summary());
    fleet.run(2_000);
    fleet
}

/// The first VM whose daemon is the leader of the region kigali, a relay that is no leader, or a
/// leaf.
fn vm_with_role(fleet: &SimulatedFleet, role: &str) -> usize {
    let found = fleet.nodes().find(|(_, node)| match role {
        "leader" => node.acts_as_leader() && node.local().region.as_ref() == "kigali",
        "relay" => node.is_relay() && !node.acts_as_leader(),
        _ => !node.is_relay(),
    });
    found.map(|(vm, _)| vm).unwrap_or_else(|| panic!("no {role}: {}", fleet.event_log()))
}

/// Whether all running daemons but the one on the VM `excluded` are ready and hold a version.
fn others_hold(fleet: &SimulatedFleet, excluded: usize, version: u64) -> bool {
    fleet
        .nodes()
        .filter(|(vm, _)| *vm != excluded)
        .all(|(_, node)| node.is_ready() && node.config().version == version)
}

/// A daemon is killed or frozen, and an edit published at once at another daemon must be in force
/// on all others in time.
#[parameterized(
    relay_killed = { "relay", false },
    relay_frozen = { "relay", true },
    leader_killed = { "leader", false },
    leader_frozen = { "leader", true },
    leaf_killed = { "leaf", false },
    leaf_frozen = { "leaf", true },
)]
fn edit_while_daemon_lost(role: &str, is_frozen: bool) {
    for seed in 0..20 {
        let mut fleet = start_fleet(seed);
        let lost = vm_with_role(&fleet, role);
        if is_frozen {
            fleet.freeze(lost, 12_000);
        } else {
            fleet.kill(lost);
        }
        let publisher = (lost + 1) % LOCATIONS.len();
        fleet.publish(publisher, "second", vec![set_pool("q", "s", 0)], false);
        fleet.run_until(IN_FORCE_MS, |f| f.answers.contains_key("second"));
        assert_eq!(fleet.answers["second"].code, ResultCode::EditAccepted);
        let since_ms = fleet.now_ms - fleet.accepted_ms[&2];
        let left_ms = IN_FORCE_MS - since_ms;
        let in_force = fleet.run_until(left_ms, |f| others_hold(f, lost, 2));
        assert!(in_force, "seed {seed}, no {role} on VM {lost}: {}", fleet.summary());
        fleet.recover();
        fleet.check_edits();
    }
}

/// A version written by a script is refused by every daemon with the same code, changes no table
/// and does not block later edits.
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
fn invalid_version(raw: &str, code: ResultCode) {
    let mut fleet = start_fleet(1);
    let before = fleet.vms[0].node.as_ref().unwrap().config().tables.clone();
    fleet.write_raw(raw);
    assert!(fleet.run_until(IN_FORCE_MS, |f| f.all_hold(2)), "{}", fleet.summary());
    for (_, node) in fleet.nodes() {
        assert_eq!(node.config().tables, before, "an invalid version changed the tables");
        assert_eq!(node.config().refusals[&2].code, code);
    }
    fleet.publish(3, "good", vec![set_pool("q", "s", 0)], false);
    assert!(fleet.run_until(IN_FORCE_MS, |f| f.all_hold(3)), "{}", fleet.summary());
    fleet.check_edits();
}

#[test]
fn too_large_version() {
    let mut fleet = start_fleet(1);
    fleet.write_raw(&"x".repeat(1_000_000));
    assert!(fleet.run_until(IN_FORCE_MS, |f| f.all_hold(2)));
    for (_, node) in fleet.nodes() {
        assert_eq!(node.config().refusals[&2].code, ResultCode::VersionTooLarge);
    }
}

/// An edit is refused if a snapshot of its tables might not fit into one value of the store.
#[test]
fn too_large_tables() {
    let mut fleet = start_fleet(1);
    for part in 0..5 {
        let rows = (0..700).flat_map(|row| {
            let name = format!("service-{part}-{row}");
            [set_pool(&name, &name, 0), set_route(&name, &name, 0)]
        });
        fleet.publish(1, &format!("part-{part}"), rows.collect(), false);
        fleet.run(3_000);
    }
    let codes: Vec<ResultCode> =
        (0..5).map(|part| fleet.answers[&*format!("part-{part}")].code).collect();
    assert_eq!(codes[0], ResultCode::EditAccepted);
    assert_eq!(codes[4], ResultCode::VersionTooLarge, "{codes:?}");
    let snapshot_bytes = fleet.vms[0].node.as_ref().unwrap().snapshot_bytes();
    assert!(snapshot_bytes < 1_000_000, "{snapshot_bytes} bytes do not fit a store value");
    fleet.check_edits();
}

#[test]
fn concurrent_edits_same_row() {
    let mut fleet = start_fleet(2);
    fleet.publish(1, "one", vec![set_pool("p", "t", 1)], false);
    fleet.publish(5, "two", vec![set_pool("p", "u", 1)], false);
    fleet.run(3_000);
    let codes = ["one", "two"].map(|id| fleet.answers[id].code);
    assert!(codes.contains(&ResultCode::EditAccepted), "{codes:?}");
    assert!(codes.contains(&ResultCode::EditConflict), "{codes:?}");
    let (winner, loser) =
        if codes[0] == ResultCode::EditAccepted { ("one", "two") } else { ("two", "one") };
    let reason = &fleet.answers[loser].reason;
    assert!(reason.contains(&format!("edit '{winner}' of tester")), "{reason}");
    fleet.check_edits();
}

#[test]
fn concurrent_edits_different_rows() {
    let mut fleet = start_fleet(3);
    for vm in 0..LOCATIONS.len() {
        let pool = format!("pool-{vm}");
        fleet.publish(vm, &format!("edit-{vm}"), vec![set_pool(&pool, "s", 0)], false);
    }
    let end = 1 + LOCATIONS.len() as u64;
    assert!(fleet.run_until(IN_FORCE_MS, |f| f.all_hold(end)), "{}", fleet.summary());
    let accepted = fleet.answers.values().all(|a| a.code == ResultCode::EditAccepted);
    assert!(accepted, "{:?}", fleet.answers);
}

/// A route to a pool and the deletion of this pool are published at once; only one may be accepted.
#[test]
fn route_set_while_pool_deleted() {
    let mut fleet = start_fleet(4);
    fleet.publish(1, "uses", vec![set_pool("q", "s", 0)], false);
    fleet.run(1_000);
    fleet.publish(1, "route", vec![set_route("z", "q", 0)], false);
    let delete = Change::DeletePool { name: "q".into(), expected_in: 2 };
    fleet.publish(5, "delete", vec![delete], false);
    fleet.run(3_000);
    let accepted = ["route", "delete"]
        .iter()
        .filter(|id| fleet.answers[**id].code == ResultCode::EditAccepted)
        .count();
    assert_eq!(accepted, 1, "{:?}", fleet.answers);
    fleet.check_edits();
}

/// The store accepts an edit, but its replies are lost. The publisher must find the edit in the log
/// and not write it again.
#[test]
fn store_reply_lost() {
    let mut fleet = start_fleet(5);
    fleet.store_faults.lose_replies = 2;
    fleet.publish(1, "second", vec![set_pool("q", "s", 0)], false);
    fleet.run(5_000);
    assert_eq!(fleet.answers["second"].code, ResultCode::EditAccepted);
    assert_eq!(fleet.log_end(), 2, "the edit was written more than once");
    fleet.check_edits();
}

/// Without the store a new edit is refused, one that is in force is answered as accepted, and one
/// that may have been written earlier as unknown. A daemon can start from the others.
#[test]
fn edits_during_outage() {
    let mut fleet = start_fleet(6);
    fleet.store_faults.outage_until_ms = fleet.now_ms + 60_000;
    fleet.run(1_000);
    fleet.publish(1, "second", vec![set_pool("q", "s", 0)], false);
    fleet.run(12_000);
    assert_eq!(fleet.answers["second"].code, ResultCode::StoreAway);
    fleet.publish(1, "first", vec![set_pool("p", "s", 0)], true);
    assert_eq!(
        fleet.answers["first"].code,
        ResultCode::EditAccepted,
        "an edit in the log was not accepted"
    );
    fleet.publish(1, "third", vec![set_pool("q", "s", 0)], true);
    fleet.run(12_000);
    assert_eq!(fleet.answers["third"].code, ResultCode::EditUnknown);
    fleet.kill(3);
    fleet.start(3);
    assert!(fleet.run_until(8_000, |f| f.all_hold(1)), "not restarted: {}", fleet.summary());
    fleet.recover();
    fleet.check_edits();
}

/// A relay is isolated while an edit is published, and the store becomes unavailable before it is
/// connected again. It must obtain the edit from other daemons.
#[test]
fn isolation_before_outage() {
    for seed in 0..20 {
        let mut fleet = start_fleet(seed);
        let relay = vm_with_role(&fleet, "relay");
        fleet.isolate(relay, 4_000);
        fleet.publish((relay + 1) % 7, "second", vec![set_pool("q", "s", 0)], false);
        fleet.run(1_000);
        fleet.store_faults.outage_until_ms = fleet.now_ms + 60_000;
        fleet.run(3_000);
        let caught_up = fleet.run_until(10_000, |f| f.all_hold(f.log_end()));
        assert!(caught_up, "seed {seed}: {}", fleet.summary());
    }
}

/// When the only relay of a zone is killed, its leaves join a relay of another zone. One of them must
/// become the relay of the zone, although none of them lacks a parent.
#[test]
fn zone_regains_relay() {
    for seed in 0..20 {
        let mut fleet = start_fleet(seed);
        let lost = vm_with_role(&fleet, "relay");
        let zone = fleet.vms[lost].info.zone.clone();
        fleet.kill(lost);
        let relay_found = fleet.run_until(30_000, |f| {
            f.nodes().any(|(_, node)| node.is_relay() && node.local().zone == zone)
        });
        assert!(relay_found, "seed {seed}: {}", fleet.event_log());
    }
}

/// Daemons that all start at once must not overload the store.
#[test]
fn store_calls_during_restart() {
    let mut fleet = start_fleet(7);
    for vm in 0..LOCATIONS.len() {
        fleet.kill(vm);
    }
    fleet.run(1_000);
    let calls_before = fleet.store.calls();
    fleet.start_all();
    assert!(fleet.run_until(30_000, |f| f.all_hold(1)), "{}", fleet.summary());
    let calls = fleet.store.calls() - calls_before;
    assert!(calls < 40 * LOCATIONS.len() as u64, "{calls} calls to the store");
    fleet.check_edits();
}

/// A publisher is paused between reading the log and writing until its version is compacted. The
/// write succeeds because the key is absent again, but no daemon reads that version. The publisher must
/// notice this, and start over from the log instead of answering that the edit is accepted.
#[test]
fn write_at_compacted_version() {
    let held = Config { version: 5, ..Config::default() };
    let request = EditRequest {
        edit_id: "late".into(),
        author: "tester".into(),
        changes: vec![set_pool("p", "s", 0)],
        asked_before: false,
    };
    let mut publisher = Publisher::default();
    assert!(publisher.submit(1, request, &held, 0).is_none());
    let empty_list = || Ok(StoreReply::Listed { objects: Vec::new(), revision: 1 });
    assert_eq!(publisher.tick(0, &held).0[0].0, PublishCall::ReadLog);
    publisher.handle_reply(1, PublishCall::ReadLog, empty_list(), &held, 0);
    assert_eq!(publisher.tick(0, &held).0[0].0, PublishCall::Create);
    let newer = Config { version: 300, ..Config::default() };
    let written = Ok(StoreReply::Written { object_version: 9 });
    publisher.handle_reply(1, PublishCall::Create, written, &newer, 9_000);
    let (calls, _) = publisher.tick(9_000, &newer);
    assert_eq!(calls[0].1, StoreOp::Get { key: COMPACTED_KEY.into() });
    let compacted =
        StoredObject { key: COMPACTED_KEY.into(), object_version: 1, value: "256".into() };
    let compacted = Ok(StoreReply::Object(compacted));
    publisher.handle_reply(1, PublishCall::CheckCompacted, compacted, &newer, 9_000);
    let (calls, finished) = publisher.tick(9_000, &newer);
    assert!(finished.is_empty(), "the edit was answered although no daemon reads its version");
    assert_eq!(calls[0].0, PublishCall::ReadLog, "the publisher did not start over from the log");
}
