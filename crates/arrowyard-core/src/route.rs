//! The task that owns the decision module: turns messages into events and carries out the actions in order.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::rc::Rc;

use arrowyard::Router;
use arrowyard_background_tasks::{
    Budget, ListSlice, ListSlicer, Priority, Scheduler, TaskConfig, TurnOutcome as Ending,
};
use arrowyard_cells::Layout;
use arrowyard_cells::admission::{CellEvent, RejectReason};
use arrowyard_types::*;
use tokio::sync::mpsc::error::TryRecvError;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep_until};

use crate::cell_scheduler::{CellScheduler, Placement, RELEASE_WINDOW_FACTOR, stage_name};
use crate::clock::Clock;
use crate::hints::{Hints, decode_hint, encode_hint};
use crate::limits::Limits;
use crate::list::{HostList, HostListEntry};
use crate::messages::{self, DiscoveryCommand, RouteMessage};
use crate::op_table::OpTable;
use crate::peers::PeersCommand;
use crate::reply::Reply;
use crate::returns::{OptionalStartup, RouterStartup};
use crate::roster::HostRegistry;
use crate::send::{self, EndedSend, SendRequest};
use crate::transport::HostTransport;

/// What the route task uses of the rest of the router.
pub struct RouteContext<B: HostTransport> {
    pub hosts: HostRegistry,
    pub transport: Rc<B>,
    pub clock: Clock,
    pub limits: Rc<Limits>,
    pub discovery: mpsc::Sender<DiscoveryCommand>,
    /// The sender for tasks that the route task starts.
    pub messages: mpsc::Sender<RouteMessage<B>>,
    /// The startup tracking, if configured.
    pub startup: Option<Box<RouterStartup>>,
    /// Commands to the fleet membership task, if configured.
    pub peers: Option<mpsc::Sender<PeersCommand>>,
}

/// Hosts of a move's target are probed once in this fraction of the connect time-out.
const POSITION_PROBE_FRACTION: f64 = 0.4;

/// Combined with the seed, so that random draws of the background tasks differ from the decision module's.
const TASK_SEED: u64 = 0x6368_6f72;

/// Background tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Task {
    /// Applies a slice of a long list.
    List,
    Tally,
    /// Closes idle connections.
    Sweep,
    /// Acts on hints of other routers.
    Hints,
    /// Advances the stages of the start.
    Start,
    /// Stores the list.
    Save,
}

fn time_delta(time: std::time::Duration) -> TimeDelta {
    TimeDelta::from_micros(time.as_micros() as i64)
}

/// The payload and reply channel of an op that waits for its cell.
type QueuedPayload<B> =
    (Rc<<B as HostTransport>::Payload>, oneshot::Sender<Reply<<B as HostTransport>::Answer>>);

/// The route task.
pub struct RouteTask<B: HostTransport> {
    context: RouteContext<B>,
    cells: Option<CellScheduler<RouteMessage<B>, QueuedPayload<B>>>,
    ticked: Instant,
    /// Hosts being probed for their position because a tenant moves to them.
    position_probes: HashSet<HostId>,
    last_position_probes: Instant,
    /// The maximum retry delay sent to clients; `None` if none may be sent.
    max_retry_after: Option<TimeDelta>,
    cold: TimeDelta,
    router: Router,
    book: OpTable<B::Payload, B::Answer>,
    timers: BinaryHeap<Reverse<(Timestamp, u64, TimerId)>>,
    timer_sequence: u64,
    tasks: Scheduler<Task>,
    /// Long lists being applied.
    slices: ListSlicer<HostListEntry>,
    /// Connections started before the counters were last logged.
    logged_connections: u64,
    /// Hosts that other routers report as draining.
    hints: Hints,
    returns: OptionalStartup,
    /// By op type: whether it writes, and whether it reads its session's own writes.
    writes: Vec<bool>,
    reads_session: Vec<bool>,
    /// After a restart: the minimum position for session reads. A session may have written through this
    /// router before it ended; all writes acknowledged then were committed before the start.
    min_position: Option<Timestamp>,
    /// Requested groups, up to a limit; their entries of a long list are applied first.
    requested_groups: HashSet<i64>,
    /// Ops taken, and ops acknowledged up to the last logging of counters, since the start.
    taken: u64,
    acked: u64,
}

