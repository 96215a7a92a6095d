//! Requests of the duty holder to hosts, one at a time on a dedicated connection per host.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};

use arrowyard_messages::Phase;
use arrowyard_protocol::{FaultCode, LineDecoder, Observed, Response};
use arrowyard_runtime::{Commands, Conn};
use arrowyard_types::{TimeDelta, Timestamp};

use super::{Connection, Control};
use crate::promotion::{HostsSnapshot, PromotionRequest, Reply, is_redundant};

/// A host that does not respond in this time counts as silent.
const RESPONSE_TIMEOUT: TimeDelta = TimeDelta::from_millis(400);
/// A connection without requests is closed after this long.
const IDLE_TIMEOUT: TimeDelta = TimeDelta::from_millis(2000);

/// Connection to a host and its queued requests.
pub struct HostConnection {
    conn: Option<Conn>,
    service: String,
    lines: LineDecoder,
    is_open: bool,
    in_flight: Option<(PromotionRequest, Timestamp)>,
    queue: VecDeque<PromotionRequest>,
    row: Option<Observed>,
    fault: Option<FaultCode>,
    used_at: Timestamp,
}

fn host_of(request: &PromotionRequest) -> &str {
    match request {
        PromotionRequest::Observe { host }
        | PromotionRequest::Pause { host, .. }
        | PromotionRequest::Continue { host, .. }
        | PromotionRequest::Promote { host, .. } => host,
    }
}

impl Control {
    pub(super) fn send_host_requests(
        &mut self,
        now: Timestamp,
        requests: Vec<PromotionRequest>,
        commands: &mut Commands,
    ) {
        for request in requests {
            if let PromotionRequest::Promote { service, host } = &request {
                self.request_promotion(now, service, host, commands);
                continue;
            }
            let id = host_of(&request).to_string();
            let Some(host) = self.registry.get(&id) else { continue };
            let service = host.service.clone();
            let connection = self.host_connections.entry(id.clone()).or_insert_with(|| HostConnection {
                conn: None,
                service,
                lines: LineDecoder::default(),
                is_open: false,
                in_flight: None,
                queue: VecDeque::new(),
                row: None,
                fault: None,
                used_at: now,
            });
            let waiting =
                connection.in_flight.iter().map(|(in_flight, _)| in_flight).chain(&connection.queue);
            if is_redundant(waiting, &request)
                || connection.in_flight.is_none() && self.relays.is_relaying(&id, &request)
            {
                continue;
            }
            connection.queue.push_back(request);
            self.send_next_request(now, &id, commands);
        }
    }

    fn send_next_request(&mut self, now: Timestamp, id: &str, commands: &mut Commands) {
        let Some(connection) = self.host_connections.get_mut(id) else { return };
        if connection.in_flight.is_some() {
            return;
        }
        let Some(request) = connection.queue.pop_front() else { return };
        connection.in_flight = Some((request.clone(), now + RESPONSE_TIMEOUT));
        connection.used_at = now;
        (connection.row, connection.fault) = (None, None);
        self.relay(now, id, &request, commands);
        let Some(connection) = self.host_connections.get_mut(id) else { return };
        match connection.conn {
            Some(conn) if connection.is_open => write_request(connection, conn, commands),
            Some(_) => {}
            None => {
                let Some(host) = self.registry.get(id) else { return };
                let conn = commands.dial(SocketAddrV4::new(Ipv4Addr::from(host.ip), host.port as u16));
                (connection.conn, connection.is_open, connection.lines) =
                    (Some(conn), false, LineDecoder::default());
                self.connections.insert(conn, Connection::Host(id.to_string()));
            }
        }
    }

    pub(super) fn on_host_connected(&mut self, id: String, commands: &mut Commands) {
        if let Some(connection) = self.host_connections.get(&id)
            && let Some(conn) = connection.conn
        {
            commands.write_line(conn, &["OPEN ", &connection.service, " control ", &id]);
        }
    }

    pub(super) fn on_host_data(&mut self, now: Timestamp, id: String, bytes: &[u8], commands: &mut Commands) {
        if let Some(connection) = self.host_connections.get_mut(&id) {
            connection.lines.put(bytes);
        }
        while let Some(connection) = self.host_connections.get_mut(&id) {
            let Some(conn) = connection.conn else { return };
            let line = match connection.lines.take() {
                Ok(Some(line)) => line,
                Ok(None) => return,
                Err(_) => return self.host_connection_failed(now, &id, commands),
            };
            match std::str::from_utf8(&line).ok().and_then(Response::parse) {
                Some(Response::Row(row)) => connection.row = Observed::parse(row),
                Some(Response::Settled(_)) => {}
                Some(Response::Fault { code, .. }) if connection.is_open => connection.fault = Some(code),
                Some(Response::Idle { .. }) if !connection.is_open => {
                    connection.is_open = true;
                    write_request(connection, conn, commands);
                }
                Some(Response::Idle { .. }) => {
                    let (row, fault) = (connection.row.take(), connection.fault.take());
                    let Some((request, _)) = connection.in_flight.take() else { continue };
                    let service = connection.service.clone();
                    self.relays.direct_answered(&id);
                    let host = id.clone();
                    let reply = match (row, fault) {
                        (Some(row), _) => request.request_kind().map(|kind| Reply::Row { host, kind, row }),
                        (None, Some(FaultCode::Saturated | FaultCode::Overload)) => {
                            Some(Reply::Busy { host })
                        }
                        (None, Some(_)) => Some(Reply::NoResponse { host }),
                        (None, None) => None,
                    };
                    log::debug!("hosts: reply to {request:?}: {reply:?}");
                    reply
                        .into_iter()
                        .for_each(|reply| self.promotion_replied(now, &service, reply, commands));
                    self.send_next_request(now, &id, commands);
                }
                Some(Response::Fault { code: FaultCode::Misrouted, .. }) if !connection.is_open => {
                    return self.host_misrouted(now, &id, commands);
                }
                // A host that reports overload is alive.
                Some(Response::Fault { code: FaultCode::Overload | FaultCode::Saturated, .. }) => {
                    let service = connection.service.clone();
                    self.drop_host_connection(&id, commands);
                    return self.promotion_replied(now, &service, Reply::Busy { host: id }, commands);
                }
                _ => return self.host_connection_failed(now, &id, commands),
            }
        }
    }

