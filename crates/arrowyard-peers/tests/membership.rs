//! One router's part, case by case: what is dropped, whose word counts, whom it doubts.

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

fn fleet(number: u16, life: u64, nonce: u64) -> Membership {
    let terms = MembershipConfig {
        fleet: "f".to_string(),
        seeds: vec![at(0), at(1)],
        allowed_networks: vec!["127.0.0.0/8".parse().expect("it is a prefix")],
        ..MembershipConfig::default()
    };
    let me = LocalMember { name: format!("n{number}").into(), address: at(number), incarnation: life, nonce };
    Membership::new(BEGIN, terms, me, 3.0, u64::from(number) + 1)
}

/// A datagram as another one writes it.
fn from(number: u16, life: u64, kind: Kind) -> Datagram {
    Datagram {
        version: FORMAT_VERSION,
        min_version: 1,
        fleet_hash: hash_name("f"),
        from: format!("n{number}"),
        incarnation: life,
        nonce: u64::from(number) + 100,
        address: at(number).to_string(),
        kind: kind as i32,
        sent_us: 1,
        ..Datagram::default()
    }
}

fn rumor(number: u16, life: u64, claim: Claim, by: &[&str]) -> Rumor {
    Rumor {
        name: format!("n{number}"),
        incarnation: life,
        claim: claim as i32,
        address: at(number).to_string(),
        nonce: u64::from(number) + 100,
        reporters: by.iter().map(ToString::to_string).collect(),
        ..Rumor::default()
    }
}

/// Datagrams that are on their way between a few, each delivered at once; what is not among them is lost.
struct Few {
    now: Timestamp,
    all: Vec<Membership>,
    /// Those that take part: the others neither send nor hear.
    up: Vec<bool>,
    /// The machine of one that is gone refuses datagrams.
    refuses: bool,
    largest: usize,
}

impl Few {
    fn new(count: u16) -> Few {
        let all = (0..count).map(|number| fleet(number, 1000, u64::from(number) + 100)).collect();
        Few { now: BEGIN, all, up: vec![true; usize::from(count)], refuses: true, largest: 0 }
    }

    fn place(to: SocketAddr) -> usize {
        usize::from(to.port().wrapping_sub(7000))
    }

    fn play(&mut self, span: TimeDelta) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + ms(10);
            for one in 0..self.all.len() {
                if self.up[one] && self.all[one].next_deadline() <= self.now {
                    self.all[one].tick(self.now);
                }
            }
            for _ in 0..4 {
                for one in 0..self.all.len() {
                    let deeds = std::mem::take(&mut self.all[one].actions);
                    for deed in deeds.into_iter().filter(|_| self.up[one]) {
                        match deed {
                            Action::Send { to, bytes } => {
                                self.largest = self.largest.max(bytes.len());
                                let there = Few::place(to);
                                if self.up.get(there) == Some(&true) {
                                    self.all[there].receive(self.now, at(one as u16), &bytes);
                                }
                            }
                            Action::CheckPort { to, name, incarnation: life, .. } => {
                                if self.refuses && self.up.get(Few::place(to)) == Some(&false) {
                                    self.all[one].port_refused(&name, life);
                                }
                            }
                        }
                    }
                }
            }
        }
    }

    fn joined(count: u16) -> Few {
        let mut few = Few::new(count);
        few.play(ms(6000));
        for one in &few.all {
            assert_eq!(one.alive_count() + 1, usize::from(count), "{} has not found all", one.local().name);
        }
        few.all.iter_mut().for_each(|one| one.events.clear());
        few
    }
}

#[test]
fn what_cannot_be_used_is_dropped_and_counted_and_nothing_is_kept() {
    let mut one = fleet(0, 1000, 7);
    let good = encode(&from(1, 5, Kind::Ping));
    let tell = |one: &mut Membership, datagram: &Datagram| one.receive(BEGIN, at(1), &encode(datagram));
    for cut in 0..good.len() {
        one.receive(BEGIN, at(1), &good[..cut]);
    }
    assert_eq!(one.counts.malformed, good.len() as u64);
    for byte in 0..good.len() {
        let mut bad = good.clone();
        bad[byte] ^= 0x10;
        one.receive(BEGIN, at(1), &bad);
    }
    assert_eq!(one.counts.malformed, 2 * good.len() as u64, "each flipped bit is seen");
    one.receive(BEGIN, at(1), &[0; 1201]);
    tell(&mut one, &Datagram { fleet_hash: hash_name("g"), ..from(1, 5, Kind::Ping) });
    tell(&mut one, &Datagram { min_version: FORMAT_VERSION + 1, ..from(1, 5, Kind::Ping) });
    tell(&mut one, &Datagram { address: "10.1.1.1:7".to_string(), ..from(1, 5, Kind::Ping) });
    one.receive(BEGIN, "10.9.9.9:7".parse().expect("an address"), &good);
    let counts = one.counts;
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
        tell(&mut one, &bad);
    }
    assert_eq!(one.counts.malformed, 2 * good.len() as u64 + 10);
    assert_eq!((one.counts.received, one.tracked_entries()), (0, 0));
    tell(&mut one, &from(1, 5, Kind::Ping));
    assert_eq!(one.counts.received, 1);
}

