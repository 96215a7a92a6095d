//! The router service, independent of its frontends and of the hosts' protocol: starts all tasks on one
//! thread and stops them on request.

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;

use arrowyard_core::Back;
use arrowyard_core::admit::Gate;
use arrowyard_core::clock::{Beat, Clock};
use arrowyard_core::discovery::{Discovery, Manners};
use arrowyard_core::drain::{self, Drain, Stage};
use arrowyard_core::leases::{self as holding, Leases};
use arrowyard_core::limits::Limits;
use arrowyard_core::logger::{self, Form, Logbook};
use arrowyard_core::mail::{Mail, Wish};
use arrowyard_core::peers::{Errand, Peers};
use arrowyard_core::reload::{Reload, Reread};
use arrowyard_core::returns::{self, Returning};
use arrowyard_core::roster::Roster;
use arrowyard_core::route::{Route, Yard};
use arrowyard_core::waybill::Waybill;
use arrowyard_operator_config::{Yardbook, belongs, layout, leases, returns as comes, schema};
use arrowyard_platform_settings::manifest;
use arrowyard_startup::{Credence, Herd};
use arrowyard_types::{RouterSettingsExt, SettingValue};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// Log settings: those of the operator's file where it has them, else the defaults.
fn log_settings(name: &str, lines_per_second: u32, book: Option<&Yardbook>) -> Logbook {
    let defaults = Logbook::plain(name, lines_per_second);
    let Some(log) = book.and_then(|book| book.log.as_ref()) else { return defaults };
    Logbook {
        form: if log.form() == schema::Form::Json { Form::Json } else { Form::Text },
        level: log.level.as_ref().and_then(|level| level.parse().ok()).unwrap_or(defaults.level),
        lines: log.lines_a_second.unwrap_or(lines_per_second),
        ..defaults
    }
}

/// Separates the random numbers that pace discovery calls from those of the decision module, which has the
/// same seed.
const PACING_SEED: u64 = 0x6865_7264;

/// The tasks of a running router, and the handles by which frontends submit ops.
pub struct RouterService<B: Back> {
    pub gate: Rc<Gate>,
    pub mail: mpsc::Sender<Mail<B>>,
    /// Number of client connections of all frontends.
    pub clients: Rc<Cell<usize>>,
    pub stage: watch::Receiver<Stage>,
    pub beat: Rc<Beat>,
    pub clock: Clock,
    pub limits: Rc<Limits>,
    peers: Option<mpsc::Sender<Errand>>,
    drain: Drain,
    signals: (Signal, Signal),
    route: JoinHandle<()>,
}

