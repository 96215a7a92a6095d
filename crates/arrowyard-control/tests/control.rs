//! Tests of the host registry, the peer view, the duty election, announcements and disk health.

use arrowyard_control::{
    Announcements, AppliedState, DiskHealth, DutyElection, ForwardedList, HostRegistry, PeerView,
    parse_heartbeat,
};
use arrowyard_messages::{
    DbRole, Duty, Entry, EntryPayload, Host, KnownControl, Payload, Phase, Replacement, Replacements,
};
use arrowyard_types::Timestamp;
use fastrand::Rng;

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

fn host(id: &str, role: DbRole, phase: Phase, call_seq: u64) -> Host {
    let port = u32::from(id.as_bytes().last().copied().unwrap_or_default());
    let (role, phase) = (role.into(), phase.into());
    Host {
        id: id.into(),
        service: "s".into(),
        ip: 1,
        port,
        zone: "z".into(),
        capacity: 4,
        phase,
        role,
        call_seq,
    }
}

#[test]
fn registries_converge_in_any_order_of_reports() {
    for seed in 0..200 {
        let mut rng = Rng::with_seed(seed);
        let mut reports: Vec<Host> = (1..12)
            .map(|seq| {
                let role = if rng.bool() { DbRole::Primary } else { DbRole::Replica };
                let phase = [Phase::InService, Phase::InService, Phase::Draining][rng.usize(0..3)];
                host(["a", "b", "c"][rng.usize(0..3)], role, phase, seq)
            })
            .collect();
        if rng.bool() {
            reports.push(host("b", DbRole::Replica, Phase::Gone, 3));
        }
        let merged = |reports: &[Host]| {
            let mut registry = HostRegistry::default();
            reports.iter().for_each(|report| _ = registry.merge_report(at(0), report.clone()));
            (registry.digest(), registry.hosts().cloned().collect::<Vec<_>>())
        };
        let first = merged(&reports);
        rng.shuffle(&mut reports);
        let again = merged(&reports);
        assert_eq!(first.0, again.0, "seed {seed}");
        let phases = |hosts: &[Host]| {
            hosts.iter().map(|host| (host.id.clone(), host.phase, host.role)).collect::<Vec<_>>()
        };
        assert_eq!(phases(&first.1).len(), phases(&again.1).len());
    }
}

#[test]
fn a_stale_heartbeat_is_ignored_and_a_departed_host_stays_departed() {
    let mut registry = HostRegistry::default();
    assert!(registry.record_heartbeat(at(0), host("a", DbRole::Primary, Phase::InService, 5)));
    assert!(!registry.record_heartbeat(at(1), host("a", DbRole::Replica, Phase::InService, 4)));
    assert_eq!(registry.primary("s").map(|host| host.id.as_str()), Some("a"));
    // A lower sequence number is accepted after a long silence.
    assert!(registry.record_heartbeat(at(9000), host("a", DbRole::Replica, Phase::InService, 1)));
    assert!(registry.record_heartbeat(at(9001), host("a", DbRole::Replica, Phase::Gone, 2)));
    assert!(!registry.record_heartbeat(at(9002), host("a", DbRole::Primary, Phase::InService, 9)));
    assert_eq!(registry.members("s").count(), 0);
    registry.remove_expired(at(9_000_000));
    assert_eq!(registry.hosts().count(), 0);
}

/// Guards against a service that never gets a primary again (RECOVER): a crashed primary is back under a new id, and
/// the dead id passes for the primary after a restart or at a machine that is new, where all reports arrive at once.
#[test]
fn the_dead_id_of_a_primary_does_not_pass_for_the_live_one() {
    let mut registry = HostRegistry::default();
    registry.record_heartbeat(at(0), host("z-dead", DbRole::Primary, Phase::InService, 1));
    registry.record_heartbeat(at(5000), host("a-live", DbRole::Primary, Phase::InService, 1));
    let (mut restored, mut exchanged) = (HostRegistry::default(), HostRegistry::default());
    for host in registry.hosts_by_change() {
        restored.restore_host(at(0), host.clone(), "z");
        exchanged.merge_report(at(9000), host);
    }
    for registry in [&registry, &restored, &exchanged] {
        assert_eq!(registry.primary("s").map(|host| host.id.as_str()), Some("a-live"));
    }
}

