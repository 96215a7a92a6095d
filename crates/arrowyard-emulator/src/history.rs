//! History of a run as observed by clients, hosts, the operator and the platform, with auditors of the
//! invariants.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use arrowyard_types::{TimeDelta, Timestamp};

use crate::replication::ReplicationGroup;

/// A violated invariant: its documented name, when it was violated, and a description.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub invariant: &'static str,
    pub at: Timestamp,
    pub description: String,
}

/// Required freshness of the reads of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Reads see all commits acknowledged before their transaction.
    Primary,
    /// Reads may be stale by at most this time.
    Bounded(TimeDelta),
    /// As `Bounded`, but reads also see the commits acknowledged to their session.
    Own(TimeDelta),
}

impl Freshness {
    /// Name of the kind of requests, as in the routes.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Freshness::Primary => "primary",
            Freshness::Bounded(_) => "bounded",
            Freshness::Own(_) => "own",
        }
    }
}

/// A statement sent by a client.
#[derive(Clone, Debug)]
pub struct StatementRecord {
    pub at: Timestamp,
    /// When the first byte of its transaction was sent.
    pub transaction_started_at: Timestamp,
    pub service: String,
    pub session: u64,
    pub operation: u64,
    pub text: String,
    /// For `RUN`: the shape of the named statement.
    pub shape: Option<String>,
    /// Last value of `tag` acknowledged to the session.
    pub tag: Option<String>,
    pub freshness: Freshness,
    pub in_transaction: bool,
    pub stamp: Option<String>,
    pub rows: Option<String>,
}

/// Outcome of a write as known to its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was acknowledged to a session.
    Acknowledged { at: Timestamp, service: String, session: u64 },
    /// The client was told that the write is not kept.
    NotKept { at: Timestamp, service: String },
    /// The client received no clear reply.
    Unknown,
}

/// Length of an aggregation window in microseconds.
pub const WINDOW: i64 = 100_000;

/// Statistics of one kind of requests.
#[derive(Clone, Debug, Default)]
pub struct KindStats {
    pub total: u64,
    pub within_target: u64,
    pub served: u64,
    pub durations: Vec<TimeDelta>,
    /// By window of the start time: operations, and operations within the latency target.
    pub windows: BTreeMap<i64, (u32, u32)>,
}

impl KindStats {
    /// Counts the operations that started in an interval, and those within the latency target.
    #[must_use]
    pub fn count_between(&self, from: Timestamp, until: Timestamp) -> (u64, u64) {
        let windows = self.windows.range(from.micros() / WINDOW..until.micros() / WINDOW);
        windows.fold((0, 0), |counts, (_, (total, within_target))| {
            (counts.0 + u64::from(*total), counts.1 + u64::from(*within_target))
        })
    }

    /// For the windows of an interval: the share with at least `ratio` of operations within the latency
    /// target, and the lowest ratio over ten consecutive windows.
    #[must_use]
    pub fn window_stats(&self, from: Timestamp, until: Timestamp, ratio: f64) -> (f64, f64) {
        let (from, until) = (from.micros() / WINDOW, until.micros() / WINDOW);
        let windows: Vec<(u32, u32)> = self.windows.range(from..until).map(|(_, window)| *window).collect();
        let met = windows.iter().filter(|(total, met)| f64::from(*met) >= f64::from(*total) * ratio).count();
        let ratio_of = |ten_windows: &[(u32, u32)]| {
            let (total, met) =
                ten_windows.iter().fold((0, 0), |counts, window| (counts.0 + window.0, counts.1 + window.1));
            f64::from(met) / f64::from(total.max(1))
        };
        let lowest = windows.windows(10).map(ratio_of).fold(1.0, f64::min);
        (met as f64 / windows.len().max(1) as f64, lowest)
    }
}

/// Counts of operations by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OperationCounts {
    pub total: u64,
    pub served: u64,
    pub late: u64,
    pub rejected: u64,
    pub failed: u64,
}