impl<B: HostTransport> RouteTask<B> {
    pub fn start(
        mut context: RouteContext<B>,
        seed: u64,
        manifest: RouterSettings,
        known: Option<&HostList>,
        cells: Option<Layout>,
    ) -> Self {
        let mut actions = Vec::new();
        let now = context.clock.now();
        let max_retry_after = manifest.flag("retry_after").then(|| manifest.time_delta("max_retry_after"));
        let cold = manifest.time_delta("cold");
        // The watch should report a drain within the grace period; half a second if none is configured.
        let grace = manifest.time_delta("drain_grace").max(TimeDelta::from_millis(500));
        let cells = cells.map(|layout| {
            let (rows, marks) = (OpType::rows(&manifest), manifest.flag("marks_retry"));
            CellScheduler::new(now, layout, context.limits.cell_capacity(), rows, marks)
        });
        let returns = context.startup.take();
        let rows = OpType::rows(&manifest);
        let writes = rows.iter().map(|row| row.consistency == Consistency::Write).collect();
        let reads_session = rows.iter().map(|row| row.consistency == Consistency::Session).collect();
        // Acknowledged positions were at most this far ahead of this router's clock.
        let min_position = returns.is_some().then_some(now + context.limits.max_position_lead);
        let router = Router::start(now, seed, manifest, &mut actions);
        let mut book = OpTable::default();
        book.closed_ops = cells.is_some().then(Vec::new);
        let (timers, moment) = (BinaryHeap::new(), Instant::now());
        let (ticked, timer_sequence) = (moment, 0);
        let mut tasks = Scheduler::new(now, Budget::default(), seed ^ TASK_SEED);
        let limits = context.limits.clone();
        let mut add = |task, terms| tasks.add(now, task, terms);
        add(
            Task::List,
            TaskConfig::on_demand("lists", Priority::Urgent, time_delta(limits.list_slice_deadline)),
        );
        add(
            Task::Tally,
            TaskConfig::periodic("tally", Priority::Normal, time_delta(limits.counters_interval)),
        );
        let often = time_delta(limits.host_idle_timeout) * 0.125;
        add(
            Task::Sweep,
            TaskConfig {
                max_delay: often,
                ..TaskConfig::periodic("idle connections", Priority::Idle, often)
            },
        );
        if context.peers.is_some() {
            add(
                Task::Hints,
                TaskConfig::periodic("hints", Priority::Normal, time_delta(limits.startup_check_interval)),
            );
        }
        if returns.is_some() {
            add(
                Task::Start,
                TaskConfig::periodic("start", Priority::Normal, time_delta(limits.startup_check_interval)),
            );
            add(
                Task::Save,
                TaskConfig::on_demand("store", Priority::Idle, time_delta(limits.list_store_deadline)),
            );
        }
        let slices = ListSlicer::new(limits.list_slice_len);
        let mut route = RouteTask {
            context,
            cells,
            ticked,
            position_probes: HashSet::new(),
            last_position_probes: moment,
            max_retry_after,
            cold,
            router,
            book,
            timers,
            timer_sequence,
            tasks,
            slices,
            logged_connections: 0,
            hints: Hints::new(grace, grace * 2.0),
            returns,
            writes,
            reads_session,
            min_position,
            requested_groups: HashSet::new(),
            taken: 0,
            acked: 0,
        };
        if let Some(list) = known {
            let event = route.apply_list(list, Some(true));
            route.router.handle(now, event, &mut actions);
        }
        actions.into_iter().for_each(|action| route.carry_out(now, action));
        route
    }

    pub async fn run(mut self, mut inbox: mpsc::Receiver<RouteMessage<B>>) {
        let mut actions = Vec::new();
        let mut handled = 0_u32;
        loop {
            if self.cells.is_some() {
                let Some(event) = self.next_cell_event(&mut inbox).await else { return };
                if let Some(event) = event {
                    self.handle_event(event, &mut actions);
                }
                handled = handled.wrapping_add(1);
                if handled.is_multiple_of(32) {
                    // Lets sockets be served while the queue never empties.
                    yield_now().await;
                }
                continue;
            }
            let next = self.next_deadline();
            let event = tokio::select! {
                mail = inbox.recv() => match mail {
                    Some(mail) => self.event_for(mail),
                    None => return,
                },
                () = sleep_until(next) => None,
            };
            let event = event.or_else(|| self.due_event(!inbox.is_empty()));
            let Some(event) = event else { continue };
            self.handle_event(event, &mut actions);
        }
    }

