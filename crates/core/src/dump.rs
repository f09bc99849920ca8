//! A dump of one daemon's state for operators; see `docs/OPERATING.md` for how to read it.

use crate::code::ResultCode;
use crate::endpoint::Endpoint;
use crate::node::Node;
use crate::roles::Role;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// One link of a daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LinkDump {
    /// Id of the link within the daemon. The counters of control traffic use the same id.
    pub link: u64,
    pub kind: String,
    pub state: String,
    pub addr: SocketAddr,
    pub instance: Option<Arc<str>>,
    pub remote_version: u64,
    /// Milliseconds since the last message was received on this link.
    pub heard_ms_ago: u64,
}

/// The state of the control plane of a daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeDump {
    pub instance: Arc<str>,
    pub region: Arc<str>,
    pub zone: Arc<str>,
    pub ready: bool,
    /// Where the daemon got its minimum version at startup: `store` or `witnesses`, which are other
    /// daemons that confirmed it.
    pub floor_source: Option<String>,
    /// Whether the daemon holds the relay role.
    pub relay: bool,
    /// Whether the daemon holds the leader role.
    pub lead: bool,
    pub store_failing: bool,
    pub version: u64,
    pub newest_version: u64,
    pub digest: String,
    pub routes: usize,
    pub pools: usize,
    pub refusals: BTreeMap<u64, ResultCode>,
    pub services: Vec<Arc<str>>,
    pub links: Vec<LinkDump>,
    /// All endpoint records known to the daemon.
    pub records: Vec<Endpoint>,
}

impl Node {
    pub fn dump(&self) -> NodeDump {
        let config = self.config();
        let links = self.links().map(|(id, link)| LinkDump {
            link: id.0,
            kind: format!("{:?}", link.kind),
            state: format!("{:?}", link.state),
            addr: link.addr,
            instance: link.remote.as_ref().map(|remote| remote.instance.clone()),
            remote_version: link.remote_version,
            heard_ms_ago: self.now_ms.saturating_sub(link.last_received_ms),
        });
        NodeDump {
            instance: self.local().instance.clone(),
            region: self.local().region.clone(),
            zone: self.local().zone.clone(),
            ready: self.is_ready(),
            floor_source: self.minimum_version_source().map(|source| source.to_string()),
            relay: self.is_relay(),
            lead: self.roles.holds(Role::Leader),
            store_failing: self.is_store_failing(),
            version: config.version,
            newest_version: self.newest_version(),
            digest: config.tables.digest(),
            routes: config.tables.routes.len(),
            pools: config.tables.pools.len(),
            refusals: config.refusals.iter().map(|(v, refusal)| (*v, refusal.code)).collect(),
            services: self.services.iter().cloned().collect(),
            links: links.collect(),
            records: self.membership().entries().map(|entry| entry.record.clone()).collect(),
        }
    }
}
