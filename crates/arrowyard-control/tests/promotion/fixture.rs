//! A promotion of a service with three hosts, whose replies and times the tests give.

use std::collections::BTreeMap;

use arrowyard_control::{
    HostRegistry, HostsSnapshot, Promotion, PromotionRequest, Reply, RequestKind, Stage,
};
use arrowyard_messages::{DbRole, Host, Phase};
use arrowyard_protocol::{Observed, Position};
use arrowyard_types::Timestamp;

pub fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

pub fn host(id: &str, role: DbRole, phase: Phase, call_seq: u64) -> Host {
    let port = u32::from(id.as_bytes().last().copied().unwrap_or_default());
    let (role, phase) = (role.into(), phase.into());
    Host {
        id: id.into(),
        service: "s".into(),
        ip: 1,
        port,
        zone: "z".into(),
        capacity: 4,
        phase,
        role,
        call_seq,
    }
}

pub struct Fixture {
    pub registry: HostRegistry,
    pub silent: BTreeMap<String, Timestamp>,
    pub promotion: Promotion,
    pub requests: Vec<PromotionRequest>,
    pub now: i64,
}

impl Fixture {
    pub fn new() -> Self {
        let mut registry = HostRegistry::default();
        registry.merge_report(at(0), host("a", DbRole::Primary, Phase::InService, 1));
        registry.merge_report(at(0), host("b", DbRole::Replica, Phase::InService, 1));
        registry.merge_report(at(0), host("c", DbRole::Replica, Phase::InService, 1));
        Fixture {
            registry,
            silent: BTreeMap::new(),
            promotion: Promotion::new("s"),
            requests: Vec::new(),
            now: 1000,
        }
    }

    /// A planned change that was aborted because its candidate does not respond; the other replica is
    /// paused.
    pub fn after_aborted_change() -> Self {
        let mut fixture = Fixture::new();
        fixture.registry.merge_report(at(900), host("a", DbRole::Primary, Phase::Draining, 2));
        fixture.advance(0);
        fixture.row("b", false, 20);
        fixture.row("c", false, 22);
        fixture.row("b", false, 24);
        fixture.silent("c");
        fixture
    }

    pub fn with_hosts(
        &mut self,
        act: impl FnOnce(&mut Promotion, Timestamp, &HostsSnapshot<'_>, &mut Vec<PromotionRequest>),
    ) -> Vec<PromotionRequest> {
        let hosts = HostsSnapshot { registry: &self.registry, silent: &self.silent };
        let mut requests = Vec::new();
        act(&mut self.promotion, at(self.now), &hosts, &mut requests);
        self.requests.extend(requests.clone());
        requests
    }

    pub fn suspect(&mut self) -> Vec<PromotionRequest> {
        self.with_hosts(|promotion, now, hosts, requests| {
            promotion.suspect_primary(now, "a", hosts, requests)
        })
    }

    pub fn advance(&mut self, ms: i64) -> Vec<PromotionRequest> {
        self.now += ms;
        self.with_hosts(|promotion, now, hosts, requests| promotion.poll(now, hosts, requests))
    }

    pub fn row(&mut self, host: &str, primary: bool, number: u64) -> Vec<PromotionRequest> {
        let row = Observed { primary, term: 3, received: Position { term: 3, number } };
        let fencing = matches!(self.promotion.stage, Stage::Fencing { .. });
        let kind = if fencing { RequestKind::Pause(1) } else { RequestKind::Observe };
        let reply = Reply::Row { host: host.into(), kind, row };
        let mut requests = self.with_hosts(|promotion, now, hosts, requests| {
            promotion.handle_reply(now, reply, hosts, requests)
        });
        if matches!(self.promotion.stage, Stage::Yielding { .. }) {
            assert!(promoted_host(&requests).is_none(), "the old primary must yield first");
            requests.extend(self.advance(40));
        }
        requests
    }

    /// A host has stopped receiving, as the current pause request asks.
    pub fn paused(&mut self, host: &str, number: u64) -> Vec<PromotionRequest> {
        let row = Observed { primary: false, term: 3, received: Position { term: 3, number } };
        let kind = RequestKind::Pause(self.promotion.attempt());
        let reply = Reply::Row { host: host.into(), kind, row };
        self.with_hosts(|promotion, now, hosts, requests| promotion.handle_reply(now, reply, hosts, requests))
    }

    /// A host departs, without a drain if it is in service.
    pub fn leave(&mut self, host_id: &str) {
        let known = self.registry.get(host_id).cloned().expect("a known host");
        let departed = Host { phase: Phase::Gone.into(), call_seq: known.call_seq + 1, ..known };
        self.registry.merge_report(at(self.now), departed);
    }

    /// A new host reports that it runs at the address of another one.
    pub fn join_at_address_of(&mut self, id: &str, other: &str) {
        let Host { ip, port, .. } = self.registry.get(other).cloned().expect("a known host");
        let joined = Host { ip, port, ..host(id, DbRole::Replica, Phase::InService, 1) };
        self.registry.merge_report(at(self.now), joined);
    }

    pub fn silent(&mut self, host: &str) -> Vec<PromotionRequest> {
        let reply = Reply::NoResponse { host: host.into() };
        self.with_hosts(|promotion, now, hosts, requests| promotion.handle_reply(now, reply, hosts, requests))
    }

    pub fn status(&mut self, status: u16) -> Vec<PromotionRequest> {
        self.with_hosts(|promotion, now, hosts, requests| {
            promotion.handle_reply(now, Reply::Platform { status }, hosts, requests)
        })
    }

    /// The primary leaves two requests unanswered, which starts the survey.
    pub fn fail_primary(&mut self) {
        self.suspect();
        self.silent("a");
        self.advance(100);
        self.silent("a");
        assert!(matches!(self.promotion.stage, Stage::Surveying { planned: false, .. }));
    }
}

pub fn promoted_host(requests: &[PromotionRequest]) -> Option<&str> {
    requests.iter().find_map(|request| match request {
        PromotionRequest::Promote { host, .. } => Some(host.as_str()),
        _ => None,
    })
}
