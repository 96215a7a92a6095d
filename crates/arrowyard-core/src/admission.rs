//! What may become an op: caps, names to ids, and the point at which the client gives up.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use arrowyard_types::{
    CellId, Consistency, GroupId, OpId, OpRequest, OpType, OpTypeId, RetrySafety, RouterSettings, SessionId,
    TenantId, TimeDelta, Timestamp,
};
use serde_json::{Map, Value};

use crate::client_request::ClientRequest;
use crate::count::UsageGuard;
use crate::limits::Limits;
use tokio::sync::mpsc;

use crate::cell_scheduler::OpOrigin;
use crate::reply::Reply;

pub struct AdmissionController {
    op_types: HashMap<String, (OpTypeId, OpType)>,
    tenants: HashMap<String, TenantId>,
    next: Cell<u64>,
    open: Rc<Cell<usize>>,
    bytes: Rc<Cell<usize>>,
    ids: Rc<RefCell<HashSet<u64>>>,
    limits: Rc<Limits>,
    /// Whether there are cells, which want to know more of an op.
    cells: bool,
    /// Whether the router belongs to a fleet.
    pub in_fleet: bool,
    /// The task that wants leases, where there is one.
    pub leases: Option<mpsc::Sender<crate::leases::LeasesCommand>>,
}

/// An op that was admitted.
#[derive(Debug)]
pub struct AdmittedOp {
    pub request: OpRequest,
    pub origin: Option<Box<OpOrigin>>,
    pub slot: OpSlot,
}

/// An op's place among those in hand, for as long as it is kept.
#[derive(Debug)]
pub struct OpSlot {
    _open: UsageGuard,
    _bytes: UsageGuard,
    id: u64,
    ids: Rc<RefCell<HashSet<u64>>>,
}

impl Drop for OpSlot {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}

/// The names of a list of the settings, in order.
fn names<'a>(settings: &'a Map<String, Value>, list: &str) -> Vec<&'a str> {
    let rows = settings.get(list).and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
    rows.iter().map(|row| row.get("name").and_then(Value::as_str).unwrap_or_default()).collect()
}

impl AdmissionController {
    pub fn new(
        settings: &Map<String, Value>,
        manifest: &RouterSettings,
        limits: Rc<Limits>,
        cells: bool,
    ) -> Self {
        let rows = names(settings, "grades").into_iter().zip(OpType::rows(manifest));
        let tenants = names(settings, "parties").into_iter().enumerate();
        AdmissionController {
            op_types: (0..)
                .zip(rows)
                .map(|(n, (name, row))| (name.to_string(), (OpTypeId(n), row)))
                .collect(),
            tenants: tenants.map(|(n, name)| (name.to_string(), TenantId(n as u32))).collect(),
            next: Cell::new(0),
            open: Rc::default(),
            bytes: Rc::default(),
            ids: Rc::default(),
            limits,
            cells,
            in_fleet: false,
            leases: None,
        }
    }

    pub fn has_cells(&self) -> bool {
        self.cells
    }

