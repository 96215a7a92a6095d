//! The calls of Flight SQL. Ops are submitted to the core; all other calls are answered by the front end.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use arrow_array::{ArrayRef, BinaryArray, RecordBatch};
use arrow_flight::encode::FlightDataEncoderBuilder;
use arrow_flight::error::FlightError;
use arrow_flight::sql::metadata::{
    SqlInfoData, SqlInfoDataBuilder, XdbcTypeInfoData, XdbcTypeInfoDataBuilder,
};
use arrow_flight::sql::server::{FlightSqlService, PeekableFlightDataStream};
use arrow_flight::sql::{
    ActionBeginSavepointRequest, ActionBeginSavepointResult, ActionBeginTransactionRequest,
    ActionBeginTransactionResult, ActionCancelQueryRequest, ActionCancelQueryResult,
    ActionClosePreparedStatementRequest, ActionCreatePreparedStatementRequest,
    ActionCreatePreparedStatementResult, ActionEndSavepointRequest, ActionEndTransactionRequest,
    CommandGetCatalogs, CommandGetCrossReference, CommandGetDbSchemas, CommandGetExportedKeys,
    CommandGetImportedKeys, CommandGetPrimaryKeys, CommandGetSqlInfo, CommandGetTableTypes, CommandGetTables,
    CommandGetXdbcTypeInfo, CommandPreparedStatementQuery, CommandPreparedStatementUpdate,
    CommandStatementIngest, CommandStatementQuery, CommandStatementUpdate, DoPutPreparedStatementResult,
    ProstMessageExt, SqlInfo, SqlSupportedTransaction, TicketStatementQuery,
};
use arrow_flight::utils::flight_data_to_batches;
use arrow_flight::{
    Action, FlightData, FlightDescriptor, FlightEndpoint, FlightInfo, IpcMessage, SchemaAsIpc, Ticket,
};
use arrow_ipc::writer::IpcWriteOptions;
use arrow_schema::{DataType, Field, Schema, SchemaRef};
use arrowyard_core::Reply;
use arrowyard_core::clock::Clock;
use arrowyard_core::submission::{OpSubmitter, SubmitError};
use arrowyard_flight::CallError;
use arrowyard_flight::bind::{self, Literal};
use arrowyard_flight::call_metadata::{self, CallMetadata};
use arrowyard_flight::client_connections::ConnectionId;
use arrowyard_flight::ticket::RedeemedTicket;
use arrowyard_types::{TimeDelta, Timestamp};
use bytes::Bytes;
use futures::{Stream, StreamExt, TryStreamExt, stream};
use prost::Message;
use tokio::sync::{mpsc, oneshot};
use tonic::metadata::{KeyAndValueRef, MetadataMap};
use tonic::{Request, Response, Status};
use tonic_types::{ErrorDetails, StatusExt};

use crate::front_end_state::{OpenCall, StateClient, StateRequest};
use crate::limits::FlightLimits;
use crate::listen::Peer;
use crate::response::{ClientResponse, LargeMessagePermit, OpPayload, StreamItem};

type ResponseStream<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

/// The name of the single column of a result from a host that speaks PostgreSQL's protocol.
pub const VALUE_COLUMN: &str = "payload";

/// Serves the calls of all connections.
#[derive(Clone)]
pub struct FlightFrontEnd {
    /// Submits ops to the core.
    pub submitter: OpSubmitter<OpPayload, ClientResponse>,
    /// Sends requests to the state task.
    pub state: StateClient,
    pub clock: Clock,
    pub limits: FlightLimits,
    pub server_info: Arc<ServerInfo>,
}

/// The answers to requests for server metadata.
pub struct ServerInfo {
    sql_info: SqlInfoData,
    type_info: XdbcTypeInfoData,
}

