//! What the holder of the duty asks of hosts: one question at a time on a connection of its own.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};

use arrowyard_protocol::{FaultCode, LineDecoder, Observed, Response};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{TimeDelta, Timestamp};

use super::{Control, Line};
use crate::promotion::{HostsSnapshot, PromotionRequest, Reply, is_redundant};

/// A host that does not answer a question in so long is silent.
const ANSWER: TimeDelta = TimeDelta::from_millis(400);
/// A connection without a question is closed after so long.
const IDLE: TimeDelta = TimeDelta::from_millis(2000);

/// A connection to a host.
pub struct Link {
    conn: Option<Conn>,
    service: String,
    lines: LineDecoder,
    open: bool,
    asked: Option<(PromotionRequest, Timestamp)>,
    queue: VecDeque<PromotionRequest>,
    row: Option<Observed>,
    fault: Option<FaultCode>,
    used_at: Timestamp,
}

fn host_of(ask: &PromotionRequest) -> &str {
    match ask {
        PromotionRequest::Observe { host }
        | PromotionRequest::Pause { host, .. }
        | PromotionRequest::Continue { host }
        | PromotionRequest::Promote { host, .. } => host,
    }
}

impl Control {
    pub(super) fn ask_hosts(&mut self, now: Timestamp, asks: Vec<PromotionRequest>, commands: &mut Commands) {
        for ask in asks {
            if let PromotionRequest::Promote { service, host } = &ask {
                self.ask_platform(now, service, host, commands);
                continue;
            }
            let id = host_of(&ask).to_string();
            let Some(host) = self.cell.get(&id) else { continue };
            let service = host.service.clone();
            let link = self.links.entry(id.clone()).or_insert_with(|| Link {
                conn: None,
                service,
                lines: LineDecoder::default(),
                open: false,
                asked: None,
                queue: VecDeque::new(),
                row: None,
                fault: None,
                used_at: now,
            });
            let waiting = link.asked.iter().map(|(asked, _)| asked).chain(&link.queue);
            if is_redundant(waiting, &ask) || link.asked.is_none() && self.relays.is_relaying(&id, &ask) {
                continue;
            }
            link.queue.push_back(ask);
            self.ask_next(now, &id, commands);
        }
    }

    fn ask_next(&mut self, now: Timestamp, id: &str, commands: &mut Commands) {
        let Some(link) = self.links.get_mut(id) else { return };
        if link.asked.is_some() {
            return;
        }
        let Some(ask) = link.queue.pop_front() else { return };
        link.asked = Some((ask.clone(), now + ANSWER));
        link.used_at = now;
        (link.row, link.fault) = (None, None);
        self.relay(now, id, &ask, commands);
        let Some(link) = self.links.get_mut(id) else { return };
        match link.conn {
            Some(conn) if link.open => question(link, conn, commands),
            Some(_) => {}
            None => {
                let Some(host) = self.cell.get(id) else { return };
                let conn = commands.dial(SocketAddrV4::new(Ipv4Addr::from(host.ip), host.port as u16));
                (link.conn, link.open, link.lines) = (Some(conn), false, LineDecoder::default());
                self.lines.insert(conn, Line::Link(id.to_string()));
            }
        }
    }

    pub(super) fn link_opened(&mut self, id: String, commands: &mut Commands) {
        if let Some(link) = self.links.get(&id)
            && let Some(conn) = link.conn
        {
            commands.write_line(conn, &["OPEN ", &link.service, " control ", &id]);
        }
    }

