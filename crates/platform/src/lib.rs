//! Interfaces to the platform, which provides the log and the VMs with workers and service
//! instances, and their HTTP adapters.
//!
//! The rest of rosemaryworks calls the platform only through the trait objects [`Log`],
//! [`Workers`], [`Instances`] and [`Directory`]. Each has one adapter in one file under [`http`];
//! supporting another platform requires only other adapters.

pub mod appender;
pub mod directory;
mod failure;
pub mod health;
pub mod http;
pub mod instances;
pub mod log;
pub mod tail;
pub mod workers;

pub use directory::Directory;
pub use failure::{Answer, Failure, Fault};
pub use instances::Instances;
pub use log::Log;
pub use workers::Workers;
