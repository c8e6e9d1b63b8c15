//! Scheduler process: hosts the kernels of the shards that it owns.
//!
//! [`Scheduler`] follows the streams of the log, exchanges heartbeats with the other schedulers,
//! claims shards, and answers gateways for the shards it owns. Everything it needs of the platform
//! is in [`Platform`].

mod calls;
mod context;
mod contracts;
pub mod events;
mod follow;
mod forward;
mod gateways;
mod host;
mod inspect;
mod links;
mod listing;
mod lock;
mod maintenance;
mod metrics;
mod owner;
mod pool;
mod progress;
mod projection;
mod readback;
mod roster;
mod scheduler;
mod serve;
mod service;
mod settings;
mod snapshot;
mod survey;
mod term;
mod timer;
mod writer;

pub use context::Platform;
pub use scheduler::Scheduler;
pub use serve::serve;
pub use settings::{RETENTION_MIN_MS, Settings};
