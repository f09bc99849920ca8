//! Digests that let two daemons tell cheaply whether they hold the same thing.

use serde::Serialize;

/// Bytes kept of a configuration digest, before hexadecimal.
const CONFIG_DIGEST_BYTES: usize = 16;

/// Hashes what the encoder writes, so that no encoded copy is held.
struct HashWriter<'a>(&'a mut blake3::Hasher);

impl std::io::Write for HashWriter<'_> {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.update(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The digest of a value's canonical encoding, in hexadecimal.
pub fn digest_hex<T: Serialize>(value: &T) -> String {
    let mut hasher = blake3::Hasher::new();
    postcard::to_io(value, HashWriter(&mut hasher)).expect("hashing cannot fail");
    hasher.finalize().as_bytes()[..CONFIG_DIGEST_BYTES].iter().map(|b| format!("{b:02x}")).collect()
}

/// A short hash of the parts of a record. Sums of these compare whole sets in any order.
pub fn record_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut short = [0; 8];
    hasher.finalize_xof().fill(&mut short);
    u64::from_le_bytes(short)
}
