//! `arrowyard store`: the host list that a router stored for its next start, and whether it is usable.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use arrowyard_store::{Found, Store, System};
use clap::{Args, Subcommand};
use serde_json::json;

use crate::show::table;

#[derive(Subcommand)]
pub enum Command {
    /// Show the hosts of the newest whole generation.
    Show(Location),
    /// Say what each generation is. Exit code 1 if none is whole.
    Check(Location),
}

#[derive(Args)]
pub struct Location {
    /// The folder that the operator's file names.
    folder: PathBuf,
    #[arg(long)]
    json: bool,
}

fn describe(found: &Found) -> String {
    match found {
        Found::Whole(snapshot) => {
            format!("whole, number {}, {} hosts", snapshot.number, snapshot.hosts.len())
        }
        Found::Missing => "missing".to_string(),
        Found::NoFile => "no file".to_string(),
        Found::NoRights => "no right to read it".to_string(),
        Found::Unreadable(reason) => format!("unreadable: {reason}"),
        Found::Empty => "empty".to_string(),
        Found::Huge(bytes) => format!("{bytes} bytes, more than it may have"),
        Found::Truncated => "it ends too early".to_string(),
        Found::Garbled => "garbled".to_string(),
        Found::Newer(format) => format!("of the later form {format}"),
        Found::Older(format) => format!("of the former form {format}"),
        Found::Foreign => "of another deployment".to_string(),
        Found::Future(ms) => format!("written {ms} ms in the future"),
    }
}

/// Runs the command.
///
/// # Errors
/// There is no such folder.
pub fn run(command: &Command) -> Result<ExitCode, String> {
    let (Command::Show(Location { folder, json }) | Command::Check(Location { folder, json })) = command;
    if !folder.is_dir() {
        return Err(format!("{}: no folder", folder.display()));
    }
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
    let store = Store { disk: System, folder: folder.clone(), deployment: None, skew_ms: 1000 };
    let loaded = store.load(now_ms);
    let newest = loaded.newest();
    if let Command::Check(_) = command {
        let rows =
            loaded.found.iter().map(|(generation, found)| (format!("{generation:?}"), describe(found)));
        if *json {
            let rows: Vec<_> =
                rows.map(|(generation, found)| json!({"generation": generation, "found": found})).collect();
            println!("{}", json!({"ok": newest.is_some(), "generations": rows}));
        } else {
            println!(
                "{}",
                table(&["generation", "found"], rows.map(|(generation, found)| vec![generation, found]))
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
            "number {} of {}, {age_s} s old, discovery's version {}",
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
