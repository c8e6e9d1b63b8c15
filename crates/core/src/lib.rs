//! Kernel of rosemaryworks, without I/O.
//!
//! Every state machine in this crate takes the time as an argument, is fed one event at a time and
//! returns the steps that its host carries out. The scheduler process hosts the kernels; tests and
//! measurements drive them directly.
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
