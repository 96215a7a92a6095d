//! Compares a router with direct connections: latency of alternating reads, processor time per statement, and memory of
//! idle sessions. Runs the programs on loopback in front of emulated hosts.
//!
//!     cargo build --release -p arrowyard-system --bins && cargo run --release -p arrowyard-system --example beside -- 4000 3000

#[path = "../tests/helpers/mod.rs"]
#[allow(dead_code)]
mod helpers;

use std::fs;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use helpers::{Client, Fleet, start_controls};

/// Maximum number of idle sessions, below the descriptor limit of the router.
const MAX_SESSIONS: usize = 4_000;

/// Processor time of a process.
fn cpu_time(pid: u32) -> Duration {
    let text = fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
    let nanos = text.split_ascii_whitespace().next().and_then(|nanos| nanos.parse().ok());
    Duration::from_nanos(nanos.unwrap_or_default())
}

/// Resident memory of a process in kilobytes.
fn resident_kb(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_ascii_whitespace().next()?.parse().ok()).unwrap_or_default()
}

/// Records the latency of one read.
fn time_read(client: &mut Client, times: &mut Histogram<u64>) {
    let began = Instant::now();
    let answer = client.ask("READ t1");
    assert!(answer.iter().any(|line| line.starts_with("SETTLED")), "{answer:?}");
    times.saturating_record(began.elapsed().as_micros() as u64);
}

fn main() {
    let numbers: Vec<usize> = std::env::args().skip(1).filter_map(|number| number.parse().ok()).collect();
    let [reads, sessions] = numbers[..] else {
        eprintln!("beside READS SESSIONS: how many reads by each way, and how many sessions at rest");
        std::process::exit(2);
    };
    let fleet = Fleet::with_hosts(77, true);
    let _controls = start_controls(&fleet);
    let router = fleet.router();
    router.wait_for_log("Revision 3 is in force");
    let mut through = Client::open(fleet.front(), "b0");
    through.ask_until_served("READ t1");
    let host = std::net::SocketAddrV4::new([127, 9, fleet.net, 61].into(), fleet.ports[2]);
    let (mut direct, _) = Client::dial(host, "s0");
    let histogram = || Histogram::<u64>::new_with_max(10_000_000, 3).expect("three digits can be kept");
    let (mut by_router, mut by_host) = (histogram(), histogram());
    let (pid, mut cpu_spent) = (router.child.id(), Duration::ZERO);
    for _ in 0..reads {
        let before = cpu_time(pid);
        time_read(&mut through, &mut by_router);
        cpu_spent += cpu_time(pid).saturating_sub(before);
        time_read(&mut direct, &mut by_host);
    }
    let row = |name: &str, times: &Histogram<u64>| {
        let part = |share| times.value_at_quantile(share);
        println!("{name:>8}  p50 {:>6} us  p99 {:>6} us  most {:>6} us", part(0.5), part(0.99), times.max());
    };
    row("direct", &by_host);
    row("router", &by_router);
    println!(
        "a read takes the router {:.1} us of a core",
        cpu_spent.as_secs_f64() * 1e6 / reads.max(1) as f64
    );
    let before = resident_kb(pid);
    let idle: Vec<Client> =
        (0..sessions.min(MAX_SESSIONS)).map(|_| Client::open(fleet.front(), "b0")).collect();
    let more = resident_kb(pid).saturating_sub(before);
    println!(
        "{} sessions at rest take {more} KB, {:.2} KB each",
        idle.len(),
        more as f64 / idle.len().max(1) as f64
    );
}
