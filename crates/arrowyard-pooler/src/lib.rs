//! The data plane: clients' sessions before, hosts' connections behind, and the module between them, which picks the
//! host of every statement that may choose. It decides without I/O; `arrowyard-runtime` carries out what it orders.

mod fresh;
mod link;
mod module;
mod pace;
mod plane;
mod replacements;
mod routes;
mod session;

pub use fresh::Timeline;
pub use link::{Expect, Link, Values};
pub use pace::Paces;
pub use plane::{DOORS, Sluice};
pub use routes::{Routes, Statement as StatementKind};
pub use session::{Session, Stage};
