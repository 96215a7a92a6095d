//! What the tests of processes that come back share.

use std::path::Path;
use std::time::Duration;

use arrowyard_testbed::load::{Outcome, Stream, play};
use arrowyard_testbed::rig::{Rig, Setting};
use arrowyard_testbed::router::OP_TYPES;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn rig(setting: Setting) -> Rig {
    Rig::start(Path::new(env!("CARGO_BIN_EXE_arrowyard")), setting).expect("it starts")
}

pub fn alone(store: bool) -> Setting {
    Setting { off: true, known: false, store, ..Setting::of(1) }
}

/// The same as `ops`, in a thread of its own.
pub fn ops_in(rig: &Rig, who: usize, span: Duration, seed: u64) -> std::thread::JoinHandle<Outcome> {
    let address = rig.process(who).expect("it runs").address;
    std::thread::spawn(move || {
        let mix = vec![(0, 3), (1, 3), (2, 2), (3, 2)];
        let stream =
            Stream { tenant: "t", group: 7, rate: 60.0, mix, from: Duration::ZERO, till: span, sessions: 20 };
        play(address, &OP_TYPES, &[stream], seed, |_| {})
    })
}

pub fn said(rig: &Rig, who: usize, what: &str, within: u64) -> bool {
    rig.process(who).is_some_and(|process| process.said(what, ms(within)))
}

/// Nothing unanswered, nothing twice, nothing acked that is not there.
pub fn kept_rules(rig: &Rig, outcome: &Outcome) {
    let ledger = rig.town.ledger();
    assert_eq!(outcome.of_tenant("t").unanswered, 0);
    assert!(ledger.applied.values().all(|times| times.len() == 1));
    assert!(outcome.acked.iter().all(|turn| ledger.applied.contains_key(&format!("{turn:016x}"))));
}