impl Default for ServerInfo {
    fn default() -> Self {
        let mut sql_info = SqlInfoDataBuilder::new();
        sql_info.append(SqlInfo::FlightSqlServerName, env!("CARGO_PKG_NAME"));
        sql_info.append(SqlInfo::FlightSqlServerVersion, env!("CARGO_PKG_VERSION"));
        sql_info.append(SqlInfo::FlightSqlServerArrowVersion, "1.3");
        sql_info.append(SqlInfo::FlightSqlServerReadOnly, false);
        sql_info.append(SqlInfo::FlightSqlServerSql, true);
        sql_info.append(SqlInfo::FlightSqlServerSubstrait, false);
        sql_info.append(SqlInfo::FlightSqlServerTransaction, SqlSupportedTransaction::None as i32);
        sql_info.append(SqlInfo::FlightSqlServerCancel, false);
        sql_info.append(SqlInfo::FlightSqlServerStatementTimeout, 0_i32);
        sql_info.append(SqlInfo::FlightSqlServerTransactionTimeout, 0_i32);
        let type_info = XdbcTypeInfoDataBuilder::new().build().expect("an empty list");
        ServerInfo { sql_info: sql_info.build().expect("each key occurs once"), type_info }
    }
}

/// Converts an error to a gRPC status.
pub fn to_status(error: &CallError) -> Status {
    let code = tonic::Code::from_i32(error.code().number());
    match error.retry_after() {
        Some(retry_after) => {
            let retry_after = Duration::from_micros(retry_after.micros().max(0) as u64);
            Status::with_error_details(
                code,
                error.message(),
                ErrorDetails::with_retry_info(Some(retry_after)),
            )
        }
        None => Status::new(code, error.message()),
    }
}

fn parse_metadata(entries: &MetadataMap) -> Result<CallMetadata, CallError> {
    let mut metadata = CallMetadata::default();
    for entry in entries.iter() {
        let KeyAndValueRef::Ascii(key, value) = entry else { continue };
        let Ok(value) = value.to_str() else { continue };
        metadata.insert(key.as_str(), value)?;
    }
    Ok(metadata)
}

/// The metadata and the client of a call.
struct CallContext {
    metadata: CallMetadata,
    peer: Peer,
}

fn call_context<T>(request: &Request<T>) -> Result<CallContext, Status> {
    let metadata = parse_metadata(request.metadata()).map_err(|error| to_status(&error))?;
    let peer = request.extensions().get::<Peer>().copied();
    Ok(CallContext { metadata, peer: peer.ok_or_else(|| to_status(&CallError::Errored))? })
}

/// Rejects a call that is part of a transaction.
fn reject_transaction(id: Option<&Bytes>) -> Result<(), CallError> {
    id.is_none_or(Bytes::is_empty)
        .then_some(())
        .ok_or(CallError::Unimplemented("transactions are not supported"))
}

impl FlightFrontEnd {
    /// Runs a call while it counts as open on its connection. It counts as cancelled only if the returned
    /// future is dropped before the call ends.
    async fn run_call<T>(
        &self,
        connection: ConnectionId,
        call: impl Future<Output = Result<T, Status>>,
    ) -> Result<(T, OpenCall), Status> {
        let mut open_call = self.state.begin_call(connection).await.map_err(|error| to_status(&error))?;
        let result = call.await;
        open_call.answered = true;
        Ok((result?, open_call))
    }

    /// Submits an op and waits for its final reply.
    async fn submit_op(
        &self,
        text: &str,
        context: &CallContext,
        is_update: bool,
    ) -> Result<ClientResponse, CallError> {
        let arrived_at = self.clock.now();
        let statement = call_metadata::parse_op(text, &context.metadata, || fastrand::u64(1..))?;
        let deadline = arrived_at + TimeDelta::from_millis(statement.timeout_ms.into());
        let payload = OpPayload { statement, is_update, client_address: Some(context.peer.address.ip()) };
        match self.submitter.submit(payload).await {
            Ok(Reply::Acked(response)) => Ok(response),
            Ok(Reply::Busy(retry_after)) => Err(CallError::Busy(retry_after)),
            Ok(Reply::Errored) if self.has_passed(deadline) => Err(CallError::DeadlineExceeded),
            Ok(Reply::Errored) => Err(CallError::Errored),
            Ok(Reply::Refused(reason)) => Err(CallError::InvalidOp(reason.to_string())),
            Err(SubmitError::Full) => Err(CallError::Busy(None)),
            Err(SubmitError::Stopped) => Err(CallError::Errored),
        }
    }

