//! A fleet of quota nodes with simulated time: links with delay and loss, cuts, kills, pauses, and
//! a clock for each daemon.

#![allow(dead_code, reason = "each test uses only some of these items")]

mod daemon;

pub use daemon::{Daemon, LinkFaults};
use daemon::{Happening, Message};
use pomeloreach_core::account::QuotaLimit;
use pomeloreach_core::mesh::quota::{CREDIT_WAIT_MS, QuotaNode, QuotaTerms, Take};
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

/// How often a node looks for something to send, in milliseconds.
const TICK_MS: u64 = 20;
/// How often the nodes' knowledge of their peers is brought up to date, in milliseconds.
const VIEW_MS: u64 = 100;
/// How long an unreachable peer counts as linked, in milliseconds.
const LINK_TIMEOUT_MS: u64 = 2_600;

pub struct Fleet {
    pub now_ms: u64,
    pub daemons: Vec<Daemon>,
    pub accounts: Vec<Arc<str>>,
    pub limits: BTreeMap<Arc<str>, QuotaLimit>,
    pub faults: LinkFaults,
    /// The times at which requests ran, by account.
    pub runs: Vec<Vec<u64>>,
    /// The times at which requests arrived, by account.
    pub arrivals: Vec<Vec<u64>>,
    pub messages: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    happenings: Vec<Option<Happening>>,
    free: Vec<usize>,
    sequence: u64,
    rng: ChaCha8Rng,
}

impl Fleet {
    /// A fleet whose daemons all start at once.
    pub fn new(zones: usize, per_zone: usize, limits: &[QuotaLimit], seed: u64) -> Self {
        let accounts: Vec<Arc<str>> =
            (0..limits.len()).map(|index| format!("account-{index:02}").into()).collect();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let daemon = |index: usize, rng: &mut ChaCha8Rng| Daemon {
            name: format!("d{index:03}").into(),
            zone: index % zones,
            region: (index % zones) / 2,
            clock_offset_ms: u64::from(rng.next_u32() % 100_000_000),
            node: None,
            start_id: 0,
            paused_until_ms: 0,
            group: 0,
            seen: BTreeMap::new(),
            waiting: Vec::new(),
            rates: vec![0.0; limits.len()],
            generation: 0,
        };
        let daemons = (0..zones * per_zone).map(|index| daemon(index, &mut rng)).collect();
        let mut fleet = Self {
            now_ms: 0,
            daemons,
            limits: accounts.iter().cloned().zip(limits.iter().copied()).collect(),
            runs: vec![Vec::new(); limits.len()],
            arrivals: vec![Vec::new(); limits.len()],
            accounts,
            faults: LinkFaults::default(),
            messages: 0,
            queue: BinaryHeap::new(),
            happenings: Vec::new(),
            free: Vec::new(),
            sequence: 0,
            rng,
        };
        for index in 0..fleet.daemons.len() {
            fleet.start(index);
            fleet.schedule(index as u64 % TICK_MS, Happening::Tick { node: index });
        }
        fleet.schedule(0, Happening::Views);
        fleet
    }

