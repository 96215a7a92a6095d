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
    /// The connection has ended.
    ConnectionClosed(ConnectionId),
    /// Counts a call of the connection as open, if it is admitted.
    BeginCall(ConnectionId, StateClient, ReplySender<Result<OpenCall, CallAdmission>>),
    /// Counts the call as ended; `cancelled` if it was not answered.
    EndCall { connection: ConnectionId, cancelled: bool },
    /// Issues a ticket for a statement.
    IssueTicket(String, ReplySender<Result<(Bytes, Timestamp), CallError>>),
    /// Redeems a ticket and returns its statement.
    RedeemTicket(Bytes, ReplySender<Result<(String, RedeemedTicket), CallError>>),
    /// Makes a redeemed ticket valid again.
    RestoreTicket(RedeemedTicket),
    /// Prepares a statement and returns its handle and the number of its parameters.
    Prepare(String, ReplySender<Result<(Bytes, usize), CallError>>),
    /// Binds parameters to the statement of a handle and returns a new handle.
    Bind(Bytes, Vec<Literal>, ReplySender<Result<Bytes, CallError>>),
    /// Returns the statement of a handle with its parameters substituted.
    BoundStatement(Bytes, ReplySender<Result<String, CallError>>),
    /// Closes the statement of a handle.
    ClosePrepared(Bytes, ReplySender<Result<(), CallError>>),
}

/// A new connection to register.
pub struct NewConnection {
    /// Counts the connection as open.
    pub usage: UsageGuard,
    /// Resolves when the connection has ended.
    pub closed_receiver: oneshot::Receiver<()>,
    /// Requests to close the connection.
    pub close_sender: oneshot::Sender<()>,
    /// Returns the id, or `None` if the limit on connections is reached.
    pub id_sender: oneshot::Sender<Option<ConnectionId>>,
}

struct RegisteredConnection {
    /// Requests to close the connection.
    close_sender: oneshot::Sender<()>,
    _usage: UsageGuard,
}

/// The state of the front end, owned by its task.
pub struct FrontEndState {
    clock: Clock,
    tickets: Tickets,
    prepared_statements: PreparedStatements,
    /// The open calls and limits of the connections.
    client_connections: ClientConnections,
    /// The close channels and usage guards of the same connections.
    registered_connections: HashMap<ConnectionId, RegisteredConnection>,
    limits: FlightLimits,
}

/// Converts a duration, with the largest time delta as the maximum.
fn time_delta(duration: std::time::Duration) -> TimeDelta {
    TimeDelta::from_micros(i64::try_from(duration.as_micros()).unwrap_or(i64::MAX))
}

impl FrontEndState {
    /// Creates the state without connections, tickets and statements.
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
            registered_connections: HashMap::new(),
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

    /// Requests to close the connection, and frees its place at once.
    fn close(&mut self, id: ConnectionId) {
        self.client_connections.remove(id);
        if let Some(RegisteredConnection { close_sender, .. }) = self.registered_connections.remove(&id) {
            // The connection may have ended already.
            let _ = close_sender.send(());
        }
    }

    fn register(
        &mut self,
        NewConnection { usage, closed_receiver, close_sender, id_sender }: NewConnection,
        own_requests: &mpsc::WeakSender<StateRequest>,
    ) {
        let mut assigned_id = self.client_connections.register(self.clock.now());
        if assigned_id.is_none() {
            // Otherwise idle connections could keep new ones out.
            self.close_idle();
            assigned_id = self.client_connections.register(self.clock.now());
        }
        if let Some(id) = assigned_id {
            self.registered_connections.insert(id, RegisteredConnection { close_sender, _usage: usage });
            let own_requests = own_requests.clone();
            drop(tokio::task::spawn_local(async move {
                let _ = closed_receiver.await;
                if let Some(own_requests) = own_requests.upgrade() {
                    let _ = own_requests.send(StateRequest::ConnectionClosed(id)).await;
                }
            }));
        }
        // The acceptor may have ended already.
        let _ = id_sender.send(assigned_id);
    }

    fn handle_request(&mut self, request: StateRequest) {
        let now = self.clock.now();
        // Replies are ignored if the requester is gone.
        match request {
            StateRequest::ConnectionClosed(connection) => {
                self.client_connections.remove(connection);
                self.registered_connections.remove(&connection);
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

/// Creates the channel to the state task. The weak sender is for the task's own requests.
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
            // Without its end, a call would count as open until its connection closes.
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
