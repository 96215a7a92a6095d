//! Clients: connections are accepted, messages decoded, and the time at which an op came is stamped.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::IpAddr;
use std::rc::Rc;

use arrowyard_core::admit::{Admitted, Gate};
use arrowyard_core::clock::Beat;
use arrowyard_core::count::Count;
use arrowyard_core::drain::Stage;
use arrowyard_core::leases;
use arrowyard_core::mail::Mail;
use arrowyard_core::{Call, Limits, Reply};
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

/// What the statement's comment says of its op.
pub fn op_call(statement: &Statement, address: Option<IpAddr>) -> Call<'_> {
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
    Call {
        id: *id,
        op_type,
        tenant: tenant.as_deref(),
        group: *group,
        wait_ms: *timeout_ms,
        after: *last_commit_ms,
        again: *is_retry,
        token: *token,
        session: *session_key,
        address,
        bytes: statement.text_bytes(),
    }
}

/// What the connections of all clients share.
pub struct Frontend {
    pub gate: Rc<Gate>,
    pub mail: mpsc::Sender<Mail<PgBackend>>,
    pub clients: Rc<Cell<usize>>,
    pub idle_connections: IdleConnections,
    pub stage: watch::Receiver<Stage>,
    pub beat: Rc<Beat>,
    pub limits: Rc<Limits>,
}

/// A connection's place among those of all clients; empty once it was told to make room.
type ConnectionSlot = Rc<RefCell<Option<Count>>>;

/// Connections that wait for a message, the longest idle first. Those that are gone on are left in until there
/// are too many.
#[derive(Default)]
pub struct IdleConnections(RefCell<VecDeque<(oneshot::Sender<()>, ConnectionSlot)>>);

impl IdleConnections {
    /// Resolves when this connection is to make room; `most` is how many there can be.
    fn wait(&self, place: &ConnectionSlot, most: usize) -> oneshot::Receiver<()> {
        let (close, closed) = oneshot::channel();
        let mut waiting = self.0.borrow_mut();
        if waiting.len() >= most * 4 {
            waiting.retain(|(close, _)| !close.is_closed());
        }
        waiting.push_back((close, place.clone()));
        closed
    }

    /// Whether there was one. Its place is free from now on, before its task has come round.
    fn close_oldest(&self) -> bool {
        let mut waiting = self.0.borrow_mut();
        let mut oldest = std::iter::from_fn(|| waiting.pop_front());
        let closed = oldest.find_map(|(close, place)| close.send(()).is_ok().then_some(place));
        closed.is_some_and(|place| place.take().is_some())
    }
}

impl Frontend {
    /// Whether the clients fit; idle connections go first. Danger: a client that asks as it comes is turned away
    /// while others hold places and say nothing.
    fn make_room(&self) -> bool {
        while self.clients.get() > self.limits.clients && self.idle_connections.close_oldest() {}
        self.clients.get() <= self.limits.clients
    }

    /// Accepts until the router closes.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        let mut stage = self.stage.clone();
        loop {
            while self.clients.get() >= self.limits.clients + self.limits.crowd {
                sleep(self.limits.pause).await;
            }
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                _ = stage.wait_for(|&stage| stage == Stage::Closing) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    let count = Count::one(&self.clients);
                    let full = self.clients.get() > self.limits.clients;
                    self.make_room();
                    drop(spawn_local(Client::new(self.clone(), stream, count).serve()));
                    if full {
                        // Those that were told to close give their descriptors back.
                        yield_now().await;
                    }
                }
                Err(error) => {
                    tracing::warn!("a client could not be accepted: {error}");
                    sleep(self.limits.pause).await;
                }
            }
        }
    }
}

struct Client {
    front: Rc<Frontend>,
    stream: TcpStream,
    came: BytesMut,
    out: BytesMut,
    accepted: Instant,
    /// Whether it ever sent a whole message after the first.
    asked: bool,
    address: Option<IpAddr>,
    place: ConnectionSlot,
}

/// The connection ends: the client left, broke the protocol, or the router closes it.
struct Ended;

