//! Invalid files: each error is found at its position, and none hides another.

use arrowyard_operator_config::{ConfigError, parse};
use proptest::prelude::*;

fn faults(text: &str) -> Vec<ConfigError> {
    parse(text).err().unwrap_or_default()
}

/// Asserts that an error with this position, field and part of the message is found.
fn has(text: &str, line: usize, column: usize, field: &str, what: &str) {
    let found = faults(text);
    let hit = found.iter().any(|fault| {
        (fault.position.line, fault.position.column) == (line, column)
            && fault.field == field
            && fault.message.contains(what)
    });
    assert!(hit, "{text}\n{found:#?}");
}

const GOOD: &str = r#"
epoch: 3   # grows with each edit
log { level: "debug" form: JSON }
cells {
  cell { name: "gold" weight: 2.5 group: [1, 2] pace { first: 8 } }
  cell { name: "rest", host: "s-4*"; host: 'one' guaranteed: 1e0 }
  tenant < name: "acme" cell: "gold" >
  net { prefix: "10.1.0.0/16" cell: "rest" }
  net { within: ["fd00::/8", "10.2.0.0/16"] without: "10.2.3.0/24" cell: "gold" }
  rest { each: 2 }
}
"#;

#[test]
fn a_valid_file_is_parsed() {
    let book = parse(GOOD).expect("nothing is wrong with it");
    let cells = book.cells.expect("it has cells");
    assert_eq!((book.epoch, cells.cell.len(), cells.cell[0].group.len()), (Some(3), 2, 2));
    assert_eq!(cells.cell[1].host, ["s-4*", "one"]);
    assert_eq!(cells.rest.and_then(|rest| rest.each), Some(2));
    assert_eq!(parse("").map(|book| book.cells.is_none()), Ok(true));
}

#[test]
fn all_errors_are_reported_with_their_positions() {
    let text =
        "epoch: 1\nepoch: 2\nlogg { }\ncells {\n  cell { name: \"a\" weigth: 2 guaranteed: \"x\" }\n}\n";
    has(text, 2, 1, "epoch", "twice, first in line 1");
    has(text, 3, 1, "logg", "log is meant?");
    has(text, 5, 20, "cells.cell[0].weigth", "weight is meant?");
    has(text, 5, 42, "cells.cell[0].guaranteed", "a number");
    assert_eq!(faults(text).len(), 4);
    let text = "epoch: 1 cells {\n cell { name: \"a\" weight: -1 guaranteed: 1.5 }\n cell { name: \"a\" }\n \
                tenant { name: \"t\" cell: \"b\" }\n tenant { name: \"t\" cell: \"a\" }\n}";
    has(text, 2, 19, "cells.cell[0].weight", "out of range");
    has(text, 2, 30, "cells.cell[0].guaranteed", "0 to 1");
    has(text, 3, 9, "cells.cell[1].name", "the cell in line 2, too");
    has(text, 4, 21, "cells.tenant[0].cell", "no cell is named \"b\"");
    has(text, 5, 2, "cells.tenant[1]", "line 4 puts tenant \"t\" in \"b\" already");
    assert_eq!(faults(text).len(), 5);
}

#[test]
fn what_contradicts_itself_is_told() {
    let head = "epoch: 1 cells { cell { name: \"a\" } cell { name: \"b\" }";
    let with = |rest: &str| format!("{head}\n{rest}\n}}");
    has(
        &with("net { prefix: \"10.1.0.1/16\" cell: \"a\" }"),
        2,
        7,
        "cells.net[0].prefix",
        "10.1.0.0/16 is meant?",
    );
    has(&with("net { prefix: \"10.1.0.1\" cell: \"a\" }"), 2, 7, "cells.net[0].prefix", "no length");
    let twice = "net { prefix: \"10.0.0.0/8\" cell: \"a\" } net { prefix: \"10.0.0.0/8\" cell: \"b\" }";
    has(&with(twice), 2, 46, "cells.net[1].prefix", "line 2, too");
    let sets = "net { within: \"10.0.0.0/8\" cell: \"a\" }\nnet { within: \"10.4.0.0/16\" cell: \"b\" }";
    has(&with(sets), 3, 1, "cells.net[1]", "10.4.0.0/16 is in the set of line 2");
    let apart = "net { within: \"10.0.0.0/8\" without: \"10.4.0.0/16\" cell: \"a\" }\n\
                 net { within: \"10.4.0.0/16\" cell: \"b\" }";
    assert_eq!(faults(&with(apart)), []);
    has(&with("rest { each: 3 }"), 2, 8, "cells.rest.each", "out of range, 1 to 2");
    has(&with("release { order: \"a\" }"), 2, 1, "cells.release.order", "two cells");
    let fenced = "tenant { name: \"t\" cell: \"a\" } lease { until_ms: 1767225600000 }\n\
                  move { tenant: \"t\" from: \"a\" to: \"b\" from_group: 1 to_group: 2 step: FENCED }";
    has(&with(fenced), 3, 1, "cells.move[0].fence_at_ms", "at step Fenced");
    has(&with(fenced), 3, 1, "cells.move[0].memory_ms", "where the group changes");
    let seconds = fenced.replace("1767225600000", "1767225600");
    has(&with(&seconds), 2, 40, "cells.lease.until_ms", "out of range");
}

#[test]
fn a_file_that_ends_too_soon_or_nests_without_end_is_told() {
    has("epoch: 1 cells {", 1, 17, "cells", "ends before '}'");
    has("log { level: \"inf\n }", 1, 14, "", "no end");
    has("epoch 4", 1, 7, "epoch", "':' is expected");
    has("\u{1F6A2}", 1, 1, "", "name of a field");
    let deep = format!("x {}", "{".repeat(100_000));
    assert!(!faults(&deep).is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_201),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever the bytes are, there is a book or there are faults, each within the text.
    #[test]
    fn no_text_is_too_odd(cut in 0..GOOD.len(), with in "[ -~\\n{}:\\[\\]<>\"]{0,12}", drop in 0_usize..12) {
        let text = format!("{}{with}{}", &GOOD[..cut], &GOOD[(cut + drop).min(GOOD.len())..]);
        let lines = text.lines().count().max(1);
        match parse(&text) {
            Ok(_) => {}
            Err(faults) => {
                prop_assert!(!faults.is_empty());
                for fault in faults {
                    prop_assert!((1..=lines + 1).contains(&fault.position.line), "{fault:?}");
                }
            }
        }
    }
}
