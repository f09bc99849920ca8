//! Counters and latency histograms in the OpenMetrics format; see `docs/METRICS.md`.
//!
//! The `cadence` crate sends metrics over UDP, which a platform without a statsd server cannot
//! receive. These metrics are fetched over HTTP instead.

use pomeloreach_core::account_index::KeyProblem;
use pomeloreach_core::code::ResultCode;
use pomeloreach_core::mesh::dissemination::Distance;
use pomeloreach_wire::h1::server::Bound;
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use std::sync::Arc;

/// The upper bounds of the histograms' buckets, in seconds: from a call within a VM to the longest
/// deadline in use.
const BUCKETS_S: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.5, 5.0];

/// The label of a counter: the name of the result code.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabels {
    code: String,
}

/// The label of the counters of client accounts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AccountLabels {
    account: Arc<str>,
}

/// The label of the counter of requests without a valid key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KeyLabels {
    reason: String,
}

/// The labels of the counters of link traffic.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LinkLabels {
    /// The kind of message.
    kind: &'static str,
    /// The location of the sender.
    distance: &'static str,
}

/// The label of the counter of refusals and closed connections: the name of the bound.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BoundLabels {
    bound: &'static str,
}

/// The metrics of one daemon.
pub struct Metrics {
    registry: Registry,
    requests: Family<ResultLabels, Counter>,
    account_requests: Family<AccountLabels, Counter>,
    key_refusals: Family<KeyLabels, Counter>,
    attempts: Counter,
    retries: Counter,
    inbound_refusals: Family<ResultLabels, Counter>,
    cancelled: Counter,
    request_time: Histogram,
    slot_wait: Histogram,
    target_time: Histogram,
    version: Gauge,
    newest_known_version: Gauge,
    store_era: Gauge,
    links: Gauge,
    in_flight: Gauge,
    store_failures: Counter,
    link_messages: Family<LinkLabels, Counter>,
    link_bytes: Family<LinkLabels, Counter>,
    client_bounds: Family<BoundLabels, Counter>,
    memory_used: Gauge,
    memory_budget: Gauge,
    caller_connections: Gauge,
    quota_used: Family<AccountLabels, Counter>,
    quota_refused: Family<AccountLabels, Counter>,
}

/// The values of the gauges, which are read when the metrics are fetched.
pub struct GaugeValues {
    pub version: u64,
    pub newest_known_version: u64,
    pub store_era: Option<u64>,
    pub links: usize,
    pub in_flight: u32,
    pub memory_used_bytes: usize,
    pub memory_budget_bytes: usize,
    pub caller_connections: usize,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("pomeloreach");
        let histogram = || Histogram::new(BUCKETS_S);
        let metrics = Self {
            registry: Registry::default(),
            requests: Family::default(),
            account_requests: Family::default(),
            key_refusals: Family::default(),
            attempts: Counter::default(),
            retries: Counter::default(),
            inbound_refusals: Family::default(),
            cancelled: Counter::default(),
            request_time: histogram(),
            slot_wait: histogram(),
            target_time: histogram(),
            version: Gauge::default(),
            newest_known_version: Gauge::default(),
            store_era: Gauge::default(),
            links: Gauge::default(),
            in_flight: Gauge::default(),
            store_failures: Counter::default(),
            link_messages: Family::default(),
            link_bytes: Family::default(),
            client_bounds: Family::default(),
            memory_used: Gauge::default(),
            memory_budget: Gauge::default(),
            caller_connections: Gauge::default(),
            quota_used: Family::default(),
            quota_refused: Family::default(),
        };
        registry.register("requests", "Requests of callers, by result", metrics.requests.clone());
        registry.register(
            "account_requests",
            "Requests of callers with the key of an account, by account",
            metrics.account_requests.clone(),
        );
        registry.register(
            "key_refusals",
            "Requests that were refused because their key is missing or unknown, by reason",
            metrics.key_refusals.clone(),
        );
        registry.register("attempts", "Attempts at targets", metrics.attempts.clone());
        registry.register("retries", "Attempts paid by the retry budget", metrics.retries.clone());
        registry.register(
            "door_refusals",
            "Requests that the door of the target refused, by result",
            metrics.inbound_refusals.clone(),
        );
        registry.register("cancelled", "Requests whose callers left", metrics.cancelled.clone());
        registry.register_with_unit(
            "request_time",
            "From a request's arrival to its answer",
            Unit::Seconds,
            metrics.request_time.clone(),
        );
        registry.register_with_unit(
            "door_wait",
            "The wait for a slot at the target",
            Unit::Seconds,
            metrics.slot_wait.clone(),
        );
        registry.register_with_unit(
            "target_time",
            "The time at the target",
            Unit::Seconds,
            metrics.target_time.clone(),
        );
        registry.register("version", "The configuration in force", metrics.version.clone());
        registry.register(
            "newest_known_version",
            "The newest configuration that is known, in force or not",
            metrics.newest_known_version.clone(),
        );
        registry.register(
            "store_era",
            "The newest known era of the store; 0 if it has none",
            metrics.store_era.clone(),
        );
        registry.register("links", "Links to peers that calls can use", metrics.links.clone());
        registry.register("in_flight", "Unanswered requests of callers", metrics.in_flight.clone());
        registry.register(
            "store_failures",
            "Calls to the store without an answer that could be used",
            metrics.store_failures.clone(),
        );
        registry.register(
            "link_messages",
            "Messages received on links, by kind and by the distance of the sender",
            metrics.link_messages.clone(),
        );
        registry.register(
            "link_bytes",
            "Bytes of messages received on links, by kind and by the distance of the sender",
            metrics.link_bytes.clone(),
        );
        registry.register(
            "client_bounds",
            "Requests refused and connections closed because of a bound, by bound",
            metrics.client_bounds.clone(),
        );
        registry.register_with_unit(
            "memory_used",
            "The part of the memory budget that is in use",
            Unit::Bytes,
            metrics.memory_used.clone(),
        );
        registry.register_with_unit(
            "memory_budget",
            "The memory budget for bodies and responses",
            Unit::Bytes,
            metrics.memory_budget.clone(),
        );
        registry.register(
            "caller_connections",
            "Open connections of callers",
            metrics.caller_connections.clone(),
        );
        registry.register(
            "quota_used",
            "Requests of accounts with a quota that reached a target",
            metrics.quota_used.clone(),
        );
        registry.register(
            "quota_refused",
            "Requests over the quota of their account",
            metrics.quota_refused.clone(),
        );
        Self { registry, ..metrics }
    }
}