impl<B: Back> RouterService<B> {
    /// Starts the tasks; `back` creates the backend that sends to hosts.
    ///
    /// # Errors
    /// Why a task could not be started.
    pub async fn start(
        waybill: &Waybill,
        path: Option<PathBuf>,
        book: Option<&Yardbook>,
        back: impl FnOnce(&Rc<Limits>) -> Rc<B>,
    ) -> Result<Self, String> {
        let mut settings = manifest(&waybill.settings)?;
        let limits = Rc::new(Limits::new(waybill, &settings));
        logger::start(log_settings(&waybill.name, limits.log_lines, book));
        let signals = drain::signals().map_err(|e| format!("signals: {e}"))?;
        let hangup = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
        let clock = Clock::start();
        let (mail, inbox) = mpsc::channel(limits.inbox);
        let (wishes, wished) = mpsc::channel(limits.inbox);
        let (stage, staged) = watch::channel(Stage::Serving);

        let beat = Beat::new(clock, limits.beat);
        drop(spawn_local(beat.clone().run()));
        let back = back(&limits);
        // Changes cannot be applied to a stored list: the watch starts with the whole list unless the
        // platform gave one.
        let version = Rc::new(Cell::new(waybill.known.as_ref().map(|list| list.version)));
        let (mut known, mut returning, mut manners) = (waybill.known.clone(), None, None);
        if let Some(comes) = book.and_then(comes) {
            let deployment = returns::deployment(&waybill.settings);
            let (list, stored) = returns::read(&comes, deployment, known).await;
            known = list;
            let (name, seed) = (&waybill.name, waybill.seed);
            let held = stored.max(version.get());
            manners = Some(Rc::new(RefCell::new(Manners {
                credence: Credence::new(clock.now(), held, comes.doubt),
                herd: Herd::new(comes.pace, settings.number_or("routers", 1.0), seed ^ PACING_SEED),
                listed: known.is_some(),
                clock,
            })));
            let start = Returning::new(clock.now(), comes, deployment, name, known.is_some(), seed);
            returning = Some(Box::new(start));
        }
        let discovery = Discovery {
            dial: waybill.discovery,
            version,
            mail: mail.clone(),
            limits: limits.clone(),
            manners,
        };
        drop(spawn_local(discovery.run(wished)));
        let cells = book.and_then(layout);
        let reread = path.map(|path| -> (Reread, _) {
            (Arc::new(move || Ok(layout(&arrowyard_operator_config::load(&path)?))), mail.clone())
        });
        let reload = Reload { wishes: wishes.clone(), limits: limits.clone(), book: reread };
        drop(spawn_local(reload.run(hangup)));
        if settings.text("list") != "ask" {
            // Where lists are pushed, the decision module never requests one.
            wishes.send(Wish::Watch(true)).await.map_err(|e| e.to_string())?;
        }

        let mut gate = Gate::new(&waybill.settings, &settings, limits.clone(), cells.is_some());
        if let Some(joins) = book.and_then(leases) {
            let (task, errands) = Leases::open(joins, &waybill.name, waybill.seed).await?;
            drop(spawn_local(task.run()));
            // Released as soon as the drain begins: in-flight ops are still finished then, leased tasks are
            // not.
            let (leases, mut drain_stage) = (errands.clone(), staged.clone());
            drop(spawn_local(async move {
                if drain_stage.wait_for(|stage| *stage != Stage::Serving).await.is_ok() {
                    release_leases(leases).await;
                }
            }));
            gate.leases = Some(errands);
        }
        let mut peers = None;
        if let Some(belongs) = book.and_then(belongs) {
            gate.peers = true;
            if belongs.relay_app_messages {
                settings.insert("peers".to_string(), SettingValue::Flag(true));
            }
            let (configured_routers, mail) = (settings.number_or("routers", 1.0), mail.clone());
            let (name, seed, holding) = (&waybill.name, waybill.seed, gate.leases.clone());
            let (task, errands) =
                Peers::open(belongs, name, configured_routers, seed, clock, mail, holding).await?;
            drop(spawn_local(task.run()));
            peers = Some(errands);
        }
        let gate = Rc::new(gate);
        let roster = Roster::new(&waybill.settings, limits.clone());
        let yard = Yard {
            roster,
            back,
            clock,
            limits: limits.clone(),
            wishes,
            mail: mail.clone(),
            returns: returning,
            peers: peers.clone(),
        };
        let route = Route::start(yard, waybill.seed, settings, known.as_ref(), cells);
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

    /// Runs until a signal stops the router, or `front` resolves because a frontend failed.
    ///
    /// # Errors
    /// Why a task ended unexpectedly.
    pub async fn run(self, front: impl Future<Output = String>) -> Result<(), String> {
        tokio::select! {
            biased;
            () = self.drain.run(self.signals) => {
                announce_leave(self.peers).await;
                Ok(())
            }
            // Without the route task the router would accept ops and never reply. It exits, to be restarted.
            ended = self.route => Err(format!("the route stage ended: {ended:?}")),
            error = front => Err(error),
        }
    }
}

/// Releases all leases, so that others need not wait for them to expire.
async fn release_leases(leases: mpsc::Sender<holding::Errand>) {
    let (done, acknowledged) = oneshot::channel();
    // If the task's queue is full, the leases expire instead.
    if leases.try_send(holding::Errand::Leave(done)).is_ok() {
        let _ = acknowledged.await;
    }
}

/// Announces to the fleet that this router leaves. Sent twice, since a datagram may be lost; if both are,
/// the other routers detect the exit as a failure, by refused datagrams.
async fn announce_leave(peers: Option<mpsc::Sender<Errand>>) {
    let Some(peers) = peers else { return };
    for _ in 0..2 {
        let (done, acknowledged) = oneshot::channel();
        // Bounded, so that a hanging membership task does not delay the exit.
        let ack_timeout = std::time::Duration::from_millis(100);
        if peers.try_send(Errand::Leave(done)).is_err() || timeout(ack_timeout, acknowledged).await.is_err() {
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
    path: Option<PathBuf>,
    run: impl FnOnce(Waybill, Option<PathBuf>, Option<Yardbook>) -> F,
) -> Result<(), String> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let book = path.as_deref().map(arrowyard_operator_config::load).transpose()?;
    let waybill = Waybill::read()?;
    LocalSet::new().block_on(&runtime, run(waybill, path, book))
}
