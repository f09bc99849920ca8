//! Metrics to a statsd server over UDP; see `docs/METRICS.md`.

use cadence::{Counted, Gauged, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};

/// The names of all metrics begin with this.
const PREFIX: &str = "pomeloreach";
/// Metrics that may wait to be sent; more are dropped.
const QUEUE_MAX: usize = 4_096;

/// Where metrics go, if anywhere.
pub struct Metrics {
    client: Option<StatsdClient>,
}

impl Metrics {
    /// Metrics never hold up the daemon: without a socket there are none.
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
    let sink = QueuingMetricSink::with_capacity(sink, QUEUE_MAX);
    Some(StatsdClient::from_sink(PREFIX, sink))
}