    fn handle_event(&mut self, event: RouterEvent, actions: &mut Vec<Action>) {
        let now = self.context.clock.now();
        tracing::trace!(at = now.micros(), "{event:?}");
        if let Some(cells) = &mut self.cells {
            let cell = match &event {
                RouterEvent::OpRequested(request) => Some(request.cell),
                RouterEvent::SendEnded(end) => cells.cell_of(end.op),
                _ => None,
            };
            if let Some(update) = cell.and_then(|cell| cells.retry_budget_update(now, cell)) {
                self.router.handle(now, update, actions);
            }
        }
        self.router.handle(now, event, actions);
        actions.drain(..).for_each(|action| self.carry_out(now, action));
        if let Some(cells) = &mut self.cells {
            self.book
                .closed_ops
                .iter_mut()
                .flat_map(|closed| closed.drain(..))
                .for_each(|op| cells.op_closed(now, op));
        }
    }

    /// The next event if cells are configured: a message that concerns no cell, a timer that is due, or the
    /// message of the next cell. `None` once the channel is closed.
    async fn next_cell_event(
        &mut self,
        inbox: &mut mpsc::Receiver<RouteMessage<B>>,
    ) -> Option<Option<RouterEvent>> {
        // Sorts all received messages into their cells' queues first, so that one cell does not delay the
        // others.
        loop {
            match inbox.try_recv() {
                Ok(mail) => {
                    if let Some(event) = self.enqueue_message(mail) {
                        return Some(Some(event));
                    }
                }
                Err(TryRecvError::Empty) => break,
                Err(TryRecvError::Disconnected) => return None,
            }
        }
        self.tick();
        let waits = self.cells.as_ref().is_some_and(|cells| cells.queue_len() > 0);
        if let Some(event) = self.due_event(waits) {
            return Some(Some(event));
        }
        if let Some(mail) = self.cells.as_mut().and_then(CellScheduler::pop) {
            return Some(self.event_for(mail));
        }
        let next = self.next_deadline().min(self.ticked + self.context.limits.cell_tick_interval);
        tokio::select! {
            mail = inbox.recv() => mail.map(|mail| self.enqueue_message(mail)),
            () = sleep_until(next) => Some(None),
        }
    }

    /// Queues the message of an op in its cell; other messages are handled at once.
    fn enqueue_message(&mut self, mail: RouteMessage<B>) -> Option<RouterEvent> {
        let now = self.context.clock.now();
        let cells = self.cells.as_mut()?;
        let waits = match mail {
            RouteMessage::OpAdmitted(request, Some(origin), payload, client) => {
                let turn = cells.admit(now, request, origin, (payload, client));
                self.apply_placement(turn);
                return None;
            }
            RouteMessage::SendEnded(op, ..)
            | RouteMessage::ClientDisconnected(op)
            | RouteMessage::AnswerBegun(op, _) => {
                if matches!(mail, RouteMessage::ClientDisconnected(_)) {
                    cells.client_disconnected(now, op);
                }
                cells.enqueue(op, mail)
            }
            mail => Some(mail),
        };
        waits.and_then(|mail| self.event_for(mail))
    }

    fn apply_placement(&mut self, turn: Placement<QueuedPayload<B>>) {
        let Some(cells) = &mut self.cells else { return };
        match turn {
            Placement::Dispatch(request, (payload, client)) => {
                let group = self.context.hosts.cell_group(request.group, request.cell);
                let asked = RouteMessage::OpAdmitted(OpRequest { group, ..request }, None, payload, client);
                // The op was admitted above, so it is known.
                let _ = cells.enqueue(request.op, asked);
            }
            Placement::Queued => {}
            // Busy replies carry a retry delay if the settings allow it.
            Placement::Busy(after, (_, client)) => {
                self.book.counters.busy += 1;
                // The end of a fence or lease may exceed the maximum retry delay that clients accept.
                let after = self.max_retry_after.map(|most| after.map_or(most, |after| after.min(most)));
                let _ = client.send(Reply::Busy(after));
            }
            Placement::Error(RejectReason::OutcomeUnknown, (_, client)) => {
                self.book.counters.errored += 1;
                let _ = client.send(Reply::Errored);
            }
            Placement::Error(why, (_, client)) => {
                self.book.counters.errored += 1;
                let _ = client.send(Reply::Refused(why.text()));
            }
        }
    }

