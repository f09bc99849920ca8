//! Endpoint records: what a daemon says of itself and of the target beside it.

use crate::digest::record_hash;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use strum::{Display, EnumString};

/// What a target says of itself.
#[derive(
    Clone, Copy, Debug, Display, EnumString, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    Starting,
    Ready,
    Draining,
    /// The daemon holds no announcement of its target that is still within its lease.
    Lapsed,
}

/// The record of one daemon and its target. Only that daemon writes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Unique for each start of a daemon, so that a successor is never taken for it.
    pub instance: Arc<str>,
    /// Grows with each change of the record; the highest wins.
    pub sequence: u64,
    pub service: Arc<str>,
    pub state: TargetState,
    pub region: Arc<str>,
    pub zone: Arc<str>,
    /// Where the daemon beside the target takes calls from other daemons.
    pub addr: SocketAddr,
    /// How many requests the target runs at once.
    pub slots: u16,
    /// Set by a failure detector and never by the daemon itself, which answers with a higher
    /// sequence when it is alive.
    pub gone: bool,
}

impl Endpoint {
    /// Whether this record replaces another of the same instance.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.sequence, self.gone) > (other.sequence, other.gone)
    }

    pub fn hash(&self) -> u64 {
        record_hash(&[self.instance.as_bytes(), &self.sequence.to_le_bytes(), &[self.gone.into()]])
    }
}
