//! Messages between control machines, and between control machines and routers. A frame is a protobuf
//! message preceded by its length as a big-endian 32-bit integer. No I/O.

mod frame;
mod message;
mod relay;

pub use frame::{FrameDecoder, FrameError, encode_frame};
pub use message::*;
pub use relay::{HostRequest, HostStatus, RelayedRequest, RelayedResponse};
