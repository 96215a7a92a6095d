//! Events that a plane receives and commands that it returns.

use std::net::SocketAddrV4;

/// Identifies a connection. Identifiers are not reused within one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Conn(pub u64);

/// Identifies a listener by its index in
/// [`LoopConfig::listen_addresses`](crate::LoopConfig::listen_addresses).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerId(pub u8);

/// A signal that the operating system delivered to the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: shut down gracefully.
    Terminate,
    /// SIGHUP: reload the settings file.
    Reload,
}

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer closed it with an orderly shutdown.
    PeerClosed,
    /// It was never established: none of the bytes written to it reached the peer.
    ConnectFailed,
    /// It was reset, timed out or exceeded its output buffer.
    ConnectionLost,
}

/// An event that the loop delivers to its plane.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event<'a> {
    /// The first event, delivered once.
    Start,
    /// A listener accepted a connection.
    Accepted {
        conn: Conn,
        listener: ListenerId,
    },
    /// A connection opened by [`Commands::dial`] is established.
    Connected {
        conn: Conn,
    },
    /// Bytes arrived on a connection.
    Received {
        conn: Conn,
        bytes: &'a [u8],
    },
    /// A connection closed or could not be established; no more events follow for it.
    Closed {
        conn: Conn,
        reason: CloseReason,
    },
    /// The time returned by [`Plane::due`](crate::Plane::due) has been reached.
    TimerExpired,
    Signal(Signal),
    /// The result of [`Commands::store`]: whether the record is durable.
    Stored {
        ticket: u64,
        durable: bool,
    },
    /// The disk stopped accepting records, or accepts them again after it stored a snapshot of the plane.
    DiskStatus {
        writable: bool,
    },
}

/// One action that the loop executes for its plane.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Opens a connection.
    Dial { conn: Conn, to: SocketAddrV4 },
    /// Writes the next `len` bytes of [`Commands::bytes`].
    Write { conn: Conn, len: usize },
    /// Closes the connection after pending output is sent. No more events follow for it.
    Close { conn: Conn },
    /// Resets the connection at once and discards pending output. No more events follow for it.
    Reset { conn: Conn },
    /// Appends a record to the journal. [`Event::Stored`] follows once the record is durable or has failed.
    Store { ticket: u64, record: Vec<u8> },
    /// Ends the event loop.
    Stop,
}

/// Commands appended while one event is handled; also allocates connection identifiers.
#[derive(Debug, Default)]
pub struct Commands {
    pub list: Vec<Command>,
    /// Output of all [`Command::Write`]s, in their order.
    pub bytes: Vec<u8>,
    last_conn: u64,
}

impl Commands {
    /// Allocates a connection identifier.
    pub fn new_conn(&mut self) -> Conn {
        self.last_conn += 1;
        Conn(self.last_conn)
    }

    /// Opens a connection. [`Event::Connected`] or [`Event::Closed`] follows.
    pub fn dial(&mut self, to: SocketAddrV4) -> Conn {
        let conn = self.new_conn();
        self.list.push(Command::Dial { conn, to });
        conn
    }

    /// Writes the concatenated parts.
    pub fn write(&mut self, conn: Conn, parts: &[&[u8]]) {
        let len = parts.iter().map(|part| part.len()).sum();
        parts.iter().for_each(|part| self.bytes.extend_from_slice(part));
        match self.list.last_mut() {
            Some(Command::Write { conn: last, len: pending }) if *last == conn => *pending += len,
            _ => self.list.push(Command::Write { conn, len }),
        }
    }

    /// Writes the concatenated parts, terminated by CRLF.
    pub fn write_line(&mut self, conn: Conn, parts: &[&str]) {
        let len = parts.iter().map(|part| part.len()).sum::<usize>() + 2;
        parts.iter().for_each(|part| self.bytes.extend_from_slice(part.as_bytes()));
        self.bytes.extend_from_slice(b"\r\n");
        match self.list.last_mut() {
            Some(Command::Write { conn: last, len: pending }) if *last == conn => *pending += len,
            _ => self.list.push(Command::Write { conn, len }),
        }
    }

    /// Closes a connection after its pending output is sent.
    pub fn close(&mut self, conn: Conn) {
        self.list.push(Command::Close { conn });
    }

    /// Resets a connection at once.
    pub fn reset(&mut self, conn: Conn) {
        self.list.push(Command::Reset { conn });
    }

    /// Appends a record to the journal; `ticket` identifies it in [`Event::Stored`].
    pub fn store(&mut self, ticket: u64, record: Vec<u8>) {
        self.list.push(Command::Store { ticket, record });
    }

    /// Ends the event loop after the commands of this event.
    pub fn stop(&mut self) {
        self.list.push(Command::Stop);
    }
}
