//! Client connections: accepts them, decodes their messages and stamps the arrival time of each op.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::IpAddr;
use std::rc::Rc;

use arrowyard_core::admission::{AdmissionController, AdmittedOp};
use arrowyard_core::clock::StallDetector;
use arrowyard_core::count::UsageGuard;
use arrowyard_core::drain::Stage;
use arrowyard_core::leases;
use arrowyard_core::messages::RouteMessage;
use arrowyard_core::{ClientRequest, Limits, Reply};
use arrowyard_pg::{
    FrontendMessage, ProtocolError, StartupPacket, Statement, code, put_command_complete,
    put_empty_query_response, put_fatal_error, put_ready_for_query, put_single_value, put_startup_response,
};
use arrowyard_types::Timestamp;
use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::back::PgBackend;
use crate::link::PgResponse;
use crate::relay;

/// The op that a statement's comment describes.
pub fn op_call(statement: &Statement, address: Option<IpAddr>) -> ClientRequest<'_> {
    let Statement {
        id,
        timeout_ms,
        op_type,
        tenant,
        group,
        last_commit_ms,
        is_retry,
        token,
        session_key,
        ..
    } = statement;
    ClientRequest {
        id: *id,
        op_type,
        tenant: tenant.as_deref(),
        group: *group,
        timeout_ms: *timeout_ms,
        last_commit_ms: *last_commit_ms,
        is_retry: *is_retry,
        token: *token,
        session: *session_key,
        address,
        bytes: statement.text_bytes(),
    }
}

/// State shared by all client connections.
pub struct Frontend {
    pub gate: Rc<AdmissionController>,
    pub mail: mpsc::Sender<RouteMessage<PgBackend>>,
    pub clients: Rc<Cell<usize>>,
    pub idle_connections: IdleConnections,
    pub stage: watch::Receiver<Stage>,
    pub beat: Rc<StallDetector>,
    pub limits: Rc<Limits>,
}

/// A connection's share of the client count; empty once the connection was told to close.
type ConnectionSlot = Rc<RefCell<Option<UsageGuard>>>;

/// Connections that wait for input, the longest idle first. Entries of connections that are no longer
/// waiting are removed once there are too many.
#[derive(Default)]
pub struct IdleConnections(RefCell<VecDeque<(oneshot::Sender<()>, ConnectionSlot)>>);

impl IdleConnections {
    /// Resolves when this connection has to close; `max_connections` bounds the list.
    fn wait(&self, slot: &ConnectionSlot, max_connections: usize) -> oneshot::Receiver<()> {
        let (close, closed) = oneshot::channel();
        let mut waiting = self.0.borrow_mut();
        if waiting.len() >= max_connections * 4 {
            waiting.retain(|(close, _)| !close.is_closed());
        }
        waiting.push_back((close, slot.clone()));
        closed
    }

    /// Closes the longest idle connection; false if there is none. Its slot is free at once, before its task
    /// has run.
    fn close_oldest(&self) -> bool {
        let mut waiting = self.0.borrow_mut();
        let mut oldest = std::iter::from_fn(|| waiting.pop_front());
        let closed = oldest.find_map(|(close, slot)| close.send(()).is_ok().then_some(slot));
        closed.is_some_and(|slot| slot.take().is_some())
    }
}

impl Frontend {
    /// Closes idle connections while there are too many clients; whether the rest are within the limit. Idle
    /// connections must not keep out a client that sends an op as soon as it connects.
    fn evict_idle(&self) -> bool {
        while self.clients.get() > self.limits.max_client_connections && self.idle_connections.close_oldest()
        {
        }
        self.clients.get() <= self.limits.max_client_connections
    }

    /// Accepts connections until the router closes.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        let mut stage = self.stage.clone();
        loop {
            while self.clients.get()
                >= self.limits.max_client_connections + self.limits.max_rejected_connections
            {
                sleep(self.limits.retry_pause).await;
            }
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                _ = stage.wait_for(|&stage| stage == Stage::Closing) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    let count = UsageGuard::one(&self.clients);
                    let over_limit = self.clients.get() > self.limits.max_client_connections;
                    self.evict_idle();
                    drop(spawn_local(Client::new(self.clone(), stream, count).serve()));
                    if over_limit {
                        // Lets the connections that were told to close release their file descriptors.
                        yield_now().await;
                    }
                }
                Err(error) => {
                    tracing::warn!("accepting a client connection failed: {error}");
                    sleep(self.limits.retry_pause).await;
                }
            }
        }
    }
}

