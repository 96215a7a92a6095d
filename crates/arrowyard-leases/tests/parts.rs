//! The voter beside a plain model; candidates with thousands of leases; datagrams and files that are broken; clocks.

use std::collections::BTreeMap;

use arrowyard_leases::message::{DecodeError, MAX_DATAGRAM_BYTES, decode, encode, group_id};
use arrowyard_leases::{
    Candidate, CandidateId, ClockMonitor, Destination, Epoch, Event, FencingGuard, LeaseConfig, LeaseEpoch,
    LeaseId, Message, Stage, Verdict, Voter, VoterId, VoterSnapshot, lease_id, storage,
};
use arrowyard_types::{TimeDelta, Timestamp};
use proptest::prelude::*;

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

fn ms(millis: i64) -> TimeDelta {
    TimeDelta::from_millis(millis)
}

const TERM: i64 = 3000;

/// A voter that votes from time 0 on.
fn voter(of: u8) -> Voter {
    let image = VoterSnapshot { is_complete: true, ..VoterSnapshot::default() };
    let mut voter = Voter::start(at(-TERM), LeaseConfig::default(), VoterId(of), Some(image), 1);
    voter.tick(at(0));
    kept(&mut voter);
    voter
}

fn kept(voter: &mut Voter) -> Vec<(Destination, Message)> {
    if let Some((number, _)) = voter.start_write() {
        voter.write_finished(number, true);
    }
    voter.take_outgoing()
}

/// One thing that was asked of the voter, and what it said, for the plain model.
#[derive(Clone, Debug)]
struct Asked {
    now: i64,
    who: u64,
    round: u64,
    epoch: u64,
    free: bool,
    granted: bool,
}

