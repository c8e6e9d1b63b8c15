//! Shared infrastructure of the processes of rosemaryworks: settings, logging, metrics, HTTP client
//! and shutdown.

pub mod clock;
pub mod event;
pub mod http;
pub mod late;
mod log_queue;
pub mod logging;
pub mod metrics;
pub mod program;
pub mod settings;
pub mod shutdown;
pub mod status;
