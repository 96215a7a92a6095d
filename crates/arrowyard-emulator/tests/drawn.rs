//! Generated scenarios violate no invariant. A failing seed becomes a file in `tests/days`.

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use arrowyard_emulator::{random_scenario, run_scenario};

const SCENARIO_COUNT: u64 = 2000;

#[test]
fn generated_scenarios_violate_no_invariant() {
    let next_seed = AtomicU64::new(1);
    let worker_count = thread::available_parallelism().map_or(2, |cores| cores.get().min(8));
    let failures: Vec<String> = thread::scope(|scope| {
        let run_scenarios = || {
            let mut failures = Vec::new();
            loop {
                let seed = next_seed.fetch_add(1, Ordering::SeqCst);
                if seed > SCENARIO_COUNT {
                    return failures;
                }
                let result = run_scenario(&random_scenario(seed));
                if let Some(violation) = result.violations.first() {
                    failures.push(format!("seed {seed}: {violation:?}"));
                }
            }
        };
        let workers: Vec<_> = (0..worker_count).map(|_| scope.spawn(run_scenarios)).collect();
        workers.into_iter().flat_map(|worker| worker.join().expect("no panic")).collect()
    });
    assert!(failures.is_empty(), "{} of {SCENARIO_COUNT}: {failures:#?}", failures.len());
}

/// Runs are deterministic, so that a violation can be reproduced.
#[test]
fn runs_are_deterministic() {
    let (first, second) = (run_scenario(&random_scenario(42)), run_scenario(&random_scenario(42)));
    assert_eq!(
        (first.counts, first.statements_run, first.violations.len()),
        (second.counts, second.statements_run, second.violations.len())
    );
}
