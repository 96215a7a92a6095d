//! The replicated log under random failures: lost, duplicated and delayed messages, killed processes
//! and lost disks within the tolerated limits.
//! Checks that acknowledged entries stay in the same slot on every machine, that two changes of one
//! revision are never both applied, and that reads return every entry acknowledged before them.

use std::collections::BTreeMap;

use arrowyard_control::{
    AppliedState, ChangeDigest, Output, ProposalId, ProposalOutcome, Record, RecordKind, ReplicatedLog,
    change_digest,
};
use arrowyard_messages::{
    Ballot, Chosen, ConfigRevision, Duty, Entry, EntryPayload, LogEntries as Entries, Payload, Prepare,
    Probed, Voters,
};
use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;
use prost::Message;

struct Machine {
    log: Option<ReplicatedLog>,
    disk: Vec<Vec<u8>>,
    wiped: bool,
    /// Until then the disk refuses records; a snapshot replaces the refused ones afterwards.
    writes_fail_until: Option<Timestamp>,
}

struct Cluster {
    now: Timestamp,
    rng: Rng,
    machines: Vec<Machine>,
    /// Arrival time, destination, sender and message.
    in_transit: Vec<(Timestamp, usize, u32, Payload)>,
    pending_writes: Vec<(Timestamp, usize, u64, Vec<u8>, u32)>,
    incarnations: Vec<u32>,
    outcomes: BTreeMap<(usize, u32, u64), ProposalOutcome>,
    loss: f64,
}

fn ip(machine: usize) -> u32 {
    machine as u32 + 1
}

impl Cluster {
    fn new(seed: u64, machines: usize, voters: usize, loss: f64) -> Self {
        let founders: Vec<u32> = (0..voters).map(ip).collect();
        let mut cluster = Cluster {
            now: Timestamp::from_micros(0),
            rng: Rng::with_seed(seed),
            machines: Vec::new(),
            in_transit: Vec::new(),
            pending_writes: Vec::new(),
            incarnations: vec![0; machines],
            outcomes: BTreeMap::new(),
            loss,
        };
        for machine in 0..machines {
            let mut out = Vec::new();
            let log = ReplicatedLog::open(ip(machine), seed ^ machine as u64, &[], Some(&founders), &mut out);
            cluster.machines.push(Machine {
                log: Some(log.expect("empty disk")),
                disk: Vec::new(),
                wiped: false,
                writes_fail_until: None,
            });
            cluster.execute(machine, out);
        }
        cluster
    }

