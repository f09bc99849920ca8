//! Reads and checks the settings file of a daemon; see `docs/SETTINGS.md`.

use crate::error::DaemonError;
use pomeloreach_core::check::is_valid_name;
use pomeloreach_core::mesh::quota::QuotaTerms;
use serde::{Deserialize, Deserializer, de::Error};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use strum::{Display, EnumString};

/// The largest value of `relays_per_zone`.
const RELAYS_PER_ZONE_MAX: u16 = 64;
/// The largest value of `children_max`, which limits the daemons that one relay serves.
const CHILDREN_MAX_LIMIT: u16 = 2_000;
/// The largest value of `worker_threads`.
const WORKER_THREADS_MAX: u16 = 64;
/// The smallest and the largest value of `link_mbps`.
const LINK_MBPS_MIN: f64 = 0.1;
const LINK_MBPS_MAX: f64 = 400_000.0;
/// The smallest and the largest value of `memory_mb`. A daemon that is idle needs some 15 MB.
const MEMORY_MB_MIN: u64 = 32;
const MEMORY_MB_MAX: u64 = 1_048_576;
/// The smallest and the largest value of `descriptors_max`.
const DESCRIPTORS_MIN: u64 = 128;
const DESCRIPTORS_LIMIT: u64 = 1_048_576;
/// The largest value of `quota_window_s`, in seconds, and of `quota_overshoot` and `quota_slack`.
const QUOTA_WINDOW_S_MAX: f64 = 3_600.0;
const QUOTA_OVERSHOOT_MAX: f64 = 10.0;
const QUOTA_SLACK_MAX: f64 = 1_000_000.0;
/// The largest value of a setting in seconds.
const SECONDS_MAX: f64 = 86_400.0;
/// The largest value of `drain_max_ms`, which limits how long a stopping daemon waits for requests.
const DRAIN_MAX_MS_LIMIT: u64 = 3_600_000;

/// The least severe level of the log lines that are written.
#[derive(Clone, Copy, Debug, Display, EnumString, PartialEq, Eq, Deserialize)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    Error,
    Warn,
    Info,
    Debug,
}

/// The contents of a settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the instance, the same at each start. The daemon adds a random id to tell its
    /// starts apart.
    #[serde(deserialize_with = "valid_name")]
    pub name: Arc<str>,
    #[serde(deserialize_with = "valid_name")]
    pub region: Arc<str>,
    #[serde(deserialize_with = "valid_name")]
    pub zone: Arc<str>,
    /// The address on which connections from other daemons are accepted, over UDP, or over TCP if
    /// `mesh` is given.
    pub control_addr: SocketAddr,
    /// The address that other daemons connect to, if it is not `control_addr`: for a host behind
    /// network address translation. Used only with `mesh`.
    #[serde(default)]
    pub advertised_addr: Option<SocketAddr>,
    /// The address on which callers' requests are accepted.
    pub caller_addr: SocketAddr,
    /// The address on which requests of operators and of the local target are accepted.
    pub operator_addr: SocketAddr,
    /// The address of the platform's object API.
    pub platform_addr: SocketAddr,
    /// Daemons to contact when the platform's store is unavailable. Not used with `mesh`.
    #[serde(default)]
    pub seed_addrs: Vec<SocketAddr>,
    /// The certificates and key for connections between daemons; required unless `mesh` is given.
    #[serde(default)]
    pub tls: Option<Tls>,
    /// The settings for a platform whose store holds the operators' configuration as one object; see
    /// `docs/MESH.md`.
    #[serde(default)]
    pub mesh: Option<MeshSettings>,
    /// The address that metrics are sent to, as statsd over UDP; without it none are sent. Not used
    /// with `mesh`.
    #[serde(default)]
    pub metrics_addr: Option<SocketAddr>,
    #[serde(default = "default_log_level")]
    pub log_level: LogLevel,
    /// How many relays each availability zone has. Not used with `mesh`.
    #[serde(default = "default_relays_per_zone", deserialize_with = "relays_per_zone")]
    pub relays_per_zone: u16,
    /// How many daemons one relay may send the configuration to. Not used with `mesh`.
    #[serde(default = "default_children_max", deserialize_with = "children_max")]
    pub children_max: u16,
    /// How many threads run tasks. Not used with `mesh`.
    #[serde(default = "default_worker_threads", deserialize_with = "worker_threads")]
    pub worker_threads: u16,
    /// How long a stopping daemon waits for requests in flight, in milliseconds. With `mesh`,
    /// `grace_s` is used instead.
    #[serde(default = "default_drain_max_ms", deserialize_with = "drain_max_ms")]
    pub drain_max_ms: u64,
}

