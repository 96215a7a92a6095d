//! What the holder of the duty asks of hosts and of the platform, and what comes back.

use arrowyard_protocol::Observed;

/// What is asked of hosts and of the platform.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PromotionRequest {
    Observe {
        host: String,
    },
    /// The attempt tells the answer from the one to an earlier question of this kind.
    Pause {
        host: String,
        term: u64,
        attempt: u64,
    },
    Continue {
        host: String,
    },
    /// Is to be asked with the duty's fence.
    Promote {
        service: String,
        host: String,
    },
}

/// What a row answers. Danger: a late answer to a question of before is no word that a host has stopped receiving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RowKind {
    Observe,
    Pause(u64),
    Continue,
}

impl PromotionRequest {
    /// Which of a host's rows answers it; none if it is asked of the platform.
    pub fn row_kind(&self) -> Option<RowKind> {
        match self {
            PromotionRequest::Observe { .. } => Some(RowKind::Observe),
            PromotionRequest::Pause { attempt, .. } => Some(RowKind::Pause(*attempt)),
            PromotionRequest::Continue { .. } => Some(RowKind::Continue),
            PromotionRequest::Promote { .. } => None,
        }
    }
}

/// Whether a question needs no answer of its own, after those that wait at the same host. Danger: a host that is to go on
/// receiving and then to stop must be told again to go on; of these two only the last one counts.
pub fn is_redundant<'a>(
    waiting: impl Iterator<Item = &'a PromotionRequest> + Clone,
    ask: &PromotionRequest,
) -> bool {
    match ask {
        PromotionRequest::Observe { .. } => waiting.clone().any(|other| other == ask),
        _ => waiting.filter(|other| !matches!(other, PromotionRequest::Observe { .. })).last() == Some(ask),
    }
}

/// What came back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    Row {
        host: String,
        kind: RowKind,
        row: Observed,
    },
    /// No answer, or none that helps.
    Silent {
        host: String,
    },
    /// It lives and has no room for the question.
    Busy {
        host: String,
    },
    /// A router made the old primary yield: it lived, and whoever joined it may have acknowledged for it.
    Yielded,
    Platform {
        status: u16,
    },
}
