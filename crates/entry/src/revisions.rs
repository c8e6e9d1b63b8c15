//! Versions of the configuration: how they are followed in the log, and how processes whose reads of the
//! log fail get them from others.
//!
//! [`Position`] and [`Tracker`] are kernels without I/O. The former decides what to read from the log,
//! the latter when to ask others, whom, and what to make of an answer. The exchange asks and answers; it
//! gets links and configurations as values.

pub(crate) mod exchange;
pub mod position;
pub mod tracker;

pub use position::{Extent, Position, Read, Step};
pub use tracker::{Judgement, Peers, Source, Tracker};
