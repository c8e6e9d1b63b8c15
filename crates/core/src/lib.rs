//! Core of rosemaryworks: ownership, routing and placement as state machines without I/O.
//!
//! Each state machine (kernel) handles one event at a time, takes the current time as an argument
//! and returns the actions that its host must carry out. The scheduler process hosts the kernels;
//! tests and benchmarks drive them directly.
//!
//! ```
//! use rosemaryworks_core::shard::Id;
//!
//! let shard: Id = "pool/cpu/0".parse().unwrap();
//! assert_eq!(shard.to_string(), "pool/cpu/0");
//! ```

pub mod backlog;
pub mod contract;
pub mod job;
pub mod outcome;
pub mod ownership;
pub mod partition;
pub mod placement;
pub mod record;
pub mod register;
pub mod routing;
pub mod shard;
pub mod size;
pub mod target;
pub mod time;
pub mod timing;
pub mod view;
