//! The task that owns tickets, prepared statements and the state of client connections. Calls reach it from
//! any thread through a bounded channel.

use std::collections::HashMap;

use arrowyard_core::clock::Clock;
use arrowyard_core::count::UsageGuard;
use arrowyard_flight::CallError;
use arrowyard_flight::bind::Literal;
use arrowyard_flight::client_connections::{CallAdmission, ClientConnections, ConnectionId};
use arrowyard_flight::prepared_statements::PreparedStatements;
use arrowyard_flight::ticket::{MacKey, RedeemedTicket, Tickets};
use arrowyard_types::{TimeDelta, Timestamp};
use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};

use crate::limits::FlightLimits;

type ReplySender<T> = oneshot::Sender<T>;

/// A request to the state task.
pub enum StateRequest {
    ConnectionClosed(ConnectionId),
    BeginCall(ConnectionId, StateClient, ReplySender<Result<OpenCall, CallAdmission>>),
    EndCall { connection: ConnectionId, cancelled: bool },
    IssueTicket(String, ReplySender<Result<(Bytes, Timestamp), CallError>>),
    RedeemTicket(Bytes, ReplySender<Result<(String, RedeemedTicket), CallError>>),
    RestoreTicket(RedeemedTicket),
    Prepare(String, ReplySender<Result<(Bytes, usize), CallError>>),
    Bind(Bytes, Vec<Literal>, ReplySender<Result<Bytes, CallError>>),
    BoundStatement(Bytes, ReplySender<Result<String, CallError>>),
    ClosePrepared(Bytes, ReplySender<Result<(), CallError>>),
}

/// A new connection; dropping the sender of `closed` reports its end.
pub struct NewConnection {
    pub usage: UsageGuard,
    pub closed: oneshot::Receiver<()>,
    /// Sent to when the connection has to be closed.
    pub close: oneshot::Sender<()>,
    pub id: oneshot::Sender<Option<ConnectionId>>,
}

struct Connection {
    /// Sent to when the connection has to be closed.
    close: oneshot::Sender<()>,
    _usage: UsageGuard,
}

/// The state of the front end, owned by its task.
pub struct FrontEndState {
    clock: Clock,
    tickets: Tickets,
    prepared_statements: PreparedStatements,
    client_connections: ClientConnections,
    connections: HashMap<ConnectionId, Connection>,
    limits: FlightLimits,
}

fn time_delta(duration: std::time::Duration) -> TimeDelta {
    TimeDelta::from_micros(i64::try_from(duration.as_micros()).unwrap_or(i64::MAX))
}

impl FrontEndState {
    pub fn new(clock: Clock, key: MacKey, limits: FlightLimits) -> Self {
        let tickets = Tickets::new(
            key,
            time_delta(limits.ticket_lifetime),
            limits.max_redeemed_tickets,
            limits.max_statement_bytes,
        );
        let prepared_statements = PreparedStatements::new(
            key,
            limits.max_prepared_statements,
            time_delta(limits.prepared_idle_timeout),
            limits.max_statement_bytes,
        );
        let (max_connections, max_calls) = (limits.max_connections, limits.max_calls);
        let client_connections = ClientConnections::new(
            max_connections,
            max_calls,
            limits.max_cancelled_calls,
            time_delta(limits.cancel_window),
            time_delta(limits.idle_timeout),
        );
        FrontEndState {
            clock,
            tickets,
            prepared_statements,
            client_connections,
            connections: HashMap::new(),
            limits,
        }
    }

