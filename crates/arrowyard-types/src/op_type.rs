use crate::{RouterSettings, RouterSettingsExt, TimeDelta};

/// How far hosts drop repeats of a tokened op.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Group,
}

/// What a second run of an op does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    Retryable,
    /// Hosts of the scope drop repeats for as long as they remember.
    Deduplicated {
        window: TimeDelta,
        scope: DedupScope,
    },
    NonRetryable,
}

/// How fresh the data must be that an op sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    Any,
    Bounded(TimeDelta),
    Session,
    Fresh,
    Write,
}

impl Consistency {
    pub fn staleness_bound(self) -> Option<TimeDelta> {
        if let Consistency::Bounded(bound) = self { Some(bound) } else { None }
    }
}

/// One row of the op types, as the manifest tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct OpType {
    pub latency_target: TimeDelta,
    pub op_timeout: TimeDelta,
    pub value: f64,
    /// The part of the value that an answer after the latency target still earns.
    pub late_value: f64,
    pub retry_safety: RetrySafety,
    pub consistency: Consistency,
}

impl OpType {
    pub fn rows(manifest: &RouterSettings) -> Vec<OpType> {
        let told = |row: &usize| manifest.contains_key(&format!("op_type.{row}.latency_target"));
        (0..).take_while(told).map(|row| Self::row(manifest, row)).collect()
    }

    fn row(manifest: &RouterSettings, row: usize) -> OpType {
        let key = |field: &str| format!("op_type.{row}.{field}");
        let scope = match manifest.text(&key("scope")) {
            "all" => DedupScope::All,
            "zone" => DedupScope::Zone,
            _ => DedupScope::Group,
        };
        OpType {
            latency_target: manifest.time_delta(&key("latency_target")).max(TimeDelta::from_micros(1)),
            op_timeout: manifest.time_delta(&key("op_timeout")),
            value: manifest.number_or(&key("value"), 1.0),
            late_value: manifest.number_or(&key("late_value"), 0.0),
            retry_safety: match manifest.text(&key("effect")) {
                "retryable" => RetrySafety::Retryable,
                "tokened" => RetrySafety::Deduplicated { window: manifest.time_delta(&key("memory")), scope },
                _ => RetrySafety::NonRetryable,
            },
            consistency: match manifest.text(&key("read")) {
                "any" => Consistency::Any,
                "bounded" => Consistency::Bounded(manifest.time_delta(&key("bound"))),
                "session" => Consistency::Session,
                "fresh" => Consistency::Fresh,
                _ => Consistency::Write,
            },
        }
    }
}
