//! The one final answer of an op.

use arrowyard_types::TimeDelta;

/// What an op's client is told; `A` is the answer of a host, in the words of the protocol.
#[derive(Debug, PartialEq)]
pub enum Reply<A> {
    Acked(A),
    /// Trying again is harmless, after this span if one is named.
    Busy(Option<TimeDelta>),
    Errored,
    /// What was asked cannot be an op of this router.
    Refused(&'static str),
}
