//! The control plane of one daemon: its tables, and the order in which systems run over them.
//!
//! [`Node::handle`] takes one input and the time, and returns what the process is to do. The
//! systems stand in modules of their own: joining the tree and letting others in, handing out and
//! taking in versions, records, reading the log, publishing, roles, the version to start from,
//! status, and keeping the log short.

use crate::api::{EditAnswer, StatusAnswer};
use crate::config::Config;
use crate::edit::EditRequest;
use crate::endpoint::{Endpoint, TargetState};
use crate::event::{Event, EventRecord};
use crate::floor::{Floor, FloorSource};
use crate::joining::JoinState;
use crate::keeper::{KeepCall, Keeper};
use crate::link::{LOCALLY_OPENED_BIT, Link, LinkId, LinkKind, LinkState};
use crate::log::ConfigLog;
use crate::membership::{Entry, Membership};
use crate::message::{DaemonInfo, Message};
use crate::publisher::{PublishCall, Publisher};
use crate::reader::{ReadCall, ReadMode, Reader};
use crate::roles::{Role, RoleCall, RoleChange, RoleContext, Roles};
use crate::status::{PendingStatusRequests, ReplyTo};
use crate::store::{StoreFailure, StoreOp, StoreReply};
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// How often a process ticks its node, in milliseconds.
pub const TICK_MS: u64 = 50;
/// The first looks at the leases by daemons that start together are spread over this time, in
/// milliseconds.
const FIRST_POLL_SPREAD_MS: u64 = 800;
/// Their first questions for the end of the log are spread over this time, in milliseconds.
const FIRST_LOG_LIST_SPREAD_MS: u64 = 1_500;
/// Failed calls in a row after which the store counts as failing.
const STORE_FAILING_AFTER: u32 = 2;

/// What a node knows from its settings.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    pub local: DaemonInfo,
    pub seeds: Vec<SocketAddr>,
    pub relays_per_zone: u16,
    /// Links from other daemons that a relay takes at the most.
    pub children_max: usize,
}

/// Names a call to the store within one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreCallId(pub u64);

/// What a target or its announcement's end says, with what the process adds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReport {
    pub service: Arc<str>,
    pub state: TargetState,
    pub slots: u16,
}

/// Something that happened outside.
#[derive(Clone, Debug)]
pub enum Input {
    Tick,
    LinkAccepted {
        link: LinkId,
        addr: SocketAddr,
    },
    LinkOpened {
        link: LinkId,
    },
    LinkDown {
        link: LinkId,
    },
    Received {
        link: LinkId,
        message: Message,
    },
    StoreAnswered {
        call: StoreCallId,
        result: Result<StoreReply, StoreFailure>,
    },
    Target(TargetReport),
    Publish {
        ticket: u64,
        request: EditRequest,
    },
    GetStatus {
        ticket: u64,
    },
    /// A request needs the records of a service.
    Subscribe {
        service: Arc<str>,
    },
    /// The daemon prepares to stop.
    Drain,
    /// The daemon stops now.
    Stop,
}

/// Something to do outside.
#[derive(Clone, Debug)]
pub enum Output {
    Connect {
        link: LinkId,
        addr: SocketAddr,
    },
    Send {
        link: LinkId,
        message: Message,
    },
    Close {
        link: LinkId,
    },
    CallStore {
        call: StoreCallId,
        op: StoreOp,
    },
    ConfigInForce(Arc<Config>),
    /// All records of a service that this daemon knows, after a change.
    Endpoints {
        service: Arc<str>,
        entries: Vec<Entry>,
    },
    Published {
        ticket: u64,
        answer: EditAnswer,
    },
    Status {
        ticket: u64,
        answer: StatusAnswer,
    },
    Event(EventRecord),
}

/// Which system made a call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallOwner {
    Read(ReadCall),
    Role(RoleCall),
    Publish { ticket: u64, call: PublishCall },
    Floor,
    Keep(KeepCall),
}

