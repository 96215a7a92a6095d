//! Arrow Flight SQL before the core: the front that clients call, and the back that sends to hosts. What is decided of
//! the protocol stands in `arrowyard-flight`, and which host, whether again and what is turned away in the module.

pub mod answer;
pub mod back;
pub mod clerk;
pub mod limits;
pub mod link;
pub mod listen;
pub mod service;

pub use answer::{Errand, Served};
pub use back::FlightBack;
pub use limits::FlightLimits;
pub use service::FlightFront;
