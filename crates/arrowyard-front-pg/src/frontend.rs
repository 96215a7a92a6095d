//! Client connections: accepts them, decodes their messages and submits their ops with the time of arrival.

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

use crate::backend::PgBackend;
use crate::host_connection::PgResponse;
use crate::reply;

/// The request that the routing comment of a statement describes.
pub fn client_request(statement: &Statement, address: Option<IpAddr>) -> ClientRequest<'_> {
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
    /// Admits or rejects ops.
    pub admission: Rc<AdmissionController>,
    /// The channel to the route task.
    pub messages: mpsc::Sender<RouteMessage<PgBackend>>,
    /// The number of client connections of all frontends.
    pub client_connections: Rc<Cell<usize>>,
    /// Connections that wait for input.
    pub idle_connections: IdleConnections,
    /// The stage of the shutdown.
    pub stage: watch::Receiver<Stage>,
    /// Determines the arrival time of ops, which may be before a stall of the thread.
    pub stall_detector: Rc<StallDetector>,
    pub limits: Rc<Limits>,
}

/// The guard that counts a connection as open; empty once the connection was told to close.
type CountGuard = Rc<RefCell<Option<UsageGuard>>>;

/// Connections that wait for input, the longest idle first, each with the sender that requests to close it.
#[derive(Default)]
pub struct IdleConnections(RefCell<VecDeque<(oneshot::Sender<()>, CountGuard)>>);

impl IdleConnections {
    /// Adds a connection to the list and returns a receiver that resolves when the connection has to close.
    /// Entries of connections that no longer wait are removed at four times `max_connections` entries.
    fn register(&self, count_guard: &CountGuard, max_connections: usize) -> oneshot::Receiver<()> {
        let (close_sender, close_receiver) = oneshot::channel();
        let mut idle = self.0.borrow_mut();
        if idle.len() >= max_connections * 4 {
            idle.retain(|(close_sender, _)| !close_sender.is_closed());
        }
        idle.push_back((close_sender, count_guard.clone()));
        close_receiver
    }

    /// Closes the longest idle connection and returns whether there was one. It no longer counts as open
    /// from then on, even before its task runs.
    fn close_oldest(&self) -> bool {
        let mut idle = self.0.borrow_mut();
        let mut oldest_first = std::iter::from_fn(|| idle.pop_front());
        let closed_guard = oldest_first
            .find_map(|(close_sender, count_guard)| close_sender.send(()).is_ok().then_some(count_guard));
        closed_guard.is_some_and(|count_guard| count_guard.take().is_some())
    }
}

impl Frontend {
    /// Closes idle connections while there are too many clients, so that these do not keep out clients that
    /// send ops. Returns whether the number of clients is within the limit then.
    fn evict_idle(&self) -> bool {
        while self.client_connections.get() > self.limits.max_client_connections
            && self.idle_connections.close_oldest()
        {}
        self.client_connections.get() <= self.limits.max_client_connections
    }

    /// Accepts connections until the router stops serving.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        let mut stage = self.stage.clone();
        loop {
            while self.client_connections.get()
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
                    let usage = UsageGuard::one(&self.client_connections);
                    let over_limit = self.client_connections.get() > self.limits.max_client_connections;
                    self.evict_idle();
                    drop(spawn_local(Client::new(self.clone(), stream, usage).serve()));
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
    frontend: Rc<Frontend>,
    stream: TcpStream,
    received: BytesMut,
    out: BytesMut,
    accepted_at: Instant,
    /// Whether the client has sent a complete message after the startup.
    has_sent_message: bool,
    address: Option<IpAddr>,
    count_guard: CountGuard,
}

/// The connection ended: the client closed it or violated the protocol, or the router closes it.
struct ConnectionEnded;

impl Client {
    fn new(frontend: Rc<Frontend>, stream: TcpStream, usage: UsageGuard) -> Self {
        let (received, out) = (BytesMut::new(), BytesMut::new());
        let count_guard = Rc::new(RefCell::new(Some(usage)));
        let address = stream.peer_addr().ok().map(|address| address.ip());
        Client {
            frontend,
            stream,
            received,
            out,
            accepted_at: Instant::now(),
            has_sent_message: false,
            address,
            count_guard,
        }
    }

    async fn serve(mut self) {
        if self.stream.set_nodelay(true).is_ok() {
            let _ = self.handle_messages().await;
        }
        // The idle list may still refer to the guard, which would keep the closed connection counted.
        self.count_guard.take();
    }

