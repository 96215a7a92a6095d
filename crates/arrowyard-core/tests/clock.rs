//! The router's clock while the system clock is set.

use arrowyard_core::clock::Clock;
use arrowyard_types::TimeDelta;
use tokio::time::{Duration, Instant, advance};

#[tokio::test(start_paused = true)]
async fn small_forward_steps_of_the_system_clock_are_followed_and_backward_steps_are_not() {
    let clock = Clock::start();
    let (copy, begun) = (clock, clock.now());
    let (step, far) = (TimeDelta::from_millis(20), TimeDelta::from_millis(1_001));
    assert_eq!(
        clock.apply_forward_step(begun + TimeDelta::from_micros(400)),
        None,
        "two readings lie so far apart"
    );
    assert_eq!(clock.apply_forward_step(begun + step), Some(step));
    assert_eq!(copy.now(), begun + step, "copies show the same");
    assert_eq!(clock.apply_forward_step(begun), None, "it does not go back");
    assert_eq!(clock.apply_forward_step(begun + step + far), None, "so far is no correction");
    assert_eq!(clock.now(), begun + step);
    // The step is in a timer that is set after it.
    let point = begun + TimeDelta::from_millis(120);
    assert_eq!(clock.instant_at(point), Instant::now() + Duration::from_millis(100));
    advance(Duration::from_millis(100)).await;
    assert_eq!(clock.now(), point);
    assert_eq!(clock.instant_at(point), Instant::now());
}
