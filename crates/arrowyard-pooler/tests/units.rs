//! Position timelines, connection setup and latency estimates, each checked against a simple model.

use std::collections::BTreeMap;
use std::rc::Rc;

use arrowyard_pooler::{HostConnection, LatencyEstimates, PositionTimeline, SessionVariables};
use arrowyard_protocol::{AccessMode, Position};
use arrowyard_runtime::Conn;
use arrowyard_types::{HostId, OpTypeId, TimeDelta, Timestamp};
use fastrand::Rng;

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

/// A primary acknowledges commits at known times. A position required of a host must include every commit
/// that the read has to see, and the time up to which a host counts as fresh must not be later than its
/// data.
#[test]
fn timelines_never_overstate_freshness() {
    for seed in 0..200 {
        let mut rng = Rng::with_seed(seed);
        let (mut timeline, mut acknowledged, mut number, mut term) =
            (PositionTimeline::default(), Vec::new(), 0, 1);
        let mut replies = Vec::new();
        for ms in 0..4000_i64 {
            if rng.f64() < 0.05 {
                number += 1;
                acknowledged.push((at(ms), Position { term, number }));
            }
            if rng.f64() < 0.002 {
                term += 1;
            }
            if rng.f64() < 0.03 {
                // The statement was sent some time ago and ran before the reply arrived.
                let sent = ms - rng.i64(0..40);
                replies.push((ms + rng.i64(0..15), at(sent), Position { term, number }));
            }
            replies.retain(|(when, sent, position)| {
                if *when <= ms {
                    timeline.record(*sent, *position);
                }
                *when > ms
            });
            if ms % 50 == 0 {
                let since = at(ms - rng.i64(0..2000));
                if let Some(required) = timeline.position_covering(since) {
                    let missing =
                        acknowledged.iter().find(|(when, position)| *when < since && *position > required);
                    assert_eq!(missing, None, "seed {seed}, {ms} ms: required {required}");
                }
                let replica = Position { term, number: number.saturating_sub(rng.u64(0..20)) };
                if let Some(fresh_until) = timeline.fresh_until(replica) {
                    let missing = acknowledged
                        .iter()
                        .find(|(when, position)| *when < fresh_until && *position > replica);
                    assert_eq!(
                        missing, None,
                        "seed {seed}, {ms} ms: {replica} has all up to {fresh_until:?}"
                    );
                }
            }
        }
    }
}

#[test]
fn replies_out_of_order_do_not_lower_known_positions() {
    let position = |number| Position { term: 3, number };
    let mut timeline = PositionTimeline::default();
    timeline.record(at(100), position(10));
    timeline.record(at(200), position(20));
    timeline.record(at(150), position(12));
    timeline.record(at(300), Position { term: 2, number: 90 });
    assert_eq!(timeline.position_covering(at(150)), Some(position(20)));
    assert_eq!(timeline.position_covering(at(250)), None, "a position of an older term is ignored");
    assert_eq!(timeline.fresh_until(Position { term: 4, number: 1 }), Some(at(200)));
    assert_eq!(timeline.fresh_until(position(9)), None);
}

fn variables(pairs: &[(&str, &str)]) -> SessionVariables {
    Rc::new(pairs.iter().map(|(name, value)| (name.to_string(), value.to_string())).collect())
}

/// A connection that is set up for one session after another has exactly that session's variables, and
/// every prepared statement that is used on it.
#[test]
fn setup_leaves_exactly_the_variables_of_the_session() {
    for seed in 0..300 {
        let mut rng = Rng::with_seed(seed);
        let mut connection = HostConnection::new(Conn(1), HostId(0), at(0));
        let (mut variables, mut prepared) = (BTreeMap::new(), BTreeMap::new());
        for _ in 0..60 {
            let mut wanted = BTreeMap::new();
            for name in ["a", "b", "c"] {
                if rng.bool() {
                    wanted.insert(name.to_string(), rng.u32(0..2).to_string());
                }
            }
            let number = rng.u32(0..3);
            let prepare = rng.bool().then_some((number, AccessMode::Read, "shape"));
            for statement in connection.setup_statements(&Rc::new(wanted.clone()), prepare) {
                let words: Vec<&str> = statement.split(' ').collect();
                match words[..] {
                    ["CLEAR"] => {
                        variables.clear();
                        prepared.clear();
                    }
                    ["ASSIGN", name, value] => drop(variables.insert(name.to_string(), value.to_string())),
                    ["DEFINE", name, "READ", "shape"] => drop(prepared.insert(name.to_string(), ())),
                    _ => panic!("{statement}"),
                }
            }
            assert_eq!(variables, wanted, "seed {seed}");
            if let Some((number, _, _)) = prepare {
                assert!(prepared.contains_key(&format!("g{number}")), "seed {seed}");
            }
        }
    }
}

#[test]
fn setup_sends_only_differences() {
    let mut connection = HostConnection::new(Conn(1), HostId(0), at(0));
    assert_eq!(connection.setup_statements(&variables(&[("a", "1")]), None), ["ASSIGN a 1"]);
    assert!(connection.setup_statements(&variables(&[("a", "1")]), None).is_empty());
    assert_eq!(connection.setup_statements(&variables(&[("a", "1"), ("b", "2")]), None), ["ASSIGN b 2"]);
    assert_eq!(connection.setup_statements(&variables(&[("b", "2")]), None), ["CLEAR", "ASSIGN b 2"]);
}

#[test]
fn few_statements_exceed_the_high_quantile() {
    let (mut latencies, mut rng, op_type) = (LatencyEstimates::default(), Rng::with_seed(1), OpTypeId(0));
    let mut exceeding = 0;
    for round in 0..40_000 {
        let latency = TimeDelta::from_micros(30_000 + rng.i64(0..60_000));
        exceeding += u32::from(round >= 20_000 && latency > latencies.high_quantile(op_type));
        latencies.record(op_type, latency);
    }
    assert!((20..400).contains(&exceeding), "{exceeding} of 20,000 exceeded the estimate");
    assert!(
        latencies.high_quantile(OpTypeId(9)) >= TimeDelta::from_millis(100),
        "the initial estimate is generous"
    );
}
