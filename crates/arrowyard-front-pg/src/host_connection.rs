//! A connection to a database host, which carries one command at a time.

use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_core::Limits;
use arrowyard_core::count::UsageGuard;
use arrowyard_core::pool::PooledConnection;
use arrowyard_pg::{
    AccessMode, BackendMessage, ParameterStatus, ProtocolError, QueryResult, code, declared_length,
    put_startup_packet,
};
use arrowyard_types::{HostStatus, Outcome, Role, Timestamp};
use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// An authenticated connection to a database host.
pub struct PgConnection {
    address: SocketAddr,
    idle_since: Instant,
    stream: TcpStream,
    received: BytesMut,
    /// Bytes reserved for large results on all connections.
    large_result_bytes: Rc<Cell<usize>>,
    /// The share of `large_result_bytes` that is reserved for the result being read.
    memory: Option<UsageGuard>,
    limits: Rc<Limits>,
    _usage: UsageGuard,
}

/// A result, with the memory reserved for it until it has been written to its client.
#[derive(Debug, Default, PartialEq)]
pub struct PgResponse {
    pub result: QueryResult,
    pub memory: Option<UsageGuard>,
}

/// A host's reply to one command.
#[derive(Debug, Default, PartialEq)]
pub struct HostReply {
    /// The result, if it was received completely.
    pub response: Option<PgResponse>,
    /// SQLSTATE code of an error response.
    pub error_code: Option<String>,
    /// What the host reported about its role, position and load.
    pub status: HostStatus,
    /// Whether the host sent ReadyForQuery.
    pub ready: bool,
}

/// The connection was closed or failed, or the host violated the protocol.
#[derive(Debug)]
pub struct ConnectionError(pub String);

impl From<io::Error> for ConnectionError {
    fn from(error: io::Error) -> Self {
        ConnectionError(error.to_string())
    }
}

impl From<ProtocolError> for ConnectionError {
    fn from(error: ProtocolError) -> Self {
        ConnectionError(error.0.to_string())
    }
}

impl HostReply {
    /// Outcome of a send or probe whose command was written in full.
    pub fn outcome(&self) -> Outcome {
        match (self.error_code.as_deref(), &self.response) {
            (None, Some(_)) => Outcome::Acked,
            (Some(code::READ_ONLY | code::SNAPSHOT_TOO_OLD), _) => Outcome::Misrouted,
            (Some(code::TOO_MANY_CONNECTIONS), _) => Outcome::Overloaded,
            _ => Outcome::Errored,
        }
    }
}

impl PooledConnection for PgConnection {
    async fn connect(
        address: SocketAddr,
        usage: UsageGuard,
        large_result_bytes: Rc<Cell<usize>>,
        limits: Rc<Limits>,
    ) -> Result<Self, Outcome> {
        let connect_failed = |error: ConnectionError| {
            tracing::debug!(dial = %address, "connecting failed: {}", error.0);
            Outcome::ConnectFailed
        };
        let attempt = timeout(limits.connect_timeout, async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            let (received, idle_since) = (BytesMut::new(), Instant::now());
            let mut connection = PgConnection {
                address,
                idle_since,
                stream,
                received,
                large_result_bytes,
                memory: None,
                limits: limits.clone(),
                _usage: usage,
            };
            let mut out = BytesMut::new();
            put_startup_packet(&mut out, "web", "orders");
            connection.stream.write_all(&out).await?;
            let reply = connection.read_reply().await?;
            Ok((connection, reply))
        });
        match attempt.await {
            Ok(Ok((connection, HostReply { ready: true, error_code: None, .. }))) => Ok(connection),
            Ok(Ok((_, reply))) if reply.outcome() == Outcome::Overloaded => Err(Outcome::Overloaded),
            Ok(Ok((_, reply))) => {
                Err(connect_failed(ConnectionError(format!("error {:?}", reply.error_code))))
            }
            Ok(Err(error)) => Err(connect_failed(error)),
            Err(_) => Err(connect_failed(ConnectionError("connect timeout".to_string()))),
        }
    }

    fn address(&self) -> SocketAddr {
        self.address
    }

    fn idle_since(&self) -> Instant {
        self.idle_since
    }

    /// Peeks at the socket, since the runtime's readiness state may be outdated. A send on a connection that
    /// the host has closed would fail.
    fn is_reusable(&self) -> bool {
        let has_no_input = || {
            let peek_result = SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
            peek_result.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
        };
        self.idle_since.elapsed() < self.limits.host_idle_timeout
            && self.received.is_empty()
            && has_no_input()
    }

    fn mark_idle(&mut self) {
        (self.idle_since, self.memory) = (Instant::now(), None);
        if self.received.is_empty() {
            self.received = BytesMut::new();
        }
    }
}

