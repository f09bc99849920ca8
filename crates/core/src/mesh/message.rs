//! The messages on a link between two daemons.
//!
//! Each daemon opens one link to each peer. The daemon that opened it sends calls; the other one
//! sends its state, answers and row changes.

use crate::call::{CallRequest, CallResponse};
use crate::code::ResultCode;
use crate::mesh::heartbeat::TargetStart;
use crate::mesh::state::{ConfigState, DaemonRecord, DaemonState, TargetLoad};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// One message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LinkMessage {
    /// The first message of the daemon that opened the link, with how many daemons it knows.
    Hello {
        sender: DaemonRecord,
        known_count: u32,
    },
    /// The first message of the other one.
    Welcome {
        sender: DaemonRecord,
        known_count: u32,
        /// All daemons that it knows, if the other one knows fewer.
        known_daemons: Vec<DaemonRecord>,
        state: DaemonState,
        /// Targets that left lately, which a daemon that starts again does not know.
        departed: Vec<TargetStart>,
    },
    /// Sent after a welcome to a daemon that knows fewer peers.
    KnownDaemons(Vec<DaemonRecord>),
    State(DaemonState),
    /// How busy the target is, between two states.
    Load(TargetLoad),
    /// Which version is in force, and how fresh the knowledge of it is.
    Config(ConfigState),
    /// Shows the accepting daemon that the link is alive.
    Ping,
    Call(Call),
    Cancel {
        call_id: u64,
    },
    CallResult(CallResult),
    /// Asks for what turns a held version into the newest one.
    ConfigRequest {
        held_version: u64,
    },
    /// A [`crate::mesh::delta::Delta`] as compressed JSON: rows leave defaults out, which the
    /// links' own encoding cannot express.
    ConfigDelta {
        delta: Bytes,
    },
}

/// A request for the door of a target, over a link.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Call {
    pub call_id: u64,
    pub request: InboundRequest,
}

/// A request for the door of a target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InboundRequest {
    pub request: CallRequest,
    pub terms: AdmissionTerms,
    pub body: Bytes,
}

/// What the door of the target decides by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionTerms {
    /// The time left until the caller's latency goal, in milliseconds.
    pub goal_ms: u64,
    /// The rank of the request; a lower one goes first.
    pub rank: u8,
    pub is_idempotent: bool,
    /// How long such a request usually takes at a target, in milliseconds; absent if unknown.
    pub service_ms: Option<u32>,
    /// The wait at the door beyond which the request is better placed elsewhere, in milliseconds;
    /// absent if there is no better place.
    pub wait_max_ms: Option<u32>,
}

/// What became of a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallResult {
    pub call_id: u64,
    pub response: InboundResponse,
    pub load: TargetLoad,
}

/// What became of a request at the door of a target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InboundResponse {
    pub response: CallResponse,
    /// Whether the request reached the target, which may have refused it.
    pub reached_target: bool,
    /// After a refusal: when the door expects to have room, in milliseconds.
    pub retry_after_ms: u32,
    /// How long the request took at the target, in milliseconds; absent if it did not run.
    pub service_ms: Option<u32>,
    pub body: Bytes,
}

impl InboundResponse {
    /// The end of an attempt that the door never answered.
    pub fn failed(code: ResultCode, reached_target: bool) -> Self {
        let response = CallResponse::refusal(code, 0);
        Self { response, reached_target, retry_after_ms: 0, service_ms: None, body: Bytes::new() }
    }
}
