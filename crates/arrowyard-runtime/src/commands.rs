use std::net::SocketAddrV4;

/// A connection; never used twice in one life of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Conn(pub u64);

/// A place that listens, numbered by the program in the order in which it was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerId(pub u8);

/// What the platform tells a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    Terminate,
    Reload,
}

/// Why a connection is no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The far end closed it in order.
    PeerClosed,
    /// It was never open: nothing that was written to it can have arrived.
    ConnectFailed,
    /// It broke.
    ConnectionLost,
}

/// What reaches a plane.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event<'a> {
    /// Handed over once, before all else.
    Start,
    Accepted {
        conn: Conn,
        listener: ListenerId,
    },
    Connected {
        conn: Conn,
    },
    Received {
        conn: Conn,
        bytes: &'a [u8],
    },
    Closed {
        conn: Conn,
        reason: CloseReason,
    },
    TimerExpired,
    Signal(Signal),
    /// A record is on disk, or could not be written.
    Stored {
        ticket: u64,
        durable: bool,
    },
    /// The disk refuses records from now on; or it has the plane's snapshot and takes records again.
    DiskStatus {
        writable: bool,
    },
}

/// What a plane wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    Dial {
        conn: Conn,
        to: SocketAddrV4,
    },
    /// So many of the bytes that were laid out, from where the last write ended.
    Write {
        conn: Conn,
        len: usize,
    },
    /// What was written still goes out; no more events of it.
    Close {
        conn: Conn,
    },
    /// At once; no more events of it.
    Reset {
        conn: Conn,
    },
    /// `Event::Stored` comes back once it would survive a loss of power.
    Store {
        ticket: u64,
        record: Vec<u8>,
    },
    Stop,
}

/// The orders of one event, and where connections get their numbers.
#[derive(Debug, Default)]
pub struct Commands {
    pub list: Vec<Command>,
    pub bytes: Vec<u8>,
    last: u64,
}

impl Commands {
    pub fn new_conn(&mut self) -> Conn {
        self.last += 1;
        Conn(self.last)
    }

    /// Opens a connection; `Event::Opened` or `Event::Closed` comes back.
    pub fn dial(&mut self, to: SocketAddrV4) -> Conn {
        let conn = self.new_conn();
        self.list.push(Command::Dial { conn, to });
        conn
    }

    /// Writes the parts, one behind the other.
    pub fn write(&mut self, conn: Conn, parts: &[&[u8]]) {
        let len = parts.iter().map(|part| part.len()).sum();
        parts.iter().for_each(|part| self.bytes.extend_from_slice(part));
        match self.list.last_mut() {
            Some(Command::Write { conn: last, len: so_far }) if *last == conn => *so_far += len,
            _ => self.list.push(Command::Write { conn, len }),
        }
    }

    /// Writes the parts and the end of a line.
    pub fn write_line(&mut self, conn: Conn, parts: &[&str]) {
        let len = parts.iter().map(|part| part.len()).sum::<usize>() + 2;
        parts.iter().for_each(|part| self.bytes.extend_from_slice(part.as_bytes()));
        self.bytes.extend_from_slice(b"\r\n");
        match self.list.last_mut() {
            Some(Command::Write { conn: last, len: so_far }) if *last == conn => *so_far += len,
            _ => self.list.push(Command::Write { conn, len }),
        }
    }

    pub fn close(&mut self, conn: Conn) {
        self.list.push(Command::Close { conn });
    }

    pub fn reset(&mut self, conn: Conn) {
        self.list.push(Command::Reset { conn });
    }

    pub fn store(&mut self, ticket: u64, record: Vec<u8>) {
        self.list.push(Command::Store { ticket, record });
    }

    pub fn stop(&mut self) {
        self.list.push(Command::Stop);
    }
}
