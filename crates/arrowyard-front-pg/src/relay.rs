//! The final answer of an op, on its way to the client: one whole answer, written in one piece.

use arrowyard_pg::{code, put_busy_error, put_error, put_fatal_error, put_ready_for_query};
use bytes::BytesMut;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

use arrowyard_core::{Limits, Reply};

use crate::link::PgResponse;

/// Writes the final answer, and that the router is ready for another command.
pub fn put_reply(reply: &Reply<PgResponse>, out: &mut BytesMut) {
    match reply {
        Reply::Acked(response) => response.result.put(out),
        Reply::Busy(after) => put_busy_error(out, after.map(|span| (span.micros().max(0) / 1000) as u64)),
        Reply::Errored => put_error(out, code::INTERNAL, "not answered; it may have run"),
        Reply::Refused(why) => put_error(out, code::PROTOCOL_VIOLATION, why),
    }
    put_ready_for_query(out);
}

/// The client is told that the router is busy, and that the connection ends.
pub fn put_too_many_clients(out: &mut BytesMut) {
    put_fatal_error(out, code::TOO_MANY_CONNECTIONS, "too many clients, nothing was done");
}

/// Writes all of it; false if the client is gone or does not take it.
pub async fn write(client: &mut (impl AsyncWrite + Unpin), out: &mut BytesMut, limits: &Limits) -> bool {
    let whole = matches!(timeout(limits.relay, client.write_all(out)).await, Ok(Ok(())));
    out.clear();
    whole
}
