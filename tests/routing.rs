//! Choice of hosts, freshness, failover, retries and load shedding of the decision module.

mod helpers;

use arrowyard_types::*;
use helpers::*;

#[test]
fn least_loaded_replica_is_chosen_and_ties_are_broken_at_random() {
    let mut harness = Harness::with_known_primary(settings(true, false, false));
    let mut firsts = Vec::new();
    for round in 0..30 {
        let ops = [0, 1, 2].map(|n| harness.request(10 + round * 3 + n, ANY, None));
        let hosts = ops.map(|op| harness.hosts_of(op)[0]);
        let mut sorted = hosts;
        sorted.sort_unstable();
        assert_eq!(sorted, [1, 2, 3], "at a least load of zero the load window holds only idle replicas");
        firsts.push(hosts[0]);
        harness.end_all_sends(Outcome::Acked);
    }
    assert!((1..=3).all(|host| firsts.contains(&host)));
}

#[test]
fn concurrent_reads_of_a_session_share_a_replica() {
    let mut harness = Harness::with_known_primary(settings(true, false, false));
    // One read at each replica puts all of them into the load window.
    for op in 10..13 {
        harness.request(op, ANY, None);
    }
    let first = harness.request(20, SESSION, Some(5));
    for op in 21..25 {
        let next = harness.request(op, SESSION, Some(5));
        assert_eq!(harness.hosts_of(next), harness.hosts_of(first));
    }
}

#[test]
fn bounded_read_needs_a_position_within_the_bound() {
    let mut harness = Harness::with_known_primary(settings(true, false, false));
    harness.advance(STALENESS_BOUND_MS + 1);
    let op = harness.request(10, BOUNDED, None);
    assert!(
        harness.hosts_of(op).is_empty() && harness.probes.len() == 1,
        "it waits for the probe of one replica"
    );
    let probed = harness.probes[0].0;
    harness.answer_probes(0);
    assert_eq!(harness.hosts_of(op), [probed]);
    harness.advance(STALENESS_BOUND_MS + 1);
    let op = harness.request(11, BOUNDED, None);
    harness.advance(50);
    assert_eq!(
        (harness.hosts_of(op), harness.probes.len()),
        (vec![0], 3),
        "the primary takes it if no replica answers its probe"
    );
}

#[test]
fn host_id_reused_for_another_address_resets_its_state() {
    let mut harness = Harness::with_known_primary(settings(true, false, false));
    harness.list_hosts(vec![entry(1, Availability::Gone, false, None)]);
    harness.list_hosts(vec![HostEntry { name_hash: 99, ..entry(1, Availability::Ready, false, None) }]);
    let hosts: Vec<_> = (10..30)
        .map(|op| {
            let op = harness.request(op, BOUNDED, None);
            let hosts = harness.hosts_of(op);
            harness.end_all_sends(Outcome::Acked);
            hosts
        })
        .collect();
    assert!(!hosts.concat().contains(&1), "the new host must not inherit the old one's position: {hosts:?}");
}

#[test]
fn misrouted_write_is_retried_at_the_new_primary() {
    let mut harness = Harness::with_known_primary(settings(true, false, false));
    harness.advance(20);
    let op = harness.request(10, NON_RETRYABLE, Some(1));
    harness.end_send(
        0,
        Outcome::Misrouted,
        HostStatus { role: Some(Role::Replica), ..HostStatus::default() },
    );
    harness.advance(10);
    assert_eq!(harness.hosts_of(op), [0], "it waits until a primary is known");
    harness.advance(300);
    assert_eq!(harness.probes.len(), 4, "all members are probed once");
    harness.answer_probes(2);
    harness.advance(10);
    assert_eq!(harness.hosts_of(op), [0, 2]);
}

#[test]
fn write_without_a_primary_tries_the_most_advanced_member_once() {
    let mut harness = Harness::with_known_primary(settings(true, false, false));
    harness.advance(50);
    let status =
        HostStatus { role: Some(Role::Replica), position: Some(harness.now), ..HostStatus::default() };
    harness.handle(RouterEvent::ProbeEnded { host: HostId(2), outcome: Outcome::Acked, status });
    harness.list_hosts(vec![entry(0, Availability::Gone, true, None)]);
    let op = harness.request(10, NON_RETRYABLE, Some(1));
    assert_eq!(harness.hosts_of(op), [2]);
    harness.end_send(0, Outcome::Misrouted, status);
    harness.advance(100);
    assert_eq!(harness.hosts_of(op), [2], "other known replicas are not tried");
}

