//! Measures how long the fleet takes to recover its throughput after a trigger has ended, with clients that
//! retry regardless of the replies they get.
//!
//!     cargo run --release -p arrowyard-fleet --example again

use arrowyard_fleet::{Event, FleetConfig, FleetSimulation};
use arrowyard_types::TimeDelta;

fn main() {
    let ms = TimeDelta::from_millis;
    println!(
        "| routers | a client comes again | trigger | in time when calm | borne again after s | worst second, sends an op |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for routers in [1, 30, 300] {
        for client_retries in [0, 1, 5] {
            for trigger in ["hosts crawl", "7 in 10 restart", "both"] {
                let mut simulation = FleetSimulation::new(FleetConfig {
                    routers,
                    client_retries,
                    client_retry_delay: ms(100),
                    ..FleetConfig::default()
                });
                simulation.run_for(ms(6000));
                simulation.take_counts();
                let counts = *simulation.run_for(ms(4000));
                let baseline = counts.acked_in_time as f64 / counts.requests as f64;
                if trigger != "7 in 10 restart" {
                    simulation.schedule_event(ms(0), Event::Slowdown(8.0));
                    simulation.schedule_event(ms(4000), Event::Slowdown(1.0));
                }
                if trigger != "hosts crawl" {
                    // Rounded up, so that a single router restarts, too.
                    simulation.schedule_event(ms(0), Event::RestartRouters((routers * 7).div_ceil(10)));
                }
                let trigger_ms = if trigger == "7 in 10 restart" { 0 } else { 4000 };
                let mut max_sends_per_request: f64 = 0.0;
                for _ in 0..trigger_ms / 1000 {
                    simulation.take_counts();
                    let counts = *simulation.run_for(ms(1000));
                    max_sends_per_request =
                        max_sends_per_request.max(counts.sends as f64 / counts.requests as f64);
                }
                // Recovered at the start of the first two seconds with at least 95 % of the baseline.
                let mut intervals: Vec<(f64, f64)> = Vec::new();
                let recovered_after = (0..120).find_map(|interval| {
                    simulation.take_counts();
                    let counts = *simulation.run_for(ms(500));
                    max_sends_per_request =
                        max_sends_per_request.max(counts.sends as f64 / counts.requests.max(1) as f64);
                    intervals.push((counts.acked_in_time as f64, counts.requests as f64));
                    let last = intervals.last_chunk::<4>()?;
                    let (acked_in_time, requests) = last
                        .iter()
                        .fold((0.0, 0.0), |total, interval| (total.0 + interval.0, total.1 + interval.1));
                    (acked_in_time >= requests * baseline * 0.95).then_some((interval - 3) as f64 * 0.5)
                });
                let recovered_after =
                    recovered_after.map_or("over 60".to_string(), |seconds| format!("{seconds:.1}"));
                println!(
                    "| {routers} | {client_retries} times | {trigger} | {baseline:.3} | {recovered_after} | {max_sends_per_request:.1} |"
                );
            }
        }
    }
}