    pub(super) fn link_came(&mut self, now: Timestamp, id: String, bytes: &[u8], commands: &mut Commands) {
        if let Some(link) = self.links.get_mut(&id) {
            link.lines.put(bytes);
        }
        while let Some(link) = self.links.get_mut(&id) {
            let Some(conn) = link.conn else { return };
            let line = match link.lines.take() {
                Ok(Some(line)) => line,
                Ok(None) => return,
                Err(_) => return self.link_fails(now, &id, commands),
            };
            match std::str::from_utf8(&line).ok().and_then(Response::parse) {
                Some(Response::Row(row)) => link.row = Observed::parse(row),
                Some(Response::Settled(_)) => {}
                Some(Response::Fault { code, .. }) if link.open => link.fault = Some(code),
                Some(Response::Idle { .. }) if !link.open => {
                    link.open = true;
                    question(link, conn, commands);
                }
                Some(Response::Idle { .. }) => {
                    let (row, fault) = (link.row.take(), link.fault.take());
                    let Some((ask, _)) = link.asked.take() else { continue };
                    let service = link.service.clone();
                    self.relays.direct_answered(&id);
                    let host = id.clone();
                    let reply = match (row, fault) {
                        (Some(row), _) => ask.row_kind().map(|kind| Reply::Row { host, kind, row }),
                        (None, Some(FaultCode::Saturated | FaultCode::Overload)) => {
                            Some(Reply::Busy { host })
                        }
                        (None, Some(_)) => Some(Reply::Silent { host }),
                        (None, None) => None,
                    };
                    log::debug!("hosts: {ask:?}: {reply:?}.");
                    reply.into_iter().for_each(|reply| self.replied(now, &service, reply, commands));
                    self.ask_next(now, &id, commands);
                }
                // A host that has no room lives.
                Some(Response::Fault { code: FaultCode::Overload | FaultCode::Saturated, .. }) => {
                    let service = link.service.clone();
                    self.drop_link(&id, commands);
                    return self.replied(now, &service, Reply::Busy { host: id }, commands);
                }
                _ => return self.link_fails(now, &id, commands),
            }
        }
    }

    pub(super) fn drop_link(&mut self, id: &str, commands: &mut Commands) {
        if let Some(conn) = self.links.remove(id).and_then(|link| link.conn) {
            commands.reset(conn);
            self.lines.remove(&conn);
        }
    }

    fn link_fails(&mut self, now: Timestamp, id: &str, commands: &mut Commands) {
        let Some(link) = self.links.get(id) else { return };
        let (service, asked) = (link.service.clone(), link.asked.is_some());
        self.drop_link(id, commands);
        if asked && !self.relays.direct_failed(id) {
            self.replied(now, &service, Reply::Silent { host: id.to_string() }, commands);
        }
    }

    pub(super) fn link_closed(&mut self, now: Timestamp, id: String, conn: Conn, commands: &mut Commands) {
        if self.links.get(&id).is_some_and(|link| link.conn == Some(conn)) {
            self.link_fails(now, &id, commands);
        }
    }

    /// A service's change of primary takes an answer.
    pub(super) fn replied(&mut self, now: Timestamp, service: &str, reply: Reply, commands: &mut Commands) {
        if self.fence.is_none() {
            return;
        }
        let mut asks = Vec::new();
        let sight = HostsSnapshot { registry: &self.cell, silent: &self.silent, departed: &self.left };
        self.promotions.get_or_create(service).handle_reply(now, reply, &sight, &mut asks);
        self.tell_replacements(false, commands);
        self.ask_hosts(now, asks, commands);
    }

    /// Questions without an answer, and connections without a question.
    pub(super) fn drop_idle(&mut self, now: Timestamp, commands: &mut Commands) {
        let late = |link: &Link| link.asked.as_ref().is_some_and(|(_, until)| *until <= now);
        let silent: Vec<String> =
            self.links.iter().filter(|(_, link)| late(link)).map(|(id, _)| id.clone()).collect();
        silent.iter().for_each(|id| self.link_fails(now, id, commands));
        let rests = |link: &Link| link.asked.is_none() && now - link.used_at >= IDLE;
        let idle: Vec<String> =
            self.links.iter().filter(|(_, link)| rests(link)).map(|(id, _)| id.clone()).collect();
        for id in idle {
            if let Some(conn) = self.links.remove(&id).and_then(|link| link.conn) {
                commands.write_line(conn, &["CLOSE"]);
                commands.close(conn);
                self.lines.remove(&conn);
            }
        }
        self.expire_relays(now, commands);
        self.drop_late_calls(now, commands);
    }

    pub(super) fn links_due(&self) -> Option<Timestamp> {
        let links = self.links.values().filter_map(|link| link.asked.as_ref().map(|(_, until)| *until));
        links.chain(self.relays.due()).min()
    }
}

fn question(link: &Link, conn: Conn, commands: &mut Commands) {
    match &link.asked {
        Some((PromotionRequest::Observe { .. }, _)) => commands.write_line(conn, &["QUERY - OBSERVE"]),
        Some((PromotionRequest::Pause { term, .. }, _)) => {
            commands.write_line(conn, &["QUERY - PAUSE ", &term.to_string()])
        }
        Some((PromotionRequest::Continue { .. }, _)) => commands.write_line(conn, &["QUERY - CONTINUE"]),
        Some((PromotionRequest::Promote { .. }, _)) | None => {}
    }
}
