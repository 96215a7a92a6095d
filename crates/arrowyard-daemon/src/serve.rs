//! A router whose clients and hosts speak PostgreSQL's protocol.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use arrowyard_core::limits::Limits;
use arrowyard_core::router_config::RouterConfig;
use arrowyard_front_pg::PgBackend;
use arrowyard_front_pg::frontend::{Frontend, IdleConnections};
use arrowyard_operator_config::Yardbook;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::router_service::{RouterService, run_single_threaded};

/// The backend for hosts that speak PostgreSQL's protocol.
#[must_use]
pub fn backend(limits: &Rc<Limits>) -> Rc<PgBackend> {
    Rc::new(PgBackend::new(limits.clone()))
}

/// Starts the frontend that accepts PostgreSQL clients.
///
/// # Errors
/// Listening on the address fails.
pub async fn listen(
    router: &RouterService<PgBackend>,
    listen_address: SocketAddr,
    discovery_address: SocketAddr,
) -> Result<(), String> {
    let listener =
        TcpListener::bind(listen_address).await.map_err(|error| format!("{listen_address}: {error}"))?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    tracing::info!("serving at {address}, discovery at {discovery_address}");
    let RouterService { admission, messages, client_connections, stage, stall_detector, limits, .. } = router;
    let frontend = Frontend {
        admission: admission.clone(),
        messages: messages.clone(),
        client_connections: client_connections.clone(),
        idle_connections: IdleConnections::default(),
        stage: stage.clone(),
        stall_detector: stall_detector.clone(),
        limits: limits.clone(),
    };
    drop(spawn_local(Rc::new(frontend).listen(listener)));
    Ok(())
}

async fn run(
    router_config: RouterConfig,
    operator_file: Option<PathBuf>,
    operator_config: Option<Yardbook>,
) -> Result<(), String> {
    if operator_config.as_ref().is_some_and(|config| config.flight.is_some()) {
        return Err(
            "the operator's file contains `flight`, which only the program arrowyard-flight supports"
                .to_string(),
        );
    }
    let router =
        RouterService::start(&router_config, operator_file, operator_config.as_ref(), backend).await?;
    listen(&router, router_config.listen, router_config.discovery).await?;
    router.run(std::future::pending()).await
}

/// Runs the router until a signal stops it, with the operator's file if a path is given.
///
/// # Errors
/// Why it could not start, or why it stopped.
pub fn serve(operator_file: Option<PathBuf>) -> Result<(), String> {
    run_single_threaded(operator_file, run)
}
