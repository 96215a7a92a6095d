//! A list of thousands before a real process. It stands by itself: its bound is in milliseconds of this machine, and tests
//! of whole fleets beside it would take the cores that it is measured by.

mod helpers;

use helpers::{alone, kept_rules, ms, ops_in, rig, said};

#[test]
fn while_a_list_of_thousands_comes_no_op_waits_for_it_and_what_it_closes_is_closed_at_once() {
    let rig = rig(alone(false));
    assert!(said(&rig, 0, "host is Ready", 5_000));
    let asked = ops_in(&rig, 0, ms(4_000), 160);
    std::thread::sleep(ms(500));
    rig.town.extras(3_000, 0, usize::MAX);
    std::thread::sleep(ms(20));
    // While the first list is worked off, the next one says that a host drains.
    rig.town.drain("r-1");
    let outcome = asked.join().expect("it was played");
    kept_rules(&rig, &outcome);
    // Late is no matter here: the machine may be busy with other tests.
    let stats = outcome.of_tenant("t");
    let acked = (stats.good + stats.late) as f64 / stats.sent as f64;
    assert!(acked > 0.9, "{acked} of {}", stats.sent);
    assert_eq!(rig.town.late("r-1"), 0, "commands after the grace");
}
