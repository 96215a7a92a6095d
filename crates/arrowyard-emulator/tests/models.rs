//! Every model scenario holds exhaustively, and each mutation is detected in one of them.

use arrowyard_emulator::models::{CheckResult, ledger, promotion};

fn assert_holds(name: &str, result: Option<CheckResult>) {
    let result = result.expect("the scenario exists");
    println!("{name}: {} states", result.unique_states);
    let traces: Vec<&str> = result.violations.iter().map(|(_, trace)| trace.as_str()).collect();
    assert!(traces.is_empty(), "{name}: {:?}\n{}", result.violations[0].0, traces[0]);
    assert!(result.progressed, "{name}: the events of interest do not occur");
    assert!(result.unique_states > 10_000, "{name}: {} states", result.unique_states);
}

fn assert_detected(mutation: &str, name: &str, result: Option<CheckResult>) {
    let result = result.expect("the scenario exists");
    println!("{mutation} in {name}: {} states", result.unique_states);
    assert!(
        !result.violations.is_empty(),
        "{mutation} is not detected in {name}, {} states",
        result.unique_states
    );
}

#[test]
fn ledger_holds_in_every_scenario() {
    ledger::SCENARIOS.into_iter().for_each(|name| assert_holds(name, ledger::check(name, None)));
}

#[test]
fn promotion_holds_in_every_scenario() {
    promotion::SCENARIOS.into_iter().for_each(|name| assert_holds(name, promotion::check(name, None)));
}

#[test]
fn ledger_mutations_are_detected() {
    use ledger::Mutation::*;
    for (mutation, name) in [
        (SendBeforeSync, "a crash"),
        (WipedVoterCounts, "a lost disk"),
        (PromiseOmitsAccepted, "two changes"),
        (PromisesNotPersisted, "a crash"),
        (LocalRead, "a read"),
    ] {
        assert_detected(&format!("{mutation:?}"), name, ledger::check(name, Some(mutation)));
    }
}

#[test]
fn promotion_mutations_are_detected() {
    use promotion::Mutation::*;
    for (mutation, name) in [
        (IneffectivePause, "a plan"),
        (SilentHostIsEmpty, "a replica before the primary"),
        (AnyRowConfirmsPause, "a plan"),
        (NoPositionFloor, "a replica before the primary"),
        (NoRetries, "a plan"),
        (NoRelays, "a hidden replica"),
        (UncheckedCommits, "a plan"),
    ] {
        assert_detected(&format!("{mutation:?}"), name, promotion::check(name, Some(mutation)));
    }
}

#[test]
fn unknown_scenario_names_are_rejected() {
    assert!(ledger::check("none", None).is_none() && promotion::check("none", None).is_none());
}
