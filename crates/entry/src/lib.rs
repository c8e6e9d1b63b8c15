//! The process of an entry VM where jobs of steps are served: it accepts jobs, answers for their
//! state and owns shards of workers.
//!
//! It reaches the platform only through the traits of [`port`].

pub mod advice_balancer;
mod advice_requests;
pub mod claim;
pub mod config;
pub mod events;
mod handover;
mod intake;
mod journal;
mod links;
mod metrics;
mod node;
mod owner;
mod ownership;
pub mod port;
mod session;
pub mod settings;
mod stop;
mod submitter;
mod takeover;
pub mod timeouts;

pub use config::{Config, Route};
pub use intake::{Acceptance, Lookup, deadline_ms};
pub use metrics::Metrics;
pub use node::{Dependencies, Node};
pub use settings::Settings;
pub use stop::Frontend;
