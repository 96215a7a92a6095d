//! A host list with thousands of entries sent to a router process. A test program of its own, because its
//! time limits would not hold while tests of whole fleets use the same cores.

mod helpers;

use helpers::{assert_invariants, ms, single_router_config, spawn_ops, start_rig, wait_for_log};

#[test]
fn a_list_of_thousands_of_hosts_delays_neither_ops_nor_a_drain() {
    let rig = start_rig(single_router_config(false));
    assert!(wait_for_log(&rig, 0, "host is Ready", 5_000));
    let load_thread = spawn_ops(&rig, 0, ms(4_000), 160);
    std::thread::sleep(ms(500));
    rig.cluster.list_extra_hosts(3_000, 0, usize::MAX);
    std::thread::sleep(ms(20));
    // The next list drains a host while the first one is still being processed.
    rig.cluster.drain("r-1");
    let result = load_thread.join().expect("the load has been sent");
    assert_invariants(&rig, &result);
    // Late replies count as well, since the machine may be busy with other tests.
    let stats = result.tenant_stats("t");
    let acked_share = (stats.in_target + stats.late) as f64 / stats.sent as f64;
    assert!(acked_share > 0.9, "{acked_share} of {}", stats.sent);
    assert_eq!(rig.cluster.late_commands("r-1"), 0, "commands after the drain's grace period");
}
