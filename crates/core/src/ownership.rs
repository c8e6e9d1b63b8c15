//! Shard ownership: claims in the log, confirmed by a majority of the schedulers.
//!
//! [`Ledger`] folds the cell stream into the current epoch and owner of every shard. [`Kernel`]
//! decides when this scheduler claims a shard. An owner may act only while a majority of the
//! configured schedulers supports its claim in answers to heartbeats.
//!
//! ```
//! use rosemaryworks_core::ownership::{Ledger, Verdict};
//! use rosemaryworks_core::record::Cell;
//! use rosemaryworks_core::shard::{Epoch, Id};
//!
//! let shard = Id::pool("cpu", 0);
//! let claim = Cell::Claim {
//!     shard: shard.clone(),
//!     previous: Epoch::NONE,
//!     owner: "scheduler-1".into(),
//!     incarnation: 1,
//! };
//! let mut ledger = Ledger::default();
//! assert_eq!(ledger.apply(7, &claim), Verdict::Claimed);
//! assert_eq!(ledger.epoch(&shard), Epoch(7));
//! ```

mod action;
mod choice;
mod claims;
mod kernel;
mod ledger;
mod message;
mod own_claim;
mod peers;
mod promises;
mod settings;
mod settlement;

pub use action::{Action, Event, Unrecorded};
pub use choice::{candidate, max_shards};
pub use kernel::Kernel;
pub use ledger::{Ledger, Ownership, Verdict};
pub use message::{Claim, Heartbeat, LogView, Support};
pub use settings::Settings;
