//! Checks every action of the router on generated inputs against an independent model of five rules: (1) one
//! final answer in time, (2) no second run of an op that is unsafe to repeat, (3) sends to ready hosts only,
//! (4) a load limit for cold hosts, (5) the op's consistency.

mod helpers;

use std::collections::BTreeMap;

use arrowyard_types::*;
use helpers::*;
use proptest::prelude::*;

struct OpModel {
    request: OpRequest,
    min_position: Option<Timestamp>,
    sends: Vec<(Timestamp, HostId, Option<Outcome>)>,
    finished: bool,
}

#[derive(Default)]
struct Model {
    parallel: bool,
    carried_tokens: bool,
    host_checks: bool,
    ops: BTreeMap<u64, OpModel>,
    ready: BTreeMap<u32, bool>,
    positions: BTreeMap<u32, Timestamp>,
    roles: BTreeMap<u32, (Timestamp, bool)>,
    commits: BTreeMap<u64, Timestamp>,
    started: BTreeMap<u32, Timestamp>,
    sends: Vec<(Timestamp, u32)>,
}

impl Model {
    fn new(parallel: bool, carried_tokens: bool, host_checks: bool) -> Self {
        Model { parallel, carried_tokens, host_checks, ..Model::default() }
    }

    fn handle_event(&mut self, now: Timestamp, event: &RouterEvent) {
        match event {
            event if *event == RESTARTED => {
                *self = Model::new(self.parallel, self.carried_tokens, self.host_checks);
            }
            RouterEvent::HostList { entries, .. } => {
                for entry in entries {
                    self.ready.insert(entry.host.0, entry.availability == Availability::Ready);
                    self.started.extend(entry.started_at.map(|at| (entry.host.0, at)));
                    let role = self.roles.entry(entry.host.0).or_insert((Timestamp::DISTANT_PAST, false));
                    role.1 |= role.0 == Timestamp::DISTANT_PAST && entry.is_primary;
                }
            }
            RouterEvent::OpRequested(request) => {
                let min_position = match request.op_type.0 {
                    // A token of zero age means that the session has not written yet.
                    SESSION if self.carried_tokens => {
                        request.token_age.filter(|age| *age > TimeDelta::ZERO).map(|age| now - age)
                    }
                    SESSION => request.session.and_then(|session| self.commits.get(&session.0).copied()),
                    _ => None,
                };
                let op = OpModel { request: *request, min_position, sends: Vec::new(), finished: false };
                self.ops.insert(request.op.0, op);
            }
            RouterEvent::SendEnded(result) => {
                let op = self.ops.get_mut(&result.op.0).expect("a requested op");
                let (sent_at, _, outcome) = &mut op.sends[result.send.0 as usize];
                let sent_at = *sent_at;
                assert!(outcome.replace(result.outcome).is_none(), "a send ends once");
                op.finished |= result.op_finished;
                if result.outcome == Outcome::Acked
                    && let (DEDUPLICATED | NON_RETRYABLE, Some(session)) =
                        (op.request.op_type.0, op.request.session)
                {
                    let commit = result.status.position.unwrap_or(now);
                    let newest = self.commits.entry(session.0).or_insert(commit);
                    *newest = commit.max(*newest);
                }
                if let Some(role) = result.status.role {
                    self.roles.insert(result.host.0, (now, role == Role::Primary));
                    if role == Role::Primary {
                        self.raise_position(result.host, sent_at);
                    }
                }
                result
                    .status
                    .position
                    .into_iter()
                    .for_each(|position| self.raise_position(result.host, position));
            }
            RouterEvent::ClientCancelled { op } => {
                self.ops.get_mut(&op.0).expect("a requested op").finished = true
            }
            RouterEvent::ProbeEnded { host, outcome: Outcome::Acked, status } => {
                if let (Some(position), Some(role)) = (status.position, status.role) {
                    self.report(*host, position, role == Role::Primary);
                }
            }
            RouterEvent::PeerMessage { bytes, .. } => {
                let millis = i64::from(u32::from_le_bytes([bytes[4], bytes[5], bytes[6], bytes[7]]));
                self.report(HostId(bytes[0].into()), Timestamp::from_micros(millis * 1000), bytes[8] == 1);
            }
            _ => {}
        }
    }

    fn report(&mut self, host: HostId, position: Timestamp, primary: bool) {
        let (since, is_primary) = self.roles.entry(host.0).or_insert((Timestamp::DISTANT_PAST, false));
        if position > *since {
            (*since, *is_primary) = (position, primary);
        }
        self.raise_position(host, position);
    }

    fn raise_position(&mut self, host: HostId, position: Timestamp) {
        let latest = self.positions.entry(host.0).or_insert(position);
        *latest = position.max(*latest);
    }

