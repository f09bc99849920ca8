//! Length-prefixed frames on a stream between two daemons.

use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use thiserror::Error;

/// The largest control message, in bytes.
pub const CONTROL_FRAME_BYTES_MAX: usize = 4 * 1024 * 1024;
/// Bytes of the length in front of each frame.
const LENGTH_BYTES: usize = 4;

/// Why a frame could not be read.
#[derive(Debug, Error)]
pub enum FrameError {
    #[error("a frame of {bytes} bytes is longer than {max_bytes}")]
    TooLong { bytes: usize, max_bytes: usize },
    #[error("a frame cannot be decoded: {0}")]
    Undecodable(postcard::Error),
    #[error("the stream broke: {0}")]
    Io(#[from] io::Error),
}

/// Encodes a message with its length in front.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut frame = vec![0; LENGTH_BYTES];
    postcard::to_io(message, &mut frame).expect("messages are always encodable");
    let bytes = u32::try_from(frame.len() - LENGTH_BYTES).expect("messages are below 4 GB");
    frame[..LENGTH_BYTES].copy_from_slice(&bytes.to_le_bytes());
    frame
}

/// Reads one message, refusing lengths over the bound before anything is allocated.
pub async fn read<T: DeserializeOwned, R: AsyncRead + Unpin>(
    reader: &mut R,
    max_bytes: usize,
) -> Result<T, FrameError> {
    let mut length = [0; LENGTH_BYTES];
    reader.read_exact(&mut length).await?;
    let bytes = u32::from_le_bytes(length) as usize;
    if bytes > max_bytes {
        return Err(FrameError::TooLong { bytes, max_bytes });
    }
    let payload = read_bytes(reader, bytes).await?;
    postcard::from_bytes(&payload).map_err(FrameError::Undecodable)
}

/// Reads exactly so many bytes; a stream that ends before is an error.
pub async fn read_bytes<R: AsyncRead + Unpin>(
    reader: &mut R,
    bytes: usize,
) -> Result<Vec<u8>, FrameError> {
    let mut payload = vec![0; bytes];
    reader.read_exact(&mut payload).await?;
    Ok(payload)
}

pub async fn write<T: Serialize, W: AsyncWrite + Unpin>(
    writer: &mut W,
    message: &T,
) -> io::Result<()> {
    writer.write_all(&encode(message)).await
}
