//! The router service, independent of its frontends and of the hosts' protocol: starts all tasks on one
//! thread and stops them on request.

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;

use arrowyard_core::HostTransport;
use arrowyard_core::admission::AdmissionController;
use arrowyard_core::clock::{Clock, StallDetector};
use arrowyard_core::discovery::{Discovery, ReconnectPolicy};
use arrowyard_core::drain::{self, Drain, Stage};
use arrowyard_core::host_registry::HostRegistry;
use arrowyard_core::leases::{self, LeasesTask};
use arrowyard_core::limits::Limits;
use arrowyard_core::logger::{self, LogConfig, LogFormat};
use arrowyard_core::messages::{DiscoveryCommand, RouteMessage};
use arrowyard_core::peers::{PeersCommand, PeersTask};
use arrowyard_core::reload::{LoadLayout, ReloadTask};
use arrowyard_core::route::{RouteContext, RouteTask};
use arrowyard_core::router_config::RouterConfig;
use arrowyard_core::startup::{self, RouterStartup};
use arrowyard_operator_config::{
    Yardbook, cell_layout, lease_settings, peer_settings, schema, startup_settings,
};
use arrowyard_platform_settings::router_settings;
use arrowyard_startup::{CallPacer, ListVersionTracker};
use arrowyard_types::{RouterSettingsExt, SettingValue};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// Log settings: those of the operator's file where it has them, else the defaults.
fn log_settings(name: &str, lines_per_second: u32, operator_config: Option<&Yardbook>) -> LogConfig {
    let defaults = LogConfig::from_env(name, lines_per_second);
    let Some(log) = operator_config.and_then(|config| config.log.as_ref()) else { return defaults };
    LogConfig {
        format: if log.form() == schema::Form::Json { LogFormat::Json } else { LogFormat::Text },
        level: log.level.as_ref().and_then(|level| level.parse().ok()).unwrap_or(defaults.level),
        max_lines_per_second: log.lines_a_second.unwrap_or(lines_per_second),
        ..defaults
    }
}

/// Separates the random numbers that pace discovery calls from those of the decision module, which has the
/// same seed.
const PACING_SEED: u64 = 0x6865_7264;

/// The tasks of a running router, and the handles by which frontends submit ops.
pub struct RouterService<B: HostTransport> {
    /// Admits or rejects ops.
    pub admission: Rc<AdmissionController>,
    /// The channel to the route task.
    pub messages: mpsc::Sender<RouteMessage<B>>,
    /// The number of client connections of all frontends.
    pub client_connections: Rc<Cell<usize>>,
    /// The stage of the shutdown.
    pub stage: watch::Receiver<Stage>,
    /// Determines the arrival time of ops, which may be before a stall of the thread.
    pub stall_detector: Rc<StallDetector>,
    pub clock: Clock,
    pub limits: Rc<Limits>,
    peers: Option<mpsc::Sender<PeersCommand>>,
    drain: Drain,
    /// SIGTERM and SIGINT.
    signals: (Signal, Signal),
    route_task: JoinHandle<()>,
}

