//! The final reply of an op; each op gets exactly one.

use arrowyard_types::TimeDelta;

/// The final reply to the client; `A` is a host's answer in the form of the protocol.
#[derive(Debug, PartialEq)]
pub enum Reply<A> {
    /// The op ran, with the answer of the host.
    Acked(A),
    /// The op did not run and may be retried, after this delay if one is given.
    Busy(Option<TimeDelta>),
    /// The op failed and may have run.
    Errored,
    /// The request is invalid, for this reason.
    Refused(&'static str),
}
