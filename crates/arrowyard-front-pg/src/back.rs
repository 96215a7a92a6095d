//! Sends and probes over connections of PostgreSQL's protocol.

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
        let mut link = match self.pool.take(host, dial).await {
            Ok(link) => link,
            Err(outcome) => return (outcome, HostStatus::default(), None),
        };
        let mut out = BytesMut::new();
        // Whole milliseconds, and the host must not give up before the router does.
        let wait = (until - clock.now()).micros().max(0) as u64;
        statement.put_query(&mut out, wait.div_ceil(1000));
        if let Err(broken) = link.write(&out).await {
            tracing::debug!(%dial, "not written: {}", broken.0);
            return (Outcome::ConnectFailed, HostStatus::default(), None);
        }
        progress.written();
        match link.answer().await {
            Ok(told) => {
                if told.ready {
                    self.pool.put_back(host, link);
                }
                let outcome = told.outcome();
                (outcome, told.status, told.response.filter(|_| outcome == Outcome::Acked))
            }
            Err(broken) => {
                tracing::debug!(%dial, "broken: {}", broken.0);
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
