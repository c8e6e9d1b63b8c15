//! Gateway: takes requests and jobs of callers over HTTP, asks the owners of shards for slots, and
//! dispatches requests to service instances.
//!
//! [`Gateway`] is the state that all handlers share. [`http::routes`] are the routes for callers.

mod answers;
mod ask;
mod bodies;
mod budget;
pub mod events;
mod exchange;
mod gateway;
mod grants;
pub mod http;
mod inflight;
mod inquiry;
mod jobs;
mod links;
mod metrics;
mod owners;
pub mod readiness;
mod report;
pub mod server;
pub mod settings;
pub mod stop;

pub use gateway::{Gateway, Parts};
pub use links::Links;
pub use settings::Settings;
