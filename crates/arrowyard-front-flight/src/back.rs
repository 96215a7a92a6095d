//! Sends and probes to hosts that speak Flight SQL.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use arrow_flight::sql::{CommandStatementQuery, CommandStatementUpdate, DoPutUpdateResult, ProstMessageExt};
use arrow_flight::{Action, FlightData, FlightDescriptor, FlightInfo, PutResult};
use arrowyard_core::Limits;
use arrowyard_core::back::{Back, Progress, Told};
use arrowyard_core::clock::Clock;
use arrowyard_core::count::Count;
use arrowyard_flight::batches::{Bounds, Checker};
use arrowyard_flight::hold::{Holds, Next as Held};
use arrowyard_flight::status::{NEVER, outcome};
use arrowyard_pg::{Statement, parse_load_report};
use arrowyard_types::{HostId, HostStatus, Outcome, Role, Timestamp};
use bytes::Bytes;
use http::{HeaderMap, Request};
use prost::Message;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, timeout};

use crate::answer::{Answer, Errand, Large, Piece, Room};
use crate::limits::FlightLimits;
use crate::link::{Body, Broken, Call, Line, Next};

/// The metadata by which a host tells its role (`primary` or `replica`), and how far its copy is, in Unix milliseconds.
pub const ROLE: &str = "arrowyard-role";
pub const POSITION: &str = "arrowyard-position";
/// The metadata by which a host names the op that it answers, as the statement's comment does.
pub const ID: &str = "arrowyard-id";
/// The action whose one result is a host's load report, as in `position=1700000000000,primary=1,util=0.61,queue=2`.
pub const REPORT: &str = "arrowyard.report";

pub struct FlightBack {
    lines: RefCell<BTreeMap<HostId, Vec<Rc<Line>>>>,
    /// Dials under way.
    dials: RefCell<BTreeMap<HostId, Rc<Dial>>>,
    /// The bytes that large messages take.
    large: Arc<Large>,
    /// When a host was last done with a call.
    heard: RefCell<BTreeMap<HostId, Instant>>,
    open: Rc<Cell<usize>>,
    dialed: Cell<u64>,
    holds: Rc<RefCell<Holds>>,
    limits: Rc<Limits>,
    flight: FlightLimits,
}

/// A dial that others wait for.
#[derive(Default)]
struct Dial {
    failed: Cell<bool>,
    done: Notify,
}

/// A dial under way is over with this, whether it came to its end or was called off.
struct Dialing<'a> {
    back: &'a FlightBack,
    host: HostId,
    dial: Rc<Dial>,
}

impl Drop for Dialing<'_> {
    fn drop(&mut self) {
        self.back.dials.borrow_mut().remove(&self.host);
        self.dial.done.notify_waiters();
    }
}

/// How a call ended that is no answer.
enum Fail {
    /// With this outcome, and what the host said of itself.
    Told(Outcome, HostStatus),
    Broken(String),
    /// What came makes no sense: the call is given up, and may have run.
    Spoilt(&'static str),
    /// The client is gone.
    Left,
}

impl From<Broken> for Fail {
    fn from(Broken(why): Broken) -> Self {
        Fail::Broken(why)
    }
}

impl FlightBack {
    pub fn new(limits: Rc<Limits>, flight: FlightLimits) -> Self {
        let (lines, dials, heard, open, dialed) = Default::default();
        let large = Large::new(limits.large / 2);
        let holds = Rc::new(RefCell::new(Holds::new(flight.held_each, flight.held_all)));
        FlightBack { lines, dials, large, heard, open, dialed, holds, limits, flight }
    }

