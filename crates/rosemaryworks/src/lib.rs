//! Facade that re-exports the libraries of the rosemaryworks cluster scheduler.
//!
//! ```
//! use rosemaryworks::core::shard::Id;
//!
//! assert_eq!(Id::pool("gpu", 0).to_string(), "pool/gpu/0");
//! ```

pub use rosemaryworks_admin as admin;
pub use rosemaryworks_core as core;
pub use rosemaryworks_history as history;
pub use rosemaryworks_node as node;
pub use rosemaryworks_platform as platform;
pub use rosemaryworks_wire as wire;