/// What a voter has to say, by going through all that ever happened: no state but the history.
fn plainly(history: &[Asked], now: i64, who: u64, round: u64, epoch: u64) -> Option<&'static str> {
    let newest = history.iter().filter(|one| one.granted).map(|one| one.epoch).max();
    let Some(newest) = newest else { return Some(if epoch == 0 { "old" } else { "granted" }) };
    let first = history.iter().position(|one| one.granted && one.epoch == newest).expect("it was granted");
    let holder = history[first].who;
    // The rounds of the newest grant: what came of each, in order.
    let (mut last, mut until) = (history[first].round, history[first].now + TERM);
    for one in &history[first + 1..] {
        if one.who != holder || one.epoch != newest || one.round < last {
            continue;
        }
        if one.free {
            (last, until) = (one.round, until.min(one.now));
        } else if one.round > last {
            (last, until) = (one.round, one.now + TERM);
        }
    }
    if who == holder && epoch == newest {
        return (round >= last).then_some("granted");
    }
    if now < until && who != holder {
        return Some("held");
    }
    Some(if epoch <= newest { "old" } else { "granted" })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]
    #[test]
    fn a_voter_votes_as_the_plain_model_does(
        steps in proptest::collection::vec((0_i64..2500, 0_u64..3, 0_u64..8, 0_u64..6, 0_u8..4), 1..80),
    ) {
        let mut voter = voter(0);
        let (mut now, mut history): (i64, Vec<Asked>) = (1, Vec::new());
        let id = lease_id("a");
        for (after, who, round, epoch, kind) in steps {
            now += after;
            let wants = vec![LeaseEpoch { lease: id, epoch: Epoch(epoch) }];
            let (from, free) = (CandidateId(who), kind == 0);
            let word = if free { Message::Release { from, round, held: round % 2 == 0, leases: wants } } else { Message::Request { from, round, leases: wants } };
            let wanted = plainly(&history, now, who, round, epoch).filter(|_| !free);
            voter.handle_message(at(now), &word);
            let said = kept(&mut voter).into_iter().find_map(|(_, word)| match word {
                Message::Response { verdicts, .. } => Some(match verdicts[0].1 {
                    Verdict::Granted(_) => "granted",
                    Verdict::Held { .. } => "held",
                    Verdict::StaleEpoch(_) => "old",
                    _ => "else",
                }),
                _ => None,
            });
            prop_assert_eq!(said, wanted, "{:?} after {:?}", word, history);
            history.push(Asked { now, who, round, epoch, free, granted: said == Some("granted") });
        }
    }

    #[test]
    fn broken_datagrams_are_dropped_and_whole_ones_come_as_they_went(
        round in any::<u64>(), epoch in any::<u64>(), at in 0_usize..200, bit in 0_u8..8, cut in 0_usize..200,
    ) {
        let wants = vec![LeaseEpoch { lease: lease_id("a"), epoch: Epoch(epoch) }; 3];
        let verdicts = vec![
            (lease_id("a"), Verdict::Held { epoch: Epoch(epoch), remaining: ms(7) }),
            (lease_id("b"), Verdict::Granted(Epoch(1))),
        ];
        let words = [
            Message::Request { from: CandidateId(round), round, leases: wants.clone() },
            Message::Release { from: CandidateId(round), round, held: true, leases: wants },
            Message::Response { from: VoterId(2), round, clock: Timestamp::from_micros(-5), verdicts },
            Message::Available { from: VoterId(1), lease: lease_id("a"), epoch: Epoch(epoch) },
            Message::RecoveryRequest { from: VoterId(1), incarnation: round, nonce: epoch },
            Message::RecoveryResponse { from: VoterId(1), requested_by: epoch, highest: Epoch(epoch), last_known: round, is_complete: true },
        ];
        for word in words {
            let bytes = encode(&word, 7);
            prop_assert_eq!(decode(&bytes, 7), Ok(word.clone()));
            prop_assert_eq!(decode(&bytes, 8), Err(DecodeError::Foreign));
            let mut broken = bytes.clone();
            let place = at % bytes.len();
            broken[place] ^= 1 << bit;
            prop_assert_eq!(decode(&broken, 7), Err(DecodeError::Garbled));
            prop_assert!(decode(&bytes[..cut % bytes.len()], 7).is_err());
        }
    }

    #[test]
    fn whatever_is_wrong_with_kept_votes_they_are_not_taken(
        life in any::<u64>(), floor in any::<u64>(), at in 0_usize..300, bit in 0_u8..8, cut in 0_usize..300,
    ) {
        let image = VoterSnapshot {
            incarnation: life,
            epoch_floor: Epoch(floor),
            is_complete: true,
            votes: vec![(lease_id("a"), Epoch(3), CandidateId(9)), (lease_id("b"), Epoch(4), CandidateId(8))],
            incarnations: vec![(VoterId(1), life, floor)],
        };
        let bytes = storage::encode(&image, 7, "n0");
        prop_assert_eq!(storage::decode(&bytes, 7, "n0"), Ok(image));
        prop_assert_eq!(storage::decode(&bytes, 8, "n0"), Err(storage::LoadError::Foreign));
        prop_assert_eq!(storage::decode(&bytes, 7, "n1"), Err(storage::LoadError::Foreign), "another voter's");
        let mut broken = bytes.clone();
        let place = at % bytes.len();
        broken[place] ^= 1 << bit;
        prop_assert!(storage::decode(&broken, 7, "n0").is_err());
        prop_assert!(storage::decode(&bytes[..cut % bytes.len()], 7, "n0").is_err());
    }
}