    /// Updates the cells.
    fn tick(&mut self) {
        if self.ticked.elapsed() < self.context.limits.cell_tick_interval {
            return;
        }
        self.ticked = Instant::now();
        let now = self.context.clock.now();
        let Some(cells) = &mut self.cells else { return };
        let handled = cells.tick(now);
        handled.into_iter().for_each(|turn| self.apply_placement(turn));
        self.log_cell_events();
        self.probe_target_hosts();
    }

    /// Logs the events of cells.
    fn log_cell_events(&mut self) {
        let Some(cells) = &mut self.cells else { return };
        let events = cells.take_events();
        let name = |cell: CellId| cells.layout().cell(cell).name.to_string();
        let mut verdict_changed = false;
        for events in events {
            match events {
                CellEvent::RolloutVerdict(verdict) => {
                    verdict_changed = true;
                    tracing::warn!(cell = name(verdict.cell), "the release is judged {:?}", verdict.verdict);
                }
                CellEvent::RolloutBlocked(cell, held) => {
                    let (by, why) =
                        (name(held.blocked_by), if held.failed { "bad" } else { "not judged yet" });
                    tracing::warn!(
                        cell = name(cell),
                        by,
                        "new hosts are trusted little: the release there is {why}"
                    );
                }
                CellEvent::MoveStageChanged(tenant, stage) => {
                    tracing::info!(tenant = &*tenant, stage = stage_name(stage), "the move goes on");
                }
                CellEvent::MoveBlocked(tenant, stuck) => {
                    tracing::warn!(tenant = &*tenant, "the move waits: {stuck:?}")
                }
            }
        }
        if verdict_changed {
            self.resend_hosts();
        }
    }

    /// Probes the hosts to which a tenant moves for their positions.
    fn probe_target_hosts(&mut self) {
        // Limits the load of these probes.
        let is_due = self.last_position_probes.elapsed()
            >= self.context.limits.connect_timeout.mul_f64(POSITION_PROBE_FRACTION);
        let Some(cells) = self.cells.as_mut().filter(|_| is_due) else { return };
        self.last_position_probes = Instant::now();
        for group in cells.groups_awaiting_positions() {
            let hosts = self.context.hosts.group_hosts(group);
            cells.set_group_hosts(group, &hosts);
            for (host, _) in hosts {
                let (back, mail) = (self.context.transport.clone(), self.context.messages.clone());
                let Some(dial) = self.context.hosts.address(host) else { continue };
                if !self.position_probes.insert(host) {
                    continue;
                }
                drop(spawn_local(async move {
                    let (outcome, status) = back.probe(host, dial).await;
                    let status = if outcome == Outcome::Acked { status } else { HostStatus::default() };
                    let _ = mail.send(RouteMessage::PositionProbed(host, status)).await;
                }));
            }
        }
    }

    /// Applies a list and returns its event. `saved` is true for the last list before this start, `None` for
    /// a slice.
    fn apply_list(&mut self, list: &HostList, saved: Option<bool>) -> RouterEvent {
        let event = self.context.hosts.apply_list(list, saved == Some(true));
        self.book.counters.list_entries += list.entries.len() as u32;
        let not_ready = self.context.hosts.take_not_ready();
        if saved != Some(true) {
            self.hints.list_received();
        }
        if let Some(returns) = self.returns.as_mut().filter(|_| saved == Some(false)) {
            returns.list_received(self.context.clock.now(), list.version);
        }
        if saved != Some(true) {
            let now = self.context.clock.now();
            not_ready.into_iter().for_each(|tag| self.hints.host_not_ready(now, tag));
            self.announce_not_ready(now);
        }
        match event {
            RouterEvent::HostList { kind, entries } if self.cells.is_some() => {
                RouterEvent::HostList { kind, entries: self.assign_cells(entries) }
            }
            event => event,
        }
    }

