//! Sends and probes to hosts that speak Flight SQL.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use arrow_flight::sql::{CommandStatementQuery, CommandStatementUpdate, DoPutUpdateResult, ProstMessageExt};
use arrow_flight::{Action, FlightData, FlightDescriptor, FlightInfo, PutResult};
use arrowyard_core::Limits;
use arrowyard_core::clock::Clock;
use arrowyard_core::count::UsageGuard;
use arrowyard_core::transport::{ExchangeResult, HostTransport, Progress};
use arrowyard_flight::ipc_validation::{IpcLimits, IpcValidator};
use arrowyard_flight::result_buffer::{BatchAction, ResultBuffers};
use arrowyard_flight::status::{NEVER_RAN_KEY, send_outcome};
use arrowyard_pg::{Statement, parse_load_report};
use arrowyard_types::{HostId, HostStatus, Outcome, Role, Timestamp};
use bytes::Bytes;
use http::{HeaderMap, Request};
use prost::Message;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, timeout};

use crate::host_connection::{BodyItem, ConnectionError, HostCall, HostConnection, ResponseBody};
use crate::limits::FlightLimits;
use crate::response::{BufferReservation, FlightResponse, LargeMessageBudget, OpPayload, StreamItem};

/// The metadata key of a host's role, `primary` or `replica`.
pub const ROLE_KEY: &str = "arrowyard-role";
/// The metadata key of the position of a host's copy, as Unix time in milliseconds.
pub const POSITION_KEY: &str = "arrowyard-position";
/// The metadata key of the op id in a response, written as in the routing comment of the statement.
pub const OP_ID_KEY: &str = "arrowyard-id";
/// The action that returns a host's load report, such as
/// `position=1700000000000,primary=1,util=0.61,queue=2`.
pub const LOAD_REPORT_ACTION: &str = "arrowyard.report";

/// Transport for hosts that speak Flight SQL.
pub struct FlightBackend {
    connections: RefCell<BTreeMap<HostId, Vec<Rc<HostConnection>>>>,
    pending_connects: RefCell<BTreeMap<HostId, Rc<PendingConnect>>>,
    large_messages: Arc<LargeMessageBudget>,
    /// When each host last completed a call.
    last_completed: RefCell<BTreeMap<HostId, Instant>>,
    open_connections: Rc<Cell<usize>>,
    connections_started: Cell<u64>,
    buffers: Rc<RefCell<ResultBuffers>>,
    limits: Rc<Limits>,
    flight_limits: FlightLimits,
}

/// A connection attempt that other sends wait for.
#[derive(Default)]
struct PendingConnect {
    failed: Cell<bool>,
    done: Notify,
}

/// Ends a pending connect when it is dropped, also if the attempt was cancelled.
struct ConnectGuard<'a> {
    backend: &'a FlightBackend,
    host: HostId,
    pending: Rc<PendingConnect>,
}

impl Drop for ConnectGuard<'_> {
    fn drop(&mut self) {
        self.backend.pending_connects.borrow_mut().remove(&self.host);
        self.pending.done.notify_waiters();
    }
}

/// Why a call has no response.
enum CallFailure {
    /// The outcome and the status that the host reported.
    Outcome(Outcome, HostStatus),
    Connection(String),
    /// The response is malformed; the op may have run.
    InvalidResponse(&'static str),
    ClientDisconnected,
}

impl From<ConnectionError> for CallFailure {
    fn from(ConnectionError(reason): ConnectionError) -> Self {
        CallFailure::Connection(reason)
    }
}

impl FlightBackend {
    /// Creates a backend without connections.
    pub fn new(limits: Rc<Limits>, flight_limits: FlightLimits) -> Self {
        let (connections, pending_connects, last_completed, open_connections, connections_started) =
            Default::default();
        let large_messages = LargeMessageBudget::new(limits.max_large_answer_bytes / 2);
        let buffers = Rc::new(RefCell::new(ResultBuffers::new(
            flight_limits.max_buffered_result_bytes,
            flight_limits.max_buffered_total_bytes,
        )));
        FlightBackend {
            connections,
            pending_connects,
            large_messages,
            last_completed,
            open_connections,
            connections_started,
            buffers,
            limits,
            flight_limits,
        }
    }