#[test]
fn nothing_is_told_before_it_is_kept() {
    let mut voter = voter(0);
    let wants = vec![LeaseEpoch { lease: lease_id("a"), epoch: Epoch(1) }];
    voter.handle_message(at(1), &Message::Request { from: CandidateId(1), round: 1, leases: wants.clone() });
    assert!(voter.take_outgoing().is_empty());
    let (number, image) = voter.start_write().expect("it has changed");
    assert_eq!(image.votes, [(lease_id("a"), Epoch(1), CandidateId(1))]);
    assert!(voter.start_write().is_none(), "one at a time");
    voter.write_finished(number, false);
    assert!(voter.take_outgoing().is_empty(), "the disk failed");
    // A renewal changes nothing that is kept, and is told only after the grant is.
    voter.handle_message(at(2), &Message::Request { from: CandidateId(1), round: 2, leases: wants });
    assert!(voter.take_outgoing().is_empty());
    let (number, _) = voter.start_write().expect("it is still to be kept");
    voter.write_finished(number, true);
    assert_eq!(voter.take_outgoing().len(), 2);
    assert!(voter.start_write().is_none());
}

#[test]
fn a_voter_without_its_votes_learns_from_as_many_as_a_majority_and_only_after_its_wait() {
    let terms = LeaseConfig { voter_count: 5, ..LeaseConfig::default() };
    let mut voter = Voter::start(at(0), terms, VoterId(0), None, 3);
    let tell = |voter: &mut Voter, now: i64, from: u8, highest: u64, whole: bool| {
        let asked = voter.incarnation();
        let word = Message::RecoveryResponse {
            from: VoterId(from),
            requested_by: asked,
            highest: Epoch(highest),
            last_known: 0,
            is_complete: whole,
        };
        voter.handle_message(at(now), &word);
    };
    (1..5).for_each(|from| tell(&mut voter, 10, from, 9, true));
    assert!(
        matches!(voter.stage(), Stage::Waiting(_)),
        "what they know may still change by its former grants"
    );
    let early = voter.incarnation();
    voter.tick(at(TERM));
    for from in 1..5 {
        // Answered before the wait was over, and late on the way.
        let (from, highest) = (VoterId(from), Epoch(3));
        voter.handle_message(
            at(TERM),
            &Message::RecoveryResponse {
                from,
                requested_by: early,
                highest,
                last_known: 0,
                is_complete: true,
            },
        );
    }
    assert!(matches!(voter.stage(), Stage::Recovering(_)), "what they knew then may have changed since");
    tell(&mut voter, TERM, 1, 9, true);
    tell(&mut voter, TERM, 1, 9, true);
    tell(&mut voter, TERM, 2, 12, false);
    tell(&mut voter, TERM, 3, 4, true);
    assert!(
        matches!(voter.stage(), Stage::Recovering(_)),
        "one twice, and one that has lost its own, count for nothing"
    );
    tell(&mut voter, TERM, 4, 7, true);
    assert_eq!(*voter.stage(), Stage::Voting);
    let ask = |epoch| Message::Request {
        from: CandidateId(1),
        round: epoch,
        leases: vec![LeaseEpoch { lease: lease_id("a"), epoch: Epoch(epoch) }],
    };
    let mut said = |epoch| {
        voter.handle_message(at(TERM + 1), &ask(epoch));
        kept(&mut voter).into_iter().find_map(|(_, word)| match word {
            Message::Response { verdicts, .. } => Some(verdicts[0].1),
            _ => None,
        })
    };
    assert_eq!(said(9), Some(Verdict::StaleEpoch(Epoch(9))));
    assert_eq!(said(10), Some(Verdict::Granted(Epoch(10))));
}

