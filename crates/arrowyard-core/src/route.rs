//! The route task: converts messages to events of the decision module and executes the actions that the
//! module returns, in order.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::rc::Rc;

use arrowyard::Router;
use arrowyard_background_tasks::{
    Budget, ListSlice, ListSlicer, Priority, Scheduler, TaskConfig, TurnOutcome,
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
use crate::host_list::{HostList, HostListEntry};
use crate::host_registry::HostRegistry;
use crate::limits::Limits;
use crate::messages::{self, DiscoveryCommand, RouteMessage};
use crate::op_table::OpTable;
use crate::peers::PeersCommand;
use crate::reply::Reply;
use crate::send::{self, EndedSend, SendRequest};
use crate::startup::{OptionalStartup, RouterStartup};
use crate::transport::HostTransport;

/// The parts of the router that the route task depends on.
pub struct RouteContext<T: HostTransport> {
    pub hosts: HostRegistry,
    /// Carries sends and probes to hosts.
    pub transport: Rc<T>,
    pub clock: Clock,
    pub limits: Rc<Limits>,
    /// Commands to discovery.
    pub discovery: mpsc::Sender<DiscoveryCommand>,
    /// Sends results of spawned tasks back to the route task.
    pub messages: mpsc::Sender<RouteMessage<T>>,
    /// The startup tracking, if configured.
    pub startup: Option<Box<RouterStartup>>,
    /// Commands to the fleet membership task, if configured.
    pub peers: Option<mpsc::Sender<PeersCommand>>,
}

/// The interval of probes to the target hosts of a tenant move, as a fraction of the connect timeout.
const POSITION_PROBE_FRACTION: f64 = 0.4;

/// Combined with the seed, so that random draws of the background tasks differ from the decision module's.
const TASK_SEED: u64 = 0x6368_6f72;

/// Background tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Task {
    /// Applies a slice of a long host list.
    ApplyListSlice,
    LogCounters,
    CloseExpiredConnections,
    /// Acts on hints of other routers.
    ProcessHints,
    /// Advances the startup stage.
    AdvanceStartup,
    /// Stores the host list.
    SaveList,
}

fn time_delta(duration: std::time::Duration) -> TimeDelta {
    TimeDelta::from_micros(duration.as_micros() as i64)
}

/// The payload and reply channel of an op that waits for its cell.
type QueuedPayload<T> =
    (Rc<<T as HostTransport>::Payload>, oneshot::Sender<Reply<<T as HostTransport>::Answer>>);

/// The route task; it owns the decision module, the open ops and the host registry.
pub struct RouteTask<T: HostTransport> {
    context: RouteContext<T>,
    cells: Option<CellScheduler<RouteMessage<T>, QueuedPayload<T>>>,
    last_cell_tick: Instant,
    /// Hosts with a position probe in progress because a tenant moves to them.
    position_probes: HashSet<HostId>,
    last_position_probes: Instant,
    /// The maximum retry delay sent to clients; `None` if none may be sent.
    max_retry_after: Option<TimeDelta>,
    /// A started host is cold for this long.
    cold_period: TimeDelta,
    router: Router,
    op_table: OpTable<T::Payload, T::Answer>,
    /// The due time, sequence number and id of each timer; the sequence number orders timers of equal time.
    timers: BinaryHeap<Reverse<(Timestamp, u64, TimerId)>>,
    timer_sequence: u64,
    tasks: Scheduler<Task>,
    /// Long lists being applied.
    slices: ListSlicer<HostListEntry>,
    /// Connections started before the counters were last logged.
    logged_connections: u64,
    /// Hosts that other routers report as draining.
    hints: Hints,
    startup: OptionalStartup,
    /// By op type: whether it writes.
    is_write: Vec<bool>,
    /// By op type: whether it reads its session's own writes.
    reads_own_writes: Vec<bool>,
    /// The minimum position for session reads, if startup is tracked. A session may have written through this
    /// router before a restart; all writes that were acknowledged then were committed before the start.
    min_position: Option<Timestamp>,
    /// Groups that ops requested, up to a limit; their entries of a long list are applied first.
    requested_groups: HashSet<i64>,
    /// Ops received since the start.
    received_ops: u64,
    /// Ops acknowledged from the start until the counters were last logged.
    acked_ops: u64,
}

