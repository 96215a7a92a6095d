//! The event loop: polls sockets, signals and the disk thread, delivers their events to a [`Plane`] and
//! executes the commands that it returns.

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
/// Size of the buffer for one read.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Reads that fill the buffer, from one socket, before the loop serves other sockets.
const READS_BEFORE_YIELD: usize = 4;
/// How long a closed socket waits for the peer to close its side.
const LINGER_TIMEOUT: TimeDelta = TimeDelta::from_millis(1000);
/// Unsent output of one connection above which it is closed.
const MAX_PENDING_OUTPUT_BYTES: usize = 16 << 20;

/// Listeners, disk and limits of an event loop.
#[derive(Default)]
pub struct LoopConfig {
    /// Addresses to listen on; [`ListenerId`] is an index into them.
    pub listen_addresses: Vec<SocketAddrV4>,
    /// The disk for [`Commands::store`], if the plane has one.
    pub store: Option<Store>,
    /// Open connections above which new ones are closed when accepted.
    pub max_connections: usize,
}

struct Loop {
    poll: Poll,
    listeners: Vec<TcpListener>,
    sockets: FxHashMap<Conn, Socket>,
    /// Sockets closed by the plane, until the peer closes its side or `LINGER_TIMEOUT` has passed.
    lingering: Timers<Conn>,
    start: Instant,
    max_connections: usize,
    commands: Commands,
    store: Option<Store>,
    stopping: bool,
    /// Connections with new output or a pending shutdown.
    unflushed: Vec<Conn>,
    /// Connections that closed while commands were executed; the plane is notified next.
    closed: Vec<(Conn, CloseReason)>,
}

/// Runs a plane until it issues [`Command::Stop`].
///
/// # Errors
/// When an address cannot be bound, a signal handler cannot be installed, or polling fails.
pub fn run(config: LoopConfig, plane: &mut dyn Plane) -> io::Result<()> {
    let poll = Poll::new()?;
    let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
    let signals = install_signal_handlers(&waker)?;
    let mut listeners = Vec::new();
    for (number, address) in config.listen_addresses.iter().enumerate() {
        let mut listener = TcpListener::bind(SocketAddr::V4(*address))
            .map_err(|error| io::Error::new(error.kind(), format!("{address}: {error}")))?;
        poll.registry().register(&mut listener, Token(FIRST_LISTENER_TOKEN + number), Interest::READABLE)?;
        listeners.push(listener);
    }
    if let Some(store) = &config.store {
        store.set_waker(waker.clone());
    }
    let mut event_loop = Loop {
        poll,
        listeners,
        sockets: FxHashMap::default(),
        lingering: Timers::default(),
        start: Instant::now(),
        max_connections: config.max_connections,
        commands: Commands::default(),
        store: config.store,
        stopping: false,
        unflushed: Vec::new(),
        closed: Vec::new(),
    };
    event_loop.deliver(plane, Event::Start);
    event_loop.run_until_stopped(plane, &signals)
}

/// Installs signal handlers. A handler only sets a flag and wakes the loop.
fn install_signal_handlers(waker: &Arc<Waker>) -> io::Result<[(Arc<AtomicBool>, Signal); 2]> {
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
        // SAFETY: an atomic store and a write to a file descriptor are async-signal-safe.
        unsafe { signal_hook::low_level::register(number, handler)? };
    }
    Ok(signals)
}

