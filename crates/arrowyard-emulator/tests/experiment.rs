//! Comparison of runs, measurements of gaps, and charts.

use std::cell::RefCell;
use std::rc::Rc;

use arrowyard_emulator::acknowledgements::{CONTROL_FAULTS, MAX_GAP, measure_acknowledgement_gaps};
use arrowyard_emulator::experiment::{RunMetrics, apply_setting, compare, run_seeds};
use arrowyard_emulator::failover::{Cause, longest_gap, measure_outages};
use arrowyard_emulator::{Disk, Scenario, Simulation, chart, random_scenario, run_scenario};
use arrowyard_runtime::{Commands, Event, Plane};
use arrowyard_types::{TimeDelta, Timestamp};
use proptest::prelude::*;

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

fn metrics(seed: u64, served: f64) -> RunMetrics {
    RunMetrics { seed, served, late: 0.0, failed: 1.0 - served, p50_ms: 7.0, p99_ms: 90.0, violations: 0 }
}

#[test]
fn paired_comparison_removes_the_variance_between_seeds() {
    let first: Vec<RunMetrics> = (0..8).map(|seed| metrics(seed, 0.5 + 0.05 * seed as f64)).collect();
    let improve = |run: &RunMetrics| metrics(run.seed, run.served + 0.01 + 0.001 * (run.seed % 2) as f64);
    let second: Vec<RunMetrics> = first.iter().map(improve).collect();
    let served_difference = compare(&first, &second).expect("the seeds match")[0];
    assert!((served_difference.mean - 0.0105).abs() < 1e-9, "{served_difference:?}");
    // Eight pairs, half 0.010 and half 0.011: t of 0.975 with seven degrees of freedom is 2.3646.
    let standard_error = (0.0005f64.powi(2) * 8.0 / 7.0 / 8.0).sqrt();
    assert!((served_difference.margin - 2.3646 * standard_error).abs() < 1e-6, "{served_difference:?}");
    assert!(
        compare(&first, &first)
            .expect("the seeds match")
            .iter()
            .all(|difference| difference.mean.abs() <= difference.margin)
    );
}

#[test]
fn compare_rejects_different_seeds_and_too_few_pairs() {
    let runs = [metrics(1, 0.5), metrics(2, 0.6)];
    assert!(compare(&runs, &[metrics(1, 0.5), metrics(3, 0.6)]).is_err());
    assert!(compare(&runs[..1], &runs[..1]).is_err());
    assert!(compare(&[], &[]).is_err());
}

#[test]
fn apply_setting_uses_the_names_of_scenario_files_and_rejects_invalid_settings() {
    let scenario = Scenario::default();
    assert_eq!(apply_setting(&scenario, "limit=20").map(|scenario| scenario.connection_limit), Ok(20));
    assert_eq!(apply_setting(&scenario, "think-ms=40").map(|scenario| scenario.think_ms), Ok(40));
    for invalid in ["limit", "limit=", "limit=-1", "limit=0", "routers=0", "think-ms=0", "seed=3", "faults=2"]
    {
        assert!(apply_setting(&scenario, invalid).is_err(), "{invalid}");
    }
    assert!(run_seeds(1..2, &["routers=none".to_string()], |_| panic!("a scenario ran")).is_err());
}

#[test]
fn runs_with_the_same_seeds_have_the_same_metrics() {
    let run = || {
        let mut metrics = Vec::new();
        run_seeds(3..5, &["users=2".to_string()], |run| metrics.push(run)).expect("the settings are valid");
        metrics
    };
    assert_eq!(run(), run());
}

proptest! {
    #[test]
    fn printed_metrics_can_be_parsed(seed: u64, values: [u32; 5], violations in 0u64..1000) {
        let [served, late, failed, p50, p99] = values.map(f64::from);
        let metrics = RunMetrics {
            seed,
            served: served / 1e6,
            late: late / 1e6,
            failed: failed / 1e6,
            p50_ms: p50 / 1e3,
            p99_ms: p99 / 1e3,
            violations,
        };
        let parsed: RunMetrics = metrics.to_string().parse().expect("a printed line");
        prop_assert!(parsed.seed == metrics.seed && parsed.violations == violations);
        let is_near = |(a, b): (&f64, &f64)| (a - b).abs() < 1e-3;
        prop_assert!(parsed.values().iter().zip(&metrics.values()).all(is_near));
    }

    #[test]
    fn parsing_an_arbitrary_line_does_not_panic(line: String) {
        let _ = line.parse::<RunMetrics>();
    }
}

