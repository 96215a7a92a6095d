//! Probes a host by requesting its load report.

use std::net::SocketAddr;

use arrowyard_pg::{parse_load_report, put_query, single_value};
use arrowyard_types::{HostId, HostStatus, Outcome};
use bytes::BytesMut;
use tokio::time::timeout;

use arrowyard_core::Limits;
use arrowyard_core::pool::ConnectionPool;

use crate::host_connection::{PgConnection, apply_load_report};

/// Sends `SHOW stats` and returns the outcome with the status that the host reported.
pub async fn run(
    host: HostId,
    address: SocketAddr,
    pool: &ConnectionPool<PgConnection>,
    limits: &Limits,
) -> (Outcome, HostStatus) {
    let unknown_status = HostStatus::default();
    let probe = timeout(limits.connect_timeout, async {
        let mut connection = match pool.acquire(host, address).await {
            Ok(connection) => connection,
            Err(outcome) => return (outcome, unknown_status),
        };
        let mut out = BytesMut::new();
        put_query(&mut out, "SHOW stats");
        if connection.write(&out).await.is_err() {
            return (Outcome::ConnectFailed, unknown_status);
        }
        let Ok(reply) = connection.read_result().await else { return (Outcome::Reset, unknown_status) };
        if reply.ready {
            pool.release(host, connection);
        }
        let (outcome, mut status) = (reply.outcome(), reply.status);
        let value = reply.response.as_ref().and_then(|response| single_value(&response.result.data_row));
        let text = value.as_deref().map(String::from_utf8_lossy);
        tracing::trace!(dial = %address, ?outcome, "probe: {text:?} {status:?}");
        let report = text.as_deref().and_then(parse_load_report);
        if outcome == Outcome::Acked && report.is_none() {
            // A malformed report must not count as a successful probe.
            return (Outcome::Errored, unknown_status);
        }
        apply_load_report(&mut status, &report.unwrap_or_default());
        (outcome, status)
    });
    probe.await.unwrap_or((Outcome::TimedOut, unknown_status))
}
