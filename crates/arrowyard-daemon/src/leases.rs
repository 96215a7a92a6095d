//! `arrowyard leases`: who holds what, as a running router sees it; and the first place for a voter's votes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use arrowyard_leases::{Epoch, Image, keep, message};
use arrowyard_store::{Disk, System};
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
    let group = message::group(&joins.fleet, &names, joins.terms.term, joins.terms.drift_ppm);
    std::fs::create_dir_all(&folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    let path = folder.join("votes");
    // Danger: votes that are good are thrown away, and their epochs are given once more.
    let there =
        System.read(&path, keep::LARGEST).ok().map(|(bytes, _)| keep::read(&bytes, group, &told.name));
    if let Some(Ok(_)) = there {
        return Err(format!("{}: there are votes, and they are good", path.display()));
    }
    let image = Image { whole: true, floor: Epoch(told.floor), ..Image::default() };
    let beside = folder.join("votes.next");
    let made = System
        .write(&beside, &keep::write(&image, group, &told.name))
        .and_then(|()| System.replace(&beside, &path));
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
