//! Event loop that runs a [`Plane`]: one thread for sockets, timers and signals, and a second one for the
//! disk.
//!
//! A plane is a deterministic state machine without I/O. It receives an [`Event`] with the current time and
//! appends [`Commands`]; the loop executes them after the call returns.

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

/// A state machine driven by the event loop. All state changes happen in [`Plane::handle`].
pub trait Plane {
    /// Handles one event and appends the resulting commands, which the loop executes in order.
    fn handle(&mut self, now: Timestamp, event: Event<'_>, commands: &mut Commands);

    /// The time of the next [`Event::TimerExpired`]; `None` to wait for another event.
    fn due(&self) -> Option<Timestamp>;

    /// The whole durable state as one record that replaces all records stored before.
    fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }
}