    /// Returns a connection with a free stream, or connects. Only one connection attempt per host runs at a
    /// time; if it fails, all sends that wait for it fail.
    async fn acquire(
        &self,
        host: HostId,
        address: SocketAddr,
    ) -> Result<Rc<HostConnection>, ConnectionError> {
        loop {
            if let Some(connection) = self.find_available(host, address) {
                return Ok(connection);
            }
            let pending = self.pending_connects.borrow().get(&host).cloned();
            let Some(pending) = pending else { break };
            pending.done.notified().await;
            if pending.failed.get() {
                return Err(ConnectionError("the pending connection attempt failed".to_string()));
            }
        }
        if self.open_connections.get() >= self.limits.max_host_connections && !self.close_longest_idle() {
            return Err(ConnectionError("the limit of host connections is reached".to_string()));
        }
        let guard = ConnectGuard { backend: self, host, pending: Rc::default() };
        self.pending_connects.borrow_mut().insert(host, guard.pending.clone());
        self.connections_started.set(self.connections_started.get() + 1);
        let connection = HostConnection::connect(
            address,
            UsageGuard::one(&self.open_connections),
            self.flight_limits.window_bytes,
            &self.limits,
        )
        .await;
        guard.pending.failed.set(connection.is_err());
        let connection = Rc::new(connection?);
        self.connections.borrow_mut().entry(host).or_default().push(connection.clone());
        Ok(connection)
    }

    /// The connection to this address with the most open streams that has a free one.
    fn find_available(&self, host: HostId, address: SocketAddr) -> Option<Rc<HostConnection>> {
        let mut connections = self.connections.borrow_mut();
        let connections = connections.get_mut(&host)?;
        // Open calls keep a reference to a connection that is removed here.
        connections.retain(|connection| connection.is_open() && connection.address() == address);
        let available = connections
            .iter()
            .filter(|connection| connection.open_streams() < self.flight_limits.max_host_streams);
        available.max_by_key(|connection| connection.open_streams()).cloned()
    }

    /// Closes the longest idle connection to any host and returns whether there was one.
    fn close_longest_idle(&self) -> bool {
        let mut connections = self.connections.borrow_mut();
        let connections_with_host = connections
            .iter()
            .flat_map(|(host, connections)| connections.iter().map(move |connection| (*host, connection)));
        let longest_idle = connections_with_host
            .filter_map(|(host, connection)| Some((connection.idle_since()?, host)))
            .min();
        let Some((since, host)) = longest_idle else { return false };
        let Some(host_connections) = connections.get_mut(&host) else { return false };
        host_connections.retain(|connection| connection.idle_since() != Some(since));
        true
    }

    /// Makes a call and returns it with the response headers and body. Calls `on_queued` when the request
    /// may be written completely.
    async fn call(
        &self,
        connection: &Rc<HostConnection>,
        method: &str,
        message: &impl Message,
        timeout_ms: u64,
        on_queued: impl FnOnce(),
    ) -> Result<(HostCall, HeaderMap, ResponseBody), CallFailure> {
        let request = Request::post(format!(
            "http://{}/arrow.flight.protocol.FlightService/{method}",
            connection.address()
        ))
        .header("te", "trailers")
        .header("content-type", "application/grpc")
        .header("grpc-timeout", format!("{}m", timeout_ms.min(99_999_999)))
        .body(())
        .map_err(ConnectionError::from)?;
        let mut call = connection.start_call(request).await?;
        let response = async {
            call.write(&message.encode_to_vec(), on_queued).await?;
            call.response().await
        };
        let (headers, body) = match response.await {
            Ok(response) => response,
            Err(ConnectionError(reason)) => {
                let did_not_run = call.did_not_run();
                return Err(if did_not_run {
                    CallFailure::Outcome(Outcome::ConnectFailed, HostStatus::default())
                } else {
                    CallFailure::Connection(reason)
                });
            }
        };
        let status = host_status(&headers);
        // A response without messages has its gRPC status in the headers.
        check_grpc_status(&headers, status).map(|()| (call, headers, body))
    }

