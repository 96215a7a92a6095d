//! The command line: what it prints, and its exit codes.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// A file of this name that goes with the test.
struct File(PathBuf);

impl File {
    fn new(name: &str, text: &str) -> File {
        let path = std::env::temp_dir().join(format!("arrowyard-command-{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("it can be written");
        File(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("its name is text")
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn run(words: &[&str]) -> (Option<i32>, String) {
    let done = Command::new(env!("CARGO_BIN_EXE_arrowyard")).args(words).output();
    let Output { status, stdout, stderr } = done.expect("the program is there");
    (status.code(), [stdout, stderr].map(|text| String::from_utf8_lossy(&text).into_owned()).concat())
}

const OLD: &str = r#"epoch: 1 cells { cell { name: "a" } cell { name: "b" } tenant { name: "t" cell: "a" } rest { each: 1 } }"#;

#[test]
fn check_reports_each_fault_and_tells_by_its_exit_code() {
    let (good, bad) = (File::new("good", OLD), File::new("bad", "epoch: 0\nlog { level: \"loud\" }"));
    assert_eq!(run(&["check", good.path()]).0, Some(0));
    let (code, said) = run(&["check", bad.path()]);
    assert_eq!((code, said.lines().count()), (Some(1), 3), "{said}");
    assert!(said.contains(":1:1: epoch: ") && said.contains(":2:7: log.level: \"loud\""), "{said}");
    let (code, said) = run(&["check", "--json", bad.path()]);
    assert!(
        code == Some(1) && said.contains(r#""ok":false"#) && said.contains(r#""field":"log.level""#),
        "{said}"
    );
    assert_eq!(run(&["check", "no/such/file"]).0, Some(2));
    assert_eq!(run(&["no-such-command"]).0, Some(2));
    let (code, said) = run(&["--help"]);
    assert!(code == Some(0) && said.contains("Exit codes") && said.contains("cells"), "{said}");
}

#[test]
fn a_router_does_not_start_with_a_file_that_has_faults() {
    let bad = File::new("start", "cells { }");
    let (code, said) = run(&["run", "--book", bad.path()]);
    assert!(code == Some(2) && said.contains("there is no cell"), "{said}");
}

#[test]
fn cells_are_placed_compared_and_their_odds_worked_out() {
    let (old, new) = (File::new("old", OLD), File::new("new", &OLD.replace("cell: \"a\"", "cell: \"b\"")));
    let (code, said) = run(&["cells", "place", old.path(), "t"]);
    assert!(code == Some(0) && said.contains('a'), "{said}");
    let (code, said) = run(&["cells", "diff", old.path(), new.path(), "--json"]);
    assert_eq!((code, said.trim()), (Some(1), r#"{"moved":[{"from":["a"],"tenant":"t","to":["b"]}]}"#));
    assert_eq!(run(&["cells", "diff", old.path(), old.path()]).0, Some(0));
    let (code, said) = run(&["cells", "odds", old.path(), "--pairs", "2000", "--json"]);
    assert!(code == Some(0) && said.contains(r#""worked_out":{"all":0.5,"any":0.5}"#), "{said}");
    let none = File::new("none", "epoch: 1");
    assert_eq!(run(&["cells", "place", none.path(), "t"]).0, Some(2));
    // Nobody listens there.
    assert_eq!(run(&["cells", "show", "127.0.0.1:1"]).0, Some(2));
    assert!(Path::new(old.path()).exists());
}
