//! The calls of this daemon to the targets of peers.

use super::Mesh;
use super::links::{FrameSender, encode, encode_with_body};
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use pomeloreach_core::mesh::message::{
    Call, CallResult, InboundRequest, InboundResponse, LinkMessage,
};
use pomeloreach_wire::clock::boot_ms;
use pomeloreach_wire::memory::{Charge, Room, retry_until_some};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// A larger body is always offered, also on a link that is fast enough for it: a body that is sent whole
/// is in memory once more, and is received before the peer can refuse it.
const SENT_WHOLE_BYTES_MAX: usize = 1024 * 1024;

/// The calls on a link that wait for their results, by call id.
pub type PendingCalls = Rc<RefCell<BTreeMap<u64, WaitingCall>>>;

/// A call that waits for its result.
pub struct WaitingCall {
    result: Sender<CallResult>,
    /// The memory for the result.
    room: Room,
    /// The part of an offered body that was not sent yet.
    unsent_body: Bytes,
    /// The length of `unsent_body`, which the [`PendingCall`] reads after the link broke.
    unsent_bytes: Rc<Cell<usize>>,
}

/// A call that was sent. Dropping it before the response arrives cancels the call.
pub struct PendingCall {
    mesh: Rc<Mesh>,
    peer: Arc<str>,
    call_id: u64,
    pending: PendingCalls,
    result: Receiver<CallResult>,
    unsent_bytes: Rc<Cell<usize>>,
}

impl PendingCall {
    /// Waits for the response. Returns `None` if the link breaks.
    pub async fn response(&self) -> Option<InboundResponse> {
        Some(self.result.recv().await.ok()?.response)
    }

    /// Whether the peer may have the complete request, so that its target may have run it.
    pub fn may_have_run(&self) -> bool {
        self.unsent_bytes.get() == 0
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        if self.pending.borrow_mut().remove(&self.call_id).is_some() {
            self.mesh.links.send(&self.peer, &LinkMessage::Cancel { call_id: self.call_id });
        }
    }
}

/// Sends a call to a peer, or offers it without its body if the body would occupy the link of the
/// peer's VM for too long. `room` is for the result. Returns `None` if there is no link or its queue is
/// full; nothing was sent then.
pub fn send_call(
    mesh: &Rc<Mesh>,
    peer: &Arc<str>,
    mut request: InboundRequest,
    room: Room,
) -> Option<PendingCall> {
    let links = &mesh.links;
    let call_id = links.last_call_id.get() + 1;
    links.last_call_id.set(call_id);
    let unsent_body = if must_offer(mesh, peer, &request) {
        std::mem::take(&mut request.body)
    } else {
        Bytes::new()
    };
    let unsent_bytes = Rc::new(Cell::new(unsent_body.len()));
    let call = Call { call_id, sent_ms: boot_ms(), request };
    let message =
        if unsent_body.is_empty() { LinkMessage::Call(call) } else { LinkMessage::CallOffer(call) };
    let (result_sender, result) = async_channel::bounded(1);
    let pending = {
        let outgoing = links.outgoing.borrow();
        let link = outgoing.get(peer)?;
        let unsent_bytes = unsent_bytes.clone();
        let waiting = WaitingCall { result: result_sender, room, unsent_body, unsent_bytes };
        link.pending.borrow_mut().insert(call_id, waiting);
        let frame = encode_with_body(message);
        mesh.outbound_bodies.record_sent(frame.len() as u64);
        if !link.frames.send(frame) {
            link.pending.borrow_mut().remove(&call_id);
            return None;
        }
        link.pending.clone()
    };
    let (mesh, peer) = (mesh.clone(), peer.clone());
    Some(PendingCall { mesh, peer, call_id, pending, result, unsent_bytes })
}

fn must_offer(mesh: &Mesh, peer: &str, request: &InboundRequest) -> bool {
    if request.body.len() > SENT_WHOLE_BYTES_MAX {
        return true;
    }
    let peers = mesh.peers.borrow();
    let target = peers.get(peer).and_then(|peer| peer.state.as_ref()?.target.as_ref());
    target.is_some_and(|target| target.load.must_offer(request.body.len() as u64))
}

/// The memory for a result that follows. `None` if the call has ended.
pub fn result_charge(pending: &PendingCalls, call_id: u64, bytes: usize) -> Option<Charge> {
    Some(pending.borrow().get(&call_id)?.room.take_now(bytes))
}

/// Requests an announced result once there is room for it. Cancels the call if it has ended meanwhile, so
/// that the peer does not hold the result.
pub async fn request_result(
    pending: PendingCalls,
    frames: FrameSender,
    call_id: u64,
    body_bytes: u64,
) {
    let bytes = usize::try_from(body_bytes).unwrap_or(usize::MAX);
    let message = retry_until_some(|| match pending.borrow().get(&call_id) {
        None => Some(LinkMessage::Cancel { call_id }),
        Some(waiting) if waiting.room.try_extend(bytes) => {
            Some(LinkMessage::ResultRequest { call_id })
        }
        Some(_) => None,
    });
    // A link whose queue is full or closed is ending, and the call with it.
    frames.send(encode(&message.await));
}

/// Hands the result of a call to the task that waits for it.
pub fn handle_result(pending: &PendingCalls, result: CallResult) {
    let waiting = pending.borrow_mut().remove(&result.call_id);
    if let Some(waiting) = waiting {
        // The caller may have cancelled the request.
        waiting.result.try_send(result).ok();
    }
}

/// Sends the next bytes of an offered body. A request for the body of a call that has ended is
/// ignored.
pub fn send_body_part(pending: &PendingCalls, frames: &FrameSender, call_id: u64, bytes: u64) {
    let mut pending = pending.borrow_mut();
    let Some(waiting) = pending.get_mut(&call_id) else { return };
    let length = waiting.unsent_body.len().min(usize::try_from(bytes).unwrap_or(usize::MAX));
    if length == 0 {
        return;
    }
    let part = waiting.unsent_body.slice(..length);
    if frames.send(encode(&LinkMessage::BodyPart { call_id, bytes: part })) {
        waiting.unsent_body = waiting.unsent_body.slice(length..);
        waiting.unsent_bytes.set(waiting.unsent_body.len());
    } else {
        // Without this part the request can never run. Dropping it ends the call.
        pending.remove(&call_id);
    }
}
