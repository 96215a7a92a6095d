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

use crate::back::Back;
use crate::book::Book;
use crate::clock::Clock;
use crate::hints::{Hints, hint, hinted};
use crate::limits::Limits;
use crate::list::{Line, List};
use crate::mail::{self, Mail, Wish};
use crate::peers::Errand;
use crate::reply::Reply;
use crate::returns::{Returning, Returns};
use crate::roster::Roster;
use crate::send::{self, End, Order};
use crate::ward::{NEW, Turn, Ward, stage_name};

pub struct Yard<B: Back> {
    pub roster: Roster,
    pub back: Rc<B>,
    pub clock: Clock,
    pub limits: Rc<Limits>,
    pub wishes: mpsc::Sender<Wish>,
    /// For the tasks that it starts.
    pub mail: mpsc::Sender<Mail<B>>,
    /// Its start, and what is kept for the next, where the operator's file says so.
    pub returns: Option<Box<Returning>>,
    /// The task that belongs to a fleet, where there is one.
    pub peers: Option<mpsc::Sender<Errand>>,
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
type Rest<B> = (Rc<<B as Back>::Payload>, oneshot::Sender<Reply<<B as Back>::Answer>>);

pub struct Route<B: Back> {
    yard: Yard<B>,
    ward: Option<Ward<Mail<B>, Rest<B>>>,
    ticked: Instant,
    /// Hosts that are being asked where they are since a tenant moves there.
    watched: HashSet<HostId>,
    watched_at: Instant,
    /// The most that a client may be told to wait before it comes back; nothing where it may not be told.
    most_after: Option<TimeDelta>,
    cold: TimeDelta,
    router: Router,
    book: Book<B::Payload, B::Answer>,
    alarms: BinaryHeap<Reverse<(Timestamp, u64, TimerId)>>,
    rung: u64,
    chores: Scheduler<Chore>,
    /// Long lists that are worked off.
    slices: ListSlicer<Line>,
    /// Connections begun by the last tally.
    dialed: u64,
    /// Hosts that others say are leaving.
    hints: Hints,
    returns: Returns,
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

impl<B: Back> Route<B> {
    pub fn start(
        mut yard: Yard<B>,
        seed: u64,
        manifest: RouterSettings,
        known: Option<&List>,
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
            Ward::new(now, layout, yard.limits.of_cells(), rows, marks)
        });
        let returns = yard.returns.take();
        let rows = OpType::rows(&manifest);
        let writes = rows.iter().map(|row| row.consistency == Consistency::Write).collect();
        let owns = rows.iter().map(|row| row.consistency == Consistency::Session).collect();
        // Positions of what was acked were at most so far ahead of this router's clock.
        let floor = returns.is_some().then_some(now + yard.limits.ahead);
        let router = Router::start(now, seed, manifest, &mut actions);
        let mut book = Book::default();
        book.closed = ward.is_some().then(Vec::new);
        let (alarms, moment) = (BinaryHeap::new(), Instant::now());
        let (ticked, rung) = (moment, 0);
        let mut chores = Scheduler::new(now, Budget::default(), seed ^ CHORES);
        let limits = yard.limits.clone();
        let mut add = |chore, terms| chores.add(now, chore, terms);
        add(Chore::List, TaskConfig::on_demand("lists", Priority::Urgent, span(limits.listed)));
        add(Chore::Tally, TaskConfig::periodic("tally", Priority::Normal, span(limits.tally)));
        let often = span(limits.idle) * 0.125;
        add(
            Chore::Sweep,
            TaskConfig {
                max_delay: often,
                ..TaskConfig::periodic("idle connections", Priority::Idle, often)
            },
        );
        if yard.peers.is_some() {
            add(Chore::Hints, TaskConfig::periodic("hints", Priority::Normal, span(limits.look)));
        }
        if returns.is_some() {
            add(Chore::Start, TaskConfig::periodic("start", Priority::Normal, span(limits.look)));
            add(Chore::Save, TaskConfig::on_demand("store", Priority::Idle, span(limits.store)));
        }
        let slices = ListSlicer::new(limits.slice);
        let mut route = Route {
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

    pub async fn run(mut self, mut inbox: mpsc::Receiver<Mail<B>>) {
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
            if let Some(spare) = cell.and_then(|cell| ward.spare(now, cell)) {
                self.router.handle(now, spare, actions);
            }
        }
        self.router.handle(now, note, actions);
        actions.drain(..).for_each(|action| self.carry_out(now, action));
        if let Some(ward) = &mut self.ward {
            self.book
                .closed
                .iter_mut()
                .flat_map(|closed| closed.drain(..))
                .for_each(|op| ward.closed(now, op));
        }
    }

