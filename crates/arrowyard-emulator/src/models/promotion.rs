//! Model of promotion with three replicating hosts: commits at any time, replicas that lag or receive
//! nothing, hosts that crash and restart, false suspicions, lost requests and replies, a platform that acts
//! late or twice. A new primary must have every acknowledged commit, and each mutation must be detected.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{BuildHasher, Hash, Hasher};

use arrowyard_control::{
    HostRegistry, HostsSnapshot, Promotion, PromotionRequest, Reply, RequestKind, Stage, is_redundant,
};
use arrowyard_messages::{DbRole, Host, Phase};
use arrowyard_protocol::{Observed, Position};
use arrowyard_types::{TimeDelta, Timestamp};
use rustc_hash::FxBuildHasher;
use stateright::{Model, Property};

use super::{CheckResult, PROGRESS, explore};

/// A deliberate fault in the code under test or in its environment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Hosts acknowledge a pause but continue to receive.
    IneffectivePause,
    /// A host that does not reply is treated as one with an empty log.
    SilentHostIsEmpty,
    /// Any row confirms that a host paused.
    AnyRowConfirmsPause,
    /// A replica that becomes silent is ignored without reading the position of the primary.
    NoPositionFloor,
    /// Requests are sent only once.
    NoRetries,
    /// Requests to hosts that control cannot reach are not relayed by routers.
    NoRelays,
    /// Routers acknowledge commits during a planned change that the candidate has not received.
    UncheckedCommits,
}

/// Bounds on the events of a scenario.
#[derive(Clone, Debug)]
struct ModelScenario {
    mutation: Option<Mutation>,
    commits: u8,
    crashes: u8,
    restarts: u8,
    /// Number of replicas that may stop receiving. Only the last host does.
    receive_faults: u8,
    /// Number of replicas that control may lose contact with while routers still reach them. Only the last
    /// host is affected.
    partitions: u8,
    suspicions: u8,
    switchover: bool,
    /// Number of requests whose reply may be lost, whether or not they were executed.
    lost_replies: u8,
    /// Number of platform calls that may be executed after the caller gave up.
    late_executions: u8,
}

/// A database host.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Server {
    up: bool,
    is_primary: bool,
    /// Whether the host was asked to stop receiving.
    paused: bool,
    /// Whether a fault prevents the host from receiving.
    receive_blocked: bool,
    /// Whether control cannot reach the host; routers can.
    partitioned: bool,
    draining: bool,
    /// Term and number of each commit.
    log: Vec<(u64, u8)>,
    /// Last heartbeat: whether the host is the primary, and whether it is draining.
    reported: (bool, bool),
    request_queue: VecDeque<PromotionRequest>,
}

/// State of the model; `budget` holds the remaining events.
#[derive(Clone, Debug)]
struct ModelState {
    servers: Vec<Server>,
    term: u64,
    promotion: Promotion,
    /// Hosts that control considers silent, with the start of the silence.
    silent: BTreeMap<String, Timestamp>,
    /// When each host last crashed or was partitioned.
    unreachable_since: BTreeMap<String, Timestamp>,
    /// Term and number of the commits acknowledged to clients.
    acknowledged: BTreeSet<(u64, u8)>,
    /// Hosts named in pending promotion calls to the platform.
    platform_calls: Vec<String>,
    /// Hosts named in calls that the platform executes after the caller gave up.
    delayed_calls: Vec<String>,
    /// Status codes that control has not received yet; 0 for a lost reply.
    platform_replies: Vec<u16>,
    budget: ModelScenario,
    promotions: u8,
    /// Whether a new primary lacked an acknowledged commit.
    lost_commit: bool,
    /// Number of actions so far; each takes 10 s.
    clock: i64,
}

