//! Two-way links: one WebSocket connection between two processes.
//!
//! Either side may call the other. [`Client`] dials a peer and redials for ever; [`serve`] takes
//! links. What arrives goes to a [`Handler`].

mod client;
mod connection;
mod error;
mod server;
mod traffic;

pub use client::Client;
pub use connection::{Handler, Peer, Reply};
pub use error::{Error, Fault};
pub use server::serve;
pub use traffic::{Traffic, traffic};
