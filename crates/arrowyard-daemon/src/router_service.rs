//! What every router in service has, whatever fronts it has and whatever its hosts speak: the stages are started on one
//! thread, and end when told to.

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;

use arrowyard_core::HostTransport;
use arrowyard_core::admission::AdmissionController;
use arrowyard_core::clock::{Clock, StallDetector};
use arrowyard_core::discovery::{Discovery, ReconnectPolicy};
use arrowyard_core::drain::{self, Drain, Stage};
use arrowyard_core::leases::{self as holding, LeasesTask};
use arrowyard_core::limits::Limits;
use arrowyard_core::logger::{self, LogConfig, LogFormat};
use arrowyard_core::messages::{DiscoveryCommand, RouteMessage};
use arrowyard_core::peers::{PeersCommand, PeersTask};
use arrowyard_core::reload::{LoadLayout, ReloadTask};
use arrowyard_core::returns::{self, RouterStartup};
use arrowyard_core::roster::HostRegistry;
use arrowyard_core::route::{RouteContext, RouteTask};
use arrowyard_core::router_config::RouterConfig;
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

/// How the log is kept: as the operator's file says, else as without one.
fn logbook(name: &str, lines: u32, book: Option<&Yardbook>) -> LogConfig {
    let plain = LogConfig::from_env(name, lines);
    let Some(log) = book.and_then(|book| book.log.as_ref()) else { return plain };
    LogConfig {
        format: if log.form() == schema::Form::Json { LogFormat::Json } else { LogFormat::Text },
        level: log.level.as_ref().and_then(|level| level.parse().ok()).unwrap_or(plain.level),
        max_lines_per_second: log.lines_a_second.unwrap_or(lines),
        ..plain
    }
}

/// What the draws of the herd are told apart by from the module's, which have the same seed.
const HERD: u64 = 0x6865_7264;

/// The stages of a router that is to serve: fronts hand their ops in here.
pub struct RouterService<B: HostTransport> {
    pub gate: Rc<AdmissionController>,
    pub mail: mpsc::Sender<RouteMessage<B>>,
    /// Connections of clients, of every front.
    pub clients: Rc<Cell<usize>>,
    pub stage: watch::Receiver<Stage>,
    pub beat: Rc<StallDetector>,
    pub clock: Clock,
    pub limits: Rc<Limits>,
    peers: Option<mpsc::Sender<PeersCommand>>,
    drain: Drain,
    signals: (Signal, Signal),
    route: JoinHandle<()>,
}

