//! Bidirectional remote calls over one WebSocket connection between two processes.
//!
//! Either side may call the other. [`Client`] connects to a peer and reconnects until it is
//! dropped; [`serve`] accepts connections. Incoming calls and notices are passed to a [`Handler`].

mod bounds;
mod client;
mod connection;
mod error;
mod server;
mod traffic;

pub use bounds::Bounds;
pub use client::Client;
pub use connection::{Handler, Peer, Reply};
pub use error::{Error, Fault};
pub use server::{serve, serve_within};
pub use traffic::{Traffic, traffic};
