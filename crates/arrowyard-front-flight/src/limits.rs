//! Limits of the Flight SQL front end and backend, derived at startup from the router's limits.

use std::time::Duration;

use arrowyard_core::Limits;

/// Limits that the operator's file may set; others are derived from the router's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlightSettings {
    /// Client connections.
    pub max_connections: Option<usize>,
    /// Open calls per connection.
    pub max_calls: Option<usize>,
    /// Bytes of one buffered result.
    pub max_buffered_result_bytes: Option<usize>,
    /// Bytes of one message from a host.
    pub max_host_message_bytes: Option<usize>,
    /// How long a ticket can be redeemed.
    pub ticket_lifetime: Option<Duration>,
    /// Prepared statements that are stored at once.
    pub max_prepared_statements: Option<usize>,
}

/// Limits of the Flight SQL front end and backend.
#[derive(Clone, Copy, Debug)]
pub struct FlightLimits {
    /// Client connections.
    pub max_connections: usize,
    /// Open calls per connection.
    pub max_calls: usize,
    /// Calls that a client may cancel per connection within `cancel_window`.
    pub max_cancelled_calls: u32,
    /// The window of the limit on cancelled calls.
    pub cancel_window: Duration,
    /// How long a connection may stay open without a call.
    pub idle_timeout: Duration,
    /// The maximum age of a connection.
    pub max_connection_age: Duration,
    /// How long a call may take until its response starts; also the timeout of keepalive pings.
    pub call_timeout: Duration,
    /// Bytes of the metadata of one call.
    pub max_metadata_bytes: u32,
    /// Bytes of one message from a client.
    pub max_client_message_bytes: usize,
    /// Bytes of one message from a host.
    pub max_host_message_bytes: usize,
    /// Fields of a schema, nested ones included.
    pub max_fields: usize,
    /// Bytes of the decompressed buffers of one message.
    pub max_decompressed_bytes: u64,
    /// Bytes of one buffered result.
    pub max_buffered_result_bytes: usize,
    /// Bytes of all buffered results together.
    pub max_buffered_total_bytes: usize,
    /// Messages of a streamed result that are read from the host before the client takes them.
    pub stream_capacity: usize,
    /// The HTTP/2 flow-control window of one stream.
    pub window_bytes: u32,
    /// Concurrent streams on one connection to a host.
    pub max_host_streams: usize,
    /// How long a ticket can be redeemed.
    pub ticket_lifetime: Duration,
    /// Redeemed tickets that are stored until they expire.
    pub max_redeemed_tickets: usize,
    /// Prepared statements that are stored at once.
    pub max_prepared_statements: usize,
    /// How long an unused prepared statement is stored.
    pub prepared_idle_timeout: Duration,
    /// Bytes of one statement.
    pub max_statement_bytes: usize,
    /// The capacity of the queues for ops and for requests to the state task.
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
            // Above usual compression ratios, so that only decompression bombs are rejected.
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
