//! The final reply of an op; each op gets exactly one.

use arrowyard_types::TimeDelta;

/// The final reply to the client; `A` is a host's answer in the form of the protocol.
#[derive(Debug, PartialEq)]
pub enum Reply<A> {
    Acked(A),
    /// The op did not run and may be retried, after this time if it is given.
    Busy(Option<TimeDelta>),
    Errored,
    /// The request is invalid.
    Refused(&'static str),
}
