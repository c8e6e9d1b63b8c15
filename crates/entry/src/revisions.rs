//! Configurations from other entry processes, for a process whose reads of the log fail.
//!
//! [`Tracker`] is the kernel without I/O: it decides when to ask, whom, and what to make of an answer.
//! The exchange asks and answers; it gets links and configurations as values.

pub(crate) mod exchange;
pub mod tracker;

pub use tracker::{Judgement, Peers, Source, Tracker};
