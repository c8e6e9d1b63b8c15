//! Randomized soak test of the entry process: real processes, stand-ins for the services that they
//! depend on, and injected faults.
//!
//! The stand-ins work on the product's own types. A [`Protocol`] translates between these and the
//! platform's wire formats, so that only the platform's adapter depends on the platform's names.

mod callers;
mod faults;
mod history;
mod late;
mod layout;
mod log;
mod network;
mod permit;
mod process;
mod protocol;
pub mod proxy;
mod run;
pub mod server;
mod worker;

pub use faults::Mix;
pub use log::Log;
pub use network::View;
pub use permit::Permits;
pub use process::Addresses;
pub use protocol::{Acknowledgement, JobStatus, Protocol};
pub use run::{run, run_all};
pub use worker::Incarnation;
