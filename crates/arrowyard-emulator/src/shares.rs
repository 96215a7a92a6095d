//! The rainy-season morning: one kind of requests comes at many times its pace, and what the others keep of theirs.

use arrowyard_types::Timestamp;

use crate::day::{Day, Fault, Played, Trouble, play};
use crate::system::Surge;

/// The surge lasts from one to the other, in seconds.
pub const FROM: f64 = 6.0;
pub const UNTIL: f64 = 13.0;
/// A window is kept where so many of its operations were inside their aim.
pub const KEPT: f64 = 0.9;

/// What one kind kept of its pace while the surge lasted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    pub kind: &'static str,
    pub asked: u64,
    /// The part inside their aim of all that began in the surge.
    pub in_aim: f64,
    /// The part of windows of 100 ms that were kept, and the least part in a second.
    pub windows: f64,
    pub worst: f64,
    pub p99_ms: f64,
}

/// A morning: residents ask for what takes hosts five times the work, at some 20 times the usual pace, of each of
/// `services`. With `troubles` a primary is replaced and another lost meanwhile, answers are lost and a router is killed.
#[must_use]
pub fn morning(seed: u64, routers: usize, services: usize, divides: bool, troubles: bool) -> Day {
    let surge = Surge {
        at: FROM,
        for_s: UNTIL - FROM,
        kind: "bounded".to_string(),
        users: 260,
        think_ms: 50,
        costly: true,
        routers: Vec::new(),
    };
    let fault = |at, for_s, what, which| Fault { at, for_s, what, which };
    let faults = vec![
        fault(7.5, 3.0, Trouble::ReleasePrimary, 0),
        fault(9.0, 2.0, Trouble::LoseAnswers, 1),
        fault(10.0, 3.0, Trouble::CrashPrimary, 1),
        fault(10.5, 1.0, Trouble::KillRouter, 1),
    ];
    Day {
        seed,
        routers,
        services,
        users: 20,
        think_ms: 120,
        seconds: 17.5,
        faults: if troubles { faults } else { Vec::new() },
        surges: vec![surge],
        divides,
        ..Day::default()
    }
}

fn at(seconds: f64) -> Timestamp {
    Timestamp::from_micros((seconds * 1e6) as i64)
}

/// What each kind kept while the surge lasted.
#[must_use]
pub fn paces(played: &Played) -> Vec<Pace> {
    let of = |(kind, kept): (&&'static str, &crate::Kept)| {
        let (windows, worst) = kept.pace(at(FROM), at(UNTIL), KEPT);
        let mut took = kept.took.clone();
        took.sort_unstable();
        let p99 = took.get(took.len().saturating_sub(1) * 99 / 100);
        let (asked, in_aim) = kept.between(at(FROM), at(UNTIL));
        let in_aim = in_aim as f64 / asked.max(1) as f64;
        Pace {
            kind,
            asked,
            in_aim,
            windows,
            worst,
            p99_ms: p99.map_or(0.0, |p99| p99.as_secs_f64() * 1000.0),
        }
    };
    played.kinds.iter().map(of).collect()
}

/// When the ones who were not there begin to post, in `comes_back`.
const BACK: f64 = 9.5;

/// A day on which nobody posts until the surge has the hosts, and then all at once.
#[must_use]
pub fn back_at_once(seed: u64, routers: usize) -> Day {
    let posts = Surge {
        at: BACK,
        for_s: UNTIL - BACK,
        kind: "primary".to_string(),
        users: 30,
        think_ms: 50,
        costly: false,
        routers: Vec::new(),
    };
    let mut day = morning(seed, routers, 1, true, false);
    day.users = 1;
    day.surges.push(posts);
    day
}

/// How many milliseconds after it came back the kind that was idle has its pace: from then on 0.95 of the operations of half a
/// second are inside their aim. Nothing if it never has.
#[must_use]
pub fn comes_back(seed: u64, routers: usize) -> Option<i64> {
    let played = play(&back_at_once(seed, routers));
    let kept = played.kinds.get("primary")?;
    let (from, until) = ((BACK * 10.0) as i64, (UNTIL * 10.0) as i64 - 5);
    let at = |window: i64| Timestamp::from_micros(window * 100_000);
    let paced = |window: &i64| {
        let (asked, in_aim) = kept.between(at(*window), at(*window + 5));
        asked > 0 && in_aim as f64 >= 0.95 * asked as f64
    };
    (from..until).find(paced).map(|window| (window - from) * 100)
}

/// Plays such days, and prints how soon the pace was back.
pub fn back(cases: u64, routers: usize) {
    let mut took: Vec<Option<i64>> = (1..=cases).map(|seed| comes_back(seed, routers)).collect();
    took.sort_unstable_by_key(|took| took.unwrap_or(i64::MAX));
    let part = |share: f64| {
        took.get((((cases as f64) * share).ceil() as usize).saturating_sub(1)).copied().flatten()
    };
    let text = |took: Option<i64>| took.map_or("never".to_string(), |ms| format!("{ms} ms"));
    println!(
        "{cases} days, {routers} routers: back within p50 {}, p99 {}, worst {}",
        text(part(0.5)),
        text(part(0.99)),
        text(part(1.0))
    );
}

/// Plays a morning with hosts divided and not, and prints what each kind kept; the last one, as it was played.
pub fn compare(routers: &[usize], services: usize, troubles: bool, seed: u64) -> Option<(Day, Played)> {
    let mut last = None;
    println!(
        "{:>7}  {:>8}  {:>8}  {:>7}  {:>6}  {:>7}  {:>6}  {:>7}  {:>7}  {:>10}  {:>9}  broken",
        "routers",
        "divided",
        "kind",
        "asked",
        "in aim",
        "windows",
        "worst",
        "p99 ms",
        "all run",
        "control KB",
        "its ms"
    );
    for &routers in routers {
        for divides in [false, true] {
            let day = morning(seed, routers, services, divides, troubles);
            let played = play(&day);
            for pace in paces(&played) {
                println!(
                    "{routers:>7}  {:>8}  {:>8}  {:>7}  {:>6.3}  {:>7.3}  {:>6.3}  {:>7.0}  {:>7}  {:>10.0}  {:>9.1}  {}",
                    if divides { "yes" } else { "no" },
                    pace.kind,
                    pace.asked,
                    pace.in_aim,
                    pace.windows,
                    pace.worst,
                    pace.p99_ms,
                    played.runs,
                    played.control.0 as f64 / 1e3,
                    played.control.1.as_secs_f64() * 1e3,
                    played.breaches.len()
                );
            }
            last = Some((day, played));
        }
    }
    last
}
