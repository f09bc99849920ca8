//! The door of a target: as many requests as it has slots, a short queue, and true refusals.

use crate::code::ResultCode;
use crate::endpoint::TargetState;
use std::collections::VecDeque;

/// The share that a new measurement has in the smoothed service time.
const SERVICE_TIME_SHARE: f64 = 0.1;
/// Requests that wait for each slot at the most, unless the owner of the queue says otherwise.
const QUEUED_PER_SLOT: usize = 1;

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admit {
    Run,
    Queue,
    Refuse(ResultCode),
}

/// A request at the door, with what its place in the queue depends on.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub ticket: u64,
    /// When nobody waits for the answer any more.
    pub deadline_ms: u64,
    /// When the answer should be there; a request that would miss this by waiting is refused, so
    /// that a full queue does not make every answer late.
    pub goal_ms: u64,
    /// The rank of the request; a lower one goes first.
    pub rank: u8,
}

/// The requests at one target.
#[derive(Debug)]
pub struct Admission {
    state: TargetState,
    slots: u16,
    running: u16,
    /// In the order in which requests will run.
    queue: VecDeque<Arrival>,
    queued_per_slot: usize,
    service_ms: f64,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            state: TargetState::Lapsed,
            slots: 0,
            running: 0,
            queue: VecDeque::new(),
            queued_per_slot: QUEUED_PER_SLOT,
            service_ms: 0.0,
        }
    }
}

impl Admission {
    /// A door whose queue holds so many requests for each slot.
    pub fn with_queue(queued_per_slot: usize) -> Self {
        Self { queued_per_slot, ..Self::default() }
    }

    /// Takes over what the target says of itself.
    pub fn announce(&mut self, state: TargetState, slots: u16) {
        self.state = state;
        self.slots = slots;
    }

    pub fn in_flight(&self) -> u16 {
        self.running + u16::try_from(self.queue.len()).unwrap_or(u16::MAX - self.running)
    }

    pub fn slots(&self) -> u16 {
        self.slots
    }

    pub fn running(&self) -> u16 {
        self.running
    }

    pub fn waiting(&self) -> u16 {
        self.in_flight() - self.running
    }

    /// The smoothed time that a request takes at the target, in milliseconds.
    pub fn service_ms(&self) -> f64 {
        self.service_ms
    }

    pub fn state(&self) -> TargetState {
        self.state
    }

    /// A target that leaves may stop when nothing is at it or on the way to it.
    pub fn may_stop(&self) -> bool {
        self.state == TargetState::Draining && self.in_flight() == 0
    }

    /// Decides over a request with some time left.
    pub fn arrive(&mut self, now_ms: u64, arrival: Arrival) -> Admit {
        match self.state {
            TargetState::Ready => {}
            TargetState::Draining => return Admit::Refuse(ResultCode::TargetDraining),
            TargetState::Starting | TargetState::Lapsed => {
                return Admit::Refuse(ResultCode::TargetUnreachable);
            }
        }
        if now_ms >= arrival.deadline_ms {
            return Admit::Refuse(ResultCode::DeadlineBeforeRun);
        }
        if self.running < self.slots {
            self.running += 1;
            return Admit::Run;
        }
        let place = self.queue.iter().take_while(|other| other.rank <= arrival.rank).count();
        let left_ms = if self.service_ms > arrival.goal_ms.saturating_sub(now_ms) as f64 {
            arrival.deadline_ms - now_ms
        } else {
            arrival.goal_ms - now_ms
        };
        let is_full = self.queue.len() >= usize::from(self.slots).max(1) * self.queued_per_slot;
        if is_full || self.wait_ms(place) + self.service_ms > left_ms as f64 {
            return Admit::Refuse(ResultCode::TargetFull);
        }
        self.queue.insert(place, arrival);
        Admit::Queue
    }

    /// How long a request with so many others before it waits, in milliseconds.
    fn wait_ms(&self, ahead: usize) -> f64 {
        (ahead + 1) as f64 * self.service_ms / f64::from(self.slots.max(1))
    }

    /// How long a request that arrives last would wait, in milliseconds.
    pub fn backlog_ms(&self) -> f64 {
        if self.running < self.slots { 0.0 } else { self.wait_ms(self.queue.len()) }
    }

    /// A running request ended. Returns the next to run, if one waits that can still make it, and
    /// those whose time is over.
    pub fn finish(&mut self, now_ms: u64, service_ms: u64) -> (Option<u64>, Vec<u64>) {
        assert!(self.running > 0, "only a running request can finish");
        self.running -= 1;
        self.service_ms += (service_ms as f64 - self.service_ms) * SERVICE_TIME_SHARE;
        let expired = self.expire(now_ms);
        if self.running >= self.slots {
            return (None, expired);
        }
        let next = self.queue.pop_front().map(|waiting| waiting.ticket);
        if next.is_some() {
            self.running += 1;
        }
        (next, expired)
    }

    /// Takes out the requests that waited past their deadlines.
    pub fn expire(&mut self, now_ms: u64) -> Vec<u64> {
        let is_over = |waiting: &Arrival| now_ms >= waiting.deadline_ms;
        let expired = self.queue.iter().filter(|w| is_over(w)).map(|w| w.ticket).collect();
        self.queue.retain(|waiting| !is_over(waiting));
        expired
    }

    /// Takes out a request whose caller has gone. Tells whether it was still waiting.
    pub fn cancel(&mut self, ticket: u64) -> bool {
        let before = self.queue.len();
        self.queue.retain(|waiting| waiting.ticket != ticket);
        self.queue.len() < before
    }
}