/// Everything observed during a run.
#[derive(Debug, Default)]
pub struct History {
    pub statements: BTreeMap<String, StatementRecord>,
    pub write_outcomes: BTreeMap<String, WriteOutcome>,
    /// Log index of each write; and, by service and by session, the acknowledged index over time, which
    /// reads are checked against.
    pub log_indexes: BTreeMap<String, usize>,
    acknowledged_by_service: BTreeMap<String, Vec<(Timestamp, usize)>>,
    acknowledged_by_session: BTreeMap<u64, Vec<(Timestamp, usize)>>,
    /// When all machines were running again after a power loss.
    pub power_restored_at: Option<Timestamp>,
    pub violations: Vec<Violation>,
    pub counts: OperationCounts,
    /// By second: operations, and served operations.
    pub counts_by_second: BTreeMap<i64, (u64, u64)>,
    pub statements_run: u64,
    pub connections_over_limit: u64,
    /// Time between the acknowledgement of a drain and the last request that the host received.
    pub last_request_after_drain: Option<TimeDelta>,
    pub latencies: Vec<TimeDelta>,
    /// By kind of requests.
    pub stats_by_kind: BTreeMap<&'static str, KindStats>,
    /// Last acknowledged revision, and the revision read back at the end.
    pub acknowledged_revision: u64,
    pub read_revision: Option<u64>,
    /// When the pending change was first sent.
    pub change_pending_since: Option<Timestamp>,
    /// When changes were acknowledged.
    pub change_times: Vec<Timestamp>,
    last_id: u64,
}

/// A history shared by all simulated participants.
pub type SharedHistory = Rc<RefCell<History>>;

impl History {
    /// Returns a number unique within the run, for sessions, operations and statements.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Records the violation of an invariant.
    pub fn record_violation(&mut self, invariant: &'static str, at: Timestamp, description: String) {
        self.violations.push(Violation { invariant, at, description });
    }

    /// UNASKED, PINNED: a host executes a statement. `transaction_operation` is set within a
    /// transaction and holds its operation, once known.
    pub fn record_execution(
        &mut self,
        at: Timestamp,
        id: &str,
        text: &str,
        shape: Option<&str>,
        tag: Option<&str>,
        transaction_operation: Option<Option<u64>>,
    ) {
        self.statements_run += 1;
        let Some(statement) = self.statements.get(id).cloned() else {
            return self.record_violation("UNASKED", at, format!("{id} was not asked: {text}"));
        };
        let (keyword, arguments) = arrowyard_protocol::split_word(text);
        let matches = if keyword == "RUN" {
            let (_, item) = arrowyard_protocol::split_word(arguments);
            let (expected_keyword, expected_arguments) = arrowyard_protocol::split_word(&statement.text);
            expected_keyword == "RUN" && arrowyard_protocol::split_word(expected_arguments).1 == item
        } else {
            statement.text == text
        };
        if !matches {
            self.record_violation("UNASKED", at, format!("{id}: {text} for {}", statement.text));
        }
        if shape.map(str::to_string) != statement.shape {
            self.record_violation("PINNED", at, format!("{id} runs {shape:?} for {:?}", statement.shape));
        }
        if tag.map(str::to_string) != statement.tag {
            self.record_violation("PINNED", at, format!("{id} runs under {tag:?} for {:?}", statement.tag));
        }
        match transaction_operation {
            Some(Some(operation)) if operation != statement.operation => {
                self.record_violation(
                    "PINNED",
                    at,
                    format!("{id} runs in the transaction of operation {operation}"),
                );
            }
            None if statement.in_transaction => {
                self.record_violation("PINNED", at, format!("{id} runs outside its transaction"))
            }
            _ => {}
        }
    }

