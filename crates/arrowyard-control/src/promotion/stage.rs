//! The stages of one service's change of primary.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use arrowyard_protocol::{Observed, Position};
use arrowyard_types::Timestamp;

#[derive(Clone, Debug, PartialEq, Hash)]
pub enum Stage {
    Idle,
    /// Somebody said that the primary does not answer.
    Checking {
        host: String,
        silent: u32,
    },
    /// Which hosts there are and what they have.
    Surveying {
        old: Option<String>,
        planned: bool,
        rows: BTreeMap<String, Observed>,
        /// Hosts that did not answer.
        unanswered: BTreeSet<String>,
    },
    /// The others receive no more.
    Fencing {
        old: Option<String>,
        candidate: Option<String>,
        asked: BTreeSet<String>,
        /// Above every one that was told.
        term: u64,
        rows: BTreeMap<String, Observed>,
    },
    /// The candidate still lacks something that another one has.
    CatchingUp {
        old: Option<String>,
        candidate: String,
        required: Position,
        /// Whether what the old primary has is known, and `required` covers it.
        includes_old: bool,
        until: Timestamp,
    },
    /// Routers make a primary that control cannot ask yield, and hosts that joined it lately are waited for.
    Yielding {
        old: Option<String>,
        candidate: String,
    },
    Promoting {
        old: Option<String>,
        candidate: String,
        /// Whether the primary serves until the change.
        planned: bool,
        retries: u32,
    },
    /// The platform took it; the candidate has not said yet that it leads.
    Confirming {
        candidate: String,
        planned: bool,
        until: Timestamp,
    },
}

impl Stage {
    /// Whether a change under way is over if this host leads: all but the one that is replaced in order.
    pub(super) fn ends_with(&self, leads: &str) -> bool {
        let other = |old: &Option<String>| old.as_deref() != Some(leads);
        match self {
            Stage::Surveying { old, planned, .. } => !planned || other(old),
            Stage::Fencing { old, candidate, .. } => candidate.is_none() || other(old),
            Stage::CatchingUp { old, .. } => other(old),
            Stage::Yielding { .. } => true,
            _ => false,
        }
    }
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Stage::Idle => write!(f, "it is steady"),
            Stage::Checking { host, .. } => write!(f, "{host} is said not to answer"),
            Stage::Surveying { planned: true, .. } => write!(f, "its primary leaves, candidates are asked"),
            Stage::Surveying { .. } => write!(f, "it has no primary, candidates are asked"),
            Stage::Fencing { .. } => write!(f, "replicas are to stop receiving"),
            Stage::CatchingUp { candidate, .. } => write!(f, "{candidate} receives the rest"),
            Stage::Yielding { .. } => write!(f, "its old primary is to yield"),
            Stage::Promoting { candidate, .. } => write!(f, "{candidate} is to lead"),
            Stage::Confirming { candidate, .. } => write!(f, "the platform makes {candidate} lead"),
        }
    }
}