    async fn handle_messages(&mut self) -> Result<(), ConnectionEnded> {
        let startup_timeout = self.frontend.limits.client_message_timeout;
        timeout(startup_timeout, self.handle_startup()).await.map_err(|_| ConnectionEnded)??;
        loop {
            let message = self.next_message().await?;
            match message {
                FrontendMessage::Query(text) => self.handle_query(text).await?,
                FrontendMessage::Terminate => return Ok(()),
                FrontendMessage::Other(_) => {
                    return self.send_fatal_error(code::NOT_SUPPORTED, "only simple queries").await;
                }
            }
        }
    }

    async fn handle_startup(&mut self) -> Result<(), ConnectionEnded> {
        loop {
            match StartupPacket::decode(&mut self.received, self.frontend.limits.max_client_message_bytes) {
                Ok(Some(StartupPacket::Startup)) => {
                    put_startup_response(&mut self.out);
                    return self.write().await;
                }
                // Encryption is not supported; the client may continue without it.
                Ok(Some(StartupPacket::EncryptionRequest)) => {
                    self.stream.write_all(b"N").await.map_err(|_| ConnectionEnded)?
                }
                Ok(Some(StartupPacket::CancelRequest)) => return Err(ConnectionEnded),
                Ok(None) => self.wait_for_input(true, None).await?,
                Err(error) => return self.reject_protocol_error(error).await,
            }
        }
    }

    /// Reads the next message. `limits.client_message_timeout` limits the wait for the first message and the
    /// time from a message's first byte to its last, so that slow clients do not keep connections open.
    async fn next_message(&mut self) -> Result<FrontendMessage, ConnectionEnded> {
        let message_timeout = self.frontend.limits.client_message_timeout;
        let mut message_deadline = None;
        loop {
            match FrontendMessage::decode(&mut self.received, self.frontend.limits.max_client_message_bytes) {
                Ok(Some(message)) => {
                    self.has_sent_message = true;
                    return Ok(message);
                }
                Ok(None) if self.received.is_empty() => {
                    let deadline = (!self.has_sent_message).then(|| self.accepted_at + message_timeout);
                    self.wait_for_input(true, deadline).await?
                }
                Ok(None) => {
                    let deadline = *message_deadline.get_or_insert_with(|| Instant::now() + message_timeout);
                    self.wait_for_input(false, Some(deadline)).await?
                }
                Err(error) => self.reject_protocol_error(error).await?,
            }
        }
    }

    /// Waits for input, until `deadline` or until the connection has to close as the longest idle one. With
    /// `close_on_shutdown` it also ends when the router shuts down.
    async fn wait_for_input(
        &mut self,
        close_on_shutdown: bool,
        deadline: Option<Instant>,
    ) -> Result<(), ConnectionEnded> {
        let (frontend, mut stage) = (self.frontend.clone(), self.frontend.stage.clone());
        if self.received.is_empty() {
            // Releases the buffers of a large op.
            (self.received, self.out) = (BytesMut::new(), BytesMut::new());
        }
        let close_receiver =
            frontend.idle_connections.register(&self.count_guard, frontend.limits.max_client_connections);
        let result = tokio::select! {
            biased;
            read = self.read() => read,
            _ = stage.wait_for(|&stage| stage == Stage::Closing), if close_on_shutdown => Err(ConnectionEnded),
            _ = close_receiver => Err(ConnectionEnded),
            () = sleep_until(deadline.unwrap_or_else(Instant::now)), if deadline.is_some() => Err(ConnectionEnded),
        };
        if result.is_ok() {
            // Counts the connection again if input arrived just after it was told to close.
            self.count_guard
                .borrow_mut()
                .get_or_insert_with(|| UsageGuard::one(&frontend.client_connections));
        }
        result
    }

