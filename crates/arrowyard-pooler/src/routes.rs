//! The operator's configuration as sessions need it: a database's name to its route, and what a statement of a route
//! asks of a host, as rows of the module's op types.

use std::collections::HashMap;
use std::rc::Rc;

use arrowyard_config::{Channel, Configuration, Limits, RouteKind, Service};
use arrowyard_types::{Consistency, GroupId, OpType, OpTypeId, RetrySafety, TimeDelta};
use rustc_hash::FxHashMap;

/// What a statement is to the module.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Statement {
    /// A read alone, or the first statement of a transaction that only reads.
    Read,
    /// A write alone.
    Write,
    /// The first statement of a transaction that may write: till it commits, nothing of it is kept.
    First,
    /// A later statement of a transaction.
    Later,
}

/// Rows of op types, the same for routes that ask the same; they are only ever added to.
#[derive(Default)]
pub struct OpTypes {
    rows: Vec<OpType>,
    known: HashMap<(RouteKind, Statement, i64, i64, u32, i64), OpTypeId>,
    told: usize,
}

fn millis(ms: f64) -> TimeDelta {
    TimeDelta::from_micros((ms * 1000.0) as i64)
}

impl OpTypes {
    pub fn row(&mut self, channel: &Channel, statement: Statement) -> OpTypeId {
        let key = (
            channel.kind,
            statement,
            channel.setpoint_ms as i64,
            channel.deadline_ms as i64,
            channel.priority,
            channel.staleness_bound_ms as i64,
        );
        if let Some(row) = self.known.get(&key) {
            return *row;
        }
        let need = match (statement, channel.kind) {
            (Statement::Read, RouteKind::BoundedStaleness | RouteKind::OwnRegion) => {
                Consistency::Bounded(millis(channel.staleness_bound_ms))
            }
            (Statement::Read, RouteKind::Primary) => Consistency::Fresh,
            (Statement::Write | Statement::First, _) => Consistency::Write,
            (Statement::Later, _) => Consistency::Fresh,
        };
        let effect = match statement {
            Statement::Read | Statement::First => RetrySafety::Retryable,
            Statement::Write | Statement::Later => RetrySafety::NonRetryable,
        };
        let row = OpTypeId(self.rows.len() as u32);
        self.rows.push(OpType {
            latency_target: millis(channel.setpoint_ms),
            op_timeout: millis(channel.deadline_ms),
            value: 4.0 / f64::from(channel.priority + 1),
            // What comes late still earns something.
            late_value: 0.3,
            retry_safety: effect,
            consistency: need,
        });
        self.known.insert(key, row);
        row
    }

    /// All rows, if the module has not been told of the last ones.
    pub fn news(&mut self) -> Option<Vec<OpType>> {
        let new = self.told < self.rows.len();
        self.told = self.rows.len();
        new.then(|| self.rows.clone())
    }
}

/// The routes of one revision.
#[derive(Default)]
pub struct Routes {
    pub revision: u64,
    by_database: FxHashMap<String, Rc<Channel>>,
    services: FxHashMap<String, Service>,
    pub limits: Limits,
}

/// The configuration that is served by, and the slot that brought it.
#[derive(Default)]
pub struct Configured {
    pub configuration: Configuration,
    pub slot: u64,
    pub routes: Rc<Routes>,
}

impl Routes {
    pub fn new(configuration: &Configuration) -> Self {
        let mut by_database: FxHashMap<String, Rc<Channel>> = FxHashMap::default();
        for channel in configuration.channels() {
            // Of several prefixes the shortest stands for the database.
            let known = by_database
                .get(&channel.database)
                .is_some_and(|known| known.prefix.len() <= channel.prefix.len());
            if !known {
                by_database.insert(channel.database.clone(), Rc::new(channel.clone()));
            }
        }
        let services =
            configuration.services().map(|service| (service.name.clone(), service.clone())).collect();
        Routes { revision: configuration.revision, by_database, services, limits: configuration.limits() }
    }

    pub fn of(&self, database: &str) -> Option<&Rc<Channel>> {
        self.by_database.get(database)
    }

    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }
}

/// Services by number, as the module knows them.
#[derive(Default)]
pub struct Groups(FxHashMap<String, GroupId>);

impl Groups {
    pub fn get(&self, service: &str) -> Option<GroupId> {
        self.0.get(service).copied()
    }

    pub fn id(&mut self, service: &str) -> GroupId {
        if let Some(id) = self.0.get(service) {
            return *id;
        }
        let id = GroupId(self.0.len() as i64);
        self.0.insert(service.to_string(), id);
        id
    }
}
