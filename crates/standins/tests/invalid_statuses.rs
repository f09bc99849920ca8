//! Responses of targets whose status HTTP does not have, at daemons without the section `mesh`.

use http_types::Method;
use pomeloreach_standins::fleet::Fleet;
use pomeloreach_standins::target::Behaviour;

const SIGNATURE: &str = "pomeloreach-response-signature";

/// The response to a request at the target's daemon and at another one is 502, and says that the
/// request may have run.
#[yare::parameterized(
    zero = { "000 None", true },
    zero_unsigned = { "000 None", false },
    below_informational = { "099 None", true },
    informational = { "102 Processing", true },
    switching_protocols = { "101 Switching Protocols", true },
    above_server_errors = { "600 None", true },
    largest = { "999 None", false },
    four_digits = { "2000 OK", true },
)]
fn invalid_status_reaches_no_caller(status: &str, is_signed: bool) {
    let fleet = Fleet::start_with_yard(4);
    let signature = if is_signed { "pomeloreach-response-signature: s\r\n" } else { "" };
    let raw_answer = format!("HTTP/1.1 {status}\r\n{signature}content-length: 2\r\n\r\nno");
    fleet.set_behaviour(0, &Behaviour { raw_answer: Some(raw_answer), ..Behaviour::default() });
    for daemon in 0..2 {
        let id = format!("order-{daemon}");
        let response = fleet.request(daemon, Method::Post, "yard", "/saw", &id, "brass").unwrap();
        assert_eq!(response.status, 502, "{response:?}");
        assert_eq!(response.header("x-pomeloreach-outcome"), Some("unknown"), "{response:?}");
        assert_eq!(response.header(SIGNATURE), None, "{response:?}");
        assert_eq!(fleet.run_count(&id), 1, "the order was repeated");
    }
}
