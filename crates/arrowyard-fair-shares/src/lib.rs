//! Weighted fair sharing of a host's concurrency between classes of requests, over all routers together. The
//! operator configures a share for each class; routes without one have a class of their own.
//!
//! A *permit* is the right to have one statement in flight at a host; permits are counted in thousandths
//! ([`MilliPermits`]). Nothing here does I/O or reads a clock. `docs/shares.md` gives the formula and the
//! guarantees.
//!
//! [`weighted_max_min`] is the division itself. The [`Allocator`] runs on the control machine that holds
//! the duty and divides overloaded hosts by the demand that routers report. [`AllocationLeases`] on each
//! router holds the caps that the router was allocated and their expiry; [`DemandMeter`] on each router
//! measures in-flight and queued statements.

mod allocator;
mod demand_meter;
mod leases;
mod max_min;
mod share_config;

pub use allocator::{
    Allocation, AllocationRound, Allocator, ClassStatus, HostInfo, RouterId, permits_for_capacity,
};
pub use demand_meter::DemandMeter;
pub use leases::{ALLOCATION_LEASE, AllocationLeases};
pub use max_min::{Contender, weighted_max_min};
pub use share_config::{ClassId, ClassShare, ShareConfig};

/// Permits in thousandths.
pub type MilliPermits = u32;

/// The demand of one class at one router: in-flight statements, and statements queued for a permit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassDemand {
    pub class: ClassId,
    pub in_flight: MilliPermits,
    pub queued: MilliPermits,
}
