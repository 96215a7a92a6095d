//! How many routers shares are reckoned by, beside a plain rule worked out over the whole past.

use arrowyard_peers::RouterCountEstimator;
use arrowyard_types::{TimeDelta, Timestamp};
use proptest::prelude::*;

const SETTLE: TimeDelta = TimeDelta::from_millis(10_000);

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(1_000_000_000 + ms * 1000)
}

fn sight(reach: usize, missing: usize, forgiven: usize, sure: bool) -> arrowyard_peers::MembershipSample {
    arrowyard_peers::MembershipSample { reachable: reach, missing, long_missing: forgiven, reliable: sure }
}

#[test]
fn it_rises_at_once_and_falls_when_it_was_settled() {
    let mut count = RouterCountEstimator::new(at(0), 10.0, SETTLE);
    count.update(at(0), sight(3, 0, 0, true));
    assert_eq!(count.routers(), 10.0, "the settings hold till then");
    count.update(at(9_000), sight(3, 0, 0, true));
    assert_eq!(count.routers(), 10.0);
    count.update(at(10_000), sight(3, 0, 0, true));
    count.update(at(20_000), sight(3, 0, 0, true));
    assert_eq!(count.routers(), 3.0);
    count.update(at(20_500), sight(12, 0, 0, true));
    assert_eq!(count.routers(), 12.0);
}

#[test]
fn the_smaller_part_of_a_cut_takes_nobody_for_gone() {
    let mut count = RouterCountEstimator::new(at(0), 4.0, SETTLE);
    for second in 0..200 {
        count.update(at(second * 1000), sight(2, 0, 6, true));
        assert!(count.routers() >= 8.0 || second == 0, "{second}: {}", count.routers());
    }
    // Nor does the larger one at first, and later it does.
    let mut count = RouterCountEstimator::new(at(0), 8.0, SETTLE);
    for second in 0..60 {
        count.update(at(second * 1000), sight(6, 2, 0, true));
        assert_eq!(count.routers(), 8.0);
    }
    for second in 60..90 {
        count.update(at(second * 1000), sight(6, 0, 2, true));
    }
    assert_eq!(count.routers(), 6.0);
}

#[test]
fn one_that_invents_members_takes_a_bounded_part_of_the_shares() {
    let mut count = RouterCountEstimator::new(at(0), 5.0, SETTLE);
    count.update(at(0), sight(2000, 0, 0, true));
    assert_eq!(count.routers(), 20.0);
}

proptest! {
    /// Whatever is seen: the count is never below what was there within the time to settle, nor below the whole while
    /// this router is unsure, and it is the largest of some time lately.
    #[test]
    fn it_is_never_below_what_was_seen_lately(
        steps in prop::collection::vec((1_i64..4000, 1_usize..30, 0_usize..10, 0_usize..10, prop::bool::weighted(0.9)), 1..200),
    ) {
        let settings = 10.0;
        let mut count = RouterCountEstimator::new(at(0), settings, SETTLE);
        let mut past: Vec<(i64, f64)> = vec![(0, settings)];
        let mut now = 0;
        for (step, reach, missing, forgiven, sure) in steps {
            now += step;
            count.update(at(now), sight(reach, missing, forgiven, sure));
            let whole = (reach + missing + forgiven) as f64;
            let unsure = !sure || reach * 2 <= reach + missing + forgiven;
            let wanted = if unsure { whole.max(settings) } else { (reach + missing) as f64 };
            past.push((now, wanted.min(settings * 4.0)));
            let least = past.iter().filter(|(when, _)| now - when < 10_000).map(|(_, wanted)| *wanted).fold(1.0, f64::max);
            let most = past.iter().map(|(_, wanted)| *wanted).fold(1.0, f64::max);
            prop_assert!(count.routers() >= least, "{} at {now}, {least} were seen lately", count.routers());
            prop_assert!(count.routers() <= most);
        }
    }
}
