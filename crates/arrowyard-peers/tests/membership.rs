//! Membership of one router and of small simulated fleets: dropped datagrams, precedence of rumors,
//! suspicion, and local health.

use std::net::SocketAddr;

use arrowyard_peers::message::{Claim, Datagram, FORMAT_VERSION, Kind, Rumor, encode, hash_name};
use arrowyard_peers::{Action, Event, LocalMember, Membership, MembershipConfig, Standing};
use arrowyard_types::{TimeDelta, Timestamp};
use prost::Message;

fn ms(millis: i64) -> TimeDelta {
    TimeDelta::from_millis(millis)
}

const BEGIN: Timestamp = Timestamp::from_micros(1_000_000_000_000);

fn at(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], 7000 + number).into()
}

fn fleet(number: u16, incarnation: u64, nonce: u64) -> Membership {
    let config = MembershipConfig {
        fleet: "f".to_string(),
        seeds: vec![at(0), at(1)],
        allowed_networks: vec!["127.0.0.0/8".parse().expect("a valid prefix")],
        ..MembershipConfig::default()
    };
    let local = LocalMember { name: format!("n{number}").into(), address: at(number), incarnation, nonce };
    Membership::new(BEGIN, config, local, 3.0, u64::from(number) + 1)
}

/// A datagram as another member sends it.
fn from(number: u16, incarnation: u64, kind: Kind) -> Datagram {
    Datagram {
        version: FORMAT_VERSION,
        min_version: 1,
        fleet_hash: hash_name("f"),
        from: format!("n{number}"),
        incarnation,
        nonce: u64::from(number) + 100,
        address: at(number).to_string(),
        kind: kind as i32,
        sent_us: 1,
        ..Datagram::default()
    }
}

fn rumor(number: u16, incarnation: u64, claim: Claim, reporters: &[&str]) -> Rumor {
    Rumor {
        name: format!("n{number}"),
        incarnation,
        claim: claim as i32,
        address: at(number).to_string(),
        nonce: u64::from(number) + 100,
        reporters: reporters.iter().map(ToString::to_string).collect(),
        ..Rumor::default()
    }
}

/// A simulated fleet that delivers each datagram at once; datagrams to addresses outside of it are lost.
struct SimulatedFleet {
    now: Timestamp,
    members: Vec<Membership>,
    /// Which members take part; the others neither send nor receive.
    running: Vec<bool>,
    /// Whether the machine of a stopped member refuses datagrams.
    refuses_datagrams: bool,
    largest_datagram: usize,
}

impl SimulatedFleet {
    fn new(count: u16) -> SimulatedFleet {
        let members = (0..count).map(|number| fleet(number, 1000, u64::from(number) + 100)).collect();
        SimulatedFleet {
            now: BEGIN,
            members,
            running: vec![true; usize::from(count)],
            refuses_datagrams: true,
            largest_datagram: 0,
        }
    }

    fn index_of(to: SocketAddr) -> usize {
        usize::from(to.port().wrapping_sub(7000))
    }

    fn run(&mut self, duration: TimeDelta) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + ms(10);
            for index in 0..self.members.len() {
                if self.running[index] && self.members[index].next_deadline() <= self.now {
                    self.members[index].tick(self.now);
                }
            }
            for _ in 0..4 {
                for index in 0..self.members.len() {
                    let actions = std::mem::take(&mut self.members[index].actions);
                    for action in actions.into_iter().filter(|_| self.running[index]) {
                        match action {
                            Action::Send { to, bytes } => {
                                self.largest_datagram = self.largest_datagram.max(bytes.len());
                                let target_index = SimulatedFleet::index_of(to);
                                if self.running.get(target_index) == Some(&true) {
                                    self.members[target_index].receive(self.now, at(index as u16), &bytes);
                                }
                            }
                            Action::CheckPort { to, name, incarnation, .. } => {
                                if self.refuses_datagrams
                                    && self.running.get(SimulatedFleet::index_of(to)) == Some(&false)
                                {
                                    self.members[index].port_refused(&name, incarnation);
                                }
                            }
                        }
                    }
                }
            }
        }
    }

    fn with_all_joined(count: u16) -> SimulatedFleet {
        let mut sim = SimulatedFleet::new(count);
        sim.run(ms(6000));
        for member in &sim.members {
            assert_eq!(
                member.alive_count() + 1,
                usize::from(count),
                "{} does not know all members",
                member.local().name
            );
        }
        sim.members.iter_mut().for_each(|member| member.events.clear());
        sim
    }
}

