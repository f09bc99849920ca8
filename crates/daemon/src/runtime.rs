//! The state shared by the tasks of a daemon, and its startup and shutdown.

use crate::control::{ControlInput, ControlLoop};
use crate::directory::ServiceDirectory;
use crate::error::DaemonError;
use crate::inbound::InboundProxy;
use crate::links::Links;
use crate::local_target::LocalTarget;
use crate::logging::log_event;
use crate::metrics::Metrics;
use crate::quic_connections::DaemonConnections;
use crate::settings::Settings;
use crate::signals::{DaemonSignals, SignalRequest};
use async_channel::Sender;
use async_executor::Executor;
use async_net::TcpListener;
use pomeloreach_core::balancer::Balancer;
use pomeloreach_core::event::Event;
use pomeloreach_core::matching::RouteTable;
use pomeloreach_core::message::DaemonInfo;
use pomeloreach_core::node::{Input, Node, NodeSettings};
use pomeloreach_core::retry_budget::RetryBudget;
use pomeloreach_wire::clock::{Clock, sleep_ms, unix_ms};
use rand_chacha::ChaCha8Rng;
use rand_core::{OsRng, RngCore, SeedableRng, TryRngCore};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Inputs that may be queued for the control loop.
const QUEUED_INPUTS_MAX: usize = 8_192;
/// Interval at which a stopping daemon checks whether its requests have ended, in milliseconds.
const DRAIN_POLL_MS: u64 = 20;
/// Time for sending the last messages before the daemon stops, in milliseconds.
const FINAL_SEND_MS: u64 = 100;

/// Number of applied versions whose times are kept.
const APPLIED_VERSIONS_MAX: usize = 256;

/// The time at which this daemon applied a version of the configuration.
#[derive(Clone, Debug, Serialize)]
pub struct AppliedVersion {
    pub version: u64,
    pub unix_ms: u64,
}

/// The state that the tasks of a daemon share if its settings have no `mesh` section. With one,
/// [`crate::mesh::Mesh`] is used.
pub struct Shared {
    pub settings: Settings,
    pub local: DaemonInfo,
    pub clock: Clock,
    pub executor: Arc<Executor<'static>>,
    pub control_inputs: Sender<ControlInput>,
    pub metrics: Metrics,
    pub directory: ServiceDirectory,
    pub balancer: Mutex<Balancer>,
    pub retry_budgets: Mutex<BTreeMap<Arc<str>, RetryBudget>>,
    pub daemon_connections: DaemonConnections,
    pub links: Links,
    pub inbound: InboundProxy,
    pub local_target: Mutex<LocalTarget>,
    /// The last applied versions, oldest first, with times of the wall clock.
    applied_versions: Mutex<VecDeque<AppliedVersion>>,
    /// The routes of the applied version; absent until the daemon is ready.
    routes: Mutex<Option<Arc<RouteTable>>>,
    /// Number of requests of callers whose responses are not sent yet.
    caller_requests: AtomicU32,
    /// Number of calls of other daemons whose responses these have not received yet.
    calls: AtomicU32,
    is_stopping: AtomicBool,
}

impl Shared {
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        lock(&self.routes).clone()
    }

    /// Replaces the routes by those of a newer version.
    pub fn apply_routes(&self, routes: RouteTable) {
        self.record_applied(routes.version());
        let mut current = lock(&self.routes);
        let current_version = current.as_ref().map(|current| current.version());
        assert!(Some(routes.version()) > current_version, "the applied version must increase");
        self.metrics.gauge("config.version", routes.version());
        *current = Some(Arc::new(routes));
    }

    fn record_applied(&self, version: u64) {
        let mut applied_versions = lock(&self.applied_versions);
        if applied_versions.len() >= APPLIED_VERSIONS_MAX {
            applied_versions.pop_front();
        }
        applied_versions.push_back(AppliedVersion { version, unix_ms: unix_ms() });
    }

    pub fn applied_versions(&self) -> Vec<AppliedVersion> {
        lock(&self.applied_versions).iter().cloned().collect()
    }

    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    pub fn caller_requests(&self) -> &AtomicU32 {
        &self.caller_requests
    }

    pub fn calls(&self) -> &AtomicU32 {
        &self.calls
    }

    pub fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        self.executor.spawn(future).detach();
    }

    /// Sends an input for the control plane to the control loop.
    pub async fn send_input(&self, input: Input) {
        self.control_inputs.send(ControlInput::Node(input)).await.ok();
    }
}

/// Locks a mutex. A poisoned mutex is locked too: its data stays usable after a panic of another
/// thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs a daemon until it receives SIGTERM or SIGINT.
pub fn run(settings: Settings, signals: DaemonSignals) -> Result<(), DaemonError> {
    let executor = Arc::new(Executor::new());
    let (stop_workers, stopped) = async_channel::bounded::<()>(1);
    for _ in 1..settings.worker_threads {
        let (executor, stopped) = (executor.clone(), stopped.clone());
        std::thread::spawn(move || {
            async_io::block_on(executor.run(async {
                stopped.recv().await.ok();
            }));
        });
    }
    let result =
        async_io::block_on(executor.run(run_until_signal(settings, signals, executor.clone())));
    drop(stop_workers);
    result
}