impl<T: HostTransport> RouteTask<T> {
    /// Creates the task and starts the decision module, with the saved host list if there is one.
    pub fn start(
        mut context: RouteContext<T>,
        seed: u64,
        settings: RouterSettings,
        saved_list: Option<&HostList>,
        cells: Option<Layout>,
    ) -> Self {
        let mut actions = Vec::new();
        let now = context.clock.now();
        let max_retry_after = settings.flag("retry_after").then(|| settings.time_delta("max_retry_after"));
        let cold_period = settings.time_delta("cold");
        // The watch of the host list should report a drain within the grace period.
        let drain_grace = settings.time_delta("drain_grace").max(TimeDelta::from_millis(500));
        let cells = cells.map(|layout| {
            let (op_types, clients_mark_retries) = (OpType::rows(&settings), settings.flag("marks_retry"));
            CellScheduler::new(now, layout, context.limits.cell_capacity(), op_types, clients_mark_retries)
        });
        let startup = context.startup.take();
        let op_types = OpType::rows(&settings);
        let is_write = op_types.iter().map(|op_type| op_type.consistency == Consistency::Write).collect();
        let reads_own_writes =
            op_types.iter().map(|op_type| op_type.consistency == Consistency::Session).collect();
        // Positions were accepted only up to this far ahead of this router's clock.
        let min_position = startup.is_some().then_some(now + context.limits.max_position_lead);
        let router = Router::start(now, seed, settings, &mut actions);
        let mut op_table = OpTable::default();
        op_table.closed_ops = cells.is_some().then(Vec::new);
        let (timers, started_at) = (BinaryHeap::new(), Instant::now());
        let (last_cell_tick, timer_sequence) = (started_at, 0);
        let mut tasks = Scheduler::new(now, Budget::default(), seed ^ TASK_SEED);
        let limits = context.limits.clone();
        let mut add_task = |task, config| tasks.add(now, task, config);
        add_task(
            Task::ApplyListSlice,
            TaskConfig::on_demand("lists", Priority::Urgent, time_delta(limits.list_slice_deadline)),
        );
        add_task(
            Task::LogCounters,
            TaskConfig::periodic("counters", Priority::Normal, time_delta(limits.counters_interval)),
        );
        let sweep_interval = time_delta(limits.host_idle_timeout) * 0.125;
        add_task(
            Task::CloseExpiredConnections,
            TaskConfig {
                max_delay: sweep_interval,
                ..TaskConfig::periodic("idle connections", Priority::Idle, sweep_interval)
            },
        );
        if context.peers.is_some() {
            add_task(
                Task::ProcessHints,
                TaskConfig::periodic("hints", Priority::Normal, time_delta(limits.startup_check_interval)),
            );
        }
        if startup.is_some() {
            add_task(
                Task::AdvanceStartup,
                TaskConfig::periodic("startup", Priority::Normal, time_delta(limits.startup_check_interval)),
            );
            add_task(
                Task::SaveList,
                TaskConfig::on_demand("store", Priority::Idle, time_delta(limits.list_store_deadline)),
            );
        }
        let slices = ListSlicer::new(limits.list_slice_len);
        let mut route_task = RouteTask {
            context,
            cells,
            last_cell_tick,
            position_probes: HashSet::new(),
            last_position_probes: started_at,
            max_retry_after,
            cold_period,
            router,
            op_table,
            timers,
            timer_sequence,
            tasks,
            slices,
            logged_connections: 0,
            hints: Hints::new(drain_grace, drain_grace * 2.0),
            startup,
            is_write,
            reads_own_writes,
            min_position,
            requested_groups: HashSet::new(),
            received_ops: 0,
            acked_ops: 0,
        };
        if let Some(list) = saved_list {
            let event = route_task.apply_list(list, Some(true));
            route_task.router.handle(now, event, &mut actions);
        }
        actions.into_iter().for_each(|action| route_task.execute(now, action));
        route_task
    }