    /// Records that a write was acknowledged to a session.
    pub fn record_acknowledgement(&mut self, at: Timestamp, service: &str, session: u64, token: &str) {
        let Some(&index) = self.log_indexes.get(token) else { return };
        let service = self.acknowledged_by_service.entry(service.to_string()).or_default();
        for timeline in [service, self.acknowledged_by_session.entry(session).or_default()] {
            let highest = timeline.last().map_or(index, |(_, highest)| index.max(*highest));
            timeline.push((at, highest));
        }
    }

    /// Times of acknowledged writes by service.
    pub fn acknowledgement_times(&self) -> BTreeMap<String, Vec<Timestamp>> {
        let times = |timeline: &Vec<(Timestamp, usize)>| timeline.iter().map(|(at, _)| *at).collect();
        self.acknowledged_by_service
            .iter()
            .map(|(service, timeline)| (service.clone(), times(timeline)))
            .collect()
    }

    /// Acknowledged writes of a service.
    pub fn acknowledged_writes(&self, service: &str) -> Vec<String> {
        let is_acknowledged = |outcome: &WriteOutcome| matches!(outcome, WriteOutcome::Acknowledged { service: written, .. } if written == service);
        self.write_outcomes
            .iter()
            .filter(|(_, outcome)| is_acknowledged(outcome))
            .map(|(token, _)| token.clone())
            .collect()
    }

    /// STALE: a host with `applied` commits executes a read, where the log of the primary has `log`
    /// commits. Commits truncated by a promotion are ignored here; the LOST invariant covers them.
    pub fn record_read(&mut self, at: Timestamp, id: &str, applied: usize, log: usize, host: &str) {
        let Some(statement) = self.statements.get(id) else { return };
        let acknowledged_before = |timeline: Option<&Vec<(Timestamp, usize)>>, time: Timestamp| {
            let timeline = timeline.map(Vec::as_slice).unwrap_or_default();
            let count = timeline.partition_point(|(at, _)| *at < time);
            count.checked_sub(1).map_or(0, |last| timeline[last].1)
        };
        let service_timeline = self.acknowledged_by_service.get(&statement.service);
        let required = match statement.freshness {
            Freshness::Primary => acknowledged_before(service_timeline, statement.transaction_started_at),
            Freshness::Bounded(bound) => {
                acknowledged_before(service_timeline, statement.transaction_started_at - bound)
            }
            Freshness::Own(bound) => {
                acknowledged_before(service_timeline, statement.transaction_started_at - bound).max(
                    acknowledged_before(
                        self.acknowledged_by_session.get(&statement.session),
                        statement.transaction_started_at,
                    ),
                )
            }
        };
        if required.min(log) > applied {
            let description = format!(
                "{id} ({:?}) runs at {host} with {applied} of {required} commits",
                statement.freshness
            );
            self.record_violation("STALE", at, description);
        }
    }

    /// DRAIN: a host receives a single statement, or the first one of a transaction, later than `bound`
    /// after its drain was acknowledged.
    pub fn record_arrival(
        &mut self,
        at: Timestamp,
        id: &str,
        acknowledged: Option<Timestamp>,
        bound: TimeDelta,
        host: &str,
    ) {
        let elapsed = acknowledged.map(|when| at - when);
        self.last_request_after_drain = self.last_request_after_drain.max(elapsed);
        if let Some(drained_at) = acknowledged.filter(|when| at - *when > bound) {
            let elapsed = at - drained_at;
            self.record_violation(
                "DRAIN",
                at,
                format!("{id} reaches {host} {} ms after that", elapsed.micros() / 1000),
            );
        }
    }