impl PgConnection {
    /// Writes a command.
    pub async fn write(&mut self, command: &[u8]) -> Result<(), ConnectionError> {
        Ok(self.stream.write_all(command).await?)
    }

    /// Reads messages up to ReadyForQuery. A complete result or error is returned even if reading the
    /// messages after it fails.
    pub async fn read_reply(&mut self) -> Result<HostReply, ConnectionError> {
        let (mut reply, mut result) = (HostReply::default(), QueryResult::default());
        loop {
            let has_outcome = reply.response.is_some() || reply.error_code.is_some();
            let message = match has_outcome {
                true => timeout(self.limits.ready_timeout, self.next_message())
                    .await
                    .unwrap_or(Err(ConnectionError(String::new()))),
                false => self.next_message().await,
            };
            match message {
                Ok(BackendMessage::RowDescription(columns)) if result.row_description.is_empty() => {
                    result.row_description = columns
                }
                Ok(BackendMessage::DataRow(row)) if result.data_row.is_empty() => result.data_row = row,
                // A second row must not replace the first, and an unrequested result must not be forwarded.
                Ok(BackendMessage::RowDescription(_) | BackendMessage::DataRow(_))
                    if reply.response.is_none() =>
                {
                    return Err(ConnectionError("the host sent more than one row".to_string()));
                }
                Ok(BackendMessage::RowDescription(_) | BackendMessage::DataRow(_)) => return Ok(reply),
                Ok(BackendMessage::CommandComplete(command_complete))
                    if !result.row_description.is_empty() && !result.data_row.is_empty() =>
                {
                    let result = QueryResult { command_complete, ..result.clone() };
                    reply.response = Some(PgResponse { result, memory: self.memory.take() });
                }
                Ok(BackendMessage::ParameterStatus(ParameterStatus::AccessMode(mode))) => {
                    let role = if mode == AccessMode::ReadWrite { Role::Primary } else { Role::Replica };
                    reply.status.role = Some(role);
                }
                Ok(BackendMessage::ParameterStatus(ParameterStatus::Position(millis))) => {
                    reply.status.position = Some(Timestamp::from_micros(millis.saturating_mul(1000)))
                }
                Ok(BackendMessage::ParameterStatus(ParameterStatus::LoadReport(report))) => {
                    apply_load_report(&mut reply.status, &report)
                }
                // An error after a complete result is not the op's outcome: using it as such would make the
                // router retry an op that ran.
                Ok(BackendMessage::ErrorResponse(_)) if has_outcome => return Ok(reply),
                Ok(BackendMessage::ErrorResponse(code)) => reply.error_code = Some(code),
                Ok(BackendMessage::ReadyForQuery) => {
                    reply.ready = true;
                    return Ok(reply);
                }
                Ok(_) => {}
                Err(_) if has_outcome => return Ok(reply),
                Err(error) => return Err(error),
            }
        }
    }

    /// Reads the reply to a command.
    ///
    /// # Errors
    /// The connection failed, or the host is ready without a result or an error: a late result would be
    /// taken as the reply to the next command.
    pub async fn read_result(&mut self) -> Result<HostReply, ConnectionError> {
        let reply = self.read_reply().await?;
        match reply.response.is_some() || reply.error_code.is_some() {
            true => Ok(reply),
            false => Err(ConnectionError("the host is ready without a result".to_string())),
        }
    }

    async fn next_message(&mut self) -> Result<BackendMessage, ConnectionError> {
        loop {
            if let Some(message) = BackendMessage::decode(
                &mut self.received,
                self.limits.max_host_message_bytes,
                self.limits.max_control_message_bytes,
            )? {
                return Ok(message);
            }
            let missing_bytes = self.reserve_memory()?;
            self.received.reserve(missing_bytes.max(self.limits.read_chunk_bytes));
            if self.stream.read_buf(&mut self.received).await? == 0 {
                return Err(ConnectionError("the host closed the connection".to_string()));
            }
        }
    }
}

impl PgConnection {
    /// Reserves memory for the message being received if it is large, and returns its missing bytes; 0 for
    /// any other message.
    ///
    /// # Errors
    /// The large results of all connections together would exceed `limits.max_large_answer_bytes`.
    fn reserve_memory(&mut self) -> Result<usize, ConnectionError> {
        let length = declared_length(&self.received).unwrap_or_default() as usize;
        if length <= self.limits.max_client_message_bytes {
            return Ok(0);
        }
        if self.memory.is_none() {
            // Stored twice: as received, and as written to the client.
            let bytes = 2 * length;
            if self.large_result_bytes.get() + bytes > self.limits.max_large_answer_bytes {
                return Err(ConnectionError("the memory for large results is exhausted".to_string()));
            }
            self.memory = Some(UsageGuard::add(&self.large_result_bytes, bytes));
        }
        Ok(length.saturating_sub(self.received.len()))
    }
}