struct Client {
    front: Rc<Frontend>,
    stream: TcpStream,
    received: BytesMut,
    out: BytesMut,
    accepted: Instant,
    /// Whether it has sent a complete message after the startup.
    has_sent: bool,
    address: Option<IpAddr>,
    slot: ConnectionSlot,
}

/// The connection has ended: the client closed it or violated the protocol, or the router closes it.
struct Ended;

impl Client {
    fn new(front: Rc<Frontend>, stream: TcpStream, count: UsageGuard) -> Self {
        let (received, out) = (BytesMut::new(), BytesMut::new());
        let slot = Rc::new(RefCell::new(Some(count)));
        let address = stream.peer_addr().ok().map(|address| address.ip());
        Client { front, stream, received, out, accepted: Instant::now(), has_sent: false, address, slot }
    }

    async fn serve(mut self) {
        if self.stream.set_nodelay(true).is_ok() {
            let _ = self.handle_messages().await;
        }
        // The idle list may still refer to the slot, which would keep the closed connection counted.
        self.slot.take();
    }

    async fn handle_messages(&mut self) -> Result<(), Ended> {
        let startup_timeout = self.front.limits.client_message_timeout;
        timeout(startup_timeout, self.start_up()).await.map_err(|_| Ended)??;
        loop {
            let message = self.next_message().await?;
            match message {
                FrontendMessage::Query(text) => self.query(text).await?,
                FrontendMessage::Terminate => return Ok(()),
                FrontendMessage::Other(_) => {
                    return self.fatal(code::NOT_SUPPORTED, "only simple queries").await;
                }
            }
        }
    }

    async fn start_up(&mut self) -> Result<(), Ended> {
        loop {
            match StartupPacket::decode(&mut self.received, self.front.limits.max_client_message_bytes) {
                Ok(Some(StartupPacket::Startup)) => {
                    put_startup_response(&mut self.out);
                    return self.write().await;
                }
                // Encryption is not supported; the client may continue without it.
                Ok(Some(StartupPacket::EncryptionRequest)) => {
                    self.stream.write_all(b"N").await.map_err(|_| Ended)?
                }
                Ok(Some(StartupPacket::CancelRequest)) => return Err(Ended),
                Ok(None) => self.fill(true, None).await?,
                Err(error) => return self.protocol_error(error).await,
            }
        }
    }

    /// Reads the next message. The startup timeout limits the wait for the first message and the time from
    /// the first byte of a message to its last, against clients that send nothing or one byte at a time.
    async fn next_message(&mut self) -> Result<FrontendMessage, Ended> {
        let message_timeout = self.front.limits.client_message_timeout;
        let mut deadline = None;
        loop {
            match FrontendMessage::decode(&mut self.received, self.front.limits.max_client_message_bytes) {
                Ok(Some(message)) => {
                    self.has_sent = true;
                    return Ok(message);
                }
                Ok(None) if self.received.is_empty() => {
                    let until = (!self.has_sent).then(|| self.accepted + message_timeout);
                    self.fill(true, until).await?
                }
                Ok(None) => {
                    let until = *deadline.get_or_insert_with(|| Instant::now() + message_timeout);
                    self.fill(false, Some(until)).await?
                }
                Err(error) => self.protocol_error(error).await?,
            }
        }
    }

    /// Waits for input. Ends when the connection is closed as the longest idle one, at `until`, or, with
    /// `close_on_shutdown`, when the router shuts down; a client within a message may finish it.
    async fn fill(&mut self, close_on_shutdown: bool, until: Option<Instant>) -> Result<(), Ended> {
        let (front, mut stage) = (self.front.clone(), self.front.stage.clone());
        if self.received.is_empty() {
            // Releases the memory that a large op took.
            (self.received, self.out) = (BytesMut::new(), BytesMut::new());
        }
        let closed = front.idle_connections.wait(&self.slot, front.limits.max_client_connections);
        let filled = tokio::select! {
            biased;
            read = self.read() => read,
            _ = stage.wait_for(|&stage| stage == Stage::Closing), if close_on_shutdown => Err(Ended),
            _ = closed => Err(Ended),
            () = sleep_until(until.unwrap_or_else(Instant::now)), if until.is_some() => Err(Ended),
        };
        if filled.is_ok() {
            // Input may have arrived just as the connection was told to close.
            self.slot.borrow_mut().get_or_insert_with(|| UsageGuard::one(&front.clients));
        }
        filled
    }

