//! Admission control for one target: requests up to its number of slots run at once, a bounded
//! queue holds more, and the rest are refused with the reason. Within a rank, the queue is fair
//! between client accounts.

use crate::account::split_rank;
use crate::code::ResultCode;
use crate::displacement;
use crate::endpoint::TargetState;
use crate::fair_order::{FairOrder, Flows, cost_us};
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// Weight of a new sample in the moving average of service times.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Default number of queue places per slot.
const QUEUED_PER_SLOT: usize = 1;

/// The share of the queue that late requests may fill. A request is late if it is expected to miss
/// its latency goal. In a lasting overload they wait longest, so only a few are admitted.
const LATE_QUEUE_SHARE: f64 = 0.25;
/// A late request is queued only while it is expected to end within this share of the time left
/// until its deadline. The rest is a margin for the requests that overtake it.
const LATE_TIME_LEFT_SHARE: f64 = 0.6;
/// A queued request expires when the time left until its deadline is not more than this share of
/// the service time given in its [`Arrival`]. If none is given, it expires at its deadline; a late
/// request can expire earlier by `LATE_TIME_LEFT_SHARE`.
const MIN_TIME_LEFT_SHARE: f64 = 0.7;

/// Number of priorities of routes, and of accounts, for which a load report gives the queue length;
/// higher ones count as the last.
pub const RANKS: usize = 4;

/// The class of a rank in load reports: by the priority of the account, then by that of the route.
pub fn rank_class(rank: u8) -> (usize, usize) {
    let (account_priority, route_priority) = split_rank(rank);
    let class = |priority: u8| usize::from(priority).min(RANKS - 1);
    (class(account_priority), class(route_priority))
}

/// The result of [`Admission::admit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    Run,
    Queue,
    /// The request is queued, and the queued request with this ticket is removed and must be
    /// refused: it comes later in the order of the queue, or its account has more queued work.
    Displace {
        ticket: u64,
    },
    Refuse(ResultCode),
}

/// A request to be admitted, with the values that decide its place in the queue.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Identifies the request in later calls and decisions.
    pub ticket: u64,
    /// The time after which the caller no longer waits for the response, by the clock that also
    /// gives `now_ms` in [`Admission::admit`].
    pub deadline_ms: u64,
    /// The time by which the response must arrive to meet the latency goal, by the same clock. Only
    /// a few requests that would miss it are queued, so that a full queue does not make every
    /// response late.
    pub goal_ms: u64,
    /// The rank of the request; lower ranks run first.
    pub rank: u8,
    /// Expected service time, in milliseconds; absent if only the average of the target is known.
    pub service_ms: Option<f64>,
    /// The request is refused if it would wait longer than this, in milliseconds, because another
    /// target is then a better choice; absent if there is no better one. The limit is checked here
    /// because load reports are always somewhat old, and only the target's daemon knows the present
    /// length of the queue.
    pub wait_max_ms: Option<f64>,
}

/// A request in the queue.
#[derive(Clone, Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) arrival: Arrival,
    pub(crate) account: Option<Arc<str>>,
    /// The place of the request among those of its rank and lateness, see [`FairOrder`].
    start_us: u64,
    /// Whether the request is expected to miss its latency goal. Within its rank, such a request
    /// runs after those that can still meet theirs.
    is_late: bool,
    /// Expected service time, in milliseconds: that of the arrival, or else the average of the
    /// target when the request arrived.
    service_ms: f64,
}

impl QueuedRequest {
    /// Requests of a lower class run first.
    pub(crate) fn class(&self) -> (u8, bool) {
        (self.arrival.rank, self.is_late)
    }

    /// Requests with a lower key run first.
    fn sort_key(&self) -> (u8, bool, u64) {
        (self.arrival.rank, self.is_late, self.start_us)
    }

    pub(crate) fn cost_us(&self) -> u64 {
        cost_us(self.service_ms)
    }
}

