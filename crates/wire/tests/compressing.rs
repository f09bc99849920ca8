//! What comes out of compression, also for bytes that never went in.

use pomeloreach_wire::compress::{compress, decompress};
use proptest::prelude::*;

proptest! {
    #[test]
    fn whole_again(bytes in prop::collection::vec(any::<u8>(), 0..5_000)) {
        prop_assert_eq!(decompress(&compress(&bytes), 5_000).unwrap(), bytes);
    }

    /// Bytes from outside may be refused, and do not stop a daemon.
    #[test]
    fn any_input(bytes in prop::collection::vec(any::<u8>(), 0..500)) {
        decompress(&bytes, 10_000).ok();
    }
}

#[test]
fn bomb_is_refused() {
    let bomb = compress(&vec![0; 10_000_000]);
    assert!(bomb.len() < 100_000);
    assert!(decompress(&bomb, 1_000_000).is_err());
}

/// Rows of a configuration differ in few bytes.
#[test]
fn rows_shrink() {
    let row = |index: usize| {
        format!("{{\"name\":\"r-{index}\",\"host\":\"h{index}.example\",\"pool\":\"desk\"}}")
    };
    let rows: String = (0..1_000).map(row).collect();
    assert!(compress(rows.as_bytes()).len() * 4 < rows.len());
}
