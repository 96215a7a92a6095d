//! Limits on a tenant's ops in flight at a host: respected, used in full, and no more ops wait than can be
//! served.

mod helpers;

use arrowyard_types::*;
use helpers::*;

const T: TenantId = TenantId(3);

fn harness_with_tenant_limits() -> Harness {
    let mut settings = settings(false, false, false);
    settings.insert("tenants_held".to_string(), SettingValue::Flag(true));
    settings.insert("held".to_string(), SettingValue::Number(0.24));
    Harness::with_known_primary(settings)
}

fn request_as(harness: &mut Harness, op: u64, op_type: u32, tenant: u32) -> OpId {
    let deadline = harness.now + ms(OP_TIMEOUT_MS);
    let tenant = Some(TenantId(tenant));
    harness.handle(RouterEvent::OpRequested(OpRequest {
        op: OpId(op),
        op_type: OpTypeId(op_type),
        tenant,
        deadline,
        ..OpRequest::default()
    }));
    OpId(op)
}

fn limit(harness: &mut Harness, host: u32, max_in_flight: Option<f64>) {
    harness.handle(RouterEvent::TenantLimit { host: HostId(host), tenant: T, max_in_flight });
}

fn in_flight_at(harness: &Harness, host: u32) -> usize {
    harness.sends.iter().filter(|sent| sent.host == HostId(host)).count()
}

#[test]
fn tenant_limit_applies_per_host_and_not_to_other_tenants() {
    let mut harness = harness_with_tenant_limits();
    (0..4).for_each(|host| limit(&mut harness, host, Some(2.0)));
    let ops: Vec<OpId> = (10..30).map(|op| request_as(&mut harness, op, ANY, 3)).collect();
    for host in 0..4 {
        assert!(in_flight_at(&harness, host) <= 3, "the limit of two, and one op on credit");
    }
    let sent = ops.iter().filter(|op| !harness.hosts_of(**op).is_empty()).count();
    assert!((8..=12).contains(&sent), "{sent}");
    let other = request_as(&mut harness, 40, ANY, 4);
    assert_eq!(harness.hosts_of(other).len(), 1, "the other tenant has no limit");
    // Freed quota is used at once, not at the next tick.
    let waiting =
        ops.iter().filter(|op| harness.hosts_of(**op).is_empty() && !harness.is_answered(**op)).count();
    let before = harness.sends.len();
    let index = harness.sends.iter().position(|sent| sent.host == HostId(1)).expect("a send to host 1");
    harness.end_send(index, Outcome::Acked, HostStatus::default());
    assert!(waiting == 0 || harness.sends.len() + 1 >= before, "{waiting} ops waited");
    // Without limits, waiting ops are sent.
    (0..4).for_each(|host| limit(&mut harness, host, None));
    let last = request_as(&mut harness, 50, ANY, 3);
    assert_eq!(harness.hosts_of(last).len(), 1);
}

#[test]
fn fractional_limit_is_reached_on_average_and_not_exceeded() {
    let mut harness = harness_with_tenant_limits();
    for host in 0..4 {
        limit(&mut harness, host, Some(if host == 1 { 0.25 } else { 0.0 }));
    }
    let (mut op, mut busy) = (100, 0);
    // Each op takes 8 ms; there is always one that waits.
    for _ in 0..4000 {
        let waits = harness.sends.is_empty();
        if waits {
            request_as(&mut harness, op, ANY, 3);
            op += 1;
        }
        harness.advance(1);
        busy += harness.sends.len();
        while let Some(index) = harness.sends.iter().position(|sent| harness.now - sent.sent_at >= ms(8)) {
            harness.end_send(index, Outcome::Acked, HostStatus::default());
        }
    }
    let mean = busy as f64 / 4000.0;
    assert!((0.2..=0.27).contains(&mean), "{mean} ops in flight on average");
}

#[test]
fn statement_of_a_transaction_ignores_the_limit_at_its_host() {
    let mut harness = harness_with_tenant_limits();
    limit(&mut harness, 0, Some(0.0));
    let deadline = harness.now + ms(OP_TIMEOUT_MS);
    let pinned_host = Some(HostId(0));
    let request = OpRequest {
        op: OpId(9),
        op_type: OpTypeId(NON_RETRYABLE),
        tenant: Some(T),
        pinned_host,
        deadline,
        ..OpRequest::default()
    };
    harness.handle(RouterEvent::OpRequested(request));
    assert_eq!(harness.hosts_of(OpId(9)), [0], "an open transaction is not limited");
    let fresh = request_as(&mut harness, 10, FRESH, 3);
    assert!(harness.hosts_of(fresh).is_empty());
}

#[test]
fn oldest_waiting_ops_are_rejected_when_more_wait_than_can_be_served() {
    let mut harness = harness_with_tenant_limits();
    // Ops take 20 ms: with a limit of one per host, at most 5 are served in the 24 ms that an op may wait.
    (0..4).for_each(|host| limit(&mut harness, host, Some(1.0)));
    for op in 10..30 {
        request_as(&mut harness, op, ANY, 3);
        harness.advance(20);
        harness.end_all_sends(Outcome::Acked);
    }
    let ops: Vec<OpId> = (100..160).map(|op| request_as(&mut harness, op, ANY, 3)).collect();
    let rejected = ops.iter().filter(|op| harness.is_answered(**op)).count();
    let waits =
        ops.iter().filter(|op| !harness.is_answered(**op) && harness.hosts_of(**op).is_empty()).count();
    assert!(rejected >= 40 && (1..=12).contains(&waits), "{rejected} are rejected, {waits} wait");
    assert!(!harness.is_answered(ops[59]), "the newest op waits");
    harness.advance(24);
    let late =
        ops.iter().filter(|op| !harness.is_answered(**op) && harness.hosts_of(**op).is_empty()).count();
    assert_eq!(late, 0, "no op waits for longer than allowed");
}
