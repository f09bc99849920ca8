//! The messages on a link between two daemons.
//!
//! A daemon opens one link to each peer that [`crate::mesh::topology`] chooses. The daemon that
//! opened a link sends calls on it; the peer that accepted it sends its state, call results and
//! configuration changes. Two daemons that both send calls to each other have two links.

use crate::call::{CallRequest, CallResponse};
use crate::code::ResultCode;
use crate::mesh::heartbeat::{DepartedTarget, TargetStart};
use crate::mesh::quota::{CreditGrant, CreditRequest, LoanMessage};
use crate::mesh::state::{ConfigState, DaemonRecord, DaemonState, TargetLoad};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use strum::IntoStaticStr;

/// One message on a link.
#[derive(Clone, Debug, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum LinkMessage {
    /// The first message of the daemon that opened the link.
    Hello {
        sender: DaemonRecord,
        /// As in [`Call::sent_ms`].
        sent_ms: u64,
        /// The target of the accepting daemon, if an earlier process of that daemon reported it as
        /// ready a short time ago.
        recent_target: Option<TargetStart>,
    },
    /// The first message of the daemon that accepted the link.
    Welcome {
        sender: DaemonRecord,
        /// The number of daemons that the sender knows, itself included.
        known_count: u32,
        state: DaemonState,
        /// Targets that left recently, which a daemon that has restarted does not know.
        departed: Vec<DepartedTarget>,
    },
    /// Requests the daemons that the accepting daemon knows.
    DaemonsRequest,
    /// All daemons that the sender knows, itself included.
    KnownDaemons(Vec<DaemonRecord>),
    /// The whole state of the sender.
    State(DaemonState),
    /// The load of the sender's target, sent between two states.
    Load(TargetLoad),
    /// The version that the sender holds, and when it was last confirmed.
    Config(ConfigState),
    /// Sent regularly by the daemon that opened the link: the accepting daemon closes a link on
    /// which it receives nothing.
    Ping,
    /// A request for the accepting daemon's target.
    Call(Call),
    /// A call without its body, which is sent in parts once the accepting daemon requests them.
    CallOffer(Call),
    /// Requests the next bytes of the body of an offered call.
    BodyRequest { call_id: u64, bytes: u64 },
    /// The next bytes of the body of an offered call.
    BodyPart { call_id: u64, bytes: Bytes },
    /// Cancels a call.
    Cancel { call_id: u64 },
    /// The result of a call.
    CallResult(CallResult),
    /// Requests the changes from a held version to the newest one.
    ConfigRequest { held_version: u64 },
    /// A [`crate::mesh::delta::Delta`] as compressed JSON, because rows omit default values, which
    /// the binary encoding of the links cannot express.
    ConfigDelta { delta: Bytes },
    /// Requests credit for accounts with a quota from the keeper of the zone.
    CreditRequest(CreditRequest),
    /// The keeper's response to a request for credit.
    CreditGrant(CreditGrant),
    /// Requests or grants loans between the keepers of two zones.
    Loan(LoanMessage),
    /// Announces the result of a call whose body exceeds what was expected of it, and so what the daemon
    /// that sent the call has reserved.
    ResultOffer { call_id: u64, body_bytes: u64 },
    /// Requests an announced result. The sender has room for it.
    ResultRequest { call_id: u64 },
}

impl LinkMessage {
    /// The body of a call or of its result, which is sent behind the message: it is neither copied into
    /// it nor out of it.
    pub fn body_mut(&mut self) -> Option<&mut Bytes> {
        match self {
            Self::Call(call) => Some(&mut call.request.body),
            Self::CallResult(result) => Some(&mut result.response.body),
            _ => None,
        }
    }

    /// The number of bytes that follow a message as it was received; 0 if it contains its body.
    pub fn following_bytes(&self) -> u64 {
        let (body, body_bytes) = match self {
            Self::Call(call) => (&call.request.body, call.request.request.body_bytes),
            Self::CallResult(result) => {
                (&result.response.body, result.response.response.body_bytes)
            }
            _ => return 0,
        };
        if body.is_empty() { body_bytes } else { 0 }
    }
}

/// An inbound request that is sent over a link.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Call {
    /// Identifies the call among those of the sending daemon.
    pub call_id: u64,
    /// When the call was sent, in milliseconds by a clock of the sender that counts the time for
    /// which its VM was suspended.
    pub sent_ms: u64,
    pub request: InboundRequest,
}

/// A request for the inbound proxy of a target, from its own daemon or from a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InboundRequest {
    pub request: CallRequest,
    pub terms: AdmissionTerms,
    pub body: Bytes,
}

impl InboundRequest {
    /// Takes into account that time has passed since the times left were determined.
    pub fn elapse(&mut self, elapsed_ms: u64) {
        self.request.left_ms = self.request.left_ms.saturating_sub(elapsed_ms);
        self.terms.goal_left_ms = self.terms.goal_left_ms.saturating_sub(elapsed_ms);
    }
}

/// The properties of a request, besides its deadline, that decide its admission to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionTerms {
    /// The time left until the caller's latency goal, in milliseconds.
    pub goal_left_ms: u64,
    /// The priority rank of the request; a lower one goes first.
    pub rank: u8,
    pub is_idempotent: bool,
    /// The typical service time of the route at a target, in milliseconds; absent if unknown.
    pub service_ms: Option<u32>,
    /// The longest useful wait in the queue, in milliseconds; after a longer one another target
    /// would have been better. Absent if no other target meets the latency goal.
    pub wait_max_ms: Option<u32>,
    /// The client account of the caller; absent for requests without a key.
    pub account: Option<Arc<str>>,
    /// The expected size of the response's body, for which the origin has reserved memory.
    pub response_bytes: u32,
}

/// The result of a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallResult {
    pub call_id: u64,
    pub response: InboundResponse,
    /// The load of the target after the call.
    pub load: TargetLoad,
}

/// The inbound proxy's response to a request: the response of the target, or a refusal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InboundResponse {
    pub response: CallResponse,
    /// Whether the request reached the target. The target may still have refused it.
    pub reached_target: bool,
    /// After a refusal: the expected time until the target can accept a request, in milliseconds.
    pub retry_after_ms: u32,
    /// How long the request took at the target, in milliseconds; absent if it did not run.
    pub service_ms: Option<u32>,
    pub body: Bytes,
}

impl InboundResponse {
    /// The result of an attempt to which the inbound proxy sent no response.
    pub fn failed(code: ResultCode, reached_target: bool) -> Self {
        let response = CallResponse::refusal(code, 0);
        Self { response, reached_target, retry_after_ms: 0, service_ms: None, body: Bytes::new() }
    }
}
