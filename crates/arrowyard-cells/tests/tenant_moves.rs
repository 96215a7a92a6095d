//! Tenant moves against a model that shares no code with the package: two groups that deduplicate tokens, a
//! copy, clients that retry, and several routers that share no state, receive layouts late or never, and
//! restart. It compares the acks that clients hold with the final content of the target.

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
/// How long hosts retain tokens, and how long clients retry. A retry has to arrive while its token is
/// retained.
const TOKEN_RETENTION: i64 = 1800;
const CLIENT_RETRY_PERIOD: i64 = 1200;
const OP_TIMEOUT: i64 = 500;
const MAX_CLOCK_SKEW: i64 = 20;
const LEASE_END: i64 = 3000;
const FENCE_AT: i64 = 3100;
const COPIED_THROUGH: i64 = FENCE_AT + OP_TIMEOUT + MAX_CLOCK_SKEW + 40;
const SWITCH_AT: i64 = COPIED_THROUGH + 300;
const END: i64 = 9000;

fn ms(millis: i64) -> Timestamp {
    Timestamp::from_micros(millis * 1000)
}

fn span(millis: i64) -> TimeDelta {
    TimeDelta::from_millis(millis)
}

fn move_config(step: Step) -> MoveConfig {
    let announced = step >= Step::Fenced;
    let copied = step >= Step::Switched && step != Step::Cancelled;
    MoveConfig {
        tenant: "t".into(),
        from: CellId(0),
        to: CellId(1),
        groups: Some((GroupId(SOURCE), GroupId(TARGET))),
        client_group: Some(GroupId(SOURCE)),
        step,
        fence_at: announced.then_some(ms(FENCE_AT)),
        switch_at: announced.then_some(ms(SWITCH_AT)),
        copied_through: copied.then_some(ms(COPIED_THROUGH)),
        target_floor: copied.then_some(ms(COPIED_THROUGH + 50)),
        target_host: copied.then(|| "x".into()),
        token_retention: span(TOKEN_RETENTION),
    }
}

/// The layout at each step. Each has a lease; the first one ends before the fence.
fn layout_at(step: Option<Step>) -> Layout {
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
    let until = if step.is_some_and(|step| step >= Step::Fenced) { END * 2 } else { LEASE_END };
    Layout {
        epoch,
        cells: vec![cell("a"), cell("b")],
        tenants: [("t".into(), home), ("u".into(), CellId(1))].into_iter().collect(),
        networks: Vec::new(),
        cells_per_hashed_tenant: None,
        reclaim_period: span(100),
        retry_budget: None,
        rollout: None,
        lease: Some(Lease { expires_at: ms(until), max_clock_skew: span(MAX_CLOCK_SKEW) }),
        moves: step.map(move_config).into_iter().collect(),
    }
}

fn new_cells(now: i64, layout: Layout, marks_retries: bool) -> Cells {
    let terms = MoveSettings {
        clients_mark_retries: marks_retries,
        max_op_timeout: span(OP_TIMEOUT),
        max_clock_skew: span(MAX_CLOCK_SKEW),
    };
    let mut cells = Cells::new(ms(now), layout, Capacity { ops: 400, bytes: 1 << 20, probes: 8 }, terms);
    cells.set_group_hosts(GroupId(TARGET), &[(HostId(1), "x"), (HostId(2), "y"), (HostId(3), "z")]);
    cells
}

fn op_context(need: Consistency, token: Option<u64>, is_retry: bool, deadline: i64) -> OpContext<'static> {
    let (tenant, address, group) = (Some("t"), None, GroupId(SOURCE));
    OpContext {
        tenant,
        address,
        group,
        bytes: 10,
        consistency: need,
        session: Some(7),
        token,
        is_retry,
        deadline: ms(deadline),
    }
}

/// The writes of a group with their positions, and the tokens that it retains.
#[derive(Default)]
struct GroupLog {
    writes: Vec<(i64, u64)>,
    tokens: HashMap<u64, (i64, i64)>,
}

impl GroupLog {
    /// The position of the write: now, or where its token was first seen.
    fn apply(&mut self, now: i64, token: u64) -> i64 {
        if let Some(&(first, position)) = self.tokens.get(&token)
            && now < first + TOKEN_RETENTION
        {
            return position;
        }
        self.writes.push((now, token));
        self.tokens.insert(token, (now, now));
        now
    }
}

enum Event {
    /// A client sends a write: token, time of its first attempt, whether it is marked as a retry.
    Submit(u64, i64, bool),
    /// A held op is submitted again.
    Resubmit(usize, u64, i64, bool, AdmissionPermit, u64),
    /// A send reaches its group; whether its response arrives, and when its router learns of the end.
    Execute(usize, i64, u64, i64, AdmissionPermit, u64, bool, i64),
    Ended(usize, u64, i64, AdmissionPermit, WriteOutcome, Option<i64>, u64),
    Read,
    File(usize, Step),
    Restart(usize, Option<Step>),
}

struct World {
    rng: Rng,
    events: BTreeMap<(i64, u64), Event>,
    number: u64,
    /// Each with the offset of its clock, and the number of its restarts.
    routers: Vec<(Cells, i64, u64)>,
    source: GroupLog,
    target: GroupLog,
    copied: bool,
    acked: Vec<(u64, i64)>,
    marks_retries: bool,
    decisions: [u32; 4],
}

impl World {
    fn at(&mut self, when: i64, event: Event) {
        self.number += 1;
        self.events.insert((when, self.number), event);
    }

