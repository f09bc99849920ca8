//! The links that peers opened. They carry the peers' calls to the local target.

use super::in_flight::InFlightGuard;
use super::inbound::{self, CancelOnDrop};
use super::links::{
    FrameSender, IncomingLink, LinkError, LinkReader, OPEN_TIMEOUT_MS, daemon_count, encode,
    encode_with_body, write_frames,
};
use super::{Mesh, bodies, listener, quota};
use crate::logging::log_event;
use async_channel::Sender;
use async_net::{TcpListener, TcpStream};
use bytes::Bytes;
use futures_lite::future::pending;
use pomeloreach_core::code::ResultCode;
use pomeloreach_core::event::Event;
use pomeloreach_core::mesh::dissemination::Distance;
use pomeloreach_core::mesh::message::{CallResult, InboundRequest, InboundResponse, LinkMessage};
use pomeloreach_core::mesh::peers::RecordSource;
use pomeloreach_core::mesh::quota::LoanMessage;
use pomeloreach_core::mesh::transit::TransitClock;
use pomeloreach_wire::clock::boot_ms;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::Shutdown;
use std::rc::Rc;

/// How long a link may stay without a message before it is closed, in milliseconds.
const INCOMING_SILENCE_MS_MAX: u64 = 8_000;

/// Accepts the links of peers.
pub async fn accept(mesh: Rc<Mesh>, listener: TcpListener) {
    let serve = |stream| serve_link(mesh.clone(), stream);
    listener::serve_each(&mesh, listener, pending(), serve).await;
}

async fn serve_link(mesh: Rc<Mesh>, stream: TcpStream) {
    let mut link_id = None;
    let result = run_incoming(&mesh, stream, &mut link_id).await;
    if let Some(link_id) = link_id {
        mesh.links.incoming.borrow_mut().remove(&link_id);
    }
    if let Err(LinkError::UnexpectedMessage) = result {
        log_event(Event::InputRefused, "reason=unexpected kind of message on an incoming link");
    }
}

/// Serves a link until it ends. Sets `link_id` once the link is in the table.
async fn run_incoming(
    mesh: &Rc<Mesh>,
    stream: TcpStream,
    link_id: &mut Option<u64>,
) -> Result<(), LinkError> {
    // A failure is ignored: without this option, responses only take longer.
    stream.set_nodelay(true).ok();
    let mut reader = LinkReader::new(stream.clone());
    let hello = reader.read(mesh, OPEN_TIMEOUT_MS, |_, _| None).await?;
    let LinkMessage::Hello { sender, sent_ms, recent_target } = hello else {
        return Err(LinkError::UnexpectedMessage);
    };
    let (name, region, zone) = (sender.name.clone(), sender.region.clone(), sender.zone.clone());
    let (frames, queued) = FrameSender::new(mesh.memory.clone());
    let known_count = daemon_count(mesh);
    let departed = mesh.peers.borrow().departed(mesh.now_ms());
    if let Some(start) = recent_target {
        mesh.local_target.borrow_mut().set_recent(start);
    }
    let (local_record, state) = (mesh.local.clone(), mesh.state());
    let welcome = LinkMessage::Welcome { sender: local_record, known_count, state, departed };
    frames.send(encode(&welcome));
    let mut transit = TransitClock::default();
    transit.transit_ms(sent_ms, boot_ms());
    let distance = Distance::between(&mesh.local, &sender);
    reader.distance = distance;
    mesh.peers.borrow_mut().update_record(sender, RecordSource::Owner, mesh.now_ms());
    mesh.peers.borrow_mut().reset_redial(&name, mesh.now_ms());
    // The reading half stays open until the peer has received the last result and closes the link.
    mesh.spawn(write_frames(stream, queued, Shutdown::Write));
    let id = mesh.links.last_incoming_id.get() + 1;
    mesh.links.last_incoming_id.set(id);
    let link = IncomingLink {
        frames: frames.clone(),
        peer: name.clone(),
        region,
        zone,
        distance,
        reported_ms: Cell::new(mesh.now_ms()),
        state_reported_ms: Cell::new(mesh.now_ms()),
    };
    mesh.links.incoming.borrow_mut().insert(id, link);
    *link_id = Some(id);
    // The calls in progress. Clearing the table cancels them when the peer is gone.
    let running = Rc::new(RefCell::new(BTreeMap::new()));
    let result = async {
        loop {
            let charge = |_: &LinkMessage, bytes| mesh.memory.try_charge(bytes);
            let message = reader.read(mesh, INCOMING_SILENCE_MS_MAX, charge).await?;
            if frames.is_closed() {
                // The result of a call could not be sent any more.
                continue;
            }
            match message {
                LinkMessage::Ping => {}
                LinkMessage::DaemonsRequest => {
                    let records = mesh.peers.borrow().records();
                    frames.send(encode(&LinkMessage::KnownDaemons(records)));
                }
                LinkMessage::Call(mut call) => {
                    let transit_ms = transit.transit_ms(call.sent_ms, boot_ms());
                    call.request.elapse(transit_ms);
                    serve_complete_call(mesh, call.call_id, call.request, &running, &frames);
                }
                LinkMessage::CallOffer(mut call) => {
                    let transit_ms = transit.transit_ms(call.sent_ms, boot_ms());
                    call.request.elapse(transit_ms);
                    serve_offer(mesh, call.call_id, call.request, &running, &frames);
                }
                LinkMessage::BodyPart { call_id, bytes } => {
                    if let Some(RunningCall::Offered(parts)) = running.borrow().get(&call_id) {
                        // The request may have been refused meanwhile.
                        parts.try_send(bytes).ok();
                    }
                }
                LinkMessage::Cancel { call_id } => {
                    running.borrow_mut().remove(&call_id);
                }
                LinkMessage::ResultRequest { call_id } => {
                    let offered = running.borrow_mut().remove(&call_id);
                    if let Some(RunningCall::ResultOffered { response, .. }) = offered {
                        send_result(mesh, &frames, call_id, response);
                    }
                }
                LinkMessage::ConfigRequest { held_version } => {
                    if let Some(delta) = mesh.config.delta_since(held_version) {
                        frames.send(encode(&LinkMessage::ConfigDelta { delta }));
                    }
                }
                LinkMessage::CreditRequest(request) => {
                    frames.send(quota::serve_credit_request(mesh, &name, &request));
                }
                LinkMessage::Loan(LoanMessage::Request(request)) => {
                    if let Some(grant) = quota::serve_loan_request(mesh, &name, &request) {
                        frames.send(grant);
                    }
                }
                _ => return Err(LinkError::UnexpectedMessage),
            }
        }
    }
    .await;
    running.borrow_mut().clear();
    frames.close();
    result
}

