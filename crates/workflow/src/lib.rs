//! Scheduling of jobs with dependent steps on pools of workers.
//!
//! A [`Shard`] holds a part of the jobs and has one owner at a time. It is a state machine without
//! I/O: it takes submissions, worker reports and answers of the advice service, and returns
//! [`Action`]s for the process that hosts it.

mod access;
mod action;
mod admission;
mod advice;
mod advice_load;
mod advice_request;
mod answers;
mod backoff;
mod clock;
mod completion;
mod gang_placement;
mod gangs;
mod host;
mod incarnation;
mod job;
mod lease;
mod lost_answers;
mod lost_attempt;
pub mod memory;
mod moves;
mod objective;
mod observation;
mod open_jobs;
mod order;
mod orphan;
mod pacing;
mod parked;
mod pass;
mod pending_renewal;
mod placement;
mod pool_capacity;
mod record;
mod recovery;
mod removed;
mod renewal;
mod report;
mod reservation;
mod run;
mod run_times;
mod schedule;
mod shard;
mod silent;
mod slack;
mod snapshot;
mod start;
mod start_window;
mod task;
mod team;
mod terms;
mod timers;
mod usage;
mod waiting;
mod worker;

pub use action::{Action, AdviceRequest, Order, Pace, Stop};
pub use advice_load::{AdviceLoad, SHORT_ADVICE_MS};
pub use host::{Host, Liveness};
pub use incarnation::{Incarnation, Restart, Unreported};
pub use job::{Address, AdviceTerms, Id, Queue, Spec, State, Step};
pub use lost_attempt::{Evidence, LostAttempt};
pub use moves::Preparation;
pub use record::Record;
pub use report::{Finished, Renewal, RenewalFault, Report, Running};
pub use run_times::{Class, Expectation, RunTimes, Sample, Speed};
pub use shard::{Settings, Shard};
pub use snapshot::Entry;
pub use start::{Refusal, StartOutcome};
pub use task::{Key, Outcome, StepKey};
pub use team::account::{Account, Resource};
pub use team::exchange::{Ask, Confirmation, Grant, HeldTeams, Want};
pub use team::{Team, Teams};
pub use usage::{Passes, Starts, Usage};
pub use worker::Worker;
