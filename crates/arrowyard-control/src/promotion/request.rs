//! What the holder of the duty asks of hosts and of the platform, and what comes back.

use arrowyard_protocol::Observed;

/// What is asked of hosts and of the platform.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Ask {
    Observe {
        host: String,
    },
    /// The turn tells the answer from the one to an earlier question of this kind.
    Pause {
        host: String,
        term: u64,
        turn: u64,
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
pub enum To {
    Observe,
    Pause(u64),
    Continue,
}

impl Ask {
    /// Which of a host's rows answers it; none if it is asked of the platform.
    pub fn to(&self) -> Option<To> {
        match self {
            Ask::Observe { .. } => Some(To::Observe),
            Ask::Pause { turn, .. } => Some(To::Pause(*turn)),
            Ask::Continue { .. } => Some(To::Continue),
            Ask::Promote { .. } => None,
        }
    }
}

/// Whether a question needs no answer of its own, after those that wait at the same host. Danger: a host that is to go on
/// receiving and then to stop must be told again to go on; of these two only the last one counts.
pub fn is_repeated<'a>(waiting: impl Iterator<Item = &'a Ask> + Clone, ask: &Ask) -> bool {
    match ask {
        Ask::Observe { .. } => waiting.clone().any(|other| other == ask),
        _ => waiting.filter(|other| !matches!(other, Ask::Observe { .. })).last() == Some(ask),
    }
}

/// What came back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    Row {
        host: String,
        to: To,
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