/// A call of a peer that has no result yet. Removing it from the table cancels the call.
enum RunningCall {
    /// The body is being received; its parts are sent to the task that collects them.
    Offered(Sender<Bytes>),
    /// The request is at the inbound proxy.
    Submitted { _cancel: CancelOnDrop },
    /// The result was announced, and is held until the peer requests it.
    ResultOffered { response: InboundResponse, _held: InFlightGuard },
}

type RunningCalls = Rc<RefCell<BTreeMap<u64, RunningCall>>>;

/// Starts a call that came with its body, or refuses it if the memory budget had no room for the body.
fn serve_complete_call(
    mesh: &Rc<Mesh>,
    call_id: u64,
    request: InboundRequest,
    running: &RunningCalls,
    frames: &FrameSender,
) {
    if request.body.len() as u64 == request.request.body_bytes {
        serve_call(mesh, call_id, request, running, frames);
    } else {
        let response = inbound::refuse(mesh, &request, ResultCode::MemoryFull);
        send_result(mesh, frames, call_id, response);
    }
}

/// Starts a call of a peer at the local inbound proxy, and sends its result on the link.
fn serve_call(
    mesh: &Rc<Mesh>,
    call_id: u64,
    request: InboundRequest,
    running: &RunningCalls,
    frames: &FrameSender,
) {
    let room_bytes = u64::from(request.terms.response_bytes);
    let (response, cancel) = inbound::submit(mesh, request, None);
    running.borrow_mut().insert(call_id, RunningCall::Submitted { _cancel: cancel });
    let (mesh, running, frames) = (mesh.clone(), running.clone(), frames.clone());
    mesh.clone().spawn(async move {
        let response = response.recv().await;
        let is_awaited = running.borrow_mut().remove(&call_id).is_some();
        let Ok(response) = response else { return };
        let body_bytes = response.body.len() as u64;
        if !is_awaited {
            // The peer has cancelled the call.
        } else if body_bytes <= room_bytes {
            send_result(&mesh, &frames, call_id, response);
        } else if frames.send(encode(&LinkMessage::ResultOffer { call_id, body_bytes })) {
            let held = InFlightGuard::new(&mesh, |mesh| &mesh.links.offered_results);
            let offered = RunningCall::ResultOffered { response, _held: held };
            running.borrow_mut().insert(call_id, offered);
        } else {
            frames.close();
        }
    });
}

/// Receives the body of an offered call, then starts the call like any other.
fn serve_offer(
    mesh: &Rc<Mesh>,
    call_id: u64,
    mut request: InboundRequest,
    running: &RunningCalls,
    frames: &FrameSender,
) {
    let (part_sender, parts) = async_channel::unbounded();
    running.borrow_mut().insert(call_id, RunningCall::Offered(part_sender));
    let (mesh, running, frames) = (mesh.clone(), running.clone(), frames.clone());
    mesh.clone().spawn(async move {
        let offered_ms = mesh.now_ms();
        let received = bodies::receive(&mesh, call_id, &request, &parts, frames.clone()).await;
        if running.borrow_mut().remove(&call_id).is_none() {
            return;
        }
        match received {
            Ok(body) => {
                request.elapse(mesh.now_ms() - offered_ms);
                request.body = body;
                serve_call(&mesh, call_id, request, &running, &frames);
            }
            Err(code) => {
                let response = inbound::refuse(&mesh, &request, code);
                send_result(&mesh, &frames, call_id, response);
            }
        }
    });
}

fn send_result(mesh: &Mesh, frames: &FrameSender, call_id: u64, response: InboundResponse) {
    let load = mesh.target_load();
    let message = LinkMessage::CallResult(CallResult { call_id, response, load });
    let frame = encode_with_body(message);
    mesh.outbound_bodies.record_sent(frame.len() as u64);
    if !frames.send(frame) {
        // Closing the link tells the peer that the response will not come.
        frames.close();
    }
}
