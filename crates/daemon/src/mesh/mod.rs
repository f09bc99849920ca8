//! A daemon on a platform whose store holds the operators' configuration as one object; see
//! `docs/MESH.md`.
//!
//! Everything runs on one thread: a daemon has a fraction of a core, and shared state needs no
//! locks.

mod accounts;
mod attempt;
mod bodies;
mod caller_connections;
mod callers;
mod config;
mod departures;
mod discovery;
mod forward;
mod in_flight;
mod inbound;
mod incoming_links;
mod links;
mod listener;
mod metrics;
mod operators;
mod outbound_bodies;
mod outgoing_links;
mod peer_calls;
mod quota;
mod refusals;
mod report;
mod request;
mod response;
mod retries;

use crate::error::DaemonError;
use crate::logging::{self, log_event, log_with};
use crate::runtime::{listen, random_seed};
use crate::settings::{MeshSettings, Settings};
use crate::signals::{DaemonSignals, SignalRequest};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use caller_connections::CallerConnections;
use pomeloreach_core::endpoint::TargetState;
use pomeloreach_core::event::Event;
use pomeloreach_core::mesh::heartbeat::LocalTarget;
use pomeloreach_core::mesh::peers::Peers;
use pomeloreach_core::mesh::response_size::ExpectedSize;
use pomeloreach_core::mesh::round_robin::WeightedRoundRobin;
use pomeloreach_core::mesh::state::{
    ConfigState, DaemonRecord, DaemonState, TargetLoad, TargetSummary,
};
use pomeloreach_core::mesh::stop_schedule::StopSchedule;
use pomeloreach_core::mesh::typical_times::TypicalTimes;
use pomeloreach_core::retry_budget::RetryBudget;
use pomeloreach_wire::clock::{Clock, sleep_ms, within_ms};
use pomeloreach_wire::memory::Memory;
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;

/// How often a stopping daemon checks whether its requests have ended, in milliseconds.
const DRAIN_POLL_MS: u64 = 20;
/// How long a stopping daemon waits for its peers to close their links, in milliseconds: the last
/// results cross narrow links, and lost packets are sent again.
const LINKS_CLOSE_MS_MAX: u64 = 1_000;
/// How often the settings file is checked for changes without a signal, in milliseconds.
const SETTINGS_POLL_MS: u64 = 5_000;
/// The number of bits that a random start id is shifted to the right. The result is below 2^53, so
/// that every JSON implementation represents it exactly.
const START_ID_SHIFT: u32 = 11;

/// The state that the tasks of a daemon share if its settings have a `mesh` section. Without one,
/// [`crate::runtime::Shared`] is used.
pub struct Mesh {
    pub settings: Settings,
    pub mesh_settings: RefCell<Rc<MeshSettings>>,
    pub clock: Clock,
    pub executor: Rc<LocalExecutor<'static>>,
    pub local: DaemonRecord,
    pub peers: RefCell<Peers>,
    pub links: links::Links,
    pub local_target: RefCell<LocalTarget>,
    pub departures: departures::Departures,
    pub inbound: inbound::InboundProxy,
    pub bodies: bodies::InboundBodies,
    pub outbound_bodies: outbound_bodies::OutboundBodies,
    pub metrics: metrics::Metrics,
    pub config: config::LocalConfig,
    pub quotas: quota::Quotas,
    /// Whether this daemon has listed the other daemons in the store since it started.
    pub has_listed_daemons: Cell<bool>,
    /// Distributes the requests of each route over its pools.
    pub round_robin: RefCell<WeightedRoundRobin>,
    /// The retry budgets, by the name of the service.
    pub retry_budgets: RefCell<BTreeMap<Arc<str>, RetryBudget>>,
    /// The typical times of each route, by the route's name.
    pub typical_times: RefCell<BTreeMap<Arc<str>, TypicalTimes>>,
    /// The expected size of the responses of each route, by the route's name.
    pub response_sizes: RefCell<BTreeMap<Arc<str>, ExpectedSize>>,
    rng: RefCell<ChaCha8Rng>,
    /// Set when the daemon is stopping, and reports that it is not ready.
    stop_schedule: Cell<Option<StopSchedule>>,
    /// Whether this daemon reports to peers that it is leaving, after which they send no further
    /// calls. Set after `stop_schedule`.
    pub is_leaving: Cell<bool>,
    /// Closed when no further requests of callers are read.
    stop: (Sender<()>, Receiver<()>),
    /// Closed when all requests of callers must get their responses.
    last_responses: (Sender<()>, Receiver<()>),
    /// Requests of callers that have no response yet.
    pub in_flight: Cell<u32>,
    /// Requests of the target, the platform and operators that have no response yet.
    pub operators_in_flight: Cell<u32>,
    pub caller_connections: caller_connections::CallerConnections,
    /// The budget that bodies of requests and responses are charged to.
    pub memory: Arc<Memory>,
}

