//! Failures of a whole fleet that a single router does not show, each reproduced by a small deterministic
//! run.

use arrowyard_fleet::{Event, FleetConfig, FleetCounts, FleetSimulation};
use arrowyard_types::TimeDelta;

fn ms(millis: i64) -> TimeDelta {
    TimeDelta::from_millis(millis)
}

fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

#[test]
fn routers_do_not_probe_for_primaries_at_startup_if_the_host_list_names_them() {
    let probes_per_request = |routers: usize, list_names_primaries: bool| {
        let mut simulation =
            FleetSimulation::new(FleetConfig { routers, list_names_primaries, ..FleetConfig::default() });
        let counts = *simulation.run_for(ms(4000));
        ratio(counts.probes, counts.requests)
    };
    // Each of the 300 routers gets ops of each group in this time; a round of probes for each group would be
    // one probe per op.
    assert!(probes_per_request(300, false) > 1.0, "{}", probes_per_request(300, false));
    assert!(probes_per_request(300, true) < 0.45, "{}", probes_per_request(300, true));
    assert!(
        probes_per_request(1, true) < 0.2,
        "a single router learns all positions from replies: {}",
        probes_per_request(1, true)
    );
}

#[test]
fn routers_that_wait_for_a_new_primary_do_not_probe_all_hosts_of_the_group() {
    // Enough load that each of the 30 routers always has a write waiting.
    let config = FleetConfig {
        routers: 30,
        groups: 2,
        cores_per_host: 24,
        ops_per_second: 600.0,
        ..FleetConfig::default()
    };
    let mut simulation = FleetSimulation::new(config);
    simulation.run_for(ms(4000));
    simulation.take_counts();
    let before: Vec<u64> = simulation.hosts.iter().map(|host| host.probes).collect();
    simulation.schedule_event(ms(0), Event::PrimaryFailure(0));
    simulation.run_for(ms(4000));
    let probes: Vec<u64> = (0..3).map(|index| simulation.hosts[index].probes - before[index]).collect();
    // 853 if all hosts are probed as often as the one that is promoted.
    assert!(probes.iter().sum::<u64>() < 700, "{probes:?}");
    simulation.run_for(ms(1000));
    simulation.take_counts();
    let counts = *simulation.run_for(ms(2000));
    assert!(ratio(counts.writes_acked, counts.writes) > 0.95, "the new primary was not found: {counts:?}");
}

#[test]
fn ops_that_were_never_sent_are_not_rejected_late() {
    for routers in [1, 30, 300] {
        let mut simulation = FleetSimulation::new(FleetConfig { routers, ..FleetConfig::default() });
        simulation.run_for(ms(2000));
        simulation.take_counts();
        simulation.schedule_event(ms(0), Event::RemoveGroup(1));
        simulation.schedule_event(ms(0), Event::PrimaryFailure(3));
        let counts = *simulation.run_for(ms(4000));
        assert!(counts.busy > 100, "one of eight groups is removed: {counts:?}");
        assert_eq!(counts.late_rejections, 0, "{routers}: {counts:?}");
    }
}

/// Replaces four of eight groups by cold hosts. Returns the highest peak load of a cold host and the mean
/// share of ops acked over several seeds.
fn replace_half_the_hosts(routers: usize) -> (f64, f64) {
    let runs = (1..6).map(|seed| {
        let mut simulation = FleetSimulation::new(FleetConfig { routers, seed, ..FleetConfig::default() });
        simulation.run_for(ms(6000));
        (0..4)
            .for_each(|group| simulation.schedule_event(ms(500 * group as i64), Event::ReplaceHosts(group)));
        simulation.take_counts();
        let counts = *simulation.run_for(ms(8000));
        (
            simulation.peak_warmup_load(ms(1500)),
            ratio(counts.acked_in_time + counts.acked_late, counts.requests),
        )
    });
    let runs: Vec<_> = runs.collect();
    let peak_load = runs.iter().map(|(peak_load, _)| *peak_load).fold(0.0, f64::max);
    (peak_load, runs.iter().map(|(_, acked)| acked).sum::<f64>() / runs.len() as f64)
}

#[test]
fn cold_hosts_are_not_overloaded_by_any_number_of_routers() {
    // The hosts are as cold, and for as long, as the settings allow.
    for routers in [1, 8, 30, 300] {
        let (peak_load, acked) = replace_half_the_hosts(routers);
        assert!(peak_load < 2.0 && acked > 0.6, "{routers} routers: {peak_load}, {acked}");
    }
}

