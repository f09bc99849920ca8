//! A whole session as a golden file: boot, edit, bad version, race, outage, recovery.

mod support;

use expect_test::expect_file;
use support::{Exchange, PLACES, set_pool, set_route};

#[test]
fn whole_session() {
    let mut exchange = Exchange::new(&PLACES, 2026);
    exchange.start_all();
    exchange.run(8_000);
    exchange.publish(0, "tables", vec![set_pool("p", "s", 0), set_route("r", "p", 0)], false);
    exchange.run(2_000);
    exchange.write_raw("a bad hand");
    exchange.run(2_000);
    exchange.publish(1, "one", vec![set_pool("p", "t", 1)], false);
    exchange.publish(6, "two", vec![set_pool("p", "u", 1)], false);
    exchange.run(3_000);
    exchange.store_trouble.outage_until_ms = exchange.now_ms + 20_000;
    exchange.kill(0);
    exchange.run(1_000);
    exchange.publish(4, "away", vec![set_pool("q", "s", 0)], false);
    exchange.run(4_000);
    exchange.start(0);
    exchange.run(16_000);
    exchange.publish(4, "back", vec![set_pool("q", "s", 0)], false);
    exchange.run(10_000);
    let mut session = exchange.story();
    for (edit_id, answer) in &exchange.answers {
        let line = format!("{edit_id}: {} {} {}\n", answer.number, answer.code, answer.reason);
        session.push_str(&line);
    }
    session.push_str(&exchange.picture());
    session.push('\n');
    expect_file!["golden/config_session.txt"].assert_eq(&session);
}
