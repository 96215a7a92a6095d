//! The adaptive limit and the rollout trial against independent reference implementations, and what happens
//! to bulkheads, queues and cells when a layout changes.

use arrowyard_cells::admission::{AdmissionPermit, Capacity, CellEvent, OpContext, RejectReason};
use arrowyard_cells::bulkhead::Bulkhead;
use arrowyard_cells::concurrency_limit::ConcurrencyLimit;
use arrowyard_cells::fair_queue::FairQueue;
use arrowyard_cells::layout::{Cell, ConcurrencyLimitConfig, Layout, RolloutConfig};
use arrowyard_cells::rollout::{Rollout, RolloutVerdict};
use arrowyard_cells::tenant_move::MoveSettings;
use arrowyard_cells::{AdmissionDecision, Cells, SendOutcome};
use arrowyard_types::{CellId, Consistency, GroupId, TimeDelta, Timestamp};
use proptest::prelude::*;

const A: CellId = CellId(0);
const B: CellId = CellId(1);

fn ms(millis: i64) -> Timestamp {
    Timestamp::from_micros(millis * 1000)
}

fn config() -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(20_261_203);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

/// Reference implementation of the gradient limit.
struct ReferenceLimit {
    limit: f64,
    fast: f64,
    slow: f64,
    answers: u32,
    outcomes_until_cut: f64,
}

impl ReferenceLimit {
    fn record_response(&mut self, latency: f64, in_flight: f64) {
        let latency = latency.clamp(0.001, 100.0);
        self.outcomes_until_cut = (self.outcomes_until_cut - 1.0).max(0.0);
        if self.answers == 0 {
            (self.fast, self.slow) = (latency, latency);
        } else {
            self.fast = 0.9 * self.fast + 0.1 * latency;
            self.slow = 0.998 * self.slow + 0.002 * latency;
        }
        self.answers += 1;
        if self.fast < self.slow / 2.0 {
            self.slow = 0.9 * self.slow + 0.1 * self.fast;
        }
        let well = self.fast <= 1.5 * self.slow;
        if well && in_flight < self.limit / 2.0 {
            return;
        }
        let part = if well { 1.0 } else { (1.5 * self.slow / self.fast).max(0.5) };
        let root = self.limit.powf(0.5);
        let step = (self.limit * part + root - self.limit) / 5.0 / root;
        self.limit = (self.limit + step).clamp(4.0, 300.0);
    }

