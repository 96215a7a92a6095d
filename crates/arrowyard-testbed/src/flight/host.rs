//! A simulated database host that implements the part of Arrow Flight SQL used by routers.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use arrow_array::{ArrayRef, BinaryArray, RecordBatch};
use arrow_flight::encode::FlightDataEncoderBuilder;
use arrow_flight::error::FlightError;
use arrow_flight::flight_service_server::{FlightService, FlightServiceServer};
use arrow_flight::sql::{Any, Command, DoPutUpdateResult, ProstMessageExt, TicketStatementQuery};
use arrow_flight::{
    Action, ActionType, Criteria, Empty, FlightData, FlightDescriptor, FlightEndpoint, FlightInfo,
    HandshakeRequest, HandshakeResponse, PollInfo, PutResult, SchemaResult, Ticket,
};
use arrow_schema::{DataType, Field, Schema};
use futures::task::AtomicWaker;
use futures::{Stream, StreamExt, TryStreamExt, stream};
use prost::Message;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tonic::metadata::MetadataMap;
use tonic::transport::Server;
use tonic::transport::server::Connected;
use tonic::{Request, Response, Status, Streaming};

use crate::accept::accept;
use crate::cluster::{HostBehavior, MAX_RECORDED, Shared, lock, unix_ms};
use crate::host::{CommandResult, Slot, comment_field, execute, receive_command};

/// Closes a connection, also while calls are in progress.
#[derive(Default)]
pub struct ConnectionAbort {
    aborted: AtomicBool,
    waker: AtomicWaker,
}

impl ConnectionAbort {
    /// Closes the connection.
    pub fn abort(&self) {
        self.aborted.store(true, Ordering::SeqCst);
        self.waker.wake();
    }
}

/// A connection that can be aborted.
struct HostStream {
    stream: TcpStream,
    number: usize,
    abort: Arc<ConnectionAbort>,
}

impl AsyncRead for HostStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.abort.waker.register(cx.waker());
        if self.abort.aborted.load(Ordering::SeqCst) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for HostStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.abort.aborted.load(Ordering::SeqCst) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// The connection on which a call arrived.
#[derive(Clone)]
struct ConnectionInfo {
    number: usize,
    abort: Arc<ConnectionAbort>,
}

impl Connected for HostStream {
    type ConnectInfo = ConnectionInfo;

    fn connect_info(&self) -> ConnectionInfo {
        ConnectionInfo { number: self.number, abort: self.abort.clone() }
    }
}

/// Accepts connections and serves them until the host is killed.
pub(crate) fn serve(state: Shared, name: String, listener: TcpListener) {
    let (shared, host_name) = (state.clone(), name.clone());
    let host = FlightHost { state, name };
    let incoming = stream::unfold(
        (listener, shared.clone(), host_name.clone()),
        |(listener, shared, host_name)| async move {
            let stream = accept(&listener).await;
            let _ = stream.set_nodelay(true);
            let abort = Arc::new(ConnectionAbort::default());
            let number = {
                let mut locked = lock(&shared);
                let host = locked.hosts.get_mut(&host_name).expect("the host exists");
                host.connection_aborts.push(abort.clone());
                host.accepted_connections += 1;
                host.accepted_connections - 1
            };
            Some((Ok::<_, io::Error>(HostStream { stream, number, abort }), (listener, shared, host_name)))
        },
    );
    let service = FlightServiceServer::new(host).max_encoding_message_size(usize::MAX);
    let server_task = tokio::spawn(async move {
        let _ = Server::builder().add_service(service).serve_with_incoming(incoming).await;
    });
    lock(&shared).hosts.get_mut(&host_name).expect("the host exists").tasks.push(server_task.abort_handle());
}

/// The Flight SQL service of one host.
#[derive(Clone)]
struct FlightHost {
    state: Shared,
    name: String,
}

type ResponseStream<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

/// The status of a command that did not run. Its metadata names the reason.
fn not_executed(reason: &'static str) -> Status {
    let mut metadata = MetadataMap::new();
    metadata.insert("arrowyard-never", reason.parse().expect("the reason is ASCII"));
    Status::with_metadata(tonic::Code::Unavailable, "nothing ran", metadata)
}

/// Aborts the connection and waits until the call is dropped with it.
async fn abort_connection(connection: &ConnectionInfo) -> Status {
    connection.abort.abort();
    std::future::pending::<()>().await;
    Status::unknown("the connection is aborted")
}

impl FlightHost {
    /// Adds the host's role, its position and the op's id to the response.
    fn add_metadata<T>(&self, response: &mut Response<T>, result: &CommandResult, statement: &str) {
        let metadata = response.metadata_mut();
        let role = if result.is_primary { "primary" } else { "replica" };
        metadata.insert("arrowyard-role", role.parse().expect("the role is ASCII"));
        if let Some(position) = result.position {
            metadata.insert("arrowyard-position", position.into());
        }
        if let Some(id) = comment_field(statement, "id").and_then(|id| id.parse().ok()) {
            metadata.insert("arrowyard-id", id);
        }
    }

