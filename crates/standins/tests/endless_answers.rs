//! Targets that send bytes without an end, which are no answer, at daemons without the section `mesh`.

use http_types::Method;
use pomeloreach_standins::fleet::Fleet;
use pomeloreach_standins::target::Behaviour;

/// How much a daemon's memory may grow, in kilobytes: the largest response is 4 MiB.
const GROWTH_KB_MAX: u64 = 64 * 1024;
const HEAD: &str = "HTTP/1.1 200 OK\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// A daemon kept all bytes of an endless answer in memory.
#[yare::parameterized(
    not_http = { "", "garbage" },
    status_line = { "HTTP/1.1 200 O", "K" },
    header_line = { "HTTP/1.1 200 OK\r\nx-padding: ", "0123456789abcdef" },
    headers = { HEAD, "x-padding: 0123456789abcdef\r\n" },
    body_without_length = { "HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef" },
    chunks = { CHUNKED, "10\r\n0123456789abcdef\r\n" },
    chunk_extension = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n10;", "0123456789abcdef" },
    trailers = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x-padding: 0123456789abcdef\r\n" },
)]
fn endless_bytes_end_at_daemon(start: &str, repeated: &str) {
    let mut fleet = Fleet::start_with_yard(4);
    let before_kb = fleet.daemons[1].process.memory_peak_kb();
    fleet.set_behaviour(
        0,
        &Behaviour {
            raw_answer: Some(start.to_string()),
            repeated_answer: Some(repeated.to_string()),
            ..Behaviour::default()
        },
    );
    for daemon in 0..2 {
        let id = format!("order-{daemon}");
        let response = fleet.request(daemon, Method::Post, "yard", "/saw", &id, "brass").unwrap();
        assert!(matches!(response.status, 502 | 504), "{response:?}");
        assert_eq!(response.header("x-pomeloreach-outcome"), Some("unknown"), "{response:?}");
    }
    assert!(fleet.daemons[1].process.is_running(), "the daemon has ended");
    let growth_kb = fleet.daemons[1].process.memory_peak_kb() - before_kb;
    assert!(growth_kb < GROWTH_KB_MAX, "{growth_kb} kB");
}
