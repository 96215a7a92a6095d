//! What a call says of its op, in its comment and its metadata.

use arrowyard_flight::Fault;
use arrowyard_flight::brief::{Notes, merge, op};
use proptest::prelude::*;

fn notes(told: &[(&str, &str)]) -> Notes {
    let mut notes = Notes::default();
    told.iter().for_each(|(name, value)| notes.take(name, value).expect("it can stand there"));
    notes
}

#[test]
fn comment_and_metadata_become_one() {
    let whole = "/* id=9b1f03aa5c7e2d41,c=look,d=800,cluster=4 */ SELECT 1";
    let told = op(whole, &Notes::default(), || 1).expect("it says all");
    assert_eq!(told.text_with_timeout(800), whole, "what says all by itself passes on unchanged");
    let named = [
        ("arrowyard-op-type", "look"),
        ("arrowyard-group", "4"),
        ("arrowyard-tenant", "ann"),
        ("arrowyard-timeout-ms", "800"),
        ("arrowyard-token", "5c0f6e1a2b3d4c59"),
        ("user-agent", "anything, at all"),
    ];
    let told = op("SELECT 1", &notes(&named), || 0x9b1f_03aa_5c7e_2d41).expect("it says all");
    assert_eq!((told.op_type.as_str(), told.group, told.timeout_ms), ("look", 4, 800));
    assert_eq!(
        (told.tenant.as_deref(), told.token, told.id),
        (Some("ann"), Some(0x5c0f_6e1a_2b3d_4c59), 0x9b1f_03aa_5c7e_2d41)
    );
    assert!(told.text_with_timeout(5).ends_with("*/ SELECT 1"));
    // Of the two, what is missing in one; the same in both is no contradiction.
    let mixed = op("/* c=look,d=800 */ SELECT 1", &notes(&named), || 3).expect("they agree");
    assert_eq!((mixed.group, mixed.id), (4, 3));
}

#[test]
fn contradictions_are_errors_but_for_lower_bounds() {
    let whole = "/* id=1,c=look,d=800,cluster=4,after=50 */ SELECT 1";
    for (name, value) in [
        ("arrowyard-group", "5"),
        ("arrowyard-op-type", "put"),
        ("arrowyard-timeout-ms", "700"),
        ("arrowyard-id", "2"),
    ] {
        assert!(matches!(merge(whole, &notes(&[(name, value)])), Err(Fault::NoOp(_))), "{name}");
    }
    let after = |value| {
        op(whole, &notes(&[("arrowyard-after", value)]), || 1).expect("both are lower bounds").last_commit_ms
    };
    assert_eq!((after("40"), after("60")), (Some(50), Some(60)));
    assert!(op(whole, &notes(&[("arrowyard-again", "1")]), || 1).is_ok_and(|told| told.is_retry));
}

#[test]
fn the_clients_timer_is_the_time_that_it_waits_unless_less_is_said() {
    let wait = |text: &str, timer: &str| {
        op(text, &notes(&[("grpc-timeout", timer)]), || 1).map(|told| told.timeout_ms)
    };
    let (timed, untimed) = ("/* id=1,c=look,d=800 */ SELECT 1", "/* id=1,c=look */ SELECT 1");
    for (timer, wanted) in [("2S", 2000), ("150m", 150), ("150000u", 150), ("90000000n", 90), ("1M", 60_000)]
    {
        assert_eq!(wait(untimed, timer), Ok(wanted));
    }
    assert_eq!((wait(timed, "2S"), wait(timed, "800m")), (Ok(800), Ok(800)));
    assert!(matches!(wait(timed, "799m"), Err(Fault::NoOp(_))));
    assert!(matches!(op(untimed, &Notes::default(), || 1), Err(Fault::NoOp(_))));
    for timer in ["", "S", "1", "-1S", "999999999S", "1.5S"] {
        assert!(Notes::default().take("grpc-timeout", timer).is_err(), "{timer}");
    }
}

#[test]
fn metadata_cannot_say_more_than_its_name() {
    for value in ["a,d=1", "*/ DROP", "a b", "", "a'b"] {
        assert!(Notes::default().take("arrowyard-tenant", value).is_err(), "{value}");
    }
    let mut twice = notes(&[("arrowyard-tenant", "ann")]);
    assert!(twice.take("arrowyard-tenant", "ann").is_err());
    // A comment of another kind is none of ours, and passes on.
    let told = op(
        "/* made by a tool */ SELECT 1",
        &notes(&[("arrowyard-op-type", "look"), ("grpc-timeout", "1S")]),
        || 1,
    );
    assert!(told.is_ok_and(|told| told.text_with_timeout(1).contains("/* made by a tool */ SELECT 1")));
}

/// The same cases each time.
fn config() -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(20_261_204);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_text_upsets_it(text in ".{0,80}", value in ".{0,20}") {
        let mut notes = Notes::default();
        let _ = notes.take("arrowyard-group", &value);
        let _ = op(&text, &notes, || 1);
        let _ = op(&format!("/* id=1,c=a,d=5,{text} */"), &notes, || 1);
    }
}