impl Hash for ModelState {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        let budget = &self.budget;
        // Only whether an attempt is the current one affects behavior, so its number is normalized.
        let mut servers = self.servers.clone();
        for request in servers.iter_mut().flat_map(|server| &mut server.request_queue) {
            match request {
                PromotionRequest::Pause { attempt, .. } => {
                    *attempt = u64::from(*attempt == self.promotion.attempt());
                }
                PromotionRequest::Continue { host, attempt } => {
                    *attempt = u64::from(self.promotion.pause_attempt(host) == Some(*attempt));
                }
                _ => {}
            }
        }
        (&servers, self.term, &self.promotion, &self.acknowledged).hash(hasher);
        (self.silent.keys().collect::<Vec<_>>(), self.promotions, self.lost_commit).hash(hasher);
        (&self.platform_calls, &self.delayed_calls, &self.platform_replies).hash(hasher);
        (budget.commits, budget.crashes, budget.restarts, budget.receive_faults, budget.partitions)
            .hash(hasher);
        (budget.suspicions, budget.lost_replies, budget.late_executions).hash(hasher);
    }
}

impl PartialEq for ModelState {
    fn eq(&self, other: &ModelState) -> bool {
        let hash = |state: &ModelState| FxBuildHasher.hash_one(state);
        hash(self) == hash(other)
    }
}

#[derive(Clone, Debug, PartialEq)]
enum ModelAction {
    /// The primary commits a transaction.
    Commit,
    /// A replica receives the next commit.
    Replicate(usize),
    Crash(usize),
    Restart(usize),
    /// A replica stops receiving.
    BlockReceive(usize),
    /// Control loses contact with a replica.
    Partition(usize),
    /// The primary starts to drain.
    Drain,
    /// Control receives a heartbeat with the role and the draining state.
    Heartbeat(usize),
    /// Control considers the host silent.
    Silence(usize),
    /// Control suspects the reported primary.
    Suspect,
    /// Control polls the promotion.
    Poll,
    /// A host executes its next request, and control receives the reply.
    HandleRequest(usize),
    /// A host executes its next request, and the reply is lost.
    LoseReply(usize),
    /// The requests to a host are lost.
    LoseRequest(usize),
    /// The platform executes the next call.
    ExecuteCall,
    /// The platform executes the next call, and the reply is lost.
    LosePlatformReply,
    /// The next call times out before the platform executes it.
    DelayCall,
    /// The platform executes a call that has timed out.
    ExecuteDelayedCall,
    /// Control receives a status code of the platform.
    DeliverStatus,
}

const HOSTS: [&str; 3] = ["a", "b", "c"];

fn host_index(name: &str) -> usize {
    HOSTS.iter().position(|host| *host == name).expect("one of three")
}

impl Server {
    /// Position of the last received commit.
    fn received(&self) -> Position {
        let term = self.log.last().map_or(1, |(term, _)| *term);
        Position { term, number: self.log.len() as u64 }
    }
}

impl ModelState {
    /// Advances the clock and returns the time of the next step.
    fn advance_clock(&mut self) -> Timestamp {
        self.clock += 1;
        Timestamp::from_micros(0) + TimeDelta::from_millis(10_000 * self.clock)
    }

    /// Index of the running primary.
    fn primary(&self) -> Option<usize> {
        self.servers.iter().position(|server| server.up && server.is_primary)
    }

    /// Whether requests reach a running host. Routers relay them once control considers the host silent.
    fn is_reachable(&self, index: usize) -> bool {
        let is_relayed =
            self.budget.mutation != Some(Mutation::NoRelays) && self.silent.contains_key(HOSTS[index]);
        !self.servers[index].partitioned || is_relayed
    }

    /// Whether a router acknowledges a commit that the primary reports: in a planned change, only once the
    /// candidate has received it.
    fn is_acknowledged_by_router(&self, commit: (u64, u8)) -> bool {
        if self.budget.mutation == Some(Mutation::UncheckedCommits) {
            return true;
        }
        self.promotion.planned_replacement().is_none_or(|change| {
            let candidate = &self.servers[host_index(&change.candidate)];
            candidate.is_primary || candidate.log.contains(&commit)
        })
    }

