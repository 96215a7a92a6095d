//! What every router in service has, whatever fronts it has and whatever its hosts speak: the stages are started on one
//! thread, and end when told to.

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
use arrowyard_startup::{CallPacer, ListVersionTracker};
use arrowyard_types::{RouterSettingsExt, SettingValue};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// How the log is kept: as the operator's file says, else as without one.
fn logbook(name: &str, lines: u32, book: Option<&Yardbook>) -> Logbook {
    let plain = Logbook::plain(name, lines);
    let Some(log) = book.and_then(|book| book.log.as_ref()) else { return plain };
    Logbook {
        form: if log.form() == schema::Form::Json { Form::Json } else { Form::Text },
        level: log.level.as_ref().and_then(|level| level.parse().ok()).unwrap_or(plain.level),
        lines: log.lines_a_second.unwrap_or(lines),
        ..plain
    }
}

/// What the draws of the herd are told apart by from the module's, which have the same seed.
const HERD: u64 = 0x6865_7264;

/// The stages of a router that is to serve: fronts hand their ops in here.
pub struct RouterService<B: Back> {
    pub gate: Rc<Gate>,
    pub mail: mpsc::Sender<Mail<B>>,
    /// Connections of clients, of every front.
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
    /// Starts them; `back` makes what carries sends to hosts.
    ///
    /// # Errors
    /// What it could not start with.
    pub async fn start(
        waybill: &Waybill,
        path: Option<PathBuf>,
        book: Option<&Yardbook>,
        back: impl FnOnce(&Rc<Limits>) -> Rc<B>,
    ) -> Result<Self, String> {
        let mut told = manifest(&waybill.settings)?;
        let limits = Rc::new(Limits::new(waybill, &told));
        logger::start(logbook(&waybill.name, limits.log_lines, book));
        let signals = drain::signals().map_err(|e| format!("signals: {e}"))?;
        let hangup = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
        let clock = Clock::start();
        let (mail, inbox) = mpsc::channel(limits.inbox);
        let (wishes, wished) = mpsc::channel(limits.inbox);
        let (stage, staged) = watch::channel(Stage::Serving);

        let beat = Beat::new(clock, limits.beat);
        drop(spawn_local(beat.clone().run()));
        let back = back(&limits);
        // A stored list is no base for changes: the watch begins with the whole list unless the platform told one.
        let version = Rc::new(Cell::new(waybill.known.as_ref().map(|list| list.version)));
        let (mut known, mut returning, mut manners) = (waybill.known.clone(), None, None);
        if let Some(comes) = book.and_then(comes) {
            let deployment = returns::deployment(&waybill.settings);
            let (list, stored) = returns::read(&comes, deployment, known).await;
            known = list;
            let (name, seed) = (&waybill.name, waybill.seed);
            let held = stored.max(version.get());
            manners = Some(Rc::new(RefCell::new(Manners {
                credence: ListVersionTracker::new(clock.now(), held, comes.rollback_delay),
                herd: CallPacer::new(comes.pacing, told.number_or("routers", 1.0), seed ^ HERD),
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
        if told.text("list") != "ask" {
            // Where lists come unasked, the module does not ask.
            wishes.send(Wish::Watch(true)).await.map_err(|e| e.to_string())?;
        }

        let mut gate = Gate::new(&waybill.settings, &told, limits.clone(), cells.is_some());
        if let Some(joins) = book.and_then(leases) {
            let (task, errands) = Leases::open(joins, &waybill.name, waybill.seed).await?;
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
        if let Some(belongs) = book.and_then(belongs) {
            gate.peers = true;
            if belongs.relay_app_messages {
                told.insert("peers".to_string(), SettingValue::Flag(true));
            }
            let (settings, mail) = (told.number_or("routers", 1.0), mail.clone());
            let (name, seed, holding) = (&waybill.name, waybill.seed, gate.leases.clone());
            let (task, errands) = Peers::open(belongs, name, settings, seed, clock, mail, holding).await?;
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
        let route = Route::start(yard, waybill.seed, told, known.as_ref(), cells);
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
async fn release(leases: mpsc::Sender<holding::Errand>) {
    let (done, said) = oneshot::channel();
    // Danger: the task is full of errands. The leases end by themselves then.
    if leases.try_send(holding::Errand::Leave(done)).is_ok() {
        let _ = said.await;
    }
}

/// Tells the fleet that this router ends: twice, since each datagram may be lost. What is lost all the same is a death to
/// the others, found out by the system's refusals.
async fn leave(peers: Option<mpsc::Sender<Errand>>) {
    let Some(peers) = peers else { return };
    for _ in 0..2 {
        let (done, said) = oneshot::channel();
        // Danger: the fleet's task hangs, and the router with it, which was told to end.
        let within = std::time::Duration::from_millis(100);
        if peers.try_send(Errand::Leave(done)).is_err() || timeout(within, said).await.is_err() {
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
    run: impl FnOnce(Waybill, Option<PathBuf>, Option<Yardbook>) -> F,
) -> Result<(), String> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let book = path.as_deref().map(arrowyard_operator_config::load).transpose()?;
    let waybill = Waybill::read()?;
    LocalSet::new().block_on(&runtime, run(waybill, path, book))
}