/// Starts the tasks of the daemon, waits for a signal, then drains and stops.
async fn run_until_signal(
    settings: Settings,
    mut signals: DaemonSignals,
    executor: Arc<Executor<'static>>,
) -> Result<(), DaemonError> {
    let tls = settings.tls.as_ref().ok_or(DaemonError::TlsMissing)?;
    let endpoint = crate::quic::bind(settings.control_addr, tls, &executor)?;
    let caller_listener = listen(settings.caller_addr).await?;
    let operator_listener = listen(settings.operator_addr).await?;
    if signals.is_stop_pending().await? {
        log_event(Event::DaemonStopped, "reason=signal during the start");
        return Ok(());
    }
    let (control_inputs, received_inputs) = async_channel::bounded(QUEUED_INPUTS_MAX);
    let mut rng = ChaCha8Rng::seed_from_u64(random_seed()?);
    let local = new_daemon_info(&settings, &mut rng);
    let clock = Clock::default();
    let balancer = Balancer::new(local.region.clone(), local.zone.clone(), rng.next_u64());
    let shared = Arc::new(Shared {
        clock,
        executor,
        control_inputs,
        metrics: Metrics::new(settings.metrics_addr),
        directory: ServiceDirectory::default(),
        balancer: Mutex::new(balancer),
        retry_budgets: Mutex::new(BTreeMap::new()),
        daemon_connections: DaemonConnections::new(endpoint.clone()),
        links: Links::default(),
        inbound: InboundProxy::default(),
        local_target: Mutex::new(LocalTarget::default()),
        applied_versions: Mutex::new(VecDeque::new()),
        routes: Mutex::new(None),
        caller_requests: AtomicU32::new(0),
        calls: AtomicU32::new(0),
        is_stopping: AtomicBool::new(false),
        local,
        settings,
    });
    let node = Node::new(node_settings(&shared), rng.next_u64(), clock.now_ms());
    let control = ControlLoop::new(shared.clone(), node, received_inputs);
    shared.spawn(control.run());
    shared.spawn(crate::quic_connections::accept(shared.clone(), endpoint.clone()));
    shared.spawn(crate::proxy::accept(shared.clone(), caller_listener));
    shared.spawn(crate::operators::accept(shared.clone(), operator_listener));
    shared.spawn(crate::local_target::monitor(shared.clone()));
    shared.spawn(crate::logging::flush_periodically());
    log_event(Event::DaemonStarted, &format!("instance={}", shared.local.instance));
    while signals.next().await? == SignalRequest::Reload {
        log_event(Event::SettingsRefused, "reason=without the section 'mesh', a restart is needed");
    }
    drain(&shared).await;
    endpoint.close(0u32.into(), b"stopped");
    endpoint.wait_idle().await;
    Ok(())
}

/// Counts a request or call as in progress until it is dropped.
pub struct ProgressGuard {
    shared: Arc<Shared>,
    counter: fn(&Shared) -> &AtomicU32,
}

impl ProgressGuard {
    pub fn new(shared: Arc<Shared>, counter: fn(&Shared) -> &AtomicU32) -> Self {
        counter(&shared).fetch_add(1, Ordering::Relaxed);
        Self { shared, counter }
    }
}

impl Drop for ProgressGuard {
    fn drop(&mut self) {
        (self.counter)(&self.shared).fetch_sub(1, Ordering::Relaxed);
    }
}

pub async fn listen(addr: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(addr).await.map_err(|source| DaemonError::Listen { addr, source })
}

pub fn random_seed() -> Result<u64, DaemonError> {
    OsRng.try_next_u64().map_err(|error| DaemonError::Random(error.to_string()))
}

/// Creates the description of this daemon. The instance name has a random suffix, so that other
/// daemons do not confuse this start with an earlier one.
fn new_daemon_info(settings: &Settings, rng: &mut ChaCha8Rng) -> DaemonInfo {
    DaemonInfo {
        instance: format!("{}.{:08x}", settings.name, rng.next_u32()).into(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        addr: settings.control_addr,
    }
}

fn node_settings(shared: &Shared) -> NodeSettings {
    NodeSettings {
        local: shared.local.clone(),
        seeds: shared.settings.seed_addrs.clone(),
        relays_per_zone: shared.settings.relays_per_zone,
        children_max: shared.settings.children_max.into(),
    }
}

/// Refuses new requests, waits until those in flight have ended or the longest drain time is over,
/// and lets the control plane send its last messages.
async fn drain(shared: &Arc<Shared>) {
    shared.is_stopping.store(true, Ordering::Relaxed);
    shared.send_input(Input::Drain).await;
    crate::local_target::drain(shared).await;
    let drain_until_ms = shared.clock.now_ms() + shared.settings.drain_max_ms;
    while shared.clock.now_ms() < drain_until_ms {
        let caller_requests = shared.caller_requests.load(Ordering::Relaxed);
        let calls = shared.calls.load(Ordering::Relaxed);
        if caller_requests == 0 && calls == 0 && shared.inbound.in_flight() == 0 {
            break;
        }
        sleep_ms(DRAIN_POLL_MS).await;
    }
    shared.send_input(Input::Stop).await;
    sleep_ms(FINAL_SEND_MS).await;
}