    /// Runs a step of the promotion with the host registry built from the last heartbeats.
    fn step_promotion(
        &mut self,
        step: impl FnOnce(&mut Promotion, Timestamp, &HostsSnapshot<'_>, &mut Vec<PromotionRequest>),
    ) {
        let (now, mut registry, mut requests) = (self.advance_clock(), HostRegistry::default(), Vec::new());
        for (index, server) in self.servers.iter().enumerate() {
            let (is_primary, draining) = server.reported;
            registry.merge_report(
                now,
                Host {
                    id: HOSTS[index].into(),
                    service: "s".into(),
                    ip: index as u32,
                    role: if is_primary { DbRole::Primary } else { DbRole::Replica } as i32,
                    phase: if draining { Phase::Draining } else { Phase::InService } as i32,
                    call_seq: 1,
                    ..Host::default()
                },
            );
        }
        let snapshot = HostsSnapshot { registry: &registry, silent: &self.silent };
        step(&mut self.promotion, now, &snapshot, &mut requests);
        for request in requests {
            match &request {
                PromotionRequest::Promote { host, .. } => self.platform_calls.push(host.clone()),
                PromotionRequest::Observe { host }
                | PromotionRequest::Pause { host, .. }
                | PromotionRequest::Continue { host, .. } => {
                    let queue = &mut self.servers[host_index(host)].request_queue;
                    if !is_redundant(queue.iter(), &request) {
                        queue.push_back(request);
                    }
                }
            }
        }
        if self.budget.mutation == Some(Mutation::NoRetries) && self.promotion.stage == Stage::Idle {
            self.promotion = Promotion::new("s");
        }
    }

    /// Passes a reply to the promotion. Some mutations replace the reply.
    fn handle_reply(&mut self, reply: Reply) {
        let reply = match reply {
            Reply::NoResponse { host }
                if self.budget.mutation == Some(Mutation::SilentHostIsEmpty)
                    && !matches!(self.promotion.stage, Stage::Checking { .. }) =>
            {
                let row = Observed { primary: false, term: 1, received: Position::default() };
                let kind = if matches!(self.promotion.stage, Stage::Fencing { .. }) {
                    RequestKind::Pause(self.promotion.attempt())
                } else {
                    RequestKind::Observe
                };
                Reply::Row { host, kind, row }
            }
            Reply::Row { host, kind: RequestKind::Observe, row }
                if self.budget.mutation == Some(Mutation::AnyRowConfirmsPause)
                    && matches!(self.promotion.stage, Stage::Fencing { .. }) =>
            {
                Reply::Row { host, kind: RequestKind::Pause(self.promotion.attempt()), row }
            }
            reply => reply,
        };
        self.step_promotion(|promotion, now, snapshot, requests| {
            promotion.handle_reply(now, reply, snapshot, requests)
        });
    }

    /// Executes the next request in the queue of a host and returns the reply.
    fn execute_request(&mut self, index: usize) -> Option<Reply> {
        let request = self.servers[index].request_queue.pop_front()?;
        let mutation = self.budget.mutation;
        let server = &mut self.servers[index];
        match &request {
            // A pause takes effect only if its term is newer than the current one.
            PromotionRequest::Pause { term, .. } if !server.is_primary && *term > self.term => {
                server.paused = mutation != Some(Mutation::IneffectivePause)
            }
            PromotionRequest::Continue { .. } => server.paused = false,
            _ => {}
        }
        let row = Observed { primary: server.is_primary, term: self.term, received: server.received() };
        Some(Reply::Row { host: HOSTS[index].into(), kind: request.request_kind()?, row })
    }

    /// Makes a host the primary and truncates the entries that it lacks on the other hosts. Returns the status
    /// code of the platform.
    fn promote(&mut self, host: &str) -> u16 {
        let candidate = host_index(host);
        if !self.servers[candidate].up {
            return 409;
        }
        if self.servers[candidate].is_primary {
            return 200;
        }
        self.term += 1;
        self.promotions += 1;
        let log = self.servers[candidate].log.clone();
        if !self.acknowledged.iter().all(|commit| log.contains(commit)) {
            self.lost_commit = true;
        }
        for (index, server) in self.servers.iter_mut().enumerate() {
            server.is_primary = index == candidate;
            if server.up {
                server.paused = false;
                let common_length = server.log.iter().zip(&log).take_while(|(own, new)| own == new).count();
                server.log.truncate(common_length);
            }
        }
        200
    }
}

impl Model for ModelScenario {
    type State = ModelState;
    type Action = ModelAction;

