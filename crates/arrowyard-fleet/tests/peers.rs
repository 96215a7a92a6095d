//! Membership under faults in simulated time, with fleets larger than one machine can run as processes.

use arrowyard_fleet::membership::{ArrowyardNode, MemberState, MembershipSimulation};
use arrowyard_testbed::plan::{Fault, Plan};
use arrowyard_types::TimeDelta;

fn simulation(plan: Plan) -> MembershipSimulation {
    let count = plan.processes;
    MembershipSimulation::new(
        plan,
        Box::new(move |now, index, seed| {
            Box::new(ArrowyardNode::new(now, index, &[0, 1, 2], count as f64, seed))
        }),
    )
}

#[test]
fn no_running_member_is_declared_dead_while_it_is_reachable_through_others() {
    for count in [3, 8, 30] {
        for name in [
            "halt-0.5",
            "halt-3",
            "halt-third",
            "loss-30",
            "one-side",
            "all-to-one",
            "ring",
            "flapping",
            "rough",
        ] {
            // With three members, `ring` leaves no indirect path, and `flapping` cuts off half of the others.
            if count == 3 && ["ring", "flapping"].contains(&name) {
                continue;
            }
            for seed in 1..4 {
                let plan = Plan { seed, ..Plan::named(name, count).expect("the plan exists") };
                let mut simulation = simulation(plan.clone());
                let false_deaths = simulation.run().false_deaths.len();
                assert_eq!(false_deaths, 0, "{}", plan.to_json());
                assert!(simulation.is_converged(), "{:?}: {}", simulation.alive_counts(), plan.to_json());
            }
        }
    }
}

#[test]
fn a_crash_is_detected_by_99_percent_of_members_within_three_seconds() {
    for count in [3, 8, 30, 100] {
        for seed in 1..6 {
            let plan = Plan { seed, ..Plan::named("crash", count).expect("the plan exists") };
            let mut simulation = simulation(plan.clone());
            let started_at = simulation.now;
            simulation.run_until(TimeDelta::from_millis(11_000));
            let killed_at = started_at + TimeDelta::from_millis(8_000);
            let detected = (0..count).filter(|&member| {
                simulation.stats.state_changes.iter().any(|&(at, observer, subject, state)| {
                    observer == member && subject == 1 && at >= killed_at && state >= MemberState::Silent
                })
            });
            let missing = count - 1 - detected.count();
            assert!(missing * 100 <= count, "{missing} have not detected it: {}", plan.to_json());
        }
    }
}

#[test]
fn views_converge_within_five_seconds_after_an_hour_of_partition_with_changes_on_both_sides() {
    let hour = 3_600_000;
    let plan = Plan::new("hour", 8, hour + 40_000)
        .with_fault(8_000, hour, Fault::Partition(vec![0, 1, 2, 3], vec![4, 5, 6, 7]))
        .with_fault(600_000, 1_000, Fault::Kill(vec![2]))
        .with_fault(900_000, 1_000, Fault::Shutdown(vec![6]))
        .with_fault(1_200_000, 2 * hour, Fault::Kill(vec![7]));
    let mut simulation = simulation(plan);
    simulation.run_until(TimeDelta::from_millis(8_000 + hour as i64 + 5_000));
    assert!(simulation.is_converged(), "{:?}", simulation.alive_counts());
}

#[test]
fn a_hundred_members_that_start_at_once_converge_although_one_of_three_seeds_is_absent() {
    let plan = Plan::new("start", 100, 20_000);
    let mut simulation = MembershipSimulation::new(
        plan,
        Box::new(|now, index, seed| Box::new(ArrowyardNode::new(now, index, &[0, 1, 4000], 100.0, seed))),
    );
    simulation.run_until(TimeDelta::from_millis(10_000));
    assert!(simulation.is_converged(), "{:?}", simulation.alive_counts());
    assert!(simulation.stats.largest_datagram <= 1200);
}
