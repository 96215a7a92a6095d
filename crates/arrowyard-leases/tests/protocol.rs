//! The voter against a reference model, candidates with thousands of leases, damaged datagrams and files,
//! and clock drift.

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

/// A voter that is past its startup wait at time 0.
fn voter(index: u8) -> Voter {
    let snapshot = VoterSnapshot { is_complete: true, ..VoterSnapshot::default() };
    let mut voter = Voter::start(at(-TERM), LeaseConfig::default(), VoterId(index), Some(snapshot), 1);
    voter.tick(at(0));
    write_and_take_outgoing(&mut voter);
    voter
}

fn write_and_take_outgoing(voter: &mut Voter) -> Vec<(Destination, Message)> {
    if let Some((number, _)) = voter.start_write() {
        voter.write_finished(number, true);
    }
    voter.take_outgoing()
}

/// A request or release that the voter handled, and whether it was granted.
#[derive(Clone, Debug)]
struct HistoryEntry {
    /// In milliseconds, as all times here.
    now: i64,
    candidate: u64,
    round: u64,
    epoch: u64,
    is_release: bool,
    granted: bool,
}

/// The expected response of a voter, computed from the complete history.
fn expected_response(
    history: &[HistoryEntry],
    now: i64,
    candidate: u64,
    round: u64,
    epoch: u64,
) -> Option<&'static str> {
    let newest = history.iter().filter(|entry| entry.granted).map(|entry| entry.epoch).max();
    let Some(newest) = newest else { return Some(if epoch == 0 { "stale epoch" } else { "granted" }) };
    let first_grant = history
        .iter()
        .position(|entry| entry.granted && entry.epoch == newest)
        .expect("the epoch was granted");
    let holder = history[first_grant].candidate;
    // Replays the rounds of the newest grant in order.
    let (mut last_round, mut held_until) = (history[first_grant].round, history[first_grant].now + TERM);
    for entry in &history[first_grant + 1..] {
        if entry.candidate != holder || entry.epoch != newest || entry.round < last_round {
            continue;
        }
        if entry.is_release {
            (last_round, held_until) = (entry.round, held_until.min(entry.now));
        } else if entry.round > last_round {
            (last_round, held_until) = (entry.round, entry.now + TERM);
        }
    }
    if candidate == holder && epoch == newest {
        return (round >= last_round).then_some("granted");
    }
    if now < held_until && candidate != holder {
        return Some("held");
    }
    Some(if epoch <= newest { "stale epoch" } else { "granted" })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]
    #[test]
    fn the_voter_responds_as_the_reference_model(
        steps in proptest::collection::vec((0_i64..2500, 0_u64..3, 0_u64..8, 0_u64..6, 0_u8..4), 1..80),
    ) {
        let mut voter = voter(0);
        let (mut now, mut history): (i64, Vec<HistoryEntry>) = (1, Vec::new());
        let lease = lease_id("a");
        for (elapsed_ms, candidate, round, epoch, kind) in steps {
            now += elapsed_ms;
            let leases = vec![LeaseEpoch { lease, epoch: Epoch(epoch) }];
            let (from, is_release) = (CandidateId(candidate), kind == 0);
            let message = if is_release { Message::Release { from, round, held: round % 2 == 0, leases } } else { Message::Request { from, round, leases } };
            let expected = expected_response(&history, now, candidate, round, epoch).filter(|_| !is_release);
            voter.handle_message(at(now), &message);
            let response = write_and_take_outgoing(&mut voter).into_iter().find_map(|(_, message)| match message {
                Message::Response { verdicts, .. } => Some(match verdicts[0].1 {
                    Verdict::Granted(_) => "granted",
                    Verdict::Held { .. } => "held",
                    Verdict::StaleEpoch(_) => "stale epoch",
                    _ => "other",
                }),
                _ => None,
            });
            prop_assert_eq!(response, expected, "{:?} after {:?}", message, history);
            history.push(HistoryEntry { now, candidate, round, epoch, is_release, granted: response == Some("granted") });
        }
    }

    #[test]
    fn damaged_datagrams_are_dropped_and_valid_ones_round_trip(
        round in any::<u64>(), epoch in any::<u64>(), position in 0_usize..200, bit in 0_u8..8, length in 0_usize..200,
    ) {
        let leases = vec![LeaseEpoch { lease: lease_id("a"), epoch: Epoch(epoch) }; 3];
        let verdicts = vec![
            (lease_id("a"), Verdict::Held { epoch: Epoch(epoch), remaining: ms(7) }),
            (lease_id("b"), Verdict::Granted(Epoch(1))),
        ];
        let messages = [
            Message::Request { from: CandidateId(round), round, leases: leases.clone() },
            Message::Release { from: CandidateId(round), round, held: true, leases },
            Message::Response { from: VoterId(2), round, clock: Timestamp::from_micros(-5), verdicts },
            Message::Available { from: VoterId(1), lease: lease_id("a"), epoch: Epoch(epoch) },
            Message::RecoveryRequest { from: VoterId(1), incarnation: round, nonce: epoch },
            Message::RecoveryResponse { from: VoterId(1), requested_by: epoch, highest: Epoch(epoch), last_known: round, is_complete: true },
        ];
        for message in messages {
            let bytes = encode(&message, 7);
            prop_assert_eq!(decode(&bytes, 7), Ok(message.clone()));
            prop_assert_eq!(decode(&bytes, 8), Err(DecodeError::Foreign));
            let mut broken = bytes.clone();
            let position = position % bytes.len();
            broken[position] ^= 1 << bit;
            prop_assert_eq!(decode(&broken, 7), Err(DecodeError::Garbled));
            prop_assert!(decode(&bytes[..length % bytes.len()], 7).is_err());
        }
    }

    #[test]
    fn damaged_voter_files_are_rejected(
        incarnation in any::<u64>(), epoch_floor in any::<u64>(), position in 0_usize..300, bit in 0_u8..8, length in 0_usize..300,
    ) {
        let snapshot = VoterSnapshot {
            incarnation,
            epoch_floor: Epoch(epoch_floor),
            is_complete: true,
            votes: vec![(lease_id("a"), Epoch(3), CandidateId(9)), (lease_id("b"), Epoch(4), CandidateId(8))],
            incarnations: vec![(VoterId(1), incarnation, epoch_floor)],
        };
        let bytes = storage::encode(&snapshot, 7, "n0");
        prop_assert_eq!(storage::decode(&bytes, 7, "n0"), Ok(snapshot));
        prop_assert_eq!(storage::decode(&bytes, 8, "n0"), Err(storage::LoadError::Foreign));
        prop_assert_eq!(storage::decode(&bytes, 7, "n1"), Err(storage::LoadError::Foreign), "file of another voter");
        let mut broken = bytes.clone();
        let position = position % bytes.len();
        broken[position] ^= 1 << bit;
        prop_assert!(storage::decode(&broken, 7, "n0").is_err());
        prop_assert!(storage::decode(&bytes[..length % bytes.len()], 7, "n0").is_err());
    }
}

