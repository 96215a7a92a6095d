//! Drawn days hold. Each seed is a day of its own; one that breaks a rule goes to `tests/days` as a file.

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use arrowyard_emulator::{drawn, play};

const DAYS: u64 = 2000;

#[test]
fn drawn_days_break_no_rule() {
    let next = AtomicU64::new(1);
    let workers = thread::available_parallelism().map_or(2, |cores| cores.get().min(8));
    let broken: Vec<String> = thread::scope(|scope| {
        let work = || {
            let mut broken = Vec::new();
            loop {
                let seed = next.fetch_add(1, Ordering::SeqCst);
                if seed > DAYS {
                    return broken;
                }
                let played = play(&drawn(seed));
                if let Some(breach) = played.breaches.first() {
                    broken.push(format!("seed {seed}: {breach:?}"));
                }
            }
        };
        let workers: Vec<_> = (0..workers).map(|_| scope.spawn(work)).collect();
        workers.into_iter().flat_map(|worker| worker.join().expect("no panic")).collect()
    });
    assert!(broken.is_empty(), "{} of {DAYS}: {broken:#?}", broken.len());
}

/// The same day plays the same, or a day that breaks a rule could not be looked at again.
#[test]
fn a_day_plays_the_same_each_time() {
    let (first, again) = (play(&drawn(42)), play(&drawn(42)));
    assert_eq!(
        (first.tally, first.runs, first.breaches.len()),
        (again.tally, again.runs, again.breaches.len())
    );
}
