//! Ends connections without a reset.

use crate::clock::within_ms;
use async_net::TcpStream;
use futures_lite::AsyncReadExt;
use std::net::Shutdown;

/// The longest wait for the other side to close the connection, in milliseconds: some round trips and
/// retransmissions, in which the rest of a message arrives that the system has nearly sent.
pub const CLOSE_TIMEOUT_MS: u64 = 2_000;
/// The size of the reads whose bytes are discarded.
const DISCARD_BYTES: usize = 4 * 1024;

/// Ends a connection after its last message. Keeps it open for reading until the other side has closed
/// it, or for `timeout_ms`: if it were closed with unread bytes, or bytes arrived after that, the system
/// would reset it and discard what the other side has not received yet.
pub async fn close_after_last_message(stream: TcpStream, timeout_ms: u64) {
    // Fails only if the connection is broken, which `discard_until_closed` then notices.
    stream.shutdown(Shutdown::Write).ok();
    within_ms(timeout_ms, discard_until_closed(stream)).await;
}

/// Reads and discards what the other side sends until it closes the connection.
pub async fn discard_until_closed(mut stream: TcpStream) {
    let mut discarded = vec![0; DISCARD_BYTES];
    while stream.read(&mut discarded).await.is_ok_and(|bytes| bytes > 0) {}
}