    fn ask(&mut self, now: i64, router: usize, token: u64, first_attempt_at: i64, is_retry: bool) {
        let (cells, clock_offset, start_number) = &mut self.routers[router];
        let start_number = *start_number;
        let deadline = now + OP_TIMEOUT;
        let decision = cells.admit(
            ms(now + *clock_offset),
            &op_context(
                Consistency::Write,
                Some(token),
                is_retry && self.marks_retries,
                deadline + *clock_offset,
            ),
        );
        match decision {
            AdmissionDecision::Admit { permit, group, .. } => {
                self.decisions[usize::from(group.0 == TARGET)] += 1;
                let send = now + self.rng.i64(1..40);
                match self.rng.u8(0..10) {
                    // The host refuses it.
                    0 => self.at(
                        send,
                        Event::Ended(
                            router,
                            token,
                            first_attempt_at,
                            permit,
                            WriteOutcome::NotExecuted,
                            None,
                            start_number,
                        ),
                    ),
                    // It runs late, and its response is lost.
                    1 => {
                        let late = self.rng.i64(40..OP_TIMEOUT);
                        self.at(
                            now + late,
                            Event::Execute(
                                router,
                                group.0,
                                token,
                                first_attempt_at,
                                permit,
                                start_number,
                                false,
                                deadline,
                            ),
                        );
                    }
                    // It never runs, but the router cannot know.
                    2 => self.at(
                        deadline,
                        Event::Ended(
                            router,
                            token,
                            first_attempt_at,
                            permit,
                            WriteOutcome::Unknown,
                            None,
                            start_number,
                        ),
                    ),
                    3 => self.at(
                        send,
                        Event::Execute(
                            router,
                            group.0,
                            token,
                            first_attempt_at,
                            permit,
                            start_number,
                            false,
                            send + 5,
                        ),
                    ),
                    _ => self.at(
                        send,
                        Event::Execute(
                            router,
                            group.0,
                            token,
                            first_attempt_at,
                            permit,
                            start_number,
                            true,
                            send + 5,
                        ),
                    ),
                }
            }
            AdmissionDecision::Hold { permit, until } => {
                let resubmit_at = (until.micros() / 1000 - self.routers[router].1).min(now + 25);
                assert!(resubmit_at <= deadline, "held beyond its deadline");
                self.at(
                    resubmit_at.max(now + 1),
                    Event::Resubmit(router, token, first_attempt_at, is_retry, permit, start_number),
                );
            }
            AdmissionDecision::Busy { reason: why, retry_after: after, .. } => {
                self.decisions[2] += 1;
                assert!(matches!(why, RejectReason::MoveFenced | RejectReason::LeaseExpired), "{why:?}");
                assert!(
                    why == RejectReason::LeaseExpired || after.is_some_and(|after| after > TimeDelta::ZERO)
                );
                let back = after.map_or(200, |after| after.micros() / 1000);
                self.retry(now + back, token, first_attempt_at, is_retry);
            }
            AdmissionDecision::Error { reason: why } => {
                self.decisions[3] += 1;
                assert_eq!(why, RejectReason::OutcomeUnknown);
            }
        }
    }

    /// Clients retry for 1.2 s after their first attempt.
    fn retry(&mut self, when: i64, token: u64, first_attempt_at: i64, is_retry: bool) {
        if when <= first_attempt_at + CLIENT_RETRY_PERIOD {
            self.at(when, Event::Submit(token, first_attempt_at, is_retry));
        }
    }

