//! Arrow Flight SQL over the network: the front end for clients, and the transport to hosts. The protocol
//! logic without I/O is in `arrowyard-flight`; the decision module decides on routing, retries and rejections.

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
