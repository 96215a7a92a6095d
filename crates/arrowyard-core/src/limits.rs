//! Every size, count and time of the network code, filled at start from what the router is told.

use std::time::Duration;

use arrowyard_cells::admission::Capacity;
use arrowyard_types::{OpType, RouterSettings, RouterSettingsExt, TimeDelta};

use crate::clock::duration;
use crate::router_config::RouterConfig;

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections of clients; at this number the longest idle one is closed for a new one.
    pub max_client_connections: usize,
    /// Further connections of clients, which are told that the router is busy.
    pub max_rejected_connections: usize,
    /// Connections to database hosts, of all hosts together.
    pub max_host_connections: usize,
    /// Ops in hand, and the bytes of their statements.
    pub max_ops: usize,
    pub max_statement_bytes: usize,
    /// RouteMessage that waits for the route stage; wishes that wait for discovery.
    pub queue_capacity: usize,
    /// Bytes of one message of a client, and of a database host.
    pub max_client_message_bytes: usize,
    pub max_host_message_bytes: usize,
    /// Bytes of a host's message that is no row.
    pub max_control_message_bytes: usize,
    /// Bytes of all answers together that are larger than a message of a client may be.
    pub max_large_answer_bytes: usize,
    /// Bytes of one line of discovery's answer, and of an HTTP head.
    pub max_list_line_bytes: usize,
    pub max_http_head_bytes: usize,
    /// Bytes that are asked of a socket at once.
    pub read_chunk_bytes: usize,
    /// How often the file is read on SIGHUP before it counts as broken.
    pub max_file_reads: u32,
    /// Lines of the log in a second.
    pub log_lines_per_second: u32,
    /// How long a connection to a host may take to come up, and a probe to be answered.
    pub connect_timeout: Duration,
    /// How long a connection to a host may stay idle here: less than the host bears.
    pub host_idle_timeout: Duration,
    /// How long the end of a whole answer is waited for.
    pub ready_timeout: Duration,
    /// How long a client may take till its first op, and from the start of a message to its end; and how long
    /// to take an answer.
    pub client_message_timeout: Duration,
    pub client_write_timeout: Duration,
    /// How long a client that is let go may go on talking.
    pub linger_timeout: Duration,
    /// How long discovery may take for a whole list, and a watch may stay silent: it speaks every 2 s.
    pub list_fetch_timeout: Duration,
    pub watch_idle_timeout: Duration,
    /// How long a router that is to end goes on accepting, and how long its last ops may take.
    pub drain_accept_period: Duration,
    pub drain_timeout: Duration,
    /// How long a host that is gone is remembered: longer than any send, and than the end of one is on its way.
    pub removed_host_retention: Duration,
    /// How long is waited before something is tried once more.
    pub retry_pause: Duration,
    /// How far a position may lie ahead of this router's clock.
    pub max_position_lead: TimeDelta,
    /// How often the thread notes that it comes round.
    pub stall_check_interval: Duration,
    /// How often cells are asked what time has changed.
    pub cell_tick_interval: Duration,
    /// How often the tally is logged.
    pub counters_interval: Duration,
    /// Lines of a list that are taken at once; a longer one is worked off in slices.
    pub list_slice_len: usize,
    /// Groups that are remembered as asked for since the start.
    pub max_requested_groups: usize,
    /// Within this time a slice is due: a host that a list closes is closed before the grace is over.
    pub list_slice_deadline: Duration,
    /// How often a start is looked at, and what other routers hint at.
    pub startup_check_interval: Duration,
    /// How long a list may wait to be stored while ops want the thread.
    pub list_store_deadline: Duration,
}

/// Values are of 64 KiB at most; as text each of their bytes takes two, and the statement some more.
const MAX_VALUE_BYTES: usize = 64 * 1024;
const STATEMENT_OVERHEAD_BYTES: usize = 8 * 1024;

impl Limits {
    pub fn new(waybill: &RouterConfig, manifest: &RouterSettings) -> Self {
        let message = 2 * MAX_VALUE_BYTES + STATEMENT_OVERHEAD_BYTES;
        let sockets = waybill.sockets;
        let told = manifest.number_or("max_open", f64::MAX) as usize;
        // Danger: a time that was not told is zero, no connection comes up, and each is idle for too long.
        let told_span = |name: &str| match duration(manifest.time_delta(name)) {
            Duration::ZERO => Duration::from_secs(1),
            told => told,
        };
        let longest = OpType::rows(manifest).iter().map(|row| row.op_timeout).max().unwrap_or_default();
        let last = duration(longest.max(TimeDelta::from_millis(3000)));
        Limits {
            // Danger: clients, too, hold only so many connections, a third of this router's descriptors; idle ones that
            // are kept here up to that number leave them none to ask over. So this is less than a third.
            max_client_connections: (sockets * 9 / 32).max(1),
            max_rejected_connections: sockets / 16,
            max_host_connections: sockets * 13 / 32,
            max_ops: told.min(sockets),
            // The rest is for what clients send just now, and for answers.
            max_statement_bytes: waybill.memory_mb * 1024 * 1024 / 4,
            queue_capacity: 1024,
            max_client_message_bytes: message,
            // Danger: hosts' values are larger than a client may send. What bounds them is this router's memory.
            max_host_message_bytes: (waybill.memory_mb * 1024 * 1024 / 16).max(message),
            max_control_message_bytes: 16 * 1024,
            max_large_answer_bytes: waybill.memory_mb * 1024 * 1024 / 4,
            max_list_line_bytes: 4 * 1024 * 1024,
            max_http_head_bytes: 16 * 1024,
            read_chunk_bytes: 4 * 1024,
            max_file_reads: 20,
            log_lines_per_second: 50,
            connect_timeout: told_span("connect_timeout"),
            host_idle_timeout: told_span("idle_close").mul_f64(0.8),
            ready_timeout: duration(manifest.time_delta("tick").max(TimeDelta::from_millis(1))),
            // A connection without an open op may be closed after 2 s, and one that only holds a place must be within 3.
            client_message_timeout: Duration::from_millis(2300),
            client_write_timeout: Duration::from_secs(2),
            linger_timeout: Duration::from_millis(200),
            list_fetch_timeout: Duration::from_secs(3),
            watch_idle_timeout: Duration::from_millis(2500),
            drain_accept_period: Duration::from_millis(450),
            drain_timeout: last,
            removed_host_retention: last * 4,
            retry_pause: Duration::from_millis(5),
            // Commits are told in whole milliseconds, rounded up.
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

    /// What cells divide. Each op in hand holds a client's connection, so that there are never more of them.
    pub fn cell_capacity(&self) -> Capacity {
        let ops = self.max_ops.min(self.max_client_connections * 7 / 8).max(1);
        // Of the connections to hosts, those that ops in hand cannot take.
        let probes = self.max_host_connections.saturating_sub(ops).max(1);
        Capacity { ops: ops as u64, bytes: self.max_statement_bytes as u64, probes: probes as u64 }
    }
}

#[cfg(any(test, feature = "blank"))]
impl Limits {
    /// Of a router that is told these settings and otherwise the least.
    pub fn for_test(settings: serde_json::Value) -> (RouterConfig, RouterSettings, Limits) {
        let told = serde_json::json!({"name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
            "seed": "1f", "settings": settings});
        let waybill = RouterConfig::from_json(&told, |_| None).expect("it is whole");
        let manifest =
            arrowyard_platform_settings::router_settings(&waybill.settings).expect("its types are right");
        let limits = Limits::new(&waybill, &manifest);
        (waybill, manifest, limits)
    }
}
