//! Command-line interface of the emulator: runs scenarios, measurements and model checks.

use std::io::BufRead;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use arrowyard_emulator::acknowledgements::{CONTROL_FAULTS, measure_acknowledgement_gaps};
use arrowyard_emulator::capacity::{ChangeCost, measure_configuration_change, measure_deployment};
use arrowyard_emulator::catch_up::measure_catch_up;
use arrowyard_emulator::chart::{draw_kinds, draw_throughput};
use arrowyard_emulator::departures::measure_requests_after_drain;
use arrowyard_emulator::experiment::{Difference, METRIC_NAMES, RunMetrics, compare, run_seeds};
use arrowyard_emulator::failover::{Cause, DurationSummary, measure_outages};
use arrowyard_emulator::models::{CheckResult, ledger, promotion};
use arrowyard_emulator::{RunResult, Scenario, random_scenario, run_scenario, shares};
use bpaf::Bpaf;

/// Assumed share of a core of a control machine.
const CPU_SHARE: f64 = 0.25;

/// Emulator of the whole system.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Command {
    /// Runs the scenario of a file.
    #[bpaf(command)]
    Play {
        #[bpaf(positional("FILE"))]
        scenario: PathBuf,
    },
    /// Runs generated scenarios and prints each one that violates an invariant.
    #[bpaf(command)]
    Hunt {
        /// Number of scenarios.
        #[bpaf(long("days"), argument("N"), fallback(100))]
        count: u64,
        /// First seed.
        #[bpaf(long("from"), argument("SEED"), fallback(1))]
        first_seed: u64,
    },
    /// Measures how long services are without a primary, by cause.
    #[bpaf(command)]
    Failover {
        /// Number of cases per cause.
        #[bpaf(argument("N"), fallback(30))]
        cases: u64,
        /// First seed.
        #[bpaf(long("from"), argument("SEED"), fallback(1))]
        first_seed: u64,
    },
    /// Measures how long the operator waits for an acknowledgement, by fault of a control machine.
    #[bpaf(command)]
    Acknowledgements {
        /// Number of cases per fault.
        #[bpaf(argument("N"), fallback(20))]
        cases: u64,
        /// First seed.
        #[bpaf(long("from"), argument("SEED"), fallback(1))]
        first_seed: u64,
    },
    /// Measures how long a draining replica still receives requests, by fault of a control machine.
    #[bpaf(command)]
    Departures {
        /// Number of cases per fault.
        #[bpaf(argument("N"), fallback(20))]
        cases: u64,
        /// First seed.
        #[bpaf(long("from"), argument("SEED"), fallback(1))]
        first_seed: u64,
    },
    /// Measures how long a control machine takes to catch up.
    #[bpaf(command)]
    CatchUp {
        /// Number of missing entries.
        #[bpaf(argument("N"), some("at least one number of entries is required"))]
        entries: Vec<u64>,
        /// Number of configured routes.
        #[bpaf(argument("N"), some("at least one number of routes is required"))]
        routes: Vec<usize>,
    },
    /// Runs generated scenarios and prints a line for each: seed, shares served in aim, late, lost, p50 and
    /// p99 in ms, violated invariants.
    #[bpaf(command)]
    Outcomes {
        /// Number of scenarios.
        #[bpaf(long("days"), argument("N"), fallback(100))]
        count: u64,
        /// First seed.
        #[bpaf(long("from"), argument("SEED"), fallback(1))]
        first_seed: u64,
        /// Setting of every scenario, NAME=VALUE.
        #[bpaf(long("set"), argument("NAME=VALUE"), many)]
        settings: Vec<String>,
    },
    /// Runs the same generated scenarios twice, with other settings or with another build of this program,
    /// and prints the differences.
    #[bpaf(command)]
    Compare {
        /// Number of scenarios.
        #[bpaf(long("days"), argument("N"), fallback(100))]
        count: u64,
        /// First seed.
        #[bpaf(long("from"), argument("SEED"), fallback(1))]
        first_seed: u64,
        /// Path of the other build; this one by default.
        #[bpaf(long("against"), argument("PROGRAM"), optional)]
        other_program: Option<PathBuf>,
        /// Setting of both, NAME=VALUE.
        #[bpaf(long("set"), argument("NAME=VALUE"), many)]
        settings: Vec<String>,
        /// Setting of the second only, NAME=VALUE.
        #[bpaf(long("second"), argument("NAME=VALUE"), many)]
        second: Vec<String>,
    },
    /// Runs the surge scenario with and without division of hosts and prints statistics by kind of
    /// requests.
    #[bpaf(command)]
    Shares {
        /// Without the faults: a replaced primary, a crashed one, lost replies, a killed router.
        #[bpaf(long("calm"), switch)]
        without_faults: bool,
        /// Number of services, with three databases and three hosts each.
        #[bpaf(argument("N"), fallback(1))]
        services: usize,
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// Instead: measures over N scenarios how soon an idle kind recovers its throughput.
        #[bpaf(long("back"), argument("N"), optional)]
        recovery_cases: Option<u64>,
        /// Draws the last run by kind, as SVG.
        #[bpaf(long("out"), argument("SVG"), optional)]
        output: Option<PathBuf>,
        /// Numbers of routers, one run each.
        #[bpaf(positional("N"))]
        routers: Vec<usize>,
    },
    /// Model-checks the ledger and promotion exhaustively, scenario by scenario.
    #[bpaf(command)]
    Check,
    /// Draws the scenario of a file as SVG: operations asked and served by second, and the faults.
    #[bpaf(command)]
    Chart {
        /// Path of the chart.
        #[bpaf(long("out"), argument("SVG"))]
        output: PathBuf,
        #[bpaf(positional("FILE"))]
        scenario: PathBuf,
    },
    /// Measures the cost of control, by the number of routers, hosts, sessions and routes.
    #[bpaf(command)]
    Capacity {
        /// What grows: routers, hosts, sessions, changes, routes.
        #[bpaf(positional("WHAT"))]
        dimension: String,
        /// Sizes.
        #[bpaf(positional("N"))]
        sizes: Vec<usize>,
    },
}