#[test]
fn hanging_replica_does_not_look_idle() {
    let mut harness = Harness::with_known_primary(settings(true, false, false));
    // Host 1 never answers; the others answer at once.
    let mut sent = 0;
    for op in 0..200 {
        let op = harness.request(10 + op, ANY, None);
        sent += u32::from(harness.hosts_of(op) == [1]);
        while let Some(index) = harness.sends.iter().position(|send| send.host.0 != 1) {
            harness.end_send(index, Outcome::Acked, HostStatus::default());
        }
        harness.advance(10);
    }
    assert!(sent < 20, "{sent} of 200 reads went to a host that never answers");
}

#[test]
fn replica_that_fails_fast_is_ejected_and_recovers() {
    let mut harness = Harness::with_known_primary(settings(true, false, false));
    let mut share = |errors: bool, first: u64| {
        let mut sent = 0;
        for op in first..first + 150 {
            let op = harness.request(op, ANY, None);
            sent += u32::from(harness.hosts_of(op).contains(&1));
            while !harness.sends.is_empty() {
                let fails = errors && harness.sends[0].host.0 == 1;
                harness.end_send(
                    0,
                    if fails { Outcome::Errored } else { Outcome::Acked },
                    HostStatus::default(),
                );
            }
            harness.advance(10);
        }
        sent
    };
    assert!(share(true, 10) < 15);
    share(false, 1000);
    share(false, 1500);
    assert!(share(false, 2000) > 25);
}

#[test]
fn failure_of_all_replicas_ejects_none() {
    let mut harness = Harness::with_known_primary(settings(true, false, false));
    for op in 10..40 {
        harness.request(op, ANY, None);
    }
    harness.advance(1000);
    let ops: Vec<_> = (100..150).map(|op| harness.request(op, ANY, None)).collect();
    let sent = ops.into_iter().filter(|op| !harness.hosts_of(*op).is_empty()).count();
    assert!(sent > 0, "all replicas were ejected");
    assert!(sent < 25, "{sent} of 50 reads were sent to overloaded replicas");
}

#[test]
fn long_reads_go_to_the_replica_that_lags_most() {
    let mut settings = settings(true, false, false);
    settings
        .insert("op_type.0.latency_target".to_string(), SettingValue::TimeDelta(ms(LATENCY_TARGET_MS * 10)));
    let mut harness = Harness::with_known_primary(settings);
    let status = HostStatus {
        role: Some(Role::Replica),
        position: Some(harness.now - ms(2 * STALENESS_BOUND_MS)),
        ..HostStatus::default()
    };
    harness.advance(3 * STALENESS_BOUND_MS);
    harness.handle(RouterEvent::ProbeEnded { host: HostId(3), outcome: Outcome::Acked, status });
    for op in 10..13 {
        let op = harness.request(op, ANY, None);
        assert_eq!(harness.hosts_of(op), [3]);
    }
}

#[test]
fn cold_replica_gets_its_share_of_the_load_of_warm_ones() {
    let mut harness = Harness::with_known_primary(settings(true, false, false));
    let mut sent = [0u32; 4];
    for op in 10..1010 {
        if op == 500 {
            harness.list_hosts(vec![entry(1, Availability::Ready, false, Some(harness.now))]);
            sent = [0; 4];
        }
        let op = harness.request(op, ANY, None);
        sent[harness.hosts_of(op)[0] as usize] += 1;
        harness.advance(3);
        harness.end_all_sends(Outcome::Acked);
    }
    assert!(sent[1] > 0 && f64::from(sent[1]) < 0.5 * f64::from(sent[2]), "{sent:?}");
}

