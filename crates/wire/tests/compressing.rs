//! Compression, and decompression of valid, random and oversized input.

use pomeloreach_wire::compress::{compress, decompress};
use proptest::prelude::*;

proptest! {
    #[test]
    fn round_trip(bytes in prop::collection::vec(any::<u8>(), 0..5_000)) {
        prop_assert_eq!(decompress(&compress(&bytes), 5_000).unwrap(), bytes);
    }

    /// Random bytes may be refused, but must not cause a panic.
    #[test]
    fn random_input(bytes in prop::collection::vec(any::<u8>(), 0..500)) {
        decompress(&bytes, 10_000).ok();
    }
}

#[test]
fn oversized_output() {
    let bomb = compress(&vec![0; 10_000_000]);
    assert!(bomb.len() < 100_000);
    assert!(decompress(&bomb, 1_000_000).is_err());
}

/// Rows of a configuration differ in few bytes and compress well.
#[test]
fn configuration_rows() {
    let row = |index: usize| {
        format!("{{\"name\":\"r-{index}\",\"host\":\"h{index}.example\",\"pool\":\"desk\"}}")
    };
    let rows: String = (0..1_000).map(row).collect();
    assert!(compress(rows.as_bytes()).len() * 4 < rows.len());
}