impl Metrics {
    pub fn request_ended(&self, code: ResultCode, took_ms: u64) {
        self.requests.get_or_create(&result_labels(code)).inc();
        self.request_time.observe(seconds(took_ms));
    }

    /// Counts a request of an account. It must be in the configuration in force, so that
    /// [`Self::remove_accounts`] is called when it no longer is.
    pub fn account_request_started(&self, account: &Arc<str>) {
        self.account_requests.get_or_create(&AccountLabels { account: account.clone() }).inc();
    }

    /// Removes the counters of accounts that are no longer in the configuration, so that the number
    /// of counters stays bounded.
    pub fn remove_accounts<'a>(&self, accounts: impl Iterator<Item = &'a Arc<str>>) {
        for account in accounts {
            let labels = AccountLabels { account: account.clone() };
            self.account_requests.remove(&labels);
            self.quota_used.remove(&labels);
            self.quota_refused.remove(&labels);
        }
    }

    pub fn key_refused(&self, problem: KeyProblem) {
        self.key_refusals.get_or_create(&KeyLabels { reason: problem.to_string() }).inc();
    }

    pub fn attempt_started(&self, is_retry: bool) {
        self.attempts.inc();
        if is_retry {
            self.retries.inc();
        }
    }

    pub fn inbound_refused(&self, code: ResultCode) {
        self.inbound_refusals.get_or_create(&result_labels(code)).inc();
    }

    pub fn request_cancelled(&self) {
        self.cancelled.inc();
    }

    pub fn observe_slot_wait(&self, waited_ms: u64) {
        self.slot_wait.observe(seconds(waited_ms));
    }

    pub fn observe_target_time(&self, took_ms: u64) {
        self.target_time.observe(seconds(took_ms));
    }

    pub fn store_call_failed(&self) {
        self.store_failures.inc();
    }

    /// Counts a request of an account with a quota that reached a target.
    pub fn quota_used(&self, account: &Arc<str>) {
        self.quota_used.get_or_create(&AccountLabels { account: account.clone() }).inc();
    }

    /// Counts a request over the quota of its account.
    pub fn quota_refused(&self, account: &Arc<str>) {
        self.quota_refused.get_or_create(&AccountLabels { account: account.clone() }).inc();
    }

    /// Counts a message that was received on a link.
    pub fn link_message_received(&self, kind: &'static str, distance: Distance, bytes: u64) {
        let labels = LinkLabels { kind, distance: distance.into() };
        self.link_messages.get_or_create(&labels).inc();
        self.link_bytes.get_or_create(&labels).inc_by(bytes);
    }

    /// Counts a request that was refused or a connection that was closed because of a bound.
    pub fn bound_reached(&self, bound: Bound) {
        self.client_bounds.get_or_create(&BoundLabels { bound: bound.into() }).inc();
    }

    /// All metrics in the OpenMetrics text format.
    pub fn text(&self, gauges: &GaugeValues) -> Result<String, std::fmt::Error> {
        self.version.set(gauges.version.cast_signed());
        self.newest_known_version.set(gauges.newest_known_version.cast_signed());
        self.store_era.set(gauges.store_era.unwrap_or_default().cast_signed());
        self.links.set(gauge_value(gauges.links));
        self.in_flight.set(gauges.in_flight.into());
        self.memory_used.set(gauge_value(gauges.memory_used_bytes));
        self.memory_budget.set(gauge_value(gauges.memory_budget_bytes));
        self.caller_connections.set(gauge_value(gauges.caller_connections));
        let mut text = String::new();
        text::encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

fn gauge_value(value: usize) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

fn result_labels(code: ResultCode) -> ResultLabels {
    ResultLabels { code: code.to_string() }
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1_000.0
}
