//! The door of a target: as many requests as it has slots, a short queue, and true refusals.

use crate::code::ResultCode;
use crate::endpoint::TargetState;
use std::collections::VecDeque;

/// The share that a new measurement has in the smoothed service time.
const SERVICE_TIME_SHARE: f64 = 0.1;
/// Requests that wait for each slot at the most, unless the owner of the queue says otherwise.
const QUEUED_PER_SLOT: usize = 1;

/// The share of the queue that may hold requests which miss their goals. Under an overload that
/// lasts they wait longest, so that few of them should.
const LATE_SHARE: f64 = 0.25;
/// The share of the time left within which a late request must be expected to end, since others
/// may pass it.
const LATE_TIME_SHARE: f64 = 0.6;
/// The share of its expected time that a request must have left when its turn comes.
const START_SHARE: f64 = 0.7;

/// Ranks that a load report tells apart; all beyond count as the last one.
pub const RANKS: usize = 4;

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    Run,
    Queue,
    /// It waits in the place of a less urgent request, which is refused for it.
    Displace {
        ticket: u64,
    },
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
    /// How long the request is expected to take at the target, in milliseconds; absent if only the
    /// target's usual time is known.
    pub service_ms: Option<f64>,
    /// The wait beyond which the request is better placed elsewhere, in milliseconds; absent if
    /// there is no better place. Reports of load are always somewhat old, and only the door knows
    /// how long its queue is now.
    pub wait_max_ms: Option<f64>,
}

/// A request in the queue.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    arrival: Arrival,
    /// Whether it will miss its goal in any case. Such a request lets those pass that need not.
    is_late: bool,
    service_ms: f64,
}

impl Waiting {
    fn order(&self) -> (u8, bool) {
        (self.arrival.rank, self.is_late)
    }
}

/// The requests at one target.
#[derive(Debug)]
pub struct Admission {
    state: TargetState,
    slots: u16,
    running: u16,
    /// In the order in which requests will run.
    queue: VecDeque<Waiting>,
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
    pub fn with_queued_per_slot(queued_per_slot: usize) -> Self {
        Self { queued_per_slot, ..Self::default() }
    }

