//! Compares the log of one session with a golden file: start, edit, invalid version, concurrent
//! edits, store outage, recovery.

mod support;

use expect_test::expect_file;
use support::{LOCATIONS, SimulatedFleet, set_pool, set_route};

#[test]
fn session_with_outage() {
    let mut fleet = SimulatedFleet::new(&LOCATIONS, 2026);
    fleet.start_all();
    fleet.run(8_000);
    fleet.publish(0, "tables", vec![set_pool("p", "s", 0), set_route("r", "p", 0)], false);
    fleet.run(2_000);
    fleet.write_raw("invalid edit");
    fleet.run(2_000);
    fleet.publish(1, "one", vec![set_pool("p", "t", 1)], false);
    fleet.publish(6, "two", vec![set_pool("p", "u", 1)], false);
    fleet.run(3_000);
    fleet.store_faults.outage_until_ms = fleet.now_ms + 20_000;
    fleet.kill(0);
    fleet.run(1_000);
    fleet.publish(4, "in-outage", vec![set_pool("q", "s", 0)], false);
    fleet.run(4_000);
    fleet.start(0);
    fleet.run(16_000);
    fleet.publish(4, "in-recovery", vec![set_pool("q", "s", 0)], false);
    fleet.run(10_000);
    let mut session = fleet.event_log();
    for (edit_id, answer) in &fleet.answers {
        let line = format!("{edit_id}: {} {} {}\n", answer.number, answer.code, answer.reason);
        session.push_str(&line);
    }
    session.push_str(&fleet.summary());
    session.push('\n');
    expect_file!["golden/config_session.txt"].assert_eq(&session);
}
