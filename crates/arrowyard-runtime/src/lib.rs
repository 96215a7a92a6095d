//! The loop under every plane: one thread with sockets, timers and signals, and one more that waits for the disk.
//! A plane decides without I/O: it takes an [`Event`] with the time and leaves [`Orders`]; the loop carries them out.

mod commands;
mod conn;
pub mod http;
mod journal;
mod run;
mod storage;
mod store;
mod timers;

pub use commands::{CloseReason, Command, Commands, Conn, Event, ListenerId, Signal};
pub use journal::{CHECKPOINT_BYTES, Journal, JournalError};
pub use run::{LoopConfig, run};
pub use storage::{Directory, JournalStorage, RegularFile};
pub use store::{DiskEvent, Recovered, Store, open as open_store};
pub use timers::Timers;

use arrowyard_types::Timestamp;

/// What decides: one function for every change of its state.
pub trait Plane {
    fn handle(&mut self, now: Timestamp, event: Event<'_>, commands: &mut Commands);

    /// When it wants to be woken; nothing: not before the next event.
    fn due(&self) -> Option<Timestamp>;

    /// All that its disk must know, as one record that stands for every record before it.
    fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }
}