    /// Takes over what the target says of itself.
    pub fn set_target(&mut self, state: TargetState, slots: u16) {
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

    /// How many waiting requests would run before one of each rank that can be in time.
    pub fn ahead(&self) -> [u8; RANKS] {
        std::array::from_fn(|rank| {
            let is_last = rank + 1 == RANKS;
            let before = self.queue.iter().filter(|other| {
                is_last || (usize::from(other.arrival.rank), other.is_late) <= (rank, false)
            });
            u8::try_from(before.count()).unwrap_or(u8::MAX)
        })
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
    pub fn admit(&mut self, now_ms: u64, arrival: Arrival) -> Decision {
        match self.state {
            TargetState::Ready => {}
            TargetState::Draining => return Decision::Refuse(ResultCode::TargetDraining),
            TargetState::Starting | TargetState::Lapsed => {
                return Decision::Refuse(ResultCode::TargetUnreachable);
            }
        }
        if now_ms >= arrival.deadline_ms {
            return Decision::Refuse(ResultCode::DeadlineBeforeRun);
        }
        if self.running < self.slots {
            self.running += 1;
            return Decision::Run;
        }
        let service_ms = arrival.service_ms.unwrap_or(self.service_ms);
        let goal_left_ms = arrival.goal_ms.saturating_sub(now_ms) as f64;
        let left_ms = (arrival.deadline_ms - now_ms) as f64;
        let in_time = Waiting { arrival, is_late: false, service_ms };
        let late = Waiting { arrival, is_late: true, service_ms };
        let slots = usize::from(self.slots).max(1);
        let is_full = self.queue.len() >= slots * self.queued_per_slot;
        let waiting = if self.wait_ms(self.place(&in_time)) + service_ms <= goal_left_ms {
            in_time
        } else {
            let lates = self.queue.iter().filter(|other| other.is_late).count();
            let lates_max = (slots * self.queued_per_slot) as f64 * LATE_SHARE;
            let end_ms = self.wait_ms(self.place(&late)) + service_ms;
            if lates as f64 >= lates_max || end_ms > left_ms * LATE_TIME_SHARE {
                return Decision::Refuse(ResultCode::TargetFull);
            }
            late
        };
        let wait_ms = self.wait_ms(self.place(&waiting));
        if arrival.wait_max_ms.is_some_and(|wait_max_ms| wait_ms > wait_max_ms) {
            return Decision::Refuse(ResultCode::TargetFull);
        }
        let displaced = if is_full {
            match self.queue.back() {
                Some(last) if last.order() > waiting.order() => self.queue.pop_back(),
                _ => return Decision::Refuse(ResultCode::TargetFull),
            }
        } else {
            None
        };
        self.queue.insert(self.place(&waiting), waiting);
        displaced.map_or(Decision::Queue, |last| Decision::Displace { ticket: last.arrival.ticket })
    }

    /// How many requests would run before this one.
    fn place(&self, waiting: &Waiting) -> usize {
        self.queue.iter().take_while(|other| other.order() <= waiting.order()).count()
    }

    /// How long a request with so many others before it waits, in milliseconds.
    fn wait_ms(&self, ahead: usize) -> f64 {
        let before: f64 = self.queue.iter().take(ahead).map(|other| other.service_ms).sum();
        (before + self.service_ms) / f64::from(self.slots.max(1))
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
        // The first time counts whole: a door that has just opened would take its queue for short.
        let share = if self.service_ms == 0.0 { 1.0 } else { SERVICE_TIME_SHARE };
        self.service_ms += (service_ms as f64 - self.service_ms) * share;
        let expired = self.expire(now_ms);
        if self.running >= self.slots {
            return (None, expired);
        }
        self.reorder(now_ms);
        let next = self.queue.pop_front().map(|waiting| waiting.arrival.ticket);
        if next.is_some() {
            self.running += 1;
        }
        (next, expired)
    }

    /// Lets requests that can still be in time pass those that cannot any more.
    fn reorder(&mut self, now_ms: u64) {
        for waiting in &mut self.queue {
            let needed_ms = waiting.service_ms as u64;
            waiting.is_late |= now_ms + needed_ms > waiting.arrival.goal_ms;
        }
        // The sort is stable: within a rank the order of arrival holds.
        self.queue.make_contiguous().sort_by_key(Waiting::order);
    }

    /// Takes out the requests that can no longer be answered in time. Their callers are told at
    /// once, while there is time to go elsewhere.
    pub fn expire(&mut self, now_ms: u64) -> Vec<u64> {
        let (slots, mean_ms) = (f64::from(self.slots.max(1)), self.service_ms);
        let mut before_ms = 0.0;
        let mut expired = Vec::new();
        self.queue.retain(|waiting| {
            let left_ms = waiting.arrival.deadline_ms.saturating_sub(now_ms) as f64;
            let needed_ms = waiting.arrival.service_ms.unwrap_or(0.0) * START_SHARE;
            let end_ms = (before_ms + mean_ms) / slots + waiting.service_ms;
            let is_over =
                left_ms <= needed_ms || (waiting.is_late && end_ms > left_ms * LATE_TIME_SHARE);
            if is_over {
                expired.push(waiting.arrival.ticket);
            } else {
                before_ms += waiting.service_ms;
            }
            !is_over
        });
        expired
    }

    /// Takes out a request whose caller has gone. Tells whether it was still waiting.
    pub fn cancel(&mut self, ticket: u64) -> bool {
        let before = self.queue.len();
        self.queue.retain(|waiting| waiting.arrival.ticket != ticket);
        self.queue.len() < before
    }
}
