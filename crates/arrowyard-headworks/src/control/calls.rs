//! The calls of hosts and operators. The page of calls is `openapi/headworks.yaml`.

use std::net::SocketAddrV4;

use arrowyard_conduit::{DbRole, Entry, Host, Matter, Phase, Revised, number};
use arrowyard_gauge::{Configuration, Refusal};
use arrowyard_penstock::http::{Messages, Request, answer};
use arrowyard_penstock::{Conn, Orders};
use arrowyard_types::{Point, Span};
use sonic_rs::{JsonValueTrait, Value};

use super::{Control, Line};
use crate::applied::change;
use crate::{Answer, Ledger, Out, Ticket, sum};

/// Hosts and routers that this many calls wait for at most on one connection.
const BASE: &str = "Arrowyard-Base-Revision";
/// An operator's call is answered by then, as unclear if need be.
const CLEAR: Span = Span::from_millis(2500);

/// A caller's connection.
#[derive(Default)]
pub struct Caller {
    pub messages: Messages,
    /// A call whose answer waits for the ledger; the next one waits behind it.
    pub waits: Option<Ticket>,
    last: bool,
}

/// What waits for the ledger.
#[derive(Clone, Debug)]
pub enum Pending {
    Change {
        conn: Conn,
        revised: Revised,
        revision: u64,
    },
    /// It builds on a version that is not known here: first it is learnt what there is.
    Learn {
        conn: Conn,
        revised: Revised,
    },
    Read {
        conn: Conn,
    },
}

fn fault(text: &str) -> String {
    format!("{{\"error\":{}}}", sonic_rs::to_string(text).unwrap_or_default())
}

impl Control {
    /// Answers the calls of a connection that are whole, in their order.
    pub(super) fn calls(&mut self, now: Point, conn: Conn, orders: &mut Orders) {
        loop {
            let Some(Line::Caller(caller)) = self.lines.get_mut(&conn) else { return };
            if caller.waits.is_some() {
                return;
            }
            match caller.messages.request() {
                Ok(None) => return,
                Err(unreadable) => {
                    orders.write(conn, &[answer(unreadable.0, &fault(unreadable.1)).as_bytes()]);
                    orders.close(conn);
                    drop(self.lines.remove(&conn));
                    return;
                }
                Ok(Some(request)) => {
                    caller.last = request.last;
                    self.call(now, conn, &request, orders);
                }
            }
        }
    }

    fn reply(&mut self, conn: Conn, status: u16, body: &str, orders: &mut Orders) {
        let Some(Line::Caller(caller)) = self.lines.get_mut(&conn) else { return };
        caller.waits = None;
        orders.write(conn, &[answer(status, body).as_bytes()]);
        if caller.last {
            orders.close(conn);
            drop(self.lines.remove(&conn));
        }
    }

    fn call(&mut self, now: Point, conn: Conn, request: &Request, orders: &mut Orders) {
        let path = request.path.split('?').next().unwrap_or_default();
        if path != "/status" && !self.is_in_touch(now) {
            return self.reply(conn, 503, &fault("Cut off from the others; ask elsewhere."), orders);
        }
        let named = |prefix: &str| path.strip_prefix(prefix).filter(|id| !id.is_empty());
        match (request.method.as_str(), path) {
            ("POST", _) if named("/Instances.Beat/").is_some() => {
                let id = named("/Instances.Beat/").unwrap_or_default();
                match beat(id, &request.body) {
                    Ok(host) => self.beat(now, conn, host, orders),
                    Err(why) => self.reply(conn, 400, &fault(why), orders),
                }
            }
            ("POST", _) if named("/Instances.Leave/").is_some() => {
                let id = named("/Instances.Leave/").unwrap_or_default();
                self.leave(now, id, orders);
                self.reply(conn, 200, "{}", orders);
            }
            ("POST", "/Config.Replace" | "/Config.Adjust") => {
                let Some(base) = request.header(BASE).and_then(|base| base.parse().ok()) else {
                    return self.reply(conn, 400, &fault("Arrowyard-Base-Revision: is no number."), orders);
                };
                if self.is_founding(now) {
                    return self.reply(conn, 503, &fault("Not all seats are filled yet; ask again."), orders);
                }
                let revised = Revised { whole: path == "/Config.Replace", base, body: request.body.clone() };
                self.change(now, conn, revised, true, orders);
            }
            ("GET", "/Config.Read") => {
                let until = now + CLEAR;
                let pending = Pending::Read { conn };
                self.wish(now, conn, pending, orders, |ledger, out| ledger.read_all(now, until, out));
            }
            ("GET", "/status") => {
                let body = self.status(now);
                self.reply(conn, 200, &body, orders);
            }
            _ => self.reply(conn, 404, &fault("There is no such call."), orders),
        }
    }

    /// Wishes something of the ledger, for a caller who waits for it.
    fn wish(
        &mut self,
        now: Point,
        conn: Conn,
        pending: Pending,
        orders: &mut Orders,
        wish: impl FnOnce(&mut Ledger, &mut Vec<Out>) -> Ticket,
    ) {
        // Danger: the answer may come before the wish is made; what it is for is laid down first.
        let ticket = self.ledger.next_ticket();
        self.pending.insert(ticket, pending);
        if let Some(Line::Caller(caller)) = self.lines.get_mut(&conn) {
            caller.waits = Some(ticket);
        }
        self.with_ledger(now, orders, wish);
    }