/// The control plane of one daemon.
#[derive(Debug)]
pub struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) now_ms: u64,
    pub(crate) log: ConfigLog,
    pub(crate) links: BTreeMap<LinkId, Link>,
    pub(crate) membership: Membership,
    pub(crate) local_record: Option<Endpoint>,
    /// The services whose records this daemon needs itself.
    pub(crate) services: BTreeSet<Arc<str>>,
    /// Of those, the ones whose records are whole.
    pub(crate) complete_services: BTreeSet<Arc<str>>,
    pub(crate) roles: Roles,
    pub(crate) joining: JoinState,
    pub(crate) floor: Floor,
    pub(crate) newest_version: u64,
    pub(crate) known_relays: BTreeSet<DaemonInfo>,
    pub(crate) draining: bool,
    pub(crate) reader: Reader,
    pub(crate) publisher: Publisher,
    pub(crate) keeper: Keeper,
    pub(crate) status_requests: PendingStatusRequests,
    pub(crate) store_calls: BTreeMap<StoreCallId, CallOwner>,
    next_store_call: u64,
    next_link: u64,
    pub(crate) store_failures: u32,
    pub(crate) in_force_version: Option<u64>,
    stopped: bool,
    outputs: Vec<Output>,
}

impl Node {
    pub fn new(settings: NodeSettings, seed: u64, now_ms: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let first_poll_ms = now_ms + rng.next_u64() % FIRST_POLL_SPREAD_MS;
        let first_list_ms = now_ms + rng.next_u64() % FIRST_LOG_LIST_SPREAD_MS;
        let roles = Roles::new(settings.local.clone(), settings.relays_per_zone, first_poll_ms);
        Self {
            rng,
            now_ms,
            log: ConfigLog::default(),
            links: BTreeMap::new(),
            membership: Membership::default(),
            local_record: None,
            services: BTreeSet::new(),
            complete_services: BTreeSet::new(),
            roles,
            joining: JoinState::new(now_ms),
            floor: Floor::new(now_ms, first_list_ms),
            newest_version: 0,
            known_relays: BTreeSet::new(),
            draining: false,
            reader: Reader::new(),
            publisher: Publisher::default(),
            keeper: Keeper::default(),
            status_requests: PendingStatusRequests::default(),
            store_calls: BTreeMap::new(),
            next_store_call: 0,
            next_link: LOCALLY_OPENED_BIT,
            store_failures: 0,
            in_force_version: None,
            stopped: false,
            outputs: Vec::new(),
            settings,
        }
    }

    pub fn local(&self) -> &DaemonInfo {
        &self.settings.local
    }

    pub fn config(&self) -> &Arc<Config> {
        self.log.config()
    }

    /// Whether the daemon holds the version it must start from, and may serve.
    pub fn is_ready(&self) -> bool {
        self.floor.is_reached()
    }

    /// Who named the version that this daemon started from.
    pub fn floor_source(&self) -> Option<FloorSource> {
        self.floor.source()
    }

    pub fn is_relay(&self) -> bool {
        self.roles.holds(Role::Relay)
    }

    pub fn has_parent(&self) -> bool {
        self.joining.joined_parent().is_some()
    }

    /// Whether this daemon speaks for its region: by lease, or as a relay whom no leader feeds.
    pub fn acts_as_leader(&self) -> bool {
        self.roles.holds(Role::Leader) || (self.is_relay() && !self.has_parent())
    }

    /// The length of a snapshot of the configuration held, in bytes.
    pub fn snapshot_bytes(&self) -> usize {
        self.log.clone().snapshot().len()
    }

    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    pub fn newest_version(&self) -> u64 {
        self.newest_version
    }

    pub fn links(&self) -> impl Iterator<Item = (&LinkId, &Link)> {
        self.links.iter()
    }

    pub fn is_store_failing(&self) -> bool {
        self.store_failures >= STORE_FAILING_AFTER
    }

    /// Whether the records of a service can be relied on to be all there are.
    pub fn has_complete_service(&self, service: &str) -> bool {
        self.is_relay() || self.complete_services.contains(service)
    }

