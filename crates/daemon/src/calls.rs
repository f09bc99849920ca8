//! Calls: requests that one daemon forwards to the target of another. Each call uses one QUIC
//! stream, with a head and a body in each direction.

use crate::links::STREAM_CALL;
use crate::runtime::{ProgressGuard, Shared};
use pomeloreach_core::call::{BODY_BYTES_MAX, CallRequest, CallResponse, HEAD_BYTES_MAX};
use pomeloreach_core::code::ResultCode;
use pomeloreach_core::endpoint::Endpoint;
use pomeloreach_wire::clock::within_ms;
use pomeloreach_wire::frame;
use quinn::{RecvStream, SendStream};
use std::sync::Arc;

/// Longest time to connect and open a stream, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Longest time to receive a call after its stream was opened, and to send the response, in
/// milliseconds.
const TRANSFER_TIMEOUT_MS: u64 = 10_000;

/// The head and the body of the response to a call.
pub struct FullCallResponse {
    pub head: CallResponse,
    pub body: Vec<u8>,
}

impl FullCallResponse {
    pub fn refusal(code: ResultCode, in_flight: u16) -> Self {
        Self { head: CallResponse::refusal(code, in_flight), body: Vec::new() }
    }
}

/// Sends one call and waits for the response. Nothing is sent before the stream is open, so an
/// error until then means that the request was not run. After that, only a response of the other
/// daemon can tell that it was not run.
pub async fn send_call(
    shared: &Shared,
    target: &Endpoint,
    request: &CallRequest,
    body: &Arc<Vec<u8>>,
    timeout_ms: u64,
) -> Result<FullCallResponse, ResultCode> {
    let now_ms = shared.clock.now_ms();
    let opening = async {
        let connection = shared.daemon_connections.pooled(target.addr, now_ms).await?;
        connection.open_bi().await.ok()
    };
    let streams = within_ms(timeout_ms.min(CONNECT_TIMEOUT_MS), opening).await.flatten();
    let Some((send, receive)) = streams else {
        shared.daemon_connections.remove(target.addr);
        return Err(ResultCode::TargetUnreachable);
    };
    let left_ms = timeout_ms.saturating_sub(shared.clock.now_ms() - now_ms);
    match within_ms(left_ms, exchange(send, receive, request, body)).await {
        Some(Some(response)) => Ok(response),
        Some(None) => {
            shared.daemon_connections.remove(target.addr);
            Err(ResultCode::AnswerLost)
        }
        None => {
            shared.daemon_connections.remove(target.addr);
            Err(ResultCode::DeadlineAfterRun)
        }
    }
}

/// Sends the call and reads the response. Dropping this future resets the stream, which cancels the
/// call on the other daemon.
async fn exchange(
    send: SendStream,
    mut receive: RecvStream,
    request: &CallRequest,
    body: &[u8],
) -> Option<FullCallResponse> {
    let mut send = CancelOnDrop { stream: send, is_finished: false };
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
    send.is_finished = true;
    send.stream.finish().ok();
    Some(FullCallResponse { head, body })
}

/// Resets the stream when dropped, unless the call has finished. The sending side stays open until
/// the response was received; if it ends earlier, the other daemon cancels the call.
struct CancelOnDrop {
    stream: SendStream,
    is_finished: bool,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.is_finished {
            self.stream.reset(0u32.into()).ok();
        }
    }
}

/// Handles a call from another daemon to the local target. The call is in progress until the other
/// daemon has received the response.
pub async fn serve_call(shared: Arc<Shared>, mut send: SendStream, mut receive: RecvStream) {
    let _guard = ProgressGuard::new(shared.clone(), Shared::calls);
    let call = within_ms(TRANSFER_TIMEOUT_MS, receive_call(&mut receive)).await.flatten();
    let Some((request, body)) = call else {
        let response =
            FullCallResponse::refusal(ResultCode::RequestCut, shared.inbound.in_flight());
        return send_response(&mut send, &response).await;
    };
    let response = {
        let running = async { Some(crate::inbound::handle_call(&shared, &request, body).await) };
        let cancelled = async {
            // The caller's daemon sends nothing after the body, so the end of the stream cancels
            // the call.
            receive.read_to_end(1).await.ok();
            None
        };
        futures_lite::future::or(running, cancelled).await
    };
    if let Some(response) = response {
        send_response(&mut send, &response).await;
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

async fn send_response(send: &mut SendStream, response: &FullCallResponse) {
    let sending = async {
        send.write_all(&frame::encode(&response.head)).await.ok()?;
        send.write_all(&response.body).await.ok()?;
        send.finish().ok()?;
        send.stopped().await.ok()
    };
    within_ms(TRANSFER_TIMEOUT_MS, sending).await;
}
