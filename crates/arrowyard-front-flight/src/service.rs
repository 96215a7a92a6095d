//! The calls of Flight SQL: each op goes through the hatch to the core, all else is answered here.

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
use arrowyard_core::hatch::{Hatch, Shut};
use arrowyard_flight::Fault;
use arrowyard_flight::bind::{self, Literal};
use arrowyard_flight::brief::{self, Notes};
use arrowyard_flight::conduct::LineId;
use arrowyard_flight::ticket::Stub;
use arrowyard_types::{TimeDelta, Timestamp};
use bytes::Bytes;
use futures::{Stream, StreamExt, TryStreamExt, stream};
use prost::Message;
use tokio::sync::{mpsc, oneshot};
use tonic::metadata::{KeyAndValueRef, MetadataMap};
use tonic::{Request, Response, Status};
use tonic_types::{ErrorDetails, StatusExt};

use crate::answer::{Errand, Piece, Served, Taken};
use crate::clerk::{Chore, Counter, Open};
use crate::limits::FlightLimits;
use crate::listen::Peer;

type Flow<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

/// The one column of a result that a host on PostgreSQL's protocol gave.
pub const COLUMN: &str = "payload";

/// What serves the calls of all connections; cloned for each.
#[derive(Clone)]
pub struct FlightFront {
    pub hatch: Hatch<Errand, Served>,
    pub counter: Counter,
    pub clock: Clock,
    pub limits: FlightLimits,
    pub known: Arc<Known>,
}

/// What is answered to questions about the server itself.
pub struct Known {
    sql: SqlInfoData,
    types: XdbcTypeInfoData,
}

impl Default for Known {
    fn default() -> Self {
        let mut sql = SqlInfoDataBuilder::new();
        sql.append(SqlInfo::FlightSqlServerName, env!("CARGO_PKG_NAME"));
        sql.append(SqlInfo::FlightSqlServerVersion, env!("CARGO_PKG_VERSION"));
        sql.append(SqlInfo::FlightSqlServerArrowVersion, "1.3");
        sql.append(SqlInfo::FlightSqlServerReadOnly, false);
        sql.append(SqlInfo::FlightSqlServerSql, true);
        sql.append(SqlInfo::FlightSqlServerSubstrait, false);
        sql.append(SqlInfo::FlightSqlServerTransaction, SqlSupportedTransaction::None as i32);
        sql.append(SqlInfo::FlightSqlServerCancel, false);
        sql.append(SqlInfo::FlightSqlServerStatementTimeout, 0_i32);
        sql.append(SqlInfo::FlightSqlServerTransactionTimeout, 0_i32);
        let types = XdbcTypeInfoDataBuilder::new().build().expect("it is empty");
        Known { sql: sql.build().expect("each is named once"), types }
    }
}

/// A fault as gRPC says it.
pub fn status(fault: &Fault) -> Status {
    let code = tonic::Code::from_i32(fault.code().number());
    match fault.after() {
        Some(after) => {
            let after = Duration::from_micros(after.micros().max(0) as u64);
            Status::with_error_details(code, fault.text(), ErrorDetails::with_retry_info(Some(after)))
        }
        None => Status::new(code, fault.text()),
    }
}

fn notes(metadata: &MetadataMap) -> Result<Notes, Fault> {
    let mut notes = Notes::default();
    for entry in metadata.iter() {
        let KeyAndValueRef::Ascii(name, value) = entry else { continue };
        let Ok(value) = value.to_str() else { continue };
        notes.take(name.as_str(), value)?;
    }
    Ok(notes)
}

/// What of a call is not its message.
struct Asked {
    notes: Notes,
    peer: Peer,
}

fn asked<T>(request: &Request<T>) -> Result<Asked, Status> {
    let notes = notes(request.metadata()).map_err(|fault| status(&fault))?;
    let peer = request.extensions().get::<Peer>().copied();
    Ok(Asked { notes, peer: peer.ok_or_else(|| status(&Fault::Errored))? })
}

fn no_transaction(id: Option<&Bytes>) -> Result<(), Fault> {
    id.is_none_or(Bytes::is_empty).then_some(()).ok_or(Fault::NotHere("no transactions are offered"))
}

impl FlightFront {
    /// Does a call's work while it counts as open on its connection. Whatever comes of it the call was answered; only one
    /// whose client leaves before was taken back.
    async fn within<T>(
        &self,
        line: LineId,
        work: impl Future<Output = Result<T, Status>>,
    ) -> Result<(T, Open), Status> {
        let mut open = self.counter.call(line).await.map_err(|fault| status(&fault))?;
        let done = work.await;
        open.answered = true;
        Ok((done?, open))
    }

