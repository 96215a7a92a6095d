//! One connection to a database host: brought up once, then one command at a time.

use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_core::Limits;
use arrowyard_core::count::Count;
use arrowyard_core::pool::Link;
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

pub struct PgConnection {
    dial: SocketAddr,
    idle_since: Instant,
    stream: TcpStream,
    came: BytesMut,
    /// The bytes that large answers take, of all links together, and those of the one under way here.
    large: Rc<Cell<usize>>,
    memory: Option<Count>,
    limits: Rc<Limits>,
    _count: Count,
}

/// An answer, with the room that it takes till it is written to its client.
#[derive(Debug, Default, PartialEq)]
pub struct PgResponse {
    pub result: QueryResult,
    pub memory: Option<Count>,
}

/// What a host told about one command.
#[derive(Debug, Default, PartialEq)]
pub struct HostReply {
    pub response: Option<PgResponse>,
    /// The code of an error.
    pub error_code: Option<String>,
    pub status: HostStatus,
    /// The host is ready for another command.
    pub ready: bool,
}

/// The connection ended, or what came makes no sense.
#[derive(Debug)]
pub struct ConnectionError(pub String);

impl From<io::Error> for ConnectionError {
    fn from(error: io::Error) -> Self {
        ConnectionError(error.to_string())
    }
}

impl From<ProtocolError> for ConnectionError {
    fn from(malformed: ProtocolError) -> Self {
        ConnectionError(malformed.0.to_string())
    }
}

impl HostReply {
    /// What it means for a send, or for a probe, of which the whole command was written.
    pub fn outcome(&self) -> Outcome {
        match (self.error_code.as_deref(), &self.response) {
            (None, Some(_)) => Outcome::Acked,
            (Some(code::READ_ONLY | code::SNAPSHOT_TOO_OLD), _) => Outcome::Misrouted,
            (Some(code::TOO_MANY_CONNECTIONS), _) => Outcome::Overloaded,
            _ => Outcome::Errored,
        }
    }
}

impl Link for PgConnection {
    async fn open(
        dial: SocketAddr,
        count: Count,
        large: Rc<Cell<usize>>,
        limits: Rc<Limits>,
    ) -> Result<Self, Outcome> {
        let failed = |why: ConnectionError| {
            tracing::debug!(%dial, "not connected: {}", why.0);
            Outcome::ConnectFailed
        };
        let opened = timeout(limits.connect, async {
            let stream = TcpStream::connect(dial).await?;
            stream.set_nodelay(true)?;
            let (came, idle_since) = (BytesMut::new(), Instant::now());
            let mut link = PgConnection {
                dial,
                idle_since,
                stream,
                came,
                large,
                memory: None,
                limits: limits.clone(),
                _count: count,
            };
            let mut out = BytesMut::new();
            put_startup_packet(&mut out, "web", "orders");
            link.stream.write_all(&out).await?;
            let told = link.hear().await?;
            Ok((link, told))
        });
        match opened.await {
            Ok(Ok((link, HostReply { ready: true, error_code: None, .. }))) => Ok(link),
            Ok(Ok((_, told))) if told.outcome() == Outcome::Overloaded => Err(Outcome::Overloaded),
            Ok(Ok((_, told))) => Err(failed(ConnectionError(format!("error {:?}", told.error_code)))),
            Ok(Err(why)) => Err(failed(why)),
            Err(_) => Err(failed(ConnectionError("no answer in time".to_string()))),
        }
    }

    fn dial(&self) -> SocketAddr {
        self.dial
    }

    fn idle_since(&self) -> Instant {
        self.idle_since
    }

    /// Danger: a send on a dead connection. The socket itself is asked: the runtime only knows what it saw when it last waited.
    fn is_good(&self) -> bool {
        let untouched = || {
            let looked = SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
            looked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
        };
        self.idle_since.elapsed() < self.limits.idle && self.came.is_empty() && untouched()
    }

    fn rest(&mut self) {
        (self.idle_since, self.memory) = (Instant::now(), None);
        if self.came.is_empty() {
            self.came = BytesMut::new();
        }
    }
}

