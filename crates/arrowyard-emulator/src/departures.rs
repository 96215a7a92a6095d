//! How long after the acknowledgement that it leaves a replica is still asked, while a control machine is in trouble: until
//! the last router knows. Measured from outside, at the host.

use arrowyard_types::TimeDelta;
use fastrand::Rng;

use crate::day::{Day, Fault, Trouble, play};
use crate::failover::{Outages, measured};

/// A replica is asked by every router some twenty times a second.
const ROUTERS: usize = 6;
const USERS: usize = 12;
const THINK_MS: i64 = 25;
/// When the replica says that it leaves, in seconds: what happens to a control machine happens at most so much earlier.
const LEAVES: f64 = 8.0;
const EARLIER: f64 = 2.0;

/// A day on which a replica leaves, and on which this happens to one control machine.
fn day(trouble: Option<Trouble>, seed: u64) -> Day {
    let mut rng = Rng::with_seed(seed ^ 0xdeb);
    let leaves = Fault { at: LEAVES, for_s: 0.0, what: Trouble::ReleaseReplica, which: rng.usize(0..2) };
    let at = LEAVES + 0.5 - EARLIER * rng.f64();
    let strikes = |what| Fault { at, for_s: 3.0 + 2.0 * rng.f64(), what, which: rng.usize(0..6) };
    let faults = [leaves].into_iter().chain(trouble.map(strikes)).collect();
    let controls = if trouble == Some(Trouble::ReplaceControl) { 4 } else { 3 };
    let day = Day { seed, controls, routers: ROUTERS, services: 1, users: USERS, ..Day::default() };
    Day { seconds: 17.0, think_ms: THINK_MS, faults, ..day }
}

/// Plays so many drawn cases of one trouble, or of none.
pub fn last_questions(trouble: Option<Trouble>, cases: u64, from: u64) -> Outages {
    measured(cases, from, |seed| {
        let played = play(&day(trouble, seed));
        (Some(played.asked_after_leaving.unwrap_or(TimeDelta::ZERO)), !played.breaches.is_empty())
    })
}
