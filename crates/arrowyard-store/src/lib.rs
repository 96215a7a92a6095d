//! What a router keeps on disk: the list of hosts as it last knew it. Two generations, each written whole beside the old
//! one, synced and renamed, so that a router killed at any moment finds one that is whole; and each thing that can be
//! wrong with a file told apart, reported, and no reason not to start. Writing blocks: it is for a thread of its own.

mod disk;
mod format;
mod generations;

pub use disk::{Disk, SystemDisk};
pub use format::{GenerationState, Host, MAX_FILE_BYTES, Snapshot, decode, encode};
pub use generations::{Generation, Loaded, Store};