#[test]
fn an_older_copy_is_told_by_the_lives_that_others_remember_and_asking_twice_is_not() {
    let (mut other, mut one) = (voter(1), voter(0));
    let learn = |life, start| Message::RecoveryRequest { from: VoterId(0), incarnation: life, nonce: start };
    let known = |other: &mut Voter, word: &Message| {
        other.handle_message(at(1), word);
        let told = kept(other).into_iter().find_map(|(_, word)| match word {
            Message::RecoveryResponse { last_known: life, .. } => Some((life, word)),
            _ => None,
        });
        told.expect("it answers")
    };
    assert_eq!(known(&mut other, &learn(4, 70)).0, 0);
    assert_eq!(known(&mut other, &learn(4, 70)).0, 3, "the same start once more");
    assert_eq!(known(&mut other, &learn(5, 71)).0, 4);
    // Its store was put back: this is its fourth life once more.
    assert_eq!(known(&mut other, &learn(4, 72)).0, 5);
    let (life, word) = known(&mut other, &learn(5, 73));
    assert_eq!(life, 5);
    one.handle_message(at(2), &word);
    assert!(matches!(one.stage(), Stage::Recovering(_)), "it stops voting");
    assert_eq!(one.incarnation(), 6);
}

/// Voters and one candidate that hear each other at once.
fn settle(voters: &mut [Voter], one: &mut Candidate, now: i64) -> usize {
    let mut words = 0;
    loop {
        let out = std::mem::take(&mut one.outbox);
        if out.is_empty() {
            return words;
        }
        words += out.len();
        for (to, word) in out {
            let Destination::Voter(VoterId(of)) = to else { continue };
            let voter = &mut voters[usize::from(of)];
            voter.handle_message(at(now), &word);
            for (_, answer) in kept(voter) {
                assert!(
                    encode(&answer, 1).len() <= MAX_DATAGRAM_BYTES
                        && encode(&word, 1).len() <= MAX_DATAGRAM_BYTES
                );
                one.handle_message(at(now), &answer, || 0.5);
            }
        }
    }
}

#[test]
fn ten_thousand_leases_cost_few_words_a_term_and_go_back_at_once() {
    let terms = LeaseConfig::default();
    let mut voters: Vec<Voter> = (0..3).map(voter).collect();
    let mut one = Candidate::new(terms, CandidateId(5));
    let leases: Vec<LeaseId> = (0..10_000).map(|n| lease_id(&format!("task-{n}"))).collect();
    leases.iter().for_each(|&lease| one.request(at(0), lease, 0, 0.0));
    one.tick(at(0), || 0.5);
    let first = settle(&mut voters, &mut one, 0);
    assert!(leases.iter().all(|&lease| one.permit(at(0), lease).is_some()));
    assert_eq!(first, 10_000_usize.div_ceil(terms.max_batch_leases) * 3);
    // A term of renewals.
    let mut words = 0;
    for now in (50..=TERM).step_by(50) {
        one.tick(at(now), || 0.5);
        words += settle(&mut voters, &mut one, now);
    }
    assert!(words <= first * 4, "{words} words a term");
    assert!(leases.iter().all(|&lease| one.permit(at(TERM), lease).is_some()));
    one.release_all();
    settle(&mut voters, &mut one, TERM);
    assert!(leases.iter().all(|&lease| one.permit(at(TERM), lease).is_none()));
    assert!(
        voters.iter().all(|voter| leases.iter().all(|&lease| voter.remaining(at(TERM + 1), lease).is_none()))
    );
}

#[test]
fn a_voter_knows_so_many_leases_and_no_more() {
    let terms = LeaseConfig { max_leases: 4, ..LeaseConfig::default() };
    let image = VoterSnapshot { is_complete: true, ..VoterSnapshot::default() };
    let mut voter = Voter::start(at(-TERM), terms, VoterId(0), Some(image), 1);
    let wants = (0..6).map(|n| LeaseEpoch { lease: LeaseId(n), epoch: Epoch(1) }).collect();
    voter.handle_message(at(0), &Message::Request { from: CandidateId(1), round: 1, leases: wants });
    let said = kept(&mut voter).into_iter().find_map(|(_, word)| match word {
        Message::Response { verdicts, .. } => Some(verdicts),
        _ => None,
    });
    let full = said.unwrap_or_default().iter().filter(|(_, verdict)| *verdict == Verdict::AtCapacity).count();
    assert_eq!(full, 2);
}

