//! A plain model of a move: two groups that remember tokens, a copy, clients that repeat, several routers that share
//! nothing, hear late or never, and start anew. It shares no code with the package; it checks what clients hold acks
//! for against what the target has in the end.

use std::collections::{BTreeMap, HashMap};

use arrowyard_cells::admission::{AdmissionPermit, Capacity, LayoutError, OpContext, RejectReason};
use arrowyard_cells::layout::{Cell, Layout, Lease};
use arrowyard_cells::tenant_move::{MoveConfig, MoveConflict, MoveSettings, Stage, Step, WriteOutcome};
use arrowyard_cells::{AdmissionDecision, Cells};
use arrowyard_types::{CellId, Consistency, GroupId, HostId, TimeDelta, Timestamp};
use fastrand::Rng;
use proptest::prelude::*;

const SOURCE: i64 = 1;
const TARGET: i64 = 2;
/// How long hosts remember tokens, and how long clients repeat: a repeat has to reach its host in time.
const MEMORY: i64 = 1800;
const PATIENCE: i64 = 1200;
const TIMEOUT: i64 = 500;
const SKEW: i64 = 20;
const LEASE: i64 = 3000;
const FENCE: i64 = 3100;
const COPIED: i64 = FENCE + TIMEOUT + SKEW + 40;
const SWITCH: i64 = COPIED + 300;
const END: i64 = 9000;

fn ms(millis: i64) -> Timestamp {
    Timestamp::from_micros(millis * 1000)
}

fn span(millis: i64) -> TimeDelta {
    TimeDelta::from_millis(millis)
}

fn row(step: Step) -> MoveConfig {
    let announced = step >= Step::Fenced;
    let copied = step >= Step::Switched && step != Step::Cancelled;
    MoveConfig {
        tenant: "t".into(),
        from: CellId(0),
        to: CellId(1),
        groups: Some((GroupId(SOURCE), GroupId(TARGET))),
        client_group: Some(GroupId(SOURCE)),
        step,
        fence_at: announced.then_some(ms(FENCE)),
        switch_at: announced.then_some(ms(SWITCH)),
        copied_through: copied.then_some(ms(COPIED)),
        target_floor: copied.then_some(ms(COPIED + 50)),
        target_host: copied.then(|| "x".into()),
        token_retention: span(MEMORY),
    }
}

/// The file at each step; each has a lease, the first one's ends before the fence.
fn file(step: Option<Step>) -> Layout {
    let cell = |name: &str| Cell {
        name: name.into(),
        weight: 1.0,
        groups: Vec::new(),
        hosts: Vec::new(),
        guaranteed_fraction: 0.5,
        accepts_hashed_tenants: true,
        concurrency_limit: None,
        removed: false,
    };
    let epoch = step.map_or(1, |step| 2 + step as u64);
    let home = CellId(u32::from(step == Some(Step::Done)));
    let until = if step.is_some_and(|step| step >= Step::Fenced) { END * 2 } else { LEASE };
    Layout {
        epoch,
        cells: vec![cell("a"), cell("b")],
        tenants: [("t".into(), home), ("u".into(), CellId(1))].into_iter().collect(),
        networks: Vec::new(),
        cells_per_hashed_tenant: None,
        reclaim_period: span(100),
        retry_budget: None,
        rollout: None,
        lease: Some(Lease { expires_at: ms(until), max_clock_skew: span(SKEW) }),
        moves: step.map(row).into_iter().collect(),
    }
}

fn desk(now: i64, layout: Layout, marks: bool) -> Cells {
    let terms = MoveSettings {
        clients_mark_retries: marks,
        max_op_timeout: span(TIMEOUT),
        max_clock_skew: span(SKEW),
    };
    let mut cells = Cells::new(ms(now), layout, Capacity { ops: 400, bytes: 1 << 20, probes: 8 }, terms);
    cells.set_group_hosts(GroupId(TARGET), &[(HostId(1), "x"), (HostId(2), "y"), (HostId(3), "z")]);
    cells
}

fn facts(need: Consistency, token: Option<u64>, again: bool, due: i64) -> OpContext<'static> {
    let (tenant, address, group) = (Some("t"), None, GroupId(SOURCE));
    OpContext {
        tenant,
        address,
        group,
        bytes: 10,
        consistency: need,
        session: Some(7),
        token,
        is_retry: again,
        deadline: ms(due),
    }
}

/// A group as it is written: turns with their positions, and the tokens that it remembers.
#[derive(Default)]
struct Log {
    turns: Vec<(i64, u64)>,
    tokens: HashMap<u64, (i64, i64)>,
}

impl Log {
    /// Where the turn was applied, now or when its token was first seen.
    fn apply(&mut self, now: i64, token: u64) -> i64 {
        if let Some(&(first, position)) = self.tokens.get(&token)
            && now < first + MEMORY
        {
            return position;
        }
        self.turns.push((now, token));
        self.tokens.insert(token, (now, now));
        now
    }
}

enum Event {
    /// A client asks for its turn: token, since when, whether it asks again.
    Ask(u64, i64, bool),
    /// A held op is asked about anew.
    Again(usize, u64, i64, bool, AdmissionPermit, u64),
    /// A send reaches its group; whether its answer gets through, and when its router hears of the end.
    Run(usize, i64, u64, i64, AdmissionPermit, u64, bool, i64),
    Ended(usize, u64, i64, AdmissionPermit, WriteOutcome, Option<i64>, u64),
    Read,
    File(usize, Step),
    Restart(usize, Option<Step>),
}