#[test]
fn late_outcome_does_not_affect_an_op_at_a_reused_index() {
    let mut harness = Harness::with_known_primary(settings(true, false, false));
    let old = harness.request(10, ANY, None);
    harness.handle(RouterEvent::ClientCancelled { op: old });
    let new = harness.request(11, ANY, None);
    harness.end_send(0, Outcome::TimedOut, HostStatus::default());
    assert!(!harness.is_answered(new));
    harness.handle(RouterEvent::ClientCancelled { op: old });
    harness.end_send(0, Outcome::Acked, HostStatus::default());
    assert!(harness.is_answered(new) && harness.sends.is_empty());
}

#[test]
fn fresh_read_is_not_sent_to_members_of_unknown_role() {
    let mut harness = Harness::new(settings(true, false, false));
    harness.list_hosts((0..4).map(|host| entry(host, Availability::Ready, false, None)).collect());
    let (read, write) = (harness.request(10, FRESH, None), harness.request(11, DEDUPLICATED, Some(1)));
    for host in std::mem::take(&mut harness.probes) {
        harness.handle(RouterEvent::ProbeEnded {
            host,
            outcome: Outcome::ConnectFailed,
            status: HostStatus::default(),
        });
    }
    harness.advance(10);
    assert!(harness.hosts_of(read).is_empty(), "a replica that does not check reads might answer it");
    assert_eq!(harness.hosts_of(write).len(), 1, "only the primary runs a write");
}

#[test]
fn newest_role_wins_and_the_later_of_equal_times() {
    let mut harness = Harness::with_known_primary(settings(true, false, false));
    harness.advance(100);
    harness.request(10, FRESH, None);
    harness.request(11, FRESH, None);
    for role in [Role::Primary, Role::Replica] {
        harness.end_send(0, Outcome::Acked, HostStatus { role: Some(role), ..HostStatus::default() });
    }
    let old = HostStatus {
        role: Some(Role::Primary),
        position: Some(harness.now - ms(50)),
        ..HostStatus::default()
    };
    harness.handle(RouterEvent::ProbeEnded { host: HostId(0), outcome: Outcome::Acked, status: old });
    let op = harness.request(12, FRESH, None);
    assert!(harness.hosts_of(op).is_empty());
}

#[test]
fn writes_are_shed_while_replicas_lag_and_the_primary_is_full() {
    let mut harness = Harness::with_known_primary(settings(true, false, false));
    harness.advance(4000);
    let mut shed_writes = |lag_ms: i64, load: u64, first: u64| {
        harness.report_replicas(lag_ms);
        for step in 0..15 {
            harness.end_all_sends(Outcome::Acked);
            for op in 0..load {
                harness.request(first + step * load + op, DEDUPLICATED, None);
            }
            harness.advance(100);
        }
        let ops: Vec<_> =
            (first + 500..first + 550).map(|op| harness.request(op, DEDUPLICATED, Some(op))).collect();
        let shed = ops.into_iter().filter(|op| harness.is_answered(*op)).count();
        for _ in 0..20 {
            harness.end_all_sends(Outcome::Acked);
            harness.advance(100);
        }
        shed
    };
    assert_eq!(shed_writes(3000, 0, 1000), 0, "the primary has capacity for the reads");
    assert!(shed_writes(3000, 30, 2000) > 10);
    assert_eq!(shed_writes(0, 30, 3000), 0, "the replicas caught up");
}

#[test]
fn writes_are_not_shed_while_there_is_no_primary() {
    let mut harness = Harness::with_known_primary(settings(true, false, false));
    harness.list_hosts(vec![entry(0, Availability::Gone, true, None)]);
    harness.advance(3000);
    harness.report_replicas(3000);
    harness.advance(1500);
    let ops: Vec<_> = (100..150).map(|op| harness.request(op, DEDUPLICATED, Some(op))).collect();
    assert!(!ops.into_iter().any(|op| harness.is_answered(op)), "writes wait for the next primary");
}