    /// The next note where there are cells: an alarm that is due, mail that concerns all, else the mail whose cell's
    /// turn it is. Nothing at all once nobody can send mail.
    async fn fair_turn(&mut self, inbox: &mut mpsc::Receiver<Mail<B>>) -> Option<Option<RouterEvent>> {
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
        let waits = self.ward.as_ref().is_some_and(|ward| ward.waiting() > 0);
        if let Some(note) = self.rung(waits) {
            return Some(Some(note));
        }
        if let Some(mail) = self.ward.as_mut().and_then(Ward::take) {
            return Some(self.note(mail));
        }
        let next = self.next().min(self.ticked + self.yard.limits.tick);
        tokio::select! {
            mail = inbox.recv() => mail.map(|mail| self.sort(mail)),
            () = sleep_until(next) => Some(None),
        }
    }

    /// Mail of an op goes into its cell's line; what concerns all is taken at once.
    fn sort(&mut self, mail: Mail<B>) -> Option<RouterEvent> {
        let now = self.yard.clock.now();
        let ward = self.ward.as_mut()?;
        let waits = match mail {
            Mail::Asked(ask, Some(claim), payload, client) => {
                let turn = ward.place(now, ask, claim, (payload, client));
                self.turn(turn);
                return None;
            }
            Mail::SendEnded(op, ..) | Mail::HungUp(op) | Mail::Begun(op, _) => {
                if matches!(mail, Mail::HungUp(_)) {
                    ward.hung_up(now, op);
                }
                ward.queue(op, mail)
            }
            mail => Some(mail),
        };
        waits.and_then(|mail| self.note(mail))
    }

    fn turn(&mut self, turn: Turn<Rest<B>>) {
        let Some(ward) = &mut self.ward else { return };
        match turn {
            Turn::Go(ask, (payload, client)) => {
                let group = self.yard.roster.view(ask.group, ask.cell);
                let asked = Mail::Asked(OpRequest { group, ..ask }, None, payload, client);
                // It has its place, so that it is known.
                let _ = ward.queue(ask.op, asked);
            }
            Turn::Held => {}
            // What is given up is answered at once, and says when to come back where the settings allow that.
            Turn::Busy(after, (_, client)) => {
                self.book.tally.busy += 1;
                // Danger: a fence or a lease is further away than clients may be told; they would take it for nonsense.
                let after = self.most_after.map(|most| after.map_or(most, |after| after.min(most)));
                let _ = client.send(Reply::Busy(after));
            }
            Turn::Error(RejectReason::OutcomeUnknown, (_, client)) => {
                self.book.tally.errored += 1;
                let _ = client.send(Reply::Errored);
            }
            Turn::Error(why, (_, client)) => {
                self.book.tally.errored += 1;
                let _ = client.send(Reply::Refused(why.text()));
            }
        }
    }

