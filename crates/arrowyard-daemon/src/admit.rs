//! What may become an op: caps, names to ids, and the point at which the client gives up.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use arrowyard_pg::Statement;
use arrowyard_types::{
    Ask, GroupId, Manifest, Need, OpId, OpType, OpTypeId, Point, SessionId, Span, TenantId,
};
use serde_json::{Map, Value};

use crate::limits::Limits;
use crate::link::Count;
use crate::relay::Reply;

pub struct Gate {
    op_types: HashMap<String, (OpTypeId, bool)>,
    tenants: HashMap<String, TenantId>,
    next: Cell<u64>,
    open: Rc<Cell<usize>>,
    most: usize,
}

/// The names of a list of the settings, in order.
fn names<'a>(settings: &'a Map<String, Value>, list: &str) -> Vec<&'a str> {
    let rows = settings.get(list).and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
    rows.iter().map(|row| row.get("name").and_then(Value::as_str).unwrap_or_default()).collect()
}

impl Gate {
    pub fn new(settings: &Map<String, Value>, manifest: &Manifest, limits: &Limits) -> Self {
        let with_session = |row: &OpType| matches!(row.need, Need::Session | Need::Write);
        let rows = OpType::rows(manifest);
        let rows = names(settings, "grades").into_iter().zip(rows.iter().map(with_session));
        let tenants = names(settings, "parties").into_iter().enumerate();
        Gate {
            op_types: (0..).zip(rows).map(|(n, (name, s))| (name.to_string(), (OpTypeId(n), s))).collect(),
            tenants: tenants.map(|(n, name)| (name.to_string(), TenantId(n as u32))).collect(),
            next: Cell::new(0),
            open: Rc::default(),
            most: limits.ops,
        }
    }

    /// The op that the statement asks for; its place among the open ops is taken for as long as the count is kept.
    pub fn admit(&self, statement: &Statement, arrived: Point) -> Result<(Ask, Count), Reply> {
        let Some(&(op_type, with_session)) = self.op_types.get(&statement.op_type) else {
            return Err(Reply::Refused("the statement's op type is not known"));
        };
        if self.open.get() >= self.most {
            return Err(Reply::Busy(None));
        }
        let op = OpId(self.next.get());
        self.next.set(op.0 + 1);
        let commit = |millis: i64| Point::from_micros(millis.saturating_mul(1000));
        let token_age = statement.after.map(|after| match after {
            0 => Span::ZERO,
            after => (arrived - commit(after)).max(Span::from_micros(1)),
        });
        let ask = Ask {
            op,
            op_type,
            tenant: statement.tenant.as_ref().and_then(|tenant| self.tenants.get(tenant).copied()),
            group: GroupId(statement.group),
            session: statement.key.filter(|_| with_session).map(SessionId),
            again: statement.again,
            token_age,
            due: arrived + Span::from_millis(statement.wait_ms.into()),
        };
        Ok((ask, Count::one(&self.open)))
    }
}
