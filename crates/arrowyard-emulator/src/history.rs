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
    /// When the statement was sent.
    pub at: Timestamp,
    /// When the first byte of its transaction was sent.
    pub transaction_started_at: Timestamp,
    pub service: String,
    pub session: u64,
    /// Number of the operation that the statement belongs to.
    pub operation: u64,
    pub text: String,
    /// For `RUN`: the definition of the prepared statement.
    pub shape: Option<String>,
    /// Last value that the session assigned to its variable `tag`.
    pub tag: Option<String>,
    pub freshness: Freshness,
    pub in_transaction: bool,
    /// Stamp and rows that the host returned.
    pub stamp: Option<String>,
    pub rows: Option<String>,
}

/// Outcome of a write as known to its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was acknowledged to a session.
    Acknowledged { at: Timestamp, service: String, session: u64 },
    /// The reply said that the write was not committed.
    NotKept { at: Timestamp, service: String },
    /// The client received no clear reply.
    Unknown,
}

/// Length of an aggregation window in microseconds.
pub const WINDOW_MICROS: i64 = 100_000;

/// Statistics of one kind of requests.
#[derive(Clone, Debug, Default)]
pub struct KindStats {
    /// Finished operations.
    pub total: u64,
    /// Operations served within the latency target.
    pub within_target: u64,
    /// Operations that succeeded, also late.
    pub served: u64,
    /// Latencies of the finished operations.
    pub durations: Vec<TimeDelta>,
    /// By window of the start time: operations, and operations within the latency target.
    pub windows: BTreeMap<i64, (u32, u32)>,
}

impl KindStats {
    /// Counts the operations that started in an interval, and those within the latency target.
    #[must_use]
    pub fn count_between(&self, from: Timestamp, until: Timestamp) -> (u64, u64) {
        let windows = self.windows.range(from.micros() / WINDOW_MICROS..until.micros() / WINDOW_MICROS);
        windows.fold((0, 0), |(total_sum, within_target_sum), (_, (total, within_target))| {
            (total_sum + u64::from(*total), within_target_sum + u64::from(*within_target))
        })
    }

    /// For the windows of an interval: the share with at least `ratio` of operations within the latency
    /// target, and the lowest ratio over ten consecutive windows.
    #[must_use]
    pub fn window_stats(&self, from: Timestamp, until: Timestamp, ratio: f64) -> (f64, f64) {
        let (from, until) = (from.micros() / WINDOW_MICROS, until.micros() / WINDOW_MICROS);
        let windows: Vec<(u32, u32)> = self.windows.range(from..until).map(|(_, window)| *window).collect();
        let met_count = windows
            .iter()
            .filter(|(total, within_target)| f64::from(*within_target) >= f64::from(*total) * ratio)
            .count();
        let ratio_of = |ten_windows: &[(u32, u32)]| {
            let (total, within_target) =
                ten_windows.iter().fold((0, 0), |(total_sum, within_target_sum), (total, within_target)| {
                    (total_sum + total, within_target_sum + within_target)
                });
            f64::from(within_target) / f64::from(total.max(1))
        };
        let lowest_ratio = windows.windows(10).map(ratio_of).fold(1.0, f64::min);
        (met_count as f64 / windows.len().max(1) as f64, lowest_ratio)
    }
}

/// Counts of operations by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OperationCounts {
    pub total: u64,
    /// Served within the latency target.
    pub served: u64,
    /// Served after the latency target.
    pub late: u64,
    /// Failed, but could have been retried.
    pub rejected: u64,
    /// Failed with an unknown or final result.
    pub failed: u64,
}

/// Everything observed during a run.
#[derive(Debug, Default)]
pub struct History {
    /// Statements by id.
    pub statements: BTreeMap<String, StatementRecord>,
    /// Outcomes by the token of the write.
    pub write_outcomes: BTreeMap<String, WriteOutcome>,
    /// Log indexes by the token of the write.
    pub log_indexes: BTreeMap<String, usize>,
    /// Highest acknowledged log index over time, by service and by session. Reads are checked against them.
    acknowledged_by_service: BTreeMap<String, Vec<(Timestamp, usize)>>,
    acknowledged_by_session: BTreeMap<u64, Vec<(Timestamp, usize)>>,
    /// When all machines were running again after a power loss.
    pub power_restored_at: Option<Timestamp>,
    pub violations: Vec<Violation>,
    pub counts: OperationCounts,
    /// By second: operations, and served operations.
    pub counts_by_second: BTreeMap<i64, (u64, u64)>,
    /// Statements executed by hosts.
    pub statements_run: u64,
    /// Sessions that hosts rejected at their connection limit.
    pub connections_over_limit: u64,
    /// Time between the acknowledgement of a drain and the last request that the host received.
    pub last_request_after_drain: Option<TimeDelta>,
    /// Latencies of all finished operations.
    pub latencies: Vec<TimeDelta>,
    /// By kind of requests.
    pub stats_by_kind: BTreeMap<&'static str, KindStats>,
    /// Last acknowledged configuration revision.
    pub acknowledged_revision: u64,
    /// Configuration revision that the operator read back at the end.
    pub read_revision: Option<u64>,
    /// When the pending configuration change was first sent.
    pub change_pending_since: Option<Timestamp>,
    /// When configuration changes were acknowledged.
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

