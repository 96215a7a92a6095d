//! The task that owns the decision module: mail becomes notes, actions are carried out in their order.

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

pub struct RouteContext<B: HostTransport> {
    pub hosts: HostRegistry,
    pub transport: Rc<B>,
    pub clock: Clock,
    pub limits: Rc<Limits>,
    pub discovery: mpsc::Sender<DiscoveryCommand>,
    /// For the tasks that it starts.
    pub messages: mpsc::Sender<RouteMessage<B>>,
    /// Its start, and what is kept for the next, where the operator's file says so.
    pub startup: Option<Box<RouterStartup>>,
    /// The task that belongs to a fleet, where there is one.
    pub peers: Option<mpsc::Sender<PeersCommand>>,
}

/// The hosts of a move's target are asked where they are once in this part of a connect time-out.
const WATCH: f64 = 0.4;

/// What the draws of the chores are told apart by from the module's, which have the same seed.
const CHORES: u64 = 0x6368_6f72;

/// Work beside the ops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Chore {
    /// A slice of a long list.
    List,
    Tally,
    /// Idle connections are closed.
    Sweep,
    /// What other routers hint at.
    Hints,
    /// The stages of the start.
    Start,
    /// The list is stored.
    Save,
}

fn span(time: std::time::Duration) -> TimeDelta {
    TimeDelta::from_micros(time.as_micros() as i64)
}

/// What goes with an op that waits for its cell.
type Rest<B> = (Rc<<B as HostTransport>::Payload>, oneshot::Sender<Reply<<B as HostTransport>::Answer>>);

pub struct RouteTask<B: HostTransport> {
    yard: RouteContext<B>,
    ward: Option<CellScheduler<RouteMessage<B>, Rest<B>>>,
    ticked: Instant,
    /// Hosts that are being asked where they are since a tenant moves there.
    watched: HashSet<HostId>,
    watched_at: Instant,
    /// The most that a client may be told to wait before it comes back; nothing where it may not be told.
    most_after: Option<TimeDelta>,
    cold: TimeDelta,
    router: Router,
    book: OpTable<B::Payload, B::Answer>,
    alarms: BinaryHeap<Reverse<(Timestamp, u64, TimerId)>>,
    rung: u64,
    chores: Scheduler<Chore>,
    /// Long lists that are worked off.
    slices: ListSlicer<HostListEntry>,
    /// Connections begun by the last tally.
    dialed: u64,
    /// Hosts that others say are leaving.
    hints: Hints,
    returns: OptionalStartup,
    /// By op type: whether it writes, and whether it reads its session's own writes.
    writes: Vec<bool>,
    owns: Vec<bool>,
    /// Where the router comes back: what own-turn reads have to see at least. Danger: a session wrote by way of this router
    /// before it ended, and nobody remembers the bound. All that was acked then was committed before the start.
    floor: Option<Timestamp>,
    /// Groups that were asked for, so many at most: their lines of a long list go first.
    wanted: HashSet<i64>,
    /// Ops taken, and acked by the last tally, since the start.
    taken: u64,
    acked: u64,
}