struct World {
    rng: Rng,
    events: BTreeMap<(i64, u64), Event>,
    number: u64,
    /// With how far its clock is off, and a number that tells its starts apart.
    routers: Vec<(Cells, i64, u64)>,
    source: Log,
    target: Log,
    copied: bool,
    acked: Vec<(u64, i64)>,
    marks: bool,
    given: [u32; 4],
}

impl World {
    fn at(&mut self, when: i64, event: Event) {
        self.number += 1;
        self.events.insert((when, self.number), event);
    }

    fn ask(&mut self, now: i64, router: usize, token: u64, since: i64, again: bool) {
        let (cells, off, life) = &mut self.routers[router];
        let life = *life;
        let due = now + TIMEOUT;
        let verdict = cells
            .admit(ms(now + *off), &facts(Consistency::Write, Some(token), again && self.marks, due + *off));
        match verdict {
            AdmissionDecision::Admit { permit: pass, group, .. } => {
                self.given[usize::from(group.0 == TARGET)] += 1;
                let send = now + self.rng.i64(1..40);
                match self.rng.u8(0..10) {
                    // Never: the host turned it away.
                    0 => self.at(
                        send,
                        Event::Ended(router, token, since, pass, WriteOutcome::NotExecuted, None, life),
                    ),
                    // It runs late, and its answer is lost.
                    1 => {
                        let late = self.rng.i64(40..TIMEOUT);
                        self.at(
                            now + late,
                            Event::Run(router, group.0, token, since, pass, life, false, due),
                        );
                    }
                    // It never runs, and nobody knows.
                    2 => self
                        .at(due, Event::Ended(router, token, since, pass, WriteOutcome::Unknown, None, life)),
                    3 => {
                        self.at(send, Event::Run(router, group.0, token, since, pass, life, false, send + 5))
                    }
                    _ => self.at(send, Event::Run(router, group.0, token, since, pass, life, true, send + 5)),
                }
            }
            AdmissionDecision::Hold { permit: pass, until } => {
                let wake = (until.micros() / 1000 - self.routers[router].1).min(now + 25);
                assert!(wake <= due, "held beyond its time");
                self.at(wake.max(now + 1), Event::Again(router, token, since, again, pass, life));
            }
            AdmissionDecision::Busy { reason: why, retry_after: after, .. } => {
                self.given[2] += 1;
                assert!(matches!(why, RejectReason::MoveFenced | RejectReason::LeaseExpired), "{why:?}");
                assert!(
                    why == RejectReason::LeaseExpired || after.is_some_and(|after| after > TimeDelta::ZERO)
                );
                let back = after.map_or(200, |after| after.micros() / 1000);
                self.retry(now + back, token, since, again);
            }
            AdmissionDecision::Error { reason: why } => {
                self.given[3] += 1;
                assert_eq!(why, RejectReason::OutcomeUnknown);
            }
        }
    }

    /// Clients repeat for 1.2 s after they first asked.
    fn retry(&mut self, when: i64, token: u64, since: i64, again: bool) {
        if when <= since + PATIENCE {
            self.at(when, Event::Ask(token, since, again));
        }
    }

