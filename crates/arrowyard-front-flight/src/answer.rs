//! What a host answered, as the core carries it, and as a front of Flight SQL takes it.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use arrow_flight::FlightData;
use arrowyard_core::submission::RetainedResources;
use arrowyard_flight::hold::{Hold, Holds, Next};
use arrowyard_front_pg::connection::PgResponse;
use arrowyard_pg::{Statement, single_value};
use bytes::Bytes;
use tokio::sync::{Notify, mpsc, oneshot};

/// An op's payload: its statement, and whether its client wants a count of rows in place of rows.
#[derive(Clone, Debug)]
pub struct Errand {
    pub statement: Statement,
    pub update: bool,
    pub address: Option<std::net::IpAddr>,
}

/// The room that large messages take, of all results together.
#[derive(Debug)]
pub struct Large {
    used: AtomicUsize,
    most: usize,
    freed: Notify,
}

/// A large message's part of it.
#[derive(Debug)]
pub struct Taken {
    of: Arc<Large>,
    bytes: usize,
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.of.used.fetch_sub(self.bytes, Ordering::Relaxed);
        self.of.freed.notify_waiters();
    }
}

impl Large {
    #[must_use]
    pub fn new(most: usize) -> Arc<Self> {
        Arc::new(Large { used: AtomicUsize::new(0), most, freed: Notify::new() })
    }

    /// Waits for room for a message of so many bytes: once as it came, and once as it goes out. Nothing where there is
    /// never enough. Danger: many large messages at once, each within its bound, are more than the memory that there is.
    /// Who waits holds no room itself but for what its client is about to read, so that all come on.
    pub async fn take(self: &Arc<Self>, message: usize) -> Option<Taken> {
        let bytes = message.saturating_mul(2);
        if bytes > self.most {
            return None;
        }
        loop {
            let freed = self.freed.notified();
            if self.used.load(Ordering::Relaxed) + bytes <= self.most {
                self.used.fetch_add(bytes, Ordering::Relaxed);
                return Some(Taken { of: self.clone(), bytes });
            }
            freed.await;
        }
    }
}

/// A message of a result, with the room that it takes if it is large.
pub type Message = (FlightData, Option<Taken>);

/// What follows the held part of a result.
#[derive(Debug)]
pub enum Piece {
    Data(Message),
    /// The result was whole. Without this it was not, whatever came before.
    End,
}

/// The room that held messages take till this is dropped.
pub struct Room {
    holds: Rc<RefCell<Holds>>,
    hold: Hold,
}

impl Room {
    pub fn new(holds: Rc<RefCell<Holds>>) -> Self {
        Room { holds, hold: Hold::default() }
    }

    pub fn batch(&mut self, bytes: usize) -> Next {
        self.holds.borrow_mut().batch(&mut self.hold, bytes)
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.holds.borrow_mut().release(&mut self.hold);
    }
}

/// A host's answer.
pub enum Answer {
    /// Schema, dictionaries and batches; `rest` where the result goes on.
    Flow {
        held: Vec<Message>,
        rest: Option<mpsc::Receiver<Piece>>,
        room: Room,
    },
    Count(i64),
}

/// An answer on its way to a client, on whatever thread its front runs.
#[derive(Debug)]
pub enum Served {
    Flow {
        held: Vec<Message>,
        rest: Option<mpsc::Receiver<Piece>>,
        /// Dropped once the client is done with it.
        done: oneshot::Sender<()>,
    },
    Count(i64),
    /// The one value of a host on PostgreSQL's protocol, and the count of its command.
    Value {
        value: Bytes,
        count: i64,
        done: oneshot::Sender<()>,
    },
}

/// For hosts that speak Flight SQL.
pub fn lift(answer: Answer) -> (Served, Option<RetainedResources>) {
    match answer {
        Answer::Count(count) => (Served::Count(count), None),
        Answer::Flow { held, rest, room } => {
            let (done, told) = oneshot::channel();
            (
                Served::Flow { held, rest, done },
                Some(RetainedResources { done: told, resources: Box::new(room) }),
            )
        }
    }
}

/// For hosts that speak PostgreSQL's protocol: a row of one column, which is one batch of one binary column.
pub fn lift_parcel(PgResponse { result, memory }: PgResponse) -> (Served, Option<RetainedResources>) {
    let (done, told) = oneshot::channel();
    let text = single_value(&result.data_row).unwrap_or_default();
    // A command's tag ends with its count, as in `INSERT 0 1`.
    let tag = String::from_utf8_lossy(&result.command_complete);
    let count = tag.trim_end_matches('\0').rsplit(' ').next().and_then(|count| count.parse().ok());
    let value = if is_bytea(&result.row_description) { unhex(&text).unwrap_or(text) } else { text };
    let served = Served::Value { value, count: count.unwrap_or(0), done };
    (served, Some(RetainedResources { done: told, resources: Box::new(memory) }))
}

/// The type of the one column, by its number in PostgreSQL's catalogue.
fn is_bytea(columns: &[u8]) -> bool {
    const BYTEA: u32 = 17;
    let Some(named) = columns.get(2..) else { return false };
    let Some(end) = named.iter().position(|&byte| byte == 0) else { return false };
    // After the name: table (4), number (2), type (4).
    named.get(end + 7..end + 11).is_some_and(|kind| kind == BYTEA.to_be_bytes())
}

/// Text of the form `\x9f03` as bytes.
fn unhex(text: &[u8]) -> Option<Bytes> {
    let digits = text.strip_prefix(b"\\x")?;
    let digit = |byte: u8| (byte as char).to_digit(16).map(|digit| digit as u8);
    let pairs = digits.chunks(2).map(|pair| Some(digit(*pair.first()?)? << 4 | digit(*pair.get(1)?)?));
    pairs.collect::<Option<Vec<u8>>>().map(Bytes::from)
}