impl Mesh {
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    pub fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.executor.spawn(future).detach();
    }

    /// Completes when the daemon must read no further requests of callers.
    pub fn stopped(&self) -> impl Future<Output = ()> + use<> {
        let stop = self.stop.1.clone();
        async move {
            stop.recv().await.ok();
        }
    }

    /// Completes when the requests of callers that have no response yet must get one, because the
    /// daemon is about to exit.
    pub fn last_responses_due(&self) -> impl Future<Output = ()> + use<> {
        let last_responses = self.last_responses.1.clone();
        async move {
            last_responses.recv().await.ok();
        }
    }

    pub fn is_stopping(&self) -> bool {
        self.stop_schedule.get().is_some()
    }

    /// The deadline of a request as its target must know it: a stopping daemon waits for no longer
    /// than it runs itself.
    pub fn target_deadline_ms(&self, deadline_ms: u64) -> u64 {
        self.stop_schedule
            .get()
            .map_or(deadline_ms, |schedule| deadline_ms.min(schedule.run_until_ms()))
    }

    /// Whether a request with this typical service time, 0 if none is known, may be passed on to a
    /// target: during a stop, only if it is expected to end in time.
    pub fn may_pass_on(&self, service_ms: f64) -> bool {
        let schedule = self.stop_schedule.get();
        schedule.is_none_or(|schedule| schedule.may_pass_on(self.now_ms(), service_ms))
    }

    /// A random number from 0 to 1.
    pub fn random(&self) -> f64 {
        f64::from(self.rng.borrow_mut().next_u32()) / f64::from(u32::MAX)
    }

    /// A random time from `ms` to twice `ms`.
    pub fn with_jitter(&self, ms: u64) -> u64 {
        ms + (ms as f64 * self.random()) as u64
    }

    pub fn target_state(&self) -> TargetState {
        self.local_target.borrow().state(self.now_ms())
    }

    /// Applies a change of the local target to the inbound proxy, and reports it to all peers at
    /// once.
    pub fn publish_target_change(&self) {
        self.inbound.update_target(self);
        self.links.report_now();
    }

    /// The load of the local target and of this VM's link, as it is reported to peers.
    pub fn target_load(&self) -> TargetLoad {
        let (body_wait_ms, body_bytes_per_ms) = self.bodies.load();
        TargetLoad { body_wait_ms, body_bytes_per_ms, ..self.inbound.load(self.now_ms()) }
    }

    /// The state of the local target, as it is reported to peers.
    pub fn target_summary(&self) -> Option<TargetSummary> {
        let target = self.local_target.borrow();
        let last = target.last_heartbeat()?;
        Some(TargetSummary {
            id: last.id.clone(),
            born_unix_ms: last.born_unix_ms,
            service: last.service.clone(),
            state: target.state(self.now_ms()),
            load: self.target_load(),
        })
    }

    /// The complete state of this daemon, as it is reported to peers.
    pub fn state(&self) -> DaemonState {
        DaemonState {
            leaving: self.is_leaving.get(),
            target: self.target_summary(),
            config: self.config_state(),
        }
    }

    pub fn config_state(&self) -> ConfigState {
        self.config.state(self.now_ms())
    }

    /// The newest configuration version that this daemon knows of, in force here or not.
    pub fn newest_known_version(&self) -> u64 {
        let newest_refused = self.config.refused_version().max(self.config.version());
        newest_refused.max(self.peers.borrow().newest_version())
    }

    /// Whether this daemon's VM is being removed, as far as is known: the daemon is stopping and its
    /// target has left.
    pub fn is_being_removed(&self) -> bool {
        self.is_stopping() && self.target_state() == TargetState::Draining
    }

    /// Whether callers or peers may be using this daemon: it has been ready, or they are connected.
    fn is_in_use(&self) -> bool {
        self.config.routes().is_some()
            || self.caller_connections.count() > 0
            || !self.links.incoming.borrow().is_empty()
    }

    /// Whether the platform may route callers to this daemon.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.config.routes().is_some()
    }
}