#[test]
fn routers_with_few_ops_do_not_spend_most_of_their_budgets_on_cold_hosts() {
    let (peak_load, acked) = replace_half_the_hosts(100);
    assert!(
        peak_load < 2.0 && acked > 0.73,
        "{peak_load}, {acked}: 0.711 without the allowance for routers with few ops"
    );
}

#[test]
fn routers_with_few_ops_recover_from_an_overload() {
    for routers in [30, 100] {
        let mut simulation = FleetSimulation::new(FleetConfig { routers, ..FleetConfig::default() });
        simulation.run_for(ms(3000));
        simulation.take_counts();
        simulation.schedule_event(ms(0), Event::Slowdown(12.0));
        simulation.schedule_event(ms(4000), Event::Slowdown(1.0));
        simulation.run_for(ms(4000));
        let overloaded: FleetCounts = simulation.take_counts();
        assert!(ratio(overloaded.busy, overloaded.requests) > 0.25, "{routers}: {overloaded:?}");
        // Until the hosts have worked off their queues.
        simulation.run_for(ms(8000));
        simulation.take_counts();
        let recovered = *simulation.run_for(ms(4000));
        assert!(
            ratio(recovered.busy, recovered.requests) < 0.03,
            "{routers}: {recovered:?}; at least a seventh if the overload estimate does not decay"
        );
    }
}

#[test]
fn a_seed_determines_the_run() {
    let run = |seed: u64| {
        *FleetSimulation::new(FleetConfig { seed, routers: 20, ..FleetConfig::default() }).run_for(ms(3000))
    };
    assert_eq!(run(3), run(3));
    assert_ne!(run(3), run(4));
}

/// Clients that retry five times, soon, regardless of the replies they get.
fn config_with_retrying_clients(routers: usize) -> FleetConfig {
    FleetConfig { routers, client_retries: 5, client_retry_delay: ms(100), ..FleetConfig::default() }
}

/// Shares of ops acked in time before the trigger, and `recovery_ms` after its end.
fn acked_before_and_after(
    mut simulation: FleetSimulation,
    trigger: &[(i64, Event)],
    trigger_ms: i64,
    recovery_ms: i64,
) -> (f64, f64) {
    simulation.run_for(ms(6000));
    simulation.take_counts();
    let before = *simulation.run_for(ms(4000));
    trigger.iter().for_each(|(after, event)| simulation.schedule_event(ms(*after), *event));
    simulation.run_for(ms(trigger_ms + recovery_ms));
    simulation.take_counts();
    let after = *simulation.run_for(ms(4000));
    (ratio(before.acked_in_time, before.requests), ratio(after.acked_in_time, after.requests))
}

#[test]
fn throughput_recovers_after_a_trigger_although_clients_retry_five_times() {
    for routers in [1, 30, 300] {
        // Slow hosts for four seconds; and 70 % of the routers killed at once while the hosts are slow.
        let slow_hosts = [(0, Event::Slowdown(8.0)), (4000, Event::Slowdown(1.0))];
        let restarts = [
            (0, Event::RestartRouters(routers * 7 / 10 + 1)),
            (0, Event::Slowdown(4.0)),
            (3000, Event::Slowdown(1.0)),
        ];
        // With 300 routers each of them sees few overloaded hosts, and sends most retries for half a minute.
        let recovery_ms = if routers > 30 { 35_000 } else { 8_000 };
        for (name, trigger, trigger_ms) in [("slow", &slow_hosts[..], 4000), ("herd", &restarts[..], 3000)] {
            let (before, after) = acked_before_and_after(
                FleetSimulation::new(config_with_retrying_clients(routers)),
                trigger,
                trigger_ms,
                recovery_ms,
            );
            assert!(after > before * 0.95, "{name}, {routers} routers: {after} after, {before} before");
        }
    }
}

#[test]
fn throughput_recovers_within_two_seconds_after_many_routers_restart() {
    for routers in [30, 300] {
        let mut simulation = FleetSimulation::new(FleetConfig { routers, ..FleetConfig::default() });
        simulation.run_for(ms(6000));
        simulation.take_counts();
        let before = *simulation.run_for(ms(4000));
        simulation.schedule_event(ms(0), Event::RestartRouters(routers * 7 / 10));
        simulation.run_for(ms(2000));
        simulation.take_counts();
        let after = *simulation.run_for(ms(4000));
        let (before, after) =
            (ratio(before.acked_in_time, before.requests), ratio(after.acked_in_time, after.requests));
        assert!(after > before * 0.95, "{routers}: {after} after, {before} before");
    }
}
