//! The task that owns the decision module: mail becomes notes, actions are carried out in their order.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;

use arrowyard::Router;
use arrowyard_types::*;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

use crate::back::Back;
use crate::book::Book;
use crate::clock::Clock;
use crate::limits::Limits;
use crate::list::List;
use crate::mail::{Mail, News, Wish};
use crate::reply::Reply;
use crate::roster::Roster;
use crate::send::{self, End, Order};

pub struct Yard<B: Back> {
    pub roster: Roster,
    pub back: Rc<B>,
    pub clock: Clock,
    pub limits: Rc<Limits>,
    pub wishes: mpsc::Sender<Wish>,
    /// For the tasks that it starts.
    pub mail: mpsc::Sender<Mail<B>>,
}

pub struct Route<B: Back> {
    yard: Yard<B>,
    router: Router,
    book: Book<B::Payload, B::Answer>,
    alarms: BinaryHeap<Reverse<(Point, u64, Cookie)>>,
    rung: u64,
    tallied: Instant,
}

impl<B: Back> Route<B> {
    pub fn start(mut yard: Yard<B>, seed: u64, manifest: Manifest, known: Option<&List>) -> Self {
        let mut actions = Vec::new();
        let now = yard.clock.now();
        let mut router = Router::start(now, seed, manifest, &mut actions);
        if let Some(list) = known {
            router.take(now, yard.roster.note(list, true), &mut actions);
        }
        let (book, alarms) = (Book::default(), BinaryHeap::new());
        let mut route = Route { yard, router, book, alarms, rung: 0, tallied: Instant::now() };
        actions.into_iter().for_each(|action| route.carry_out(now, action));
        route
    }

    pub async fn run(mut self, mut inbox: mpsc::Receiver<Mail<B>>) {
        let mut actions = Vec::new();
        loop {
            let next = self.alarms.peek().map(|Reverse((at, ..))| self.yard.clock.when(*at));
            let tally = self.tallied + self.yard.limits.tally;
            let note = tokio::select! {
                mail = inbox.recv() => match mail {
                    Some(mail) => self.note(mail),
                    None => return,
                },
                () = sleep_until(next.unwrap_or(tally).min(tally)) => self.rung(),
            };
            let Some(note) = note else { continue };
            let now = self.yard.clock.now();
            tracing::trace!(at = now.micros(), "{note:?}");
            self.router.take(now, note, &mut actions);
            actions.drain(..).for_each(|action| self.carry_out(now, action));
        }
    }

    /// The next alarm that is due.
    fn rung(&mut self) -> Option<Note> {
        if self.tallied.elapsed() >= self.yard.limits.tally {
            self.tally();
        }
        let now = self.yard.clock.now();
        let due = self.alarms.peek().is_some_and(|Reverse((at, ..))| *at <= now);
        let alarm = due.then(|| self.alarms.pop()).flatten();
        alarm.map(|Reverse((_, _, cookie))| Note::Rang { cookie })
    }

    /// What the mail tells the module; nothing where it is old news.
    fn note(&mut self, mail: Mail<B>) -> Option<Note> {
        match mail {
            Mail::Asked(ask, payload, client) => {
                self.book.open(ask.op, payload, client);
                Some(Note::Asked(ask))
            }
            Mail::HungUp(op) => self.book.hang_up(op).then_some(Note::HungUp { op }),
            Mail::SendEnded(op, send, host, End { outcome, took, word, answer }) => {
                let finished = self.book.end(op, send, outcome, answer)?;
                let word = self.likely(word);
                Some(Note::SendEnded(Ended { op, send, host, outcome, took, finished, word }))
            }
            Mail::Probed(host, outcome, word) => {
                Some(Note::Probed { host, outcome, word: self.likely(word) })
            }
            Mail::News(News::Listed(list)) => Some(self.yard.roster.note(&list, false)),
            Mail::News(News::ListFailed) => Some(Note::ListFailed),
        }
    }

    /// A host's word without a position that cannot be. Danger: positions never go back, so that one spoilt on the
    /// way, in the future, would make stale data look fresh for good.
    fn likely(&self, word: Word) -> Word {
        let latest = self.yard.clock.now() + self.yard.limits.ahead;
        let position = word.position.filter(|&position| position <= latest);
        if position != word.position {
            tracing::warn!(?word, "a position in the future is ignored");
        }
        Word { position, ..word }
    }

    fn carry_out(&mut self, now: Point, action: Action) {
        let Yard { roster, back, clock, wishes, mail, .. } = &self.yard;
        tracing::trace!(at = now.micros(), "{action:?}");
        match action {
            Action::Send { op, host, until } => {
                let Some((send, payload, called_off)) = self.book.send(op) else { return };
                let (back, clock, mail, dial) = (back.clone(), *clock, mail.clone(), roster.dial(host));
                drop(spawn_local(async move {
                    let end = match dial {
                        Some(dial) => {
                            let order = Order { host, dial, payload, until, called_off };
                            send::run(order, &*back, clock).await
                        }
                        None => End::unsent(),
                    };
                    // The route stage is gone only when the router ends.
                    let _ = mail.send(Mail::SendEnded(op, send, host, end)).await;
                }));
            }
            Action::Cancel { op, send } => self.book.call_off(op, send),
            Action::BusyReply { op, retry_after } => self.book.answer(op, Reply::Busy(retry_after)),
            Action::ErrorReply { op } => self.book.answer(op, Reply::Errored),
            Action::Probe { host } => {
                let (back, mail, dial) = (back.clone(), mail.clone(), roster.dial(host));
                drop(spawn_local(async move {
                    let (outcome, word) = match dial {
                        Some(dial) => back.probe(host, dial).await,
                        None => (Outcome::Moot, Word::default()),
                    };
                    let _ = mail.send(Mail::Probed(host, outcome, word)).await;
                }));
            }
            Action::Ring { after, cookie } => {
                self.rung += 1;
                self.alarms.push(Reverse((now + after, self.rung, cookie)));
            }
            Action::Subscribe { on } => wish(wishes, Wish::Watch(on)),
            Action::FetchList => wish(wishes, Wish::Fetch),
            Action::CloseIdle { host } => back.close_idle(host),
            // Routers on sockets have no way to talk to each other yet.
            Action::Tell { .. } => {}
            Action::Log { text } => tracing::info!("{text}"),
        }
    }

    fn tally(&mut self) {
        let tally = std::mem::take(&mut self.book.tally);
        self.tallied = Instant::now();
        tracing::info!(
            acked = tally.acked,
            busy = tally.busy,
            errored = tally.errored,
            gone = tally.gone,
            sends = tally.sends,
            lost = tally.lost_sends,
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
