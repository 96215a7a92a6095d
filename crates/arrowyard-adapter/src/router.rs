//! One instance of the decision module, and the wire format of its events and actions.

use std::collections::HashMap;
use std::fmt::Write;

use arrowyard::Router;
use arrowyard_platform_settings::{
    micros_from_millis, name_hash, router_settings, time_delta_from_millis, timestamp_from_millis,
};
use arrowyard_types::*;
use serde_json::{Map, Value};

use crate::value::Fields;

/// The hosts in this instance's lists, numbered per instance.
#[derive(Default)]
struct Hosts {
    ids: HashMap<String, HostId>,
    addresses: Vec<String>,
}

impl Hosts {
    fn id_or_insert(&mut self, address: &str) -> HostId {
        if let Some(&id) = self.ids.get(address) {
            return id;
        }
        let id = HostId(self.addresses.len() as u32);
        self.ids.insert(address.to_string(), id);
        self.addresses.push(address.to_string());
        id
    }

    fn known_id(&self, fields: Fields, index: usize) -> Result<HostId, String> {
        let address = fields.text(index)?;
        self.ids
            .get(address)
            .copied()
            .ok_or_else(|| format!("{}: {address} is not in any host list", fields.name))
    }
}

/// A router, its hosts and its pending actions.
pub struct Instance {
    router: Router,
    hosts: Hosts,
    origin: Timestamp,
    op_type_count: usize,
    actions: Vec<Action>,
}

impl Instance {
    pub fn start(fields: Fields, now: Timestamp) -> Result<Self, String> {
        let info =
            fields.get(2).and_then(Value::as_object).ok_or_else(|| fields.type_error(2, "an object"))?;
        let origin = match info.get("domain").and_then(|domain| domain.get("origin_time")) {
            None | Some(Value::Null) => Timestamp::from_micros(0),
            Some(origin) => timestamp_from_millis(
                origin.as_f64().ok_or("PowerOn: params domain.origin_time has the wrong type")?,
            ),
        };
        let op_type_count = info.get("grades").and_then(Value::as_array).map_or(0, Vec::len);
        let mut actions = Vec::new();
        let router = Router::start(now, fields.u64(1)?, router_settings(info)?, &mut actions);
        Ok(Instance { router, hosts: Hosts::default(), origin, op_type_count, actions })
    }

    /// Parses an event; `None` for one that the module does not handle.
    pub fn parse_event(
        &mut self,
        fields: Fields,
        pools: &[Option<Vec<Value>>],
    ) -> Result<Option<RouterEvent>, String> {
        let event = match fields.name {
            "Topology" => self.parse_host_list(fields, pools)?,
            "Request" if fields.u32(2)? as usize >= self.op_type_count => {
                return Err(fields.type_error(2, "an index into grades"));
            }
            "Request" => RouterEvent::OpRequested(OpRequest {
                op: OpId(fields.u64(1)?),
                op_type: OpTypeId(fields.u32(2)?),
                tenant: fields.u32_or_none(3)?.map(TenantId),
                group: GroupId(fields.f64_or_none(4)?.unwrap_or(0.0) as i64),
                session: fields.hex_u64_or_none(6)?.map(SessionId),
                is_retry: fields.u64_or_none(5)?.unwrap_or(0) & 2 != 0,
                token_age: fields.f64_or_none(7)?.map(time_delta_from_millis),
                deadline: timestamp_from_millis(fields.f64(8)?),
                ..OpRequest::default()
            }),
            "AttemptEnd" => RouterEvent::SendEnded(SendResult {
                op: OpId(fields.u64(1)?),
                send: SendIndex(fields.u32(2)?),
                host: self.hosts.known_id(fields, 3)?,
                outcome: outcome(fields, 4)?,
                elapsed: time_delta_from_millis(fields.f64_or_none(5)?.unwrap_or(0.0)),
                op_finished: fields.bool(6)?,
                status: self.parse_host_status(fields, 7, 8)?,
            }),
            "Hangup" => RouterEvent::ClientCancelled { op: OpId(fields.u64(1)?) },
            "Bell" => RouterEvent::TimerFired { timer: TimerId(fields.u64(1)?) },
            "Sampled" => RouterEvent::ProbeEnded {
                host: self.hosts.known_id(fields, 1)?,
                outcome: outcome(fields, 2)?,
                status: self.parse_host_status(fields, usize::MAX, 4)?,
            },
            "Mail" => RouterEvent::PeerMessage { from: PeerId(fields.u32(1)?), bytes: fields.hex_bytes(2)? },
            "Begun" => return Ok(None),
            other => return Err(format!("{other}: unknown message")),
        };
        Ok(Some(event))
    }