#[test]
fn longest_gap_must_end_after_the_fault() {
    let times = [at(0), at(500), at(520), at(1500), at(1510)];
    assert_eq!(longest_gap(&times, at(600), at(1505)), Some(TimeDelta::from_millis(980)));
    assert_eq!(longest_gap(&times, at(1505), at(1505)), Some(TimeDelta::from_millis(10)));
    assert_eq!(
        longest_gap(&times, at(510), at(1600)),
        None,
        "one immediate acknowledgement is not a recovery"
    );
    assert_eq!(longest_gap(&times, at(1510), at(1510)), None, "no acknowledgement follows");
    assert_eq!(longest_gap(&[], at(0), at(0)), None);
}

/// The platform takes one second of each promotion.
#[test]
fn primary_is_replaced_within_the_bound_of_each_cause() {
    for cause in Cause::ALL {
        let outages = measure_outages(cause, 2, 1);
        let bound = match cause {
            Cause::Switchover => 200,
            // Includes the replacement of the duty's holder, or the two seconds without the platform, and
            // call timeouts.
            Cause::WithControlCrash => 4_000,
            Cause::PlatformUnavailable => 5_200,
            _ => 1_600,
        };
        assert!(
            outages.worst_ms <= bound && outages.unrecovered + outages.runs_with_violations == 0,
            "{cause:?}: {outages:?}"
        );
        let lower_bound = if cause == Cause::Switchover { 0 } else { 1_000 };
        assert!(outages.worst_ms >= lower_bound, "{cause:?}: the fault had no effect: {outages:?}");
    }
}

/// Changes are acknowledged within the bound during any fault of one control machine of three.
#[test]
fn changes_are_acknowledged_within_the_bound_during_any_single_control_fault() {
    for fault_kind in CONTROL_FAULTS {
        let gaps = measure_acknowledgement_gaps(fault_kind, 2, 1);
        let worst = TimeDelta::from_millis(gaps.worst_ms as i64);
        assert!(
            worst <= MAX_GAP && gaps.unrecovered + gaps.runs_with_violations == 0,
            "{fault_kind:?}: {gaps:?}"
        );
    }
}

/// A chart names every fault of the scenario.
#[test]
fn chart_names_every_fault() {
    let scenario = (1..)
        .map(random_scenario)
        .find(|scenario| scenario.faults.len() > 1)
        .expect("most scenarios have faults");
    let file = std::env::temp_dir().join(format!("arrowyard-chart-{}.svg", std::process::id()));
    chart::draw_throughput(&scenario, &run_scenario(&scenario), &file).expect("the chart is drawn");
    let text = std::fs::read_to_string(&file).expect("the chart was written");
    std::fs::remove_file(&file).expect("the chart exists");
    assert!(text.starts_with("<svg") && text.trim_end().ends_with("</svg>"));
    for fault in &scenario.faults {
        assert!(text.contains(&format!("{:?}", fault.kind)), "{:?}", fault.kind);
    }
}

/// Requests an earlier time at every event.
struct ReschedulingPlane {
    timer_count: Rc<RefCell<u32>>,
    due: Timestamp,
}

impl Plane for ReschedulingPlane {
    fn handle(&mut self, now: Timestamp, event: Event<'_>, _: &mut Commands) {
        if matches!(event, Event::TimerExpired) {
            *self.timer_count.borrow_mut() += 1;
        }
        // Ten milliseconds after a timer, one after any other event.
        self.due = now + TimeDelta::from_millis(if matches!(event, Event::TimerExpired) { 10 } else { 1 });
    }

    fn due(&self) -> Option<Timestamp> {
        Some(self.due)
    }

    fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }
}

/// A timer replaced by an earlier one must not fire; otherwise the number of timers grows without bound.
#[test]
fn replaced_timer_does_not_fire() {
    let mut simulation = Simulation::new(1);
    let timer_count = Rc::new(RefCell::new(0));
    let machine =
        simulation.add_machine("m", Vec::new(), Rc::new(RefCell::new(Disk::default())), TimeDelta::ZERO);
    simulation.start(machine, Box::new(ReschedulingPlane { timer_count: timer_count.clone(), due: at(0) }));
    for round in 0..200 {
        simulation.run_until(at(round * 5));
        simulation.signal(machine, arrowyard_runtime::Signal::Reload);
    }
    // Each signal leads to one timer a millisecond later. The next signal replaces the timer requested then,
    // which is due ten milliseconds later.
    let timer_count = *timer_count.borrow();
    assert!((190..=210).contains(&timer_count), "{timer_count} timers in a second");
}