    fn step(&mut self, now: i64, event: Event) {
        if now >= COPIED_THROUGH && !self.copied {
            self.copied = true;
            let copied = self.source.writes.iter().filter(|(at, _)| *at <= COPIED_THROUGH);
            self.target.writes.extend(copied);
        }
        match event {
            Event::Submit(token, first_attempt_at, is_retry) => {
                // Most sessions stay with a router; some move between routers.
                let router = if self.rng.u8(0..4) == 0 { self.rng.usize(0..3) } else { (token % 3) as usize };
                self.ask(now, router, token, first_attempt_at, is_retry);
            }
            Event::Resubmit(router, token, first_attempt_at, is_retry, permit, start_number) => {
                if self.routers[router].2 == start_number {
                    let (cells, clock_offset, _) = &mut self.routers[router];
                    cells.release(ms(now + *clock_offset), permit, WriteOutcome::NotExecuted, None);
                    self.ask(now, router, token, first_attempt_at, is_retry);
                }
            }
            Event::Execute(router, group, token, first_attempt_at, permit, start_number, answered, ends) => {
                let log = if group == TARGET { &mut self.target } else { &mut self.source };
                let position = log.apply(now, token);
                let (outcome, reported) = if answered {
                    (WriteOutcome::Acked, Some(position))
                } else {
                    (WriteOutcome::Unknown, None)
                };
                self.at(
                    ends,
                    Event::Ended(router, token, first_attempt_at, permit, outcome, reported, start_number),
                );
            }
            Event::Ended(router, token, first_attempt_at, permit, outcome, position, start_number) => {
                let (cells, clock_offset, current_start_number) = &mut self.routers[router];
                if *current_start_number != start_number {
                    // The router restarted, and the client's connection was lost with it.
                    return;
                }
                cells.release(ms(now + *clock_offset), permit, outcome, position.map(ms));
                match outcome {
                    WriteOutcome::Acked => self.acked.push((token, now)),
                    // An op that did not run is rejected as busy; the client's retry is marked all the same.
                    _ => {
                        let back = now + self.rng.i64(1..300);
                        self.retry(back, token, first_attempt_at, true);
                    }
                }
            }
            Event::Read => {
                let router = self.rng.usize(0..3);
                let (cells, clock_offset, _) = &mut self.routers[router];
                let read = op_context(Consistency::Session, None, false, now + OP_TIMEOUT + *clock_offset);
                match cells.admit(ms(now + *clock_offset), &read) {
                    AdmissionDecision::Admit { permit, group, min_position: floor } => {
                        cells.release(ms(now + *clock_offset), permit, WriteOutcome::NotExecuted, None);
                        if group.0 == TARGET {
                            assert_eq!(floor, move_config(Step::Switched).target_floor);
                        } else {
                            // The source has every write that was acknowledged before.
                            let missing = self
                                .acked
                                .iter()
                                .find(|(write, _)| !self.source.writes.iter().any(|(_, t)| t == write));
                            assert_eq!(missing, None, "a read of the source at {now} misses an acked write");
                        }
                    }
                    AdmissionDecision::Busy { reason: RejectReason::MoveFenced, .. } => {
                        assert!(now >= SWITCH_AT - 2 * MAX_CLOCK_SKEW, "at {now}")
                    }
                    AdmissionDecision::Busy { reason: RejectReason::LeaseExpired, .. } => {
                        assert!(now >= LEASE_END - 2 * MAX_CLOCK_SKEW, "at {now}")
                    }
                    AdmissionDecision::Hold { permit, .. } => {
                        cells.release(ms(now + *clock_offset), permit, WriteOutcome::NotExecuted, None)
                    }
                    other => panic!("{other:?}"),
                }
            }
            Event::File(router, step) => {
                let (cells, clock_offset, _) = &mut self.routers[router];
                let now = ms(now + *clock_offset);
                if cells.replace_layout(now, layout_at(Some(step))).is_ok() {
                    cells.set_group_hosts(
                        GroupId(TARGET),
                        &[(HostId(1), "x"), (HostId(2), "y"), (HostId(3), "z")],
                    );
                }
            }
            Event::Restart(router, step) => {
                let (_, clock_offset, start_number) = self.routers[router];
                self.routers[router] = (
                    new_cells(now + clock_offset, layout_at(step), self.marks_retries),
                    clock_offset,
                    start_number + 1,
                );
            }
        }
        // Two of the target's three hosts keep up, the third does not.
        for (cells, clock_offset, _) in &mut self.routers {
            cells.record_position(HostId(1), ms(now), true);
            cells.record_position(HostId(2), ms(now - 10), false);
            cells.tick(ms(now + *clock_offset));
        }
    }
}

