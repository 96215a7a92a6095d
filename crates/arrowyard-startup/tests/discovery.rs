//! Acceptance of host lists by version, and the pacing of calls to discovery, against reference models.

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
fn older_lists_are_ignored_until_only_older_ones_arrive_for_the_rollback_delay() {
    let mut tracker = ListVersionTracker::new(at(0), Some(10), ms(2_000));
    assert_eq!(tracker.evaluate(at(100), 8, true), ListDecision::Ignore);
    assert_eq!(tracker.evaluate(at(200), 10, true), ListDecision::Accept, "the same version is not older");
    assert_eq!(
        tracker.evaluate(at(300), 9, false),
        ListDecision::Ignore,
        "changes relative to an older list"
    );
    assert_eq!(tracker.evaluate(at(2_100), 8, true), ListDecision::Ignore);
    assert_eq!(
        tracker.evaluate(at(2_150), 12, false),
        ListDecision::Accept,
        "newer lists arrive, so the other instance is stale"
    );
    assert_eq!(tracker.evaluate(at(2_200), 8, true), ListDecision::Ignore);
    assert_eq!(tracker.evaluate(at(4_300), 9, true), ListDecision::Reset);
    assert_eq!(tracker.accepted_version(), Some(9));
    assert_eq!(tracker.evaluate(at(4_400), 12, true), ListDecision::Accept);
}

#[test]
fn a_single_older_list_after_a_long_silence_is_ignored() {
    let mut tracker = ListVersionTracker::new(at(0), Some(10), ms(2_000));
    assert_eq!(
        tracker.evaluate(at(60_000), 8, true),
        ListDecision::Ignore,
        "the first call after a long silence may reach a stale instance"
    );
    assert_eq!(
        tracker.evaluate(at(60_010), 3, true),
        ListDecision::Ignore,
        "decreasing versions come from two stale instances"
    );
    assert_eq!(tracker.evaluate(at(60_020), 3, true), ListDecision::Reset);
}

#[test]
fn versions_restart_after_a_change_of_address() {
    let mut tracker = ListVersionTracker::new(at(0), Some(10), ms(2_000));
    tracker.address_changed();
    assert_eq!(tracker.evaluate(at(1), 2, false), ListDecision::Ignore, "changes alone are not accepted");
    assert_eq!(tracker.evaluate(at(2), 2, true), ListDecision::Reset);
    assert_eq!(tracker.evaluate(at(3), 1, true), ListDecision::Ignore, "the address change counts once");
    assert_eq!(
        ListVersionTracker::new(at(0), None, ms(2_000)).evaluate(at(1), -5, true),
        ListDecision::Accept
    );
}

#[test]
fn a_fleet_that_starts_at_once_keeps_the_rate_limit_of_discovery() {
    let config = PacingConfig { max_calls_per_s: 100.0, ..PacingConfig::default() };
    for (routers, has_list) in [(300, true), (1000, true), (300, false), (1, false)] {
        let mut waits: Vec<i64> = (0..routers)
            .map(|seed| {
                CallPacer::new(config, f64::from(routers), seed as u64 + 1).next_wait(has_list).micros()
            })
            .collect();
        waits.sort_unstable();
        let window =
            if has_list { f64::from(routers) / 100.0 } else { (f64::from(routers) / 100.0).min(1.0) };
        assert!(*waits.last().expect("there is at least one router") as f64 <= window * 1e6);
        // The busiest second: random draws exceed the mean rate, and the maximum first wait may exceed it
        // further.
        let calls_in_second_from =
            |from: i64| waits.iter().filter(|at| (from..from + 1_000_000).contains(*at)).count();
        let busiest = waits.iter().map(|&from| calls_in_second_from(from)).max().unwrap_or_default();
        let max_calls = if has_list { 150 } else { routers as usize };
        assert!(
            busiest <= max_calls,
            "{routers} routers, list in use {has_list}: {busiest} calls in one second"
        );
    }
}

#[test]
fn failed_calls_back_off_and_are_never_retried_immediately() {
    let config = PacingConfig::default();
    let mut pacer = CallPacer::new(config, 300.0, 7);
    let mean_wait =
        |pacer: &mut CallPacer| (0..400).map(|_| pacer.next_wait(true).as_secs_f64()).sum::<f64>() / 400.0;
    let mut previous_mean = 0.0;
    for _ in 0..2 {
        pacer.record_failure();
        let mean = mean_wait(&mut pacer);
        assert!(
            mean > previous_mean * 1.5 && pacer.next_wait(true) >= config.min_backoff,
            "{mean} after {previous_mean}"
        );
        previous_mean = mean;
    }
    (0..40).for_each(|_| pacer.record_failure());
    assert!(mean_wait(&mut pacer) < 6.0, "the maximum backoff limits the wait");
    assert!(pacer.is_failing());
    pacer.record_success();
    assert!(!pacer.is_failing() && pacer.next_wait(true) <= pacer.window());
}

/// A received list in the reference model: its version and arrival time.
type Arrival = (i64, i64);

/// The expected decision, computed from the complete history.
fn expected_decision(
    history: &[(Arrival, ListDecision)],
    initial_version: i64,
    (version, arrived_at): Arrival,
    rollback_delay: i64,
) -> ListDecision {
    let last_accepted = history.iter().rposition(|(_, decision)| *decision != ListDecision::Ignore);
    let (accepted_version, accepted_at) =
        last_accepted.map_or((initial_version, 0), |index| history[index].0);
    if version >= accepted_version {
        return ListDecision::Accept;
    }
    let ignored = &history[last_accepted.map_or(0, |index| index + 1)..];
    let is_not_decreasing =
        ignored.last().is_some_and(|((ignored_version, _), _)| version >= *ignored_version);
    if is_not_decreasing && arrived_at - accepted_at >= rollback_delay {
        ListDecision::Reset
    } else {
        ListDecision::Ignore
    }
}

proptest! {
    #[test]
    fn decisions_match_the_reference_model(
        arrivals in proptest::collection::vec((0_i64..12, 1_i64..900), 1..60),
        initial_version in 0_i64..12,
    ) {
        let mut tracker = ListVersionTracker::new(at(0), Some(initial_version), ms(1_000));
        let (mut now, mut history) = (0, Vec::new());
        for (version, delay) in arrivals {
            now += delay;
            let decision = tracker.evaluate(at(now), version, true);
            prop_assert_eq!(decision, expected_decision(&history, initial_version, (version, now), 1_000));
            history.push(((version, now), decision));
        }
    }
}
