//! A randomized soak of the entry process: real processes, stand-ins for what they talk to, and
//! faults from outside.
//!
//! The stand-ins decide in the product's terms. What they say on the wire, and how callers ask, is
//! told by a [`Protocol`], so that the platform's names stay in its adapter.

mod callers;
mod history;
mod log;
mod plan;
mod process;
mod protocol;
pub mod proxy;
mod run;
pub mod server;
mod worker;

pub use log::Log;
pub use process::Addresses;
pub use protocol::{Acknowledgement, JobStatus, Protocol};
pub use run::{run, run_all};
pub use worker::Incarnation;