#[test]
fn invalid_datagrams_are_counted_and_leave_no_state() {
    let mut member = fleet(0, 1000, 7);
    let good = encode(&from(1, 5, Kind::Ping));
    let receive =
        |member: &mut Membership, datagram: &Datagram| member.receive(BEGIN, at(1), &encode(datagram));
    for cut in 0..good.len() {
        member.receive(BEGIN, at(1), &good[..cut]);
    }
    assert_eq!(member.counts.malformed, good.len() as u64);
    for byte in 0..good.len() {
        let mut bad = good.clone();
        bad[byte] ^= 0x10;
        member.receive(BEGIN, at(1), &bad);
    }
    assert_eq!(member.counts.malformed, 2 * good.len() as u64, "each flipped bit is detected");
    member.receive(BEGIN, at(1), &[0; 1201]);
    receive(&mut member, &Datagram { fleet_hash: hash_name("g"), ..from(1, 5, Kind::Ping) });
    receive(&mut member, &Datagram { min_version: FORMAT_VERSION + 1, ..from(1, 5, Kind::Ping) });
    receive(&mut member, &Datagram { address: "10.1.1.1:7".to_string(), ..from(1, 5, Kind::Ping) });
    member.receive(BEGIN, "10.9.9.9:7".parse().expect("a valid address"), &good);
    let counts = member.counts;
    assert_eq!(
        (counts.too_large, counts.other_fleet, counts.unsupported_version, counts.disallowed_address),
        (1, 1, 1, 2)
    );
    for bad in [
        Datagram { from: String::new(), ..from(1, 5, Kind::Ping) },
        Datagram { from: "x".repeat(65), ..from(1, 5, Kind::Ping) },
        Datagram { from: "a\nb".to_string(), ..from(1, 5, Kind::Ping) },
        Datagram { incarnation: 0, ..from(1, 5, Kind::Ping) },
        Datagram { kind: 99, ..from(1, 5, Kind::Ping) },
        Datagram { address: "nowhere".to_string(), ..from(1, 5, Kind::Ping) },
        Datagram { digest: vec![1; 15], ..from(1, 5, Kind::Digest) },
        Datagram { app_message: vec![0; 257], ..from(1, 5, Kind::AppMessage) },
        Datagram { rumors: vec![rumor(2, 0, Claim::Alive, &[])], ..from(1, 5, Kind::Ping) },
        Datagram {
            rumors: vec![rumor(2, 1, Claim::Suspect, &["a", "b", "c", "d"])],
            ..from(1, 5, Kind::Ping)
        },
    ] {
        receive(&mut member, &bad);
    }
    assert_eq!(member.counts.malformed, 2 * good.len() as u64 + 10);
    assert_eq!((member.counts.received, member.tracked_entries()), (0, 0));
    receive(&mut member, &from(1, 5, Kind::Ping));
    assert_eq!(member.counts.received, 1);
}

#[test]
fn unknown_fields_of_a_later_version_are_skipped() {
    let mut member = fleet(0, 1000, 7);
    let mut later = Datagram { version: FORMAT_VERSION + 1, ..from(1, 5, Kind::Ping) }.encode_to_vec();
    // Field 90 with three bytes, which this version does not know.
    later.extend([0xd2, 0x05, 3, 1, 2, 3]);
    let mut bytes = crc32c::crc32c(&later).to_le_bytes().to_vec();
    bytes.extend(later);
    member.receive(BEGIN, at(1), &bytes);
    assert_eq!((member.counts.received, member.counts.malformed), (1, 0));
    assert!(
        member.actions.iter().any(|action| matches!(action, Action::Send { to, .. } if *to == at(1))),
        "the ping is acked"
    );
}