    fn step(&mut self, now: i64, event: Event) {
        if now >= COPIED && !self.copied {
            self.copied = true;
            let copied = self.source.turns.iter().filter(|(at, _)| *at <= COPIED);
            self.target.turns.extend(copied);
        }
        match event {
            Event::Ask(token, since, again) => {
                // Sessions keep to a router, but for some that roam.
                let router = if self.rng.u8(0..4) == 0 { self.rng.usize(0..3) } else { (token % 3) as usize };
                self.ask(now, router, token, since, again);
            }
            Event::Again(router, token, since, again, pass, life) => {
                if self.routers[router].2 == life {
                    let (cells, off, _) = &mut self.routers[router];
                    cells.release(ms(now + *off), pass, WriteOutcome::NotExecuted, None);
                    self.ask(now, router, token, since, again);
                }
            }
            Event::Run(router, group, token, since, pass, life, answered, ends) => {
                let log = if group == TARGET { &mut self.target } else { &mut self.source };
                let position = log.apply(now, token);
                let (ran, told) = if answered {
                    (WriteOutcome::Acked, Some(position))
                } else {
                    (WriteOutcome::Unknown, None)
                };
                self.at(ends, Event::Ended(router, token, since, pass, ran, told, life));
            }
            Event::Ended(router, token, since, pass, ran, position, life) => {
                let (cells, off, alive) = &mut self.routers[router];
                if *alive != life {
                    // The router died meanwhile, and its client's connection with it.
                    return;
                }
                cells.release(ms(now + *off), pass, ran, position.map(ms));
                match ran {
                    WriteOutcome::Acked => self.acked.push((token, now)),
                    // What never ran is busy-replied; the client's repeat is marked all the same.
                    _ => {
                        let back = now + self.rng.i64(1..300);
                        self.retry(back, token, since, true);
                    }
                }
            }
            Event::Read => {
                let router = self.rng.usize(0..3);
                let (cells, off, _) = &mut self.routers[router];
                let read = facts(Consistency::Session, None, false, now + TIMEOUT + *off);
                match cells.admit(ms(now + *off), &read) {
                    AdmissionDecision::Admit { permit: pass, group, min_position: floor } => {
                        cells.release(ms(now + *off), pass, WriteOutcome::NotExecuted, None);
                        if group.0 == TARGET {
                            assert_eq!(floor, row(Step::Switched).target_floor);
                        } else {
                            // The source has all that was acked before.
                            let missing = self
                                .acked
                                .iter()
                                .find(|(turn, _)| !self.source.turns.iter().any(|(_, t)| t == turn));
                            assert_eq!(missing, None, "a read of the source at {now} that misses a turn");
                        }
                    }
                    AdmissionDecision::Busy { reason: RejectReason::MoveFenced, .. } => {
                        assert!(now >= SWITCH - 2 * SKEW, "at {now}")
                    }
                    AdmissionDecision::Busy { reason: RejectReason::LeaseExpired, .. } => {
                        assert!(now >= LEASE - 2 * SKEW, "at {now}")
                    }
                    AdmissionDecision::Hold { permit: pass, .. } => {
                        cells.release(ms(now + *off), pass, WriteOutcome::NotExecuted, None)
                    }
                    other => panic!("{other:?}"),
                }
            }
            Event::File(router, step) => {
                let (cells, off, _) = &mut self.routers[router];
                let now = ms(now + *off);
                if cells.replace_layout(now, file(Some(step))).is_ok() {
                    cells.set_group_hosts(
                        GroupId(TARGET),
                        &[(HostId(1), "x"), (HostId(2), "y"), (HostId(3), "z")],
                    );
                }
            }
            Event::Restart(router, step) => {
                let (_, off, life) = self.routers[router];
                self.routers[router] = (desk(now + off, file(step), self.marks), off, life + 1);
            }
        }
        // Two of three hosts of the target follow, the third stands still.
        for (cells, off, _) in &mut self.routers {
            cells.record_position(HostId(1), ms(now), true);
            cells.record_position(HostId(2), ms(now - 10), false);
            cells.tick(ms(now + *off));
        }
    }
}

fn run(seed: u64, marks: bool, jumps: bool, restarts: usize) -> World {
    let mut rng = Rng::with_seed(seed);
    let routers = (0..3)
        .map(|_| {
            let off = rng.i64(-SKEW / 2..=SKEW / 2);
            (desk(off, file(None), marks), off, 0)
        })
        .collect();
    let (events, source, target, acked) = Default::default();
    let (number, copied, given) = (0, false, [0; 4]);
    let mut world = World { rng, events, number, routers, source, target, copied, acked, marks, given };
    let steps = [
        (300, Step::Planned),
        (900, Step::Copying),
        (2000, Step::Fenced),
        (COPIED, Step::Switched),
        (7000, Step::Done),
    ];
    for router in 0..3 {
        // One router may hear of nothing from some step on.
        let deaf = if router == 2 && world.rng.bool() { world.rng.usize(0..5) } else { 5 };
        for (when, step) in steps.into_iter().take(deaf) {
            let misses = jumps && world.rng.u8(0..3) == 0;
            if !misses {
                let late = world.rng.i64(0..900);
                world.at(when + late, Event::File(router, step));
            }
        }
    }
    for _ in 0..restarts {
        let (when, router) = (world.rng.i64(200..END - 500), world.rng.usize(0..3));
        let known: Vec<Step> = steps.iter().filter(|(at, _)| *at < when).map(|(_, step)| *step).collect();
        let old = if known.is_empty() { None } else { Some(known[world.rng.usize(0..known.len())]) };
        world.at(when, Event::Restart(router, old));
    }
    for token in 0..220 {
        let when = world.rng.i64(0..END - 2000);
        world.at(when, Event::Ask(token, when, false));
        let when = world.rng.i64(0..END - 2000);
        world.at(when, Event::Read);
    }
    while let Some(((now, _), event)) = world.events.pop_first() {
        world.step(now, event);
    }
    world
}

fn check(world: &World) {
    let mut times: HashMap<u64, u32> = HashMap::new();
    for (_, turn) in &world.target.turns {
        *times.entry(*turn).or_default() += 1;
    }
    for (turn, at) in &world.acked {
        assert!(times.contains_key(turn), "turn {turn}, acked at {at}, is missing");
    }
    for (turn, times) in times {
        assert_eq!(times, 1, "turn {turn} was applied {times} times");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 160,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_201),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_acked_turn_is_missing_and_none_is_applied_twice(
        seed in any::<u64>(),
        marks in prop::bool::weighted(0.8),
        jumps in any::<bool>(),
        restarts in 0_usize..4,
    ) {
        check(&run(seed, marks, jumps, restarts));
    }
}

#[test]
fn a_move_without_trouble_ends_and_writes_go_on_at_the_target() {
    let world = run(1, true, false, 0);
    check(&world);
    let [source, target, busy, unsure] = world.given;
    assert!(source > 60 && target > 60 && busy > 0, "{source} {target} {busy} {unsure}");
    assert!(unsure < 20, "{unsure}");
    for (cells, ..) in world.routers.iter().take(2) {
        assert_eq!(
            cells.moves().map(|(_, stage, out, _)| (stage, out)).collect::<Vec<_>>(),
            [(Stage::Done, 0)]
        );
    }
}

