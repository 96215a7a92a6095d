//! The router's clock beside one of the machine that is set while the router runs.

use arrowyard_core::clock::Clock;
use arrowyard_types::TimeDelta;
use tokio::time::{Duration, Instant, advance};

#[tokio::test(start_paused = true)]
async fn a_machine_clock_set_forward_by_a_little_is_followed_and_never_back() {
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
