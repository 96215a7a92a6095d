//! Measures the front of Flight SQL: small results beside PostgreSQL's protocol, large ones beside a direct connection
//! to the same host, the memory of slow readers, and how many cut results are repaired. Ratios within one run.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use arrow_flight::error::FlightError;
use arrowyard_testbed::client::Ask;
use arrowyard_testbed::flight::FlightClient;
use arrowyard_testbed::router::{OpType, beside, waybill};
use arrowyard_testbed::{Act, Client, Process, Reply, Speaks, Spec, Town};
use clap::{Parser, Subcommand};
use comfy_table::Table;
use fastrand::Rng;
use futures::StreamExt;
use tokio::runtime::Runtime;

/// Measures Flight SQL before stand-in hosts; build with --release first.
#[derive(Parser)]
struct Line {
    #[command(subcommand)]
    what: What,
    /// The router; beside this program if absent.
    #[arg(long, global = true)]
    program: Option<PathBuf>,
    /// Seconds of each part.
    #[arg(long, global = true, default_value_t = 5.0)]
    seconds: f64,
    #[arg(long, global = true, default_value_t = 1)]
    seed: u64,
}

#[derive(Subcommand)]
enum What {
    /// Small results: ops a second and core an op, by both protocols before the same hosts.
    Small,
    /// Large results: bytes a second and core a byte, beside a direct connection.
    Wide,
    /// The router's memory while so many clients read one batch a second.
    Readers {
        #[arg(default_value_t = 200)]
        count: usize,
    },
    /// Two programs on PostgreSQL's protocol, in turns: core an op, and idle memory.
    Core { old: PathBuf, new: PathBuf },
    /// Results that are cut: how many of them were repaired, held and passed on.
    Cuts,
}

const OP_TYPES: [OpType; 2] = [
    OpType { name: "standings", target_ms: 200, timeout_ms: 2000, effect: "read_like", read: "loose" },
    OpType { name: "export", target_ms: 10_000, timeout_ms: 20_000, effect: "read_like", read: "loose" },
];

fn ask(kind: usize, id: u64) -> Ask<'static> {
    let (wait_ms, tenant, token, again, writes) = (OP_TYPES[kind].timeout_ms, None, None, false, false);
    Ask { id, op_type: OP_TYPES[kind].name, tenant, group: 7, wait_ms, token, again, session: id, writes }
}

fn town(flight: bool, batches: usize, batch_bytes: usize) -> Town {
    town_of(2, flight, batches, batch_bytes)
}

fn town_of(replicas: usize, flight: bool, batches: usize, batch_bytes: usize) -> Town {
    let names = std::iter::once("p-0".to_string()).chain((0..replicas).map(|number| format!("r-{number}")));
    let host = |name: String| Spec { flight, batches, batch_bytes, ..Spec::new(&name, 7, name == "p-0") };
    Town::start(&names.map(host).collect::<Vec<_>>())
}

fn start(line: &Line, town: &Town, flight: bool, more: &str) -> Result<Process, String> {
    let program = line.program.clone().unwrap_or_else(|| beside("arrowyard-flight"));
    let hosts = if flight { "FLIGHT_SQL" } else { "POSTGRESQL" };
    let book = format!("epoch: 1\nflight {{ listen: \"127.0.0.1:0\" hosts: {hosts} {more} }}\n");
    Process::start(&program, &waybill(town, &OP_TYPES, 2048), Some(&book))
}

/// Closed loops of so many clients: ops that were served, and how many were not.
fn loops<C: Speaks>(
    runtime: &Runtime,
    at: SocketAddr,
    clients: usize,
    seconds: f64,
    ids: &Arc<AtomicU64>,
) -> (u64, u64) {
    let until = Instant::now() + Duration::from_secs_f64(seconds);
    let tasks: Vec<_> = (0..clients)
        .map(|_| {
            let ids = ids.clone();
            runtime.spawn(async move {
                let (mut served, mut not) = (0, 0);
                let Ok(mut client) = C::connect(at).await else { return (0, 1) };
                while Instant::now() < until {
                    match client.ask(&ask(0, ids.fetch_add(1, Ordering::Relaxed))).await {
                        Ok(Reply::Value(_)) => served += 1,
                        _ => not += 1,
                    }
                }
                (served, not)
            })
        })
        .collect();
    runtime.block_on(async {
        let mut sum = (0, 0);
        for task in tasks {
            let (served, not) = task.await.unwrap_or((0, 1));
            sum = (sum.0 + served, sum.1 + not);
        }
        sum
    })
}

