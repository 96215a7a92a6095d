//! Fair shares: how a host's places are divided between services (kinds of requests, in the operator's words) over all
//! routers together. A *place* is the right to have one statement under way at a host; places are counted in
//! thousandths. Decided without I/O and without a clock; `docs/shares.md` gives the formula and what is promised.
//!
//! [`owed`] is the division itself. An [`Allotter`] (the control machine that holds the duty) divides a host that is
//! pressed, by what routers tell of their need; a [`Holder`] (each router) knows what it was allotted and till when;
//! a [`Meter`] (each router) counts what is under way and what waits.

mod allotter;
mod holder;
mod meter;
mod owed;
mod terms;

pub use allotter::{Allot, Allotter, At, Division, Router, Shown, places};
pub use holder::{Holder, LEASE};
pub use meter::Meter;
pub use owed::{Claim, owed};
pub use terms::{Service, ServiceId, Terms};

/// Places in thousandths.
pub type Milli = u32;

/// One service's need at one router: statements under way, and statements that wait for a place, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    pub service: ServiceId,
    pub runs: Milli,
    pub waits: Milli,
}