    /// Whether the deadline has passed, with a margin since the core may reply shortly before it.
    fn has_passed(&self, deadline: Timestamp) -> bool {
        deadline - self.clock.now() <= TimeDelta::from_millis(50)
    }

    async fn execute_update(&self, text: &str, context: &CallContext) -> Result<i64, CallError> {
        match self.submit_op(text, context, true).await? {
            ClientResponse::UpdateCount(count) | ClientResponse::Value { count, .. } => Ok(count),
            ClientResponse::Stream { .. } => Err(CallError::InvalidResult),
        }
    }

    /// Runs a query. Restores its ticket if the op did not run, so that the client can retry with the same
    /// ticket.
    async fn execute_query(
        &self,
        text: &str,
        context: &CallContext,
        ticket: Option<RedeemedTicket>,
    ) -> Result<ClientResponse, CallError> {
        let response = self.submit_op(text, context, false).await;
        if let (Err(CallError::Busy(_) | CallError::InvalidOp(_)), Some(ticket)) = (&response, ticket) {
            self.state.notify(StateRequest::RestoreTicket(ticket));
        }
        response
    }

    /// The flight info of a planned statement, with its ticket.
    fn plan_info(&self, descriptor: FlightDescriptor, ticket: Bytes, expires: Timestamp) -> FlightInfo {
        let command = TicketStatementQuery { statement_handle: ticket }.as_any();
        let expires = prost_types::Timestamp {
            seconds: expires.micros().div_euclid(1_000_000),
            nanos: (expires.micros().rem_euclid(1_000_000) * 1000) as i32,
        };
        let endpoint = FlightEndpoint {
            ticket: Some(Ticket { ticket: command.encode_to_vec().into() }),
            expiration_time: Some(expires),
            ..FlightEndpoint::default()
        };
        FlightInfo::new().with_descriptor(descriptor).with_endpoint(endpoint)
    }

    /// Issues a ticket for the statement and returns it as flight info.
    async fn plan(&self, text: String, descriptor: FlightDescriptor) -> Result<Response<FlightInfo>, Status> {
        let issued = self.state.request(|reply| StateRequest::IssueTicket(text, reply)).await;
        let (ticket, expires) = issued.and_then(|issued| issued).map_err(|error| to_status(&error))?;
        Ok(Response::new(self.plan_info(descriptor, ticket, expires)))
    }

    async fn bound_statement(&self, handle: Bytes) -> Result<String, CallError> {
        self.state.request(|reply| StateRequest::BoundStatement(handle, reply)).await?
    }

    /// Streams the messages of a response. Keeps `open_call` and the resources retained by the core until the
    /// client has received the last message or disconnected.
    fn stream_response(
        &self,
        response: ClientResponse,
        mut open_call: OpenCall,
    ) -> Result<ResponseStream<FlightData>, Status> {
        match response {
            ClientResponse::UpdateCount(_) => Err(to_status(&CallError::InvalidResult)),
            ClientResponse::Value { value, done, .. } => {
                let batch = single_value_batch(&value).map_err(|_| to_status(&CallError::InvalidResult))?;
                let schema = batch.schema();
                let messages = FlightDataEncoderBuilder::new()
                    .with_schema(schema)
                    .build(stream::iter([Ok::<_, FlightError>(batch)]))
                    .map_err(|_| to_status(&CallError::InvalidResult));
                open_call.answered = true;
                Ok(Box::pin(messages.chain(drop_at_end((done, open_call)))))
            }
            ClientResponse::Stream { buffered, rest, done } => {
                open_call.answered = rest.is_none();
                let buffered = stream::iter(buffered.into_iter().map(|(data, _)| Ok(data)));
                Ok(match rest {
                    None => Box::pin(buffered.chain(drop_at_end((done, open_call)))),
                    Some(rest) => {
                        let streaming = StreamingResult { rest, open_call, permit: None, _done: done };
                        Box::pin(buffered.chain(stream::unfold(Some(streaming), next_message)))
                    }
                })
            }
        }
    }
}