fn small(line: &Line, runtime: &Runtime) -> Result<Table, String> {
    let town = town(false, 1, 0);
    let router = start(line, &town, false, "")?;
    let flight = router.flight.ok_or("it serves no Flight SQL")?;
    let ids = Arc::new(AtomicU64::new(1));
    let mut table = Table::new();
    table.set_header([
        "protocol",
        "served",
        "not served",
        "ops a second, PostgreSQL's = 1",
        "core an op, PostgreSQL's = 1",
    ]);
    let mut first: Option<(f64, f64)> = None;
    for (name, is_flight) in [("PostgreSQL", false), ("Flight SQL, planned and redeemed", true)] {
        let (before, _) = router.cost();
        let (served, not) = if is_flight {
            loops::<FlightClient>(runtime, flight, 16, line.seconds, &ids)
        } else {
            loops::<Client>(runtime, router.address, 16, line.seconds, &ids)
        };
        let (after, _) = router.cost();
        let (rate, core) = (served as f64 / line.seconds, (after - before) as f64 / served.max(1) as f64);
        let (one_rate, one_core) = *first.get_or_insert((rate, core));
        table.add_row([
            name.into(),
            served.to_string(),
            not.to_string(),
            format!("{:.2}", rate / one_rate),
            format!("{:.2}", core / one_core),
        ]);
    }
    Ok(table)
}

/// The bytes of results that came in so long, and whether any was cut.
async fn drink(client: &mut FlightClient, ids: &AtomicU64, seconds: f64) -> Result<(u64, f64), FlightError> {
    let (began, mut bytes) = (Instant::now(), 0);
    while began.elapsed().as_secs_f64() < seconds {
        let statement = ask(1, ids.fetch_add(1, Ordering::Relaxed)).statement();
        let info = client.inner.execute(statement, None).await?;
        let ticket = info
            .endpoint
            .into_iter()
            .next()
            .and_then(|endpoint| endpoint.ticket)
            .expect("a plan has its ticket");
        let mut flow = client
            .inner
            .inner_mut()
            .clone()
            .max_decoding_message_size(usize::MAX)
            .do_get(ticket)
            .await?
            .into_inner();
        while let Some(data) = flow.next().await {
            let data = data?;
            bytes += (data.data_header.len() + data.data_body.len()) as u64;
        }
    }
    Ok((bytes, began.elapsed().as_secs_f64()))
}

fn wide(line: &Line, runtime: &Runtime) -> Result<Table, String> {
    let mut table = Table::new();
    table.set_header([
        "batch",
        "through, direct = 1",
        "bytes a core's time, at 1 KB = 1",
        "GB a second of core",
    ]);
    let mut first = None;
    for batch in [1 << 10, 16 << 10, 64 << 10, 256 << 10, 1 << 20, 4 << 20] {
        let town = town(true, ((64 << 20) / batch).min(20_000), batch);
        let router = start(line, &town, true, "held_bytes: 0")?;
        let ids = AtomicU64::new(1);
        let told = runtime.block_on(async {
            let mut client = FlightClient::connect(router.address).await.map_err(|e| e.to_string())?;
            let (before, _) = router.cost();
            let (bytes, took) = drink(&mut client, &ids, line.seconds).await.map_err(|e| e.to_string())?;
            let (after, _) = router.cost();
            let mut straight = FlightClient::connect(town.address("r-0")).await.map_err(|e| e.to_string())?;
            let (there, time) = drink(&mut straight, &ids, line.seconds).await.map_err(|e| e.to_string())?;
            // Clock ticks are hundredths of a second here.
            let core = bytes as f64 / ((after - before).max(1) as f64 / 100.0);
            Ok::<_, String>(((bytes as f64 / took, core), there as f64 / time))
        });
        let (told, direct) = told.map_err(|why| {
            let log = router.log.lock().expect("nobody panics with the log").join("\n");
            format!("batches of {batch} bytes: {why}\n{log}")
        })?;
        let one = *first.get_or_insert(told.1);
        table.add_row([
            format!("{} KB", batch >> 10),
            format!("{:.2}", told.0 / direct),
            format!("{:.1}", told.1 / one),
            format!("{:.2}", told.1 / 1e9),
        ]);
    }
    Ok(table)
}