/// The running and queued requests of one target.
#[derive(Debug)]
pub struct Admission {
    state: TargetState,
    slots: u16,
    running: u16,
    /// In the order in which the requests will run.
    queue: VecDeque<QueuedRequest>,
    fair_order: FairOrder,
    queued_per_slot: usize,
    /// Moving average of the service time, in milliseconds; 0 until the first request has ended.
    service_ms: f64,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            state: TargetState::Lapsed,
            slots: 0,
            running: 0,
            queue: VecDeque::new(),
            fair_order: FairOrder::default(),
            queued_per_slot: QUEUED_PER_SLOT,
            service_ms: 0.0,
        }
    }
}

impl Admission {
    /// An admission control whose queue has this many places per slot.
    pub fn with_queued_per_slot(queued_per_slot: usize) -> Self {
        Self { queued_per_slot, ..Self::default() }
    }

    /// Applies the state and the number of slots that the target announced.
    pub fn set_target(&mut self, state: TargetState, slots: u16) {
        self.state = state;
        self.slots = slots;
    }

    /// Number of running and queued requests.
    pub fn in_flight(&self) -> u16 {
        self.running + u16::try_from(self.queue.len()).unwrap_or(u16::MAX - self.running)
    }

    pub fn slots(&self) -> u16 {
        self.slots
    }