    /// Records that a host executes a statement. Violates `UNASKED` if no client sent it with this text, and
    /// `PINNED` if its definition, tag or transaction is not that of its session. `transaction_operation` is
    /// set within a transaction and holds its operation, once known.
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
            // Routers rename prepared statements, so only the text after the name is compared.
            let (_, parameters) = arrowyard_protocol::split_word(arguments);
            let (expected_keyword, expected_arguments) = arrowyard_protocol::split_word(&statement.text);
            expected_keyword == "RUN" && arrowyard_protocol::split_word(expected_arguments).1 == parameters
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
        let service_timeline = self.acknowledged_by_service.entry(service.to_string()).or_default();
        for timeline in [service_timeline, self.acknowledged_by_session.entry(session).or_default()] {
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
        let is_acknowledged = |outcome: &WriteOutcome| matches!(outcome, WriteOutcome::Acknowledged { service: written_service, .. } if written_service == service);
        self.write_outcomes
            .iter()
            .filter(|(_, outcome)| is_acknowledged(outcome))
            .map(|(token, _)| token.clone())
            .collect()
    }

    /// Records that a host with `applied` commits executes a read. Violates `STALE` if the read must see an
    /// acknowledged commit that the host lacks. Commits beyond `log_length`, the length of the primary's log,
    /// were truncated by a promotion and are covered by `LOST`.
    pub fn record_read(&mut self, at: Timestamp, id: &str, applied: usize, log_length: usize, host: &str) {
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
        if required.min(log_length) > applied {
            let description = format!(
                "{id} ({:?}) runs at {host} with {applied} of {required} commits",
                statement.freshness
            );
            self.record_violation("STALE", at, description);
        }
    }

    /// Records that a host receives a single statement, or the first one of a transaction. Violates `DRAIN`
    /// if it arrives later than `bound` after the drain of the host was acknowledged.
    pub fn record_arrival(
        &mut self,
        at: Timestamp,
        id: &str,
        drain_acknowledged_at: Option<Timestamp>,
        bound: TimeDelta,
        host: &str,
    ) {
        let elapsed = drain_acknowledged_at.map(|drained_at| at - drained_at);
        self.last_request_after_drain = self.last_request_after_drain.max(elapsed);
        if let Some(drained_at) = drain_acknowledged_at.filter(|drained_at| at - *drained_at > bound) {
            let elapsed = at - drained_at;
            self.record_violation(
                "DRAIN",
                at,
                format!("{id} reaches {host} {} ms after that", elapsed.micros() / 1000),
            );
        }
    }

    /// Checks the load after a power loss. Violates `RECOVER` if less than a quarter of the operations are
    /// served once all machines have run for `recovery_time`, and more were served before.
    pub fn audit_recovery(&mut self, now: Timestamp, recovery_time: TimeDelta) {
        let Some(restored_at) = self.power_restored_at else { return };
        let second = |at: Timestamp| at.micros().div_euclid(1_000_000);
        let sum_counts = |seconds: &mut dyn Iterator<Item = &(u64, u64)>| {
            seconds.fold((0, 0), |(total_sum, served_sum): (u64, u64), (total, served)| {
                (total_sum + total, served_sum + served)
            })
        };
        let (total, served) = sum_counts(
            &mut self
                .counts_by_second
                .range(second(restored_at + recovery_time) + 1..)
                .map(|(_, counts)| counts),
        );
        let (total_before, served_before) =
            sum_counts(&mut self.counts_by_second.range(..second(restored_at) - 1).map(|(_, counts)| counts));
        if served * 4 < total && served_before * 4 >= total_before {
            self.record_violation("RECOVER", now, format!("{served} of {total} were served"));
        }
    }

    /// Records that a client receives a success. Violates `MIXED` if the stamp or the rows are not those that
    /// the host returned for the statement.
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

    /// Checks the logs at the end of a run. Violates `TWICE` if they hold a write more than once, `REFUSED` if
    /// they hold one whose reply said that it was not committed, and `LOST` if they lack an acknowledged one.
    pub fn audit_logs(&mut self, now: Timestamp, groups: &[Rc<RefCell<ReplicationGroup>>]) {
        let mut occurrences: BTreeMap<String, u32> = BTreeMap::new();
        for group in groups {
            for token in group.borrow().log().iter().flat_map(|commit| &commit.writes) {
                *occurrences.entry(token.clone()).or_default() += 1;
            }
        }
        for (token, count) in &occurrences {
            if *count > 1 {
                self.record_violation("TWICE", now, format!("{token} is there {count} times"));
            }
        }
        for (token, outcome) in self.write_outcomes.clone() {
            match outcome {
                WriteOutcome::Acknowledged { at, service, .. } if !occurrences.contains_key(&token) => {
                    self.record_violation(
                        "LOST",
                        at,
                        format!("{token} of {service} was acknowledged and is not there"),
                    );
                }
                WriteOutcome::NotKept { at, service } if occurrences.contains_key(&token) => {
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

    /// Checks the configuration at the end of a run. Violates `CONFIG` if the revision read back is older than
    /// the last acknowledged one, and `ACKS` if a valid change was not acknowledged.
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
        let (window_total, window_within_target) =
            stats.windows.entry(started.micros().div_euclid(WINDOW_MICROS)).or_default();
        (*window_total, *window_within_target) =
            (*window_total + 1, *window_within_target + u32::from(within_target));
    }

    /// Counts a finished operation in the second of its start.
    pub fn record_operation(&mut self, started: Timestamp, served: bool) {
        let second = started.micros().div_euclid(1_000_000);
        let (total, served_total) = self.counts_by_second.entry(second).or_default();
        *total += 1;
        *served_total += u64::from(served);
    }
}
