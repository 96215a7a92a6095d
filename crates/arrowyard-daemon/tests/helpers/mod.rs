//! Helpers shared by the tests of router restarts.

use std::path::Path;
use std::time::Duration;

use arrowyard_testbed::load::{LoadResult, TenantLoad, run_load};
use arrowyard_testbed::rig::{Rig, RigConfig};
use arrowyard_testbed::router::OP_TYPES;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Starts the routers of the configuration.
pub fn start_rig(config: RigConfig) -> Rig {
    Rig::start(Path::new(env!("CARGO_BIN_EXE_arrowyard")), config).expect("the routers start")
}

/// One router without a fleet and without a list of hosts from the platform.
pub fn single_router_config(with_stores: bool) -> RigConfig {
    RigConfig { without_membership: true, initial_host_list: false, with_stores, ..RigConfig::new(1) }
}

/// Sends ops to router `index` for `duration` from another thread.
pub fn spawn_ops(
    rig: &Rig,
    index: usize,
    duration: Duration,
    seed: u64,
) -> std::thread::JoinHandle<LoadResult> {
    let address = rig.process(index).expect("the router runs").address;
    std::thread::spawn(move || {
        let mix = vec![(0, 3), (1, 3), (2, 2), (3, 2)];
        let load = TenantLoad {
            tenant: "t",
            group: 7,
            rate: 60.0,
            mix,
            start: Duration::ZERO,
            end: duration,
            sessions: 20,
        };
        run_load(address, &OP_TYPES, &[load], seed, |_| {})
    })
}

/// Waits for a log line of router `index` that contains `text`; whether there was one within the timeout.
pub fn wait_for_log(rig: &Rig, index: usize, text: &str, timeout_ms: u64) -> bool {
    rig.process(index).is_some_and(|process| process.wait_for_log(text, ms(timeout_ms)))
}

/// Asserts that every op was answered, no write was applied twice and every acknowledged write is stored.
pub fn assert_invariants(rig: &Rig, result: &LoadResult) {
    let ledger = rig.cluster.ledger();
    assert_eq!(result.tenant_stats("t").unanswered, 0);
    assert!(ledger.applied.values().all(|applications| applications.len() == 1));
    assert!(result.acked_writes.iter().all(|token| ledger.applied.contains_key(&format!("{token:016x}"))));
}
