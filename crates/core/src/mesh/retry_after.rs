//! Computes after what time a refused caller should retry.
//!
//! After a burst, callers that were refused together retry spread over the time in which the
//! backlog drains. Requests of a lower rank retry earlier, and no caller is asked to wait so long
//! that too little of its remaining time is left for the retry.

/// The shortest time unless [`RETRY_AFTER_SHARE_MAX`] limits it further, in milliseconds. A short
/// request, such as a lookup, takes about as long, so a slot is likely to be free then.
const RETRY_AFTER_MS_MIN: u64 = 40;
/// The longest time as a share of the caller's remaining time, so that enough time is left to serve
/// the retry.
const RETRY_AFTER_SHARE_MAX: f64 = 1.0 / 3.0;
/// The additional delay per rank after rank 0, as a share of the wait.
const RANK_DELAY_SHARE: f64 = 0.25;
/// The rank with the longest delay; higher ranks have the same.
const RANK_MAX: u8 = 3;

/// A refused request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RefusedRequest {
    /// The expected time until a slot is free, in milliseconds.
    pub wait_ms: u64,
    /// The caller's remaining time, in milliseconds.
    pub left_ms: u64,
    /// The priority rank of the request; a lower one goes first.
    pub rank: u8,
    /// A random number from 0 to 1 that spreads the retries.
    pub random: f64,
}

/// The time after which the caller should retry, in milliseconds.
pub fn retry_after_ms(refused: RefusedRequest) -> u64 {
    let wait_ms = refused.wait_ms.max(RETRY_AFTER_MS_MIN) as f64;
    let rank_delay = f64::from(refused.rank.min(RANK_MAX)) * RANK_DELAY_SHARE;
    let spread_ms = wait_ms * (1.0 + rank_delay + refused.random);
    spread_ms.min(refused.left_ms as f64 * RETRY_AFTER_SHARE_MAX) as u64
}
