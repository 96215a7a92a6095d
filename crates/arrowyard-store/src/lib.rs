//! On-disk snapshots of the host list that a router last knew. Two generations are kept, each written to a
//! temporary file, synced and renamed, so that a router that is killed at any moment finds a valid one. Each
//! kind of damage is reported separately, and none prevents a start. Writes block the calling thread.

mod disk;
mod format;
mod generations;

pub use disk::{Disk, SystemDisk};
pub use format::{GenerationState, Host, MAX_FILE_BYTES, Snapshot, decode, encode};
pub use generations::{Generation, Loaded, Store};