    fn assign_cells(&mut self, mut entries: Vec<HostEntry>) -> Vec<HostEntry> {
        let Some(cells) = &mut self.cells else { return entries };
        let (now, within) = (self.context.clock.now(), self.cold * RELEASE_WINDOW_FACTOR);
        let index = cells.index().clone();
        self.context.hosts.assign_cells(&mut entries, &index, |cell, started| {
            if now - started >= within {
                return 1.0;
            }
            cells.host_restarted(cell, started, within);
            cells.restarted_host_trust(cell)
        });
        entries
    }

    /// Sends all hosts to the decision module again, since cells or their trust changed.
    fn resend_hosts(&mut self) {
        let entries = self.assign_cells(self.context.hosts.current_entries());
        let (now, mut actions) = (self.context.clock.now(), Vec::new());
        self.router.handle(now, RouterEvent::HostList { kind: ListKind::Incremental, entries }, &mut actions);
        actions.into_iter().for_each(|action| self.carry_out(now, action));
    }

    fn replace_layout(&mut self, layout: Layout) {
        let (now, epoch) = (self.context.clock.now(), layout.epoch);
        let Some(cells) = &mut self.cells else {
            tracing::error!("cells begin with a restart; nothing changes");
            return;
        };
        match cells.replace_layout(now, layout) {
            Ok(()) => {
                tracing::info!(epoch, "the operator's file holds");
                self.resend_hosts();
            }
            Err(why) => tracing::error!(epoch, "the operator's file is refused whole: {why:?}"),
        }
    }

    /// When the next timer or background task is due.
    fn next_deadline(&self) -> Instant {
        let timer = self.timers.peek().map(|Reverse((at, ..))| *at);
        let next = [timer, self.tasks.next_at()].into_iter().flatten().min();
        next.map_or_else(
            || Instant::now() + self.context.limits.counters_interval,
            |at| self.context.clock.instant_at(at),
        )
    }

    /// Runs one turn of a background task, if one may run; `ops` tells whether ops are waiting.
    fn run_task(&mut self, now: Timestamp, ops: bool) {
        let Some(task) = self.tasks.begin_next(now, ops) else { return };
        let end = match task {
            Task::List => self.apply_slice(),
            Task::Tally => {
                self.log_counters();
                Ending::Done
            }
            Task::Sweep => {
                self.context.transport.close_expired();
                Ending::Done
            }
            Task::Hints => {
                if self.hints.should_fetch(now, |tag| self.context.hosts.is_ready(tag)) {
                    tracing::info!("other routers say that a host is leaving: the list is asked for");
                    send_command(&self.context.discovery, DiscoveryCommand::Fetch);
                }
                self.close_hinted_hosts(now);
                self.announce_not_ready(now);
                Ending::Done
            }
            Task::Start => {
                if let Some(returns) = &mut self.returns {
                    returns.tick(now);
                    if returns.should_save(now) {
                        self.tasks.request(now, Task::Save);
                    }
                }
                Ending::Done
            }
            Task::Save => {
                if let Some(returns) = &mut self.returns {
                    returns.save(self.context.hosts.stored_hosts(), self.context.messages.clone());
                }
                Ending::Done
            }
        };
        let ended = self.context.clock.now();
        self.tasks.finish(ended, task, ended - now, end);
    }

    /// Announces hosts that are no longer ready to other routers.
    fn announce_not_ready(&mut self, now: Timestamp) {
        let told = self.hints.take_announcements(now);
        let Some(peers) = &self.context.peers else { return };
        told.into_iter().for_each(|tag| drop(peers.try_send(PeersCommand::Broadcast(encode_hint(tag)))));
    }

