//! How long the operator waits for an acknowledgement while a control machine is in trouble: drawn cases by what happens
//! to it. Measured from outside: a change is sent as soon as the one before is acknowledged, ten a second at most, and the
//! longest time between two acknowledgements around the trouble counts.

use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;

use crate::day::{Day, Fault, Trouble, play};
use crate::failover::{Outages, longest_pause, measured};

/// Changes are sent from then on, so often and so many, in seconds.
const FIRST: f64 = 4.0;
const EVERY: f64 = 0.1;
const CHANGES: u32 = 160;

/// What happens to one control machine of three, or of four where one is exchanged.
pub const TROUBLES: [Trouble; 10] = [
    Trouble::KillControl,
    Trouble::DarkControl,
    Trouble::WipeControl,
    Trouble::ReplaceControl,
    Trouble::FreezeControl,
    Trouble::CutControl,
    Trouble::MuteControl,
    Trouble::DeafControl,
    Trouble::RefuseDisk,
    Trouble::HangDisk,
];

/// A day on which it happens, from when and until when.
fn day(trouble: Trouble, seed: u64) -> (Day, Timestamp, Timestamp) {
    let mut rng = Rng::with_seed(seed ^ 0xacc5);
    let (at, for_s) = (8.0 + rng.f64(), 3.0 + 2.0 * rng.f64());
    let fault = Fault { at, for_s, what: trouble, which: rng.usize(0..6) };
    let changes = (0..CHANGES).map(|number| FIRST + EVERY * f64::from(number)).collect();
    let controls = if trouble == Trouble::ReplaceControl { 4 } else { 3 };
    let day = Day { seed, controls, routers: 2, services: 1, users: 1, seconds: 26.0, ..Day::default() };
    let point = |seconds: f64| Timestamp::from_micros((seconds * 1e6) as i64);
    (Day { think_ms: 400, changes, faults: vec![fault], ..day }, point(at), point(at + for_s))
}

/// Plays so many drawn cases of one trouble.
pub fn pauses(trouble: Trouble, cases: u64, from: u64) -> Outages {
    measured(cases, from, |seed| {
        let (day, begins, ends) = day(trouble, seed);
        let played = play(&day);
        (longest_pause(&played.acks, begins, ends), !played.breaches.is_empty())
    })
}

/// What a change may wait at most, whatever happens to one control machine: a call that is not answered is given up after
/// a second, and the next machine is asked.
pub const BOUND: TimeDelta = TimeDelta::from_millis(1500);
