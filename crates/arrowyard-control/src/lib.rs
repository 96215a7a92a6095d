//! The control plane: which hosts and routers there are, what the configuration is, who holds a duty. All of it
//! decides without I/O; `arrowyard-runtime` carries out what it orders.

mod applied;
mod cell;
mod control;
mod duty;
mod ledger;
mod promotion;
mod record;
pub mod seats;
mod view;

pub use applied::{Applied, Digest, REMEMBERED, Standing, digest};
pub use cell::Cell;
pub use control::{Control, DOORS, Departures, DiskWatch, Relayed, Relays};
pub use duty::Duties;
pub use ledger::{Answer, Ledger, Output, ProposalId};
pub use promotion::{Ask, Promotion, Promotions, Reply, Sight, Stage, To, is_repeated};
pub use record::{Kept, Memory, Record};
pub use view::View;
