//! Questions that control has for hosts and that this router asks: primaries that are replaced are told to yield, and
//! hosts that control does not reach are asked in its place.

use arrowyard_messages::{Host, HostRow, RelayedAnswer, RelayedQuestion, Word, Yielded, said};
use arrowyard_protocol::{OWN, Observed};
use arrowyard_runtime::{Conn, Orders};
use arrowyard_types::{HostId, TimeDelta, Timestamp};

use super::hosts::ORPHAN;
use super::{Alarm, RouterPlane};
use crate::link::{Answered, ExpectedReply, HostQuestion, Stage};

/// Control waits so long for the answer to a relayed question. Safety: one that is sent later could reach the host after
/// control has asked for the opposite.
const RELAY_TIMEOUT: TimeDelta = TimeDelta::from_millis(300);

impl RouterPlane {
    /// A primary that is replaced is told to yield.
    pub(super) fn tell_to_yield(&mut self, now: Timestamp, host: HostId, term: u64, orders: &mut Orders) {
        log::info!("hosts: {} is replaced and told to yield to term {term}.", self.module.host(host).host.id);
        self.ask_aside(now, host, HostQuestion::Yield(term), orders);
    }

    /// Asks a host what control cannot ask it.
    pub(super) fn relay_question(&mut self, now: Timestamp, question: RelayedQuestion, orders: &mut Orders) {
        match self.module.id_of(&question.host) {
            Some(host) => {
                let question = HostQuestion::Relayed(question, now + RELAY_TIMEOUT);
                self.ask_aside(now, host, question, orders);
            }
            None => self.answer_relayed(&question, None, orders),
        }
    }

    /// Asks on a connection that rests, or on one more than the share: all others may wait for a host that answers
    /// nothing else.
    fn ask_aside(&mut self, now: Timestamp, host: HostId, question: HostQuestion, orders: &mut Orders) {
        let idle = self.take_idle(host);
        let conn = idle.unwrap_or_else(|| self.dial(now, host, orders));
        if let Some(link) = self.link(conn) {
            link.aside = Some(question);
        }
        if idle.is_some() {
            self.send_aside(now, conn, orders);
        }
    }

    /// Sends the question that a connection was taken for.
    pub(super) fn send_aside(&mut self, now: Timestamp, conn: Conn, orders: &mut Orders) {
        let Some(link) = self.link(conn) else { return };
        let is_late = matches!(&link.aside, Some(HostQuestion::Relayed(_, until)) if now > *until);
        let words = link.aside.as_ref().filter(|_| !is_late).and_then(HostQuestion::words);
        let Some(words) = words else {
            self.aside_failed(conn, orders);
            return self.rest(now, conn, orders);
        };
        link.shift(now, Stage::Orphan);
        link.expect.push_back(ExpectedReply::Aside);
        orders.line(conn, &["QUERY ", OWN, " ", &words]);
        self.timers.set(now + ORPHAN, Alarm::HostConnection(conn));
    }

    /// The host has answered.
    pub(super) fn aside_answered(
        &mut self,
        conn: Conn,
        host: HostId,
        answer: &Answered,
        orders: &mut Orders,
    ) {
        let question = self.link(conn).and_then(|link| link.aside.take());
        match question {
            Some(HostQuestion::Yield(_)) if answer.fault.is_none() => self.say_yielded(host, orders),
            Some(HostQuestion::Relayed(question, _)) => {
                self.answer_relayed(&question, host_row(answer), orders);
            }
            _ => {}
        }
    }

    /// The connection is no more, or the question was not sent.
    pub(super) fn aside_failed(&mut self, conn: Conn, orders: &mut Orders) {
        let question = self.link(conn).and_then(|link| link.aside.take());
        self.aside_lost(question, orders);
    }

    /// Control is told at once of a question that nobody will answer.
    pub(super) fn aside_lost(&mut self, question: Option<HostQuestion>, orders: &mut Orders) {
        if let Some(HostQuestion::Relayed(question, _)) = question {
            self.answer_relayed(&question, None, orders);
        }
    }

    fn answer_relayed(&self, question: &RelayedQuestion, row: Option<HostRow>, orders: &mut Orders) {
        let answer = RelayedAnswer { asked_by: question.asked_by, number: question.number, row };
        self.say_to_control(Word::RelayedAnswer(answer), orders);
    }

    /// Control hears that an old primary leads no more.
    fn say_yielded(&self, host: HostId, orders: &mut Orders) {
        let Host { service, id, .. } = self.module.host(host).host.clone();
        self.say_to_control(Word::Yielded(Yielded { service, host: id }), orders);
    }

    fn say_to_control(&self, word: Word, orders: &mut Orders) {
        if let Some(conn) = self.feed.open_conn() {
            orders.write(conn, &[&said(word)]);
        }
    }
}

/// The row of an answer to a host question.
fn host_row(answer: &Answered) -> Option<HostRow> {
    let row = answer.observed().filter(|_| answer.fault.is_none())?;
    let Observed { primary, term, received } = row;
    Some(HostRow { primary, term, received_term: received.term, received_number: received.number })
}
