//! Histories of concurrent runs and the checks of what must always hold.
//!
//! The checks read only what callers, workers, instances and the log saw, never what the processes
//! under test say about themselves.

pub mod check;
pub mod file;
pub mod record;

pub use record::{Event, Record};