/// Runs a daemon until a signal stops it.
pub fn run(
    path: PathBuf,
    settings: Settings,
    mesh: MeshSettings,
    signals: DaemonSignals,
) -> Result<(), DaemonError> {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(serve(path, settings, mesh, signals, executor.clone())))
}

async fn serve(
    path: PathBuf,
    settings: Settings,
    mesh_settings: MeshSettings,
    mut signals: DaemonSignals,
    executor: Rc<LocalExecutor<'static>>,
) -> Result<(), DaemonError> {
    let link_listener = listen(settings.control_addr).await?;
    let caller_listener = listen(settings.caller_addr).await?;
    let operator_listener = listen(settings.operator_addr).await?;
    let ready_listener = listen(mesh_settings.ready_addr).await?;
    if signals.is_stop_pending().await? {
        log_event(Event::DaemonStopped, "reason=signal during the start");
        return Ok(());
    }
    let mut rng = ChaCha8Rng::seed_from_u64(random_seed()?);
    let local = DaemonRecord {
        name: settings.name.clone(),
        start_id: rng.next_u64() >> START_ID_SHIFT,
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        service: mesh_settings.service.clone(),
        link_addr: settings.advertised_addr.unwrap_or(settings.control_addr),
    };
    let mut local_target = LocalTarget::new(mesh_settings.heartbeat_ms);
    if mesh_settings.is_first_start {
        local_target.set_knows_departed();
    }
    let clock = Clock::default();
    let memory = callers::memory_budget(mesh_settings.memory_mb);
    let mesh = Rc::new(Mesh {
        clock,
        executor,
        peers: RefCell::new(Peers::new(local.clone())),
        links: links::Links::default(),
        local_target: RefCell::new(local_target),
        departures: departures::Departures::new(mesh_settings.is_first_start),
        inbound: inbound::InboundProxy::default(),
        bodies: bodies::InboundBodies::new(mesh_settings.link_mbps),
        outbound_bodies: outbound_bodies::OutboundBodies::new(mesh_settings.link_mbps),
        metrics: metrics::Metrics::default(),
        config: config::LocalConfig::default(),
        quotas: quota::Quotas::new(mesh_settings.quota_terms()),
        has_listed_daemons: Cell::new(false),
        round_robin: RefCell::new(WeightedRoundRobin::with_seed(local.start_id)),
        retry_budgets: RefCell::new(BTreeMap::new()),
        typical_times: RefCell::new(BTreeMap::new()),
        response_sizes: RefCell::new(BTreeMap::new()),
        rng: RefCell::new(rng),
        stop_schedule: Cell::new(None),
        is_leaving: Cell::new(false),
        stop: async_channel::bounded(1),
        last_responses: async_channel::bounded(1),
        in_flight: Cell::new(0),
        operators_in_flight: Cell::new(0),
        caller_connections: CallerConnections::new(&mesh_settings, &memory, clock),
        memory,
        local,
        settings,
        mesh_settings: RefCell::new(Rc::new(mesh_settings)),
    });
    mesh.spawn(incoming_links::accept(mesh.clone(), link_listener));
    mesh.spawn(outgoing_links::dial(mesh.clone()));
    mesh.spawn(report::run(mesh.clone()));
    mesh.spawn(departures::run(mesh.clone()));
    mesh.spawn(departures::sweep(mesh.clone()));
    mesh.spawn(discovery::run(mesh.clone()));
    mesh.spawn(config::watch_store(mesh.clone()));
    mesh.spawn(inbound::monitor(mesh.clone()));
    mesh.spawn(quota::run(mesh.clone()));
    mesh.spawn(bodies::request_parts(mesh.clone()));
    mesh.spawn(outbound_bodies::send_parts(mesh.clone()));
    mesh.spawn(callers::serve_http(
        mesh.clone(),
        operator_listener,
        operators::OperatorService(mesh.clone()),
    ));
    mesh.spawn(callers::serve_http(
        mesh.clone(),
        ready_listener,
        operators::OperatorService(mesh.clone()),
    ));
    mesh.spawn(callers::serve_callers(mesh.clone(), caller_listener));
    serve_metrics(&mesh).await;
    mesh.spawn(watch_settings(mesh.clone(), path.clone()));
    mesh.spawn(logging::flush_periodically());
    let settings = &mesh.settings;
    log_with(Event::DaemonStarted, || {
        format!(
            "instance={} start={} zone={} service={} caller_addr={} link_addr={} store={}",
            mesh.local.name,
            mesh.local.start_id,
            mesh.local.zone,
            mesh.local.service,
            settings.caller_addr,
            settings.control_addr,
            settings.platform_addr
        )
    });
    while signals.next().await? == SignalRequest::Reload {
        reload(&mesh, &path);
    }
    drain(&mesh).await;
    Ok(())
}

