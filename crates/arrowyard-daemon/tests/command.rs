//! Output and exit codes of the command line.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// A temporary file, removed on drop.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> TempFile {
        let path = std::env::temp_dir().join(format!("arrowyard-command-{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("the file can be written");
        TempFile(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("the path is UTF-8")
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Runs the program. Returns its exit code and its output.
fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_arrowyard")).args(arguments).output();
    let Output { status, stdout, stderr } = output.expect("the program can be run");
    (status.code(), [stdout, stderr].map(|text| String::from_utf8_lossy(&text).into_owned()).concat())
}

const OPERATOR_CONFIG: &str = r#"epoch: 1 cells { cell { name: "a" } cell { name: "b" } tenant { name: "t" cell: "a" } rest { each: 1 } }"#;

#[test]
fn check_reports_each_fault_and_sets_the_exit_code() {
    let (valid, invalid) =
        (TempFile::new("good", OPERATOR_CONFIG), TempFile::new("bad", "epoch: 0\nlog { level: \"loud\" }"));
    assert_eq!(run(&["check", valid.path()]).0, Some(0));
    let (code, output) = run(&["check", invalid.path()]);
    assert_eq!((code, output.lines().count()), (Some(1), 3), "{output}");
    assert!(output.contains(":1:1: epoch: ") && output.contains(":2:7: log.level: \"loud\""), "{output}");
    let (code, output) = run(&["check", "--json", invalid.path()]);
    assert!(
        code == Some(1) && output.contains(r#""ok":false"#) && output.contains(r#""field":"log.level""#),
        "{output}"
    );
    assert_eq!(run(&["check", "no/such/file"]).0, Some(2));
    assert_eq!(run(&["no-such-command"]).0, Some(2));
    let (code, output) = run(&["--help"]);
    assert!(code == Some(0) && output.contains("Exit codes") && output.contains("cells"), "{output}");
}

#[test]
fn a_router_does_not_start_with_an_invalid_file() {
    let invalid = TempFile::new("start", "cells { }");
    let (code, output) = run(&["run", "--book", invalid.path()]);
    assert!(code == Some(2) && output.contains("there is no cell"), "{output}");
}

#[test]
fn the_cells_commands_place_tenants_compare_files_and_compute_odds() {
    let (old, new) = (
        TempFile::new("old", OPERATOR_CONFIG),
        TempFile::new("new", &OPERATOR_CONFIG.replace("cell: \"a\"", "cell: \"b\"")),
    );
    let (code, output) = run(&["cells", "place", old.path(), "t"]);
    assert!(code == Some(0) && output.contains('a'), "{output}");
    let (code, output) = run(&["cells", "diff", old.path(), new.path(), "--json"]);
    assert_eq!((code, output.trim()), (Some(1), r#"{"moved":[{"from":["a"],"tenant":"t","to":["b"]}]}"#));
    assert_eq!(run(&["cells", "diff", old.path(), old.path()]).0, Some(0));
    let (code, output) = run(&["cells", "odds", old.path(), "--pairs", "2000", "--json"]);
    assert!(code == Some(0) && output.contains(r#""worked_out":{"all":0.5,"any":0.5}"#), "{output}");
    let without_cells = TempFile::new("none", "epoch: 1");
    assert_eq!(run(&["cells", "place", without_cells.path(), "t"]).0, Some(2));
    // No router listens on this port.
    assert_eq!(run(&["cells", "show", "127.0.0.1:1"]).0, Some(2));
    assert!(Path::new(old.path()).exists());
}