    fn parse_host_list(
        &mut self,
        fields: Fields,
        pools: &[Option<Vec<Value>>],
    ) -> Result<RouterEvent, String> {
        let kind = match fields.text(2)? {
            "INCREMENTAL" => ListKind::Incremental,
            "FULL" => ListKind::Full,
            "SAVED" => ListKind::Saved,
            "FAILED" => return Ok(RouterEvent::ListFailed),
            _ => return Err(fields.type_error(2, "a kind of host list")),
        };
        let index = fields.u32(3)? as usize;
        let records = pools.get(index).and_then(Option::as_ref);
        let records = records.ok_or_else(|| format!("{}: no Pool has number {index}", fields.name))?;
        let entries = records.iter().map(|record| self.parse_host_entry(record)).collect::<Result<_, _>>()?;
        Ok(RouterEvent::HostList { kind, entries })
    }

    fn parse_host_entry(&mut self, record: &Value) -> Result<HostEntry, String> {
        let values = record.as_array().ok_or("Pool: an entry is not an array")?;
        let fields = Fields { name: "Pool entry", values };
        Ok(HostEntry {
            availability: match fields.text(1)? {
                "IN" => Availability::Ready,
                "LAME" => Availability::Draining,
                "OUT" => Availability::Gone,
                _ => return Err(fields.type_error(1, "a kind of availability")),
            },
            memberships: [GroupMembership {
                group: GroupId(fields.f64_or_none(2)?.unwrap_or(0.0) as i64),
                primary_only: false,
            }]
            .into(),
            host: self.hosts.id_or_insert(fields.text(3)?),
            name_hash: name_hash(fields.text(3)?),
            is_primary: fields.f64_or_none(4)? == Some(1.0),
            started_at: fields.f64_or_none(5)?.filter(|&millis| millis > 0.0).map(timestamp_from_millis),
            size: fields.f64_or_none(6)?.unwrap_or(1.0),
            zone: ZoneId(fields.u32_or_none(7)?.unwrap_or(0)),
        })
    }

    fn parse_host_status(
        &self,
        fields: Fields,
        packed_index: usize,
        report_index: usize,
    ) -> Result<HostStatus, String> {
        let mut status = HostStatus::default();
        // Role in the low two bits, position in milliseconds above them.
        if let Some(packed) = fields.u64_or_none(packed_index)? {
            status.role = [None, Some(Role::Primary), Some(Role::Replica), None][(packed % 4) as usize];
            status.position =
                (packed >= 4).then(|| self.origin + TimeDelta::from_millis((packed / 4) as i64));
        }
        if let Some(report) = fields.object_or_none(report_index)? {
            let read = |name: &str| report.get(name).and_then(Value::as_f64);
            status.position = read("x0")
                .map(|s| self.origin + TimeDelta::from_micros((s * 1e6).floor() as i64))
                .or(status.position);
            status.role =
                read("x1").map(|x| if x == 1.0 { Role::Primary } else { Role::Replica }).or(status.role);
            status.cpu_utilization = read("busy");
            status.queued_ops = read("q");
        }
        Ok(status)
    }

    pub fn handle(&mut self, now: Timestamp, event: RouterEvent) {
        self.router.handle(now, event, &mut self.actions);
    }

    /// Writes the pending actions in their order.
    pub fn write_actions(&mut self, name: &str, out: &mut String) {
        for action in self.actions.drain(..) {
            let address = |host: HostId| &self.hosts.addresses[host.0 as usize];
            let comma = if out.ends_with('[') { "" } else { "," };
            let written = match action {
                Action::Send { op, host, deadline } => {
                    let until = deadline.micros() as f64 / 1e3;
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
                Action::SetTimer { after, timer } => {
                    write!(out, r#"{comma}["WakeMe","{name}",{},{}]"#, after.micros() as f64 / 1e3, timer.0)
                }
                Action::SubscribeHostList { on } => write!(out, r#"{comma}["Follow","{name}",{on}]"#),
                Action::FetchHostList => write!(out, r#"{comma}["ListAll","{name}"]"#),
                Action::CloseIdleConnections { host } => {
                    write!(out, r#"{comma}["ShutIdle","{name}","{}"]"#, address(host))
                }
                Action::SendPeerMessage { to, bytes } => {
                    let recipient = to.map_or(Value::from("*"), |peer| Value::from(peer.0));
                    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
                    write!(out, r#"{comma}["Signal","{name}",{recipient},"{hex}"]"#)
                }
                Action::Log { text } => write!(out, r#"{comma}["Debug","{name}",{}]"#, Value::from(text)),
            };
            written.expect("writing to a String does not fail");
        }
    }
}

fn outcome(fields: Fields, index: usize) -> Result<Outcome, String> {
    Ok(match fields.u64(index)? {
        0 => Outcome::Acked,
        13 => Outcome::Errored,
        8 => Outcome::Overloaded,
        4 => Outcome::TimedOut,
        14 => Outcome::ConnectFailed,
        10 => Outcome::Reset,
        1 => Outcome::Cancelled,
        9 => Outcome::NotSent,
        5 => Outcome::Misrouted,
        _ => return Err(fields.type_error(index, "an outcome code")),
    })
}

/// The time of a batch, from its field `t` in milliseconds.
pub fn batch_time(batch: &Map<String, Value>) -> Result<Timestamp, String> {
    let millis = batch.get("t").and_then(Value::as_f64).ok_or("batch: t is not a number")?;
    Ok(Timestamp::from_micros(micros_from_millis(millis)))
}