impl Client {
    fn new(front: Rc<Frontend>, stream: TcpStream, count: Count) -> Self {
        let (came, out) = (BytesMut::new(), BytesMut::new());
        let place = Rc::new(RefCell::new(Some(count)));
        let address = stream.peer_addr().ok().map(|address| address.ip());
        Client { front, stream, came, out, accepted: Instant::now(), asked: false, address, place }
    }

    async fn serve(mut self) {
        if self.stream.set_nodelay(true).is_ok() {
            let _ = self.talk().await;
        }
        // Danger: the idle list still knows the place; a client that is gone would count on.
        self.place.take();
    }

    async fn talk(&mut self) -> Result<(), Ended> {
        let greeting = self.front.limits.greeting;
        timeout(greeting, self.open()).await.map_err(|_| Ended)??;
        loop {
            let asked = self.next().await?;
            match asked {
                FrontendMessage::Query(text) => self.query(text).await?,
                FrontendMessage::Terminate => return Ok(()),
                FrontendMessage::Other(_) => {
                    return self.fatal(code::NOT_SUPPORTED, "only simple queries").await;
                }
            }
        }
    }

    async fn open(&mut self) -> Result<(), Ended> {
        loop {
            match StartupPacket::decode(&mut self.came, self.front.limits.message) {
                Ok(Some(StartupPacket::Startup)) => {
                    put_startup_response(&mut self.out);
                    return self.write().await;
                }
                // Not here; the client may go on in the clear.
                Ok(Some(StartupPacket::EncryptionRequest)) => {
                    self.stream.write_all(b"N").await.map_err(|_| Ended)?
                }
                Ok(Some(StartupPacket::CancelRequest)) => return Err(Ended),
                Ok(None) => self.fill(true, None).await?,
                Err(malformed) => return self.malformed(malformed).await,
            }
        }
    }

    /// The next message. Danger: clients that let themselves in and say nothing, or never come to the end of what
    /// they say, a byte at a time; both have the time of a greeting.
    async fn next(&mut self) -> Result<FrontendMessage, Ended> {
        let greeting = self.front.limits.greeting;
        let mut begun = None;
        loop {
            match FrontendMessage::decode(&mut self.came, self.front.limits.message) {
                Ok(Some(asked)) => {
                    self.asked = true;
                    return Ok(asked);
                }
                Ok(None) if self.came.is_empty() => {
                    let until = (!self.asked).then(|| self.accepted + greeting);
                    self.fill(true, until).await?
                }
                Ok(None) => {
                    let until = *begun.get_or_insert_with(|| Instant::now() + greeting);
                    self.fill(false, Some(until)).await?
                }
                Err(malformed) => self.malformed(malformed).await?,
            }
        }
    }

    /// Waits for more of a message. Danger: connections that say nothing, or never end what they say, leave no
    /// room for others, and the longest idle one closes. For the planned end alone only those do that have not
    /// begun to say something.
    async fn fill(&mut self, may_close: bool, until: Option<Instant>) -> Result<(), Ended> {
        let (front, mut stage) = (self.front.clone(), self.front.stage.clone());
        if self.came.is_empty() {
            // The room that a large op took is given back.
            (self.came, self.out) = (BytesMut::new(), BytesMut::new());
        }
        let closed = front.idle_connections.wait(&self.place, front.limits.clients);
        let filled = tokio::select! {
            biased;
            read = self.read() => read,
            _ = stage.wait_for(|&stage| stage == Stage::Closing), if may_close => Err(Ended),
            _ = closed => Err(Ended),
            () = sleep_until(until.unwrap_or_else(Instant::now)), if until.is_some() => Err(Ended),
        };
        if filled.is_ok() {
            // It may have spoken just as it was told to make room.
            self.place.borrow_mut().get_or_insert_with(|| Count::one(&front.clients));
        }
        filled
    }