    /// One op, from its admission to its final answer.
    async fn op(&self, text: &str, asked: &Asked, update: bool) -> Result<Served, Fault> {
        let came = self.clock.now();
        let statement = brief::op(text, &asked.notes, || fastrand::u64(1..))?;
        let due = came + TimeDelta::from_millis(statement.timeout_ms.into());
        let errand = Errand { statement, update, address: Some(asked.peer.address.ip()) };
        match self.hatch.ask(errand).await {
            Ok(Reply::Acked(served)) => Ok(served),
            Ok(Reply::Busy(after)) => Err(Fault::Busy(after)),
            Ok(Reply::Errored) if self.is_over(due) => Err(Fault::OutOfTime),
            Ok(Reply::Errored) => Err(Fault::Errored),
            Ok(Reply::Refused(why)) => Err(Fault::NoOp(why.to_string())),
            Err(Shut::Full) => Err(Fault::Busy(None)),
            Err(Shut::Ended) => Err(Fault::Errored),
        }
    }

    /// Whether the op's time is up, but for the tick by which an answer is early.
    fn is_over(&self, due: Timestamp) -> bool {
        due - self.clock.now() <= TimeDelta::from_millis(50)
    }

    async fn update(&self, text: &str, asked: &Asked) -> Result<i64, Fault> {
        match self.op(text, asked, true).await? {
            Served::Count(count) | Served::Value { count, .. } => Ok(count),
            Served::Flow { .. } => Err(Fault::Spoilt),
        }
    }

    /// The op of a ticket that was redeemed; it may come again if nothing of it ran.
    async fn query(&self, text: &str, asked: &Asked, stub: Option<Stub>) -> Result<Served, Fault> {
        let served = self.op(text, asked, false).await;
        // Danger: a client that comes back when it was told to holds a ticket that is spent.
        if let (Err(Fault::Busy(_) | Fault::NoOp(_)), Some(stub)) = (&served, stub) {
            self.counter.tell(Chore::GiveBack(stub));
        }
        served
    }

    fn plan_info(&self, descriptor: FlightDescriptor, ticket: Bytes, expires: Timestamp) -> FlightInfo {
        let any = TicketStatementQuery { statement_handle: ticket }.as_any();
        let expires = prost_types::Timestamp {
            seconds: expires.micros().div_euclid(1_000_000),
            nanos: (expires.micros().rem_euclid(1_000_000) * 1000) as i32,
        };
        let endpoint = FlightEndpoint {
            ticket: Some(Ticket { ticket: any.encode_to_vec().into() }),
            expiration_time: Some(expires),
            ..FlightEndpoint::default()
        };
        FlightInfo::new().with_descriptor(descriptor).with_endpoint(endpoint)
    }

    async fn plan(&self, text: String, descriptor: FlightDescriptor) -> Result<Response<FlightInfo>, Status> {
        let planned = self.counter.ask(|asker| Chore::Plan(text, asker)).await;
        let (ticket, expires) = planned.and_then(|planned| planned).map_err(|fault| status(&fault))?;
        Ok(Response::new(self.plan_info(descriptor, ticket, expires)))
    }

    async fn statement_of(&self, handle: Bytes) -> Result<String, Fault> {
        self.counter.ask(|asker| Chore::Statement(handle, asker)).await?
    }

    /// The messages of an answer as they go out. `open` and what the core keeps for it are held till the last is
    /// taken, or the client is gone.
    fn flow(&self, served: Served, mut open: Open) -> Result<Flow<FlightData>, Status> {
        match served {
            Served::Count(_) => Err(status(&Fault::Spoilt)),
            Served::Value { value, done, .. } => {
                let batch = one_value(&value).map_err(|_| status(&Fault::Spoilt))?;
                let schema = batch.schema();
                let flow = FlightDataEncoderBuilder::new()
                    .with_schema(schema)
                    .build(stream::iter([Ok::<_, FlightError>(batch)]))
                    .map_err(|_| status(&Fault::Spoilt));
                open.answered = true;
                Ok(Box::pin(flow.chain(held_till_here((done, open)))))
            }
            Served::Flow { held, rest, done } => {
                open.answered = rest.is_none();
                let held = stream::iter(held.into_iter().map(|(data, _)| Ok(data)));
                Ok(match rest {
                    None => Box::pin(held.chain(held_till_here((done, open)))),
                    Some(rest) => {
                        let going = Going { rest, open, last: None, _done: done };
                        Box::pin(held.chain(stream::unfold(Some(going), go_on)))
                    }
                })
            }
        }
    }
}