    /// Reads the single message of a response, and the host status with its trailers.
    async fn read_single_message(
        &self,
        mut status: HostStatus,
        body: &mut ResponseBody,
    ) -> Result<(Bytes, HostStatus), CallFailure> {
        let mut single_message = None;
        loop {
            match body
                .next(
                    self.limits.max_client_message_bytes,
                    (self.limits.max_client_message_bytes, &self.large_messages),
                    |_| (),
                )
                .await?
            {
                BodyItem::Message(message, _) if single_message.is_none() => single_message = Some(message),
                BodyItem::Message(..) => return Err(CallFailure::InvalidResponse("more than one message")),
                BodyItem::End(trailers) => {
                    update_host_status(&mut status, &trailers);
                    check_grpc_status(&trailers, status)?;
                    if !trailers.contains_key("grpc-status") {
                        return Err(CallFailure::Connection("a response without grpc-status".to_string()));
                    }
                    return Ok((single_message.ok_or(CallFailure::InvalidResponse("no message"))?, status));
                }
            }
        }
    }

    /// Executes the update and returns the number of changed rows.
    async fn execute_update(
        &self,
        connection: &Rc<HostConnection>,
        statement: &Statement,
        timeout_ms: u64,
        on_queued: impl FnOnce(),
    ) -> Result<(i64, HostStatus), CallFailure> {
        let command =
            CommandStatementUpdate { query: statement.text_with_timeout(timeout_ms), transaction_id: None };
        let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
        let data = FlightData { flight_descriptor: Some(descriptor), ..FlightData::default() };
        let (_call, headers, mut body) = self.call(connection, "DoPut", &data, timeout_ms, on_queued).await?;
        check_op_id(&headers, statement)?;
        let (message, status) = self.read_single_message(host_status(&headers), &mut body).await?;
        let result = PutResult::decode(message)
            .map_err(|_| CallFailure::InvalidResponse("an update result that cannot be decoded"))?;
        let count = DoPutUpdateResult::decode(result.app_metadata);
        Ok((
            count
                .map_err(|_| CallFailure::InvalidResponse("an update result that cannot be decoded"))?
                .record_count,
            status,
        ))
    }

    /// Lets the host plan the query, then reads its result with the ticket. Returns no response if the result
    /// was streamed.
    async fn execute_query(
        &self,
        connection: &Rc<HostConnection>,
        statement: &Statement,
        timeout_ms: u64,
        progress: &Progress<FlightResponse>,
    ) -> Result<(Option<FlightResponse>, HostStatus), CallFailure> {
        let command =
            CommandStatementQuery { query: statement.text_with_timeout(timeout_ms), transaction_id: None };
        let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
        // A host may run a statement already when it plans it.
        let on_queued = || progress.mark_written();
        let (_call, headers, mut body) =
            self.call(connection, "GetFlightInfo", &descriptor, timeout_ms, on_queued).await?;
        let (message, _) = self.read_single_message(host_status(&headers), &mut body).await?;
        let info = FlightInfo::decode(message)
            .map_err(|_| CallFailure::InvalidResponse("a plan that cannot be decoded"))?;
        let mut endpoints = info.endpoint.into_iter();
        let ticket = endpoints.next().and_then(|endpoint| endpoint.ticket);
        let (Some(ticket), None) = (ticket, endpoints.next()) else {
            return Err(CallFailure::InvalidResponse("a plan without exactly one endpoint and its ticket"));
        };
        let (_call, headers, mut body) = self
            .call(connection, "DoGet", &ticket, timeout_ms, || ())
            .await
            .map_err(|failure| match failure {
                // The op may have run when it was planned, even if this call provably did not run.
                CallFailure::Outcome(Outcome::ConnectFailed, _) => {
                    CallFailure::Connection("the host refused the call after planning".to_string())
                }
                failure => failure,
            })?;
        check_op_id(&headers, statement)?;
        let status = host_status(&headers);
        self.read_result(status, &mut body, progress).await.map(|response| (response, status))
    }