#[test]
fn a_later_form_with_further_fields_is_read_as_far_as_it_is_known() {
    let mut one = fleet(0, 1000, 7);
    let mut later = Datagram { version: FORMAT_VERSION + 1, ..from(1, 5, Kind::Ping) }.encode_to_vec();
    // Field 90, three bytes, of which nothing is known here.
    later.extend([0xd2, 0x05, 3, 1, 2, 3]);
    let mut bytes = crc32c::crc32c(&later).to_le_bytes().to_vec();
    bytes.extend(later);
    one.receive(BEGIN, at(1), &bytes);
    assert_eq!((one.counts.received, one.counts.malformed), (1, 0));
    assert!(
        one.actions.iter().any(|deed| matches!(deed, Action::Send { to, .. } if *to == at(1))),
        "it is answered"
    );
}

#[test]
fn ten_thousand_invented_names_find_little_room_and_are_forgotten() {
    let mut few = Few::joined(3);
    for turn in 0..1000_u64 {
        let rumors =
            (0..10).map(|n| Rumor { name: format!("x{turn}-{n}"), ..rumor(9, 5, Claim::Alive, &[]) });
        let datagram =
            Datagram { sent_us: 1_000_000 + turn, rumors: rumors.collect(), ..from(1, 1000, Kind::Gossip) };
        let now = few.now;
        few.all[0].receive(now, at(1), &encode(&datagram));
    }
    assert!(few.all[0].tracked_entries() < 600, "{}", few.all[0].tracked_entries());
    assert!(few.all[0].counts.received + few.all[0].counts.rate_limited >= 1000);
    few.play(ms(20_000));
    for one in &few.all {
        assert_eq!(one.alive_count(), 2, "none of them was ever met");
        assert!(one.tracked_entries() < 60, "{} are still held", one.tracked_entries());
    }
    assert!(few.largest <= 1200);
}

#[test]
fn a_liar_empties_nobodys_view_and_the_slandered_live_on() {
    let mut few = Few::joined(5);
    for turn in 0..20_u64 {
        for claim in [Claim::Suspect, Claim::Lost, Claim::Dead, Claim::Left] {
            let rumors = (0..4).filter(|&n| n != 1).map(|n| {
                let by = ["n1", "n2", "n3"]
                    .iter()
                    .copied()
                    .filter(|by| *by != format!("n{n}"))
                    .collect::<Vec<_>>();
                Rumor { refused: true, nonce: u64::from(n) + 100, ..rumor(n, 1000 + turn, claim, &by) }
            });
            let sent = 100_000_000 + turn * 10 + claim as u64;
            let datagram =
                Datagram { sent_us: sent, rumors: rumors.collect(), ..from(1, 1000, Kind::Gossip) };
            for to in [0, 2, 3, 4] {
                let now = few.now;
                few.all[to].receive(now, at(1), &encode(&datagram));
            }
        }
        few.play(ms(300));
    }
    for one in &mut few.all {
        let over = one.events.iter().find(|event| {
            matches!(event, Event::StandingChanged { standing, name, .. } if *standing > Standing::Silent && **name != *"n1")
        });
        assert_eq!(over, None, "at {}", one.local().name);
    }
    few.play(ms(3000));
    assert!(few.all.iter().all(|one| one.alive_count() == 4));
}

