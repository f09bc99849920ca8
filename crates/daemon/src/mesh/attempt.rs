//! One attempt of a request: at the door of this daemon, or over a link at a peer's.

use super::{Mesh, inbound, links};
use pomeloreach_core::code::ResultCode;
use pomeloreach_core::mesh::message::{InboundRequest, InboundResponse};
use std::rc::Rc;
use std::sync::Arc;

/// Makes one attempt at the target beside a peer, or beside this daemon if no peer is named.
/// Dropping the future cancels it.
pub async fn make(
    mesh: Rc<Mesh>,
    peer: Option<Arc<str>>,
    request: InboundRequest,
) -> InboundResponse {
    match peer {
        None => make_here(&mesh, request).await,
        Some(peer) => make_there(&mesh, &peer, request).await,
    }
}

async fn make_here(mesh: &Rc<Mesh>, request: InboundRequest) -> InboundResponse {
    let (answer, _cancel_on_drop) = inbound::submit(mesh, request);
    let answer = answer.recv().await;
    answer.unwrap_or_else(|_| InboundResponse::failed(ResultCode::AnswerLost, true))
}

async fn make_there(mesh: &Rc<Mesh>, peer: &Arc<str>, request: InboundRequest) -> InboundResponse {
    let Some(sent) = links::call(mesh, peer, request) else {
        return InboundResponse::failed(ResultCode::TargetUnreachable, false);
    };
    let mut outstanding = Outstanding::new(mesh, peer);
    let Some(answer) = sent.answer().await else {
        outstanding.is_lost = true;
        return InboundResponse::failed(ResultCode::AnswerLost, true);
    };
    let is_gone = matches!(
        answer.response.code,
        ResultCode::TargetDraining | ResultCode::WrongInstance | ResultCode::TargetUnreachable
    );
    if is_gone {
        mesh.peers.borrow_mut().mark_target_lapsed(peer);
    }
    answer
}

/// Counts a call at a peer until it ends, however it ends.
struct Outstanding<'a> {
    mesh: &'a Mesh,
    peer: &'a str,
    is_lost: bool,
}

impl<'a> Outstanding<'a> {
    fn new(mesh: &'a Mesh, peer: &'a str) -> Self {
        mesh.peers.borrow_mut().call_started(peer);
        Self { mesh, peer, is_lost: false }
    }
}

impl Drop for Outstanding<'_> {
    fn drop(&mut self) {
        let now_ms = self.mesh.now_ms();
        self.mesh.peers.borrow_mut().call_ended(self.peer, self.is_lost, now_ms);
    }
}
