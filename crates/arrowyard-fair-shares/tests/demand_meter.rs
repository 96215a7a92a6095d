//! Measured demand of a router.

use arrowyard_fair_shares::{ClassId, DemandMeter};
use arrowyard_types::{TimeDelta, Timestamp};

const CLASS: ClassId = ClassId(0);

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

fn ms(millis: i64) -> TimeDelta {
    TimeDelta::from_millis(millis)
}

/// Starts a statement of 10 ms every `interval_ms`, reads every 50 ms, and returns the last reading as
/// in-flight and queued statements.
fn steady_demand(meter: &mut DemandMeter<u32>, interval_ms: i64, answered: bool) -> (f64, f64) {
    let mut demands = Vec::new();
    for now in 0..1000 {
        if now % interval_ms == 0 {
            meter.statement_started(at(now), 1, CLASS);
        }
        if now >= 10 && (now - 10) % interval_ms == 0 {
            meter.statement_ended(at(now), 1, CLASS, answered.then_some(ms(10)));
        }
        if now % 50 == 49 {
            demands = meter.read(at(now), 1);
        }
    }
    demands.first().map_or((0.0, 0.0), |demand| {
        (f64::from(demand.in_flight) / 1000.0, f64::from(demand.queued) / 1000.0)
    })
}

#[test]
fn in_flight_statements_are_rate_times_latency() {
    let (in_flight, queued) = steady_demand(&mut DemandMeter::default(), 5, true);
    assert!((in_flight - 2.0).abs() < 0.3 && queued == 0.0, "{in_flight} {queued}");
    let (in_flight, _) = steady_demand(&mut DemandMeter::default(), 20, true);
    assert!((in_flight - 0.5).abs() < 0.3, "{in_flight}");
}

/// Counting statements whose answers are lost would make an idle host look overloaded, and statements that
/// it has room for would be rejected.
#[test]
fn unanswered_statements_count_as_outstanding_but_not_as_in_flight() {
    let (in_flight, _) = steady_demand(&mut DemandMeter::default(), 5, false);
    assert_eq!(in_flight, 0.0);
    let mut meter = DemandMeter::default();
    (0..20).for_each(|_| meter.statement_started(at(0), 1, CLASS));
    assert!(!meter.is_idle(1));
    assert_eq!(meter.read(at(50), 1)[0].in_flight, 0, "the host is unreachable");
}

#[test]
fn a_statement_queued_for_several_hosts_counts_in_parts_at_each() {
    let mut meter = DemandMeter::default();
    meter.add_queued(at(0), &[1, 2], CLASS, 1.0);
    assert_eq!(meter.read(at(100), 1)[0].queued, 500);
    meter.add_queued(at(200), &[1, 2], CLASS, -1.0);
    assert_eq!(meter.read(at(200), 2)[0].queued, 500);
    assert_eq!(meter.read(at(300), 2)[0].queued, 0);
    assert!(meter.is_idle(1));
    meter.forget(1);
    assert_eq!(meter.hosts().collect::<Vec<_>>(), [2]);
}
