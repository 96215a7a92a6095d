//! The decision module of arrowyard, free of I/O: which database host takes an op, and when an op is retried
//! or rejected.
//!
//! A caller makes a [`Router`], hands it every event with the time of its arrival, and carries out the
//! resulting actions in order; the types are in `arrowyard-types`. Each host is an actor with an inbox. The
//! dispatcher holds the ops and sees of a host only its `HostView`. [`Router::handle`] empties the inboxes,
//! those of the hosts first.
//!
//! State is in `state`, `sends` and `queues`. The decisions are in `logic` (events), `health` (a host's
//! limit and health), `choice` (which host), `probing`, `sending` (admission, retries) and `pressure` (load
//! shedding, tenant quotas).

mod choice;
mod health;
mod logic;
mod pressure;
mod probing;
mod queues;
mod router;
mod sending;
mod sends;
mod state;

pub use queues::clear_primary_claim;
pub use router::Router;
