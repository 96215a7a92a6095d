//! `arrowyard cells`: assignments of tenants to cells, the effect of an edit, and the state of a running
//! router's cells.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use arrowyard_cells::Layout;
use arrowyard_cells::assignment::{CellAssignment, reassigned_tenants, sampled_sharing_odds, sharing_odds};
use arrowyard_types::GroupId;
use clap::{Args, Subcommand};
use serde_json::{Value, json};

use crate::show::{query_show, rows, table, value_text};

#[derive(Subcommand)]
pub enum Command {
    /// Show the cells of a running router, with their load and the stages of tenant moves.
    Show(Show),
    /// Show which cells an operator's file assigns to tenants. Exit code 1 if any tenant has none.
    Place(Place),
    /// Show which tenants an edit of the operator's file would move. Exit code 1 if any.
    Diff(Diff),
    /// Show the probability that two tenants share all, or any, of their cells: computed, and sampled.
    Odds(Odds),
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
pub struct Place {
    /// The operator's file.
    file: PathBuf,
    /// Names of tenants.
    #[arg(required = true)]
    tenants: Vec<String>,
    /// Print JSON: {"tenant": ["cell", …]}.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct Diff {
    /// The operator's file before the edit.
    old: PathBuf,
    /// The operator's file after the edit.
    new: PathBuf,
    /// A file with the names of other tenants, one per line, which neither operator's file mentions.
    #[arg(long, value_name = "FILE")]
    tenants: Option<PathBuf>,
    /// Maximum number of rows to print; the count includes all.
    #[arg(long, default_value_t = 20)]
    rows: usize,
    /// Print JSON: {"moved": [{"tenant", "from", "to"}]}, without a limit on rows.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct Odds {
    /// The operator's file.
    file: PathBuf,
    /// Number of sampled pairs of tenants.
    #[arg(long, default_value_t = 100_000)]
    pairs: usize,
    /// Print JSON: {"cells", "each", "worked_out": {"all", "any"}, "drawn": {"all", "any"}}.
    #[arg(long)]
    json: bool,
}

fn load_layout(path: &Path) -> Result<Layout, String> {
    let operator_config = arrowyard_operator_config::load(path)?;
    arrowyard_operator_config::cell_layout(&operator_config)
        .ok_or_else(|| format!("{}: no cells are configured", path.display()))
}

/// Runs the command.
///
/// # Errors
/// An operator's file cannot be read or is invalid, or the router does not respond.
pub fn run(command: Command) -> Result<ExitCode, String> {
    match command {
        Command::Show(show) => self::show(&show),
        Command::Place(Place { file, tenants, json }) => {
            let layout = load_layout(&file)?;
            let mut assignment = CellAssignment::new(&layout);
            let mut cells = |tenant: &str| -> Vec<String> {
                let cells = assignment.cells_for(Some(tenant), None, GroupId(0)).unwrap_or_default();
                cells.iter().map(|&id| layout.cell(id).name.to_string()).collect()
            };
            let rows: Vec<(&String, Vec<String>)> = tenants.iter().map(|name| (name, cells(name))).collect();
            let any_unassigned = rows.iter().any(|(_, cells)| cells.is_empty());
            if json {
                let cells_by_tenant: serde_json::Map<String, Value> =
                    rows.into_iter().map(|(name, cells)| (name.clone(), cells.into())).collect();
                println!("{}", Value::Object(cells_by_tenant));
            } else {
                let row = |(name, cells): (&String, Vec<String>)| {
                    let cells = if cells.is_empty() {
                        "none: its ops are rejected with an error".into()
                    } else {
                        cells.join(", ")
                    };
                    vec![name.clone(), cells]
                };
                println!("{}", table(&["tenant", "cells"], rows.into_iter().map(row)));
            }
            Ok(ExitCode::from(u8::from(any_unassigned)))
        }
        Command::Diff(Diff { old, new, tenants, rows, json }) => {
            let (old, new) = (load_layout(&old)?, load_layout(&new)?);
            let other_tenants = match &tenants {
                Some(path) => {
                    std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?
                }
                None => String::new(),
            };
            let other_tenants = other_tenants.lines().map(str::trim).filter(|name| !name.is_empty());
            let tenant_count = old.tenants.len().max(new.tenants.len()) + other_tenants.clone().count();
            let moved = reassigned_tenants(&old, &new, other_tenants);
            let any_moved = !moved.is_empty();
            if json {
                let moves = moved
                    .iter()
                    .map(|change| json!({"tenant": change.tenant, "from": change.from, "to": change.to}));
                println!("{}", json!({"moved": moves.collect::<Vec<_>>()}));
            } else {
                let rows = moved.iter().take(rows).map(|change| {
                    vec![change.tenant.to_string(), change.from.join(", "), change.to.join(", ")]
                });
                println!(
                    "{}\n{} of about {tenant_count} tenants would move",
                    table(&["tenant", "from", "to"], rows),
                    moved.len()
                );
            }
            Ok(ExitCode::from(u8::from(any_moved)))
        }
        Command::Odds(Odds { file, pairs, json }) => {
            let layout = load_layout(&file)?;
            let cells_per_tenant = layout
                .cells_per_hashed_tenant
                .ok_or_else(|| format!("{}: tenants are not assigned by hash", file.display()))?;
            let cell_count = layout.cells.iter().filter(|cell| cell.accepts_hashed_tenants).count();
            let (exact, sampled) =
                (sharing_odds(cell_count, cells_per_tenant), sampled_sharing_odds(&layout, pairs, 1));
            if json {
                let odds_json = |odds: arrowyard_cells::assignment::Odds| json!({"all": odds.share_all, "any": odds.share_any});
                println!(
                    "{}",
                    json!({"cells": cell_count, "each": cells_per_tenant, "worked_out": odds_json(exact), "drawn": odds_json(sampled)})
                );
            } else {
                println!(
                    "{cells_per_tenant} of {cell_count} cells per tenant; probability that two tenants share"
                );
                let row = |name: &str, exact: f64, sampled: f64| {
                    vec![name.to_string(), format!("{exact:.6}"), format!("{sampled:.6}")]
                };
                let rows = [
                    row("all of them", exact.share_all, sampled.share_all),
                    row("any of them", exact.share_any, sampled.share_any),
                ];
                println!(
                    "{}",
                    table(
                        &["", "computed, for equal weights", "sampled, with the weights"],
                        rows.into_iter()
                    )
                );
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn show(show: &Show) -> Result<ExitCode, String> {
    let response = query_show(show.router, "cells").map_err(|error| format!("{}: {error}", show.router))?;
    let report = response.map_err(|error| format!("{}: {error}", show.router))?;
    if show.json {
        println!("{report}");
        return Ok(ExitCode::SUCCESS);
    }
    let report: Value = serde_json::from_str(&report).map_err(|error| format!("{}: {error}", show.router))?;
    let report_rows = |list: &str, fields: &[&str]| rows(&report[list], fields);
    println!("epoch {}, held ops {}", value_text(&report["epoch"]), value_text(&report["held"]));
    let columns = [
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
    println!("{}", table(&columns, report_rows("cells", &columns).into_iter()));
    let columns = ["tenant", "stage", "out", "tokens"];
    let moves = report_rows("moves", &columns);
    if !moves.is_empty() {
        println!("\n{}", table(&columns, moves.into_iter()));
    }
    Ok(ExitCode::SUCCESS)
}