#[test]
fn views_keep_live_machines_and_drop_failed_ones() {
    let (machines, mut rng) = (40_u32, Rng::with_seed(3));
    let mut views: Vec<PeerView> = (0..machines).map(|_| PeerView::default()).collect();
    for (me, view) in views.iter_mut().enumerate() {
        (1..4).for_each(|step| view.record_contact((me as u32 + step) % machines, "z"));
    }
    let gone = 7;
    for round in 0..200 {
        for me in (0..machines).filter(|&me| me != gone || round < 20) {
            let known: Vec<KnownControl> = views[me as usize]
                .machines()
                .filter(|known| known.ip != gone || round < 20)
                .cloned()
                .collect();
            if let Some(other) = rng.choice(known) {
                let (mine, theirs) =
                    (views[me as usize].sample(&mut rng), views[other.ip as usize].sample(&mut rng));
                views[other.ip as usize].merge(&mine, other.ip);
                views[other.ip as usize].record_contact(me, "z");
                views[me as usize].merge(&theirs, me);
                views[me as usize].record_contact(other.ip, "z");
            }
            views[me as usize].increment_ages();
        }
    }
    for (me, view) in views.iter().enumerate().filter(|(me, _)| *me != gone as usize) {
        assert!(view.machines().count() >= 6, "{me} knows only {}", view.machines().count());
        assert!(view.machines().all(|known| known.ip != gone), "{me} still knows the failed machine");
    }
}

#[test]
fn a_duty_is_contested_once_its_holder_is_silent_or_has_restarted() {
    let (mut applied, mut rng) = (AppliedState::default(), Rng::with_seed(1));
    let mut election = DutyElection::new("promote", 1, 11, "one", at(0));
    let first = (0..400)
        .find_map(|ms| election.poll_candidacy(at(ms), &applied, &mut rng))
        .expect("the duty is vacant at first");
    applied.apply(&first);
    assert_eq!(election.held_fence(&applied), Some(1));
    let other = Duty { duty: "promote".into(), holder: 2, incarnation: 22, node: "two".into(), fence: 1 };
    applied.apply(&Entry { payload: Some(EntryPayload::Duty(other)) });
    assert_eq!(election.held_fence(&applied), None);
    assert!((500..4000).all(|ms| {
        election.record_contact(at(ms), 2, 22, &applied);
        election.poll_candidacy(at(ms), &applied, &mut rng).is_none()
    }));
    // The holder restarted: its earlier incarnation no longer holds the duty.
    let again = (4000..9000).find_map(|ms| {
        election.record_contact(at(ms), 2, 23, &applied);
        election.poll_candidacy(at(ms), &applied, &mut rng)
    });
    assert!(matches!(
        again.and_then(|entry| entry.payload),
        Some(EntryPayload::Duty(Duty { holder: 1, fence: 2, .. }))
    ));
}

/// A broken link between two machines does not make the duty vacant while peers hear the holder; a
/// restart does.
#[test]
fn a_holder_that_peers_hear_keeps_its_duty_unless_it_has_restarted() {
    let (mut applied, mut rng) = (AppliedState::default(), Rng::with_seed(1));
    let duty = Duty { duty: "promote".into(), holder: 2, incarnation: 22, node: "two".into(), fence: 0 };
    applied.apply(&Entry { payload: Some(EntryPayload::Duty(duty)) });
    let mut vacant_at = |incarnation: Option<u64>| {
        let mut election = DutyElection::new("promote", 1, 11, "one", at(0));
        (0..9000).step_by(500).find(|ms| {
            election.record_indirect_contact(at(*ms - 1250), &[2, 3], |_| incarnation, &applied);
            election.poll_candidacy(at(*ms), &applied, &mut rng).is_some()
        })
    };
    assert_eq!(vacant_at(Some(22)), None);
    assert_eq!(vacant_at(None), None, "its incarnation is unknown here");
    assert!(vacant_at(Some(23)).is_some_and(|ms| (2000..=2500).contains(&ms)));
}

