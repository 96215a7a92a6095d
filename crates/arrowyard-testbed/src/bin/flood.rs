//! Measures how trouble in one tenant's cell affects other tenants, with cells and without.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use arrowyard_testbed::load::{LoadResult, TenantLoad, run_load};
use arrowyard_testbed::router::{OP_TYPES, Process, platform_config, sibling_program};
use arrowyard_testbed::{Cluster, HostBehavior, HostSpec};
use clap::{Parser, ValueEnum};
use comfy_table::{Table, presets};

/// Four tenants, each with its own replicas in a cell of its own; one tenant or the hosts of its cell
/// misbehave.
#[derive(Parser)]
struct Args {
    /// What happens in the first cell.
    #[arg(value_enum, default_value = "flood")]
    trouble: Trouble,
    /// Duration of each of the four runs, in seconds.
    #[arg(long, default_value_t = 8)]
    seconds: u64,
    /// Ops per second of each tenant.
    #[arg(long, default_value_t = 120.0)]
    rate: f64,
    /// Factor by which the flooding tenant multiplies its load.
    #[arg(long, default_value_t = 20.0)]
    times: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The router program; by default the one next to this program.
    #[arg(long)]
    router: Option<PathBuf>,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Trouble {
    /// The tenant multiplies its load.
    Flood,
    /// The cell's hosts respond slowly.
    Slow,
    /// The cell's hosts fail every command.
    Fail,
    /// The cell's hosts do not respond.
    Hang,
    /// The cell's hosts are all restarted at once.
    Cold,
}

const TENANTS: [&str; 4] = ["north", "east", "south", "west"];

fn operator_config() -> String {
    let cells =
        TENANTS.map(|name| format!("  cell {{ name: \"{name}\" host: \"{name}-*\" guaranteed: 0.6 }}\n"));
    let tenants = TENANTS.map(|name| format!("  tenant {{ name: \"{name}\" cell: \"{name}\" }}\n"));
    let retry_budget = "  repeats { share: 0.2 least: 20 window_ms: 2000 }\n";
    format!("epoch: 1\ncells {{\n{}{}{retry_budget}}}\n", cells.concat(), tenants.concat())
}

/// Sends the tenants' load to one router and returns the results; with trouble, it begins after a quarter of
/// the time.
fn run(args: &Args, with_cells: bool, with_trouble: bool) -> LoadResult {
    let host_spec = |name: &str, primary: bool| HostSpec {
        service_time: Duration::from_millis(4),
        slots: 1,
        queue_capacity: 64,
        ..HostSpec::new(name, 7, primary)
    };
    let mut hosts = vec![host_spec("primary", true)];
    hosts.extend(
        TENANTS.iter().flat_map(|name| (0..2).map(move |index| host_spec(&format!("{name}-{index}"), false))),
    );
    let cluster = Cluster::start(&hosts);
    let program = args.router.clone().unwrap_or_else(|| sibling_program("arrowyard"));
    let operator_config = operator_config();
    let platform_config = platform_config(&cluster, &OP_TYPES, 1024);
    let router = Process::start(&program, &platform_config, with_cells.then_some(&operator_config[..]))
        .expect("the router starts");
    let duration = Duration::from_secs(args.seconds);
    let (start, end) = (duration / 4, duration);
    let mix = vec![(0, 6), (3, 3), (2, 1)];
    let mut loads: Vec<TenantLoad> = TENANTS
        .iter()
        .map(|tenant| TenantLoad {
            tenant,
            group: 7,
            rate: args.rate,
            mix: mix.clone(),
            start: Duration::ZERO,
            end: duration,
            sessions: 40,
        })
        .collect();
    if with_trouble && args.trouble == Trouble::Flood {
        let rate = args.rate * (args.times - 1.0);
        loads.push(TenantLoad { rate, mix: vec![(0, 6), (3, 3)], start, end, ..loads[0].clone() });
    }
    let mut trouble_has_begun = false;
    run_load(router.address, &OP_TYPES, &loads, args.seed, |elapsed| {
        if !with_trouble || trouble_has_begun || elapsed < start {
            return;
        }
        trouble_has_begun = true;
        for name in hosts.iter().map(|host| &host.name[..]).filter(|name| name.starts_with(TENANTS[0])) {
            match args.trouble {
                Trouble::Flood => {}
                Trouble::Slow => cluster.set_behavior(name, HostBehavior::Slow(Duration::from_millis(150))),
                Trouble::Fail => cluster.set_behavior(name, HostBehavior::FailBeforeRun),
                Trouble::Hang => cluster.set_behavior(name, HostBehavior::Hang),
                Trouble::Cold => {
                    cluster.kill(name);
                    cluster.restart_as_replica(name);
                }
            }
        }
    })
}

fn main() -> ExitCode {
    let args = Args::parse();
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    let columns = [
        "cells",
        "run",
        "tenant",
        "sent",
        "in target",
        "relative to calm",
        "busy",
        "errored",
        "unanswered",
        "p50 ms",
        "p99 ms",
    ];
    table.set_header(columns);
    for with_cells in [false, true] {
        let calm_result = run(&args, with_cells, false);
        let trouble_result = run(&args, with_cells, true);
        for (name, result) in [("calm", &calm_result), ("trouble", &trouble_result)] {
            for tenant in TENANTS {
                let stats = result.tenant_stats(tenant);
                let relative_to_calm =
                    stats.in_target_share() / calm_result.tenant_stats(tenant).in_target_share();
                let ms =
                    |quantile| format!("{:.1}", stats.latency.value_at_quantile(quantile) as f64 / 1000.0);
                table.add_row([
                    if with_cells { "with" } else { "without" }.to_string(),
                    name.to_string(),
                    tenant.to_string(),
                    stats.sent.to_string(),
                    format!("{:.3}", stats.in_target_share()),
                    format!("{relative_to_calm:.3}"),
                    stats.busy.to_string(),
                    stats.errored.to_string(),
                    stats.unanswered.to_string(),
                    ms(0.5),
                    ms(0.99),
                ]);
            }
        }
    }
    println!("{table}");
    ExitCode::SUCCESS
}
