//! Scheduler process: hosts the kernels of the shards that it owns.
//!
//! [`Scheduler`] follows the streams of the log, exchanges heartbeats with the other schedulers,
//! claims shards, and answers gateways for the shards it owns. Everything it needs of the platform
//! is in [`Platform`].

mod calls;
mod contracts;
pub mod events;
mod fold;
mod follow;
mod gateways;
mod hosted;
mod inspect;
mod links;
mod listing;
mod lock;
mod metrics;
mod moved;
mod owner;
mod pool;
mod progress;
mod readback;
mod scheduler;
mod seen;
mod serve;
mod service;
mod settings;
mod shared;
mod snapshot;
mod survey;
mod term;
mod timer;
mod upkeep;
mod writer;

pub use scheduler::Scheduler;
pub use serve::serve;
pub use settings::{RETENTION_MIN_MS, Settings};
pub use shared::Platform;