    /// Reads the messages of a result: buffers them up to the limit, then streams them. `status` is the host
    /// status from the response headers. Returns no response if the result was streamed.
    async fn read_result(
        &self,
        status: HostStatus,
        body: &mut ResponseBody,
        progress: &Progress<FlightResponse>,
    ) -> Result<Option<FlightResponse>, CallFailure> {
        let FlightLimits {
            max_fields, max_decompressed_bytes, max_host_message_bytes, stream_capacity, ..
        } = self.flight_limits;
        let mut validator = IpcValidator::new(IpcLimits { max_fields, max_decompressed_bytes });
        let (mut buffered, mut reservation) = (Vec::new(), BufferReservation::new(self.buffers.clone()));
        let mut stream_sender: Option<mpsc::Sender<StreamItem>> = None;
        let large_messages = (self.limits.max_client_message_bytes, &self.large_messages);
        // A wait for the router's memory must not count as a slow host.
        let set_waiting = |is_waiting| progress.set_client_blocked(is_waiting);
        loop {
            let item = match &stream_sender {
                None => body.next(max_host_message_bytes, large_messages, set_waiting).await?,
                Some(stream_sender) => tokio::select! {
                    biased;
                    item = body.next(max_host_message_bytes, large_messages, set_waiting) => item?,
                    // Otherwise the host would go on sending after the client disconnected.
                    () = stream_sender.closed() => return Err(CallFailure::ClientDisconnected),
                },
            };
            match item {
                BodyItem::Message(bytes, permit) => {
                    let size = bytes.len();
                    let data = FlightData::decode(bytes)
                        .map_err(|_| CallFailure::InvalidResponse("a message that cannot be decoded"))?;
                    // A message with only application metadata is not part of the result.
                    if data.data_header.is_empty() && data.data_body.is_empty() {
                        continue;
                    }
                    validator
                        .check(&data.data_header, &data.data_body)
                        .map_err(|invalid| CallFailure::InvalidResponse(invalid.0))?;
                    if let Some(stream_sender) = &stream_sender {
                        progress.set_client_blocked(true);
                        stream_sender
                            .send(StreamItem::Message((data, permit)))
                            .await
                            .map_err(|_| CallFailure::ClientDisconnected)?;
                        progress.set_client_blocked(false);
                        continue;
                    }
                    let begins_stream = reservation.add_batch(size) != BatchAction::Buffer;
                    buffered.push((data, permit));
                    if begins_stream {
                        let (sender, rest) = mpsc::channel(stream_capacity);
                        let (buffered, reservation) = (
                            std::mem::take(&mut buffered),
                            std::mem::replace(&mut reservation, BufferReservation::new(self.buffers.clone())),
                        );
                        progress.begin_answer(FlightResponse::Stream {
                            buffered,
                            rest: Some(rest),
                            reservation,
                        });
                        stream_sender = Some(sender);
                        // Lets the core pass the response on before the next message is read.
                        tokio::task::yield_now().await;
                    }
                }
                BodyItem::End(trailers) => {
                    check_grpc_status(&trailers, status)?;
                    if !trailers.contains_key("grpc-status") {
                        return Err(CallFailure::Connection("a result without grpc-status".to_string()));
                    }
                    if !validator.has_schema() {
                        return Err(CallFailure::InvalidResponse("a result without a schema"));
                    }
                    let Some(stream_sender) = stream_sender else {
                        return Ok(Some(FlightResponse::Stream { buffered, rest: None, reservation }));
                    };
                    progress.set_client_blocked(true);
                    stream_sender.send(StreamItem::End).await.map_err(|_| CallFailure::ClientDisconnected)?;
                    progress.set_client_blocked(false);
                    return Ok(None);
                }
            }
        }
    }

