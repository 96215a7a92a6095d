//! How one client's connection behaves: how many calls it has open, and how many it took back before they were
//! answered. Calls of one connection never cost those of another more than their share.

use std::collections::HashMap;

use arrowyard_types::{TimeDelta, Timestamp};

/// A client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LineId(pub u64);

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Serve,
    /// The connection has too many calls open: nothing of this one runs.
    Full,
    /// It takes back too many; nothing of this one runs, and the connection is to end.
    Abuse,
}

#[derive(Clone, Copy, Debug)]
struct Line {
    open: usize,
    /// Calls that were taken back, in the slice of time that begins here and in the one before it.
    slice: Timestamp,
    now: u32,
    before: u32,
    /// When a call last came or ended.
    used: Timestamp,
}

#[derive(Debug)]
pub struct Conduct {
    /// Calls open at once, of a connection; connections at once.
    calls: usize,
    lines: usize,
    /// Calls taken back in this span at most.
    most: u32,
    span: TimeDelta,
    idle: TimeDelta,
    known: HashMap<LineId, Line>,
    next: u64,
}

impl Conduct {
    pub fn new(lines: usize, calls: usize, most: u32, span: TimeDelta, idle: TimeDelta) -> Self {
        Conduct { calls, lines, most, span, idle, known: HashMap::new(), next: 0 }
    }

    pub fn lines(&self) -> usize {
        self.known.len()
    }

    /// A connection came; nothing where there are as many as there may be.
    pub fn came(&mut self, now: Timestamp) -> Option<LineId> {
        if self.known.len() >= self.lines {
            return None;
        }
        let id = LineId(self.next);
        self.next += 1;
        self.known.insert(id, Line { open: 0, slice: now, now: 0, before: 0, used: now });
        Some(id)
    }

    pub fn left(&mut self, id: LineId) {
        self.known.remove(&id);
    }

    /// The connections that have no call open and had none for too long, or, where there is no room for more, the one
    /// that was idle for longest. Danger: connections that say nothing leave no room for those that ask.
    pub fn idlers(&self, now: Timestamp) -> Vec<LineId> {
        let idle = || self.known.iter().filter(|(_, line)| line.open == 0);
        let mut gone: Vec<LineId> =
            idle().filter(|(_, line)| now - line.used >= self.idle).map(|(id, _)| *id).collect();
        if gone.is_empty() && self.known.len() >= self.lines {
            gone.extend(idle().min_by_key(|(id, line)| (line.used, **id)).map(|(id, _)| *id));
        }
        gone.sort_unstable();
        gone
    }

    pub fn call(&mut self, now: Timestamp, id: LineId) -> Verdict {
        let (most, calls, span) = (self.most, self.calls, self.span);
        let Some(line) = self.known.get_mut(&id) else { return Verdict::Abuse };
        line.turn(now, span);
        line.used = now;
        if line.recent(now, span) > most {
            return Verdict::Abuse;
        }
        if line.open >= calls {
            return Verdict::Full;
        }
        line.open += 1;
        Verdict::Serve
    }

    /// A call ended; `taken_back` if its client left it before it was answered. Whether the connection is to end.
    pub fn ended(&mut self, now: Timestamp, id: LineId, taken_back: bool) -> bool {
        let (most, span) = (self.most, self.span);
        let Some(line) = self.known.get_mut(&id) else { return false };
        line.turn(now, span);
        line.used = now;
        line.open = line.open.saturating_sub(1);
        line.now += u32::from(taken_back);
        // Danger: calls that are opened and reset at once cost a host's work each, and none counts as open.
        line.recent(now, span) > most
    }
}

impl Line {
    fn turn(&mut self, now: Timestamp, span: TimeDelta) {
        if now - self.slice >= span {
            let next = now - self.slice < span * 2.0;
            (self.before, self.now) = (if next { self.now } else { 0 }, 0);
            self.slice = if next { self.slice + span } else { now };
        }
    }

    /// What was taken back in the span before now, as the part of the slice before that it still covers tells.
    fn recent(&self, now: Timestamp, span: TimeDelta) -> u32 {
        let past = ((now - self.slice) / span).clamp(0.0, 1.0);
        self.now + (f64::from(self.before) * (1.0 - past)) as u32
    }
}