/// A router at a step of the move, at the time, with a write of token 1 that ended so.
fn noted(ran: WriteOutcome, step: Step, now: i64) -> Cells {
    let mut cells = desk(0, file(Some(Step::Planned)), true);
    if ran == WriteOutcome::NotExecuted {
        let AdmissionDecision::Admit { permit: pass, .. } =
            cells.admit(ms(2900), &facts(Consistency::Write, Some(1), false, 3400))
        else {
            panic!("nothing is fenced yet")
        };
        cells.release(ms(2950), pass, ran, None);
    }
    let mut cells = match ran {
        WriteOutcome::NotExecuted => cells,
        _ => desk(0, file(Some(Step::Planned)), true),
    };
    let go = cells.admit(ms(2900), &facts(Consistency::Write, Some(1), false, 3400));
    let AdmissionDecision::Admit { permit: pass, .. } = go else { panic!("{go:?}") };
    if ran != WriteOutcome::InFlight {
        cells.release(ms(2950), pass, ran, (ran == WriteOutcome::Acked).then_some(ms(2940)));
    }
    let fenced = cells.replace_layout(ms(2990), file(Some(Step::Fenced)));
    assert_eq!(fenced, Ok(()));
    if step >= Step::Switched {
        assert_eq!(cells.replace_layout(ms(now.min(SWITCH)), file(Some(step))), Ok(()));
        cells.set_group_hosts(GroupId(TARGET), &[(HostId(1), "x"), (HostId(2), "y"), (HostId(3), "z")]);
        [1, 2].into_iter().for_each(|host| cells.record_position(HostId(host), ms(COPIED + 60), host == 1));
    }
    cells.tick(ms(now));
    cells
}

#[test]
fn a_repeat_goes_where_its_first_send_left_it() {
    let repeat = |ran, step, now: i64| {
        let mut cells = noted(ran, step, now);
        match cells.admit(ms(now), &facts(Consistency::Write, Some(1), true, now + 300)) {
            AdmissionDecision::Admit { group, .. } => Ok(group.0),
            AdmissionDecision::Hold { .. } => Err("held"),
            AdmissionDecision::Busy { .. } => Err("busy"),
            AdmissionDecision::Error { .. } => Err("unsure"),
        }
    };
    // Behind the fence, as long as the copy goes on: what may have run is settled at the source.
    for ran in [WriteOutcome::Acked, WriteOutcome::Unknown, WriteOutcome::InFlight] {
        assert_eq!(repeat(ran, Step::Fenced, FENCE + 10), Ok(SOURCE), "{ran:?}");
    }
    assert_eq!(
        repeat(WriteOutcome::NotExecuted, Step::Fenced, FENCE + 10),
        Ok(SOURCE),
        "it may have run by another router"
    );
    // Behind the copy: only what has no effect of its own any more.
    let late = COPIED + 10;
    assert_eq!(repeat(WriteOutcome::Acked, Step::Fenced, late), Ok(SOURCE));
    assert_eq!(repeat(WriteOutcome::Unknown, Step::Fenced, late), Err("unsure"));
    // Switched: an acked one goes to the source while it remembers, the rest nowhere as long as it may remember.
    let switched = SWITCH + 5;
    assert_eq!(repeat(WriteOutcome::Acked, Step::Switched, switched), Ok(SOURCE));
    assert_eq!(repeat(WriteOutcome::NotExecuted, Step::Switched, switched), Err("unsure"));
    assert_eq!(repeat(WriteOutcome::NotExecuted, Step::Switched, FENCE + MEMORY + SKEW), Ok(TARGET));
    assert_eq!(repeat(WriteOutcome::Unknown, Step::Switched, switched), Err("unsure"));
    assert_eq!(repeat(WriteOutcome::Acked, Step::Switched, 2900 + MEMORY + 10), Err("unsure"));
}

#[test]
fn from_the_earliest_clocks_fence_on_no_write_goes_to_the_source() {
    // Danger: a router whose clock is behind lets a write through that another's copy has left behind it.
    let write = |now: i64| {
        let mut cells = desk(0, file(Some(Step::Fenced)), true);
        cells.tick(ms(now));
        place(&mut cells, now, facts(Consistency::Write, Some(1), false, now + TIMEOUT))
    };
    assert_eq!(write(FENCE - SKEW - TIMEOUT - 1), "source");
    assert_eq!(write(FENCE - SKEW - 1), "source", "the fence is nowhere reached");
    assert_ne!(write(FENCE - SKEW), "source", "by the earliest clock it is");
    assert_ne!(write(FENCE - 1), "source");
}