fn print_capacity(dimension: &str, sizes: &[usize]) -> Result<(), String> {
    println!(
        "{dimension:>8}  controls routers hosts  users | control bytes/s  writes/s  events/s  busy us/s | router bytes/s  busy us/s | \
         memory MB  statements"
    );
    for &size in sizes {
        if dimension == "routes" {
            let ChangeCost { apply_time, routes_time, difference_time, configuration_bytes } =
                measure_configuration_change(size);
            println!(
                "{size:>8}  change {apply_time:?}, layout {routes_time:?}, difference {difference_time:?}, whole {configuration_bytes} bytes"
            );
            continue;
        }
        let cost = match dimension {
            "routers" => measure_deployment(3, size, 3, 0, 0),
            "hosts" => measure_deployment(3, 6, size / 3, 0, 0),
            "sessions" => measure_deployment(3, 1, 3, size / 9, 0),
            "load" => measure_deployment(3, 3, 3, size, 0),
            "changes" => measure_deployment(3, 60, 3, 0, size),
            "controls" => measure_deployment(size, 60, 3, 0, 0),
            _ => {
                return Err(format!(
                    "unknown dimension {dimension}; expected one of routers, hosts, sessions, load, changes, controls, routes"
                ));
            }
        };
        println!(
            "{size:>8}  {:>8} {:>7} {:>5} {:>6} | {:>15.0} {:>9.0} {:>9.0} {:>10.0} | {:>14.0} {:>10.0} | {:>9.2} {:>11}",
            cost.controls,
            cost.routers,
            cost.hosts,
            cost.users,
            cost.control.bytes,
            cost.control.writes,
            cost.control.events,
            cost.control.cpu_seconds * 1e6,
            cost.router.bytes,
            cost.router.cpu_seconds * 1e6,
            cost.memory as f64 / 1e6,
            cost.statements,
        );
    }
    Ok(())
}

fn print_header(column: &str) {
    println!("{column:>24}  cases  p50 ms  p99 ms  worst ms  never  days with a rule broken");
}

fn print_durations(name: &str, durations: &DurationSummary) {
    println!(
        "{name:>24}  {:>5}  {:>6}  {:>6}  {:>8}  {:>5}  {}",
        durations.cases,
        durations.p50_ms,
        durations.p99_ms,
        durations.worst_ms,
        durations.unrecovered,
        durations.runs_with_violations
    );
}

fn print_acknowledgements(cases: u64, first_seed: u64) {
    print_header("trouble");
    for fault_kind in CONTROL_FAULTS {
        print_durations(
            &format!("{fault_kind:?}"),
            &measure_acknowledgement_gaps(fault_kind, cases, first_seed),
        );
    }
}

