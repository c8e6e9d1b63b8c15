//! Jobs of dependent steps on pools of workers.
//!
//! [`Shard`] is a state machine without I/O: it takes submissions, reports of workers and advice,
//! and returns [`Action`]s for its process to carry out. Each shard has one owner at a time.

mod action;
mod advice;
mod ask;
mod end;
mod gangs;
mod hold;
mod host;
mod job;
mod lease;
mod lost_answers;
mod orders;
mod orphan;
mod pacing;
mod place;
mod record;
mod recovery;
mod report;
mod retention;
mod run;
mod shard;
mod start;
mod survey;
mod suspicion;
mod target;
mod task;
mod tick;
mod usage;

pub use action::{Action, AdviceRequest, Order, Pace, Stop};
pub use host::{Host, Liveness};
pub use job::{AdviceTerms, Id, Queue, Spec, State, Step};
pub use record::Record;
pub use report::{Finished, Renewal, RenewalFault, Report, Running};
pub use shard::{Settings, Shard};
pub use start::{Refusal, StartOutcome};
pub use target::Worker;
pub use task::{Key, Outcome, StepKey};
pub use usage::Usage;