#[test]
fn probes_for_a_missing_primary_are_rate_limited() {
    let mut harness = Harness::with_known_primary(settings(true, false, false));
    harness.list_hosts(vec![entry(0, Availability::Gone, true, None)]);
    harness.advance(1000);
    // Positions do not advance without a primary; host 2 is the most advanced.
    let stands = |host: HostId| Some(Timestamp::from_micros(1_001_000_000 + i64::from(host.0 == 2)));
    let mut probes = [0; 4];
    for step in 0..200 {
        if step % 20 == 0 {
            harness.request(100 + step, DEDUPLICATED, Some(step));
        }
        harness.end_all_sends(Outcome::Misrouted);
        harness.advance(10);
        for host in std::mem::take(&mut harness.probes) {
            probes[host.0 as usize] += 1;
            let status =
                HostStatus { role: Some(Role::Replica), position: stands(host), ..HostStatus::default() };
            harness.handle(RouterEvent::ProbeEnded { host, outcome: Outcome::Acked, status });
        }
    }
    assert!((7..=11).contains(&probes[2]), "{probes:?} in 2 s, which is eight connect timeouts");
    assert!(probes[0] == 0 && (1..=4).contains(&probes[1]) && (1..=4).contains(&probes[3]), "{probes:?}");
}

#[test]
fn reads_that_need_no_primary_send_no_probes() {
    let mut harness = Harness::with_known_primary(settings(true, false, false));
    harness.list_hosts(vec![entry(0, Availability::Gone, true, None)]);
    harness.advance(1000);
    for op in 100..120 {
        harness.request(op, ANY, None);
        harness.advance(50);
        harness.end_all_sends(Outcome::Acked);
    }
    assert_eq!(harness.probes, []);
}

#[test]
fn reads_make_unresponsive_hosts_be_probed_again() {
    let mut harness = Harness::with_known_primary(settings(true, false, false));
    for op in 100..130 {
        harness.request(op, ANY, None);
        harness.advance(OP_TIMEOUT_MS);
        harness.probes.clear();
    }
    for host in 0..4 {
        harness.handle(RouterEvent::ProbeEnded {
            host: HostId(host),
            outcome: Outcome::TimedOut,
            status: HostStatus::default(),
        });
    }
    harness.request(200, ANY, None);
    harness.advance(300);
    assert!(!harness.probes.is_empty(), "the read makes the router probe hosts");
    harness.answer_probes(0);
    let op = harness.request(201, ANY, None);
    assert!(!harness.hosts_of(op).is_empty());
}

#[test]
fn one_of_many_routers_spaces_its_sends_to_a_slow_primary() {
    let mut settings = settings(true, false, false);
    settings.insert("routers".to_string(), SettingValue::Number(400.0));
    let mut harness = Harness::with_known_primary(settings);
    for op in 10..13 {
        harness.request(op, DEDUPLICATED, Some(op));
        harness.advance(OP_TIMEOUT_MS);
        let status =
            HostStatus { role: Some(Role::Primary), position: Some(harness.now), ..HostStatus::default() };
        harness.handle(RouterEvent::ProbeEnded { host: HostId(0), outcome: Outcome::Acked, status });
    }
    let op = harness.request(20, DEDUPLICATED, Some(20));
    harness.advance(100);
    assert!(harness.hosts_of(op).is_empty());
}

#[test]
fn retries_of_an_op_back_off() {
    let mut harness = Harness::with_known_primary(settings(true, false, false));
    let op = harness.request(10, ANY, None);
    for _ in 0..10 {
        harness.end_all_sends(Outcome::Errored);
        harness.advance(5);
    }
    assert!((2..=4).contains(&harness.hosts_of(op).len()), "{:?}", harness.hosts_of(op));
}

#[test]
fn probe_result_of_one_router_spares_probes_of_others() {
    let mut settings = settings(true, false, false);
    settings.insert("peers".to_string(), SettingValue::Flag(true));
    let (mut harness, mut other) =
        (Harness::with_known_primary(settings.clone()), Harness::with_known_primary(settings));
    for harness in [&mut harness, &mut other] {
        harness.advance(2 * STALENESS_BOUND_MS);
    }
    harness.request(10, BOUNDED, None);
    let probed = harness.probes[0].0;
    harness.answer_probes(0);
    let mut messages = harness.trace.iter().filter_map(|(_, event)| match event {
        Ok(Action::SendPeerMessage { to: None, bytes }) => Some(bytes.clone()),
        _ => None,
    });
    let bytes = messages.next_back().expect("a peer message");
    for cut in [&bytes[..8], &[], &[&bytes[..], &[0]].concat()] {
        other.handle(RouterEvent::PeerMessage { from: PeerId(1), bytes: cut.to_vec() });
        let op = other.request(20 + cut.len() as u64, BOUNDED, None);
        assert!(other.hosts_of(op).is_empty(), "a malformed message is ignored");
    }
    other.handle(RouterEvent::PeerMessage { from: PeerId(1), bytes });
    let op = other.request(10, BOUNDED, None);
    assert_eq!((other.hosts_of(op), other.probes.len()), (vec![probed], 1));
}

