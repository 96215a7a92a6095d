//! `arrowyard store`: the host list that a router stored for its next start, and whether it is usable.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use arrowyard_store::{GenerationState, Store, SystemDisk};
use clap::{Args, Subcommand};
use serde_json::json;

use crate::show::table;

#[derive(Subcommand)]
pub enum Command {
    /// Show the hosts of the newest valid generation.
    Show(Location),
    /// Show the state of each generation. Exit code 1 if none is valid.
    Check(Location),
}

#[derive(Args)]
pub struct Location {
    /// The directory that the operator's file names.
    folder: PathBuf,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// The state of a generation, as shown in tables and JSON.
fn describe_state(state: &GenerationState) -> String {
    match state {
        GenerationState::Valid(snapshot) => {
            format!("whole, number {}, {} hosts", snapshot.number, snapshot.hosts.len())
        }
        GenerationState::Missing => "missing".to_string(),
        GenerationState::NoFile => "no file".to_string(),
        GenerationState::NoRights => "no right to read it".to_string(),
        GenerationState::Unreadable(reason) => format!("unreadable: {reason}"),
        GenerationState::Empty => "empty".to_string(),
        GenerationState::Huge(bytes) => format!("{bytes} bytes, more than it may have"),
        GenerationState::Truncated => "it ends too early".to_string(),
        GenerationState::Garbled => "garbled".to_string(),
        GenerationState::Newer(format) => format!("of the later form {format}"),
        GenerationState::Older(format) => format!("of the former form {format}"),
        GenerationState::Foreign => "of another deployment".to_string(),
        GenerationState::Future(ms) => format!("written {ms} ms in the future"),
    }
}

/// Runs the command.
///
/// # Errors
/// The directory does not exist.
pub fn run(command: &Command) -> Result<ExitCode, String> {
    let (Command::Show(Location { folder, json }) | Command::Check(Location { folder, json })) = command;
    if !folder.is_dir() {
        return Err(format!("{}: not a directory", folder.display()));
    }
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
    let store = Store { disk: SystemDisk, folder: folder.clone(), deployment: None, max_clock_skew_ms: 1000 };
    let loaded = store.load(now_ms);
    let newest = loaded.newest();
    if let Command::Check(_) = command {
        let rows = loaded
            .generations
            .iter()
            .map(|(generation, state)| (format!("{generation:?}"), describe_state(state)));
        if *json {
            let rows: Vec<_> =
                rows.map(|(generation, state)| json!({"generation": generation, "found": state})).collect();
            println!("{}", json!({"ok": newest.is_some(), "generations": rows}));
        } else {
            println!(
                "{}",
                table(&["generation", "found"], rows.map(|(generation, state)| vec![generation, state]))
            );
        }
        return Ok(ExitCode::from(u8::from(newest.is_none())));
    }
    let Some((_, snapshot)) = newest else { return Ok(ExitCode::from(1)) };
    if *json {
        let hosts: Vec<_> = snapshot.hosts.iter().map(|host| {
            json!({"name": host.name, "dial": host.dial, "site": host.site, "group": host.group, "size": host.size,
                "draining": host.draining, "was_primary": host.was_primary})
        }).collect();
        println!(
            "{}",
            json!({"router": snapshot.router, "number": snapshot.number, "written_ms": snapshot.written_ms,
                "version": snapshot.version, "hosts": hosts})
        );
    } else {
        let age_s = now_ms.saturating_sub(snapshot.written_ms) / 1000;
        println!(
            "number {}, stored by {} {age_s} s ago, discovery version {}",
            snapshot.number, snapshot.router, snapshot.version
        );
        let rows = snapshot.hosts.iter().map(|host| {
            let role = if host.was_primary { "primary" } else { "replica" };
            let draining = if host.draining { "draining" } else { "" };
            vec![
                host.name.clone(),
                host.dial.clone(),
                host.group.to_string(),
                role.to_string(),
                draining.to_string(),
            ]
        });
        println!("{}", table(&["host", "dial", "group", "was", ""], rows));
    }
    Ok(ExitCode::SUCCESS)
}
