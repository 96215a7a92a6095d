//! Encodes the final reply of an op and writes it to the client.

use arrowyard_pg::{code, put_busy_error, put_error, put_fatal_error, put_ready_for_query};
use bytes::BytesMut;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

use arrowyard_core::{Limits, Reply};

use crate::host_connection::PgResponse;

/// Appends the messages of the final reply, followed by ReadyForQuery.
pub fn put_reply(reply: &Reply<PgResponse>, out: &mut BytesMut) {
    match reply {
        Reply::Acked(response) => response.result.put(out),
        Reply::Busy(retry_after) => {
            put_busy_error(out, retry_after.map(|delay| (delay.micros().max(0) / 1000) as u64))
        }
        Reply::Errored => put_error(out, code::INTERNAL, "the op failed; it may have run"),
        Reply::Refused(reason) => put_error(out, code::PROTOCOL_VIOLATION, reason),
    }
    put_ready_for_query(out);
}

/// Appends the fatal error for a client over the connection limit.
pub fn put_too_many_clients(out: &mut BytesMut) {
    put_fatal_error(out, code::TOO_MANY_CONNECTIONS, "too many clients, nothing was done");
}

/// Writes and clears `out`. Returns false if the client has disconnected or the write takes longer than
/// `limits.client_write_timeout`.
pub async fn write(client: &mut (impl AsyncWrite + Unpin), out: &mut BytesMut, limits: &Limits) -> bool {
    let written = matches!(timeout(limits.client_write_timeout, client.write_all(out)).await, Ok(Ok(())));
    out.clear();
    written
}
