//! Length-prefixed frames on a stream between two daemons.

use crate::clock::within_ms;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use thiserror::Error;

/// The largest payload of a control message's frame.
pub const CONTROL_FRAME_BYTES_MAX: usize = 4 * 1024 * 1024;
/// The size of the length prefix: a little-endian `u32`.
const LENGTH_PREFIX_BYTES: usize = 4;

/// How many bytes are discarded at a time.
const DISCARD_BYTES: usize = 16 * 1024;

/// The first capacity of a frame, without a body.
const HEAD_BYTES: usize = 64;

/// Why a frame could not be read.
#[derive(Debug, Error)]
pub enum FrameError {
    #[error("a frame of {bytes} bytes exceeds the limit of {bytes_max} bytes")]
    TooLong { bytes: usize, bytes_max: usize },
    #[error("a frame cannot be decoded: {0}")]
    Undecodable(postcard::Error),
    #[error("the stream failed: {0}")]
    Io(#[from] io::Error),
    #[error("nothing was received for {0} ms")]
    Silent(u64),
}

/// Encodes a message as a frame, including the length prefix.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    encode_with(message, 0)
}

/// The same as [`encode`], for a message with a body of so many bytes, which need not be copied as the
/// frame grows.
pub fn encode_with<T: Serialize>(message: &T, body_bytes: usize) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEAD_BYTES + body_bytes);
    frame.resize(LENGTH_PREFIX_BYTES, 0);
    postcard::to_io(message, &mut frame).expect("messages are always encodable");
    let bytes = u32::try_from(frame.len() - LENGTH_PREFIX_BYTES).expect("messages are below 4 GB");
    frame[..LENGTH_PREFIX_BYTES].copy_from_slice(&bytes.to_le_bytes());
    frame
}

/// Reads one message. A length over `bytes_max` is refused before a buffer is allocated for it.
pub async fn read<T: DeserializeOwned, R: AsyncRead + Unpin>(
    reader: &mut R,
    bytes_max: usize,
) -> Result<T, FrameError> {
    let mut prefix = [0; LENGTH_PREFIX_BYTES];
    reader.read_exact(&mut prefix).await?;
    let payload = read_bytes(reader, payload_bytes(prefix, bytes_max)?).await?;
    postcard::from_bytes(&payload).map_err(FrameError::Undecodable)
}

/// Reads one message whose sender may be silent for `silence_max_ms` at most, before its first byte and
/// between others: a limit on its whole duration would end a stream that is only slow. Calls `charge`
/// with the size of the payload before a buffer is allocated for it, and drops the result after the
/// message is decoded. Also returns the size of the frame in bytes.
pub async fn read_charged<T: DeserializeOwned, R: AsyncRead + Unpin, C>(
    reader: &mut R,
    bytes_max: usize,
    silence_max_ms: u64,
    charge: impl FnOnce(usize) -> C,
) -> Result<(T, usize), FrameError> {
    let mut prefix = [0; LENGTH_PREFIX_BYTES];
    read_without_silence(reader, &mut prefix, silence_max_ms).await?;
    let bytes = payload_bytes(prefix, bytes_max)?;
    let _charge = charge(bytes);
    let mut payload = vec![0; bytes];
    read_without_silence(reader, &mut payload, silence_max_ms).await?;
    let message = postcard::from_bytes(&payload).map_err(FrameError::Undecodable)?;
    Ok((message, LENGTH_PREFIX_BYTES + bytes))
}

/// Reads the `bytes` that follow a message into an allocation of their own. The sender may be silent for
/// `silence_max_ms` at most.
pub async fn read_following<R: AsyncRead + Unpin>(
    reader: &mut R,
    bytes: usize,
    silence_max_ms: u64,
) -> Result<Vec<u8>, FrameError> {
    let mut following = vec![0; bytes];
    read_without_silence(reader, &mut following, silence_max_ms).await?;
    Ok(following)
}

/// Reads the `bytes` that follow a message and discards them.
pub async fn discard_following<R: AsyncRead + Unpin>(
    reader: &mut R,
    bytes: usize,
    silence_max_ms: u64,
) -> Result<(), FrameError> {
    let mut part = vec![0; bytes.min(DISCARD_BYTES)];
    let mut left = bytes;
    while left > 0 {
        let length = left.min(part.len());
        read_without_silence(reader, &mut part[..length], silence_max_ms).await?;
        left -= length;
    }
    Ok(())
}

/// Checks the size of what follows a message.
pub fn check_following(bytes: u64, bytes_max: usize) -> Result<usize, FrameError> {
    let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
    if bytes > bytes_max { Err(FrameError::TooLong { bytes, bytes_max }) } else { Ok(bytes) }
}

/// The size of the payload that a length prefix announces.
fn payload_bytes(prefix: [u8; LENGTH_PREFIX_BYTES], bytes_max: usize) -> Result<usize, FrameError> {
    check_following(u32::from_le_bytes(prefix).into(), bytes_max)
}

/// Fills a buffer. Fails if the stream ends before, or sends nothing for `silence_max_ms`.
async fn read_without_silence<R: AsyncRead + Unpin>(
    reader: &mut R,
    mut buffer: &mut [u8],
    silence_max_ms: u64,
) -> Result<(), FrameError> {
    while !buffer.is_empty() {
        let reading = within_ms(silence_max_ms, reader.read(buffer)).await;
        let bytes = reading.ok_or(FrameError::Silent(silence_max_ms))??;
        if bytes == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        buffer = &mut buffer[bytes..];
    }
    Ok(())
}

/// Reads exactly `count` bytes. Fails if the stream ends before.
pub async fn read_bytes<R: AsyncRead + Unpin>(
    reader: &mut R,
    count: usize,
) -> Result<Vec<u8>, FrameError> {
    let mut payload = vec![0; count];
    reader.read_exact(&mut payload).await?;
    Ok(payload)
}

/// Writes one message as a frame.
pub async fn write<T: Serialize, W: AsyncWrite + Unpin>(
    writer: &mut W,
    message: &T,
) -> io::Result<()> {
    writer.write_all(&encode(message)).await
}
