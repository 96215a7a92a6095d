use std::io::{self, ErrorKind, Read};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use arrowyard_types::{TimeDelta, Timestamp};
use log::{error, info};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use rustc_hash::FxHashMap;
use socket2::SockRef;

use crate::commands::{CloseReason, Command, Commands, Conn, Event, ListenerId, Signal};
use crate::conn::{Socket, Stage};
use crate::store::Outcome;
use crate::{Plane, Store, Timers};

const WAKER: Token = Token(0);
const FIRST_LISTENER_TOKEN: usize = 1;
const FIRST_CONN_TOKEN: usize = 1 << 8;
/// Bytes read from one socket at a time, and the most of them before others have their turn.
const READ: usize = 64 * 1024;
const TURN: usize = 4;
/// How long a socket whose end was sent is kept for the far end's.
const LINGER: TimeDelta = TimeDelta::from_millis(1000);
/// Bytes that may wait for one peer that does not read them.
const MOST_WAITING: usize = 16 << 20;

/// What a program lays down for its plane.
#[derive(Default)]
pub struct LoopConfig {
    pub listen_addresses: Vec<SocketAddrV4>,
    pub store: Option<Store>,
    /// The most connections at a time; more are closed as they come.
    pub max_connections: usize,
}

struct Loop {
    poll: Poll,
    listeners: Vec<TcpListener>,
    sockets: FxHashMap<Conn, Socket>,
    lingering: Timers<Conn>,
    start: Instant,
    max_connections: usize,
    commands: Commands,
    store: Option<Store>,
    stopping: bool,
    dirty: Vec<Conn>,
    /// Connections that ended while orders were carried out; their plane is told next.
    ended: Vec<(Conn, CloseReason)>,
}

/// Runs a plane until it orders a stop.
///
/// # Errors
/// When a door cannot be opened or the system's poll fails.
pub fn run(config: LoopConfig, plane: &mut dyn Plane) -> io::Result<()> {
    let poll = Poll::new()?;
    let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
    let signals = signals(&waker)?;
    let mut listeners = Vec::new();
    for (number, address) in config.listen_addresses.iter().enumerate() {
        let mut listener = TcpListener::bind(SocketAddr::V4(*address))
            .map_err(|fault| io::Error::new(fault.kind(), format!("{address}: {fault}")))?;
        poll.registry().register(&mut listener, Token(FIRST_LISTENER_TOKEN + number), Interest::READABLE)?;
        listeners.push(listener);
    }
    if let Some(store) = &config.store {
        store.wake_by(waker.clone());
    }
    let mut this = Loop {
        poll,
        listeners,
        sockets: FxHashMap::default(),
        lingering: Timers::default(),
        start: Instant::now(),
        max_connections: config.max_connections,
        commands: Commands::default(),
        store: config.store,
        stopping: false,
        dirty: Vec::new(),
        ended: Vec::new(),
    };
    this.tell(plane, Event::Start);
    this.work(plane, &signals)
}

/// Sets up the handlers of signals: they set a flag and wake the loop, nothing else.
fn signals(waker: &Arc<Waker>) -> io::Result<[(Arc<AtomicBool>, Signal); 2]> {
    let signals = [
        (Arc::new(AtomicBool::new(false)), Signal::Terminate),
        (Arc::new(AtomicBool::new(false)), Signal::Reload),
    ];
    for ((flag, _), number) in signals.iter().zip([libc::SIGTERM, libc::SIGHUP]) {
        let (flag, waker) = (flag.clone(), waker.clone());
        let handler = move || {
            flag.store(true, Ordering::SeqCst);
            drop(waker.wake());
        };
        // SAFETY: a store to an atomic and a write to a descriptor are both allowed in a handler.
        unsafe { signal_hook::low_level::register(number, handler)? };
    }
    Ok(signals)
}

