//! Helpers shared by the tests of router restarts.

use std::path::Path;
use std::time::Duration;

use arrowyard_testbed::load::{Outcome, Stream, play};
use arrowyard_testbed::rig::{Rig, Setting};
use arrowyard_testbed::router::OP_TYPES;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn rig(setting: Setting) -> Rig {
    Rig::start(Path::new(env!("CARGO_BIN_EXE_arrowyard")), setting).expect("the routers start")
}

/// One router without a fleet and without a list of hosts from the platform.
pub fn single_router(store: bool) -> Setting {
    Setting { off: true, known: false, store, ..Setting::of(1) }
}

/// Sends ops to router `who` for `span` from another thread.
pub fn spawn_ops(rig: &Rig, who: usize, span: Duration, seed: u64) -> std::thread::JoinHandle<Outcome> {
    let address = rig.process(who).expect("the router runs").address;
    std::thread::spawn(move || {
        let mix = vec![(0, 3), (1, 3), (2, 2), (3, 2)];
        let stream =
            Stream { tenant: "t", group: 7, rate: 60.0, mix, from: Duration::ZERO, till: span, sessions: 20 };
        play(address, &OP_TYPES, &[stream], seed, |_| {})
    })
}

/// Whether router `who` logs `text` within `within_ms`.
pub fn logged(rig: &Rig, who: usize, text: &str, within_ms: u64) -> bool {
    rig.process(who).is_some_and(|process| process.said(text, ms(within_ms)))
}

/// Asserts that every op was answered, no write was applied twice and every acknowledged write is stored.
pub fn assert_invariants(rig: &Rig, outcome: &Outcome) {
    let ledger = rig.town.ledger();
    assert_eq!(outcome.of_tenant("t").unanswered, 0);
    assert!(ledger.applied.values().all(|times| times.len() == 1));
    assert!(outcome.acked.iter().all(|token| ledger.applied.contains_key(&format!("{token:016x}"))));
}
