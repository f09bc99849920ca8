//! The large bodies of this daemon's own calls: their parts are sent at the rate of this VM's link.

use super::Mesh;
use super::bodies::BYTES_PER_MS_PER_MBPS;
use super::links::FrameSender;
use super::peer_calls::{self, PendingCalls};
use async_channel::{Receiver, Sender};
use pomeloreach_core::mesh::link_pacer::LinkPacer;
use pomeloreach_wire::clock::sleep_ms;
use std::cell::RefCell;
use std::rc::Rc;

/// A part that the peer has requested.
pub struct RequestedPart {
    pub pending: PendingCalls,
    pub frames: FrameSender,
    pub call_id: u64,
    pub bytes: u64,
}

/// The parts that peers have requested, in the order of the requests.
pub struct OutboundBodies {
    pacer: RefCell<LinkPacer>,
    requested: (Sender<RequestedPart>, Receiver<RequestedPart>),
}

impl OutboundBodies {
    pub fn new(link_mbps: f64) -> Self {
        let pacer = RefCell::new(LinkPacer::new(link_mbps * BYTES_PER_MS_PER_MBPS));
        Self { pacer, requested: async_channel::unbounded() }
    }

    /// Queues a part. A peer requests no more parts than it has offers, so the queue is bounded by
    /// the requests of this daemon's callers.
    pub fn queue(&self, part: RequestedPart) {
        // The queue is closed only when the daemon exits.
        self.requested.0.try_send(part).ok();
    }

    /// Counts bytes that were sent and were no parts.
    pub fn record_sent(&self, bytes: u64) {
        self.pacer.borrow_mut().record(bytes);
    }
}

/// Sends the requested parts as the link has room for them. Parts of calls that have ended meanwhile
/// are left out.
pub async fn send_parts(mesh: Rc<Mesh>) {
    let outbound = &mesh.outbound_bodies;
    while let Ok(part) = outbound.requested.1.recv().await {
        let RequestedPart { pending, frames, call_id, mut bytes } = part;
        while bytes > 0 && pending.borrow().contains_key(&call_id) {
            // A peer with a faster link requests larger parts.
            let sent_bytes = bytes.min(outbound.pacer.borrow().part_bytes());
            if outbound.pacer.borrow_mut().try_take(mesh.now_ms(), sent_bytes) {
                peer_calls::send_body_part(&pending, &frames, call_id, sent_bytes);
                bytes -= sent_bytes;
            } else {
                let wait_ms = outbound.pacer.borrow().next_part_in_ms();
                sleep_ms(wait_ms.max(1)).await;
            }
        }
    }
}
