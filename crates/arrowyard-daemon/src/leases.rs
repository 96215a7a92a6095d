//! `arrowyard leases`: the leases that a running router sees, and the creation of a voter's vote file.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use arrowyard_leases::{Epoch, VoterSnapshot, message, storage};
use arrowyard_store::{Disk, SystemDisk};
use clap::{Args, Subcommand};
use serde_json::Value;

use crate::show::{query_show, rows, table, value_text};

#[derive(Subcommand)]
pub enum Command {
    /// Show the leases that a running router requests, and the votes that it has given.
    Show(Show),
    /// Create a voter's vote file, once, before its first start. A voter without the file has lost its votes:
    /// it does not vote until enough other voters have reported the highest epoch that they know.
    Init(Init),
}

#[derive(Args)]
pub struct Show {
    /// The router's address for clients, such as 127.0.0.1:6543.
    router: SocketAddr,
    /// Print the router's reply unchanged, as JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct Init {
    /// The router's operator file.
    #[arg(long)]
    book: PathBuf,
    /// The router's name in the platform's settings.
    #[arg(long)]
    name: String,
    /// Grant only epochs above this one. Needed if so many voters lost their votes that the others cannot
    /// tell the highest epoch: use the highest that any system fenced by the leases has seen.
    #[arg(long, default_value_t = 0)]
    floor: u64,
}

/// Runs the command.
///
/// # Errors
/// The operator's file, the vote file or the router's reply is unusable.
pub fn run(command: &Command) -> Result<ExitCode, String> {
    match command {
        Command::Show(args) => show(args),
        Command::Init(args) => init(args),
    }
}

fn init(args: &Init) -> Result<ExitCode, String> {
    let operator_config = arrowyard_operator_config::load(&args.book)?;
    let lease_config =
        arrowyard_operator_config::lease_settings(&operator_config).ok_or("no leases are configured")?;
    let voter_names: Vec<String> = lease_config.voters.iter().map(|(name, _)| name.clone()).collect();
    if !voter_names.contains(&args.name) {
        return Err(format!("{} is not a voter", args.name));
    }
    let folder = lease_config.store.ok_or("leases.store is not set")?;
    let group = message::group_id(
        &lease_config.fleet,
        &voter_names,
        lease_config.config.term,
        lease_config.config.drift_ppm,
    );
    std::fs::create_dir_all(&folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    let path = folder.join("votes");
    // Replacing valid votes would allow their epochs to be granted again.
    let existing_snapshot = SystemDisk
        .read(&path, storage::MAX_FILE_BYTES)
        .ok()
        .map(|(bytes, _)| storage::decode(&bytes, group, &args.name));
    if let Some(Ok(_)) = existing_snapshot {
        return Err(format!("{}: a valid vote file exists already", path.display()));
    }
    let snapshot =
        VoterSnapshot { is_complete: true, epoch_floor: Epoch(args.floor), ..VoterSnapshot::default() };
    let temporary = folder.join("votes.next");
    let write_result = SystemDisk
        .write(&temporary, &storage::encode(&snapshot, group, &args.name))
        .and_then(|()| SystemDisk.replace(&temporary, &path));
    write_result.map_err(|error| format!("{}: {error}", path.display()))?;
    println!("{}: created", path.display());
    Ok(ExitCode::SUCCESS)
}

fn show(args: &Show) -> Result<ExitCode, String> {
    let response = query_show(args.router, "leases").map_err(|error| format!("{}: {error}", args.router))?;
    let report = response.map_err(|error| format!("{}: {error}", args.router))?;
    if args.json {
        println!("{report}");
        return Ok(ExitCode::SUCCESS);
    }
    let report: Value = serde_json::from_str(&report).map_err(|error| format!("{}: {error}", args.router))?;
    let [name, candidate] = ["name", "candidate"].map(|field| value_text(&report[field]));
    println!("{name} requests leases as candidate {candidate}");
    match report["voter"].as_str() {
        Some(stage) => println!("it is a voter: {stage}"),
        None => println!("it is not a voter"),
    }
    let drifts = report["drifts_ppm"].as_object().into_iter().flatten();
    drifts.for_each(|(voter, ppm)| println!("its clock and that of {voter} drift apart by {ppm} ppm"));
    let columns = ["name", "held", "left_ms", "epoch", "acts", "failed"];
    println!("{}", table(&columns, rows(&report["leases"], &columns).into_iter()));
    let columns = ["name", "epoch", "holder", "left_ms"];
    let votes = rows(&report["votes"], &columns);
    if !votes.is_empty() {
        println!("votes\n{}", table(&columns, votes.into_iter()));
    }
    Ok(ExitCode::SUCCESS)
}
