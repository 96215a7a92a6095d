//! One database host on Arrow Flight SQL, as far as a router needs it.

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

use crate::host::{Place, Ran, arrive, run, told};
use crate::town::{Act, KEPT, Shared, lock, unix_ms};

/// Ends a connection at once, whatever is under way on it.
#[derive(Default)]
pub struct Cut {
    cut: AtomicBool,
    waker: AtomicWaker,
}

impl Cut {
    pub fn now(&self) {
        self.cut.store(true, Ordering::SeqCst);
        self.waker.wake();
    }
}

struct Cuttable {
    stream: TcpStream,
    number: usize,
    cut: Arc<Cut>,
}

impl AsyncRead for Cuttable {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.cut.waker.register(cx.waker());
        if self.cut.cut.load(Ordering::SeqCst) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Cuttable {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.cut.cut.load(Ordering::SeqCst) {
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

/// The connection that a call came over.
#[derive(Clone)]
struct Line {
    number: usize,
    cut: Arc<Cut>,
}

impl Connected for Cuttable {
    type ConnectInfo = Line;

    fn connect_info(&self) -> Line {
        Line { number: self.number, cut: self.cut.clone() }
    }
}

/// Serves till it is killed.
pub(crate) fn serve(state: Shared, name: String, listener: TcpListener) {
    let (owner, of) = (state.clone(), name.clone());
    let host = FlightHost { state, name };
    let incoming =
        stream::unfold((listener, owner.clone(), of.clone()), |(listener, owner, of)| async move {
            let stream = loop {
                match listener.accept().await {
                    Ok((stream, _)) => break stream,
                    Err(_) => sleep(Duration::from_millis(5)).await,
                }
            };
            let _ = stream.set_nodelay(true);
            let cut = Arc::new(Cut::default());
            let number = {
                let mut locked = lock(&owner);
                let host = locked.hosts.get_mut(&of).expect("it is in the town");
                host.cuts.push(cut.clone());
                host.accepted += 1;
                host.accepted - 1
            };
            Some((Ok::<_, io::Error>(Cuttable { stream, number, cut }), (listener, owner, of)))
        });
    let service = FlightServiceServer::new(host).max_encoding_message_size(usize::MAX);
    let serving = tokio::spawn(async move {
        let _ = Server::builder().add_service(service).serve_with_incoming(incoming).await;
    });
    lock(&owner).hosts.get_mut(&of).expect("it is in the town").tasks.push(serving.abort_handle());
}

#[derive(Clone)]
struct FlightHost {
    state: Shared,
    name: String,
}

type Flow<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

/// A call that came to nothing: it never ran, or its connection ends.
fn never(why: &'static str) -> Status {
    let mut metadata = MetadataMap::new();
    metadata.insert("arrowyard-never", why.parse().expect("it is ASCII"));
    Status::with_metadata(tonic::Code::Unavailable, "nothing ran", metadata)
}

async fn end(line: &Line) -> Status {
    line.cut.now();
    // Till its connection has ended.
    std::future::pending::<()>().await;
    Status::unknown("never seen")
}

impl FlightHost {
    fn said<T>(&self, response: &mut Response<T>, ran: &Ran, text: &str) {
        let metadata = response.metadata_mut();
        let role = if ran.primary { "primary" } else { "replica" };
        metadata.insert("arrowyard-role", role.parse().expect("it is ASCII"));
        if let Some(position) = ran.position {
            metadata.insert("arrowyard-position", position.into());
        }
        if let Some(id) = told(text, "id").and_then(|id| id.parse().ok()) {
            metadata.insert("arrowyard-id", id);
        }
    }

    /// Runs the statement as its script says; what it came to, and the act that its answer is given by.
    async fn command(&self, text: &str, line: &Line) -> Result<(Ran, Act), Status> {
        let FlightHost { state, name } = self;
        if let Some(host) = lock(state).hosts.get_mut(name).filter(|host| host.heard.len() < KEPT) {
            host.heard.push((line.number, text.to_string()));
        }
        let (act, service) = arrive(state, name).ok_or_else(|| Status::unknown("it is gone"))?;
        match act {
            Act::TurnAway => return Err(never("full")),
            Act::Miss => return Err(never("miss")),
            Act::Fail => return Err(Status::internal("it failed")),
            Act::Break => return Err(end(line).await),
            Act::Hang => std::future::pending::<()>().await,
            _ => {}
        }
        let place = loop {
            if let Some(place) = Place::take(state, name) {
                break place;
            }
            sleep(Duration::from_millis(1)).await;
        };
        let slow = if let Act::Slow(slow) = act { slow } else { Duration::ZERO };
        if !(service + slow).is_zero() {
            sleep(service + slow).await;
        }
        let ran = run(state, name, text);
        drop(place);
        if ran.value.is_none() {
            return Err(never("miss"));
        }
        if act == Act::LoseAnswer {
            return Err(end(line).await);
        }
        Ok((ran, act))
    }
}

fn batch(value: &[u8]) -> RecordBatch {
    let schema = Arc::new(Schema::new(vec![Field::new("payload", DataType::Binary, false)]));
    let column: ArrayRef = Arc::new(BinaryArray::from_iter_values([value]));
    RecordBatch::try_new(schema, vec![column]).expect("the column is of its type")
}

fn line_of<T>(request: &Request<T>) -> Line {
    request.extensions().get::<Line>().expect("each call has its connection").clone()
}

fn command_of(any: &[u8]) -> Result<Command, Status> {
    let any = Any::decode(any).map_err(|error| Status::invalid_argument(error.to_string()))?;
    Command::try_from(any).map_err(|error| Status::invalid_argument(error.to_string()))
}

fn not_here<T>() -> Result<T, Status> {
    Err(Status::unimplemented("a database host offers no such call"))
}

#[tonic::async_trait]
impl FlightService for FlightHost {
    type HandshakeStream = Flow<HandshakeResponse>;
    type ListFlightsStream = Flow<FlightInfo>;
    type DoGetStream = Flow<FlightData>;
    type DoPutStream = Flow<PutResult>;
    type DoActionStream = Flow<arrow_flight::Result>;
    type ListActionsStream = Flow<ActionType>;
    type DoExchangeStream = Flow<FlightData>;

    async fn handshake(
        &self,
        _: Request<Streaming<HandshakeRequest>>,
    ) -> Result<Response<Flow<HandshakeResponse>>, Status> {
        not_here()
    }

    async fn list_flights(&self, _: Request<Criteria>) -> Result<Response<Flow<FlightInfo>>, Status> {
        not_here()
    }

    async fn get_flight_info(
        &self,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        let Command::CommandStatementQuery(query) = command_of(&request.get_ref().cmd)? else {
            return not_here();
        };
        let any = TicketStatementQuery { statement_handle: query.query.into() }.as_any();
        let endpoint = FlightEndpoint::new().with_ticket(Ticket { ticket: any.encode_to_vec().into() });
        Ok(Response::new(FlightInfo::new().with_descriptor(request.into_inner()).with_endpoint(endpoint)))
    }

    async fn poll_flight_info(&self, _: Request<FlightDescriptor>) -> Result<Response<PollInfo>, Status> {
        not_here()
    }

    async fn get_schema(&self, _: Request<FlightDescriptor>) -> Result<Response<SchemaResult>, Status> {
        not_here()
    }

    async fn do_get(&self, request: Request<Ticket>) -> Result<Response<Flow<FlightData>>, Status> {
        let Command::TicketStatementQuery(ticket) = command_of(&request.get_ref().ticket)? else {
            return not_here();
        };
        let text =
            String::from_utf8(ticket.statement_handle.to_vec()).map_err(|_| Status::internal("no text"))?;
        let line = line_of(&request);
        let (ran, act) = self.command(&text, &line).await?;
        let (batches, bytes) = {
            let spec = &lock(&self.state).hosts[&self.name].spec;
            (spec.batches, spec.batch_bytes)
        };
        let value = ran.value.clone().unwrap_or_default().into_bytes();
        let all = (0..batches).map(move |number| {
            let value = if number == 0 { value.clone() } else { vec![number as u8; bytes] };
            Ok::<_, FlightError>(batch(&value))
        });
        let schema = batch(b"").schema();
        let flow = FlightDataEncoderBuilder::new()
            .with_schema(schema)
            .with_max_flight_data_size(usize::MAX)
            .build(stream::iter(all))
            .map_err(|error| Status::internal(error.to_string()));
        let flow: Flow<FlightData> = match act {
            Act::Spoil => {
                let noise = FlightData { data_header: vec![7; 40].into(), ..FlightData::default() };
                Box::pin(flow.take(1).chain(stream::iter([Ok(noise)])))
            }
            Act::ServeTwice => {
                let again: Vec<_> = flow.collect().await;
                let again = again.into_iter().map(|data| data.expect("it is encoded"));
                let twice: Vec<_> = again.clone().chain(again).map(Ok).collect();
                Box::pin(stream::iter(twice))
            }
            Act::CutAfter(most) => {
                let cut = stream::once(async move {
                    // What was sent before is on its way first.
                    sleep(Duration::from_millis(20)).await;
                    Err(end(&line).await)
                });
                // The schema is one more.
                Box::pin(flow.take(most + 1).chain(cut))
            }
            _ => Box::pin(flow),
        };
        let mut response = Response::new(flow);
        // A host that mixes its calls up names the op that it believes to answer.
        let named = if act == Act::Mixed { "/* id=ffffffffffffffff */" } else { &text };
        self.said(&mut response, &ran, named);
        Ok(response)
    }

    async fn do_put(
        &self,
        request: Request<Streaming<FlightData>>,
    ) -> Result<Response<Flow<PutResult>>, Status> {
        let line = line_of(&request);
        let first = request.into_inner().message().await?.and_then(|data| data.flight_descriptor);
        let first = first.ok_or_else(|| Status::invalid_argument("no command"))?;
        let Command::CommandStatementUpdate(command) = command_of(&first.cmd)? else { return not_here() };
        let (ran, act) = self.command(&command.query, &line).await?;
        let mut result = DoPutUpdateResult { record_count: 1 }.encode_to_vec();
        match act {
            Act::Spoil => result = b"\x01\x02noise".to_vec(),
            Act::CutAfter(_) => return Err(end(&line).await),
            _ => {}
        }
        let result = PutResult { app_metadata: result.into() };
        let mut response: Response<Flow<PutResult>> = Response::new(Box::pin(stream::iter([Ok(result)])));
        let named = if act == Act::Mixed { "/* id=ffffffffffffffff */" } else { &command.query };
        self.said(&mut response, &ran, named);
        Ok(response)
    }

    async fn list_actions(&self, _: Request<Empty>) -> Result<Response<Flow<ActionType>>, Status> {
        not_here()
    }

    async fn do_exchange(
        &self,
        _: Request<Streaming<FlightData>>,
    ) -> Result<Response<Flow<FlightData>>, Status> {
        not_here()
    }

    async fn do_action(
        &self,
        request: Request<Action>,
    ) -> Result<Response<Flow<arrow_flight::Result>>, Status> {
        if request.get_ref().r#type != "arrowyard.report" {
            return not_here();
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
