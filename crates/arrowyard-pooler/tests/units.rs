//! Freshness, dress and latencies, each against a plain model.

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

/// A primary whose commits are acknowledged at known times: whatever a read is told to wait for holds all that it must
/// see, and whatever a replica is said to have, it has.
#[test]
fn freshness_never_promises_what_is_not_there() {
    for seed in 0..200 {
        let mut rng = Rng::with_seed(seed);
        let (mut timeline, mut acknowledged, mut number, mut term) =
            (PositionTimeline::default(), Vec::new(), 0, 1);
        let mut told = Vec::new();
        for ms in 0..4000_i64 {
            if rng.f64() < 0.05 {
                number += 1;
                acknowledged.push((at(ms), Position { term, number }));
            }
            if rng.f64() < 0.002 {
                term += 1;
            }
            if rng.f64() < 0.03 {
                // Sent some time ago, answered now: it ran in between.
                let sent = ms - rng.i64(0..40);
                told.push((ms + rng.i64(0..15), at(sent), Position { term, number }));
            }
            told.retain(|(when, sent, position)| {
                if *when <= ms {
                    timeline.record(*sent, *position);
                }
                *when > ms
            });
            if ms % 50 == 0 {
                let since = at(ms - rng.i64(0..2000));
                if let Some(after) = timeline.position_covering(since) {
                    let missing =
                        acknowledged.iter().find(|(when, position)| *when < since && *position > after);
                    assert_eq!(missing, None, "seed {seed}, {ms} ms: after {after}");
                }
                let behind = Position { term, number: number.saturating_sub(rng.u64(0..20)) };
                if let Some(time) = timeline.fresh_until(behind) {
                    let missing =
                        acknowledged.iter().find(|(when, position)| *when < time && *position > behind);
                    assert_eq!(missing, None, "seed {seed}, {ms} ms: {behind} has all up to {time:?}");
                }
            }
        }
    }
}

#[test]
fn an_answer_that_came_late_does_not_take_back_what_is_known() {
    let position = |number| Position { term: 3, number };
    let mut timeline = PositionTimeline::default();
    timeline.record(at(100), position(10));
    timeline.record(at(200), position(20));
    timeline.record(at(150), position(12));
    timeline.record(at(300), Position { term: 2, number: 90 });
    assert_eq!(timeline.position_covering(at(150)), Some(position(20)));
    assert_eq!(timeline.position_covering(at(250)), None, "a host of an older term is no witness");
    assert_eq!(timeline.fresh_until(Position { term: 4, number: 1 }), Some(at(200)));
    assert_eq!(timeline.fresh_until(position(9)), None);
}

fn values(pairs: &[(&str, &str)]) -> SessionVariables {
    Rc::new(pairs.iter().map(|(name, value)| (name.to_string(), value.to_string())).collect())
}

/// A connection that is dressed for session after session holds that session's values and no others, and knows each
/// prepared name that is used on it.
#[test]
fn a_connection_holds_the_values_of_its_session_and_no_others() {
    for seed in 0..300 {
        let mut rng = Rng::with_seed(seed);
        let mut link = HostConnection::new(Conn(1), HostId(0), at(0));
        let (mut held, mut defined) = (BTreeMap::new(), BTreeMap::new());
        for _ in 0..60 {
            let mut wanted = BTreeMap::new();
            for name in ["a", "b", "c"] {
                if rng.bool() {
                    wanted.insert(name.to_string(), rng.u32(0..2).to_string());
                }
            }
            let number = rng.u32(0..3);
            let define = rng.bool().then_some((number, AccessMode::Read, "shape"));
            for said in link.setup_statements(&Rc::new(wanted.clone()), define) {
                let words: Vec<&str> = said.split(' ').collect();
                match words[..] {
                    ["CLEAR"] => {
                        held.clear();
                        defined.clear();
                    }
                    ["ASSIGN", name, value] => drop(held.insert(name.to_string(), value.to_string())),
                    ["DEFINE", name, "READ", "shape"] => drop(defined.insert(name.to_string(), ())),
                    _ => panic!("{said}"),
                }
            }
            assert_eq!(held, wanted, "seed {seed}");
            if let Some((number, _, _)) = define {
                assert!(defined.contains_key(&format!("g{number}")), "seed {seed}");
            }
        }
    }
}

#[test]
fn a_connection_that_is_dressed_already_costs_nothing() {
    let mut link = HostConnection::new(Conn(1), HostId(0), at(0));
    assert_eq!(link.setup_statements(&values(&[("a", "1")]), None), ["ASSIGN a 1"]);
    assert!(link.setup_statements(&values(&[("a", "1")]), None).is_empty());
    assert_eq!(link.setup_statements(&values(&[("a", "1"), ("b", "2")]), None), ["ASSIGN b 2"]);
    assert_eq!(link.setup_statements(&values(&[("b", "2")]), None), ["CLEAR", "ASSIGN b 2"]);
}

#[test]
fn all_but_a_few_of_a_kind_are_quicker_than_its_pace() {
    let (mut latencies, mut rng, kind) = (LatencyEstimates::default(), Rng::with_seed(1), OpTypeId(0));
    let mut slower = 0;
    for round in 0..40_000 {
        let took = TimeDelta::from_micros(30_000 + rng.i64(0..60_000));
        slower += u32::from(round >= 20_000 && took > latencies.high_quantile(kind));
        latencies.record(kind, took);
    }
    assert!((20..400).contains(&slower), "{slower} of 20,000 were slower");
    assert!(
        latencies.high_quantile(OpTypeId(9)) >= TimeDelta::from_millis(100),
        "what is not known is not hurried"
    );
}
