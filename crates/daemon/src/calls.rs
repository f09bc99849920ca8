//! Calls between daemons: one QUIC stream each, a head and a body in each direction.

use crate::links::STREAM_CALL;
use crate::runtime::Shared;
use pomeloreach_core::call::{BODY_BYTES_MAX, CallRequest, CallResponse, HEAD_BYTES_MAX};
use pomeloreach_core::code::ResultCode;
use pomeloreach_core::endpoint::Endpoint;
use pomeloreach_wire::clock::within_ms;
use pomeloreach_wire::frame;
use quinn::{RecvStream, SendStream};
use std::sync::Arc;

/// How long opening a connection may take, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// How long a daemon may take to send a call whose stream it opened, in milliseconds.
const RECEIVE_TIMEOUT_MS: u64 = 10_000;

/// A call's answer with its body.
pub struct FullCallResponse {
    pub head: CallResponse,
    pub body: Vec<u8>,
}

impl FullCallResponse {
    pub fn refusal(code: ResultCode, in_flight: u16) -> Self {
        Self { head: CallResponse::refusal(code, in_flight), body: Vec::new() }
    }
}

/// Makes one call. Until the stream is open nothing was sent, so that failing there is "not run";
/// after that, only the other daemon's word can say so.
pub async fn send_call(
    shared: &Shared,
    target: &Endpoint,
    request: &CallRequest,
    body: &Arc<Vec<u8>>,
    timeout_ms: u64,
) -> Result<FullCallResponse, ResultCode> {
    let now_ms = shared.clock.now_ms();
    let opening = async {
        let connection = shared.peer_connections.pooled(target.addr, now_ms).await?;
        connection.open_bi().await.ok()
    };
    let opened = within_ms(timeout_ms.min(CONNECT_TIMEOUT_MS), opening).await.flatten();
    let Some((send, receive)) = opened else {
        shared.peer_connections.remove(target.addr);
        return Err(ResultCode::TargetUnreachable);
    };
    let left_ms = timeout_ms.saturating_sub(shared.clock.now_ms() - now_ms);
    match within_ms(left_ms, exchange(send, receive, request, body)).await {
        Some(Some(answer)) => Ok(answer),
        Some(None) => {
            shared.peer_connections.remove(target.addr);
            Err(ResultCode::AnswerLost)
        }
        None => {
            shared.peer_connections.remove(target.addr);
            Err(ResultCode::DeadlineAfterRun)
        }
    }
}

/// Dropping this future resets the stream, which cancels the call at the other end.
async fn exchange(
    send: SendStream,
    mut receive: RecvStream,
    request: &CallRequest,
    body: &[u8],
) -> Option<FullCallResponse> {
    let mut send = CancelOnDrop { stream: send, finished: false };
    let mut bytes = vec![STREAM_CALL];
    bytes.extend(frame::encode(request));
    send.stream.write_all(&bytes).await.ok()?;
    send.stream.write_all(body).await.ok()?;
    let head: CallResponse = frame::read(&mut receive, HEAD_BYTES_MAX).await.ok()?;
    let body_bytes = usize::try_from(head.body_bytes).ok()?;
    if body_bytes > BODY_BYTES_MAX {
        return None;
    }
    let body = frame::read_bytes(&mut receive, body_bytes).await.ok()?;
    send.finished = true;
    send.stream.finish().ok();
    Some(FullCallResponse { head, body })
}

/// The sending side stays open until the answer is here; ending it before means to cancel.
struct CancelOnDrop {
    stream: SendStream,
    finished: bool,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.finished {
            self.stream.reset(0u32.into()).ok();
        }
    }
}

/// Serves a call that another daemon makes to the target beside this one.
pub async fn serve_call(shared: Arc<Shared>, mut send: SendStream, mut receive: RecvStream) {
    let received = within_ms(RECEIVE_TIMEOUT_MS, receive_call(&mut receive)).await.flatten();
    let Some((request, body)) = received else {
        let answer = FullCallResponse::refusal(ResultCode::RequestCut, shared.inbound.in_flight());
        return send_answer(&mut send, &answer).await;
    };
    let answer = {
        let running = async { Some(crate::inbound::handle_call(&shared, &request, body).await) };
        let cancelled = async {
            // The caller's daemon sends nothing more; an end here is its farewell.
            receive.read_to_end(1).await.ok();
            None
        };
        futures_lite::future::or(running, cancelled).await
    };
    if let Some(answer) = answer {
        send_answer(&mut send, &answer).await;
    }
}

async fn receive_call(receive: &mut RecvStream) -> Option<(CallRequest, Vec<u8>)> {
    let request: CallRequest = frame::read(receive, HEAD_BYTES_MAX).await.ok()?;
    let body_bytes = usize::try_from(request.body_bytes).ok()?;
    if body_bytes > BODY_BYTES_MAX {
        return None;
    }
    let body = frame::read_bytes(receive, body_bytes).await.ok()?;
    Some((request, body))
}

async fn send_answer(send: &mut SendStream, answer: &FullCallResponse) {
    let sending = async {
        send.write_all(&frame::encode(&answer.head)).await.ok()?;
        send.write_all(&answer.body).await.ok()?;
        send.finish().ok()?;
        send.stopped().await.ok()
    };
    within_ms(RECEIVE_TIMEOUT_MS, sending).await;
}