/// A result that goes on.
struct Going {
    rest: mpsc::Receiver<Piece>,
    open: Open,
    /// The room of the message that went out last, till the next is asked for.
    last: Option<Taken>,
    _done: oneshot::Sender<()>,
}

/// The next message of a result that goes on; the end only if the host said so.
async fn go_on(state: Option<Going>) -> Option<(Result<FlightData, Status>, Option<Going>)> {
    let mut going = state?;
    going.last = None;
    match going.rest.recv().await {
        Some(Piece::Data((data, room))) => {
            going.last = room;
            Some((Ok(data), Some(going)))
        }
        Some(Piece::End) => {
            going.open.answered = true;
            None
        }
        // Danger: a result that broke off, taken for a shorter one.
        None => {
            going.open.answered = true;
            Some((Err(status(&Fault::Cut)), None))
        }
    }
}

/// Yields nothing, and keeps what it is given till it is asked.
fn held_till_here<K: Send + 'static>(kept: K) -> impl Stream<Item = Result<FlightData, Status>> + Send {
    stream::once(async move { drop(kept) }).filter_map(|()| async { None })
}

fn value_schema() -> SchemaRef {
    Arc::new(Schema::new(vec![Field::new(COLUMN, DataType::Binary, false)]))
}

fn one_value(value: &[u8]) -> Result<RecordBatch, arrow_schema::ArrowError> {
    let column: ArrayRef = Arc::new(BinaryArray::from_iter_values([value]));
    RecordBatch::try_new(value_schema(), vec![column])
}

fn schema_bytes(schema: &Schema) -> Result<Bytes, Status> {
    let message: Result<IpcMessage, _> = SchemaAsIpc::new(schema, &IpcWriteOptions::default()).try_into();
    message.map(|message| message.0).map_err(|_| status(&Fault::Errored))
}

/// A plan for what is answered here: its ticket is the command itself.
fn info_of(
    command: &impl ProstMessageExt,
    descriptor: FlightDescriptor,
    schema: &Schema,
) -> Result<Response<FlightInfo>, Status> {
    let ticket = Ticket { ticket: command.as_any().encode_to_vec().into() };
    let info = FlightInfo::new().try_with_schema(schema).map_err(|_| status(&Fault::Errored))?;
    Ok(Response::new(
        info.with_descriptor(descriptor).with_endpoint(FlightEndpoint::new().with_ticket(ticket)),
    ))
}

fn answer_here<E>(batch: Result<RecordBatch, E>) -> Result<Response<Flow<FlightData>>, Status> {
    let batch = batch.map_err(|_| status(&Fault::Errored))?;
    let flow = FlightDataEncoderBuilder::new()
        .with_schema(batch.schema())
        .build(stream::iter([Ok::<_, FlightError>(batch)]))
        .map_err(|_| status(&Fault::Errored));
    Ok(Response::new(Box::pin(flow)))
}

/// Reads a client's stream to its end. Danger: an update whose client breaks off half way would run, and nobody would
/// hear of it.
async fn no_data(request: Request<PeekableFlightDataStream>, most: usize) -> Result<(), Status> {
    let mut stream = request.into_inner().into_peekable();
    let mut bytes = 0;
    while let Some(data) = stream.try_next().await? {
        bytes += data.app_metadata.len() + data.flight_descriptor.map_or(0, |told| told.cmd.len()) + 64;
        if bytes > most * 2 {
            return Err(status(&Fault::TooLarge("the client's stream")));
        }
        if !data.data_header.is_empty() || !data.data_body.is_empty() {
            return Err(status(&Fault::NoOp("an update by a statement has no data".to_string())));
        }
    }
    Ok(())
}

#[tonic::async_trait]
impl FlightSqlService for FlightFront {
    type FlightService = FlightFront;

    async fn get_flight_info_statement(
        &self,
        query: CommandStatementQuery,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        let asked = asked(&request)?;
        let work = async {
            no_transaction(query.transaction_id.as_ref()).map_err(|fault| status(&fault))?;
            let text = brief::merge(&query.query, &asked.notes).map_err(|fault| status(&fault))?;
            self.plan(text, request.into_inner()).await
        };
        self.within(asked.peer.line, work).await.map(|(told, _)| told)
    }