fn readers(line: &Line, runtime: &Runtime, count: usize) -> Result<Table, String> {
    let mut table = Table::new();
    table.set_header(["slow readers", "results begun", "router's own memory, KB", "a reader, KB"]);
    // As many hosts as take them all at once.
    let town = town_of(24, true, 400, 64 << 10);
    let router = start(line, &town, true, &format!("held_bytes: 0 connections: {} calls: 1000", count + 1))?;
    let (_, idle) = router.cost();
    let router = &router;
    runtime.block_on(async {
        let begun = (0..count as u64).map(|id| async move {
            let mut client = FlightClient::connect_with(router.address, 128 * 1024).await.ok()?;
            let info = client.inner.execute(ask(1, id + 1).statement(), None).await.ok()?;
            let ticket = info.endpoint[0].ticket.clone()?;
            let flow = tokio::time::timeout(Duration::from_secs(5), client.inner.do_get(ticket)).await;
            Some((flow.ok()?.ok()?, client))
        });
        let mut flows: Vec<_> = futures::future::join_all(begun).await.into_iter().flatten().collect();
        for _ in 0..3 {
            for (flow, _) in &mut flows {
                let _ = tokio::time::timeout(Duration::from_millis(100), flow.next()).await;
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        let (_, then) = router.cost();
        let each = (then.saturating_sub(idle)) as f64 / flows.len().max(1) as f64;
        table.add_row(["0".into(), "0".into(), idle.to_string(), String::new()]);
        table.add_row([count.to_string(), flows.len().to_string(), then.to_string(), format!("{each:.0}")]);
    });
    Ok(table)
}

fn cuts(line: &Line, runtime: &Runtime) -> Result<Table, String> {
    let mut table = Table::new();
    table.set_header(["results", "asked", "cut", "whole in the end", "told that they are cut", "other"]);
    for (name, held) in [("held, 6 batches of 1 KB", "held_bytes: 1000000"), ("passed on", "held_bytes: 0")] {
        let town = town(true, 6, 1024);
        let router = start(line, &town, true, held)?;
        let mut rng = Rng::with_seed(line.seed);
        let (mut asked, mut whole, mut told, mut other) = (0, 0, 0, 0);
        runtime.block_on(async {
            let mut client = FlightClient::connect(router.address).await.map_err(|e| e.to_string())?;
            let until = Instant::now() + Duration::from_secs_f64(line.seconds);
            while Instant::now() < until {
                // One of the two replicas cuts, after any of its batches.
                ["r-0", "r-1"].into_iter().for_each(|name| town.act(name, Act::Serve));
                let name = ["r-0", "r-1"][rng.usize(0..2)];
                town.act(name, Act::CutAfter(rng.usize(0..7)));
                asked += 1;
                match client.query(&ask(0, asked).statement()).await {
                    Ok(batches) if batches.len() == 6 => whole += 1,
                    Err(FlightError::Tonic(status)) if status.code() == tonic::Code::Aborted => told += 1,
                    _ => other += 1,
                }
            }
            Ok::<_, String>(())
        })?;
        let sent: u64 = town.ledger().commands.values().sum();
        // Each further send is one that was cut; of those passed on each that was told.
        let cut = (sent - asked) + told;
        table.add_row([
            name.to_string(),
            asked.to_string(),
            cut.to_string(),
            whole.to_string(),
            told.to_string(),
            other.to_string(),
        ]);
    }
    Ok(table)
}

fn core(line: &Line, runtime: &Runtime, programs: [&PathBuf; 2]) -> Result<Table, String> {
    let mut table = Table::new();
    table.set_header([
        "program",
        "rounds",
        "core an op, the first's = 1",
        "idle memory, KB",
        "till it serves, the first's = 1",
    ]);
    let ids = Arc::new(AtomicU64::new(1));
    let (mut ops, mut ticks, mut idle, mut starts) = ([0; 2], [0; 2], [0; 2], [0.0; 2]);
    const ROUNDS: usize = 6;
    for round in 0..ROUNDS * 2 {
        // In turns, the order changed each time.
        let which = (round % 2) ^ (round / 2 % 2);
        let town = town(false, 1, 0);
        let file = waybill(&town, &OP_TYPES, 512);
        let began = Instant::now();
        let router = Process::start(programs[which], &file, None)?;
        starts[which] += began.elapsed().as_secs_f64();
        std::thread::sleep(Duration::from_millis(300));
        let (before, memory) = router.cost();
        let (served, _) = loops::<Client>(runtime, router.address, 16, line.seconds / ROUNDS as f64, &ids);
        ops[which] += served;
        ticks[which] += router.cost().0 - before;
        idle[which] = memory;
    }
    let core = |which: usize| ticks[which] as f64 / ops[which].max(1) as f64;
    for (which, name) in ["first", "second"].into_iter().enumerate() {
        table.add_row([
            name.into(),
            ROUNDS.to_string(),
            format!("{:.3}", core(which) / core(0)),
            idle[which].to_string(),
            format!("{:.2}", starts[which] / starts[0]),
        ]);
    }
    Ok(table)
}

fn main() -> ExitCode {
    let line = Line::parse();
    let runtime = Runtime::new().expect("threads can be had");
    let table = match line.what {
        What::Small => small(&line, &runtime),
        What::Wide => wide(&line, &runtime),
        What::Readers { count } => readers(&line, &runtime, count),
        What::Cuts => cuts(&line, &runtime),
        What::Core { ref old, ref new } => core(&line, &runtime, [old, new]),
    };
    match table {
        Ok(table) => {
            println!("{table}");
            ExitCode::SUCCESS
        }
        Err(why) => {
            eprintln!("{why}");
            ExitCode::from(2)
        }
    }
}