    /// Closes hosts that other routers report as draining, while the list is unavailable.
    fn close_hinted_hosts(&mut self, now: Timestamp) {
        let RouteContext { hosts: roster, .. } = &self.context;
        let tags = self.hints.hosts_to_close(now, roster.ready_count(), |tag| roster.is_ready(tag));
        let entries: Vec<HostEntry> =
            tags.into_iter().filter_map(|tag| self.context.hosts.mark_draining(tag)).collect();
        if entries.is_empty() {
            return;
        }
        tracing::warn!(
            hosts = entries.len(),
            "hosts are closed by other routers' word: the list cannot be had"
        );
        let entries = if self.cells.is_some() { self.assign_cells(entries) } else { entries };
        let (event, mut actions) =
            (RouterEvent::HostList { kind: ListKind::Incremental, entries }, Vec::new());
        self.handle_event(event, &mut actions);
    }

    /// Applies one slice of the queued lists.
    fn apply_slice(&mut self) -> Ending {
        let lines = match self.slices.next_slice() {
            Some(ListSlice::Entries(lines)) => lines,
            Some(ListSlice::RemoveUnlisted(turn)) => {
                let lines = self.context.hosts.missing_hosts(turn);
                // All removed hosts are closed at once, so that no op is sent to them.
                tracing::info!(gone = lines.len(), "a whole list leaves out hosts");
                lines
            }
            Some(ListSlice::Complete(number)) => {
                if let Some(returns) = &mut self.returns {
                    returns.list_received(self.context.clock.now(), number);
                }
                return if self.slices.is_empty() { Ending::Done } else { Ending::More };
            }
            None => return Ending::Done,
        };
        self.context.hosts.set_list_number(self.slices.generation());
        let part = HostList { version: 0, is_full: false, entries: lines };
        let event = self.apply_list(&part, None);
        let mut actions = Vec::new();
        self.handle_event(event, &mut actions);
        Ending::More
    }

    /// The next timer that is due, after a turn of a background task that is due.
    fn due_event(&mut self, ops: bool) -> Option<RouterEvent> {
        let now = self.context.clock.now();
        if self.tasks.next_at().is_some_and(|at| at <= now) {
            self.run_task(now, ops);
        }
        let due = self.timers.peek().is_some_and(|Reverse((at, ..))| *at <= now);
        let timer = due.then(|| self.timers.pop()).flatten();
        timer.map(|Reverse((_, _, timer_id))| RouterEvent::TimerFired { timer: timer_id })
    }

