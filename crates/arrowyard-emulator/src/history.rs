//! What clients, hosts, operator and platform saw, and the auditors that look for broken rules in it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use arrowyard_types::{TimeDelta, Timestamp};

use crate::shard::Shard;

/// A broken rule: its name on the users' page, and what was seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    pub rule: &'static str,
    pub at: Timestamp,
    pub what: String,
}

/// How fresh the reads of a route must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fresh {
    Primary,
    Bounded(TimeDelta),
    Own(TimeDelta),
}

impl Fresh {
    /// The kind of requests, as routes name it.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Fresh::Primary => "primary",
            Fresh::Bounded(_) => "bounded",
            Fresh::Own(_) => "own",
        }
    }
}

/// What a client asked with one id.
#[derive(Clone, Debug)]
pub struct Asked {
    pub at: Timestamp,
    /// Of its transaction's first byte.
    pub since: Timestamp,
    pub service: String,
    pub session: u64,
    pub operation: u64,
    pub text: String,
    /// For `RUN`: the shape that its name stands for.
    pub shape: Option<String>,
    /// The value of `tag` that was acknowledged to its session.
    pub tag: Option<String>,
    pub fresh: Fresh,
    pub inside: bool,
    pub stamp: Option<String>,
    pub rows: Option<String>,
}

/// What became of a write, as its client knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fate {
    Acknowledged {
        at: Timestamp,
        service: String,
        session: u64,
    },
    /// The client was promised that nothing is kept.
    Promised {
        at: Timestamp,
        service: String,
    },
    Unknown,
}

/// Pace is looked at in windows of so many microseconds.
pub const WINDOW: i64 = 100_000;

/// What became of one kind of requests.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    pub asked: u64,
    pub in_aim: u64,
    pub served: u64,
    pub took: Vec<TimeDelta>,
    /// By window in which operations began: how many, and how many of them inside their aim.
    pub windows: BTreeMap<i64, (u32, u32)>,
}

impl Kept {
    /// Operations that began from one time to another, and those of them inside their aim.
    #[must_use]
    pub fn between(&self, from: Timestamp, until: Timestamp) -> (u64, u64) {
        let windows = self.windows.range(from.micros() / WINDOW..until.micros() / WINDOW);
        windows.fold((0, 0), |sum, (_, (asked, kept))| (sum.0 + u64::from(*asked), sum.1 + u64::from(*kept)))
    }

    /// Of the windows from one time to another: the share in which this part of the operations was inside its aim, and
    /// the least part in ten windows together.
    #[must_use]
    pub fn pace(&self, from: Timestamp, until: Timestamp, part: f64) -> (f64, f64) {
        let (from, until) = (from.micros() / WINDOW, until.micros() / WINDOW);
        let windows: Vec<(u32, u32)> = self.windows.range(from..until).map(|(_, window)| *window).collect();
        let kept =
            windows.iter().filter(|(asked, kept)| f64::from(*kept) >= f64::from(*asked) * part).count();
        let part_of = |ten: &[(u32, u32)]| {
            let (asked, kept) = ten.iter().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
            f64::from(kept) / f64::from(asked.max(1))
        };
        let worst = windows.windows(10).map(part_of).fold(1.0, f64::min);
        (kept as f64 / windows.len().max(1) as f64, worst)
    }
}

/// How operations ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub asked: u64,
    pub served: u64,
    pub late: u64,
    pub refused: u64,
    pub failed: u64,
}

/// Everything that was seen.
#[derive(Debug, Default)]
pub struct History {
    pub asked: BTreeMap<String, Asked>,
    pub fates: BTreeMap<String, Fate>,
    /// Where each write stands in its service's log; and, by service and by session, how far the log was acknowledged
    /// when: reads are held against it.
    pub placed: BTreeMap<String, usize>,
    acknowledged: BTreeMap<String, Vec<(Timestamp, usize)>>,
    own: BTreeMap<u64, Vec<(Timestamp, usize)>>,
    /// When every machine was back after a loss of power.
    pub back: Option<Timestamp>,
    pub breaches: Vec<Breach>,
    pub tally: Tally,
    /// By second of the day: asked and served.
    pub seconds: BTreeMap<i64, (u64, u64)>,
    pub runs: u64,
    pub reset_over_cap: u64,
    /// How long after the acknowledgement that it leaves a host was asked last.
    pub asked_after_leaving: Option<TimeDelta>,
    pub latencies: Vec<TimeDelta>,
    /// By kind of requests.
    pub kinds: BTreeMap<&'static str, Kept>,
    /// The revision that was acknowledged last, and the one that was read back at the end.
    pub in_place: u64,
    pub read_back: Option<u64>,
    /// Since when a sound change has waited for its acknowledgement.
    pub unacknowledged: Option<Timestamp>,
    /// When changes were acknowledged.
    pub acks: Vec<Timestamp>,
    last: u64,
}

