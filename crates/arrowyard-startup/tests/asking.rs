//! Which lists are believed, and when discovery is called, beside plain models of both.

use arrowyard_startup::{CallPacer, ListDecision, ListVersionTracker, PacingConfig};
use arrowyard_types::{TimeDelta, Timestamp};
use proptest::prelude::*;

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

fn ms(millis: i64) -> TimeDelta {
    TimeDelta::from_millis(millis)
}

#[test]
fn older_lists_are_passed_over_till_nothing_newer_comes_for_a_while() {
    let mut credence = ListVersionTracker::new(at(0), Some(10), ms(2_000));
    assert_eq!(credence.evaluate(at(100), 8, true), ListDecision::Ignore);
    assert_eq!(credence.evaluate(at(200), 10, true), ListDecision::Accept, "the same again is no older one");
    assert_eq!(credence.evaluate(at(300), 9, false), ListDecision::Ignore, "changes since an older one");
    assert_eq!(credence.evaluate(at(2_100), 8, true), ListDecision::Ignore);
    assert_eq!(
        credence.evaluate(at(2_150), 12, false),
        ListDecision::Accept,
        "newer ones are told: the other is behind"
    );
    assert_eq!(credence.evaluate(at(2_200), 8, true), ListDecision::Ignore);
    assert_eq!(credence.evaluate(at(4_300), 9, true), ListDecision::Reset);
    assert_eq!(credence.accepted_version(), Some(9));
    assert_eq!(credence.evaluate(at(4_400), 12, true), ListDecision::Accept);
}

#[test]
fn one_older_list_after_a_long_silence_is_no_proof() {
    let mut credence = ListVersionTracker::new(at(0), Some(10), ms(2_000));
    assert_eq!(
        credence.evaluate(at(60_000), 8, true),
        ListDecision::Ignore,
        "the first call after an hour may meet the one behind"
    );
    assert_eq!(
        credence.evaluate(at(60_010), 3, true),
        ListDecision::Ignore,
        "numbers that fall are of two that are behind"
    );
    assert_eq!(credence.evaluate(at(60_020), 3, true), ListDecision::Reset);
}

#[test]
fn at_another_address_numbers_begin_anew() {
    let mut credence = ListVersionTracker::new(at(0), Some(10), ms(2_000));
    credence.address_changed();
    assert_eq!(credence.evaluate(at(1), 2, false), ListDecision::Ignore, "changes are no base");
    assert_eq!(credence.evaluate(at(2), 2, true), ListDecision::Reset);
    assert_eq!(credence.evaluate(at(3), 1, true), ListDecision::Ignore, "once");
    assert_eq!(
        ListVersionTracker::new(at(0), None, ms(2_000)).evaluate(at(1), -5, true),
        ListDecision::Accept
    );
}

#[test]
fn a_fleet_that_starts_at_once_calls_at_the_rate_that_discovery_bears() {
    let pace = PacingConfig { max_calls_per_s: 100.0, ..PacingConfig::default() };
    for (routers, listed) in [(300, true), (1000, true), (300, false), (1, false)] {
        let mut waits: Vec<i64> = (0..routers)
            .map(|seed| CallPacer::new(pace, f64::from(routers), seed as u64 + 1).next_wait(listed).micros())
            .collect();
        waits.sort_unstable();
        let window = if listed { f64::from(routers) / 100.0 } else { (f64::from(routers) / 100.0).min(1.0) };
        assert!(*waits.last().expect("one") as f64 <= window * 1e6);
        // A second's worst: by chance some more than the rate, where nobody is out of patience.
        let in_a_second =
            |from: i64| waits.iter().filter(|at| (from..from + 1_000_000).contains(*at)).count();
        let worst = waits.iter().map(|&from| in_a_second(from)).max().unwrap_or_default();
        let most = if listed { 150 } else { routers as usize };
        assert!(worst <= most, "{routers} routers, {listed}: {worst} in a second");
    }
}

#[test]
fn calls_that_fail_come_less_and_less_often_and_never_at_once() {
    let pace = PacingConfig::default();
    let mut herd = CallPacer::new(pace, 300.0, 7);
    let mean =
        |herd: &mut CallPacer| (0..400).map(|_| herd.next_wait(true).as_secs_f64()).sum::<f64>() / 400.0;
    let mut before = 0.0;
    for _ in 0..2 {
        herd.record_failure();
        let now = mean(&mut herd);
        assert!(now > before * 1.5 && herd.next_wait(true) >= pace.min_backoff, "{now} after {before}");
        before = now;
    }
    (0..40).for_each(|_| herd.record_failure());
    assert!(mean(&mut herd) < 6.0, "the longest pause bounds it");
    assert!(herd.is_failing());
    herd.record_success();
    assert!(!herd.is_failing() && herd.next_wait(true) <= herd.window());
}

/// A list, as the plain model sees it: its number and when it came.
type Came = (i64, i64);

/// What is believed, told by looking at all that ever came: no counters.
fn plainly(history: &[(Came, ListDecision)], start: i64, came: Came, doubt: i64) -> ListDecision {
    let taken = history.iter().rposition(|(_, verdict)| *verdict != ListDecision::Ignore);
    let (held, heard) = taken.map_or((start, 0), |at| history[at].0);
    if came.0 >= held {
        return ListDecision::Accept;
    }
    let since = &history[taken.map_or(0, |at| at + 1)..];
    let rises = since.last().is_some_and(|((number, _), _)| came.0 >= *number);
    if rises && came.1 - heard >= doubt { ListDecision::Reset } else { ListDecision::Ignore }
}

proptest! {
    #[test]
    fn it_believes_as_the_plain_model_does(
        came in proptest::collection::vec((0_i64..12, 1_i64..900), 1..60),
        start in 0_i64..12,
    ) {
        let mut credence = ListVersionTracker::new(at(0), Some(start), ms(1_000));
        let (mut now, mut history) = (0, Vec::new());
        for (number, after) in came {
            now += after;
            let verdict = credence.evaluate(at(now), number, true);
            prop_assert_eq!(verdict, plainly(&history, start, (number, now), 1_000));
            history.push(((number, now), verdict));
        }
    }
}
