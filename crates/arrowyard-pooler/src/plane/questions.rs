//! Questions that control has for hosts and that this router asks: primaries that are replaced are told to yield, and
//! hosts that control does not reach are asked in its place.

use arrowyard_messages::{
    Demotion, Host, HostStatus, Payload, RelayedRequest, RelayedResponse, encode_payload,
};
use arrowyard_protocol::{INTERNAL_STATEMENT_ID, Observed};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{HostId, TimeDelta, Timestamp};

use super::hosts::ORPHAN;
use super::{Alarm, RouterPlane};
use crate::link::{Answered, ExpectedReply, HostQuestion, Stage};

/// Control waits so long for the answer to a relayed question. Safety: one that is sent later could reach the host after
/// control has asked for the opposite.
const RELAY_TIMEOUT: TimeDelta = TimeDelta::from_millis(300);

impl RouterPlane {
    /// A primary that is replaced is told to yield.
    pub(super) fn tell_to_yield(&mut self, now: Timestamp, host: HostId, term: u64, commands: &mut Commands) {
        log::info!("hosts: {} is replaced and told to yield to term {term}.", self.module.host(host).host.id);
        self.ask_aside(now, host, HostQuestion::Yield(term), commands);
    }

    /// Asks a host what control cannot ask it.
    pub(super) fn relay_question(
        &mut self,
        now: Timestamp,
        question: RelayedRequest,
        commands: &mut Commands,
    ) {
        match self.module.id_of(&question.host) {
            Some(host) => {
                let question = HostQuestion::Relayed(question, now + RELAY_TIMEOUT);
                self.ask_aside(now, host, question, commands);
            }
            None => self.answer_relayed(&question, None, commands),
        }
    }

    /// Asks on a connection that rests, or on one more than the share: all others may wait for a host that answers
    /// nothing else.
    fn ask_aside(&mut self, now: Timestamp, host: HostId, question: HostQuestion, commands: &mut Commands) {
        let idle = self.take_idle(host);
        let conn = idle.unwrap_or_else(|| self.dial(now, host, commands));
        if let Some(link) = self.link(conn) {
            link.aside = Some(question);
        }
        if idle.is_some() {
            self.send_aside(now, conn, commands);
        }
    }

    /// Sends the question that a connection was taken for.
    pub(super) fn send_aside(&mut self, now: Timestamp, conn: Conn, commands: &mut Commands) {
        let Some(link) = self.link(conn) else { return };
        let is_late = matches!(&link.aside, Some(HostQuestion::Relayed(_, until)) if now > *until);
        let words = link.aside.as_ref().filter(|_| !is_late).and_then(HostQuestion::words);
        let Some(words) = words else {
            self.aside_failed(conn, commands);
            return self.rest(now, conn, commands);
        };
        link.shift(now, Stage::Orphan);
        link.expect.push_back(ExpectedReply::Aside);
        commands.write_line(conn, &["QUERY ", INTERNAL_STATEMENT_ID, " ", &words]);
        self.timers.set(now + ORPHAN, Alarm::HostConnection(conn));
    }

    /// The host has answered.
    pub(super) fn aside_answered(
        &mut self,
        conn: Conn,
        host: HostId,
        answer: &Answered,
        commands: &mut Commands,
    ) {
        let question = self.link(conn).and_then(|link| link.aside.take());
        match question {
            Some(HostQuestion::Yield(_)) if answer.fault.is_none() => self.say_yielded(host, commands),
            Some(HostQuestion::Relayed(question, _)) => {
                self.answer_relayed(&question, host_row(answer), commands);
            }
            _ => {}
        }
    }

    /// The connection is no more, or the question was not sent.
    pub(super) fn aside_failed(&mut self, conn: Conn, commands: &mut Commands) {
        let question = self.link(conn).and_then(|link| link.aside.take());
        self.aside_lost(question, commands);
    }

    /// Control is told at once of a question that nobody will answer.
    pub(super) fn aside_lost(&mut self, question: Option<HostQuestion>, commands: &mut Commands) {
        if let Some(HostQuestion::Relayed(question, _)) = question {
            self.answer_relayed(&question, None, commands);
        }
    }

    fn answer_relayed(&self, question: &RelayedRequest, row: Option<HostStatus>, commands: &mut Commands) {
        let answer = RelayedResponse { asked_by: question.asked_by, number: question.number, row };
        self.say_to_control(Payload::RelayedResponse(answer), commands);
    }

    /// Control hears that an old primary leads no more.
    fn say_yielded(&self, host: HostId, commands: &mut Commands) {
        let Host { service, id, .. } = self.module.host(host).host.clone();
        self.say_to_control(Payload::Demotion(Demotion { service, host: id }), commands);
    }

    fn say_to_control(&self, word: Payload, commands: &mut Commands) {
        if let Some(conn) = self.feed.open_conn() {
            commands.write(conn, &[&encode_payload(word)]);
        }
    }
}

/// The row of an answer to a host question.
fn host_row(answer: &Answered) -> Option<HostStatus> {
    let row = answer.observed().filter(|_| answer.fault.is_none())?;
    let Observed { primary, term, received } = row;
    Some(HostStatus { primary, term, received_term: received.term, received_number: received.number })
}
