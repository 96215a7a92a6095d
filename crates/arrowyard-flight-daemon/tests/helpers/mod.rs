//! Starts a router with Flight SQL in front of simulated hosts.

#![allow(dead_code, reason = "each test binary uses a part of this module")]

use std::path::Path;

use arrowyard_testbed::client::OpRequest;
use arrowyard_testbed::router::{OpType, platform_config};
use arrowyard_testbed::{Cluster, HostSpec, Process};
use tokio::runtime::Runtime;

/// The op types of the tests.
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

/// Indices of `OP_TYPES`.
pub const VIEW: usize = 0;
pub const OWN_READ: usize = 1;
pub const SUBMIT: usize = 2;
pub const STANDINGS: usize = 3;
pub const BUY: usize = 4;

pub fn runtime() -> Runtime {
    Runtime::new().expect("the runtime starts")
}

/// The hosts of group 7: a primary `p-0` and the given number of replicas `r-0`, `r-1` and so on.
pub fn host_specs(replicas: usize, flight: bool) -> Vec<HostSpec> {
    let names = ["p-0".to_string()].into_iter().chain((0..replicas).map(|number| format!("r-{number}")));
    names.map(|name| HostSpec { flight, ..HostSpec::new(&name, 7, name == "p-0") }).collect()
}

/// Starts the router with further fields in the `flight` section of the operator's file.
pub fn start_router(cluster: &Cluster, flight_hosts: bool, flight_fields: &str) -> Process {
    start_router_with_sections(cluster, flight_hosts, flight_fields, "")
}

/// Starts the router with a limit on sockets, which also limits its ops.
pub fn start_router_with_sockets(cluster: &Cluster, flight_fields: &str, sockets: u32) -> Process {
    let config =
        format!("epoch: 1\nflight {{ listen: \"127.0.0.1:0\" hosts: FLIGHT_SQL {flight_fields} }}\n");
    let program = Path::new(env!("CARGO_BIN_EXE_arrowyard-flight"));
    Process::start(program, &platform_config(cluster, &OP_TYPES, sockets), Some(&config))
        .expect("the router starts")
}

/// Starts the router with further fields of the `flight` section and further sections of the operator's file.
pub fn start_router_with_sections(
    cluster: &Cluster,
    flight_hosts: bool,
    flight_fields: &str,
    sections: &str,
) -> Process {
    let hosts = if flight_hosts { "FLIGHT_SQL" } else { "POSTGRESQL" };
    let config = format!(
        "epoch: 1\nflight {{ listen: \"127.0.0.1:0\" hosts: {hosts} {flight_fields} }}\n{sections}\n"
    );
    let program = Path::new(env!("CARGO_BIN_EXE_arrowyard-flight"));
    Process::start(program, &platform_config(cluster, &OP_TYPES, 512), Some(&config))
        .expect("the router starts")
}

/// A request of the given op type for group 7.
pub fn op_request(op_type: usize, id: u64, session: u64) -> OpRequest<'static> {
    let op_type_config = OP_TYPES[op_type];
    let (timeout_ms, is_write) = (op_type_config.timeout_ms, op_type_config.read_level == "update");
    let token = (op_type == SUBMIT).then_some(id);
    let (op_type, tenant, group, is_retry) = (op_type_config.name, None, 7, false);
    OpRequest { id, op_type, tenant, group, timeout_ms, token, is_retry, session, is_write }
}
