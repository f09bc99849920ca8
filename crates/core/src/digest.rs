//! Digests with which two daemons compare their data without sending it.

use serde::Serialize;

/// Length of a configuration digest before it is written in hexadecimal, in bytes. The hash is
/// truncated to it.
const CONFIG_DIGEST_BYTES: usize = 16;

/// Hashes the bytes written to it, so that the encoded value need not be kept in memory.
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

/// The digest of a value's canonical encoding, which is postcard, in hexadecimal.
pub fn digest_hex<T: Serialize>(value: &T) -> String {
    let mut hasher = blake3::Hasher::new();
    postcard::to_io(value, HashWriter(&mut hasher)).expect("hashing cannot fail");
    hasher.finalize().as_bytes()[..CONFIG_DIGEST_BYTES].iter().map(|b| format!("{b:02x}")).collect()
}

/// A 64-bit hash of the parts of a record. The sum of the hashes of a set of records does not
/// depend on their order, so it can be used to compare sets.
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
