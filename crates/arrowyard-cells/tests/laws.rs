//! The laws of the limit that follows latency and of the trial of a release, written out once more in plain words, and
//! what becomes of rooms, lines and rows when a layout changes.

use arrowyard_cells::desk::{Facts, News, Pass, Totals, Why};
use arrowyard_cells::fair::Fair;
use arrowyard_cells::layout::{Cell, Layout, Pace as PaceTerms, Release};
use arrowyard_cells::moving::Terms;
use arrowyard_cells::pace::Pace;
use arrowyard_cells::room::Room;
use arrowyard_cells::widen::{Judged, Widen};
use arrowyard_cells::{Cells, Fate, Verdict};
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
        let mut pace = Pace::new(PaceTerms { first: 40.0, least: 4.0, most: 300.0 });
        let mut plain = Slow { limit: 40.0, quick: 0.0, slow: 0.0, answers: 0, rest: 0.0 };
        for (kind, used, in_hand) in steps {
            if kind == 0 {
                pace.lost();
                plain.lost();
            } else {
                // Long calm stretches, and answers of every length.
                let used = if kind < 8 { calm } else { used };
                pace.answered(used, in_hand);
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
        let mut widen = Widen::new(Release { order: vec![A, B], worse, wrong });
        let (mut odds, mut judged, mut others) = (1.0_f64, Judged::Open, 0.002_f64);
        let bound = (1.0 - wrong) / wrong;
        for (who, one, two) in outcomes {
            let bad = one && two;
            if who == 0 {
                prop_assert_eq!(widen.outcome(None, bad), None);
                others = 0.998 * others + if bad { 0.002 } else { 0.0 };
                continue;
            }
            let usual = others.clamp(0.002, 0.4);
            let high = (usual * worse).min(0.5 + usual / 2.0);
            let news = widen.outcome(Some(A), bad);
            if judged != Judged::Bad {
                odds *= if bad { high / usual } else { (1.0 - high) / (1.0 - usual) };
                odds = odds.clamp(1.0 / bound, bound);
                let close = |a: f64, b: f64| (a / b - 1.0).abs() < 1e-6;
                let before = judged;
                judged = if close(odds, bound) { Judged::Bad } else if close(odds, 1.0 / bound) { Judged::Good } else { judged };
                prop_assert_eq!(news.map(|news| (news.cell, news.judged)), (judged != before).then_some((A, judged)));
            } else {
                prop_assert_eq!(news, None);
            }
            prop_assert_eq!(widen.judged(A), judged);
            prop_assert_eq!(widen.may_widen(B).is_ok(), judged == Judged::Good);
        }
    }
}

#[test]
fn a_trial_begins_anew_with_a_host_that_starts_after_the_span_and_not_within_it() {
    for (later, open) in [(100, false), (101, true)] {
        let mut widen = Widen::new(Release { order: vec![A, B], worse: 3.0, wrong: 0.1 });
        widen.renewed(A, ms(0), TimeDelta::from_millis(100));
        while widen.judged(A) != Judged::Good {
            widen.outcome(Some(A), false);
        }
        widen.renewed(A, ms(later), TimeDelta::from_millis(100));
        assert_eq!(widen.judged(A) == Judged::Open, open, "{later} ms later");
    }
}

#[test]
fn other_terms_bound_a_limit_at_once_and_a_round_passes_between_two_cuts() {
    let mut pace = Pace::new(PaceTerms { first: 40.0, least: 4.0, most: 300.0 });
    pace.renew(PaceTerms { first: 1.0, least: 1.0, most: 20.0 });
    assert_eq!(pace.limit(), 20);
    pace.renew(PaceTerms { first: 1.0, least: 30.0, most: 90.0 });
    assert_eq!(pace.limit(), 30);
    let mut pace = Pace::new(PaceTerms { first: 40.0, least: 4.0, most: 300.0 });
    let cuts: Vec<u64> = (0..80)
        .map(|_| {
            pace.lost();
            pace.limit()
        })
        .collect();
    assert_eq!((cuts[0], cuts[36], cuts[37]), (36, 36, 32), "{cuts:?}");
}

#[test]
fn rooms_are_divided_anew_and_what_is_held_stays_held() {
    let even = || [(1.0, 0.5), (1.0, 0.5)].into_iter();
    let mut room = Room::new(100, even(), TimeDelta::from_millis(100));
    (0..60).for_each(|_| assert_eq!(room.take(ms(0), A, 1), Ok(())));
    assert_eq!((room.borrowed(A), room.share(A)), (10, (50, 25)));
    room.divide([(3.0, 0.5), (1.0, 0.0), (1.0, 0.5)].into_iter(), TimeDelta::from_millis(50));
    assert_eq!((room.used(A), room.borrowed(A), room.share(A)), (60, 0, (60, 30)));
    assert_eq!((room.share(B), room.share(CellId(2))), ((20, 0), (20, 10)));
    // 60 are held and 10 guaranteed to the third: 30 are left.
    assert_eq!((0..40).filter(|_| room.take(ms(0), B, 1).is_ok()).count(), 30);
    // Who asks for its own calls it back for the new span, and its end is no longer within.
    assert!((0..10).all(|_| room.take(ms(1), CellId(2), 1).is_ok()));
    assert!(room.take(ms(1), CellId(2), 1).is_err());
    assert_eq!((room.is_called(ms(50)), room.is_called(ms(51))), (true, false));
}

