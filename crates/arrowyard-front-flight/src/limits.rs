//! Sizes, counts and time limits of the Flight SQL code, derived at start from the router's own limits.

use std::time::Duration;

use arrowyard_core::Limits;

/// Limits that the operator's file may set; others are derived from the router's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlightSettings {
    pub max_connections: Option<usize>,
    pub max_calls: Option<usize>,
    pub max_buffered_result_bytes: Option<usize>,
    pub max_host_message_bytes: Option<usize>,
    pub ticket_lifetime: Option<Duration>,
    pub max_prepared_statements: Option<usize>,
}

/// Limits of the Flight SQL front end and backend.
#[derive(Clone, Copy, Debug)]
pub struct FlightLimits {
    /// Client connections, and open calls per connection.
    pub max_connections: usize,
    pub max_calls: usize,
    /// Calls that a client may cancel per connection and window.
    pub max_cancelled_calls: u32,
    pub cancel_window: Duration,
    /// How long a connection may stay without a call, and the maximum age of a connection.
    pub idle_timeout: Duration,
    pub max_connection_age: Duration,
    /// How long a call may take until its response starts; also the timeout of keepalive pings.
    pub call_timeout: Duration,
    /// Bytes of metadata, and of one message from a client.
    pub max_metadata_bytes: u32,
    pub max_client_message_bytes: usize,
    /// Bytes of one message from a host, fields of a schema, and bytes of a message's decompressed buffers.
    pub max_host_message_bytes: usize,
    pub max_fields: usize,
    pub max_decompressed_bytes: u64,
    /// Bytes of one buffered result, and of all buffered results.
    pub max_buffered_result_bytes: usize,
    pub max_buffered_total_bytes: usize,
    /// Messages of a streamed result that are read ahead of its client.
    pub stream_capacity: usize,
    /// The HTTP/2 flow-control window of one stream.
    pub window_bytes: u32,
    /// Concurrent streams on one connection to a host.
    pub max_host_streams: usize,
    /// The lifetime of a ticket, and the number of redeemed tickets to remember.
    pub ticket_lifetime: Duration,
    pub max_redeemed_tickets: usize,
    /// Prepared statements, how long an unused one is kept, and the bytes of a statement.
    pub max_prepared_statements: usize,
    pub prepared_idle_timeout: Duration,
    pub max_statement_bytes: usize,
    /// Capacity of the queues for ops and for requests to the front end's state.
    pub queue_capacity: usize,
}

impl FlightLimits {
    /// Derives the limits that `settings` does not set.
    pub fn new(limits: &Limits, settings: FlightSettings) -> Self {
        let max_host_message_bytes = settings
            .max_host_message_bytes
            .unwrap_or(limits.max_host_message_bytes)
            .max(limits.max_client_message_bytes);
        let max_buffered_result_bytes =
            settings.max_buffered_result_bytes.unwrap_or(limits.max_large_answer_bytes / 64);
        FlightLimits {
            max_connections: settings.max_connections.unwrap_or((limits.max_client_connections / 4).max(1)),
            max_calls: settings.max_calls.unwrap_or(256),
            max_cancelled_calls: 128,
            cancel_window: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(60),
            max_connection_age: Duration::from_secs(3600),
            call_timeout: limits.drain_timeout + limits.client_message_timeout,
            max_metadata_bytes: limits.max_http_head_bytes as u32,
            max_client_message_bytes: limits.max_client_message_bytes,
            max_host_message_bytes,
            max_fields: 4096,
            // Above any usual compression ratio, so that it only rejects decompression bombs.
            max_decompressed_bytes: (max_host_message_bytes as u64).saturating_mul(16),
            max_buffered_result_bytes,
            max_buffered_total_bytes: limits.max_large_answer_bytes / 2,
            stream_capacity: 2,
            window_bytes: 256 * 1024,
            max_host_streams: 100,
            ticket_lifetime: settings.ticket_lifetime.unwrap_or(Duration::from_secs(30)),
            max_redeemed_tickets: 65_536,
            max_prepared_statements: settings.max_prepared_statements.unwrap_or(1024),
            prepared_idle_timeout: Duration::from_secs(600),
            max_statement_bytes: limits.max_client_message_bytes,
            queue_capacity: limits.queue_capacity,
        }
    }
}
