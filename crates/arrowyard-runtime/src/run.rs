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

use crate::conn::{Socket, Stage};
use crate::orders::{Conn, Door, Event, Order, Orders, Sign, Why};
use crate::store::Outcome;
use crate::{Plane, Store, Timers};

const WAKER: Token = Token(0);
const DOORS: usize = 1;
const CONNS: usize = 1 << 8;
/// Bytes read from one socket at a time, and the most of them before others have their turn.
const READ: usize = 64 * 1024;
const TURN: usize = 4;
/// How long a socket whose end was sent is kept for the far end's.
const LINGER: TimeDelta = TimeDelta::from_millis(1000);
/// Bytes that may wait for one peer that does not read them.
const MOST_WAITING: usize = 16 << 20;

/// What a program lays down for its plane.
#[derive(Default)]
pub struct Plumbing {
    pub doors: Vec<SocketAddrV4>,
    pub store: Option<Store>,
    /// The most connections at a time; more are closed as they come.
    pub most: usize,
}

struct Loop {
    poll: Poll,
    doors: Vec<TcpListener>,
    sockets: FxHashMap<Conn, Socket>,
    lingering: Timers<Conn>,
    start: Instant,
    most: usize,
    orders: Orders,
    store: Option<Store>,
    stopping: bool,
    dirty: Vec<Conn>,
    /// Connections that ended while orders were carried out; their plane is told next.
    ended: Vec<(Conn, Why)>,
}

/// Runs a plane until it orders a stop.
///
/// # Errors
/// When a door cannot be opened or the system's poll fails.
pub fn run(plumbing: Plumbing, plane: &mut dyn Plane) -> io::Result<()> {
    let poll = Poll::new()?;
    let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
    let signs = signs(&waker)?;
    let mut doors = Vec::new();
    for (number, address) in plumbing.doors.iter().enumerate() {
        let mut door = TcpListener::bind(SocketAddr::V4(*address))
            .map_err(|fault| io::Error::new(fault.kind(), format!("{address}: {fault}")))?;
        poll.registry().register(&mut door, Token(DOORS + number), Interest::READABLE)?;
        doors.push(door);
    }
    if let Some(store) = &plumbing.store {
        store.wake_by(waker.clone());
    }
    let mut this = Loop {
        poll,
        doors,
        sockets: FxHashMap::default(),
        lingering: Timers::default(),
        start: Instant::now(),
        most: plumbing.most,
        orders: Orders::default(),
        store: plumbing.store,
        stopping: false,
        dirty: Vec::new(),
        ended: Vec::new(),
    };
    this.tell(plane, Event::Start);
    this.work(plane, &signs)
}

/// Sets up the handlers of signals: they set a flag and wake the loop, nothing else.
fn signs(waker: &Arc<Waker>) -> io::Result<[(Arc<AtomicBool>, Sign); 2]> {
    let signs = [
        (Arc::new(AtomicBool::new(false)), Sign::Terminate),
        (Arc::new(AtomicBool::new(false)), Sign::Reread),
    ];
    for ((flag, _), number) in signs.iter().zip([libc::SIGTERM, libc::SIGHUP]) {
        let (flag, waker) = (flag.clone(), waker.clone());
        let handler = move || {
            flag.store(true, Ordering::SeqCst);
            drop(waker.wake());
        };
        // SAFETY: a store to an atomic and a write to a descriptor are both allowed in a handler.
        unsafe { signal_hook::low_level::register(number, handler)? };
    }
    Ok(signs)
}

