//! Decides when the bodies of inbound requests cross the link of this VM.
//!
//! Large bodies that arrive whenever their senders like fill a narrow link, and everything else on
//! it, such as calls between targets, responses and heartbeats, waits behind them. A large body is
//! therefore only offered by its sender. This module orders the offers like requests for a slot,
//! refuses those that would be late, and requests the bodies in small parts at a rate that leaves
//! room on the link. See `docs/MESH.md`.

use crate::code::ResultCode;
use crate::mesh::link_pacer::LinkPacer;
use std::collections::BTreeMap;

/// The largest number of offered bodies that wait. The limits on the waiting time are normally
/// tighter.
const OFFERS_MAX: usize = 256;

/// An offered body.
#[derive(Clone, Copy, Debug)]
pub struct BodyOffer {
    /// Identifies the body in later calls and decisions.
    pub ticket: u64,
    pub body_bytes: u64,
    /// The rank of the request; lower ranks are transferred first.
    pub rank: u8,
    /// The time by which the body must have arrived for the request to meet its latency goal.
    pub goal_ms: u64,
    /// The time by which the body must have arrived for the request to end before its deadline.
    pub deadline_ms: u64,
    /// The wait beyond which another target would be better, in milliseconds; absent if there is no
    /// better one.
    pub wait_max_ms: Option<f64>,
}

/// A part of a body that its sender may send now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartRequest {
    pub ticket: u64,
    pub bytes: u64,
}

/// The body that is requested part by part.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    ticket: u64,
    bytes_left: u64,
}

/// The place of a waiting body: by rank, then in the order of the offers.
type QueueKey = (u8, u64);

/// The bodies that are offered to this daemon, and what the link of its VM can still take.
#[derive(Debug)]
pub struct BodyTransfers {
    pacer: LinkPacer,
    waiting: BTreeMap<QueueKey, BodyOffer>,
    current: Option<Transfer>,
}

impl BodyTransfers {
    pub fn new(link_bytes_per_ms: f64) -> Self {
        Self { pacer: LinkPacer::new(link_bytes_per_ms), waiting: BTreeMap::new(), current: None }
    }

    /// The rate at which bodies can arrive, in bytes per millisecond.
    pub fn bytes_per_ms(&self) -> f64 {
        self.pacer.bytes_per_ms()
    }

    /// The expected wait of a new body of the last rank until its first part is requested, in
    /// milliseconds.
    pub fn wait_ms(&self) -> f64 {
        self.wait_behind_ms(u8::MAX)
    }

    /// Whether no body is waiting or incomplete.
    pub fn is_idle(&self) -> bool {
        self.current.is_none() && self.waiting.is_empty()
    }

    /// Counts bytes that were received and had not been requested, such as calls, responses and the
    /// bodies of this VM's callers.
    pub fn record_received(&mut self, bytes: u64) {
        self.pacer.record(bytes);
    }

    /// Accepts an offer, which then waits for its turn.
    ///
    /// # Errors
    ///
    /// Refuses a body that cannot arrive before its deadline, one for which another target is
    /// better, and one that would miss its latency goal while others wait: in a lasting overload
    /// every body would be late otherwise.
    pub fn offer(&mut self, now_ms: u64, offer: BodyOffer) -> Result<(), ResultCode> {
        let wait_ms = self.wait_behind_ms(offer.rank);
        let arrives_ms = now_ms as f64 + wait_ms + self.transfer_ms(offer.body_bytes);
        let is_late = arrives_ms > offer.goal_ms as f64;
        if arrives_ms > offer.deadline_ms as f64
            || (is_late && !self.waiting.is_empty())
            || offer.wait_max_ms.is_some_and(|wait_max_ms| wait_ms > wait_max_ms)
            || self.waiting.len() >= OFFERS_MAX
        {
            return Err(ResultCode::TargetFull);
        }
        self.waiting.insert((offer.rank, offer.ticket), offer);
        Ok(())
    }

    /// Returns the next part to request, or `None` if no body waits or the link has no room yet.
    pub fn next_part(&mut self, now_ms: u64) -> Option<PartRequest> {
        let transfer = match self.current {
            Some(transfer) => transfer,
            None => {
                let (_, offer) = self.waiting.pop_first()?;
                Transfer { ticket: offer.ticket, bytes_left: offer.body_bytes }
            }
        };
        self.current = Some(transfer);
        let bytes = transfer.bytes_left.min(self.pacer.part_bytes());
        if !self.pacer.try_take(now_ms, bytes) {
            return None;
        }
        let bytes_left = transfer.bytes_left - bytes;
        self.current = (bytes_left > 0).then_some(Transfer { bytes_left, ..transfer });
        Some(PartRequest { ticket: transfer.ticket, bytes })
    }

    /// The time until the link has room for another part, in milliseconds.
    pub fn next_part_in_ms(&self) -> u64 {
        self.pacer.next_part_in_ms()
    }

    /// Removes the waiting bodies that can no longer arrive before their deadlines, because bodies
    /// of lower ranks or other traffic came before them, and returns their tickets.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<u64> {
        let mut ends_ms = now_ms as f64 + self.current_ms();
        let mut expired = Vec::new();
        let bytes_per_ms = self.bytes_per_ms();
        self.waiting.retain(|_, offer| {
            let arrives_ms = ends_ms + offer.body_bytes as f64 / bytes_per_ms;
            let is_in_time = arrives_ms <= offer.deadline_ms as f64;
            if is_in_time {
                ends_ms = arrives_ms;
            } else {
                expired.push(offer.ticket);
            }
            is_in_time
        });
        expired
    }

    /// Removes a body whose request has ended. Parts that were requested may still arrive.
    pub fn cancel(&mut self, ticket: u64) {
        if self.current.is_some_and(|current| current.ticket == ticket) {
            self.current = None;
        }
        self.waiting.retain(|_, offer| offer.ticket != ticket);
    }

    /// The time that the rest of the current body takes, in milliseconds.
    fn current_ms(&self) -> f64 {
        self.current.map_or(0.0, |current| self.transfer_ms(current.bytes_left))
    }

    /// The time until a new body of this rank would have its turn, in milliseconds.
    fn wait_behind_ms(&self, rank: u8) -> f64 {
        let ahead = self.waiting.range(..=(rank, u64::MAX));
        let ahead_ms: f64 = ahead.map(|(_, offer)| self.transfer_ms(offer.body_bytes)).sum();
        self.current_ms() + ahead_ms
    }

    fn transfer_ms(&self, body_bytes: u64) -> f64 {
        body_bytes as f64 / self.bytes_per_ms()
    }
}