/// The rest of a result that is streamed to a client.
struct StreamingResult {
    rest: mpsc::Receiver<StreamItem>,
    open_call: OpenCall,
    /// The memory of the last message, until the client polls for the next one.
    permit: Option<LargeMessagePermit>,
    _done: oneshot::Sender<()>,
}

/// Returns the next message of a streamed result, or an error if the result was interrupted.
async fn next_message(
    streaming: Option<StreamingResult>,
) -> Option<(Result<FlightData, Status>, Option<StreamingResult>)> {
    let mut streaming = streaming?;
    streaming.permit = None;
    match streaming.rest.recv().await {
        Some(StreamItem::Message((data, permit))) => {
            streaming.permit = permit;
            Some((Ok(data), Some(streaming)))
        }
        Some(StreamItem::End) => {
            streaming.open_call.answered = true;
            None
        }
        // Without an error the client would treat the partial result as complete.
        None => {
            streaming.open_call.answered = true;
            Some((Err(to_status(&CallError::Interrupted)), None))
        }
    }
}

/// An empty stream that drops the resources once it is polled.
fn drop_at_end<T: Send + 'static>(resources: T) -> impl Stream<Item = Result<FlightData, Status>> + Send {
    stream::once(async move { drop(resources) }).filter_map(|()| async { None })
}

/// The schema of a result from a host that speaks PostgreSQL's protocol.
fn value_schema() -> SchemaRef {
    Arc::new(Schema::new(vec![Field::new(VALUE_COLUMN, DataType::Binary, false)]))
}

fn single_value_batch(value: &[u8]) -> Result<RecordBatch, arrow_schema::ArrowError> {
    let column: ArrayRef = Arc::new(BinaryArray::from_iter_values([value]));
    RecordBatch::try_new(value_schema(), vec![column])
}

fn schema_bytes(schema: &Schema) -> Result<Bytes, Status> {
    let message: Result<IpcMessage, _> = SchemaAsIpc::new(schema, &IpcWriteOptions::default()).try_into();
    message.map(|message| message.0).map_err(|_| to_status(&CallError::Errored))
}

/// The flight info of a call that the front end answers. Its ticket is the encoded command.
fn local_flight_info(
    command: &impl ProstMessageExt,
    descriptor: FlightDescriptor,
    schema: &Schema,
) -> Result<Response<FlightInfo>, Status> {
    let ticket = Ticket { ticket: command.as_any().encode_to_vec().into() };
    let info = FlightInfo::new().try_with_schema(schema).map_err(|_| to_status(&CallError::Errored))?;
    Ok(Response::new(
        info.with_descriptor(descriptor).with_endpoint(FlightEndpoint::new().with_ticket(ticket)),
    ))
}

fn batch_response<E>(batch: Result<RecordBatch, E>) -> Result<Response<ResponseStream<FlightData>>, Status> {
    let batch = batch.map_err(|_| to_status(&CallError::Errored))?;
    let messages = FlightDataEncoderBuilder::new()
        .with_schema(batch.schema())
        .build(stream::iter([Ok::<_, FlightError>(batch)]))
        .map_err(|_| to_status(&CallError::Errored));
    Ok(Response::new(Box::pin(messages)))
}

