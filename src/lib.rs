//! The decisions of arrowyard; see [`logic`].

mod logic;

pub use logic::Router;