#[test]
fn no_message_is_sent_before_its_snapshot_is_durable() {
    let mut voter = voter(0);
    let leases = vec![LeaseEpoch { lease: lease_id("a"), epoch: Epoch(1) }];
    voter.handle_message(at(1), &Message::Request { from: CandidateId(1), round: 1, leases: leases.clone() });
    assert!(voter.take_outgoing().is_empty());
    let (number, snapshot) = voter.start_write().expect("the snapshot has changed");
    assert_eq!(snapshot.votes, [(lease_id("a"), Epoch(1), CandidateId(1))]);
    assert!(voter.start_write().is_none(), "one write at a time");
    voter.write_finished(number, false);
    assert!(voter.take_outgoing().is_empty(), "the write failed");
    // A renewal does not change the snapshot, but must wait for the grant to be durable.
    voter.handle_message(at(2), &Message::Request { from: CandidateId(1), round: 2, leases });
    assert!(voter.take_outgoing().is_empty());
    let (number, _) = voter.start_write().expect("the failed write is repeated");
    voter.write_finished(number, true);
    assert_eq!(voter.take_outgoing().len(), 2);
    assert!(voter.start_write().is_none());
}

#[test]
fn a_voter_without_votes_recovers_from_a_majority_of_others_after_its_wait() {
    let config = LeaseConfig { voter_count: 5, ..LeaseConfig::default() };
    let mut voter = Voter::start(at(0), config, VoterId(0), None, 3);
    let respond = |voter: &mut Voter, now: i64, from: u8, highest: u64, is_complete: bool| {
        let requested_by = voter.incarnation();
        let message = Message::RecoveryResponse {
            from: VoterId(from),
            requested_by,
            highest: Epoch(highest),
            last_known: 0,
            is_complete,
        };
        voter.handle_message(at(now), &message);
    };
    (1..5).for_each(|from| respond(&mut voter, 10, from, 9, true));
    assert!(matches!(voter.stage(), Stage::Waiting(_)), "responses during the wait do not count");
    let first_incarnation = voter.incarnation();
    voter.tick(at(TERM));
    for from in 1..5 {
        // Sent before the wait was over, and delayed.
        let (from, highest) = (VoterId(from), Epoch(3));
        voter.handle_message(
            at(TERM),
            &Message::RecoveryResponse {
                from,
                requested_by: first_incarnation,
                highest,
                last_known: 0,
                is_complete: true,
            },
        );
    }
    assert!(
        matches!(voter.stage(), Stage::Recovering(_)),
        "responses sent during the wait do not count later"
    );
    respond(&mut voter, TERM, 1, 9, true);
    respond(&mut voter, TERM, 1, 9, true);
    respond(&mut voter, TERM, 2, 12, false);
    respond(&mut voter, TERM, 3, 4, true);
    assert!(
        matches!(voter.stage(), Stage::Recovering(_)),
        "duplicates and voters without votes do not count"
    );
    respond(&mut voter, TERM, 4, 7, true);
    assert_eq!(*voter.stage(), Stage::Voting);
    let request = |epoch| Message::Request {
        from: CandidateId(1),
        round: epoch,
        leases: vec![LeaseEpoch { lease: lease_id("a"), epoch: Epoch(epoch) }],
    };
    let mut verdict = |epoch| {
        voter.handle_message(at(TERM + 1), &request(epoch));
        write_and_take_outgoing(&mut voter).into_iter().find_map(|(_, message)| match message {
            Message::Response { verdicts, .. } => Some(verdicts[0].1),
            _ => None,
        })
    };
    assert_eq!(verdict(9), Some(Verdict::StaleEpoch(Epoch(9))));
    assert_eq!(verdict(10), Some(Verdict::Granted(Epoch(10))));
}