/// The settings for a platform whose store holds the operators' configuration as one object. The
/// platform prescribes the interval of heartbeats, the grace period and the limits on retries.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeshSettings {
    /// The address on which the platform checks whether this daemon is ready for callers.
    pub ready_addr: SocketAddr,
    /// The address on which metrics are served as text, in addition to `operator_addr`.
    #[serde(default)]
    pub metrics_listen_addr: Option<SocketAddr>,
    /// The service of the local target.
    pub service: Arc<str>,
    /// The address on which the local target accepts requests.
    pub target_addr: SocketAddr,
    /// The interval between heartbeats of the local target, in milliseconds.
    #[serde(rename = "heartbeat_s", deserialize_with = "seconds_to_ms")]
    pub heartbeat_ms: u64,
    /// How long this daemon may take to stop after it receives a signal, in milliseconds.
    #[serde(rename = "grace_s", deserialize_with = "seconds_to_ms")]
    pub grace_ms: u64,
    /// The window over which retries are counted, in milliseconds.
    #[serde(rename = "retry_window_s", deserialize_with = "seconds_to_ms")]
    pub retry_window_ms: u64,
    /// Retries that all daemons together may make within the window, in addition to the permitted
    /// share of their requests.
    pub retry_slack: f64,
    /// Whether the whole fleet starts for the first time, so that no daemon is in the store yet.
    #[serde(default)]
    pub is_first_start: bool,
    /// The rate of the VM's link, in megabits per second.
    #[serde(default = "default_link_mbps", deserialize_with = "link_mbps")]
    pub link_mbps: f64,
    /// The memory of the VM, in MiB. Used when the daemon starts.
    #[serde(default = "default_memory_mb", deserialize_with = "memory_mb")]
    pub memory_mb: u64,
    /// The descriptors that this daemon may have open. Used when the daemon starts.
    #[serde(default = "default_descriptors_max", deserialize_with = "descriptors_max")]
    pub descriptors_max: u64,
    /// The window over which the requests of an account are limited, in seconds.
    #[serde(default, deserialize_with = "quota_window_s")]
    pub quota_window_s: Option<f64>,
    /// How far an account may exceed its limit in a window, as a share of what the limit allows.
    #[serde(default, deserialize_with = "quota_overshoot")]
    pub quota_overshoot: Option<f64>,
    /// How far an account may exceed its limit in a window, in requests.
    #[serde(default, deserialize_with = "quota_slack")]
    pub quota_slack: Option<f64>,
}

impl MeshSettings {
    /// The terms of quotas, with defaults for those that are not set.
    pub fn quota_terms(&self) -> QuotaTerms {
        let default = QuotaTerms::default();
        QuotaTerms {
            window_ms: self.quota_window_s.map_or(default.window_ms, |s| (s * 1_000.0) as u64),
            overshoot: self.quota_overshoot.unwrap_or(default.overshoot),
            slack: self.quota_slack.unwrap_or(default.slack),
        }
    }
}

/// The files that a daemon authenticates itself and other daemons with.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// The certificate of the authority that signed every daemon's certificate.
    pub ca_path: PathBuf,
    pub cert_path: PathBuf,
    pub key_path: PathBuf,
}

impl Settings {
    /// Reads a settings file. Without the section `mesh`, it must have the section `tls`.
    pub fn read(path: &Path) -> Result<Self, DaemonError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| DaemonError::ReadSettings { path: path.to_path_buf(), source })?;
        let settings: Self = serde_saphyr::from_str(&text).map_err(|error| {
            DaemonError::InvalidSettings { path: path.to_path_buf(), reason: error.to_string() }
        })?;
        match (&settings.mesh, &settings.tls) {
            (None, None) => Err(DaemonError::TlsMissing),
            _ => Ok(settings),
        }
    }
}

fn default_log_level() -> LogLevel {
    LogLevel::Info
}

