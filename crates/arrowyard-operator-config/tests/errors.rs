//! Invalid files: all errors are reported, each with its position.

use arrowyard_operator_config::{ConfigError, parse};
use proptest::prelude::*;

fn errors(text: &str) -> Vec<ConfigError> {
    parse(text).err().unwrap_or_default()
}

/// Asserts that an error with this position, field and part of the message is found.
fn assert_error(text: &str, line: usize, column: usize, field: &str, message: &str) {
    let found_errors = errors(text);
    let is_found = found_errors.iter().any(|error| {
        (error.position.line, error.position.column) == (line, column)
            && error.field == field
            && error.message.contains(message)
    });
    assert!(is_found, "{text}\n{found_errors:#?}");
}

const VALID: &str = r#"
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
    let config = parse(VALID).expect("the file is valid");
    let cells = config.cells.expect("the file has cells");
    assert_eq!((config.epoch, cells.cell.len(), cells.cell[0].group.len()), (Some(3), 2, 2));
    assert_eq!(cells.cell[1].host, ["s-4*", "one"]);
    assert_eq!(cells.rest.and_then(|rest| rest.each), Some(2));
    assert_eq!(parse("").map(|config| config.cells.is_none()), Ok(true));
}

#[test]
fn all_errors_are_reported_with_their_positions() {
    let text =
        "epoch: 1\nepoch: 2\nlogg { }\ncells {\n  cell { name: \"a\" weigth: 2 guaranteed: \"x\" }\n}\n";
    assert_error(text, 2, 1, "epoch", "twice, first in line 1");
    assert_error(text, 3, 1, "logg", "did you mean log?");
    assert_error(text, 5, 20, "cells.cell[0].weigth", "did you mean weight?");
    assert_error(text, 5, 42, "cells.cell[0].guaranteed", "a number");
    assert_eq!(errors(text).len(), 4);
    let text = "epoch: 1 cells {\n cell { name: \"a\" weight: -1 guaranteed: 1.5 }\n cell { name: \"a\" }\n \
                tenant { name: \"t\" cell: \"b\" }\n tenant { name: \"t\" cell: \"a\" }\n}";
    assert_error(text, 2, 19, "cells.cell[0].weight", "out of range");
    assert_error(text, 2, 30, "cells.cell[0].guaranteed", "0 to 1");
    assert_error(text, 3, 9, "cells.cell[1].name", "also the name of the cell in line 2");
    assert_error(text, 4, 21, "cells.tenant[0].cell", "no cell is named \"b\"");
    assert_error(text, 5, 2, "cells.tenant[1]", "line 4 already assigns tenant \"t\" to \"b\"");
    assert_eq!(errors(text).len(), 5);
}

#[test]
fn contradictory_rows_are_rejected() {
    let two_cells = "epoch: 1 cells { cell { name: \"a\" } cell { name: \"b\" }";
    let with_rows = |rows: &str| format!("{two_cells}\n{rows}\n}}");
    assert_error(
        &with_rows("net { prefix: \"10.1.0.1/16\" cell: \"a\" }"),
        2,
        7,
        "cells.net[0].prefix",
        "did you mean 10.1.0.0/16?",
    );
    assert_error(
        &with_rows("net { prefix: \"10.1.0.1\" cell: \"a\" }"),
        2,
        7,
        "cells.net[0].prefix",
        "no prefix length",
    );
    let duplicate = "net { prefix: \"10.0.0.0/8\" cell: \"a\" } net { prefix: \"10.0.0.0/8\" cell: \"b\" }";
    assert_error(&with_rows(duplicate), 2, 46, "cells.net[1].prefix", "is also in line 2");
    let overlapping =
        "net { within: \"10.0.0.0/8\" cell: \"a\" }\nnet { within: \"10.4.0.0/16\" cell: \"b\" }";
    assert_error(&with_rows(overlapping), 3, 1, "cells.net[1]", "10.4.0.0/16 is also in the set of line 2");
    let disjoint = "net { within: \"10.0.0.0/8\" without: \"10.4.0.0/16\" cell: \"a\" }\n\
                 net { within: \"10.4.0.0/16\" cell: \"b\" }";
    assert_eq!(errors(&with_rows(disjoint)), []);
    assert_error(&with_rows("rest { each: 3 }"), 2, 8, "cells.rest.each", "out of range, 1 to 2");
    assert_error(&with_rows("release { order: \"a\" }"), 2, 1, "cells.release.order", "two cells");
    let fenced_move = "tenant { name: \"t\" cell: \"a\" } lease { until_ms: 1767225600000 }\n\
                  move { tenant: \"t\" from: \"a\" to: \"b\" from_group: 1 to_group: 2 step: FENCED }";
    assert_error(&with_rows(fenced_move), 3, 1, "cells.move[0].fence_at_ms", "at step Fenced");
    assert_error(&with_rows(fenced_move), 3, 1, "cells.move[0].memory_ms", "where the group changes");
    let time_in_seconds = fenced_move.replace("1767225600000", "1767225600");
    assert_error(&with_rows(&time_in_seconds), 2, 40, "cells.lease.until_ms", "out of range");
}

#[test]
fn a_truncated_or_deeply_nested_file_is_rejected() {
    assert_error("epoch: 1 cells {", 1, 17, "cells", "ends before '}'");
    assert_error("log { level: \"inf\n }", 1, 14, "", "not terminated");
    assert_error("epoch 4", 1, 7, "epoch", "expected ':'");
    assert_error("\u{1F6A2}", 1, 1, "", "expected a field name");
    let deeply_nested = format!("x {}", "{".repeat(100_000));
    assert!(!errors(&deeply_nested).is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_201),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// An edited file is parsed, or rejected with errors whose positions are within the text.
    #[test]
    fn any_text_is_parsed_or_rejected_with_positions_in_it(cut in 0..VALID.len(), inserted in "[ -~\\n{}:\\[\\]<>\"]{0,12}", removed_len in 0_usize..12) {
        let text = format!("{}{inserted}{}", &VALID[..cut], &VALID[(cut + removed_len).min(VALID.len())..]);
        let lines = text.lines().count().max(1);
        match parse(&text) {
            Ok(_) => {}
            Err(errors) => {
                prop_assert!(!errors.is_empty());
                for error in errors {
                    prop_assert!((1..=lines + 1).contains(&error.position.line), "{error:?}");
                }
            }
        }
    }
}