#[test]
fn an_older_snapshot_is_detected_by_its_incarnation_and_a_repeated_request_is_not() {
    let (mut other_voter, mut voter) = (voter(1), voter(0));
    let recovery_request =
        |incarnation, nonce| Message::RecoveryRequest { from: VoterId(0), incarnation, nonce };
    let last_known = |other_voter: &mut Voter, message: &Message| {
        other_voter.handle_message(at(1), message);
        let response =
            write_and_take_outgoing(other_voter).into_iter().find_map(|(_, message)| match message {
                Message::RecoveryResponse { last_known, .. } => Some((last_known, message)),
                _ => None,
            });
        response.expect("the voter responds")
    };
    assert_eq!(last_known(&mut other_voter, &recovery_request(4, 70)).0, 0);
    assert_eq!(
        last_known(&mut other_voter, &recovery_request(4, 70)).0,
        3,
        "a repeated request of the same start"
    );
    assert_eq!(last_known(&mut other_voter, &recovery_request(5, 71)).0, 4);
    // An older snapshot was restored: the incarnation repeats.
    assert_eq!(last_known(&mut other_voter, &recovery_request(4, 72)).0, 5);
    let (incarnation, message) = last_known(&mut other_voter, &recovery_request(5, 73));
    assert_eq!(incarnation, 5);
    voter.handle_message(at(2), &message);
    assert!(matches!(voter.stage(), Stage::Recovering(_)), "the voter stops voting");
    assert_eq!(voter.incarnation(), 6);
}

