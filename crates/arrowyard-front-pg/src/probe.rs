//! One probe of a host: it is asked for its report.

use std::net::SocketAddr;

use arrowyard_pg::{parse_load_report, put_query, single_value};
use arrowyard_types::{HostId, HostStatus, Outcome};
use bytes::BytesMut;
use tokio::time::timeout;

use arrowyard_core::Limits;
use arrowyard_core::pool::Pool;

use crate::link::{PgConnection, apply_load_report};

pub async fn run(
    host: HostId,
    dial: SocketAddr,
    pool: &Pool<PgConnection>,
    limits: &Limits,
) -> (Outcome, HostStatus) {
    let none = HostStatus::default();
    let asked = timeout(limits.connect, async {
        let mut link = match pool.take(host, dial).await {
            Ok(link) => link,
            Err(outcome) => return (outcome, none),
        };
        let mut out = BytesMut::new();
        put_query(&mut out, "SHOW stats");
        if link.write(&out).await.is_err() {
            return (Outcome::ConnectFailed, none);
        }
        let Ok(told) = link.answer().await else { return (Outcome::Reset, none) };
        if told.ready {
            pool.put_back(host, link);
        }
        let (outcome, mut word) = (told.outcome(), told.status);
        let row = told.response.as_ref().and_then(|response| single_value(&response.result.data_row));
        let text = row.as_deref().map(String::from_utf8_lossy);
        tracing::trace!(%dial, ?outcome, "probe: {text:?} {word:?}");
        let told = text.as_deref().and_then(parse_load_report);
        if outcome == Outcome::Acked && told.is_none() {
            // Danger: a report that cannot be read, taken for word that all is well.
            return (Outcome::Errored, none);
        }
        apply_load_report(&mut word, &told.unwrap_or_default());
        (outcome, word)
    });
    asked.await.unwrap_or((Outcome::TimedOut, none))
}
