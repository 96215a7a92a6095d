//! The division by itself: what weighted max-min means, held against drawn claims.

use arrowyard_fair_shares::{Claim, ServiceShare, ShareConfig, weighted_max_min};
use proptest::prelude::*;

fn claim(demand: f64, share: f64) -> Claim {
    Claim { demand, weight: share, guaranteed: 0.0, limit: f64::INFINITY, held_elsewhere: 0.0 }
}

fn near(a: f64, b: f64) -> bool {
    (a - b).abs() <= 1e-6 * (1.0 + a.abs().max(b.abs()))
}

fn claims() -> impl Strategy<Value = Vec<Claim>> {
    let share = prop_oneof![Just(0.0), Just(1.0), Just(1e6), 0.1..10.0];
    let one = (0.0..20.0_f64, share, 0.0..4.0_f64, 0.0..20.0_f64).prop_map(
        |(demand, weight, guaranteed, limit)| Claim {
            demand,
            weight,
            guaranteed,
            limit,
            held_elsewhere: 0.0,
        },
    );
    prop::collection::vec(one, 1..7)
}

proptest! {
    #[test]
    fn nobody_gets_more_than_it_may_and_nothing_that_is_wanted_is_left(capacity in 0.0..30.0_f64, claims in claims()) {
        let parts = weighted_max_min(capacity, &claims);
        let sum: f64 = parts.iter().sum();
        prop_assert!(sum <= capacity + 1e-6, "{sum} of {capacity}");
        let tops: Vec<f64> = claims.iter().map(|claim| claim.demand.min(claim.limit)).collect();
        for (part, top) in parts.iter().zip(&tops) {
            prop_assert!(*part >= 0.0 && *part <= top + 1e-6);
        }
        let wanted: f64 = tops.iter().sum();
        prop_assert!(near(sum, wanted.min(capacity)), "{sum} of {capacity}, {wanted} wanted");
    }

    #[test]
    fn whoever_has_less_for_its_weight_than_another_wants_no_more_or_the_other_has_its_least(
        capacity in 0.1..30.0_f64, claims in claims(),
    ) {
        let parts = weighted_max_min(capacity, &claims);
        for (a, mine) in claims.iter().zip(&parts) {
            for (b, theirs) in claims.iter().zip(&parts) {
                let sated = near(*mine, a.demand.min(a.limit));
                let least = *theirs <= b.guaranteed.min(b.demand).min(b.limit) + 1e-6;
                let fair = if a.weight > 0.0 && b.weight > 0.0 {
                    mine / a.weight >= theirs / b.weight - 1e-6 * (1.0 + theirs / b.weight)
                } else {
                    // Whoever has a weight goes before whoever has none.
                    a.weight <= 0.0 || *theirs <= b.guaranteed.max(0.0) + 1e-6
                };
                prop_assert!(sated || least || fair, "{claims:?} {parts:?}");
            }
        }
    }

    #[test]
    fn what_one_asks_more_takes_nothing_below_what_the_others_were_owed_by_weight(
        demand in 0.0..5.0_f64, flood in 0.0..1000.0_f64, share in 0.1..10.0_f64,
    ) {
        let calm = weighted_max_min(10.0, &[claim(demand, share), claim(1.0, 1.0)])[0];
        let pressed = weighted_max_min(10.0, &[claim(demand, share), claim(flood, 1.0)])[0];
        let by_weight = 10.0 * share / (share + 1.0);
        prop_assert!(pressed >= calm.min(by_weight) - 1e-6);
    }
}

#[test]
fn weights_of_nothing_one_and_a_million() {
    let parts = weighted_max_min(10.0, &[claim(20.0, 0.0), claim(20.0, 1.0), claim(20.0, 1e6)]);
    assert!(parts[0].abs() < 1e-9 && parts[1] < 0.001 && parts[2] > 9.99, "{parts:?}");
    let parts = weighted_max_min(10.0, &[claim(20.0, 0.0), claim(1.0, 1.0), claim(2.0, 1e6)]);
    assert!(near(parts[0], 7.0) && near(parts[1], 1.0) && near(parts[2], 2.0), "{parts:?}");
}

#[test]
fn what_is_idle_is_lent_except_by_who_does_not_lend_and_to_who_does_not_borrow() {
    let mut config = ShareConfig::default();
    let keeps = ServiceShare { min_fraction: 0.4, lends: false, ..ServiceShare::with_weight("keeps", 1.0) };
    let plain = ServiceShare { borrows: false, ..ServiceShare::with_weight("plain", 1.0) };
    let (keeps, plain) = (config.set_share(keeps), config.set_share(plain));
    let other = config.service_id("other");
    let asks = [(keeps, 0.0), (plain, 20.0), (other, 20.0)];
    let kept = config.reserved(10.0, &asks);
    assert!(near(kept, 4.0), "{kept}");
    let parts = weighted_max_min(10.0 - kept, &config.claims(10.0, &asks));
    assert!(near(parts[0], 0.0) && near(parts[1], 3.0) && near(parts[2], 3.0), "{parts:?}");
    // Alone, whoever does not borrow has its weight's part; the other one has the rest.
    let parts = weighted_max_min(10.0, &config.claims(10.0, &[(plain, 20.0), (other, 20.0)]));
    assert!(near(parts[0], 5.0) && near(parts[1], 5.0), "{parts:?}");
    let parts = weighted_max_min(10.0, &config.claims(10.0, &[(plain, 20.0), (other, 2.0)]));
    assert!(near(parts[0], 5.0), "{parts:?}");
}

#[test]
fn leasts_beyond_what_there_is_are_cut_in_proportion() {
    let claim = |least| Claim {
        demand: 20.0,
        weight: 1.0,
        guaranteed: least,
        limit: f64::INFINITY,
        held_elsewhere: 0.0,
    };
    let parts = weighted_max_min(6.0, &[claim(6.0), claim(3.0)]);
    assert!(near(parts[0], 4.0) && near(parts[1], 2.0), "{parts:?}");
}

#[test]
fn whoever_can_go_elsewhere_gets_less_where_others_cannot() {
    let here = Claim { held_elsewhere: 14.0, ..claim(20.0, 1.0) };
    let parts = weighted_max_min(7.0, &[claim(6.0, 1.0), here]);
    assert!(near(parts[0], 6.0) && near(parts[1], 1.0), "{parts:?}");
    // Nothing that is wanted is left, however much it has elsewhere.
    assert!(near(weighted_max_min(7.0, &[here])[0], 7.0));
    let both = weighted_max_min(10.0, &[Claim { held_elsewhere: 2.0, ..claim(20.0, 1.0) }, claim(20.0, 1.0)]);
    assert!(near(both[0], 4.0) && near(both[1], 6.0), "{both:?}");
}

#[test]
fn names_without_end_are_told_apart_up_to_a_number() {
    let mut config = ShareConfig::default();
    let first = config.service_id("a");
    let ids: std::collections::BTreeSet<_> =
        (0..10_000).map(|number| config.service_id(&format!("n{number}"))).collect();
    assert!(ids.len() <= 4097, "{}", ids.len());
    assert_eq!(config.service_id("a"), first);
    assert_eq!(config.service_name(config.clone().service_id("n9999")), "(others)");
}
