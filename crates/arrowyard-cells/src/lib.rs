//! What cells decide. A cell is a subset of the hosts with a share of the router; tenants and groups are confined
//! to cells, so that a flood, a bad tenant or a bad release harms one of them only. No I/O, no clock: the caller
//! passes the time. Which host an op goes to, whether it goes again and what hosts' trouble turns away is the
//! decision module's; here is decided which cell an op belongs to, what room the cell has, and where a tenant's
//! writes may go while it moves.

pub mod admission;
pub mod assignment;
pub mod bulkhead;
pub mod concurrency_limit;
pub mod fair_queue;
pub mod index;
pub mod layout;
pub mod networks;
pub mod retry_budget;
pub mod rollout;
pub mod tenant_move;

pub use admission::{AdmissionDecision, Cells, OpContext, SendOutcome};
pub use layout::Layout;
