//! The laws of the limit that follows latency and of the trial of a release, written out once more in plain words, and
//! what becomes of rooms, lines and rows when a layout changes.

use arrowyard_cells::admission::{AdmissionPermit, Capacity, CellEvent, OpContext, RejectReason};
use arrowyard_cells::bulkhead::Bulkhead;
use arrowyard_cells::concurrency_limit::ConcurrencyLimit;
use arrowyard_cells::fair_queue::FairQueue;
use arrowyard_cells::layout::{Cell, ConcurrencyLimitConfig, Layout, RolloutConfig};
use arrowyard_cells::rollout::{ReleaseVerdict, Rollout};
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

/// The gradient limit in plain words.
struct Slow {
    limit: f64,
    quick: f64,
    slow: f64,
    answers: u32,
    rest: f64,
}

impl Slow {
    fn answered(&mut self, used: f64, in_hand: f64) {
        let used = used.clamp(0.001, 100.0);
        self.rest = (self.rest - 1.0).max(0.0);
        if self.answers == 0 {
            (self.quick, self.slow) = (used, used);
        } else {
            self.quick = 0.9 * self.quick + 0.1 * used;
            self.slow = 0.998 * self.slow + 0.002 * used;
        }
        self.answers += 1;
        if self.quick < self.slow / 2.0 {
            self.slow = 0.9 * self.slow + 0.1 * self.quick;
        }
        let well = self.quick <= 1.5 * self.slow;
        if well && in_hand < self.limit / 2.0 {
            return;
        }
        let part = if well { 1.0 } else { (1.5 * self.slow / self.quick).max(0.5) };
        let root = self.limit.powf(0.5);
        let step = (self.limit * part + root - self.limit) / 5.0 / root;
        self.limit = (self.limit + step).clamp(4.0, 300.0);
    }

