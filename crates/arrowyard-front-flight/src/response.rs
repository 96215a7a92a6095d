//! A host's response: as received by the backend, and as passed to the Flight SQL front end.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use arrow_flight::FlightData;
use arrowyard_core::submission::RetainedResources;
use arrowyard_flight::result_buffer::{BatchAction, ResultBuffer, ResultBuffers};
use arrowyard_front_pg::host_connection::PgResponse;
use arrowyard_pg::{Statement, single_value};
use bytes::Bytes;
use tokio::sync::{Notify, mpsc, oneshot};

/// The payload of an op. With `is_update`, the result is the number of changed rows.
#[derive(Clone, Debug)]
pub struct OpPayload {
    pub statement: Statement,
    pub is_update: bool,
    pub client_address: Option<std::net::IpAddr>,
}

/// The memory for large messages of all results together.
#[derive(Debug)]
pub struct LargeMessageBudget {
    used_bytes: AtomicUsize,
    max_bytes: usize,
    freed: Notify,
}

/// Memory reserved for one large message; dropping it releases the memory.
#[derive(Debug)]
pub struct LargeMessagePermit {
    budget: Arc<LargeMessageBudget>,
    bytes: usize,
}

impl Drop for LargeMessagePermit {
    fn drop(&mut self) {
        self.budget.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
        self.budget.freed.notify_waiters();
    }
}

impl LargeMessageBudget {
    /// Creates a budget of `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(LargeMessageBudget { used_bytes: AtomicUsize::new(0), max_bytes, freed: Notify::new() })
    }

    /// Waits for the memory of a message, which is stored twice: as received and as sent. Returns `None` if
    /// the message exceeds the budget. A task must not wait while it holds a permit that only it can release;
    /// otherwise tasks could deadlock.
    pub async fn acquire(self: &Arc<Self>, message_bytes: usize) -> Option<LargeMessagePermit> {
        let bytes = message_bytes.saturating_mul(2);
        if bytes > self.max_bytes {
            return None;
        }
        loop {
            let freed = self.freed.notified();
            if self.used_bytes.load(Ordering::Relaxed) + bytes <= self.max_bytes {
                self.used_bytes.fetch_add(bytes, Ordering::Relaxed);
                return Some(LargeMessagePermit { budget: self.clone(), bytes });
            }
            freed.await;
        }
    }
}

/// A message of a result, with its memory if it is large.
pub type ResultMessage = (FlightData, Option<LargeMessagePermit>);

/// What follows the buffered part of a result.
#[derive(Debug)]
pub enum StreamItem {
    /// The next message of the result.
    Message(ResultMessage),
    /// The result is complete. A stream without this item was interrupted.
    End,
}

/// The memory of buffered messages, released when this is dropped.
pub struct BufferReservation {
    buffers: Rc<RefCell<ResultBuffers>>,
    buffer: ResultBuffer,
}

impl BufferReservation {
    /// Creates an empty buffer within the shared limit.
    pub fn new(buffers: Rc<RefCell<ResultBuffers>>) -> Self {
        BufferReservation { buffers, buffer: ResultBuffer::default() }
    }

    /// Reserves memory for a batch and returns whether to buffer it.
    pub fn add_batch(&mut self, bytes: usize) -> BatchAction {
        self.buffers.borrow_mut().add_batch(&mut self.buffer, bytes)
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.buffers.borrow_mut().release(&mut self.buffer);
    }
}

/// A host's response to an op.
pub enum FlightResponse {
    /// Schema, dictionaries and batches.
    Stream {
        buffered: Vec<ResultMessage>,
        /// The messages after the buffered ones, if the result is streamed.
        rest: Option<mpsc::Receiver<StreamItem>>,
        reservation: BufferReservation,
    },
    /// The number of rows that an update changed.
    UpdateCount(i64),
}

/// A response for a client, without the resources that stay on the core's thread.
#[derive(Debug)]
pub enum ClientResponse {
    /// Schema, dictionaries and batches.
    Stream {
        buffered: Vec<ResultMessage>,
        /// The messages after the buffered ones, if the result is streamed.
        rest: Option<mpsc::Receiver<StreamItem>>,
        /// Dropped once the client is done with the response.
        done: oneshot::Sender<()>,
    },
    /// The number of rows that an update changed.
    UpdateCount(i64),
    /// The single value of a host that speaks PostgreSQL's protocol, and the row count of its command tag.
    Value {
        value: Bytes,
        count: i64,
        /// Dropped once the client is done with the response.
        done: oneshot::Sender<()>,
    },
}

/// Splits the response of a host that speaks Flight SQL into the part for the client and the resources that
/// are retained until the client is done with it.
pub fn split_flight_response(response: FlightResponse) -> (ClientResponse, Option<RetainedResources>) {
    match response {
        FlightResponse::UpdateCount(count) => (ClientResponse::UpdateCount(count), None),
        FlightResponse::Stream { buffered, rest, reservation } => {
            let (done, client_done) = oneshot::channel();
            (
                ClientResponse::Stream { buffered, rest, done },
                Some(RetainedResources { done: client_done, resources: Box::new(reservation) }),
            )
        }
    }
}

/// Splits the response of a host that speaks PostgreSQL's protocol, which is one row of one column.
pub fn split_pg_response(
    PgResponse { result, memory }: PgResponse,
) -> (ClientResponse, Option<RetainedResources>) {
    let (done, client_done) = oneshot::channel();
    let text = single_value(&result.data_row).unwrap_or_default();
    // A command tag ends with the row count, as in `INSERT 0 1`.
    let tag = String::from_utf8_lossy(&result.command_complete);
    let count = tag.trim_end_matches('\0').rsplit(' ').next().and_then(|count| count.parse().ok());
    let value = if is_bytea(&result.row_description) { decode_hex(&text).unwrap_or(text) } else { text };
    let response = ClientResponse::Value { value, count: count.unwrap_or(0), done };
    (response, Some(RetainedResources { done: client_done, resources: Box::new(memory) }))
}

/// Whether the single column has the type `bytea`, by its OID.
fn is_bytea(row_description: &[u8]) -> bool {
    const BYTEA_OID: u32 = 17;
    let Some(column) = row_description.get(2..) else { return false };
    let Some(name_end) = column.iter().position(|&byte| byte == 0) else { return false };
    // The name is followed by the table's OID (4 bytes), the column number (2) and the type's OID (4).
    column.get(name_end + 7..name_end + 11).is_some_and(|oid| oid == BYTEA_OID.to_be_bytes())
}

/// Decodes `bytea` text such as `\x9f03`.
fn decode_hex(text: &[u8]) -> Option<Bytes> {
    let digits = text.strip_prefix(b"\\x")?;
    let digit = |byte: u8| (byte as char).to_digit(16).map(|digit| digit as u8);
    let pairs = digits.chunks(2).map(|pair| Some(digit(*pair.first()?)? << 4 | digit(*pair.get(1)?)?));
    pairs.collect::<Option<Vec<u8>>>().map(Bytes::from)
}
