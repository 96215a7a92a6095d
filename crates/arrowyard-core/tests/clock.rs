//! The router's clock when the system clock is set.

use arrowyard_core::clock::Clock;
use arrowyard_types::TimeDelta;
use tokio::time::{Duration, Instant, advance};

#[tokio::test(start_paused = true)]
async fn small_forward_steps_of_the_system_clock_are_followed_and_backward_steps_are_not() {
    let clock = Clock::start();
    let (copy, started_at) = (clock, clock.now());
    let (step, too_large_step) = (TimeDelta::from_millis(20), TimeDelta::from_millis(1_001));
    assert_eq!(
        clock.apply_forward_step(started_at + TimeDelta::from_micros(400)),
        None,
        "two readings of one clock may differ this much"
    );
    assert_eq!(clock.apply_forward_step(started_at + step), Some(step));
    assert_eq!(copy.now(), started_at + step, "copies show the same time");
    assert_eq!(clock.apply_forward_step(started_at), None, "the clock does not go back");
    assert_eq!(
        clock.apply_forward_step(started_at + step + too_large_step),
        None,
        "too large for a correction"
    );
    assert_eq!(clock.now(), started_at + step);
    // Timers set after the step include it.
    let deadline = started_at + TimeDelta::from_millis(120);
    assert_eq!(clock.instant_at(deadline), Instant::now() + Duration::from_millis(100));
    advance(Duration::from_millis(100)).await;
    assert_eq!(clock.now(), deadline);
    assert_eq!(clock.instant_at(deadline), Instant::now());
}
