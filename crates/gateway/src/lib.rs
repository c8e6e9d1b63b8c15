//! Gateway: accepts service requests and jobs of callers over HTTP, acquires slots from the owners
//! of shards, and dispatches the requests to service instances.
//!
//! [`Gateway`] is the state shared by all handlers. [`http::routes`] registers the routes for
//! callers.

mod acquisition;
mod body_memory;
pub mod events;
mod execution;
mod gateway;
mod grants;
pub mod http;
mod inflight;
mod jobs;
mod links;
mod metrics;
mod owners;
pub mod readiness;
mod report;
mod response_cache;
mod retry_budget;
pub mod server;
mod service_request;
pub mod settings;
pub mod stop;

pub use gateway::{Dependencies, Gateway};
pub use links::Links;
pub use settings::Settings;
