//! The command line and the router service that the router programs share. Each program adds its own
//! frontends.

mod cells;
mod leases;
mod peers;
pub mod router_service;
pub mod serve;
mod show;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use serde_json::json;

/// A router that spreads reads over database replicas and sends writes to the primary.
///
/// Without a command it serves, as with `run`. The platform's settings are read from the file that
/// RELAY_CONFIG names.
///
/// Exit codes: 0 success; 1 a checked file has faults, or a comparison found differences; 2 the command
/// failed, or the router could not start or continue.
#[derive(Parser)]
#[command(name = "arrowyard", version, max_term_width = 110)]
struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    run: Run,
}

#[derive(Subcommand)]
enum Command {
    /// Serve until SIGTERM, then finish the in-flight ops and exit.
    Run(Run),
    /// Check an operator's file and report all faults with line and column.
    Check(Check),
    /// Cells: the assignment of tenants, the effect of an edit, and the state of a router's cells.
    #[command(subcommand)]
    Cells(cells::Command),
    /// Show how a running router sees the other routers of its fleet.
    Peers(peers::Peers),
    /// Leases for tasks that only one router of a fleet performs.
    #[command(subcommand)]
    Leases(leases::Command),
    /// The host list that a router has stored for its next start.
    #[command(subcommand)]
    Store(store::Command),
}

#[derive(Args)]
struct Run {
    /// The operator's file, in protobuf's text format (see deploy/yardbook.txtpb). Without it, all features
    /// that it configures are off.
    #[arg(long, value_name = "FILE", env = "ARROWYARD_BOOK")]
    book: Option<PathBuf>,
}

#[derive(Args)]
struct Check {
    /// The operator's file.
    file: PathBuf,
    /// Report as one JSON object: {"file", "ok", "faults": [{"line", "column", "field", "what"}]}.
    #[arg(long)]
    json: bool,
}

const EXIT_FAULTS: u8 = 1;
const EXIT_FAILED: u8 = 2;

fn check(file: &Path, as_json: bool) -> Result<ExitCode, String> {
    let text = std::fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
    let parsed = arrowyard_operator_config::parse(&text);
    let faults = parsed.as_ref().err().map(Vec::as_slice).unwrap_or_default();
    if as_json {
        let rows = faults.iter().map(|fault| {
            json!({"line": fault.position.line, "column": fault.position.column, "field": fault.field,
                "what": fault.message})
        });
        let report = json!({"file": file, "ok": faults.is_empty(), "faults": rows.collect::<Vec<_>>()});
        println!("{report}");
    } else {
        faults.iter().for_each(|fault| println!("{}:{fault}", file.display()));
        match faults.len() {
            0 => println!("{}: no faults", file.display()),
            count => println!("{}: {count} faults; a router would reject the whole file", file.display()),
        }
    }
    Ok(if faults.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAULTS) })
}

/// Parses the command line. `None` without arguments and without ARROWYARD_BOOK, as the platform starts the
/// router: skipping the parser saves the memory of its code.
fn parse_command() -> Option<Command> {
    if std::env::args_os().len() == 1 && std::env::var_os("ARROWYARD_BOOK").is_none() {
        return None;
    }
    let CommandLine { command, run } = CommandLine::parse();
    Some(command.unwrap_or(Command::Run(run)))
}

/// Runs the command given on the command line. `serve` runs the router; it gets the path of the operator's
/// file, if one is given.
pub fn run(serve: impl FnOnce(Option<PathBuf>) -> Result<(), String>) -> ExitCode {
    let result = match parse_command() {
        None => serve(None).map(|()| ExitCode::SUCCESS),
        Some(Command::Run(run)) => serve(run.book).map(|()| ExitCode::SUCCESS),
        Some(Command::Check(Check { file, json })) => check(&file, json),
        Some(Command::Cells(command)) => cells::run(command),
        Some(Command::Peers(peers)) => peers::run(&peers),
        Some(Command::Leases(command)) => leases::run(&command),
        Some(Command::Store(command)) => store::run(&command),
    };
    result.unwrap_or_else(|error| {
        eprintln!("arrowyard: {}", error.replace('\n', "\narrowyard: "));
        ExitCode::from(EXIT_FAILED)
    })
}