#[test]
fn a_crash_is_known_by_refusals_and_silence_alone_takes_longer() {
    for (refuses, soon, standing) in [(true, 2500, Standing::Dead), (false, 12_000, Standing::Lost)] {
        let mut few = Few::joined(5);
        (few.up[3], few.refuses) = (false, refuses);
        few.play(ms(2500));
        for one in [0, 1, 2, 4] {
            let held = few.all[one].standing("n3");
            let wanted = if refuses { Standing::Dead } else { Standing::Silent };
            assert_eq!(held, Some(wanted), "at n{one}, refusals: {refuses}");
        }
        few.play(ms(soon));
        for one in [0, 1, 2, 4] {
            assert_eq!(few.all[one].standing("n3"), Some(standing), "at n{one}");
        }
    }
}

#[test]
fn the_dead_do_not_come_back_by_datagrams_that_were_held_up_or_replayed() {
    let mut few = Few::joined(4);
    let old = encode(&Datagram { sent_us: few.now.micros() as u64 + 1, ..from(3, 1000, Kind::Ping) });
    // It got through once, in its time.
    let now = few.now;
    few.all[0].receive(now, at(3), &old);
    few.up[3] = false;
    few.play(ms(4000));
    assert_eq!(few.all[0].standing("n3"), Some(Standing::Dead));
    for _ in 0..20 {
        for to in 0..3 {
            let now = few.now;
            few.all[to].receive(now, at(3), &old);
            let told = Datagram {
                rumors: vec![rumor(3, 1000, Claim::Alive, &["n1"])],
                ..from(1, 1000, Kind::Gossip)
            };
            few.all[to].receive(now, at(1), &encode(&told));
        }
        few.play(ms(200));
    }
    assert!((0..3).all(|one| few.all[one].standing("n3") == Some(Standing::Dead)));
}

#[test]
fn a_name_that_starts_anew_by_an_earlier_clock_is_alive_and_its_former_end_does_not_count() {
    let mut few = Few::joined(4);
    few.up[3] = false;
    few.play(ms(4000));
    // An hour back: a life far below the one that is remembered as dead.
    few.all[3] = fleet(3, 10, 999);
    few.up[3] = true;
    few.play(ms(4000));
    assert!(
        few.all[3].local().incarnation > 1000,
        "it outbids what is remembered of it: {}",
        few.all[3].local().incarnation
    );
    assert!((0..3).all(|one| few.all[one].standing("n3") == Some(Standing::Alive)));
    let dead =
        Datagram { rumors: vec![rumor(3, 1000, Claim::Dead, &["n1", "n2"])], ..from(1, 1000, Kind::Gossip) };
    let now = few.now;
    few.all[0].receive(now, at(1), &encode(&dead));
    few.play(ms(2000));
    assert_eq!(few.all[0].standing("n3"), Some(Standing::Alive));
}

#[test]
fn of_two_processes_with_one_name_the_later_gives_way() {
    let mut few = Few::joined(3);
    // A fourth process takes the name of the third, at a place of its own.
    let terms =
        MembershipConfig { fleet: "f".to_string(), seeds: vec![at(0), at(1)], ..MembershipConfig::default() };
    let me = LocalMember { name: "n2".into(), address: at(3), incarnation: 2000, nonce: 500 };
    let now = few.now;
    few.all.push(Membership::new(now, terms, me, 3.0, 77));
    few.up.push(true);
    few.play(ms(8000));
    let gave_way = |one: &Membership| one.events.contains(&Event::DuplicateName { yields: true });
    assert!(gave_way(&few.all[3]) && !gave_way(&few.all[2]));
    assert!(few.all[2].view(few.now).duplicate_name, "the earlier one knows, too");
    few.all.iter_mut().for_each(|one| one.events.clear());
    few.play(ms(8000));
    assert!((0..2).all(|one| few.all[one].standing("n2") == Some(Standing::Alive)));
    assert_eq!(few.all[0].alive_count(), 2);
}

#[test]
fn a_router_that_was_away_doubts_itself_and_nobody_else() {
    let mut few = Few::joined(4);
    let life = few.all[0].local().incarnation;
    // All that it asked is unanswered, since it was halted for three seconds.
    few.up[0] = false;
    few.refuses = false;
    few.play(ms(3000));
    few.up[0] = true;
    few.all[0].events.clear();
    let now = few.now;
    few.all[0].tick(now);
    assert!(few.all[0].view(now).suspects_itself && few.all[0].local().incarnation > life);
    assert!(few.all[0].events.iter().any(|event| matches!(event, Event::Stalled(span) if *span >= ms(2000))));
    few.play(ms(3000));
    let blamed = few.all[0].events.iter().find(
        |event| matches!(event, Event::StandingChanged { standing, .. } if *standing != Standing::Alive),
    );
    assert_eq!(blamed, None);
    assert!(few.all.iter().all(|one| one.alive_count() == 3), "and all are back");
}

