//! Decides which requests for memory are granted, and which connections are closed to make room.
//!
//! All buffers of a daemon share one budget. A part of it is reserved for small requests, so that
//! large bodies cannot take all of it. The memory of some holders can be reclaimed: a body that is
//! being read, because its request has not run, and responses that their client does not read.

use std::collections::BTreeMap;

/// The largest request that may use the reserve, in bytes.
pub const SMALL_BYTES_MAX: usize = 64 * 1024;
/// A holder is stalled if it made no progress for this long, in milliseconds. A client on a slow path
/// sends or reads some packets in this time.
pub const STALL_MS: u64 = 1_000;
/// The memory of an open connection: its tasks, its read buffer and the start of a request. Measured:
/// 11 to 26 kB.
pub const CONNECTION_BYTES: usize = 16 * 1024;
/// Connections may take one part of this many of the budget.
const CONNECTIONS_DIVISOR: usize = 2;
/// The share of the budget that is reserved for small requests is one part of this many.
const RESERVE_DIVISOR: usize = 8;

/// What memory is needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A request that has not run, of this size in all.
    Request { bytes: usize },
    /// A response that is larger than what was reserved for it. Its request has run, so that it waits
    /// until it is granted.
    Response,
    /// Bytes that are in memory in any case, which are always granted.
    Present,
}

/// What the memory of a holder contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HolderKind {
    /// A request that has not started.
    Request,
    /// Responses that wait until their client reads them.
    Responses,
}

/// The result of a request for memory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decision {
    pub is_granted: bool,
    /// The holders whose connections must be closed. Their memory counts as released at once.
    pub closed: Vec<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    kind: HolderKind,
    bytes: usize,
    /// When the holder last received or sent bytes.
    progress_ms: u64,
    is_closing: bool,
    /// Whether a response is being sent, so that progress depends on the client. It does not while the
    /// first response in order is not complete.
    is_sending: bool,
}

impl Holder {
    /// Whether the client has made no progress for too long.
    fn is_stalled(&self, now_ms: u64) -> bool {
        let depends_on_client = self.kind == HolderKind::Request || self.is_sending;
        depends_on_client && now_ms >= self.progress_ms + STALL_MS
    }
}

/// The memory budget of a daemon.
#[derive(Debug)]
pub struct Budget {
    total_bytes: usize,
    reserve_bytes: usize,
    used_bytes: usize,
    /// The part of `used_bytes` that belongs to holders whose connections are being closed.
    closing_bytes: usize,
    holders: BTreeMap<u64, Holder>,
    last_id: u64,
}

impl Budget {
    pub fn new(total_bytes: usize) -> Self {
        Self {
            total_bytes,
            reserve_bytes: total_bytes / RESERVE_DIVISOR,
            used_bytes: 0,
            closing_bytes: 0,
            holders: BTreeMap::new(),
            last_id: 0,
        }
    }

    /// The largest request that can be granted.
    pub fn request_bytes_max(&self) -> usize {
        self.total_bytes - self.reserve_bytes
    }

    /// The largest number of open connections, so that their requests find memory.
    pub fn connections_max(&self) -> usize {
        self.total_bytes / CONNECTIONS_DIVISOR / CONNECTION_BYTES
    }

    pub fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Adds a holder without memory, and returns its id.
    pub fn add_holder(&mut self, kind: HolderKind, now_ms: u64) -> u64 {
        self.last_id += 1;
        let (is_closing, is_sending) = (false, false);
        let holder = Holder { kind, bytes: 0, progress_ms: now_ms, is_closing, is_sending };
        self.holders.insert(self.last_id, holder);
        self.last_id
    }

    /// Adds to how much of the used memory a holder has.
    pub fn add_holder_bytes(&mut self, id: u64, bytes: usize) {
        if let Some(holder) = self.holders.get(&id) {
            self.set_holder_bytes(id, holder.bytes.saturating_add(bytes));
        }
    }

    /// Sets how much of the used memory a holder has.
    pub fn set_holder_bytes(&mut self, id: u64, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            if holder.is_closing {
                self.closing_bytes = self.closing_bytes.saturating_sub(holder.bytes) + bytes;
            }
            holder.bytes = bytes;
        }
    }

    /// Records that a holder received or sent bytes.
    pub fn record_progress(&mut self, id: u64, now_ms: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.progress_ms = now_ms;
        }
    }

    /// Records that a response begins or ends to be sent.
    pub fn set_sending(&mut self, id: u64, is_sending: bool, now_ms: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_sending = is_sending;
            holder.progress_ms = now_ms;
        }
    }

    /// Removes a holder. Its memory is released separately.
    pub fn remove_holder(&mut self, id: u64) {
        self.set_holder_bytes(id, 0);
        self.holders.remove(&id);
    }

    /// Requests memory, for the holder with the id `own` if there is one. A request that does not fit
    /// is granted if closing other connections makes room: those of stalled holders, and for anything
    /// but a large request also those with incomplete requests that make progress. A client that reads
    /// its responses is never closed. Those without progress for longest are closed first, requests
    /// before responses.
    pub fn request(
        &mut self,
        own: Option<u64>,
        bytes: usize,
        purpose: Purpose,
        now_ms: u64,
    ) -> Decision {
        let (limit_bytes, is_large) = match purpose {
            Purpose::Request { bytes } if bytes > SMALL_BYTES_MAX => {
                (self.request_bytes_max(), true)
            }
            Purpose::Request { .. } | Purpose::Response | Purpose::Present => {
                (self.total_bytes, false)
            }
        };
        let kept_bytes = self.used_bytes.saturating_sub(self.closing_bytes);
        let wanted_bytes = kept_bytes.saturating_add(bytes);
        let mut excess_bytes = wanted_bytes.saturating_sub(limit_bytes);
        let mut closed = Vec::new();
        if excess_bytes > 0 {
            for (id, holder_bytes) in self.candidates(own, is_large, now_ms) {
                closed.push(id);
                excess_bytes = excess_bytes.saturating_sub(holder_bytes);
                if excess_bytes == 0 {
                    break;
                }
            }
        }
        let is_granted = excess_bytes == 0 || purpose == Purpose::Present;
        if !is_granted {
            return Decision::default();
        }
        self.used_bytes = self.used_bytes.saturating_add(bytes);
        for id in &closed {
            if let Some(holder) = self.holders.get_mut(id) {
                holder.is_closing = true;
                self.closing_bytes += holder.bytes;
            }
        }
        Decision { is_granted, closed }
    }

    /// Returns memory.
    pub fn release(&mut self, bytes: usize) {
        self.used_bytes = self.used_bytes.saturating_sub(bytes);
    }

    /// The holders that may be closed, with their bytes, in the order in which they are closed.
    fn candidates(&self, own: Option<u64>, is_large: bool, now_ms: u64) -> Vec<(u64, usize)> {
        let mut holders: Vec<(&u64, &Holder)> = self
            .holders
            .iter()
            .filter(|(id, holder)| {
                let may_make_progress = !is_large && holder.kind == HolderKind::Request;
                holder.bytes > 0
                    && !holder.is_closing
                    && Some(**id) != own
                    && (may_make_progress || holder.is_stalled(now_ms))
            })
            .collect();
        holders.sort_by_key(|(id, holder)| {
            (!holder.is_stalled(now_ms), holder.kind, holder.progress_ms, **id)
        });
        holders.into_iter().map(|(id, holder)| (*id, holder.bytes)).collect()
    }
}
