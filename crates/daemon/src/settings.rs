//! The settings of a daemon, read and checked in this one place; see `docs/SETTINGS.md`.

use crate::error::DaemonError;
use pomeloreach_core::check::is_valid_name;
use serde::{Deserialize, Deserializer, de::Error};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use strum::{Display, EnumString};

/// The most relays in one availability zone.
const RELAYS_PER_ZONE_MAX: u16 = 64;
/// The most daemons that one relay feeds.
const CHILDREN_MAX: u16 = 2_000;
/// The most threads that run tasks.
const WORKER_THREADS_MAX: u16 = 64;
/// The longest time that is given in seconds.
const SECONDS_MAX: f64 = 86_400.0;
/// The longest drain, in milliseconds.
const DRAIN_MS_MAX: u64 = 3_600_000;

/// How much is logged.
#[derive(Clone, Copy, Debug, Display, EnumString, PartialEq, Eq, Deserialize)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    Error,
    Warn,
    Info,
    Debug,
}

/// Everything a daemon is told when it starts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the instance; each start adds a suffix of its own.
    #[serde(deserialize_with = "valid_name")]
    pub name: Arc<str>,
    #[serde(deserialize_with = "valid_name")]
    pub region: Arc<str>,
    #[serde(deserialize_with = "valid_name")]
    pub zone: Arc<str>,
    /// Where other daemons reach this one, over UDP.
    pub control_addr: SocketAddr,
    /// Where other daemons are told to reach this one, if not at `control_addr`: for a host behind
    /// address translation.
    #[serde(default)]
    pub advertised_addr: Option<SocketAddr>,
    /// Where callers send their requests.
    pub caller_addr: SocketAddr,
    /// Where operators and the target beside the daemon talk to it.
    pub operator_addr: SocketAddr,
    /// The platform's object API.
    pub platform_addr: SocketAddr,
    /// Daemons to ask when the platform's store is away.
    #[serde(default)]
    pub seed_addrs: Vec<SocketAddr>,
    /// The fleet's keys; a daemon on a platform that keeps the configuration needs none.
    #[serde(default)]
    pub tls: Option<Tls>,
    /// What a daemon is told on a platform that keeps the configuration; see `docs/MESH.md`.
    #[serde(default)]
    pub mesh: Option<MeshSettings>,
    /// Where metrics go, as statsd over UDP; none are sent without it.
    #[serde(default)]
    pub metrics_addr: Option<SocketAddr>,
    #[serde(default = "default_log_level")]
    pub log_level: LogLevel,
    #[serde(default = "default_relays_per_zone", deserialize_with = "relays_per_zone")]
    pub relays_per_zone: u16,
    #[serde(default = "default_children_max", deserialize_with = "children_max")]
    pub children_max: u16,
    #[serde(default = "default_worker_threads", deserialize_with = "worker_threads")]
    pub worker_threads: u16,
    /// How long requests in flight may hold up a stop, in milliseconds.
    #[serde(default = "default_drain_max_ms", deserialize_with = "drain_max_ms")]
    pub drain_max_ms: u64,
}

/// What a daemon is told on a platform that keeps the configuration. All bounds are the platform's.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeshSettings {
    /// Where the platform asks whether callers may be sent here.
    pub ready_addr: SocketAddr,
    /// Where metrics are served as text, besides the operators' port.
    #[serde(default)]
    pub metrics_listen_addr: Option<SocketAddr>,
    /// The service of the target beside this daemon.
    pub service: Arc<str>,
    /// Where that target takes requests.
    pub target_addr: SocketAddr,
    /// How often the target sends a heartbeat, in milliseconds.
    #[serde(rename = "heartbeat_s", deserialize_with = "seconds_to_ms")]
    pub heartbeat_ms: u64,
    /// How long a daemon that was told to stop may take, in milliseconds.
    #[serde(rename = "grace_s", deserialize_with = "seconds_to_ms")]
    pub grace_ms: u64,
    /// The span over which retries are counted, in milliseconds.
    #[serde(rename = "retry_window_s", deserialize_with = "seconds_to_ms")]
    pub retry_window_ms: u64,
    /// Retries that all daemons together may make in that span beyond their share of requests.
    pub retry_slack: f64,
}

/// The keys of the fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// The certificate that signed every daemon's.
    pub ca_path: PathBuf,
    pub cert_path: PathBuf,
    pub key_path: PathBuf,
}

impl Settings {
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

/// A time that a platform gives in seconds with fractions, in milliseconds.
fn seconds_to_ms<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let seconds = f64::deserialize(deserializer)?;
    let ms = (seconds * 1_000.0).round();
    if (0.0..=SECONDS_MAX * 1_000.0).contains(&ms) {
        return Ok(ms as u64);
    }
    Err(D::Error::custom(format!("{seconds} is outside 0 to {SECONDS_MAX} seconds")))
}

fn valid_name<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Arc<str>, D::Error> {
    let text = String::deserialize(deserializer)?;
    if is_valid_name(&text) {
        return Ok(text.into());
    }
    Err(D::Error::custom(format!(
        "'{text}' is not a name of 1 to 63 characters a-z, 0-9, '-', '.'"
    )))
}

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

fn u16_up_to<'de, D: Deserializer<'de>>(deserializer: D, max: u16) -> Result<u16, D::Error> {
    let value = integer_in_range(deserializer, 1, max.into())?;
    u16::try_from(value).map_err(D::Error::custom)
}

fn relays_per_zone<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u16, D::Error> {
    u16_up_to(deserializer, RELAYS_PER_ZONE_MAX)
}

fn children_max<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u16, D::Error> {
    u16_up_to(deserializer, CHILDREN_MAX)
}

fn worker_threads<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u16, D::Error> {
    u16_up_to(deserializer, WORKER_THREADS_MAX)
}

fn drain_max_ms<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    integer_in_range(deserializer, 0, DRAIN_MS_MAX)
}