    /// Takes in one input and runs the systems that it concerns.
    pub fn handle(&mut self, now_ms: u64, input: Input) -> Vec<Output> {
        self.now_ms = now_ms.max(self.now_ms);
        if self.stopped {
            return Vec::new();
        }
        match input {
            Input::Tick => self.tick(),
            Input::LinkAccepted { link, addr } => self.accept_link(link, addr),
            Input::LinkOpened { link } => self.send_hello(link),
            Input::LinkDown { link } => self.drop_link(link),
            Input::Received { link, message } => self.receive(link, message),
            Input::StoreAnswered { call, result } => self.store_answered(call, result),
            Input::Target(report) => self.handle_target_report(report),
            Input::Publish { ticket, request } => self.publish(ticket, request),
            Input::GetStatus { ticket } => self.gather_status(ReplyTo::Operator { ticket }, None),
            Input::Subscribe { service } => self.subscribe(service),
            Input::Drain => self.drain(),
            Input::Stop => self.stop(),
        }
        self.send_versions();
        std::mem::take(&mut self.outputs)
    }

    fn tick(&mut self) {
        self.close_timed_out_links();
        self.run_roles();
        self.run_joining();
        self.run_floor();
        self.run_reader();
        self.run_publisher();
        self.run_keeper();
        self.run_records();
        self.send_heartbeats();
        self.finish_status_requests();
        if self.draining {
            return;
        }
        self.put_in_force();
    }

    pub(crate) fn output(&mut self, output: Output) {
        self.outputs.push(output);
    }

    pub(crate) fn send(&mut self, link: LinkId, message: Message) {
        self.outputs.push(Output::Send { link, message });
    }

    pub(crate) fn event(&mut self, event: Event, detail: String) {
        self.outputs.push(Output::Event(EventRecord { event, detail }));
    }

    pub(crate) fn call_store(&mut self, owner: CallOwner, op: StoreOp) {
        self.next_store_call += 1;
        let call = StoreCallId(self.next_store_call);
        self.store_calls.insert(call, owner);
        self.outputs.push(Output::CallStore { call, op });
    }

    pub(crate) fn open_link(&mut self, kind: LinkKind, addr: SocketAddr) -> LinkId {
        self.next_link += 1;
        let link = LinkId(self.next_link);
        self.links.insert(link, Link::new(kind, LinkState::Opening, addr, self.now_ms));
        self.outputs.push(Output::Connect { link, addr });
        link
    }

    pub(crate) fn close_link(&mut self, link: LinkId) {
        self.output(Output::Close { link });
        self.drop_link(link);
    }