#[test]
fn a_rush_at_the_fence_is_held_in_bounds_and_given_back_at_once_beyond_them() {
    let mut cells = noted(WriteOutcome::NotExecuted, Step::Fenced, SWITCH - 100);
    let verdicts: Vec<AdmissionDecision> = (10..500)
        .map(|token| {
            cells.admit(ms(SWITCH - 100), &facts(Consistency::Write, Some(token), false, SWITCH + 400))
        })
        .collect();
    let held: Vec<AdmissionPermit> = verdicts
        .iter()
        .filter_map(|verdict| {
            if let AdmissionDecision::Hold { permit: pass, .. } = verdict { Some(*pass) } else { None }
        })
        .collect();
    assert_eq!(held.len(), 50, "a quarter of its cell's share of 200");
    let back = |verdict: &&AdmissionDecision| matches!(verdict, AdmissionDecision::Busy { retry_after: Some(after), .. } if *after == span(100));
    assert_eq!(verdicts.iter().filter(back).count(), 440);
    // One that cannot be answered in time is not held at all.
    let short = cells.admit(ms(SWITCH - 100), &facts(Consistency::Write, Some(900), false, SWITCH + 50));
    assert!(matches!(short, AdmissionDecision::Busy { reason: RejectReason::MoveFenced, .. }), "{short:?}");
    held.into_iter().for_each(|pass| cells.release(ms(SWITCH - 90), pass, WriteOutcome::NotExecuted, None));
    assert_eq!(cells.report()[0].ops, 0);
}

#[test]
fn the_switch_waits_for_the_copy_for_most_of_the_target_and_for_its_time() {
    let stage = |cells: &Cells| cells.moves().next().map(|(_, stage, ..)| stage);
    // Acked behind the end of the copy.
    let mut late = noted(WriteOutcome::InFlight, Step::Switched, SWITCH + 5);
    assert_eq!(stage(&late), Some(Stage::Fenced), "its write is out");
    let pass = late.admit(ms(FENCE + 1), &facts(Consistency::Write, Some(1), true, FENCE + 300));
    let AdmissionDecision::Admit { permit: pass, .. } = pass else { panic!("{pass:?}") };
    late.release(ms(SWITCH + 6), pass, WriteOutcome::Acked, Some(ms(COPIED + 5)));
    late.release(ms(SWITCH + 6), pass, WriteOutcome::Acked, Some(ms(COPIED + 5)));
    assert_eq!(stage(&late), Some(Stage::Drained));
    // The target's newest records are lost with its primary before the switch: what was learnt last counts.
    let mut lost = noted(WriteOutcome::Acked, Step::Switched, SWITCH - 5);
    assert_eq!(stage(&lost), Some(Stage::Drained));
    lost.record_position(HostId(1), ms(COPIED - 500), true);
    lost.tick(ms(SWITCH + 5));
    assert_eq!(stage(&lost), Some(Stage::Drained));
    lost.record_position(HostId(3), ms(COPIED + 70), false);
    lost.tick(ms(SWITCH + 6));
    assert_eq!(stage(&lost), Some(Stage::Switched));
    // Another host took over at the target before the switch: its positions run on, without the copy.
    let mut over = noted(WriteOutcome::Acked, Step::Switched, SWITCH - 5);
    over.record_position(HostId(2), ms(SWITCH), true);
    over.record_position(HostId(1), ms(SWITCH), false);
    over.tick(ms(SWITCH + 5));
    assert_eq!(stage(&over), Some(Stage::Drained));
    // The copy was looked at again.
    let mut again = Layout { epoch: 9, ..file(Some(Step::Switched)) };
    again.moves[0].target_host = Some("y".into());
    assert_eq!(over.replace_layout(ms(SWITCH + 6), again), Ok(()));
    over.set_group_hosts(GroupId(TARGET), &[(HostId(1), "x"), (HostId(2), "y"), (HostId(3), "z")]);
    over.tick(ms(SWITCH + 7));
    assert_eq!(stage(&over), Some(Stage::Switched));
}

#[test]
fn files_that_go_back_jump_or_contradict_are_refused_whole() {
    let mut cells = noted(WriteOutcome::Acked, Step::Switched, SWITCH + 5);
    let before = cells.layout().clone();
    assert_eq!(
        cells.replace_layout(ms(SWITCH + 6), file(Some(Step::Copying))),
        Err(LayoutError::Epoch { held: 5, offered: 3 })
    );
    let later = |step, epoch| Layout { epoch, ..file(step) };
    let back = later(Some(Step::Cancelled), 9);
    assert_eq!(
        cells.replace_layout(ms(SWITCH + 6), back),
        Err(LayoutError::Move("t".into(), MoveConflict::AfterSwitch))
    );
    assert_eq!(
        cells.replace_layout(ms(SWITCH + 6), later(None, 9)),
        Err(LayoutError::MoveMissing("t".into()))
    );
    assert_eq!(*cells.layout(), before);
    assert_eq!(cells.replace_layout(ms(SWITCH + 6), file(Some(Step::Switched))), Ok(()), "the same again");
    // A fence that other routers cannot know of yet.
    let mut fresh = desk(0, file(Some(Step::Planned)), true);
    let mut early = later(Some(Step::Fenced), 9);
    early.moves[0].fence_at = Some(ms(LEASE - 100));
    assert_eq!(fresh.replace_layout(ms(100), early), Err(LayoutError::FenceTooEarly("t".into())));
    // A fence that was reached is not put off.
    let mut fenced = noted(WriteOutcome::Acked, Step::Fenced, FENCE + 5);
    let mut off = later(Some(Step::Fenced), 9);
    off.moves[0].fence_at = Some(ms(FENCE + 3000));
    assert_eq!(
        fenced.replace_layout(ms(FENCE + 6), off),
        Err(LayoutError::Move("t".into(), MoveConflict::FencePostponed))
    );
    // Cancelled in time, all is as it was.
    assert_eq!(fenced.replace_layout(ms(FENCE + 7), later(Some(Step::Cancelled), 10)), Ok(()));
    let go = fenced.admit(ms(FENCE + 8), &facts(Consistency::Write, Some(5), false, FENCE + 300));
    assert!(matches!(go, AdmissionDecision::Admit { group: GroupId(SOURCE), .. }), "{go:?}");
}

