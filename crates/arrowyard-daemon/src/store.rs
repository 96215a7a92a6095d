//! `arrowyard store`: what a router has kept for its next start, and whether it can be used.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use arrowyard_store::{GenerationState, Store, SystemDisk};
use clap::{Args, Subcommand};
use serde_json::json;

use crate::ask::table;

#[derive(Subcommand)]
pub enum Command {
    /// Show the hosts of the newest whole generation.
    Show(Where),
    /// Say what each generation is. Exit code 1 if none is whole.
    Check(Where),
}

#[derive(Args)]
pub struct Where {
    /// The folder that the operator's file names.
    folder: PathBuf,
    #[arg(long)]
    json: bool,
}

fn told(found: &GenerationState) -> String {
    match found {
        GenerationState::Valid(snapshot) => {
            format!("whole, number {}, {} hosts", snapshot.number, snapshot.hosts.len())
        }
        GenerationState::Missing => "missing".to_string(),
        GenerationState::NoFile => "no file".to_string(),
        GenerationState::NoRights => "no right to read it".to_string(),
        GenerationState::Unreadable(why) => format!("unreadable: {why}"),
        GenerationState::Empty => "empty".to_string(),
        GenerationState::Huge(bytes) => format!("{bytes} bytes, more than it may have"),
        GenerationState::Truncated => "it ends too early".to_string(),
        GenerationState::Garbled => "garbled".to_string(),
        GenerationState::Newer(form) => format!("of the later form {form}"),
        GenerationState::Older(form) => format!("of the former form {form}"),
        GenerationState::Foreign => "of another deployment".to_string(),
        GenerationState::Future(ms) => format!("written {ms} ms in the future"),
    }
}

/// Carries the command out.
///
/// # Errors
/// There is no such folder.
pub fn run(command: &Command) -> Result<ExitCode, String> {
    let (Command::Show(Where { folder, json }) | Command::Check(Where { folder, json })) = command;
    if !folder.is_dir() {
        return Err(format!("{}: no folder", folder.display()));
    }
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
    let store = Store { disk: SystemDisk, folder: folder.clone(), deployment: None, max_clock_skew_ms: 1000 };
    let loaded = store.load(now_ms);
    let whole = loaded.newest();
    if let Command::Check(_) = command {
        let rows = loaded.generations.iter().map(|(kept, found)| (format!("{kept:?}"), told(found)));
        if *json {
            let rows: Vec<_> =
                rows.map(|(kept, found)| json!({"generation": kept, "found": found})).collect();
            println!("{}", json!({"ok": whole.is_some(), "generations": rows}));
        } else {
            println!("{}", table(&["generation", "found"], rows.map(|(kept, found)| vec![kept, found])));
        }
        return Ok(ExitCode::from(u8::from(whole.is_none())));
    }
    let Some((_, snapshot)) = whole else { return Ok(ExitCode::from(1)) };
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
            let was = if host.was_primary { "primary" } else { "replica" };
            let drains = if host.draining { "draining" } else { "" };
            vec![
                host.name.clone(),
                host.dial.clone(),
                host.group.to_string(),
                was.to_string(),
                drains.to_string(),
            ]
        });
        println!("{}", table(&["host", "dial", "group", "was", ""], rows));
    }
    Ok(ExitCode::SUCCESS)
}
