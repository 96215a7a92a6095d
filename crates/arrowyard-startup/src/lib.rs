//! Coming back: what a router that starts knows at each stage, how far it trusts that, when its service is full, and how
//! clients that it gives back are spread. Decided without I/O and clock.

mod credence;
mod herd;
mod stage;
mod weigh;

pub use credence::{Credence, Verdict};
pub use herd::{Herd, Pace};
pub use stage::{Full, Return, Stage, Terms, spread};
pub use weigh::{Comes, Trust, Weighed, confidence, weigh};
