//! The router count estimate against a plain rule over the whole history.

use arrowyard_peers::RouterCountEstimator;
use arrowyard_types::{TimeDelta, Timestamp};
use proptest::prelude::*;

const SETTLE: TimeDelta = TimeDelta::from_millis(10_000);

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(1_000_000_000 + ms * 1000)
}

fn sample(
    reachable: usize,
    missing: usize,
    long_missing: usize,
    reliable: bool,
) -> arrowyard_peers::MembershipSample {
    arrowyard_peers::MembershipSample { reachable, missing, long_missing, reliable }
}

#[test]
fn the_estimate_rises_at_once_and_falls_after_settling() {
    let mut estimator = RouterCountEstimator::new(at(0), 10.0, SETTLE);
    estimator.update(at(0), sample(3, 0, 0, true));
    assert_eq!(estimator.routers(), 10.0, "the configured number holds until the window ends");
    estimator.update(at(9_000), sample(3, 0, 0, true));
    assert_eq!(estimator.routers(), 10.0);
    estimator.update(at(10_000), sample(3, 0, 0, true));
    estimator.update(at(20_000), sample(3, 0, 0, true));
    assert_eq!(estimator.routers(), 3.0);
    estimator.update(at(20_500), sample(12, 0, 0, true));
    assert_eq!(estimator.routers(), 12.0);
}

#[test]
fn the_minority_of_a_partition_keeps_counting_missing_members() {
    let mut estimator = RouterCountEstimator::new(at(0), 4.0, SETTLE);
    for second in 0..200 {
        estimator.update(at(second * 1000), sample(2, 0, 6, true));
        assert!(estimator.routers() >= 8.0 || second == 0, "{second}: {}", estimator.routers());
    }
    // The majority does not lower its estimate at first either, but does so later.
    let mut estimator = RouterCountEstimator::new(at(0), 8.0, SETTLE);
    for second in 0..60 {
        estimator.update(at(second * 1000), sample(6, 2, 0, true));
        assert_eq!(estimator.routers(), 8.0);
    }
    for second in 60..90 {
        estimator.update(at(second * 1000), sample(6, 0, 2, true));
    }
    assert_eq!(estimator.routers(), 6.0);
}

#[test]
fn invented_members_raise_the_estimate_only_to_the_bound() {
    let mut estimator = RouterCountEstimator::new(at(0), 5.0, SETTLE);
    estimator.update(at(0), sample(2000, 0, 0, true));
    assert_eq!(estimator.routers(), 20.0);
}

proptest! {
    /// The estimate is never below any count seen within the settle time, nor below the total while this
    /// router is uncertain, and never above the largest count seen.
    #[test]
    fn the_estimate_is_never_below_recent_counts(
        steps in prop::collection::vec((1_i64..4000, 1_usize..30, 0_usize..10, 0_usize..10, prop::bool::weighted(0.9)), 1..200),
    ) {
        let configured = 10.0;
        let mut estimator = RouterCountEstimator::new(at(0), configured, SETTLE);
        let mut history: Vec<(i64, f64)> = vec![(0, configured)];
        let mut now = 0;
        for (step, reachable, missing, long_missing, reliable) in steps {
            now += step;
            estimator.update(at(now), sample(reachable, missing, long_missing, reliable));
            let total = (reachable + missing + long_missing) as f64;
            let uncertain = !reliable || reachable * 2 <= reachable + missing + long_missing;
            let count = if uncertain { total.max(configured) } else { (reachable + missing) as f64 };
            history.push((now, count.min(configured * 4.0)));
            let least = history.iter().filter(|(when, _)| now - when < 10_000).map(|(_, count)| *count).fold(1.0, f64::max);
            let most = history.iter().map(|(_, count)| *count).fold(1.0, f64::max);
            prop_assert!(estimator.routers() >= least, "{} at {now}, but {least} were counted recently", estimator.routers());
            prop_assert!(estimator.routers() <= most);
        }
    }
}