    /// Serves requests until every client of this task is dropped. Must run on a `LocalSet`.
    pub async fn run(
        mut self,
        own_requests: mpsc::WeakSender<StateRequest>,
        mut requests: mpsc::Receiver<StateRequest>,
        mut new_connections: mpsc::Receiver<NewConnection>,
    ) {
        let mut idle_check = interval(self.limits.idle_timeout / 8);
        idle_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                request = requests.recv() => match request {
                    Some(request) => self.handle_request(request),
                    None => return,
                },
                Some(new_connection) = new_connections.recv() => self.register(new_connection, &own_requests),
                _ = idle_check.tick() => self.close_idle(),
            }
        }
    }

    fn close_idle(&mut self) {
        for id in self.client_connections.idle_to_close(self.clock.now()) {
            self.close(id);
        }
    }

    /// Tells the connection to close and frees its place at once.
    fn close(&mut self, id: ConnectionId) {
        self.client_connections.remove(id);
        if let Some(Connection { close, .. }) = self.connections.remove(&id) {
            // The connection may have ended already.
            let _ = close.send(());
        }
    }

    fn register(
        &mut self,
        NewConnection { usage, closed, close, id }: NewConnection,
        own_requests: &mpsc::WeakSender<StateRequest>,
    ) {
        let mut registered = self.client_connections.register(self.clock.now());
        if registered.is_none() {
            // Otherwise idle connections could occupy all places.
            self.close_idle();
            registered = self.client_connections.register(self.clock.now());
        }
        if let Some(registered) = registered {
            self.connections.insert(registered, Connection { close, _usage: usage });
            let own_requests = own_requests.clone();
            drop(tokio::task::spawn_local(async move {
                let _ = closed.await;
                if let Some(own_requests) = own_requests.upgrade() {
                    let _ = own_requests.send(StateRequest::ConnectionClosed(registered)).await;
                }
            }));
        }
        // The listener may have ended with the router.
        let _ = id.send(registered);
    }

    fn handle_request(&mut self, request: StateRequest) {
        let now = self.clock.now();
        // Replies are ignored if the requester is gone.
        match request {
            StateRequest::ConnectionClosed(connection) => {
                self.client_connections.remove(connection);
                self.connections.remove(&connection);
            }
            StateRequest::BeginCall(connection, state, reply) => {
                let admission = self.client_connections.begin_call(now, connection);
                if admission == CallAdmission::CloseConnection {
                    self.close(connection);
                }
                let is_admitted = admission == CallAdmission::Admitted;
                // If the requester is gone, dropping the `OpenCall` reports the end of the call.
                drop(reply.send(if is_admitted {
                    Ok(OpenCall { state, connection, answered: false })
                } else {
                    Err(admission)
                }));
            }
            StateRequest::EndCall { connection, cancelled } => self.end_call(now, connection, cancelled),
            StateRequest::IssueTicket(text, reply) => drop(reply.send(self.tickets.issue(now, &text))),
            StateRequest::RedeemTicket(ticket, reply) => {
                let redeemed = self.tickets.redeem(now, &ticket);
                drop(reply.send(redeemed.map(|(text, redeemed)| (text.to_string(), redeemed))));
            }
            StateRequest::RestoreTicket(redeemed) => self.tickets.restore(redeemed),
            StateRequest::Prepare(text, reply) => {
                drop(reply.send(self.prepared_statements.prepare(now, &text)))
            }
            StateRequest::Bind(handle, values, reply) => {
                drop(reply.send(self.prepared_statements.bind(now, &handle, &values)))
            }
            StateRequest::BoundStatement(handle, reply) => {
                drop(reply.send(self.prepared_statements.bound_statement(now, &handle)))
            }
            StateRequest::ClosePrepared(handle, reply) => {
                drop(reply.send(self.prepared_statements.close(&handle)))
            }
        }
    }

    fn end_call(&mut self, now: Timestamp, connection: ConnectionId, cancelled: bool) {
        if self.client_connections.end_call(now, connection, cancelled) {
            tracing::warn!(
                connection = connection.0,
                "closing a client connection that cancels too many calls"
            );
            self.close(connection);
        }
    }
}

/// Sends requests to the state task.
#[derive(Clone)]
pub struct StateClient(mpsc::Sender<StateRequest>);

/// Creates the channel to the state task.
pub fn channel(
    capacity: usize,
) -> (StateClient, mpsc::WeakSender<StateRequest>, mpsc::Receiver<StateRequest>) {
    let (sender, requests) = mpsc::channel(capacity);
    let own_requests = sender.downgrade();
    (StateClient(sender), own_requests, requests)
}

impl StateClient {
    /// Sends a request and waits for its reply.
    ///
    /// # Errors
    /// The queue is full or the router is stopping; nothing was done.
    pub async fn request<T>(
        &self,
        request: impl FnOnce(ReplySender<T>) -> StateRequest,
    ) -> Result<T, CallError> {
        let (sender, reply) = oneshot::channel();
        self.0.try_send(request(sender)).map_err(|_| CallError::Busy(None))?;
        reply.await.map_err(|_| CallError::Busy(None))
    }

    /// Counts a call of the connection as open until the returned guard is dropped.
    ///
    /// # Errors
    /// The connection has too many open calls or cancelled too many; nothing was done.
    pub async fn begin_call(&self, connection: ConnectionId) -> Result<OpenCall, CallError> {
        let admission =
            self.request(|reply| StateRequest::BeginCall(connection, self.clone(), reply)).await?;
        admission.map_err(|_| CallError::TooMany("calls of one connection"))
    }

    /// Sends a request that must not be lost and has no reply.
    pub fn notify(&self, request: StateRequest) {
        if let Err(mpsc::error::TrySendError::Full(request)) = self.0.try_send(request) {
            // If the end of a call were dropped, the call would count as open for ever.
            let requests = self.0.clone();
            drop(tokio::spawn(async move { requests.send(request).await }));
        }
    }
}

/// Keeps a call counted as open until it is dropped.
pub struct OpenCall {
    state: StateClient,
    connection: ConnectionId,
    /// Whether the call was answered completely.
    pub answered: bool,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.state.notify(StateRequest::EndCall { connection: self.connection, cancelled: !self.answered });
    }
}