#[test]
fn ten_thousand_invented_names_use_bounded_memory_and_expire() {
    let mut sim = SimulatedFleet::with_all_joined(3);
    for round in 0..1000_u64 {
        let rumors =
            (0..10).map(|n| Rumor { name: format!("x{round}-{n}"), ..rumor(9, 5, Claim::Alive, &[]) });
        let datagram =
            Datagram { sent_us: 1_000_000 + round, rumors: rumors.collect(), ..from(1, 1000, Kind::Gossip) };
        let now = sim.now;
        sim.members[0].receive(now, at(1), &encode(&datagram));
    }
    assert!(sim.members[0].tracked_entries() < 600, "{}", sim.members[0].tracked_entries());
    assert!(sim.members[0].counts.received + sim.members[0].counts.rate_limited >= 1000);
    sim.run(ms(20_000));
    for member in &sim.members {
        assert_eq!(member.alive_count(), 2, "none of the invented names became a member");
        assert!(member.tracked_entries() < 60, "{} entries are still tracked", member.tracked_entries());
    }
    assert!(sim.largest_datagram <= 1200);
}

#[test]
fn false_rumors_do_not_remove_live_members() {
    let mut sim = SimulatedFleet::with_all_joined(5);
    for round in 0..20_u64 {
        for claim in [Claim::Suspect, Claim::Lost, Claim::Dead, Claim::Left] {
            let rumors = (0..4).filter(|&n| n != 1).map(|n| {
                let reporters = ["n1", "n2", "n3"]
                    .iter()
                    .copied()
                    .filter(|reporter| *reporter != format!("n{n}"))
                    .collect::<Vec<_>>();
                Rumor {
                    refused: true,
                    nonce: u64::from(n) + 100,
                    ..rumor(n, 1000 + round, claim, &reporters)
                }
            });
            let sent = 100_000_000 + round * 10 + claim as u64;
            let datagram =
                Datagram { sent_us: sent, rumors: rumors.collect(), ..from(1, 1000, Kind::Gossip) };
            for to in [0, 2, 3, 4] {
                let now = sim.now;
                sim.members[to].receive(now, at(1), &encode(&datagram));
            }
        }
        sim.run(ms(300));
    }
    for member in &mut sim.members {
        let inactive = member.events.iter().find(|event| {
            matches!(event, Event::StandingChanged { standing, name, .. } if *standing > Standing::Silent && **name != *"n1")
        });
        assert_eq!(inactive, None, "at {}", member.local().name);
    }
    sim.run(ms(3000));
    assert!(sim.members.iter().all(|member| member.alive_count() == 4));
}

#[test]
fn a_crash_is_detected_by_refusals_and_later_by_silence_alone() {
    for (refuses_datagrams, wait_ms, standing) in
        [(true, 2500, Standing::Dead), (false, 12_000, Standing::Lost)]
    {
        let mut sim = SimulatedFleet::with_all_joined(5);
        (sim.running[3], sim.refuses_datagrams) = (false, refuses_datagrams);
        sim.run(ms(2500));
        for index in [0, 1, 2, 4] {
            let standing_held = sim.members[index].standing("n3");
            let expected = if refuses_datagrams { Standing::Dead } else { Standing::Silent };
            assert_eq!(standing_held, Some(expected), "at n{index}, refusals: {refuses_datagrams}");
        }
        sim.run(ms(wait_ms));
        for index in [0, 1, 2, 4] {
            assert_eq!(sim.members[index].standing("n3"), Some(standing), "at n{index}");
        }
    }
}

#[test]
fn delayed_or_replayed_datagrams_do_not_revive_dead_members() {
    let mut sim = SimulatedFleet::with_all_joined(4);
    let old = encode(&Datagram { sent_us: sim.now.micros() as u64 + 1, ..from(3, 1000, Kind::Ping) });
    // The first copy arrived in time.
    let now = sim.now;
    sim.members[0].receive(now, at(3), &old);
    sim.running[3] = false;
    sim.run(ms(4000));
    assert_eq!(sim.members[0].standing("n3"), Some(Standing::Dead));
    for _ in 0..20 {
        for to in 0..3 {
            let now = sim.now;
            sim.members[to].receive(now, at(3), &old);
            let gossip = Datagram {
                rumors: vec![rumor(3, 1000, Claim::Alive, &["n1"])],
                ..from(1, 1000, Kind::Gossip)
            };
            sim.members[to].receive(now, at(1), &encode(&gossip));
        }
        sim.run(ms(200));
    }
    assert!((0..3).all(|index| sim.members[index].standing("n3") == Some(Standing::Dead)));
}

