//! Hosts that are divided between tenants: the module chooses within the part, uses all of it, and lets no more wait than
//! will have a place in time.

mod helpers;

use arrowyard_types::*;
use helpers::*;

const T: TenantId = TenantId(3);

fn divided() -> World {
    let mut charter = charter(false, false, false);
    charter.insert("tenants_held".to_string(), SettingValue::Flag(true));
    charter.insert("held".to_string(), SettingValue::Number(0.24));
    World::settled(charter)
}

fn ask_as(world: &mut World, op: u64, op_type: u32, tenant: u32) -> OpId {
    let due = world.now + ms(TIMEOUT);
    let tenant = Some(TenantId(tenant));
    world.feed(RouterEvent::OpRequested(OpRequest {
        op: OpId(op),
        op_type: OpTypeId(op_type),
        tenant,
        deadline: due,
        ..OpRequest::default()
    }));
    OpId(op)
}

fn hold(world: &mut World, host: u32, most: Option<f64>) {
    world.feed(RouterEvent::TenantLimit { host: HostId(host), tenant: T, max_in_flight: most });
}

fn out(world: &World, host: u32) -> usize {
    world.sends.iter().filter(|sent| sent.host == HostId(host)).count()
}

#[test]
fn a_tenant_has_its_part_of_each_host_and_others_go_free() {
    let mut world = divided();
    (0..4).for_each(|host| hold(&mut world, host, Some(2.0)));
    let ops: Vec<OpId> = (10..30).map(|op| ask_as(&mut world, op, ANY, 3)).collect();
    for host in 0..4 {
        assert!(out(&world, host) <= 3, "two, and one out of what was saved up");
    }
    let sent = ops.iter().filter(|op| !world.hosts_of(**op).is_empty()).count();
    assert!((8..=12).contains(&sent), "{sent}");
    let other = ask_as(&mut world, 40, ANY, 4);
    assert_eq!(world.hosts_of(other).len(), 1, "nobody holds the other tenant");
    // A place that is free is taken at once, not with the next tick.
    let waiting = ops.iter().filter(|op| world.hosts_of(**op).is_empty() && !world.answered(**op)).count();
    let before = world.sends.len();
    let place = world.sends.iter().position(|sent| sent.host == HostId(1)).expect("one is there");
    world.end(place, Outcome::Acked, HostStatus::default());
    assert!(waiting == 0 || world.sends.len() + 1 >= before, "{waiting} waited");
    // Free again: all that still wait go out.
    (0..4).for_each(|host| hold(&mut world, host, None));
    let last = ask_as(&mut world, 50, ANY, 3);
    assert_eq!(world.hosts_of(last).len(), 1);
}

#[test]
fn a_part_of_one_is_used_to_the_full_over_time_and_not_beyond() {
    let mut world = divided();
    for host in 0..4 {
        hold(&mut world, host, Some(if host == 1 { 0.25 } else { 0.0 }));
    }
    let (mut op, mut busy) = (100, 0);
    // Each op is out for 8 ms; there is always one that waits.
    for _ in 0..4000 {
        let waits = world.sends.is_empty();
        if waits {
            ask_as(&mut world, op, ANY, 3);
            op += 1;
        }
        world.wait(1);
        busy += world.sends.len();
        while let Some(place) = world.sends.iter().position(|sent| world.now - sent.at >= ms(8)) {
            world.end(place, Outcome::Acked, HostStatus::default());
        }
    }
    let part = busy as f64 / 4000.0;
    assert!((0.2..=0.27).contains(&part), "{part} of one on average");
}

#[test]
fn what_is_part_of_a_transaction_goes_where_its_transaction_is() {
    let mut world = divided();
    hold(&mut world, 0, Some(0.0));
    let due = world.now + ms(TIMEOUT);
    let pinned = Some(HostId(0));
    let ask = OpRequest {
        op: OpId(9),
        op_type: OpTypeId(NON_RETRYABLE),
        tenant: Some(T),
        pinned_host: pinned,
        deadline: due,
        ..OpRequest::default()
    };
    world.feed(RouterEvent::OpRequested(ask));
    assert_eq!(world.hosts_of(OpId(9)), [0], "whoever holds a connection there is not held up");
    let fresh = ask_as(&mut world, 10, FRESH, 3);
    assert!(world.hosts_of(fresh).is_empty());
}

#[test]
fn no_more_wait_than_will_have_a_place_and_the_oldest_is_told_at_once() {
    let mut world = divided();
    // Ops are out for 20 ms; a part of one at each host serves at most 5 in the 24 ms that any may wait.
    (0..4).for_each(|host| hold(&mut world, host, Some(1.0)));
    for op in 10..30 {
        ask_as(&mut world, op, ANY, 3);
        world.wait(20);
        world.end_all(Outcome::Acked);
    }
    let ops: Vec<OpId> = (100..160).map(|op| ask_as(&mut world, op, ANY, 3)).collect();
    let told = ops.iter().filter(|op| world.answered(**op)).count();
    let waits = ops.iter().filter(|op| !world.answered(**op) && world.hosts_of(**op).is_empty()).count();
    assert!(told >= 40 && (1..=12).contains(&waits), "{told} are told to come back, {waits} wait");
    assert!(!world.answered(ops[59]), "the newest waits");
    world.wait(24);
    let late = ops.iter().filter(|op| !world.answered(**op) && world.hosts_of(**op).is_empty()).count();
    assert_eq!(late, 0, "nobody waits for longer than a client can still ask elsewhere");
}
