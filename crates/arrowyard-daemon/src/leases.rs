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
    /// Show the leases that a running router wants, and the votes that it has given.
    Show(Show),
    /// Make the place for a voter's votes, once, before its first start. A voter without it has lost its votes: it asks the
    /// others, and never votes while they cannot tell.
    Init(Init),
}

#[derive(Args)]
pub struct Show {
    /// The router's address for clients, as in 127.0.0.1:6543.
    router: SocketAddr,
    /// As JSON, as the router tells it.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct Init {
    /// The operator's file of the router.
    #[arg(long)]
    book: PathBuf,
    /// The router's name, as the platform tells it.
    #[arg(long)]
    name: String,
    /// No epoch up to this one is given: where so many voters lost their votes that the others cannot tell, the newest epoch
    /// that whoever takes effects has seen.
    #[arg(long, default_value_t = 0)]
    floor: u64,
}

/// Runs the command.
///
/// # Errors
/// Why it failed.
pub fn run(command: &Command) -> Result<ExitCode, String> {
    match command {
        Command::Show(args) => show(args),
        Command::Init(args) => init(args),
    }
}

fn init(args: &Init) -> Result<ExitCode, String> {
    let book = arrowyard_operator_config::load(&args.book)?;
    let config =
        arrowyard_operator_config::lease_settings(&book).ok_or("the operator's file has no leases")?;
    let names: Vec<String> = config.voters.iter().map(|(name, _)| name.clone()).collect();
    if !names.contains(&args.name) {
        return Err(format!("{} is none of the voters", args.name));
    }
    let folder = config.store.ok_or("leases.store is not set")?;
    let group = message::group_id(&config.fleet, &names, config.config.term, config.config.drift_ppm);
    std::fs::create_dir_all(&folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    let path = folder.join("votes");
    // Replacing valid votes would allow their epochs to be granted again.
    let existing = SystemDisk
        .read(&path, storage::MAX_FILE_BYTES)
        .ok()
        .map(|(bytes, _)| storage::decode(&bytes, group, &args.name));
    if let Some(Ok(_)) = existing {
        return Err(format!("{}: there are votes, and they are good", path.display()));
    }
    let image =
        VoterSnapshot { is_complete: true, epoch_floor: Epoch(args.floor), ..VoterSnapshot::default() };
    let temporary = folder.join("votes.next");
    let written = SystemDisk
        .write(&temporary, &storage::encode(&image, group, &args.name))
        .and_then(|()| SystemDisk.replace(&temporary, &path));
    written.map_err(|error| format!("{}: {error}", path.display()))?;
    println!("{}: made", path.display());
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
    println!("{name} wants leases as {candidate}");
    match report["voter"].as_str() {
        Some(stage) => println!("it is a voter, and {stage}"),
        None => println!("it does not vote"),
    }
    let drifts = report["drifts_ppm"].as_object().into_iter().flatten();
    drifts.for_each(|(voter, ppm)| {
        println!("the clock of {voter} runs apart from its own by {ppm} millionths")
    });
    let columns = ["name", "held", "left_ms", "epoch", "acts", "failed"];
    println!("{}", table(&columns, rows(&report["leases"], &columns).into_iter()));
    let columns = ["name", "epoch", "holder", "left_ms"];
    let votes = rows(&report["votes"], &columns);
    if !votes.is_empty() {
        println!("votes\n{}", table(&columns, votes.into_iter()));
    }
    Ok(ExitCode::SUCCESS)
}
