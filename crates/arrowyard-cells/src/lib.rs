//! Cell-based isolation for the router. A cell is a subset of the hosts together with a share of the
//! router's capacity. Tenants and groups are confined to cells, so that overload, a misbehaving tenant or a
//! bad rollout affects a single cell.
//!
//! This crate decides which cell an op belongs to, whether that cell has capacity for it, how many retries
//! the cell may send, and where a tenant's ops go while the tenant moves between cells. Choosing a host,
//! retrying a send and circuit breaking belong to the decision module. The crate does no I/O and reads no
//! clock: the caller passes the time.

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
