//! A router with Flight SQL before a town, for the tests of this folder.

#![allow(dead_code, reason = "each test uses a part of this")]

use std::path::Path;

use arrowyard_testbed::client::OpRequest;
use arrowyard_testbed::router::{OpType, platform_config};
use arrowyard_testbed::{Cluster, HostSpec, Process};
use tokio::runtime::Runtime;

pub const OP_TYPES: [OpType; 5] = [
    OpType { name: "board-view", target_ms: 60, timeout_ms: 400, effect: "read_like", read_level: "recent" },
    OpType {
        name: "own-turn",
        target_ms: 60,
        timeout_ms: 400,
        effect: "read_like",
        read_level: "own_writes",
    },
    OpType {
        name: "turn-submit",
        target_ms: 100,
        timeout_ms: 500,
        effect: "idempotency_key",
        read_level: "update",
    },
    OpType { name: "standings", target_ms: 120, timeout_ms: 900, effect: "read_like", read_level: "loose" },
    OpType { name: "buy", target_ms: 100, timeout_ms: 500, effect: "non_idempotent", read_level: "update" },
];

pub const VIEW: usize = 0;
pub const OWN: usize = 1;
pub const SUBMIT: usize = 2;
pub const STANDINGS: usize = 3;
pub const BUY: usize = 4;

pub fn runtime() -> Runtime {
    Runtime::new().expect("threads can be had")
}

/// A group of a primary `p-0` and so many replicas `r-0`, `r-1`.
pub fn specs(replicas: usize, flight: bool) -> Vec<HostSpec> {
    let names = ["p-0".to_string()].into_iter().chain((0..replicas).map(|number| format!("r-{number}")));
    names.map(|name| HostSpec { flight, ..HostSpec::new(&name, 7, name == "p-0") }).collect()
}

/// Starts the router; `more` stands in the operator's file among what is said of Flight SQL.
pub fn start(cluster: &Cluster, flight_hosts: bool, more: &str) -> Process {
    start_with(cluster, flight_hosts, more, "")
}

/// With so many descriptors, and room for as many ops.
pub fn start_small(cluster: &Cluster, more: &str, sockets: u32) -> Process {
    let book = format!("epoch: 1\nflight {{ listen: \"127.0.0.1:0\" hosts: FLIGHT_SQL {more} }}\n");
    let program = Path::new(env!("CARGO_BIN_EXE_arrowyard-flight"));
    Process::start(program, &platform_config(cluster, &OP_TYPES, sockets), Some(&book)).expect("it starts")
}

/// `rest` stands in the operator's file beside it.
pub fn start_with(cluster: &Cluster, flight_hosts: bool, more: &str, rest: &str) -> Process {
    let hosts = if flight_hosts { "FLIGHT_SQL" } else { "POSTGRESQL" };
    let book = format!("epoch: 1\nflight {{ listen: \"127.0.0.1:0\" hosts: {hosts} {more} }}\n{rest}\n");
    let program = Path::new(env!("CARGO_BIN_EXE_arrowyard-flight"));
    Process::start(program, &platform_config(cluster, &OP_TYPES, 512), Some(&book)).expect("it starts")
}

pub fn ask(kind: usize, id: u64, session: u64) -> OpRequest<'static> {
    let row = OP_TYPES[kind];
    let (timeout_ms, is_write) = (row.timeout_ms, row.read_level == "update");
    let token = (kind == SUBMIT).then_some(id);
    let (op_type, tenant, group, is_retry) = (row.name, None, 7, false);
    OpRequest { id, op_type, tenant, group, timeout_ms, token, is_retry, session, is_write }
}
