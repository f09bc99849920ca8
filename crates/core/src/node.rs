//! The control plane of one daemon as a state machine.
//!
//! [`Node::handle`] takes one input and the current time, and returns the outputs that the process
//! must carry out. The parts of the control plane are in modules of their own: joining the
//! distribution tree and accepting children, distributing and applying versions, endpoint records,
//! reading the log, publishing edits, roles, the minimum version to start with, status, and log
//! compaction.

use crate::api::{EditResponse, StatusResponse};
use crate::compaction::{CompactionCall, LogCompactor};
use crate::config::Config;
use crate::edit::EditRequest;
use crate::endpoint::{Endpoint, TargetState};
use crate::event::{Event, EventRecord};
use crate::joining::JoinState;
use crate::link::{LOCALLY_OPENED_BIT, Link, LinkId, LinkKind, LinkState};
use crate::log::ConfigLog;
use crate::membership::{Entry, Membership};
use crate::message::{DaemonInfo, Message};
use crate::minimum_version::{MinimumVersion, MinimumVersionSource};
use crate::publisher::{PublishCall, Publisher};
use crate::reader::{LogReader, ReadCall, ReadMode};
use crate::roles::{Role, RoleCall, RoleChange, RoleContext, Roles};
use crate::status::{PendingStatusRequests, ReplyTo};
use crate::store::{StoreFailure, StoreOp, StoreReply};
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Interval at which a process sends [`Input::Tick`], in milliseconds.
pub const TICK_MS: u64 = 50;
/// The first list of the leases is delayed at random by up to this time, in milliseconds, to spread
/// the load when many daemons start together.
const FIRST_POLL_SPREAD_MS: u64 = 800;
/// The first list of the end of the log is delayed at random by up to this time, in milliseconds,
/// for the same reason.
const FIRST_LOG_LIST_SPREAD_MS: u64 = 1_500;
/// Consecutive failed calls after which the store is reported as failing.
const STORE_FAILING_AFTER: u32 = 2;

/// The settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Identity and address of this daemon.
    pub local: DaemonInfo,
    /// Addresses that a leaf tries as parents when no known relay can be tried. They are also
    /// probed for the minimum version.
    pub seeds: Vec<SocketAddr>,
    /// Number of relay leases per zone.
    pub relays_per_zone: u16,
    /// Number of children from which on a relay redirects further leaves. Relays that join are not
    /// limited.
    pub children_max: usize,
}

/// Id of a store call, unique within one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreCallId(pub u64);

/// State of the local target: from its announcement, or `Lapsed` after the announcement's lease has
/// ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReport {
    pub service: Arc<str>,
    pub state: TargetState,
    pub slots: u16,
}

/// Something that happened outside the node and that it must handle.
#[derive(Clone, Debug)]
pub enum Input {
    Tick,
    /// Another daemon has opened a link to this one.
    LinkAccepted {
        link: LinkId,
        addr: SocketAddr,
    },
    /// A link from [`Output::Connect`] is open.
    LinkOpened {
        link: LinkId,
    },
    /// A link is closed or could not be opened.
    LinkDown {
        link: LinkId,
    },
    Received {
        link: LinkId,
        message: Message,
    },
    /// The reply to [`Output::CallStore`].
    StoreAnswered {
        call: StoreCallId,
        result: Result<StoreReply, StoreFailure>,
    },
    /// The state of the local target has changed.
    Target(TargetReport),
    /// An operator publishes an edit. The response has the same ticket.
    Publish {
        ticket: u64,
        request: EditRequest,
    },
    /// An operator requests the status of all daemons. The response has the same ticket.
    GetStatus {
        ticket: u64,
    },
    /// The data plane needs the endpoint records of a service.
    Subscribe {
        service: Arc<str>,
    },
    /// The daemon prepares to stop: it accepts no children, and claims and renews no lease.
    Drain,
    /// The daemon stops now. Later inputs are ignored.
    Stop,
}

/// An action for the process.
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
    /// The data plane must use this configuration from now on.
    ConfigInForce(Arc<Config>),
    /// All known endpoint records of a service, after a change or a subscription.
    Endpoints {
        service: Arc<str>,
        entries: Vec<Entry>,
    },
    /// The response to [`Input::Publish`].
    Published {
        ticket: u64,
        response: EditResponse,
    },
    /// The response to [`Input::GetStatus`].
    Status {
        ticket: u64,
        response: StatusResponse,
    },
    /// A line for the log.
    Event(EventRecord),
}

