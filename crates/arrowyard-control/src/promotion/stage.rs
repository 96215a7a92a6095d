//! Stages of a service's change of primary.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use arrowyard_protocol::{Observed, Position};
use arrowyard_types::Timestamp;

/// Stage of a change of primary.
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum Stage {
    /// No change in progress.
    Idle,
    /// The primary was reported unresponsive and is being checked.
    Checking { host: String, timeouts: u32 },
    /// Asks the hosts for their positions.
    Surveying {
        old: Option<String>,
        planned: bool,
        rows: BTreeMap<String, Observed>,
        /// Hosts that did not respond.
        unanswered: BTreeSet<String>,
    },
    /// Makes replicas other than a planned candidate stop receiving.
    Fencing {
        old: Option<String>,
        candidate: Option<String>,
        pending_hosts: BTreeSet<String>,
        /// Above every term reported in the survey.
        term: u64,
        rows: BTreeMap<String, Observed>,
    },
    /// Waits until the candidate has received everything that other hosts have.
    CatchingUp {
        old: Option<String>,
        candidate: String,
        required: Position,
        /// Whether `required` covers the position of the old primary.
        includes_old: bool,
        until: Timestamp,
    },
    /// Routers make an unreachable primary yield; then waits for replicas that may have joined it.
    Yielding { old: Option<String>, candidate: String },
    /// Asks the platform to promote the candidate.
    Promoting {
        old: Option<String>,
        candidate: String,
        /// Whether the old primary serves until the change.
        planned: bool,
        retries: u32,
    },
    /// The platform accepted the change; the candidate has not reported yet that it is primary.
    Confirming { candidate: String, planned: bool, until: Timestamp },
}

impl Stage {
    /// Whether a change in progress ends if this host reports that it is primary; not if it is the host that
    /// a planned change replaces.
    pub(super) fn ends_if_primary(&self, primary: &str) -> bool {
        let other = |old: &Option<String>| old.as_deref() != Some(primary);
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
