//! How long after a trigger is gone the load is borne again that was borne before, with clients that come again whatever
//! they are told.
//!
//!     cargo run --release -p arrowyard-fleet --example again

use arrowyard_fleet::{Event, Town, World};
use arrowyard_types::TimeDelta;

fn main() {
    let ms = TimeDelta::from_millis;
    println!(
        "| routers | a client comes again | trigger | in time when calm | borne again after s | worst second, sends an op |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for routers in [1, 30, 300] {
        for again in [0, 1, 5] {
            for trigger in ["hosts crawl", "7 in 10 restart", "both"] {
                let mut world = World::new(Town { routers, again, comes: ms(100), ..Town::default() });
                world.play(ms(6000));
                world.reset();
                let sums = *world.play(ms(4000));
                let calm = sums.acked as f64 / sums.asked as f64;
                if trigger != "7 in 10 restart" {
                    world.happens(ms(0), Event::Slower(8.0));
                    world.happens(ms(4000), Event::Slower(1.0));
                }
                if trigger != "hosts crawl" {
                    // One of one, too.
                    world.happens(ms(0), Event::Restart((routers * 7).div_ceil(10)));
                }
                let gone = if trigger == "7 in 10 restart" { 0 } else { 4000 };
                let mut most: f64 = 0.0;
                for _ in 0..gone / 1000 {
                    world.reset();
                    let sums = *world.play(ms(1000));
                    most = most.max(sums.sends as f64 / sums.asked as f64);
                }
                // The first two seconds over which 95 of 100 of the calm value are served; their begin counts.
                let mut slices: Vec<(f64, f64)> = Vec::new();
                let borne = (0..120).find_map(|slice| {
                    world.reset();
                    let sums = *world.play(ms(500));
                    most = most.max(sums.sends as f64 / sums.asked.max(1) as f64);
                    slices.push((sums.acked as f64, sums.asked as f64));
                    let last = slices.last_chunk::<4>()?;
                    let (acked, asked) =
                        last.iter().fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
                    (acked >= asked * calm * 0.95).then_some((slice - 3) as f64 * 0.5)
                });
                let borne = borne.map_or("over 60".to_string(), |after| format!("{after:.1}"));
                println!("| {routers} | {again} times | {trigger} | {calm:.3} | {borne} | {most:.1} |");
            }
        }
    }
}
