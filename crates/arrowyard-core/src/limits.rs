//! Sizes, counts and time limits of the network code, derived at start from the router's configuration.

use std::time::Duration;

use arrowyard_cells::admission::Capacity;
use arrowyard_types::{OpType, RouterSettings, RouterSettingsExt, TimeDelta};

use crate::clock::duration;
use crate::router_config::RouterConfig;

/// The limits of one router.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Client connections; beyond this number the longest idle one is closed for a new one.
    pub max_client_connections: usize,
    /// Further client connections, which get a busy reply.
    pub max_rejected_connections: usize,
    /// Connections to all database hosts together.
    pub max_host_connections: usize,
    /// Ops in flight.
    pub max_ops: usize,
    /// Bytes of the statements of ops in flight.
    pub max_statement_bytes: usize,
    /// Capacity of the channels to the route task and to discovery.
    pub queue_capacity: usize,
    /// Bytes of one message from a client.
    pub max_client_message_bytes: usize,
    /// Bytes of one message from a database host.
    pub max_host_message_bytes: usize,
    /// Bytes of a host's message that is not a row.
    pub max_control_message_bytes: usize,
    /// Total bytes of answers larger than `max_client_message_bytes`.
    pub max_large_answer_bytes: usize,
    /// Bytes of one line of discovery's response.
    pub max_list_line_bytes: usize,
    /// Bytes of the status line and header fields of discovery's response.
    pub max_http_head_bytes: usize,
    /// Bytes to reserve for one read of a socket.
    pub read_chunk_bytes: usize,
    /// Attempts to read the configuration file on SIGHUP.
    pub max_file_reads: u32,
    /// Log lines per second.
    pub log_lines_per_second: u32,
    /// How long connecting to a host, and the response to a probe, may take.
    pub connect_timeout: Duration,
    /// How long a connection to a host may stay idle; shorter than the host's own limit.
    pub host_idle_timeout: Duration,
    /// How long to wait for the host's ready message after a complete answer.
    pub ready_timeout: Duration,
    /// How long a client may take until its first op, and for each message.
    pub client_message_timeout: Duration,
    /// How long a client may take to read an answer.
    pub client_write_timeout: Duration,
    /// How long input is read from a client after its connection is shut down for writing.
    pub linger_timeout: Duration,
    /// How long discovery may take for a full list.
    pub list_fetch_timeout: Duration,
    /// How long a watch may receive nothing; discovery sends a line every 2 s.
    pub watch_idle_timeout: Duration,
    /// How long a draining router accepts connections.
    pub drain_accept_period: Duration,
    /// How long the last ops of a draining router may take.
    pub drain_timeout: Duration,
    /// How long the id of a removed host is kept; longer than any send to it can last.
    pub removed_host_retention: Duration,
    /// The pause between attempts in loops that poll or retry, such as reading an invalid file again.
    pub retry_pause: Duration,
    /// How far a reported position may lie ahead of this router's clock.
    pub max_position_lead: TimeDelta,
    /// Interval of the stall detector.
    pub stall_check_interval: Duration,
    /// Interval at which cells are updated.
    pub cell_tick_interval: Duration,
    /// Interval at which the counters are logged.
    pub counters_interval: Duration,
    /// Entries of a list that are applied at once; a longer list is applied in slices.
    pub list_slice_len: usize,
    /// Groups that are remembered as requested since the start.
    pub max_requested_groups: usize,
    /// The maximum delay of a list slice, so that a removed host is closed within its grace period.
    pub list_slice_deadline: Duration,
    /// Interval at which the startup stage and the hints of other routers are checked.
    pub startup_check_interval: Duration,
    /// How long storing a list may be delayed in favour of ops.
    pub list_store_deadline: Duration,
}

/// The size of the largest value in a statement; in text form each byte takes two.
const MAX_VALUE_BYTES: usize = 64 * 1024;
/// Bytes of a statement besides its values.
const STATEMENT_OVERHEAD_BYTES: usize = 8 * 1024;

