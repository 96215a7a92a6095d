//! `arrowyard peers`: a running router's view of the other routers of its fleet.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Args;
use serde_json::Value;

use crate::show::{query_show, rows, table, value_text};

#[derive(Args)]
pub struct Peers {
    /// The router's address for clients, such as 127.0.0.1:6543.
    router: SocketAddr,
    /// Print the router's reply unchanged, as JSON.
    #[arg(long)]
    json: bool,
}

/// Prints the router's membership view.
///
/// # Errors
/// The router does not respond, or belongs to no fleet.
pub fn run(peers: &Peers) -> Result<ExitCode, String> {
    let response = query_show(peers.router, "peers").map_err(|error| format!("{}: {error}", peers.router))?;
    let view = response.map_err(|error| format!("{}: {error}", peers.router))?;
    if peers.json {
        println!("{view}");
        return Ok(ExitCode::SUCCESS);
    }
    let view: Value = serde_json::from_str(&view).map_err(|error| format!("{}: {error}", peers.router))?;
    let [name, reachable, total, router_count, health] =
        ["name", "reach", "whole", "routers", "health"].map(|field| value_text(&view[field]));
    println!(
        "{name} reaches {reachable} of {total} routers, including itself; router count for shares: {router_count}"
    );
    if view["doubts"] == true {
        println!("it suspects itself (it stalled, or hears no member), and suspects no member");
    }
    if view["health"] != 0 {
        println!("its local health score is {health}: too many of its probes are not acked");
    }
    if view["doubled"] == true {
        println!("another process uses its name");
    }
    let columns = ["name", "standing", "reach", "for_ms", "by", "accusers", "sure", "serves", "fell", "life"];
    println!("{}", table(&columns, rows(&view["peers"], &columns).into_iter()));
    let counters = [
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
    let row = counters.iter().map(|field| value_text(&view["datagrams"][field])).collect();
    println!("datagrams\n{}", table(&counters, std::iter::once(row)));
    Ok(ExitCode::SUCCESS)
}
