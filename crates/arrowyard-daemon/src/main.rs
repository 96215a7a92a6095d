//! The router on sockets: reads what it is told, starts the stages on one thread, and ends when told to.

use std::cell::Cell;
use std::process::ExitCode;
use std::rc::Rc;

use arrowyard_charter::manifest;
use arrowyard_core::admit::Gate;
use arrowyard_core::clock::{Beat, Clock};
use arrowyard_core::discovery::Discovery;
use arrowyard_core::drain::{self, Drain, Stage};
use arrowyard_core::limits::Limits;
use arrowyard_core::logger;
use arrowyard_core::mail::Wish;
use arrowyard_core::reload::Reload;
use arrowyard_core::roster::Roster;
use arrowyard_core::route::{Route, Yard};
use arrowyard_core::waybill::Waybill;
use arrowyard_front_pg::PgBack;
use arrowyard_front_pg::take_in::{Front, Idlers};
use arrowyard_types::Facts;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};

async fn run(waybill: Waybill) -> Result<(), String> {
    let told = manifest(&waybill.settings)?;
    let limits = Rc::new(Limits::new(&waybill, &told));
    logger::start(&waybill.name, limits.log_lines);
    let signals = drain::signals().map_err(|e| format!("signals: {e}"))?;
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
    let clock = Clock::start();
    let (mail, inbox) = mpsc::channel(limits.inbox);
    let (wishes, wished) = mpsc::channel(limits.inbox);
    let (stage, staged) = watch::channel(Stage::Serving);

    let beat = Beat::new(clock, limits.beat);
    drop(spawn_local(beat.clone().run()));
    let back = Rc::new(PgBack::new(limits.clone()));
    drop(spawn_local(back.sweep()));
    let version = Rc::new(Cell::new(waybill.known.as_ref().map(|list| list.version)));
    let discovery =
        Discovery { dial: waybill.discovery, version, mail: mail.clone(), limits: limits.clone() };
    drop(spawn_local(discovery.run(wished)));
    drop(spawn_local(Reload { wishes: wishes.clone(), limits: limits.clone() }.run(hangup)));
    if told.text("list") != "ask" {
        // Where lists come unasked, the module does not ask.
        wishes.send(Wish::Watch(true)).await.map_err(|e| e.to_string())?;
    }

    let gate = Rc::new(Gate::new(&waybill.settings, &told, limits.clone()));
    let roster = Roster::new(&waybill.settings, limits.clone());
    let yard = Yard { roster, back, clock, limits: limits.clone(), wishes, mail: mail.clone() };
    let route = spawn_local(Route::start(yard, waybill.seed, told, waybill.known.as_ref()).run(inbox));

    let listener = TcpListener::bind(waybill.listen).await.map_err(|e| format!("{}: {e}", waybill.listen))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    log::info!("serving at {address}, discovery at {}", waybill.discovery);
    let clients = Rc::new(Cell::new(0));
    let drain = Drain { stage, clients: clients.clone(), limits: limits.clone() };
    let front = Front { gate, mail, clients, idlers: Idlers::default(), stage: staged, beat, limits };
    drop(spawn_local(Rc::new(front).listen(listener)));
    tokio::select! {
        () = drain.run(signals) => Ok(()),
        // Danger: a router that takes ops and answers none. Better that it ends and is started anew.
        ended = route => Err(format!("the route stage ended: {ended:?}")),
    }
}

fn main() -> ExitCode {
    let started = Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string());
    let ended = started.and_then(|runtime| {
        let waybill = Waybill::read()?;
        LocalSet::new().block_on(&runtime, run(waybill))
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("arrowyard: {}", why.replace('\n', " "));
            ExitCode::from(2)
        }
    }
}