fn default_relays_per_zone() -> u16 {
    2
}

fn default_children_max() -> u16 {
    400
}

fn default_worker_threads() -> u16 {
    2
}

fn default_drain_max_ms() -> u64 {
    30_000
}

/// Deserializes seconds, which may have a fraction, as milliseconds.
fn seconds_to_ms<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let seconds = f64::deserialize(deserializer)?;
    let ms = (seconds * 1_000.0).round();
    if (0.0..=SECONDS_MAX * 1_000.0).contains(&ms) {
        return Ok(ms as u64);
    }
    Err(D::Error::custom(format!("{seconds} is outside 0 to {SECONDS_MAX} seconds")))
}

/// Deserializes text that satisfies [`is_valid_name`].
fn valid_name<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Arc<str>, D::Error> {
    let text = String::deserialize(deserializer)?;
    if is_valid_name(&text) {
        return Ok(text.into());
    }
    Err(D::Error::custom(format!(
        "'{text}' is not a name of 1 to 63 characters a-z, 0-9, '-', '.'"
    )))
}

/// Deserializes an integer from `min` to `max`.
fn integer_in_range<'de, D>(deserializer: D, min: u64, max: u64) -> Result<u64, D::Error>
where
    D: Deserializer<'de>,
{
    let value = u64::deserialize(deserializer)?;
    if (min..=max).contains(&value) {
        return Ok(value);
    }
    Err(D::Error::custom(format!("{value} is outside {min} to {max}")))
}

/// Deserializes an integer from 1 to `max`.
fn u16_up_to<'de, D: Deserializer<'de>>(deserializer: D, max: u16) -> Result<u16, D::Error> {
    let value = integer_in_range(deserializer, 1, max.into())?;
    u16::try_from(value).map_err(D::Error::custom)
}

fn default_link_mbps() -> f64 {
    1_000.0
}

/// Deserializes a rate from [`LINK_MBPS_MIN`] to [`LINK_MBPS_MAX`].
fn link_mbps<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let mbps = f64::deserialize(deserializer)?;
    if (LINK_MBPS_MIN..=LINK_MBPS_MAX).contains(&mbps) {
        return Ok(mbps);
    }
    Err(D::Error::custom(format!("{mbps} is outside {LINK_MBPS_MIN} to {LINK_MBPS_MAX}")))
}

/// The largest VM in use, so that a daemon without the setting refuses nothing that such a VM can hold.
fn default_memory_mb() -> u64 {
    512
}

/// The smallest limit in use.
fn default_descriptors_max() -> u64 {
    4_100
}

fn memory_mb<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    integer_in_range(deserializer, MEMORY_MB_MIN, MEMORY_MB_MAX)
}

fn descriptors_max<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    integer_in_range(deserializer, DESCRIPTORS_MIN, DESCRIPTORS_LIMIT)
}

/// Deserializes a number from `min` to `max`; none if the field is empty.
fn optional_in_range<'de, D>(deserializer: D, min: f64, max: f64) -> Result<Option<f64>, D::Error>
where
    D: Deserializer<'de>,
{
    let value = Option::<f64>::deserialize(deserializer)?;
    match value {
        Some(value) if !(min..=max).contains(&value) => {
            Err(D::Error::custom(format!("{value} is outside {min} to {max}")))
        }
        value => Ok(value),
    }
}

fn quota_window_s<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<f64>, D::Error> {
    optional_in_range(deserializer, 1.0, QUOTA_WINDOW_S_MAX)
}

fn quota_overshoot<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<f64>, D::Error> {
    optional_in_range(deserializer, 0.0, QUOTA_OVERSHOOT_MAX)
}

fn quota_slack<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<f64>, D::Error> {
    optional_in_range(deserializer, 0.0, QUOTA_SLACK_MAX)
}

fn relays_per_zone<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u16, D::Error> {
    u16_up_to(deserializer, RELAYS_PER_ZONE_MAX)
}

fn children_max<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u16, D::Error> {
    u16_up_to(deserializer, CHILDREN_MAX_LIMIT)
}

fn worker_threads<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u16, D::Error> {
    u16_up_to(deserializer, WORKER_THREADS_MAX)
}

fn drain_max_ms<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    integer_in_range(deserializer, 0, DRAIN_MAX_MS_LIMIT)
}