impl Limits {
    /// Derives the limits from the configuration and the decision module's settings.
    pub fn new(config: &RouterConfig, settings: &RouterSettings) -> Self {
        let max_message_bytes = 2 * MAX_VALUE_BYTES + STATEMENT_OVERHEAD_BYTES;
        let sockets = config.sockets;
        let configured_max_ops = settings.number_or("max_open", f64::MAX) as usize;
        // A missing timeout is zero, which would close every connection; one second is used instead.
        let time_or_default = |name: &str| match duration(settings.time_delta(name)) {
            Duration::ZERO => Duration::from_secs(1),
            time => time,
        };
        let max_op_timeout =
            OpType::rows(settings).iter().map(|row| row.op_timeout).max().unwrap_or_default();
        let drain_timeout = duration(max_op_timeout.max(TimeDelta::from_millis(3000)));
        Limits {
            // Client connections may use up to a third of this router's descriptors. This limit is lower, so
            // that idle connections do not exhaust them.
            max_client_connections: (sockets * 9 / 32).max(1),
            max_rejected_connections: sockets / 16,
            max_host_connections: sockets * 13 / 32,
            max_ops: configured_max_ops.min(sockets),
            // The rest of the memory is for messages being received and for answers.
            max_statement_bytes: config.memory_mb * 1024 * 1024 / 4,
            queue_capacity: 1024,
            max_client_message_bytes: max_message_bytes,
            // Hosts' values may exceed the size of a client's message; only this router's memory limits
            // them.
            max_host_message_bytes: (config.memory_mb * 1024 * 1024 / 16).max(max_message_bytes),
            max_control_message_bytes: 16 * 1024,
            max_large_answer_bytes: config.memory_mb * 1024 * 1024 / 4,
            max_list_line_bytes: 4 * 1024 * 1024,
            max_http_head_bytes: 16 * 1024,
            read_chunk_bytes: 4 * 1024,
            max_file_reads: 20,
            log_lines_per_second: 50,
            connect_timeout: time_or_default("connect_timeout"),
            host_idle_timeout: time_or_default("idle_close").mul_f64(0.8),
            ready_timeout: duration(settings.time_delta("tick").max(TimeDelta::from_millis(1))),
            // A connection without an open op may be closed after 2 s, and an unused one must be closed
            // within 3 s.
            client_message_timeout: Duration::from_millis(2300),
            client_write_timeout: Duration::from_secs(2),
            linger_timeout: Duration::from_millis(200),
            list_fetch_timeout: Duration::from_secs(3),
            watch_idle_timeout: Duration::from_millis(2500),
            drain_accept_period: Duration::from_millis(450),
            drain_timeout,
            removed_host_retention: drain_timeout * 4,
            retry_pause: Duration::from_millis(5),
            // Commit positions are reported in whole milliseconds, rounded up.
            max_position_lead: TimeDelta::from_millis(5),
            stall_check_interval: Duration::from_millis(5),
            cell_tick_interval: Duration::from_millis(25),
            counters_interval: Duration::from_secs(5),
            list_slice_len: 128,
            max_requested_groups: 1024,
            list_slice_deadline: Duration::from_millis(5),
            startup_check_interval: Duration::from_millis(50),
            list_store_deadline: Duration::from_secs(2),
        }
    }

    /// The capacity that cells share. Each op in flight holds a client connection, which limits their
    /// number.
    pub fn cell_capacity(&self) -> Capacity {
        let ops = self.max_ops.min(self.max_client_connections * 7 / 8).max(1);
        // The host connections that ops in flight cannot use.
        let probes = self.max_host_connections.saturating_sub(ops).max(1);
        Capacity { ops: ops as u64, bytes: self.max_statement_bytes as u64, probes: probes as u64 }
    }
}

#[cfg(any(test, feature = "blank"))]
impl Limits {
    /// The configuration and limits of a router with these settings and defaults otherwise.
    pub fn for_test(settings: serde_json::Value) -> (RouterConfig, RouterSettings, Limits) {
        let json = serde_json::json!({"name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
            "seed": "1f", "settings": settings});
        let config = RouterConfig::from_json(&json, |_| None).expect("the configuration is complete");
        let router_settings =
            arrowyard_platform_settings::router_settings(&config.settings).expect("the settings are valid");
        let limits = Limits::new(&config, &router_settings);
        (config, router_settings, limits)
    }
}