/// The part of the node that made a store call and handles the reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallOwner {
    Read(ReadCall),
    Role(RoleCall),
    Publish { ticket: u64, call: PublishCall },
    MinimumVersion,
    Compaction(CompactionCall),
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
    /// The endpoint record of this daemon, once its target has announced itself.
    pub(crate) local_record: Option<Endpoint>,
    /// Services whose endpoint records the data plane of this daemon needs.
    pub(crate) services: BTreeSet<Arc<str>>,
    /// Of `services`, those for which the parent has sent all records.
    pub(crate) complete_services: BTreeSet<Arc<str>>,
    pub(crate) roles: Roles,
    pub(crate) joining: JoinState,
    pub(crate) minimum_version: MinimumVersion,
    /// The newest version known to exist, whether or not it is held here.
    pub(crate) newest_version: u64,
    /// Relays of this region; on a leaf also those received in replies to probes.
    pub(crate) known_relays: BTreeSet<DaemonInfo>,
    pub(crate) draining: bool,
    pub(crate) reader: LogReader,
    pub(crate) publisher: Publisher,
    pub(crate) compactor: LogCompactor,
    pub(crate) status_requests: PendingStatusRequests,
    /// Store calls without a reply yet.
    pub(crate) store_calls: BTreeMap<StoreCallId, CallOwner>,
    next_store_call: u64,
    next_link: u64,
    /// Consecutive failed store calls.
    pub(crate) store_failures: u32,
    /// The version last passed to the data plane.
    pub(crate) in_force_version: Option<u64>,
    stopped: bool,
    /// Outputs collected while the current input is handled.
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
            minimum_version: MinimumVersion::new(now_ms, first_list_ms),
            newest_version: 0,
            known_relays: BTreeSet::new(),
            draining: false,
            reader: LogReader::new(),
            publisher: Publisher::default(),
            compactor: LogCompactor::default(),
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

    /// Identity and address of this daemon.
    pub fn local(&self) -> &DaemonInfo {
        &self.settings.local
    }

    pub fn config(&self) -> &Arc<Config> {
        self.log.config()
    }

    /// Whether the daemon has reached its minimum version and may serve requests.
    pub fn is_ready(&self) -> bool {
        self.minimum_version.is_reached()
    }

    /// Where the minimum version was obtained from.
    pub fn minimum_version_source(&self) -> Option<MinimumVersionSource> {
        self.minimum_version.source()
    }

    /// Whether this daemon holds a relay lease.
    pub fn is_relay(&self) -> bool {
        self.roles.holds(Role::Relay)
    }

    /// Whether a parent has accepted this daemon.
    pub fn has_parent(&self) -> bool {
        self.joining.joined_parent().is_some()
    }

    /// Whether this daemon acts as the leader of its region: it holds the leader lease, or it is a
    /// relay without a parent.
    pub fn acts_as_leader(&self) -> bool {
        self.roles.holds(Role::Leader) || (self.is_relay() && !self.has_parent())
    }

    /// The size of a snapshot of the configuration held here, in bytes.
    pub fn snapshot_bytes(&self) -> usize {
        self.log.clone().snapshot().len()
    }

    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The newest version known to exist, whether or not it is held here.
    pub fn newest_version(&self) -> u64 {
        self.newest_version
    }

    pub fn links(&self) -> impl Iterator<Item = (&LinkId, &Link)> {
        self.links.iter()
    }

    /// Whether at least `STORE_FAILING_AFTER` store calls in a row have failed.
    pub fn is_store_failing(&self) -> bool {
        self.store_failures >= STORE_FAILING_AFTER
    }

    /// Whether all records of a service are known here. A relay receives the records of all
    /// services.
    pub fn has_complete_service(&self, service: &str) -> bool {
        self.is_relay() || self.complete_services.contains(service)
    }

    /// Handles one input and returns the resulting outputs.
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
            Input::StoreAnswered { call, result } => self.handle_store_reply(call, result),
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

    /// Runs everything that depends on time.
    fn tick(&mut self) {
        self.close_timed_out_links();
        self.run_roles();
        self.run_joining();
        self.run_minimum_version();
        self.run_reader();
        self.run_publisher();
        self.run_compactor();
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

    /// Outputs a log event.
    pub(crate) fn event(&mut self, event: Event, detail: String) {
        self.outputs.push(Output::Event(EventRecord { event, detail }));
    }

    /// Outputs a store call and records which part of the node handles the reply.
    pub(crate) fn call_store(&mut self, owner: CallOwner, op: StoreOp) {
        self.next_store_call += 1;
        let call = StoreCallId(self.next_store_call);
        self.store_calls.insert(call, owner);
        self.outputs.push(Output::CallStore { call, op });
    }

    /// Outputs a request to connect and registers the link.
    pub(crate) fn open_link(&mut self, kind: LinkKind, addr: SocketAddr) -> LinkId {
        self.next_link += 1;
        let link = LinkId(self.next_link);
        self.links.insert(link, Link::new(kind, LinkState::Opening, addr, self.now_ms));
        self.outputs.push(Output::Connect { link, addr });
        link
    }

    /// Outputs a request to close the link and removes it.
    pub(crate) fn close_link(&mut self, link: LinkId) {
        self.output(Output::Close { link });
        self.drop_link(link);
    }

    /// Closes links that took too long to open or received no message for too long.
    fn close_timed_out_links(&mut self) {
        let overdue: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, link)| link.is_timed_out(self.now_ms))
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            self.close_link(id);
        }
    }

    /// Joined links of the wanted kinds.
    pub(crate) fn joined_links(&self, wanted: impl Fn(LinkKind) -> bool) -> Vec<LinkId> {
        self.links
            .iter()
            .filter(|(_, link)| link.state == LinkState::Joined && wanted(link.kind))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Handles a message. The link is closed if it receives anything but the handshake or a
    /// redirect before it is joined.
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

    /// Lists, claims and renews leases as due, and applies role changes.
    fn run_roles(&mut self) {
        let needs_relay = self.joining.lacks_parent() || self.is_parent_in_other_region();
        let context = RoleContext { needs_relay, draining: self.draining };
        for (call, op) in self.roles.tick(self.now_ms, context, &mut self.rng) {
            self.call_store(CallOwner::Role(call), op);
        }
        self.apply_role_changes();
    }

    /// Logs role changes and adapts the links to them.
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

    /// How this daemon reads the log from the store, by its place in the tree.
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

    /// Submits an operator's edit.
    fn publish(&mut self, ticket: u64, request: EditRequest) {
        let held = self.log.config().clone();
        if let Some(finished) = self.publisher.submit(ticket, request, &held, self.now_ms) {
            self.output(Output::Published { ticket, response: finished.response });
        }
        self.run_publisher();
    }

    /// Makes the publisher's store calls and outputs finished responses.
    pub(crate) fn run_publisher(&mut self) {
        let held = self.log.config().clone();
        let (calls, finished) = self.publisher.tick(self.now_ms, &held);
        for finished in finished {
            let (ticket, response) = (finished.ticket, finished.response);
            self.event(
                Event::EditPublished,
                format!("code={} version={}", response.number, response.version),
            );
            self.output(Output::Published { ticket, response });
        }
        let Some(ticket) = self.publisher.current_ticket() else { return };
        for (call, op) in calls {
            self.call_store(CallOwner::Publish { ticket, call }, op);
        }
    }

    /// Compacts the log if this daemon is responsible for it.
    pub(crate) fn run_compactor(&mut self) {
        if !self.roles.holds(Role::Leader) || self.draining || !self.is_ready() {
            return;
        }
        // Only the leader whose region name is smallest compacts the log. If two leaders do so at
        // once, conditional writes keep them consistent.
        let peers = self.roles.peer_leaders();
        if peers.iter().any(|peer| peer.region < self.local().region) {
            return;
        }
        if let Some((call, op)) = self.compactor.tick(self.now_ms, &mut self.log) {
            self.call_store(CallOwner::Compaction(call), op);
        }
    }

    /// Prepares to stop.
    fn drain(&mut self) {
        self.draining = true;
        self.event(Event::DaemonDraining, String::new());
    }

    /// Notifies the linked daemons that this one stops, and ignores all later inputs.
    fn stop(&mut self) {
        for link in self.joined_links(|_| true) {
            self.send(link, Message::Stopping);
        }
        self.stopped = true;
        self.event(Event::DaemonStopped, String::new());
    }

    /// Number of versions that this daemon has refused.
    pub(crate) fn refused_versions(&self) -> u16 {
        u16::try_from(self.log.config().refusals.len()).unwrap_or(u16::MAX)
    }

    /// Removes a link and updates everything that depends on it.
    fn drop_link(&mut self, id: LinkId) {
        let Some(link) = self.links.remove(&id) else { return };
        self.status_requests.mark_link_lost(id);
        self.handle_lost_link(id, &link);
    }
}
