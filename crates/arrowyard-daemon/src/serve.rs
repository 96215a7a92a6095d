//! A router whose clients and hosts speak PostgreSQL's protocol.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use arrowyard_core::limits::Limits;
use arrowyard_core::router_config::RouterConfig;
use arrowyard_front_pg::PgBack;
use arrowyard_front_pg::take_in::{Front, Idlers};
use arrowyard_operator_config::Yardbook;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::base::{Base, serve_with};

/// What carries sends to hosts of PostgreSQL's protocol.
#[must_use]
pub fn back(limits: &Rc<Limits>) -> Rc<PgBack> {
    Rc::new(PgBack::new(limits.clone()))
}

/// Opens the front of PostgreSQL's protocol.
///
/// # Errors
/// The address cannot be listened at.
pub async fn listen(base: &Base<PgBack>, at: SocketAddr, discovery: SocketAddr) -> Result<(), String> {
    let listener = TcpListener::bind(at).await.map_err(|e| format!("{at}: {e}"))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    tracing::info!("serving at {address}, discovery at {discovery}");
    let Base { gate, mail, clients, stage, beat, limits, .. } = base;
    let front = Front {
        gate: gate.clone(),
        mail: mail.clone(),
        clients: clients.clone(),
        idlers: Idlers::default(),
        stage: stage.clone(),
        beat: beat.clone(),
        limits: limits.clone(),
    };
    drop(spawn_local(Rc::new(front).listen(listener)));
    Ok(())
}

async fn run(waybill: RouterConfig, path: Option<PathBuf>, book: Option<Yardbook>) -> Result<(), String> {
    if book.as_ref().is_some_and(|book| book.flight.is_some()) {
        return Err("the operator's file has flight, which the program arrowyard-flight serves".to_string());
    }
    let base = Base::start(&waybill, path, book.as_ref(), back).await?;
    listen(&base, waybill.listen, waybill.discovery).await?;
    base.run(std::future::pending()).await
}

/// Serves till it is told to end, with the operator's file if there is one.
///
/// # Errors
/// What it could not start with, or why it ended.
pub fn serve(path: Option<PathBuf>) -> Result<(), String> {
    serve_with(path, run)
}
