//! A tenant moves from a cell to another, and its data from a group to another, losing no turn.
//!
//! The copy is made by a program of the operator's; the file tells how far it is, and each router by itself keeps
//! its ops safe. Routers share nothing but clocks that are a known skew apart, so that times are announced ahead:
//! from the fence on no router sends a write of the tenant that could have an effect behind the copy, and from the
//! switch on no router reads the source where a bound is kept. A lease stops those that never heard of the move.
//!
//! | stage | writes | reads | danger |
//! | --- | --- | --- | --- |
//! | open | source; tokens and positions are noted | source | a write that is out still when the copy ends |
//! | fenced | held or busy-replied; till the copy's end a repeat may settle at the source what may have run | source | a write that lands behind the copy |
//! | drained | the same; no write of the tenant is out | source; with a bound, only till the switch is due | other routers have switched |
//! | switched | target; a repeat of a token that the source acked goes there while it remembers | target, from the floor on | a repeat that the target never saw |
//! | done | target | target, from the floor on | |
//!
//! Up to the switch a cancelled move leaves all as it was. After it, the way back is a new move.

use std::collections::VecDeque;

use arrowyard_types::{CellId, Consistency, GroupId, HostId, TimeDelta, Timestamp};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

/// Tokens of one move that are noted.
const TOKENS: usize = 65_536;

/// How far the file says a move is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    Planned,
    Copying,
    Fenced,
    Switched,
    Done,
    Cancelled,
}

/// A move, as the file tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub tenant: Box<str>,
    pub from: CellId,
    pub to: CellId,
    /// The groups that hold the data before and after the switch; none: the group stays.
    pub groups: Option<(GroupId, GroupId)>,
    /// The group that clients name; none: any.
    pub named: Option<GroupId>,
    pub step: Step,
    pub fence_at: Option<Timestamp>,
    pub switch_at: Option<Timestamp>,
    /// The source's position up to which all was copied, and the target's from which on it holds that.
    pub copied_through: Option<Timestamp>,
    pub target_floor: Option<Timestamp>,
    /// The target's primary whose position that is, by its name in the lists.
    pub target_host: Option<Box<str>>,
    /// How long the source remembers tokens.
    pub memory: TimeDelta,
}

/// How far this router is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    Open,
    Fenced,
    Drained,
    Switched,
    Done,
}

/// What became of a write at the source, or of all writes of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ran {
    Never,
    Out,
    Maybe,
    Acked,
}

#[derive(Clone, Copy, Debug)]
struct Noted {
    first_at: Timestamp,
    ran: Ran,
}

/// What all moves of a router are told once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Whether clients mark what they ask again.
    pub marks: bool,
    /// Writes that are out at the fence have ended after this: the longest op timeout.
    pub settle: TimeDelta,
    /// How far apart two clocks may be.
    pub skew: TimeDelta,
}

/// An op of the tenant, as far as a move cares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wanted {
    pub need: Consistency,
    /// The token, if repeats of it have one effect.
    pub token: Option<u64>,
    /// Whether the client says that it asks again.
    pub again: bool,
    pub due: Timestamp,
}

/// Where it goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Where {
    Source,
    /// With what a session's read must see at least.
    Target(Option<Timestamp>),
    /// It waits till the move is further, at most until this point; then it is asked about again.
    Hold(Timestamp),
    /// Nothing of it was sent; come back after this span.
    Busy(TimeDelta),
    /// It may have run where it cannot be asked for any more.
    Unsure,
}

/// Why a move does not go on at this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stuck {
    /// Writes of the tenant are out.
    Out(u32),
    /// The copy ends before this point, up to which writes were, or may have been, acked; it has to be taken further.
    Copy { needed: Timestamp, copied: Timestamp },
    /// The switch is announced for later.
    Early(Timestamp),
    /// Fewer than most of the target's hosts are known to hold the copy.
    Target { hold: usize, hosts: usize },
    /// The target's primary is not known, or is not the host that the file names: the copy has to be looked at again.
    Lead,
    /// The file has not said that it is switched.
    File,
    /// Repeats may still be asked for.
    Memory,
}

/// A file that a router refuses, for what it says of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It goes back behind the switch.
    Back,
    /// It moves the fence that has been reached.
    Fence,
    /// It is another move of the tenant, and this one is not over.
    Another,
}

