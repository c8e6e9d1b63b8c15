//! Administration API: contract register, audit trail and keys.
//!
//! The gateway mounts [`routes`] on its second port. [`Contracts`] is the process's copy of the
//! contracts in force; it follows the contracts stream.

mod api;
mod audit;
mod body;
mod cell;
mod contracts;
mod diff;
mod events;
pub mod keys;
mod publish;
mod rollout;
mod routes;

pub use api::{Api, Operator};
pub use audit::Refusals;
pub use body::discard_body;
pub use contracts::{Contracts, Progress};
pub use routes::routes;
