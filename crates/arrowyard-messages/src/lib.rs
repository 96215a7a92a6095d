//! What the system's own processes say to each other: control to control, and control to routers. A frame is its
//! length, four bytes with the highest first, and a message of protobuf. No I/O.

mod frame;
mod message;
mod relay;

pub use frame::{FrameDecoder, FrameError, encode_frame};
pub use message::*;
pub use relay::{HostRequest, HostStatus, RelayedRequest, RelayedResponse};
