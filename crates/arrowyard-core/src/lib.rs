//! The stages of an op's life that no protocol knows of, on one thread, and the tasks beside them. A front decodes
//! what clients say into a [`Call`], has it admitted by the [`Gate`](admit::Gate), and hands the op in as
//! [`Mail`](mail::Mail) with a payload that it alone understands and a place for the one final [`Reply`]. The route
//! stage asks the decision module where the op goes, and a [`Back`] carries each send out. Whatever front and back
//! are put together, decisions and rules are the same.

pub mod admit;
pub mod back;
pub mod book;
pub mod call;
pub mod clock;
pub mod count;
pub mod discovery;
pub mod drain;
pub mod hatch;
pub mod hints;
mod http;
pub mod leases;
pub mod limits;
pub mod list;
pub mod logger;
pub mod mail;
pub mod peers;
pub mod pool;
pub mod reload;
pub mod reply;
pub mod returns;
pub mod roster;
pub mod route;
pub mod send;
pub mod ward;
pub mod waybill;

pub use back::Back;
pub use call::Call;
pub use limits::Limits;
pub use reply::Reply;