#[test]
fn a_router_whose_file_is_too_old_keeps_to_reads_without_a_bound() {
    let mut cells = desk(0, file(None), true);
    let write = |cells: &mut Cells, now: i64| {
        cells.admit(ms(now), &facts(Consistency::Write, Some(3), false, now + 300))
    };
    assert!(matches!(write(&mut cells, LEASE - SKEW - 1), AdmissionDecision::Admit { .. }));
    assert!(matches!(
        write(&mut cells, LEASE - SKEW),
        AdmissionDecision::Busy { reason: RejectReason::LeaseExpired, .. }
    ));
    let read = cells.admit(ms(LEASE + 500), &facts(Consistency::Any, None, false, LEASE + 800));
    assert!(matches!(read, AdmissionDecision::Admit { .. }));
    let bounded = cells.admit(ms(LEASE), &facts(Consistency::Bounded(span(300)), None, false, LEASE + 800));
    assert!(matches!(bounded, AdmissionDecision::Busy { reason: RejectReason::LeaseExpired, .. }));
    // Nothing bounds how long others act on a file that has no lease.
    let mut unleased = desk(0, Layout { lease: None, ..file(None) }, true);
    assert_eq!(
        unleased.replace_layout(ms(1), file(Some(Step::Fenced))),
        Err(LayoutError::NoLease("t".into()))
    );
}

#[test]
fn at_no_time_does_a_repeat_go_where_it_could_run_a_second_time_or_behind_the_copy() {
    let mut places: BTreeMap<&str, u32> = BTreeMap::new();
    for ran in [WriteOutcome::NotExecuted, WriteOutcome::InFlight, WriteOutcome::Unknown, WriteOutcome::Acked]
    {
        for step in [Step::Planned, Step::Fenced, Step::Switched] {
            for delay in [0, 300, 1100, 1300] {
                // The first send was at 2900; the stage is the one that the time and the file make.
                for now in [2960, FENCE + 10, COPIED + 10, SWITCH + 5].map(|at: i64| at.max(2900 + delay)) {
                    let mut cells = noted(ran, step.max(Step::Fenced), now);
                    let again = cells.admit(ms(now), &facts(Consistency::Write, Some(1), true, now + 300));
                    let stage = cells.moves().next().map(|(_, stage, ..)| stage);
                    let place = match again {
                        AdmissionDecision::Admit { group, .. } if group.0 == SOURCE => "source",
                        AdmissionDecision::Admit { .. } => "target",
                        AdmissionDecision::Hold { .. } | AdmissionDecision::Busy { .. } => "later",
                        AdmissionDecision::Error { .. } => "unsure",
                    };
                    *places.entry(place).or_default() += 1;
                    let case = format!("{ran:?}, {step:?}, at {now}: {place} in {stage:?}");
                    let copied = now + 300 > FENCE + TIMEOUT;
                    assert!(
                        !(place == "target" && now < FENCE + MEMORY),
                        "it may have run at the source: {case}"
                    );
                    assert!(
                        !(place == "source" && copied && ran != WriteOutcome::Acked),
                        "behind the copy: {case}"
                    );
                    assert!(
                        !(place == "source" && now > 2900 + MEMORY),
                        "the source has forgotten it: {case}"
                    );
                    assert!(
                        !(place == "later" && ran >= WriteOutcome::InFlight),
                        "busy, though it may have run: {case}"
                    );
                    assert!(!(place == "target" && stage < Some(Stage::Switched)), "{case}");
                }
            }
        }
    }
    assert!(places["source"] > 10 && places["unsure"] > 10, "{places:?}");
}

#[test]
fn a_tenant_that_moved_moves_back_under_the_name_that_its_clients_use() {
    let mut cells = noted(WriteOutcome::Acked, Step::Switched, SWITCH + 5);
    assert_eq!(cells.replace_layout(ms(SWITCH + 10), file(Some(Step::Done))), Ok(()));
    cells.tick(ms(FENCE + MEMORY + SKEW));
    let go = |cells: &mut Cells, now: i64| match cells
        .admit(ms(now), &facts(Consistency::Write, Some(77), false, now + 300))
    {
        AdmissionDecision::Admit { permit: pass, group, .. } => {
            cells.release(ms(now), pass, WriteOutcome::NotExecuted, None);
            group.0
        }
        other => panic!("{other:?}"),
    };
    assert_eq!(go(&mut cells, 6000), TARGET);
    let back = |step, epoch| {
        let mut layout = Layout { epoch, ..file(Some(Step::Done)) };
        let (fence, one) = (7000, &mut layout.moves[0]);
        (one.from, one.to, one.step) = (CellId(1), CellId(0), step);
        one.groups = Some((GroupId(TARGET), GroupId(SOURCE)));
        (one.fence_at, one.switch_at) = (Some(ms(fence)), Some(ms(fence + 800)));
        (one.copied_through, one.target_floor) = (Some(ms(fence + 600)), Some(ms(fence + 610)));
        // Others may act on the old lease; here it has no end that matters.
        layout
    };
    assert_eq!(
        cells.replace_layout(ms(6001), back(Step::Planned, 8)),
        Err(LayoutError::FenceTooEarly("t".into()))
    );
    let leased = Layout {
        epoch: 8,
        lease: Some(Lease { expires_at: ms(6900), max_clock_skew: span(SKEW) }),
        ..file(Some(Step::Done))
    };
    assert_eq!(cells.replace_layout(ms(6001), leased), Ok(()));
    assert_eq!(cells.replace_layout(ms(6002), back(Step::Planned, 9)), Ok(()));
    assert_eq!(go(&mut cells, 6500), TARGET, "its data is there till the switch");
    assert_eq!(cells.replace_layout(ms(7700), back(Step::Switched, 10)), Ok(()));
    cells.set_group_hosts(GroupId(SOURCE), &[(HostId(7), "x"), (HostId(8), "y")]);
    [(7, true), (8, false)]
        .into_iter()
        .for_each(|(host, primary)| cells.record_position(HostId(host), ms(7790), primary));
    assert_eq!(go(&mut cells, 7801), SOURCE);
}