/// One history, written by all stand-ins.
pub type Shared = Rc<RefCell<History>>;

impl History {
    pub fn number(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    pub fn breach(&mut self, rule: &'static str, at: Timestamp, what: String) {
        self.breaches.push(Breach { rule, at, what });
    }

    /// UNASKED, PINNED: a host runs a statement. `own` is whether it runs inside a transaction, and of which operation.
    pub fn runs(
        &mut self,
        at: Timestamp,
        id: &str,
        text: &str,
        shape: Option<&str>,
        tag: Option<&str>,
        inside: Option<Option<u64>>,
    ) {
        self.runs += 1;
        let Some(asked) = self.asked.get(id).cloned() else {
            return self.breach("UNASKED", at, format!("{id} was not asked: {text}"));
        };
        let (word, rest) = arrowyard_protocol::split_word(text);
        let same = if word == "RUN" {
            let (_, of) = arrowyard_protocol::split_word(rest);
            let (mine, asked_rest) = arrowyard_protocol::split_word(&asked.text);
            mine == "RUN" && arrowyard_protocol::split_word(asked_rest).1 == of
        } else {
            asked.text == text
        };
        if !same {
            self.breach("UNASKED", at, format!("{id}: {text} for {}", asked.text));
        }
        if shape.map(str::to_string) != asked.shape {
            self.breach("PINNED", at, format!("{id} runs {shape:?} for {:?}", asked.shape));
        }
        if tag.map(str::to_string) != asked.tag {
            self.breach("PINNED", at, format!("{id} runs under {tag:?} for {:?}", asked.tag));
        }
        match inside {
            Some(Some(operation)) if operation != asked.operation => {
                self.breach("PINNED", at, format!("{id} runs in the transaction of operation {operation}"));
            }
            None if asked.inside => self.breach("PINNED", at, format!("{id} runs outside its transaction")),
            _ => {}
        }
    }

    /// A write was acknowledged to a session.
    pub fn acknowledges(&mut self, at: Timestamp, service: &str, session: u64, token: &str) {
        let Some(&place) = self.placed.get(token) else { return };
        let service = self.acknowledged.entry(service.to_string()).or_default();
        for list in [service, self.own.entry(session).or_default()] {
            let most = list.last().map_or(place, |(_, most)| place.max(*most));
            list.push((at, most));
        }
    }

    /// When writes were acknowledged, by service.
    pub fn acknowledged_at(&self) -> BTreeMap<String, Vec<Timestamp>> {
        let times = |list: &Vec<(Timestamp, usize)>| list.iter().map(|(at, _)| *at).collect();
        self.acknowledged.iter().map(|(service, list)| (service.clone(), times(list))).collect()
    }

    /// The writes of a service that were acknowledged.
    pub fn acknowledged_of(&self, service: &str) -> Vec<String> {
        let of = |fate: &Fate| matches!(fate, Fate::Acknowledged { service: of, .. } if of == service);
        self.fates.iter().filter(|(_, fate)| of(fate)).map(|(token, _)| token.clone()).collect()
    }

    /// STALE: a host runs a read with so many commits of a log of this length applied. What a promote cut back does not
    /// count; that it was acknowledged is another rule's matter.
    pub fn reads(&mut self, at: Timestamp, id: &str, applied: usize, log: usize, host: &str) {
        let Some(asked) = self.asked.get(id) else { return };
        let before = |list: Option<&Vec<(Timestamp, usize)>>, time: Timestamp| {
            let list = list.map(Vec::as_slice).unwrap_or_default();
            let place = list.partition_point(|(when, _)| *when < time);
            place.checked_sub(1).map_or(0, |last| list[last].1)
        };
        let all = self.acknowledged.get(&asked.service);
        let wanted = match asked.fresh {
            Fresh::Primary => before(all, asked.since),
            Fresh::Bounded(bound) => before(all, asked.since - bound),
            Fresh::Own(bound) => {
                before(all, asked.since - bound).max(before(self.own.get(&asked.session), asked.since))
            }
        };
        if wanted.min(log) > applied {
            let what = format!("{id} ({:?}) runs at {host} with {applied} of {wanted} commits", asked.fresh);
            self.breach("STALE", at, what);
        }
    }

    /// DRAIN: a host runs a single statement, or the first of a transaction, though it said long ago that it leaves, and
    /// that was acknowledged.
    pub fn arrives(
        &mut self,
        at: Timestamp,
        id: &str,
        acknowledged: Option<Timestamp>,
        bound: TimeDelta,
        host: &str,
    ) {
        let after = acknowledged.map(|when| at - when);
        self.asked_after_leaving = self.asked_after_leaving.max(after);
        if let Some(late) = acknowledged.filter(|when| at - *when > bound) {
            let after = at - late;
            self.breach("DRAIN", at, format!("{id} reaches {host} {} ms after that", after.micros() / 1000));
        }
    }

    /// RECOVER: less than a quarter is served once all machines are back for so long.
    pub fn audit_recovery(&mut self, now: Timestamp, after: TimeDelta) {
        let Some(back) = self.back else { return };
        let second = |at: Timestamp| at.micros().div_euclid(1_000_000);
        let sum = |seconds: &mut dyn Iterator<Item = &(u64, u64)>| {
            seconds.fold((0, 0), |sum: (u64, u64), one| (sum.0 + one.0, sum.1 + one.1))
        };
        let (asked, served) = sum(&mut self.seconds.range(second(back + after) + 1..).map(|(_, one)| one));
        let before = sum(&mut self.seconds.range(..second(back) - 1).map(|(_, one)| one));
        if served * 4 < asked && before.1 * 4 >= before.0 {
            self.breach("RECOVER", now, format!("{served} of {asked} were served"));
        }
    }

    /// MIXED: a client gets a success.
    pub fn succeeds(&mut self, at: Timestamp, id: &str, stamp: &str, rows: &str) {
        let Some(asked) = self.asked.get(id) else { return };
        if asked.stamp.as_deref() != Some(stamp) || asked.rows.as_deref() != Some(rows) {
            let what =
                format!("{id}: {stamp} {rows:?}, where the host said {:?} {:?}", asked.stamp, asked.rows);
            self.breach("MIXED", at, what);
        }
    }

    /// TWICE, REFUSED, LOST: what the logs hold at the end of a day.
    pub fn audit_logs(&mut self, now: Timestamp, shards: &[Rc<RefCell<Shard>>]) {
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for shard in shards {
            for token in shard.borrow().log().iter().flat_map(|commit| &commit.writes) {
                *counts.entry(token.clone()).or_default() += 1;
            }
        }
        for (token, count) in &counts {
            if *count > 1 {
                self.breach("TWICE", now, format!("{token} is there {count} times"));
            }
        }
        for (token, fate) in self.fates.clone() {
            match fate {
                Fate::Acknowledged { at, service, .. } if !counts.contains_key(&token) => {
                    self.breach(
                        "LOST",
                        at,
                        format!("{token} of {service} was acknowledged and is not there"),
                    );
                }
                Fate::Promised { at, service } if counts.contains_key(&token) => {
                    self.breach(
                        "REFUSED",
                        at,
                        format!("{token} of {service} is there though nothing was to be kept"),
                    );
                }
                _ => {}
            }
        }
    }

    /// CONFIG, LOST: what was read back at the end of a day.
    pub fn audit_configuration(&mut self, now: Timestamp) {
        if self.read_back.is_none_or(|revision| revision < self.in_place) {
            let what = format!("{:?} was read back, {} was acknowledged", self.read_back, self.in_place);
            self.breach("CONFIG", now, what);
        }
        if let Some(since) = self.unacknowledged {
            let what = format!("a sound change of {} ms was never acknowledged", since.micros() / 1000);
            self.breach("ACKS", now, what);
        }
    }

    /// An operation of a kind is over: when it began, when it ended, whether it was served inside its aim, and at all.
    pub fn ends_of(
        &mut self,
        kind: &'static str,
        started: Timestamp,
        took: TimeDelta,
        in_aim: bool,
        served: bool,
    ) {
        let kept = self.kinds.entry(kind).or_default();
        (kept.asked, kept.served) = (kept.asked + 1, kept.served + u64::from(served));
        kept.in_aim += u64::from(in_aim);
        kept.took.push(took);
        let window = kept.windows.entry(started.micros().div_euclid(WINDOW)).or_default();
        (window.0, window.1) = (window.0 + 1, window.1 + u32::from(in_aim));
    }

    pub fn ends(&mut self, started: Timestamp, served: bool) {
        let second = started.micros().div_euclid(1_000_000);
        let entry = self.seconds.entry(second).or_default();
        entry.0 += 1;
        entry.1 += u64::from(served);
    }
}