    /// What cells do as time passes.
    fn tick(&mut self) {
        if self.ticked.elapsed() < self.yard.limits.tick {
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
        let news = ward.news();
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
        let rested = self.watched_at.elapsed() >= self.yard.limits.connect.mul_f64(WATCH);
        let Some(ward) = self.ward.as_mut().filter(|_| rested) else { return };
        self.watched_at = Instant::now();
        for group in ward.watched() {
            let hosts = self.yard.roster.members(group);
            ward.members(group, &hosts);
            for (host, _) in hosts {
                let (back, mail) = (self.yard.back.clone(), self.yard.mail.clone());
                let Some(dial) = self.yard.roster.dial(host) else { continue };
                if !self.watched.insert(host) {
                    continue;
                }
                drop(spawn_local(async move {
                    let (outcome, word) = back.probe(host, dial).await;
                    let word = if outcome == Outcome::Acked { word } else { HostStatus::default() };
                    let _ = mail.send(Mail::Watched(host, word)).await;
                }));
            }
        }
    }

    /// The list as a note, as cells divide it. `saved`: the router's last one before it started; nothing for a slice.
    fn listed(&mut self, list: &List, saved: Option<bool>) -> RouterEvent {
        let note = self.yard.roster.note(list, saved == Some(true));
        self.book.tally.listed += list.lines.len() as u32;
        let ceased = self.yard.roster.ceased();
        if saved != Some(true) {
            self.hints.listed();
        }
        if let Some(returns) = self.returns.as_mut().filter(|_| saved == Some(false)) {
            returns.listed(self.yard.clock.now(), list.version);
        }
        if saved != Some(true) {
            let now = self.yard.clock.now();
            ceased.into_iter().for_each(|tag| self.hints.ceased(now, tag));
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
        let (now, within) = (self.yard.clock.now(), self.cold * NEW);
        let index = ward.index().clone();
        self.yard.roster.divide(&mut entries, &index, |cell, started| {
            if now - started >= within {
                return 1.0;
            }
            ward.renewed(cell, started, within);
            ward.trust(cell)
        });
        entries
    }

    /// All hosts are listed anew: cells or their trust have changed.
    fn redivide(&mut self) {
        let entries = self.divided(self.yard.roster.all());
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
        match ward.relayout(now, layout) {
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
        next.map_or_else(|| Instant::now() + self.yard.limits.tally, |at| self.yard.clock.when(at))
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
                self.yard.back.sweep();
                Ending::Done
            }
            Chore::Hints => {
                if self.hints.look(now, |tag| self.yard.roster.holds_ready(tag)) {
                    tracing::info!("other routers say that a host is leaving: the list is asked for");
                    wish(&self.yard.wishes, Wish::Fetch);
                }
                self.close_by_word(now);
                self.tell_of_ceased(now);
                Ending::Done
            }
            Chore::Start => {
                if let Some(returns) = &mut self.returns {
                    returns.tick(now);
                    if returns.due(now) {
                        self.chores.request(now, Chore::Save);
                    }
                }
                Ending::Done
            }
            Chore::Save => {
                if let Some(returns) = &mut self.returns {
                    returns.save(self.yard.roster.hosts(), self.yard.mail.clone());
                }
                Ending::Done
            }
        };
        let ended = self.yard.clock.now();
        self.chores.finish(ended, chore, ended - now, end);
    }

    /// Other routers hear which hosts the own list has left out.
    fn tell_of_ceased(&mut self, now: Timestamp) {
        let told = self.hints.tell(now);
        let Some(peers) = &self.yard.peers else { return };
        told.into_iter().for_each(|tag| drop(peers.try_send(Errand::Tell(hint(tag)))));
    }

    /// Closes hosts that others say are leaving, where the own list cannot be had.
    fn close_by_word(&mut self, now: Timestamp) {
        let Yard { roster, .. } = &self.yard;
        let tags = self.hints.close(now, roster.ready(), |tag| roster.holds_ready(tag));
        let entries: Vec<HostEntry> =
            tags.into_iter().filter_map(|tag| self.yard.roster.close(tag)).collect();
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
                let lines = self.yard.roster.missing(turn);
                // They are closed at once, however many: what is gone is not to be sent to.
                tracing::info!(gone = lines.len(), "a whole list leaves out hosts");
                lines
            }
            Some(ListSlice::Complete(number)) => {
                if let Some(returns) = &mut self.returns {
                    returns.listed(self.yard.clock.now(), number);
                }
                return if self.slices.is_empty() { Ending::Done } else { Ending::More };
            }
            None => return Ending::Done,
        };
        self.yard.roster.turn(self.slices.generation());
        let part = List { version: 0, whole: false, lines };
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
    fn note(&mut self, mail: Mail<B>) -> Option<RouterEvent> {
        match mail {
            Mail::Asked(mut ask, _, payload, client) => {
                self.taken += 1;
                if self.owns.get(ask.op_type.0 as usize) == Some(&true) {
                    ask.min_position = ask.min_position.max(self.floor);
                }
                if self.wanted.len() < self.yard.limits.wanted {
                    self.wanted.insert(ask.group.0);
                }
                if let Some(returns) = &mut self.returns {
                    let write = self.writes.get(ask.op_type.0 as usize).copied().unwrap_or_default();
                    returns.asked(ask.op, ask.group, write);
                }
                self.book.open(ask.op, payload, client);
                Some(RouterEvent::OpRequested(ask))
            }
            // The module hears of it when the send has ended, as of any other: till then it works at its host.
            Mail::Begun(op, answer) => {
                self.book.begin(op, answer);
                None
            }
            Mail::HungUp(op) => self.book.hang_up(op).then_some(RouterEvent::ClientCancelled { op }),
            Mail::SendEnded(op, send, host, End { outcome, took, word, answer }) => {
                let finished = self.book.end(op, send, outcome, answer)?;
                if let Some(returns) = self.returns.as_mut().filter(|_| finished) {
                    returns.answered(self.yard.clock.now(), op, outcome == Outcome::Acked);
                }
                let word = self.likely(word);
                if let Some(ward) = &mut self.ward {
                    let new = self.yard.roster.is_new(host, self.yard.clock.now(), self.cold * NEW);
                    ward.send_ended(op, outcome, took, &word, new);
                    ward.learnt(host, &word);
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
            Mail::Probed(host, cell, outcome, word) => {
                if let (Some(ward), Some(cell)) = (&mut self.ward, cell) {
                    ward.probed(cell);
                }
                Some(RouterEvent::ProbeEnded { host, outcome, status: self.likely(word) })
            }
            Mail::Watched(host, word) => {
                self.watched.remove(&host);
                let word = self.likely(word);
                self.ward.iter_mut().for_each(|ward| ward.learnt(host, &word));
                None
            }
            Mail::Relayout(layout) => {
                self.relayout(*layout);
                None
            }
            Mail::Show(client) => {
                let report = self.ward.as_mut().map(|ward| ward.report().to_string());
                let _ = client.send(report.unwrap_or_default());
                None
            }
            Mail::ShowPeers(client) => {
                match self.yard.peers.as_ref().map(|peers| peers.try_send(Errand::Show(client))) {
                    Some(Ok(())) => {}
                    // The client sees that nothing came.
                    _ => tracing::warn!("the task of the fleet takes no errands"),
                }
                None
            }
            Mail::Fleet(routers) => {
                wish(&self.yard.wishes, Wish::Routers(routers));
                Some(RouterEvent::RouterCount { routers })
            }
            Mail::Told(from, mut bytes) => {
                if let Some(tag) = hinted(&bytes) {
                    self.hints.heard(self.yard.clock.now(), tag, from);
                    return None;
                }
                // Danger: another router's word that a host is primary sends writes there. It only ever takes that away.
                arrowyard::clear_primary_claim(&mut bytes);
                Some(RouterEvent::PeerMessage { from, bytes })
            }
            Mail::Saved(failed) => {
                self.returns.iter_mut().for_each(|returns| returns.saved(failed));
                None
            }
            Mail::Echo(client) => {
                let _ = client.send((self.taken, self.acked + u64::from(self.book.tally.acked)));
                None
            }
            Mail::News(mail::News::Listed(list)) if self.slices.needs_slicing(list.lines.len()) => {
                let wanted = |line: &Line| line.group.is_some_and(|group| self.wanted.contains(&group));
                let rank = |line: &Line| match line.availability {
                    Availability::Ready if wanted(line) => 1,
                    Availability::Ready if line.primary == Some(true) => 2,
                    Availability::Ready => 3,
                    _ => 0,
                };
                let host = |line: &Line| line.host.clone();
                self.slices.push(list.version, list.whole, list.lines, rank, host);
                self.chores.request(self.yard.clock.now(), Chore::List);
                None
            }
            Mail::News(mail::News::Listed(list)) => Some(self.listed(&list, Some(false))),
            Mail::News(mail::News::ListFailed) => Some(RouterEvent::ListFailed),
        }
    }

    /// A host's word without a position that cannot be. Danger: positions never go back, so that one spoilt on the
    /// way, in the future, would make stale data look fresh for good.
    fn likely(&self, word: HostStatus) -> HostStatus {
        let latest = self.yard.clock.now() + self.yard.limits.ahead;
        let position = word.position.filter(|&position| position <= latest);
        if position != word.position {
            tracing::warn!(?word, "a position in the future is ignored");
        }
        HostStatus { position, ..word }
    }

    fn carry_out(&mut self, now: Timestamp, action: Action) {
        let Yard { roster, back, clock, wishes, mail, .. } = &self.yard;
        tracing::trace!(at = now.micros(), "{action:?}");
        match action {
            Action::Send { op, host, deadline: until } => {
                let Some((send, payload, called_off)) = self.book.send(op) else { return };
                self.book.tally.cold += u32::from(roster.is_new(host, now, self.cold));
                self.ward.iter_mut().for_each(|ward| ward.sent(now, op, send));
                let (back, clock, mail, dial) = (back.clone(), *clock, mail.clone(), roster.dial(host));
                drop(spawn_local(async move {
                    let end = match dial {
                        Some(dial) => {
                            let order = Order { host, dial, payload, until, called_off };
                            let begun = async |answer| drop(mail.send(Mail::Begun(op, answer)).await);
                            send::run(order, &*back, clock, begun).await
                        }
                        None => End::unsent(),
                    };
                    // The route stage is gone only when the router ends.
                    let _ = mail.send(Mail::SendEnded(op, send, host, end)).await;
                }));
            }
            Action::Cancel { op, send } => self.book.call_off(op, send),
            Action::BusyReply { op, retry_after } => {
                let after = match &mut self.returns {
                    Some(returns) => {
                        returns.answered(now, op, false);
                        returns.after(retry_after, self.most_after)
                    }
                    None => retry_after,
                };
                self.book.answer(op, Reply::Busy(after));
            }
            Action::ErrorReply { op } => {
                self.returns.iter_mut().for_each(|returns| returns.answered(now, op, false));
                self.book.answer(op, Reply::Errored);
            }
            Action::Probe { host } => {
                self.book.tally.probes += 1;
                let (back, mail, dial) = (back.clone(), mail.clone(), roster.dial(host));
                let (mut cell, mut full) = (None, None);
                if let Some(ward) = &mut self.ward
                    && let Some(of) = roster.cell(host, ward.index())
                {
                    let may = ward.probe(now, of);
                    (cell, full) = (may.then_some(of), (!may).then_some(self.yard.limits.connect));
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
                    let _ = mail.send(Mail::Probed(host, cell, outcome, word)).await;
                }));
            }
            Action::SetTimer { after, timer: cookie } => {
                self.rung += 1;
                self.alarms.push(Reverse((now + after, self.rung, cookie)));
            }
            Action::SubscribeHostList { on } => wish(wishes, Wish::Watch(on)),
            Action::FetchHostList => wish(wishes, Wish::Fetch),
            Action::CloseIdleConnections { host } => back.close_idle(host),
            Action::SendPeerMessage { bytes, .. } => {
                if let Some(peers) = &self.yard.peers {
                    // Danger: the fleet's task hangs, and the route stage with it. News that finds no room is lost.
                    let _ = peers.try_send(Errand::Tell(bytes));
                }
            }
            Action::Log { text } => tracing::info!("{text}"),
        }
    }

    fn tally(&mut self) {
        let tally = std::mem::take(&mut self.book.tally);
        self.acked += u64::from(tally.acked);
        let dialed = self.yard.back.dialed();
        tracing::info!(
            acked = tally.acked,
            busy = tally.busy,
            errored = tally.errored,
            gone = tally.gone,
            sends = tally.sends,
            lost = tally.lost_sends,
            repeats = tally.repeats,
            cold = tally.cold,
            probes = tally.probes,
            dials = dialed - std::mem::replace(&mut self.dialed, dialed),
            listed = tally.listed,
            open_ops = self.book.open_ops(),
            links = self.yard.back.open(),
            "tally"
        );
    }
}

fn wish(wishes: &mpsc::Sender<Wish>, wish: Wish) {
    // Danger: discovery hangs, and the route stage with it. It never waits for room.
    if wishes.try_send(wish).is_err() {
        tracing::warn!(?wish, "discovery takes no more wishes, one is dropped");
    }
}