    fn execute(&mut self, machine: usize, out: Vec<Output>) {
        for one in out {
            match one {
                Output::Send { to: 0, payload: message } => {
                    for other in (0..self.machines.len()).filter(|other| *other != machine) {
                        self.send(machine, other, message.clone());
                    }
                }
                Output::Send { to, payload: message } => self.send(machine, to as usize - 1, message),
                Output::Store { ticket, record } => {
                    let done = self.now + TimeDelta::from_micros(self.rng.i64(500..6000));
                    self.pending_writes.push((done, machine, ticket, record, self.incarnations[machine]));
                }
                Output::Chosen { .. } => {}
                Output::Resolved { proposal, outcome } => {
                    self.outcomes.insert((machine, self.incarnations[machine], proposal.0), outcome);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Payload) {
        let copies = if self.rng.f64() < self.loss { 0 } else { 1 + usize::from(self.rng.f64() < self.loss) };
        for _ in 0..copies {
            let at = self.now + TimeDelta::from_micros(self.rng.i64(300..9000));
            self.in_transit.push((at, to, ip(from), message.clone()));
        }
    }

    fn with(&mut self, machine: usize, act: impl FnOnce(&mut ReplicatedLog, Timestamp, &mut Vec<Output>)) {
        let mut out = Vec::new();
        if let Some(log) = self.machines[machine].log.as_mut() {
            act(log, self.now, &mut out);
        }
        self.execute(machine, out);
    }

    /// Advances the time by a millisecond.
    fn step(&mut self) {
        self.now = self.now + TimeDelta::from_millis(1);
        let now = self.now;
        let mut due: Vec<_> = self.pending_writes.extract_if(.., |(at, ..)| *at <= now).collect();
        due.sort_by_key(|(_, _, ticket, _, _)| *ticket);
        for (_, machine, ticket, record, incarnation) in due {
            if incarnation == self.incarnations[machine] {
                let stored = self.machines[machine].writes_fail_until.is_none();
                if stored {
                    self.machines[machine].disk.push(record);
                }
                self.with(machine, |log, now, out| log.record_stored(now, ticket, stored, out));
            }
        }
        self.recover_disks();
        let due: Vec<_> = self.in_transit.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, to, from, message) in due {
            self.with(to, |log, now, out| log.on_message(now, from, &message, out));
        }
        for machine in 0..self.machines.len() {
            let late =
                self.machines[machine].log.as_ref().and_then(ReplicatedLog::due).is_some_and(|at| at <= now);
            if late {
                self.with(machine, |log, now, out| log.on_timer(now, out));
            }
        }
        // Heartbeats report the number of known entries.
        if now.micros() % 100_000 == 0 {
            for machine in 0..self.machines.len() {
                let Some(chosen) = self.machines[machine].log.as_ref().map(ReplicatedLog::chosen) else {
                    continue;
                };
                for other in (0..self.machines.len()).filter(|other| *other != machine) {
                    if self.rng.f64() >= self.loss {
                        self.with(other, |log, now, out| {
                            log.observe_peer_progress(now, ip(machine), chosen, out)
                        });
                    }
                }
            }
        }
    }

    /// Disks that work again store a snapshot in place of all records.
    fn recover_disks(&mut self) {
        for machine in &mut self.machines {
            if machine.writes_fail_until.is_some_and(|until| until <= self.now)
                && let Some(log) = machine.log.as_mut()
            {
                machine.writes_fail_until = None;
                machine.disk = vec![log.snapshot(None)];
                log.disk_recovered();
            }
        }
    }

    fn kill(&mut self, machine: usize, wipe: bool) {
        self.incarnations[machine] += 1;
        self.machines[machine].writes_fail_until = None;
        self.machines[machine].log = None;
        if wipe {
            self.machines[machine].disk.clear();
            self.machines[machine].wiped = true;
        }
    }

    fn start(&mut self, machine: usize) {
        let mut out = Vec::new();
        let incarnation = self.rng.u64(..);
        let log = ReplicatedLog::open(ip(machine), incarnation, &self.machines[machine].disk, None, &mut out);
        self.machines[machine].log = Some(log.expect("records written by this log"));
        self.execute(machine, out);
    }

    /// The voter set according to the machine that knows most entries.
    fn voters(&self) -> Vec<u32> {
        let logs = self.machines.iter().filter_map(|machine| machine.log.as_ref());
        logs.max_by_key(|log| log.chosen()).map_or(Vec::new(), |log| log.voters().to_vec())
    }

    /// Whether the vote of every voter counts.
    fn all_vote(&self) -> bool {
        self.voters()
            .iter()
            .all(|voter| self.machines[*voter as usize - 1].log.as_ref().is_some_and(ReplicatedLog::votes))
    }
}

fn change(revision: u64, base: u64) -> Entry {
    let body = format!("{{\"revision\":{revision},\"services\":[{{\"name\":\"s{revision}\"}}]}}");
    Entry {
        payload: Some(EntryPayload::Configuration(ConfigRevision {
            whole: true,
            base,
            body: body.into_bytes(),
        })),
    }
}

fn revision(entry: &Entry) -> Option<(u64, ChangeDigest)> {
    let Some(EntryPayload::Configuration(revised)) = &entry.payload else { return None };
    let text = String::from_utf8_lossy(&revised.body).into_owned();
    let digits = text.split("revision\":").nth(1)?.split(',').next()?.parse().ok()?;
    Some((digits, change_digest(revised)))
}

/// A voter set that differs by one running machine.
fn random_voter_change(cluster: &mut Cluster, machine: usize) -> Option<Entry> {
    let before = cluster.machines[machine].log.as_ref()?.voters().to_vec();
    let up = |cluster: &Cluster, ip: u32| cluster.machines[ip as usize - 1].log.is_some();
    let mut voters = before.clone();
    if voters.len() > 3 && cluster.rng.bool() {
        voters.remove(cluster.rng.usize(0..voters.len()));
    } else {
        let mut free: Vec<u32> = (0..cluster.machines.len())
            .map(ip)
            .filter(|ip| !before.contains(ip) && up(cluster, *ip))
            .collect();
        cluster.rng.shuffle(&mut free);
        voters.push(free.pop()?);
        voters.sort_unstable();
    }
    Some(Entry { payload: Some(EntryPayload::Voters(Voters { voters, before })) })
}

/// Runs one random history and checks its entries, reads and duties. With `change_voters`, the voter
/// set changes repeatedly.
fn history(seed: u64, machines: usize, voters: usize, loss: f64, change_voters: bool) {
    let mut cluster = Cluster::new(seed, machines, voters, loss);
    let mut proposals: Vec<((usize, u32, u64), Entry)> = Vec::new();
    let mut reads: Vec<((usize, u32, u64), u64)> = Vec::new();
    let mut acknowledged: Vec<(u64, ChangeDigest)> = Vec::new();
    let mut newest_acknowledged = 0;
    let (mut down, mut next_failure_at) = (None, 0);
    for millis in 0..6000_u32 {
        cluster.step();
        for (key, entry) in &proposals {
            if let Some(ProposalOutcome::Committed(_)) = cluster.outcomes.get(key)
                && let Some((revision, digest)) = revision(entry)
                && cluster.machines[key.0]
                    .log
                    .as_ref()
                    .is_some_and(|log| log.applied().applied_change(revision) == Some(digest))
                && !acknowledged.contains(&(revision, digest))
            {
                acknowledged.push((revision, digest));
                newest_acknowledged = newest_acknowledged.max(revision);
            }
        }
        for (key, min_revision) in &reads {
            if cluster.outcomes.get(key) == Some(&ProposalOutcome::Current) {
                let known = cluster.machines[key.0]
                    .log
                    .as_ref()
                    .map_or(u64::MAX, |l| l.applied().configuration.revision);
                assert!(
                    known >= *min_revision,
                    "seed {seed}: a read returned revision {known} after {min_revision} was acknowledged"
                );
            }
        }
        reads.retain(|(key, _)| !cluster.outcomes.contains_key(key));
        let machine = cluster.rng.usize(0..machines);
        if millis < 4500 && millis % 60 == 0 && cluster.machines[machine].log.is_some() {
            let incarnation = cluster.incarnations[machine];
            let until = cluster.now + TimeDelta::from_millis(1500);
            let base =
                cluster.machines[machine].log.as_ref().map_or(0, |l| l.applied().configuration.revision);
            let (revision_step, action) = (cluster.rng.u64(1..4), cluster.rng.u32(0..4));
            let other =
                (change_voters && action < 2).then(|| random_voter_change(&mut cluster, machine)).flatten();
            let entry = if let Some(other) = other.filter(|_| cluster.all_vote()) {
                other
            } else if action == 0 {
                let fence =
                    cluster.machines[machine].log.as_ref().map_or(0, |l| l.applied().duty_fence("promote"));
                let duty = Duty {
                    duty: "promote".into(),
                    holder: ip(machine),
                    incarnation: 1,
                    node: "n".into(),
                    fence,
                };
                Entry { payload: Some(EntryPayload::Duty(duty)) }
            } else {
                change(base + revision_step * 10 + machine as u64, base)
            };
            if action == 3 {
                let mut ticket = ProposalId::default();
                cluster.with(machine, |log, now, out| ticket = log.propose_read(now, until, out));
                reads.push(((machine, incarnation, ticket.0), newest_acknowledged));
            } else {
                let mut ticket = ProposalId::default();
                let proposed = entry.clone();
                cluster.with(machine, |log, now, out| ticket = log.propose_entry(now, proposed, until, out));
                proposals.push(((machine, incarnation, ticket.0), entry));
            }
        }
        // At most one machine is down at a time, and it may lose its disk only while all voters vote.
        match down {
            None if millis < 4000 && millis >= next_failure_at && cluster.rng.f64() < 0.004 => {
                let victim = cluster.rng.usize(0..machines);
                let wipe = cluster.rng.bool() && cluster.all_vote();
                cluster.kill(victim, wipe);
                (down, next_failure_at) = (Some(victim), millis + cluster.rng.u32(20..400));
            }
            Some(victim) if millis >= next_failure_at => {
                cluster.start(victim);
                (down, next_failure_at) = (None, millis + 150);
            }
            _ => {}
        }
        if millis < 4000 && down.is_none() && millis >= next_failure_at && cluster.rng.f64() < 0.002 {
            let victim = cluster.rng.usize(0..machines);
            let for_ms = cluster.rng.i64(20..600);
            cluster.machines[victim].writes_fail_until = Some(cluster.now + TimeDelta::from_millis(for_ms));
            // A lost disk at the same time would exceed the tolerated failures.
            next_failure_at = millis + for_ms as u32 + 100;
        }
        // A second failure before a voter without its disk is readmitted would exceed the tolerated
        // failures.
        if down.is_none() && !cluster.all_vote() {
            next_failure_at = millis + 50;
        }
    }
    cluster.loss = 0.0;
    (0..3000).for_each(|_| cluster.step());
    let logs: Vec<&ReplicatedLog> =
        cluster.machines.iter().filter_map(|machine| machine.log.as_ref()).collect();
    assert_eq!(logs.len(), machines);
    let highest = logs.iter().map(|log| log.chosen()).max().unwrap_or_default();
    assert!(highest > 5, "seed {seed}: only {highest} entries");
    for log in &logs {
        assert_eq!(log.chosen(), highest, "seed {seed}: a machine is missing entries");
        let (mine, its) = (log.applied().snapshot(), logs[0].applied().snapshot());
        assert_eq!(mine, its, "seed {seed}: machines have different states");
        for (revision, digest) in &acknowledged {
            assert_eq!(
                log.applied().applied_change(*revision),
                Some(*digest),
                "seed {seed}: acknowledged revision {revision} is lost"
            );
        }
    }
    assert!(!acknowledged.is_empty(), "seed {seed}: no change was acknowledged");
    assert!(cluster.all_vote(), "seed {seed}: a voter was not readmitted");
}

#[test]
fn three_voters_and_a_learner_agree_despite_random_failures() {
    (0..60).for_each(|seed| history(seed, 4, 3, 0.05, false));
}

#[test]
fn five_voters_agree_despite_frequent_failures() {
    (100..120).for_each(|seed| history(seed, 5, 5, 0.15, false));
}

#[test]
fn agreement_holds_while_the_voter_set_changes() {
    (200..260).for_each(|seed| history(seed, 6, 3, 0.05, true));
}

/// Majorities of voter sets that differ by more than one member need not intersect.
#[test]
fn voter_set_changes_by_one_member_and_only_from_the_expected_set() {
    let mut applied = AppliedState::default();
    applied.voters = vec![1, 2, 3];
    let mut change_voters = |voters: &[u32], before: &[u32]| {
        let voters = Voters { voters: voters.to_vec(), before: before.to_vec() };
        applied.apply(&Entry { payload: Some(EntryPayload::Voters(voters)) });
        applied.voters.clone()
    };
    assert_eq!(change_voters(&[1, 2, 4], &[1, 2, 4]), [1, 2, 3], "the expected set is not the current one");
    assert_eq!(change_voters(&[1, 2, 3, 4, 5], &[1, 2, 3]), [1, 2, 3], "two voters added");
    assert_eq!(change_voters(&[1, 2, 4], &[1, 2, 3]), [1, 2, 3], "one voter replaced by another");
    assert_eq!(change_voters(&[], &[1, 2, 3]), [1, 2, 3], "empty set");
    assert_eq!(change_voters(&[1, 4, 2], &[1, 2, 3]), [1, 2, 3], "not sorted");
    assert_eq!(change_voters(&[1, 2, 3, 4], &[1, 2, 3]), [1, 2, 3, 4]);
    assert_eq!(change_voters(&[1, 2, 4], &[1, 2, 3, 4]), [1, 2, 4]);
}

#[test]
fn recovery_accepts_a_snapshot_written_before_or_after_newer_records() {
    // A snapshot taken before newer records and written after them must not hide those records.
    let mut cluster = Cluster::new(7, 3, 3, 0.0);
    let until = cluster.now + TimeDelta::from_millis(2000);
    cluster.with(0, |log, now, out| _ = log.propose_entry(now, change(5, 0), until, out));
    (0..300).for_each(|_| cluster.step());
    let early = cluster.machines[0].log.as_ref().expect("machine is running").snapshot(None);
    cluster.with(0, |log, now, out| {
        _ = log.propose_entry(now, change(9, 5), now + TimeDelta::from_millis(2000), out)
    });
    (0..300).for_each(|_| cluster.step());
    let mut disk = cluster.machines[0].disk.clone();
    disk.push(early.clone());
    let read = |disk: &[Vec<u8>]| {
        let log = ReplicatedLog::open(1, 1, disk, None, &mut Vec::new()).expect("valid records");
        (log.applied().configuration.revision, log.chosen(), log.votes())
    };
    assert_eq!(read(&disk), (9, 2, true));
    // Older records are discarded once the snapshot replaces them.
    let newer: Vec<Vec<u8>> =
        cluster.machines[0].disk.iter().rev().take(3).rev().cloned().chain([early]).collect();
    assert_eq!(read(&newer).0, 9);
    assert!(
        ReplicatedLog::open(1, 1, &[vec![0xff; 9]], None, &mut Vec::new()).is_err(),
        "an undecodable record is an error"
    );
}

#[test]
fn duty_changes_only_from_the_expected_holder() {
    let mut applied = AppliedState::default();
    let duty = |holder, fence| {
        let duty = Duty { duty: "promote".into(), holder, incarnation: 1, node: "n".into(), fence };
        Entry { payload: Some(EntryPayload::Duty(duty)) }
    };
    applied.apply(&duty(1, 0));
    assert_eq!((applied.duties["promote"].holder, applied.duty_fence("promote")), (1, 1));
    applied.apply(&duty(2, 0));
    assert_eq!(applied.duties["promote"].holder, 1, "the expected holder is outdated");
    applied.apply(&duty(3, 1));
    assert_eq!((applied.duties["promote"].holder, applied.duty_fence("promote")), (3, 3));
}

/// Guards against a busy loop on a machine with an empty disk that does not know the voters.
#[test]
fn without_voters_the_next_wakeup_is_the_proposal_deadline() {
    let (mut out, now) = (Vec::new(), Timestamp::from_micros(5_000_000));
    let mut log = ReplicatedLog::open(9, 1, &[], None, &mut out).expect("empty disk");
    let until = now + TimeDelta::from_millis(1000);
    log.propose_entry(now, change(5, 0), until, &mut out);
    log.on_timer(now, &mut out);
    assert_eq!(log.due(), Some(until));
}

/// The voter set changes between a request and its responses: a removed voter and one other are no
/// majority of the new set.
#[test]
fn a_read_counts_only_current_voters() {
    let (mut out, now) = (Vec::new(), Timestamp::from_micros(0));
    let mut log = ReplicatedLog::open(4, 1, &[], Some(&[1, 2, 3, 4]), &mut out).expect("empty disk");
    let ticket = log.propose_read(now, now + TimeDelta::from_millis(1000), &mut out);
    let response =
        Probed { ticket: ticket.0, chosen: 0, accepted: 0, votes: true, promised: Ballot::default() };
    log.on_message(now, 1, &Payload::Probed(response), &mut out);
    let change_voters = Voters { voters: vec![1, 2, 3], before: vec![1, 2, 3, 4] };
    let entry = Entry { payload: Some(EntryPayload::Voters(change_voters)) };
    log.on_message(now, 1, &Payload::Chosen(Chosen { slot: 1, entry }), &mut out);
    let answered = |out: &[Output]| out.iter().any(|one| matches!(one, Output::Resolved { .. }));
    assert!(log.voters() == [1, 2, 3] && !answered(&out), "only one of three voters has responded");
    log.on_message(now, 2, &Payload::Probed(response), &mut out);
    assert!(answered(&out));
}

/// Guards against sending a message for a refused record, and against losing the promise, which the
/// next snapshot contains.
#[test]
fn no_message_is_sent_for_a_refused_record() {
    let (mut out, now) = (Vec::new(), Timestamp::from_micros(0));
    let mut log = ReplicatedLog::open(1, 1, &[], Some(&[1, 2, 3]), &mut out).expect("empty disk");
    out.clear();
    let ballot = Ballot { round: 7, proposer: 2, incarnation: 1 };
    log.on_message(now, 2, &Payload::Prepare(Prepare { slot: 1, ballot }), &mut out);
    let Some(Output::Store { ticket, .. }) = out.pop() else { panic!("the promise is stored first") };
    log.record_stored(now, ticket, false, &mut out);
    log.disk_recovered();
    log.record_stored(now, ticket, true, &mut out);
    assert_eq!(out, [], "the record was refused");
    let disk = [log.snapshot(None)];
    let mut again = ReplicatedLog::open(1, 2, &disk, None, &mut out).expect("records written by this log");
    let older = Prepare { slot: 1, ballot: Ballot { round: 6, proposer: 3, incarnation: 1 } };
    again.on_message(now, 3, &Payload::Prepare(older), &mut out);
    let promised = out.iter().find_map(|one| match one {
        Output::Send { payload: Payload::Promise(promise), .. } => Some(promise.promised),
        _ => None,
    });
    assert_eq!(promised, Some(ballot), "a promise in memory still holds after the restart");
}

/// A vote for a slot whose predecessor is not on disk proves that records are missing.
#[test]
fn a_voter_with_missing_records_does_not_vote() {
    let mut cluster = Cluster::new(11, 3, 3, 0.0);
    for revision in [5, 9] {
        let (base, until) = (if revision == 5 { 0 } else { 5 }, cluster.now + TimeDelta::from_millis(2000));
        cluster.with(0, |log, now, out| _ = log.propose_entry(now, change(revision, base), until, out));
        (0..300).for_each(|_| cluster.step());
    }
    let disk = cluster.machines[1].disk.clone();
    let votes = |disk: &[Vec<u8>]| {
        ReplicatedLog::open(2, 1, disk, None, &mut Vec::new()).expect("valid records").votes()
    };
    assert!(votes(&disk));
    let is_first = |record: &Vec<u8>| {
        let stored = Record::decode(record.as_slice()).expect("valid record").kind;
        matches!(stored, Some(RecordKind::Chosen(Chosen { slot: 1, .. })))
    };
    let gap: Vec<Vec<u8>> = disk.into_iter().filter(|record| !is_first(record)).collect();
    assert!(!votes(&gap));
}

/// A readmitted voter reports its vote only once it is on disk.
#[test]
fn a_regained_vote_is_reported_once_it_is_durable() {
    let mut cluster = Cluster::new(13, 3, 3, 0.0);
    (0..50).for_each(|_| cluster.step());
    cluster.kill(2, true);
    cluster.start(2);
    let mut seen_before_durable = false;
    for _ in 0..2000 {
        cluster.step();
        let log = cluster.machines[2].log.as_ref().expect("machine is running");
        let on_disk = ReplicatedLog::open(3, 1, &cluster.machines[2].disk, None, &mut Vec::new())
            .expect("records written by this log");
        assert!(!log.is_vote_durable() || on_disk.votes(), "the vote is not on disk");
        seen_before_durable |= log.votes() && !log.is_vote_durable();
    }
    let log = cluster.machines[2].log.as_ref().expect("machine is running");
    assert!(seen_before_durable && log.is_vote_durable());
}

/// Applying a delayed snapshot would undo entries and free their slots.
#[test]
fn an_older_snapshot_is_ignored() {
    let mut cluster = Cluster::new(17, 3, 3, 0.0);
    let mut propose = |revision, base| {
        let until = cluster.now + TimeDelta::from_millis(2000);
        cluster.with(0, |log, now, out| _ = log.propose_entry(now, change(revision, base), until, out));
        (0..300).for_each(|_| cluster.step());
        cluster.machines[0].log.as_ref().expect("machine is running").applied().snapshot()
    };
    let (older, newer) = (propose(5, 0), propose(9, 5));
    let message = Payload::LogEntries(Entries { snapshot: Some(older), entries: Vec::new() });
    cluster.with(0, |log, now, out| log.on_message(now, 2, &message, out));
    let log = cluster.machines[0].log.as_ref().expect("machine is running");
    assert_eq!(log.applied().snapshot(), newer);
}

/// Two deployments with mixed-up seeds or addresses must not take over each other's entries.
#[test]
fn a_snapshot_of_another_deployment_is_refused() {
    let with_entries = |seed: u64| {
        let mut cluster = Cluster::new(seed, 3, 3, 0.0);
        let duty = Duty { duty: "promote".into(), holder: 1, incarnation: seed, node: "n".into(), fence: 0 };
        let duty = Entry { payload: Some(EntryPayload::Duty(duty)) };
        let changes = [change(5, 0), change(9, 5)].into_iter().take(seed as usize % 2 + 1);
        for entry in std::iter::once(duty).chain(changes) {
            let until = cluster.now + TimeDelta::from_millis(2000);
            cluster.with(0, |log, now, out| _ = log.propose_entry(now, entry, until, out));
            (0..300).for_each(|_| cluster.step());
        }
        cluster
    };
    let (mut cluster, other) = (with_entries(30), with_entries(31));
    let snapshot = |cluster: &Cluster| {
        cluster.machines[0].log.as_ref().expect("machine is running").applied().snapshot()
    };
    let (before, foreign) = (snapshot(&cluster), snapshot(&other));
    assert!(foreign.slot > before.slot, "its slot is higher");
    let foreign = Payload::LogEntries(Entries { snapshot: Some(foreign), entries: Vec::new() });
    cluster.with(0, |log, now, out| log.on_message(now, 2, &foreign, out));
    assert_eq!(snapshot(&cluster), before);
}