    /// The op that the call asks for, with its place. Danger: more ops, or more bytes of them, than the
    /// router's memory holds.
    pub fn admit<A>(&self, call: ClientRequest<'_>, arrived: Timestamp) -> Result<AdmittedOp, Reply<A>> {
        let Some((op_type, row)) = self.op_types.get(call.op_type) else {
            return Err(Reply::Refused("its op type is not known"));
        };
        let tenant = match call.tenant {
            Some(name) if !self.tenants.is_empty() => {
                let known = self.tenants.get(name).copied();
                Some(known.ok_or(Reply::Refused("its tenant is not known"))?)
            }
            _ => None,
        };
        let tokened = matches!(row.retry_safety, RetrySafety::Deduplicated { .. });
        if tokened && call.token.is_none() {
            return Err(Reply::Refused("an op of this type needs its mark, k"));
        }
        let with_session = matches!(row.consistency, Consistency::Session | Consistency::Write);
        let bytes = call.bytes;
        if self.open.get() >= self.limits.max_ops
            || self.bytes.get() + bytes > self.limits.max_statement_bytes
        {
            return Err(Reply::Busy(None));
        }
        // Danger: a client that names another's open op. Hosts turn the second away, or both.
        if !self.ids.borrow_mut().insert(call.id) {
            return Err(Reply::Refused("an op of this id is open"));
        }
        let place = OpSlot {
            _open: UsageGuard::one(&self.open),
            _bytes: UsageGuard::add(&self.bytes, bytes),
            id: call.id,
            ids: self.ids.clone(),
        };
        let op = OpId(self.next.get());
        self.next.set(op.0 + 1);
        let commit = |millis: i64| Timestamp::from_micros(millis.saturating_mul(1000));
        let token_age = call.last_commit_ms.map(|after| match after {
            0 => TimeDelta::ZERO,
            after => (arrived - commit(after)).max(TimeDelta::from_micros(1)),
        });
        let ask = OpRequest {
            op,
            op_type: *op_type,
            tenant,
            cell: CellId::default(),
            group: GroupId(call.group),
            session: call.session.filter(|_| with_session).map(SessionId),
            is_retry: call.is_retry,
            token_age,
            min_position: None,
            pinned_host: None,
            deadline: arrived + TimeDelta::from_millis(call.timeout_ms.into()),
        };
        let claim = self.cells.then(|| {
            let (tenant, address) = (call.tenant.map(Box::from), call.address);
            Box::new(OpOrigin { tenant, address, bytes: bytes as u64, token: call.token.filter(|_| tokened) })
        });
        Ok(AdmittedOp { request: ask, origin: claim, slot: place })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// With room for two ops of 100 bytes.
    fn gate() -> AdmissionController {
        let (waybill, manifest, limits) = Limits::for_test(serde_json::json!({
            "grades": [{"name": "look", "objective": 5.0}], "parties": [{"name": "p"}, {"name": "q"}],
            "domain": {"read_level": ["own_writes"]}, "caps": {"open_cap": 2}}));
        let limits = Limits { max_statement_bytes: 200, ..limits };
        AdmissionController::new(&waybill.settings, &manifest, Rc::new(limits), false)
    }

    fn call(id: u64, bytes: usize) -> ClientRequest<'static> {
        let (op_type, tenant, session) = ("look", Some("q"), Some(0xff));
        let blank = (None, false, None);
        let (after, again, token) = blank;
        ClientRequest {
            id,
            op_type,
            tenant,
            group: 4,
            timeout_ms: 80,
            last_commit_ms: after,
            is_retry: again,
            token,
            session,
            address: None,
            bytes,
        }
    }

    type Refusal = Reply<()>;

    #[test]
    fn names_become_ids_and_times_points() {
        let arrived = Timestamp::from_micros(5_000_000);
        let call = ClientRequest { last_commit_ms: Some(4900), is_retry: true, ..call(1, 0) };
        let AdmittedOp { request: ask, .. } = gate().admit::<()>(call, arrived).expect("there is room");
        let wanted = OpRequest {
            op: OpId(0),
            op_type: OpTypeId(0),
            tenant: Some(TenantId(1)),
            cell: CellId(0),
            group: GroupId(4),
            session: Some(SessionId(0xff)),
            is_retry: true,
            token_age: Some(TimeDelta::from_millis(100)),
            min_position: None,
            pinned_host: None,
            deadline: Timestamp::from_micros(5_080_000),
        };
        assert_eq!(ask, wanted);
    }

    #[test]
    fn ops_beyond_the_count_or_the_bytes_are_busy_replied_till_a_place_is_free() {
        let (gate, now) = (gate(), Timestamp::from_micros(0));
        let admit = |id, length| gate.admit(call(id, length), now).map(|admitted| admitted.slot);
        let (first, second) = (admit(1, 100), admit(2, 100));
        assert!(first.is_ok() && second.is_ok());
        assert_eq!(admit(3, 100).err(), Some(Refusal::Busy(None)));
        drop(first);
        assert_eq!(admit(3, 101).err(), Some(Refusal::Busy(None)));
        assert!(admit(3, 100).is_ok());
    }

    #[test]
    fn an_id_names_one_open_op_and_is_free_again_once_that_is_over() {
        let (gate, now) = (gate(), Timestamp::from_micros(0));
        let admit = || gate.admit(call(1, 0), now).map(|admitted| admitted.slot);
        let first = admit();
        assert!(first.is_ok());
        assert!(matches!(admit().err(), Some(Refusal::Refused(_))));
        drop(first);
        assert!(admit().is_ok());
    }
}