impl<B: HostTransport> RouteTask<B> {
    pub fn start(
        mut yard: RouteContext<B>,
        seed: u64,
        manifest: RouterSettings,
        known: Option<&HostList>,
        cells: Option<Layout>,
    ) -> Self {
        let mut actions = Vec::new();
        let now = yard.clock.now();
        let most_after = manifest.flag("retry_after").then(|| manifest.time_delta("max_retry_after"));
        let cold = manifest.time_delta("cold");
        // Within the grace the own watch should have told; where none is told, half a second.
        let grace = manifest.time_delta("drain_grace").max(TimeDelta::from_millis(500));
        let ward = cells.map(|layout| {
            let (rows, marks) = (OpType::rows(&manifest), manifest.flag("marks_retry"));
            CellScheduler::new(now, layout, yard.limits.cell_capacity(), rows, marks)
        });
        let returns = yard.startup.take();
        let rows = OpType::rows(&manifest);
        let writes = rows.iter().map(|row| row.consistency == Consistency::Write).collect();
        let owns = rows.iter().map(|row| row.consistency == Consistency::Session).collect();
        // Positions of what was acked were at most so far ahead of this router's clock.
        let floor = returns.is_some().then_some(now + yard.limits.max_position_lead);
        let router = Router::start(now, seed, manifest, &mut actions);
        let mut book = OpTable::default();
        book.closed_ops = ward.is_some().then(Vec::new);
        let (alarms, moment) = (BinaryHeap::new(), Instant::now());
        let (ticked, rung) = (moment, 0);
        let mut chores = Scheduler::new(now, Budget::default(), seed ^ CHORES);
        let limits = yard.limits.clone();
        let mut add = |chore, terms| chores.add(now, chore, terms);
        add(Chore::List, TaskConfig::on_demand("lists", Priority::Urgent, span(limits.list_slice_deadline)));
        add(Chore::Tally, TaskConfig::periodic("tally", Priority::Normal, span(limits.counters_interval)));
        let often = span(limits.host_idle_timeout) * 0.125;
        add(
            Chore::Sweep,
            TaskConfig {
                max_delay: often,
                ..TaskConfig::periodic("idle connections", Priority::Idle, often)
            },
        );
        if yard.peers.is_some() {
            add(
                Chore::Hints,
                TaskConfig::periodic("hints", Priority::Normal, span(limits.startup_check_interval)),
            );
        }
        if returns.is_some() {
            add(
                Chore::Start,
                TaskConfig::periodic("start", Priority::Normal, span(limits.startup_check_interval)),
            );
            add(
                Chore::Save,
                TaskConfig::on_demand("store", Priority::Idle, span(limits.list_store_deadline)),
            );
        }
        let slices = ListSlicer::new(limits.list_slice_len);
        let mut route = RouteTask {
            yard,
            ward,
            ticked,
            watched: HashSet::new(),
            watched_at: moment,
            most_after,
            cold,
            router,
            book,
            alarms,
            rung,
            chores,
            slices,
            dialed: 0,
            hints: Hints::new(grace, grace * 2.0),
            returns,
            writes,
            owns,
            floor,
            wanted: HashSet::new(),
            taken: 0,
            acked: 0,
        };
        if let Some(list) = known {
            let note = route.listed(list, Some(true));
            route.router.handle(now, note, &mut actions);
        }
        actions.into_iter().for_each(|action| route.carry_out(now, action));
        route
    }

    pub async fn run(mut self, mut inbox: mpsc::Receiver<RouteMessage<B>>) {
        let mut actions = Vec::new();
        let mut turns = 0_u32;
        loop {
            if self.ward.is_some() {
                let Some(note) = self.fair_turn(&mut inbox).await else { return };
                if let Some(note) = note {
                    self.hand_over(note, &mut actions);
                }
                turns = turns.wrapping_add(1);
                if turns.is_multiple_of(32) {
                    // Danger: a queue that never empties keeps the thread from its sockets.
                    yield_now().await;
                }
                continue;
            }
            let next = self.next();
            let note = tokio::select! {
                mail = inbox.recv() => match mail {
                    Some(mail) => self.note(mail),
                    None => return,
                },
                () = sleep_until(next) => None,
            };
            let note = note.or_else(|| self.rung(!inbox.is_empty()));
            let Some(note) = note else { continue };
            self.hand_over(note, &mut actions);
        }
    }

    fn hand_over(&mut self, note: RouterEvent, actions: &mut Vec<Action>) {
        let now = self.yard.clock.now();
        tracing::trace!(at = now.micros(), "{note:?}");
        if let Some(ward) = &mut self.ward {
            let cell = match &note {
                RouterEvent::OpRequested(ask) => Some(ask.cell),
                RouterEvent::SendEnded(end) => ward.cell_of(end.op),
                _ => None,
            };
            if let Some(spare) = cell.and_then(|cell| ward.retry_budget_update(now, cell)) {
                self.router.handle(now, spare, actions);
            }
        }
        self.router.handle(now, note, actions);
        actions.drain(..).for_each(|action| self.carry_out(now, action));
        if let Some(ward) = &mut self.ward {
            self.book
                .closed_ops
                .iter_mut()
                .flat_map(|closed| closed.drain(..))
                .for_each(|op| ward.op_closed(now, op));
        }
    }

