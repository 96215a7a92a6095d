//! The load and experiment tool: what it compares, what it measures of a change of primary, what it draws.

use std::cell::RefCell;
use std::rc::Rc;

use arrowyard_emulator::acknowledgements::{BOUND, TROUBLES, pauses};
use arrowyard_emulator::experiment::{Outcome, compare, outcomes, with};
use arrowyard_emulator::failover::{Cause, longest_pause, outages};
use arrowyard_emulator::{Day, Disk, World, chart, drawn, play};
use arrowyard_runtime::{Commands, Event, Plane};
use arrowyard_types::{TimeDelta, Timestamp};
use proptest::prelude::*;

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

fn outcome(seed: u64, served: f64) -> Outcome {
    Outcome { seed, served, late: 0.0, lost: 1.0 - served, p50_ms: 7.0, p99_ms: 90.0, broken: 0 }
}

#[test]
fn pairs_show_a_difference_that_the_days_own_spread_would_hide() {
    let first: Vec<Outcome> = (0..8).map(|seed| outcome(seed, 0.5 + 0.05 * seed as f64)).collect();
    let better = |one: &Outcome| outcome(one.seed, one.served + 0.01 + 0.001 * (one.seed % 2) as f64);
    let second: Vec<Outcome> = first.iter().map(better).collect();
    let served = compare(&first, &second).expect("the same days")[0];
    assert!((served.mean - 0.0105).abs() < 1e-9, "{served:?}");
    // Eight pairs, half 0.010 and half 0.011: t of 0.975 with seven is 2.3646.
    let error = (0.0005f64.powi(2) * 8.0 / 7.0 / 8.0).sqrt();
    assert!((served.within - 2.3646 * error).abs() < 1e-6, "{served:?}");
    assert!(
        compare(&first, &first).expect("the same").iter().all(|figure| figure.mean.abs() <= figure.within)
    );
}

#[test]
fn other_days_and_too_few_are_refused() {
    let days = [outcome(1, 0.5), outcome(2, 0.6)];
    assert!(compare(&days, &[outcome(1, 0.5), outcome(3, 0.6)]).is_err());
    assert!(compare(&days[..1], &days[..1]).is_err());
    assert!(compare(&[], &[]).is_err());
}

#[test]
fn settings_are_named_as_in_a_days_file_and_wrong_ones_are_told() {
    let day = Day::default();
    assert_eq!(with(&day, "limit=20").map(|day| day.limit), Ok(20));
    assert_eq!(with(&day, "think-ms=40").map(|day| day.think_ms), Ok(40));
    for wrong in ["limit", "limit=", "limit=-1", "limit=0", "routers=0", "think-ms=0", "seed=3", "faults=2"] {
        assert!(with(&day, wrong).is_err(), "{wrong}");
    }
    assert!(outcomes(1..2, &["routers=none".to_string()], |_| panic!("no day is played")).is_err());
}

#[test]
fn one_build_on_the_same_days_comes_to_the_same() {
    let played = || {
        let mut all = Vec::new();
        outcomes(3..5, &["users=2".to_string()], |one| all.push(one)).expect("settings are sound");
        all
    };
    assert_eq!(played(), played());
}

proptest! {
    #[test]
    fn what_is_printed_is_read_again(seed: u64, figures: [u32; 5], broken in 0u64..1000) {
        let [served, late, lost, p50, p99] = figures.map(f64::from);
        let one = Outcome {
            seed,
            served: served / 1e6,
            late: late / 1e6,
            lost: lost / 1e6,
            p50_ms: p50 / 1e3,
            p99_ms: p99 / 1e3,
            broken,
        };
        let read: Outcome = one.to_string().parse().expect("its own line");
        prop_assert!(read.seed == one.seed && read.broken == broken);
        let near = |(a, b): (&f64, &f64)| (a - b).abs() < 1e-3;
        prop_assert!(read.figures().iter().zip(&one.figures()).all(near));
    }

    #[test]
    fn any_other_line_is_refused_or_read(line: String) {
        let _ = line.parse::<Outcome>();
    }
}

