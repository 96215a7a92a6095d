//! The decisions of arrowyard; see [`logic`].

mod logic;
mod post;
mod router;
mod sends;
mod state;

pub use post::careful;
pub use router::Router;
