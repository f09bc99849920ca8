//! One attempt of a request: at the door of this daemon, or over a link at a peer's.

use super::door::{self, DoorCall};
use super::{Mesh, links};
use bytes::Bytes;
use pomeloreach_core::call::{CallRequest, CallResponse};
use pomeloreach_core::code::ResultCode;
use pomeloreach_core::mesh::message::{Call, CallTerms};
use std::rc::Rc;
use std::sync::Arc;

/// One attempt.
pub struct Job {
    pub mesh: Rc<Mesh>,
    /// The daemon beside the target; absent for the target beside this one.
    pub peer: Option<Arc<str>>,
    pub request: CallRequest,
    pub terms: CallTerms,
    pub body: Bytes,
    pub request_id: Arc<str>,
}

impl Job {
    pub async fn run(self) -> Attempt {
        match self.peer.clone() {
            None => self.run_here().await,
            Some(peer) => self.run_there(&peer).await,
        }
    }

    async fn run_here(self) -> Attempt {
        let Self { mesh, request, terms, body, request_id, .. } = self;
        let call = DoorCall { request, terms, body, request_id };
        let (answer, _cancel_on_drop) = door::submit(&mesh, call);
        match answer.recv().await {
            Ok(answer) => Attempt {
                response: answer.response,
                body: answer.body,
                reached_target: answer.reached_target,
                retry_after_ms: answer.retry_after_ms.into(),
                service_ms: answer.service_ms,
            },
            Err(_) => Attempt::failed(ResultCode::AnswerLost, true),
        }
    }

    async fn run_there(self, peer: &Arc<str>) -> Attempt {
        let Self { mesh, request, terms, body, .. } = self;
        let Some(sent) = links::call(&mesh, peer, Call { call: 0, request, terms, body }) else {
            return Attempt::failed(ResultCode::TargetUnreachable, false);
        };
        let mut outstanding = Outstanding::new(&mesh, peer);
        let Some(answer) = sent.answer().await else {
            outstanding.is_lost = true;
            return Attempt::failed(ResultCode::AnswerLost, true);
        };
        let is_gone = matches!(
            answer.response.code,
            ResultCode::TargetDraining | ResultCode::WrongInstance | ResultCode::TargetUnreachable
        );
        if is_gone {
            mesh.peers.borrow_mut().target_refused(peer);
        }
        Attempt {
            response: answer.response,
            body: answer.body,
            reached_target: answer.reached_target,
            retry_after_ms: answer.retry_after_ms.into(),
            service_ms: answer.service_ms,
        }
    }
}

/// What became of one attempt.
pub struct Attempt {
    pub response: CallResponse,
    pub body: Bytes,
    pub reached_target: bool,
    pub retry_after_ms: u64,
    pub service_ms: Option<u32>,
}

impl Attempt {
    pub fn failed(code: ResultCode, reached_target: bool) -> Self {
        let response = CallResponse::refusal(code, 0);
        Self { response, body: Bytes::new(), reached_target, retry_after_ms: 0, service_ms: None }
    }
}

/// Counts a call at a peer until it ends, however it ends.
struct Outstanding<'a> {
    mesh: &'a Mesh,
    peer: &'a str,
    is_lost: bool,
}

impl<'a> Outstanding<'a> {
    fn new(mesh: &'a Mesh, peer: &'a str) -> Self {
        mesh.peers.borrow_mut().call_began(peer);
        Self { mesh, peer, is_lost: false }
    }
}

impl Drop for Outstanding<'_> {
    fn drop(&mut self) {
        let now_ms = self.mesh.now_ms();
        self.mesh.peers.borrow_mut().call_ended(self.peer, self.is_lost, now_ms);
    }
}