    /// The event for the decision module that follows from a message, if any.
    fn event_for(&mut self, mail: RouteMessage<B>) -> Option<RouterEvent> {
        match mail {
            RouteMessage::OpAdmitted(mut request, _, payload, client) => {
                self.taken += 1;
                if self.reads_session.get(request.op_type.0 as usize) == Some(&true) {
                    request.min_position = request.min_position.max(self.min_position);
                }
                if self.requested_groups.len() < self.context.limits.max_requested_groups {
                    self.requested_groups.insert(request.group.0);
                }
                if let Some(returns) = &mut self.returns {
                    let write = self.writes.get(request.op_type.0 as usize).copied().unwrap_or_default();
                    returns.op_started(request.op, request.group, write);
                }
                self.book.insert(request.op, payload, client);
                Some(RouterEvent::OpRequested(request))
            }
            // The decision module is informed when the send ends; until then it loads its host.
            RouteMessage::AnswerBegun(op, answer) => {
                self.book.begin_answer(op, answer);
                None
            }
            RouteMessage::ClientDisconnected(op) => {
                self.book.client_disconnected(op).then_some(RouterEvent::ClientCancelled { op })
            }
            RouteMessage::SendEnded(op, send, host, EndedSend { outcome, elapsed: took, status, answer }) => {
                let finished = self.book.end_send(op, send, outcome, answer)?;
                if let Some(returns) = self.returns.as_mut().filter(|_| finished) {
                    returns.op_finished(self.context.clock.now(), op, outcome == Outcome::Acked);
                }
                let status = self.without_future_position(status);
                if let Some(cells) = &mut self.cells {
                    let new = self.context.hosts.started_within(
                        host,
                        self.context.clock.now(),
                        self.cold * RELEASE_WINDOW_FACTOR,
                    );
                    cells.send_ended(op, outcome, took, &status, new);
                    cells.record_position(host, &status);
                }
                Some(RouterEvent::SendEnded(SendResult {
                    op,
                    send,
                    host,
                    outcome,
                    elapsed: took,
                    op_finished: finished,
                    status,
                }))
            }
            RouteMessage::ProbeEnded(host, cell, outcome, status) => {
                if let (Some(cells), Some(cell)) = (&mut self.cells, cell) {
                    cells.end_probe(cell);
                }
                Some(RouterEvent::ProbeEnded { host, outcome, status: self.without_future_position(status) })
            }
            RouteMessage::PositionProbed(host, status) => {
                self.position_probes.remove(&host);
                let status = self.without_future_position(status);
                self.cells.iter_mut().for_each(|cells| cells.record_position(host, &status));
                None
            }
            RouteMessage::LayoutReloaded(layout) => {
                self.replace_layout(*layout);
                None
            }
            RouteMessage::ShowCells(client) => {
                let report = self.cells.as_mut().map(|cells| cells.report().to_string());
                let _ = client.send(report.unwrap_or_default());
                None
            }
            RouteMessage::ShowPeers(client) => {
                match self.context.peers.as_ref().map(|peers| peers.try_send(PeersCommand::Show(client))) {
                    Some(Ok(())) => {}
                    // Dropping the sender tells the client that there is no report.
                    _ => tracing::warn!("the task of the fleet takes no errands"),
                }
                None
            }
            RouteMessage::RouterCountChanged(routers) => {
                send_command(&self.context.discovery, DiscoveryCommand::SetRouterCount(routers));
                Some(RouterEvent::RouterCount { routers })
            }
            RouteMessage::PeerMessage(from, mut bytes) => {
                if let Some(tag) = decode_hint(&bytes) {
                    self.hints.record_hint(self.context.clock.now(), tag, from);
                    return None;
                }
                // Another router's report must not make a host primary, or writes could go to a replica.
                arrowyard::clear_primary_claim(&mut bytes);
                Some(RouterEvent::PeerMessage { from, bytes })
            }
            RouteMessage::ListSaved(failed) => {
                self.returns.iter_mut().for_each(|returns| returns.save_finished(failed));
                None
            }
            RouteMessage::CheckLiveness(client) => {
                let _ = client.send((self.taken, self.acked + u64::from(self.book.counters.acked)));
                None
            }
            RouteMessage::Discovery(messages::DiscoveryEvent::List(list))
                if self.slices.needs_slicing(list.entries.len()) =>
            {
                let requested_groups = |line: &HostListEntry| {
                    line.group.is_some_and(|group| self.requested_groups.contains(&group))
                };
                let rank = |line: &HostListEntry| match line.availability {
                    Availability::Ready if requested_groups(line) => 1,
                    Availability::Ready if line.is_primary == Some(true) => 2,
                    Availability::Ready => 3,
                    _ => 0,
                };
                let host = |line: &HostListEntry| line.host.clone();
                self.slices.push(list.version, list.is_full, list.entries, rank, host);
                self.tasks.request(self.context.clock.now(), Task::List);
                None
            }
            RouteMessage::Discovery(messages::DiscoveryEvent::List(list)) => {
                Some(self.apply_list(&list, Some(false)))
            }
            RouteMessage::Discovery(messages::DiscoveryEvent::Failed) => Some(RouterEvent::ListFailed),
        }
    }

    /// The host's status without a position in the future. Positions never decrease, so a corrupted one in
    /// the future would make stale data look fresh permanently.
    fn without_future_position(&self, status: HostStatus) -> HostStatus {
        let latest = self.context.clock.now() + self.context.limits.max_position_lead;
        let position = status.position.filter(|&position| position <= latest);
        if position != status.position {
            tracing::warn!(?status, "a position in the future is ignored");
        }
        HostStatus { position, ..status }
    }

