//! The door of a target: as many requests as it has slots, a short queue, and true refusals.

use crate::code::ResultCode;
use crate::endpoint::TargetState;
use std::collections::VecDeque;

/// The share that a new measurement has in the smoothed service time.
const SERVICE_TIME_SHARE: f64 = 0.1;
/// Requests that wait for each slot at the most.
const QUEUED_PER_SLOT: usize = 1;

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admit {
    Run,
    Queue,
    Refuse(ResultCode),
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: u64,
    deadline_ms: u64,
}

/// The requests at one target.
#[derive(Debug)]
pub struct Admission {
    state: TargetState,
    slots: u16,
    running: u16,
    queue: VecDeque<Waiting>,
    service_ms: f64,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            state: TargetState::Lapsed,
            slots: 0,
            running: 0,
            queue: VecDeque::new(),
            service_ms: 0.0,
        }
    }
}

impl Admission {
    /// Takes over what the target says of itself.
    pub fn announce(&mut self, state: TargetState, slots: u16) {
        self.state = state;
        self.slots = slots;
    }

    pub fn in_flight(&self) -> u16 {
        self.running + u16::try_from(self.queue.len()).unwrap_or(u16::MAX - self.running)
    }

    pub fn state(&self) -> TargetState {
        self.state
    }

    /// A target that leaves may stop when nothing is at it or on the way to it.
    pub fn may_stop(&self) -> bool {
        self.state == TargetState::Draining && self.in_flight() == 0
    }

    /// Decides over a request with some time left.
    pub fn arrive(&mut self, ticket: u64, now_ms: u64, deadline_ms: u64) -> Admit {
        match self.state {
            TargetState::Ready => {}
            TargetState::Draining => return Admit::Refuse(ResultCode::TargetDraining),
            TargetState::Starting | TargetState::Lapsed => {
                return Admit::Refuse(ResultCode::TargetUnreachable);
            }
        }
        if now_ms >= deadline_ms {
            return Admit::Refuse(ResultCode::DeadlineBeforeRun);
        }
        if self.running < self.slots {
            self.running += 1;
            return Admit::Run;
        }
        let slots = usize::from(self.slots).max(1);
        let ahead = self.queue.len() + 1;
        let wait_ms = ahead as f64 * self.service_ms / slots as f64;
        let left_ms = (deadline_ms - now_ms) as f64;
        if ahead > slots * QUEUED_PER_SLOT || wait_ms + self.service_ms > left_ms {
            return Admit::Refuse(ResultCode::TargetFull);
        }
        self.queue.push_back(Waiting { ticket, deadline_ms });
        Admit::Queue
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
        let is_over = |waiting: &Waiting| now_ms >= waiting.deadline_ms;
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