impl<B: HostTransport> RouterService<B> {
    /// Starts the tasks; `new_transport` creates the transport to the hosts.
    ///
    /// # Errors
    /// Why a task could not be started.
    pub async fn start(
        router_config: &RouterConfig,
        operator_file: Option<PathBuf>,
        operator_config: Option<&Yardbook>,
        new_transport: impl FnOnce(&Rc<Limits>) -> Rc<B>,
    ) -> Result<Self, String> {
        let mut settings = router_settings(&router_config.settings)?;
        let limits = Rc::new(Limits::new(router_config, &settings));
        logger::start(log_settings(&router_config.name, limits.log_lines_per_second, operator_config));
        let signals = drain::termination_signals().map_err(|error| format!("signals: {error}"))?;
        let hangup = signal(SignalKind::hangup()).map_err(|error| format!("signals: {error}"))?;
        let clock = Clock::start();
        let (messages, route_inbox) = mpsc::channel(limits.queue_capacity);
        let (discovery_commands, discovery_inbox) = mpsc::channel(limits.queue_capacity);
        let (stage_sender, stage) = watch::channel(Stage::Serving);

        let stall_detector = StallDetector::new(clock, limits.stall_check_interval);
        drop(spawn_local(stall_detector.clone().run()));
        let transport = new_transport(&limits);
        // Incremental changes apply only to a list that the platform gave. Without one, in particular with a
        // stored list, the watch starts with the complete list.
        let version = Rc::new(Cell::new(router_config.host_list.as_ref().map(|list| list.version)));
        let (mut host_list, mut startup, mut reconnect) = (router_config.host_list.clone(), None, None);
        if let Some(startup_config) = operator_config.and_then(startup_settings) {
            let deployment = startup::deployment_fingerprint(&router_config.settings);
            let (loaded_list, stored_version) =
                startup::load_stored_list(&startup_config, deployment, host_list).await;
            host_list = loaded_list;
            let (name, seed) = (&router_config.name, router_config.seed);
            let newest_version = stored_version.max(version.get());
            reconnect = Some(Rc::new(RefCell::new(ReconnectPolicy {
                list_versions: ListVersionTracker::new(
                    clock.now(),
                    newest_version,
                    startup_config.rollback_delay,
                ),
                call_pacer: CallPacer::new(
                    startup_config.pacing,
                    settings.number_or("routers", 1.0),
                    seed ^ PACING_SEED,
                ),
                has_list: host_list.is_some(),
                clock,
            })));
            let router_startup =
                RouterStartup::new(clock.now(), startup_config, deployment, name, host_list.is_some(), seed);
            startup = Some(Box::new(router_startup));
        }
        let discovery = Discovery {
            address: router_config.discovery,
            version,
            messages: messages.clone(),
            limits: limits.clone(),
            reconnect,
        };
        drop(spawn_local(discovery.run(discovery_inbox)));
        let cells = operator_config.and_then(cell_layout);
        let layout_source = operator_file.map(|path| -> (LoadLayout, _) {
            (Arc::new(move || Ok(cell_layout(&arrowyard_operator_config::load(&path)?))), messages.clone())
        });
        let reload =
            ReloadTask { discovery: discovery_commands.clone(), limits: limits.clone(), layout_source };
        drop(spawn_local(reload.run(hangup)));
        if settings.text("list") != "ask" {
            // Where lists are pushed, the decision module never requests one.
            discovery_commands
                .send(DiscoveryCommand::Watch(true))
                .await
                .map_err(|error| error.to_string())?;
        }

        let mut admission =
            AdmissionController::new(&router_config.settings, &settings, limits.clone(), cells.is_some());
        if let Some(lease_config) = operator_config.and_then(lease_settings) {
            let (task, lease_commands) =
                LeasesTask::open(lease_config, &router_config.name, router_config.seed).await?;
            drop(spawn_local(task.run()));
            // Leases are released as soon as the drain begins: in-flight ops still finish then, but leased
            // tasks do not run any more.
            let (commands, mut drain_stage) = (lease_commands.clone(), stage.clone());
            drop(spawn_local(async move {
                if drain_stage.wait_for(|stage| *stage != Stage::Serving).await.is_ok() {
                    release_leases(commands).await;
                }
            }));
            admission.leases = Some(lease_commands);
        }
        let mut peers = None;
        if let Some(peer_config) = operator_config.and_then(peer_settings) {
            admission.in_fleet = true;
            if peer_config.relay_app_messages {
                settings.insert("peers".to_string(), SettingValue::Flag(true));
            }
            let (configured_routers, messages) = (settings.number_or("routers", 1.0), messages.clone());
            let (name, seed, lease_commands) =
                (&router_config.name, router_config.seed, admission.leases.clone());
            let (task, peer_commands) =
                PeersTask::open(peer_config, name, configured_routers, seed, clock, messages, lease_commands)
                    .await?;
            drop(spawn_local(task.run()));
            peers = Some(peer_commands);
        }
        let admission = Rc::new(admission);
        let hosts = HostRegistry::new(&router_config.settings, limits.clone());
        let context = RouteContext {
            hosts,
            transport,
            clock,
            limits: limits.clone(),
            discovery: discovery_commands,
            messages: messages.clone(),
            startup,
            peers: peers.clone(),
        };
        let route_task = RouteTask::start(context, router_config.seed, settings, host_list.as_ref(), cells);
        let route_task = spawn_local(route_task.run(route_inbox));
        let client_connections = Rc::new(Cell::new(0));
        let drain =
            Drain { stage: stage_sender, clients: client_connections.clone(), limits: limits.clone() };
        Ok(RouterService {
            peers,
            admission,
            messages,
            client_connections,
            stage,
            stall_detector,
            clock,
            limits,
            drain,
            signals,
            route_task,
        })
    }

    /// Runs until a signal stops the router, or `frontend_failure` resolves because a frontend failed.
    ///
    /// # Errors
    /// Why a task ended unexpectedly.
    pub async fn run(self, frontend_failure: impl Future<Output = String>) -> Result<(), String> {
        tokio::select! {
            biased;
            () = self.drain.run(self.signals) => {
                announce_leave(self.peers).await;
                Ok(())
            }
            // Without the route task the router would accept ops and never reply. It exits, to be restarted.
            result = self.route_task => Err(format!("the route task ended: {result:?}")),
            error = frontend_failure => Err(error),
        }
    }
}

/// Releases all leases, so that others need not wait for them to expire.
async fn release_leases(commands: mpsc::Sender<leases::LeasesCommand>) {
    let (ack_sender, ack_receiver) = oneshot::channel();
    // If the task's queue is full, the leases expire instead.
    if commands.try_send(leases::LeasesCommand::ReleaseAll(ack_sender)).is_ok() {
        let _ = ack_receiver.await;
    }
}

/// Announces to the fleet that this router leaves. Sent twice, since a datagram may be lost. If both are
/// lost, the other routers detect the exit as a failure, since the port refuses their datagrams.
async fn announce_leave(commands: Option<mpsc::Sender<PeersCommand>>) {
    let Some(commands) = commands else { return };
    for _ in 0..2 {
        let (ack_sender, ack_receiver) = oneshot::channel();
        // Bounded, so that a hanging membership task does not delay the exit.
        let ack_timeout = std::time::Duration::from_millis(100);
        if commands.try_send(PeersCommand::Leave(ack_sender)).is_err()
            || timeout(ack_timeout, ack_receiver).await.is_err()
        {
            return;
        }
        sleep(std::time::Duration::from_millis(20)).await;
    }
}

/// Runs a router on a single-threaded runtime. Reads the operator's file first, then the platform's
/// settings.
///
/// # Errors
/// Why it could not start, or why it stopped.
pub fn run_single_threaded<F: Future<Output = Result<(), String>>>(
    operator_file: Option<PathBuf>,
    run: impl FnOnce(RouterConfig, Option<PathBuf>, Option<Yardbook>) -> F,
) -> Result<(), String> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(|error| error.to_string())?;
    let operator_config = operator_file.as_deref().map(arrowyard_operator_config::load).transpose()?;
    let router_config = RouterConfig::load()?;
    LocalSet::new().block_on(&runtime, run(router_config, operator_file, operator_config))
}