    fn carry_out(&mut self, now: Timestamp, action: Action) {
        let RouteContext { hosts: roster, transport: back, clock, discovery: wishes, messages: mail, .. } =
            &self.context;
        tracing::trace!(at = now.micros(), "{action:?}");
        match action {
            Action::Send { op, host, deadline: until } => {
                let Some((send, payload, cancelled)) = self.book.start_send(op) else { return };
                self.book.counters.cold_sends += u32::from(roster.started_within(host, now, self.cold));
                self.cells.iter_mut().for_each(|cells| cells.record_send(now, op, send));
                let (back, clock, mail, dial) = (back.clone(), *clock, mail.clone(), roster.address(host));
                drop(spawn_local(async move {
                    let end = match dial {
                        Some(dial) => {
                            let order =
                                SendRequest { host, address: dial, payload, deadline: until, cancelled };
                            let begun =
                                async |answer| drop(mail.send(RouteMessage::AnswerBegun(op, answer)).await);
                            send::run(order, &*back, clock, begun).await
                        }
                        None => EndedSend::unsent(),
                    };
                    // The route task ends only with the router.
                    let _ = mail.send(RouteMessage::SendEnded(op, send, host, end)).await;
                }));
            }
            Action::Cancel { op, send } => self.book.cancel_send(op, send),
            Action::BusyReply { op, retry_after } => {
                let after = match &mut self.returns {
                    Some(returns) => {
                        returns.op_finished(now, op, false);
                        returns.retry_after(retry_after, self.max_retry_after)
                    }
                    None => retry_after,
                };
                self.book.complete(op, Reply::Busy(after));
            }
            Action::ErrorReply { op } => {
                self.returns.iter_mut().for_each(|returns| returns.op_finished(now, op, false));
                self.book.complete(op, Reply::Errored);
            }
            Action::Probe { host } => {
                self.book.counters.probes += 1;
                let (back, mail, dial) = (back.clone(), mail.clone(), roster.address(host));
                let (mut cell, mut rejected_delay) = (None, None);
                if let Some(cells) = &mut self.cells
                    && let Some(of) = roster.probe_cell(host, cells.index())
                {
                    let may = cells.try_start_probe(now, of);
                    (cell, rejected_delay) =
                        (may.then_some(of), (!may).then_some(self.context.limits.connect_timeout));
                }
                drop(spawn_local(async move {
                    let (outcome, status) = match (dial, rejected_delay) {
                        (Some(dial), None) => back.probe(host, dial).await,
                        (_, rejected_delay) => {
                            // The decision module retries at once, so a rejected probe takes as long as a
                            // lost one.
                            sleep_until(Instant::now() + rejected_delay.unwrap_or_default()).await;
                            (Outcome::NotSent, HostStatus::default())
                        }
                    };
                    let _ = mail.send(RouteMessage::ProbeEnded(host, cell, outcome, status)).await;
                }));
            }
            Action::SetTimer { after, timer: timer_id } => {
                self.timer_sequence += 1;
                self.timers.push(Reverse((now + after, self.timer_sequence, timer_id)));
            }
            Action::SubscribeHostList { on } => send_command(wishes, DiscoveryCommand::Watch(on)),
            Action::FetchHostList => send_command(wishes, DiscoveryCommand::Fetch),
            Action::CloseIdleConnections { host } => back.close_idle(host),
            Action::SendPeerMessage { bytes, .. } => {
                if let Some(peers) = &self.context.peers {
                    // Never waits for the membership task; the message is dropped if its channel is full.
                    let _ = peers.try_send(PeersCommand::Broadcast(bytes));
                }
            }
            Action::Log { text } => tracing::info!("{text}"),
        }
    }

    fn log_counters(&mut self) {
        let log_counters = std::mem::take(&mut self.book.counters);
        self.acked += u64::from(log_counters.acked);
        let logged_connections = self.context.transport.connections_started();
        tracing::info!(
            acked = log_counters.acked,
            busy = log_counters.busy,
            errored = log_counters.errored,
            gone = log_counters.disconnected,
            sends = log_counters.sends,
            lost = log_counters.lost_sends,
            repeats = log_counters.retries,
            cold = log_counters.cold_sends,
            probes = log_counters.probes,
            dials = logged_connections - std::mem::replace(&mut self.logged_connections, logged_connections),
            listed = log_counters.list_entries,
            open_ops = self.book.open_ops(),
            links = self.context.transport.open_connections(),
            "tally"
        );
    }
}

fn send_command(wishes: &mpsc::Sender<DiscoveryCommand>, send_command: DiscoveryCommand) {
    // Never waits for discovery; the command is dropped if its channel is full.
    if wishes.try_send(send_command).is_err() {
        tracing::warn!(?send_command, "discovery takes no more wishes, one is dropped");
    }
}
