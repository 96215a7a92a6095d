//! Simulated hosts and clients of Arrow Flight SQL, built on the traits and the client of the
//! `arrow-flight` crate.

pub mod client;
pub mod host;

pub use client::FlightClient;
