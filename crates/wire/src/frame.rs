//! Length-prefixed frames on a stream between two daemons.

use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use thiserror::Error;

/// The largest payload of a control message's frame.
pub const CONTROL_FRAME_BYTES_MAX: usize = 4 * 1024 * 1024;
/// The size of the length prefix: a little-endian `u32`.
const LENGTH_PREFIX_BYTES: usize = 4;

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
    Ok(read_sized(reader, bytes_max).await?.0)
}

/// The same as [`read`], and also returns the size of the frame in bytes.
pub async fn read_sized<T: DeserializeOwned, R: AsyncRead + Unpin>(
    reader: &mut R,
    bytes_max: usize,
) -> Result<(T, usize), FrameError> {
    read_charged(reader, bytes_max, |_| ()).await
}

/// The same as [`read_sized`]. Calls `charge` with the size of the payload before a buffer is
/// allocated for it, and drops the result after the message is decoded.
pub async fn read_charged<T: DeserializeOwned, R: AsyncRead + Unpin, C>(
    reader: &mut R,
    bytes_max: usize,
    charge: impl FnOnce(usize) -> C,
) -> Result<(T, usize), FrameError> {
    let mut prefix = [0; LENGTH_PREFIX_BYTES];
    reader.read_exact(&mut prefix).await?;
    let bytes = u32::from_le_bytes(prefix) as usize;
    if bytes > bytes_max {
        return Err(FrameError::TooLong { bytes, bytes_max });
    }
    let _charge = charge(bytes);
    let payload = read_bytes(reader, bytes).await?;
    let message = postcard::from_bytes(&payload).map_err(FrameError::Undecodable)?;
    Ok((message, LENGTH_PREFIX_BYTES + bytes))
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
