//! Endpoint records: the state that a daemon publishes of itself and of its local target.

use crate::digest::record_hash;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use strum::{Display, EnumString};

/// The state that a target announces to its daemon.
#[derive(
    Clone, Copy, Debug, Display, EnumString, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    Starting,
    Ready,
    Draining,
    /// The target has made no announcement, or the lease of the last one has ended. Set by the
    /// daemon.
    Lapsed,
}

/// The record of one daemon and its target. Only that daemon writes it, except for `gone`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Unique for each start of a daemon, so that a restarted daemon is not mistaken for its
    /// predecessor.
    pub instance: Arc<str>,
    /// Increases with each change of the record; the record with the highest sequence is valid.
    pub sequence: u64,
    pub service: Arc<str>,
    pub state: TargetState,
    pub region: Arc<str>,
    pub zone: Arc<str>,
    /// The address where the target's daemon accepts calls from other daemons.
    pub addr: SocketAddr,
    /// Maximum number of requests that the target runs at once.
    pub slots: u16,
    /// Set by the failure detector of another daemon. If the daemon of this record is alive, it
    /// refutes it by publishing its record with a higher sequence.
    pub gone: bool,
}

impl Endpoint {
    /// Whether this record replaces another of the same instance.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.sequence, self.gone) > (other.sequence, other.gone)
    }

    /// A hash of the fields that tell two states of a record apart. The other fields need not be
    /// included, because each change of them raises the sequence.
    pub fn hash(&self) -> u64 {
        record_hash(&[self.instance.as_bytes(), &self.sequence.to_le_bytes(), &[self.gone.into()]])
    }
}