/// Reads a client's stream to its end and rejects data in it. An update runs only after that, so that it does
/// not run if its client disconnects before.
async fn read_empty_stream(
    request: Request<PeekableFlightDataStream>,
    max_bytes: usize,
) -> Result<(), Status> {
    let mut stream = request.into_inner().into_peekable();
    let mut bytes = 0;
    while let Some(data) = stream.try_next().await? {
        bytes += data.app_metadata.len()
            + data.flight_descriptor.map_or(0, |descriptor| descriptor.cmd.len())
            + 64;
        if bytes > max_bytes * 2 {
            return Err(to_status(&CallError::TooLarge("the client's stream")));
        }
        if !data.data_header.is_empty() || !data.data_body.is_empty() {
            return Err(to_status(&CallError::InvalidOp(
                "an update statement must be sent without data".to_string(),
            )));
        }
    }
    Ok(())
}

#[tonic::async_trait]
impl FlightSqlService for FlightFrontEnd {
    type FlightService = FlightFrontEnd;

    async fn get_flight_info_statement(
        &self,
        query: CommandStatementQuery,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        let context = call_context(&request)?;
        let call = async {
            reject_transaction(query.transaction_id.as_ref()).map_err(|error| to_status(&error))?;
            let text = call_metadata::merge_comment(&query.query, &context.metadata)
                .map_err(|error| to_status(&error))?;
            self.plan(text, request.into_inner()).await
        };
        self.run_call(context.peer.connection, call).await.map(|(response, _)| response)
    }

    async fn get_flight_info_prepared_statement(
        &self,
        query: CommandPreparedStatementQuery,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        let context = call_context(&request)?;
        let call = async {
            let text = self.bound_statement(query.prepared_statement_handle).await;
            let text = text
                .and_then(|text| call_metadata::merge_comment(&text, &context.metadata))
                .map_err(|error| to_status(&error))?;
            self.plan(text, request.into_inner()).await
        };
        self.run_call(context.peer.connection, call).await.map(|(response, _)| response)
    }

    async fn do_get_statement(
        &self,
        ticket: TicketStatementQuery,
        request: Request<Ticket>,
    ) -> Result<Response<ResponseStream<FlightData>>, Status> {
        let context = call_context(&request)?;
        let call = async {
            let redeemed =
                self.state.request(|reply| StateRequest::RedeemTicket(ticket.statement_handle, reply)).await;
            let response = match redeemed.and_then(|redeemed| redeemed) {
                Ok((text, ticket)) => self.execute_query(&text, &context, Some(ticket)).await,
                Err(error) => Err(error),
            };
            response.map_err(|error| to_status(&error))
        };
        let (response, open_call) = self.run_call(context.peer.connection, call).await?;
        self.stream_response(response, open_call).map(Response::new)
    }

    async fn do_get_prepared_statement(
        &self,
        query: CommandPreparedStatementQuery,
        request: Request<Ticket>,
    ) -> Result<Response<ResponseStream<FlightData>>, Status> {
        let context = call_context(&request)?;
        let call = async {
            let response = match self.bound_statement(query.prepared_statement_handle).await {
                Ok(text) => self.execute_query(&text, &context, None).await,
                Err(error) => Err(error),
            };
            response.map_err(|error| to_status(&error))
        };
        let (response, open_call) = self.run_call(context.peer.connection, call).await?;
        self.stream_response(response, open_call).map(Response::new)
    }

    async fn do_put_statement_update(
        &self,
        command: CommandStatementUpdate,
        request: Request<PeekableFlightDataStream>,
    ) -> Result<i64, Status> {
        let context = call_context(&request)?;
        let call = async {
            reject_transaction(command.transaction_id.as_ref()).map_err(|error| to_status(&error))?;
            read_empty_stream(request, self.limits.max_client_message_bytes).await?;
            let count = self.execute_update(&command.query, &context).await;
            count.map_err(|error| to_status(&error))
        };
        self.run_call(context.peer.connection, call).await.map(|(response, _)| response)
    }

    async fn do_put_prepared_statement_update(
        &self,
        command: CommandPreparedStatementUpdate,
        request: Request<PeekableFlightDataStream>,
    ) -> Result<i64, Status> {
        let context = call_context(&request)?;
        let call = async {
            read_empty_stream(request, self.limits.max_client_message_bytes).await?;
            let count = match self.bound_statement(command.prepared_statement_handle).await {
                Ok(text) => self.execute_update(&text, &context).await,
                Err(error) => Err(error),
            };
            count.map_err(|error| to_status(&error))
        };
        self.run_call(context.peer.connection, call).await.map(|(response, _)| response)
    }

