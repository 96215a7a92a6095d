//! Sends and probes over PostgreSQL connections.

use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_core::Limits;
use arrowyard_core::back::{Back, Progress, Told};
use arrowyard_core::clock::Clock;
use arrowyard_core::pool::Pool;
use arrowyard_pg::Statement;
use arrowyard_types::{HostId, HostStatus, Outcome, Timestamp};
use bytes::BytesMut;
use tokio::time::Instant;

use crate::link::{PgConnection, PgResponse};
use crate::probe;

/// Backend for hosts that speak PostgreSQL's protocol.
pub struct PgBackend {
    pool: Rc<Pool<PgConnection>>,
    limits: Rc<Limits>,
}

impl PgBackend {
    pub fn new(limits: Rc<Limits>) -> Self {
        PgBackend { pool: Pool::new(limits.clone()), limits }
    }
}

impl Back for PgBackend {
    type Payload = Statement;
    type Answer = PgResponse;

    fn sweep(&self) {
        self.pool.sweep();
    }

    async fn exchange(
        &self,
        host: HostId,
        dial: SocketAddr,
        statement: &Statement,
        until: Timestamp,
        clock: Clock,
        progress: &Progress<PgResponse>,
    ) -> Told<PgResponse> {
        let mut connection = match self.pool.take(host, dial).await {
            Ok(connection) => connection,
            Err(outcome) => return (outcome, HostStatus::default(), None),
        };
        let mut out = BytesMut::new();
        // Rounded up to whole milliseconds, so that the host does not time out before the router does.
        let timeout_us = (until - clock.now()).micros().max(0) as u64;
        statement.put_query(&mut out, timeout_us.div_ceil(1000));
        if let Err(error) = connection.write(&out).await {
            tracing::debug!(%dial, "writing the statement failed: {}", error.0);
            return (Outcome::ConnectFailed, HostStatus::default(), None);
        }
        progress.written();
        match connection.read_result().await {
            Ok(reply) => {
                if reply.ready {
                    self.pool.put_back(host, connection);
                }
                let outcome = reply.outcome();
                (outcome, reply.status, reply.response.filter(|_| outcome == Outcome::Acked))
            }
            Err(error) => {
                tracing::debug!(%dial, "reading the reply failed: {}", error.0);
                (Outcome::Reset, HostStatus::default(), None)
            }
        }
    }

    async fn probe(&self, host: HostId, dial: SocketAddr) -> (Outcome, HostStatus) {
        probe::run(host, dial, &self.pool, &self.limits).await
    }

    fn unanswered(&self, host: HostId, since: Instant) {
        self.pool.unanswered(host, since);
    }

    fn close_idle(&self, host: HostId) {
        self.pool.close_idle(host);
    }

    fn open(&self) -> usize {
        self.pool.open()
    }

    fn dialed(&self) -> u64 {
        self.pool.dialed()
    }
}