    /// A connection with room for one more stream. Danger: a burst of sends dials its host as often as there are sends;
    /// one dial at a time is under way, and the others wait for it. If it fails it does for all that waited.
    async fn line(&self, host: HostId, dial: SocketAddr) -> Result<Rc<Line>, Broken> {
        loop {
            if let Some(line) = self.free(host, dial) {
                return Ok(line);
            }
            let under_way = self.dials.borrow().get(&host).cloned();
            let Some(other) = under_way else { break };
            other.done.notified().await;
            if other.failed.get() {
                return Err(Broken("the dial that was waited for failed".to_string()));
            }
        }
        if self.open.get() >= self.limits.links && !self.close_oldest() {
            return Err(Broken("no connection to hosts is left".to_string()));
        }
        let dialing = Dialing { back: self, host, dial: Rc::default() };
        self.dials.borrow_mut().insert(host, dialing.dial.clone());
        self.dialed.set(self.dialed.get() + 1);
        let opened = Line::open(dial, Count::one(&self.open), self.flight.window, &self.limits).await;
        dialing.dial.failed.set(opened.is_err());
        let line = Rc::new(opened?);
        self.lines.borrow_mut().entry(host).or_default().push(line.clone());
        Ok(line)
    }

    fn free(&self, host: HostId, dial: SocketAddr) -> Option<Rc<Line>> {
        let mut lines = self.lines.borrow_mut();
        let lines = lines.get_mut(&host)?;
        // One that is going away is let go; its streams hold it till they end.
        lines.retain(|line| line.is_open() && line.dial() == dial);
        let free = lines.iter().filter(|line| line.streams() < self.flight.streams_out);
        free.max_by_key(|line| line.streams()).cloned()
    }

    fn close_oldest(&self) -> bool {
        let mut lines = self.lines.borrow_mut();
        let idle = lines.iter().flat_map(|(host, lines)| lines.iter().map(move |line| (*host, line)));
        let oldest = idle.filter_map(|(host, line)| Some((line.idle_since()?, host))).min();
        let Some((since, host)) = oldest else { return false };
        let Some(of) = lines.get_mut(&host) else { return false };
        of.retain(|line| line.idle_since() != Some(since));
        true
    }

    /// One call from its first byte to the heads of its answer. `queued` hears when it may be wholly written.
    async fn call(
        &self,
        line: &Rc<Line>,
        method: &str,
        message: &impl Message,
        wait_ms: u64,
        queued: impl FnOnce(),
    ) -> Result<(Call, HeaderMap, Body), Fail> {
        let request =
            Request::post(format!("http://{}/arrow.flight.protocol.FlightService/{method}", line.dial()))
                .header("te", "trailers")
                .header("content-type", "application/grpc")
                .header("grpc-timeout", format!("{}m", wait_ms.min(99_999_999)))
                .body(())
                .map_err(Broken::from)?;
        let mut call = line.begin(request).await?;
        let told = async {
            call.write(&message.encode_to_vec(), queued).await?;
            call.answer().await
        };
        let (head, body) = match told.await {
            Ok(told) => told,
            Err(Broken(why)) => {
                let proven = call.never_ran();
                return Err(if proven {
                    Fail::Told(Outcome::ConnectFailed, HostStatus::default())
                } else {
                    Fail::Broken(why)
                });
            }
        };
        let word = word(&head);
        // A call that failed at once has its status among the heads.
        ended(&head, word).map(|()| (call, head, body))
    }

    /// The one message of an answer, and the word with its end.
    async fn only(&self, mut word: HostStatus, body: &mut Body) -> Result<(Bytes, HostStatus), Fail> {
        let mut only = None;
        loop {
            match body.next(self.limits.message, (self.limits.message, &self.large), |_| ()).await? {
                Next::Message(message, _) if only.is_none() => only = Some(message),
                Next::Message(..) => return Err(Fail::Spoilt("a second message")),
                Next::End(trailers) => {
                    learn(&mut word, &trailers);
                    ended(&trailers, word)?;
                    if !trailers.contains_key("grpc-status") {
                        return Err(Fail::Broken("an answer without a status".to_string()));
                    }
                    return Ok((only.ok_or(Fail::Spoilt("no message"))?, word));
                }
            }
        }
    }