/// Updates the status from a load report: `x0` is the position as Unix time in seconds (in parameter statuses
/// it is in milliseconds), `x1` is 1 for a primary and 0 for a replica.
pub fn apply_load_report(status: &mut HostStatus, report: &[(String, f64)]) {
    for (name, value) in report {
        match name.as_str() {
            "x0" => status.position = Some(Timestamp::from_micros((value * 1e6).floor() as i64)),
            "x1" if *value == 0.0 => status.role = Some(Role::Replica),
            "x1" if *value == 1.0 => status.role = Some(Role::Primary),
            "util" | "busy" => status.cpu_utilization = Some(*value),
            "queue" | "q" => status.queued_ops = Some(*value),
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use std::io::{Read, Write};

    use arrowyard_pg::put_startup_response;

    use super::*;

    #[tokio::test]
    async fn a_large_result_reserves_memory_until_it_is_dropped() {
        let value = vec![b'x'; 300_000];
        let length = (value.len() as u32 + 10).to_be_bytes();
        let row = [&b"D"[..], &length, &[0, 1], &(value.len() as u32).to_be_bytes(), &value].concat();
        let columns = [&b"T\0\0\0\x1a\0\x01x\0"[..], &[0; 18]].concat();
        let bytes = [columns, row, b"C\0\0\0\x06S\0Z\0\0\0\x05I".to_vec()].concat();
        let limits = Limits {
            max_host_message_bytes: 400_000,
            max_large_answer_bytes: 700_000,
            ..Limits::for_test(serde_json::json!({})).2
        };
        for (reserved_bytes, fits) in [(0, true), (200_000, false)] {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
            let address = listener.local_addr().expect("the listener is bound");
            let mut out = BytesMut::new();
            put_startup_response(&mut out);
            out.extend_from_slice(&bytes);
            let host = std::thread::spawn(move || {
                let (mut stream, _) = listener.accept()?;
                let _ = (stream.read(&mut [0; 64])?, stream.write_all(&out));
                std::io::Result::Ok(stream)
            });
            let large_result_bytes = Rc::new(Cell::new(reserved_bytes));
            let connection = PgConnection::connect(
                address,
                UsageGuard::one(&Rc::default()),
                large_result_bytes.clone(),
                Rc::new(limits),
            )
            .await;
            let reply = connection.expect("the host accepts the connection").read_result().await;
            assert_eq!(reply.is_ok(), fits, "{reply:?}");
            assert_eq!(
                large_result_bytes.get() - reserved_bytes,
                if fits { 2 * (value.len() + 10) } else { 0 }
            );
            drop(reply);
            assert_eq!(large_result_bytes.get(), reserved_bytes);
            drop(host);
        }
    }

    #[tokio::test]
    async fn an_idle_connection_with_input_or_closed_by_the_host_is_not_reused() {
        for last_bytes in [&b""[..], b"noise"] {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
            let address = listener.local_addr().expect("the listener is bound");
            let (signal_sender, signal_receiver) = std::sync::mpsc::channel();
            let host = std::thread::spawn(move || {
                let (mut stream, _) = listener.accept()?;
                let mut out = BytesMut::new();
                put_startup_response(&mut out);
                let _ = (stream.read(&mut [0; 64])?, stream.write_all(&out)?, signal_receiver.recv());
                stream.write_all(last_bytes)
            });
            let limits = Rc::new(Limits::for_test(serde_json::json!({})).2);
            let connection =
                PgConnection::connect(address, UsageGuard::one(&Rc::default()), Rc::default(), limits)
                    .await
                    .expect("the host accepts the connection");
            assert!(connection.is_reusable());
            // Blocks the runtime, so that its readiness does not change.
            signal_sender.send(()).expect("the host waits");
            host.join().expect("the host thread ends").expect("the host has written");
            assert!(!connection.is_reusable(), "{last_bytes:?}");
        }
    }

    #[test]
    fn load_report_positions_are_in_seconds() {
        let mut status = HostStatus::default();
        apply_load_report(
            &mut status,
            &arrowyard_pg::parse_load_report("x0=1767225600.123,x1=0").expect("the report is well-formed"),
        );
        let position = status.position.expect("the report holds a position");
        let rounding_error = Timestamp::from_micros(1_767_225_600_123_000) - position;
        assert!((0..=1).contains(&rounding_error.micros()), "{position:?}");
        assert_eq!(status.role, Some(Role::Replica));
    }
}