#[test]
fn clocks_that_surely_run_apart_are_told_and_slow_answers_are_not_taken_for_it() {
    let ask = |round| Message::Request { from: CandidateId(1), round, leases: Vec::new() };
    let answer = |round, clock: i64| Message::Response {
        from: VoterId(1),
        round,
        clock: Timestamp::from_micros(clock),
        verdicts: Vec::new(),
    };
    // By how many millionths the voter's clock is off, and how long its answers take.
    for (ppm, took, wanted) in
        [(0, 2, false), (1900, 2, false), (3000, 2, true), (-3000, 2, true), (3000, 400, false)]
    {
        let mut clocks = ClockMonitor::new(3, 1000);
        let mut found = None;
        for round in 0..20_u64 {
            let now = round as i64 * 1000;
            clocks.observe(at(now), &ask(round));
            let showed = (now + took / 2) * 1000;
            let showed = 77_000_000 + showed + showed * ppm / 1_000_000;
            found = found.or(clocks.observe(at(now + took), &answer(round, showed)));
        }
        assert_eq!(found.is_some(), wanted, "{ppm} ppm, answers in {took} ms: {found:?}");
    }
}

#[test]
fn the_taker_takes_no_older_epoch_and_no_second_holder() {
    let mut guard = FencingGuard::default();
    let (a, b) = (lease_id("a"), lease_id("b"));
    assert!(guard.admit(a, Epoch(2), CandidateId(1)).is_ok());
    assert!(guard.admit(a, Epoch(2), CandidateId(1)).is_ok());
    assert!(guard.admit(a, Epoch(2), CandidateId(2)).is_err());
    assert!(guard.admit(a, Epoch(1), CandidateId(1)).is_err());
    assert!(guard.admit(b, Epoch(1), CandidateId(1)).is_ok(), "another lease");
    assert!(guard.admit(a, Epoch(3), CandidateId(2)).is_ok());
    assert_eq!(guard.newest_epoch(a), Some(Epoch(3)));
}

#[test]
fn a_holder_that_cannot_renew_loses_it_before_its_voters_give_it_away() {
    let mut voters: Vec<Voter> = (0..3).map(voter).collect();
    let mut one = Candidate::new(LeaseConfig::default(), CandidateId(5));
    one.request(at(0), lease_id("a"), 0, 0.0);
    one.tick(at(0), || 0.5);
    settle(&mut voters, &mut one, 0);
    assert_eq!(one.events, [Event::Acquired { lease: lease_id("a"), epoch: Epoch(1) }]);
    let mut lost = None;
    for now in 1..=TERM {
        one.tick(at(now), || 0.5);
        one.outbox.clear();
        if lost.is_none() && one.permit(at(now), lease_id("a")).is_none() {
            lost = Some(now);
        }
    }
    let lost = lost.expect("it ends");
    assert!(
        lost < TERM && voters.iter().all(|voter| voter.remaining(at(lost), lease_id("a")).is_some()),
        "{lost}"
    );
    assert!(lost >= TERM * 99 / 100, "and not much sooner: {lost}");
}

#[test]
fn files_that_name_other_voters_or_terms_do_not_talk_to_each_other() {
    let names = |names: &[&str]| names.iter().map(ToString::to_string).collect::<Vec<_>>();
    let one = group_id("f", &names(&["a", "b", "c"]), ms(3000), 1000);
    let others = [
        group_id("g", &names(&["a", "b", "c"]), ms(3000), 1000),
        group_id("f", &names(&["a", "b", "d"]), ms(3000), 1000),
        group_id("f", &names(&["a", "b", "c"]), ms(3001), 1000),
        group_id("f", &names(&["a", "b", "c"]), ms(3000), 999),
    ];
    assert!(others.iter().all(|other| *other != one));
    let marks: BTreeMap<u64, ()> = others.iter().map(|mark| (*mark, ())).collect();
    assert_eq!(marks.len(), 4);
}