    pub fn running(&self) -> u16 {
        self.running
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> u16 {
        self.in_flight() - self.running
    }

    /// For each priority of routes, the number of queued requests that would run before a new
    /// request of account priority 0 which can meet its goal and which has no account, or one
    /// without queued requests. The last element stands for all higher priorities too, so it also
    /// counts late requests.
    ///
    /// The inbound proxy refuses a request of an account with more queued work. A higher number for
    /// all would have other accounts refused at the origin that would find room here.
    pub fn ahead(&self) -> [u8; RANKS] {
        self.ahead_of_account_class(0)
    }

    /// The same as [`Self::ahead`] for requests of the account priorities 1, 2, and 3 or higher.
    /// `None` if only requests of account priority 0 are queued, which all run before these.
    pub fn ahead_by_account(&self) -> Option<[[u8; RANKS]; RANKS - 1]> {
        let is_needed = self.queue.iter().any(|other| rank_class(other.arrival.rank).0 > 0);
        is_needed.then(|| std::array::from_fn(|index| self.ahead_of_account_class(index + 1)))
    }

    fn ahead_of_account_class(&self, account_class: usize) -> [u8; RANKS] {
        std::array::from_fn(|route_class| {
            let class = (account_class, route_class);
            let is_ahead = |other: &QueuedRequest| {
                let rank = other.arrival.rank;
                let is_before_tag = other.start_us <= self.fair_order.start_us(rank, None);
                let may_be_late = route_class + 1 == RANKS;
                rank_class(rank) < class
                    || (rank_class(rank) == class
                        && (may_be_late || !other.is_late)
                        && is_before_tag)
            };
            let requests_ahead = self.queue.iter().filter(|other| is_ahead(other)).count();
            u8::try_from(requests_ahead).unwrap_or(u8::MAX)
        })
    }

    /// Number of accounts that the fair order remembers, over all ranks.
    pub fn remembered_accounts(&self) -> usize {
        self.fair_order.remembered_accounts()
    }

    /// Moving average of the service time, in milliseconds.
    pub fn service_ms(&self) -> f64 {
        self.service_ms
    }

    pub fn state(&self) -> TargetState {
        self.state
    }

    /// Whether the target is draining and has no running or queued request left.
    pub fn may_stop(&self) -> bool {
        self.state == TargetState::Draining && self.in_flight() == 0
    }

    /// Decides whether a new request without an account runs, is queued or is refused.
    pub fn admit(&mut self, now_ms: u64, arrival: Arrival) -> Decision {
        self.admit_from(now_ms, arrival, None)
    }

    /// Decides whether a new request of this account runs, is queued or is refused.
    pub fn admit_from(
        &mut self,
        now_ms: u64,
        arrival: Arrival,
        account: Option<Arc<str>>,
    ) -> Decision {
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
        let start_us = self.fair_order.start_us(arrival.rank, account.as_deref());
        let mut request = QueuedRequest { arrival, account, start_us, is_late: false, service_ms };
        let slots = usize::from(self.slots).max(1);
        let is_full = self.queue.len() >= slots * self.queued_per_slot;
        let mut displaced = None;
        if self.expected_wait_ms(self.position(&request)) + service_ms > goal_left_ms {
            request.is_late = true;
            let late_count = self.queue.iter().filter(|other| other.is_late).count();
            let late_max = (slots * self.queued_per_slot) as f64 * LATE_QUEUE_SHARE;
            let ends_in_ms = self.expected_wait_ms(self.position(&request)) + service_ms;
            if late_count as f64 >= late_max {
                displaced = displacement::last_of_busier_account(&self.queue, &request);
            }
            let has_no_place = late_count as f64 >= late_max && displaced.is_none();
            if has_no_place || ends_in_ms > left_ms * LATE_TIME_LEFT_SHARE {
                return Decision::Refuse(ResultCode::TargetFull);
            }
        }
        let wait_ms = self.expected_wait_ms(self.position(&request));
        if arrival.wait_max_ms.is_some_and(|wait_max_ms| wait_ms > wait_max_ms) {
            return Decision::Refuse(ResultCode::TargetFull);
        }
        if is_full && displaced.is_none() {
            displaced = displacement::displaced_by(&self.queue, &request);
            if displaced.is_none() {
                return Decision::Refuse(ResultCode::TargetFull);
            }
        }
        let decision = displaced.map_or(Decision::Queue, |index| Decision::Displace {
            ticket: self.queue[index].arrival.ticket,
        });
        let cost_us = request.cost_us();
        self.fair_order.queue(arrival.rank, request.account.as_ref(), start_us, cost_us);
        self.queue.insert(self.position(&request), request);
        // Removed only now: a rank without queued requests would lose its virtual time.
        if let Decision::Displace { ticket } = decision {
            self.remove(|other| other.arrival.ticket == ticket);
        }
        decision
    }

    /// Number of queued requests that would run before this one.
    fn position(&self, request: &QueuedRequest) -> usize {
        self.queue.iter().take_while(|other| other.sort_key() <= request.sort_key()).count()
    }

    /// Expected wait of a request with this many queued requests before it, in milliseconds.
    fn expected_wait_ms(&self, requests_ahead: usize) -> f64 {
        let ahead_ms: f64 =
            self.queue.iter().take(requests_ahead).map(|other| other.service_ms).sum();
        (ahead_ms + self.service_ms) / f64::from(self.slots.max(1))
    }

    /// Expected wait of a request at the end of the queue, in milliseconds.
    pub fn backlog_ms(&self) -> f64 {
        if self.running < self.slots { 0.0 } else { self.expected_wait_ms(self.queue.len()) }
    }

    /// Records the end of a running request. Returns the ticket of the queued request that runs
    /// next, if any, and the tickets of those that expired.
    pub fn finish(&mut self, now_ms: u64, service_ms: u64) -> (Option<u64>, Vec<u64>) {
        assert!(self.running > 0, "only a running request can finish");
        self.running -= 1;
        // The first sample has the full weight. Otherwise the average would start near 0, and the
        // expected waits would be far too short.
        let weight = if self.service_ms == 0.0 { 1.0 } else { SERVICE_TIME_WEIGHT };
        self.service_ms += (service_ms as f64 - self.service_ms) * weight;
        let expired = self.expire(now_ms);
        if self.running >= self.slots {
            return (None, expired);
        }
        self.reorder(now_ms);
        let Some(first) = self.queue.front() else { return (None, expired) };
        let (rank, ticket) = (first.arrival.rank, first.arrival.ticket);
        let flows = self.flows(rank);
        self.fair_order.run(rank, first.start_us, first.cost_us(), flows);
        self.queue.pop_front();
        if !self.has_queued(rank) {
            self.fair_order.clear(rank);
        }
        self.running += 1;
        (Some(ticket), expired)
    }

    /// The accounts and requests that take turns in this rank.
    fn flows(&self, rank: u8) -> Flows {
        let in_rank = || self.queue.iter().filter(|other| other.arrival.rank == rank);
        let accounts: BTreeSet<&str> =
            in_rank().filter_map(|other| other.account.as_deref()).collect();
        let without_account = in_rank().filter(|other| other.account.is_none()).count();
        Flows { accounts: accounts.len(), without_account }
    }

    fn has_queued(&self, rank: u8) -> bool {
        self.queue.iter().any(|other| other.arrival.rank == rank)
    }

    /// Marks the requests that became late, and moves them behind the others of their rank.
    fn reorder(&mut self, now_ms: u64) {
        for request in &mut self.queue {
            let needed_ms = request.service_ms as u64;
            request.is_late |= now_ms + needed_ms > request.arrival.goal_ms;
        }
        self.sort();
    }

    fn sort(&mut self) {
        // The sort is stable, so requests with the same key stay in the order of their arrival.
        self.queue.make_contiguous().sort_by_key(QueuedRequest::sort_key);
    }

    /// Removes the queued requests for which this holds without having run them, and returns their
    /// tickets.
    fn remove(&mut self, mut is_removed: impl FnMut(&QueuedRequest) -> bool) -> Vec<u64> {
        let (removed, kept): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.queue).into_iter().partition(|request| is_removed(request));
        self.queue = kept.into();
        for request in &removed {
            let (rank, cost_us) = (request.arrival.rank, request.cost_us());
            if let Some(account) = &request.account {
                self.fair_order.remove(rank, account, cost_us);
                for other in &mut self.queue {
                    if other.arrival.rank == rank
                        && other.account == request.account
                        && other.start_us > request.start_us
                    {
                        other.start_us -= cost_us;
                    }
                }
            }
            if !self.has_queued(rank) {
                self.fair_order.clear(rank);
            }
        }
        if removed.iter().any(|request| request.account.is_some()) {
            self.sort();
        }
        removed.iter().map(|request| request.arrival.ticket).collect()
    }

