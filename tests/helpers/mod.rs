//! Test harness: settings, one router with a simulated clock, and its sends, probes and timers in flight.
#![allow(dead_code)] // each test file uses a part

use arrowyard::Router;
use arrowyard_types::*;

pub const LATENCY_TARGET_MS: i64 = 100;
pub const OP_TIMEOUT_MS: i64 = 400;
pub const STALENESS_BOUND_MS: i64 = 300;
pub const DEDUP_WINDOW_MS: i64 = 250;

pub const ANY: u32 = 0;
pub const BOUNDED: u32 = 1;
pub const SESSION: u32 = 2;
pub const FRESH: u32 = 3;
pub const DEDUPLICATED: u32 = 4;
pub const NON_RETRYABLE: u32 = 5;

pub const RESTARTED: RouterEvent = RouterEvent::TimerFired { timer: TimerId(u64::MAX) };

pub fn ms(millis: i64) -> TimeDelta {
    TimeDelta::from_millis(millis)
}

pub fn settings(parallel: bool, carried: bool, checks: bool) -> RouterSettings {
    let mut settings = RouterSettings::new();
    let mut put = |name: &str, value: SettingValue| settings.insert(name.to_string(), value);
    let reads = ["any", "bounded", "session", "fresh", "write", "write"];
    let effects = ["retryable", "retryable", "retryable", "retryable", "tokened", "non-retryable"];
    for (row, (read, effect)) in reads.iter().zip(effects).enumerate() {
        put(&format!("op_type.{row}.latency_target"), SettingValue::TimeDelta(ms(LATENCY_TARGET_MS)));
        put(&format!("op_type.{row}.op_timeout"), SettingValue::TimeDelta(ms(OP_TIMEOUT_MS)));
        put(&format!("op_type.{row}.read"), SettingValue::Text(read.to_string()));
        put(&format!("op_type.{row}.effect"), SettingValue::Text(effect.to_string()));
        put(&format!("op_type.{row}.scope"), SettingValue::Text("zone".to_string()));
        put(
            &format!("op_type.{row}.late_value"),
            SettingValue::Number(if *read == "write" { 0.5 } else { 0.0 }),
        );
        put(&format!("op_type.{row}.memory"), SettingValue::TimeDelta(ms(DEDUP_WINDOW_MS)));
        put(&format!("op_type.{row}.bound"), SettingValue::TimeDelta(ms(STALENESS_BOUND_MS)));
    }
    put("parallel_sends", SettingValue::Flag(parallel));
    put("cancel", SettingValue::Flag(true));
    put("probes", SettingValue::Flag(true));
    put("retry_after", SettingValue::Flag(true));
    put("max_sends", SettingValue::Number(6.0));
    put("cold_from", SettingValue::Number(0.25));
    put("fall_multiple", SettingValue::Number(2.0));
    let durations =
        [("tick", 5), ("connect_timeout", 250), ("max_retry_after", 500), ("cold", 8000), ("fall", 1500)];
    for (name, millis) in durations {
        put(name, SettingValue::TimeDelta(ms(millis)));
    }
    put("reports", SettingValue::Text("probe".to_string()));
    put("tokens", SettingValue::Text(if carried { "carried" } else { "remembered" }.to_string()));
    put("host_checks", SettingValue::Text(if checks { "wait" } else { "none" }.to_string()));
    settings
}

pub fn entry(host: u32, availability: Availability, primary: bool, started: Option<Timestamp>) -> HostEntry {
    let group = GroupId(i64::from(host / 4));
    HostEntry {
        host: HostId(host),
        name_hash: host,
        availability,
        memberships: [GroupMembership { group, primary_only: false }].into(),
        zone: ZoneId(host % 2),
        size: 1.0,
        is_primary: primary,
        started_at: started,
    }
}

#[derive(Clone, Copy, Debug)]
pub struct SendRecord {
    pub op: OpId,
    pub index: SendIndex,
    pub host: HostId,
    pub sent_at: Timestamp,
    pub deadline: Timestamp,
}

pub struct Harness {
    pub now: Timestamp,
    pub router: Router,
    pub sends: Vec<SendRecord>,
    pub probes: Vec<HostId>,
    timers: Vec<(Timestamp, TimerId)>,
    sent_ops: Vec<OpId>,
    pub trace: Vec<(Timestamp, Result<Action, RouterEvent>)>,
}

impl Harness {
    pub fn new(settings: RouterSettings) -> Self {
        let now = Timestamp::from_micros(1_000_000_000);
        let mut actions = Vec::new();
        let router = Router::start(now, 7, settings, &mut actions);
        let (sends, probes, timers, sent_ops, trace) = Default::default();
        let mut harness = Harness { now, router, sends, probes, timers, sent_ops, trace };
        actions.into_iter().for_each(|action| harness.perform(action));
        harness
    }