    async fn query(&mut self, text: String) -> Result<(), Ended> {
        let arrived = self.front.beat.earliest_arrival();
        let command = text.trim_matches(|c: char| c.is_whitespace() || c == ';');
        let keyword = command.split_ascii_whitespace().next().unwrap_or_default().to_ascii_uppercase();
        match keyword.as_str() {
            "" => put_empty_query_response(&mut self.out),
            "SET" | "RESET" => put_command_complete(&mut self.out, &keyword),
            "DISCARD" => put_command_complete(&mut self.out, "DISCARD ALL"),
            "SHOW" if self.front.gate.has_cells() && command.eq_ignore_ascii_case("show cells") => {
                let (client, answer) = oneshot::channel();
                self.front.mail.send(RouteMessage::ShowCells(client)).await.map_err(|_| Ended)?;
                put_single_value(&mut self.out, "cells", &answer.await.map_err(|_| Ended)?);
            }
            "SHOW" if self.front.gate.in_fleet && command.eq_ignore_ascii_case("show peers") => {
                let (client, answer) = oneshot::channel();
                self.front.mail.send(RouteMessage::ShowPeers(client)).await.map_err(|_| Ended)?;
                put_single_value(&mut self.out, "peers", &answer.await.map_err(|_| Ended)?);
            }
            "SHOW" if self.front.gate.leases.is_some() && command.eq_ignore_ascii_case("show leases") => {
                let (client, answer) = oneshot::channel();
                if let Some(leases) = &self.front.gate.leases {
                    let shown = leases.send(leases::LeasesCommand::Show(client));
                    shown.await.map_err(|_| Ended)?;
                }
                put_single_value(&mut self.out, "leases", &answer.await.map_err(|_| Ended)?);
            }
            _ if !self.front.evict_idle() => {
                relay::put_too_many_clients(&mut self.out);
                return self.close().await;
            }
            _ => {
                let reply = match Statement::parse(text) {
                    Ok(statement) => self.op(statement, arrived).await?,
                    Err(ProtocolError(reason)) => Reply::Refused(reason),
                };
                relay::put_reply(&reply, &mut self.out);
                return self.write().await;
            }
        }
        put_ready_for_query(&mut self.out);
        self.write().await
    }

    /// Runs one op from admission to its final reply. Reads ahead meanwhile, to notice a disconnect.
    async fn op(&mut self, statement: Statement, arrived: Timestamp) -> Result<Reply<PgResponse>, Ended> {
        let AdmittedOp { request, origin, slot: _slot } =
            match self.front.gate.admit(op_call(&statement, self.address), arrived) {
                Ok(admitted) => admitted,
                Err(reply) => return Ok(reply),
            };
        let (answer, mut answered) = oneshot::channel();
        let mail = self.front.mail.clone();
        let op = request.op;
        mail.send(RouteMessage::OpAdmitted(request, origin, Rc::new(statement), answer))
            .await
            .map_err(|_| Ended)?;
        loop {
            let has_room = self.received.len() < self.front.limits.max_client_message_bytes;
            tokio::select! {
                biased;
                reply = &mut answered => return Ok(reply.unwrap_or(Reply::Errored)),
                read = self.read(), if has_room => if read.is_err() {
                    let _ = mail.send(RouteMessage::ClientDisconnected(op)).await;
                    return Err(Ended);
                },
            }
        }
    }

    async fn read(&mut self) -> Result<(), Ended> {
        self.received.reserve(self.front.limits.read_chunk_bytes);
        match self.stream.read_buf(&mut self.received).await {
            Ok(0) | Err(_) => Err(Ended),
            Ok(_) => Ok(()),
        }
    }

    async fn write(&mut self) -> Result<(), Ended> {
        let written = relay::write(&mut self.stream, &mut self.out, &self.front.limits).await;
        if written { Ok(()) } else { Err(Ended) }
    }

    /// Writes the last messages and closes. Input is read and discarded for up to `limits.linger_timeout`: closing
    /// with unread input would reset the connection, and the client could not read the last messages.
    async fn close<T>(&mut self) -> Result<T, Ended> {
        self.write().await?;
        let _ = self.stream.shutdown().await;
        let (front, linger) = (self.front.clone(), self.front.limits.linger_timeout);
        let closed = front.idle_connections.wait(&self.slot, front.limits.max_client_connections);
        let discard_input = async {
            while self.read().await.is_ok() {
                self.received.clear();
            }
        };
        tokio::select! {
            _ = timeout(linger, discard_input) => {}
            _ = closed => {}
        }
        Err(Ended)
    }

    async fn protocol_error<T>(&mut self, ProtocolError(reason): ProtocolError) -> Result<T, Ended> {
        tracing::warn!("a client violated the protocol: {reason}");
        self.fatal(code::PROTOCOL_VIOLATION, reason).await
    }

    async fn fatal<T>(&mut self, code: &str, message: &str) -> Result<T, Ended> {
        put_fatal_error(&mut self.out, code, message);
        self.close().await
    }
}
