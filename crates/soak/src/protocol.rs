//! Interface to the platform's formats and calls.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use rosemaryworks_node::http::{Request, Response};
use rosemaryworks_workflow::{Id, Queue, Spec, State, Worker};

use crate::log::Log;
use crate::network::View;
use crate::permit::Permits;
use crate::process::Addresses;
use crate::server::Handler;
use crate::worker::Incarnation;

/// Result of a request that submits or cancels a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Acknowledgement {
    /// The request was accepted.
    Accepted,
    /// The request was rejected: it was not stored and never will be.
    Refused,
    /// The request may have been stored.
    Unknown,
    /// The response has a status that no such request may have.
    Unexpected,
}

/// Status of a job as a caller receives it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobStatus {
    /// State of the job.
    State(State),
    /// No such job was accepted.
    NoSuchJob,
    /// The state can't be determined at present.
    Unavailable,
}

/// The platform's formats and calls.
pub trait Protocol: Send + Sync + 'static {
    /// Returns the path of the program under test.
    fn program(&self) -> PathBuf;

    /// Returns the settings file of a process.
    fn settings(&self, addresses: &Addresses) -> String;

    /// Returns the HTTP handler of the log for one process.
    fn log(&self, log: View) -> Arc<dyn Handler>;

    /// Returns the HTTP handler of one incarnation of a worker.
    fn worker(&self, incarnation: Arc<Incarnation>) -> Arc<dyn Handler>;

    /// Returns the HTTP handler of the advice service, which allows every worker.
    fn advisor(&self, permits: Arc<Permits>) -> Arc<dyn Handler>;

    /// Publishes a configuration revision.
    fn publish_configuration(&self, log: &Log, version: u64, queues: &[Queue]);

    /// Publishes a worker in the platform's list of workers.
    fn publish_worker(&self, log: &Log, worker: &Worker);

    /// Returns the request that submits a job to a queue.
    fn submission(&self, to: SocketAddr, queue: &str, id: Id, spec: &Spec) -> Request;

    /// Returns the request that cancels a job of a queue.
    fn cancellation(&self, to: SocketAddr, queue: &str, id: Id) -> Request;

    /// Returns the request for the state of a job of a queue.
    fn status_request(&self, to: SocketAddr, queue: &str, id: Id) -> Request;

    /// Parses the response to a submission or cancellation.
    fn acknowledgement(&self, response: &Response) -> Acknowledgement;

    /// Parses the response to a status request.
    fn job_status(&self, response: &Response) -> JobStatus;
}
