//! Recorded histories of concurrent test runs and invariant checks over them.
//!
//! The checks use only observations of callers, workers, instances and the log, never what the
//! processes under test report about themselves.

pub mod check;
pub mod file;
pub mod record;

pub use record::{Event, Record};
