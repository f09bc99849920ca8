//! After what time refused callers retry.

use pomeloreach_core::mesh::retry_after::{RefusedRequest, retry_after_ms};

fn refused(rank: u8, random: f64) -> RefusedRequest {
    RefusedRequest { wait_ms: 200, left_ms: 2_500, rank, random }
}

/// Callers that are refused together in a burst do not retry together.
#[test]
fn retries_are_spread() {
    let times: Vec<u64> =
        (0..=10).map(|step| retry_after_ms(refused(1, f64::from(step) / 10.0))).collect();
    assert!(times.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
    assert!(times[10] - times[0] >= 200, "not spread over the time of the wait: {times:?}");
}

#[test]
fn lower_rank_retries_first() {
    assert!(retry_after_ms(refused(0, 0.5)) < retry_after_ms(refused(1, 0.5)));
    assert!(retry_after_ms(refused(1, 0.5)) < retry_after_ms(refused(2, 0.5)));
}

/// A longer time would make the caller give up, or retry with too little time left.
#[yare::parameterized(
    long_wait = { 10_000, 900, 300 },
    short_wait = { 0, 2_500, 40 },
    nothing_left = { 500, 0, 0 },
)]
fn retry_after_bounds(wait_ms: u64, left_ms: u64, expected_ms: u64) {
    let time_ms = retry_after_ms(RefusedRequest { wait_ms, left_ms, rank: 0, random: 0.0 });
    assert_eq!(time_ms, expected_ms);
}
