use std::net::SocketAddrV4;

/// A connection; never used twice in one life of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Conn(pub u64);

/// A place that listens, numbered by the program in the order in which it was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Door(pub u8);

/// What the platform tells a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    Terminate,
    Reread,
}

/// Why a connection is no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// The far end closed it in order.
    Ended,
    /// It was never open: nothing that was written to it can have arrived.
    NeverOpen,
    /// It broke.
    Broken,
}

/// What reaches a plane.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event<'a> {
    /// Handed over once, before all else.
    Start,
    Accepted {
        conn: Conn,
        door: Door,
    },
    Opened {
        conn: Conn,
    },
    Came {
        conn: Conn,
        bytes: &'a [u8],
    },
    Closed {
        conn: Conn,
        why: Why,
    },
    Woke,
    Sign(Sign),
    /// A record is on disk, or could not be written.
    Stored {
        ticket: u64,
        kept: bool,
    },
    /// The disk refuses records from now on; or it has the plane's snapshot and takes records again.
    Disk {
        works: bool,
    },
}

/// What a plane wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
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
    Drop {
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
pub struct Orders {
    pub list: Vec<Order>,
    pub bytes: Vec<u8>,
    last: u64,
}

impl Orders {
    pub fn conn(&mut self) -> Conn {
        self.last += 1;
        Conn(self.last)
    }

    /// Opens a connection; `Event::Opened` or `Event::Closed` comes back.
    pub fn dial(&mut self, to: SocketAddrV4) -> Conn {
        let conn = self.conn();
        self.list.push(Order::Dial { conn, to });
        conn
    }

    /// Writes the parts, one behind the other.
    pub fn write(&mut self, conn: Conn, parts: &[&[u8]]) {
        let len = parts.iter().map(|part| part.len()).sum();
        parts.iter().for_each(|part| self.bytes.extend_from_slice(part));
        match self.list.last_mut() {
            Some(Order::Write { conn: last, len: so_far }) if *last == conn => *so_far += len,
            _ => self.list.push(Order::Write { conn, len }),
        }
    }

    /// Writes the parts and the end of a line.
    pub fn line(&mut self, conn: Conn, parts: &[&str]) {
        let len = parts.iter().map(|part| part.len()).sum::<usize>() + 2;
        parts.iter().for_each(|part| self.bytes.extend_from_slice(part.as_bytes()));
        self.bytes.extend_from_slice(b"\r\n");
        match self.list.last_mut() {
            Some(Order::Write { conn: last, len: so_far }) if *last == conn => *so_far += len,
            _ => self.list.push(Order::Write { conn, len }),
        }
    }

    pub fn close(&mut self, conn: Conn) {
        self.list.push(Order::Close { conn });
    }

    pub fn drop(&mut self, conn: Conn) {
        self.list.push(Order::Drop { conn });
    }

    pub fn store(&mut self, ticket: u64, record: Vec<u8>) {
        self.list.push(Order::Store { ticket, record });
    }

    pub fn stop(&mut self) {
        self.list.push(Order::Stop);
    }
}
