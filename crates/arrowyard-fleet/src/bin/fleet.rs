//! Prints what a fleet's routers cost together, for 1, 30 and 300 of them over the same traffic.

use arrowyard_fleet::{Event, Town, World};
use arrowyard_types::TimeDelta;

fn main() {
    let ms = TimeDelta::from_millis;
    println!(
        "| day | routers | in time | busy | kept back | probes an op | dials an op | sends an op | cold, at most |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for day in ["calm", "switches", "replaced", "jam"] {
        for routers in [1, 30, 300] {
            let mut world = World::new(Town { routers, ..Town::default() });
            world.play(ms(4000));
            world.reset();
            match day {
                "switches" => {
                    (0..4).for_each(|n| world.happens(ms(n * 1000), Event::LosePrimary(n as usize)))
                }
                "replaced" => (0..4).for_each(|n| world.happens(ms(n * 500), Event::Replace(n as usize))),
                "jam" => [(0, 6.0), (3000, 1.0)]
                    .into_iter()
                    .for_each(|(after, times)| world.happens(ms(after), Event::Slower(times))),
                _ => {}
            }
            let sums = *world.play(ms(12_000));
            let of = |part: u64| part as f64 / sums.asked as f64;
            println!(
                "| {day} | {routers} | {:.3} | {:.3} | {:.3} | {:.2} | {:.2} | {:.2} | {:.2} |",
                of(sums.acked),
                of(sums.busy),
                of(sums.kept_back),
                of(sums.probes),
                of(sums.dials),
                of(sums.sends),
                world.pushed(ms(1500))
            );
        }
    }
}