    async fn query(&mut self, text: String) -> Result<(), Ended> {
        let arrived = self.front.beat.came();
        let command = text.trim_matches(|c: char| c.is_whitespace() || c == ';');
        let word = command.split_ascii_whitespace().next().unwrap_or_default().to_ascii_uppercase();
        match word.as_str() {
            "" => put_empty_query_response(&mut self.out),
            "SET" | "RESET" => put_command_complete(&mut self.out, &word),
            "DISCARD" => put_command_complete(&mut self.out, "DISCARD ALL"),
            "SHOW" if self.front.gate.has_cells() && command.eq_ignore_ascii_case("show cells") => {
                let (client, answer) = oneshot::channel();
                self.front.mail.send(Mail::Show(client)).await.map_err(|_| Ended)?;
                put_single_value(&mut self.out, "cells", &answer.await.map_err(|_| Ended)?);
            }
            "SHOW" if self.front.gate.peers && command.eq_ignore_ascii_case("show peers") => {
                let (client, answer) = oneshot::channel();
                self.front.mail.send(Mail::ShowPeers(client)).await.map_err(|_| Ended)?;
                put_single_value(&mut self.out, "peers", &answer.await.map_err(|_| Ended)?);
            }
            "SHOW" if self.front.gate.leases.is_some() && command.eq_ignore_ascii_case("show leases") => {
                let (client, answer) = oneshot::channel();
                if let Some(leases) = &self.front.gate.leases {
                    let shown = leases.send(leases::Errand::Show(client));
                    shown.await.map_err(|_| Ended)?;
                }
                put_single_value(&mut self.out, "leases", &answer.await.map_err(|_| Ended)?);
            }
            _ if !self.front.make_room() => {
                relay::put_too_many_clients(&mut self.out);
                return self.end().await;
            }
            _ => {
                let reply = match Statement::parse(text) {
                    Ok(statement) => self.op(statement, arrived).await?,
                    Err(ProtocolError(why)) => Reply::Refused(why),
                };
                relay::put_reply(&reply, &mut self.out);
                return self.write().await;
            }
        }
        put_ready_for_query(&mut self.out);
        self.write().await
    }

    /// One op, from its admission to its final answer.
    async fn op(&mut self, statement: Statement, arrived: Timestamp) -> Result<Reply<PgResponse>, Ended> {
        let Admitted { ask, claim, place: _open } =
            match self.front.gate.admit(op_call(&statement, self.address), arrived) {
                Ok(admitted) => admitted,
                Err(reply) => return Ok(reply),
            };
        let (answer, mut answered) = oneshot::channel();
        let mail = self.front.mail.clone();
        let op = ask.op;
        mail.send(Mail::Asked(ask, claim, Rc::new(statement), answer)).await.map_err(|_| Ended)?;
        loop {
            let room = self.came.len() < self.front.limits.message;
            tokio::select! {
                biased;
                reply = &mut answered => return Ok(reply.unwrap_or(Reply::Errored)),
                read = self.read(), if room => if read.is_err() {
                    let _ = mail.send(Mail::HungUp(op)).await;
                    return Err(Ended);
                },
            }
        }
    }

    async fn read(&mut self) -> Result<(), Ended> {
        self.came.reserve(self.front.limits.read);
        match self.stream.read_buf(&mut self.came).await {
            Ok(0) | Err(_) => Err(Ended),
            Ok(_) => Ok(()),
        }
    }

    async fn write(&mut self) -> Result<(), Ended> {
        let written = relay::write(&mut self.stream, &mut self.out, &self.front.limits).await;
        if written { Ok(()) } else { Err(Ended) }
    }

    /// Writes the last words. Danger: a connection closed while bytes of the client are unread is reset, and the
    /// client never reads them. So what it still says is read for a while, and dropped.
    async fn end<T>(&mut self) -> Result<T, Ended> {
        self.write().await?;
        let _ = self.stream.shutdown().await;
        let (front, linger) = (self.front.clone(), self.front.limits.linger);
        let closed = front.idle_connections.wait(&self.place, front.limits.clients);
        let rest = async {
            while self.read().await.is_ok() {
                self.came.clear();
            }
        };
        tokio::select! {
            _ = timeout(linger, rest) => {}
            _ = closed => {}
        }
        Err(Ended)
    }

    async fn malformed<T>(&mut self, ProtocolError(why): ProtocolError) -> Result<T, Ended> {
        tracing::warn!("a client broke the protocol: {why}");
        self.fatal(code::PROTOCOL_VIOLATION, why).await
    }

    async fn fatal<T>(&mut self, code: &str, why: &str) -> Result<T, Ended> {
        put_fatal_error(&mut self.out, code, why);
        self.end().await
    }
}