    fn close_timed_out_links(&mut self) {
        let overdue: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, link)| link.is_timed_out(self.now_ms))
            .map(|(id, _)| *id)
            .collect();
        for link in overdue {
            self.close_link(link);
        }
    }

    pub(crate) fn joined_links(&self, wanted: impl Fn(LinkKind) -> bool) -> Vec<LinkId> {
        self.links
            .iter()
            .filter(|(_, link)| link.state == LinkState::Joined && wanted(link.kind))
            .map(|(id, _)| *id)
            .collect()
    }

    fn receive(&mut self, link: LinkId, message: Message) {
        let Some(entry) = self.links.get_mut(&link) else { return };
        entry.last_received_ms = self.now_ms;
        let is_joined = entry.state == LinkState::Joined;
        match message {
            Message::Hello(hello) => self.receive_hello(link, *hello),
            Message::Welcome(welcome) => self.receive_welcome(link, welcome),
            Message::Redirect { relays, retry_after_ms } => {
                self.receive_redirect(link, relays, retry_after_ms);
            }
            _ if !is_joined => self.close_link(link),
            Message::Relays(relays) => self.known_relays = relays.into_iter().collect(),
            Message::Heartbeat(heartbeat) => self.receive_heartbeat(link, &heartbeat),
            Message::Edits(edits) => self.receive_edits(edits),
            Message::Snapshot(raw) => self.receive_snapshot(&raw),
            Message::Records { scope, full, records } => {
                self.receive_records(link, &scope, full, records);
            }
            Message::ResyncRequest => self.send_all_records(link),
            Message::Subscribe { services } => self.receive_subscribe(link, services),
            Message::Nominate => self.roles.accept_nomination(self.now_ms),
            Message::GetStatus { id } => self.gather_status(ReplyTo::Link { link, id }, Some(link)),
            Message::StatusReply { id, rows, complete } => {
                self.status_requests.add_reply(link, id, rows, complete);
                self.finish_status_requests();
            }
            Message::Stopping => self.receive_stopping(link),
        }
    }

    fn run_roles(&mut self) {
        let needs_relay = self.joining.lacks_parent() || self.is_parent_in_other_region();
        let context = RoleContext { needs_relay, draining: self.draining };
        for (call, op) in self.roles.tick(self.now_ms, context, &mut self.rng) {
            self.call_store(CallOwner::Role(call), op);
        }
        self.apply_role_changes();
    }

    pub(crate) fn apply_role_changes(&mut self) {
        for change in self.roles.take_changes() {
            match change {
                RoleChange::Claimed { role: Role::Relay, key } => {
                    self.event(Event::RelayClaimed, format!("key={key}"));
                    self.become_relay();
                }
                RoleChange::Claimed { role: Role::Leader, key } => {
                    self.event(Event::LeadClaimed, format!("key={key}"));
                    self.become_leader();
                }
                RoleChange::Lost { role: Role::Relay, key } => {
                    self.event(Event::RelayLost, format!("key={key}"));
                    self.stop_relaying();
                }
                RoleChange::Lost { role: Role::Leader, key } => {
                    self.event(Event::LeadLost, format!("key={key}"));
                    self.stop_leading();
                }
            }
        }
    }

    pub(crate) fn run_reader(&mut self) {
        let mode = self.read_mode();
        let held_version = self.log.version();
        for (call, op) in self.reader.tick(self.now_ms, held_version, mode, &mut self.rng) {
            self.call_store(CallOwner::Read(call), op);
        }
    }

    fn read_mode(&self) -> ReadMode {
        if self.draining {
            return ReadMode::Off;
        }
        if self.acts_as_leader() {
            return ReadMode::Follow;
        }
        if self.is_relay() {
            return ReadMode::Check;
        }
        if self.joining.is_long_orphaned(self.now_ms) { ReadMode::Poll } else { ReadMode::Off }
    }

    fn publish(&mut self, ticket: u64, request: EditRequest) {
        let held = self.log.config().clone();
        if let Some(finished) = self.publisher.submit(ticket, request, &held, self.now_ms) {
            self.output(Output::Published { ticket, answer: finished.answer });
        }
        self.run_publisher();
    }

    pub(crate) fn run_publisher(&mut self) {
        let held = self.log.config().clone();
        let (calls, finished) = self.publisher.tick(self.now_ms, &held);
        for finished in finished {
            let (ticket, answer) = (finished.ticket, finished.answer);
            self.event(
                Event::EditPublished,
                format!("code={} version={}", answer.number, answer.version),
            );
            self.output(Output::Published { ticket, answer });
        }
        let Some(ticket) = self.publisher.current_ticket() else { return };
        for (call, op) in calls {
            self.call_store(CallOwner::Publish { ticket, call }, op);
        }
    }

    pub(crate) fn run_keeper(&mut self) {
        if !self.roles.holds(Role::Leader) || self.draining || !self.is_ready() {
            return;
        }
        // One leader is enough; when two think so, conditional writes keep them apart.
        let peers = self.roles.peer_leaders();
        if peers.iter().any(|peer| peer.region < self.local().region) {
            return;
        }
        if let Some((call, op)) = self.keeper.tick(self.now_ms, &mut self.log) {
            self.call_store(CallOwner::Keep(call), op);
        }
    }

    fn drain(&mut self) {
        self.draining = true;
        self.event(Event::DaemonDraining, String::new());
    }

    fn stop(&mut self) {
        for link in self.joined_links(|_| true) {
            self.send(link, Message::Stopping);
        }
        self.stopped = true;
        self.event(Event::DaemonStopped, String::new());
    }

    pub(crate) fn refused_versions(&self) -> u16 {
        u16::try_from(self.log.config().refusals.len()).unwrap_or(u16::MAX)
    }

    /// Forgets a link, and what hangs on it.
    fn drop_link(&mut self, id: LinkId) {
        let Some(link) = self.links.remove(&id) else { return };
        self.status_requests.mark_link_lost(id);
        self.handle_lost_link(id, &link);
    }
}