    fn record_failure(&mut self) {
        if self.outcomes_until_cut >= 1.0 {
            self.outcomes_until_cut -= 1.0;
            return;
        }
        self.limit = (self.limit * 0.9).max(4.0);
        self.outcomes_until_cut = self.limit.floor();
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn the_limit_matches_the_reference(
        steps in prop::collection::vec((0_u8..12, 0.01_f64..6.0, 0_u64..80), 1..400), calm in 0.05_f64..2.0,
    ) {
        let mut limit = ConcurrencyLimit::new(ConcurrencyLimitConfig { initial: 40.0, min: 4.0, max: 300.0 });
        let mut reference = ReferenceLimit { limit: 40.0, fast: 0.0, slow: 0.0, answers: 0, outcomes_until_cut: 0.0 };
        for (kind, latency, in_flight) in steps {
            if kind == 0 {
                limit.record_failure();
                reference.record_failure();
            } else {
                // Long calm stretches mixed with arbitrary latencies.
                let latency = if kind < 8 { calm } else { latency };
                limit.record_response(latency, in_flight);
                reference.record_response(latency, in_flight as f64);
            }
            prop_assert!((limit.limit() as f64 - reference.limit).abs() < 1.0 + 1e-6, "{} and {}", limit.limit(), reference.limit);
        }
    }

    /// The likelihood ratio of a bad rollout, kept as a product instead of a sum of logarithms.
    #[test]
    fn the_verdict_matches_the_likelihood_ratio(
        outcomes in prop::collection::vec((0_u8..4, any::<bool>(), any::<bool>()), 1..600), worse in 1.5_f64..6.0,
    ) {
        let error_probability = 0.02;
        let mut rollout = Rollout::new(RolloutConfig { order: vec![A, B], error_rate_ratio: worse, error_probability });
        let (mut likelihood_ratio, mut verdict, mut others) = (1.0_f64, RolloutVerdict::Open, 0.002_f64);
        let bound = (1.0 - error_probability) / error_probability;
        for (who, one, two) in outcomes {
            let bad = one && two;
            if who == 0 {
                prop_assert_eq!(rollout.record_outcome(None, bad), None);
                others = 0.998 * others + if bad { 0.002 } else { 0.0 };
                continue;
            }
            let baseline = others.clamp(0.002, 0.4);
            let failing_rate = (baseline * worse).min(0.5 + baseline / 2.0);
            let change = rollout.record_outcome(Some(A), bad);
            if verdict != RolloutVerdict::Bad {
                likelihood_ratio *= if bad { failing_rate / baseline } else { (1.0 - failing_rate) / (1.0 - baseline) };
                likelihood_ratio = likelihood_ratio.clamp(1.0 / bound, bound);
                let close = |a: f64, b: f64| (a / b - 1.0).abs() < 1e-6;
                let before = verdict;
                verdict = if close(likelihood_ratio, bound) { RolloutVerdict::Bad } else if close(likelihood_ratio, 1.0 / bound) { RolloutVerdict::Good } else { verdict };
                prop_assert_eq!(change.map(|change| (change.cell, change.verdict)), (verdict != before).then_some((A, verdict)));
            } else {
                prop_assert_eq!(change, None);
            }
            prop_assert_eq!(rollout.verdict(A), verdict);
            prop_assert_eq!(rollout.check_rollout(B).is_ok(), verdict == RolloutVerdict::Good);
        }
    }
}

#[test]
fn a_restart_after_the_span_starts_a_new_trial_and_one_within_it_does_not() {
    for (later, open) in [(100, false), (101, true)] {
        let mut rollout =
            Rollout::new(RolloutConfig { order: vec![A, B], error_rate_ratio: 3.0, error_probability: 0.1 });
        rollout.host_restarted(A, ms(0), TimeDelta::from_millis(100));
        while rollout.verdict(A) != RolloutVerdict::Good {
            rollout.record_outcome(Some(A), false);
        }
        rollout.host_restarted(A, ms(later), TimeDelta::from_millis(100));
        assert_eq!(rollout.verdict(A) == RolloutVerdict::Open, open, "{later} ms later");
    }
}

#[test]
fn a_new_config_bounds_the_limit_at_once_and_cuts_are_a_round_apart() {
    let mut limit = ConcurrencyLimit::new(ConcurrencyLimitConfig { initial: 40.0, min: 4.0, max: 300.0 });
    limit.set_config(ConcurrencyLimitConfig { initial: 1.0, min: 1.0, max: 20.0 });
    assert_eq!(limit.limit(), 20);
    limit.set_config(ConcurrencyLimitConfig { initial: 1.0, min: 30.0, max: 90.0 });
    assert_eq!(limit.limit(), 30);
    let mut limit = ConcurrencyLimit::new(ConcurrencyLimitConfig { initial: 40.0, min: 4.0, max: 300.0 });
    let cuts: Vec<u64> = (0..80)
        .map(|_| {
            limit.record_failure();
            limit.limit()
        })
        .collect();
    assert_eq!((cuts[0], cuts[36], cuts[37]), (36, 36, 32), "{cuts:?}");
}

#[test]
fn resizing_a_bulkhead_keeps_amounts_in_use() {
    let even = || [(1.0, 0.5), (1.0, 0.5)].into_iter();
    let mut bulkhead = Bulkhead::new(100, even(), TimeDelta::from_millis(100));
    (0..60).for_each(|_| assert_eq!(bulkhead.try_acquire(ms(0), A, 1), Ok(())));
    assert_eq!((bulkhead.borrowed(A), bulkhead.share(A)), (10, (50, 25)));
    bulkhead.resize([(3.0, 0.5), (1.0, 0.0), (1.0, 0.5)].into_iter(), TimeDelta::from_millis(50));
    assert_eq!((bulkhead.used(A), bulkhead.borrowed(A), bulkhead.share(A)), (60, 0, (60, 30)));
    assert_eq!((bulkhead.share(B), bulkhead.share(CellId(2))), ((20, 0), (20, 10)));
    // 60 units are in use and 10 guaranteed to the third cell, which leaves 30.
    assert_eq!((0..40).filter(|_| bulkhead.try_acquire(ms(0), B, 1).is_ok()).count(), 30);
    // A request for the own share suspends borrowing for the new reclaim period, whose end is exclusive.
    assert!((0..10).all(|_| bulkhead.try_acquire(ms(1), CellId(2), 1).is_ok()));
    assert!(bulkhead.try_acquire(ms(1), CellId(2), 1).is_err());
    assert_eq!((bulkhead.is_reclaiming(ms(50)), bulkhead.is_reclaiming(ms(51))), (true, false));
}

#[test]
fn changing_weights_keeps_queued_items_and_applies_the_new_weights() {
    let mut queue = FairQueue::new([1.0, 1.0].into_iter());
    assert!(queue.is_empty());
    (0..60).for_each(|n| [A, B].into_iter().for_each(|cell| queue.push(cell, (cell, n))));
    assert_eq!((queue.len(), queue.is_empty()), (120, false));
    queue.set_weights([3.0, 1.0, 1.0].into_iter());
    assert_eq!(queue.len(), 120);
    let admit_first: Vec<(CellId, i32)> = (0..40).map_while(|_| queue.pop()).collect();
    let of_a: Vec<i32> = admit_first.iter().filter(|(cell, _)| *cell == A).map(|(_, n)| *n).collect();
    assert!((29..=31).contains(&of_a.len()), "three of four items: {}", of_a.len());
    assert_eq!(of_a, (0..of_a.len() as i32).collect::<Vec<_>>(), "items keep their order");
    assert_eq!(queue.len(), 80);
}

fn cell(name: &str) -> Cell {
    let (groups, hosts) = (vec![GroupId(7)], vec!["h-*".into()]);
    Cell {
        name: name.into(),
        weight: 1.0,
        groups,
        hosts,
        guaranteed_fraction: 0.5,
        accepts_hashed_tenants: true,
        concurrency_limit: None,
        removed: false,
    }
}

fn layout(epoch: u64, names: &[&str]) -> Layout {
    let (nets, moves) = Default::default();
    Layout {
        epoch,
        cells: names.iter().map(|name| cell(name)).collect(),
        tenants: names.iter().zip(0..).map(|(name, n)| (format!("of-{name}").into(), CellId(n))).collect(),
        networks: nets,
        cells_per_hashed_tenant: Some(1),
        reclaim_period: TimeDelta::from_millis(100),
        retry_budget: None,
        rollout: Some(RolloutConfig { order: vec![A], error_rate_ratio: 3.0, error_probability: 0.1 }),
        lease: None,
        moves,
    }
}

/// Admits an op of the first cell's tenant, which has capacity.
fn admit_first(cells: &mut Cells) -> AdmissionPermit {
    let (tenant, group, need, due) = (Some("of-a"), GroupId(7), Consistency::Any, ms(500));
    let (address, session, token, again, bytes) = (None, None, None, false, 1);
    let op = OpContext {
        tenant,
        address,
        group,
        bytes,
        consistency: need,
        session,
        token,
        is_retry: again,
        deadline: due,
    };
    match cells.admit(ms(0), &op) {
        AdmissionDecision::Admit { permit, .. } => permit,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_removed_cell_has_no_share_and_its_id_is_reused_once_nothing_is_in_flight() {
    let old = layout(1, &["a", "b"]);
    let next = layout(2, &["b"]).aligned(&old, |_| true);
    let gone = next.cell(A);
    assert!(
        gone.removed
            && !gone.accepts_hashed_tenants
            && gone.weight == 0.0
            && gone.groups.is_empty()
            && gone.hosts.is_empty()
    );
    assert_eq!((next.cell(B).name.as_ref(), next.tenants["of-b"]), ("b", B));
    let ids = |free: bool| layout(3, &["b", "c"]).aligned(&next, |_| free).tenants["of-c"];
    assert_eq!((ids(true), ids(false)), (A, CellId(2)));
    // The id stays reserved while an op or a probe of the cell is in flight.
    for probe in [false, true] {
        let move_settings = MoveSettings {
            clients_mark_retries: true,
            max_op_timeout: TimeDelta::from_millis(500),
            max_clock_skew: TimeDelta::ZERO,
        };
        let mut cells =
            Cells::new(ms(0), old.clone(), Capacity { ops: 40, bytes: 1000, probes: 8 }, move_settings);
        let permit = admit_first(&mut cells);
        if probe {
            assert!(cells.try_start_probe(ms(0), A));
            cells.release(ms(1), permit, arrowyard_cells::tenant_move::WriteOutcome::NotExecuted, None);
        }
        assert_eq!(cells.replace_layout(ms(2), layout(2, &["b"])), Ok(()));
        assert_eq!(cells.replace_layout(ms(3), layout(3, &["b", "c"])), Ok(()));
        let held: Vec<(String, bool)> =
            cells.layout().cells.iter().map(|cell| (cell.name.to_string(), cell.removed)).collect();
        assert_eq!(held, [("a".to_string(), true), ("b".to_string(), false), ("c".to_string(), false)]);
        if probe {
            cells.end_probe(A)
        } else {
            cells.release(ms(4), permit, arrowyard_cells::tenant_move::WriteOutcome::NotExecuted, None)
        }
        assert_eq!(cells.replace_layout(ms(5), layout(4, &["b", "c", "d"])), Ok(()));
        assert_eq!(cells.layout().tenants["of-d"], A, "the id was free");
    }
}

#[test]
fn a_new_layout_keeps_the_trial_unless_the_rollout_changes() {
    for (worse, keeps) in [(3.0, true), (2.0, false)] {
        let move_settings = MoveSettings {
            clients_mark_retries: true,
            max_op_timeout: TimeDelta::from_millis(500),
            max_clock_skew: TimeDelta::ZERO,
        };
        let mut cells = Cells::new(
            ms(0),
            layout(1, &["a", "b"]),
            Capacity { ops: 40, bytes: 1000, probes: 8 },
            move_settings,
        );
        let permit = admit_first(&mut cells);
        (0..2000).for_each(|_| cells.record_send_end(&permit, SendOutcome::Acked, 0.1, true));
        let verdict = |change: Vec<CellEvent>| {
            change.iter().any(|change| matches!(change, CellEvent::RolloutVerdict(change) if change.verdict == RolloutVerdict::Good))
        };
        assert!(verdict(cells.take_events()));
        let rollout = Some(RolloutConfig { order: vec![A], error_rate_ratio: worse, error_probability: 0.1 });
        assert_eq!(cells.replace_layout(ms(1), Layout { rollout, ..layout(2, &["a", "b"]) }), Ok(()));
        assert_eq!(
            cells.report()[0].rollout_verdict,
            Some(if keeps { RolloutVerdict::Good } else { RolloutVerdict::Open })
        );
        // A report contains the counts since the previous one.
        cells.record_send(ms(2), &permit, true);
        (0..3).for_each(|_| cells.record_send(ms(2), &permit, false));
        let counters = cells.report()[0].counters;
        assert_eq!((counters.first_sends, counters.retries), (1, 3));
        assert_eq!(cells.report()[0].counters.retries, 0);
    }
    assert!(
        [RejectReason::OpCapacity, RejectReason::MoveFenced, RejectReason::LeaseExpired]
            .iter()
            .all(|why| why.text().len() > 10)
    );
}
