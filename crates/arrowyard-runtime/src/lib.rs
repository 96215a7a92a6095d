//! The loop under every plane: one thread with sockets, timers and signals, and one more that waits for the disk.
//! A plane decides without I/O: it takes an [`Event`] with the time and leaves [`Orders`]; the loop carries them out.

mod conn;
mod folder;
pub mod http;
mod journal;
mod orders;
mod run;
mod store;
mod timers;

pub use folder::{Directory, Folder, RegularFile};
pub use journal::{CHECKPOINT_BYTES, Journal, JournalError};
pub use orders::{Conn, Door, Event, Order, Orders, Sign, Why};
pub use run::{Plumbing, run};
pub use store::{Recovered, Store, Stored, open as open_store};
pub use timers::Timers;

use arrowyard_types::Timestamp;

/// What decides: one function for every change of its state.
pub trait Plane {
    fn handle(&mut self, now: Timestamp, event: Event<'_>, orders: &mut Orders);

    /// When it wants to be woken; nothing: not before the next event.
    fn due(&self) -> Option<Timestamp>;

    /// All that its disk must know, as one record that stands for every record before it.
    fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }
}
