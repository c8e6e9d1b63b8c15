//! The process of an entry VM where jobs of steps are served: it accepts jobs, answers for their
//! state and owns shards of workers.
//!
//! It reaches the platform only through the traits of [`port`].

pub mod advice_lanes;
pub mod claim;
pub mod config;
pub mod events;
mod follow;
mod handover;
mod intake;
mod journal;
mod links;
mod metrics;
mod node;
mod owner;
pub mod patience;
pub mod port;
mod questions;
mod session;
pub mod settings;
mod stop;
mod submitter;
mod takeover;

pub use config::{Config, Route};
pub use intake::{Accepting, Inquiry, deadline_ms};
pub use metrics::Metrics;
pub use node::{Node, Parts};
pub use settings::Settings;
pub use stop::Door;