fn print_departures(cases: u64, first_seed: u64) {
    print_header("trouble");
    for fault_kind in [None].into_iter().chain(CONTROL_FAULTS.map(Some)) {
        let name = fault_kind.map_or("none".to_string(), |fault_kind| format!("{fault_kind:?}"));
        print_durations(&name, &measure_requests_after_drain(fault_kind, cases, first_seed));
    }
}

fn print_failover(cases: u64, first_seed: u64) {
    print_header("cause");
    for cause in Cause::ALL {
        print_durations(cause.name(), &measure_outages(cause, cases, first_seed));
    }
}

fn print_catch_up(entries: &[u64], routes: &[usize]) -> Result<(), String> {
    println!("entries  routes  waited ms  busy ms  sent KB  at {CPU_SHARE} of a core, ms at most");
    for &entries in entries {
        for &routes in routes {
            let result = measure_catch_up(entries, routes)?;
            println!(
                "{entries:>7}  {routes:>6}  {:>9.0}  {:>7.1}  {:>7}  {:.0}",
                result.elapsed.as_secs_f64() * 1e3,
                result.plane_time.as_secs_f64() * 1e3,
                result.bytes_sent / 1000,
                result.at_cpu_share(CPU_SHARE) * 1e3
            );
        }
    }
    Ok(())
}

/// Explores a scenario by name.
type Explore = fn(&str) -> Option<CheckResult>;

/// Explores all scenarios and returns whether every property holds.
fn check_models() -> bool {
    let models: [(&str, &[&str], Explore); 2] = [
        ("ledger", &ledger::SCENARIOS, |name| ledger::check(name, None)),
        ("promotion", &promotion::SCENARIOS, |name| promotion::check(name, None)),
    ];
    let mut holds = true;
    for (model, scenarios, explore) in models {
        for name in scenarios {
            let started = std::time::Instant::now();
            let Some(result) = explore(name) else { continue };
            let verdict =
                if result.violations.is_empty() && result.progressed { "holds" } else { "does not hold" };
            println!(
                "{model:>10}  {name:<30}  {:>9} states  {:>6.1?}  {verdict}",
                result.unique_states,
                started.elapsed()
            );
            result.violations.iter().for_each(|(property, trace)| println!("{property}: {trace}"));
            holds &= result.violations.is_empty() && result.progressed;
        }
    }
    holds
}

/// Runs scenarios with a program and parses its output. Progress is printed to standard error.
fn run_with_program(
    program: &Path,
    count: u64,
    first_seed: u64,
    settings: &[&String],
) -> Result<Vec<RunMetrics>, Box<dyn std::error::Error>> {
    let mut command = std::process::Command::new(program);
    command.args(["outcomes", "--days", &count.to_string(), "--from", &first_seed.to_string()]);
    for setting in settings {
        command.args(["--set", setting]);
    }
    let mut child = command.stdout(std::process::Stdio::piped()).spawn()?;
    let lines =
        std::io::BufReader::new(child.stdout.take().ok_or("cannot read the output of the program")?).lines();
    let mut results = Vec::new();
    for line in lines {
        results.push(line?.parse::<RunMetrics>()?);
        eprint!("\r{} of {count} days", results.len());
    }
    eprintln!();
    if child.wait()?.success() { Ok(results) } else { Err("the program failed".into()) }
}

fn compare_programs(
    (count, first_seed): (u64, u64),
    other_program: Option<PathBuf>,
    settings: &[String],
    second: &[String],
) -> Result<(), Box<dyn std::error::Error>> {
    let this_program = std::env::current_exe()?;
    let first_settings: Vec<&String> = settings.iter().collect();
    let second_settings: Vec<&String> = settings.iter().chain(second).collect();
    let first_results = run_with_program(
        &other_program.unwrap_or_else(|| this_program.clone()),
        count,
        first_seed,
        &first_settings,
    )?;
    let second_results = run_with_program(&this_program, count, first_seed, &second_settings)?;
    println!("{:>8}  {:>12}  {:>12}  {:>12}  within (95 of 100)", "figure", "first", "second", "second less");
    for (name, difference) in METRIC_NAMES.iter().zip(compare(&first_results, &second_results)?) {
        let Difference { first, second, mean, margin } = difference;
        let significance_note = if mean.abs() > margin { "" } else { "  no difference shown" };
        println!("{name:>8}  {first:>12.4}  {second:>12.4}  {mean:>+12.4}  {margin:.4}{significance_note}");
    }
    Ok(())
}

