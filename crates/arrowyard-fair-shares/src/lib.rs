//! Weighted fair sharing of a host's concurrency between services, over all routers together. Services here
//! are the operator's classes of requests.
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
    Allocation, AllocationRound, Allocator, HostInfo, RouterId, ServiceStatus, permits_for_slots,
};
pub use demand_meter::DemandMeter;
pub use leases::{ALLOCATION_LEASE, AllocationLeases};
pub use max_min::{Claim, weighted_max_min};
pub use share_config::{ServiceId, ServiceShare, ShareConfig};

/// Permits in thousandths.
pub type MilliPermits = u32;

/// The demand of one service at one router: in-flight statements, and statements queued for a permit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceDemand {
    pub service: ServiceId,
    pub in_flight: MilliPermits,
    pub queued: MilliPermits,
}