    /// Handles the statement as the host's behavior requires. Returns its result and the behavior, which
    /// also affects the response.
    async fn handle_statement(
        &self,
        statement: &str,
        connection: &ConnectionInfo,
    ) -> Result<(CommandResult, HostBehavior), Status> {
        let FlightHost { state, name } = self;
        if let Some(host) =
            lock(state).hosts.get_mut(name).filter(|host| host.received_statements.len() < MAX_RECORDED)
        {
            host.received_statements.push((connection.number, statement.to_string()));
        }
        let (behavior, service_time) =
            receive_command(state, name).ok_or_else(|| Status::unknown("the host does not exist"))?;
        match behavior {
            HostBehavior::RejectOverloaded => return Err(not_executed("full")),
            HostBehavior::RejectReadOnly => return Err(not_executed("miss")),
            HostBehavior::FailBeforeRun => return Err(Status::internal("the command failed")),
            HostBehavior::DisconnectBeforeRun => return Err(abort_connection(connection).await),
            HostBehavior::Hang => std::future::pending::<()>().await,
            _ => {}
        }
        let slot = loop {
            if let Some(slot) = Slot::acquire(state, name) {
                break slot;
            }
            sleep(Duration::from_millis(1)).await;
        };
        let delay = if let HostBehavior::Slow(delay) = behavior { delay } else { Duration::ZERO };
        if !(service_time + delay).is_zero() {
            sleep(service_time + delay).await;
        }
        let result = execute(state, name, statement);
        drop(slot);
        if result.value.is_none() {
            return Err(not_executed("miss"));
        }
        if behavior == HostBehavior::DisconnectAfterRun {
            return Err(abort_connection(connection).await);
        }
        Ok((result, behavior))
    }
}

/// A batch with one value in one binary column.
fn single_value_batch(value: &[u8]) -> RecordBatch {
    let schema = Arc::new(Schema::new(vec![Field::new("payload", DataType::Binary, false)]));
    let column: ArrayRef = Arc::new(BinaryArray::from_iter_values([value]));
    RecordBatch::try_new(schema, vec![column]).expect("the column matches the schema")
}

fn connection_info<T>(request: &Request<T>) -> ConnectionInfo {
    request.extensions().get::<ConnectionInfo>().expect("each call has connection info").clone()
}

fn decode_command(encoded: &[u8]) -> Result<Command, Status> {
    let any = Any::decode(encoded).map_err(|error| Status::invalid_argument(error.to_string()))?;
    Command::try_from(any).map_err(|error| Status::invalid_argument(error.to_string()))
}

fn unimplemented<T>() -> Result<T, Status> {
    Err(Status::unimplemented("the host does not implement this call"))
}

#[tonic::async_trait]
impl FlightService for FlightHost {
    type HandshakeStream = ResponseStream<HandshakeResponse>;
    type ListFlightsStream = ResponseStream<FlightInfo>;
    type DoGetStream = ResponseStream<FlightData>;
    type DoPutStream = ResponseStream<PutResult>;
    type DoActionStream = ResponseStream<arrow_flight::Result>;
    type ListActionsStream = ResponseStream<ActionType>;
    type DoExchangeStream = ResponseStream<FlightData>;

    async fn handshake(
        &self,
        _: Request<Streaming<HandshakeRequest>>,
    ) -> Result<Response<ResponseStream<HandshakeResponse>>, Status> {
        unimplemented()
    }

    async fn list_flights(
        &self,
        _: Request<Criteria>,
    ) -> Result<Response<ResponseStream<FlightInfo>>, Status> {
        unimplemented()
    }

    async fn get_flight_info(
        &self,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        let Command::CommandStatementQuery(query) = decode_command(&request.get_ref().cmd)? else {
            return unimplemented();
        };
        let any = TicketStatementQuery { statement_handle: query.query.into() }.as_any();
        let endpoint = FlightEndpoint::new().with_ticket(Ticket { ticket: any.encode_to_vec().into() });
        Ok(Response::new(FlightInfo::new().with_descriptor(request.into_inner()).with_endpoint(endpoint)))
    }

    async fn poll_flight_info(&self, _: Request<FlightDescriptor>) -> Result<Response<PollInfo>, Status> {
        unimplemented()
    }

    async fn get_schema(&self, _: Request<FlightDescriptor>) -> Result<Response<SchemaResult>, Status> {
        unimplemented()
    }

