//! Zlib compression of large, repetitive data, such as all rows of a configuration.

use miniz_oxide::deflate::compress_to_vec_zlib;
use miniz_oxide::inflate::{DecompressError, decompress_to_vec_zlib_with_limit};
use thiserror::Error;

/// The fastest level that finds repeated names: it shrinks rows to about a fifth.
const COMPRESSION_LEVEL: u8 = 1;

/// Why bytes could not be decompressed.
#[derive(Debug, Error)]
#[error("cannot decompress to at most {bytes_max} bytes: {reason}")]
pub struct DecompressFailed {
    bytes_max: usize,
    reason: DecompressError,
}

pub fn compress(bytes: &[u8]) -> Vec<u8> {
    compress_to_vec_zlib(bytes, COMPRESSION_LEVEL)
}

/// Decompresses the output of [`compress`].
///
/// # Errors
///
/// Fails if the bytes are not valid zlib data, or if they decompress to more than `bytes_max`: a
/// small input must not make a daemon run out of memory.
pub fn decompress(bytes: &[u8], bytes_max: usize) -> Result<Vec<u8>, DecompressFailed> {
    decompress_to_vec_zlib_with_limit(bytes, bytes_max)
        .map_err(|reason| DecompressFailed { bytes_max, reason })
}