fn place(cells: &mut Cells, now: i64, wanted: OpContext) -> &'static str {
    match cells.admit(ms(now), &wanted) {
        AdmissionDecision::Admit { permit: pass, group, .. } => {
            cells.release(ms(now), pass, WriteOutcome::NotExecuted, None);
            if group.0 == SOURCE { "source" } else { "target" }
        }
        AdmissionDecision::Hold { permit: pass, .. } => {
            cells.release(ms(now), pass, WriteOutcome::NotExecuted, None);
            "held"
        }
        AdmissionDecision::Busy { .. } => "busy",
        AdmissionDecision::Error { .. } => "unsure",
    }
}

#[test]
fn what_a_router_never_saw_is_asked_for_only_while_the_copy_goes_on() {
    let repeat = |now: i64| facts(Consistency::Write, Some(50), true, now + 300);
    let fenced = || noted(WriteOutcome::Acked, Step::Fenced, FENCE + 5);
    assert_eq!(place(&mut fenced(), FENCE + 10, repeat(FENCE + 10)), "source");
    assert_eq!(place(&mut fenced(), COPIED + 10, repeat(COPIED + 10)), "unsure");
    // Before the fence, a client that waits for longer than any op type: its write could end behind the copy.
    let long = |due| facts(Consistency::Write, Some(51), false, due);
    assert_eq!(
        place(&mut noted(WriteOutcome::Acked, Step::Fenced, 2995), 2995, long(FENCE + TIMEOUT)),
        "source"
    );
    assert_eq!(
        place(&mut noted(WriteOutcome::Acked, Step::Fenced, 2995), 2995, long(FENCE + TIMEOUT + SKEW)),
        "busy"
    );
    let mut cancelled = noted(WriteOutcome::Acked, Step::Fenced, FENCE + 5);
    let row = Layout { epoch: 9, ..file(Some(Step::Cancelled)) };
    assert_eq!(cancelled.replace_layout(ms(FENCE + 6), row), Ok(()));
    assert_eq!(place(&mut cancelled, FENCE + 7, long(FENCE + 7 + 5000)), "source");
}

#[test]
fn a_move_within_one_group_needs_no_copy_and_sends_repeats_on() {
    let alone = |epoch, step| {
        let mut layout = Layout { epoch, ..file(Some(step)) };
        (layout.moves[0].groups, layout.moves[0].client_group) = (None, None);
        (layout.moves[0].fence_at, layout.moves[0].switch_at) = (None, None);
        layout
    };
    let mut cells = desk(0, alone(2, Step::Planned), true);
    let go = cells.admit(ms(10), &facts(Consistency::Write, Some(1), false, 400));
    let AdmissionDecision::Admit { permit: pass, .. } = go else { panic!("{go:?}") };
    assert_eq!(pass.cell, CellId(0));
    assert_eq!(cells.replace_layout(ms(20), alone(3, Step::Fenced)), Ok(()));
    assert_eq!(place(&mut cells, 30, facts(Consistency::Write, Some(1), true, 400)), "busy");
    assert_eq!(cells.replace_layout(ms(40), alone(4, Step::Switched)), Ok(()));
    assert_eq!(
        cells.moves().map(|(_, stage, out, tokens)| (stage, out, tokens)).next(),
        Some((Stage::Fenced, 1, 1))
    );
    cells.release(ms(50), pass, WriteOutcome::Unknown, None);
    let again = cells.admit(ms(60), &facts(Consistency::Write, Some(1), true, 400));
    assert!(
        matches!(again, AdmissionDecision::Admit { permit: pass, group: GroupId(SOURCE), .. } if pass.cell == CellId(1)),
        "{again:?}"
    );
}