    async fn get_flight_info_prepared_statement(
        &self,
        query: CommandPreparedStatementQuery,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        let asked = asked(&request)?;
        let work = async {
            let text = self.statement_of(query.prepared_statement_handle).await;
            let text =
                text.and_then(|text| brief::merge(&text, &asked.notes)).map_err(|fault| status(&fault))?;
            self.plan(text, request.into_inner()).await
        };
        self.within(asked.peer.line, work).await.map(|(told, _)| told)
    }

    async fn do_get_statement(
        &self,
        ticket: TicketStatementQuery,
        request: Request<Ticket>,
    ) -> Result<Response<Flow<FlightData>>, Status> {
        let asked = asked(&request)?;
        let work = async {
            let redeemed = self.counter.ask(|asker| Chore::Redeem(ticket.statement_handle, asker)).await;
            let served = match redeemed.and_then(|redeemed| redeemed) {
                Ok((text, stub)) => self.query(&text, &asked, Some(stub)).await,
                Err(fault) => Err(fault),
            };
            served.map_err(|fault| status(&fault))
        };
        let (served, open) = self.within(asked.peer.line, work).await?;
        self.flow(served, open).map(Response::new)
    }

    async fn do_get_prepared_statement(
        &self,
        query: CommandPreparedStatementQuery,
        request: Request<Ticket>,
    ) -> Result<Response<Flow<FlightData>>, Status> {
        let asked = asked(&request)?;
        let work = async {
            let served = match self.statement_of(query.prepared_statement_handle).await {
                Ok(text) => self.query(&text, &asked, None).await,
                Err(fault) => Err(fault),
            };
            served.map_err(|fault| status(&fault))
        };
        let (served, open) = self.within(asked.peer.line, work).await?;
        self.flow(served, open).map(Response::new)
    }

    async fn do_put_statement_update(
        &self,
        command: CommandStatementUpdate,
        request: Request<PeekableFlightDataStream>,
    ) -> Result<i64, Status> {
        let asked = asked(&request)?;
        let work = async {
            no_transaction(command.transaction_id.as_ref()).map_err(|fault| status(&fault))?;
            no_data(request, self.limits.asked).await?;
            let count = self.update(&command.query, &asked).await;
            count.map_err(|fault| status(&fault))
        };
        self.within(asked.peer.line, work).await.map(|(told, _)| told)
    }

    async fn do_put_prepared_statement_update(
        &self,
        command: CommandPreparedStatementUpdate,
        request: Request<PeekableFlightDataStream>,
    ) -> Result<i64, Status> {
        let asked = asked(&request)?;
        let work = async {
            no_data(request, self.limits.asked).await?;
            let count = match self.statement_of(command.prepared_statement_handle).await {
                Ok(text) => self.update(&text, &asked).await,
                Err(fault) => Err(fault),
            };
            count.map_err(|fault| status(&fault))
        };
        self.within(asked.peer.line, work).await.map(|(told, _)| told)
    }

    async fn do_put_prepared_statement_query(
        &self,
        query: CommandPreparedStatementQuery,
        request: Request<PeekableFlightDataStream>,
    ) -> Result<DoPutPreparedStatementResult, Status> {
        let asked = asked(&request)?;
        let work = async {
            let mut stream = request.into_inner().into_peekable();
            let (mut all, mut bytes) = (Vec::new(), 0);
            while let Some(data) = stream.try_next().await? {
                bytes += data.data_header.len() + data.data_body.len() + 64;
                if bytes > self.limits.asked {
                    return Err(status(&Fault::TooLarge("the parameters")));
                }
                all.push(data);
            }
            let bound = match parameters(&all) {
                Ok(values) => {
                    let handle = query.prepared_statement_handle;
                    self.counter.ask(|asker| Chore::Bind(handle, values, asker)).await.and_then(|bound| bound)
                }
                Err(fault) => Err(fault),
            };
            let handle = bound.map_err(|fault| status(&fault))?;
            Ok(DoPutPreparedStatementResult { prepared_statement_handle: Some(handle) })
        };
        self.within(asked.peer.line, work).await.map(|(told, _)| told)
    }