#[derive(Clone, Debug)]
pub struct Moving {
    pub row: Row,
    terms: Terms,
    stage: Stage,
    tokens: FxHashMap<u64, Noted>,
    order: VecDeque<(Timestamp, u64)>,
    /// Writes that were let through to the source and have not ended.
    out: u32,
    /// Writes that are held.
    held: u32,
    last_acked: Option<Timestamp>,
    /// Positions of the target's hosts, as learnt.
    positions: SmallVec<[(HostId, Timestamp); 4]>,
    /// The target's primary, as learnt last, and the host whose position the file's floor is.
    lead: Option<HostId>,
    floor_of: Option<HostId>,
}

impl Moving {
    /// A move that this router learns of now; of what was before it knows nothing.
    pub fn new(now: Timestamp, row: Row, terms: Terms) -> Self {
        let (tokens, order, positions) = Default::default();
        let (stage, out, held, last_acked) = (Stage::Open, 0, 0, None);
        let (lead, floor_of) = (None, None);
        let mut moving =
            Moving { row, terms, stage, tokens, order, out, held, last_acked, positions, lead, floor_of };
        moving.tick(now);
        moving
    }

    pub fn stage(&self) -> Stage {
        self.stage
    }

    pub fn out(&self) -> u32 {
        self.out
    }

    pub fn held(&self) -> u32 {
        self.held
    }

    pub fn tokens(&self) -> usize {
        self.tokens.len()
    }

    /// Whether it is the same move as the row's.
    pub fn is(&self, row: &Row) -> bool {
        let Row { tenant, from, to, groups, .. } = &self.row;
        (tenant, from, to, groups) == (&row.tenant, &row.from, &row.to, &row.groups)
    }

    /// Whether a row of the file goes with what this router has done. A file that jumps over a step goes through
    /// it: what a step demands is asked at each.
    ///
    /// # Errors
    /// The file contradicts it, and is refused whole.
    pub fn accept(&self, row: &Row) -> Result<(), Refused> {
        if !self.is(row) {
            let over = self.row.step == Step::Cancelled || self.stage == Stage::Done;
            return if over { Ok(()) } else { Err(Refused::Another) };
        }
        // Danger: the target has writes that the source never saw. Back behind the switch they would be lost.
        let back = row.step < Step::Switched || row.step == Step::Cancelled;
        if self.stage >= Stage::Switched && back {
            return Err(Refused::Back);
        }
        // Danger: the fence moves to later while another router has begun to copy behind the old one.
        let fence = |row: &Row| row.fence_at.filter(|_| row.step != Step::Cancelled);
        let later = fence(row) > fence(&self.row) || fence(row).is_none() && row.step != Step::Cancelled;
        if self.stage >= Stage::Fenced && later && row.groups.is_some() && self.row.step != Step::Cancelled {
            return Err(Refused::Fence);
        }
        Ok(())
    }

    /// Takes what was accepted, of the same move.
    pub fn take(&mut self, now: Timestamp, row: Row) {
        if row.target_host != self.row.target_host {
            // Till the target's hosts are named anew.
            self.floor_of = None;
        }
        self.row = row;
        if self.row.step == Step::Cancelled {
            self.stage = Stage::Open;
        }
        self.tick(now);
    }

    /// Goes on as far as all that a stage demands is given; tells what is missing for the next.
    pub fn tick(&mut self, now: Timestamp) -> Option<Stuck> {
        self.forget(now);
        loop {
            self.stage = match self.stage {
                _ if self.row.step == Step::Cancelled => return None,
                Stage::Open => {
                    // By the earliest clock.
                    let announced = self.row.fence_at.is_some_and(|at| now >= at - self.terms.skew);
                    let told = self.row.step >= Step::Fenced;
                    if !(announced || told && (self.row.groups.is_none() || self.row.fence_at.is_none())) {
                        return None;
                    }
                    Stage::Fenced
                }
                Stage::Fenced if self.out > 0 => return Some(Stuck::Out(self.out)),
                Stage::Fenced => Stage::Drained,
                Stage::Drained => match self.switch_lacks(now) {
                    Some(stuck) => return Some(stuck),
                    None => Stage::Switched,
                },
                Stage::Switched if self.row.step < Step::Done => return Some(Stuck::File),
                Stage::Switched if self.remembers(now) => return Some(Stuck::Memory),
                Stage::Switched => Stage::Done,
                Stage::Done => return None,
            };
        }
    }

