//! Decides what a stopping daemon still does at which time of its grace period.
//!
//! Covers callers that go on sending during a planned stop, requests whose bodies end late, and requests
//! that would run beyond the end of the grace period. Each of them gets a response before the process
//! exits: what cannot end in time is refused before it runs, and targets are told when to give up.

/// How long a stopping daemon keeps reading requests of callers, in milliseconds. The platform routes
/// callers elsewhere after two failed readiness checks, one second apart. A request that is read later
/// might not finish within the grace period.
const UNREADY_SERVING_MS: u64 = 2_300;
/// How long calls of peers may still arrive after this daemon has reported that it is leaving, in
/// milliseconds.
const LAST_CALLS_MS: u64 = 250;
/// A stopping daemon exits this long before the end of the grace period, in milliseconds, even if
/// requests are in flight.
const EXIT_MARGIN_MS: u64 = 400;
/// How long before the exit the last responses are decided, in milliseconds: the time to send them.
const LAST_RESPONSES_MS: u64 = 150;
/// How long before the exit targets give up a request, in milliseconds. Their responses arrive before the
/// last responses are decided.
const RUN_MARGIN_MS: u64 = 300;
/// A request is passed on during the stop only if this multiple of its typical service time is left,
/// because many requests take longer than that.
const SERVICE_TIME_FACTOR: f64 = 2.0;

/// The times of a planned stop, by the daemon's clock in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    started_ms: u64,
    exit_ms: u64,
    /// How long requests of callers are read and peers may call.
    serving_ms: u64,
    /// How long calls of peers may arrive after that.
    last_calls_ms: u64,
}

impl StopSchedule {
    /// The schedule of a stop that starts now, for a daemon that is killed after `grace_ms`.
    pub fn new(now_ms: u64, grace_ms: u64) -> Self {
        Self {
            started_ms: now_ms,
            exit_ms: now_ms + grace_ms.saturating_sub(EXIT_MARGIN_MS),
            serving_ms: UNREADY_SERVING_MS,
            last_calls_ms: LAST_CALLS_MS,
        }
    }

    /// The same for a daemon that nobody uses: it has never been ready, and neither callers nor peers
    /// are connected to it. It exits as soon as it is idle.
    pub fn of_unused(now_ms: u64, grace_ms: u64) -> Self {
        Self { serving_ms: 0, last_calls_ms: 0, ..Self::new(now_ms, grace_ms) }
    }

    pub fn started_ms(&self) -> u64 {
        self.started_ms
    }

    /// When the daemon exits at the latest.
    pub fn exit_ms(&self) -> u64 {
        self.exit_ms
    }

    /// Whether requests of callers are still read and peers may still call the local target.
    pub fn is_serving(&self, now_ms: u64) -> bool {
        now_ms < self.started_ms + self.serving_ms
    }

    /// Whether the daemon may exit as soon as it is idle: no calls of peers arrive any more.
    pub fn may_exit(&self, now_ms: u64) -> bool {
        now_ms >= self.started_ms + self.serving_ms + self.last_calls_ms
    }

    /// Whether requests without a response get one that says whether they may have run.
    pub fn is_last_response_due(&self, now_ms: u64) -> bool {
        now_ms + LAST_RESPONSES_MS >= self.exit_ms
    }

    /// When a request that is passed on during the stop ends at its target at the latest.
    pub fn run_until_ms(&self) -> u64 {
        self.exit_ms.saturating_sub(RUN_MARGIN_MS)
    }

    /// Whether a request may still be passed on to a target. `service_ms` is its typical service time, 0
    /// if none is known.
    pub fn may_pass_on(&self, now_ms: u64, service_ms: f64) -> bool {
        let left_ms = self.run_until_ms().saturating_sub(now_ms);
        left_ms > 0 && service_ms * SERVICE_TIME_FACTOR <= left_ms as f64
    }
}