    fn init_states(&self) -> Vec<ModelState> {
        let server = |is_primary| Server {
            up: true,
            is_primary,
            paused: false,
            receive_blocked: false,
            partitioned: false,
            draining: false,
            log: Vec::new(),
            reported: (is_primary, false),
            request_queue: VecDeque::new(),
        };
        vec![ModelState {
            servers: vec![server(true), server(false), server(false)],
            term: 1,
            promotion: Promotion::new("s"),
            silent: BTreeMap::new(),
            unreachable_since: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            platform_calls: Vec::new(),
            delayed_calls: Vec::new(),
            platform_replies: Vec::new(),
            budget: self.clone(),
            promotions: 0,
            lost_commit: false,
            clock: 0,
        }]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<ModelAction>) {
        if state.lost_commit {
            return;
        }
        let (budget, primary) = (&state.budget, state.primary());
        // Bounds the queues: a request is handled or times out, after 400 ms, before this many others follow.
        if let Some(index) = state.servers.iter().position(|server| server.request_queue.len() > 3) {
            actions.push(if state.servers[index].up && state.is_reachable(index) {
                ModelAction::HandleRequest(index)
            } else {
                ModelAction::LoseRequest(index)
            });
            return;
        }
        if primary.is_some() && budget.commits > 0 {
            actions.push(ModelAction::Commit);
        }
        for (index, server) in state.servers.iter().enumerate() {
            if server.up {
                let is_behind = primary.is_some_and(|primary| state.servers[primary].log != server.log);
                if is_behind && !server.paused && !server.receive_blocked && !server.is_primary {
                    actions.push(ModelAction::Replicate(index));
                }
                if budget.crashes > 0 {
                    actions.push(ModelAction::Crash(index));
                }
                if budget.receive_faults > 0 && !server.is_primary && !server.receive_blocked && index == 2 {
                    actions.push(ModelAction::BlockReceive(index));
                }
                if budget.partitions > 0 && !server.is_primary && !server.partitioned && index == 2 {
                    actions.push(ModelAction::Partition(index));
                }
                let is_silent = state.silent.contains_key(HOSTS[index]);
                if !server.partitioned
                    && (server.reported != (server.is_primary, server.draining) || is_silent)
                {
                    actions.push(ModelAction::Heartbeat(index));
                }
                if server.partitioned && !is_silent {
                    actions.push(ModelAction::Silence(index));
                }
            } else {
                // Promotion does not tolerate the restart of an ignored or paused replica while it runs: the
                // replica would receive from a primary that is alive but does not reply to control.
                let in_progress = !matches!(state.promotion.stage, Stage::Idle | Stage::Checking { .. });
                if budget.restarts > 0 && !in_progress {
                    actions.push(ModelAction::Restart(index));
                }
                if !state.silent.contains_key(HOSTS[index]) {
                    actions.push(ModelAction::Silence(index));
                }
            }
            if !server.request_queue.is_empty() {
                let is_reachable = server.up && state.is_reachable(index);
                if is_reachable {
                    actions.push(ModelAction::HandleRequest(index));
                }
                if budget.lost_replies > 0 && server.up {
                    actions.push(ModelAction::LoseReply(index));
                }
                if !is_reachable || budget.lost_replies > 0 {
                    actions.push(ModelAction::LoseRequest(index));
                }
            }
        }
        if budget.switchover
            && primary.is_some_and(|primary| !state.servers[primary].draining)
            && state.promotions == 0
        {
            actions.push(ModelAction::Drain);
        }
        if budget.suspicions > 0 {
            actions.push(ModelAction::Suspect);
        }
        actions.push(ModelAction::Poll);
        if !state.platform_calls.is_empty() {
            actions.push(ModelAction::ExecuteCall);
            if budget.late_executions > 0 {
                actions.extend([ModelAction::LosePlatformReply, ModelAction::DelayCall]);
            }
        }
        if !state.delayed_calls.is_empty() {
            actions.push(ModelAction::ExecuteDelayedCall);
        }
        if !state.platform_replies.is_empty() {
            actions.push(ModelAction::DeliverStatus);
        }
    }