    /// The next note where there are cells: an alarm that is due, mail that concerns all, else the mail whose cell's
    /// turn it is. Nothing at all once nobody can send mail.
    async fn fair_turn(
        &mut self,
        inbox: &mut mpsc::Receiver<RouteMessage<B>>,
    ) -> Option<Option<RouterEvent>> {
        // All that has come gets its place in its cell's line first, so that a full channel delays nobody.
        loop {
            match inbox.try_recv() {
                Ok(mail) => {
                    if let Some(note) = self.sort(mail) {
                        return Some(Some(note));
                    }
                }
                Err(TryRecvError::Empty) => break,
                Err(TryRecvError::Disconnected) => return None,
            }
        }
        self.tick();
        let waits = self.ward.as_ref().is_some_and(|ward| ward.queue_len() > 0);
        if let Some(note) = self.rung(waits) {
            return Some(Some(note));
        }
        if let Some(mail) = self.ward.as_mut().and_then(CellScheduler::pop) {
            return Some(self.note(mail));
        }
        let next = self.next().min(self.ticked + self.yard.limits.cell_tick_interval);
        tokio::select! {
            mail = inbox.recv() => mail.map(|mail| self.sort(mail)),
            () = sleep_until(next) => Some(None),
        }
    }

    /// RouteMessage of an op goes into its cell's line; what concerns all is taken at once.
    fn sort(&mut self, mail: RouteMessage<B>) -> Option<RouterEvent> {
        let now = self.yard.clock.now();
        let ward = self.ward.as_mut()?;
        let waits = match mail {
            RouteMessage::OpAdmitted(ask, Some(claim), payload, client) => {
                let turn = ward.admit(now, ask, claim, (payload, client));
                self.turn(turn);
                return None;
            }
            RouteMessage::SendEnded(op, ..)
            | RouteMessage::ClientDisconnected(op)
            | RouteMessage::AnswerBegun(op, _) => {
                if matches!(mail, RouteMessage::ClientDisconnected(_)) {
                    ward.client_disconnected(now, op);
                }
                ward.enqueue(op, mail)
            }
            mail => Some(mail),
        };
        waits.and_then(|mail| self.note(mail))
    }