    async fn update(
        &self,
        line: &Rc<Line>,
        statement: &Statement,
        wait: u64,
        queued: impl FnOnce(),
    ) -> Result<(i64, HostStatus), Fail> {
        let command =
            CommandStatementUpdate { query: statement.text_with_timeout(wait), transaction_id: None };
        let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
        let data = FlightData { flight_descriptor: Some(descriptor), ..FlightData::default() };
        let (_call, head, mut body) = self.call(line, "DoPut", &data, wait, queued).await?;
        is_of(&head, statement)?;
        let (message, word) = self.only(word(&head), &mut body).await?;
        let result = PutResult::decode(message).map_err(|_| Fail::Spoilt("a result that cannot be read"))?;
        let count = DoPutUpdateResult::decode(result.app_metadata);
        Ok((count.map_err(|_| Fail::Spoilt("a result that cannot be read"))?.record_count, word))
    }

    /// Plans at the host, and takes the result.
    async fn query(
        &self,
        line: &Rc<Line>,
        statement: &Statement,
        wait: u64,
        progress: &Progress<Answer>,
    ) -> Result<(Option<Answer>, HostStatus), Fail> {
        let command =
            CommandStatementQuery { query: statement.text_with_timeout(wait), transaction_id: None };
        let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
        // Danger: nothing keeps a host from running a statement as it plans it. So it may have run from here on.
        let queued = || progress.written();
        let (_call, head, mut body) = self.call(line, "GetFlightInfo", &descriptor, wait, queued).await?;
        let (message, _) = self.only(word(&head), &mut body).await?;
        let info = FlightInfo::decode(message).map_err(|_| Fail::Spoilt("a plan that cannot be read"))?;
        let mut endpoints = info.endpoint.into_iter();
        let ticket = endpoints.next().and_then(|endpoint| endpoint.ticket);
        let (Some(ticket), None) = (ticket, endpoints.next()) else {
            return Err(Fail::Spoilt("a plan that is not of one part"));
        };
        let (_call, head, mut body) =
            self.call(line, "DoGet", &ticket, wait, || ()).await.map_err(|fail| match fail {
                // What was planned may have run, whatever is proven of the second call alone.
                Fail::Told(Outcome::ConnectFailed, _) => {
                    Fail::Broken("refused after it was planned".to_string())
                }
                fail => fail,
            })?;
        is_of(&head, statement)?;
        let word = word(&head);
        self.flow(word, &mut body, progress).await.map(|answer| (answer, word))
    }

    /// Takes a result's messages: held up to a bound, then passed on as they come. `word` is as of its begin.
    async fn flow(
        &self,
        word: HostStatus,
        body: &mut Body,
        progress: &Progress<Answer>,
    ) -> Result<Option<Answer>, Fail> {
        let FlightLimits { fields, unpacked, message, ahead, .. } = self.flight;
        let mut checker = Checker::new(Bounds { fields, unpacked });
        let (mut held, mut room) = (Vec::new(), Room::new(self.holds.clone()));
        let mut client: Option<mpsc::Sender<Piece>> = None;
        let large = (self.limits.message, &self.large);
        // Danger: a router without room for a large message makes a host that answered in time look ill.
        let waits = |for_room| progress.held_up(for_room);
        loop {
            let next = match &client {
                None => body.next(message, large, waits).await?,
                Some(client) => tokio::select! {
                    biased;
                    next = body.next(message, large, waits) => next?,
                    // Danger: the client left, and the host goes on sending for nobody.
                    () = client.closed() => return Err(Fail::Left),
                },
            };
            match next {
                Next::Message(bytes, room_of) => {
                    let size = bytes.len();
                    let data = FlightData::decode(bytes)
                        .map_err(|_| Fail::Spoilt("a message that cannot be read"))?;
                    // A message of metadata alone says nothing of the result.
                    if data.data_header.is_empty() && data.data_body.is_empty() {
                        continue;
                    }
                    checker
                        .take(&data.data_header, &data.data_body)
                        .map_err(|spoilt| Fail::Spoilt(spoilt.0))?;
                    if let Some(client) = &client {
                        progress.held_up(true);
                        client.send(Piece::Data((data, room_of))).await.map_err(|_| Fail::Left)?;
                        progress.held_up(false);
                        continue;
                    }
                    let passes = room.batch(size) != Held::Hold;
                    held.push((data, room_of));
                    if passes {
                        let (more, rest) = mpsc::channel(ahead);
                        let (held, room) = (
                            std::mem::take(&mut held),
                            std::mem::replace(&mut room, Room::new(self.holds.clone())),
                        );
                        progress.begin(Answer::Flow { held, rest: Some(rest), room });
                        client = Some(more);
                        // The client has it before the next is read, or is gone.
                        tokio::task::yield_now().await;
                    }
                }
                Next::End(trailers) => {
                    ended(&trailers, word)?;
                    if !trailers.contains_key("grpc-status") {
                        return Err(Fail::Broken("a result without a status".to_string()));
                    }
                    if !checker.has_schema() {
                        return Err(Fail::Spoilt("a result without a schema"));
                    }
                    let Some(client) = client else {
                        return Ok(Some(Answer::Flow { held, rest: None, room }));
                    };
                    progress.held_up(true);
                    client.send(Piece::End).await.map_err(|_| Fail::Left)?;
                    progress.held_up(false);
                    return Ok(None);
                }
            }
        }
    }