impl Loop {
    fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.start.elapsed().as_micros() as i64)
    }

    fn work(&mut self, plane: &mut dyn Plane, signs: &[(Arc<AtomicBool>, Sign)]) -> io::Result<()> {
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
                    Token(token) if token < CONNS => self.accept(Door((token - DOORS) as u8), plane),
                    Token(token) => {
                        let conn = Conn((token - CONNS) as u64);
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
            for (flag, sign) in signs {
                if flag.swap(false, Ordering::SeqCst) {
                    self.tell(plane, Event::Sign(*sign));
                }
            }
            while let Some(outcome) = self.store.as_mut().and_then(|store| store.outcome(|| plane.snapshot()))
            {
                let event = match outcome {
                    Outcome::Kept { ticket, kept } => Event::Stored { ticket, kept },
                    Outcome::Disk { works } => Event::Disk { works },
                };
                self.tell(plane, event);
            }
            let now = self.now();
            while let Some(conn) = self.lingering.take(now) {
                self.forget(conn);
            }
            if plane.due().is_some_and(|at| at <= now) {
                self.tell(plane, Event::Woke);
            }
            self.flush(plane);
        }
        info!("Ended in order.");
        Ok(())
    }

    fn tell(&mut self, plane: &mut dyn Plane, event: Event<'_>) {
        plane.handle(self.now(), event, &mut self.orders);
        self.carry_out();
        while let Some((conn, why)) = self.ended.pop() {
            plane.handle(self.now(), Event::Closed { conn, why }, &mut self.orders);
            self.carry_out();
        }
    }

    fn carry_out(&mut self) {
        let (list, bytes) = (std::mem::take(&mut self.orders.list), std::mem::take(&mut self.orders.bytes));
        let mut at = 0;
        for order in &list {
            match order {
                Order::Dial { conn, to } => self.dial(*conn, *to),
                Order::Write { conn, len } => {
                    let part = &bytes[at..at + len];
                    at += len;
                    if let Some(socket) = self.sockets.get_mut(conn) {
                        if socket.out.is_empty() {
                            self.dirty.push(*conn);
                        }
                        socket.out.extend_from_slice(part);
                        if socket.out.len() > MOST_WAITING {
                            self.forget(*conn);
                            self.ended.push((*conn, Why::Broken));
                        }
                    }
                }
                Order::Close { conn } => {
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
                Order::Drop { conn } => self.reset(*conn),
                Order::Store { ticket, record } => match &mut self.store {
                    Some(store) => store.put(*ticket, record.clone()),
                    None => error!("A record was to be kept, and there is no disk."),
                },
                Order::Stop => self.stopping = true,
            }
        }
        // The room is used again.
        (self.orders.list, self.orders.bytes) = (list, bytes);
        self.orders.list.clear();
        self.orders.bytes.clear();
    }

    fn dial(&mut self, conn: Conn, to: SocketAddrV4) {
        let opened = TcpStream::connect(SocketAddr::V4(to)).and_then(|mut stream| {
            let token = Token(CONNS + conn.0 as usize);
            self.poll.registry().register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
            Ok(stream)
        });
        match opened {
            Ok(stream) => drop(self.sockets.insert(conn, Socket::new(stream, Stage::Opening))),
            Err(_) => self.ended.push((conn, Why::NeverOpen)),
        }
    }

    fn accept(&mut self, door: Door, plane: &mut dyn Plane) {
        loop {
            match self.doors[usize::from(door.0)].accept() {
                Ok((mut stream, _)) => {
                    if self.sockets.len() >= self.most {
                        continue;
                    }
                    let conn = self.orders.conn();
                    let token = Token(CONNS + conn.0 as usize);
                    let interest = Interest::READABLE | Interest::WRITABLE;
                    if self.poll.registry().register(&mut stream, token, interest).is_ok() {
                        self.sockets.insert(conn, Socket::new(stream, Stage::Open));
                        self.tell(plane, Event::Accepted { conn, door });
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
                    self.tell(plane, Event::Opened { conn });
                }
                Some(Err(why)) => {
                    self.forget(conn);
                    return self.tell(plane, Event::Closed { conn, why });
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
                    return self.tell(plane, Event::Closed { conn, why: Why::NeverOpen });
                }
                socket.stage = Stage::Open;
                self.tell(plane, Event::Opened { conn });
                continue;
            }
            let quiet = socket.stage != Stage::Open;
            let why = match socket.stream.read(buffer) {
                Ok(0) => Why::Ended,
                Ok(came) => {
                    if !quiet {
                        self.tell(plane, Event::Came { conn, bytes: &buffer[..came] });
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
                Err(_) => Why::Broken,
            };
            self.forget(conn);
            if !quiet {
                self.tell(plane, Event::Closed { conn, why });
            }
            return;
        }
    }

    fn renew(&mut self, conn: Conn) {
        if let Some(socket) = self.sockets.get_mut(&conn) {
            let token = Token(CONNS + conn.0 as usize);
            let interest = Interest::READABLE | Interest::WRITABLE;
            if self.poll.registry().reregister(&mut socket.stream, token, interest).is_err() {
                self.forget(conn);
                self.ended.push((conn, Why::Broken));
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
                    self.tell(plane, Event::Closed { conn, why: Why::Broken });
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
