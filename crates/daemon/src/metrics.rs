//! Sends metrics to a statsd server over UDP; see `docs/METRICS.md`.

use cadence::{Counted, Gauged, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};

/// Prefix of all metric names.
const NAME_PREFIX: &str = "pomeloreach";
/// Metrics that may be queued for sending; further ones are dropped.
const QUEUED_METRICS_MAX: usize = 4_096;

/// The statsd client, if metrics are sent.
pub struct Metrics {
    client: Option<StatsdClient>,
}

impl Metrics {
    /// Connects to the statsd server, if there is an address. A failure to open the socket must not
    /// stop the daemon, so no metrics are sent then.
    pub fn new(addr: Option<SocketAddr>) -> Self {
        Self { client: addr.and_then(connect) }
    }

    pub fn count(&self, name: &str, count: i64) {
        if let Some(client) = &self.client {
            client.count(name, count).ok();
        }
    }

    pub fn gauge(&self, name: &str, value: u64) {
        if let Some(client) = &self.client {
            client.gauge(name, value).ok();
        }
    }

    pub fn time_ms(&self, name: &str, ms: u64) {
        if let Some(client) = &self.client {
            client.time(name, ms).ok();
        }
    }
}

fn connect(addr: SocketAddr) -> Option<StatsdClient> {
    let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0)).ok()?;
    socket.set_nonblocking(true).ok()?;
    let sink = UdpMetricSink::from(addr, socket).ok()?;
    let sink = QueuingMetricSink::with_capacity(sink, QUEUED_METRICS_MAX);
    Some(StatsdClient::from_sink(NAME_PREFIX, sink))
}