#[test]
fn a_pause_counts_if_it_lasts_into_the_time_after_the_fault() {
    let times = [at(0), at(500), at(520), at(1500), at(1510)];
    assert_eq!(longest_pause(&times, at(600), at(1505)), Some(TimeDelta::from_millis(980)));
    assert_eq!(longest_pause(&times, at(1505), at(1505)), Some(TimeDelta::from_millis(10)));
    assert_eq!(longest_pause(&times, at(510), at(1600)), None, "it never came back, whatever came at once");
    assert_eq!(longest_pause(&times, at(1510), at(1510)), None, "nothing came after it");
    assert_eq!(longest_pause(&[], at(0), at(0)), None);
}

/// The platform takes a second to carry a change out; all else is ours.
#[test]
fn a_primary_is_replaced_within_the_bound_of_its_cause() {
    for cause in Cause::ALL {
        let outages = outages(cause, 2, 1);
        let bound = match cause {
            Cause::Release => 200,
            // The holder of the duty is missed first; the platform's two seconds, and calls that ran out.
            Cause::WithControl => 4_000,
            Cause::WithoutPlatform => 5_200,
            _ => 1_600,
        };
        assert!(outages.worst <= bound && outages.never + outages.broken == 0, "{cause:?}: {outages:?}");
        let least = if cause == Cause::Release { 0 } else { 1_000 };
        assert!(outages.worst >= least, "{cause:?}: nothing happened: {outages:?}");
    }
}

/// One control machine of three in whatever trouble: changes go on within the bound.
#[test]
fn a_change_is_acknowledged_within_the_bound_whatever_happens_to_one_machine() {
    for trouble in TROUBLES {
        let pauses = pauses(trouble, 2, 1);
        let worst = TimeDelta::from_millis(pauses.worst as i64);
        assert!(worst <= BOUND && pauses.never + pauses.broken == 0, "{trouble:?}: {pauses:?}");
    }
}

/// A day as it is drawn names all that happened on it.
#[test]
fn a_chart_shows_what_happened() {
    let day = (1..).map(drawn).find(|day| day.faults.len() > 1).expect("most days have troubles");
    let file = std::env::temp_dir().join(format!("arrowyard-chart-{}.svg", std::process::id()));
    chart::draw(&day, &play(&day), &file).expect("it is drawn");
    let text = std::fs::read_to_string(&file).expect("it was written");
    std::fs::remove_file(&file).expect("it is there");
    assert!(text.starts_with("<svg") && text.trim_end().ends_with("</svg>"));
    for fault in &day.faults {
        assert!(text.contains(&format!("{:?}", fault.what)), "{:?}", fault.what);
    }
}

/// Asks for a nearer time whenever it hears of something.
struct Restless {
    woken: Rc<RefCell<u32>>,
    due: Timestamp,
}

impl Plane for Restless {
    fn handle(&mut self, now: Timestamp, event: Event<'_>, _: &mut Commands) {
        if matches!(event, Event::TimerExpired) {
            *self.woken.borrow_mut() += 1;
        }
        // Far away once it was woken, near for any other reason.
        self.due = now + TimeDelta::from_millis(if matches!(event, Event::TimerExpired) { 10 } else { 1 });
    }

    fn due(&self) -> Option<Timestamp> {
        Some(self.due)
    }

    fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }
}

/// A wake-up whose time was overtaken by a nearer one is none. Once each asked for the next, and a day never ended.
#[test]
fn a_plane_is_woken_once_for_each_time_that_it_asks_for() {
    let mut world = World::new(1);
    let woken = Rc::new(RefCell::new(0));
    let machine = world.add("m", Vec::new(), Rc::new(RefCell::new(Disk::default())), TimeDelta::ZERO);
    world.start(machine, Box::new(Restless { woken: woken.clone(), due: at(0) }));
    for turn in 0..200 {
        world.run(at(turn * 5));
        world.sign(machine, arrowyard_runtime::Signal::Reload);
    }
    // Once a millisecond after each sign; before ten more have passed there is another sign.
    let times = *woken.borrow();
    assert!((190..=210).contains(&times), "{times} times in a second");
}