impl PgConnection {
    pub async fn write(&mut self, command: &[u8]) -> Result<(), ConnectionError> {
        Ok(self.stream.write_all(command).await?)
    }

    /// Reads all that the host tells, up to its being ready. An answer that is whole counts, whatever follows.
    pub async fn hear(&mut self) -> Result<HostReply, ConnectionError> {
        let (mut told, mut answer) = (HostReply::default(), QueryResult::default());
        loop {
            let decided = told.response.is_some() || told.error_code.is_some();
            let heard = match decided {
                true => timeout(self.limits.ready, self.next())
                    .await
                    .unwrap_or(Err(ConnectionError(String::new()))),
                false => self.next().await,
            };
            match heard {
                Ok(BackendMessage::RowDescription(columns)) if answer.row_description.is_empty() => {
                    answer.row_description = columns
                }
                Ok(BackendMessage::DataRow(row)) if answer.data_row.is_empty() => answer.data_row = row,
                // Danger: a second row, or an answer nobody asked for, passed on as the first.
                Ok(BackendMessage::RowDescription(_) | BackendMessage::DataRow(_))
                    if told.response.is_none() =>
                {
                    return Err(ConnectionError("the host told more than one row".to_string()));
                }
                Ok(BackendMessage::RowDescription(_) | BackendMessage::DataRow(_)) => return Ok(told),
                Ok(BackendMessage::CommandComplete(command_complete))
                    if !answer.row_description.is_empty() && !answer.data_row.is_empty() =>
                {
                    let result = QueryResult { command_complete, ..answer.clone() };
                    told.response = Some(PgResponse { result, memory: self.memory.take() });
                }
                Ok(BackendMessage::ParameterStatus(ParameterStatus::AccessMode(mode))) => {
                    let role = if mode == AccessMode::ReadWrite { Role::Primary } else { Role::Replica };
                    told.status.role = Some(role);
                }
                Ok(BackendMessage::ParameterStatus(ParameterStatus::Position(millis))) => {
                    told.status.position = Some(Timestamp::from_micros(millis.saturating_mul(1000)))
                }
                Ok(BackendMessage::ParameterStatus(ParameterStatus::LoadReport(report))) => {
                    apply_load_report(&mut told.status, &report)
                }
                // Danger: what follows a whole answer by mistake, taken for a word on it: what ran would run again.
                Ok(BackendMessage::ErrorResponse(_)) if decided => return Ok(told),
                Ok(BackendMessage::ErrorResponse(code)) => told.error_code = Some(code),
                Ok(BackendMessage::ReadyForQuery) => {
                    told.ready = true;
                    return Ok(told);
                }
                Ok(_) => {}
                Err(_) if decided => return Ok(told),
                Err(broken) => return Err(broken),
            }
        }
    }

    /// What the host tells about a command. Danger: one that is ready but told nothing; its answer comes later,
    /// and would be the next command's.
    pub async fn answer(&mut self) -> Result<HostReply, ConnectionError> {
        let told = self.hear().await?;
        match told.response.is_some() || told.error_code.is_some() {
            true => Ok(told),
            false => Err(ConnectionError("the host is ready without an answer".to_string())),
        }
    }

    async fn next(&mut self) -> Result<BackendMessage, ConnectionError> {
        loop {
            if let Some(heard) =
                BackendMessage::decode(&mut self.came, self.limits.answer, self.limits.aside)?
            {
                return Ok(heard);
            }
            let missing = self.make_room()?;
            self.came.reserve(missing.max(self.limits.read));
            if self.stream.read_buf(&mut self.came).await? == 0 {
                return Err(ConnectionError("the host ended the connection".to_string()));
            }
        }
    }
}

impl PgConnection {
    /// The bytes that are missing of a large message. Danger: many large answers at once, each within its limit,
    /// are more than the router's memory holds; one that finds no room breaks off.
    fn make_room(&mut self) -> Result<usize, ConnectionError> {
        let length = declared_length(&self.came).unwrap_or_default() as usize;
        if length <= self.limits.message {
            return Ok(0);
        }
        if self.memory.is_none() {
            // Once as it came, and once as it goes out.
            let bytes = 2 * length;
            if self.large.get() + bytes > self.limits.large {
                return Err(ConnectionError("no room for a large answer".to_string()));
            }
            self.memory = Some(Count::many(&self.large, bytes));
        }
        Ok(length.saturating_sub(self.came.len()))
    }
}