#[test]
fn a_restart_with_an_earlier_clock_outbids_the_old_incarnation() {
    let mut sim = SimulatedFleet::with_all_joined(4);
    sim.running[3] = false;
    sim.run(ms(4000));
    // The clock is an hour back: the incarnation is far below the one remembered as dead.
    sim.members[3] = fleet(3, 10, 999);
    sim.running[3] = true;
    sim.run(ms(4000));
    assert!(
        sim.members[3].local().incarnation > 1000,
        "the new incarnation is not above the remembered one: {}",
        sim.members[3].local().incarnation
    );
    assert!((0..3).all(|index| sim.members[index].standing("n3") == Some(Standing::Alive)));
    let dead =
        Datagram { rumors: vec![rumor(3, 1000, Claim::Dead, &["n1", "n2"])], ..from(1, 1000, Kind::Gossip) };
    let now = sim.now;
    sim.members[0].receive(now, at(1), &encode(&dead));
    sim.run(ms(2000));
    assert_eq!(sim.members[0].standing("n3"), Some(Standing::Alive));
}

#[test]
fn of_two_processes_with_one_name_the_later_withdraws() {
    let mut sim = SimulatedFleet::with_all_joined(3);
    // A fourth process uses the name of the third at another address.
    let config =
        MembershipConfig { fleet: "f".to_string(), seeds: vec![at(0), at(1)], ..MembershipConfig::default() };
    let local = LocalMember { name: "n2".into(), address: at(3), incarnation: 2000, nonce: 500 };
    let now = sim.now;
    sim.members.push(Membership::new(now, config, local, 3.0, 77));
    sim.running.push(true);
    sim.run(ms(8000));
    let withdrew = |member: &Membership| member.events.contains(&Event::DuplicateName { yields: true });
    assert!(withdrew(&sim.members[3]) && !withdrew(&sim.members[2]));
    assert!(sim.members[2].view(sim.now).duplicate_name, "the earlier process detects the conflict, too");
    sim.members.iter_mut().for_each(|member| member.events.clear());
    sim.run(ms(8000));
    assert!((0..2).all(|index| sim.members[index].standing("n2") == Some(Standing::Alive)));
    assert_eq!(sim.members[0].alive_count(), 2);
}

#[test]
fn a_stalled_router_suspects_itself_and_no_other_member() {
    let mut sim = SimulatedFleet::with_all_joined(4);
    let incarnation = sim.members[0].local().incarnation;
    // All probes in progress go unanswered because this router is stopped for three seconds.
    sim.running[0] = false;
    sim.refuses_datagrams = false;
    sim.run(ms(3000));
    sim.running[0] = true;
    sim.members[0].events.clear();
    let now = sim.now;
    sim.members[0].tick(now);
    assert!(sim.members[0].view(now).suspects_itself && sim.members[0].local().incarnation > incarnation);
    assert!(
        sim.members[0]
            .events
            .iter()
            .any(|event| matches!(event, Event::Stalled(duration) if *duration >= ms(2000)))
    );
    sim.run(ms(3000));
    let suspected = sim.members[0].events.iter().find(
        |event| matches!(event, Event::StandingChanged { standing, .. } if *standing != Standing::Alive),
    );
    assert_eq!(suspected, None);
    assert!(sim.members.iter().all(|member| member.alive_count() == 3), "all members are alive again");
}

#[test]
fn a_router_that_hears_no_member_declares_none_lost() {
    let mut sim = SimulatedFleet::with_all_joined(4);
    (sim.running[1], sim.running[2], sim.running[3], sim.refuses_datagrams) = (false, false, false, false);
    sim.run(ms(20_000));
    let inactive = sim.members[0].events.iter().any(|event| {
        matches!(event, Event::StandingChanged { standing: Standing::Lost | Standing::Dead, .. })
    });
    assert!(!inactive && sim.members[0].view(sim.now).suspects_itself);
    assert!(
        sim.members[0].router_count() >= 4.0,
        "the router count includes all known members: {}",
        sim.members[0].router_count()
    );
}