/// Delivers all messages between voters and a candidate immediately. Returns the number of messages from the
/// candidate.
fn deliver_all(voters: &mut [Voter], candidate: &mut Candidate, now: i64) -> usize {
    let mut messages = 0;
    loop {
        let outgoing = std::mem::take(&mut candidate.outbox);
        if outgoing.is_empty() {
            return messages;
        }
        messages += outgoing.len();
        for (to, message) in outgoing {
            let Destination::Voter(VoterId(index)) = to else { continue };
            let voter = &mut voters[usize::from(index)];
            voter.handle_message(at(now), &message);
            for (_, response) in write_and_take_outgoing(voter) {
                assert!(
                    encode(&response, 1).len() <= MAX_DATAGRAM_BYTES
                        && encode(&message, 1).len() <= MAX_DATAGRAM_BYTES
                );
                candidate.handle_message(at(now), &response, || 0.5);
            }
        }
    }
}

#[test]
fn ten_thousand_leases_share_messages_and_are_released_at_once() {
    let config = LeaseConfig::default();
    let mut voters: Vec<Voter> = (0..3).map(voter).collect();
    let mut candidate = Candidate::new(config, CandidateId(5));
    let leases: Vec<LeaseId> = (0..10_000).map(|n| lease_id(&format!("task-{n}"))).collect();
    leases.iter().for_each(|&lease| candidate.request(at(0), lease, 0, 0.0));
    candidate.tick(at(0), || 0.5);
    let first_messages = deliver_all(&mut voters, &mut candidate, 0);
    assert!(leases.iter().all(|&lease| candidate.permit(at(0), lease).is_some()));
    assert_eq!(first_messages, 10_000_usize.div_ceil(config.max_batch_leases) * 3);
    // Renewals during one term.
    let mut messages = 0;
    for now in (50..=TERM).step_by(50) {
        candidate.tick(at(now), || 0.5);
        messages += deliver_all(&mut voters, &mut candidate, now);
    }
    assert!(messages <= first_messages * 4, "{messages} messages per term");
    assert!(leases.iter().all(|&lease| candidate.permit(at(TERM), lease).is_some()));
    candidate.release_all();
    deliver_all(&mut voters, &mut candidate, TERM);
    assert!(leases.iter().all(|&lease| candidate.permit(at(TERM), lease).is_none()));
    assert!(
        voters.iter().all(|voter| leases.iter().all(|&lease| voter.remaining(at(TERM + 1), lease).is_none()))
    );
}

/// Delivers the verdict of one voter on the lease to a candidate.
fn deliver_verdict(candidate: &mut Candidate, now: i64, voter: u8, round: u64, verdict: Verdict) {
    let verdicts = vec![(LeaseId(1), verdict)];
    let message = Message::Response { from: VoterId(voter), round, clock: at(now), verdicts };
    candidate.handle_message(at(now), &message, || 0.5);
}

/// Runs the candidate until its next round and returns the time and the round.
fn next_round(candidate: &mut Candidate) -> (i64, u64) {
    candidate.outbox.clear();
    loop {
        let due = candidate.next_at().expect("it requests the lease");
        candidate.tick(due, || 0.5);
        if let Some(round) = candidate.open_round(LeaseId(1)) {
            return (due.micros() / 1000, round);
        }
    }
}

