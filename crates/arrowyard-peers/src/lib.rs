//! Router membership and failure detection in the style of SWIM. Each router keeps a table of the fleet's
//! members and probes a constant number of them per period, independent of the size of the fleet. What it
//! learns is piggybacked on the same datagrams. The crate decides which members to probe, when silence
//! counts as a failure, which rumors take precedence, when this router has to suspect itself, and how many
//! routers there are. It does no I/O and reads no clock: the caller passes in datagrams and the time, and
//! carries out the returned actions.
//!
//! Based on SWIM (indirect probes, suspicion, incarnations), Lifeguard (local health) and Rapid (several
//! observers per member).

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
pub use member::{Member, MemberIndex, Standing, supersedes};
pub use membership::{Action, DatagramCounts, Event, LocalMember, Membership};
pub use router_count::{MembershipSample, RouterCountEstimator};
pub use view::{MemberRow, Reach, View};