    /// Requests the host's load report and returns it as a status.
    async fn request_load_report(
        &self,
        host: HostId,
        address: SocketAddr,
    ) -> Result<HostStatus, CallFailure> {
        let connection = self
            .acquire(host, address)
            .await
            .map_err(|_| CallFailure::Outcome(Outcome::ConnectFailed, HostStatus::default()))?;
        let action = Action { r#type: LOAD_REPORT_ACTION.to_string(), body: Bytes::new() };
        let timeout_ms = self.limits.connect_timeout.as_millis() as u64;
        let (_call, headers, mut body) =
            self.call(&connection, "DoAction", &action, timeout_ms, || ()).await?;
        let (message, mut status) = self.read_single_message(host_status(&headers), &mut body).await?;
        let result = arrow_flight::Result::decode(message)
            .map_err(|_| CallFailure::InvalidResponse("a load report that cannot be decoded"))?;
        let text = String::from_utf8(result.body.to_vec()).ok();
        // A malformed report must not count as a successful probe.
        let report = text
            .as_deref()
            .and_then(parse_load_report)
            .ok_or(CallFailure::InvalidResponse("a load report that cannot be parsed"))?;
        for (name, number) in report {
            match name.as_str() {
                "position" => status.position = Some(Timestamp::from_micros((number * 1000.0) as i64)),
                "primary" => status.role = Some(if number == 1.0 { Role::Primary } else { Role::Replica }),
                "util" => status.cpu_utilization = Some(number),
                "queue" => status.queued_ops = Some(number),
                _ => {}
            }
        }
        self.last_completed.borrow_mut().insert(host, Instant::now());
        Ok(status)
    }
}

/// Checks the op id in the response headers, if the host sent one. Otherwise a host or proxy that mixes up
/// streams could return the result of another client's op.
fn check_op_id(headers: &HeaderMap, statement: &Statement) -> Result<(), CallFailure> {
    let op_id = headers.get(OP_ID_KEY).and_then(|id| id.to_str().ok());
    let matches = op_id.is_none_or(|op_id| Statement::parse_id(op_id) == statement.id);
    matches.then_some(()).ok_or(CallFailure::InvalidResponse("a response to another op"))
}

/// The host status in response metadata.
fn host_status(metadata: &HeaderMap) -> HostStatus {
    let mut status = HostStatus::default();
    update_host_status(&mut status, metadata);
    status
}

/// Updates the status with the role and the position in response metadata.
fn update_host_status(status: &mut HostStatus, metadata: &HeaderMap) {
    let header_text = |key| metadata.get(key).and_then(|value| value.to_str().ok());
    status.role = match header_text(ROLE_KEY) {
        Some("primary") => Some(Role::Primary),
        Some("replica") => Some(Role::Replica),
        _ => status.role,
    };
    let position = header_text(POSITION_KEY).and_then(|millis| millis.parse::<i64>().ok());
    status.position =
        position.map(|millis| Timestamp::from_micros(millis.saturating_mul(1000))).or(status.position);
}

/// Returns the failure if the metadata holds a gRPC status other than OK.
fn check_grpc_status(metadata: &HeaderMap, mut host_status: HostStatus) -> Result<(), CallFailure> {
    let Some(grpc_status) = metadata.get("grpc-status") else { return Ok(()) };
    let code = grpc_status.to_str().ok().and_then(|code| code.parse().ok()).unwrap_or(2);
    let never_ran = metadata.get(NEVER_RAN_KEY).and_then(|value| value.to_str().ok());
    match send_outcome(code, never_ran) {
        Outcome::Acked => Ok(()),
        outcome => {
            update_host_status(&mut host_status, metadata);
            Err(CallFailure::Outcome(outcome, host_status))
        }
    }
}

impl HostTransport for FlightBackend {
    type Payload = OpPayload;
    type Answer = FlightResponse;

