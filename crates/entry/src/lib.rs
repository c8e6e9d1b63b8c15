//! The entry process: accepts jobs, answers queries for their state, and schedules their tasks on
//! workers. Every pool of workers belongs to a shard; each shard is owned by one entry process.
//!
//! It accesses the platform only through the traits of [`port`].

pub mod access;
pub mod admission;
pub mod advice;
mod advised;
pub mod budget;
pub mod claim;
pub mod clients;
mod codec;
mod commands;

pub mod config;
mod decision;
pub mod events;
mod exchange;
mod handover;
pub mod homes;
mod journal;
mod links;
mod load;
mod metrics;
mod moves;
mod node;
mod owner;
mod ownership;
pub mod peers;
pub mod permission;
pub mod port;
mod quota;
mod reads;
mod relay;
mod relayed;
pub mod relays;
mod requests;
pub mod revisions;
mod session;
pub mod settings;
mod skipped;
mod snapshot;
pub mod stall;
mod stop;
mod submitter;
mod suspension;
mod takeover;
pub mod timeouts;
mod worker_list;

pub use access::Verdict;
pub use config::{Config, Route};
pub use metrics::Metrics;
pub use node::{Context, Node};
pub use requests::{Acceptance, Lookup, deadline_ms};
pub use settings::Settings;
pub use skipped::Skipped;
pub use stop::Frontend;
