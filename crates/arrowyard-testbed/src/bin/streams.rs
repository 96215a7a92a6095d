//! Measures the Flight SQL listener: small results compared with PostgreSQL's protocol, large results
//! compared with a direct connection to the same host, the router's memory with slow readers, and the
//! repair of interrupted results. Figures are ratios within one run.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use arrow_flight::error::FlightError;
use arrowyard_testbed::client::OpRequest;
use arrowyard_testbed::flight::FlightClient;
use arrowyard_testbed::router::{OpType, platform_config, sibling_program};
use arrowyard_testbed::{Client, Cluster, HostBehavior, HostSpec, Process, ProtocolClient, Reply};
use clap::{Parser, Subcommand};
use comfy_table::Table;
use fastrand::Rng;
use futures::StreamExt;
use tokio::runtime::Runtime;

/// Measures Flight SQL with simulated hosts. Build with --release first.
#[derive(Parser)]
struct Args {
    #[command(subcommand)]
    measurement: Measurement,
    /// The router program; by default the one next to this program.
    #[arg(long, global = true)]
    program: Option<PathBuf>,
    /// Duration of each part, in seconds.
    #[arg(long, global = true, default_value_t = 5.0)]
    seconds: f64,
    #[arg(long, global = true, default_value_t = 1)]
    seed: u64,
}

#[derive(Subcommand)]
enum Measurement {
    /// Small results: throughput and CPU time per op over both protocols with the same hosts.
    Small,
    /// Large results: throughput and CPU time per byte compared with a direct connection.
    Wide,
    /// The router's memory while this many clients read one batch per second.
    Readers {
        #[arg(default_value_t = 200)]
        count: usize,
    },
    /// Two programs over PostgreSQL's protocol, alternating: CPU time per op, idle memory and startup time.
    Core { old: PathBuf, new: PathBuf },
    /// Interrupted results: how many were repaired, with results held by the router and with forwarded
    /// ones.
    Cuts,
}

const OP_TYPES: [OpType; 2] = [
    OpType { name: "standings", target_ms: 200, timeout_ms: 2000, effect: "read_like", read_level: "loose" },
    OpType {
        name: "export",
        target_ms: 10_000,
        timeout_ms: 20_000,
        effect: "read_like",
        read_level: "loose",
    },
];

/// A read of this op type.
fn request(op_type: usize, id: u64) -> OpRequest<'static> {
    let (timeout_ms, tenant, token, is_retry, is_write) =
        (OP_TYPES[op_type].timeout_ms, None, None, false, false);
    OpRequest {
        id,
        op_type: OP_TYPES[op_type].name,
        tenant,
        group: 7,
        timeout_ms,
        token,
        is_retry,
        session: id,
        is_write,
    }
}

fn start_cluster(flight: bool, batches: usize, batch_bytes: usize) -> Cluster {
    start_cluster_with(2, flight, batches, batch_bytes)
}

fn start_cluster_with(replicas: usize, flight: bool, batches: usize, batch_bytes: usize) -> Cluster {
    let names = std::iter::once("p-0".to_string()).chain((0..replicas).map(|index| format!("r-{index}")));
    let host =
        |name: String| HostSpec { flight, batches, batch_bytes, ..HostSpec::new(&name, 7, name == "p-0") };
    Cluster::start(&names.map(host).collect::<Vec<_>>())
}

fn start_router(
    args: &Args,
    cluster: &Cluster,
    flight_hosts: bool,
    flight_fields: &str,
) -> Result<Process, String> {
    let program = args.program.clone().unwrap_or_else(|| sibling_program("arrowyard-flight"));
    let hosts = if flight_hosts { "FLIGHT_SQL" } else { "POSTGRESQL" };
    let operator_config =
        format!("epoch: 1\nflight {{ listen: \"127.0.0.1:0\" hosts: {hosts} {flight_fields} }}\n");
    Process::start(&program, &platform_config(cluster, &OP_TYPES, 2048), Some(&operator_config))
}

