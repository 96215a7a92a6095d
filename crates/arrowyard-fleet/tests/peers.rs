//! Membership's hard cases in simulated time, at sizes that no machine plays with processes.

use arrowyard_fleet::peers::{Ours, Said, World};
use arrowyard_testbed::plan::{Fault, Plan};
use arrowyard_types::TimeDelta;

fn world(plan: Plan) -> World {
    let count = plan.processes;
    World::new(
        plan,
        Box::new(move |now, who, seed| Box::new(Ours::new(now, who, &[0, 1, 2], count as f64, seed))),
    )
}

#[test]
fn no_death_by_halts_losses_and_cuts_that_leave_a_way_round() {
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
            // Of three, a ring of one-sided cuts leaves no way round at all, and one of two others is a half.
            if count == 3 && ["ring", "flapping"].contains(&name) {
                continue;
            }
            for seed in 1..4 {
                let plan = Plan { seed, ..Plan::named(name, count).expect("it has a name") };
                let mut world = world(plan.clone());
                let wrong = world.play().wrong.len();
                assert_eq!(wrong, 0, "{}", plan.to_json());
                assert!(world.agreed(), "{:?}: {}", world.held(), plan.to_json());
            }
        }
    }
}

#[test]
fn a_crash_is_known_to_99_of_100_within_three_seconds() {
    for count in [3, 8, 30, 100] {
        for seed in 1..6 {
            let plan = Plan { seed, ..Plan::named("crash", count).expect("it has a name") };
            let mut world = world(plan.clone());
            let begin = world.now;
            world.till(TimeDelta::from_millis(11_000));
            let killed = begin + TimeDelta::from_millis(8_000);
            let known =
                (0..count).filter(|&by| {
                    world.books.said.iter().any(|&(at, who, of, said)| {
                        who == by && of == 1 && at >= killed && said >= Said::Silent
                    })
                });
            let missing = count - 1 - known.count();
            assert!(missing * 100 <= count, "{missing} do not know: {}", plan.to_json());
        }
    }
}

#[test]
fn after_a_cut_of_an_hour_in_which_both_sides_changed_there_is_one_view_within_five_seconds() {
    let hour = 3_600_000;
    let plan = Plan::new("hour", 8, hour + 40_000)
        .with_fault(8_000, hour, Fault::Partition(vec![0, 1, 2, 3], vec![4, 5, 6, 7]))
        .with_fault(600_000, 1_000, Fault::Kill(vec![2]))
        .with_fault(900_000, 1_000, Fault::Shutdown(vec![6]))
        .with_fault(1_200_000, 2 * hour, Fault::Kill(vec![7]));
    let mut world = world(plan);
    world.till(TimeDelta::from_millis(8_000 + hour as i64 + 5_000));
    assert!(world.agreed(), "{:?}", world.held());
}

#[test]
fn a_hundred_start_at_once_with_one_seed_in_three_gone() {
    let plan = Plan::new("start", 100, 20_000);
    let mut world = World::new(
        plan,
        Box::new(|now, who, seed| Box::new(Ours::new(now, who, &[0, 1, 4000], 100.0, seed))),
    );
    world.till(TimeDelta::from_millis(10_000));
    assert!(world.agreed(), "{:?}", world.held());
    assert!(world.books.largest <= 1200);
}