fn candidate_for_one_lease() -> Candidate {
    let mut candidate = Candidate::new(LeaseConfig::default(), CandidateId(1));
    candidate.request(at(0), LeaseId(1), 0, 0.0);
    candidate
}

fn held(epoch: u64) -> Verdict {
    Verdict::Held { epoch: Epoch(epoch), remaining: ms(800) }
}

/// Guards against a lease that nobody holds for a term after its release: a single voter that has granted a
/// later epoch to a losing candidate must not make the others ignore the release of the holder's epoch.
#[test]
fn a_release_is_noticed_although_a_minority_granted_a_later_epoch() {
    let mut candidate = candidate_for_one_lease();
    let (now, round) = next_round(&mut candidate);
    deliver_verdict(&mut candidate, now, 0, round, held(3));
    deliver_verdict(&mut candidate, now, 1, round, held(2));
    assert!(candidate.open_round(LeaseId(1)).is_none());
    let released = Message::Available { from: VoterId(1), lease: LeaseId(1), epoch: Epoch(2) };
    candidate.handle_message(at(now + 10), &released, || 0.5);
    assert_eq!(next_round(&mut candidate).0, now + 10);
    // The notifications of other voters for the same epoch do not start another round.
    let (now, round) = (now + 10, candidate.open_round(LeaseId(1)).expect("a round is open"));
    deliver_verdict(&mut candidate, now, 0, round, held(3));
    deliver_verdict(&mut candidate, now, 1, round, held(4));
    candidate.handle_message(at(now + 1), &released, || 0.5);
    assert!(next_round(&mut candidate).0 > now + 100);
}

/// Guards against a lease that nobody holds for a term after its release: a grant that arrives after its
/// round was lost would keep the other candidates from this voter for a whole term.
#[test]
fn a_grant_of_a_lost_round_is_released() {
    let mut candidate = candidate_for_one_lease();
    let (now, round) = next_round(&mut candidate);
    deliver_verdict(&mut candidate, now, 1, round, held(2));
    deliver_verdict(&mut candidate, now, 2, round, held(2));
    candidate.outbox.clear();
    deliver_verdict(&mut candidate, now, 0, round, Verdict::Granted(Epoch(1)));
    let is_release = |message: &Message| {
        matches!(message, Message::Release { round: released, held: false, leases, .. }
            if *released == round && leases == &[LeaseEpoch { lease: LeaseId(1), epoch: Epoch(1) }])
    };
    assert_eq!(candidate.outbox.iter().filter(|(_, message)| is_release(message)).count(), 3);
}

/// Guards against growing waits, and ignored releases, after voters have restarted: a voter that abstains is
/// not in conflict with the candidate.
#[test]
fn abstentions_do_not_count_as_conflicts() {
    let mut candidate = candidate_for_one_lease();
    let mut waits = Vec::new();
    let mut last = 0;
    for _ in 0..8 {
        let (now, round) = next_round(&mut candidate);
        waits.push(now - last);
        last = now;
        deliver_verdict(&mut candidate, now, 0, round, Verdict::Abstained);
        deliver_verdict(&mut candidate, now, 2, round, Verdict::Abstained);
    }
    assert!(waits.iter().all(|wait| *wait <= 250), "{waits:?}");
    let released = Message::Available { from: VoterId(1), lease: LeaseId(1), epoch: Epoch(2) };
    candidate.handle_message(at(last + 1), &released, || 0.5);
    assert_eq!(next_round(&mut candidate).0, last + 1);
}

