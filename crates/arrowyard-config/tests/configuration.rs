//! Configuration and settings: round trips, validation errors, differences and adjustments.

use arrowyard_config::{Change, ChangeKind, ConfigError, Configuration, RouteKind, Settings};
use proptest::prelude::*;

const FIRST: &str = r#"{"revision":7,"channels":[
  {"name":"a","plant":"db1","path-prefix":"/","kind":"primary","deadline-ms":800,"setpoint-ms":120,"priority":1,"service":"s1","tries":2},
  {"name":"b","plant":"db2","path-prefix":"/","kind":"bounded_staleness","deadline-ms":1500,"service":"s1","staleness-bound-ms":1500,"unknown":{"x":[1,2.5]}}],
  "services":[{"name":"s1","probe-path":"/health","conn-limit":53,"sync-replicas":1}],"limits":{"tx-idle-ms":3000},"later":[1]}"#;

fn first() -> Configuration {
    Configuration::default().replace(FIRST.as_bytes()).expect("valid configuration")
}

fn rejection(body: &str) -> String {
    first().replace(body.as_bytes()).expect_err("invalid configuration").to_string()
}

#[test]
fn valid_configuration_round_trips_with_unknown_fields() {
    let read = first();
    let body = read.body();
    assert_eq!(Configuration::default().replace(body.as_bytes()), Ok(read));
    for kept in [r#""unknown":{"x":[1,2.5]}"#, r#""later":[1]"#, r#""probe-path":"/health""#] {
        assert!(body.contains(kept), "{kept} is not in {body}");
    }
    let read = first();
    let kinds: Vec<RouteKind> = read.routes().map(|route| route.kind).collect();
    assert_eq!(kinds, [RouteKind::Primary, RouteKind::BoundedStaleness]);
    assert_eq!(read.limits().transaction_idle_timeout_ms, 3000.0);
}

#[test]
fn invalid_configuration_is_rejected_with_the_path() {
    assert!(rejection(&FIRST[..FIRST.len() - 9]).contains("cannot be read"));
    assert!(rejection("[]").contains("cannot be read"));
    let route = |fields: &str| {
        format!(
            r#"{{"revision":9,"channels":[{{"name":"a","service":"s1",{fields}}}],"services":[{{"name":"s1"}}]}}"#
        )
    };
    assert!(rejection(&route(r#""deadline-ms":0"#)).contains("/channels/0/deadline-ms"));
    assert!(rejection(&route(r#""deadline-ms":"soon""#)).contains("/channels/0/deadline-ms"));
    assert!(rejection(&route(r#""deadline-ms":-5"#)).contains("/channels/0/deadline-ms"));
    assert!(rejection(&route(r#""kind":"any""#)).contains("/channels/0/kind"));
    let unknown =
        FIRST.replace("7", "9").replace(r#""service":"s1","staleness"#, r#""service":"s9","staleness"#);
    assert!(rejection(&unknown).contains("/channels/1/service"));
    let same = FIRST.replace("\"revision\":7", "\"revision\":9").replace("db2", "db1");
    assert!(rejection(&same).contains("/channels/1"));
    assert_eq!(first().replace(FIRST.as_bytes()), Err(ConfigError::StaleRevision(7, 7)));
}

#[test]
fn difference_reaches_the_other_configuration_or_is_none() {
    let next = |text: &str| {
        first().replace(text.replace("\"revision\":7", "\"revision\":9").as_bytes()).expect("valid")
    };
    let small = next(&FIRST.replace("\"deadline-ms\":800", "\"deadline-ms\":900"));
    let body = first().difference(&small).expect("one route differs");
    assert_eq!(first().adjust(body.as_bytes()), Ok(small));
    assert!(!body.contains("db2"), "unchanged routes are omitted: {body}");
    let other_field = next(&FIRST.replace("\"later\":[1]", "\"later\":[2]"));
    assert_eq!(first().difference(&other_field), None);
    let without_limits = next(&FIRST.replace(",\"limits\":{\"tx-idle-ms\":3000}", ""));
    assert_eq!(first().difference(&without_limits), None);
}

proptest! {
    #[test]
    fn differences_of_random_configurations_reach_the_other(
        before in prop::collection::btree_map("[a-f]", 1u32..4, 0..6),
        after in prop::collection::btree_map("[a-f]", 1u32..4, 0..6),
        reversed: bool,
    ) {
        let body = |revision: u64, routes: Vec<(&String, &u32)>| {
            let routes: Vec<String> = routes.into_iter().map(|(name, deadline)| {
                format!(r#"{{"name":"{name}","plant":"{name}","service":"s","deadline-ms":{deadline}}}"#)
            }).collect();
            format!(r#"{{"revision":{revision},"channels":[{}],"services":[{{"name":"s"}}]}}"#, routes.join(","))
        };
        let mut routes: Vec<_> = after.iter().collect();
        if reversed {
            routes.reverse();
        }
        let before = Configuration::default().replace(body(5, before.iter().collect()).as_bytes()).expect("valid");
        let after = before.replace(body(6, routes).as_bytes()).expect("valid");
        let difference = before.difference(&after).expect("an adjustment reaches it");
        prop_assert!(before.adjust(difference.as_bytes()).is_ok_and(|adjusted| adjusted.is_equivalent(&after)));
    }
}

#[test]
fn adjustment_adds_replaces_and_removes_items() {
    let body = r#"{"revision":9,"upsert":{"channels":[{"name":"b","plant":"db3","service":"s1","deadline-ms":10},{"name":"c","plant":"db4","service":"s1"}]},"remove":{"channels":["a","never"]}}"#;
    let change = Change { kind: ChangeKind::Adjust, base: 7, body: body.into() };
    let next = change.apply(&first()).expect("it is valid");
    let names: Vec<(&str, &str)> =
        next.routes().map(|route| (route.name.as_str(), route.database.as_str())).collect();
    assert_eq!(names, [("b", "db3"), ("c", "db4")]);
    assert_eq!(next.revision, 9);
    let orphan = r#"{"revision":9,"remove":{"services":["s1"]}}"#;
    assert!(first().adjust(orphan.as_bytes()).is_err(), "a route references a missing service");
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(body in prop::collection::vec(any::<u8>(), 0..300), cut in 0usize..400) {
        drop(Configuration::default().replace(&body));
        let part = &FIRST.as_bytes()[..cut.min(FIRST.len())];
        prop_assert_eq!(Configuration::default().replace(part).is_ok(), part.len() == FIRST.len());
        drop(Settings::parse(&String::from_utf8_lossy(&body)));
    }
}

const SETTINGS: &str = "node: \"edge-1\"\nip: \"10.1.0.8\"\nzone: \"a\"\ninternal-ports:\n  - 7440\n  - 7455\nnew-field: {x: 1}\n";

#[test]
fn settings_report_all_faults_and_ignore_unknown_fields() {
    let read = Settings::parse(SETTINGS).expect("valid settings");
    assert_eq!(
        (read.internal_ports, read.bootstrap, read.heartbeat_interval_ms),
        ((7440, 7455), false, 1200)
    );
    let wrong = SETTINGS.replace("edge-1", "").replace("7455", "7400") + "limits:\n  fd-limit: 3\n";
    let faults = Settings::parse(&wrong).expect_err("three faults").0;
    assert_eq!(faults.len(), 3, "{faults:?}");
    assert!(Settings::parse("node: [").is_err());
}
