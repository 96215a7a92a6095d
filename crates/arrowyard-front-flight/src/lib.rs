//! Arrow Flight SQL: the front end that clients call, and the transport that sends ops to hosts. Protocol
//! logic without I/O is in `arrowyard-flight`; routing, retries and rejections are decided by the decision
//! module.

pub mod backend;
pub mod front_end_state;
pub mod host_connection;
pub mod limits;
pub mod listen;
pub mod response;
pub mod service;

pub use backend::FlightBackend;
pub use limits::FlightLimits;
pub use response::{ClientResponse, OpPayload};
pub use service::FlightFrontEnd;