    async fn do_put_prepared_statement_query(
        &self,
        query: CommandPreparedStatementQuery,
        request: Request<PeekableFlightDataStream>,
    ) -> Result<DoPutPreparedStatementResult, Status> {
        let context = call_context(&request)?;
        let call = async {
            let mut stream = request.into_inner().into_peekable();
            let (mut messages, mut bytes) = (Vec::new(), 0);
            while let Some(data) = stream.try_next().await? {
                bytes += data.data_header.len() + data.data_body.len() + 64;
                if bytes > self.limits.max_client_message_bytes {
                    return Err(to_status(&CallError::TooLarge("the parameters")));
                }
                messages.push(data);
            }
            let bound = match decode_parameters(&messages) {
                Ok(values) => {
                    let handle = query.prepared_statement_handle;
                    self.state
                        .request(|reply| StateRequest::Bind(handle, values, reply))
                        .await
                        .and_then(|bound| bound)
                }
                Err(error) => Err(error),
            };
            let handle = bound.map_err(|error| to_status(&error))?;
            Ok(DoPutPreparedStatementResult { prepared_statement_handle: Some(handle) })
        };
        self.run_call(context.peer.connection, call).await.map(|(response, _)| response)
    }

    async fn do_action_create_prepared_statement(
        &self,
        query: ActionCreatePreparedStatementRequest,
        request: Request<Action>,
    ) -> Result<ActionCreatePreparedStatementResult, Status> {
        let context = call_context(&request)?;
        let call = async {
            reject_transaction(query.transaction_id.as_ref()).map_err(|error| to_status(&error))?;
            let prepared = self.state.request(|reply| StateRequest::Prepare(query.query, reply)).await;
            let (handle, parameter_count) =
                prepared.and_then(|prepared| prepared).map_err(|error| to_status(&error))?;
            // The router does not know the types of the parameters, so that the schema has the null type for each.
            let fields: Vec<Field> = (1..=parameter_count)
                .map(|number| Field::new(format!("${number}"), DataType::Null, true))
                .collect();
            let parameter_schema =
                if fields.is_empty() { Bytes::new() } else { schema_bytes(&Schema::new(fields))? };
            let dataset_schema = Bytes::new();
            Ok(ActionCreatePreparedStatementResult {
                prepared_statement_handle: handle,
                dataset_schema,
                parameter_schema,
            })
        };
        self.run_call(context.peer.connection, call).await.map(|(response, _)| response)
    }

    async fn do_action_close_prepared_statement(
        &self,
        query: ActionClosePreparedStatementRequest,
        request: Request<Action>,
    ) -> Result<(), Status> {
        let context = call_context(&request)?;
        let call = async {
            let handle = query.prepared_statement_handle;
            let closed = self
                .state
                .request(|reply| StateRequest::ClosePrepared(handle, reply))
                .await
                .and_then(|closed| closed);
            closed.map_err(|error| to_status(&error))
        };
        self.run_call(context.peer.connection, call).await.map(|(response, _)| response)
    }

    async fn get_flight_info_sql_info(
        &self,
        query: CommandGetSqlInfo,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        let schema = query.clone().into_builder(&self.server_info.sql_info).schema();
        local_flight_info(&query, request.into_inner(), &schema)
    }

    async fn do_get_sql_info(
        &self,
        query: CommandGetSqlInfo,
        _request: Request<Ticket>,
    ) -> Result<Response<ResponseStream<FlightData>>, Status> {
        batch_response(query.into_builder(&self.server_info.sql_info).build())
    }

    async fn get_flight_info_xdbc_type_info(
        &self,
        query: CommandGetXdbcTypeInfo,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        let schema = query.into_builder(&self.server_info.type_info).schema();
        local_flight_info(&query, request.into_inner(), &schema)
    }

