//! One instance of the decision module and the names the wire has for what it handles.

use std::collections::HashMap;
use std::fmt::Write;

use arrowyard::Router;
use arrowyard_platform_settings::{manifest, micros, point, span, tag};
use arrowyard_types::*;
use serde_json::{Map, Value};

use crate::value::Fields;

/// The hosts that this instance's lists have named. Each instance numbers its own.
#[derive(Default)]
struct Hosts {
    ids: HashMap<String, HostId>,
    addresses: Vec<String>,
}

impl Hosts {
    fn id(&mut self, address: &str) -> HostId {
        if let Some(&id) = self.ids.get(address) {
            return id;
        }
        let id = HostId(self.addresses.len() as u32);
        self.ids.insert(address.to_string(), id);
        self.addresses.push(address.to_string());
        id
    }

    fn known(&self, fields: Fields, place: usize) -> Result<HostId, String> {
        let address = fields.text(place)?;
        self.ids.get(address).copied().ok_or_else(|| format!("{}: {address} was in no list", fields.name))
    }
}

pub struct Instance {
    router: Router,
    hosts: Hosts,
    zero: Timestamp,
    /// How many op types the settings named.
    op_types: usize,
    actions: Vec<Action>,
}

impl Instance {
    pub fn start(fields: Fields, now: Timestamp) -> Result<Self, String> {
        let info = fields.get(2).and_then(Value::as_object).ok_or_else(|| fields.wrong(2, "an object"))?;
        let zero = match info.get("domain").and_then(|domain| domain.get("origin_time")) {
            None | Some(Value::Null) => Timestamp::from_micros(0),
            Some(zero) => {
                point(zero.as_f64().ok_or("PowerOn: params domain.origin_time has the wrong type")?)
            }
        };
        let op_types = info.get("grades").and_then(Value::as_array).map_or(0, Vec::len);
        let mut actions = Vec::new();
        let router = Router::start(now, fields.whole(1)?, manifest(info)?, &mut actions);
        Ok(Instance { router, hosts: Hosts::default(), zero, op_types, actions })
    }

    /// Turns one event into a note; nothing for events that ask nothing of the module.
    pub fn note(
        &mut self,
        fields: Fields,
        pools: &[Option<Vec<Value>>],
    ) -> Result<Option<RouterEvent>, String> {
        let note = match fields.name {
            "Topology" => self.listed(fields, pools)?,
            "Request" if fields.small(2)? as usize >= self.op_types => {
                return Err(fields.wrong(2, "a place in grades"));
            }
            "Request" => RouterEvent::OpRequested(OpRequest {
                op: OpId(fields.whole(1)?),
                op_type: OpTypeId(fields.small(2)?),
                tenant: fields.small_or_none(3)?.map(TenantId),
                group: GroupId(fields.number_or_none(4)?.unwrap_or(0.0) as i64),
                session: fields.key_or_none(6)?.map(SessionId),
                is_retry: fields.whole_or_none(5)?.unwrap_or(0) & 2 != 0,
                token_age: fields.number_or_none(7)?.map(span),
                deadline: point(fields.number(8)?),
                ..OpRequest::default()
            }),
            "AttemptEnd" => RouterEvent::SendEnded(SendResult {
                op: OpId(fields.whole(1)?),
                send: SendIndex(fields.small(2)?),
                host: self.hosts.known(fields, 3)?,
                outcome: outcome(fields, 4)?,
                elapsed: span(fields.number_or_none(5)?.unwrap_or(0.0)),
                op_finished: fields.truth(6)?,
                status: self.word(fields, 7, 8)?,
            }),
            "Hangup" => RouterEvent::ClientCancelled { op: OpId(fields.whole(1)?) },
            "Bell" => RouterEvent::TimerFired { timer: TimerId(fields.whole(1)?) },
            "Sampled" => RouterEvent::ProbeEnded {
                host: self.hosts.known(fields, 1)?,
                outcome: outcome(fields, 2)?,
                status: self.word(fields, usize::MAX, 4)?,
            },
            "Mail" => RouterEvent::PeerMessage { from: PeerId(fields.small(1)?), bytes: fields.bytes(2)? },
            "Begun" => return Ok(None),
            other => return Err(format!("{other}: unknown message")),
        };
        Ok(Some(note))
    }

    fn listed(&mut self, fields: Fields, pools: &[Option<Vec<Value>>]) -> Result<RouterEvent, String> {
        let form = match fields.text(2)? {
            "INCREMENTAL" => ListKind::Incremental,
            "FULL" => ListKind::Full,
            "SAVED" => ListKind::Saved,
            "FAILED" => return Ok(RouterEvent::ListFailed),
            _ => return Err(fields.wrong(2, "a form of list")),
        };
        let number = fields.small(3)? as usize;
        let records = pools.get(number).and_then(Option::as_ref);
        let records = records.ok_or_else(|| format!("{}: no Pool has number {number}", fields.name))?;
        let entries = records.iter().map(|record| self.entry(record)).collect::<Result<_, _>>()?;
        Ok(RouterEvent::HostList { kind: form, entries })
    }

