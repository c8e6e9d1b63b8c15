//! A randomized soak of the entry process: real processes, stand-ins for what they talk to, and
//! faults from outside.
//!
//! The stand-ins decide in the product's terms. What they say on the wire, and how callers ask, is
//! told by a [`Dialect`], so that the platform's names stay in its adapter.

mod callers;
mod dialect;
mod history;
mod log;
mod plan;
mod play;
mod process;
pub mod proxy;
pub mod server;
mod worker;

pub use dialect::{Dialect, Handed, Shown};
pub use log::Log;
pub use play::{play, play_all};
pub use process::Addresses;
pub use worker::Life;
