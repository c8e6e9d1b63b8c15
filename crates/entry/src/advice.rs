//! Advice requests: every VM queues those that it sends to the advice service, and owners choose VMs
//! by the backlog that these report.
//!
//! Nothing here depends on the process or on owners: they pass the links, the service and a
//! [`Sink`](requester::Sink) for the outcomes.

pub mod choice;
pub mod queue;
pub(crate) mod requester;
pub(crate) mod service;