    /// Handles messages, timers and background tasks until the message channel is closed.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<RouteMessage<T>>) {
        let mut actions = Vec::new();
        let mut handled_count = 0_u32;
        loop {
            if self.cells.is_some() {
                let Some(event) = self.next_cell_event(&mut inbox).await else { return };
                if let Some(event) = event {
                    self.handle_event(event, &mut actions);
                }
                handled_count = handled_count.wrapping_add(1);
                if handled_count.is_multiple_of(32) {
                    // Yields, so that sockets are served even if the queue never empties.
                    yield_now().await;
                }
                continue;
            }
            let wake_at = self.next_deadline();
            let event = tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.event_for(message),
                    None => return,
                },
                () = sleep_until(wake_at) => None,
            };
            let event = event.or_else(|| self.due_event(!inbox.is_empty()));
            let Some(event) = event else { continue };
            self.handle_event(event, &mut actions);
        }
    }

    /// Passes an event to the decision module and executes its actions.
    fn handle_event(&mut self, event: RouterEvent, actions: &mut Vec<Action>) {
        let now = self.context.clock.now();
        tracing::trace!(at = now.micros(), "{event:?}");
        if let Some(cells) = &mut self.cells {
            let cell = match &event {
                RouterEvent::OpRequested(request) => Some(request.cell),
                RouterEvent::SendEnded(send_result) => cells.cell_of(send_result.op),
                _ => None,
            };
            if let Some(update) = cell.and_then(|cell| cells.retry_budget_update(now, cell)) {
                self.router.handle(now, update, actions);
            }
        }
        self.router.handle(now, event, actions);
        actions.drain(..).for_each(|action| self.execute(now, action));
        if let Some(cells) = &mut self.cells {
            self.op_table
                .closed_ops
                .iter_mut()
                .flat_map(|closed_ops| closed_ops.drain(..))
                .for_each(|op| cells.op_closed(now, op));
        }
    }

    /// The next event if cells are configured: a message that concerns no cell, a timer that is due, or the
    /// message of the next cell. `Some(None)` if there is no event now, `None` once the channel is closed.
    async fn next_cell_event(
        &mut self,
        inbox: &mut mpsc::Receiver<RouteMessage<T>>,
    ) -> Option<Option<RouterEvent>> {
        // Sorts all received messages into their cells' queues first, so that one cell does not delay the
        // others.
        loop {
            match inbox.try_recv() {
                Ok(message) => {
                    if let Some(event) = self.enqueue_message(message) {
                        return Some(Some(event));
                    }
                }
                Err(TryRecvError::Empty) => break,
                Err(TryRecvError::Disconnected) => return None,
            }
        }
        self.tick();
        let has_queued_messages = self.cells.as_ref().is_some_and(|cells| cells.queue_len() > 0);
        if let Some(event) = self.due_event(has_queued_messages) {
            return Some(Some(event));
        }
        if let Some(message) = self.cells.as_mut().and_then(CellScheduler::pop) {
            return Some(self.event_for(message));
        }
        let wake_at = self.next_deadline().min(self.last_cell_tick + self.context.limits.cell_tick_interval);
        tokio::select! {
            message = inbox.recv() => message.map(|message| self.enqueue_message(message)),
            () = sleep_until(wake_at) => Some(None),
        }
    }

    /// Queues the message of an op in its cell; any other message is converted to its event at once.
    fn enqueue_message(&mut self, message: RouteMessage<T>) -> Option<RouterEvent> {
        let now = self.context.clock.now();
        let cells = self.cells.as_mut()?;
        let immediate_message = match message {
            RouteMessage::OpAdmitted(request, Some(origin), payload, client) => {
                let placement = cells.admit(now, request, origin, (payload, client));
                self.apply_placement(placement);
                return None;
            }
            RouteMessage::SendEnded(op, ..)
            | RouteMessage::ClientDisconnected(op)
            | RouteMessage::AnswerBegun(op, _) => {
                if matches!(message, RouteMessage::ClientDisconnected(_)) {
                    cells.client_disconnected(now, op);
                }
                cells.enqueue(op, message)
            }
            message => Some(message),
        };
        immediate_message.and_then(|message| self.event_for(message))
    }

    /// Queues an admitted op for its cell, or sends the reply of a rejected one.
    fn apply_placement(&mut self, placement: Placement<QueuedPayload<T>>) {
        let Some(cells) = &mut self.cells else { return };
        match placement {
            Placement::Dispatch(request, (payload, client)) => {
                let group = self.context.hosts.cell_group(request.group, request.cell);
                let message = RouteMessage::OpAdmitted(OpRequest { group, ..request }, None, payload, client);
                // The op was admitted above, so it is known.
                let _ = cells.enqueue(request.op, message);
            }
            Placement::Queued => {}
            // Busy replies carry a retry delay if the settings allow it.
            Placement::Busy(retry_after, (_, client)) => {
                self.op_table.counters.busy += 1;
                // The end of a fence or lease may exceed the maximum retry delay that clients accept.
                let retry_after = self
                    .max_retry_after
                    .map(|limit| retry_after.map_or(limit, |retry_after| retry_after.min(limit)));
                let _ = client.send(Reply::Busy(retry_after));
            }
            Placement::Error(RejectReason::OutcomeUnknown, (_, client)) => {
                self.op_table.counters.errored += 1;
                let _ = client.send(Reply::Errored);
            }
            Placement::Error(reason, (_, client)) => {
                self.op_table.counters.errored += 1;
                let _ = client.send(Reply::Refused(reason.text()));
            }
        }
    }

    /// Updates the cells once per interval.
    fn tick(&mut self) {
        if self.last_cell_tick.elapsed() < self.context.limits.cell_tick_interval {
            return;
        }
        self.last_cell_tick = Instant::now();
        let now = self.context.clock.now();
        let Some(cells) = &mut self.cells else { return };
        let placements = cells.tick(now);
        placements.into_iter().for_each(|placement| self.apply_placement(placement));
        self.log_cell_events();
        self.probe_target_hosts();
    }

    /// Logs the events of the cells. A release verdict changes the trust in hosts, so all hosts are then sent
    /// to the decision module again.
    fn log_cell_events(&mut self) {
        let Some(cells) = &mut self.cells else { return };
        let cell_events = cells.take_events();
        let name = |cell: CellId| cells.layout().cell(cell).name.to_string();
        let mut verdict_changed = false;
        for event in cell_events {
            match event {
                CellEvent::RolloutVerdict(verdict) => {
                    verdict_changed = true;
                    tracing::warn!(cell = name(verdict.cell), "release verdict: {:?}", verdict.verdict);
                }
                CellEvent::RolloutBlocked(cell, block) => {
                    let (blocked_by, reason) = (
                        name(block.blocked_by),
                        if block.failed { "has failed" } else { "has no verdict yet" },
                    );
                    tracing::warn!(
                        cell = name(cell),
                        by = blocked_by,
                        "new hosts get little traffic: the release in the preceding cell {reason}"
                    );
                }
                CellEvent::MoveStageChanged(tenant, stage) => {
                    tracing::info!(tenant = &*tenant, stage = stage_name(stage), "tenant move advanced");
                }
                CellEvent::MoveBlocked(tenant, reason) => {
                    tracing::warn!(tenant = &*tenant, "tenant move is blocked: {reason:?}")
                }
            }
        }
        if verdict_changed {
            self.resend_hosts();
        }
    }

    /// Probes the hosts to which a tenant moves for their positions.
    fn probe_target_hosts(&mut self) {
        // Limits the rate of these probes.
        let is_due = self.last_position_probes.elapsed()
            >= self.context.limits.connect_timeout.mul_f64(POSITION_PROBE_FRACTION);
        let Some(cells) = self.cells.as_mut().filter(|_| is_due) else { return };
        self.last_position_probes = Instant::now();
        for group in cells.groups_awaiting_positions() {
            let hosts = self.context.hosts.group_hosts(group);
            cells.set_group_hosts(group, &hosts);
            for (host, _) in hosts {
                let (transport, messages) = (self.context.transport.clone(), self.context.messages.clone());
                let Some(address) = self.context.hosts.address(host) else { continue };
                if !self.position_probes.insert(host) {
                    continue;
                }
                drop(spawn_local(async move {
                    let (outcome, status) = transport.probe(host, address).await;
                    let status = if outcome == Outcome::Acked { status } else { HostStatus::default() };
                    let _ = messages.send(RouteMessage::PositionProbed(host, status)).await;
                }));
            }
        }
    }

    /// Applies a list and returns its event. `is_saved` is true for the list that was saved before this
    /// start, false for a list of discovery, and `None` for a slice of one.
    fn apply_list(&mut self, list: &HostList, is_saved: Option<bool>) -> RouterEvent {
        let event = self.context.hosts.apply_list(list, is_saved == Some(true));
        self.op_table.counters.list_entries += list.entries.len() as u32;
        let not_ready = self.context.hosts.take_not_ready();
        if is_saved != Some(true) {
            self.hints.list_received();
        }
        if let Some(startup) = self.startup.as_mut().filter(|_| is_saved == Some(false)) {
            startup.list_received(self.context.clock.now(), list.version);
        }
        if is_saved != Some(true) {
            let now = self.context.clock.now();
            not_ready.into_iter().for_each(|name_hash| self.hints.host_not_ready(now, name_hash));
            self.announce_not_ready(now);
        }
        match event {
            RouterEvent::HostList { kind, entries } if self.cells.is_some() => {
                RouterEvent::HostList { kind, entries: self.assign_cells(entries) }
            }
            event => event,
        }
    }

    /// Sets the cells of the entries, if cells are configured.
    fn assign_cells(&mut self, mut entries: Vec<HostEntry>) -> Vec<HostEntry> {
        let Some(cells) = &mut self.cells else { return entries };
        let (now, release_window) = (self.context.clock.now(), self.cold_period * RELEASE_WINDOW_FACTOR);
        let index = cells.index().clone();
        self.context.hosts.assign_cells(&mut entries, &index, |cell, started_at| {
            if now - started_at >= release_window {
                return 1.0;
            }
            cells.host_restarted(cell, started_at, release_window);
            cells.restarted_host_trust(cell)
        });
        entries
    }

    /// Sends all hosts to the decision module again, since cells or their trust changed.
    fn resend_hosts(&mut self) {
        let entries = self.assign_cells(self.context.hosts.current_entries());
        let (now, mut actions) = (self.context.clock.now(), Vec::new());
        self.router.handle(now, RouterEvent::HostList { kind: ListKind::Incremental, entries }, &mut actions);
        actions.into_iter().for_each(|action| self.execute(now, action));
    }

    /// Applies a layout that was reloaded from the operator's file.
    fn replace_layout(&mut self, layout: Layout) {
        let (now, epoch) = (self.context.clock.now(), layout.epoch);
        let Some(cells) = &mut self.cells else {
            tracing::error!("cells can only be enabled by a restart; the configuration is unchanged");
            return;
        };
        match cells.replace_layout(now, layout) {
            Ok(()) => {
                tracing::info!(epoch, "applied the operator's file");
                self.resend_hosts();
            }
            Err(error) => tracing::error!(epoch, "rejected the operator's file: {error:?}"),
        }
    }

    /// When the next timer or background task is due.
    fn next_deadline(&self) -> Instant {
        let timer_at = self.timers.peek().map(|Reverse((at, ..))| *at);
        let next_at = [timer_at, self.tasks.next_at()].into_iter().flatten().min();
        next_at.map_or_else(
            || Instant::now() + self.context.limits.counters_interval,
            |at| self.context.clock.instant_at(at),
        )
    }

    /// Runs one turn of a background task, if one may run; `has_waiting_ops` tells whether ops are waiting.
    fn run_task(&mut self, now: Timestamp, has_waiting_ops: bool) {
        let Some(task) = self.tasks.begin_next(now, has_waiting_ops) else { return };
        let outcome = match task {
            Task::ApplyListSlice => self.apply_slice(),
            Task::LogCounters => {
                self.log_counters();
                TurnOutcome::Done
            }
            Task::CloseExpiredConnections => {
                self.context.transport.close_expired();
                TurnOutcome::Done
            }
            Task::ProcessHints => {
                if self.hints.should_fetch(now, |name_hash| self.context.hosts.is_ready(name_hash)) {
                    tracing::info!("other routers report a draining host; fetching the host list");
                    send_command(&self.context.discovery, DiscoveryCommand::Fetch);
                }
                self.close_hinted_hosts(now);
                self.announce_not_ready(now);
                TurnOutcome::Done
            }
            Task::AdvanceStartup => {
                if let Some(startup) = &mut self.startup {
                    startup.tick(now);
                    if startup.should_save(now) {
                        self.tasks.request(now, Task::SaveList);
                    }
                }
                TurnOutcome::Done
            }
            Task::SaveList => {
                if let Some(startup) = &mut self.startup {
                    startup.save(self.context.hosts.stored_hosts(), self.context.messages.clone());
                }
                TurnOutcome::Done
            }
        };
        let finished_at = self.context.clock.now();
        self.tasks.finish(finished_at, task, finished_at - now, outcome);
    }

    /// Announces hosts that are no longer ready to other routers.
    fn announce_not_ready(&mut self, now: Timestamp) {
        let name_hashes = self.hints.take_announcements(now);
        let Some(peers) = &self.context.peers else { return };
        name_hashes
            .into_iter()
            .for_each(|name_hash| drop(peers.try_send(PeersCommand::Broadcast(encode_hint(name_hash)))));
    }

    /// Closes hosts that other routers report as draining, while the list is unavailable.
    fn close_hinted_hosts(&mut self, now: Timestamp) {
        let RouteContext { hosts: host_registry, .. } = &self.context;
        let name_hashes = self
            .hints
            .hosts_to_close(now, host_registry.ready_count(), |name_hash| host_registry.is_ready(name_hash));
        let entries: Vec<HostEntry> = name_hashes
            .into_iter()
            .filter_map(|name_hash| self.context.hosts.mark_draining(name_hash))
            .collect();
        if entries.is_empty() {
            return;
        }
        tracing::warn!(
            hosts = entries.len(),
            "closing hosts reported as draining by other routers, since the host list is unavailable"
        );
        let entries = if self.cells.is_some() { self.assign_cells(entries) } else { entries };
        let (event, mut actions) =
            (RouterEvent::HostList { kind: ListKind::Incremental, entries }, Vec::new());
        self.handle_event(event, &mut actions);
    }

    /// Applies one slice of the queued lists.
    fn apply_slice(&mut self) -> TurnOutcome {
        let entries = match self.slices.next_slice() {
            Some(ListSlice::Entries(entries)) => entries,
            Some(ListSlice::RemoveUnlisted(generation)) => {
                let entries = self.context.hosts.missing_hosts(generation);
                // All removed hosts are closed at once, so that no op is sent to them.
                tracing::info!(
                    gone = entries.len(),
                    "removing hosts that the full host list does not contain"
                );
                entries
            }
            Some(ListSlice::Complete(version)) => {
                if let Some(startup) = &mut self.startup {
                    startup.list_received(self.context.clock.now(), version);
                }
                return if self.slices.is_empty() { TurnOutcome::Done } else { TurnOutcome::More };
            }
            None => return TurnOutcome::Done,
        };
        self.context.hosts.set_list_number(self.slices.generation());
        let slice = HostList { version: 0, is_full: false, entries };
        let event = self.apply_list(&slice, None);
        let mut actions = Vec::new();
        self.handle_event(event, &mut actions);
        TurnOutcome::More
    }

    /// Runs a turn of a background task that is due, and returns the event of the next timer that is due.
    fn due_event(&mut self, has_waiting_ops: bool) -> Option<RouterEvent> {
        let now = self.context.clock.now();
        if self.tasks.next_at().is_some_and(|at| at <= now) {
            self.run_task(now, has_waiting_ops);
        }
        let is_due = self.timers.peek().is_some_and(|Reverse((at, ..))| *at <= now);
        let timer = is_due.then(|| self.timers.pop()).flatten();
        timer.map(|Reverse((_, _, timer_id))| RouterEvent::TimerFired { timer: timer_id })
    }

    /// The event for the decision module that follows from a message, if any.
    fn event_for(&mut self, message: RouteMessage<T>) -> Option<RouterEvent> {
        match message {
            RouteMessage::OpAdmitted(mut request, _, payload, client) => {
                self.received_ops += 1;
                if self.reads_own_writes.get(request.op_type.0 as usize) == Some(&true) {
                    request.min_position = request.min_position.max(self.min_position);
                }
                if self.requested_groups.len() < self.context.limits.max_requested_groups {
                    self.requested_groups.insert(request.group.0);
                }
                if let Some(startup) = &mut self.startup {
                    let is_write = self.is_write.get(request.op_type.0 as usize).copied().unwrap_or_default();
                    startup.op_started(request.op, request.group, is_write);
                }
                self.op_table.insert(request.op, payload, client);
                Some(RouterEvent::OpRequested(request))
            }
            // The decision module is informed only when the send ends, since it loads its host until then.
            RouteMessage::AnswerBegun(op, answer) => {
                self.op_table.begin_answer(op, answer);
                None
            }
            RouteMessage::ClientDisconnected(op) => {
                self.op_table.client_disconnected(op).then_some(RouterEvent::ClientCancelled { op })
            }
            RouteMessage::SendEnded(op, send, host, EndedSend { outcome, elapsed, status, answer }) => {
                let is_answered = self.op_table.end_send(op, send, outcome, answer)?;
                if let Some(startup) = self.startup.as_mut().filter(|_| is_answered) {
                    startup.op_finished(self.context.clock.now(), op, outcome == Outcome::Acked);
                }
                let status = self.without_future_position(status);
                if let Some(cells) = &mut self.cells {
                    let is_recently_started = self.context.hosts.started_within(
                        host,
                        self.context.clock.now(),
                        self.cold_period * RELEASE_WINDOW_FACTOR,
                    );
                    cells.send_ended(op, outcome, elapsed, &status, is_recently_started);
                    cells.record_position(host, &status);
                }
                Some(RouterEvent::SendEnded(SendResult {
                    op,
                    send,
                    host,
                    outcome,
                    elapsed,
                    op_finished: is_answered,
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
                    _ => {
                        tracing::warn!("the command queue of the membership task is full; dropped a command")
                    }
                }
                None
            }
            RouteMessage::RouterCountChanged(routers) => {
                send_command(&self.context.discovery, DiscoveryCommand::SetRouterCount(routers));
                Some(RouterEvent::RouterCount { routers })
            }
            RouteMessage::PeerMessage(from, mut bytes) => {
                if let Some(name_hash) = decode_hint(&bytes) {
                    self.hints.record_hint(self.context.clock.now(), name_hash, from);
                    return None;
                }
                // Another router's report must not make a host primary, or writes could go to a replica.
                arrowyard::clear_primary_claim(&mut bytes);
                Some(RouterEvent::PeerMessage { from, bytes })
            }
            RouteMessage::ListSaved(failed) => {
                self.startup.iter_mut().for_each(|startup| startup.save_finished(failed));
                None
            }
            RouteMessage::CheckLiveness(client) => {
                let _ = client
                    .send((self.received_ops, self.acked_ops + u64::from(self.op_table.counters.acked)));
                None
            }
            RouteMessage::Discovery(messages::DiscoveryEvent::List(list))
                if self.slices.needs_slicing(list.entries.len()) =>
            {
                let is_requested = |entry: &HostListEntry| {
                    entry.group.is_some_and(|group| self.requested_groups.contains(&group))
                };
                let rank = |entry: &HostListEntry| match entry.availability {
                    Availability::Ready if is_requested(entry) => 1,
                    Availability::Ready if entry.is_primary == Some(true) => 2,
                    Availability::Ready => 3,
                    _ => 0,
                };
                let host_name = |entry: &HostListEntry| entry.host.clone();
                self.slices.push(list.version, list.is_full, list.entries, rank, host_name);
                self.tasks.request(self.context.clock.now(), Task::ApplyListSlice);
                None
            }
            RouteMessage::Discovery(messages::DiscoveryEvent::List(list)) => {
                Some(self.apply_list(&list, Some(false)))
            }
            RouteMessage::Discovery(messages::DiscoveryEvent::Failed) => Some(RouterEvent::ListFailed),
        }
    }

    /// The host's status without a position in the future. Recorded positions never decrease, so a wrong one
    /// in the future would make stale data look fresh permanently.
    fn without_future_position(&self, status: HostStatus) -> HostStatus {
        let latest = self.context.clock.now() + self.context.limits.max_position_lead;
        let position = status.position.filter(|&position| position <= latest);
        if position != status.position {
            tracing::warn!(?status, "ignored a replica position in the future");
        }
        HostStatus { position, ..status }
    }

    /// Executes an action of the decision module.
    fn execute(&mut self, now: Timestamp, action: Action) {
        let RouteContext { hosts: host_registry, transport, clock, discovery, messages, .. } = &self.context;
        tracing::trace!(at = now.micros(), "{action:?}");
        match action {
            Action::Send { op, host, deadline } => {
                let Some((send, payload, cancelled)) = self.op_table.start_send(op) else { return };
                self.op_table.counters.cold_sends +=
                    u32::from(host_registry.started_within(host, now, self.cold_period));
                self.cells.iter_mut().for_each(|cells| cells.record_send(now, op, send));
                let (transport, clock, messages, address) =
                    (transport.clone(), *clock, messages.clone(), host_registry.address(host));
                drop(spawn_local(async move {
                    let ended_send = match address {
                        Some(address) => {
                            let request = SendRequest { host, address, payload, deadline, cancelled };
                            let on_answer_begun = async |answer| {
                                drop(messages.send(RouteMessage::AnswerBegun(op, answer)).await)
                            };
                            send::run(request, &*transport, clock, on_answer_begun).await
                        }
                        None => EndedSend::unsent(),
                    };
                    // Fails only if the route task has ended with the router.
                    let _ = messages.send(RouteMessage::SendEnded(op, send, host, ended_send)).await;
                }));
            }
            Action::Cancel { op, send } => self.op_table.cancel_send(op, send),
            Action::BusyReply { op, retry_after } => {
                let retry_after = match &mut self.startup {
                    Some(startup) => {
                        startup.op_finished(now, op, false);
                        startup.retry_after(retry_after, self.max_retry_after)
                    }
                    None => retry_after,
                };
                self.op_table.complete(op, Reply::Busy(retry_after));
            }
            Action::ErrorReply { op } => {
                self.startup.iter_mut().for_each(|startup| startup.op_finished(now, op, false));
                self.op_table.complete(op, Reply::Errored);
            }
            Action::Probe { host } => {
                self.op_table.counters.probes += 1;
                let (transport, messages, address) =
                    (transport.clone(), messages.clone(), host_registry.address(host));
                let (mut cell, mut rejected_delay) = (None, None);
                if let Some(cells) = &mut self.cells
                    && let Some(probed_cell) = host_registry.probe_cell(host, cells.index())
                {
                    let allowed = cells.try_start_probe(now, probed_cell);
                    (cell, rejected_delay) = (
                        allowed.then_some(probed_cell),
                        (!allowed).then_some(self.context.limits.connect_timeout),
                    );
                }
                drop(spawn_local(async move {
                    let (outcome, status) = match (address, rejected_delay) {
                        (Some(address), None) => transport.probe(host, address).await,
                        (_, rejected_delay) => {
                            // The decision module retries a probe at once, so a rejected probe ends only
                            // after the time of a lost one.
                            sleep_until(Instant::now() + rejected_delay.unwrap_or_default()).await;
                            (Outcome::NotSent, HostStatus::default())
                        }
                    };
                    let _ = messages.send(RouteMessage::ProbeEnded(host, cell, outcome, status)).await;
                }));
            }
            Action::SetTimer { after, timer: timer_id } => {
                self.timer_sequence += 1;
                self.timers.push(Reverse((now + after, self.timer_sequence, timer_id)));
            }
            Action::SubscribeHostList { on } => send_command(discovery, DiscoveryCommand::Watch(on)),
            Action::FetchHostList => send_command(discovery, DiscoveryCommand::Fetch),
            Action::CloseIdleConnections { host } => transport.close_idle(host),
            Action::SendPeerMessage { bytes, .. } => {
                if let Some(peers) = &self.context.peers {
                    // Never waits for the membership task; the message is dropped if its channel is full.
                    let _ = peers.try_send(PeersCommand::Broadcast(bytes));
                }
            }
            Action::Log { text } => tracing::info!("{text}"),
        }
    }

    /// Logs the counters since the last call; operators sum the fields of this line.
    fn log_counters(&mut self) {
        let counters = std::mem::take(&mut self.op_table.counters);
        self.acked_ops += u64::from(counters.acked);
        let connections_started = self.context.transport.connections_started();
        tracing::info!(
            acked = counters.acked,
            busy = counters.busy,
            errored = counters.errored,
            gone = counters.disconnected,
            sends = counters.sends,
            lost = counters.lost_sends,
            repeats = counters.retries,
            cold = counters.cold_sends,
            probes = counters.probes,
            dials =
                connections_started - std::mem::replace(&mut self.logged_connections, connections_started),
            listed = counters.list_entries,
            open_ops = self.op_table.open_ops(),
            links = self.context.transport.open_connections(),
            "tally"
        );
    }
}

fn send_command(discovery: &mpsc::Sender<DiscoveryCommand>, command: DiscoveryCommand) {
    // Never waits for discovery; the command is dropped if its channel is full.
    if discovery.try_send(command).is_err() {
        tracing::warn!(?command, "the command queue of discovery is full; dropped a command");
    }
}