    fn next_state(&self, previous: &ModelState, action: ModelAction) -> Option<ModelState> {
        let mut state = previous.clone();
        match action {
            ModelAction::Commit => {
                let primary = state.primary()?;
                let (term, commit_number) = (state.term, state.budget.commits);
                state.budget.commits -= 1;
                state.servers[primary].log.push((term, commit_number));
            }
            ModelAction::Replicate(index) => {
                let log = state.servers[state.primary()?].log.clone();
                let server = &mut state.servers[index];
                let common_length = server.log.iter().zip(&log).take_while(|(own, new)| own == new).count();
                server.log.truncate(common_length);
                server.log.extend(log.get(common_length));
                // The primary is alive and reports the commit to a router.
                if let Some(commit) = log.get(common_length)
                    && state.is_acknowledged_by_router(*commit)
                {
                    state.acknowledged.insert(*commit);
                }
            }
            ModelAction::Crash(index) => {
                state.budget.crashes -= 1;
                state.servers[index].up = false;
                let now = state.advance_clock();
                state.unreachable_since.insert(HOSTS[index].into(), now);
            }
            ModelAction::Restart(index) => {
                state.budget.restarts -= 1;
                let other_primary = state.servers.iter().any(|server| server.is_primary && server.up);
                let server = &mut state.servers[index];
                (server.up, server.paused) = (true, false);
                server.is_primary &= !other_primary;
            }
            ModelAction::BlockReceive(index) => {
                state.budget.receive_faults -= 1;
                state.servers[index].receive_blocked = true;
            }
            ModelAction::Partition(index) => {
                state.budget.partitions -= 1;
                state.servers[index].partitioned = true;
                let now = state.advance_clock();
                state.unreachable_since.insert(HOSTS[index].into(), now);
            }
            ModelAction::Drain => {
                let primary = state.primary()?;
                state.servers[primary].draining = true;
            }
            ModelAction::Heartbeat(index) => {
                let server = &mut state.servers[index];
                server.reported = (server.is_primary, server.draining);
                state.silent.remove(HOSTS[index]);
            }
            ModelAction::Silence(index) => {
                let name = HOSTS[index].to_string();
                let unreachable_at = state.unreachable_since.get(&name).copied()?;
                state.silent.insert(name, unreachable_at);
            }
            ModelAction::Suspect => {
                state.budget.suspicions -= 1;
                let primary = state.servers.iter().position(|server| server.reported.0)?;
                state.step_promotion(|promotion, now, snapshot, requests| {
                    promotion.suspect_primary(now, HOSTS[primary], snapshot, requests);
                });
            }
            ModelAction::Poll => {
                state.step_promotion(|promotion, now, snapshot, requests| {
                    promotion.poll(now, snapshot, requests)
                });
                if state.budget.mutation == Some(Mutation::NoPositionFloor) {
                    state.silent.keys().for_each(|host| state.promotion.assume_no_floor(host));
                }
            }
            ModelAction::HandleRequest(index) => {
                let reply = state.execute_request(index)?;
                state.handle_reply(reply);
            }
            ModelAction::LoseReply(index) => {
                state.budget.lost_replies -= 1;
                state.execute_request(index)?;
                state.servers[index].request_queue.clear();
                state.handle_reply(Reply::NoResponse { host: HOSTS[index].into() });
            }
            ModelAction::LoseRequest(index) => {
                let is_reachable = state.servers[index].up && state.is_reachable(index);
                state.budget.lost_replies -= u8::from(is_reachable);
                state.servers[index].request_queue.clear();
                state.handle_reply(Reply::NoResponse { host: HOSTS[index].into() });
            }
            ModelAction::ExecuteCall => {
                let host = state.platform_calls.remove(0);
                let status = state.promote(&host);
                state.platform_replies.push(status);
            }
            ModelAction::LosePlatformReply => {
                state.budget.late_executions -= 1;
                let host = state.platform_calls.remove(0);
                state.promote(&host);
                state.platform_replies.push(0);
            }
            ModelAction::DelayCall => {
                state.budget.late_executions -= 1;
                let host = state.platform_calls.remove(0);
                state.delayed_calls.push(host);
                state.platform_replies.push(0);
            }
            ModelAction::ExecuteDelayedCall => {
                let host = state.delayed_calls.remove(0);
                state.promote(&host);
            }
            ModelAction::DeliverStatus => {
                let status = state.platform_replies.remove(0);
                state.handle_reply(Reply::Platform { status });
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nothing lost", |_: &ModelScenario, state: &ModelState| !state.lost_commit),
            // A paused host without a pending request must be known to the promotion, which resumes it
            // later.
            Property::always("nobody is left behind", |_: &ModelScenario, state: &ModelState| {
                let is_left_paused =
                    |server: &Server| server.up && server.paused && server.request_queue.is_empty();
                let left_paused =
                    state.servers.iter().zip(HOSTS).filter(|(server, _)| is_left_paused(server));
                state.promotion.stage != Stage::Idle
                    || left_paused.into_iter().all(|(_, name)| state.promotion.is_paused(name))
            }),
            Property::sometimes(PROGRESS, |_: &ModelScenario, state: &ModelState| {
                state.promotions > 0 && state.promotion.stage == Stage::Idle
            }),
        ]
    }
}

/// Returns the scenario `name`.
fn scenario(name: &str, mutation: Option<Mutation>) -> Option<ModelScenario> {
    let base = ModelScenario {
        mutation,
        commits: 2,
        crashes: 0,
        restarts: 0,
        receive_faults: 0,
        partitions: 0,
        suspicions: 1,
        switchover: false,
        lost_replies: 0,
        late_executions: 0,
    };
    Some(match name {
        "a crash" => ModelScenario { crashes: 1, restarts: 1, suspicions: 2, ..base },
        "a replica before the primary" => {
            ModelScenario { crashes: 2, receive_faults: 1, restarts: 1, ..base }
        }
        "a plan" => ModelScenario { switchover: true, suspicions: 1, lost_replies: 2, ..base },
        "a plan and a crash" => ModelScenario { switchover: true, crashes: 1, ..base },
        "a late platform" => {
            ModelScenario { crashes: 1, late_executions: 1, commits: 1, switchover: true, ..base }
        }
        "a hidden replica" => ModelScenario { crashes: 1, partitions: 1, ..base },
        "lost answers" => ModelScenario { crashes: 1, lost_replies: 2, restarts: 1, ..base },
        _ => return None,
    })
}

/// Names of the scenarios.
pub const SCENARIOS: [&str; 7] = [
    "a crash",
    "a replica before the primary",
    "a plan",
    "a plan and a crash",
    "a late platform",
    "a hidden replica",
    "lost answers",
];

/// Explores the scenario `name` exhaustively, or with a mutation up to the first violation. Returns `None` if there is no such scenario.
pub fn check(name: &str, mutation: Option<Mutation>) -> Option<CheckResult> {
    Some(explore(scenario(name, mutation)?, mutation.is_some()))
}
