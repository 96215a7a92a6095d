//! `arrowyard cells …`: who belongs where, what an edit would move, and how a router's cells stand.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use arrowyard_cells::Layout;
use arrowyard_cells::assignment::{CellAssignment, reassigned_tenants, sampled_sharing_odds, sharing_odds};
use arrowyard_types::GroupId;
use clap::{Args, Subcommand};
use serde_json::{Value, json};

use crate::ask::{ask, rows, table, text};

#[derive(Subcommand)]
pub enum Command {
    /// Show the cells of a running router: what each holds, and how far its moves are.
    Show(Show),
    /// Say which cells tenants belong to by a file.
    Place(Place),
    /// Say which tenants an edit of the file would move, and how many. Exit code 1 if any.
    Diff(Diff),
    /// Say how likely two tenants share all, and any, of their cells: worked out, and seen in drawing pairs.
    Odds(Odds),
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
pub struct Place {
    file: PathBuf,
    /// Names of tenants.
    #[arg(required = true)]
    tenants: Vec<String>,
    /// As JSON: {"tenant": ["cell", …]}.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct Diff {
    old: PathBuf,
    new: PathBuf,
    /// A file with names of further tenants, a line each: those that no row of either file names.
    #[arg(long, value_name = "FILE")]
    tenants: Option<PathBuf>,
    /// Rows of the table at most; the count is of all.
    #[arg(long, default_value_t = 20)]
    rows: usize,
    /// As JSON: {"moved": [{"tenant", "from", "to"}]}, all of them.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct Odds {
    file: PathBuf,
    /// Pairs of tenants that are drawn.
    #[arg(long, default_value_t = 100_000)]
    pairs: usize,
    /// As JSON: {"cells", "each", "worked_out": {"all", "any"}, "drawn": {"all", "any"}}.
    #[arg(long)]
    json: bool,
}

fn load(path: &Path) -> Result<Layout, String> {
    let book = arrowyard_operator_config::load(path)?;
    arrowyard_operator_config::cell_layout(&book)
        .ok_or_else(|| format!("{}: it says nothing of cells", path.display()))
}

/// Carries the command out.
///
/// # Errors
/// Why it could not be done.
pub fn run(command: Command) -> Result<ExitCode, String> {
    match command {
        Command::Show(show) => self::show(&show),
        Command::Place(Place { file, tenants, json }) => {
            let layout = load(&file)?;
            let mut assign = CellAssignment::new(&layout);
            let mut cells = |tenant: &str| -> Vec<String> {
                let homes = assign.cells_for(Some(tenant), None, GroupId(0)).unwrap_or_default();
                homes.iter().map(|&id| layout.cell(id).name.to_string()).collect()
            };
            let rows: Vec<(&String, Vec<String>)> = tenants.iter().map(|name| (name, cells(name))).collect();
            let homeless = rows.iter().any(|(_, cells)| cells.is_empty());
            if json {
                let told: serde_json::Map<String, Value> =
                    rows.into_iter().map(|(name, cells)| (name.clone(), cells.into())).collect();
                println!("{}", Value::Object(told));
            } else {
                let told = |(name, cells): (&String, Vec<String>)| {
                    let cells =
                        if cells.is_empty() { "none: its ops are errors".into() } else { cells.join(", ") };
                    vec![name.clone(), cells]
                };
                println!("{}", table(&["tenant", "cells"], rows.into_iter().map(told)));
            }
            Ok(ExitCode::from(u8::from(homeless)))
        }
        Command::Diff(Diff { old, new, tenants, rows, json }) => {
            let (old, new) = (load(&old)?, load(&new)?);
            let others = match &tenants {
                Some(path) => {
                    std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?
                }
                None => String::new(),
            };
            let others = others.lines().map(str::trim).filter(|name| !name.is_empty());
            let known = old.tenants.len().max(new.tenants.len()) + others.clone().count();
            let moved = reassigned_tenants(&old, &new, others);
            let any = !moved.is_empty();
            if json {
                let told = moved.iter().map(|m| json!({"tenant": m.tenant, "from": m.from, "to": m.to}));
                println!("{}", json!({"moved": told.collect::<Vec<_>>()}));
            } else {
                let told = moved
                    .iter()
                    .take(rows)
                    .map(|m| vec![m.tenant.to_string(), m.from.join(", "), m.to.join(", ")]);
                println!(
                    "{}\n{} of about {known} tenants move",
                    table(&["tenant", "from", "to"], told),
                    moved.len()
                );
            }
            Ok(ExitCode::from(u8::from(any)))
        }
        Command::Odds(Odds { file, pairs, json }) => {
            let layout = load(&file)?;
            let each = layout
                .cells_per_hashed_tenant
                .ok_or_else(|| format!("{}: it places no tenants", file.display()))?;
            let cells = layout.cells.iter().filter(|cell| cell.accepts_hashed_tenants).count();
            let (told, seen) = (sharing_odds(cells, each), sampled_sharing_odds(&layout, pairs, 1));
            if json {
                let pair = |odds: arrowyard_cells::assignment::Odds| json!({"all": odds.share_all, "any": odds.share_any});
                println!(
                    "{}",
                    json!({"cells": cells, "each": each, "worked_out": pair(told), "drawn": pair(seen)})
                );
            } else {
                println!("{each} of {cells} cells each; two tenants share");
                let row = |name: &str, told: f64, seen: f64| {
                    vec![name.to_string(), format!("{told:.6}"), format!("{seen:.6}")]
                };
                let rows = [
                    row("all of them", told.share_all, seen.share_all),
                    row("any of them", told.share_any, seen.share_any),
                ];
                println!(
                    "{}",
                    table(&["", "worked out, even weights", "drawn, with the weights"], rows.into_iter())
                );
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn show(show: &Show) -> Result<ExitCode, String> {
    let told = ask(show.router, "cells").map_err(|error| format!("{}: {error}", show.router))?;
    let told = told.map_err(|why| format!("{}: {why}", show.router))?;
    if show.json {
        println!("{told}");
        return Ok(ExitCode::SUCCESS);
    }
    let told: Value = serde_json::from_str(&told).map_err(|error| format!("{}: {error}", show.router))?;
    let rows = |of: &str, fields: &[&str]| rows(&told[of], fields);
    println!("epoch {}, held {}", text(&told["epoch"]), text(&told["held"]));
    let heads = [
        "cell",
        "ops",
        "share",
        "guaranteed",
        "borrowed",
        "bytes",
        "limit",
        "release",
        "taken",
        "busy",
        "errors",
        "first_sends",
        "further_sends",
    ];
    println!("{}", table(&heads, rows("cells", &heads).into_iter()));
    let heads = ["tenant", "stage", "out", "tokens"];
    let moves = rows("moves", &heads);
    if !moves.is_empty() {
        println!("\n{}", table(&heads, moves.into_iter()));
    }
    Ok(ExitCode::SUCCESS)
}
