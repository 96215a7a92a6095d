//! Hosts that are no longer ready are announced several times, and their number is limited.

use arrowyard_core::hints::Hints;
use arrowyard_types::{TimeDelta, Timestamp};

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

#[test]
fn a_host_that_is_not_ready_is_announced_four_times_at_intervals() {
    let mut hints = Hints::new(TimeDelta::from_millis(400), TimeDelta::from_millis(1000));
    hints.host_not_ready(at(0), 7);
    let announced = |hints: &mut Hints, ms: i64| hints.take_announcements(at(ms)).to_vec();
    assert_eq!(announced(&mut hints, 0), [7], "immediately");
    assert!(announced(&mut hints, 399).is_empty());
    hints.host_not_ready(at(399), 9);
    assert_eq!(announced(&mut hints, 400), [7, 9]);
    assert_eq!(announced(&mut hints, 800), [7, 9]);
    assert_eq!(announced(&mut hints, 1_200), [7, 9]);
    assert_eq!(announced(&mut hints, 1_600), [9], "four times each");
    assert!(announced(&mut hints, 9_000).is_empty());
    (0..1000).for_each(|name_hash| hints.host_not_ready(at(9_000), name_hash));
    assert!(announced(&mut hints, 9_000).len() <= 64, "the number of announced hosts is limited");
}
