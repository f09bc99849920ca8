//! The large bodies of inbound calls: offered by peers, and requested in parts at the rate of this
//! VM's link.

use super::Mesh;
use super::links::{FrameSender, encode};
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use event_listener::Event as Notify;
use futures_lite::future::or;
use pomeloreach_core::code::ResultCode;
use pomeloreach_core::mesh::body_transfers::{BodyOffer, BodyTransfers};
use pomeloreach_core::mesh::message::{InboundRequest, LinkMessage};
use pomeloreach_wire::clock::{sleep_ms, within_ms};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The longest pause between two looks at offers that wait, in milliseconds.
const POLL_MS_MAX: u64 = 25;
/// Bits per second in a megabit per second, divided by the bits of a byte and the milliseconds of a
/// second.
pub const BYTES_PER_MS_PER_MBPS: f64 = 125.0;

/// An offered call whose body is not complete.
struct OfferedCall {
    call_id: u64,
    frames: FrameSender,
    refusal: Sender<ResultCode>,
}

struct BodiesState {
    transfers: BodyTransfers,
    /// The offered calls by ticket.
    calls: BTreeMap<u64, OfferedCall>,
    last_ticket: u64,
}

/// The bodies that are offered to this daemon.
pub struct InboundBodies {
    state: RefCell<BodiesState>,
    /// Wakes [`request_parts`] after an offer.
    offered: Notify,
}

impl InboundBodies {
    pub fn new(link_mbps: f64) -> Self {
        let state = BodiesState {
            transfers: BodyTransfers::new(link_mbps * BYTES_PER_MS_PER_MBPS),
            calls: BTreeMap::new(),
            last_ticket: 0,
        };
        Self { state: RefCell::new(state), offered: Notify::new() }
    }

    /// The expected wait of a new body in milliseconds, and the rate of bodies in bytes per
    /// millisecond.
    pub fn load(&self) -> (u32, u32) {
        let state = self.state.borrow();
        (state.transfers.wait_ms() as u32, state.transfers.bytes_per_ms() as u32)
    }

    /// Counts bytes that crossed the link without having been requested.
    pub fn record_received(&self, bytes: u64) {
        self.state.borrow_mut().transfers.record_received(bytes);
    }
}

/// Removes an offered call when it is dropped.
struct OfferGuard<'a> {
    mesh: &'a Mesh,
    ticket: u64,
}

impl Drop for OfferGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.mesh.bodies.state.borrow_mut();
        if state.calls.remove(&self.ticket).is_some() {
            state.transfers.cancel(self.ticket);
        }
    }
}

/// Receives the body of an offered call. Fails if the body cannot arrive in time; the request has
/// not run then.
pub async fn receive(
    mesh: &Mesh,
    call_id: u64,
    request: &InboundRequest,
    parts: &Receiver<Bytes>,
    frames: FrameSender,
) -> Result<Bytes, ResultCode> {
    let body_bytes = request.request.body_bytes;
    let capacity = usize::try_from(body_bytes).map_err(|_| ResultCode::MemoryFull)?;
    let (refusal, refused) = async_channel::bounded(1);
    let _guard = offer(mesh, request, OfferedCall { call_id, frames, refusal })?;
    let receiving = async {
        // An offer that waits for its turn needs no memory.
        let first = parts.recv().await.map_err(|_| ResultCode::RequestCut)?;
        let charge = mesh.memory.try_charge(capacity).ok_or(ResultCode::MemoryFull)?;
        let mut body = Vec::new();
        body.try_reserve_exact(capacity).map_err(|_| ResultCode::MemoryFull)?;
        body.extend_from_slice(&first);
        drop(first);
        while body.len() < capacity {
            let part = parts.recv().await.map_err(|_| ResultCode::RequestCut)?;
            body.extend_from_slice(&part);
        }
        if body.len() == capacity { Ok(charge.attach(body)) } else { Err(ResultCode::RequestCut) }
    };
    let refusing = async { Err(refused.recv().await.unwrap_or(ResultCode::TargetDraining)) };
    let received = within_ms(request.request.left_ms, or(receiving, refusing)).await;
    received.unwrap_or(Err(ResultCode::DeadlineBeforeRun))
}

/// Queues an offered call, or refuses it at once.
fn offer<'a>(
    mesh: &'a Mesh,
    request: &InboundRequest,
    call: OfferedCall,
) -> Result<OfferGuard<'a>, ResultCode> {
    let now_ms = mesh.now_ms();
    let service_ms = u64::from(request.terms.service_ms.unwrap_or_default());
    let mut state = mesh.bodies.state.borrow_mut();
    state.last_ticket += 1;
    let ticket = state.last_ticket;
    let offer = BodyOffer {
        ticket,
        body_bytes: request.request.body_bytes,
        rank: request.terms.rank,
        goal_ms: now_ms + request.terms.goal_left_ms.saturating_sub(service_ms),
        deadline_ms: now_ms + request.request.left_ms.saturating_sub(service_ms),
        wait_max_ms: request.terms.wait_max_ms.map(f64::from),
    };
    state.transfers.offer(now_ms, offer)?;
    state.calls.insert(ticket, call);
    mesh.bodies.offered.notify(usize::MAX);
    Ok(OfferGuard { mesh, ticket })
}

impl BodiesState {
    fn refuse(&mut self, ticket: u64, code: ResultCode) {
        if let Some(call) = self.calls.remove(&ticket) {
            // The caller may have cancelled the request.
            call.refusal.try_send(code).ok();
        }
    }

    /// Requests one part of a body if the link has room, and refuses the bodies that would be late.
    /// Returns how long to wait before the next call, in milliseconds.
    fn request_part(&mut self, now_ms: u64) -> u64 {
        for ticket in self.transfers.take_expired(now_ms) {
            self.refuse(ticket, ResultCode::DeadlineBeforeRun);
        }
        let Some(part) = self.transfers.next_part(now_ms) else {
            return self.transfers.next_part_in_ms().clamp(1, POLL_MS_MAX);
        };
        if let Some(call) = self.calls.get(&part.ticket) {
            let (call_id, bytes) = (call.call_id, part.bytes);
            if !call.frames.send(encode(&LinkMessage::BodyRequest { call_id, bytes })) {
                self.transfers.cancel(part.ticket);
                self.refuse(part.ticket, ResultCode::TargetFull);
            }
        }
        0
    }
}

/// Requests the parts of offered bodies as the link has room for them.
pub async fn request_parts(mesh: Rc<Mesh>) {
    let bodies = &mesh.bodies;
    loop {
        let offered = bodies.offered.listen();
        if bodies.state.borrow().transfers.is_idle() {
            offered.await;
        }
        let wait_ms = bodies.state.borrow_mut().request_part(mesh.now_ms());
        if wait_ms > 0 {
            sleep_ms(wait_ms).await;
        }
    }
}