    async fn do_get(&self, request: Request<Ticket>) -> Result<Response<ResponseStream<FlightData>>, Status> {
        let Command::TicketStatementQuery(ticket) = decode_command(&request.get_ref().ticket)? else {
            return unimplemented();
        };
        let statement = String::from_utf8(ticket.statement_handle.to_vec())
            .map_err(|_| Status::internal("the statement is not UTF-8"))?;
        let connection = connection_info(&request);
        let (result, behavior) = self.handle_statement(&statement, &connection).await?;
        let (batches, batch_bytes) = {
            let spec = &lock(&self.state).hosts[&self.name].spec;
            (spec.batches, spec.batch_bytes)
        };
        let value = result.value.clone().unwrap_or_default().into_bytes();
        let batch_values = (0..batches).map(move |number| {
            let value = if number == 0 { value.clone() } else { vec![number as u8; batch_bytes] };
            Ok::<_, FlightError>(single_value_batch(&value))
        });
        let schema = single_value_batch(b"").schema();
        let response_stream = FlightDataEncoderBuilder::new()
            .with_schema(schema)
            .with_max_flight_data_size(usize::MAX)
            .build(stream::iter(batch_values))
            .map_err(|error| Status::internal(error.to_string()));
        let response_stream: ResponseStream<FlightData> = match behavior {
            HostBehavior::ReplyGarbage => {
                let invalid = FlightData { data_header: vec![7; 40].into(), ..FlightData::default() };
                Box::pin(response_stream.take(1).chain(stream::iter([Ok(invalid)])))
            }
            HostBehavior::ReplyTwice => {
                let messages: Vec<_> = response_stream.collect().await;
                let messages = messages.into_iter().map(|data| data.expect("the batches can be encoded"));
                let doubled: Vec<_> = messages.clone().chain(messages).map(Ok).collect();
                Box::pin(stream::iter(doubled))
            }
            HostBehavior::DisconnectAfterBatches(batch_count) => {
                let disconnect = stream::once(async move {
                    // Lets the batches sent before reach the router first.
                    sleep(Duration::from_millis(20)).await;
                    Err(abort_connection(&connection).await)
                });
                // The schema message comes before the batches.
                Box::pin(response_stream.take(batch_count + 1).chain(disconnect))
            }
            _ => Box::pin(response_stream),
        };
        let mut response = Response::new(response_stream);
        // A mislabeled response carries the id of another op.
        let labeled_text =
            if behavior == HostBehavior::MislabelReply { "/* id=ffffffffffffffff */" } else { &statement };
        self.add_metadata(&mut response, &result, labeled_text);
        Ok(response)
    }

    async fn do_put(
        &self,
        request: Request<Streaming<FlightData>>,
    ) -> Result<Response<ResponseStream<PutResult>>, Status> {
        let connection = connection_info(&request);
        let descriptor = request.into_inner().message().await?.and_then(|data| data.flight_descriptor);
        let descriptor =
            descriptor.ok_or_else(|| Status::invalid_argument("the first message has no command"))?;
        let Command::CommandStatementUpdate(command) = decode_command(&descriptor.cmd)? else {
            return unimplemented();
        };
        let (result, behavior) = self.handle_statement(&command.query, &connection).await?;
        let mut update_result = DoPutUpdateResult { record_count: 1 }.encode_to_vec();
        match behavior {
            HostBehavior::ReplyGarbage => update_result = b"\x01\x02noise".to_vec(),
            HostBehavior::DisconnectAfterBatches(_) => return Err(abort_connection(&connection).await),
            _ => {}
        }
        let update_result = PutResult { app_metadata: update_result.into() };
        let mut response: Response<ResponseStream<PutResult>> =
            Response::new(Box::pin(stream::iter([Ok(update_result)])));
        let labeled_text = if behavior == HostBehavior::MislabelReply {
            "/* id=ffffffffffffffff */"
        } else {
            &command.query
        };
        self.add_metadata(&mut response, &result, labeled_text);
        Ok(response)
    }

    async fn list_actions(&self, _: Request<Empty>) -> Result<Response<ResponseStream<ActionType>>, Status> {
        unimplemented()
    }

    async fn do_exchange(
        &self,
        _: Request<Streaming<FlightData>>,
    ) -> Result<Response<ResponseStream<FlightData>>, Status> {
        unimplemented()
    }

    async fn do_action(
        &self,
        request: Request<Action>,
    ) -> Result<Response<ResponseStream<arrow_flight::Result>>, Status> {
        if request.get_ref().r#type != "arrowyard.report" {
            return unimplemented();
        }
        let report = {
            let state = lock(&self.state);
            let primary = u8::from(state.hosts[&self.name].spec.primary);
            format!("position={},primary={primary}", state.position(&self.name, unix_ms()))
        };
        let result = arrow_flight::Result { body: report.into_bytes().into() };
        Ok(Response::new(Box::pin(stream::iter([Ok(result)]))))
    }
}
