//! Shares in the operator configuration: parsing, validation errors and adjustments.

use arrowyard_config::{Change, ChangeKind, Configuration, Share};

fn body(revision: u64, route: &str, shares: &str) -> String {
    format!(
        r#"{{"revision":{revision},"channels":[{{"name":"a","plant":"d","kind":"primary","priority":1,"service":"s"{route}}},
            {{"name":"b","plant":"e","kind":"bounded_staleness","priority":2,"service":"s"}}],"services":[{{"name":"s"}}]{shares}}}"#
    )
}

fn read(text: &str) -> Configuration {
    Configuration::default().replace(text.as_bytes()).expect("it is valid")
}

fn rejection(route: &str, shares: &str) -> String {
    let text = body(3, route, shares);
    Configuration::default().replace(text.as_bytes()).expect_err("invalid configuration").to_string()
}

const POSTINGS: &str = r#","arrowyard-shares":[{"name":"postings","weight":3,"least":0.4,"lends":false},{"name":"status","most":0.5,"borrows":false}]"#;

#[test]
fn routes_use_the_named_share_or_the_default() {
    let read = read(&body(3, r#","arrowyard-share":"postings""#, POSTINGS));
    let shares: Vec<&str> = read.routes().map(|route| route.share.as_str()).collect();
    assert_eq!(shares, ["postings", "bounded_staleness/2"]);
    let weights: Vec<f64> = read.routes().map(|route| route.default_weight()).collect();
    assert!(weights[0] > weights[1], "the higher priority weighs more: {weights:?}");
    let postings = Share {
        name: "postings".into(),
        weight: 3.0,
        min_fraction: 0.4,
        max_fraction: 1.0,
        lends: false,
        borrows: true,
    };
    assert_eq!(read.shares().next(), Some(&postings));
    assert!(read.division_enabled());
    let again = Configuration::default().replace(read.body().as_bytes()).expect("round trip");
    assert_eq!(again, read);
}

#[test]
fn invalid_shares_are_rejected_with_the_path() {
    for (route, shares, path) in [
        (r#","arrowyard-share":"nobody""#, POSTINGS, "/channels/0/arrowyard-share"),
        (r#","arrowyard-share":7"#, POSTINGS, "/channels/0/arrowyard-share"),
        (
            "",
            r#","arrowyard-shares":[{"name":"a","least":0.6},{"name":"b","least":0.5}]"#,
            "/arrowyard-shares/1/least",
        ),
        ("", r#","arrowyard-shares":[{"name":"a","least":0.6,"most":0.5}]"#, "/arrowyard-shares/0/least"),
        ("", r#","arrowyard-shares":[{"name":"a","most":1.5}]"#, "/arrowyard-shares/0/most"),
        ("", r#","arrowyard-shares":[{"name":"a","weight":-1}]"#, "/arrowyard-shares/0/weight"),
        ("", r#","arrowyard-shares":[{"name":"a"},{"name":"a"}]"#, "/arrowyard-shares/1"),
        ("", r#","arrowyard-shares":[{"name":"a","lends":"no"}]"#, "/arrowyard-shares/0/lends"),
        ("", r#","arrowyard-shares":{}"#, "/arrowyard-shares"),
        ("", r#","arrowyard-division":1"#, "/arrowyard-division"),
    ] {
        let error = rejection(route, shares);
        assert!(error.contains(path), "{error}, not {path}");
    }
}

#[test]
fn adjustment_changes_shares_and_disables_division() {
    let first = read(&body(3, r#","arrowyard-share":"postings""#, POSTINGS));
    let adjust = |base, body: &str| Change { kind: ChangeKind::Adjust, base, body: body.into() };
    let next = adjust(
        3,
        r#"{"revision":4,"upsert":{"arrowyard-shares":[{"name":"postings","weight":9},{"name":"new","least":0.2}],
            "arrowyard-division":false},"remove":{"arrowyard-shares":["status"]}}"#,
    );
    let next = next.apply(&first).expect("it is valid");
    let weights: Vec<(&str, f64)> = next.shares().map(|share| (share.name.as_str(), share.weight)).collect();
    assert_eq!(weights, [("postings", 9.0), ("new", 1.0)]);
    assert!(!next.division_enabled() && !read(&next.body()).division_enabled());
    // A share that a route references cannot be removed.
    let gone = adjust(4, r#"{"revision":5,"remove":{"arrowyard-shares":["postings"]}}"#).apply(&next);
    assert!(gone.expect_err("a route references it").to_string().contains("/channels/0/arrowyard-share"));
}
