//! Hosts and clients on Arrow Flight SQL, by the library's own traits and its ready-made client.

pub mod client;
pub mod host;

pub use client::FlightClient;