fn read_scenario(file: &Path) -> Result<Scenario, String> {
    let text = std::fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
    serde_saphyr::from_str(&text).map_err(|error| format!("{}: {error}", file.display()))
}

/// Maps success to exit code 0. Prints an error and maps it to exit code 2.
fn exit_code<T>(result: Result<T, impl std::fmt::Display>) -> ExitCode {
    match result {
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn format_summary(result: &RunResult) -> String {
    let counts = result.counts;
    format!(
        "asked {}, in aim {}, late {}, refused {}, failed {}; p50 {:.1} ms, p99 {:.1} ms; {} promotions, {} statements run, {} \
         connections over the cap, {} rules broken",
        counts.total,
        counts.served,
        counts.late,
        counts.rejected,
        counts.failed,
        result.p50_ms,
        result.p99_ms,
        result.promotions,
        result.statements_run,
        result.connections_over_limit,
        result.violations.len()
    )
}

fn print_violations(result: &RunResult) {
    for violation in result.violations.iter().take(8) {
        println!(
            "  {} at {:.3} s: {}",
            violation.invariant,
            violation.at.micros() as f64 / 1e6,
            violation.description
        );
    }
}

fn main() -> ExitCode {
    match command().run() {
        Command::Capacity { dimension, sizes } => exit_code(print_capacity(&dimension, &sizes)),
        Command::Acknowledgements { cases, first_seed } => {
            print_acknowledgements(cases, first_seed);
            ExitCode::SUCCESS
        }
        Command::Departures { cases, first_seed } => {
            print_departures(cases, first_seed);
            ExitCode::SUCCESS
        }
        Command::CatchUp { entries, routes } => exit_code(print_catch_up(&entries, &routes)),
        Command::Failover { cases, first_seed } => {
            print_failover(cases, first_seed);
            ExitCode::SUCCESS
        }
        Command::Outcomes { count, first_seed, settings } => {
            exit_code(run_seeds(first_seed..first_seed + count, &settings, |metrics| println!("{metrics}")))
        }
        Command::Compare { count, first_seed, other_program, settings, second } => {
            exit_code(compare_programs((count, first_seed), other_program, &settings, &second))
        }
        Command::Shares { recovery_cases: Some(cases), routers, .. } => {
            routers.iter().for_each(|routers| shares::print_recovery_times(cases, *routers));
            ExitCode::SUCCESS
        }
        Command::Shares { without_faults, services, seed, output, routers, .. } => {
            let last_run = shares::print_comparison(&routers, services, !without_faults, seed);
            exit_code(match (output, last_run) {
                (Some(output), Some((scenario, result))) => draw_kinds(&scenario, &result, &output),
                _ => Ok(()),
            })
        }
        Command::Check => ExitCode::from(u8::from(!check_models())),
        Command::Chart { output, scenario } => {
            let drawn = read_scenario(&scenario)
                .map_err(Into::into)
                .and_then(|scenario| draw_throughput(&scenario, &run_scenario(&scenario), &output));
            exit_code(drawn)
        }
        Command::Play { scenario } => {
            let scenario = match read_scenario(&scenario) {
                Ok(scenario) => scenario,
                Err(error) => return exit_code(Err::<(), _>(error)),
            };
            let result = run_scenario(&scenario);
            println!("{}", format_summary(&result));
            for (second, requested, served) in &result.counts_by_second {
                println!("{second:3} s  asked {requested:5}  served {served:5}");
            }
            print_violations(&result);
            ExitCode::from(u8::from(!result.violations.is_empty()))
        }
        Command::Hunt { count, first_seed } => {
            let mut failing_scenarios = 0;
            for seed in first_seed..first_seed + count {
                let scenario = random_scenario(seed);
                let result = run_scenario(&scenario);
                if !result.violations.is_empty() {
                    failing_scenarios += 1;
                    println!("seed {seed}: {}", format_summary(&result));
                    print_violations(&result);
                    println!("{}", serde_saphyr::to_string(&scenario).unwrap_or_default());
                }
            }
            println!("{count} days, {failing_scenarios} with a rule broken");
            ExitCode::from(u8::from(failing_scenarios > 0))
        }
    }
}
