//! Control plane: membership of hosts and routers, the replicated configuration, and singleton duties.
//! All decisions are made without I/O; `arrowyard-runtime` carries out the commands that they produce.

mod announcements;
mod applied_state;
mod control;
mod duty;
mod host_registry;
mod peer_view;
mod promotion;
mod record;
mod replicated_log;
mod silences;
pub mod voter_set;

pub use announcements::{Announcements, ForwardedList};
pub use applied_state::{AppliedState, ChangeDigest, ChangeStatus, MAX_REMEMBERED_CHANGES, change_digest};
pub use control::{Control, Departures, DiskHealth, LISTENERS, RelayOutcome, Relays, parse_heartbeat};
pub use duty::DutyElection;
pub use host_registry::{Departure, HostRegistry};
pub use peer_view::PeerView;
pub use promotion::{
    HostsSnapshot, Promotion, PromotionRequest, Promotions, Reply, RequestKind, Stage, is_redundant,
};
pub use record::{Record, RecordKind, RegistrySnapshot};
pub use replicated_log::{Output, ProposalId, ProposalOutcome, ReplicatedLog};
pub use silences::{PublishedFloors, Silences};
