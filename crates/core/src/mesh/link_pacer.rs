//! Limits the rate of body parts on the link of a VM, in one direction.
//!
//! Other traffic is not delayed, and counts: parts get what it leaves. Without the limit a queue of
//! parts stands in front of a narrow link, and everything else waits in it; see `docs/MESH.md`.

/// The share of the link's rate that parts and all other bytes together may use. The rest covers
/// packet headers and acknowledgements.
const LINK_SHARE: f64 = 0.92;
/// The longest time that one part may occupy the link, in milliseconds. A small message waits behind
/// about one part.
const PART_MS: f64 = 8.0;
/// The smallest part, in bytes, because each part costs a message in both directions.
const PART_BYTES_MIN: f64 = 4.0 * 1024.0;
/// The largest part, in bytes.
const PART_BYTES_MAX: f64 = 256.0 * 1024.0;
/// The longest time for which other traffic delays later parts, in milliseconds: longer than the
/// largest usual body of a caller occupies a narrow link.
const DEBT_MS_MAX: f64 = 1_000.0;

/// The size of a part on a link of this rate, in bytes. A body that is not larger need not be
/// offered: it occupies the link no longer than a part.
pub fn part_bytes(link_bytes_per_ms: f64) -> u64 {
    (link_bytes_per_ms * PART_MS).clamp(PART_BYTES_MIN, PART_BYTES_MAX) as u64
}

/// A token bucket of bytes for one direction of a link.
#[derive(Clone, Copy, Debug)]
pub struct LinkPacer {
    link_bytes_per_ms: f64,
    /// Bytes that parts may use now. Negative after other traffic used more than the link can take.
    available_bytes: f64,
    refilled_ms: u64,
}

impl LinkPacer {
    pub fn new(link_bytes_per_ms: f64) -> Self {
        let available_bytes = part_bytes(link_bytes_per_ms) as f64;
        Self { link_bytes_per_ms, available_bytes, refilled_ms: 0 }
    }

    /// The rate that parts may use at most, in bytes per millisecond.
    pub fn bytes_per_ms(&self) -> f64 {
        self.link_bytes_per_ms * LINK_SHARE
    }

    /// The size of a part on this link, in bytes.
    pub fn part_bytes(&self) -> u64 {
        part_bytes(self.link_bytes_per_ms)
    }

    /// Counts bytes that crossed the link and were no parts.
    pub fn record(&mut self, bytes: u64) {
        let debt_max = self.link_bytes_per_ms * DEBT_MS_MAX;
        self.available_bytes = (self.available_bytes - bytes as f64).max(-debt_max);
    }

    /// Takes the bytes of a part, which may not be larger than [`Self::part_bytes`], if the link has
    /// room for it.
    pub fn try_take(&mut self, now_ms: u64, bytes: u64) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms) as f64;
        self.refilled_ms = now_ms;
        let refilled = self.available_bytes + elapsed_ms * self.bytes_per_ms();
        self.available_bytes = refilled.min(self.part_bytes() as f64 * 2.0);
        let has_room = self.available_bytes >= bytes as f64;
        if has_room {
            self.available_bytes -= bytes as f64;
        }
        has_room
    }

    /// The time until the link has room for another part, in milliseconds.
    pub fn next_part_in_ms(&self) -> u64 {
        let missing_bytes = (self.part_bytes() as f64 - self.available_bytes).max(0.0);
        (missing_bytes / self.bytes_per_ms()).ceil() as u64
    }
}