    fn lost(&mut self) {
        if self.rest >= 1.0 {
            self.rest -= 1.0;
            return;
        }
        self.limit = (self.limit * 0.9).max(4.0);
        self.rest = self.limit.floor();
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn the_limit_follows_its_law(
        steps in prop::collection::vec((0_u8..12, 0.01_f64..6.0, 0_u64..80), 1..400), calm in 0.05_f64..2.0,
    ) {
        let mut pace = ConcurrencyLimit::new(ConcurrencyLimitConfig { initial: 40.0, min: 4.0, max: 300.0 });
        let mut plain = Slow { limit: 40.0, quick: 0.0, slow: 0.0, answers: 0, rest: 0.0 };
        for (kind, used, in_hand) in steps {
            if kind == 0 {
                pace.record_failure();
                plain.lost();
            } else {
                // Long calm stretches, and answers of every length.
                let used = if kind < 8 { calm } else { used };
                pace.record_response(used, in_hand);
                plain.answered(used, in_hand as f64);
            }
            prop_assert!((pace.limit() as f64 - plain.limit).abs() < 1.0 + 1e-6, "{} and {}", pace.limit(), plain.limit);
        }
    }

    /// The odds that a cell's new release is bad, kept as a product in place of a sum of logs.
    #[test]
    fn a_verdict_follows_the_odds(
        outcomes in prop::collection::vec((0_u8..4, any::<bool>(), any::<bool>()), 1..600), worse in 1.5_f64..6.0,
    ) {
        let wrong = 0.02;
        let mut widen = Rollout::new(RolloutConfig { order: vec![A, B], error_rate_ratio: worse, error_probability: wrong });
        let (mut odds, mut judged, mut others) = (1.0_f64, ReleaseVerdict::Open, 0.002_f64);
        let bound = (1.0 - wrong) / wrong;
        for (who, one, two) in outcomes {
            let bad = one && two;
            if who == 0 {
                prop_assert_eq!(widen.record_outcome(None, bad), None);
                others = 0.998 * others + if bad { 0.002 } else { 0.0 };
                continue;
            }
            let usual = others.clamp(0.002, 0.4);
            let high = (usual * worse).min(0.5 + usual / 2.0);
            let news = widen.record_outcome(Some(A), bad);
            if judged != ReleaseVerdict::Bad {
                odds *= if bad { high / usual } else { (1.0 - high) / (1.0 - usual) };
                odds = odds.clamp(1.0 / bound, bound);
                let close = |a: f64, b: f64| (a / b - 1.0).abs() < 1e-6;
                let before = judged;
                judged = if close(odds, bound) { ReleaseVerdict::Bad } else if close(odds, 1.0 / bound) { ReleaseVerdict::Good } else { judged };
                prop_assert_eq!(news.map(|news| (news.cell, news.verdict)), (judged != before).then_some((A, judged)));
            } else {
                prop_assert_eq!(news, None);
            }
            prop_assert_eq!(widen.verdict(A), judged);
            prop_assert_eq!(widen.check_rollout(B).is_ok(), judged == ReleaseVerdict::Good);
        }
    }
}

#[test]
fn a_trial_begins_anew_with_a_host_that_starts_after_the_span_and_not_within_it() {
    for (later, open) in [(100, false), (101, true)] {
        let mut widen =
            Rollout::new(RolloutConfig { order: vec![A, B], error_rate_ratio: 3.0, error_probability: 0.1 });
        widen.host_restarted(A, ms(0), TimeDelta::from_millis(100));
        while widen.verdict(A) != ReleaseVerdict::Good {
            widen.record_outcome(Some(A), false);
        }
        widen.host_restarted(A, ms(later), TimeDelta::from_millis(100));
        assert_eq!(widen.verdict(A) == ReleaseVerdict::Open, open, "{later} ms later");
    }
}

#[test]
fn other_terms_bound_a_limit_at_once_and_a_round_passes_between_two_cuts() {
    let mut pace = ConcurrencyLimit::new(ConcurrencyLimitConfig { initial: 40.0, min: 4.0, max: 300.0 });
    pace.set_config(ConcurrencyLimitConfig { initial: 1.0, min: 1.0, max: 20.0 });
    assert_eq!(pace.limit(), 20);
    pace.set_config(ConcurrencyLimitConfig { initial: 1.0, min: 30.0, max: 90.0 });
    assert_eq!(pace.limit(), 30);
    let mut pace = ConcurrencyLimit::new(ConcurrencyLimitConfig { initial: 40.0, min: 4.0, max: 300.0 });
    let cuts: Vec<u64> = (0..80)
        .map(|_| {
            pace.record_failure();
            pace.limit()
        })
        .collect();
    assert_eq!((cuts[0], cuts[36], cuts[37]), (36, 36, 32), "{cuts:?}");
}

#[test]
fn rooms_are_divided_anew_and_what_is_held_stays_held() {
    let even = || [(1.0, 0.5), (1.0, 0.5)].into_iter();
    let mut room = Bulkhead::new(100, even(), TimeDelta::from_millis(100));
    (0..60).for_each(|_| assert_eq!(room.try_acquire(ms(0), A, 1), Ok(())));
    assert_eq!((room.borrowed(A), room.share(A)), (10, (50, 25)));
    room.resize([(3.0, 0.5), (1.0, 0.0), (1.0, 0.5)].into_iter(), TimeDelta::from_millis(50));
    assert_eq!((room.used(A), room.borrowed(A), room.share(A)), (60, 0, (60, 30)));
    assert_eq!((room.share(B), room.share(CellId(2))), ((20, 0), (20, 10)));
    // 60 are held and 10 guaranteed to the third: 30 are left.
    assert_eq!((0..40).filter(|_| room.try_acquire(ms(0), B, 1).is_ok()).count(), 30);
    // Who asks for its own calls it back for the new span, and its end is no longer within.
    assert!((0..10).all(|_| room.try_acquire(ms(1), CellId(2), 1).is_ok()));
    assert!(room.try_acquire(ms(1), CellId(2), 1).is_err());
    assert_eq!((room.is_reclaiming(ms(50)), room.is_reclaiming(ms(51))), (true, false));
}

#[test]
fn lines_keep_what_waits_when_weights_change_and_the_new_weights_hold() {
    let mut fair = FairQueue::new([1.0, 1.0].into_iter());
    assert!(fair.is_empty());
    (0..60).for_each(|n| [A, B].into_iter().for_each(|cell| fair.push(cell, (cell, n))));
    assert_eq!((fair.len(), fair.is_empty()), (120, false));
    fair.set_weights([3.0, 1.0, 1.0].into_iter());
    assert_eq!(fair.len(), 120);
    let first: Vec<(CellId, i32)> = (0..40).map_while(|_| fair.pop()).collect();
    let of_a: Vec<i32> = first.iter().filter(|(cell, _)| *cell == A).map(|(_, n)| *n).collect();
    assert!((29..=31).contains(&of_a.len()), "three of four: {}", of_a.len());
    assert_eq!(of_a, (0..of_a.len() as i32).collect::<Vec<_>>(), "in their order");
    assert_eq!(fair.len(), 80);
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

/// An op of the tenant of the first cell, which has room for it.
fn first(cells: &mut Cells) -> AdmissionPermit {
    let (tenant, group, need, due) = (Some("of-a"), GroupId(7), Consistency::Any, ms(500));
    let (address, session, token, again, bytes) = (None, None, None, false, 1);
    let facts = OpContext {
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
    match cells.admit(ms(0), &facts) {
        AdmissionDecision::Admit { permit: pass, .. } => pass,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_cell_that_is_left_out_has_nothing_any_more_and_its_id_is_given_on_once_nothing_of_it_is_out() {
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
    // By the desk: an op, or a probe, that is out keeps it.
    for probe in [false, true] {
        let terms = MoveSettings {
            clients_mark_retries: true,
            max_op_timeout: TimeDelta::from_millis(500),
            max_clock_skew: TimeDelta::ZERO,
        };
        let mut cells = Cells::new(ms(0), old.clone(), Capacity { ops: 40, bytes: 1000, probes: 8 }, terms);
        let pass = first(&mut cells);
        if probe {
            assert!(cells.try_start_probe(ms(0), A));
            cells.release(ms(1), pass, arrowyard_cells::tenant_move::WriteOutcome::NotExecuted, None);
        }
        assert_eq!(cells.replace_layout(ms(2), layout(2, &["b"])), Ok(()));
        assert_eq!(cells.replace_layout(ms(3), layout(3, &["b", "c"])), Ok(()));
        let held: Vec<(String, bool)> =
            cells.layout().cells.iter().map(|cell| (cell.name.to_string(), cell.removed)).collect();
        assert_eq!(held, [("a".to_string(), true), ("b".to_string(), false), ("c".to_string(), false)]);
        if probe {
            cells.end_probe(A)
        } else {
            cells.release(ms(4), pass, arrowyard_cells::tenant_move::WriteOutcome::NotExecuted, None)
        }
        assert_eq!(cells.replace_layout(ms(5), layout(4, &["b", "c", "d"])), Ok(()));
        assert_eq!(cells.layout().tenants["of-d"], A, "its place was free");
    }
}

#[test]
fn a_trial_goes_on_over_a_new_layout_with_the_same_release_and_begins_anew_with_another() {
    for (worse, kept) in [(3.0, true), (2.0, false)] {
        let terms = MoveSettings {
            clients_mark_retries: true,
            max_op_timeout: TimeDelta::from_millis(500),
            max_clock_skew: TimeDelta::ZERO,
        };
        let mut cells =
            Cells::new(ms(0), layout(1, &["a", "b"]), Capacity { ops: 40, bytes: 1000, probes: 8 }, terms);
        let pass = first(&mut cells);
        (0..2000).for_each(|_| cells.record_send_end(&pass, SendOutcome::Acked, 0.1, true));
        let judged = |news: Vec<CellEvent>| {
            news.iter().any(|news| matches!(news, CellEvent::ReleaseVerdict(told) if told.verdict == ReleaseVerdict::Good))
        };
        assert!(judged(cells.take_events()));
        let release = Some(RolloutConfig { order: vec![A], error_rate_ratio: worse, error_probability: 0.1 });
        assert_eq!(
            cells.replace_layout(ms(1), Layout { rollout: release, ..layout(2, &["a", "b"]) }),
            Ok(())
        );
        assert_eq!(
            cells.report()[0].release_verdict,
            Some(if kept { ReleaseVerdict::Good } else { ReleaseVerdict::Open })
        );
        // What a cell did is told since the last time.
        cells.record_send(ms(2), &pass, true);
        (0..3).for_each(|_| cells.record_send(ms(2), &pass, false));
        let tally = cells.report()[0].counters;
        assert_eq!((tally.first_sends, tally.further_sends), (1, 3));
        assert_eq!(cells.report()[0].counters.further_sends, 0);
    }
    assert!(
        [RejectReason::OpCapacity, RejectReason::MoveFenced, RejectReason::LeaseExpired]
            .iter()
            .all(|why| why.text().len() > 10)
    );
}
