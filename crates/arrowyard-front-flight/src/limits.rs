//! Every size, count and time of this protocol's code, filled at start from the router's own.

use std::time::Duration;

use arrowyard_core::Limits;

/// What an operator's file may set; what it does not say is taken from the router's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Asked {
    pub connections: Option<usize>,
    pub calls: Option<usize>,
    pub held_each: Option<usize>,
    pub message: Option<usize>,
    pub ticket: Option<Duration>,
    pub handles: Option<usize>,
}

#[derive(Clone, Copy, Debug)]
pub struct FlightLimits {
    /// Connections of clients, and calls open on each.
    pub connections: usize,
    pub calls: usize,
    /// Calls that a client may take back in a span, on one connection.
    pub taken_back: u32,
    pub taken_span: Duration,
    /// How long a connection without a call may stay, and any connection at all.
    pub idle: Duration,
    pub age: Duration,
    /// How long a client may take till its first message, and from a call's begin to the head of its answer.
    pub first: Duration,
    /// Bytes of metadata, and of one message of a client.
    pub metadata: u32,
    pub asked: usize,
    /// Bytes of one message of a host; fields of a schema; bytes that a message's buffers take unpacked.
    pub message: usize,
    pub fields: usize,
    pub unpacked: u64,
    /// Bytes of a result that is held whole, and of all such results.
    pub held_each: usize,
    pub held_all: usize,
    /// Messages that are ahead of a client on a result that is passed on.
    pub ahead: usize,
    /// What a peer may send on one stream before it is taken.
    pub window: u32,
    /// Sends at once over one connection to a host.
    pub streams_out: usize,
    /// How long a ticket holds, and how many redeemed ones are remembered.
    pub ticket: Duration,
    pub tickets: usize,
    /// Prepared statements, how long one is kept unused, and bytes of a statement.
    pub handles: usize,
    pub handle_idle: Duration,
    pub statement: usize,
    /// Ops and chores that wait to be taken in.
    pub inbox: usize,
}

impl FlightLimits {
    pub fn new(limits: &Limits, asked: Asked) -> Self {
        let message =
            asked.message.unwrap_or(limits.max_host_message_bytes).max(limits.max_client_message_bytes);
        let held_each = asked.held_each.unwrap_or(limits.max_large_answer_bytes / 64);
        FlightLimits {
            connections: asked.connections.unwrap_or((limits.max_client_connections / 4).max(1)),
            calls: asked.calls.unwrap_or(256),
            taken_back: 128,
            taken_span: Duration::from_secs(1),
            idle: Duration::from_secs(60),
            age: Duration::from_secs(3600),
            first: limits.drain_timeout + limits.client_message_timeout,
            metadata: limits.max_http_head_bytes as u32,
            asked: limits.max_client_message_bytes,
            message,
            fields: 4096,
            // As packed data unpacks in practice; more is a bomb.
            unpacked: (message as u64).saturating_mul(16),
            held_each,
            held_all: limits.max_large_answer_bytes / 2,
            ahead: 2,
            window: 256 * 1024,
            streams_out: 100,
            ticket: asked.ticket.unwrap_or(Duration::from_secs(30)),
            tickets: 65_536,
            handles: asked.handles.unwrap_or(1024),
            handle_idle: Duration::from_secs(600),
            statement: limits.max_client_message_bytes,
            inbox: limits.queue_capacity,
        }
    }
}
