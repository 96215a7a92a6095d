//! Sends and probes over PostgreSQL connections.

use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_core::Limits;
use arrowyard_core::clock::Clock;
use arrowyard_core::pool::ConnectionPool;
use arrowyard_core::transport::{ExchangeResult, HostTransport, Progress};
use arrowyard_pg::Statement;
use arrowyard_types::{HostId, HostStatus, Outcome, Timestamp};
use bytes::BytesMut;
use tokio::time::Instant;

use crate::host_connection::{PgConnection, PgResponse};
use crate::probe;

/// Transport for hosts that speak PostgreSQL's protocol.
pub struct PgBackend {
    pool: Rc<ConnectionPool<PgConnection>>,
    limits: Rc<Limits>,
}

impl PgBackend {
    /// Creates a backend with an empty connection pool.
    pub fn new(limits: Rc<Limits>) -> Self {
        PgBackend { pool: ConnectionPool::new(limits.clone()), limits }
    }
}

impl HostTransport for PgBackend {
    type Payload = Statement;
    type Answer = PgResponse;

    fn close_expired(&self) {
        self.pool.close_expired();
    }

    async fn exchange(
        &self,
        host: HostId,
        address: SocketAddr,
        statement: &Statement,
        deadline: Timestamp,
        clock: Clock,
        progress: &Progress<PgResponse>,
    ) -> ExchangeResult<PgResponse> {
        let mut connection = match self.pool.acquire(host, address).await {
            Ok(connection) => connection,
            Err(outcome) => return (outcome, HostStatus::default(), None),
        };
        let mut out = BytesMut::new();
        // Rounded up to whole milliseconds, so that the host does not time out before the router does.
        let timeout_us = (deadline - clock.now()).micros().max(0) as u64;
        statement.put_query(&mut out, timeout_us.div_ceil(1000));
        if let Err(error) = connection.write(&out).await {
            tracing::debug!(dial = %address, "writing the statement failed: {}", error.0);
            return (Outcome::ConnectFailed, HostStatus::default(), None);
        }
        progress.mark_written();
        match connection.read_result().await {
            Ok(reply) => {
                if reply.ready {
                    self.pool.release(host, connection);
                }
                let outcome = reply.outcome();
                (outcome, reply.status, reply.response.filter(|_| outcome == Outcome::Acked))
            }
            Err(error) => {
                tracing::debug!(dial = %address, "reading the reply failed: {}", error.0);
                (Outcome::Reset, HostStatus::default(), None)
            }
        }
    }

    async fn probe(&self, host: HostId, address: SocketAddr) -> (Outcome, HostStatus) {
        probe::run(host, address, &self.pool, &self.limits).await
    }

    fn send_timed_out(&self, host: HostId, since: Instant) {
        self.pool.send_timed_out(host, since);
    }

    fn close_idle(&self, host: HostId) {
        self.pool.close_idle(host);
    }

    fn open_connections(&self) -> usize {
        self.pool.open_connections()
    }

    fn connections_started(&self) -> u64 {
        self.pool.connections_started()
    }
}
