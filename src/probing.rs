//! Who is asked where it is, and who else hears of it.

use arrowyard_types::*;

use crate::logic::{Hosts, REST};
use crate::post::{HostNote, Post, news_of};
use crate::state::{Desk, Op};

/// How long a read waits for one replica's position, as a share of the least latency target.
pub const PATIENCE: f64 = 0.1;
/// A position is asked for again after this share of the least bound.
const PROBE_GAP: f64 = 0.125;
/// A router tells news at most once in so many connect time-outs for each router.
const TELL_GAP: f64 = 0.04;

impl Desk {
    /// Whether any of them was asked.
    pub fn probe(&self, hosts: &[HostId], spread: bool, post: &mut Post) -> bool {
        let allowed = self.charter.flag("probes") && self.charter.text("reports") != "none";
        let able = |host: &HostId| allowed && self.face(*host).open && !self.face(*host).probing;
        let asked: Hosts = hosts.iter().copied().filter(able).collect();
        asked.iter().for_each(|&host| post.hosts.put(host, HostNote::Probe(spread)));
        !asked.is_empty()
    }

    /// Asks one more replica for its position; whether the read should wait for what comes back.
    pub fn ask(&self, op: &Op, replicas: &[HostId], post: &mut Post) -> bool {
        if !matches!(self.op_type(op).consistency, Consistency::Bounded(_) | Consistency::Session) {
            return false;
        }
        let patience = self.least_target * PATIENCE;
        let awaited =
            |host: &HostId| self.face(*host).probing && self.now - self.face(*host).probed_at < patience;
        if replicas.iter().any(awaited) {
            return true;
        }
        let due = |host: &HostId| {
            let face = self.face(*host);
            // A copy far behind cannot be back within the bound before it has applied what it lacks.
            let gap =
                ((face.behind - self.bound) * 0.5).min(self.charter.time_delta("connect_timeout") * REST);
            let rested = self.now - face.probed_at >= gap.max(self.bound * PROBE_GAP);
            face.sound() && self.bears(*host, 1.0) && !face.probing && face.probed_at < op.arrived && rested
        };
        // Danger: routers that all ask the same one first send it all their reads. So ties fall at random.
        let due: Hosts = replicas.iter().copied().filter(due).collect();
        let key = |host: HostId| (self.face(host).lost, !self.connected(host), self.face(host).unfinished);
        let least = due.iter().map(|&host| key(host)).min();
        let ties: Hosts = due.into_iter().filter(|&host| Some(key(host)) == least).collect();
        let next = (!ties.is_empty()).then(|| self.draw(&ties));
        self.probe(next.as_slice(), self.charter.flag("peers"), post)
    }

    /// Danger: probes fail, or cost too much where routers are many. What a read had to ask for, the others
    /// need not ask again. A router tells so seldom that all together never flood each other.
    pub fn tell(&mut self, host: HostId, word: &HostStatus, post: &mut Post) {
        let gap =
            self.charter.time_delta("connect_timeout") * (TELL_GAP * self.charter.number_or("routers", 1.0));
        let face = *self.face(host);
        if face.spread && word.position > Some(face.position) && self.now - self.told_at >= gap {
            self.told_at = self.now;
            post.actions.push(Action::SendPeerMessage { to: None, bytes: news_of(face.tag, word) });
        }
    }
}
