//! How long a service is without a primary: drawn cases by what happened to it. Measured from outside: the longest time in
//! which no write of the service was acknowledged, around the fault.

use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;
use hdrhistogram::Histogram;

use crate::day::{Day, Fault, Trouble, play};

/// No day is longer, in milliseconds.
const LONGEST: u64 = 100_000;

/// A service that acknowledges nothing so long after the fault has not come back. Its clients ask for longer.
const BACK: TimeDelta = TimeDelta::from_millis(10_000);

/// What happens to a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    Crash,
    Dark,
    /// It is replaced in order.
    Release,
    /// One replica has received nothing for a while.
    BehindDeafReplica,
    /// One replica is lost five seconds before.
    AfterReplica,
    /// A control machine dies with it: in a third of all cases the one that replaces primaries.
    WithControl,
    /// The platform takes no call for two seconds.
    WithoutPlatform,
}

impl Cause {
    pub const ALL: [Cause; 7] = [
        Cause::Crash,
        Cause::Dark,
        Cause::Release,
        Cause::BehindDeafReplica,
        Cause::AfterReplica,
        Cause::WithControl,
        Cause::WithoutPlatform,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Cause::Crash => "crash",
            Cause::Dark => "dark",
            Cause::Release => "release",
            Cause::BehindDeafReplica => "behind a deaf replica",
            Cause::AfterReplica => "after a replica",
            Cause::WithControl => "with a control machine",
            Cause::WithoutPlatform => "without the platform",
        }
    }

    /// A day on which it happens, and when.
    pub fn day(self, seed: u64) -> (Day, Timestamp) {
        let mut rng = Rng::with_seed(seed ^ 0xfa11);
        let at = 11.0 + 1.2 * rng.f64();
        let which = rng.usize(0..6);
        let fault = |what, at, for_s| Fault { at, for_s, what, which };
        let crash = fault(Trouble::CrashPrimary, at, 20.0);
        let faults = match self {
            Cause::Crash => vec![crash],
            Cause::Dark => vec![fault(Trouble::DarkPrimary, at, 20.0)],
            Cause::Release => vec![fault(Trouble::ReleasePrimary, at, 0.0)],
            // A commit needs one replica: the lost one is back some seconds later, or nothing would be acknowledged.
            Cause::BehindDeafReplica => vec![fault(Trouble::DeafReplica, at - 3.0, 3.2), crash],
            Cause::AfterReplica => vec![fault(Trouble::CrashReplica, at - 5.0, 6.0), crash],
            Cause::WithControl => vec![crash, fault(Trouble::KillControl, at, 2.0)],
            Cause::WithoutPlatform => vec![fault(Trouble::PlatformAway, at - 0.1, 2.1), crash],
        };
        let day =
            Day { seed, controls: 3, routers: 3, services: 1, users: 8, seconds: 26.0, ..Day::default() };
        (Day { think_ms: 40, faults, ..day }, Timestamp::from_micros((at * 1e6) as i64))
    }
}

/// Times without a primary, or without whatever else is measured, in milliseconds.
#[derive(Clone, Debug)]
pub struct Outages {
    pub cases: u64,
    pub p50: u64,
    pub p99: u64,
    pub worst: u64,
    /// Cases in which it did not come back.
    pub never: u64,
    /// Days on which a rule was broken.
    pub broken: u64,
}

/// The longest pause between two of these moments that lasts into the time after `from`. Nothing if none came after `till`:
/// whoever acknowledges one more at once and then none any more has not come back.
pub fn longest_pause(acknowledged: &[Timestamp], from: Timestamp, till: Timestamp) -> Option<TimeDelta> {
    acknowledged.last().filter(|last| **last > till)?;
    let pairs = acknowledged.windows(2).filter(|pair| pair[1] > from);
    pairs.map(|pair| pair[1] - pair[0]).max()
}

/// Plays so many drawn cases of one cause.
pub fn outages(cause: Cause, cases: u64, from: u64) -> Outages {
    measured(cases, from, |seed| {
        let (day, at) = cause.day(seed);
        let played = play(&day);
        let pause = |writes: &Vec<Timestamp>| longest_pause(writes, at, at + BACK);
        (played.writes.values().filter_map(pause).max(), !played.breaches.is_empty())
    })
}

/// Plays cases that tell how long they lasted, if they ended at all, and whether a rule was broken.
pub fn measured(cases: u64, from: u64, play: impl Fn(u64) -> (Option<TimeDelta>, bool)) -> Outages {
    let mut times = Histogram::<u64>::new_with_max(LONGEST, 3).expect("three digits can be kept");
    let (mut never, mut broken) = (0, 0);
    for seed in from..from + cases {
        let (pause, breaks) = play(seed);
        broken += u64::from(breaks);
        match pause {
            Some(pause) => times.saturating_record((pause.micros() / 1000).max(0) as u64),
            None => never += 1,
        }
    }
    let part = |share| times.value_at_quantile(share);
    Outages { cases, p50: part(0.5), p99: part(0.99), worst: times.max(), never, broken }
}
