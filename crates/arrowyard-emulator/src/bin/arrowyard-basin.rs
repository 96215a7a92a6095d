//! Plays days of the emulator: one, or many that are drawn, and says what was broken and what was served.

use std::io::BufRead;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use arrowyard_emulator::acknowledgements::{TROUBLES, pauses};
use arrowyard_emulator::capacity::{ChangeCost, configuration, measure};
use arrowyard_emulator::catch_up::catch_up;
use arrowyard_emulator::chart::{draw, draw_paces};
use arrowyard_emulator::departures::last_questions;
use arrowyard_emulator::experiment::{Difference, FIGURES, Outcome, compare, outcomes};
use arrowyard_emulator::failover::{Cause, Outages, outages};
use arrowyard_emulator::models::{Checked, ledger, promotion};
use arrowyard_emulator::{Day, Played, drawn, play, shares};
use bpaf::Bpaf;

/// The share of a core that a control machine is reckoned to have.
const SHARE: f64 = 0.25;

/// The emulator of the whole system.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Command {
    /// Plays the day of a file.
    #[bpaf(command)]
    Play {
        #[bpaf(positional("FILE"))]
        day: PathBuf,
    },
    /// Plays drawn days, and prints each that breaks a rule so that it can be kept.
    #[bpaf(command)]
    Hunt {
        /// How many.
        #[bpaf(argument("N"), fallback(100))]
        days: u64,
        /// The first seed.
        #[bpaf(argument("SEED"), fallback(1))]
        from: u64,
    },
    /// Measures how long services are without a primary, by cause.
    #[bpaf(command)]
    Failover {
        /// Of each cause.
        #[bpaf(argument("N"), fallback(30))]
        cases: u64,
        /// The first seed.
        #[bpaf(argument("SEED"), fallback(1))]
        from: u64,
    },
    /// How long the operator waits for an acknowledgement while a control machine is in trouble, by what happens to it.
    #[bpaf(command)]
    Acknowledgements {
        /// Of each trouble.
        #[bpaf(argument("N"), fallback(20))]
        cases: u64,
        /// The first seed.
        #[bpaf(argument("SEED"), fallback(1))]
        from: u64,
    },
    /// How long a replica that leaves is asked after that was acknowledged, by what happens to a control machine.
    #[bpaf(command)]
    Departures {
        /// Of each trouble.
        #[bpaf(argument("N"), fallback(20))]
        cases: u64,
        /// The first seed.
        #[bpaf(argument("SEED"), fallback(1))]
        from: u64,
    },
    /// How long a control machine that was away takes to catch up.
    #[bpaf(command)]
    CatchUp {
        /// Entries that it lacks.
        #[bpaf(argument("N"), some("tell how many entries"))]
        entries: Vec<u64>,
        /// Routes of the configuration.
        #[bpaf(argument("N"), some("tell how many routes"))]
        routes: Vec<usize>,
    },
    /// Plays drawn days and prints a line for each: seed, shares served in aim, late, lost, p50 and p99 in ms, rules broken.
    #[bpaf(command)]
    Outcomes {
        /// How many.
        #[bpaf(argument("N"), fallback(100))]
        days: u64,
        /// The first seed.
        #[bpaf(argument("SEED"), fallback(1))]
        from: u64,
        /// A setting of every day, NAME=VALUE.
        #[bpaf(long("set"), argument("NAME=VALUE"), many)]
        settings: Vec<String>,
    },
    /// Plays the same drawn days twice, under other settings or with another build of this program, and tells what
    /// differs.
    #[bpaf(command)]
    Compare {
        /// How many.
        #[bpaf(argument("N"), fallback(100))]
        days: u64,
        /// The first seed.
        #[bpaf(argument("SEED"), fallback(1))]
        from: u64,
        /// The other build; this one if none is named.
        #[bpaf(argument("PROGRAM"), optional)]
        against: Option<PathBuf>,
        /// A setting of both, NAME=VALUE.
        #[bpaf(long("set"), argument("NAME=VALUE"), many)]
        settings: Vec<String>,
        /// A setting of the second alone, NAME=VALUE.
        #[bpaf(long("second"), argument("NAME=VALUE"), many)]
        second: Vec<String>,
    },
    /// Plays the rainy-season morning with hosts divided and not: what each kind of requests keeps of its pace.
    #[bpaf(command)]
    Shares {
        /// Without a primary replaced, one lost, answers lost, a router killed.
        #[bpaf(long("calm"), switch)]
        calm: bool,
        /// Services, of three databases and three hosts each.
        #[bpaf(argument("N"), fallback(1))]
        services: usize,
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// Instead: of so many days, how soon a kind that was idle has its pace back.
        #[bpaf(argument("N"), optional)]
        back: Option<u64>,
        /// Draws the last morning's paces by kind, as SVG.
        #[bpaf(argument("SVG"), optional)]
        out: Option<PathBuf>,
        /// How many routers there are, one morning after the other.
        #[bpaf(positional("N"))]
        routers: Vec<usize>,
    },
    /// Explores the ledger and the change of primary to exhaustion, scene by scene, with the code that ships.
    #[bpaf(command)]
    Check,
    /// Draws the day of a file, as SVG: operations asked and served by second, and what happened when.
    #[bpaf(command)]
    Chart {
        /// The picture.
        #[bpaf(argument("SVG"))]
        out: PathBuf,
        #[bpaf(positional("FILE"))]
        day: PathBuf,
    },
    /// Measures what control costs, by the number of routers, hosts, sessions and routes.
    #[bpaf(command)]
    Capacity {
        /// What is to grow: routers, hosts, sessions, changes, routes.
        #[bpaf(positional("WHAT"))]
        what: String,
        /// The sizes.
        #[bpaf(positional("N"))]
        sizes: Vec<usize>,
    },
}