    async fn do_action_create_prepared_statement(
        &self,
        query: ActionCreatePreparedStatementRequest,
        request: Request<Action>,
    ) -> Result<ActionCreatePreparedStatementResult, Status> {
        let asked = asked(&request)?;
        let work = async {
            no_transaction(query.transaction_id.as_ref()).map_err(|fault| status(&fault))?;
            let prepared = self.counter.ask(|asker| Chore::Prepare(query.query, asker)).await;
            let (handle, parameters) =
                prepared.and_then(|prepared| prepared).map_err(|fault| status(&fault))?;
            // The types of parameters are the host's to know; each is named, and none is typed.
            let fields: Vec<Field> = (1..=parameters)
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
        self.within(asked.peer.line, work).await.map(|(told, _)| told)
    }

    async fn do_action_close_prepared_statement(
        &self,
        query: ActionClosePreparedStatementRequest,
        request: Request<Action>,
    ) -> Result<(), Status> {
        let asked = asked(&request)?;
        let work = async {
            let handle = query.prepared_statement_handle;
            let closed =
                self.counter.ask(|asker| Chore::Close(handle, asker)).await.and_then(|closed| closed);
            closed.map_err(|fault| status(&fault))
        };
        self.within(asked.peer.line, work).await.map(|(told, _)| told)
    }

    async fn get_flight_info_sql_info(
        &self,
        query: CommandGetSqlInfo,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        let schema = query.clone().into_builder(&self.known.sql).schema();
        info_of(&query, request.into_inner(), &schema)
    }

    async fn do_get_sql_info(
        &self,
        query: CommandGetSqlInfo,
        _request: Request<Ticket>,
    ) -> Result<Response<Flow<FlightData>>, Status> {
        answer_here(query.into_builder(&self.known.sql).build())
    }

    async fn get_flight_info_xdbc_type_info(
        &self,
        query: CommandGetXdbcTypeInfo,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        let schema = query.into_builder(&self.known.types).schema();
        info_of(&query, request.into_inner(), &schema)
    }

    async fn do_get_xdbc_type_info(
        &self,
        query: CommandGetXdbcTypeInfo,
        _request: Request<Ticket>,
    ) -> Result<Response<Flow<FlightData>>, Status> {
        answer_here(query.into_builder(&self.known.types).build())
    }

    // Routers know no tables: what hosts hold is asked of them by statements. So these lists are empty.

    async fn get_flight_info_catalogs(
        &self,
        query: CommandGetCatalogs,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        info_of(&query, request.into_inner(), &query.into_builder().schema())
    }

    async fn do_get_catalogs(
        &self,
        query: CommandGetCatalogs,
        _request: Request<Ticket>,
    ) -> Result<Response<Flow<FlightData>>, Status> {
        answer_here(query.into_builder().build())
    }

    async fn get_flight_info_schemas(
        &self,
        query: CommandGetDbSchemas,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        info_of(&query, request.into_inner(), &query.clone().into_builder().schema())
    }

    async fn do_get_schemas(
        &self,
        query: CommandGetDbSchemas,
        _request: Request<Ticket>,
    ) -> Result<Response<Flow<FlightData>>, Status> {
        answer_here(query.into_builder().build())
    }

    async fn get_flight_info_tables(
        &self,
        query: CommandGetTables,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        info_of(&query, request.into_inner(), &query.clone().into_builder().schema())
    }

    async fn do_get_tables(
        &self,
        query: CommandGetTables,
        _request: Request<Ticket>,
    ) -> Result<Response<Flow<FlightData>>, Status> {
        answer_here(query.into_builder().build())
    }

    async fn get_flight_info_table_types(
        &self,
        query: CommandGetTableTypes,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        info_of(&query, request.into_inner(), &query.into_builder().schema())
    }

    async fn do_get_table_types(
        &self,
        query: CommandGetTableTypes,
        _request: Request<Ticket>,
    ) -> Result<Response<Flow<FlightData>>, Status> {
        answer_here(query.into_builder().build())
    }

    async fn get_flight_info_primary_keys(
        &self,
        query: CommandGetPrimaryKeys,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        info_of(&query, request.into_inner(), &primary_keys())
    }

    async fn do_get_primary_keys(
        &self,
        _query: CommandGetPrimaryKeys,
        _request: Request<Ticket>,
    ) -> Result<Response<Flow<FlightData>>, Status> {
        none_of(primary_keys())
    }

    async fn get_flight_info_exported_keys(
        &self,
        query: CommandGetExportedKeys,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        info_of(&query, request.into_inner(), &foreign_keys())
    }

    async fn do_get_exported_keys(
        &self,
        _query: CommandGetExportedKeys,
        _request: Request<Ticket>,
    ) -> Result<Response<Flow<FlightData>>, Status> {
        none_of(foreign_keys())
    }

    async fn get_flight_info_imported_keys(
        &self,
        query: CommandGetImportedKeys,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        info_of(&query, request.into_inner(), &foreign_keys())
    }

    async fn do_get_imported_keys(
        &self,
        _query: CommandGetImportedKeys,
        _request: Request<Ticket>,
    ) -> Result<Response<Flow<FlightData>>, Status> {
        none_of(foreign_keys())
    }

    async fn get_flight_info_cross_reference(
        &self,
        query: CommandGetCrossReference,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        info_of(&query, request.into_inner(), &foreign_keys())
    }

    async fn do_get_cross_reference(
        &self,
        _query: CommandGetCrossReference,
        _request: Request<Ticket>,
    ) -> Result<Response<Flow<FlightData>>, Status> {
        none_of(foreign_keys())
    }

    async fn do_action_begin_transaction(
        &self,
        _query: ActionBeginTransactionRequest,
        _request: Request<Action>,
    ) -> Result<ActionBeginTransactionResult, Status> {
        not_here("no transactions are offered")
    }

    async fn do_action_end_transaction(
        &self,
        _query: ActionEndTransactionRequest,
        _request: Request<Action>,
    ) -> Result<(), Status> {
        not_here("no transactions are offered")
    }

    async fn do_action_begin_savepoint(
        &self,
        _query: ActionBeginSavepointRequest,
        _request: Request<Action>,
    ) -> Result<ActionBeginSavepointResult, Status> {
        not_here("no savepoints are offered")
    }

    async fn do_action_end_savepoint(
        &self,
        _query: ActionEndSavepointRequest,
        _request: Request<Action>,
    ) -> Result<(), Status> {
        not_here("no savepoints are offered")
    }

    async fn do_action_cancel_query(
        &self,
        _query: ActionCancelQueryRequest,
        _request: Request<Action>,
    ) -> Result<ActionCancelQueryResult, Status> {
        not_here("a query is called off by cancelling its call")
    }

    async fn do_put_statement_ingest(
        &self,
        _command: CommandStatementIngest,
        _request: Request<PeekableFlightDataStream>,
    ) -> Result<i64, Status> {
        not_here("no bulk ingestion is offered")
    }

    async fn register_sql_info(&self, _id: i32, _info: &SqlInfo) {}
}

fn not_here<T>(why: &'static str) -> Result<T, Status> {
    Err(status(&Fault::NotHere(why)))
}

fn text(name: &str, nullable: bool) -> Field {
    Field::new(name, DataType::Utf8, nullable)
}

/// As the protocol lays out a list of primary keys.
fn primary_keys() -> Schema {
    Schema::new(vec![
        text("catalog_name", true),
        text("db_schema_name", true),
        text("table_name", false),
        text("column_name", false),
        text("key_name", true),
        Field::new("key_sequence", DataType::Int32, false),
    ])
}

/// As the protocol lays out lists of keys of two tables.
fn foreign_keys() -> Schema {
    let of = |side: &str| {
        [("catalog_name", true), ("db_schema_name", true), ("table_name", false), ("column_name", false)]
            .map(|(name, nullable)| text(&format!("{side}_{name}"), nullable))
    };
    let mut fields: Vec<Field> = of("pk").into_iter().chain(of("fk")).collect();
    fields.push(Field::new("key_sequence", DataType::Int32, false));
    fields.extend([text("fk_key_name", true), text("pk_key_name", true)]);
    fields.extend(["update_rule", "delete_rule"].map(|name| Field::new(name, DataType::UInt8, false)));
    Schema::new(fields)
}

fn none_of(schema: Schema) -> Result<Response<Flow<FlightData>>, Status> {
    answer_here(Ok::<_, FlightError>(RecordBatch::new_empty(Arc::new(schema))))
}

/// The values that a client's stream binds.
fn parameters(all: &[FlightData]) -> Result<Vec<Literal>, Fault> {
    let mut checker = arrowyard_flight::batches::Checker::new(arrowyard_flight::batches::Bounds {
        fields: 256,
        unpacked: 1 << 20,
    });
    // Danger: what the decoder trusts is the client's word. It sees only what fits together.
    for data in all {
        checker
            .take(&data.data_header, &data.data_body)
            .map_err(|spoilt| Fault::NoOp(format!("the parameters: {}", spoilt.0)))?;
    }
    let batches =
        flight_data_to_batches(all).map_err(|_| Fault::NoOp("the parameters cannot be read".to_string()))?;
    match batches.as_slice() {
        [batch] => bind::literals(batch),
        _ => Err(Fault::NoOp("parameters come as one batch".to_string())),
    }
}
