//! The load patterns: what callers send, and what goes wrong meanwhile.

use strum::Display;

/// Requests of one kind, such as lookups or orders.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    /// The share of all requests.
    pub share: f64,
    /// The mean service time at a target of speed 1.
    pub mean_work_ms: f64,
    /// The latency goal, counted like the deadline from when the caller first sends the request.
    pub goal_ms: u64,
    pub deadline_ms: u64,
    /// The priority; lower ranks run first.
    pub rank: u8,
    pub is_idempotent: bool,
}

/// How a part of a pattern differs from a steady load.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Disturbance {
    None,
    /// The request rate is multiplied by this factor.
    Burst(f64),
    /// This many times a zone's share of the requests goes to the first zone; the rest are spread over
    /// all zones, the first included.
    ZoneBurst(f64),
    /// The service time of every third target is multiplied by this factor. With three regions, these
    /// are the targets of the first region.
    Slow(f64),
    /// Every third target, as for `Slow`, fails this share of its requests, in a fifth of the service time.
    Failing(f64),
    /// This share of the targets has lapsed, and every daemon knows it at once.
    Lost(f64),
    /// Refused callers retry after 5 ms instead of the suggested pause, and those that come during the
    /// disturbance retry up to this many times.
    Impatient(u32),
    /// The request rate of the largest account is multiplied by this factor.
    AccountSurge(f64),
}

/// A load to replay, and the targets that serve it.
#[derive(Clone, Debug)]
pub struct Pattern {
    pub name: &'static str,
    pub regions: usize,
    /// The number of daemons, each with one target.
    pub targets: usize,
    pub slots: u16,
    /// The load as a share of the capacity of all targets.
    pub load: f64,
    pub kinds: Vec<RequestKind>,
    /// The number of client accounts; 0 if requests have no account. The rate of an account falls
    /// with its place by size to the power of [`ACCOUNT_SIZE_EXPONENT`].
    pub accounts: usize,
    pub disturbance: Disturbance,
    /// When the disturbance begins and ends, and when the last requests are sent, in milliseconds.
    pub disturbed_from_ms: u64,
    pub disturbed_until_ms: u64,
    pub end_ms: u64,
}

/// How fast the sizes of accounts fall; see `docs/design/accounts-and-limits.md`.
const ACCOUNT_SIZE_EXPONENT: f64 = 1.2;

impl Pattern {
    /// Returns the share of the requests of each account, the largest first.
    pub(super) fn account_shares(&self) -> Vec<f64> {
        let sizes: Vec<f64> =
            (1..=self.accounts).map(|place| (place as f64).powf(-ACCOUNT_SIZE_EXPONENT)).collect();
        let total: f64 = sizes.iter().sum();
        sizes.into_iter().map(|size| size / total).collect()
    }
}

/// Returns the load patterns that the placer, the admission queues and the retry times of refused
/// callers are designed for.
pub fn patterns() -> Vec<Pattern> {
    let lookup = RequestKind {
        share: 0.72,
        mean_work_ms: 160.0,
        goal_ms: 600,
        deadline_ms: 2_500,
        rank: 2,
        is_idempotent: true,
    };
    let order = RequestKind {
        share: 0.28,
        mean_work_ms: 210.0,
        goal_ms: 800,
        deadline_ms: 3_000,
        rank: 1,
        is_idempotent: false,
    };
    let base = Pattern {
        name: "steady",
        regions: 3,
        targets: 24,
        slots: 6,
        load: 0.65,
        kinds: vec![lookup, order],
        accounts: 0,
        disturbance: Disturbance::None,
        disturbed_from_ms: 8_000,
        disturbed_until_ms: 14_000,
        end_ms: 20_000,
    };
    let with = |name, load, disturbance| Pattern { name, load, disturbance, ..base.clone() };
    let surge = |name| Pattern { accounts: 71, ..with(name, 0.85, Disturbance::AccountSurge(7.5)) };
    vec![
        base.clone(),
        with("burst", 0.65, Disturbance::Burst(1.7)),
        with("zone-burst", 0.6, Disturbance::ZoneBurst(3.0)),
        with("slow-third", 0.5, Disturbance::Slow(5.0)),
        with("failing-third", 0.5, Disturbance::Failing(0.5)),
        with("lost-third", 0.6, Disturbance::Lost(0.34)),
        with("herd", 0.7, Disturbance::Lost(0.55)),
        with("overload", 1.3, Disturbance::None),
        with("impatient", 1.1, Disturbance::Impatient(3)),
        Pattern { kinds: vec![RequestKind { share: 1.0, ..lookup }], ..surge("account-surge") },
        surge("account-surge-ranks"),
    ]
}
