//! Admission control: limits on open ops and their bytes, name resolution and the deadline of each op.

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

/// Admits client requests as ops while the limits of this router allow it.
pub struct AdmissionController {
    op_types: HashMap<String, (OpTypeId, OpType)>,
    tenants: HashMap<String, TenantId>,
    next_op: Cell<u64>,
    open_ops: Rc<Cell<usize>>,
    /// The total bytes of open ops.
    open_bytes: Rc<Cell<usize>>,
    /// The client-chosen ids of open ops.
    open_ids: Rc<RefCell<HashSet<u64>>>,
    limits: Rc<Limits>,
    /// Whether cells are configured; they need the origin of each op.
    has_cells: bool,
    /// Whether the router belongs to a fleet, so that front ends answer `SHOW peers`.
    pub in_fleet: bool,
    /// Commands to the lease task, by which front ends answer `SHOW leases`; `None` if no leases are
    /// configured.
    pub leases: Option<mpsc::Sender<crate::leases::LeasesCommand>>,
}

/// An op that was admitted.
#[derive(Debug)]
pub struct AdmittedOp {
    pub request: OpRequest,
    /// Present if cells are configured.
    pub origin: Option<Box<OpOrigin>>,
    pub slot: OpSlot,
}

/// An op's share of the admission limits; dropping it releases them and the op's client-chosen id.
#[derive(Debug)]
pub struct OpSlot {
    _op_guard: UsageGuard,
    _byte_guard: UsageGuard,
    id: u64,
    open_ids: Rc<RefCell<HashSet<u64>>>,
}

impl Drop for OpSlot {
    fn drop(&mut self) {
        self.open_ids.borrow_mut().remove(&self.id);
    }
}

/// The `name` of each row of a list in the settings, in order.
fn row_names<'a>(settings: &'a Map<String, Value>, list: &str) -> Vec<&'a str> {
    let rows = settings.get(list).and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
    rows.iter().map(|row| row.get("name").and_then(Value::as_str).unwrap_or_default()).collect()
}

impl AdmissionController {
    /// Creates a controller for the op types and tenants of the settings.
    pub fn new(
        settings: &Map<String, Value>,
        router_settings: &RouterSettings,
        limits: Rc<Limits>,
        has_cells: bool,
    ) -> Self {
        let rows = row_names(settings, "grades").into_iter().zip(OpType::rows(router_settings));
        let tenants = row_names(settings, "parties").into_iter().enumerate();
        AdmissionController {
            op_types: (0..)
                .zip(rows)
                .map(|(index, (name, row))| (name.to_string(), (OpTypeId(index), row)))
                .collect(),
            tenants: tenants.map(|(index, name)| (name.to_string(), TenantId(index as u32))).collect(),
            next_op: Cell::new(0),
            open_ops: Rc::default(),
            open_bytes: Rc::default(),
            open_ids: Rc::default(),
            limits,
            has_cells,
            in_fleet: false,
            leases: None,
        }
    }

    /// Whether cells are configured.
    pub fn has_cells(&self) -> bool {
        self.has_cells
    }