#[test]
fn routers_confirm_the_lists_that_contain_a_planned_replacement() {
    let change = |service: &str, candidate: &str| Replacement {
        service: service.into(),
        candidate: candidate.into(),
        term: 4,
    };
    let mut announcements = Announcements::default();
    assert_eq!(announcements.confirmations("s"), None);
    announcements.lists_changed(&[change("s", "b")]);
    announcements.router_confirmed(7, 1);
    announcements.router_confirmed(7, 1);
    assert_eq!(announcements.confirmations("s"), Some(1), "a router counts once");
    // A list that adds another service still contains this one.
    announcements.lists_changed(&[change("s", "b"), change("t", "e")]);
    assert_eq!((announcements.confirmations("s"), announcements.confirmations("t")), (Some(1), Some(0)));
    announcements.router_confirmed(8, 2);
    assert_eq!((announcements.confirmations("s"), announcements.confirmations("t")), (Some(2), Some(1)));
    // Another candidate has to be confirmed anew; a late confirmation of an earlier list does not count.
    announcements.lists_changed(&[change("s", "c")]);
    announcements.router_confirmed(8, 2);
    assert_eq!(announcements.confirmations("s"), Some(0));
    announcements.lists_changed(&[]);
    assert_eq!(announcements.confirmations("s"), None);
}

/// Guards against commits that are checked at a host that is gone: a control machine missed the end of a replacement,
/// and a router subscribes later.
#[test]
fn a_router_that_subscribes_receives_only_a_recent_list_of_replacements() {
    let mut forwarded = ForwardedList::default();
    assert_eq!(forwarded.for_subscriber(at(0)), None);
    let list = Payload::Replacements(Replacements { fence: 1, number: 1, ..Replacements::default() });
    forwarded.record(at(1000), list.clone());
    assert_eq!(forwarded.for_subscriber(at(1999)), Some(&list));
    assert_eq!(forwarded.for_subscriber(at(2000)), None);
}

/// Guards against statements that no client sent (UNASKED): a line break in the name of a service or the id of a host
/// ends the line in which control sends it to a host.
#[test]
fn a_heartbeat_whose_names_are_no_words_is_refused() {
    let body = |service: &str| {
        format!(r#"{{"service":"{service}","address":"10.0.0.9:80","db-role":"primary","call-seq":4}}"#)
    };
    let accepted = parse_heartbeat("i-1", body("s").as_bytes());
    assert!(accepted.is_ok_and(|host| host.service == "s" && host.role() == DbRole::Primary));
    for service in ["", "s x", r"s\r\nQUERY - WRITE t x", r"s\u0000"] {
        assert_eq!(
            parse_heartbeat("i-1", body(service).as_bytes()),
            Err("service: is no word."),
            "{service}"
        );
    }
    for id in ["", "i 1", "i\r\nCLOSE", "i\u{85}"] {
        assert_eq!(parse_heartbeat(id, body("s").as_bytes()), Err("id: is no word."), "{id:?}");
    }
}

#[test]
fn a_failing_or_hanging_disk_is_unhealthy_until_it_accepts_writes() {
    let mut disk = DiskHealth::default();
    assert!(disk.is_healthy(at(0)));
    disk.write_started(at(0), 1);
    disk.write_started(at(500), 2);
    assert!(disk.is_healthy(at(799)));
    assert!(!disk.is_healthy(at(800)), "the first write hangs");
    disk.write_completed(1);
    assert!(disk.is_healthy(at(900)));
    disk.set_working(false);
    disk.write_completed(2);
    assert!(!disk.is_healthy(at(901)), "writes fail");
    disk.set_working(true);
    assert!(disk.is_healthy(at(902)));
}
