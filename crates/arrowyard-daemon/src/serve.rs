//! A router whose clients and hosts speak PostgreSQL's protocol.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use arrowyard_core::limits::Limits;
use arrowyard_core::waybill::Waybill;
use arrowyard_front_pg::PgBackend;
use arrowyard_front_pg::take_in::{Frontend, IdleConnections};
use arrowyard_operator_config::Yardbook;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::router_service::{RouterService, run_single_threaded};

/// What carries sends to hosts of PostgreSQL's protocol.
#[must_use]
pub fn backend(limits: &Rc<Limits>) -> Rc<PgBackend> {
    Rc::new(PgBackend::new(limits.clone()))
}

/// Opens the front of PostgreSQL's protocol.
///
/// # Errors
/// The address cannot be listened at.
pub async fn listen(
    base: &RouterService<PgBackend>,
    at: SocketAddr,
    discovery: SocketAddr,
) -> Result<(), String> {
    let listener = TcpListener::bind(at).await.map_err(|e| format!("{at}: {e}"))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    tracing::info!("serving at {address}, discovery at {discovery}");
    let RouterService { gate, mail, clients, stage, beat, limits, .. } = base;
    let front = Frontend {
        gate: gate.clone(),
        mail: mail.clone(),
        clients: clients.clone(),
        idle_connections: IdleConnections::default(),
        stage: stage.clone(),
        beat: beat.clone(),
        limits: limits.clone(),
    };
    drop(spawn_local(Rc::new(front).listen(listener)));
    Ok(())
}

async fn run(waybill: Waybill, path: Option<PathBuf>, book: Option<Yardbook>) -> Result<(), String> {
    if book.as_ref().is_some_and(|book| book.flight.is_some()) {
        return Err("the operator's file has flight, which the program arrowyard-flight serves".to_string());
    }
    let base = RouterService::start(&waybill, path, book.as_ref(), backend).await?;
    listen(&base, waybill.listen, waybill.discovery).await?;
    base.run(std::future::pending()).await
}

/// Serves till it is told to end, with the operator's file if there is one.
///
/// # Errors
/// What it could not start with, or why it ended.
pub fn serve(path: Option<PathBuf>) -> Result<(), String> {
    run_single_threaded(path, run)
}