#[test]
fn list_without_a_known_start_does_not_make_a_host_warm() {
    let mut harness = Harness::with_known_primary(settings(true, false, false));
    harness.list_hosts(vec![entry(1, Availability::Ready, false, Some(harness.now))]);
    harness.list_hosts(vec![entry(1, Availability::Ready, false, None)]);
    let ops = (10..40).map(|op| harness.request(op, ANY, None)).collect::<Vec<_>>();
    assert!(ops.into_iter().all(|op| harness.hosts_of(op) != [1]));
}

#[test]
fn unanswered_send_stays_in_the_load_for_a_while() {
    let mut harness = Harness::with_known_primary(settings(true, false, false));
    // One read at each replica; only host 1 does not answer.
    for op in 10..13 {
        harness.request(op, ANY, None);
    }
    while let Some(index) = harness.sends.iter().position(|send| send.host.0 != 1) {
        harness.end_send(index, Outcome::Acked, HostStatus::default());
    }
    harness.advance(OP_TIMEOUT_MS + 1);
    assert!(harness.sends.is_empty());
    let hosts: Vec<_> = (20..50)
        .flat_map(|op| {
            let op = harness.request(op, ANY, None);
            harness.end_all_sends(Outcome::Acked);
            harness.hosts_of(op)
        })
        .collect();
    assert!(
        hosts.len() == 30 && !hosts.contains(&1),
        "one lost send does not eject the host but adds to its load: {hosts:?}"
    );
}

#[test]
fn restarted_primary_is_a_replica_whatever_the_list_says() {
    let mut harness = Harness::with_known_primary(settings(true, false, false));
    harness.advance(50);
    let status =
        HostStatus { role: Some(Role::Replica), position: Some(harness.now), ..HostStatus::default() };
    harness.handle(RouterEvent::ProbeEnded { host: HostId(2), outcome: Outcome::Acked, status });
    harness.list_hosts(vec![entry(0, Availability::Ready, true, Some(harness.now))]);
    let op = harness.request(10, NON_RETRYABLE, Some(1));
    assert_eq!(harness.hosts_of(op), [2], "the most advanced member is the likely next primary");
}

#[test]
fn primary_only_member_takes_writes_and_no_replica_reads() {
    let mut harness = Harness::with_known_primary(settings(true, false, false));
    // A further group of hosts 0, 1 and 3, in which 0, the primary, and 3 are primary-only members.
    let entry_of = |host, primary_only| {
        let parts = [GroupId(0), GroupId(9)]
            .map(|group| GroupMembership { group, primary_only: primary_only && group == GroupId(9) });
        HostEntry {
            memberships: parts.as_slice().into(),
            ..entry(host, Availability::Ready, host == 0, None)
        }
    };
    harness.list_hosts(vec![entry_of(0, true), entry_of(1, false), entry_of(3, true)]);
    let request = |harness: &mut Harness, op: u64, op_type: u32| {
        let (op, deadline) = (OpId(op), harness.now + ms(OP_TIMEOUT_MS));
        let group = GroupId(9);
        harness.handle(RouterEvent::OpRequested(OpRequest {
            op,
            op_type: OpTypeId(op_type),
            group,
            deadline,
            ..OpRequest::default()
        }));
        harness.answer_probes(0);
        harness.advance(5);
        op
    };
    for op in 0..40 {
        let read = request(&mut harness, 10 + op, ANY);
        assert_eq!(harness.hosts_of(read), [1]);
        harness.end_all_sends(Outcome::Acked);
    }
    let write = request(&mut harness, 100, NON_RETRYABLE);
    assert_eq!(harness.hosts_of(write), [0]);
    harness.end_all_sends(Outcome::Acked);
    // A primary-only member that is promoted takes writes.
    harness.advance(50);
    let status =
        HostStatus { role: Some(Role::Primary), position: Some(harness.now), ..HostStatus::default() };
    harness.handle(RouterEvent::ProbeEnded { host: HostId(3), outcome: Outcome::Acked, status });
    let write = request(&mut harness, 101, NON_RETRYABLE);
    assert_eq!(harness.hosts_of(write), [3]);
    // A host that left the group gets none of its ops.
    harness.end_all_sends(Outcome::Acked);
    harness.list_hosts(vec![entry(1, Availability::Ready, false, None)]);
    let read = request(&mut harness, 102, ANY);
    assert!(!harness.hosts_of(read).contains(&1));
}