    /// Another host answers at the address of this one, which therefore does not run any more. Once the other
    /// one is known, this one counts as departed: its log is with the other one, or lost.
    fn host_misrouted(&mut self, now: Timestamp, id: &str, commands: &mut Commands) {
        if let Some(replaced) = self.registry.get(id).cloned()
            && replaced.phase() != Phase::Gone
            && let Some(successor) = self.registry.other_at_address(&replaced)
        {
            log::info!("hosts: {id} has departed: {} runs at its address", successor.id);
            self.record_departure(now, replaced, commands);
        }
        self.host_connection_failed(now, id, commands);
    }

    pub(super) fn drop_host_connection(&mut self, id: &str, commands: &mut Commands) {
        if let Some(conn) = self.host_connections.remove(id).and_then(|connection| connection.conn) {
            commands.reset(conn);
            self.connections.remove(&conn);
        }
    }

    fn host_connection_failed(&mut self, now: Timestamp, id: &str, commands: &mut Commands) {
        let Some(connection) = self.host_connections.get(id) else { return };
        let (service, in_flight) = (connection.service.clone(), connection.in_flight.is_some());
        self.drop_host_connection(id, commands);
        if in_flight && !self.relays.direct_failed(id) {
            self.promotion_replied(now, &service, Reply::NoResponse { host: id.to_string() }, commands);
        }
    }

    pub(super) fn on_host_closed(&mut self, now: Timestamp, id: String, conn: Conn, commands: &mut Commands) {
        if self.host_connections.get(&id).is_some_and(|connection| connection.conn == Some(conn)) {
            self.host_connection_failed(now, &id, commands);
        }
    }

    /// Passes a reply to the promotion of its service and sends the resulting requests.
    pub(super) fn promotion_replied(
        &mut self,
        now: Timestamp,
        service: &str,
        reply: Reply,
        commands: &mut Commands,
    ) {
        if self.fence.is_none() {
            return;
        }
        let mut requests = Vec::new();
        let routers_informed = self.are_routers_informed(now, service);
        let hosts = HostsSnapshot { registry: &self.registry, silent: self.silences.since() };
        let promotion = self.promotions.get_or_create(service);
        promotion.set_routers_informed(routers_informed);
        promotion.handle_reply(now, reply, &hosts, &mut requests);
        self.publish_replacements(now, false, commands);
        self.send_host_requests(now, requests, commands);
    }

    /// Expires unanswered requests and closes idle connections.
    pub(super) fn expire_host_requests(&mut self, now: Timestamp, commands: &mut Commands) {
        let is_expired = |connection: &HostConnection| {
            connection.in_flight.as_ref().is_some_and(|(_, until)| *until <= now)
        };
        let silent: Vec<String> = self
            .host_connections
            .iter()
            .filter(|(_, connection)| is_expired(connection))
            .map(|(id, _)| id.clone())
            .collect();
        silent.iter().for_each(|id| self.host_connection_failed(now, id, commands));
        let is_idle = |connection: &HostConnection| {
            connection.in_flight.is_none() && now - connection.used_at >= IDLE_TIMEOUT
        };
        let idle: Vec<String> = self
            .host_connections
            .iter()
            .filter(|(_, connection)| is_idle(connection))
            .map(|(id, _)| id.clone())
            .collect();
        for id in idle {
            if let Some(conn) = self.host_connections.remove(&id).and_then(|connection| connection.conn) {
                commands.write_line(conn, &["CLOSE"]);
                commands.close(conn);
                self.connections.remove(&conn);
            }
        }
        self.expire_relays(now, commands);
        self.drop_late_calls(now, commands);
    }

    pub(super) fn host_requests_due(&self) -> Option<Timestamp> {
        let links = self
            .host_connections
            .values()
            .filter_map(|connection| connection.in_flight.as_ref().map(|(_, until)| *until));
        links.chain(self.relays.due()).min()
    }
}

fn write_request(connection: &HostConnection, conn: Conn, commands: &mut Commands) {
    match &connection.in_flight {
        Some((PromotionRequest::Observe { .. }, _)) => commands.write_line(conn, &["QUERY - OBSERVE"]),
        Some((PromotionRequest::Pause { term, .. }, _)) => {
            commands.write_line(conn, &["QUERY - PAUSE ", &term.to_string()])
        }
        Some((PromotionRequest::Continue { .. }, _)) => commands.write_line(conn, &["QUERY - CONTINUE"]),
        Some((PromotionRequest::Promote { .. }, _)) | None => {}
    }
}
