//! Decides when a refused caller should come back.
//!
//! Answers the load patterns of a burst and of a herd of callers that were refused together: they
//! come back spread over the time in which the backlog drains, the urgent ones first, and none so
//! late that its time is nearly over.

/// The shortest time that a caller is asked to stay away, in milliseconds: a lookup takes about as
/// long, so that a slot is likely to have come free.
const HINT_MS_MIN: u64 = 40;
/// The largest share of its time left that a caller is asked to stay away: it must still have time
/// to be served.
const HINT_SHARE_MAX: f64 = 1.0 / 3.0;
/// How much later each rank comes back than the one before it, as a share of the wait.
const RANK_DELAY_SHARE: f64 = 0.25;
/// The ranks that are told apart.
const RANK_MAX: u8 = 3;

/// A request that is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RefusedRequest {
    /// When a slot is expected to be free, in milliseconds.
    pub wait_ms: u64,
    /// The time that the caller has left, in milliseconds.
    pub left_ms: u64,
    /// The rank of the request; a lower one goes first.
    pub rank: u8,
    /// A number from 0 to 1 that spreads callers.
    pub random: f64,
}

/// How long the caller should stay away, in milliseconds.
pub fn hint_ms(refused: RefusedRequest) -> u64 {
    let wait_ms = refused.wait_ms.max(HINT_MS_MIN) as f64;
    let rank_delay = f64::from(refused.rank.min(RANK_MAX)) * RANK_DELAY_SHARE;
    let spread_ms = wait_ms * (1.0 + rank_delay + refused.random);
    spread_ms.min(refused.left_ms as f64 * HINT_SHARE_MAX) as u64
}