fn run(seed: u64, marks_retries: bool, skips_steps: bool, restarts: usize) -> World {
    let mut rng = Rng::with_seed(seed);
    let routers = (0..3)
        .map(|_| {
            let clock_offset = rng.i64(-MAX_CLOCK_SKEW / 2..=MAX_CLOCK_SKEW / 2);
            (new_cells(clock_offset, layout_at(None), marks_retries), clock_offset, 0)
        })
        .collect();
    let (events, source, target, acked) = Default::default();
    let (number, copied, decisions) = (0, false, [0; 4]);
    let mut world =
        World { rng, events, number, routers, source, target, copied, acked, marks_retries, decisions };
    let steps = [
        (300, Step::Planned),
        (900, Step::Copying),
        (2000, Step::Fenced),
        (COPIED_THROUGH, Step::Switched),
        (7000, Step::Done),
    ];
    for router in 0..3 {
        // One router may stop receiving layouts at some step.
        let last_step_received = if router == 2 && world.rng.bool() { world.rng.usize(0..5) } else { 5 };
        for (when, step) in steps.into_iter().take(last_step_received) {
            let skipped = skips_steps && world.rng.u8(0..3) == 0;
            if !skipped {
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
        world.at(when, Event::Submit(token, when, false));
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
    for (_, write) in &world.target.writes {
        *times.entry(*write).or_default() += 1;
    }
    for (write, at) in &world.acked {
        assert!(times.contains_key(write), "write {write}, acked at {at}, is missing");
    }
    for (write, times) in times {
        assert_eq!(times, 1, "write {write} was applied {times} times");
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
    fn no_acked_write_is_lost_or_applied_twice(
        seed in any::<u64>(),
        marks_retries in prop::bool::weighted(0.8),
        skips_steps in any::<bool>(),
        restarts in 0_usize..4,
    ) {
        check(&run(seed, marks_retries, skips_steps, restarts));
    }
}

#[test]
fn a_move_without_faults_finishes_and_writes_continue_at_the_target() {
    let world = run(1, true, false, 0);
    check(&world);
    let [source, target, busy, unknown] = world.decisions;
    assert!(source > 60 && target > 60 && busy > 0, "{source} {target} {busy} {unknown}");
    assert!(unknown < 20, "{unknown}");
    for (cells, ..) in world.routers.iter().take(2) {
        assert_eq!(
            cells.moves().map(|(_, stage, out, _)| (stage, out)).collect::<Vec<_>>(),
            [(Stage::Done, 0)]
        );
    }
}

/// The cells of a router at a step of the move, after a write with token 1 had the given outcome.
fn cells_after_write(outcome: WriteOutcome, step: Step, now: i64) -> Cells {
    let mut cells = new_cells(0, layout_at(Some(Step::Planned)), true);
    if outcome == WriteOutcome::NotExecuted {
        let AdmissionDecision::Admit { permit, .. } =
            cells.admit(ms(2900), &op_context(Consistency::Write, Some(1), false, 3400))
        else {
            panic!("the fence has not been reached")
        };
        cells.release(ms(2950), permit, outcome, None);
    }
    let mut cells = match outcome {
        WriteOutcome::NotExecuted => cells,
        _ => new_cells(0, layout_at(Some(Step::Planned)), true),
    };
    let decision = cells.admit(ms(2900), &op_context(Consistency::Write, Some(1), false, 3400));
    let AdmissionDecision::Admit { permit, .. } = decision else { panic!("{decision:?}") };
    if outcome != WriteOutcome::InFlight {
        cells.release(ms(2950), permit, outcome, (outcome == WriteOutcome::Acked).then_some(ms(2940)));
    }
    let fenced = cells.replace_layout(ms(2990), layout_at(Some(Step::Fenced)));
    assert_eq!(fenced, Ok(()));
    if step >= Step::Switched {
        assert_eq!(cells.replace_layout(ms(now.min(SWITCH_AT)), layout_at(Some(step))), Ok(()));
        cells.set_group_hosts(GroupId(TARGET), &[(HostId(1), "x"), (HostId(2), "y"), (HostId(3), "z")]);
        [1, 2]
            .into_iter()
            .for_each(|host| cells.record_position(HostId(host), ms(COPIED_THROUGH + 60), host == 1));
    }
    cells.tick(ms(now));
    cells
}

#[test]
fn a_retry_follows_the_outcome_of_its_first_send() {
    let retry = |outcome, step, now: i64| {
        let mut cells = cells_after_write(outcome, step, now);
        match cells.admit(ms(now), &op_context(Consistency::Write, Some(1), true, now + 300)) {
            AdmissionDecision::Admit { group, .. } => Ok(group.0),
            AdmissionDecision::Hold { .. } => Err("held"),
            AdmissionDecision::Busy { .. } => Err("busy"),
            AdmissionDecision::Error { .. } => Err("unsure"),
        }
    };
    // After the fence, until the copy ends, a retry settles an unknown outcome at the source.
    for outcome in [WriteOutcome::Acked, WriteOutcome::Unknown, WriteOutcome::InFlight] {
        assert_eq!(retry(outcome, Step::Fenced, FENCE_AT + 10), Ok(SOURCE), "{outcome:?}");
    }
    assert_eq!(
        retry(WriteOutcome::NotExecuted, Step::Fenced, FENCE_AT + 10),
        Ok(SOURCE),
        "it may have run through another router"
    );
    // After the end of the copy only retries without an effect of their own may go to the source.
    let late = COPIED_THROUGH + 10;
    assert_eq!(retry(WriteOutcome::Acked, Step::Fenced, late), Ok(SOURCE));
    assert_eq!(retry(WriteOutcome::Unknown, Step::Fenced, late), Err("unsure"));
    // After the switch an acked write goes to the source while it retains the token; others go nowhere while
    // it may.
    let switched = SWITCH_AT + 5;
    assert_eq!(retry(WriteOutcome::Acked, Step::Switched, switched), Ok(SOURCE));
    assert_eq!(retry(WriteOutcome::NotExecuted, Step::Switched, switched), Err("unsure"));
    assert_eq!(
        retry(WriteOutcome::NotExecuted, Step::Switched, FENCE_AT + TOKEN_RETENTION + MAX_CLOCK_SKEW),
        Ok(TARGET)
    );
    assert_eq!(retry(WriteOutcome::Unknown, Step::Switched, switched), Err("unsure"));
    assert_eq!(retry(WriteOutcome::Acked, Step::Switched, 2900 + TOKEN_RETENTION + 10), Err("unsure"));
}

#[test]
fn no_write_goes_to_the_source_after_the_fence_on_any_clock() {
    // A router whose clock is behind must not send a write that another router's copy no longer includes.
    let write = |now: i64| {
        let mut cells = new_cells(0, layout_at(Some(Step::Fenced)), true);
        cells.tick(ms(now));
        placement(&mut cells, now, op_context(Consistency::Write, Some(1), false, now + OP_TIMEOUT))
    };
    assert_eq!(write(FENCE_AT - MAX_CLOCK_SKEW - OP_TIMEOUT - 1), "source");
    assert_eq!(write(FENCE_AT - MAX_CLOCK_SKEW - 1), "source", "no clock has reached the fence");
    assert_ne!(write(FENCE_AT - MAX_CLOCK_SKEW), "source", "the earliest clock has reached the fence");
    assert_ne!(write(FENCE_AT - 1), "source");
}

#[test]
fn a_burst_at_the_fence_is_held_up_to_the_limit_and_rejected_beyond_it() {
    let mut cells = cells_after_write(WriteOutcome::NotExecuted, Step::Fenced, SWITCH_AT - 100);
    let decisions: Vec<AdmissionDecision> = (10..500)
        .map(|token| {
            cells.admit(
                ms(SWITCH_AT - 100),
                &op_context(Consistency::Write, Some(token), false, SWITCH_AT + 400),
            )
        })
        .collect();
    let held: Vec<AdmissionPermit> =
        decisions
            .iter()
            .filter_map(|decision| {
                if let AdmissionDecision::Hold { permit, .. } = decision { Some(*permit) } else { None }
            })
            .collect();
    assert_eq!(held.len(), 50, "a quarter of the cell's share of 200");
    let back = |decision: &&AdmissionDecision| matches!(decision, AdmissionDecision::Busy { retry_after: Some(after), .. } if *after == span(100));
    assert_eq!(decisions.iter().filter(back).count(), 440);
    // A write that cannot be answered in time is not held.
    let short =
        cells.admit(ms(SWITCH_AT - 100), &op_context(Consistency::Write, Some(900), false, SWITCH_AT + 50));
    assert!(matches!(short, AdmissionDecision::Busy { reason: RejectReason::MoveFenced, .. }), "{short:?}");
    held.into_iter()
        .for_each(|permit| cells.release(ms(SWITCH_AT - 90), permit, WriteOutcome::NotExecuted, None));
    assert_eq!(cells.report()[0].ops, 0);
}

#[test]
fn the_switch_waits_for_the_copy_a_majority_of_the_target_and_its_time() {
    let stage = |cells: &Cells| cells.moves().next().map(|(_, stage, ..)| stage);
    // A write that was acked after the end of the copy.
    let mut late = cells_after_write(WriteOutcome::InFlight, Step::Switched, SWITCH_AT + 5);
    assert_eq!(stage(&late), Some(Stage::Fenced), "a write is in flight");
    let decision =
        late.admit(ms(FENCE_AT + 1), &op_context(Consistency::Write, Some(1), true, FENCE_AT + 300));
    let AdmissionDecision::Admit { permit, .. } = decision else { panic!("{decision:?}") };
    late.release(ms(SWITCH_AT + 6), permit, WriteOutcome::Acked, Some(ms(COPIED_THROUGH + 5)));
    late.release(ms(SWITCH_AT + 6), permit, WriteOutcome::Acked, Some(ms(COPIED_THROUGH + 5)));
    assert_eq!(stage(&late), Some(Stage::Drained));
    // The target loses its newest records with its primary before the switch: the last reported position
    // counts.
    let mut lost = cells_after_write(WriteOutcome::Acked, Step::Switched, SWITCH_AT - 5);
    assert_eq!(stage(&lost), Some(Stage::Drained));
    lost.record_position(HostId(1), ms(COPIED_THROUGH - 500), true);
    lost.tick(ms(SWITCH_AT + 5));
    assert_eq!(stage(&lost), Some(Stage::Drained));
    lost.record_position(HostId(3), ms(COPIED_THROUGH + 70), false);
    lost.tick(ms(SWITCH_AT + 6));
    assert_eq!(stage(&lost), Some(Stage::Switched));
    // Another host became primary of the target before the switch: its positions advance without the copy.
    let mut over = cells_after_write(WriteOutcome::Acked, Step::Switched, SWITCH_AT - 5);
    over.record_position(HostId(2), ms(SWITCH_AT), true);
    over.record_position(HostId(1), ms(SWITCH_AT), false);
    over.tick(ms(SWITCH_AT + 5));
    assert_eq!(stage(&over), Some(Stage::Drained));
    // The copy is confirmed again, by the new primary.
    let mut confirmed = Layout { epoch: 9, ..layout_at(Some(Step::Switched)) };
    confirmed.moves[0].target_host = Some("y".into());
    assert_eq!(over.replace_layout(ms(SWITCH_AT + 6), confirmed), Ok(()));
    over.set_group_hosts(GroupId(TARGET), &[(HostId(1), "x"), (HostId(2), "y"), (HostId(3), "z")]);
    over.tick(ms(SWITCH_AT + 7));
    assert_eq!(stage(&over), Some(Stage::Switched));
}

#[test]
fn layouts_that_revert_or_contradict_a_move_are_rejected() {
    let mut cells = cells_after_write(WriteOutcome::Acked, Step::Switched, SWITCH_AT + 5);
    let before = cells.layout().clone();
    assert_eq!(
        cells.replace_layout(ms(SWITCH_AT + 6), layout_at(Some(Step::Copying))),
        Err(LayoutError::Epoch { held: 5, offered: 3 })
    );
    let later = |step, epoch| Layout { epoch, ..layout_at(step) };
    let back = later(Some(Step::Cancelled), 9);
    assert_eq!(
        cells.replace_layout(ms(SWITCH_AT + 6), back),
        Err(LayoutError::Move("t".into(), MoveConflict::AfterSwitch))
    );
    assert_eq!(
        cells.replace_layout(ms(SWITCH_AT + 6), later(None, 9)),
        Err(LayoutError::MoveMissing("t".into()))
    );
    assert_eq!(*cells.layout(), before);
    assert_eq!(
        cells.replace_layout(ms(SWITCH_AT + 6), layout_at(Some(Step::Switched))),
        Ok(()),
        "the same layout again"
    );
    // A fence that other routers may not know of yet.
    let mut fresh = new_cells(0, layout_at(Some(Step::Planned)), true);
    let mut early = later(Some(Step::Fenced), 9);
    early.moves[0].fence_at = Some(ms(LEASE_END - 100));
    assert_eq!(fresh.replace_layout(ms(100), early), Err(LayoutError::FenceTooEarly("t".into())));
    // A fence that was reached cannot be postponed.
    let mut fenced = cells_after_write(WriteOutcome::Acked, Step::Fenced, FENCE_AT + 5);
    let mut postponed = later(Some(Step::Fenced), 9);
    postponed.moves[0].fence_at = Some(ms(FENCE_AT + 3000));
    assert_eq!(
        fenced.replace_layout(ms(FENCE_AT + 6), postponed),
        Err(LayoutError::Move("t".into(), MoveConflict::FencePostponed))
    );
    // Cancelling in time restores the initial state.
    assert_eq!(fenced.replace_layout(ms(FENCE_AT + 7), later(Some(Step::Cancelled), 10)), Ok(()));
    let decision =
        fenced.admit(ms(FENCE_AT + 8), &op_context(Consistency::Write, Some(5), false, FENCE_AT + 300));
    assert!(matches!(decision, AdmissionDecision::Admit { group: GroupId(SOURCE), .. }), "{decision:?}");
}

#[test]
fn a_router_with_an_expired_lease_serves_only_unbounded_reads() {
    let mut cells = new_cells(0, layout_at(None), true);
    let write = |cells: &mut Cells, now: i64| {
        cells.admit(ms(now), &op_context(Consistency::Write, Some(3), false, now + 300))
    };
    assert!(matches!(write(&mut cells, LEASE_END - MAX_CLOCK_SKEW - 1), AdmissionDecision::Admit { .. }));
    assert!(matches!(
        write(&mut cells, LEASE_END - MAX_CLOCK_SKEW),
        AdmissionDecision::Busy { reason: RejectReason::LeaseExpired, .. }
    ));
    let read = cells.admit(ms(LEASE_END + 500), &op_context(Consistency::Any, None, false, LEASE_END + 800));
    assert!(matches!(read, AdmissionDecision::Admit { .. }));
    let bounded = cells
        .admit(ms(LEASE_END), &op_context(Consistency::Bounded(span(300)), None, false, LEASE_END + 800));
    assert!(matches!(bounded, AdmissionDecision::Busy { reason: RejectReason::LeaseExpired, .. }));
    // Without a lease nothing bounds how long other routers act on a layout.
    let mut unleased = new_cells(0, Layout { lease: None, ..layout_at(None) }, true);
    assert_eq!(
        unleased.replace_layout(ms(1), layout_at(Some(Step::Fenced))),
        Err(LayoutError::NoLease("t".into()))
    );
}

#[test]
fn a_retry_never_runs_twice_or_after_the_copy() {
    let mut places: BTreeMap<&str, u32> = BTreeMap::new();
    for outcome in
        [WriteOutcome::NotExecuted, WriteOutcome::InFlight, WriteOutcome::Unknown, WriteOutcome::Acked]
    {
        for step in [Step::Planned, Step::Fenced, Step::Switched] {
            for delay in [0, 300, 1100, 1300] {
                // The first send was at 2900; the stage follows from the time and the layout.
                for now in [2960, FENCE_AT + 10, COPIED_THROUGH + 10, SWITCH_AT + 5]
                    .map(|at: i64| at.max(2900 + delay))
                {
                    let mut cells = cells_after_write(outcome, step.max(Step::Fenced), now);
                    let retry =
                        cells.admit(ms(now), &op_context(Consistency::Write, Some(1), true, now + 300));
                    let stage = cells.moves().next().map(|(_, stage, ..)| stage);
                    let placement = match retry {
                        AdmissionDecision::Admit { group, .. } if group.0 == SOURCE => "source",
                        AdmissionDecision::Admit { .. } => "target",
                        AdmissionDecision::Hold { .. } | AdmissionDecision::Busy { .. } => "later",
                        AdmissionDecision::Error { .. } => "unsure",
                    };
                    *places.entry(placement).or_default() += 1;
                    let case = format!("{outcome:?}, {step:?}, at {now}: {placement} in {stage:?}");
                    let copied = now + 300 > FENCE_AT + OP_TIMEOUT;
                    assert!(
                        !(placement == "target" && now < FENCE_AT + TOKEN_RETENTION),
                        "it may have run at the source: {case}"
                    );
                    assert!(
                        !(placement == "source" && copied && outcome != WriteOutcome::Acked),
                        "after the copy: {case}"
                    );
                    assert!(
                        !(placement == "source" && now > 2900 + TOKEN_RETENTION),
                        "the source no longer retains the token: {case}"
                    );
                    assert!(
                        !(placement == "later" && outcome >= WriteOutcome::InFlight),
                        "rejected as busy although it may have run: {case}"
                    );
                    assert!(!(placement == "target" && stage < Some(Stage::Switched)), "{case}");
                }
            }
        }
    }
    assert!(places["source"] > 10 && places["unsure"] > 10, "{places:?}");
}

#[test]
fn a_moved_tenant_can_move_back_under_the_same_client_group() {
    let mut cells = cells_after_write(WriteOutcome::Acked, Step::Switched, SWITCH_AT + 5);
    assert_eq!(cells.replace_layout(ms(SWITCH_AT + 10), layout_at(Some(Step::Done))), Ok(()));
    cells.tick(ms(FENCE_AT + TOKEN_RETENTION + MAX_CLOCK_SKEW));
    let group_of_write = |cells: &mut Cells, now: i64| match cells
        .admit(ms(now), &op_context(Consistency::Write, Some(77), false, now + 300))
    {
        AdmissionDecision::Admit { permit, group, .. } => {
            cells.release(ms(now), permit, WriteOutcome::NotExecuted, None);
            group.0
        }
        other => panic!("{other:?}"),
    };
    assert_eq!(group_of_write(&mut cells, 6000), TARGET);
    let back = |step, epoch| {
        let mut layout = Layout { epoch, ..layout_at(Some(Step::Done)) };
        let (fence, one) = (7000, &mut layout.moves[0]);
        (one.from, one.to, one.step) = (CellId(1), CellId(0), step);
        one.groups = Some((GroupId(TARGET), GroupId(SOURCE)));
        (one.fence_at, one.switch_at) = (Some(ms(fence)), Some(ms(fence + 800)));
        (one.copied_through, one.target_floor) = (Some(ms(fence + 600)), Some(ms(fence + 610)));
        layout
    };
    assert_eq!(
        cells.replace_layout(ms(6001), back(Step::Planned, 8)),
        Err(LayoutError::FenceTooEarly("t".into()))
    );
    let leased = Layout {
        epoch: 8,
        lease: Some(Lease { expires_at: ms(6900), max_clock_skew: span(MAX_CLOCK_SKEW) }),
        ..layout_at(Some(Step::Done))
    };
    assert_eq!(cells.replace_layout(ms(6001), leased), Ok(()));
    assert_eq!(cells.replace_layout(ms(6002), back(Step::Planned, 9)), Ok(()));
    assert_eq!(group_of_write(&mut cells, 6500), TARGET, "the data stays there until the switch");
    assert_eq!(cells.replace_layout(ms(7700), back(Step::Switched, 10)), Ok(()));
    cells.set_group_hosts(GroupId(SOURCE), &[(HostId(7), "x"), (HostId(8), "y")]);
    [(7, true), (8, false)]
        .into_iter()
        .for_each(|(host, primary)| cells.record_position(HostId(host), ms(7790), primary));
    assert_eq!(group_of_write(&mut cells, 7801), SOURCE);
}

fn placement(cells: &mut Cells, now: i64, op: OpContext) -> &'static str {
    match cells.admit(ms(now), &op) {
        AdmissionDecision::Admit { permit, group, .. } => {
            cells.release(ms(now), permit, WriteOutcome::NotExecuted, None);
            if group.0 == SOURCE { "source" } else { "target" }
        }
        AdmissionDecision::Hold { permit, .. } => {
            cells.release(ms(now), permit, WriteOutcome::NotExecuted, None);
            "held"
        }
        AdmissionDecision::Busy { .. } => "busy",
        AdmissionDecision::Error { .. } => "unsure",
    }
}

#[test]
fn a_retry_unknown_to_the_router_goes_to_the_source_only_until_the_copy_ends() {
    let retry = |now: i64| op_context(Consistency::Write, Some(50), true, now + 300);
    let fenced = || cells_after_write(WriteOutcome::Acked, Step::Fenced, FENCE_AT + 5);
    assert_eq!(placement(&mut fenced(), FENCE_AT + 10, retry(FENCE_AT + 10)), "source");
    assert_eq!(placement(&mut fenced(), COPIED_THROUGH + 10, retry(COPIED_THROUGH + 10)), "unsure");
    // Before the fence, a write with a longer deadline than any op type could take effect after the copy.
    let long = |deadline| op_context(Consistency::Write, Some(51), false, deadline);
    assert_eq!(
        placement(
            &mut cells_after_write(WriteOutcome::Acked, Step::Fenced, 2995),
            2995,
            long(FENCE_AT + OP_TIMEOUT)
        ),
        "source"
    );
    assert_eq!(
        placement(
            &mut cells_after_write(WriteOutcome::Acked, Step::Fenced, 2995),
            2995,
            long(FENCE_AT + OP_TIMEOUT + MAX_CLOCK_SKEW)
        ),
        "busy"
    );
    let mut cancelled = cells_after_write(WriteOutcome::Acked, Step::Fenced, FENCE_AT + 5);
    let cancelled_layout = Layout { epoch: 9, ..layout_at(Some(Step::Cancelled)) };
    assert_eq!(cancelled.replace_layout(ms(FENCE_AT + 6), cancelled_layout), Ok(()));
    assert_eq!(placement(&mut cancelled, FENCE_AT + 7, long(FENCE_AT + 7 + 5000)), "source");
}

#[test]
fn a_move_within_one_group_needs_no_copy_and_forwards_retries() {
    let one_group = |epoch, step| {
        let mut layout = Layout { epoch, ..layout_at(Some(step)) };
        (layout.moves[0].groups, layout.moves[0].client_group) = (None, None);
        (layout.moves[0].fence_at, layout.moves[0].switch_at) = (None, None);
        layout
    };
    let mut cells = new_cells(0, one_group(2, Step::Planned), true);
    let decision = cells.admit(ms(10), &op_context(Consistency::Write, Some(1), false, 400));
    let AdmissionDecision::Admit { permit, .. } = decision else { panic!("{decision:?}") };
    assert_eq!(permit.cell, CellId(0));
    assert_eq!(cells.replace_layout(ms(20), one_group(3, Step::Fenced)), Ok(()));
    assert_eq!(placement(&mut cells, 30, op_context(Consistency::Write, Some(1), true, 400)), "busy");
    assert_eq!(cells.replace_layout(ms(40), one_group(4, Step::Switched)), Ok(()));
    assert_eq!(
        cells.moves().map(|(_, stage, out, tokens)| (stage, out, tokens)).next(),
        Some((Stage::Fenced, 1, 1))
    );
    cells.release(ms(50), permit, WriteOutcome::Unknown, None);
    let retry = cells.admit(ms(60), &op_context(Consistency::Write, Some(1), true, 400));
    assert!(
        matches!(retry, AdmissionDecision::Admit { permit, group: GroupId(SOURCE), .. } if permit.cell == CellId(1)),
        "{retry:?}"
    );
}

#[test]
fn a_move_finishes_and_drops_tokens_after_the_source_retention() {
    let mut cells = cells_after_write(WriteOutcome::Acked, Step::Switched, SWITCH_AT + 5);
    let stage = |cells: &Cells| cells.moves().next().map(|(_, stage, _, tokens)| (stage, tokens));
    assert_eq!(cells.replace_layout(ms(SWITCH_AT + 6), layout_at(Some(Step::Done))), Ok(()));
    assert!(!cells.tick(ms(SWITCH_AT + 7)), "a stage change is reported once");
    cells.tick(ms(FENCE_AT + TOKEN_RETENTION + MAX_CLOCK_SKEW - 1));
    assert_eq!(stage(&cells), Some((Stage::Switched, 1)), "the source still retains the token");
    assert!(cells.tick(ms(FENCE_AT + TOKEN_RETENTION + MAX_CLOCK_SKEW)));
    assert_eq!(stage(&cells), Some((Stage::Done, 1)));
    cells.tick(ms(2900 + 2 * TOKEN_RETENTION + OP_TIMEOUT + 1));
    assert_eq!(stage(&cells), Some((Stage::Done, 0)));
    // A blocked move is reported once.
    let mut blocked = cells_after_write(WriteOutcome::InFlight, Step::Fenced, FENCE_AT + 5);
    let reported = |cells: &mut Cells| cells.take_events().len();
    reported(&mut blocked);
    blocked.tick(ms(FENCE_AT + 6));
    assert_eq!(reported(&mut blocked), 0);
}

#[test]
fn a_demoted_primary_no_longer_confirms_the_copy() {
    let mut cells = cells_after_write(WriteOutcome::Acked, Step::Switched, SWITCH_AT - 5);
    cells.record_position(HostId(1), ms(SWITCH_AT), false);
    cells.tick(ms(SWITCH_AT + 5));
    assert_eq!(cells.moves().next().map(|(_, stage, ..)| stage), Some(Stage::Drained));
    cells.record_position(HostId(1), ms(SWITCH_AT), true);
    cells.tick(ms(SWITCH_AT + 6));
    assert_eq!(cells.moves().next().map(|(_, stage, ..)| stage), Some(Stage::Switched));
}

#[test]
fn released_held_ops_free_the_hold_limit() {
    let mut cells = cells_after_write(WriteOutcome::NotExecuted, Step::Fenced, SWITCH_AT - 100);
    for round in 0..5 {
        // Each round fills the fence up to its limit.
        let op_of = |token| op_context(Consistency::Write, Some(token), false, SWITCH_AT + 400);
        let decisions: Vec<AdmissionDecision> =
            (100..160).map(|token| cells.admit(ms(SWITCH_AT - 100), &op_of(token))).collect();
        let permits = decisions.iter().filter_map(|v| {
            if let AdmissionDecision::Hold { permit, .. } = v { Some(*permit) } else { None }
        });
        let permits: Vec<AdmissionPermit> = permits.collect();
        assert_eq!(permits.len(), 50, "round {round}");
        permits
            .into_iter()
            .for_each(|permit| cells.release(ms(SWITCH_AT - 90), permit, WriteOutcome::NotExecuted, None));
    }
    assert_eq!(cells.moves().next().map(|(.., out, _)| out), Some(0), "held writes are not in flight");
}

#[test]
fn a_full_target_rejects_writes_instead_of_using_the_source() {
    let mut switched = cells_after_write(WriteOutcome::Acked, Step::Switched, SWITCH_AT + 5);
    // Another tenant uses the whole share of the target's cell and everything that it can borrow.
    let other = |cells: &mut Cells, token| {
        let op = op_context(Consistency::Write, Some(token), false, SWITCH_AT + 400);
        let op = OpContext { tenant: Some("u"), group: GroupId(TARGET), ..op };
        cells.admit(ms(SWITCH_AT + 6), &op)
    };
    let filled = (1000..1400)
        .filter(|&token| matches!(other(&mut switched, token), AdmissionDecision::Admit { .. }))
        .count();
    assert!(filled > 0);
    let write = switched
        .admit(ms(SWITCH_AT + 7), &op_context(Consistency::Write, Some(2000), false, SWITCH_AT + 400));
    assert!(
        matches!(
            write,
            AdmissionDecision::Busy { reason: RejectReason::OpCapacity, retry_after: Some(_), .. }
        ),
        "{write:?}"
    );
    // A retry of a write that the source acked still goes to the source, within the capacity of its cell.
    let retry =
        switched.admit(ms(SWITCH_AT + 7), &op_context(Consistency::Write, Some(1), true, SWITCH_AT + 400));
    assert!(matches!(retry, AdmissionDecision::Admit { group: GroupId(SOURCE), .. }), "{retry:?}");
}

#[test]
fn a_move_without_a_known_target_primary_waits_and_can_be_cancelled() {
    let mut cells = new_cells(0, layout_at(Some(Step::Planned)), true);
    assert_eq!(cells.replace_layout(ms(2990), layout_at(Some(Step::Fenced))), Ok(()));
    assert_eq!(cells.replace_layout(ms(SWITCH_AT), layout_at(Some(Step::Switched))), Ok(()));
    // The target has no known hosts; then some hosts, none of which reports that it is primary.
    for hosts in [&[][..], &[(HostId(1), "x"), (HostId(2), "y")]] {
        cells.set_group_hosts(GroupId(TARGET), hosts);
        hosts.iter().for_each(|(host, _)| cells.record_position(*host, ms(SWITCH_AT), false));
        cells.tick(ms(SWITCH_AT + 5));
        assert_eq!(cells.moves().next().map(|(_, stage, ..)| stage), Some(Stage::Drained));
        assert_eq!(
            placement(
                &mut cells,
                SWITCH_AT + 6,
                op_context(Consistency::Write, Some(9), false, SWITCH_AT + 400)
            ),
            "busy"
        );
    }
    assert_eq!(
        cells.replace_layout(ms(SWITCH_AT + 7), Layout { epoch: 9, ..layout_at(Some(Step::Cancelled)) }),
        Ok(())
    );
    assert_eq!(
        placement(&mut cells, SWITCH_AT + 8, op_context(Consistency::Write, Some(9), false, SWITCH_AT + 400)),
        "source"
    );
}
