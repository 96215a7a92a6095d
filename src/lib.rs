//! The decisions of arrowyard; see [`logic`].

mod logic;
mod post;
mod sends;

pub use logic::Router;