#[test]
fn min_position_of_a_read_holds_for_every_op_type() {
    for op_type in [ANY, BOUNDED, SESSION] {
        let mut harness = Harness::with_known_primary(settings(true, false, false));
        let status = HostStatus {
            role: Some(Role::Replica),
            position: Some(harness.now + ms(500)),
            ..HostStatus::default()
        };
        harness.handle(RouterEvent::ProbeEnded { host: HostId(3), outcome: Outcome::Acked, status });
        let (op, deadline) = (OpId(10), harness.now + ms(OP_TIMEOUT_MS));
        let min_position = Some(harness.now + ms(400));
        harness.handle(RouterEvent::OpRequested(OpRequest {
            op,
            op_type: OpTypeId(op_type),
            deadline,
            min_position,
            ..OpRequest::default()
        }));
        assert_eq!(harness.hosts_of(op), [3], "{op_type}");
    }
}

#[test]
fn retries_end_with_the_budget_of_their_cell() {
    let tries = |ops: &[u32]| {
        let mut harness = Harness::with_known_primary(settings(true, false, false));
        for (cell, sends) in [(1, Some(1)), (2, Some(5)), (3, None)] {
            harness.handle(RouterEvent::RetryBudget { cell: CellId(cell), retries: sends });
        }
        let mut sends = Vec::new();
        for (op, &cell) in (10..).map(OpId).zip(ops) {
            let (cell, deadline) = (CellId(cell), harness.now + ms(OP_TIMEOUT_MS));
            harness.handle(RouterEvent::OpRequested(OpRequest {
                op,
                op_type: OpTypeId(ANY),
                cell,
                deadline,
                ..OpRequest::default()
            }));
            for _ in 0..200 {
                harness.end_all_sends(Outcome::ConnectFailed);
                harness.advance(1);
            }
            assert!(harness.is_answered(op));
            sends.push(harness.hosts_of(op).len());
        }
        sends
    };
    assert_eq!(tries(&[1, 1]), [2, 1], "one retry, and then none");
    let alone = tries(&[2])[0];
    assert!(alone > 2 && tries(&[3])[0] == alone, "{alone}");
}

#[test]
fn removal_closes_a_host_only_if_it_binds_or_follows_a_drain() {
    let mut settings = settings(true, false, false);
    for (binds, then) in [(true, false), (false, true)] {
        settings.insert("removal_not_binding".to_string(), SettingValue::Flag(!binds));
        let takes = |availabilities: &[Availability]| {
            let mut harness = Harness::with_known_primary(settings.clone());
            availabilities
                .iter()
                .for_each(|&availability| harness.list_hosts(vec![entry(1, availability, false, None)]));
            (10..60).any(|op| {
                let op = harness.request(op, ANY, None);
                let hosts = harness.hosts_of(op);
                harness.end_all_sends(Outcome::Acked);
                hosts.contains(&1)
            })
        };
        assert_eq!(takes(&[Availability::Gone]), then, "gone without a drain before");
        assert!(!takes(&[Availability::Draining]));
        assert!(!takes(&[Availability::Draining, Availability::Gone]), "it is still draining");
        assert!(takes(&[Availability::Draining, Availability::Ready]));
    }
}