#[test]
fn a_move_is_over_once_the_source_has_forgotten_and_tokens_are_forgotten_with_it() {
    let mut cells = noted(WriteOutcome::Acked, Step::Switched, SWITCH + 5);
    let stage = |cells: &Cells| cells.moves().next().map(|(_, stage, _, tokens)| (stage, tokens));
    assert_eq!(cells.replace_layout(ms(SWITCH + 6), file(Some(Step::Done))), Ok(()));
    assert!(!cells.tick(ms(SWITCH + 7)), "a stage is news once");
    cells.tick(ms(FENCE + MEMORY + SKEW - 1));
    assert_eq!(stage(&cells), Some((Stage::Switched, 1)), "the source remembers");
    assert!(cells.tick(ms(FENCE + MEMORY + SKEW)));
    assert_eq!(stage(&cells), Some((Stage::Done, 1)));
    cells.tick(ms(2900 + 2 * MEMORY + TIMEOUT + 1));
    assert_eq!(stage(&cells), Some((Stage::Done, 0)));
    // What is told of a stuck move is told once.
    let mut stuck = noted(WriteOutcome::InFlight, Step::Fenced, FENCE + 5);
    let told = |cells: &mut Cells| cells.take_events().len();
    told(&mut stuck);
    stuck.tick(ms(FENCE + 6));
    assert_eq!(told(&mut stuck), 0);
}

#[test]
fn a_primary_that_ceases_to_be_one_no_longer_confirms_the_copy() {
    let mut cells = noted(WriteOutcome::Acked, Step::Switched, SWITCH - 5);
    cells.record_position(HostId(1), ms(SWITCH), false);
    cells.tick(ms(SWITCH + 5));
    assert_eq!(cells.moves().next().map(|(_, stage, ..)| stage), Some(Stage::Drained));
    cells.record_position(HostId(1), ms(SWITCH), true);
    cells.tick(ms(SWITCH + 6));
    assert_eq!(cells.moves().next().map(|(_, stage, ..)| stage), Some(Stage::Switched));
}

#[test]
fn held_ops_give_their_places_back() {
    let mut cells = noted(WriteOutcome::NotExecuted, Step::Fenced, SWITCH - 100);
    for round in 0..5 {
        // Each round fills what the fence holds at most.
        let wanted = |token| facts(Consistency::Write, Some(token), false, SWITCH + 400);
        let verdicts: Vec<AdmissionDecision> =
            (100..160).map(|token| cells.admit(ms(SWITCH - 100), &wanted(token))).collect();
        let passes = verdicts.iter().filter_map(|v| {
            if let AdmissionDecision::Hold { permit: pass, .. } = v { Some(*pass) } else { None }
        });
        let passes: Vec<AdmissionPermit> = passes.collect();
        assert_eq!(passes.len(), 50, "round {round}");
        passes
            .into_iter()
            .for_each(|pass| cells.release(ms(SWITCH - 90), pass, WriteOutcome::NotExecuted, None));
    }
    assert_eq!(cells.moves().next().map(|(.., out, _)| out), Some(0), "what is held is not out");
}

#[test]
fn a_target_that_is_full_gives_writes_back_and_the_source_gets_none_of_them() {
    let mut switched = noted(WriteOutcome::Acked, Step::Switched, SWITCH + 5);
    // Another tenant fills the target's cell: its own room, and all that is lent.
    let other = |cells: &mut Cells, token| {
        let wanted = facts(Consistency::Write, Some(token), false, SWITCH + 400);
        let wanted = OpContext { tenant: Some("u"), group: GroupId(TARGET), ..wanted };
        cells.admit(ms(SWITCH + 6), &wanted)
    };
    let filled = (1000..1400)
        .filter(|&token| matches!(other(&mut switched, token), AdmissionDecision::Admit { .. }))
        .count();
    assert!(filled > 0);
    let write = switched.admit(ms(SWITCH + 7), &facts(Consistency::Write, Some(2000), false, SWITCH + 400));
    assert!(
        matches!(
            write,
            AdmissionDecision::Busy { reason: RejectReason::OpCapacity, retry_after: Some(_), .. }
        ),
        "{write:?}"
    );
    // A repeat of what the source acked is still the source's, within the room of its cell.
    let repeat = switched.admit(ms(SWITCH + 7), &facts(Consistency::Write, Some(1), true, SWITCH + 400));
    assert!(matches!(repeat, AdmissionDecision::Admit { group: GroupId(SOURCE), .. }), "{repeat:?}");
}

#[test]
fn a_move_to_a_group_without_a_known_primary_or_hosts_waits_and_can_be_cancelled() {
    let mut cells = desk(0, file(Some(Step::Planned)), true);
    assert_eq!(cells.replace_layout(ms(2990), file(Some(Step::Fenced))), Ok(()));
    assert_eq!(cells.replace_layout(ms(SWITCH), file(Some(Step::Switched))), Ok(()));
    // Its hosts are gone, or drain and were taken off the list; then some are back, and none says that it is primary.
    for hosts in [&[][..], &[(HostId(1), "x"), (HostId(2), "y")]] {
        cells.set_group_hosts(GroupId(TARGET), hosts);
        hosts.iter().for_each(|(host, _)| cells.record_position(*host, ms(SWITCH), false));
        cells.tick(ms(SWITCH + 5));
        assert_eq!(cells.moves().next().map(|(_, stage, ..)| stage), Some(Stage::Drained));
        assert_eq!(
            place(&mut cells, SWITCH + 6, facts(Consistency::Write, Some(9), false, SWITCH + 400)),
            "busy"
        );
    }
    assert_eq!(
        cells.replace_layout(ms(SWITCH + 7), Layout { epoch: 9, ..file(Some(Step::Cancelled)) }),
        Ok(())
    );
    assert_eq!(
        place(&mut cells, SWITCH + 8, facts(Consistency::Write, Some(9), false, SWITCH + 400)),
        "source"
    );
}
