//! The operator's configuration in the form that sessions need: the route of each database, and the op
//! types that statements of a route have in the decision module.

use std::collections::HashMap;
use std::rc::Rc;

use arrowyard_config::{Configuration, Limits, Route, RouteKind, Service};
use arrowyard_types::{Consistency, GroupId, OpType, OpTypeId, RetrySafety, TimeDelta};
use rustc_hash::FxHashMap;

/// The kind of a statement, which determines its op type together with its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StatementKind {
    /// A single read, or the first statement of a read-only transaction.
    Read,
    /// A single write.
    Write,
    /// The first statement of a read-write transaction; it has no effect before the commit.
    First,
    /// A later statement of a transaction.
    Later,
}

/// The op types in use; routes with the same requirements share them. Rows are only added, never changed or
/// removed.
#[derive(Default)]
pub struct OpTypes {
    rows: Vec<OpType>,
    ids: HashMap<(RouteKind, StatementKind, i64, i64, u32, i64), OpTypeId>,
    /// Rows that the decision module has.
    reported: usize,
}

fn millis(ms: f64) -> TimeDelta {
    TimeDelta::from_micros((ms * 1000.0) as i64)
}

impl OpTypes {
    /// The op type of a statement on a route, added if it is new.
    pub fn id(&mut self, route: &Route, statement: StatementKind) -> OpTypeId {
        let key = (
            route.kind,
            statement,
            route.latency_target_ms as i64,
            route.deadline_ms as i64,
            route.priority,
            route.staleness_bound_ms as i64,
        );
        if let Some(id) = self.ids.get(&key) {
            return *id;
        }
        let consistency = match (statement, route.kind) {
            (StatementKind::Read, RouteKind::BoundedStaleness | RouteKind::ReadYourWrites) => {
                Consistency::Bounded(millis(route.staleness_bound_ms))
            }
            (StatementKind::Read, RouteKind::Primary) => Consistency::Fresh,
            (StatementKind::Write | StatementKind::First, _) => Consistency::Write,
            (StatementKind::Later, _) => Consistency::Fresh,
        };
        let retry_safety = match statement {
            StatementKind::Read | StatementKind::First => RetrySafety::Retryable,
            StatementKind::Write | StatementKind::Later => RetrySafety::NonRetryable,
        };
        let id = OpTypeId(self.rows.len() as u32);
        self.rows.push(OpType {
            latency_target: millis(route.latency_target_ms),
            op_timeout: millis(route.deadline_ms),
            value: 4.0 / f64::from(route.priority + 1),
            // An answer after the latency target keeps a part of its value.
            late_value: 0.3,
            retry_safety,
            consistency,
        });
        self.ids.insert(key, id);
        id
    }

    /// All rows, if any were added since the last call.
    pub fn take_changed(&mut self) -> Option<Vec<OpType>> {
        let changed = self.reported < self.rows.len();
        self.reported = self.rows.len();
        changed.then(|| self.rows.clone())
    }
}

/// The routes of one configuration revision.
#[derive(Default)]
pub struct Routes {
    pub revision: u64,
    by_database: FxHashMap<String, Rc<Route>>,
    services: FxHashMap<String, Service>,
    pub limits: Limits,
}

/// The configuration in force, and the log slot that it was chosen in (0 before the first one).
#[derive(Default)]
pub struct Configured {
    pub configuration: Configuration,
    pub slot: u64,
    pub routes: Rc<Routes>,
}

impl Routes {
    /// The routes and services of a configuration.
    pub fn new(configuration: &Configuration) -> Self {
        let mut by_database: FxHashMap<String, Rc<Route>> = FxHashMap::default();
        for route in configuration.routes() {
            // The route with the shortest path prefix represents the database.
            let known = by_database
                .get(&route.database)
                .is_some_and(|known| known.prefix.len() <= route.prefix.len());
            if !known {
                by_database.insert(route.database.clone(), Rc::new(route.clone()));
            }
        }
        let services =
            configuration.services().map(|service| (service.name.clone(), service.clone())).collect();
        Routes { revision: configuration.revision, by_database, services, limits: configuration.limits() }
    }

    /// The route of a database.
    pub fn route(&self, database: &str) -> Option<&Rc<Route>> {
        self.by_database.get(database)
    }

    /// The configuration of a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }
}

/// Numbers of services, which are host groups of the decision module.
#[derive(Default)]
pub struct Groups(FxHashMap<String, GroupId>);

impl Groups {
    /// The number of a service, if it has one.
    pub fn get(&self, service: &str) -> Option<GroupId> {
        self.0.get(service).copied()
    }

    /// The number of a service, assigned if it is new.
    pub fn id(&mut self, service: &str) -> GroupId {
        if let Some(id) = self.0.get(service) {
            return *id;
        }
        let id = GroupId(self.0.len() as i64);
        self.0.insert(service.to_string(), id);
        id
    }
}