    async fn handle_query(&mut self, text: String) -> Result<(), ConnectionEnded> {
        let arrived_at = self.frontend.stall_detector.earliest_arrival();
        let command = text.trim_matches(|c: char| c.is_whitespace() || c == ';');
        let keyword = command.split_ascii_whitespace().next().unwrap_or_default().to_ascii_uppercase();
        match keyword.as_str() {
            "" => put_empty_query_response(&mut self.out),
            "SET" | "RESET" => put_command_complete(&mut self.out, &keyword),
            "DISCARD" => put_command_complete(&mut self.out, "DISCARD ALL"),
            "SHOW" if self.frontend.admission.has_cells() && command.eq_ignore_ascii_case("show cells") => {
                let (report_sender, report_receiver) = oneshot::channel();
                self.frontend
                    .messages
                    .send(RouteMessage::ShowCells(report_sender))
                    .await
                    .map_err(|_| ConnectionEnded)?;
                put_single_value(
                    &mut self.out,
                    "cells",
                    &report_receiver.await.map_err(|_| ConnectionEnded)?,
                );
            }
            "SHOW" if self.frontend.admission.in_fleet && command.eq_ignore_ascii_case("show peers") => {
                let (report_sender, report_receiver) = oneshot::channel();
                self.frontend
                    .messages
                    .send(RouteMessage::ShowPeers(report_sender))
                    .await
                    .map_err(|_| ConnectionEnded)?;
                put_single_value(
                    &mut self.out,
                    "peers",
                    &report_receiver.await.map_err(|_| ConnectionEnded)?,
                );
            }
            "SHOW"
                if self.frontend.admission.leases.is_some()
                    && command.eq_ignore_ascii_case("show leases") =>
            {
                let (report_sender, report_receiver) = oneshot::channel();
                if let Some(leases) = &self.frontend.admission.leases {
                    let sending = leases.send(leases::LeasesCommand::Show(report_sender));
                    sending.await.map_err(|_| ConnectionEnded)?;
                }
                put_single_value(
                    &mut self.out,
                    "leases",
                    &report_receiver.await.map_err(|_| ConnectionEnded)?,
                );
            }
            _ if !self.frontend.evict_idle() => {
                reply::put_too_many_clients(&mut self.out);
                return self.close().await;
            }
            _ => {
                let reply = match Statement::parse(text) {
                    Ok(statement) => self.run_op(statement, arrived_at).await?,
                    Err(ProtocolError(reason)) => Reply::Refused(reason),
                };
                reply::put_reply(&reply, &mut self.out);
                return self.write().await;
            }
        }
        put_ready_for_query(&mut self.out);
        self.write().await
    }

    /// Runs an op from admission to its final reply. Reads ahead meanwhile, to detect a disconnect.
    async fn run_op(
        &mut self,
        statement: Statement,
        arrived_at: Timestamp,
    ) -> Result<Reply<PgResponse>, ConnectionEnded> {
        let AdmittedOp { request, origin, slot: _op_slot } =
            match self.frontend.admission.admit(client_request(&statement, self.address), arrived_at) {
                Ok(admitted) => admitted,
                Err(reply) => return Ok(reply),
            };
        let (reply_sender, mut reply_receiver) = oneshot::channel();
        let messages = self.frontend.messages.clone();
        let op = request.op;
        messages
            .send(RouteMessage::OpAdmitted(request, origin, Rc::new(statement), reply_sender))
            .await
            .map_err(|_| ConnectionEnded)?;
        loop {
            let has_room = self.received.len() < self.frontend.limits.max_client_message_bytes;
            tokio::select! {
                biased;
                reply = &mut reply_receiver => return Ok(reply.unwrap_or(Reply::Errored)),
                read = self.read(), if has_room => if read.is_err() {
                    let _ = messages.send(RouteMessage::ClientDisconnected(op)).await;
                    return Err(ConnectionEnded);
                },
            }
        }
    }

    async fn read(&mut self) -> Result<(), ConnectionEnded> {
        self.received.reserve(self.frontend.limits.read_chunk_bytes);
        match self.stream.read_buf(&mut self.received).await {
            Ok(0) | Err(_) => Err(ConnectionEnded),
            Ok(_) => Ok(()),
        }
    }

    async fn write(&mut self) -> Result<(), ConnectionEnded> {
        let written = reply::write(&mut self.stream, &mut self.out, &self.frontend.limits).await;
        if written { Ok(()) } else { Err(ConnectionEnded) }
    }

    /// Writes the pending messages and closes the connection. Discards input for up to
    /// `limits.linger_timeout`: closing with unread input would reset the connection before the client has
    /// read these messages.
    async fn close<T>(&mut self) -> Result<T, ConnectionEnded> {
        self.write().await?;
        let _ = self.stream.shutdown().await;
        let (frontend, linger_timeout) = (self.frontend.clone(), self.frontend.limits.linger_timeout);
        let close_receiver =
            frontend.idle_connections.register(&self.count_guard, frontend.limits.max_client_connections);
        let discard_input = async {
            while self.read().await.is_ok() {
                self.received.clear();
            }
        };
        tokio::select! {
            _ = timeout(linger_timeout, discard_input) => {}
            _ = close_receiver => {}
        }
        Err(ConnectionEnded)
    }

    async fn reject_protocol_error<T>(
        &mut self,
        ProtocolError(reason): ProtocolError,
    ) -> Result<T, ConnectionEnded> {
        tracing::warn!("a client violated the protocol: {reason}");
        self.send_fatal_error(code::PROTOCOL_VIOLATION, reason).await
    }

    async fn send_fatal_error<T>(&mut self, code: &str, message: &str) -> Result<T, ConnectionEnded> {
        put_fatal_error(&mut self.out, code, message);
        self.close().await
    }
}
