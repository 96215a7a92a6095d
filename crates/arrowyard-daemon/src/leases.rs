//! `arrowyard leases`: who holds what, as a running router sees it; and the first place for a voter's votes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use arrowyard_leases::{Epoch, VoterSnapshot, message, storage};
use arrowyard_store::{Disk, SystemDisk};
use clap::{Args, Subcommand};
use serde_json::Value;

use crate::ask::{ask, rows, table, text};

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

/// # Errors
/// What could not be done.
pub fn run(command: &Command) -> Result<ExitCode, String> {
    match command {
        Command::Show(asked) => show(asked),
        Command::Init(told) => init(told),
    }
}

fn init(told: &Init) -> Result<ExitCode, String> {
    let book = arrowyard_operator_config::load(&told.book)?;
    let joins =
        arrowyard_operator_config::lease_settings(&book).ok_or("the operator's file has no leases")?;
    let names: Vec<String> = joins.voters.iter().map(|(name, _)| name.clone()).collect();
    if !names.contains(&told.name) {
        return Err(format!("{} is none of the voters", told.name));
    }
    let folder = joins.store.ok_or("leases.store is not set")?;
    let group = message::group_id(&joins.fleet, &names, joins.config.term, joins.config.drift_ppm);
    std::fs::create_dir_all(&folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    let path = folder.join("votes");
    // Danger: votes that are good are thrown away, and their epochs are given once more.
    let there = SystemDisk
        .read(&path, storage::MAX_FILE_BYTES)
        .ok()
        .map(|(bytes, _)| storage::decode(&bytes, group, &told.name));
    if let Some(Ok(_)) = there {
        return Err(format!("{}: there are votes, and they are good", path.display()));
    }
    let image =
        VoterSnapshot { is_complete: true, epoch_floor: Epoch(told.floor), ..VoterSnapshot::default() };
    let beside = folder.join("votes.next");
    let made = SystemDisk
        .write(&beside, &storage::encode(&image, group, &told.name))
        .and_then(|()| SystemDisk.replace(&beside, &path));
    made.map_err(|error| format!("{}: {error}", path.display()))?;
    println!("{}: made", path.display());
    Ok(ExitCode::SUCCESS)
}

fn show(asked: &Show) -> Result<ExitCode, String> {
    let told = ask(asked.router, "leases").map_err(|error| format!("{}: {error}", asked.router))?;
    let told = told.map_err(|why| format!("{}: {why}", asked.router))?;
    if asked.json {
        println!("{told}");
        return Ok(ExitCode::SUCCESS);
    }
    let told: Value = serde_json::from_str(&told).map_err(|error| format!("{}: {error}", asked.router))?;
    let [name, candidate] = ["name", "candidate"].map(|field| text(&told[field]));
    println!("{name} wants leases as {candidate}");
    match told["voter"].as_str() {
        Some(stage) => println!("it is a voter, and {stage}"),
        None => println!("it does not vote"),
    }
    let drifts = told["drifts_ppm"].as_object().into_iter().flatten();
    drifts.for_each(|(voter, ppm)| {
        println!("the clock of {voter} runs apart from its own by {ppm} millionths")
    });
    let heads = ["name", "held", "left_ms", "epoch", "acts", "failed"];
    println!("{}", table(&heads, rows(&told["leases"], &heads).into_iter()));
    let heads = ["name", "epoch", "holder", "left_ms"];
    let votes = rows(&told["votes"], &heads);
    if !votes.is_empty() {
        println!("votes\n{}", table(&heads, votes.into_iter()));
    }
    Ok(ExitCode::SUCCESS)
}