    /// No write that was let through to the source has an effect later than this.
    fn settled_at(&self) -> Option<Timestamp> {
        self.row.fence_at.map(|at| at + self.terms.settle + self.terms.skew)
    }

    fn switch_lacks(&self, now: Timestamp) -> Option<Stuck> {
        if self.row.step < Step::Switched {
            return Some(Stuck::File);
        }
        // One group: there is no copy, and nothing that could be lost.
        self.row.groups?;
        let told =
            self.settled_at().zip(self.row.switch_at).zip(self.row.copied_through.zip(self.row.target_floor));
        let Some(((settled, switch), (copied, floor))) = told else { return Some(Stuck::File) };
        // Danger: a copy that ended before the last write that a client may hold an ack for, here or at another
        // router.
        let needed = settled.max(self.last_acked.unwrap_or(settled));
        if needed > copied {
            return Some(Stuck::Copy { needed, copied });
        }
        if now < switch {
            return Some(Stuck::Early(switch));
        }
        // Danger: the target's primary dies before the switch, and with it its newest records, the copy's among them.
        // Positions of the one that takes over run on, and say nothing of that. So it has to be the host that the
        // copy was confirmed by.
        if self.floor_of.is_none() || self.lead != self.floor_of {
            return Some(Stuck::Lead);
        }
        // Danger: the target's primary dies right after the switch, and a host without the newest records takes
        // over. Most of its hosts have to hold the copy, as this router has learnt itself.
        let hold = self.positions.iter().filter(|(_, position)| *position >= floor).count();
        let hosts = self.positions.len();
        (hold * 2 <= hosts || hosts == 0).then_some(Stuck::Target { hold, hosts })
    }

    /// Whether the source may remember a token of a write that was first sent there before the fence.
    fn remembers(&self, now: Timestamp) -> bool {
        self.row.fence_at.is_some_and(|at| now < at + self.row.memory + self.terms.skew)
    }

    /// The hosts of the target with their names, and what is known of their positions; a host that is not known has
    /// none.
    pub fn target(&mut self, hosts: &[(HostId, &str)]) {
        let named = |(_, name): &&(HostId, &str)| self.row.target_host.as_deref() == Some(*name);
        self.floor_of = hosts.iter().find(named).map(|(host, _)| *host);
        let old = std::mem::take(&mut self.positions);
        let known =
            |host: HostId| old.iter().find(|(other, _)| *other == host).map(|(_, position)| *position);
        self.positions = hosts.iter().map(|&(host, _)| (host, known(host).unwrap_or_default())).collect();
    }

    /// A host said where it is, and whether it is the primary. Danger: after a failover of the target its newest
    /// records are lost, and positions go back; the last word counts here, not the highest.
    pub fn learnt(&mut self, host: HostId, position: Timestamp, primary: bool) {
        let Some(known) = self.positions.iter_mut().find(|(other, _)| *other == host) else { return };
        known.1 = position;
        match self.lead {
            _ if primary => self.lead = Some(host),
            Some(lead) if lead == host => self.lead = None,
            _ => {}
        }
    }

    /// Danger: tokens without end. One that is dropped too early is not known any more, and its marked repeat is
    /// answered with an error, not sent.
    fn forget(&mut self, now: Timestamp) {
        while let Some(&(at, token)) = self.order.front() {
            let old = at + self.row.memory * 2.0 + self.terms.settle < now;
            if self.order.len() <= TOKENS && !old {
                return;
            }
            self.order.pop_front();
            self.tokens.remove(&token);
        }
    }

