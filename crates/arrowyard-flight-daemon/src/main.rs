//! The router with Arrow Flight SQL. It has the command line of `arrowyard`; what it listens at, and what its hosts
//! speak, stands in the operator's file.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use arrowyard_core::router_config::RouterConfig;
use arrowyard_core::submission::{self, RetainedResources};
use arrowyard_core::{HostTransport, Limits};
use arrowyard_daemon::router_service::{RouterService, run_single_threaded};
use arrowyard_daemon::serve;
use arrowyard_flight::ticket::Key;
use arrowyard_front_flight::answer::{lift, lift_parcel};
use arrowyard_front_flight::clerk::{self, Clerk};
use arrowyard_front_flight::limits::Asked;
use arrowyard_front_flight::listen::{Door, serve as speak};
use arrowyard_front_flight::service::Known;
use arrowyard_front_flight::{Errand, FlightBack, FlightFront, FlightLimits, Served};
use arrowyard_front_pg::frontend::client_request;
use arrowyard_operator_config::Yardbook;
use arrowyard_operator_config::schema::{Flight, Speaks};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

fn limits(limits: &Limits, told: &Flight) -> FlightLimits {
    let size = |told: Option<u32>| told.map(|told| told as usize);
    let asked = Asked {
        connections: size(told.connections),
        calls: size(told.calls),
        held_each: size(told.held_bytes),
        message: size(told.message_bytes),
        ticket: told.ticket_ms.map(|millis| Duration::from_millis(millis.into())),
        handles: size(told.handles),
    };
    FlightLimits::new(limits, asked)
}

/// A key that nobody knows, and that no other start has. The standard library draws it of the system's randomness.
fn key() -> Key {
    let draw = || RandomState::new().build_hasher().finish();
    Key(draw(), draw())
}

/// Opens the front of Flight SQL; what is returned resolves if its server ends untold.
async fn listen<B, L, T>(
    base: &RouterService<B>,
    at: SocketAddr,
    limits: FlightLimits,
    load: L,
    lift: T,
) -> Result<(SocketAddr, impl Future<Output = String> + use<B, L, T>), String>
where
    B: HostTransport,
    L: Fn(Errand) -> B::Payload + 'static,
    T: Fn(B::Answer) -> (Served, Option<RetainedResources>) + 'static,
{
    let listener = TcpListener::bind(at).await.map_err(|e| format!("{at}: {e}"))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let (hatch, desk) =
        submission::channel(limits.inbox, base.clock, base.admission.clone(), base.messages.clone());
    drop(spawn_local(desk.run(|errand| client_request(&errand.statement, errand.address), load, lift)));
    let (counter, own, chores) = clerk::open(limits.inbox);
    let (arrivals, arrived) = mpsc::channel(16);
    drop(spawn_local(Clerk::new(base.clock, key(), limits).run(own, chores, arrived)));
    let (taken, came) = mpsc::channel(16);
    let (clients, stage) = (base.client_connections.clone(), base.stage.clone());
    let door = Door { clients, arrivals, stage: stage.clone(), limits: base.limits.clone() };
    drop(spawn_local(door.run(listener, taken)));
    let front = FlightFront { hatch, counter, clock: base.clock, limits, known: Known::default().into() };
    tracing::info!("Flight SQL at {address}");
    let served = spawn_local(speak(front, limits, stage.clone(), came));
    let ended = async move {
        match served.await {
            // Its server ends with the router; the drain says when that is over.
            Ok(Ok(())) => std::future::pending().await,
            ended => format!("the server of Flight SQL ended: {ended:?}"),
        }
    };
    Ok((address, ended))
}

async fn run(waybill: RouterConfig, path: Option<PathBuf>, book: Option<Yardbook>) -> Result<(), String> {
    let told = book.as_ref().and_then(|book| book.flight.clone());
    let told = told.ok_or("arrowyard-flight needs an operator's file that has flight")?;
    let at = told.listen().parse().map_err(|e| format!("flight.listen: {e}"))?;
    if told.hosts() == Speaks::FlightSql {
        let back = |of: &Rc<Limits>| Rc::new(FlightBack::new(of.clone(), limits(of, &told)));
        let base = RouterService::start(&waybill, path, book.as_ref(), back).await?;
        let of = limits(&base.limits, &told);
        let (address, ended) = listen(&base, at, of, |errand| errand, lift).await?;
        tracing::info!("serving at {address}, discovery at {}", waybill.discovery);
        return base.run(ended).await;
    }
    let base = RouterService::start(&waybill, path, book.as_ref(), serve::backend).await?;
    let of = limits(&base.limits, &told);
    let (_, ended) = listen(&base, at, of, |errand| errand.statement, lift_parcel).await?;
    serve::listen(&base, waybill.listen, waybill.discovery).await?;
    base.run(ended).await
}

fn main() -> ExitCode {
    arrowyard_daemon::run(|path| run_single_threaded(path, run))
}
