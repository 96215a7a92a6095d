//! The decisions of arrowyard; see [`logic`].

mod choice;
mod health;
mod logic;
mod post;
mod pressure;
mod probing;
mod router;
mod sending;
mod sends;
mod state;

pub use post::clear_primary_claim;
pub use router::Router;