    /// Brings the deadlines of queued requests forward to `until_ms` where they are later.
    pub fn limit_deadlines(&mut self, until_ms: u64) {
        for QueuedRequest { arrival, .. } in &mut self.queue {
            arrival.deadline_ms = arrival.deadline_ms.min(until_ms);
        }
    }

    /// Removes queued requests that are not expected to be answered before their deadline, and
    /// returns their tickets. The caller can refuse them at once, while there is time left to try
    /// another target.
    pub fn expire(&mut self, now_ms: u64) -> Vec<u64> {
        let (slots, mean_ms) = (f64::from(self.slots.max(1)), self.service_ms);
        let mut ahead_ms = 0.0;
        self.remove(|request| {
            let left_ms = request.arrival.deadline_ms.saturating_sub(now_ms) as f64;
            let needed_ms = request.arrival.service_ms.unwrap_or(0.0) * MIN_TIME_LEFT_SHARE;
            let ends_in_ms = (ahead_ms + mean_ms) / slots + request.service_ms;
            let is_expired = left_ms <= needed_ms
                || (request.is_late && ends_in_ms > left_ms * LATE_TIME_LEFT_SHARE);
            if !is_expired {
                ahead_ms += request.service_ms;
            }
            is_expired
        })
    }

    /// Removes the request of a caller that disconnected. Returns whether it was still queued.
    pub fn cancel(&mut self, ticket: u64) -> bool {
        !self.remove(|request| request.arrival.ticket == ticket).is_empty()
    }
}