    fn check_action(&mut self, now: Timestamp, action: &Action) {
        match action {
            Action::Send { op, host, deadline } => {
                let model = &self.ops[&op.0];
                assert!(!model.finished, "rule 1: a send for an op that was answered");
                assert!(
                    now < model.request.deadline && *deadline < model.request.deadline,
                    "rule 1: a send without time for an answer"
                );
                assert_eq!(
                    self.ready.get(&host.0),
                    Some(&true),
                    "rule 3: a send to a host that is not ready"
                );
                assert!(self.may_repeat(model, *host, now), "rule 2: a send that may run an op twice");
                assert!(self.is_fresh_enough(model, *host, now), "rule 5: a read that may be stale");
                self.sends.push((now, host.0));
                assert!(self.within_cold_budget(host.0, now), "rule 4: more than a cold host can take");
                self.ops.get_mut(&op.0).expect("a requested op").sends.push((now, *host, None));
            }
            Action::BusyReply { op, .. } => {
                let model = self.ops.get_mut(&op.0).expect("a requested op");
                assert!(!model.finished, "rule 1: two final answers");
                assert!(Self::is_safe_to_retry(model), "rule 2: a busy reply for an op that may have run");
                model.finished = true;
            }
            Action::ErrorReply { op } => {
                let model = self.ops.get_mut(&op.0).expect("a requested op");
                assert!(!model.finished, "rule 1: two final answers");
                assert!(
                    !Self::is_safe_to_retry(model),
                    "rule 2: an error reply for an op that is safe to retry"
                );
                model.finished = true;
            }
            Action::Cancel { op, send } => assert!(self.ops[&op.0].sends.len() > send.0 as usize),
            _ => {}
        }
    }

    /// Whether a cold host got, besides one send, at most a multiple of its warm share of the busiest host's
    /// sends.
    fn within_cold_budget(&self, host: u32, now: Timestamp) -> bool {
        let Some(age) = self.started.get(&host).map(|at| now - *at).filter(|age| *age < ms(8000)) else {
            return true;
        };
        let sent = |host: u32, window_ms: i64| {
            self.sends.iter().filter(|(at, to)| *to == host && now - *at <= ms(window_ms)).count() as f64
        };
        let busiest = (0..8).map(|other| sent(other, 4500)).fold(0.0, f64::max);
        sent(host, 1500) <= 1.0 + 2.0 * (0.25 + 0.75 * (age / ms(8000))) * busiest
    }

    fn may_have_run(op: &OpModel) -> Option<(Timestamp, HostId)> {
        let never_ran = [Outcome::Overloaded, Outcome::ConnectFailed, Outcome::NotSent, Outcome::Misrouted];
        let first = op
            .sends
            .iter()
            .find(|(_, _, outcome)| outcome.is_none_or(|outcome| !never_ran.contains(&outcome)));
        first.map(|(at, host, _)| (*at, *host))
    }

    fn is_safe_to_retry(op: &OpModel) -> bool {
        op.request.op_type.0 < DEDUPLICATED || Self::may_have_run(op).is_none()
    }

    fn may_repeat(&self, op: &OpModel, host: HostId, now: Timestamp) -> bool {
        let in_flight = op.sends.iter().any(|(_, _, outcome)| outcome.is_none());
        let is_safe = match (op.request.op_type.0, Self::may_have_run(op)) {
            (_, None) | (..DEDUPLICATED, _) => true,
            (DEDUPLICATED, Some((first, first_host))) => {
                now - first < ms(DEDUP_WINDOW_MS) && first_host.0 % 2 == host.0 % 2
            }
            _ => false,
        };
        is_safe && (self.parallel || !in_flight) && op.sends.len() < 6
    }

    fn is_fresh_enough(&self, op: &OpModel, host: HostId, now: Timestamp) -> bool {
        let position = self.positions.get(&host.0).copied().unwrap_or(Timestamp::DISTANT_PAST);
        let is_primary = self.roles.get(&host.0).is_some_and(|(_, is_primary)| *is_primary);
        is_primary
            || match op.request.op_type.0 {
                BOUNDED => self.host_checks || position >= now - ms(STALENESS_BOUND_MS),
                SESSION => {
                    self.host_checks || op.min_position.is_none_or(|min_position| position >= min_position)
                }
                FRESH => self.host_checks,
                _ => true,
            }
    }

    fn has_overdue_op(&self, now: Timestamp) -> bool {
        self.ops.values().any(|op| !op.finished && now > op.request.deadline)
    }
}

#[derive(Clone, Debug)]
enum Step {
    Advance(i64),
    Request { op_type: u32, group: u32, session: u64, age: i64, deadline: i64 },
    EndSend { index: usize, outcome: usize, primary: bool, lag_ms: i64 },
    EndProbe { index: usize, ok: bool, primary: bool, lag_ms: i64 },
    ListHost { host: u32, availability: usize, primary: bool, cold: bool },
    PeerMessage { host: u32, primary: bool, lag_ms: i64 },
    Cancel { index: usize },
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    let flag = any::<bool>;
    prop_oneof![
        4 => (1i64..60).prop_map(Step::Advance),
        6 => (0u32..6, 0u32..2, 0u64..3, 0i64..400, 20i64..600)
            .prop_map(|(op_type, group, session, age, deadline)| Step::Request { op_type, group, session, age, deadline }),
        5 => (0usize..50, 0usize..9, flag(), 0i64..700)
            .prop_map(|(index, outcome, primary, lag_ms)| Step::EndSend { index, outcome, primary, lag_ms }),
        4 => (0usize..50, flag(), flag(), 0i64..700)
            .prop_map(|(index, ok, primary, lag_ms)| Step::EndProbe { index, ok, primary, lag_ms }),
        1 => (0u32..8, 0usize..3, flag(), flag())
            .prop_map(|(host, availability, primary, cold)| Step::ListHost { host, availability, primary, cold }),
        2 => (0u32..8, flag(), 0i64..700)
            .prop_map(|(host, primary, lag_ms)| Step::PeerMessage { host, primary, lag_ms }),
        1 => (0usize..50).prop_map(|index| Step::Cancel { index }),
        1 => Just(Step::Restart),
    ]
}

