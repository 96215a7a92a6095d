//! Fair shares of the shipped planes during a load surge of one kind of requests, with faults of machines
//! and hosts. All bounds are in simulated time, so the results are deterministic.

use arrowyard_emulator::shares::{
    SURGE_END_S, SURGE_START_S, SurgeStats, returning_kind_scenario, surge_scenario, surge_stats,
};
use arrowyard_emulator::{Fault, FaultKind, RunResult, Scenario, Surge, run_scenario};

fn surge_stats_of(result: &RunResult, kind: &str) -> SurgeStats {
    let violations = &result.violations;
    assert!(violations.is_empty(), "{:?}", violations.first());
    surge_stats(result).into_iter().find(|stats| stats.kind == kind).expect("the kind has requests")
}

fn surged_scenario(routers: usize) -> Scenario {
    surge_scenario(3, routers, 1, true, false)
}

/// Asserts that the other kinds keep their throughput: at least the ratio `within_target` of their operations
/// is within the latency target during the surge, and at least `worst_second` in each second of it.
fn assert_others_keep_throughput(result: &RunResult, within_target: f64, worst_second: f64) {
    for kind in ["primary", "own"] {
        let stats = surge_stats_of(result, kind);
        assert!(stats.within_target >= within_target && stats.worst_second >= worst_second, "{stats:?}");
    }
}

#[test]
fn division_protects_other_kinds_from_a_surge() {
    for routers in [2, 6] {
        let divided = run_scenario(&surged_scenario(routers));
        assert_others_keep_throughput(&divided, 0.97, 0.7);
        let undivided = run_scenario(&Scenario { divide_hosts: false, ..surged_scenario(routers) });
        for kind in ["primary", "own"] {
            assert!(
                surge_stats_of(&undivided, kind).within_target < 0.8,
                "the surge has no effect: {:?}",
                surge_stats_of(&undivided, kind)
            );
        }
        // Division does not reduce the total throughput of the hosts.
        assert!(
            divided.statements_run as f64 >= 0.97 * undivided.statements_run as f64,
            "{} of {}",
            divided.statements_run,
            undivided.statements_run
        );
    }
}

#[test]
fn surge_is_limited_at_one_router_and_at_thirty() {
    let mut surge_at_one_router = surged_scenario(6);
    surge_at_one_router.surges[0].routers = vec![0];
    assert_others_keep_throughput(&run_scenario(&surge_at_one_router), 0.95, 0.75);
    assert_others_keep_throughput(&run_scenario(&surged_scenario(30)), 0.97, 0.8);
}

#[test]
fn shares_of_a_killed_router_are_reassigned() {
    let kill = Fault { at: 9.0, duration_s: 2.0, kind: FaultKind::KillRouter, target_index: 1 };
    let result = run_scenario(&Scenario { faults: vec![kill], ..surged_scenario(3) });
    // The killed router's own clients lose their current operations.
    assert_others_keep_throughput(&result, 0.93, 0.4);
}

#[test]
fn shares_hold_without_the_dividing_control_machine_or_any() {
    let crash = |at, target_index| Fault { at, duration_s: 3.0, kind: FaultKind::KillControl, target_index };
    for target_index in 0..3 {
        let result = run_scenario(&Scenario { faults: vec![crash(8.0, target_index)], ..surged_scenario(6) });
        assert_others_keep_throughput(&result, 0.9, 0.3);
    }
    // All control machines are down from the middle of the surge to its end; routers keep their last
    // shares.
    let power_loss =
        |target_index| Fault { at: 8.0, duration_s: 6.0, kind: FaultKind::DarkControl, target_index };
    let result = run_scenario(&Scenario {
        faults: vec![power_loss(0), power_loss(1), power_loss(2)],
        ..surged_scenario(6)
    });
    assert_others_keep_throughput(&result, 0.8, 0.3);
    assert!(
        surge_stats_of(&result, "bounded").within_target > 0.05,
        "the surging kind is served with its last shares"
    );
}

#[test]
fn change_of_primary_during_a_surge_costs_no_more_than_without_one() {
    for (kind, duration_s) in [(FaultKind::ReleasePrimary, 4.0), (FaultKind::CrashPrimary, 3.0)] {
        let fault = Fault { at: 8.0, duration_s, kind, target_index: 0 };
        let surged = run_scenario(&Scenario { faults: vec![fault.clone()], ..surged_scenario(3) });
        let baseline =
            run_scenario(&Scenario { faults: vec![fault], surges: Vec::new(), ..surged_scenario(3) });
        let (surged, baseline) = (
            surge_stats_of(&surged, "primary").within_target,
            surge_stats_of(&baseline, "primary").within_target,
        );
        assert!(surged >= baseline - 0.08, "{kind:?}: {surged}, {baseline} without a surge");
    }
}

#[test]
fn returning_kind_gets_its_share_at_once() {
    let scenario = returning_kind_scenario(3, 6);
    let result = run_scenario(&scenario);
    let stats = &result.stats_by_kind["primary"];
    let at = |seconds: f64| arrowyard_types::Timestamp::from_micros((seconds * 1e6) as i64);
    // The first moments include the setup of sessions and connections.
    let (total, within_target) = stats.count_between(at(9.7), at(10.7));
    assert!(
        total > 100 && within_target as f64 >= 0.95 * total as f64,
        "{within_target} of {total} within the second after 200 ms"
    );
}

#[test]
fn competing_kinds_share_by_weight() {
    let surge_of = |kind: &str| Surge {
        at: SURGE_START_S,
        duration_s: SURGE_END_S - SURGE_START_S,
        kind: kind.to_string(),
        users: 200,
        think_ms: 50,
        expensive: true,
        routers: Vec::new(),
    };
    // The configuration promises half of the capacity to `own_region` reads.
    let shares = r#"[{"name":"own_region/1","weight":6}]"#;
    let unweighted =
        run_scenario(&Scenario { surges: vec![surge_of("bounded"), surge_of("own")], ..surged_scenario(4) });
    let weighted = run_scenario(&Scenario {
        surges: vec![surge_of("bounded"), surge_of("own")],
        shares: shares.to_string(),
        ..surged_scenario(4)
    });
    let served = |result: &RunResult, kind: &str| result.stats_by_kind[kind].served as f64;
    let ratio = |result: &RunResult| served(result, "own") / served(result, "bounded");
    assert!((0.6..=1.7).contains(&ratio(&unweighted)), "unweighted ratio {}", ratio(&unweighted));
    assert!(
        ratio(&weighted) > 1.5 * ratio(&unweighted),
        "weighted ratio {}, unweighted {}",
        ratio(&weighted),
        ratio(&unweighted)
    );
    assert_primary_keeps_throughput(&unweighted);
    assert_primary_keeps_throughput(&weighted);
}

fn assert_primary_keeps_throughput(result: &RunResult) {
    let stats = surge_stats_of(result, "primary");
    assert!(stats.within_target >= 0.9, "{stats:?}");
}

#[test]
fn combined_faults_during_a_surge_violate_no_invariant() {
    for seed in 1..4 {
        let result = run_scenario(&surge_scenario(seed, 6, 2, true, true));
        assert!(result.violations.is_empty(), "{:?}", result.violations.first());
    }
}