/// Runs ops in a closed loop with `clients` clients. Returns the numbers of ops served and not served.
fn run_closed_loop<C: ProtocolClient>(
    runtime: &Runtime,
    router: SocketAddr,
    clients: usize,
    seconds: f64,
    ids: &Arc<AtomicU64>,
) -> (u64, u64) {
    let deadline = Instant::now() + Duration::from_secs_f64(seconds);
    let tasks: Vec<_> = (0..clients)
        .map(|_| {
            let ids = ids.clone();
            runtime.spawn(async move {
                let (mut served, mut not_served) = (0, 0);
                let Ok(mut client) = C::connect(router).await else { return (0, 1) };
                while Instant::now() < deadline {
                    match client.execute(&request(0, ids.fetch_add(1, Ordering::Relaxed))).await {
                        Ok(Reply::Value(_)) => served += 1,
                        _ => not_served += 1,
                    }
                }
                (served, not_served)
            })
        })
        .collect();
    runtime.block_on(async {
        let mut total = (0, 0);
        for task in tasks {
            let (served, not_served) = task.await.unwrap_or((0, 1));
            total = (total.0 + served, total.1 + not_served);
        }
        total
    })
}

fn measure_small_results(args: &Args, runtime: &Runtime) -> Result<Table, String> {
    let cluster = start_cluster(false, 1, 0);
    let router = start_router(args, &cluster, false, "")?;
    let flight_address = router.flight_address.ok_or("the router does not serve Flight SQL")?;
    let ids = Arc::new(AtomicU64::new(1));
    let mut table = Table::new();
    table.set_header([
        "protocol",
        "served",
        "not served",
        "ops/s, PostgreSQL = 1",
        "CPU time per op, PostgreSQL = 1",
    ]);
    let mut baseline: Option<(f64, f64)> = None;
    for (name, is_flight) in [("PostgreSQL", false), ("Flight SQL", true)] {
        let (ticks_before, _) = router.resource_usage();
        let (served, not_served) = if is_flight {
            run_closed_loop::<FlightClient>(runtime, flight_address, 16, args.seconds, &ids)
        } else {
            run_closed_loop::<Client>(runtime, router.address, 16, args.seconds, &ids)
        };
        let (ticks_after, _) = router.resource_usage();
        let (ops_per_second, ticks_per_op) =
            (served as f64 / args.seconds, (ticks_after - ticks_before) as f64 / served.max(1) as f64);
        let (baseline_ops_per_second, baseline_ticks_per_op) =
            *baseline.get_or_insert((ops_per_second, ticks_per_op));
        table.add_row([
            name.into(),
            served.to_string(),
            not_served.to_string(),
            format!("{:.2}", ops_per_second / baseline_ops_per_second),
            format!("{:.2}", ticks_per_op / baseline_ticks_per_op),
        ]);
    }
    Ok(table)
}

/// Reads results for `seconds`. Returns the bytes read and the time that it took.
async fn read_results(
    client: &mut FlightClient,
    ids: &AtomicU64,
    seconds: f64,
) -> Result<(u64, f64), FlightError> {
    let (started_at, mut bytes) = (Instant::now(), 0);
    while started_at.elapsed().as_secs_f64() < seconds {
        let statement = request(1, ids.fetch_add(1, Ordering::Relaxed)).statement();
        let info = client.inner.execute(statement, None).await?;
        let ticket = info
            .endpoint
            .into_iter()
            .next()
            .and_then(|endpoint| endpoint.ticket)
            .expect("FlightInfo has a ticket");
        let mut stream = client
            .inner
            .inner_mut()
            .clone()
            .max_decoding_message_size(usize::MAX)
            .do_get(ticket)
            .await?
            .into_inner();
        while let Some(data) = stream.next().await {
            let data = data?;
            bytes += (data.data_header.len() + data.data_body.len()) as u64;
        }
    }
    Ok((bytes, started_at.elapsed().as_secs_f64()))
}

