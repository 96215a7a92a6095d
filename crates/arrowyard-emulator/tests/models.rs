//! Every scene holds, to its end; each variant that is wrong on purpose is caught in one of them.

use arrowyard_emulator::models::{Checked, ledger, promotion};

fn holds(name: &str, checked: Option<Checked>) {
    let checked = checked.expect("there is such a scene");
    println!("{name}: {} states", checked.states);
    let ways: Vec<&str> = checked.broken.iter().map(|(_, way)| way.as_str()).collect();
    assert!(ways.is_empty(), "{name}: {:?}\n{}", checked.broken[0].0, ways[0]);
    assert!(checked.lives, "{name}: nothing happens");
    assert!(checked.states > 10_000, "{name}: {} states", checked.states);
}

fn caught(flaw: &str, name: &str, checked: Option<Checked>) {
    let checked = checked.expect("there is such a scene");
    println!("{flaw} in {name}: {} states", checked.states);
    assert!(!checked.broken.is_empty(), "{flaw} is not caught in {name}, {} states", checked.states);
}

#[test]
fn the_ledger_has_one_entry_a_slot_in_every_scene() {
    ledger::SCENES.into_iter().for_each(|name| holds(name, ledger::check(name, None)));
}

#[test]
fn no_change_of_primary_loses_a_commit_or_leaves_a_replica_behind() {
    promotion::SCENES.into_iter().for_each(|name| holds(name, promotion::check(name, None)));
}

#[test]
fn each_wrong_ledger_is_caught() {
    use ledger::Flaw::*;
    for (flaw, name) in [
        (WordsBeforeDisk, "a crash"),
        (WipedVotes, "a lost disk"),
        (VotesHidden, "two changes"),
        (PromisesForgotten, "a crash"),
        (ReadsAskNobody, "a read"),
    ] {
        caught(&format!("{flaw:?}"), name, ledger::check(name, Some(flaw)));
    }
}

#[test]
fn each_wrong_change_of_primary_is_caught() {
    use promotion::Flaw::*;
    for (flaw, name) in [
        (PausesNothing, "a plan"),
        (SilentHasNothing, "a replica before the primary"),
        (AnyRowIsAPause, "a plan"),
        (NoFloors, "a replica before the primary"),
        (AskedOnce, "a plan"),
        (NoRelays, "a hidden replica"),
    ] {
        caught(&format!("{flaw:?}"), name, promotion::check(name, Some(flaw)));
    }
}

#[test]
fn there_are_no_other_scenes() {
    assert!(ledger::check("none", None).is_none() && promotion::check("none", None).is_none());
}
