//! Every size, count and time of the network code, filled at start from what the router is told.

use std::time::Duration;

use arrowyard_cells::admission::Capacity;
use arrowyard_types::{OpType, RouterSettings, RouterSettingsExt, TimeDelta};

use crate::clock::duration;
use crate::waybill::Waybill;

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections of clients; at this number the longest idle one is closed for a new one.
    pub clients: usize,
    /// Further connections of clients, which are told that the router is busy.
    pub crowd: usize,
    /// Connections to database hosts, of all hosts together.
    pub links: usize,
    /// Ops in hand, and the bytes of their statements.
    pub ops: usize,
    pub held: usize,
    /// Mail that waits for the route stage; wishes that wait for discovery.
    pub inbox: usize,
    /// Bytes of one message of a client, and of a database host.
    pub message: usize,
    pub answer: usize,
    /// Bytes of a host's message that is no row.
    pub aside: usize,
    /// Bytes of all answers together that are larger than a message of a client may be.
    pub large: usize,
    /// Bytes of one line of discovery's answer, and of an HTTP head.
    pub list: usize,
    pub head: usize,
    /// Bytes that are asked of a socket at once.
    pub read: usize,
    /// How often the file is read on SIGHUP before it counts as broken.
    pub reads: u32,
    /// Lines of the log in a second.
    pub log_lines: u32,
    /// How long a connection to a host may take to come up, and a probe to be answered.
    pub connect: Duration,
    /// How long a connection to a host may stay idle here: less than the host bears.
    pub idle: Duration,
    /// How long the end of a whole answer is waited for.
    pub ready: Duration,
    /// How long a client may take till its first op, and from the start of a message to its end; and how long
    /// to take an answer.
    pub greeting: Duration,
    pub relay: Duration,
    /// How long a client that is let go may go on talking.
    pub linger: Duration,
    /// How long discovery may take for a whole list, and a watch may stay silent: it speaks every 2 s.
    pub fetch: Duration,
    pub silence: Duration,
    /// How long a router that is to end goes on accepting, and how long its last ops may take.
    pub accept: Duration,
    pub last: Duration,
    /// How long a host that is gone is remembered: longer than any send, and than the end of one is on its way.
    pub forget: Duration,
    /// How long is waited before something is tried once more.
    pub pause: Duration,
    /// How far a position may lie ahead of this router's clock.
    pub ahead: TimeDelta,
    /// How often the thread notes that it comes round.
    pub beat: Duration,
    /// How often cells are asked what time has changed.
    pub tick: Duration,
    /// How often the tally is logged.
    pub tally: Duration,
    /// Lines of a list that are taken at once; a longer one is worked off in slices.
    pub slice: usize,
    /// Groups that are remembered as asked for since the start.
    pub wanted: usize,
    /// Within this time a slice is due: a host that a list closes is closed before the grace is over.
    pub listed: Duration,
    /// How often a start is looked at, and what other routers hint at.
    pub look: Duration,
    /// How long a list may wait to be stored while ops want the thread.
    pub store: Duration,
}

/// Values are of 64 KiB at most; as text each of their bytes takes two, and the statement some more.
const VALUE: usize = 64 * 1024;
const STATEMENT: usize = 8 * 1024;

impl Limits {
    pub fn new(waybill: &Waybill, manifest: &RouterSettings) -> Self {
        let message = 2 * VALUE + STATEMENT;
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
            clients: (sockets * 9 / 32).max(1),
            crowd: sockets / 16,
            links: sockets * 13 / 32,
            ops: told.min(sockets),
            // The rest is for what clients send just now, and for answers.
            held: waybill.memory_mb * 1024 * 1024 / 4,
            inbox: 1024,
            message,
            // Danger: hosts' values are larger than a client may send. What bounds them is this router's memory.
            answer: (waybill.memory_mb * 1024 * 1024 / 16).max(message),
            aside: 16 * 1024,
            large: waybill.memory_mb * 1024 * 1024 / 4,
            list: 4 * 1024 * 1024,
            head: 16 * 1024,
            read: 4 * 1024,
            reads: 20,
            log_lines: 50,
            connect: told_span("connect_timeout"),
            idle: told_span("idle_close").mul_f64(0.8),
            ready: duration(manifest.time_delta("tick").max(TimeDelta::from_millis(1))),
            // A connection without an open op may be closed after 2 s, and one that only holds a place must be within 3.
            greeting: Duration::from_millis(2300),
            relay: Duration::from_secs(2),
            linger: Duration::from_millis(200),
            fetch: Duration::from_secs(3),
            silence: Duration::from_millis(2500),
            accept: Duration::from_millis(450),
            last,
            forget: last * 4,
            pause: Duration::from_millis(5),
            // Commits are told in whole milliseconds, rounded up.
            ahead: TimeDelta::from_millis(5),
            beat: Duration::from_millis(5),
            tick: Duration::from_millis(25),
            tally: Duration::from_secs(5),
            slice: 128,
            wanted: 1024,
            listed: Duration::from_millis(5),
            look: Duration::from_millis(50),
            store: Duration::from_secs(2),
        }
    }

    /// What cells divide. Each op in hand holds a client's connection, so that there are never more of them.
    pub fn of_cells(&self) -> Capacity {
        let ops = self.ops.min(self.clients * 7 / 8).max(1);
        // Of the connections to hosts, those that ops in hand cannot take.
        let probes = self.links.saturating_sub(ops).max(1);
        Capacity { ops: ops as u64, bytes: self.held as u64, probes: probes as u64 }
    }
}

#[cfg(any(test, feature = "blank"))]
impl Limits {
    /// Of a router that is told these settings and otherwise the least.
    pub fn told(settings: serde_json::Value) -> (Waybill, RouterSettings, Limits) {
        let told = serde_json::json!({"name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
            "seed": "1f", "settings": settings});
        let waybill = Waybill::of(&told, |_| None).expect("it is whole");
        let manifest = arrowyard_platform_settings::manifest(&waybill.settings).expect("its types are right");
        let limits = Limits::new(&waybill, &manifest);
        (waybill, manifest, limits)
    }
}