    fn close_expired(&self) {
        let idle_timeout = self.limits.host_idle_timeout;
        let is_kept = |connection: &Rc<HostConnection>| {
            connection.idle_since().is_none_or(|since| connection.is_open() && since.elapsed() < idle_timeout)
        };
        self.connections.borrow_mut().values_mut().for_each(|connections| connections.retain(is_kept));
        let retention = self.limits.removed_host_retention;
        self.last_completed.borrow_mut().retain(|_, completed| completed.elapsed() < retention);
    }

    async fn exchange(
        &self,
        host: HostId,
        address: SocketAddr,
        payload: &OpPayload,
        deadline: Timestamp,
        clock: Clock,
        progress: &Progress<FlightResponse>,
    ) -> ExchangeResult<FlightResponse> {
        let connection = match self.acquire(host, address).await {
            Ok(connection) => connection,
            Err(ConnectionError(reason)) => {
                tracing::debug!(dial = %address, "connecting failed: {reason}");
                return (Outcome::ConnectFailed, HostStatus::default(), None);
            }
        };
        // Rounded up to whole milliseconds, so that the host does not time out before the router does.
        let timeout_ms = ((deadline - clock.now()).micros().max(0) as u64).div_ceil(1000);
        let OpPayload { statement, is_update, .. } = payload;
        let result = if *is_update {
            self.execute_update(&connection, statement, timeout_ms, || progress.mark_written())
                .await
                .map(|(count, status)| (Some(FlightResponse::UpdateCount(count)), status))
        } else {
            self.execute_query(&connection, statement, timeout_ms, progress).await
        };
        if matches!(result, Ok(_) | Err(CallFailure::Outcome(..))) {
            self.last_completed.borrow_mut().insert(host, Instant::now());
        }
        match result {
            Ok((response, status)) => (Outcome::Acked, status, response),
            Err(CallFailure::Outcome(outcome, status)) => (outcome, status, None),
            Err(CallFailure::ClientDisconnected) => (Outcome::Cancelled, HostStatus::default(), None),
            Err(CallFailure::InvalidResponse(reason)) => {
                tracing::warn!(dial = %address, "invalid response from the host: {reason}");
                (Outcome::Reset, HostStatus::default(), None)
            }
            Err(CallFailure::Connection(reason)) => {
                tracing::debug!(dial = %address, "the call failed: {reason}");
                let outcome = if progress.is_written() { Outcome::Reset } else { Outcome::ConnectFailed };
                (outcome, HostStatus::default(), None)
            }
        }
    }

    async fn probe(&self, host: HostId, address: SocketAddr) -> (Outcome, HostStatus) {
        match timeout(self.limits.connect_timeout, self.request_load_report(host, address)).await {
            Ok(Ok(status)) => (Outcome::Acked, status),
            Ok(Err(CallFailure::Outcome(outcome, status))) => (outcome, status),
            Ok(Err(CallFailure::InvalidResponse(_))) => (Outcome::Errored, HostStatus::default()),
            Ok(Err(_)) => (Outcome::Reset, HostStatus::default()),
            Err(_) => (Outcome::TimedOut, HostStatus::default()),
        }
    }

    /// Drops the host's connections if it completed no call since the send started: connections to an
    /// unreachable machine stay open, and each further send over them would time out.
    fn send_timed_out(&self, host: HostId, since: Instant) {
        if self.last_completed.borrow().get(&host).is_none_or(|completed| *completed < since) {
            self.connections.borrow_mut().remove(&host);
        }
    }

    fn close_idle(&self, host: HostId) {
        let mut connections = self.connections.borrow_mut();
        if let Some(connections) = connections.get_mut(&host) {
            connections.retain(|connection| connection.open_streams() > 0);
        }
    }

    fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    fn connections_started(&self) -> u64 {
        self.connections_started.get()
    }
}