#[test]
fn a_voter_limits_the_number_of_leases() {
    let config = LeaseConfig { max_leases: 4, ..LeaseConfig::default() };
    let snapshot = VoterSnapshot { is_complete: true, ..VoterSnapshot::default() };
    let mut voter = Voter::start(at(-TERM), config, VoterId(0), Some(snapshot), 1);
    let leases = (0..6).map(|n| LeaseEpoch { lease: LeaseId(n), epoch: Epoch(1) }).collect();
    voter.handle_message(at(0), &Message::Request { from: CandidateId(1), round: 1, leases });
    let response = write_and_take_outgoing(&mut voter).into_iter().find_map(|(_, message)| match message {
        Message::Response { verdicts, .. } => Some(verdicts),
        _ => None,
    });
    let at_capacity =
        response.unwrap_or_default().iter().filter(|(_, verdict)| *verdict == Verdict::AtCapacity).count();
    assert_eq!(at_capacity, 2);
}

#[test]
fn clock_drift_is_reported_and_slow_responses_are_not() {
    let request = |round| Message::Request { from: CandidateId(1), round, leases: Vec::new() };
    let response = |round, clock_us: i64| Message::Response {
        from: VoterId(1),
        round,
        clock: Timestamp::from_micros(clock_us),
        verdicts: Vec::new(),
    };
    // The drift of the voter's clock, and the delay of its responses.
    for (ppm, delay_ms, expected) in
        [(0, 2, false), (1900, 2, false), (3000, 2, true), (-3000, 2, true), (3000, 400, false)]
    {
        let mut monitor = ClockMonitor::new(3, 1000);
        let mut reported = None;
        for round in 0..20_u64 {
            let now = round as i64 * 1000;
            monitor.observe(at(now), &request(round));
            let true_us = (now + delay_ms / 2) * 1000;
            let voter_us = 77_000_000 + true_us + true_us * ppm / 1_000_000;
            reported = reported.or(monitor.observe(at(now + delay_ms), &response(round, voter_us)));
        }
        assert_eq!(reported.is_some(), expected, "{ppm} ppm, responses after {delay_ms} ms: {reported:?}");
    }
}

#[test]
fn the_fencing_guard_rejects_older_epochs_and_second_holders() {
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
fn a_lease_that_is_not_renewed_expires_at_its_holder_before_its_voters() {
    let mut voters: Vec<Voter> = (0..3).map(voter).collect();
    let mut candidate = Candidate::new(LeaseConfig::default(), CandidateId(5));
    candidate.request(at(0), lease_id("a"), 0, 0.0);
    candidate.tick(at(0), || 0.5);
    deliver_all(&mut voters, &mut candidate, 0);
    assert_eq!(candidate.events, [Event::Acquired { lease: lease_id("a"), epoch: Epoch(1) }]);
    let mut expired_at = None;
    for now in 1..=TERM {
        candidate.tick(at(now), || 0.5);
        candidate.outbox.clear();
        if expired_at.is_none() && candidate.permit(at(now), lease_id("a")).is_none() {
            expired_at = Some(now);
        }
    }
    let expired_at = expired_at.expect("the lease expires");
    assert!(
        expired_at < TERM
            && voters.iter().all(|voter| voter.remaining(at(expired_at), lease_id("a")).is_some()),
        "{expired_at}"
    );
    assert!(expired_at >= TERM * 99 / 100, "not much earlier than the term: {expired_at}");
}

#[test]
fn group_ids_differ_by_fleet_voters_term_and_drift_bound() {
    let owned = |names: &[&str]| names.iter().map(ToString::to_string).collect::<Vec<_>>();
    let id = group_id("f", &owned(&["a", "b", "c"]), ms(3000), 1000);
    let other_ids = [
        group_id("g", &owned(&["a", "b", "c"]), ms(3000), 1000),
        group_id("f", &owned(&["a", "b", "d"]), ms(3000), 1000),
        group_id("f", &owned(&["a", "b", "c"]), ms(3001), 1000),
        group_id("f", &owned(&["a", "b", "c"]), ms(3000), 999),
    ];
    assert!(other_ids.iter().all(|other| *other != id));
    let distinct_ids: BTreeMap<u64, ()> = other_ids.iter().map(|id| (*id, ())).collect();
    assert_eq!(distinct_ids.len(), 4);
}
