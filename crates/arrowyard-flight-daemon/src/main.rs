//! The router with Arrow Flight SQL. It has the command line of `arrowyard`; the operator's file sets the
//! Flight SQL listen address and the protocol of the hosts.

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
use arrowyard_flight::ticket::MacKey;
use arrowyard_front_flight::front_end_state::{self, FrontEndState};
use arrowyard_front_flight::limits::FlightSettings;
use arrowyard_front_flight::listen::{Acceptor, serve as serve_flight};
use arrowyard_front_flight::response::{split_flight_response, split_pg_response};
use arrowyard_front_flight::service::ServerInfo;
use arrowyard_front_flight::{ClientResponse, FlightBackend, FlightFrontEnd, FlightLimits, OpPayload};
use arrowyard_front_pg::frontend::client_request;
use arrowyard_operator_config::Yardbook;
use arrowyard_operator_config::schema::{Flight, Speaks};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// The limits that the operator's file sets, and those derived from the router's limits.
fn flight_limits(limits: &Limits, config: &Flight) -> FlightLimits {
    let to_usize = |value: Option<u32>| value.map(|value| value as usize);
    let settings = FlightSettings {
        max_connections: to_usize(config.connections),
        max_calls: to_usize(config.calls),
        max_buffered_result_bytes: to_usize(config.held_bytes),
        max_host_message_bytes: to_usize(config.message_bytes),
        ticket_lifetime: config.ticket_ms.map(|millis| Duration::from_millis(millis.into())),
        max_prepared_statements: to_usize(config.handles),
    };
    FlightLimits::new(limits, settings)
}

/// Draws a random key. The standard library seeds `RandomState` with the operating system's random numbers.
fn random_key() -> MacKey {
    let random_u64 = || RandomState::new().build_hasher().finish();
    MacKey(random_u64(), random_u64())
}

/// Starts the Flight SQL front end and returns its address, with a future that resolves if its server fails.
async fn listen<B, ToPayload, SplitResponse>(
    router: &RouterService<B>,
    listen_address: SocketAddr,
    limits: FlightLimits,
    to_payload: ToPayload,
    split_response: SplitResponse,
) -> Result<(SocketAddr, impl Future<Output = String> + use<B, ToPayload, SplitResponse>), String>
where
    B: HostTransport,
    ToPayload: Fn(OpPayload) -> B::Payload + 'static,
    SplitResponse: Fn(B::Answer) -> (ClientResponse, Option<RetainedResources>) + 'static,
{
    let listener =
        TcpListener::bind(listen_address).await.map_err(|error| format!("{listen_address}: {error}"))?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let (submitter, intake) = submission::channel(
        limits.queue_capacity,
        router.clock,
        router.admission.clone(),
        router.messages.clone(),
    );
    drop(spawn_local(intake.run(
        |payload| client_request(&payload.statement, payload.client_address),
        to_payload,
        split_response,
    )));
    let (state, own_requests, requests) = front_end_state::channel(limits.queue_capacity);
    let (new_connections, new_connection_receiver) = mpsc::channel(16);
    drop(spawn_local(FrontEndState::new(router.clock, random_key(), limits).run(
        own_requests,
        requests,
        new_connection_receiver,
    )));
    let (socket_sender, accepted_sockets) = mpsc::channel(16);
    let (client_connections, stage) = (router.client_connections.clone(), router.stage.clone());
    let acceptor =
        Acceptor { client_connections, new_connections, stage: stage.clone(), limits: router.limits.clone() };
    drop(spawn_local(acceptor.run(listener, socket_sender)));
    let front_end = FlightFrontEnd {
        submitter,
        state,
        clock: router.clock,
        limits,
        server_info: ServerInfo::default().into(),
    };
    tracing::info!("Flight SQL at {address}");
    let server = spawn_local(serve_flight(front_end, limits, stage.clone(), accepted_sockets));
    let server_failure = async move {
        match server.await {
            // The server stops when the router drains, which ends the process.
            Ok(Ok(())) => std::future::pending().await,
            result => format!("the Flight SQL server failed: {result:?}"),
        }
    };
    Ok((address, server_failure))
}

async fn run(
    router_config: RouterConfig,
    operator_file: Option<PathBuf>,
    operator_config: Option<Yardbook>,
) -> Result<(), String> {
    let flight = operator_config.as_ref().and_then(|config| config.flight.clone());
    let flight = flight.ok_or("arrowyard-flight needs an operator's file with a flight section")?;
    let listen_address = flight.listen().parse().map_err(|error| format!("flight.listen: {error}"))?;
    if flight.hosts() == Speaks::FlightSql {
        let backend =
            |limits: &Rc<Limits>| Rc::new(FlightBackend::new(limits.clone(), flight_limits(limits, &flight)));
        let router =
            RouterService::start(&router_config, operator_file, operator_config.as_ref(), backend).await?;
        let limits = flight_limits(&router.limits, &flight);
        let (address, server_failure) =
            listen(&router, listen_address, limits, |payload| payload, split_flight_response).await?;
        tracing::info!("serving at {address}, discovery at {}", router_config.discovery);
        return router.run(server_failure).await;
    }
    let router =
        RouterService::start(&router_config, operator_file, operator_config.as_ref(), serve::backend).await?;
    let limits = flight_limits(&router.limits, &flight);
    let (_, server_failure) =
        listen(&router, listen_address, limits, |payload| payload.statement, split_pg_response).await?;
    serve::listen(&router, router_config.listen, router_config.discovery).await?;
    router.run(server_failure).await
}

fn main() -> ExitCode {
    arrowyard_daemon::run(|path| run_single_threaded(path, run))
}