#[test]
fn lines_keep_what_waits_when_weights_change_and_the_new_weights_hold() {
    let mut fair = Fair::new([1.0, 1.0].into_iter());
    assert!(fair.is_empty());
    (0..60).for_each(|n| [A, B].into_iter().for_each(|cell| fair.put(cell, (cell, n))));
    assert_eq!((fair.len(), fair.is_empty()), (120, false));
    fair.divide([3.0, 1.0, 1.0].into_iter());
    assert_eq!(fair.len(), 120);
    let first: Vec<(CellId, i32)> = (0..40).map_while(|_| fair.take()).collect();
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
        guaranteed: 0.5,
        placed: true,
        pace: None,
        gone: false,
    }
}

fn layout(epoch: u64, names: &[&str]) -> Layout {
    let (nets, moves) = Default::default();
    Layout {
        epoch,
        cells: names.iter().map(|name| cell(name)).collect(),
        tenants: names.iter().zip(0..).map(|(name, n)| (format!("of-{name}").into(), CellId(n))).collect(),
        nets,
        rest: Some(1),
        call_back: TimeDelta::from_millis(100),
        repeats: None,
        release: Some(Release { order: vec![A], worse: 3.0, wrong: 0.1 }),
        lease: None,
        moves,
    }
}

/// An op of the tenant of the first cell, which has room for it.
fn first(cells: &mut Cells) -> Pass {
    let (tenant, group, need, due) = (Some("of-a"), GroupId(7), Consistency::Any, ms(500));
    let (address, session, token, again, bytes) = (None, None, None, false, 1);
    let facts = Facts { tenant, address, group, bytes, need, session, token, again, due };
    match cells.admit(ms(0), &facts) {
        Verdict::Go { pass, .. } => pass,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_cell_that_is_left_out_has_nothing_any_more_and_its_id_is_given_on_once_nothing_of_it_is_out() {
    let old = layout(1, &["a", "b"]);
    let next = layout(2, &["b"]).aligned(&old, |_| true);
    let gone = next.cell(A);
    assert!(
        gone.gone && !gone.placed && gone.weight == 0.0 && gone.groups.is_empty() && gone.hosts.is_empty()
    );
    assert_eq!((next.cell(B).name.as_ref(), next.tenants["of-b"]), ("b", B));
    let ids = |free: bool| layout(3, &["b", "c"]).aligned(&next, |_| free).tenants["of-c"];
    assert_eq!((ids(true), ids(false)), (A, CellId(2)));
    // By the desk: an op, or a probe, that is out keeps it.
    for probe in [false, true] {
        let terms = Terms { marks: true, settle: TimeDelta::from_millis(500), skew: TimeDelta::ZERO };
        let mut cells = Cells::new(ms(0), old.clone(), Totals { ops: 40, bytes: 1000, probes: 8 }, terms);
        let pass = first(&mut cells);
        if probe {
            assert!(cells.probe(ms(0), A));
            cells.ended(ms(1), pass, arrowyard_cells::moving::Ran::Never, None);
        }
        assert_eq!(cells.relayout(ms(2), layout(2, &["b"])), Ok(()));
        assert_eq!(cells.relayout(ms(3), layout(3, &["b", "c"])), Ok(()));
        let held: Vec<(String, bool)> =
            cells.layout().cells.iter().map(|cell| (cell.name.to_string(), cell.gone)).collect();
        assert_eq!(held, [("a".to_string(), true), ("b".to_string(), false), ("c".to_string(), false)]);
        if probe {
            cells.probed(A)
        } else {
            cells.ended(ms(4), pass, arrowyard_cells::moving::Ran::Never, None)
        }
        assert_eq!(cells.relayout(ms(5), layout(4, &["b", "c", "d"])), Ok(()));
        assert_eq!(cells.layout().tenants["of-d"], A, "its place was free");
    }
}

#[test]
fn a_trial_goes_on_over_a_new_layout_with_the_same_release_and_begins_anew_with_another() {
    for (worse, kept) in [(3.0, true), (2.0, false)] {
        let terms = Terms { marks: true, settle: TimeDelta::from_millis(500), skew: TimeDelta::ZERO };
        let mut cells =
            Cells::new(ms(0), layout(1, &["a", "b"]), Totals { ops: 40, bytes: 1000, probes: 8 }, terms);
        let pass = first(&mut cells);
        (0..2000).for_each(|_| cells.send_ended(&pass, Fate::Acked, 0.1, true));
        let judged = |news: Vec<News>| {
            news.iter().any(|news| matches!(news, News::Release(told) if told.judged == Judged::Good))
        };
        assert!(judged(cells.news()));
        let release = Some(Release { order: vec![A], worse, wrong: 0.1 });
        assert_eq!(cells.relayout(ms(1), Layout { release, ..layout(2, &["a", "b"]) }), Ok(()));
        assert_eq!(cells.report()[0].judged, Some(if kept { Judged::Good } else { Judged::Open }));
        // What a cell did is told since the last time.
        cells.sent(ms(2), &pass, true);
        (0..3).for_each(|_| cells.sent(ms(2), &pass, false));
        let tally = cells.report()[0].tally;
        assert_eq!((tally.first, tally.further), (1, 3));
        assert_eq!(cells.report()[0].tally.further, 0);
    }
    assert!([Why::Ops, Why::Fence, Why::Lease].iter().all(|why| why.text().len() > 10));
}
