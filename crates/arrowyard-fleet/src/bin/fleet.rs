//! Prints the load that 1, 30 and 300 routers cause together for the same traffic.

use arrowyard_fleet::{Event, FleetConfig, FleetSimulation};
use arrowyard_types::TimeDelta;

fn main() {
    let ms = TimeDelta::from_millis;
    println!(
        "| day | routers | in time | busy | kept back | probes an op | dials an op | sends an op | cold, at most |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for scenario in ["calm", "switches", "replaced", "jam"] {
        for routers in [1, 30, 300] {
            let mut simulation = FleetSimulation::new(FleetConfig { routers, ..FleetConfig::default() });
            simulation.run_for(ms(4000));
            simulation.take_counts();
            match scenario {
                "switches" => (0..4).for_each(|group| {
                    simulation.schedule_event(ms(group * 1000), Event::PrimaryFailure(group as usize))
                }),
                "replaced" => (0..4).for_each(|group| {
                    simulation.schedule_event(ms(group * 500), Event::ReplaceHosts(group as usize))
                }),
                "jam" => [(0, 6.0), (3000, 1.0)].into_iter().for_each(|(after, factor)| {
                    simulation.schedule_event(ms(after), Event::Slowdown(factor))
                }),
                _ => {}
            }
            let counts = *simulation.run_for(ms(12_000));
            let per_request = |count: u64| count as f64 / counts.requests as f64;
            println!(
                "| {scenario} | {routers} | {:.3} | {:.3} | {:.3} | {:.2} | {:.2} | {:.2} | {:.2} |",
                per_request(counts.acked_in_time),
                per_request(counts.busy),
                per_request(counts.late_rejections),
                per_request(counts.probes),
                per_request(counts.connects),
                per_request(counts.sends),
                simulation.peak_warmup_load(ms(1500))
            );
        }
    }
}
