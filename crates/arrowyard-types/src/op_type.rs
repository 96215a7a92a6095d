use crate::{Facts, Manifest, Span};

/// How far hosts drop repeats of a tokened op.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    All,
    Zone,
    Group,
}

/// What a second run of an op does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Retryable,
    /// Hosts of the scope drop repeats for as long as they remember.
    Tokened {
        memory: Span,
        scope: Scope,
    },
    NonRetryable,
}

/// How fresh the data must be that an op sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    Any,
    Bounded(Span),
    Session,
    Fresh,
    Write,
}

impl Need {
    pub fn bound(self) -> Option<Span> {
        if let Need::Bounded(bound) = self { Some(bound) } else { None }
    }
}

/// One row of the op types, as the manifest tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct OpType {
    pub latency_target: Span,
    pub op_timeout: Span,
    pub value: f64,
    /// The part of the value that an answer after the latency target still earns.
    pub late_value: f64,
    pub effect: Effect,
    pub need: Need,
}

impl OpType {
    pub fn rows(manifest: &Manifest) -> Vec<OpType> {
        let told = |row: &usize| manifest.contains_key(&format!("op_type.{row}.latency_target"));
        (0..).take_while(told).map(|row| Self::row(manifest, row)).collect()
    }

    fn row(manifest: &Manifest, row: usize) -> OpType {
        let key = |field: &str| format!("op_type.{row}.{field}");
        let scope = match manifest.text(&key("scope")) {
            "all" => Scope::All,
            "zone" => Scope::Zone,
            _ => Scope::Group,
        };
        OpType {
            latency_target: manifest.span(&key("latency_target")).max(Span::from_micros(1)),
            op_timeout: manifest.span(&key("op_timeout")),
            value: manifest.number_or(&key("value"), 1.0),
            late_value: manifest.number_or(&key("late_value"), 0.0),
            effect: match manifest.text(&key("effect")) {
                "retryable" => Effect::Retryable,
                "tokened" => Effect::Tokened { memory: manifest.span(&key("memory")), scope },
                _ => Effect::NonRetryable,
            },
            need: match manifest.text(&key("read")) {
                "any" => Need::Any,
                "bounded" => Need::Bounded(manifest.span(&key("bound"))),
                "session" => Need::Session,
                "fresh" => Need::Fresh,
                _ => Need::Write,
            },
        }
    }
}