#[test]
fn whoever_hears_nobody_declares_nobody_lost() {
    let mut few = Few::joined(4);
    (few.up[1], few.up[2], few.up[3], few.refuses) = (false, false, false, false);
    few.play(ms(20_000));
    let over = few.all[0].events.iter().any(|event| {
        matches!(event, Event::StandingChanged { standing: Standing::Lost | Standing::Dead, .. })
    });
    assert!(!over && few.all[0].view(few.now).suspects_itself);
    assert!(
        few.all[0].router_count() >= 4.0,
        "and it counts with all that there were: {}",
        few.all[0].router_count()
    );
}

#[test]
fn a_planned_end_is_told_apart_and_one_whose_word_is_lost_is_a_death() {
    for (heard, standing) in [(true, Standing::Left), (false, Standing::Dead)] {
        let mut few = Few::joined(4);
        if heard {
            let now = few.now;
            few.all[3].leave(now);
            few.play(ms(20));
        }
        few.up[3] = false;
        few.play(ms(4000));
        assert!((0..3).all(|one| few.all[one].standing("n3") == Some(standing)), "{standing:?}");
    }
}

#[test]
fn one_that_serves_nobody_is_alive_and_shown_so() {
    let mut few = Few::joined(4);
    let now = few.now;
    few.all[2].set_idle(now, true);
    few.play(ms(3000));
    for one in [0, 1, 3] {
        let view = few.all[one].view(few.now);
        let row = view.rows.iter().find(|row| *row.name == *"n2").expect("it is a member");
        assert!(row.idle && row.standing == Standing::Alive);
    }
}

#[test]
fn what_the_module_tells_reaches_some_and_names_its_sender() {
    let mut few = Few::joined(4);
    let now = few.now;
    few.all[1].broadcast(now, b"a position");
    few.all[1].broadcast(now, &[0; 300]);
    few.play(ms(10));
    let told: Vec<_> = few.all.iter().flat_map(|one| one.app_messages.clone()).collect();
    assert_eq!(told.len(), 3);
    assert!(told.iter().all(|(_, bytes)| bytes == b"a position"));
}

#[test]
fn a_members_time_and_datagrams_do_not_grow_with_the_fleet() {
    let cost = |count: u16| {
        let mut few = Few::joined(count);
        let before: u64 = few.all.iter().map(|one| one.counts.sent).sum();
        few.play(ms(10_000));
        let after: u64 = few.all.iter().map(|one| one.counts.sent).sum();
        (after - before) as f64 / f64::from(count)
    };
    let (few, many) = (cost(10), cost(60));
    assert!(many < few * 1.2, "{few} datagrams for ten, {many} for sixty");
}

#[test]
fn of_two_words_a_later_life_counts_and_within_one_life_the_worse() {
    use arrowyard_peers::supersedes;
    assert!(supersedes(6, Claim::Alive, 5, Standing::Dead), "it started anew");
    assert!(!supersedes(4, Claim::Dead, 5, Standing::Alive), "a former life's end says nothing of this one");
    assert!(
        !supersedes(5, Claim::Alive, 5, Standing::Dead) && !supersedes(5, Claim::Suspect, 5, Standing::Lost)
    );
    assert!(supersedes(5, Claim::Dead, 5, Standing::Silent));
}

#[test]
fn a_datagram_that_was_replayed_or_held_up_is_no_sign_of_life() {
    let mut one = arrowyard_peers::Member::new("n1".into(), at(1), 1, 1, BEGIN);
    let sent = |ms: u64| 5_000_000 + ms * 1000;
    assert_eq!(
        one.accept_datagram(sent(0), BEGIN + ms(2), ms(0)),
        Some(TimeDelta::ZERO),
        "the first one says what is usual"
    );
    assert_eq!(one.accept_datagram(sent(0), BEGIN + ms(3), ms(1)), None, "the same again");
    assert_eq!(one.accept_datagram(sent(500), BEGIN + ms(502), ms(0)), Some(TimeDelta::ZERO));
    assert_eq!(one.accept_datagram(sent(400), BEGIN + ms(503), ms(0)), None, "overtaken");
    assert_eq!(one.accept_datagram(sent(600), BEGIN + ms(3602), ms(0)), Some(ms(3000)), "three seconds late");
}