/// Applies the settings that can change while the daemon runs. An invalid file is logged and leaves
/// the settings unchanged.
fn reload(mesh: &Rc<Mesh>, path: &Path) {
    let loaded = Settings::read(path);
    let changed = match loaded {
        Ok(Settings { mesh: Some(changed), .. }) => changed,
        Ok(_) => return log_event(Event::SettingsRefused, "reason=the section 'mesh' is missing"),
        Err(error) => return log_event(Event::SettingsRefused, &format!("reason={error}")),
    };
    log_event(Event::SettingsReread, &format!("path={}", path.display()));
    if changed != **mesh.mesh_settings.borrow() {
        log_event(Event::SettingsChanged, &format!("{changed:?}"));
        *mesh.mesh_settings.borrow_mut() = Rc::new(changed);
        quota::apply_limits(mesh);
    }
}

/// Serves metrics on their own address. A failure to listen is only logged, because a daemon
/// without metrics is better than none.
async fn serve_metrics(mesh: &Rc<Mesh>) {
    let Some(addr) = mesh.mesh_settings.borrow().metrics_listen_addr else { return };
    match listen(addr).await {
        Ok(listener) => {
            let service = operators::MetricsService(mesh.clone());
            mesh.spawn(callers::serve_http(mesh.clone(), listener, service));
        }
        Err(error) => log_event(Event::AcceptFailed, &format!("port=metrics reason={error}")),
    }
}

async fn watch_settings(mesh: Rc<Mesh>, path: PathBuf) {
    let mut content = std::fs::read(&path).ok();
    loop {
        sleep_ms(SETTINGS_POLL_MS).await;
        let new_content = std::fs::read(&path).ok();
        if new_content != content {
            content = new_content;
            reload(&mesh, &path);
        }
    }
}

/// Keeps serving callers for a while, during which peers can still use the local target. Then reads no
/// further requests, and waits until callers and peers have received the responses to those in flight
/// and have closed their connections; see [`StopSchedule`]. A draining target is taken to mean that the
/// VM is being removed, so the record of this daemon is removed too.
async fn drain(mesh: &Rc<Mesh>) {
    let grace_ms = mesh.mesh_settings.borrow().grace_ms;
    let schedule = if mesh.is_in_use() {
        StopSchedule::new(mesh.now_ms(), grace_ms)
    } else {
        StopSchedule::of_unused(mesh.now_ms(), grace_ms)
    };
    mesh.stop_schedule.set(Some(schedule));
    mesh.inbound.limit_deadlines(schedule.run_until_ms());
    log_event(Event::DaemonDraining, &format!("in_flight={}", mesh.in_flight.get()));
    if mesh.is_being_removed() {
        discovery::withdraw(mesh).await;
    }
    loop {
        let now_ms = mesh.now_ms();
        if !schedule.is_serving(now_ms) && !mesh.is_leaving.replace(true) {
            mesh.stop.0.close();
            mesh.links.report_now();
        }
        if schedule.is_last_response_due(now_ms) {
            mesh.last_responses.0.close();
        }
        let is_idle = mesh.caller_connections.count() == 0
            && mesh.operators_in_flight.get() == 0
            && mesh.inbound.in_flight() == 0
            && mesh.links.are_results_written();
        if now_ms >= schedule.exit_ms() || (is_idle && schedule.may_exit(now_ms)) {
            break;
        }
        sleep_ms(DRAIN_POLL_MS).await;
    }
    let left_ms = schedule.exit_ms().saturating_sub(mesh.now_ms()).min(LINKS_CLOSE_MS_MAX);
    within_ms(left_ms, mesh.links.close_incoming()).await;
    let (in_flight, at_target) = (mesh.in_flight.get(), mesh.inbound.in_flight());
    let connections = mesh.caller_connections.count();
    let took_ms = mesh.now_ms() - schedule.started_ms();
    log_event(
        Event::DaemonStopped,
        &format!(
            "in_flight={in_flight} at_target={at_target} connections={connections} \
             took_ms={took_ms}"
        ),
    );
}