    fn turn(&mut self, turn: Placement<Rest<B>>) {
        let Some(ward) = &mut self.ward else { return };
        match turn {
            Placement::Dispatch(ask, (payload, client)) => {
                let group = self.yard.hosts.cell_group(ask.group, ask.cell);
                let asked = RouteMessage::OpAdmitted(OpRequest { group, ..ask }, None, payload, client);
                // It has its place, so that it is known.
                let _ = ward.enqueue(ask.op, asked);
            }
            Placement::Queued => {}
            // What is given up is answered at once, and says when to come back where the settings allow that.
            Placement::Busy(after, (_, client)) => {
                self.book.counters.busy += 1;
                // Danger: a fence or a lease is further away than clients may be told; they would take it for nonsense.
                let after = self.most_after.map(|most| after.map_or(most, |after| after.min(most)));
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

    /// What cells do as time passes.
    fn tick(&mut self) {
        if self.ticked.elapsed() < self.yard.limits.cell_tick_interval {
            return;
        }
        self.ticked = Instant::now();
        let now = self.yard.clock.now();
        let Some(ward) = &mut self.ward else { return };
        let turns = ward.tick(now);
        turns.into_iter().for_each(|turn| self.turn(turn));
        self.tell();
        self.watch();
    }

    /// Logs what operators want to know.
    fn tell(&mut self) {
        let Some(ward) = &mut self.ward else { return };
        let news = ward.take_events();
        let name = |cell: CellId| ward.layout().cell(cell).name.to_string();
        let mut judged = false;
        for news in news {
            match news {
                CellEvent::ReleaseVerdict(verdict) => {
                    judged = true;
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
        if judged {
            self.redivide();
        }
    }

    /// Asks the hosts to which a tenant moves where they are.
    fn watch(&mut self) {
        // Probes cost hosts work: each is asked again only after a part of a connect time-out.
        let rested = self.watched_at.elapsed() >= self.yard.limits.connect_timeout.mul_f64(WATCH);
        let Some(ward) = self.ward.as_mut().filter(|_| rested) else { return };
        self.watched_at = Instant::now();
        for group in ward.groups_awaiting_positions() {
            let hosts = self.yard.hosts.group_hosts(group);
            ward.set_group_hosts(group, &hosts);
            for (host, _) in hosts {
                let (back, mail) = (self.yard.transport.clone(), self.yard.messages.clone());
                let Some(dial) = self.yard.hosts.address(host) else { continue };
                if !self.watched.insert(host) {
                    continue;
                }
                drop(spawn_local(async move {
                    let (outcome, word) = back.probe(host, dial).await;
                    let word = if outcome == Outcome::Acked { word } else { HostStatus::default() };
                    let _ = mail.send(RouteMessage::PositionProbed(host, word)).await;
                }));
            }
        }
    }

    /// The list as a note, as cells divide it. `saved`: the router's last one before it started; nothing for a slice.
    fn listed(&mut self, list: &HostList, saved: Option<bool>) -> RouterEvent {
        let note = self.yard.hosts.apply_list(list, saved == Some(true));
        self.book.counters.list_entries += list.entries.len() as u32;
        let ceased = self.yard.hosts.take_not_ready();
        if saved != Some(true) {
            self.hints.list_received();
        }
        if let Some(returns) = self.returns.as_mut().filter(|_| saved == Some(false)) {
            returns.list_received(self.yard.clock.now(), list.version);
        }
        if saved != Some(true) {
            let now = self.yard.clock.now();
            ceased.into_iter().for_each(|tag| self.hints.host_not_ready(now, tag));
            self.tell_of_ceased(now);
        }
        match note {
            RouterEvent::HostList { kind: form, entries } if self.ward.is_some() => {
                RouterEvent::HostList { kind: form, entries: self.divided(entries) }
            }
            note => note,
        }
    }

    fn divided(&mut self, mut entries: Vec<HostEntry>) -> Vec<HostEntry> {
        let Some(ward) = &mut self.ward else { return entries };
        let (now, within) = (self.yard.clock.now(), self.cold * RELEASE_WINDOW_FACTOR);
        let index = ward.index().clone();
        self.yard.hosts.assign_cells(&mut entries, &index, |cell, started| {
            if now - started >= within {
                return 1.0;
            }
            ward.host_restarted(cell, started, within);
            ward.restarted_host_trust(cell)
        });
        entries
    }

    /// All hosts are listed anew: cells or their trust have changed.
    fn redivide(&mut self) {
        let entries = self.divided(self.yard.hosts.current_entries());
        let (now, mut actions) = (self.yard.clock.now(), Vec::new());
        self.router.handle(now, RouterEvent::HostList { kind: ListKind::Incremental, entries }, &mut actions);
        actions.into_iter().for_each(|action| self.carry_out(now, action));
    }

    fn relayout(&mut self, layout: Layout) {
        let (now, epoch) = (self.yard.clock.now(), layout.epoch);
        let Some(ward) = &mut self.ward else {
            tracing::error!("cells begin with a restart; nothing changes");
            return;
        };
        match ward.replace_layout(now, layout) {
            Ok(()) => {
                tracing::info!(epoch, "the operator's file holds");
                self.redivide();
            }
            Err(why) => tracing::error!(epoch, "the operator's file is refused whole: {why:?}"),
        }
    }

    /// When an alarm rings or a chore is due.
    fn next(&self) -> Instant {
        let alarm = self.alarms.peek().map(|Reverse((at, ..))| *at);
        let next = [alarm, self.chores.next_at()].into_iter().flatten().min();
        next.map_or_else(
            || Instant::now() + self.yard.limits.counters_interval,
            |at| self.yard.clock.instant_at(at),
        )
    }

    /// One turn of a chore, if one may be done; `ops`: others wait for the thread.
    fn chore(&mut self, now: Timestamp, ops: bool) {
        let Some(chore) = self.chores.begin_next(now, ops) else { return };
        let end = match chore {
            Chore::List => self.slice(),
            Chore::Tally => {
                self.tally();
                Ending::Done
            }
            Chore::Sweep => {
                self.yard.transport.close_expired();
                Ending::Done
            }
            Chore::Hints => {
                if self.hints.should_fetch(now, |tag| self.yard.hosts.is_ready(tag)) {
                    tracing::info!("other routers say that a host is leaving: the list is asked for");
                    wish(&self.yard.discovery, DiscoveryCommand::Fetch);
                }
                self.close_by_word(now);
                self.tell_of_ceased(now);
                Ending::Done
            }
            Chore::Start => {
                if let Some(returns) = &mut self.returns {
                    returns.tick(now);
                    if returns.should_save(now) {
                        self.chores.request(now, Chore::Save);
                    }
                }
                Ending::Done
            }
            Chore::Save => {
                if let Some(returns) = &mut self.returns {
                    returns.save(self.yard.hosts.stored_hosts(), self.yard.messages.clone());
                }
                Ending::Done
            }
        };
        let ended = self.yard.clock.now();
        self.chores.finish(ended, chore, ended - now, end);
    }

    /// Other routers hear which hosts the own list has left out.
    fn tell_of_ceased(&mut self, now: Timestamp) {
        let told = self.hints.take_announcements(now);
        let Some(peers) = &self.yard.peers else { return };
        told.into_iter().for_each(|tag| drop(peers.try_send(PeersCommand::Broadcast(encode_hint(tag)))));
    }

    /// Closes hosts that others say are leaving, where the own list cannot be had.
    fn close_by_word(&mut self, now: Timestamp) {
        let RouteContext { hosts: roster, .. } = &self.yard;
        let tags = self.hints.hosts_to_close(now, roster.ready_count(), |tag| roster.is_ready(tag));
        let entries: Vec<HostEntry> =
            tags.into_iter().filter_map(|tag| self.yard.hosts.mark_draining(tag)).collect();
        if entries.is_empty() {
            return;
        }
        tracing::warn!(
            hosts = entries.len(),
            "hosts are closed by other routers' word: the list cannot be had"
        );
        let entries = if self.ward.is_some() { self.divided(entries) } else { entries };
        let (note, mut actions) =
            (RouterEvent::HostList { kind: ListKind::Incremental, entries }, Vec::new());
        self.hand_over(note, &mut actions);
    }

    /// One slice of the lists that wait.
    fn slice(&mut self) -> Ending {
        let lines = match self.slices.next_slice() {
            Some(ListSlice::Entries(lines)) => lines,
            Some(ListSlice::RemoveUnlisted(turn)) => {
                let lines = self.yard.hosts.missing_hosts(turn);
                // They are closed at once, however many: what is gone is not to be sent to.
                tracing::info!(gone = lines.len(), "a whole list leaves out hosts");
                lines
            }
            Some(ListSlice::Complete(number)) => {
                if let Some(returns) = &mut self.returns {
                    returns.list_received(self.yard.clock.now(), number);
                }
                return if self.slices.is_empty() { Ending::Done } else { Ending::More };
            }
            None => return Ending::Done,
        };
        self.yard.hosts.set_list_number(self.slices.generation());
        let part = HostList { version: 0, is_full: false, entries: lines };
        let note = self.listed(&part, None);
        let mut actions = Vec::new();
        self.hand_over(note, &mut actions);
        Ending::More
    }

    /// The next alarm that is due, after a turn of a chore that is.
    fn rung(&mut self, ops: bool) -> Option<RouterEvent> {
        let now = self.yard.clock.now();
        if self.chores.next_at().is_some_and(|at| at <= now) {
            self.chore(now, ops);
        }
        let due = self.alarms.peek().is_some_and(|Reverse((at, ..))| *at <= now);
        let alarm = due.then(|| self.alarms.pop()).flatten();
        alarm.map(|Reverse((_, _, cookie))| RouterEvent::TimerFired { timer: cookie })
    }

    /// What the mail tells the module; nothing where it is old news.
    fn note(&mut self, mail: RouteMessage<B>) -> Option<RouterEvent> {
        match mail {
            RouteMessage::OpAdmitted(mut ask, _, payload, client) => {
                self.taken += 1;
                if self.owns.get(ask.op_type.0 as usize) == Some(&true) {
                    ask.min_position = ask.min_position.max(self.floor);
                }
                if self.wanted.len() < self.yard.limits.max_requested_groups {
                    self.wanted.insert(ask.group.0);
                }
                if let Some(returns) = &mut self.returns {
                    let write = self.writes.get(ask.op_type.0 as usize).copied().unwrap_or_default();
                    returns.op_started(ask.op, ask.group, write);
                }
                self.book.insert(ask.op, payload, client);
                Some(RouterEvent::OpRequested(ask))
            }
            // The module hears of it when the send has ended, as of any other: till then it works at its host.
            RouteMessage::AnswerBegun(op, answer) => {
                self.book.begin_answer(op, answer);
                None
            }
            RouteMessage::ClientDisconnected(op) => {
                self.book.client_disconnected(op).then_some(RouterEvent::ClientCancelled { op })
            }
            RouteMessage::SendEnded(
                op,
                send,
                host,
                EndedSend { outcome, elapsed: took, status: word, answer },
            ) => {
                let finished = self.book.end_send(op, send, outcome, answer)?;
                if let Some(returns) = self.returns.as_mut().filter(|_| finished) {
                    returns.op_finished(self.yard.clock.now(), op, outcome == Outcome::Acked);
                }
                let word = self.likely(word);
                if let Some(ward) = &mut self.ward {
                    let new = self.yard.hosts.started_within(
                        host,
                        self.yard.clock.now(),
                        self.cold * RELEASE_WINDOW_FACTOR,
                    );
                    ward.send_ended(op, outcome, took, &word, new);
                    ward.record_position(host, &word);
                }
                Some(RouterEvent::SendEnded(SendResult {
                    op,
                    send,
                    host,
                    outcome,
                    elapsed: took,
                    op_finished: finished,
                    status: word,
                }))
            }
            RouteMessage::ProbeEnded(host, cell, outcome, word) => {
                if let (Some(ward), Some(cell)) = (&mut self.ward, cell) {
                    ward.end_probe(cell);
                }
                Some(RouterEvent::ProbeEnded { host, outcome, status: self.likely(word) })
            }
            RouteMessage::PositionProbed(host, word) => {
                self.watched.remove(&host);
                let word = self.likely(word);
                self.ward.iter_mut().for_each(|ward| ward.record_position(host, &word));
                None
            }
            RouteMessage::LayoutReloaded(layout) => {
                self.relayout(*layout);
                None
            }
            RouteMessage::ShowCells(client) => {
                let report = self.ward.as_mut().map(|ward| ward.report().to_string());
                let _ = client.send(report.unwrap_or_default());
                None
            }
            RouteMessage::ShowPeers(client) => {
                match self.yard.peers.as_ref().map(|peers| peers.try_send(PeersCommand::Show(client))) {
                    Some(Ok(())) => {}
                    // The client sees that nothing came.
                    _ => tracing::warn!("the task of the fleet takes no errands"),
                }
                None
            }
            RouteMessage::RouterCountChanged(routers) => {
                wish(&self.yard.discovery, DiscoveryCommand::SetRouterCount(routers));
                Some(RouterEvent::RouterCount { routers })
            }
            RouteMessage::PeerMessage(from, mut bytes) => {
                if let Some(tag) = decode_hint(&bytes) {
                    self.hints.record_hint(self.yard.clock.now(), tag, from);
                    return None;
                }
                // Danger: another router's word that a host is primary sends writes there. It only ever takes that away.
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
                let wanted =
                    |line: &HostListEntry| line.group.is_some_and(|group| self.wanted.contains(&group));
                let rank = |line: &HostListEntry| match line.availability {
                    Availability::Ready if wanted(line) => 1,
                    Availability::Ready if line.is_primary == Some(true) => 2,
                    Availability::Ready => 3,
                    _ => 0,
                };
                let host = |line: &HostListEntry| line.host.clone();
                self.slices.push(list.version, list.is_full, list.entries, rank, host);
                self.chores.request(self.yard.clock.now(), Chore::List);
                None
            }
            RouteMessage::Discovery(messages::DiscoveryEvent::List(list)) => {
                Some(self.listed(&list, Some(false)))
            }
            RouteMessage::Discovery(messages::DiscoveryEvent::Failed) => Some(RouterEvent::ListFailed),
        }
    }

    /// A host's word without a position that cannot be. Danger: positions never go back, so that one spoilt on the
    /// way, in the future, would make stale data look fresh for good.
    fn likely(&self, word: HostStatus) -> HostStatus {
        let latest = self.yard.clock.now() + self.yard.limits.max_position_lead;
        let position = word.position.filter(|&position| position <= latest);
        if position != word.position {
            tracing::warn!(?word, "a position in the future is ignored");
        }
        HostStatus { position, ..word }
    }

    fn carry_out(&mut self, now: Timestamp, action: Action) {
        let RouteContext { hosts: roster, transport: back, clock, discovery: wishes, messages: mail, .. } =
            &self.yard;
        tracing::trace!(at = now.micros(), "{action:?}");
        match action {
            Action::Send { op, host, deadline: until } => {
                let Some((send, payload, called_off)) = self.book.start_send(op) else { return };
                self.book.counters.cold_sends += u32::from(roster.started_within(host, now, self.cold));
                self.ward.iter_mut().for_each(|ward| ward.record_send(now, op, send));
                let (back, clock, mail, dial) = (back.clone(), *clock, mail.clone(), roster.address(host));
                drop(spawn_local(async move {
                    let end = match dial {
                        Some(dial) => {
                            let order = SendRequest {
                                host,
                                address: dial,
                                payload,
                                deadline: until,
                                cancelled: called_off,
                            };
                            let begun =
                                async |answer| drop(mail.send(RouteMessage::AnswerBegun(op, answer)).await);
                            send::run(order, &*back, clock, begun).await
                        }
                        None => EndedSend::unsent(),
                    };
                    // The route stage is gone only when the router ends.
                    let _ = mail.send(RouteMessage::SendEnded(op, send, host, end)).await;
                }));
            }
            Action::Cancel { op, send } => self.book.cancel_send(op, send),
            Action::BusyReply { op, retry_after } => {
                let after = match &mut self.returns {
                    Some(returns) => {
                        returns.op_finished(now, op, false);
                        returns.retry_after(retry_after, self.most_after)
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
                let (mut cell, mut full) = (None, None);
                if let Some(ward) = &mut self.ward
                    && let Some(of) = roster.probe_cell(host, ward.index())
                {
                    let may = ward.try_start_probe(now, of);
                    (cell, full) = (may.then_some(of), (!may).then_some(self.yard.limits.connect_timeout));
                }
                drop(spawn_local(async move {
                    let (outcome, word) = match (dial, full) {
                        (Some(dial), None) => back.probe(host, dial).await,
                        (_, full) => {
                            // Danger: the module asks again at once. A probe that found no room takes as long as one that is lost.
                            sleep_until(Instant::now() + full.unwrap_or_default()).await;
                            (Outcome::NotSent, HostStatus::default())
                        }
                    };
                    let _ = mail.send(RouteMessage::ProbeEnded(host, cell, outcome, word)).await;
                }));
            }
            Action::SetTimer { after, timer: cookie } => {
                self.rung += 1;
                self.alarms.push(Reverse((now + after, self.rung, cookie)));
            }
            Action::SubscribeHostList { on } => wish(wishes, DiscoveryCommand::Watch(on)),
            Action::FetchHostList => wish(wishes, DiscoveryCommand::Fetch),
            Action::CloseIdleConnections { host } => back.close_idle(host),
            Action::SendPeerMessage { bytes, .. } => {
                if let Some(peers) = &self.yard.peers {
                    // Danger: the fleet's task hangs, and the route stage with it. DiscoveryEvent that finds no room is lost.
                    let _ = peers.try_send(PeersCommand::Broadcast(bytes));
                }
            }
            Action::Log { text } => tracing::info!("{text}"),
        }
    }

    fn tally(&mut self) {
        let tally = std::mem::take(&mut self.book.counters);
        self.acked += u64::from(tally.acked);
        let dialed = self.yard.transport.connections_started();
        tracing::info!(
            acked = tally.acked,
            busy = tally.busy,
            errored = tally.errored,
            gone = tally.disconnected,
            sends = tally.sends,
            lost = tally.lost_sends,
            repeats = tally.retries,
            cold = tally.cold_sends,
            probes = tally.probes,
            dials = dialed - std::mem::replace(&mut self.dialed, dialed),
            listed = tally.list_entries,
            open_ops = self.book.open_ops(),
            links = self.yard.transport.open_connections(),
            "tally"
        );
    }
}

fn wish(wishes: &mpsc::Sender<DiscoveryCommand>, wish: DiscoveryCommand) {
    // Danger: discovery hangs, and the route stage with it. It never waits for room.
    if wishes.try_send(wish).is_err() {
        tracing::warn!(?wish, "discovery takes no more wishes, one is dropped");
    }
}