    pub fn random(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    /// The time of a daemon's clock.
    fn clock(&self, index: usize) -> u64 {
        self.now_ms + self.daemons[index].clock_offset_ms
    }

    pub fn start(&mut self, index: usize) {
        let now_ms = self.clock(index);
        let terms = QuotaTerms::default();
        let mut node = QuotaNode::new(terms, now_ms);
        node.set_limits(self.limits.clone(), terms, now_ms);
        node.set_daemons(self.daemons.len() as u32, now_ms);
        let daemon = &mut self.daemons[index];
        daemon.node = Some(node);
        daemon.start_id += 1;
        daemon.seen.clear();
        daemon.waiting.clear();
        let rates = daemon.rates.clone();
        self.set_rates(index, rates);
    }

    pub fn kill(&mut self, index: usize) {
        self.daemons[index].node = None;
        self.daemons[index].waiting.clear();
        self.daemons[index].generation += 1;
    }

    pub fn pause(&mut self, index: usize, ms: u64) {
        self.daemons[index].paused_until_ms = self.now_ms + ms;
    }

    /// Applies limits at all daemons at once.
    pub fn set_limits(&mut self, limits: BTreeMap<Arc<str>, QuotaLimit>) {
        self.limits = limits;
        for index in 0..self.daemons.len() {
            let now_ms = self.clock(index);
            if let Some(node) = &mut self.daemons[index].node {
                node.set_limits(self.limits.clone(), QuotaTerms::default(), now_ms);
            }
        }
    }

    /// Sets the number of daemons that all daemons know.
    pub fn set_daemons(&mut self, count: u32) {
        (0..self.daemons.len()).for_each(|index| self.set_daemons_of(index, count));
    }

    /// Sets the number of daemons that one daemon knows.
    pub fn set_daemons_of(&mut self, index: usize, count: u32) {
        let now_ms = self.clock(index);
        if let Some(node) = &mut self.daemons[index].node {
            node.set_daemons(count, now_ms);
        }
    }

    /// Sets the requests per second that a daemon receives for each account.
    pub fn set_rates(&mut self, index: usize, rates: Vec<f64>) {
        self.daemons[index].rates = rates;
        self.daemons[index].generation += 1;
        for account in 0..self.accounts.len() {
            self.schedule_arrival(index, account);
        }
    }

    fn schedule_arrival(&mut self, node: usize, account: usize) {
        let rate = self.daemons[node].rates[account];
        let generation = self.daemons[node].generation;
        if rate > 0.0 {
            let pause_ms = -(1.0 - self.random() * 0.999_999).ln() / rate * 1_000.0;
            let happening = Happening::Arrival { node, account, generation };
            self.schedule(self.now_ms + pause_ms.round() as u64, happening);
        }
    }

    fn schedule(&mut self, at_ms: u64, happening: Happening) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.happenings.push(None);
            self.happenings.len() - 1
        });
        self.happenings[slot] = Some(happening);
        self.sequence += 1;
        self.queue.push(Reverse((at_ms, self.sequence, slot)));
    }

    pub fn run_until(&mut self, end_ms: u64) {
        while let Some(Reverse((at_ms, _, slot))) = self.queue.peek().copied() {
            if at_ms > end_ms {
                break;
            }
            self.queue.pop();
            self.now_ms = self.now_ms.max(at_ms);
            let happening = self.happenings[slot].take().expect("each slot is used once");
            self.free.push(slot);
            self.handle(happening);
        }
        self.now_ms = end_ms;
    }

    fn handle(&mut self, happening: Happening) {
        match happening {
            Happening::Views => {
                self.update_views();
                self.schedule(self.now_ms + VIEW_MS, Happening::Views);
            }
            Happening::Tick { node } => {
                if self.is_running(node) {
                    self.tick(node);
                }
                self.schedule(self.now_ms + TICK_MS, Happening::Tick { node });
            }
            Happening::Arrival { node, account, generation } => {
                if self.daemons[node].generation != generation {
                    return;
                }
                self.schedule_arrival(node, account);
                self.arrivals[account].push(self.now_ms);
                if self.is_running(node) {
                    self.arrive(node, account);
                }
            }
            Happening::Message { from, to, starts, message } => {
                let paused_until_ms = self.daemons[to].paused_until_ms;
                if self.now_ms < paused_until_ms {
                    let happening = Happening::Message { from, to, starts, message };
                    return self.schedule(paused_until_ms, happening);
                }
                let present = (self.daemons[from].start_id, self.daemons[to].start_id);
                if self.daemons[to].node.is_some() && starts.1 == present.1 {
                    self.receive(from, to, message);
                }
            }
        }
    }

    fn is_running(&self, index: usize) -> bool {
        let daemon = &self.daemons[index];
        daemon.node.is_some() && self.now_ms >= daemon.paused_until_ms
    }

    fn update_views(&mut self) {
        let now_ms = self.now_ms;
        for index in 0..self.daemons.len() {
            if !self.is_running(index) {
                continue;
            }
            let reachable: Vec<(usize, u64)> = (0..self.daemons.len())
                .filter(|other| *other != index && self.is_running(*other))
                .filter(|other| self.daemons[*other].group == self.daemons[index].group)
                .map(|other| (other, self.daemons[other].start_id))
                .collect();
            let wrong = self.random() < self.faults.wrong_keeper;
            let choice = self.rng.next_u32() as usize;
            let (name, zone) = (self.daemons[index].name.clone(), self.daemons[index].zone);
            let daemon = &mut self.daemons[index];
            for (other, start_id) in reachable {
                daemon.seen.insert(other, (now_ms, start_id));
            }
            daemon.seen.retain(|_, (seen_ms, _)| *seen_ms + LINK_TIMEOUT_MS >= now_ms);
            let linked: Vec<(usize, u64)> =
                daemon.seen.iter().map(|(other, (_, start_id))| (*other, *start_id)).collect();
            let in_zone = |(other, _): &&(usize, u64)| self.daemons[*other].zone == zone;
            let first = linked.iter().find(in_zone).copied();
            let keeper = match first {
                Some(_) if wrong => Some(linked[choice % linked.len()]),
                Some((other, _)) if self.daemons[other].name < name => first,
                _ => None,
            };
            let keeper = keeper.map(|(other, start)| (self.daemons[other].name.clone(), start));
            if let Some(node) = &mut self.daemons[index].node {
                node.set_keeper(keeper.as_ref().map(|(name, start_id)| (name, *start_id)));
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let now_ms = self.clock(index);
        self.serve_waiting(index);
        self.request_credit(index);
        let mut zones: BTreeMap<usize, usize> = BTreeMap::new();
        for other in self.daemons[index].seen.keys() {
            if self.daemons[*other].zone != self.daemons[index].zone {
                zones.entry(self.daemons[*other].zone).or_insert(*other);
            }
        }
        let lenders: Vec<Arc<str>> =
            zones.values().map(|other| self.daemons[*other].name.clone()).collect();
        let node = self.daemons[index].node.as_mut().expect("the daemon runs");
        for (lender, request) in node.loan_requests(&lenders, now_ms) {
            let to = self.index(&lender);
            self.send(index, to, Message::LoanRequest(request));
        }
    }

    fn index(&self, name: &str) -> usize {
        self.daemons.iter().position(|daemon| &*daemon.name == name).expect("the name is known")
    }

    fn request_credit(&mut self, index: usize) {
        let now_ms = self.clock(index);
        let node = self.daemons[index].node.as_mut().expect("the daemon runs");
        if let Some((keeper, request)) = node.credit_request(now_ms) {
            let to = self.index(&keeper);
            self.send(index, to, Message::CreditRequest(request));
        }
    }

    fn arrive(&mut self, index: usize, account: usize) {
        let now_ms = self.clock(index);
        let name = self.accounts[account].clone();
        let node = self.daemons[index].node.as_mut().expect("the daemon runs");
        node.record_arrival(&name, now_ms);
        match node.try_take(&name, now_ms) {
            Take::Unlimited | Take::Taken(_) => self.runs[account].push(self.now_ms),
            Take::Empty { wait_ms: Some(wait_ms) } if wait_ms > CREDIT_WAIT_MS => {}
            Take::Empty { .. } => {
                node.add_waiting(&name);
                self.daemons[index].waiting.push((account, self.now_ms + CREDIT_WAIT_MS));
            }
        }
        self.request_credit(index);
    }

    fn serve_waiting(&mut self, index: usize) {
        let now_ms = self.clock(index);
        let waiting = std::mem::take(&mut self.daemons[index].waiting);
        let mut left = Vec::new();
        for (account, deadline_ms) in waiting {
            let name = self.accounts[account].clone();
            let node = self.daemons[index].node.as_mut().expect("the daemon runs");
            let take = node.try_take(&name, now_ms);
            if matches!(take, Take::Unlimited | Take::Taken(_)) {
                node.remove_waiting(&name);
                self.runs[account].push(self.now_ms);
            } else if self.now_ms >= deadline_ms {
                node.remove_waiting(&name);
            } else {
                left.push((account, deadline_ms));
            }
        }
        self.daemons[index].waiting = left;
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.messages += 1;
        let (sender, receiver) = (&self.daemons[from], &self.daemons[to]);
        if sender.group != receiver.group || receiver.node.is_none() {
            return;
        }
        let base_ms = match (sender.zone == receiver.zone, sender.region == receiver.region) {
            (true, _) => 0.5,
            (false, true) => 1.0,
            (false, false) => 30.0,
        };
        let starts = (sender.start_id, receiver.start_id);
        if self.random() < self.faults.lost {
            return;
        }
        let mut delay_ms = base_ms + self.random() * 2.0;
        if self.random() < self.faults.late {
            delay_ms += self.random() * self.faults.late_ms as f64;
        }
        let happening = Happening::Message { from, to, starts, message };
        self.schedule(self.now_ms + delay_ms.round() as u64, happening);
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        let now_ms = self.clock(to);
        let sender = self.daemons[from].name.clone();
        let node = self.daemons[to].node.as_mut().expect("the daemon runs");
        match message {
            Message::CreditRequest(request) => {
                let grant = node.handle_credit_request(&sender, &request, now_ms);
                self.send(to, from, Message::CreditGrant(grant));
            }
            Message::CreditGrant(grant) => {
                node.handle_credit_grant(&sender, &grant, now_ms);
                self.serve_waiting(to);
                self.request_credit(to);
            }
            Message::LoanRequest(request) => {
                let grant = node.handle_loan_request(&sender, &request, now_ms);
                self.send(to, from, Message::LoanGrant(grant));
            }
            Message::LoanGrant(grant) => node.handle_loan_grant(&sender, &grant, now_ms),
        }
    }
}

/// The largest number of requests in any window.
pub fn most_in_window(runs: &[u64], window_ms: u64) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (last, at_ms) in runs.iter().enumerate() {
        while runs[first] + window_ms <= *at_ms {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}