#[test]
fn first_op_probes_members_only_if_the_list_names_no_primary() {
    let list =
        |primary: u32| (0..4).map(move |h| entry(h, Availability::Ready, h == primary, None)).collect();
    let mut harness = Harness::new(settings(true, false, false));
    harness.list_hosts(list(2));
    let op = harness.request(1, DEDUPLICATED, Some(1));
    assert_eq!((harness.hosts_of(op), harness.probes.len()), (vec![2], 0), "it goes to the listed primary");
    // The list is wrong: after a misrouted send another member is tried, and the new primary is found.
    let status = HostStatus { role: Some(Role::Replica), ..HostStatus::default() };
    harness.end_send(0, Outcome::Misrouted, status);
    assert_eq!(harness.hosts_of(op).len(), 2, "another member is tried");
    let next = harness.sends[0].host;
    harness.end_send(0, Outcome::Acked, HostStatus { role: Some(Role::Primary), ..HostStatus::default() });
    let op = harness.request(2, DEDUPLICATED, Some(1));
    assert_eq!((harness.hosts_of(op), harness.probes.len()), (vec![next.0], 0));
    // Without a listed primary all members are probed.
    let mut harness = Harness::new(settings(true, false, false));
    harness.list_hosts(list(9));
    harness.request(1, DEDUPLICATED, Some(1));
    assert_eq!((harness.sends.len(), harness.probes.len()), (0, 4));
}

#[test]
fn fast_primary_takes_bounded_reads_with_fewer_probes() {
    // Latency of the primary's last answer in milliseconds, and the number of probes for a bounded read.
    for (latency_ms, probed) in [(10, 0), (30, 1), (60, 3)] {
        let mut harness = Harness::with_known_primary(settings(true, false, false));
        harness.request(5, DEDUPLICATED, Some(1));
        harness.advance(latency_ms);
        let status = HostStatus { role: Some(Role::Primary), ..HostStatus::default() };
        harness.end_send(0, Outcome::Acked, status);
        harness.advance(STALENESS_BOUND_MS + 1);
        let op = harness.request(10, BOUNDED, None);
        for _ in 0..9 {
            harness.advance(5);
            // The replicas report no position.
            for host in std::mem::take(&mut harness.probes) {
                harness.handle(RouterEvent::ProbeEnded {
                    host,
                    outcome: Outcome::Acked,
                    status: HostStatus::default(),
                });
            }
        }
        let probes =
            harness.trace.iter().filter(|(_, event)| matches!(event, Ok(Action::Probe { .. }))).count();
        assert_eq!(
            (probes, harness.hosts_of(op)),
            (probed, vec![0]),
            "{latency_ms} ms of {LATENCY_TARGET_MS}"
        );
    }
}

#[test]
fn unsent_op_is_rejected_at_half_of_its_time() {
    let mut harness = Harness::with_known_primary(settings(true, false, false));
    harness.list_hosts((0..4).map(|host| entry(host, Availability::Gone, false, None)).collect());
    let op = harness.request(10, DEDUPLICATED, Some(1));
    harness.advance(OP_TIMEOUT_MS / 2 - 20);
    assert!(!harness.is_answered(op), "a primary may still be found");
    harness.advance(20);
    assert!(harness.is_answered(op), "its client has time to retry");
    let mut harness = Harness::with_known_primary(settings(true, false, false));
    let op = harness.request(10, DEDUPLICATED, Some(1));
    harness.end_send(
        0,
        Outcome::Misrouted,
        HostStatus { role: Some(Role::Replica), ..HostStatus::default() },
    );
    harness.advance(OP_TIMEOUT_MS - 20);
    assert!(!harness.is_answered(op));
    harness.advance(20);
    assert!(harness.is_answered(op));
}

#[test]
fn share_of_shed_reads_decays_without_answers() {
    let mut harness = Harness::with_known_primary(settings(true, false, false));
    for step in 0..30 {
        for op in 0..5 {
            harness.request(10 + step * 5 + op, ANY, None);
        }
        harness.advance(95);
        harness.end_all_sends(Outcome::Acked);
    }
    let shed_reads = |harness: &mut Harness, first: u64| {
        let ops: Vec<_> = (first..first + 20).map(|op| harness.request(op, ANY, None)).collect();
        ops.into_iter().filter(|op| harness.is_answered(*op)).count()
    };
    let shed = shed_reads(&mut harness, 1000);
    assert!(shed >= 5, "{shed} of 20 are shed under overload");
    harness.advance(10_000);
    assert!(shed_reads(&mut harness, 2000) < 3, "without an answer the share decays all the same");
}
