//! One attempt of a request: at the local inbound proxy, or over a link at that of a peer.

use super::{Mesh, inbound, peer_calls};
use crate::logging::log_with;
use pomeloreach_core::call::CallResponse;
use pomeloreach_core::code::ResultCode;
use pomeloreach_core::event::Event;
use pomeloreach_core::mesh::message::{InboundRequest, InboundResponse};
use pomeloreach_wire::memory::Room;
use std::rc::Rc;
use std::sync::Arc;

/// Makes one attempt at the target of a peer, or at the local target if `peer` is `None`. `room` is for
/// the response. Dropping the future cancels the attempt.
pub async fn run(
    mesh: Rc<Mesh>,
    peer: Option<Arc<str>>,
    request: InboundRequest,
    room: Room,
) -> InboundResponse {
    let response = match &peer {
        None => run_locally(&mesh, request, room).await,
        Some(peer) => run_at_peer(&mesh, peer, request, room).await,
    };
    if response.response.is_valid() {
        return response;
    }
    log_with(Event::InputRefused, || {
        let CallResponse { code, http_status, .. } = &response.response;
        let peer = peer.as_deref().unwrap_or(&mesh.local.name);
        format!("peer={peer} reason=invalid result code={code} status={http_status}")
    });
    InboundResponse::failed(ResultCode::AnswerCut, true)
}

async fn run_locally(mesh: &Rc<Mesh>, request: InboundRequest, room: Room) -> InboundResponse {
    let (response, _cancel_on_drop) = inbound::submit(mesh, request, Some(room));
    let response = response.recv().await;
    response.unwrap_or_else(|_| InboundResponse::failed(ResultCode::AnswerLost, true))
}

async fn run_at_peer(
    mesh: &Rc<Mesh>,
    peer: &Arc<str>,
    request: InboundRequest,
    room: Room,
) -> InboundResponse {
    let Some(call) = peer_calls::send_call(mesh, peer, request, room) else {
        return InboundResponse::failed(ResultCode::TargetUnreachable, false);
    };
    let mut outstanding = OutstandingCall::new(mesh, peer);
    let Some(response) = call.response().await else {
        outstanding.is_lost = true;
        return if call.may_have_run() {
            InboundResponse::failed(ResultCode::AnswerLost, true)
        } else {
            InboundResponse::failed(ResultCode::TargetUnreachable, false)
        };
    };
    let is_target_gone = matches!(
        response.response.code,
        ResultCode::TargetDraining | ResultCode::WrongInstance | ResultCode::TargetUnreachable
    );
    if is_target_gone {
        mesh.peers.borrow_mut().mark_target_lapsed(peer);
    }
    response
}

/// Counts a call to a peer as outstanding until it is dropped.
struct OutstandingCall<'a> {
    mesh: &'a Mesh,
    peer: &'a str,
    /// Whether the link broke before the response arrived.
    is_lost: bool,
}

impl<'a> OutstandingCall<'a> {
    fn new(mesh: &'a Mesh, peer: &'a str) -> Self {
        mesh.peers.borrow_mut().call_started(peer);
        Self { mesh, peer, is_lost: false }
    }
}

impl Drop for OutstandingCall<'_> {
    fn drop(&mut self) {
        let now_ms = self.mesh.now_ms();
        self.mesh.peers.borrow_mut().call_ended(self.peer, self.is_lost, now_ms);
    }
}