impl Loop {
    fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.start.elapsed().as_micros() as i64)
    }

    fn work(&mut self, plane: &mut dyn Plane, signals: &[(Arc<AtomicBool>, Signal)]) -> io::Result<()> {
        let mut events = Events::with_capacity(256);
        let mut buffer = vec![0; READ];
        while !self.stopping {
            let now = self.now();
            let due = plane.due().into_iter().chain(self.lingering.due()).min();
            let wait = due.map(|at| Duration::from_micros((at - now).micros().max(0) as u64));
            match self.poll.poll(&mut events, wait) {
                Err(fault) if fault.kind() != ErrorKind::Interrupted => return Err(fault),
                _ => {}
            }
            for event in &events {
                match event.token() {
                    WAKER => {}
                    Token(token) if token < FIRST_CONN_TOKEN => {
                        self.accept(ListenerId((token - FIRST_LISTENER_TOKEN) as u8), plane)
                    }
                    Token(token) => {
                        let conn = Conn((token - FIRST_CONN_TOKEN) as u64);
                        if event.is_writable() {
                            self.writable(conn, plane);
                        }
                        if event.is_readable() || event.is_error() {
                            self.readable(
                                conn,
                                event.is_read_closed() || event.is_error(),
                                &mut buffer,
                                plane,
                            );
                        }
                    }
                }
            }
            for (flag, signal) in signals {
                if flag.swap(false, Ordering::SeqCst) {
                    self.tell(plane, Event::Signal(*signal));
                }
            }
            while let Some(outcome) = self.store.as_mut().and_then(|store| store.outcome(|| plane.snapshot()))
            {
                let event = match outcome {
                    Outcome::Stored { ticket, durable } => Event::Stored { ticket, durable },
                    Outcome::DiskStatus { writable } => Event::DiskStatus { writable },
                };
                self.tell(plane, event);
            }
            let now = self.now();
            while let Some(conn) = self.lingering.take(now) {
                self.forget(conn);
            }
            if plane.due().is_some_and(|at| at <= now) {
                self.tell(plane, Event::TimerExpired);
            }
            self.flush(plane);
        }
        info!("Ended in order.");
        Ok(())
    }

    fn tell(&mut self, plane: &mut dyn Plane, event: Event<'_>) {
        plane.handle(self.now(), event, &mut self.commands);
        self.carry_out();
        while let Some((conn, reason)) = self.ended.pop() {
            plane.handle(self.now(), Event::Closed { conn, reason }, &mut self.commands);
            self.carry_out();
        }
    }

    fn carry_out(&mut self) {
        let (list, bytes) =
            (std::mem::take(&mut self.commands.list), std::mem::take(&mut self.commands.bytes));
        let mut at = 0;
        for command in &list {
            match command {
                Command::Dial { conn, to } => self.dial(*conn, *to),
                Command::Write { conn, len } => {
                    let part = &bytes[at..at + len];
                    at += len;
                    if let Some(socket) = self.sockets.get_mut(conn) {
                        if socket.out.is_empty() {
                            self.dirty.push(*conn);
                        }
                        socket.out.extend_from_slice(part);
                        if socket.out.len() > MOST_WAITING {
                            self.forget(*conn);
                            self.ended.push((*conn, CloseReason::ConnectionLost));
                        }
                    }
                }
                Command::Close { conn } => {
                    if let Some(socket) = self.sockets.get_mut(conn) {
                        socket.stage = match socket.stage {
                            Stage::Opening => Stage::Ended,
                            _ => Stage::Ending,
                        };
                        self.dirty.push(*conn);
                        let until = Timestamp::from_micros(self.start.elapsed().as_micros() as i64) + LINGER;
                        self.lingering.set(until, *conn);
                    }
                }
                Command::Reset { conn } => self.reset(*conn),
                Command::Store { ticket, record } => match &mut self.store {
                    Some(store) => store.put(*ticket, record.clone()),
                    None => error!("A record was to be kept, and there is no disk."),
                },
                Command::Stop => self.stopping = true,
            }
        }
        // The room is used again.
        (self.commands.list, self.commands.bytes) = (list, bytes);
        self.commands.list.clear();
        self.commands.bytes.clear();
    }

    fn dial(&mut self, conn: Conn, to: SocketAddrV4) {
        let opened = TcpStream::connect(SocketAddr::V4(to)).and_then(|mut stream| {
            let token = Token(FIRST_CONN_TOKEN + conn.0 as usize);
            self.poll.registry().register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
            Ok(stream)
        });
        match opened {
            Ok(stream) => drop(self.sockets.insert(conn, Socket::new(stream, Stage::Opening))),
            Err(_) => self.ended.push((conn, CloseReason::ConnectFailed)),
        }
    }

    fn accept(&mut self, listener: ListenerId, plane: &mut dyn Plane) {
        loop {
            match self.listeners[usize::from(listener.0)].accept() {
                Ok((mut stream, _)) => {
                    if self.sockets.len() >= self.max_connections {
                        continue;
                    }
                    let conn = self.commands.new_conn();
                    let token = Token(FIRST_CONN_TOKEN + conn.0 as usize);
                    let interest = Interest::READABLE | Interest::WRITABLE;
                    if self.poll.registry().register(&mut stream, token, interest).is_ok() {
                        self.sockets.insert(conn, Socket::new(stream, Stage::Open));
                        self.tell(plane, Event::Accepted { conn, listener });
                    }
                }
                Err(fault) if fault.kind() == ErrorKind::Interrupted => {}
                // Out of descriptors and the like: the next connection tries again.
                Err(_) => return,
            }
        }
    }

    fn writable(&mut self, conn: Conn, plane: &mut dyn Plane) {
        let Some(socket) = self.sockets.get_mut(&conn) else { return };
        if socket.stage == Stage::Opening {
            match socket.opened() {
                None => return,
                Some(Ok(())) => {
                    socket.stage = Stage::Open;
                    self.tell(plane, Event::Connected { conn });
                }
                Some(Err(reason)) => {
                    self.forget(conn);
                    return self.tell(plane, Event::Closed { conn, reason });
                }
            }
        }
        if self.sockets.get(&conn).is_some_and(|socket| !socket.out.is_empty()) {
            self.dirty.push(conn);
        }
    }

    fn readable(&mut self, conn: Conn, ends: bool, buffer: &mut [u8], plane: &mut dyn Plane) {
        for turn in 0.. {
            let Some(socket) = self.sockets.get_mut(&conn) else { return };
            if socket.stage == Stage::Opening {
                if !ends {
                    return;
                }
                if socket.opened() != Some(Ok(())) {
                    self.forget(conn);
                    return self.tell(plane, Event::Closed { conn, reason: CloseReason::ConnectFailed });
                }
                socket.stage = Stage::Open;
                self.tell(plane, Event::Connected { conn });
                continue;
            }
            let quiet = socket.stage != Stage::Open;
            let reason = match socket.stream.read(buffer) {
                Ok(0) => CloseReason::PeerClosed,
                Ok(came) => {
                    if !quiet {
                        self.tell(plane, Event::Received { conn, bytes: &buffer[..came] });
                    }
                    // A short read has emptied the socket, unless its end is there as well.
                    if came < buffer.len() && !ends {
                        return;
                    }
                    if turn >= TURN && !ends {
                        // Edge-triggered: to be told again of the rest, it is registered anew.
                        self.renew(conn);
                        return;
                    }
                    continue;
                }
                Err(fault) if fault.kind() == ErrorKind::Interrupted => continue,
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => return,
                Err(_) => CloseReason::ConnectionLost,
            };
            self.forget(conn);
            if !quiet {
                self.tell(plane, Event::Closed { conn, reason });
            }
            return;
        }
    }

    fn renew(&mut self, conn: Conn) {
        if let Some(socket) = self.sockets.get_mut(&conn) {
            let token = Token(FIRST_CONN_TOKEN + conn.0 as usize);
            let interest = Interest::READABLE | Interest::WRITABLE;
            if self.poll.registry().reregister(&mut socket.stream, token, interest).is_err() {
                self.forget(conn);
                self.ended.push((conn, CloseReason::ConnectionLost));
            }
        }
    }

    /// Everything that was written in this turn goes out, each socket's in one piece.
    fn flush(&mut self, plane: &mut dyn Plane) {
        while let Some(conn) = self.dirty.pop() {
            let Some(socket) = self.sockets.get_mut(&conn) else { continue };
            let silent = matches!(socket.stage, Stage::Ending | Stage::Ended);
            if socket.flush().is_err() {
                self.forget(conn);
                if !silent {
                    self.tell(plane, Event::Closed { conn, reason: CloseReason::ConnectionLost });
                }
            }
        }
    }

    /// Ends a connection at once. Danger: a plain close still delivers what waits in the system's buffers, for as long as
    /// a slow or lossy link takes; a statement that is asked again elsewhere would run here after all.
    fn reset(&mut self, conn: Conn) {
        if let Some(socket) = self.sockets.get(&conn) {
            drop(SockRef::from(&socket.stream).set_linger(Some(Duration::ZERO)));
        }
        self.forget(conn);
    }

    fn forget(&mut self, conn: Conn) {
        if let Some(mut socket) = self.sockets.remove(&conn) {
            drop(self.poll.registry().deregister(&mut socket.stream));
        }
    }
}