fn measure_large_results(args: &Args, runtime: &Runtime) -> Result<Table, String> {
    let mut table = Table::new();
    table.set_header([
        "batch",
        "throughput, direct = 1",
        "bytes per CPU time, at 1 KB = 1",
        "GB per second of CPU time",
    ]);
    let mut baseline = None;
    for batch_bytes in [1 << 10, 16 << 10, 64 << 10, 256 << 10, 1 << 20, 4 << 20] {
        let cluster = start_cluster(true, ((64 << 20) / batch_bytes).min(20_000), batch_bytes);
        let router = start_router(args, &cluster, true, "held_bytes: 0")?;
        let ids = AtomicU64::new(1);
        let measured = runtime.block_on(async {
            let mut client =
                FlightClient::connect(router.address).await.map_err(|error| error.to_string())?;
            let (ticks_before, _) = router.resource_usage();
            let (bytes, seconds) =
                read_results(&mut client, &ids, args.seconds).await.map_err(|error| error.to_string())?;
            let (ticks_after, _) = router.resource_usage();
            let mut direct_client =
                FlightClient::connect(cluster.address("r-0")).await.map_err(|error| error.to_string())?;
            let (direct_bytes, direct_seconds) = read_results(&mut direct_client, &ids, args.seconds)
                .await
                .map_err(|error| error.to_string())?;
            // A clock tick is a hundredth of a second.
            let bytes_per_cpu_second = bytes as f64 / ((ticks_after - ticks_before).max(1) as f64 / 100.0);
            Ok::<_, String>((
                (bytes as f64 / seconds, bytes_per_cpu_second),
                direct_bytes as f64 / direct_seconds,
            ))
        });
        let (measured, direct_bytes_per_second) = measured.map_err(|error| {
            let log = router.log.lock().expect("the lock is not poisoned").join("\n");
            format!("batches of {batch_bytes} bytes: {error}\n{log}")
        })?;
        let baseline_bytes_per_cpu_second = *baseline.get_or_insert(measured.1);
        table.add_row([
            format!("{} KB", batch_bytes >> 10),
            format!("{:.2}", measured.0 / direct_bytes_per_second),
            format!("{:.1}", measured.1 / baseline_bytes_per_cpu_second),
            format!("{:.2}", measured.1 / 1e9),
        ]);
    }
    Ok(table)
}

