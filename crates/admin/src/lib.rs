//! Administration API: contracts, drained targets, audit trail and bearer keys.
//!
//! The gateway serves [`routes`] on its second port. [`Contracts`] is the replica of the contracts
//! in force that a process builds by following the contracts stream.

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