    /// A host calls: it is known from now on, and where its own zone has a control machine, it is sent there.
    fn beat(&mut self, now: Point, conn: Conn, host: Host, orders: &mut Orders) {
        self.silent.remove(&host.id);
        let zone = host.zone.clone();
        if self.cell.called(now, host.clone()) {
            self.news_of(now, host, orders);
        }
        let near = if zone == self.settings.zone { None } else { self.peer_in(now, &zone) };
        let body = match near.and_then(|ip| self.control_of(ip)) {
            Some(target) => format!("{{\"beat-target\":\"{target}\"}}"),
            None => "{}".to_string(),
        };
        self.reply(conn, 200, &body, orders);
    }

    fn leave(&mut self, now: Point, id: &str, orders: &mut Orders) {
        self.silent.remove(id);
        if let Some(host) = self.cell.get(id).cloned().filter(|host| host.phase() != Phase::Gone) {
            let gone = Host { phase: Phase::Gone.into(), call_seq: host.call_seq + 1, ..host };
            if self.cell.called(now, gone.clone()) {
                self.news_of(now, gone, orders);
            }
        }
    }

    /// An operator's change: answered at once where that is certain, else entered in the ledger.
    fn change(&mut self, now: Point, conn: Conn, revised: Revised, first: bool, orders: &mut Orders) {
        let applied = self.ledger.applied();
        let current = applied.configuration.revision;
        let alone = if revised.whole { Configuration::default().replace(&revised.body).err() } else { None };
        if let Some(refusal) = alone.filter(|refusal| !matches!(refusal, Refusal::Old(..))) {
            return self.refuse(conn, &refusal, orders);
        }
        if let Some(revision) = revision(&revised.body)
            && applied.taken(revision) == Some(sum(&revised))
        {
            return self.reply(conn, 200, "{}", orders);
        }
        if revised.base < current || revised.base > current && !first {
            let body = fault(&format!("Revision {current} is in place."));
            return self.reply(conn, 412, &body, orders);
        }
        if revised.base > current {
            let until = now + CLEAR;
            let pending = Pending::Learn { conn, revised };
            return self.wish(now, conn, pending, orders, |ledger, out| ledger.read_all(now, until, out));
        }
        match change(&revised).apply(&applied.configuration) {
            Err(refusal) => self.refuse(conn, &refusal, orders),
            Ok(next) => {
                let (until, revision) = (now + CLEAR, next.revision);
                let entry = Entry { matter: Some(Matter::Configuration(revised.clone())) };
                let pending = Pending::Change { conn, revised, revision };
                self.wish(now, conn, pending, orders, |ledger, out| ledger.enter(now, entry, until, out));
            }
        }
    }

    fn refuse(&mut self, conn: Conn, refusal: &Refusal, orders: &mut Orders) {
        log::info!("configuration: A change is refused: {refusal}.");
        self.reply(conn, 400, &fault(&refusal.to_string()), orders);
    }

    /// The ledger answers a wish.
    pub(super) fn answered(&mut self, now: Point, wish: Ticket, answer: Answer, orders: &mut Orders) {
        // Nobody waits for a ballot of a duty: the ledger itself tells who holds it.
        let Some(pending) = self.pending.remove(&wish) else { return };
        let conn = match &pending {
            Pending::Change { conn, .. } | Pending::Learn { conn, .. } | Pending::Read { conn } => *conn,
        };
        match (pending, answer) {
            (_, Answer::Unclear) => self.reply(conn, 503, &fault("It is not clear yet; ask again."), orders),
            (_, Answer::Full) => {
                self.reply(conn, 503, &fault("Too much waits here; nothing was done."), orders)
            }
            (Pending::Change { revised, revision, .. }, _) => {
                let applied = self.ledger.applied();
                if applied.taken(revision) == Some(sum(&revised)) {
                    log::info!("configuration: Revision {revision} is in place.");
                    self.reply(conn, 200, "{}", orders);
                } else {
                    let body = fault(&format!("Revision {} is in place.", applied.configuration.revision));
                    self.reply(conn, 412, &body, orders);
                }
            }
            (Pending::Learn { revised, .. }, _) => self.change(now, conn, revised, false, orders),
            (Pending::Read { .. }, _) => {
                if self.ledger.applied().begun {
                    let body = self.ledger.applied().configuration.body();
                    self.reply(conn, 200, &body, orders);
                } else {
                    self.reply(conn, 404, &fault("There is no configuration yet."), orders);
                }
            }
        }
        // Calls that came behind it.
        self.calls(now, conn, orders);
    }
}

fn revision(body: &[u8]) -> Option<u64> {
    sonic_rs::get(body, ["revision"]).ok()?.as_u64()
}

/// Reads what a host tells of itself.
fn beat(id: &str, body: &[u8]) -> Result<Host, &'static str> {
    let document: Value = sonic_rs::from_slice(body).map_err(|_| "The body is no JSON.")?;
    let text = |field: &str| document.pointer([field]).and_then(|value| value.as_str()).map(str::to_string);
    let count = |field: &str| document.pointer([field]).and_then(|value| value.as_f64());
    let address: SocketAddrV4 =
        text("address").and_then(|address| address.parse().ok()).ok_or("address: is no address.")?;
    let phase = match text("phase").as_deref() {
        Some("draining") => Phase::Draining,
        Some("in_service") | None => Phase::InService,
        Some(_) => return Err("phase: is no phase."),
    };
    let role = if text("db-role").as_deref() == Some("primary") { DbRole::Primary } else { DbRole::Replica };
    Ok(Host {
        id: id.to_string(),
        service: text("service").filter(|service| !service.is_empty()).ok_or("service: is no text.")?,
        ip: number(*address.ip()),
        port: address.port().into(),
        zone: text("zone").unwrap_or_default(),
        capacity: count("capacity").unwrap_or(1.0).clamp(1.0, 1e6) as u32,
        phase: phase.into(),
        role: role.into(),
        call_seq: count("call-seq").unwrap_or(0.0).max(0.0) as u64,
    })
}