#[test]
fn an_announced_shutdown_is_left_and_an_unannounced_one_is_dead() {
    for (heard, standing) in [(true, Standing::Left), (false, Standing::Dead)] {
        let mut sim = SimulatedFleet::with_all_joined(4);
        if heard {
            let now = sim.now;
            sim.members[3].leave(now);
            sim.run(ms(20));
        }
        sim.running[3] = false;
        sim.run(ms(4000));
        assert!((0..3).all(|index| sim.members[index].standing("n3") == Some(standing)), "{standing:?}");
    }
}

#[test]
fn an_idle_member_is_alive_and_shown_as_idle() {
    let mut sim = SimulatedFleet::with_all_joined(4);
    let now = sim.now;
    sim.members[2].set_idle(now, true);
    sim.run(ms(3000));
    for index in [0, 1, 3] {
        let view = sim.members[index].view(sim.now);
        let row = view.rows.iter().find(|row| *row.name == *"n2").expect("n2 is a member");
        assert!(row.idle && row.standing == Standing::Alive);
    }
}

#[test]
fn app_messages_reach_other_members_unless_too_large() {
    let mut sim = SimulatedFleet::with_all_joined(4);
    let now = sim.now;
    sim.members[1].broadcast(now, b"a position");
    sim.members[1].broadcast(now, &[0; 300]);
    sim.run(ms(10));
    let messages: Vec<_> = sim.members.iter().flat_map(|member| member.app_messages.clone()).collect();
    assert_eq!(messages.len(), 3);
    assert!(messages.iter().all(|(_, bytes)| bytes == b"a position"));
}

#[test]
fn datagrams_per_member_do_not_grow_with_the_fleet() {
    let datagrams_per_member = |count: u16| {
        let mut sim = SimulatedFleet::with_all_joined(count);
        let before: u64 = sim.members.iter().map(|member| member.counts.sent).sum();
        sim.run(ms(10_000));
        let after: u64 = sim.members.iter().map(|member| member.counts.sent).sum();
        (after - before) as f64 / f64::from(count)
    };
    let (small, large) = (datagrams_per_member(10), datagrams_per_member(60));
    assert!(large < small * 1.2, "{small} datagrams for ten members, {large} for sixty");
}

#[test]
fn a_higher_incarnation_supersedes_and_within_one_the_stronger_claim() {
    use arrowyard_peers::supersedes;
    assert!(supersedes(6, Claim::Alive, 5, Standing::Dead), "a restart");
    assert!(
        !supersedes(4, Claim::Dead, 5, Standing::Alive),
        "the end of an earlier incarnation does not affect this one"
    );
    assert!(
        !supersedes(5, Claim::Alive, 5, Standing::Dead) && !supersedes(5, Claim::Suspect, 5, Standing::Lost)
    );
    assert!(supersedes(5, Claim::Dead, 5, Standing::Silent));
}

#[test]
fn replayed_and_delayed_datagrams_are_no_sign_of_life() {
    let mut member = arrowyard_peers::Member::new("n1".into(), at(1), 1, 1, BEGIN);
    let sent = |ms: u64| 5_000_000 + ms * 1000;
    assert_eq!(
        member.accept_datagram(sent(0), BEGIN + ms(2), ms(0)),
        Some(TimeDelta::ZERO),
        "the first datagram sets the reference delay"
    );
    assert_eq!(member.accept_datagram(sent(0), BEGIN + ms(3), ms(1)), None, "a duplicate");
    assert_eq!(member.accept_datagram(sent(500), BEGIN + ms(502), ms(0)), Some(TimeDelta::ZERO));
    assert_eq!(member.accept_datagram(sent(400), BEGIN + ms(503), ms(0)), None, "an overtaken datagram");
    assert_eq!(
        member.accept_datagram(sent(600), BEGIN + ms(3602), ms(0)),
        Some(ms(3000)),
        "three seconds late"
    );
}
