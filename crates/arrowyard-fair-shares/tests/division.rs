//! Properties of weighted max-min division, checked on generated contenders.

use arrowyard_fair_shares::{ClassShare, Contender, ShareConfig, weighted_max_min};
use proptest::prelude::*;

fn contender(demand: f64, weight: f64) -> Contender {
    Contender { demand, weight, guaranteed: 0.0, limit: f64::INFINITY, held_elsewhere: 0.0 }
}

fn near(a: f64, b: f64) -> bool {
    (a - b).abs() <= 1e-6 * (1.0 + a.abs().max(b.abs()))
}

fn contenders() -> impl Strategy<Value = Vec<Contender>> {
    let weight = prop_oneof![Just(0.0), Just(1.0), Just(1e6), 0.1..10.0];
    let contender = (0.0..20.0_f64, weight, 0.0..4.0_f64, 0.0..20.0_f64).prop_map(
        |(demand, weight, guaranteed, limit)| Contender {
            demand,
            weight,
            guaranteed,
            limit,
            held_elsewhere: 0.0,
        },
    );
    prop::collection::vec(contender, 1..7)
}

proptest! {
    #[test]
    fn no_share_exceeds_its_bounds_and_no_wanted_capacity_is_left_over(capacity in 0.0..30.0_f64, contenders in contenders()) {
        let shares = weighted_max_min(capacity, &contenders);
        let sum: f64 = shares.iter().sum();
        prop_assert!(sum <= capacity + 1e-6, "{sum} of {capacity}");
        let upper: Vec<f64> = contenders.iter().map(|contender| contender.demand.min(contender.limit)).collect();
        for (share, upper) in shares.iter().zip(&upper) {
            prop_assert!(*share >= 0.0 && *share <= upper + 1e-6);
        }
        let total_demand: f64 = upper.iter().sum();
        prop_assert!(near(sum, total_demand.min(capacity)), "{sum} of {capacity}, demand {total_demand}");
    }

    #[test]
    fn a_smaller_share_by_weight_is_satisfied_or_yields_to_a_guarantee(
        capacity in 0.1..30.0_f64, contenders in contenders(),
    ) {
        let shares = weighted_max_min(capacity, &contenders);
        for (a, a_share) in contenders.iter().zip(&shares) {
            for (b, b_share) in contenders.iter().zip(&shares) {
                let satisfied = near(*a_share, a.demand.min(a.limit));
                let guaranteed = *b_share <= b.guaranteed.min(b.demand).min(b.limit) + 1e-6;
                let fair = if a.weight > 0.0 && b.weight > 0.0 {
                    a_share / a.weight >= b_share / b.weight - 1e-6 * (1.0 + b_share / b.weight)
                } else {
                    // Contenders with a weight go before contenders of weight 0.
                    a.weight <= 0.0 || *b_share <= b.guaranteed.max(0.0) + 1e-6
                };
                prop_assert!(satisfied || guaranteed || fair, "{contenders:?} {shares:?}");
            }
        }
    }

    #[test]
    fn more_demand_of_one_claim_takes_nothing_from_the_weighted_share_of_another(
        demand in 0.0..5.0_f64, other_demand in 0.0..1000.0_f64, weight in 0.1..10.0_f64,
    ) {
        let share_before = weighted_max_min(10.0, &[contender(demand, weight), contender(1.0, 1.0)])[0];
        let share_after = weighted_max_min(10.0, &[contender(demand, weight), contender(other_demand, 1.0)])[0];
        let by_weight = 10.0 * weight / (weight + 1.0);
        prop_assert!(share_after >= share_before.min(by_weight) - 1e-6);
    }
}

#[test]
fn weights_of_zero_one_and_a_million() {
    let shares = weighted_max_min(10.0, &[contender(20.0, 0.0), contender(20.0, 1.0), contender(20.0, 1e6)]);
    assert!(shares[0].abs() < 1e-9 && shares[1] < 0.001 && shares[2] > 9.99, "{shares:?}");
    let shares = weighted_max_min(10.0, &[contender(20.0, 0.0), contender(1.0, 1.0), contender(2.0, 1e6)]);
    assert!(near(shares[0], 7.0) && near(shares[1], 1.0) && near(shares[2], 2.0), "{shares:?}");
}

#[test]
fn idle_permits_are_lent_except_from_classes_that_do_not_lend_or_to_those_that_do_not_borrow() {
    let mut config = ShareConfig::default();
    let reserving =
        ClassShare { min_fraction: 0.4, lends: false, ..ClassShare::with_weight("reserving", 1.0) };
    let not_borrowing = ClassShare { borrows: false, ..ClassShare::with_weight("not_borrowing", 1.0) };
    let (reserving, not_borrowing) = (config.set_share(reserving), config.set_share(not_borrowing));
    let other = config.class_id("other");
    let demands = [(reserving, 0.0), (not_borrowing, 20.0), (other, 20.0)];
    let reserved = config.reserved(10.0, &demands);
    assert!(near(reserved, 4.0), "{reserved}");
    let shares = weighted_max_min(10.0 - reserved, &config.contenders(10.0, &demands));
    assert!(near(shares[0], 0.0) && near(shares[1], 3.0) && near(shares[2], 3.0), "{shares:?}");
    // A class that does not borrow gets its weight's part, even if the other one leaves permits over.
    let shares = weighted_max_min(10.0, &config.contenders(10.0, &[(not_borrowing, 20.0), (other, 20.0)]));
    assert!(near(shares[0], 5.0) && near(shares[1], 5.0), "{shares:?}");
    let shares = weighted_max_min(10.0, &config.contenders(10.0, &[(not_borrowing, 20.0), (other, 2.0)]));
    assert!(near(shares[0], 5.0), "{shares:?}");
}

#[test]
fn guarantees_beyond_the_capacity_are_cut_in_proportion() {
    let contender = |guaranteed| Contender {
        demand: 20.0,
        weight: 1.0,
        guaranteed,
        limit: f64::INFINITY,
        held_elsewhere: 0.0,
    };
    let shares = weighted_max_min(6.0, &[contender(6.0), contender(3.0)]);
    assert!(near(shares[0], 4.0) && near(shares[1], 2.0), "{shares:?}");
}

#[test]
fn permits_held_at_other_hosts_reduce_the_share_only_where_others_have_demand() {
    let elsewhere = Contender { held_elsewhere: 14.0, ..contender(20.0, 1.0) };
    let shares = weighted_max_min(7.0, &[contender(6.0, 1.0), elsewhere]);
    assert!(near(shares[0], 6.0) && near(shares[1], 1.0), "{shares:?}");
    // Alone it gets all permits, however many it holds elsewhere.
    assert!(near(weighted_max_min(7.0, &[elsewhere])[0], 7.0));
    let shares = weighted_max_min(
        10.0,
        &[Contender { held_elsewhere: 2.0, ..contender(20.0, 1.0) }, contender(20.0, 1.0)],
    );
    assert!(near(shares[0], 4.0) && near(shares[1], 6.0), "{shares:?}");
}

#[test]
fn the_number_of_distinct_classes_is_bounded() {
    let mut config = ShareConfig::default();
    let first = config.class_id("a");
    let ids: std::collections::BTreeSet<_> =
        (0..10_000).map(|number| config.class_id(&format!("n{number}"))).collect();
    assert!(ids.len() <= 4097, "{}", ids.len());
    assert_eq!(config.class_id("a"), first);
    assert_eq!(config.class_name(config.clone().class_id("n9999")), "(others)");
}
