//! Merging of a call's metadata with the comment of its statement.

use arrowyard_flight::CallError;
use arrowyard_flight::call_metadata::{CallMetadata, merge_comment, parse_op};
use proptest::prelude::*;

fn metadata(entries: &[(&str, &str)]) -> CallMetadata {
    let mut metadata = CallMetadata::default();
    entries.iter().for_each(|(key, value)| metadata.insert(key, value).expect("an allowed value"));
    metadata
}

#[test]
fn comment_and_metadata_are_merged() {
    let text = "/* id=9b1f03aa5c7e2d41,c=look,d=800,cluster=4 */ SELECT 1";
    let statement = parse_op(text, &CallMetadata::default(), || 1).expect("a complete op");
    assert_eq!(statement.text_with_timeout(800), text, "a complete comment is passed on unchanged");
    let entries = [
        ("arrowyard-op-type", "look"),
        ("arrowyard-group", "4"),
        ("arrowyard-tenant", "ann"),
        ("arrowyard-timeout-ms", "800"),
        ("arrowyard-token", "5c0f6e1a2b3d4c59"),
        ("user-agent", "anything, at all"),
    ];
    let statement =
        parse_op("SELECT 1", &metadata(&entries), || 0x9b1f_03aa_5c7e_2d41).expect("a complete op");
    assert_eq!((statement.op_type.as_str(), statement.group, statement.timeout_ms), ("look", 4, 800));
    assert_eq!(
        (statement.tenant.as_deref(), statement.token, statement.id),
        (Some("ann"), Some(0x5c0f_6e1a_2b3d_4c59), 0x9b1f_03aa_5c7e_2d41)
    );
    assert!(statement.text_with_timeout(5).ends_with("*/ SELECT 1"));
    // Missing fields come from the other source; equal values are no contradiction.
    let merged =
        parse_op("/* c=look,d=800 */ SELECT 1", &metadata(&entries), || 3).expect("no contradiction");
    assert_eq!((merged.group, merged.id), (4, 3));
}

#[test]
fn contradictions_are_errors_except_for_lower_bounds() {
    let text = "/* id=1,c=look,d=800,cluster=4,after=50 */ SELECT 1";
    for (name, value) in [
        ("arrowyard-group", "5"),
        ("arrowyard-op-type", "put"),
        ("arrowyard-timeout-ms", "700"),
        ("arrowyard-id", "2"),
    ] {
        assert!(
            matches!(merge_comment(text, &metadata(&[(name, value)])), Err(CallError::InvalidOp(_))),
            "{name}"
        );
    }
    let merged_after = |value| {
        parse_op(text, &metadata(&[("arrowyard-after", value)]), || 1)
            .expect("both are lower bounds")
            .last_commit_ms
    };
    assert_eq!((merged_after("40"), merged_after("60")), (Some(50), Some(60)));
    assert!(
        parse_op(text, &metadata(&[("arrowyard-again", "1")]), || 1)
            .is_ok_and(|statement| statement.is_retry)
    );
}

#[test]
fn grpc_timeout_is_the_default_timeout_and_must_not_be_shorter() {
    let timeout_ms = |text: &str, grpc_timeout: &str| {
        parse_op(text, &metadata(&[("grpc-timeout", grpc_timeout)]), || 1)
            .map(|statement| statement.timeout_ms)
    };
    let (with_timeout, without_timeout) = ("/* id=1,c=look,d=800 */ SELECT 1", "/* id=1,c=look */ SELECT 1");
    for (grpc_timeout, expected_ms) in
        [("2S", 2000), ("150m", 150), ("150000u", 150), ("90000000n", 90), ("1M", 60_000)]
    {
        assert_eq!(timeout_ms(without_timeout, grpc_timeout), Ok(expected_ms));
    }
    assert_eq!((timeout_ms(with_timeout, "2S"), timeout_ms(with_timeout, "800m")), (Ok(800), Ok(800)));
    assert!(matches!(timeout_ms(with_timeout, "799m"), Err(CallError::InvalidOp(_))));
    assert!(matches!(
        parse_op(without_timeout, &CallMetadata::default(), || 1),
        Err(CallError::InvalidOp(_))
    ));
    for grpc_timeout in ["", "S", "1", "-1S", "999999999S", "1.5S"] {
        assert!(CallMetadata::default().insert("grpc-timeout", grpc_timeout).is_err(), "{grpc_timeout}");
    }
}

#[test]
fn metadata_values_cannot_set_other_fields() {
    for value in ["a,d=1", "*/ DROP", "a b", "", "a'b"] {
        assert!(CallMetadata::default().insert("arrowyard-tenant", value).is_err(), "{value}");
    }
    let mut with_tenant = metadata(&[("arrowyard-tenant", "ann")]);
    assert!(with_tenant.insert("arrowyard-tenant", "ann").is_err());
    // A comment that is not a routing comment stays in the text.
    let statement = parse_op(
        "/* made by a tool */ SELECT 1",
        &metadata(&[("arrowyard-op-type", "look"), ("grpc-timeout", "1S")]),
        || 1,
    );
    assert!(
        statement
            .is_ok_and(|statement| statement.text_with_timeout(1).contains("/* made by a tool */ SELECT 1"))
    );
}

/// A fixed seed, so that every run tests the same cases.
fn config() -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(20_261_204);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_text_does_not_panic(text in ".{0,80}", value in ".{0,20}") {
        let mut metadata = CallMetadata::default();
        let _ = metadata.insert("arrowyard-group", &value);
        let _ = parse_op(&text, &metadata, || 1);
        let _ = parse_op(&format!("/* id=1,c=a,d=5,{text} */"), &metadata, || 1);
    }
}