fn outcome_of(number: usize) -> Outcome {
    use Outcome::*;
    [Acked, Errored, Overloaded, TimedOut, ConnectFailed, Reset, Cancelled, NotSent, Misrouted][number]
}

fn run_steps(harness: &mut Harness, steps: Vec<Step>, settings: &RouterSettings, carried_tokens: bool) {
    let mut requested = Vec::new();
    for (number, step) in steps.into_iter().enumerate() {
        let role = |primary: bool| Some(if primary { Role::Primary } else { Role::Replica });
        match step {
            Step::Advance(millis) => harness.advance(millis),
            Step::Request { op_type, group, session, age, deadline } => {
                let op = OpId(1000 + number as u64);
                let session = (op_type == SESSION || op_type >= DEDUPLICATED).then_some(SessionId(session));
                let token_age = (carried_tokens && op_type == SESSION).then(|| ms(age));
                let (group, deadline) = (GroupId(i64::from(group)), harness.now + ms(deadline));
                let request = OpRequest {
                    op,
                    op_type: OpTypeId(op_type),
                    group,
                    session,
                    token_age,
                    deadline,
                    ..OpRequest::default()
                };
                harness.handle(RouterEvent::OpRequested(request));
                requested.push(op);
            }
            Step::EndSend { index, outcome, primary, lag_ms } if !harness.sends.is_empty() => {
                let index = index % harness.sends.len();
                let outcome = outcome_of(outcome);
                let status = HostStatus {
                    role: role(primary),
                    position: Some(harness.now - ms(lag_ms)),
                    ..HostStatus::default()
                };
                harness.end_send(
                    index,
                    outcome,
                    if outcome.is_answer() { status } else { HostStatus::default() },
                );
            }
            Step::EndProbe { index, ok, primary, lag_ms } if !harness.probes.is_empty() => {
                let host = harness.probes.swap_remove(index % harness.probes.len());
                let status = HostStatus {
                    role: role(primary),
                    position: Some(harness.now - ms(lag_ms)),
                    ..HostStatus::default()
                };
                let (outcome, status) = if ok {
                    (Outcome::Acked, status)
                } else {
                    (Outcome::ConnectFailed, HostStatus::default())
                };
                harness.handle(RouterEvent::ProbeEnded { host, outcome, status });
            }
            Step::ListHost { host, availability, primary, cold } => {
                let availability =
                    [Availability::Ready, Availability::Draining, Availability::Gone][availability];
                harness.list_hosts(vec![entry(host, availability, primary, cold.then_some(harness.now))]);
            }
            Step::PeerMessage { host, primary, lag_ms } => {
                let millis = ((harness.now - ms(lag_ms)).micros() / 1000) as u32;
                let role = if primary { 1 } else { 2 };
                let bytes = [&host.to_le_bytes()[..], &millis.to_le_bytes(), &[role]].concat();
                harness.handle(RouterEvent::PeerMessage { from: PeerId(1), bytes });
            }
            Step::Cancel { index } if !requested.is_empty() => {
                let op = requested[index % requested.len()];
                if !harness.is_answered(op) {
                    harness.handle(RouterEvent::ClientCancelled { op });
                }
            }
            Step::Restart => {
                let old = (0..8).map(|host| entry(host, Availability::Ready, host % 4 == 0, None)).collect();
                harness.restart(settings.clone(), old);
                requested.clear();
            }
            _ => {}
        }
    }
}

fn check(steps: Vec<Step>, parallel: bool, carried_tokens: bool, host_checks: bool) {
    let settings = settings(parallel, carried_tokens, host_checks);
    let mut harness = Harness::new(settings.clone());
    harness.list_hosts((0..8).map(|host| entry(host, Availability::Ready, host % 4 == 0, None)).collect());
    run_steps(&mut harness, steps, &settings, carried_tokens);
    harness.advance(700);
    let mut model = Model::new(parallel, carried_tokens, host_checks);
    for (now, event) in &harness.trace {
        match event {
            Err(event) => model.handle_event(*now, event),
            Ok(action) => model.check_action(*now, action),
        }
        assert!(!model.has_overdue_op(*now), "rule 1: no final answer in time");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_201),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn actions_satisfy_the_model(
        steps in prop::collection::vec(step(), 1..150),
        parallel in any::<bool>(),
        carried_tokens in any::<bool>(),
        host_checks in any::<bool>(),
    ) {
        check(steps, parallel, carried_tokens, host_checks);
    }
}
