//! `arrowyard peers`: what a running router holds true of the other routers of its fleet.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Args;
use serde_json::Value;

use crate::ask::{ask, rows, table, text};

#[derive(Args)]
pub struct Peers {
    /// The router's address for clients, as in 127.0.0.1:6543.
    router: SocketAddr,
    /// As JSON, as the router tells it.
    #[arg(long)]
    json: bool,
}

/// Prints the view.
///
/// # Errors
/// The router does not answer, or belongs to no fleet.
pub fn run(peers: &Peers) -> Result<ExitCode, String> {
    let told = ask(peers.router, "peers").map_err(|error| format!("{}: {error}", peers.router))?;
    let told = told.map_err(|why| format!("{}: {why}", peers.router))?;
    if peers.json {
        println!("{told}");
        return Ok(ExitCode::SUCCESS);
    }
    let told: Value = serde_json::from_str(&told).map_err(|error| format!("{}: {error}", peers.router))?;
    let [name, reach, whole, routers, health] =
        ["name", "reach", "whole", "routers", "health"].map(|field| text(&told[field]));
    println!("{name} reaches {reach} of {whole}, itself among them; shares are reckoned by {routers}");
    if told["doubts"] == true {
        println!("it doubts itself (it was away, or hears nobody), and declares nobody silent");
    }
    if told["health"] != 0 {
        println!("its own health is at {health}: its questions go unanswered more than they should");
    }
    if told["doubled"] == true {
        println!("another process has its name");
    }
    let heads = ["name", "standing", "reach", "for_ms", "by", "accusers", "sure", "serves", "fell", "life"];
    println!("{}", table(&heads, rows(&told["peers"], &heads).into_iter()));
    let counts = [
        "sent",
        "taken",
        "flood",
        "too_large",
        "garbled",
        "newer",
        "foreign",
        "outside",
        "stale",
        "unmet",
        "errors",
    ];
    let row = counts.iter().map(|field| text(&told["datagrams"][field])).collect();
    println!("datagrams\n{}", table(&counts, std::iter::once(row)));
    Ok(ExitCode::SUCCESS)
}
