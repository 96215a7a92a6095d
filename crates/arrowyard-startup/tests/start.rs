//! The trust in stored lists by their age, and the stages and the end of a tracker.

use arrowyard_startup::{
    Stage, StartupConfig, StartupTracker, Trust, confidence, discount_hosts, jittered_retry_after,
};
use arrowyard_store::{Host, Snapshot};
use arrowyard_types::{GroupId, TimeDelta, Timestamp};
use proptest::prelude::*;

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(1_000_000_000_000 + ms * 1000)
}

fn ms(millis: i64) -> TimeDelta {
    TimeDelta::from_millis(millis)
}

fn host(name: &str) -> Host {
    Host {
        name: name.to_string(),
        dial: "127.0.0.1:1".to_string(),
        size: 2.0,
        born_ms: 5.0,
        ..Host::default()
    }
}

fn stored() -> Snapshot {
    let hosts = vec![
        Host { was_primary: true, ..host("p") },
        host("r"),
        Host { draining: true, ..host("d") },
        Host { dial: String::new(), ..host("x") },
    ];
    Snapshot { hosts, ..Snapshot::default() }
}

#[test]
fn confidence_in_a_stored_list_decreases_with_its_age() {
    let trust = Trust { host_lifetime: ms(3_600_000), min_confidence: 0.05 };
    let names = |age: TimeDelta| {
        discount_hosts(&stored(), age, trust, &[])
            .iter()
            .map(|discounted| discounted.host.name.clone())
            .collect::<Vec<_>>()
    };
    assert_eq!(names(ms(0)), ["p", "r"], "draining hosts and hosts without an address are left out");
    assert_eq!(names(ms(2 * 3_600_000)).len(), 2);
    assert!(names(ms(4 * 3_600_000)).is_empty());
    let half_trusted = discount_hosts(&stored(), ms(2_495_329), trust, &[]);
    assert!(
        (half_trusted[0].host.size - 1.0).abs() < 0.01 && (half_trusted[0].confidence - 0.5).abs() < 0.01
    );
    assert!(half_trusted.iter().all(|discounted| !discounted.host.was_primary), "roles are not restored");
    assert_eq!(half_trusted[0].host.born_ms, 5.0);
    // The clock went backwards: the confidence is at most 1.
    assert_eq!(confidence(ms(-5000), trust.host_lifetime), 1.0);
    // Hosts of the platform's own list are left out.
    let remaining = discount_hosts(&stored(), ms(0), trust, &["p".to_string()]);
    assert_eq!(remaining.iter().map(|discounted| &*discounted.host.name).collect::<Vec<_>>(), ["r"]);
}

#[test]
fn a_start_reports_its_stages_and_the_longest_wait() {
    let mut tracker = StartupTracker::start(at(0), StartupConfig::default(), false);
    assert_eq!(tracker.stage(), Stage::NoHosts);
    tracker.op_received(GroupId(1), false);
    tracker.op_acked(at(100), GroupId(1), false);
    assert_eq!(tracker.stage(), Stage::NoHosts, "an acknowledgement without a known host proves nothing");
    tracker.discovery_responded(at(3_000));
    tracker.unconfirmed_list_received(at(3_100));
    assert_eq!(tracker.stage(), Stage::Listed, "stages never go back");
    let mut now = 3_000;
    let mut report = None;
    while report.is_none() && now < 20_000 {
        now += 50;
        // Writes succeed from the fifth second on.
        tracker.op_received(GroupId(2), true);
        if now >= 5_000 {
            tracker.op_acked(at(now), GroupId(2), true);
        } else {
            tracker.op_failed();
        }
        tracker.op_received(GroupId(1), false);
        tracker.op_acked(at(now), GroupId(1), false);
        report = tracker.tick(at(now));
    }
    let report = report.expect("the start is over");
    assert!(report.is_full_service && (4_700..5_500).contains(&(report.took.micros() / 1000)), "{report:?}");
    assert_eq!((report.longest_stage, report.longest_wait), (Stage::Listed, ms(3_000)));
    assert!(now >= 5_000 + 1_900, "full service requires several windows: {now}");
    assert_eq!((tracker.stage(), tracker.tick(at(30_000))), (Stage::Full, None));
}

#[test]
fn a_failing_start_ends_by_timeout_and_idle_clients_do_not_end_it() {
    let mut tracker = StartupTracker::start(at(0), StartupConfig::default(), true);
    for now in (0..59_000).step_by(100) {
        tracker.op_received(GroupId(1), true);
        tracker.op_failed();
        assert_eq!(tracker.tick(at(now)), None);
    }
    let report = tracker.tick(at(60_000)).expect("the timeout has passed");
    assert!(!report.is_full_service && tracker.is_over());
    assert_eq!(report.longest_stage, Stage::Full);
    let mut idle_tracker = StartupTracker::start(at(0), StartupConfig::default(), true);
    for now in (0..59_000).step_by(100) {
        assert_eq!(idle_tracker.tick(at(now)), None);
    }
}

#[test]
fn retry_delays_during_a_start_are_spread_uniformly() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut counts_by_tenth = [0; 10];
    for _ in 0..10_000 {
        let retry_after = jittered_retry_after(Some(ms(200)), ms(2000), &mut rng);
        assert!((ms(200)..=ms(2000)).contains(&retry_after));
        counts_by_tenth[((retry_after.micros() - 200_000) / 180_001) as usize] += 1;
    }
    assert!(counts_by_tenth.iter().all(|count| (850..1150).contains(count)), "{counts_by_tenth:?}");
    assert_eq!(
        jittered_retry_after(Some(ms(5000)), ms(2000), &mut rng),
        ms(2000),
        "at most the maximum that clients accept"
    );
}

proptest! {
    /// Full service is reported at most once and only after enough served windows, and the stage never goes
    /// back.
    #[test]
    fn full_service_requires_enough_acknowledged_operations(
        steps in prop::collection::vec((1_i64..400, 0_u32..6, 0_u32..6, prop::bool::weighted(0.1)), 1..300),
    ) {
        let config = StartupConfig::default();
        let mut tracker = StartupTracker::start(at(0), config, false);
        let (mut now, mut acks, mut reports, mut stage) = (0, 0, 0, Stage::NoHosts);
        for (elapsed, received, acked, discovery_responds) in steps {
            now += elapsed;
            if discovery_responds {
                tracker.discovery_responded(at(now));
            }
            for _ in 0..received {
                tracker.op_received(GroupId(0), false);
            }
            (acked..received).for_each(|_| tracker.op_failed());
            for _ in 0..acked.min(received) {
                tracker.op_acked(at(now), GroupId(0), false);
                acks += 1;
            }
            if let Some(report) = tracker.tick(at(now)) {
                reports += 1;
                if report.is_full_service {
                    prop_assert!(acks >= config.required_windows * 3, "{acks} acks are too few");
                    prop_assert!(report.took <= ms(now) && tracker.stage() == Stage::Full);
                } else {
                    prop_assert!(ms(now) >= config.timeout);
                }
            }
            prop_assert!(tracker.stage() >= stage);
            stage = tracker.stage();
        }
        prop_assert!(reports <= 1);
    }
}