/// Adds what a load report tells. Danger: its positions are Unix times in seconds, those of answers in
/// milliseconds; one taken for the other lies decades back, and every replica seems behind.
pub fn apply_load_report(word: &mut HostStatus, report: &[(String, f64)]) {
    for (name, number) in report {
        match name.as_str() {
            "x0" => word.position = Some(Timestamp::from_micros((number * 1e6).floor() as i64)),
            "x1" if *number == 0.0 => word.role = Some(Role::Replica),
            "x1" if *number == 1.0 => word.role = Some(Role::Primary),
            "util" | "busy" => word.cpu_utilization = Some(*number),
            "queue" | "q" => word.queued_ops = Some(*number),
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
    async fn a_large_answer_needs_room_and_keeps_it_till_it_is_dropped() {
        let value = vec![b'x'; 300_000];
        let length = (value.len() as u32 + 10).to_be_bytes();
        let row = [&b"D"[..], &length, &[0, 1], &(value.len() as u32).to_be_bytes(), &value].concat();
        let columns = [&b"T\0\0\0\x1a\0\x01x\0"[..], &[0; 18]].concat();
        let bytes = [columns, row, b"C\0\0\0\x06S\0Z\0\0\0\x05I".to_vec()].concat();
        let limits = Limits { answer: 400_000, large: 700_000, ..Limits::told(serde_json::json!({})).2 };
        for (taken, fits) in [(0, true), (200_000, false)] {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
            let dial = listener.local_addr().expect("it is bound");
            let mut out = BytesMut::new();
            put_startup_response(&mut out);
            out.extend_from_slice(&bytes);
            let host = std::thread::spawn(move || {
                let (mut stream, _) = listener.accept()?;
                let _ = (stream.read(&mut [0; 64])?, stream.write_all(&out));
                std::io::Result::Ok(stream)
            });
            let large = Rc::new(Cell::new(taken));
            let opened =
                PgConnection::open(dial, Count::one(&Rc::default()), large.clone(), Rc::new(limits)).await;
            let told = opened.expect("it is let in").answer().await;
            assert_eq!(told.is_ok(), fits, "{told:?}");
            assert_eq!(large.get() - taken, if fits { 2 * (value.len() + 10) } else { 0 });
            drop(told);
            assert_eq!(large.get(), taken);
            drop(host);
        }
    }

    #[tokio::test]
    async fn a_connection_is_no_longer_good_once_anything_came_over_it_even_its_end() {
        for last in [&b""[..], b"noise"] {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
            let dial = listener.local_addr().expect("it is bound");
            let (go, gone) = std::sync::mpsc::channel();
            let host = std::thread::spawn(move || {
                let (mut stream, _) = listener.accept()?;
                let mut out = BytesMut::new();
                put_startup_response(&mut out);
                let _ = (stream.read(&mut [0; 64])?, stream.write_all(&out)?, gone.recv());
                stream.write_all(last)
            });
            let limits = Rc::new(Limits::told(serde_json::json!({})).2);
            let link = PgConnection::open(dial, Count::one(&Rc::default()), Rc::default(), limits)
                .await
                .expect("it is let in");
            assert!(link.is_good());
            // The runtime does not come round meanwhile.
            go.send(()).expect("the host waits");
            host.join().expect("the host ends").expect("it wrote");
            assert!(!link.is_good(), "{last:?}");
        }
    }

    #[test]
    fn a_report_tells_positions_in_seconds() {
        let mut word = HostStatus::default();
        apply_load_report(
            &mut word,
            &arrowyard_pg::parse_load_report("x0=1767225600.123,x1=0").expect("it can be read"),
        );
        let told = word.position.expect("the report holds a position");
        let early = Timestamp::from_micros(1_767_225_600_123_000) - told;
        assert!((0..=1).contains(&early.micros()), "{told:?}");
        assert_eq!(word.role, Some(Role::Replica));
    }
}
