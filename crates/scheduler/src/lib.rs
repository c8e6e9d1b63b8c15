//! Scheduler process: routes requests and places tasks for the shards that it owns.
//!
//! [`Scheduler`] follows the streams of the log, exchanges heartbeats with the other schedulers,
//! claims shards, and answers gateways for the shards that it owns. The decisions are made by the
//! kernels of the core crate, state machines without I/O, one for each owned shard. The platform's
//! services are reached through [`Platform`].

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