    async fn do_get_xdbc_type_info(
        &self,
        query: CommandGetXdbcTypeInfo,
        _request: Request<Ticket>,
    ) -> Result<Response<ResponseStream<FlightData>>, Status> {
        batch_response(query.into_builder(&self.server_info.type_info).build())
    }

    // The router has no table metadata, so that the following lists are empty. Clients can query the catalog
    // of a host with statements.

    async fn get_flight_info_catalogs(
        &self,
        query: CommandGetCatalogs,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        local_flight_info(&query, request.into_inner(), &query.into_builder().schema())
    }

    async fn do_get_catalogs(
        &self,
        query: CommandGetCatalogs,
        _request: Request<Ticket>,
    ) -> Result<Response<ResponseStream<FlightData>>, Status> {
        batch_response(query.into_builder().build())
    }

    async fn get_flight_info_schemas(
        &self,
        query: CommandGetDbSchemas,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        local_flight_info(&query, request.into_inner(), &query.clone().into_builder().schema())
    }

    async fn do_get_schemas(
        &self,
        query: CommandGetDbSchemas,
        _request: Request<Ticket>,
    ) -> Result<Response<ResponseStream<FlightData>>, Status> {
        batch_response(query.into_builder().build())
    }

    async fn get_flight_info_tables(
        &self,
        query: CommandGetTables,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        local_flight_info(&query, request.into_inner(), &query.clone().into_builder().schema())
    }

    async fn do_get_tables(
        &self,
        query: CommandGetTables,
        _request: Request<Ticket>,
    ) -> Result<Response<ResponseStream<FlightData>>, Status> {
        batch_response(query.into_builder().build())
    }

    async fn get_flight_info_table_types(
        &self,
        query: CommandGetTableTypes,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        local_flight_info(&query, request.into_inner(), &query.into_builder().schema())
    }

    async fn do_get_table_types(
        &self,
        query: CommandGetTableTypes,
        _request: Request<Ticket>,
    ) -> Result<Response<ResponseStream<FlightData>>, Status> {
        batch_response(query.into_builder().build())
    }

    async fn get_flight_info_primary_keys(
        &self,
        query: CommandGetPrimaryKeys,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        local_flight_info(&query, request.into_inner(), &primary_keys_schema())
    }

    async fn do_get_primary_keys(
        &self,
        _query: CommandGetPrimaryKeys,
        _request: Request<Ticket>,
    ) -> Result<Response<ResponseStream<FlightData>>, Status> {
        empty_response(primary_keys_schema())
    }

    async fn get_flight_info_exported_keys(
        &self,
        query: CommandGetExportedKeys,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        local_flight_info(&query, request.into_inner(), &foreign_keys_schema())
    }

    async fn do_get_exported_keys(
        &self,
        _query: CommandGetExportedKeys,
        _request: Request<Ticket>,
    ) -> Result<Response<ResponseStream<FlightData>>, Status> {
        empty_response(foreign_keys_schema())
    }

    async fn get_flight_info_imported_keys(
        &self,
        query: CommandGetImportedKeys,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        local_flight_info(&query, request.into_inner(), &foreign_keys_schema())
    }

    async fn do_get_imported_keys(
        &self,
        _query: CommandGetImportedKeys,
        _request: Request<Ticket>,
    ) -> Result<Response<ResponseStream<FlightData>>, Status> {
        empty_response(foreign_keys_schema())
    }

    async fn get_flight_info_cross_reference(
        &self,
        query: CommandGetCrossReference,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        local_flight_info(&query, request.into_inner(), &foreign_keys_schema())
    }

    async fn do_get_cross_reference(
        &self,
        _query: CommandGetCrossReference,
        _request: Request<Ticket>,
    ) -> Result<Response<ResponseStream<FlightData>>, Status> {
        empty_response(foreign_keys_schema())
    }