    async fn report(&self, host: HostId, dial: SocketAddr) -> Result<HostStatus, Fail> {
        let line = self
            .line(host, dial)
            .await
            .map_err(|_| Fail::Told(Outcome::ConnectFailed, HostStatus::default()))?;
        let action = Action { r#type: REPORT.to_string(), body: Bytes::new() };
        let wait = self.limits.connect.as_millis() as u64;
        let (_call, head, mut body) = self.call(&line, "DoAction", &action, wait, || ()).await?;
        let (message, mut word) = self.only(word(&head), &mut body).await?;
        let result = arrow_flight::Result::decode(message)
            .map_err(|_| Fail::Spoilt("a report that cannot be read"))?;
        let text = String::from_utf8(result.body.to_vec()).ok();
        // Danger: a report that cannot be read, taken for word that all is well.
        let told = text
            .as_deref()
            .and_then(parse_load_report)
            .ok_or(Fail::Spoilt("a report that cannot be read"))?;
        for (name, number) in told {
            match name.as_str() {
                "position" => word.position = Some(Timestamp::from_micros((number * 1000.0) as i64)),
                "primary" => word.role = Some(if number == 1.0 { Role::Primary } else { Role::Replica }),
                "util" => word.cpu_utilization = Some(number),
                "queue" => word.queued_ops = Some(number),
                _ => {}
            }
        }
        self.heard.borrow_mut().insert(host, Instant::now());
        Ok(word)
    }
}

/// Danger: a host, or what stands before it, mixes its streams up, and one client is answered with another's values.
/// Where the host names the op, it has to be this one.
fn is_of(head: &HeaderMap, statement: &Statement) -> Result<(), Fail> {
    let named = head.get(ID).and_then(|id| id.to_str().ok());
    let same = named.is_none_or(|named| Statement::parse_id(named) == statement.id);
    same.then_some(()).ok_or(Fail::Spoilt("an answer to another op"))
}

/// What a host says of itself in metadata.
fn word(head: &HeaderMap) -> HostStatus {
    let mut word = HostStatus::default();
    learn(&mut word, head);
    word
}

fn learn(word: &mut HostStatus, head: &HeaderMap) {
    let text = |name| head.get(name).and_then(|value| value.to_str().ok());
    word.role = match text(ROLE) {
        Some("primary") => Some(Role::Primary),
        Some("replica") => Some(Role::Replica),
        _ => word.role,
    };
    let position = text(POSITION).and_then(|millis| millis.parse::<i64>().ok());
    word.position =
        position.map(|millis| Timestamp::from_micros(millis.saturating_mul(1000))).or(word.position);
}

/// Whether a status stands there that is no success.
fn ended(head: &HeaderMap, mut word: HostStatus) -> Result<(), Fail> {
    let Some(status) = head.get("grpc-status") else { return Ok(()) };
    let code = status.to_str().ok().and_then(|code| code.parse().ok()).unwrap_or(2);
    let never = head.get(NEVER).and_then(|never| never.to_str().ok());
    match outcome(code, never) {
        Outcome::Acked => Ok(()),
        outcome => {
            learn(&mut word, head);
            Err(Fail::Told(outcome, word))
        }
    }
}

impl Back for FlightBack {
    type Payload = Errand;
    type Answer = Answer;

