//! Routers that know each other. Each router holds a table of the fleet's members and asks a few of them, a constant
//! number however large the fleet is, whether they live; what it finds out travels with the same datagrams. Here is what
//! is decided: whom to ask, when silence counts, whose word counts, when to doubt oneself, and how many routers there are.
//! No I/O and no clock: the caller hands in datagrams and the time, and carries out the deeds that come back.
//!
//! `docs/notes/peers.md` says which ways were weighed; the pieces are SWIM's indirect questions and incarnations,
//! Lifeguard's doubt about oneself, and Rapid's several observers of each member.

mod anti_entropy;
mod config;
mod gossip;
mod health;
mod member;
mod membership;
pub mod message;
mod probe;
mod router_count;
mod table;
mod view;

pub use config::{MembershipConfig, PeerSettings};
pub use health::LocalHealth;
pub use member::{Member, Slot, Standing, supersedes};
pub use membership::{Action, DatagramCounts, Event, LocalMember, Membership};
pub use router_count::{MembershipSample, RouterCountEstimator};
pub use view::{MemberRow, Reach, View};
