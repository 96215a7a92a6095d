//! Requests of a promotion to hosts and to the platform, and their replies.

use arrowyard_protocol::Observed;

/// A request to a host or to the platform.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PromotionRequest {
    /// Asks a host for its role and position.
    Observe { host: String },
    /// Tells a replica to stop receiving. `attempt` distinguishes the response from that to an earlier
    /// pause request.
    Pause { host: String, term: u64, attempt: u64 },
    /// Tells a replica to continue receiving. `attempt` is that of the last pause request to it.
    Continue { host: String, attempt: u64 },
    /// Asks the platform to promote a host, under a fencing token.
    Promote { service: String, host: String },
}

/// The kind of request that a row answers. Safety: a late response to an earlier request does not prove
/// that a host has stopped receiving, or that it continues: it may have been paused again meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestKind {
    Observe,
    Pause(u64),
    Continue(u64),
}

impl PromotionRequest {
    /// The kind of this request; `None` for a request to the platform.
    pub fn request_kind(&self) -> Option<RequestKind> {
        match self {
            PromotionRequest::Observe { .. } => Some(RequestKind::Observe),
            PromotionRequest::Pause { attempt, .. } => Some(RequestKind::Pause(*attempt)),
            PromotionRequest::Continue { attempt, .. } => Some(RequestKind::Continue(*attempt)),
            PromotionRequest::Promote { .. } => None,
        }
    }
}

/// Whether a request is redundant after those already queued for the same host. An observation is
/// redundant if an equal one is queued; a pause or continue only if it equals the last one queued,
/// since a host may have to be paused and continued alternately.
pub fn is_redundant<'a>(
    waiting: impl Iterator<Item = &'a PromotionRequest> + Clone,
    request: &PromotionRequest,
) -> bool {
    match request {
        PromotionRequest::Observe { .. } => waiting.clone().any(|other| other == request),
        _ => {
            waiting.filter(|other| !matches!(other, PromotionRequest::Observe { .. })).last() == Some(request)
        }
    }
}

/// A reply to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A host responded with its role and position.
    Row { host: String, kind: RequestKind, row: Observed },
    /// The host did not respond, or responded with an error.
    NoResponse { host: String },
    /// The host is alive but has no capacity for the request.
    Busy { host: String },
    /// A router made the old primary yield: it was alive, and replicas that joined it may have acknowledged
    /// commits.
    Yielded,
    /// The platform responded with this HTTP status; 0 if it did not respond.
    Platform { status: u16 },
}