    async fn do_action_begin_transaction(
        &self,
        _query: ActionBeginTransactionRequest,
        _request: Request<Action>,
    ) -> Result<ActionBeginTransactionResult, Status> {
        unimplemented("transactions are not supported")
    }

    async fn do_action_end_transaction(
        &self,
        _query: ActionEndTransactionRequest,
        _request: Request<Action>,
    ) -> Result<(), Status> {
        unimplemented("transactions are not supported")
    }

    async fn do_action_begin_savepoint(
        &self,
        _query: ActionBeginSavepointRequest,
        _request: Request<Action>,
    ) -> Result<ActionBeginSavepointResult, Status> {
        unimplemented("savepoints are not supported")
    }

    async fn do_action_end_savepoint(
        &self,
        _query: ActionEndSavepointRequest,
        _request: Request<Action>,
    ) -> Result<(), Status> {
        unimplemented("savepoints are not supported")
    }

    async fn do_action_cancel_query(
        &self,
        _query: ActionCancelQueryRequest,
        _request: Request<Action>,
    ) -> Result<ActionCancelQueryResult, Status> {
        unimplemented("to cancel a query, cancel its call")
    }

    async fn do_put_statement_ingest(
        &self,
        _command: CommandStatementIngest,
        _request: Request<PeekableFlightDataStream>,
    ) -> Result<i64, Status> {
        unimplemented("bulk ingestion is not supported")
    }

    async fn register_sql_info(&self, _id: i32, _info: &SqlInfo) {}
}

fn unimplemented<T>(reason: &'static str) -> Result<T, Status> {
    Err(to_status(&CallError::Unimplemented(reason)))
}

fn text_field(name: &str, nullable: bool) -> Field {
    Field::new(name, DataType::Utf8, nullable)
}

/// The schema that Flight SQL defines for a list of primary keys.
fn primary_keys_schema() -> Schema {
    Schema::new(vec![
        text_field("catalog_name", true),
        text_field("db_schema_name", true),
        text_field("table_name", false),
        text_field("column_name", false),
        text_field("key_name", true),
        Field::new("key_sequence", DataType::Int32, false),
    ])
}

/// The schema that Flight SQL defines for a list of foreign keys.
fn foreign_keys_schema() -> Schema {
    let table_columns = |side: &str| {
        [("catalog_name", true), ("db_schema_name", true), ("table_name", false), ("column_name", false)]
            .map(|(name, nullable)| text_field(&format!("{side}_{name}"), nullable))
    };
    let mut fields: Vec<Field> = table_columns("pk").into_iter().chain(table_columns("fk")).collect();
    fields.push(Field::new("key_sequence", DataType::Int32, false));
    fields.extend([text_field("fk_key_name", true), text_field("pk_key_name", true)]);
    fields.extend(["update_rule", "delete_rule"].map(|name| Field::new(name, DataType::UInt8, false)));
    Schema::new(fields)
}

fn empty_response(schema: Schema) -> Result<Response<ResponseStream<FlightData>>, Status> {
    batch_response(Ok::<_, FlightError>(RecordBatch::new_empty(Arc::new(schema))))
}

/// Decodes the parameter values in a client's stream.
fn decode_parameters(messages: &[FlightData]) -> Result<Vec<Literal>, CallError> {
    let mut validator =
        arrowyard_flight::ipc_validation::IpcValidator::new(arrowyard_flight::ipc_validation::IpcLimits {
            max_fields: 256,
            max_decompressed_bytes: 1 << 20,
        });
    // The decoder does not validate its input.
    for data in messages {
        validator
            .check(&data.data_header, &data.data_body)
            .map_err(|invalid| CallError::InvalidOp(format!("invalid parameters: {}", invalid.0)))?;
    }
    let batches = flight_data_to_batches(messages)
        .map_err(|_| CallError::InvalidOp("the parameters cannot be decoded".to_string()))?;
    match batches.as_slice() {
        [batch] => bind::batch_literals(batch),
        _ => Err(CallError::InvalidOp("parameters must be sent as one batch".to_string())),
    }
}