    /// RECOVER: less than a quarter of the operations are served although all machines have run for
    /// `after`.
    pub fn audit_recovery(&mut self, now: Timestamp, after: TimeDelta) {
        let Some(restored_at) = self.power_restored_at else { return };
        let second = |at: Timestamp| at.micros().div_euclid(1_000_000);
        let totals = |seconds: &mut dyn Iterator<Item = &(u64, u64)>| {
            seconds.fold((0, 0), |totals: (u64, u64), counts| (totals.0 + counts.0, totals.1 + counts.1))
        };
        let (total, served) = totals(
            &mut self.counts_by_second.range(second(restored_at + after) + 1..).map(|(_, counts)| counts),
        );
        let before_loss =
            totals(&mut self.counts_by_second.range(..second(restored_at) - 1).map(|(_, counts)| counts));
        if served * 4 < total && before_loss.1 * 4 >= before_loss.0 {
            self.record_violation("RECOVER", now, format!("{served} of {total} were served"));
        }
    }

    /// MIXED: a client receives a success.
    pub fn record_success(&mut self, at: Timestamp, id: &str, stamp: &str, rows: &str) {
        let Some(statement) = self.statements.get(id) else { return };
        if statement.stamp.as_deref() != Some(stamp) || statement.rows.as_deref() != Some(rows) {
            let description = format!(
                "{id}: {stamp} {rows:?}, where the host said {:?} {:?}",
                statement.stamp, statement.rows
            );
            self.record_violation("MIXED", at, description);
        }
    }

    /// TWICE, REFUSED, LOST: checks the logs at the end of a run.
    pub fn audit_logs(&mut self, now: Timestamp, groups: &[Rc<RefCell<ReplicationGroup>>]) {
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for group in groups {
            for token in group.borrow().log().iter().flat_map(|commit| &commit.writes) {
                *counts.entry(token.clone()).or_default() += 1;
            }
        }
        for (token, count) in &counts {
            if *count > 1 {
                self.record_violation("TWICE", now, format!("{token} is there {count} times"));
            }
        }
        for (token, outcome) in self.write_outcomes.clone() {
            match outcome {
                WriteOutcome::Acknowledged { at, service, .. } if !counts.contains_key(&token) => {
                    self.record_violation(
                        "LOST",
                        at,
                        format!("{token} of {service} was acknowledged and is not there"),
                    );
                }
                WriteOutcome::NotKept { at, service } if counts.contains_key(&token) => {
                    self.record_violation(
                        "REFUSED",
                        at,
                        format!("{token} of {service} is there though nothing was to be kept"),
                    );
                }
                _ => {}
            }
        }
    }

    /// CONFIG, ACKS: checks the configuration read back at the end of a run.
    pub fn audit_configuration(&mut self, now: Timestamp) {
        if self.read_revision.is_none_or(|revision| revision < self.acknowledged_revision) {
            let description = format!(
                "{:?} was read back, {} was acknowledged",
                self.read_revision, self.acknowledged_revision
            );
            self.record_violation("CONFIG", now, description);
        }
        if let Some(pending_since) = self.change_pending_since {
            let description =
                format!("a sound change of {} ms was never acknowledged", pending_since.micros() / 1000);
            self.record_violation("ACKS", now, description);
        }
    }

    /// Records a finished operation in the statistics of its kind.
    pub fn record_operation_of_kind(
        &mut self,
        kind: &'static str,
        started: Timestamp,
        duration: TimeDelta,
        within_target: bool,
        served: bool,
    ) {
        let stats = self.stats_by_kind.entry(kind).or_default();
        (stats.total, stats.served) = (stats.total + 1, stats.served + u64::from(served));
        stats.within_target += u64::from(within_target);
        stats.durations.push(duration);
        let window = stats.windows.entry(started.micros().div_euclid(WINDOW)).or_default();
        (window.0, window.1) = (window.0 + 1, window.1 + u32::from(within_target));
    }

    /// Counts a finished operation in the second of its start.
    pub fn record_operation(&mut self, started: Timestamp, served: bool) {
        let second = started.micros().div_euclid(1_000_000);
        let entry = self.counts_by_second.entry(second).or_default();
        entry.0 += 1;
        entry.1 += u64::from(served);
    }
}