    fn entry(&mut self, record: &Value) -> Result<HostEntry, String> {
        let values = record.as_array().ok_or("Pool: an entry is not an array")?;
        let fields = Fields { name: "Pool entry", values };
        Ok(HostEntry {
            availability: match fields.text(1)? {
                "IN" => Availability::Ready,
                "LAME" => Availability::Draining,
                "OUT" => Availability::Gone,
                _ => return Err(fields.wrong(1, "a kind of availability")),
            },
            memberships: [GroupMembership {
                group: GroupId(fields.number_or_none(2)?.unwrap_or(0.0) as i64),
                primary_only: false,
            }]
            .into(),
            host: self.hosts.id(fields.text(3)?),
            address_hash: tag(fields.text(3)?),
            is_primary: fields.number_or_none(4)? == Some(1.0),
            started_at: fields.number_or_none(5)?.filter(|&millis| millis > 0.0).map(point),
            size: fields.number_or_none(6)?.unwrap_or(1.0),
            zone: ZoneId(fields.small_or_none(7)?.unwrap_or(0)),
        })
    }

    fn word(&self, fields: Fields, note_at: usize, report_at: usize) -> Result<HostStatus, String> {
        let mut word = HostStatus::default();
        if let Some(note) = fields.whole_or_none(note_at)? {
            word.role = [None, Some(Role::Primary), Some(Role::Replica), None][(note % 4) as usize];
            word.position = (note >= 4).then(|| self.zero + TimeDelta::from_millis((note / 4) as i64));
        }
        if let Some(report) = fields.report(report_at)? {
            let read = |name: &str| report.get(name).and_then(Value::as_f64);
            word.position = read("x0")
                .map(|s| self.zero + TimeDelta::from_micros((s * 1e6).floor() as i64))
                .or(word.position);
            word.role =
                read("x1").map(|x| if x == 1.0 { Role::Primary } else { Role::Replica }).or(word.role);
            word.cpu_utilization = read("busy");
            word.queued_ops = read("q");
        }
        Ok(word)
    }

    pub fn take(&mut self, now: Timestamp, note: RouterEvent) {
        self.router.handle(now, note, &mut self.actions);
    }

    /// Writes out what the module wants, in its order.
    pub fn speak(&mut self, name: &str, out: &mut String) {
        for action in self.actions.drain(..) {
            let address = |host: HostId| &self.hosts.addresses[host.0 as usize];
            let comma = if out.ends_with('[') { "" } else { "," };
            let written = match action {
                Action::Send { op, host, deadline: until } => {
                    let until = until.micros() as f64 / 1e3;
                    write!(out, r#"{comma}["PassOn","{name}",{},{until},"{}"]"#, op.0, address(host))
                }
                Action::Cancel { op, send } => {
                    write!(out, r#"{comma}["StopAttempt","{name}",{},{}]"#, op.0, send.0)
                }
                Action::BusyReply { op, retry_after } => {
                    let millis = retry_after.unwrap_or_default().micros() as f64 / 1e3;
                    write!(out, r#"{comma}["Shed","{name}",{},{millis}]"#, op.0)
                }
                Action::ErrorReply { op } => write!(out, r#"{comma}["EndFailed","{name}",{}]"#, op.0),
                Action::Probe { host } => write!(out, r#"{comma}["Touch","{name}","{}"]"#, address(host)),
                Action::SetTimer { after, timer: cookie } => {
                    write!(out, r#"{comma}["WakeMe","{name}",{},{}]"#, after.micros() as f64 / 1e3, cookie.0)
                }
                Action::SubscribeHostList { on } => write!(out, r#"{comma}["Follow","{name}",{on}]"#),
                Action::FetchHostList => write!(out, r#"{comma}["ListAll","{name}"]"#),
                Action::CloseIdleConnections { host } => {
                    write!(out, r#"{comma}["ShutIdle","{name}","{}"]"#, address(host))
                }
                Action::SendPeerMessage { to, bytes } => {
                    let whom = to.map_or(Value::from("*"), |peer| Value::from(peer.0));
                    let blob: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
                    write!(out, r#"{comma}["Signal","{name}",{whom},"{blob}"]"#)
                }
                Action::Log { text } => write!(out, r#"{comma}["Debug","{name}",{}]"#, Value::from(text)),
            };
            written.expect("a String takes all that is written to it");
        }
    }
}

fn outcome(fields: Fields, place: usize) -> Result<Outcome, String> {
    Ok(match fields.whole(place)? {
        0 => Outcome::Acked,
        13 => Outcome::Errored,
        8 => Outcome::Overloaded,
        4 => Outcome::TimedOut,
        14 => Outcome::ConnectFailed,
        10 => Outcome::Reset,
        1 => Outcome::Cancelled,
        9 => Outcome::NotSent,
        5 => Outcome::Misrouted,
        _ => return Err(fields.wrong(place, "an outcome code")),
    })
}

/// The clock of a batch.
pub fn clock(batch: &Map<String, Value>) -> Result<Timestamp, String> {
    let millis = batch.get("t").and_then(Value::as_f64).ok_or("batch: t is not a number")?;
    Ok(Timestamp::from_micros(micros(millis)))
}
