//! Op types: what an op may cost, earn and require.

use crate::{RouterSettings, RouterSettingsExt, TimeDelta};

/// The hosts among which a repeat of an op with an idempotency token is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Group,
}

/// Whether an op that may have run can be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    Retryable,
    /// Hosts within the scope drop repeats during the window, counted from the first send.
    Deduplicated {
        window: TimeDelta,
        scope: DedupScope,
    },
    NonRetryable,
}

/// The consistency that an op requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// A read of any age.
    Any,
    /// A read of data at most this stale.
    Bounded(TimeDelta),
    /// A read that sees the session's own writes.
    Session,
    /// A read of the latest data: by the primary, or by a replica that checks.
    Fresh,
    /// A write, by the primary.
    Write,
}

impl Consistency {
    /// The bound of a bounded read.
    pub fn staleness_bound(self) -> Option<TimeDelta> {
        if let Consistency::Bounded(bound) = self { Some(bound) } else { None }
    }
}

/// One op type.
#[derive(Clone, Debug, PartialEq)]
pub struct OpType {
    /// An answer within this time earns the full value.
    pub latency_target: TimeDelta,
    /// The client gives up after this time.
    pub op_timeout: TimeDelta,
    pub value: f64,
    /// Share of the value that an answer after the latency target earns.
    pub late_value: f64,
    pub retry_safety: RetrySafety,
    pub consistency: Consistency,
}

impl OpType {
    /// The op types in the settings, from row 0 up to the first missing one.
    pub fn rows(settings: &RouterSettings) -> Vec<OpType> {
        let is_set = |row: &usize| settings.contains_key(&format!("op_type.{row}.latency_target"));
        (0..).take_while(is_set).map(|row| Self::row(settings, row)).collect()
    }

    fn row(settings: &RouterSettings, row: usize) -> OpType {
        let key = |field: &str| format!("op_type.{row}.{field}");
        let scope = match settings.text(&key("scope")) {
            "all" => DedupScope::All,
            "zone" => DedupScope::Zone,
            _ => DedupScope::Group,
        };
        OpType {
            latency_target: settings.time_delta(&key("latency_target")).max(TimeDelta::from_micros(1)),
            op_timeout: settings.time_delta(&key("op_timeout")),
            value: settings.number_or(&key("value"), 1.0),
            late_value: settings.number_or(&key("late_value"), 0.0),
            retry_safety: match settings.text(&key("effect")) {
                "retryable" => RetrySafety::Retryable,
                "tokened" => RetrySafety::Deduplicated { window: settings.time_delta(&key("memory")), scope },
                _ => RetrySafety::NonRetryable,
            },
            consistency: match settings.text(&key("read")) {
                "any" => Consistency::Any,
                "bounded" => Consistency::Bounded(settings.time_delta(&key("bound"))),
                "session" => Consistency::Session,
                "fresh" => Consistency::Fresh,
                _ => Consistency::Write,
            },
        }
    }
}
