//! Compresses what is large and repeats itself, such as all rows of a configuration.

use miniz_oxide::deflate::compress_to_vec_zlib;
use miniz_oxide::inflate::{DecompressError, decompress_to_vec_zlib_with_limit};
use thiserror::Error;

/// The quickest level that finds repeated names: rows shrink to about a fifth with it.
const LEVEL: u8 = 1;

/// Why bytes could not be decompressed.
#[derive(Debug, Error)]
#[error("the bytes cannot be decompressed to at most {max_bytes} bytes: {reason}")]
pub struct DecompressFailed {
    max_bytes: usize,
    reason: DecompressError,
}

pub fn compress(bytes: &[u8]) -> Vec<u8> {
    compress_to_vec_zlib(bytes, LEVEL)
}

/// Decompresses what [`compress`] made.
///
/// # Errors
///
/// Fails for other bytes, and for more than `max_bytes`, so that nobody can make a daemon run out of
/// memory.
pub fn decompress(bytes: &[u8], max_bytes: usize) -> Result<Vec<u8>, DecompressFailed> {
    decompress_to_vec_zlib_with_limit(bytes, max_bytes)
        .map_err(|reason| DecompressFailed { max_bytes, reason })
}