fn measure_slow_readers(args: &Args, runtime: &Runtime, count: usize) -> Result<Table, String> {
    let mut table = Table::new();
    table.set_header(["slow readers", "streams started", "router's anonymous memory, KB", "per reader, KB"]);
    // Enough hosts to serve all readers at once.
    let cluster = start_cluster_with(24, true, 400, 64 << 10);
    let router =
        start_router(args, &cluster, true, &format!("held_bytes: 0 connections: {} calls: 1000", count + 1))?;
    let (_, idle_kb) = router.resource_usage();
    let router = &router;
    runtime.block_on(async {
        let streams = (0..count as u64).map(|id| async move {
            let mut client = FlightClient::connect_with_window(router.address, 128 * 1024).await.ok()?;
            let info = client.inner.execute(request(1, id + 1).statement(), None).await.ok()?;
            let ticket = info.endpoint[0].ticket.clone()?;
            let stream = tokio::time::timeout(Duration::from_secs(5), client.inner.do_get(ticket)).await;
            Some((stream.ok()?.ok()?, client))
        });
        let mut streams: Vec<_> = futures::future::join_all(streams).await.into_iter().flatten().collect();
        for _ in 0..3 {
            for (stream, _) in &mut streams {
                let _ = tokio::time::timeout(Duration::from_millis(100), stream.next()).await;
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        let (_, loaded_kb) = router.resource_usage();
        let kb_per_reader = (loaded_kb.saturating_sub(idle_kb)) as f64 / streams.len().max(1) as f64;
        table.add_row(["0".into(), "0".into(), idle_kb.to_string(), String::new()]);
        table.add_row([
            count.to_string(),
            streams.len().to_string(),
            loaded_kb.to_string(),
            format!("{kb_per_reader:.0}"),
        ]);
    });
    Ok(table)
}

fn measure_interrupted_results(args: &Args, runtime: &Runtime) -> Result<Table, String> {
    let mut table = Table::new();
    table.set_header(["results", "requested", "interrupted", "complete", "reported as interrupted", "other"]);
    for (name, flight_fields) in
        [("held, 6 batches of 1 KB", "held_bytes: 1000000"), ("forwarded", "held_bytes: 0")]
    {
        let cluster = start_cluster(true, 6, 1024);
        let router = start_router(args, &cluster, true, flight_fields)?;
        let mut rng = Rng::with_seed(args.seed);
        let (mut requested, mut complete, mut reported, mut other_outcomes) = (0, 0, 0, 0);
        runtime.block_on(async {
            let mut client =
                FlightClient::connect(router.address).await.map_err(|error| error.to_string())?;
            let deadline = Instant::now() + Duration::from_secs_f64(args.seconds);
            while Instant::now() < deadline {
                // One of the two replicas disconnects after a random number of batches.
                ["r-0", "r-1"].into_iter().for_each(|name| cluster.set_behavior(name, HostBehavior::Serve));
                let failing_host = ["r-0", "r-1"][rng.usize(0..2)];
                cluster.set_behavior(failing_host, HostBehavior::DisconnectAfterBatches(rng.usize(0..7)));
                requested += 1;
                match client.query(&request(0, requested).statement()).await {
                    Ok(batches) if batches.len() == 6 => complete += 1,
                    Err(FlightError::Tonic(status)) if status.code() == tonic::Code::Aborted => reported += 1,
                    _ => other_outcomes += 1,
                }
            }
            Ok::<_, String>(())
        })?;
        let sent: u64 = cluster.ledger().commands.values().sum();
        // Each additional send retries an interrupted result; forwarded results are reported instead of
        // retried.
        let interrupted = (sent - requested) + reported;
        table.add_row([
            name.to_string(),
            requested.to_string(),
            interrupted.to_string(),
            complete.to_string(),
            reported.to_string(),
            other_outcomes.to_string(),
        ]);
    }
    Ok(table)
}

fn compare_programs(args: &Args, runtime: &Runtime, programs: [&PathBuf; 2]) -> Result<Table, String> {
    let mut table = Table::new();
    table.set_header([
        "program",
        "rounds",
        "CPU time per op, first = 1",
        "idle memory, KB",
        "startup time, first = 1",
    ]);
    let ids = Arc::new(AtomicU64::new(1));
    let (mut total_ops, mut total_ticks, mut idle_kb, mut startup_seconds) =
        ([0; 2], [0; 2], [0; 2], [0.0; 2]);
    const ROUNDS: usize = 6;
    for round in 0..ROUNDS * 2 {
        // Alternates between the programs, in both orders.
        let index = (round % 2) ^ (round / 2 % 2);
        let cluster = start_cluster(false, 1, 0);
        let config = platform_config(&cluster, &OP_TYPES, 512);
        let started_at = Instant::now();
        let router = Process::start(programs[index], &config, None)?;
        startup_seconds[index] += started_at.elapsed().as_secs_f64();
        std::thread::sleep(Duration::from_millis(300));
        let (ticks_before, memory_kb) = router.resource_usage();
        let (served, _) =
            run_closed_loop::<Client>(runtime, router.address, 16, args.seconds / ROUNDS as f64, &ids);
        total_ops[index] += served;
        total_ticks[index] += router.resource_usage().0 - ticks_before;
        idle_kb[index] = memory_kb;
    }
    let ticks_per_op = |index: usize| total_ticks[index] as f64 / total_ops[index].max(1) as f64;
    for (index, name) in ["first", "second"].into_iter().enumerate() {
        table.add_row([
            name.into(),
            ROUNDS.to_string(),
            format!("{:.3}", ticks_per_op(index) / ticks_per_op(0)),
            idle_kb[index].to_string(),
            format!("{:.2}", startup_seconds[index] / startup_seconds[0]),
        ]);
    }
    Ok(table)
}

fn main() -> ExitCode {
    let args = Args::parse();
    let runtime = Runtime::new().expect("the runtime starts");
    let table = match args.measurement {
        Measurement::Small => measure_small_results(&args, &runtime),
        Measurement::Wide => measure_large_results(&args, &runtime),
        Measurement::Readers { count } => measure_slow_readers(&args, &runtime, count),
        Measurement::Cuts => measure_interrupted_results(&args, &runtime),
        Measurement::Core { ref old, ref new } => compare_programs(&args, &runtime, [old, new]),
    };
    match table {
        Ok(table) => {
            println!("{table}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