fn capacity(what: &str, sizes: &[usize]) -> Result<(), String> {
    println!(
        "{what:>8}  controls routers hosts  users | control bytes/s  writes/s  events/s  busy us/s | router bytes/s  busy us/s | \
         memory MB  statements"
    );
    for &size in sizes {
        if what == "routes" {
            let ChangeCost { apply, layout, difference, whole } = configuration(size);
            println!(
                "{size:>8}  change {apply:?}, layout {layout:?}, difference {difference:?}, whole {whole} bytes"
            );
            continue;
        }
        let cost = match what {
            "routers" => measure(3, size, 3, 0, 0),
            "hosts" => measure(3, 6, size / 3, 0, 0),
            "sessions" => measure(3, 1, 3, size / 9, 0),
            "load" => measure(3, 3, 3, size, 0),
            "changes" => measure(3, 60, 3, 0, size),
            "controls" => measure(size, 60, 3, 0, 0),
            _ => {
                return Err(format!(
                    "{what}: is none of routers, hosts, sessions, load, changes, controls, routes"
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
            cost.control.busy * 1e6,
            cost.router.bytes,
            cost.router.busy * 1e6,
            cost.memory as f64 / 1e6,
            cost.statements,
        );
    }
    Ok(())
}

fn print_header(what: &str) {
    println!("{what:>24}  cases  p50 ms  p99 ms  worst ms  never  days with a rule broken");
}

fn print_outages(name: &str, outages: &Outages) {
    println!(
        "{name:>24}  {:>5}  {:>6}  {:>6}  {:>8}  {:>5}  {}",
        outages.cases, outages.p50, outages.p99, outages.worst, outages.never, outages.broken
    );
}

fn acknowledgements(cases: u64, from: u64) {
    print_header("trouble");
    for trouble in TROUBLES {
        print_outages(&format!("{trouble:?}"), &pauses(trouble, cases, from));
    }
}

fn departures(cases: u64, from: u64) {
    print_header("trouble");
    for trouble in [None].into_iter().chain(TROUBLES.map(Some)) {
        let name = trouble.map_or("none".to_string(), |trouble| format!("{trouble:?}"));
        print_outages(&name, &last_questions(trouble, cases, from));
    }
}

fn failover(cases: u64, from: u64) {
    print_header("cause");
    for cause in Cause::ALL {
        print_outages(cause.name(), &outages(cause, cases, from));
    }
}

fn measure_catch_up(entries: &[u64], routes: &[usize]) -> Result<(), String> {
    println!("entries  routes  waited ms  busy ms  sent KB  at {SHARE} of a core, ms at most");
    for &entries in entries {
        for &routes in routes {
            let took = catch_up(entries, routes)?;
            println!(
                "{entries:>7}  {routes:>6}  {:>9.0}  {:>7.1}  {:>7}  {:.0}",
                took.waited.as_secs_f64() * 1e3,
                took.busy.as_secs_f64() * 1e3,
                took.bytes / 1000,
                took.at_share(SHARE) * 1e3
            );
        }
    }
    Ok(())
}

/// How a part's scenes are explored, by name.
type Explore = fn(&str) -> Option<Checked>;

/// Explores all scenes; whether every property holds in each.
fn check() -> bool {
    let parts: [(&str, &[&str], Explore); 2] = [
        ("ledger", &ledger::SCENES, |name| ledger::check(name, None)),
        ("promotion", &promotion::SCENES, |name| promotion::check(name, None)),
    ];
    let mut holds = true;
    for (part, scenes, explore) in parts {
        for name in scenes {
            let began = std::time::Instant::now();
            let Some(checked) = explore(name) else { continue };
            let word = if checked.broken.is_empty() && checked.lives { "holds" } else { "does not hold" };
            println!(
                "{part:>10}  {name:<30}  {:>9} states  {:>6.1?}  {word}",
                checked.states,
                began.elapsed()
            );
            checked.broken.iter().for_each(|(property, way)| println!("{property}: {way}"));
            holds &= checked.broken.is_empty() && checked.lives;
        }
    }
    holds
}

/// The days as a program plays them, read from what it prints; progress goes to standard error.
fn played_by(
    program: &Path,
    days: u64,
    from: u64,
    settings: &[&String],
) -> Result<Vec<Outcome>, Box<dyn std::error::Error>> {
    let mut command = std::process::Command::new(program);
    command.args(["outcomes", "--days", &days.to_string(), "--from", &from.to_string()]);
    for setting in settings {
        command.args(["--set", setting]);
    }
    let mut child = command.stdout(std::process::Stdio::piped()).spawn()?;
    let lines = std::io::BufReader::new(child.stdout.take().ok_or("its output cannot be read")?).lines();
    let mut outcomes = Vec::new();
    for line in lines {
        outcomes.push(line?.parse::<Outcome>()?);
        eprint!("\r{} of {days} days", outcomes.len());
    }
    eprintln!();
    if child.wait()?.success() { Ok(outcomes) } else { Err("it did not play to the end".into()) }
}

fn compared(
    (days, from): (u64, u64),
    against: Option<PathBuf>,
    settings: &[String],
    second: &[String],
) -> Result<(), Box<dyn std::error::Error>> {
    let this = std::env::current_exe()?;
    let both: Vec<&String> = settings.iter().collect();
    let other: Vec<&String> = settings.iter().chain(second).collect();
    let one = played_by(&against.unwrap_or_else(|| this.clone()), days, from, &both)?;
    let two = played_by(&this, days, from, &other)?;
    println!("{:>8}  {:>12}  {:>12}  {:>12}  within (95 of 100)", "figure", "first", "second", "second less");
    for (name, difference) in FIGURES.iter().zip(compare(&one, &two)?) {
        let Difference { first, second, mean, within } = difference;
        let sure = if mean.abs() > within { "" } else { "  no difference shown" };
        println!("{name:>8}  {first:>12.4}  {second:>12.4}  {mean:>+12.4}  {within:.4}{sure}");
    }
    Ok(())
}

fn read_day(file: &Path) -> Result<Day, String> {
    let text = std::fs::read_to_string(file).map_err(|fault| format!("{}: {fault}", file.display()))?;
    serde_saphyr::from_str(&text).map_err(|fault| format!("{}: {fault}", file.display()))
}

/// What could not be done is told, and is exit code 2.
fn ended<T>(done: Result<T, impl std::fmt::Display>) -> ExitCode {
    match done {
        Ok(_) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::from(2)
        }
    }
}

fn tells(played: &Played) -> String {
    let tally = played.tally;
    format!(
        "asked {}, in aim {}, late {}, refused {}, failed {}; p50 {:.1} ms, p99 {:.1} ms; {} promotions, {} statements run, {} \
         connections over the cap, {} rules broken",
        tally.asked,
        tally.served,
        tally.late,
        tally.refused,
        tally.failed,
        played.p50_ms,
        played.p99_ms,
        played.promotions,
        played.runs,
        played.over_cap,
        played.breaches.len()
    )
}

fn shown(played: &Played) {
    for breach in played.breaches.iter().take(8) {
        println!("  {} at {:.3} s: {}", breach.rule, breach.at.micros() as f64 / 1e6, breach.what);
    }
}

fn main() -> ExitCode {
    match command().run() {
        Command::Capacity { what, sizes } => ended(capacity(&what, &sizes)),
        Command::Acknowledgements { cases, from } => {
            acknowledgements(cases, from);
            ExitCode::SUCCESS
        }
        Command::Departures { cases, from } => {
            departures(cases, from);
            ExitCode::SUCCESS
        }
        Command::CatchUp { entries, routes } => ended(measure_catch_up(&entries, &routes)),
        Command::Failover { cases, from } => {
            failover(cases, from);
            ExitCode::SUCCESS
        }
        Command::Outcomes { days, from, settings } => {
            ended(outcomes(from..from + days, &settings, |outcome| println!("{outcome}")))
        }
        Command::Compare { days, from, against, settings, second } => {
            ended(compared((days, from), against, &settings, &second))
        }
        Command::Shares { back: Some(cases), routers, .. } => {
            routers.iter().for_each(|routers| shares::back(cases, *routers));
            ExitCode::SUCCESS
        }
        Command::Shares { calm, services, seed, out, routers, .. } => {
            let last = shares::compare(&routers, services, !calm, seed);
            ended(match (out, last) {
                (Some(out), Some((day, played))) => draw_paces(&day, &played, &out),
                _ => Ok(()),
            })
        }
        Command::Check => ExitCode::from(u8::from(!check())),
        Command::Chart { out, day } => {
            let drawn = read_day(&day).map_err(Into::into).and_then(|day| draw(&day, &play(&day), &out));
            ended(drawn)
        }
        Command::Play { day } => {
            let day = match read_day(&day) {
                Ok(day) => day,
                Err(fault) => return ended(Err::<(), _>(fault)),
            };
            let played = play(&day);
            println!("{}", tells(&played));
            for (second, asked, served) in &played.seconds {
                println!("{second:3} s  asked {asked:5}  served {served:5}");
            }
            shown(&played);
            ExitCode::from(u8::from(!played.breaches.is_empty()))
        }
        Command::Hunt { days, from } => {
            let mut broken = 0;
            for seed in from..from + days {
                let day = drawn(seed);
                let played = play(&day);
                if !played.breaches.is_empty() {
                    broken += 1;
                    println!("seed {seed}: {}", tells(&played));
                    shown(&played);
                    println!("{}", serde_saphyr::to_string(&day).unwrap_or_default());
                }
            }
            println!("{days} days, {broken} with a rule broken");
            ExitCode::from(u8::from(broken > 0))
        }
    }
}