    /// Admits a request that arrived at `arrived_at`.
    ///
    /// # Errors
    /// `Reply::Refused` if the request is invalid, `Reply::Busy` if the ops or bytes in flight reach the
    /// limit.
    pub fn admit<A>(
        &self,
        client_request: ClientRequest<'_>,
        arrived_at: Timestamp,
    ) -> Result<AdmittedOp, Reply<A>> {
        let Some((op_type, op_type_config)) = self.op_types.get(client_request.op_type) else {
            return Err(Reply::Refused("its op type is not known"));
        };
        let tenant = match client_request.tenant {
            Some(name) if !self.tenants.is_empty() => {
                let tenant_id = self.tenants.get(name).copied();
                Some(tenant_id.ok_or(Reply::Refused("its tenant is not known"))?)
            }
            _ => None,
        };
        let is_deduplicated = matches!(op_type_config.retry_safety, RetrySafety::Deduplicated { .. });
        if is_deduplicated && client_request.token.is_none() {
            return Err(Reply::Refused("an op of this type needs its mark, k"));
        }
        let uses_session = matches!(op_type_config.consistency, Consistency::Session | Consistency::Write);
        let bytes = client_request.bytes;
        if self.open_ops.get() >= self.limits.max_ops
            || self.open_bytes.get() + bytes > self.limits.max_statement_bytes
        {
            return Err(Reply::Busy(None));
        }
        // Hosts reject one or both of two ops with the same id.
        if !self.open_ids.borrow_mut().insert(client_request.id) {
            return Err(Reply::Refused("an op of this id is open"));
        }
        let slot = OpSlot {
            _op_guard: UsageGuard::one(&self.open_ops),
            _byte_guard: UsageGuard::add(&self.open_bytes, bytes),
            id: client_request.id,
            open_ids: self.open_ids.clone(),
        };
        let op = OpId(self.next_op.get());
        self.next_op.set(op.0 + 1);
        let commit_time = |millis: i64| Timestamp::from_micros(millis.saturating_mul(1000));
        let token_age = client_request.last_commit_ms.map(|last_commit_ms| match last_commit_ms {
            0 => TimeDelta::ZERO,
            last_commit_ms => (arrived_at - commit_time(last_commit_ms)).max(TimeDelta::from_micros(1)),
        });
        let request = OpRequest {
            op,
            op_type: *op_type,
            tenant,
            cell: CellId::default(),
            group: GroupId(client_request.group),
            session: client_request.session.filter(|_| uses_session).map(SessionId),
            is_retry: client_request.is_retry,
            token_age,
            min_position: None,
            pinned_host: None,
            deadline: arrived_at + TimeDelta::from_millis(client_request.timeout_ms.into()),
        };
        let origin = self.has_cells.then(|| {
            let (tenant, address) = (client_request.tenant.map(Box::from), client_request.address);
            Box::new(OpOrigin {
                tenant,
                address,
                bytes: bytes as u64,
                token: client_request.token.filter(|_| is_deduplicated),
            })
        });
        Ok(AdmittedOp { request, origin, slot })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A controller that admits two ops of 100 bytes.
    fn controller() -> AdmissionController {
        let (config, router_settings, limits) = Limits::for_test(serde_json::json!({
            "grades": [{"name": "look", "objective": 5.0}], "parties": [{"name": "p"}, {"name": "q"}],
            "domain": {"read_level": ["own_writes"]}, "caps": {"open_cap": 2}}));
        let limits = Limits { max_statement_bytes: 200, ..limits };
        AdmissionController::new(&config.settings, &router_settings, Rc::new(limits), false)
    }

    fn client_request(id: u64, bytes: usize) -> ClientRequest<'static> {
        let (op_type, tenant, session) = ("look", Some("q"), Some(0xff));
        let defaults = (None, false, None);
        let (last_commit_ms, is_retry, token) = defaults;
        ClientRequest {
            id,
            op_type,
            tenant,
            group: 4,
            timeout_ms: 80,
            last_commit_ms,
            is_retry,
            token,
            session,
            address: None,
            bytes,
        }
    }

    type Rejection = Reply<()>;

    #[test]
    fn resolves_names_and_times() {
        let arrived_at = Timestamp::from_micros(5_000_000);
        let client_request =
            ClientRequest { last_commit_ms: Some(4900), is_retry: true, ..client_request(1, 0) };
        let AdmittedOp { request, .. } =
            controller().admit::<()>(client_request, arrived_at).expect("the limits are not reached");
        let expected = OpRequest {
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
        assert_eq!(request, expected);
    }

    #[test]
    fn ops_beyond_the_op_or_byte_limit_get_busy_replies() {
        let (controller, now) = (controller(), Timestamp::from_micros(0));
        let admit =
            |id, bytes| controller.admit(client_request(id, bytes), now).map(|admitted| admitted.slot);
        let (first, second) = (admit(1, 100), admit(2, 100));
        assert!(first.is_ok() && second.is_ok());
        assert_eq!(admit(3, 100).err(), Some(Rejection::Busy(None)));
        drop(first);
        assert_eq!(admit(3, 101).err(), Some(Rejection::Busy(None)));
        assert!(admit(3, 100).is_ok());
    }

    #[test]
    fn an_id_can_be_reused_only_after_its_op_ended() {
        let (controller, now) = (controller(), Timestamp::from_micros(0));
        let admit = || controller.admit(client_request(1, 0), now).map(|admitted| admitted.slot);
        let first = admit();
        assert!(first.is_ok());
        assert!(matches!(admit().err(), Some(Rejection::Refused(_))));
        drop(first);
        assert!(admit().is_ok());
    }
}