    fn sweep(&self) {
        let idle = self.limits.idle;
        let stays =
            |line: &Rc<Line>| line.idle_since().is_none_or(|since| line.is_open() && since.elapsed() < idle);
        self.lines.borrow_mut().values_mut().for_each(|lines| lines.retain(stays));
        let oldest = self.limits.forget;
        self.heard.borrow_mut().retain(|_, heard| heard.elapsed() < oldest);
    }

    async fn exchange(
        &self,
        host: HostId,
        dial: SocketAddr,
        errand: &Errand,
        until: Timestamp,
        clock: Clock,
        progress: &Progress<Answer>,
    ) -> Told<Answer> {
        let line = match self.line(host, dial).await {
            Ok(line) => line,
            Err(Broken(why)) => {
                tracing::debug!(%dial, "not connected: {why}");
                return (Outcome::ConnectFailed, HostStatus::default(), None);
            }
        };
        // Whole milliseconds, and the host must not give up before the router does.
        let wait = ((until - clock.now()).micros().max(0) as u64).div_ceil(1000);
        let Errand { statement, update, .. } = errand;
        let done = if *update {
            self.update(&line, statement, wait, || progress.written())
                .await
                .map(|(count, word)| (Some(Answer::Count(count)), word))
        } else {
            self.query(&line, statement, wait, progress).await
        };
        if matches!(done, Ok(_) | Err(Fail::Told(..))) {
            self.heard.borrow_mut().insert(host, Instant::now());
        }
        match done {
            Ok((answer, word)) => (Outcome::Acked, word, answer),
            Err(Fail::Told(outcome, word)) => (outcome, word, None),
            Err(Fail::Left) => (Outcome::Cancelled, HostStatus::default(), None),
            Err(Fail::Spoilt(why)) => {
                tracing::warn!(%dial, "a spoilt result: {why}");
                (Outcome::Reset, HostStatus::default(), None)
            }
            Err(Fail::Broken(why)) => {
                tracing::debug!(%dial, "broken: {why}");
                let outcome = if progress.is_written() { Outcome::Reset } else { Outcome::ConnectFailed };
                (outcome, HostStatus::default(), None)
            }
        }
    }

    async fn probe(&self, host: HostId, dial: SocketAddr) -> (Outcome, HostStatus) {
        match timeout(self.limits.connect, self.report(host, dial)).await {
            Ok(Ok(word)) => (Outcome::Acked, word),
            Ok(Err(Fail::Told(outcome, word))) => (outcome, word),
            Ok(Err(Fail::Spoilt(_))) => (Outcome::Errored, HostStatus::default()),
            Ok(Err(_)) => (Outcome::Reset, HostStatus::default()),
            Err(_) => (Outcome::TimedOut, HostStatus::default()),
        }
    }

    /// Danger: a machine that is gone leaves its connections open, and each send over one of them waits in vain.
    fn unanswered(&self, host: HostId, since: Instant) {
        if self.heard.borrow().get(&host).is_none_or(|heard| *heard < since) {
            self.lines.borrow_mut().remove(&host);
        }
    }

    fn close_idle(&self, host: HostId) {
        let mut lines = self.lines.borrow_mut();
        if let Some(lines) = lines.get_mut(&host) {
            lines.retain(|line| line.streams() > 0);
        }
    }

    fn open(&self) -> usize {
        self.open.get()
    }

    fn dialed(&self) -> u64 {
        self.dialed.get()
    }
}