impl<B: HostTransport> RouterService<B> {
    /// Starts them; `back` makes what carries sends to hosts.
    ///
    /// # Errors
    /// What it could not start with.
    pub async fn start(
        waybill: &RouterConfig,
        path: Option<PathBuf>,
        book: Option<&Yardbook>,
        back: impl FnOnce(&Rc<Limits>) -> Rc<B>,
    ) -> Result<Self, String> {
        let mut told = router_settings(&waybill.settings)?;
        let limits = Rc::new(Limits::new(waybill, &told));
        logger::start(logbook(&waybill.name, limits.log_lines_per_second, book));
        let signals = drain::termination_signals().map_err(|e| format!("signals: {e}"))?;
        let hangup = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
        let clock = Clock::start();
        let (mail, inbox) = mpsc::channel(limits.queue_capacity);
        let (wishes, wished) = mpsc::channel(limits.queue_capacity);
        let (stage, staged) = watch::channel(Stage::Serving);

        let beat = StallDetector::new(clock, limits.stall_check_interval);
        drop(spawn_local(beat.clone().run()));
        let back = back(&limits);
        // A stored list is no base for changes: the watch begins with the whole list unless the platform told one.
        let version = Rc::new(Cell::new(waybill.host_list.as_ref().map(|list| list.version)));
        let (mut known, mut returning, mut manners) = (waybill.host_list.clone(), None, None);
        if let Some(comes) = book.and_then(startup_settings) {
            let deployment = returns::deployment_fingerprint(&waybill.settings);
            let (list, stored) = returns::load_stored_list(&comes, deployment, known).await;
            known = list;
            let (name, seed) = (&waybill.name, waybill.seed);
            let held = stored.max(version.get());
            manners = Some(Rc::new(RefCell::new(ReconnectPolicy {
                credence: ListVersionTracker::new(clock.now(), held, comes.rollback_delay),
                herd: CallPacer::new(comes.pacing, told.number_or("routers", 1.0), seed ^ HERD),
                has_list: known.is_some(),
                clock,
            })));
            let start = RouterStartup::new(clock.now(), comes, deployment, name, known.is_some(), seed);
            returning = Some(Box::new(start));
        }
        let discovery = Discovery {
            address: waybill.discovery,
            version,
            messages: mail.clone(),
            limits: limits.clone(),
            reconnect: manners,
        };
        drop(spawn_local(discovery.run(wished)));
        let cells = book.and_then(cell_layout);
        let reread = path.map(|path| -> (LoadLayout, _) {
            (Arc::new(move || Ok(cell_layout(&arrowyard_operator_config::load(&path)?))), mail.clone())
        });
        let reload = ReloadTask { discovery: wishes.clone(), limits: limits.clone(), layout_source: reread };
        drop(spawn_local(reload.run(hangup)));
        if told.text("list") != "ask" {
            // Where lists come unasked, the module does not ask.
            wishes.send(DiscoveryCommand::Watch(true)).await.map_err(|e| e.to_string())?;
        }

        let mut gate = AdmissionController::new(&waybill.settings, &told, limits.clone(), cells.is_some());
        if let Some(joins) = book.and_then(lease_settings) {
            let (task, errands) = LeasesTask::open(joins, &waybill.name, waybill.seed).await?;
            drop(spawn_local(task.run()));
            // At the first word that it is to end: its ops are finished for a while longer, its tasks are not.
            let (ends, mut till) = (errands.clone(), staged.clone());
            drop(spawn_local(async move {
                if till.wait_for(|stage| *stage != Stage::Serving).await.is_ok() {
                    release(ends).await;
                }
            }));
            gate.leases = Some(errands);
        }
        let mut peers = None;
        if let Some(belongs) = book.and_then(peer_settings) {
            gate.in_fleet = true;
            if belongs.relay_app_messages {
                told.insert("peers".to_string(), SettingValue::Flag(true));
            }
            let (settings, mail) = (told.number_or("routers", 1.0), mail.clone());
            let (name, seed, holding) = (&waybill.name, waybill.seed, gate.leases.clone());
            let (task, errands) =
                PeersTask::open(belongs, name, settings, seed, clock, mail, holding).await?;
            drop(spawn_local(task.run()));
            peers = Some(errands);
        }
        let gate = Rc::new(gate);
        let roster = HostRegistry::new(&waybill.settings, limits.clone());
        let yard = RouteContext {
            hosts: roster,
            transport: back,
            clock,
            limits: limits.clone(),
            discovery: wishes,
            messages: mail.clone(),
            startup: returning,
            peers: peers.clone(),
        };
        let route = RouteTask::start(yard, waybill.seed, told, known.as_ref(), cells);
        let route = spawn_local(route.run(inbox));
        let clients = Rc::new(Cell::new(0));
        let drain = Drain { stage, clients: clients.clone(), limits: limits.clone() };
        Ok(RouterService {
            peers,
            gate,
            mail,
            clients,
            stage: staged,
            beat,
            clock,
            limits,
            drain,
            signals,
            route,
        })
    }

    /// Serves till it is told to end, or a front does, which never should.
    ///
    /// # Errors
    /// Why it ended untold.
    pub async fn run(self, front: impl Future<Output = String>) -> Result<(), String> {
        tokio::select! {
            biased;
            () = self.drain.run(self.signals) => {
                leave(self.peers).await;
                Ok(())
            }
            // Danger: a router that takes ops and answers none. Better that it ends and is started anew.
            ended = self.route => Err(format!("the route stage ended: {ended:?}")),
            why = front => Err(why),
        }
    }
}

/// Gives all leases back, so that others need not wait for their end.
async fn release(leases: mpsc::Sender<holding::LeasesCommand>) {
    let (done, said) = oneshot::channel();
    // Danger: the task is full of errands. The leases end by themselves then.
    if leases.try_send(holding::LeasesCommand::Leave(done)).is_ok() {
        let _ = said.await;
    }
}

/// Tells the fleet that this router ends: twice, since each datagram may be lost. What is lost all the same is a death to
/// the others, found out by the system's refusals.
async fn leave(peers: Option<mpsc::Sender<PeersCommand>>) {
    let Some(peers) = peers else { return };
    for _ in 0..2 {
        let (done, said) = oneshot::channel();
        // Danger: the fleet's task hangs, and the router with it, which was told to end.
        let within = std::time::Duration::from_millis(100);
        if peers.try_send(PeersCommand::Leave(done)).is_err() || timeout(within, said).await.is_err() {
            return;
        }
        sleep(std::time::Duration::from_millis(20)).await;
    }
}

/// Runs a router on the one thread that it has. What the platform tells it is read once the operator's file was.
///
/// # Errors
/// What it could not start with, or why it ended.
pub fn run_single_threaded<F: Future<Output = Result<(), String>>>(
    path: Option<PathBuf>,
    run: impl FnOnce(RouterConfig, Option<PathBuf>, Option<Yardbook>) -> F,
) -> Result<(), String> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let book = path.as_deref().map(arrowyard_operator_config::load).transpose()?;
    let waybill = RouterConfig::load()?;
    LocalSet::new().block_on(&runtime, run(waybill, path, book))
}