impl Loop {
    fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.start.elapsed().as_micros() as i64)
    }

    fn run_until_stopped(
        &mut self,
        plane: &mut dyn Plane,
        signals: &[(Arc<AtomicBool>, Signal)],
    ) -> io::Result<()> {
        let mut events = Events::with_capacity(256);
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        while !self.stopping {
            let now = self.now();
            let due = plane.due().into_iter().chain(self.lingering.due()).min();
            let timeout = due.map(|at| Duration::from_micros((at - now).micros().max(0) as u64));
            match self.poll.poll(&mut events, timeout) {
                Err(error) if error.kind() != ErrorKind::Interrupted => return Err(error),
                _ => {}
            }
            for event in &events {
                match event.token() {
                    WAKER => {}
                    Token(token) if token < FIRST_CONN_TOKEN => {
                        self.accept_connections(ListenerId((token - FIRST_LISTENER_TOKEN) as u8), plane)
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
                    self.deliver(plane, Event::Signal(*signal));
                }
            }
            while let Some(outcome) = self.store.as_mut().and_then(|store| store.outcome(|| plane.snapshot()))
            {
                let event = match outcome {
                    Outcome::Stored { ticket, durable } => Event::Stored { ticket, durable },
                    Outcome::DiskStatus { writable } => Event::DiskStatus { writable },
                };
                self.deliver(plane, event);
            }
            let now = self.now();
            while let Some(conn) = self.lingering.take(now) {
                self.remove_socket(conn);
            }
            if plane.due().is_some_and(|at| at <= now) {
                self.deliver(plane, Event::TimerExpired);
            }
            self.flush(plane);
        }
        info!("shutdown complete");
        Ok(())
    }

    fn deliver(&mut self, plane: &mut dyn Plane, event: Event<'_>) {
        plane.handle(self.now(), event, &mut self.commands);
        self.execute_commands();
        while let Some((conn, reason)) = self.closed.pop() {
            plane.handle(self.now(), Event::Closed { conn, reason }, &mut self.commands);
            self.execute_commands();
        }
    }

    fn execute_commands(&mut self) {
        let (list, bytes) =
            (std::mem::take(&mut self.commands.list), std::mem::take(&mut self.commands.bytes));
        let mut offset = 0;
        for command in &list {
            match command {
                Command::Dial { conn, to } => self.dial(*conn, *to),
                Command::Write { conn, len } => {
                    let written = &bytes[offset..offset + len];
                    offset += len;
                    if let Some(socket) = self.sockets.get_mut(conn) {
                        if socket.output.is_empty() {
                            self.unflushed.push(*conn);
                        }
                        socket.output.extend_from_slice(written);
                        if socket.output.len() > MAX_PENDING_OUTPUT_BYTES {
                            self.remove_socket(*conn);
                            self.closed.push((*conn, CloseReason::ConnectionLost));
                        }
                    }
                }
                Command::Close { conn } => {
                    if let Some(socket) = self.sockets.get_mut(conn) {
                        socket.stage = match socket.stage {
                            Stage::Connecting => Stage::Draining,
                            _ => Stage::Flushing,
                        };
                        self.unflushed.push(*conn);
                        let deadline =
                            Timestamp::from_micros(self.start.elapsed().as_micros() as i64) + LINGER_TIMEOUT;
                        self.lingering.set(deadline, *conn);
                    }
                }
                Command::Reset { conn } => self.reset(*conn),
                Command::Store { ticket, record } => match &mut self.store {
                    Some(store) => store.put(*ticket, record.clone()),
                    None => error!("disk: cannot store a record: no store is configured"),
                },
                Command::Stop => self.stopping = true,
            }
        }
        // Keep the allocations for the next event.
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
            Ok(stream) => drop(self.sockets.insert(conn, Socket::new(stream, Stage::Connecting))),
            Err(_) => self.closed.push((conn, CloseReason::ConnectFailed)),
        }
    }

    fn accept_connections(&mut self, listener: ListenerId, plane: &mut dyn Plane) {
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
                        self.deliver(plane, Event::Accepted { conn, listener });
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // For example out of file descriptors: retried when the next connection arrives.
                Err(_) => return,
            }
        }
    }

    fn writable(&mut self, conn: Conn, plane: &mut dyn Plane) {
        let Some(socket) = self.sockets.get_mut(&conn) else { return };
        if socket.stage == Stage::Connecting {
            match socket.connect_result() {
                None => return,
                Some(Ok(())) => {
                    socket.stage = Stage::Open;
                    self.deliver(plane, Event::Connected { conn });
                }
                Some(Err(reason)) => {
                    self.remove_socket(conn);
                    return self.deliver(plane, Event::Closed { conn, reason });
                }
            }
        }
        if self.sockets.get(&conn).is_some_and(|socket| !socket.output.is_empty()) {
            self.unflushed.push(conn);
        }
    }

    fn readable(&mut self, conn: Conn, read_closed: bool, buffer: &mut [u8], plane: &mut dyn Plane) {
        for reads in 0.. {
            let Some(socket) = self.sockets.get_mut(&conn) else { return };
            if socket.stage == Stage::Connecting {
                if !read_closed {
                    return;
                }
                if socket.connect_result() != Some(Ok(())) {
                    self.remove_socket(conn);
                    return self.deliver(plane, Event::Closed { conn, reason: CloseReason::ConnectFailed });
                }
                socket.stage = Stage::Open;
                self.deliver(plane, Event::Connected { conn });
                continue;
            }
            let closed_by_plane = socket.stage != Stage::Open;
            let reason = match socket.stream.read(buffer) {
                Ok(0) => CloseReason::PeerClosed,
                Ok(count) => {
                    if !closed_by_plane {
                        self.deliver(plane, Event::Received { conn, bytes: &buffer[..count] });
                    }
                    // A short read means that the socket is empty, unless the peer has closed its side too.
                    if count < buffer.len() && !read_closed {
                        return;
                    }
                    if reads >= READS_BEFORE_YIELD && !read_closed {
                        // Polling is edge-triggered: re-register the socket to be notified of the remaining
                        // bytes.
                        self.reregister(conn);
                        return;
                    }
                    continue;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => CloseReason::ConnectionLost,
            };
            self.remove_socket(conn);
            if !closed_by_plane {
                self.deliver(plane, Event::Closed { conn, reason });
            }
            return;
        }
    }

    fn reregister(&mut self, conn: Conn) {
        if let Some(socket) = self.sockets.get_mut(&conn) {
            let token = Token(FIRST_CONN_TOKEN + conn.0 as usize);
            let interest = Interest::READABLE | Interest::WRITABLE;
            if self.poll.registry().reregister(&mut socket.stream, token, interest).is_err() {
                self.remove_socket(conn);
                self.closed.push((conn, CloseReason::ConnectionLost));
            }
        }
    }

    /// Sends the output written in this iteration, with one write per socket where possible.
    fn flush(&mut self, plane: &mut dyn Plane) {
        while let Some(conn) = self.unflushed.pop() {
            let Some(socket) = self.sockets.get_mut(&conn) else { continue };
            let closed_by_plane = matches!(socket.stage, Stage::Flushing | Stage::Draining);
            if socket.flush().is_err() {
                self.remove_socket(conn);
                if !closed_by_plane {
                    self.deliver(plane, Event::Closed { conn, reason: CloseReason::ConnectionLost });
                }
            }
        }
    }

    /// Resets a connection (`SO_LINGER` 0). After a plain close the kernel would still deliver its send
    /// buffer, so that a statement already retried on another host could also run on this one.
    fn reset(&mut self, conn: Conn) {
        if let Some(socket) = self.sockets.get(&conn) {
            drop(SockRef::from(&socket.stream).set_linger(Some(Duration::ZERO)));
        }
        self.remove_socket(conn);
    }

    fn remove_socket(&mut self, conn: Conn) {
        if let Some(mut socket) = self.sockets.remove(&conn) {
            drop(self.poll.registry().deregister(&mut socket.stream));
        }
    }
}