    /// Where an op of the tenant may go now. A write that goes to the source is followed by `sent`.
    pub fn place(&mut self, now: Timestamp, op: Wanted) -> Where {
        self.tick(now);
        let switched = self.stage >= Stage::Switched;
        if op.need != Consistency::Write {
            // Danger: others have switched, and what they write the source never sees.
            let due =
                self.row.switch_at.filter(|_| self.row.groups.is_some() && self.row.step != Step::Cancelled);
            let late = due.is_some_and(|at| now >= at - self.terms.skew) && op.need != Consistency::Any;
            return match switched {
                true => Where::Target(self.row.target_floor),
                false if late && self.stage >= Stage::Fenced => self.wait(now, op.due),
                false => Where::Source,
            };
        }
        // Danger: sessions roam. What never ran by way of this router may have by another's.
        let known = op.token.and_then(|token| self.tokens.get(&token).copied());
        let known = known.filter(|noted| noted.ran != Ran::Never);
        let remembered = |noted: &Noted| now + self.terms.skew < noted.first_at + self.row.memory;
        match self.stage {
            // Danger: a client that waits for longer than any op type, whose write ends behind the copy.
            Stage::Open if self.row.step != Step::Cancelled && !self.settles(op.due) => {
                self.wait(now, op.due)
            }
            Stage::Open => Where::Source,
            Stage::Fenced | Stage::Drained if self.row.groups.is_none() => self.wait(now, op.due),
            Stage::Fenced | Stage::Drained => match known {
                Some(noted) if noted.ran == Ran::Acked && remembered(&noted) => Where::Source,
                // What may have run is settled by its repeat, as long as the copy goes on.
                Some(noted) if remembered(&noted) && self.settles(op.due) => Where::Source,
                Some(_) => Where::Unsure,
                None if op.token.is_some() && op.again && self.settles(op.due) => Where::Source,
                None if op.token.is_some() && op.again && self.remembers(now) => Where::Unsure,
                _ => self.wait(now, op.due),
            },
            // The group stays: the same hosts hold the token wherever the repeat goes.
            Stage::Switched | Stage::Done if self.row.groups.is_none() => Where::Target(None),
            Stage::Switched | Stage::Done => match known {
                Some(noted) if noted.ran == Ran::Acked && remembered(&noted) => Where::Source,
                // Danger: a repeat at the source that did not run there would run now, behind the copy; at the target
                // it would run a second time. It may have run, and that is all that can be said.
                Some(_) => Where::Unsure,
                None if op.token.is_none() || !self.remembers(now) => Where::Target(None),
                // Danger: sessions roam, and this router may have started anew: a repeat of what it never saw.
                None if op.again => Where::Unsure,
                None if !self.terms.marks => {
                    let at = self.row.fence_at.unwrap_or(now) + self.row.memory + self.terms.skew;
                    Where::Busy(at - now)
                }
                _ => Where::Target(None),
            },
        }
    }

    /// Whether a write that ends by then has its effect before the copy's end.
    fn settles(&self, due: Timestamp) -> bool {
        self.settled_at().is_none_or(|settled| due + self.terms.skew <= settled)
    }

    fn wait(&self, now: Timestamp, due: Timestamp) -> Where {
        // Danger: the fence holds a rush of writes until they are all given up at their deadlines. What cannot be
        // answered in time is given up at once, with when to come back.
        let half = now + (due - now) * 0.5;
        let soon = (self.row.memory * 0.25).max(TimeDelta::from_millis(50));
        match self.row.switch_at {
            Some(at) if now < at && at <= half => Where::Hold(half),
            Some(at) if now < at => Where::Busy(at - now),
            _ => Where::Busy(soon),
        }
    }

    pub fn hold(&mut self) {
        self.held += 1;
    }

    pub fn unhold(&mut self) {
        self.held = self.held.saturating_sub(1);
    }

    /// A write was let through to the source.
    pub fn sent(&mut self, now: Timestamp, token: Option<u64>) {
        self.out += 1;
        if self.stage == Stage::Drained {
            self.stage = Stage::Fenced;
        }
        if let Some(token) = token {
            let order = &mut self.order;
            let noted = self.tokens.entry(token).or_insert_with(|| {
                order.push_back((now, token));
                Noted { first_at: now, ran: Ran::Never }
            });
            if noted.ran == Ran::Never {
                (noted.first_at, noted.ran) = (now, Ran::Out);
            }
            self.forget(now);
        }
    }

    /// A write at the source ended: what became of it, and at which position it was acked.
    pub fn ended(&mut self, now: Timestamp, token: Option<u64>, ran: Ran, position: Option<Timestamp>) {
        self.out = self.out.saturating_sub(1);
        let noted = token.and_then(|token| self.tokens.get_mut(&token));
        let before = noted.as_ref().map(|noted| noted.ran);
        if let Some(noted) = noted {
            // Never is never only if no other send of it may have run.
            noted.ran = if noted.ran == Ran::Out { ran } else { noted.ran.max(ran) };
        }
        // A repeat of what was acked already is acked anew without a new record.
        if ran == Ran::Acked && before != Some(Ran::Acked) {
            self.last_acked = self.last_acked.max(Some(position.unwrap_or(now)));
        }
        self.tick(now);
    }
}
