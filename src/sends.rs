//! The sends of one op with what is known of their execution, and the last commits of sessions.

use arrowyard_types::{HostId, Outcome, SendIndex, SessionId, Timestamp};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

#[derive(Clone, Copy, PartialEq)]
pub enum SendState {
    InFlight,
    /// Proven not to have run.
    NeverRan,
    /// Ran, or may have run, or may still run.
    MayHaveRun,
}

#[derive(Clone, Copy)]
pub struct SendRecord {
    pub host: HostId,
    pub sent_at: Timestamp,
    pub state: SendState,
}

#[derive(Default)]
pub struct Sends(SmallVec<[SendRecord; 4]>);

impl Sends {
    pub fn begin(&mut self, host: HostId, sent_at: Timestamp) {
        self.0.push(SendRecord { host, sent_at, state: SendState::InFlight });
    }

    pub fn end(&mut self, index: SendIndex, outcome: Outcome) -> Option<SendRecord> {
        let send = self.0.get_mut(index.0 as usize)?;
        send.state = if outcome.never_ran() { SendState::NeverRan } else { SendState::MayHaveRun };
        Some(*send)
    }

    pub fn last(&self) -> Option<&SendRecord> {
        self.0.last()
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn in_flight(&self) -> impl Iterator<Item = (SendIndex, &SendRecord)> {
        let all = self.0.iter().enumerate().map(|(index, send)| (SendIndex(index as u32), send));
        all.filter(|(_, send)| send.state == SendState::InFlight)
    }

    pub fn is_pending(&self) -> bool {
        self.in_flight().next().is_some()
    }

    /// The first send that may have run or may still run.
    pub fn may_have_run(&self) -> Option<&SendRecord> {
        self.0.iter().find(|send| send.state != SendState::NeverRan)
    }

    pub fn has_tried(&self, host: HostId) -> bool {
        self.0.iter().any(|send| send.host == host)
    }
}

/// The last commit of each session. Dropped sessions have no commit newer than `floor`.
#[derive(Default)]
pub struct SessionCommits {
    latest: FxHashMap<SessionId, Timestamp>,
    floor: Option<Timestamp>,
}

impl SessionCommits {
    pub fn record(&mut self, session: SessionId, commit: Timestamp, max_sessions: usize) {
        if self.latest.len() >= max_sessions {
            self.floor = self.latest.drain().map(|(_, commit)| commit).max().max(self.floor);
        }
        let last = self.latest.entry(session).or_default();
        *last = commit.max(*last);
    }

    pub fn min_position(&self, session: Option<SessionId>) -> Option<Timestamp> {
        session.and_then(|session| self.latest.get(&session).copied()).max(self.floor)
    }
}