    pub fn restart(&mut self, settings: RouterSettings, entries: Vec<HostEntry>) {
        let (trace, now) = (std::mem::take(&mut self.trace), self.now);
        *self = Harness { trace, now, ..Harness::new(settings) };
        self.trace.push((now, Err(RESTARTED)));
        self.timers = vec![(now + ms(5), TimerId(0))];
        self.handle(RouterEvent::HostList { kind: ListKind::Saved, entries });
    }

    /// A harness with one group of four hosts, of which the first has reported itself primary; all positions
    /// are current.
    pub fn with_known_primary(settings: RouterSettings) -> Self {
        let mut harness = Harness::new(settings);
        // A list without a primary makes the router probe all members.
        harness.list_hosts((0..4).map(|host| entry(host, Availability::Ready, false, None)).collect());
        let first = harness.request(1, ANY, None);
        harness.answer_probes(0);
        harness.advance(5);
        harness.end_all_sends(Outcome::Acked);
        assert!(harness.is_answered(first));
        harness.list_hosts(vec![entry(0, Availability::Ready, true, None)]);
        harness.trace.clear();
        harness
    }

    pub fn list_hosts(&mut self, entries: Vec<HostEntry>) {
        self.handle(RouterEvent::HostList { kind: ListKind::Incremental, entries });
    }

    pub fn handle(&mut self, event: RouterEvent) {
        let mut actions = Vec::new();
        self.trace.push((self.now, Err(event.clone())));
        self.router.handle(self.now, event, &mut actions);
        actions.into_iter().for_each(|action| self.perform(action));
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { op, host, deadline } => {
                let index = self.sent_ops.iter().filter(|sent| **sent == op).count() as u32;
                self.sent_ops.push(op);
                self.sends.push(SendRecord {
                    op,
                    index: SendIndex(index),
                    host,
                    sent_at: self.now,
                    deadline,
                });
            }
            Action::Probe { host } => self.probes.push(host),
            Action::SetTimer { after, timer } => self.timers.push((self.now + after, timer)),
            _ => {}
        }
        self.trace.push((self.now, Ok(action)));
    }

    pub fn advance(&mut self, millis: i64) {
        for _ in 0..millis {
            self.now = self.now + ms(1);
            while let Some(index) = self.timers.iter().position(|(at, _)| *at <= self.now) {
                let (_, timer) = self.timers.swap_remove(index);
                self.handle(RouterEvent::TimerFired { timer });
            }
            while let Some(index) = self.sends.iter().position(|send| send.deadline <= self.now) {
                self.end_send(index, Outcome::TimedOut, HostStatus::default());
            }
        }
    }

    pub fn request(&mut self, op: u64, op_type: u32, session: Option<u64>) -> OpId {
        let deadline = self.now + ms(OP_TIMEOUT_MS);
        let (op, session) = (OpId(op), session.map(SessionId));
        let request = OpRequest { op, op_type: OpTypeId(op_type), session, deadline, ..OpRequest::default() };
        self.handle(RouterEvent::OpRequested(request));
        op
    }

    pub fn end_send(&mut self, index: usize, outcome: Outcome, status: HostStatus) {
        let SendRecord { op, index: send, host, sent_at, .. } = self.sends.remove(index);
        let op_finished = outcome == Outcome::Acked || self.is_answered(op);
        let elapsed = self.now - sent_at;
        self.handle(RouterEvent::SendEnded(SendResult {
            op,
            send,
            host,
            outcome,
            elapsed,
            op_finished,
            status,
        }));
    }

    pub fn end_all_sends(&mut self, outcome: Outcome) {
        (0..self.sends.len()).for_each(|_| self.end_send(0, outcome, HostStatus::default()));
    }

    pub fn answer_probes(&mut self, primary: u32) {
        for host in std::mem::take(&mut self.probes) {
            let role = if host.0 == primary { Role::Primary } else { Role::Replica };
            let status = HostStatus { role: Some(role), position: Some(self.now), ..HostStatus::default() };
            self.handle(RouterEvent::ProbeEnded { host, outcome: Outcome::Acked, status });
        }
    }

    /// Probe results of the first group's replicas.
    pub fn report_replicas(&mut self, lag_ms: i64) {
        let status = HostStatus { position: Some(self.now - ms(lag_ms)), ..HostStatus::default() };
        for host in 1..4 {
            self.handle(RouterEvent::ProbeEnded { host: HostId(host), outcome: Outcome::Acked, status });
        }
    }

    pub fn is_answered(&self, op: OpId) -> bool {
        self.trace.iter().any(|(_, event)| match event {
            Ok(Action::BusyReply { op: id, .. } | Action::ErrorReply { op: id }) => *id == op,
            Err(RouterEvent::SendEnded(end)) => end.op == op && end.outcome == Outcome::Acked,
            _ => false,
        })
    }

    pub fn hosts_of(&self, op: OpId) -> Vec<u32> {
        let host = |event: &Result<Action, RouterEvent>| match event {
            Ok(Action::Send { op: id, host, .. }) if *id == op => Some(host.0),
            _ => None,
        };
        self.trace.iter().filter_map(|(_, event)| host(event)).collect()
    }
}
